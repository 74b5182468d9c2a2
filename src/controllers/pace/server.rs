//! The pace of one replica.

use super::{AnswerSample, PaceReason, PaceState};
use crate::blackboard::ReplicaLoad;
use crate::prelude::*;

/// The part of its slots with which a fresh replica starts: a quarter. An engine's answers take seconds, so
/// that from one request on it would stay idle for several of them.
const START_DIVISOR: u32 = 4;

/// How long a ramp takes at most without an announced cold time, in milliseconds. A replica that is still
/// slow then is taken as slow for good, which its measured answer times account for.
const MAX_RAMP_MS: u64 = 10_000;

/// How long a ramp lasts at most after the end of an announced cold time, in milliseconds.
const AFTER_COLD_MS: u64 = 2_000;

/// The longest announced cold time that is used, in milliseconds; a longer one is taken for a mistake.
const MAX_COLD_MS: u64 = 60_000;

/// How much more time than its peers a replica may take for the same work and still count as equal, in
/// percent of theirs: the usual spread between replicas under equal load.
const EQUAL_PERCENT: u64 = 125;

/// Failures in a row after which a replica has to recover. A single one may be due to the request or to the
/// connection.
const FAILURE_THRESHOLD: u32 = 2;

/// How long the limit isn't raised after a rejection, in milliseconds: the requests that were sent before it
/// are answered within that time.
const REJECTION_PAUSE_MS: u64 = 200;

/// A recovery that begins within this time after the last one began shows that the replica alternates between
/// up and down, in milliseconds. Each such recovery takes twice the answers of the one before.
const ALTERNATION_MS: u64 = 30_000;

/// The most answers that raise the limit by one, as a power of two.
const MAX_STEP_DOUBLINGS: u32 = 4;

/// The inverse of the smoothing factor of the moving average of times.
const SMOOTHING_DIVISOR: u64 = 4;

/// How a replica's ramp begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RampStart {
    /// When the replica was first listed.
    pub since: Moment,
    /// The end of the cold time that its entry announces; `None` if it announces none.
    pub cold_until: Option<Moment>,
    /// Until then it counts as full for this VM, so that not all VMs send their first requests at once.
    pub first_send_at: Moment,
}

/// Restrains the concurrent requests of one replica after its start or its recovery.
#[derive(Clone, Debug, Default)]
pub struct ServerPace {
    state: PaceState,
    /// Requests that it may have; `None` until the number of its slots is known.
    allowed: Option<u32>,
    /// Answers that count toward the next raise of the limit.
    good_answers: u32,
    /// Binary logarithm of the answers that raise the limit by one.
    step_doublings: u32,
    /// The limit isn't raised before this time.
    raise_at: Moment,
    since: Moment,
    ends_at: Moment,
    first_send_at: Moment,
    /// Until then another failure shows that the replica alternates between up and down.
    alternation_until: Moment,
    /// Failures since its last answer.
    failures: u32,
    /// When it failed last.
    failed_at: Option<Moment>,
    /// The moving average of the time for one unit of work, in microseconds; zero while unknown.
    work_us: u64,
    /// The median of its peers' averages, in microseconds; zero while unknown.
    peer_us: u64,
}

impl ServerPace {
    /// The pace of a replica that has just started.
    pub fn fresh(start: RampStart) -> Self {
        let cold_end = start.cold_until.map_or(Moment::default(), |until| {
            until
                .after_ms(AFTER_COLD_MS)
                .min(start.since.after_ms(MAX_COLD_MS))
        });
        Self {
            state: PaceState::Fresh,
            since: start.since,
            ends_at: start.since.after_ms(MAX_RAMP_MS).max(cold_end),
            first_send_at: start.first_send_at,
            ..Self::default()
        }
    }

    /// The replica's state, as of the last update.
    pub fn state(&self) -> PaceState {
        self.state
    }

    /// Whether the replica's requests are restrained.
    pub fn is_ramping(&self, now: Moment) -> bool {
        self.state != PaceState::Usual && !now.reached(self.ends_at)
    }

    /// When the ramp ends at the latest; `None` if there is none.
    pub fn ends_at(&self) -> Option<Moment> {
        (self.state != PaceState::Usual).then_some(self.ends_at)
    }

    /// Whether the replica's start was seen, and no answer since then gave its time.
    pub fn is_unmeasured_start(&self) -> bool {
        self.since > Moment::default() && self.work_us == 0
    }

    /// The moving average of the time for one unit of work, in microseconds; zero while unknown.
    pub fn work_us(&self) -> u64 {
        self.work_us
    }

    /// The median of the peers' averages that was set last, in microseconds; zero while unknown.
    pub fn peer_us(&self) -> u64 {
        self.peer_us
    }

    /// Sets the median of the peers' times for one unit of work, in microseconds.
    pub fn set_peer_us(&mut self, peer_us: u64) {
        self.peer_us = peer_us;
    }

    /// Concurrent requests that a replica with so many slots may have now: at least one, at most all slots. A
    /// decider that learns late of a start, such as a new owner, begins with the share of the time that has
    /// passed.
    pub fn limit(&self, slots: u32, now: Moment) -> u32 {
        if !self.is_ramping(now) {
            return slots.max(1);
        }
        let allowed = self.allowed.unwrap_or_else(|| self.start_limit(slots, now));
        allowed.clamp(1, slots.max(1))
    }

