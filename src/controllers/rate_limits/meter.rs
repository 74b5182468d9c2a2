//! Issues permits for requests to rate-limited replicas, within the limits.
//!
//! A leaky bucket (the generic cell rate algorithm, GCRA) spaces the requests to each replica. An owner that may
//! not be the only one grants a fraction of each limit, such that all owners together stay within 1.5 times the
//! limit.

use crate::blackboard::{RateLimit, ReplicaId, RequestRate};
use crate::controllers::owner_tenure::{MajorityPart, OwnerTenure, OwnerView};
use crate::prelude::*;

/// The burst tolerance, in milliseconds: send slots that were left unused within this time can be used later,
/// so that a limit is fully used although requests arrive unevenly.
const BURST_MS: u64 = 250;

/// How long after its start a process can't distinguish a new limit from an old one, in milliseconds, since
/// it hasn't received the other VMs' reports yet.
const STARTUP_MS: u64 = 500;

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// The leaky bucket of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RateMeter {
    started_epoch_ms: u64,
    /// When the next request may be sent, in microseconds of this process's clock.
    next_us: u64,
    /// When the latest permit was granted.
    granted_at: Moment,
}

/// The upcoming send slots of one replica at a fixed interval. Schedules are ordered by their first slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SendSchedule {
    next_us: u64,
    gap_us: u64,
}

impl SendSchedule {
    /// The time until the first slot, in milliseconds.
    pub fn wait_ms(&self, now: Moment) -> u64 {
        self.next_us.saturating_sub(to_us(now)).div_ceil(US_PER_MS)
    }

    /// The time between two slots, in milliseconds.
    pub fn gap_ms(&self) -> u64 {
        self.gap_us / US_PER_MS
    }

    /// The schedule without its first slot.
    pub fn after_first(self) -> Self {
        Self {
            next_us: self.next_us + self.gap_us,
            ..self
        }
    }
}

/// Issues permits for replicas as their owner, within their limits.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    meters: FastMap<ReplicaId, RateMeter>,
    tenure: OwnerTenure,
}

impl PermitIssuer {
    /// Updates the view of the ownership. Returns whether this VM has just lost it.
    pub fn update_view(&mut self, view: OwnerView, now: Moment) -> bool {
        self.tenure.update_view(view, now).is_lost
    }

    /// Records that the previous owner has stopped issuing permits. The message may arrive before this VM
    /// sees itself as the owner.
    pub fn record_handover(&mut self, now: Moment) {
        self.tenure.record_handover(now);
    }

    /// The fraction of a limit that this VM may grant now.
    fn granted_fraction(&self, limit: &RateLimit, now: Moment) -> (u64, u64) {
        let is_new =
            limit.first_reported_at.0 >= STARTUP_MS && self.tenure.covers_new(limit.first_reported_at);
        self.tenure.fraction(MajorityPart::Whole, is_new, now)
    }

    /// The rate at which this VM may grant permits.
    pub fn rate(&self, limit: &RateLimit, now: Moment) -> RequestRate {
        let (numerator, denominator) = self.granted_fraction(limit, now);
        limit.rate.part(numerator, denominator)
    }

    /// The time until a request may be sent to a replica, in milliseconds; `None` if no request may be sent.
    pub fn wait_ms(&self, id: &ReplicaId, limit: &RateLimit, now: Moment) -> Option<u64> {
        let gap_us = self.rate(limit, now).gap_us()?;
        let next_us = self.next_us(id, limit, gap_us);
        Some(next_us.saturating_sub(to_us(now)).div_ceil(US_PER_MS))
    }

    /// When the next request may be sent to a replica, in microseconds of this process's clock. After a
    /// takeover unused send slots from before it are lost, so that it starts without a burst.
    fn next_us(&self, id: &ReplicaId, limit: &RateLimit, gap_us: u64) -> u64 {
        let earliest_us = to_us(self.tenure.took_over_at().max(limit.first_reported_at)) + gap_us;
        match self.meter(id, limit) {
            Some(meter) if meter.granted_at >= self.tenure.took_over_at() => meter.next_us,
            Some(meter) => meter.next_us.max(earliest_us),
            None => earliest_us,
        }
    }

    /// The next send slots of a replica; `None` if no request may be sent.
    pub fn upcoming(&self, id: &ReplicaId, limit: &RateLimit, now: Moment) -> Option<SendSchedule> {
        let gap_us = self.rate(limit, now).gap_us()?;
        let burst_start_us = to_us(now).saturating_sub(BURST_MS * US_PER_MS);
        let next_us = self.next_us(id, limit, gap_us).max(burst_start_us);
        Some(SendSchedule { next_us, gap_us })
    }

    fn meter(&self, id: &ReplicaId, limit: &RateLimit) -> Option<&RateMeter> {
        let meter = self.meters.get(id)?;
        (meter.started_epoch_ms == limit.started_epoch_ms).then_some(meter)
    }

    /// Grants a permit. Returns the time until the request may be sent, in milliseconds, or `None` if none
    /// may be sent.
    pub fn take(&mut self, id: &ReplicaId, limit: &RateLimit, now: Moment) -> Option<u64> {
        let gap_us = self.rate(limit, now).gap_us()?;
        let next_us = self.next_us(id, limit, gap_us);
        let burst_start_us = to_us(now).saturating_sub(BURST_MS * US_PER_MS);
        let meter = RateMeter {
            started_epoch_ms: limit.started_epoch_ms,
            next_us: next_us.max(burst_start_us) + gap_us,
            granted_at: now,
        };
        self.meters.insert(id.clone(), meter);
        Some(next_us.saturating_sub(to_us(now)).div_ceil(US_PER_MS))
    }

    /// Takes back a permit whose request was not sent, so that its send slot can be granted again.
    pub fn give_back(&mut self, id: &ReplicaId, limit: &RateLimit, now: Moment) {
        let gap_us = self.rate(limit, now).gap_us();
        let meter = self.meters.get_mut(id);
        let meter = meter.filter(|meter| meter.started_epoch_ms == limit.started_epoch_ms);
        if let (Some(gap_us), Some(meter)) = (gap_us, meter) {
            meter.next_us = meter.next_us.saturating_sub(gap_us);
        }
    }

    /// Removes the buckets of replicas that are no longer rate-limited.
    pub fn retain(&mut self, is_limited: impl Fn(&ReplicaId) -> bool) {
        self.meters.retain(|id, _| is_limited(id));
    }
}

fn to_us(moment: Moment) -> u64 {
    moment.0 * US_PER_MS
}
