//! What replicas said of their limits, and which of two statements is the later one.

use crate::blackboard::{RateLimit, ReplicaId, RequestRate};
use crate::prelude::*;

/// How long a record is kept after its replica last spoke, in milliseconds: an entry may lapse and come back.
const RETENTION_MS: u64 = 600_000;

/// Records that are kept, several times the replicas of the two-year size.
const MAX_REPORTS: usize = 4_096;

/// A replica's latest statement on its limit, as one answer made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitReport {
    /// Which replica.
    pub replica: ReplicaId,
    /// Which start of it.
    pub started_epoch_ms: u64,
    /// The limit; `None` where it names none any more.
    pub rate: Option<RequestRate>,
    /// When the limit was first named.
    pub first_named_at: Moment,
    /// When the request was sent that was answered so. It orders statements of different VMs.
    pub asked_at: Moment,
    /// When the answer came.
    pub answered_at: Moment,
    /// The VM that got the answer.
    pub seen_by: VmAddress,
}

/// What a statement adds to what was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// It is older than what was known, or says nothing.
    Nothing,
    /// The limit is named again.
    Renewed,
    /// The limit is another one, or was named earlier than was known.
    OtherRate,
    /// There was no limit.
    Named,
    /// There is no limit any more.
    Ended,
}

/// The latest statements of all replicas, by name.
#[derive(Debug, Default)]
pub struct LimitTable {
    reports: FastMap<ReplicaId, LimitReport>,
}

impl LimitTable {
    /// The latest statement of a replica.
    pub fn get(&self, id: &str) -> Option<&LimitReport> {
        self.reports.get(id)
    }

    /// All statements.
    pub fn iter(&self) -> impl Iterator<Item = &LimitReport> {
        self.reports.values()
    }

    /// Takes a statement of an answer to this VM. An answer to a request that was sent before the limit was last named here
    /// does not end it.
    pub fn apply_own(&mut self, report: LimitReport) -> LimitChange {
        if report.rate.is_none() {
            let known = self.reports.get(&report.replica);
            let ends = known.is_some_and(|known| {
                known.rate.is_some()
                    && (known.started_epoch_ms < report.started_epoch_ms
                        || report.asked_at >= known.answered_at)
            });
            if !ends {
                return LimitChange::Nothing;
            }
        }
        self.apply_peer(report)
    }

    /// Takes a statement as another VM tells it: of two the one counts whose request was sent later.
    pub fn apply_peer(&mut self, mut report: LimitReport) -> LimitChange {
        let Some(known) = self.reports.get_mut(&report.replica) else {
            let is_named = report.rate.is_some();
            self.evict_oldest();
            self.reports.insert(report.replica.clone(), report);
            return if is_named {
                LimitChange::Named
            } else {
                LimitChange::Nothing
            };
        };
        if report.started_epoch_ms < known.started_epoch_ms {
            return LimitChange::Nothing;
        }
        if report.started_epoch_ms == known.started_epoch_ms {
            let is_later = match report.rate {
                Some(_) => report.asked_at >= known.asked_at,
                None => report.asked_at > known.asked_at,
            };
            let mut is_named_earlier = false;
            if report.rate.is_some() && known.rate.is_some() {
                is_named_earlier = report.first_named_at < known.first_named_at;
                report.first_named_at = report.first_named_at.min(known.first_named_at);
                known.first_named_at = report.first_named_at;
                report.answered_at = report.answered_at.max(known.answered_at);
            }
            match (is_later, is_named_earlier) {
                (true, _) => {}
                (false, true) => return LimitChange::OtherRate,
                (false, false) => return LimitChange::Nothing,
            }
        }
        let previous = std::mem::replace(known, report);
        match (previous.rate, known.rate) {
            (None, None) => LimitChange::Nothing,
            (None, Some(_)) => LimitChange::Named,
            (Some(_), None) => LimitChange::Ended,
            (Some(_), Some(_)) if previous.started_epoch_ms != known.started_epoch_ms => LimitChange::Named,
            (Some(old), Some(new)) if old != new => LimitChange::OtherRate,
            (Some(_), Some(_)) => LimitChange::Renewed,
        }
    }

    fn evict_oldest(&mut self) {
        if self.reports.len() < MAX_REPORTS {
            return;
        }
        let oldest = self
            .reports
            .values()
            .min_by_key(|report| (report.rate.is_some(), report.answered_at));
        if let Some(id) = oldest.map(|report| report.replica.clone()) {
            self.reports.remove(&id);
        }
    }

    /// Forgets what earlier starts of replicas said, and what was said long ago by those that are off the list or name no
    /// limit; `listed_start` gives the start of a replica on the list.
    pub fn remove_expired(&mut self, now: Moment, listed_start: impl Fn(&LimitReport) -> Option<u64>) {
        self.reports.retain(|_, report| {
            let is_recent = !now.reached(report.answered_at.after_ms(RETENTION_MS));
            match listed_start(report) {
                Some(start) if start > report.started_epoch_ms => false,
                Some(start) if start == report.started_epoch_ms && report.rate.is_some() => true,
                _ => is_recent,
            }
        });
    }

    /// The limits in force.
    pub fn limits(&self) -> FastMap<ReplicaId, RateLimit> {
        let named = self.reports.values().filter_map(|report| {
            let limit = RateLimit {
                started_epoch_ms: report.started_epoch_ms,
                rate: report.rate?,
                first_named_at: report.first_named_at,
                seen_by: report.seen_by.clone(),
            };
            Some((report.replica.clone(), limit))
        });
        named.collect()
    }
}
