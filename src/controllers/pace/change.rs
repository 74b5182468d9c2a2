//! States of a replica's pace, and what is logged when one changes.

use crate::blackboard::ReplicaId;

/// Whether a replica's share of requests is restrained, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PaceState {
    /// It may use all of its slots.
    #[default]
    Usual,
    /// It has started a short time ago.
    Fresh,
    /// It failed several times in a row.
    Recovering,
}

impl PaceState {
    /// The state's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Usual => "usual",
            Self::Fresh => "fresh",
            Self::Recovering => "recovering",
        }
    }
}

/// What decided a change of state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceReason {
    /// It appeared on a list that this process already knew.
    Listed,
    /// Its entry says that it is slow for some time yet.
    AnnouncedCold,
    /// It failed several times in a row.
    Failures,
    /// It answers as fast as its peers with all of its slots in use.
    CaughtUp,
    /// The longest time for a ramp is over; how slow it is remains a matter of its measured answer times.
    TimeOver,
}

impl PaceReason {
    /// The reason's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::AnnouncedCold => "announced_cold",
            Self::Failures => "failures",
            Self::CaughtUp => "caught_up",
            Self::TimeOver => "time_over",
        }
    }
}

/// A change of a replica's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceChange {
    /// The replica.
    pub replica: ReplicaId,
    /// Its new state.
    pub state: PaceState,
    /// What decided it.
    pub reason: PaceReason,
    /// Concurrent requests that it may have now.
    pub limit: u32,
    /// The number of its slots.
    pub slots: u32,
    /// The moving average of its time per unit of work, in microseconds; zero if none was measured.
    pub work_us: u64,
    /// The median of its peers' averages, in microseconds; zero if none was measured.
    pub peer_us: u64,
}

impl PaceChange {
    /// The log line of the change.
    pub fn log_line(&self) -> String {
        format!(
            "event=replica_pace replica={} state={} reason={} limit={} slots={} work_us={} peer_us={}",
            self.replica,
            self.state.as_str(),
            self.reason.as_str(),
            self.limit,
            self.slots,
            self.work_us,
            self.peer_us
        )
    }
}

/// The limit of a replica whose pace is restrained, for metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceLevel {
    /// The replica.
    pub replica: ReplicaId,
    /// Concurrent requests that it may have now, in percent of its slots.
    pub percent: u32,
}
