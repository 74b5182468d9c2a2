//! Language-model engines from the register and the replica list, in the one form that placement uses.

use std::sync::Arc;

use super::{Blackboard, ReplicaRole};
use crate::prelude::*;
use crate::register::EngineRole;

/// An engine of a model, or of a service that routes lead to, whose name takes the place of the model's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Name of the upstream or the replica.
    pub name: Arc<str>,
    /// The pool that the engine belongs to.
    pub role: EngineRole,
    /// The engine's availability zone.
    pub zone: Arc<str>,
    /// Requests that the engine runs concurrently.
    pub slots: u32,
    /// Capacity of the engine's memory, in tokens; `None` if not published.
    pub memory_tokens: Option<u32>,
}

impl Blackboard {
    /// The engines of a model, including leaving ones, sorted by name.
    pub fn engines(&self, model: &str) -> Vec<EngineView> {
        let register = &self.register.register;
        let registered = register.upstreams.iter().filter_map(|upstream| {
            let (name, role, slots) = upstream.engine()?;
            (name == model).then(|| EngineView {
                name: upstream.name.as_str().into(),
                role,
                zone: upstream.zone.as_str().into(),
                slots,
                memory_tokens: None,
            })
        });
        let traits = register.services.get(model).and_then(|rule| rule.engine.as_ref());
        let memory_tokens = traits.map(|engine| engine.memory_tokens);
        let listed = self.replicas.values().filter_map(|facts| {
            let record = &facts.record;
            let role = match record.role {
                ReplicaRole::Plain => return None,
                ReplicaRole::Prefill => EngineRole::Prefill,
                ReplicaRole::Decode => EngineRole::Decode,
            };
            (&*record.service == model).then(|| EngineView {
                name: record.id.clone(),
                role,
                zone: record.zone.clone(),
                slots: record.slots,
                memory_tokens,
            })
        });
        let mut views: Vec<EngineView> = registered.chain(listed).collect();
        views.sort_by(|left, right| left.name.cmp(&right.name));
        views
    }

    /// Whether an engine may receive new work.
    pub fn is_engine_usable(&self, name: &str, now: Moment) -> bool {
        if let Some(upstream) = self.register.register.upstream(name) {
            return self.is_usable(upstream, now);
        }
        self.is_staying(name) && !self.is_down(name, now)
    }

    /// Whether a replica is known and neither draining nor removed from the list.
    pub fn is_staying(&self, name: &str) -> bool {
        self.replicas
            .get(name)
            .is_some_and(|facts| facts.stop_at.is_none())
    }

    /// Whether an upstream gets no new work because of a recent failure or a move to the other pool.
    pub fn is_down(&self, name: &str, now: Moment) -> bool {
        let down_until = self.upstreams.get(name).and_then(|facts| facts.down_until);
        down_until.is_some_and(|until| !now.reached(until))
    }
}
