//! Workspaces of HTTP callers: their API keys, priorities and quotas.

use std::sync::Arc;

use sha2::{Digest, Sha256};

use crate::prelude::*;

/// The priority of a workspace that sets none, and of requests without a workspace: the lowest in use.
pub const LOWEST_PRIORITY: u32 = 9;

/// Number of route priorities that are told apart within one workspace priority.
const ROUTE_PRIORITIES: u32 = 16;

/// The rank of a request in queues, lower first: by the priority of its workspace, then by that of its route.
pub fn combined_rank(workspace: Option<&WorkspaceRule>, route_priority: u32) -> u32 {
    let priority = workspace.map_or(LOWEST_PRIORITY, |workspace| workspace.priority);
    let first = priority.min(u32::MAX / ROUTE_PRIORITIES) * ROUTE_PRIORITIES;
    first.saturating_add(route_priority.min(ROUTE_PRIORITIES - 1))
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// A request counts as its prompt tokens and the most tokens that it may generate.
    Tokens,
}

/// A workspace's quota over all VMs together.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaRule {
    /// What the quota counts.
    pub unit: QuotaUnit,
    /// Sustained rate, in units per second.
    pub rate_per_s: f64,
    /// Units that may be used at once on top of the rate.
    pub burst: f64,
    /// Tokens that a request without token counts counts as.
    pub plain_tokens: u32,
}

impl QuotaRule {
    /// The units that a request counts as, given its prompt tokens and the most tokens that it may generate.
    pub fn cost(&self, prompt_tokens: u32, output_tokens: u32) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens if prompt_tokens == 0 && output_tokens == 0 => u64::from(self.plain_tokens),
            QuotaUnit::Tokens => u64::from(prompt_tokens) + u64::from(output_tokens),
        }
    }
}

/// SHA-256 digest of an API key. Keys are compared by their digests, so that the time of a lookup reveals
/// nothing of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key as a caller sends it.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// A workspace, whose callers are identified by API keys.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceRule {
    /// Name that replicas and logs see.
    pub name: Arc<str>,
    /// Priority that goes before the route's; lower values go first.
    pub priority: u32,
    /// The workspace's quota; `None` if it is not limited.
    pub quota: Option<QuotaRule>,
    /// Digests of its API keys.
    pub keys: Vec<KeyDigest>,
}

/// The workspaces of one revision, indexed by API key and by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceTable {
    by_name: FastMap<Arc<str>, Arc<WorkspaceRule>>,
    by_key: FastMap<KeyDigest, Arc<WorkspaceRule>>,
}

impl WorkspaceTable {
    /// Builds a table; names and keys must be unique.
    pub fn new(rules: impl IntoIterator<Item = WorkspaceRule>) -> Self {
        let mut table = Self::default();
        for rule in rules {
            let rule = Arc::new(rule);
            table
                .by_key
                .extend(rule.keys.iter().map(|key| (*key, rule.clone())));
            table.by_name.insert(rule.name.clone(), rule);
        }
        table
    }

    /// The workspace that holds a key.
    pub fn find_by_key(&self, key: KeyDigest) -> Option<&Arc<WorkspaceRule>> {
        self.by_key.get(&key)
    }

    /// The workspace with this name.
    pub fn find_by_name(&self, name: &str) -> Option<&Arc<WorkspaceRule>> {
        self.by_name.get(name)
    }

    /// All workspaces, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<WorkspaceRule>> {
        self.by_name.values()
    }

    /// Number of workspaces.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there is no workspace.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
