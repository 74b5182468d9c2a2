//! The crash case of one request: the crash reports known of it, and the quarantine that follows from them.

use std::sync::Arc;

use crate::blackboard::Suspicion;
use crate::prelude::*;

/// The crash count in a row from which a request is quarantined. A single crash may have another cause.
const QUARANTINE_THRESHOLD: u32 = 2;

/// Quarantine times in milliseconds, from a crash count of `QUARANTINE_THRESHOLD` upwards. Each quarantine is
/// followed by one trial run, so a harmless request is soon served again, and a harmful one crashes replicas
/// ever more rarely.
const QUARANTINE_TIMES_MS: [u64; 4] = [10_000, 300_000, 3_600_000, 86_400_000];

/// How long a suspicion is kept after its latest crash and its quarantine, in milliseconds.
const RETENTION_MS: u64 = 3_600_000;

/// How long a cleared case is kept, in milliseconds: late reports of its old crashes may arrive until then.
const CLEARED_RETENTION_MS: u64 = 600_000;

/// The most crash reports that are kept per case.
const MAX_REPORTS: usize = 16;

/// Reports on an upstream of unknown incarnation that are less than this time apart count as the same crash,
/// in milliseconds.
const SAME_CRASH_MS: u64 = 2_000;

/// How many complete runs since the latest crash clear a request. A single run may have reached the only
/// upstream that the request does not crash.
const RUNS_TO_CLEAR: u32 = 3;

/// Reports the crash of an upstream that was running a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The upstream's name.
    pub upstream: Arc<str>,
    /// Identifies the upstream process: its start in milliseconds since the epoch as the list has it, or for
    /// an engine the boot number that it sends; zero if unknown.
    pub incarnation: u64,
    /// Crashes in a row: one more than were known when the run began.
    pub crash_count: u32,
    /// When the connection to the upstream was lost, on this node's clock.
    pub ended_at: Moment,
    /// The VM whose run was lost.
    pub seen_by: VmName,
}

impl CrashReport {
    /// Whether another report of the same crash has at least this crash count.
    fn is_covered_by(&self, other: &Self) -> bool {
        let apart_ms = self.ended_at.0.abs_diff(other.ended_at.0);
        self.upstream == other.upstream
            && self.incarnation == other.incarnation
            && self.crash_count <= other.crash_count
            && (self.incarnation != 0 || apart_ms < SAME_CRASH_MS)
    }
}

/// The crash reports on one request, and its complete runs since.
#[derive(Clone, Debug, Default)]
pub struct CrashCase {
    reports: Vec<CrashReport>,
    /// Whether complete runs have cleared the request of these crashes.
    is_cleared: bool,
    complete_runs: u32,
}

impl CrashCase {
    /// Records a report; returns whether it was unknown.
    pub fn record_report(&mut self, report: &CrashReport) -> bool {
        if self.reports.iter().any(|known| report.is_covered_by(known)) {
            return false;
        }
        if std::mem::take(&mut self.is_cleared) {
            self.reports.clear();
        }
        self.complete_runs = 0;
        if self.reports.len() >= MAX_REPORTS {
            // Evicts a report with the lowest crash count, which affects the quarantine least.
            let weakest = self
                .reports
                .iter()
                .enumerate()
                .min_by_key(|(_, known)| known.crash_count);
            if let Some(index) = weakest.map(|(index, _)| index) {
                self.reports.swap_remove(index);
            }
        }
        self.reports.push(report.clone());
        true
    }

    /// Records a complete run; returns whether it clears the request.
    pub fn record_complete_run(&mut self) -> bool {
        self.complete_runs += 1;
        !self.is_cleared && self.complete_runs >= RUNS_TO_CLEAR
    }

    /// Clears the request if its crash count is at most this; returns whether that changes anything.
    pub fn clear(&mut self, crash_count: u32) -> bool {
        let is_change = !self.is_cleared && self.crash_count() <= crash_count;
        self.is_cleared |= is_change;
        is_change
    }

    /// The reports that are kept, in no particular order.
    pub fn reports(&self) -> &[CrashReport] {
        &self.reports
    }

    /// Whether the request was cleared of all reported crashes.
    pub fn is_cleared(&self) -> bool {
        self.is_cleared
    }

    /// Crashes in a row: the highest count of its reports.
    pub fn crash_count(&self) -> u32 {
        self.reports
            .iter()
            .map(|report| report.crash_count)
            .max()
            .unwrap_or_default()
    }

    /// The suspicion that applies to traffic; `None` if the request is cleared.
    pub fn suspicion(&self) -> Option<Suspicion> {
        (!self.is_cleared).then(|| Suspicion {
            crash_count: self.crash_count(),
            quarantined_until: self.quarantined_until(),
        })
    }

    fn quarantined_until(&self) -> Moment {
        let quarantine_ends = self
            .reports
            .iter()
            .filter_map(|report| Some(report.ended_at.after_ms(quarantine_ms(report.crash_count)?)));
        quarantine_ends.max().unwrap_or_default()
    }

    /// When the case expires.
    pub fn expires_at(&self) -> Moment {
        let latest = self.reports.iter().map(|report| report.ended_at).max();
        let latest = latest.unwrap_or_default();
        if self.is_cleared {
            latest.after_ms(CLEARED_RETENTION_MS)
        } else {
            latest.max(self.quarantined_until()).after_ms(RETENTION_MS)
        }
    }
}

/// How long a request is quarantined after a crash with this count; `None` below the threshold.
fn quarantine_ms(crash_count: u32) -> Option<u64> {
    let step = crash_count.checked_sub(QUARANTINE_THRESHOLD)? as usize;
    QUARANTINE_TIMES_MS
        .get(step)
        .or(QUARANTINE_TIMES_MS.last())
        .copied()
}