    /// Whether a replica with so many requests and slots should get no more while others have room.
    pub fn is_full(&self, requests: u32, slots: u32, now: Moment) -> bool {
        let is_waiting = !now.reached(self.first_send_at);
        self.is_ramping(now) && (is_waiting || requests >= self.limit(slots, now))
    }

    fn start_limit(&self, slots: u32, now: Moment) -> u32 {
        let first = match self.state {
            PaceState::Recovering => 1,
            PaceState::Usual | PaceState::Fresh => (slots / START_DIVISOR).max(1),
        };
        let span_ms = self.since.until_ms(self.ends_at).max(1);
        let rest = u64::from(slots.saturating_sub(first));
        first + (rest * self.since.until_ms(now).min(span_ms) / span_ms) as u32
    }

    /// How many concurrent requests keep the replica's answers about as fast as its peers', by the time that
    /// it takes for the same work or, until both are measured, by the pace that it reports.
    fn sustained_limit(&self, slots: u32, load: Option<ReplicaLoad>) -> u32 {
        let measured = (self.work_us * 100).checked_div(self.peer_us);
        let reported = load.map(|load| u64::from(load.pace_percent));
        let percent = measured.filter(|percent| *percent > 0).or(reported);
        let percent = percent.unwrap_or(100).max(EQUAL_PERCENT);
        (u64::from(slots) * EQUAL_PERCENT).div_ceil(percent).max(1) as u32
    }

    /// Records an answer. Returns the reason if this ended the ramp.
    pub fn record_answer(&mut self, sample: &AnswerSample, slots: u32, now: Moment) -> Option<PaceReason> {
        let (work_us, load) = (sample.work_us.max(1), sample.load);
        self.work_us = match self.work_us {
            0 => work_us,
            known => (known * (SMOOTHING_DIVISOR - 1) + work_us) / SMOOTHING_DIVISOR,
        };
        if self
            .failed_at
            .is_some_and(|failed_at| sample.sent_at <= failed_at)
        {
            return None;
        }
        if self.state == PaceState::Recovering && self.failures > 0 {
            self.ends_at = now.after_ms(MAX_RAMP_MS);
        }
        self.failures = 0;
        if !self.is_ramping(now) {
            return self.end_if_due(now);
        }
        let allowed = self.limit(slots, now);
        let sustained = self.sustained_limit(slots, load);
        let is_queueing = load.is_some_and(|load| load.waiting > 0);
        let next = if allowed >= sustained {
            sustained
        } else if is_queueing || !now.reached(self.raise_at) {
            allowed
        } else {
            self.good_answers += 1;
            let is_step = self.good_answers >> self.step_doublings > 0;
            if is_step {
                self.good_answers = 0;
            }
            allowed + u32::from(is_step)
        };
        self.allowed = Some(next);
        if next < slots {
            return None;
        }
        self.end();
        Some(PaceReason::CaughtUp)
    }

    /// Records that the replica rejected a request without running it: others send to it too.
    pub fn record_rejection(&mut self, slots: u32, now: Moment) {
        if self.is_ramping(now) {
            self.allowed = Some((self.limit(slots, now) / 2).max(1));
            self.good_answers = 0;
            self.raise_at = now.after_ms(REJECTION_PAUSE_MS);
        }
    }

    /// Records that an answer did not come: nothing is known of the replica, so its limit stays for a while.
    pub fn record_no_answer(&mut self, slots: u32, now: Moment) {
        if self.is_ramping(now) {
            self.allowed = Some(self.limit(slots, now));
            self.raise_at = now.after_ms(REJECTION_PAUSE_MS);
        }
    }

    /// Records that the replica ran a request and answered with an error: it is reachable, but the time says
    /// nothing of how fast it serves.
    pub fn record_error(&mut self, slots: u32, now: Moment) {
        self.failures = 0;
        self.record_no_answer(slots, now);
    }

    /// Records a failure. Returns the reason if the replica has to recover from now on.
    pub fn record_failure(&mut self, slots: u32, now: Moment) -> Option<PaceReason> {
        self.failures += 1;
        self.failed_at = Some(now);
        if self.failures < FAILURE_THRESHOLD {
            self.record_rejection(slots, now);
            return None;
        }
        let is_new = self.state != PaceState::Recovering || self.failures == FAILURE_THRESHOLD;
        if is_new {
            self.step_doublings = match now.reached(self.alternation_until) {
                true => 0,
                false => (self.step_doublings + 1).min(MAX_STEP_DOUBLINGS),
            };
            self.alternation_until = now.after_ms(ALTERNATION_MS);
        }
        let was_recovering = self.state == PaceState::Recovering;
        self.state = PaceState::Recovering;
        self.allowed = Some(1);
        self.good_answers = 0;
        self.raise_at = now;
        self.since = now;
        self.ends_at = now.after_ms(MAX_RAMP_MS);
        (!was_recovering).then_some(PaceReason::Failures)
    }

    /// Ends the ramp if its longest time is over; returns the reason if it did.
    pub fn end_if_due(&mut self, now: Moment) -> Option<PaceReason> {
        let is_due = self.state != PaceState::Usual && now.reached(self.ends_at);
        is_due.then(|| {
            self.end();
            PaceReason::TimeOver
        })
    }

    fn end(&mut self) {
        self.state = PaceState::Usual;
        self.allowed = None;
        self.good_answers = 0;
    }
}
