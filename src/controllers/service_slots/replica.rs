//! An owner's view of one replica: what it has granted there, what other sends the reported loads show, and how
//! long an answer takes.

use std::sync::Arc;

use super::LoadReport;
use crate::blackboard::{ReplicaFacts, ReplicaLoad, ReplicaRecord};
use crate::prelude::*;

/// How long a reported load and pace are valid, in milliseconds.
pub(super) const LOAD_VALID_MS: u64 = 600;

/// How many requests more than it has slots a replica gets. One is there when a slot becomes free, which covers
/// the time that the release and the next grant take.
const EXTRA_GRANTS: u32 = 1;

/// How long a replica gets fewer requests after it rejected one, in milliseconds.
const REDUCED_MS: u64 = 500;

/// How long a replica is used only where no other has a free slot after a send to it failed, in milliseconds.
const FAILED_MS: u64 = 400;

/// The cost of another zone, in microseconds of waiting: a round trip. Zones only decide between replicas that
/// answer nearly equally fast.
const OTHER_ZONE_COST_US: u64 = 2_000;

/// The inverse of the smoothing factor of the moving average of answer times.
const SMOOTHING_DIVISOR: u64 = 8;

/// How long a measured answer time is valid, in milliseconds. A replica that was slow gets no requests while others
/// have room, so that only the end of this time shows whether it has recovered.
const WORK_VALID_MS: u64 = 2_000;

/// An abandoned send counts as an answer time once it took this many times the expected one; callers that leave early
/// say nothing about the replica.
const ABANDONED_FACTOR: u64 = 2;

/// A replica's pace when it works as usual, in percent.
const USUAL_PACE_PERCENT: u64 = 100;

/// A load that the replica reported.
#[derive(Clone, Copy, Debug)]
struct KnownLoad {
    reported: ReplicaLoad,
    reported_at: Moment,
    /// Requests in the report that this owner has not granted.
    foreign: u32,
}

/// A replica's limit after rejections.
#[derive(Clone, Copy, Debug)]
struct ReducedLimit {
    limit: u32,
    until: Moment,
}

/// The state of a replica at the owner of its service.
#[derive(Debug)]
pub(super) struct ReplicaSlots {
    pub record: Arc<ReplicaRecord>,
    /// Whether the replica drains or is no longer listed.
    pub is_leaving: bool,
    /// Requests that this owner has granted and that have not ended.
    pub granted: u32,
    load: Option<KnownLoad>,
    /// Moving average of the answer time at the usual pace, in microseconds; zero while unknown.
    work_us: u64,
    /// When the latest answer time was recorded.
    worked_at: Moment,
    reduced: Option<ReducedLimit>,
    failed_until: Moment,
}

impl ReplicaSlots {
    pub fn new(facts: &ReplicaFacts) -> Self {
        Self {
            record: facts.record.clone(),
            is_leaving: facts.stop_at.is_some(),
            granted: 0,
            load: None,
            work_us: 0,
            worked_at: Moment::default(),
            reduced: None,
            failed_until: Moment::default(),
        }
    }

    /// Applies the replica's entry of a new list. What is known of an earlier process under the same id ends,
    /// apart from the grants, which their holders release.
    pub fn update(&mut self, facts: &ReplicaFacts) {
        if self.record.started_epoch_ms != facts.record.started_epoch_ms {
            let granted = self.granted;
            *self = Self::new(facts);
            self.granted = granted;
        }
        self.record = facts.record.clone();
        self.is_leaving = facts.stop_at.is_some();
    }

    pub fn slots(&self) -> u32 {
        self.record.slots.max(1)
    }

    /// Records a reported load, unless a later one is known.
    pub fn record_load(&mut self, report: &LoadReport) {
        let is_newer = |known: &KnownLoad| report.reported_at >= known.reported_at;
        if self.load.as_ref().is_none_or(is_newer) {
            let reported = report.load;
            let total = reported.running.saturating_add(reported.waiting);
            self.load = Some(KnownLoad {
                reported,
                reported_at: report.reported_at,
                foreign: total.saturating_sub(self.granted),
            });
        }
    }

    fn valid_load(&self, now: Moment) -> Option<&KnownLoad> {
        let is_valid = |known: &&KnownLoad| !now.reached(known.reported_at.after_ms(LOAD_VALID_MS));
        self.load.as_ref().filter(is_valid)
    }

