//! Limits that replicas name for the requests that they take from all VMs together.

use std::sync::Arc;

use super::{Blackboard, ReplicaId, ReplicaRole, VmName};
use crate::prelude::*;

/// The highest rate that is told apart from none, in requests a second.
const HIGHEST_PER_S: f64 = 1_000_000.0;

/// Thousandths in one.
const THOUSANDTHS: f64 = 1_000.0;

/// Requests in a time, in thousandths of a request a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// A rate in requests a second; `None` for what is no rate.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        is_rate.then(|| Self((rate.min(HIGHEST_PER_S) * THOUSANDTHS).round() as u64))
    }

    /// The rate in requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / THOUSANDTHS
    }

    /// Whether it is none at all.
    pub fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// A part of it.
    pub fn part(self, numerator: u64, denominator: u64) -> Self {
        Self(self.0.saturating_mul(numerator) / denominator.max(1))
    }

    /// The time from one request to the next, in microseconds; `None` where none may follow.
    pub fn gap_us(self) -> Option<u64> {
        1_000_000_000_u64.checked_div(self.0)
    }
}

/// A replica's limit that is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// The start of the replica that named it.
    pub started_epoch_ms: u64,
    /// The requests that it takes from all VMs together.
    pub rate: RequestRate,
    /// When it was first named.
    pub first_named_at: Moment,
    /// The VM that was told so.
    pub seen_by: VmName,
}

/// The limits in force, by replica.
pub type RateLimitMap = FastMap<ReplicaId, RateLimit>;

impl Blackboard {
    /// The limit that a start of a replica names.
    pub fn rate_limit(&self, id: &str, started_epoch_ms: u64) -> Option<&RateLimit> {
        find_limit(&self.rate_limits, id, started_epoch_ms)
    }

    /// Whether an engine of a service names a limit.
    pub fn has_limited_engine(&self, service: &str) -> bool {
        let mut limited = self.rate_limits.keys().filter_map(|id| self.replicas.get(id));
        limited.any(|facts| &*facts.record.service == service && facts.record.role != ReplicaRole::Plain)
    }

    /// The limit that a listed replica names.
    pub fn listed_rate_limit(&self, id: &str) -> Option<&RateLimit> {
        let facts = self.replicas.get(id)?;
        self.rate_limit(id, facts.record.started_epoch_ms)
    }
}

/// The limit of a start of a replica; that of another start says nothing of it.
pub fn find_limit<'a>(limits: &'a RateLimitMap, id: &str, started_epoch_ms: u64) -> Option<&'a RateLimit> {
    let limit = limits.get(id)?;
    (limit.started_epoch_ms == started_epoch_ms).then_some(limit)
}

/// Limits as traffic and placement share them.
pub type SharedRateLimits = Arc<RateLimitMap>;
