//! Replicas of services, as listed by the platform.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::prelude::*;

/// A replica's name. A restarted replica usually gets another one.
pub type ReplicaId = Arc<str>;

/// The part of a service's work that a replica does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReplicaRole {
    /// Answers plain calls.
    Plain,
    /// An engine that processes prompts.
    Prefill,
    /// An engine that generates tokens.
    Decode,
}

impl ReplicaRole {
    /// The role's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

/// A known replica: its list entry and whether it still receives requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaFacts {
    /// The replica's entry in the list, as last read.
    pub record: Arc<ReplicaRecord>,
    /// When the replica, draining or removed from the list, stops receiving requests. Until then it is used
    /// only if no other replica is left. `None` if it stays.
    pub stop_at: Option<Moment>,
    /// Whether the list still contains the replica.
    pub is_listed: bool,
    /// How far the list's word on the replica counts.
    pub trust: EntryTrust,
    /// When this start of the replica was first listed; `None` if it was on the first list that this process
    /// read, since its age is then unknown.
    pub fresh_since: Option<Moment>,
}

/// How far the list's word on a replica counts after the store came back from an older copy, which may lack what
/// it had acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EntryTrust {
    /// The list is not known to be outdated.
    #[default]
    Current,
    /// The copy lacks the entry. The replica stays in use until this time unless its entry is written again.
    Missing {
        /// When the replica counts as gone.
        until: Moment,
    },
    /// The copy lists a replica that had drained or been removed. It gets no new work.
    Outdated {
        /// When the entry counts, unless it is removed before; `None` if only a newer entry does.
        until: Option<Moment>,
    },
}

impl EntryTrust {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Missing { .. } => "missing",
            Self::Outdated { .. } => "outdated",
        }
    }

    /// Whether the copy lacks the entry.
    pub fn is_missing(self) -> bool {
        matches!(self, Self::Missing { .. })
    }

    /// Whether the copy lists a replica that had drained or been removed.
    pub fn is_outdated(self) -> bool {
        matches!(self, Self::Outdated { .. })
    }

    /// When the entry is looked at again if it has not changed; `None` if no time alone changes anything.
    pub fn review_at(self) -> Option<Moment> {
        match self {
            Self::Current => None,
            Self::Missing { until } => Some(until),
            Self::Outdated { until } => until,
        }
    }
}

/// A replica's entry in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// Key of the list entry.
    pub id: ReplicaId,
    /// When the replica started, in milliseconds since the Unix epoch; distinguishes processes of the same
    /// name. Zero if unknown.
    pub started_epoch_ms: u64,
    /// The service that the replica belongs to.
    pub service: Arc<str>,
    /// The part of the service's work that the replica does.
    pub role: ReplicaRole,
    /// Address that the replica listens on.
    pub address: SocketAddr,
    /// The replica's availability zone; may be empty.
    pub zone: Arc<str>,
    /// Requests that the replica runs concurrently.
    pub slots: u32,
    /// Whether the entry marks the replica as leaving, so that it takes no new work.
    pub is_draining: bool,
    /// Until when the replica is slow after its start, by the first entry of this start that says so. `None`
    /// if no entry does.
    pub cold_until: Option<Moment>,
}

impl ReplicaRecord {
    /// Whether another entry says the same, apart from the end of the cold time. Replicas rewrite that often,
    /// and VMs need no exact value, so only its first appearance counts as a change.
    pub fn is_same_entry(&self, newer: &Self) -> bool {
        let is_new_cold_time = self.cold_until.is_none() && newer.cold_until.is_some();
        !is_new_cold_time
            && *self
                == Self {
                    cold_until: self.cold_until,
                    ..newer.clone()
                }
    }
}

/// The load that a replica reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests that the replica is running.
    pub running: u32,
    /// Requests in the replica's queue.
    pub waiting: u32,
    /// Requests that the replica runs concurrently.
    pub slots: u32,
    /// Time that the same work takes now, in percent of the usual; 100 if not reported.
    pub pace_percent: u32,
}
