//! Issues permits for requests to rate-limited replicas, within the limits.
//!
//! A leaky bucket (the generic cell rate algorithm, GCRA) spaces the requests to each replica. For a while there
//! may be several owners: one was partitioned or suspended, or has just taken over from one that other VMs
//! still consider alive. An owner that may not be the only one grants a fraction of each limit, such that all
//! owners together stay within 1.5 times the limit.

use crate::blackboard::{RateLimit, ReplicaId, RequestRate};
use crate::prelude::*;

/// The burst tolerance, in milliseconds: send slots that were left unused within this time can be used later,
/// so that a limit is fully used although requests arrive unevenly.
const BURST_MS: u64 = 250;

/// The time after a takeover within which VMs may not have detected yet which others are unreachable, in
/// milliseconds.
const DETECTION_MS: u64 = 2_500;

/// The time after a takeover within which permits of the previous owner may still be used, in milliseconds.
const TAKEOVER_MS: u64 = 4_000;

/// How long a handover by the previous owner is valid, in milliseconds: this VM must become the owner within
/// this time.
const HANDOVER_MS: u64 = 3_000;

/// The fraction of a limit that a fallback owner grants: by its own view another VM is the owner, but the
/// requesting VM can't reach that one. There may be several fallback owners.
const FALLBACK_FRACTION: (u64, u64) = (1, 8);

/// The fraction that an owner grants in the first [`DETECTION_MS`] after a takeover, when it may not have
/// detected yet that others took over too.
const UNDETECTED_FRACTION: (u64, u64) = (1, 4);

/// The fraction that an owner grants once it has detected which VMs are unreachable, until the end of the
/// takeover.
const DETECTED_FRACTION: (u64, u64) = (1, 2);

/// How long after its first report a limit counts as new, in milliseconds. No owner can have granted much of
/// a new limit, so that a takeover doesn't reduce it.
const NEW_LIMIT_MS: u64 = 1_000;

/// How long after its start a process can't distinguish a new limit from an old one, in milliseconds, since
/// it hasn't received the other VMs' reports yet.
const STARTUP_MS: u64 = 500;

/// The longest usual time between two ownership checks, in milliseconds. After a longer gap the process may
/// have been suspended, and another VM may have taken over meanwhile.
const SUSPENSION_MS: u64 = 1_500;

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

/// This VM's view of its ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerView {
    /// Whether this VM is the owner by its own view of the cluster.
    pub is_owner: bool,
    /// How often this VM has refuted a suspicion of itself; an increase means that others considered it dead.
    pub renewal: u32,
    /// The number of VMs that it considers alive, including itself; zero at startup until it has contacted
    /// others.
    pub live_count: usize,
    /// The number of VMs that may be running, including unreachable ones.
    pub member_count: usize,
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
    view: Option<OwnerView>,
    checked_at: Moment,
    /// When this VM last began to issue permits, became the owner, or may have lost ownership without
    /// detecting it.
    took_over_at: Moment,
    /// When the previous owner last announced that it has stopped issuing permits.
    handed_over_at: Option<Moment>,
}

impl PermitIssuer {
    /// Updates the view of the ownership. Returns whether this VM has just lost it.
    pub fn update_view(&mut self, view: OwnerView, now: Moment) -> bool {
        let was_owner = self.view.is_some_and(|known| known.is_owner);
        let is_continuous = self.view.is_some_and(|known| {
            known.renewal == view.renewal
                && known.is_owner >= view.is_owner
                && !now.reached(self.checked_at.after_ms(SUSPENSION_MS))
        });
        if !is_continuous {
            self.took_over_at = now;
        }
        self.view = Some(view);
        self.checked_at = now;
        let has_lost_ownership = was_owner && !view.is_owner;
        if has_lost_ownership {
            self.handed_over_at = None;
        }
        has_lost_ownership
    }

    /// Records that the previous owner has stopped issuing permits. The message may arrive before this VM
    /// sees itself as the owner.
    pub fn record_handover(&mut self, now: Moment) {
        self.handed_over_at = Some(now);
    }

    fn is_handed_over(&self) -> bool {
        let valid_until = self.handed_over_at.map(|at| at.after_ms(HANDOVER_MS));
        valid_until.is_some_and(|until| until >= self.took_over_at)
    }

    /// The fraction of a limit that this VM may grant now.
    fn granted_fraction(&self, limit: &RateLimit, now: Moment) -> (u64, u64) {
        let Some(view) = self.view else {
            return FALLBACK_FRACTION;
        };
        if view.live_count == 0 {
            return (0, 1);
        }
        let is_new = limit.first_reported_at.0 >= STARTUP_MS
            && limit.first_reported_at.after_ms(NEW_LIMIT_MS) >= self.took_over_at;
        let base_fraction = match self.took_over_at.until_ms(now) {
            _ if !view.is_owner => FALLBACK_FRACTION,
            _ if is_new || self.is_handed_over() => (1, 1),
            ..DETECTION_MS => UNDETECTED_FRACTION,
            DETECTION_MS..TAKEOVER_MS => DETECTED_FRACTION,
            _ => (1, 1),
        };
        // Unless a majority of the VMs is reachable, other owners may grant the rest of the limit.
        let is_majority = view.live_count * 2 > view.member_count;
        let live_fraction = (view.live_count as u64, view.member_count.max(1) as u64);
        if is_majority || base_fraction.0 * live_fraction.1 < live_fraction.0 * base_fraction.1 {
            base_fraction
        } else {
            live_fraction
        }
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
        let earliest_us = to_us(self.took_over_at.max(limit.first_reported_at)) + gap_us;
        match self.meter(id, limit) {
            Some(meter) if meter.granted_at >= self.took_over_at => meter.next_us,
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
