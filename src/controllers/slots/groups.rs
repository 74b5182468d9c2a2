//! Parts a model's engines into groups small enough for one owner.

use std::sync::Arc;

use crate::blackboard::EngineView;
use crate::register::EngineRole;

/// A part of a model's engines that one owner schedules.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EngineGroup {
    /// The model.
    pub model: Arc<str>,
    /// Which of the model's groups, from zero.
    pub index: u32,
}

impl EngineGroup {
    /// The group with this number.
    pub fn new(model: &Arc<str>, index: u32) -> Self {
        Self {
            model: model.clone(),
            index,
        }
    }

    /// The group whose owner is found by a key.
    pub fn of_owner_key(key: &str) -> Option<Self> {
        let (model, index) = key.rsplit_once('/')?;
        Some(Self::new(&model.into(), index.parse().ok()?))
    }

    /// What its owner is found by.
    pub fn owner_key(&self) -> String {
        format!("{}/{}", self.model, self.index)
    }
}

/// How many groups a model's engines form.
pub fn group_count(engines: &[EngineView], group_size: usize) -> u32 {
    let of_role = |role| engines.iter().filter(|engine| engine.role == role).count();
    let count = engines.len().div_ceil(group_size.max(1)).max(1);
    let prefills = of_role(EngineRole::Prefill);
    let decodes = of_role(EngineRole::Decode);
    count.min(prefills.max(1)).min(decodes.max(1)) as u32
}

/// The engines of one role that belong to one group.
pub fn group_members(
    engines: &[EngineView],
    role: EngineRole,
    group: u32,
    groups: u32,
) -> impl Iterator<Item = &EngineView> {
    engines
        .iter()
        .filter(move |engine| engine.role == role)
        .enumerate()
        .filter(move |(index, _)| *index as u32 % groups.max(1) == group)
        .map(|(_, engine)| engine)
}
