//! Parts a model's engines into groups small enough for one owner.

use std::sync::Arc;

use crate::prelude::*;
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
}

/// How many groups a model's engines form.
pub fn group_count(register: &Register, model: &str, group_size: usize) -> u32 {
    let engines = register.upstreams.iter().filter(|upstream| {
        let name = upstream.engine().map(|(name, _, _)| name);
        name == Some(model)
    });
    let count = engines.count().div_ceil(group_size.max(1)).max(1);
    let prefills = register.engines(model, EngineRole::Prefill).count();
    let decodes = register.engines(model, EngineRole::Decode).count();
    count.min(prefills.max(1)).min(decodes.max(1)) as u32
}

/// The engines of one role that belong to one group.
pub fn group_members<'a>(
    register: &'a Register,
    model: &'a str,
    role: EngineRole,
    group: u32,
    groups: u32,
) -> impl Iterator<Item = &'a Upstream> {
    register
        .engines(model, role)
        .enumerate()
        .filter(move |(index, _)| *index as u32 % groups.max(1) == group)
        .map(|(_, upstream)| upstream)
}
