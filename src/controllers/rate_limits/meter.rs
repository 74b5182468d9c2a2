//! How many requests an owner lets go to replicas that name a limit.
//!
//! Each replica's requests are spaced by a leaky bucket (the generic cell rate algorithm): the next one may go once the time
//! has come that the ones before it leave. An owner may not be the only one for a while: it was cut off, frozen, or has just
//! taken over from one that is still alive for others. It then grants a part of each limit only, such that all owners together
//! stay within one and a half times of it.

use crate::blackboard::{RateLimit, ReplicaId, RequestRate};
use crate::prelude::*;

/// Requests that were not made are saved up for as long as this, in milliseconds, so that a limit is used although requests
/// come unevenly.
const BURST_MS: u64 = 250;

/// How long after a takeover VMs may not have noticed yet which others are out of sight, in milliseconds.
const DETECTION_MS: u64 = 2_500;

/// How long after a takeover what the owner before granted may still count, in milliseconds.
const TAKEOVER_MS: u64 = 4_000;

/// How long after the owner before said that it grants no more this VM may become the owner on its word, in milliseconds.
const HANDOVER_MS: u64 = 3_000;

/// The part of a limit that a VM grants in place of an owner that others can't reach and it can. There may be several.
const FALLBACK_FRACTION: (u64, u64) = (1, 8);

/// The part that an owner grants which has just taken over and may not have noticed yet that others did, too.
const UNDETECTED_FRACTION: (u64, u64) = (1, 4);

/// The part that an owner grants which has noticed who is out of sight, until it has owned the limit for long enough.
const DETECTED_FRACTION: (u64, u64) = (1, 2);

/// How long after it was first named a limit is new to all owners, in milliseconds, so that none has granted much of it.
const NEW_LIMIT_MS: u64 = 1_000;

/// How long after its start a process can't tell a new limit from an old one, in milliseconds: until others have told it
/// what they know.
const STARTUP_MS: u64 = 500;

/// The longest time between two looks at who owns what, in milliseconds. A process that did not look for longer was suspended,
/// and another one may have taken over meanwhile.
const SUSPENSION_MS: u64 = 1_500;

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// One replica's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RateMeter {
    started_epoch_ms: u64,
    /// When the next request may go, in microseconds of this process's clock.
    next_us: u64,
    /// When the latest request was let go.
    granted_at: Moment,
}

/// How this VM stands as the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerView {
    /// Whether it is the owner, as far as it can see.
    pub is_owner: bool,
    /// How often it has contradicted a suspicion of itself.
    pub renewal: u32,
    /// VMs that it takes for alive, itself too; zero while it still looks for the others.
    pub live_count: usize,
    /// VMs that may be running, those out of sight too.
    pub member_count: usize,
}

/// The turns of one replica that come next, the earliest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SendSchedule {
    next_us: u64,
    gap_us: u64,
}

impl SendSchedule {
    /// How long until the first of them, in milliseconds.
    pub fn wait_ms(&self, now: Moment) -> u64 {
        self.next_us.saturating_sub(to_us(now)).div_ceil(US_PER_MS)
    }

    /// The time between two of them, in milliseconds.
    pub fn gap_ms(&self) -> u64 {
        self.gap_us / US_PER_MS
    }

    /// Those after the first.
    pub fn after_first(self) -> Self {
        Self {
            next_us: self.next_us + self.gap_us,
            ..self
        }
    }
}

/// The requests of some replicas that one owner lets go.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    meters: FastMap<ReplicaId, RateMeter>,
    view: Option<OwnerView>,
    checked_at: Moment,
    /// When this VM last began to grant, became the owner, or could have lost its place without noticing.
    took_over_at: Moment,
    /// When the owner before last said that it grants no more.
    handed_over_at: Option<Moment>,
}

impl PermitIssuer {
    /// Takes note of who owns the replicas now; whether this VM has just ceased to.
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

    /// Takes the word of the owner before that it grants no more, which may come before this VM sees that it is the owner.
    pub fn take_over(&mut self, now: Moment) {
        self.handed_over_at = Some(now);
    }

    fn is_handed_over(&self) -> bool {
        let valid_until = self.handed_over_at.map(|at| at.after_ms(HANDOVER_MS));
        valid_until.is_some_and(|until| until >= self.took_over_at)
    }

    /// The part of a limit that this VM may grant now.
    fn granted_fraction(&self, limit: &RateLimit, now: Moment) -> (u64, u64) {
        let Some(view) = self.view else {
            return FALLBACK_FRACTION;
        };
        if view.live_count == 0 {
            return (0, 1);
        }
        let is_new = limit.first_named_at.0 >= STARTUP_MS
            && limit.first_named_at.after_ms(NEW_LIMIT_MS) >= self.took_over_at;
        let settled = match self.took_over_at.until_ms(now) {
            _ if !view.is_owner => FALLBACK_FRACTION,
            _ if is_new || self.is_handed_over() => (1, 1),
            ..DETECTION_MS => UNDETECTED_FRACTION,
            DETECTION_MS..TAKEOVER_MS => DETECTED_FRACTION,
            _ => (1, 1),
        };
        // Where less than half of the VMs are in sight, others may own the rest of the limit.
        let is_majority = view.live_count * 2 > view.member_count;
        let live_fraction = (view.live_count as u64, view.member_count.max(1) as u64);
        if is_majority || settled.0 * live_fraction.1 < live_fraction.0 * settled.1 {
            settled
        } else {
            live_fraction
        }
    }

    /// The rate at which this VM may let requests go.
    pub fn rate(&self, limit: &RateLimit, now: Moment) -> RequestRate {
        let (numerator, denominator) = self.granted_fraction(limit, now);
        limit.rate.part(numerator, denominator)
    }

    /// How long until a request may go to a replica, in milliseconds; `None` where none may.
    pub fn wait_ms(&self, id: &ReplicaId, limit: &RateLimit, now: Moment) -> Option<u64> {
        let gap_us = self.rate(limit, now).gap_us()?;
        let next_us = self.next_us(id, limit, gap_us);
        Some(next_us.saturating_sub(to_us(now)).div_ceil(US_PER_MS))
    }

    /// When the next request may go to a replica, in microseconds. Nothing is saved up before the first one that this VM lets
    /// go since it took over.
    fn next_us(&self, id: &ReplicaId, limit: &RateLimit, gap_us: u64) -> u64 {
        let earliest_us = to_us(self.took_over_at.max(limit.first_named_at)) + gap_us;
        match self.meter(id, limit) {
            Some(meter) if meter.granted_at >= self.took_over_at => meter.next_us,
            Some(meter) => meter.next_us.max(earliest_us),
            None => earliest_us,
        }
    }

    /// The turns of a replica that come next; `None` where none does.
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

    /// Lets a request go; how long it has to wait, in milliseconds.
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

    /// Takes back a request that was let go and was not sent.
    pub fn give_back(&mut self, id: &ReplicaId, limit: &RateLimit, now: Moment) {
        let gap_us = self.rate(limit, now).gap_us();
        let meter = self.meters.get_mut(id);
        let meter = meter.filter(|meter| meter.started_epoch_ms == limit.started_epoch_ms);
        if let (Some(gap_us), Some(meter)) = (gap_us, meter) {
            meter.next_us = meter.next_us.saturating_sub(gap_us);
        }
    }

    /// Forgets replicas that name no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(&ReplicaId) -> bool) {
        self.meters.retain(|id, _| is_limited(id));
    }
}

fn to_us(moment: Moment) -> u64 {
    moment.0 * US_PER_MS
}