    /// Requests at the replica: those granted, and those of others by the latest report. The latter end without
    /// a word to this owner, so they count less the older the report is.
    pub fn occupied(&self, now: Moment) -> u32 {
        let foreign = self.valid_load(now).map_or(0, |known| {
            let left_ms = now.until_ms(known.reported_at.after_ms(LOAD_VALID_MS));
            (u64::from(known.foreign) * left_ms / LOAD_VALID_MS) as u32
        });
        self.granted.saturating_add(foreign)
    }

    /// The most requests that the replica may have now.
    pub fn limit(&self, now: Moment) -> u32 {
        let usual = self.slots() + EXTRA_GRANTS;
        let reduced = self.reduced.filter(|reduced| !now.reached(reduced.until));
        reduced.map_or(usual, |reduced| reduced.limit.min(usual))
    }

    pub fn has_room(&self, now: Moment) -> bool {
        !self.is_leaving && self.occupied(now) < self.limit(now)
    }

    /// Records that the replica rejected a request although it should have had room: others send to it too.
    /// Each rejection halves its limit for a short time.
    pub fn record_rejection(&mut self, now: Moment) {
        self.reduced = Some(ReducedLimit {
            limit: (self.limit(now) / 2).max(1),
            until: now.after_ms(REDUCED_MS),
        });
    }

    /// Records that a send to the replica failed.
    pub fn record_failure(&mut self, now: Moment) {
        self.failed_until = now.after_ms(FAILED_MS);
    }

    /// Whether a send to the replica failed or was rejected lately, so that it is used only where no other replica
    /// has room. A replica that rejects all requests would otherwise seem free, and use up the retry budget.
    pub fn is_last_choice(&self, now: Moment) -> bool {
        let is_reduced = self.reduced.is_some_and(|reduced| !now.reached(reduced.until));
        is_reduced || !now.reached(self.failed_until)
    }

    fn pace_percent(&self, now: Moment) -> u64 {
        let pace = self
            .valid_load(now)
            .map(|known| u64::from(known.reported.pace_percent));
        pace.map_or(USUAL_PACE_PERCENT, |pace| pace.max(1))
    }

    /// Records the time that an answer took, in milliseconds.
    pub fn record_answer(&mut self, elapsed_ms: u64, now: Moment) {
        let newest = (elapsed_ms.max(1) * 1_000 * USUAL_PACE_PERCENT) / self.pace_percent(now);
        self.work_us = match self.work_us(now) {
            None => newest,
            Some(mean) => (mean * (SMOOTHING_DIVISOR - 1) + newest) / SMOOTHING_DIVISOR,
        };
        self.worked_at = now;
        self.failed_until = Moment::default();
    }

    /// Records a send that was given up without an answer after this many milliseconds. `usual_us` is as in
    /// [`Self::answer_us`].
    pub fn record_abandoned(&mut self, elapsed_ms: u64, usual_us: u64, now: Moment) {
        if elapsed_ms * 1_000 > self.answer_us(usual_us, now) * ABANDONED_FACTOR {
            self.record_answer(elapsed_ms, now);
        }
    }

    /// The measured answer time at the usual pace, in microseconds; `None` if none was measured lately.
    pub fn work_us(&self, now: Moment) -> Option<u64> {
        let is_valid = self.work_us > 0 && !now.reached(self.worked_at.after_ms(WORK_VALID_MS));
        is_valid.then_some(self.work_us)
    }

    /// The expected answer time of a request that runs at once, in microseconds. `usual_us` is
    /// assumed where none was measured lately.
    pub fn answer_us(&self, usual_us: u64, now: Moment) -> u64 {
        let work_us = self.work_us(now).unwrap_or(usual_us);
        (work_us * self.pace_percent(now) / USUAL_PACE_PERCENT).max(1)
    }

    /// The expected time until another request for a caller of a zone is answered, in microseconds: the work
    /// times the pace, and the wait for a slot.
    pub fn cost_us(&self, usual_us: u64, zone: &str, now: Moment) -> u64 {
        let slots = u64::from(self.slots());
        let waiting = (u64::from(self.occupied(now)) + 1).saturating_sub(slots);
        let zone_us = match *self.record.zone == *zone {
            true => 0,
            false => OTHER_ZONE_COST_US,
        };
        self.answer_us(usual_us, now) * (slots + waiting) / slots + zone_us
    }
}
