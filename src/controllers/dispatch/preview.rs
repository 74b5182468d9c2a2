//! What a selection would be based on, without making one.

use std::sync::Arc;

use crate::blackboard::{ReplicaLoad, ReplicaRecord, RequestRate};
use crate::controllers::pace::PaceState;
use crate::prelude::*;

/// Whether a replica may get a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateState {
    /// It may get requests.
    Usable,
    /// It is used only if no other is available, because it failed.
    Paused,
    /// It drains or is off the list, and is used only if no other is available.
    Leaving,
    /// It gets no more requests.
    Stopped,
    /// It asked this VM for a backoff.
    BackingOff,
    /// It reports a rate limit, and this VM was told that there is no permit yet.
    NoPermit,
}

impl CandidateState {
    /// The state's name in output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Usable => "usable",
            Self::Paused => "paused",
            Self::Leaving => "leaving",
            Self::Stopped => "stopped",
            Self::BackingOff => "backing_off",
            Self::NoPermit => "no_permit",
        }
    }

    /// Whether the selection may choose a replica in this state.
    pub fn is_eligible(self) -> bool {
        matches!(self, Self::Usable | Self::Paused | Self::Leaving)
    }
}

/// A replica of a service, as this VM sees it now.
#[derive(Clone, Debug)]
pub struct CandidateView {
    /// The replica's entry.
    pub record: Arc<ReplicaRecord>,
    /// Whether it may get a request now.
    pub state: CandidateState,
    /// When the state ends by itself; `None` if it has no known end.
    pub state_until: Option<Moment>,
    /// The estimated number of its requests, from all VMs.
    pub requests: u32,
    /// This VM's requests in flight there.
    pub in_flight: u32,
    /// The load that it reported last and that load's age in milliseconds; `None` once that is outdated.
    pub load: Option<(ReplicaLoad, u64)>,
    /// The moving average of its answer times in milliseconds; zero while unknown.
    pub answer_ms: u64,
    /// Whether its pace is restrained.
    pub pace: PaceState,
    /// Concurrent requests that its pace allows; `None` if that isn't restrained.
    pub pace_limit: Option<u32>,
    /// Whether it ranks behind others because of its pace.
    pub is_held_back: bool,
    /// The rate limit that it reports.
    pub rate_limit: Option<RequestRate>,
    /// Its expected cost; comparable within one service and role.
    pub cost: u64,
}
