//! Splits a model's engines into groups small enough for one owner.

use std::sync::Arc;

use crate::blackboard::EngineView;
use crate::register::EngineRole;

/// A group of a model's engines that one owner schedules.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EngineGroup {
    /// The model that the engines serve.
    pub model: Arc<str>,
    /// Number of the group within the model, from zero.
    pub index: u32,
}

impl EngineGroup {
    /// The group of a model with the given number.
    pub fn new(model: &Arc<str>, index: u32) -> Self {
        Self {
            model: model.clone(),
            index,
        }
    }

    /// Parses a key made by [`Self::owner_key`]; `None` if the key is not a group's.
    pub fn from_owner_key(key: &str) -> Option<Self> {
        let (model, index) = key.rsplit_once('/')?;
        Some(Self::new(&model.into(), index.parse().ok()?))
    }

    /// The key that is hashed to find the group's owner.
    pub fn owner_key(&self) -> String {
        format!("{}/{}", self.model, self.index)
    }
}

/// Number of groups that a model's engines form, with about `group_size` engines each. If the model has
/// engines of both roles, there are at most as many groups as engines of either role, so that each group has
/// both.
pub fn group_count(engines: &[EngineView], group_size: usize) -> u32 {
    let count_role = |role| engines.iter().filter(|engine| engine.role == role).count();
    let count = engines.len().div_ceil(group_size.max(1)).max(1);
    let prefills = count_role(EngineRole::Prefill);
    let decodes = count_role(EngineRole::Decode);
    count.min(prefills.max(1)).min(decodes.max(1)) as u32
}

/// The engines of one role in one of `groups` groups. Engines are assigned to groups round-robin.
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
