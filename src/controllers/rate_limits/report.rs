//! The latest rate limit reports of replicas, and the order of reports that conflict.

use crate::blackboard::{RateLimit, ReplicaId, RequestRate};
use crate::prelude::*;

/// How long a report is kept after the replica's last answer, in milliseconds, since a replica's list entry
/// may expire and reappear.
const RETENTION_MS: u64 = 600_000;

/// The most reports that are kept: several times the number of replicas expected in two years.
const MAX_REPORTS: usize = 4_096;

/// A replica's report of its rate limit in one answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitReport {
    /// The replica that answered.
    pub replica: ReplicaId,
    /// The start time of the replica process that answered.
    pub started_epoch_ms: u64,
    /// The limit; `None` if the replica no longer reports one.
    pub rate: Option<RequestRate>,
    /// When the limit was first reported.
    pub first_reported_at: Moment,
    /// When the answered request was sent. It orders reports from different VMs.
    pub asked_at: Moment,
    /// When the answer was received; the latest one if the limit was reported repeatedly.
    pub answered_at: Moment,
    /// The VM that received the answer.
    pub seen_by: VmName,
}

/// The effect of a report on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The report is older than the known one, or reports no limit where none was known.
    Unchanged,
    /// The same limit was reported again.
    Renewed,
    /// The rate changed, or the limit was first reported earlier than was known.
    Updated,
    /// A limit was reported where none was known, or by a restarted replica.
    Added,
    /// The limit has ended.
    Ended,
}

/// The latest reports of all replicas, by replica.
#[derive(Debug, Default)]
pub struct LimitTable {
    reports: FastMap<ReplicaId, LimitReport>,
}

impl LimitTable {
    /// The latest report of a replica.
    pub fn get(&self, id: &str) -> Option<&LimitReport> {
        self.reports.get(id)
    }

    /// The latest report of each replica, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &LimitReport> {
        self.reports.values()
    }

    /// Applies a report from an answer to this VM. An answer without a limit ends the known limit only if its
    /// request was sent after the limit was last reported, or if the replica has restarted since.
    pub fn apply_own(&mut self, report: LimitReport) -> LimitChange {
        if report.rate.is_none() {
            let known = self.reports.get(&report.replica);
            let ends_limit = known.is_some_and(|known| {
                known.rate.is_some()
                    && (known.started_epoch_ms < report.started_epoch_ms
                        || report.asked_at >= known.answered_at)
            });
            if !ends_limit {
                return LimitChange::Unchanged;
            }
        }
        self.apply_peer(report)
    }

    /// Applies a report from another VM. Of two reports the one whose request was sent later wins.
    pub fn apply_peer(&mut self, mut report: LimitReport) -> LimitChange {
        let Some(known) = self.reports.get_mut(&report.replica) else {
            let has_rate = report.rate.is_some();
            self.evict_oldest();
            self.reports.insert(report.replica.clone(), report);
            return if has_rate {
                LimitChange::Added
            } else {
                LimitChange::Unchanged
            };
        };
        if report.started_epoch_ms < known.started_epoch_ms {
            return LimitChange::Unchanged;
        }
        if report.started_epoch_ms == known.started_epoch_ms {
            let is_later = match report.rate {
                Some(_) => report.asked_at >= known.asked_at,
                None => report.asked_at > known.asked_at,
            };
            let mut is_reported_earlier = false;
            if report.rate.is_some() && known.rate.is_some() {
                is_reported_earlier = report.first_reported_at < known.first_reported_at;
                report.first_reported_at = report.first_reported_at.min(known.first_reported_at);
                known.first_reported_at = report.first_reported_at;
                report.answered_at = report.answered_at.max(known.answered_at);
            }
            match (is_later, is_reported_earlier) {
                (true, _) => {}
                (false, true) => return LimitChange::Updated,
                (false, false) => return LimitChange::Unchanged,
            }
        }
        let previous = std::mem::replace(known, report);
        match (previous.rate, known.rate) {
            (None, None) => LimitChange::Unchanged,
            (None, Some(_)) => LimitChange::Added,
            (Some(_), None) => LimitChange::Ended,
            (Some(_), Some(_)) if previous.started_epoch_ms != known.started_epoch_ms => LimitChange::Added,
            (Some(old), Some(new)) if old != new => LimitChange::Updated,
            (Some(_), Some(_)) => LimitChange::Renewed,
        }
    }

    /// Removes the oldest report if the table is full; reports without a limit go first.
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

    /// Removes reports of earlier starts of replicas, and old reports of replicas that aren't listed or
    /// report no limit. `listed_start` returns the start time of a listed replica.
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

    /// The limits of all replicas that report one.
    pub fn limits(&self) -> FastMap<ReplicaId, RateLimit> {
        let limits = self.reports.values().filter_map(|report| {
            let limit = RateLimit {
                started_epoch_ms: report.started_epoch_ms,
                rate: report.rate?,
                first_reported_at: report.first_reported_at,
                seen_by: report.seen_by.clone(),
            };
            Some((report.replica.clone(), limit))
        });
        limits.collect()
    }
}
