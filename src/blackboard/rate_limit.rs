//! Rate limits that replicas report; each covers the requests of all VMs together.

use std::sync::Arc;

use super::{Blackboard, ReplicaId, ReplicaRole, VmName};
use crate::prelude::*;

/// Cap on a reported rate, in requests per second; a higher one amounts to no limit.
const MAX_PER_SECOND: f64 = 1_000_000.0;

/// Number of [`RequestRate`] units in one request per second.
const THOUSANDTHS: f64 = 1_000.0;

/// A request rate, in thousandths of a request per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Converts from requests per second; `None` if the number is negative or not finite.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        is_rate.then(|| Self((rate.min(MAX_PER_SECOND) * THOUSANDTHS).round() as u64))
    }

    /// The rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / THOUSANDTHS
    }

    /// Whether the rate allows no request at all.
    pub fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// The rate times `numerator / denominator`.
    pub fn part(self, numerator: u64, denominator: u64) -> Self {
        Self(self.0.saturating_mul(numerator) / denominator.max(1))
    }

    /// Time between two requests, in microseconds; `None` for a rate of zero.
    pub fn gap_us(self) -> Option<u64> {
        1_000_000_000_u64.checked_div(self.0)
    }
}

/// A rate limit in force for a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Start time of the replica process that reported the limit, in milliseconds since the Unix epoch.
    pub started_epoch_ms: u64,
    /// Rate at which the replica accepts requests from all VMs together.
    pub rate: RequestRate,
    /// When the replica first reported the limit, as far as any VM knows.
    pub first_reported_at: Moment,
    /// The VM that received the report.
    pub seen_by: VmName,
}

/// The limits in force, by replica.
pub type RateLimitMap = FastMap<ReplicaId, RateLimit>;

impl Blackboard {
    /// The limit reported by a replica process, identified by its start time.
    pub fn rate_limit(&self, id: &str, started_epoch_ms: u64) -> Option<&RateLimit> {
        find_limit(&self.rate_limits, id, started_epoch_ms)
    }

    /// Whether an engine of a service reports a limit.
    pub fn has_limited_engine(&self, service: &str) -> bool {
        let mut limited = self.rate_limits.keys().filter_map(|id| self.replicas.get(id));
        limited.any(|facts| &*facts.record.service == service && facts.record.role != ReplicaRole::Plain)
    }

    /// The limit reported by the replica process that is listed now.
    pub fn listed_rate_limit(&self, id: &str) -> Option<&RateLimit> {
        let facts = self.replicas.get(id)?;
        self.rate_limit(id, facts.record.started_epoch_ms)
    }
}

/// Finds a replica's limit; one reported by an earlier or later process of the replica does not count.
pub fn find_limit<'a>(limits: &'a RateLimitMap, id: &str, started_epoch_ms: u64) -> Option<&'a RateLimit> {
    let limit = limits.get(id)?;
    (limit.started_epoch_ms == started_epoch_ms).then_some(limit)
}

/// The limits in force, shared by traffic and placement without copying.
pub type SharedRateLimits = Arc<RateLimitMap>;
