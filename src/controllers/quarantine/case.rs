//! The crash case of one feature: the crash reports known of it, and the quarantine that follows from them.

use std::sync::Arc;

use crate::blackboard::{FeatureKind, RequestFeature, Suspicion};
use crate::prelude::*;

/// The crash count in a row from which a feature is quarantined. A single crash may have another cause.
const QUARANTINE_THRESHOLD: u32 = 2;

/// Quarantine times in milliseconds, from a crash count of `QUARANTINE_THRESHOLD` upwards. Each quarantine is
/// followed by one trial run, so harmless requests are soon served again, and harmful ones crash replicas
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

/// How many passes since the latest crash clear a feature. A single run may have reached the only upstream
/// that the feature does not crash.
const PASSES_TO_CLEAR: u32 = 3;

/// A feature of a request during whose run an upstream crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSuspect {
    /// The feature.
    pub feature: RequestFeature,
    /// Crashes in a row: one more than were known of the feature when the run began.
    pub crash_count: u32,
}

/// Reports the crash of an upstream that was running a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The upstream's name.
    pub upstream: Arc<str>,
    /// Identifies the upstream process: its start in milliseconds since the epoch as the list has it, or for
    /// an engine the boot number that it sends; zero if unknown.
    pub incarnation: u64,
    /// The features of the request that may have caused the crash.
    pub suspects: Arc<[CrashSuspect]>,
    /// When the connection to the upstream was lost, on this node's clock.
    pub ended_at: Moment,
    /// The VM whose run was lost.
    pub seen_by: VmName,
}

impl CrashReport {
    /// Whether another report is on the same crash.
    fn is_same_crash(&self, other: &Self) -> bool {
        let apart_ms = self.ended_at.0.abs_diff(other.ended_at.0);
        self.upstream == other.upstream
            && self.incarnation == other.incarnation
            && (self.incarnation != 0 || apart_ms < SAME_CRASH_MS)
    }

    /// Crashes in a row of a feature; zero if it is not suspected of this crash.
    pub fn count_of(&self, feature: RequestFeature) -> u32 {
        let mut suspects = self.suspects.iter();
        let suspect = suspects.find(|suspect| suspect.feature == feature);
        suspect.map_or(0, |suspect| suspect.crash_count)
    }

    /// The highest crash count of its suspects.
    pub fn max_count(&self) -> u32 {
        let counts = self.suspects.iter().map(|suspect| suspect.crash_count);
        counts.max().unwrap_or_default()
    }
}

/// A crash report and the crash count that it gives one feature.
#[derive(Clone, Debug)]
struct CountedReport {
    crash_count: u32,
    report: CrashReport,
}

/// The crash reports on one feature, and the passes of requests with it since.
#[derive(Clone, Debug)]
pub struct CrashCase {
    feature: RequestFeature,
    reports: Vec<CountedReport>,
    /// Whether passes have cleared the feature of these crashes.
    is_cleared: bool,
    passes: u32,
    /// Until when this VM does not restrict requests with the feature.
    tolerated_until: Moment,
}

impl CrashCase {
    /// Creates a case without reports.
    pub fn new(feature: RequestFeature) -> Self {
        Self {
            feature,
            reports: Vec::new(),
            is_cleared: false,
            passes: 0,
            tolerated_until: Moment::default(),
        }
    }

    /// Records a report; returns whether it was unknown.
    pub fn record_report(&mut self, report: &CrashReport) -> bool {
        let crash_count = report.count_of(self.feature);
        let is_covered =
            |known: &CountedReport| crash_count <= known.crash_count && report.is_same_crash(&known.report);
        if crash_count == 0 || self.reports.iter().any(is_covered) {
            return false;
        }
        if std::mem::take(&mut self.is_cleared) {
            self.reports.clear();
        }
        // Upstreams that crash at the same time, like those of a rack, give reports of the same count.
        if crash_count > self.crash_count() {
            self.passes = 0;
        }
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
        self.reports.push(CountedReport {
            crash_count,
            report: report.clone(),
        });
        true
    }

    /// Records passes; returns whether they clear the feature.
    pub fn record_passes(&mut self, count: u32) -> bool {
        self.passes = self.passes.saturating_add(count);
        !self.is_cleared && self.passes >= PASSES_TO_CLEAR
    }

    /// Lets this VM run requests with the feature without restriction for a while.
    pub fn tolerate_until(&mut self, until: Moment) {
        self.tolerated_until = until;
    }

    /// Clears the feature if its crash count is at most this; returns whether that changes anything.
    pub fn clear(&mut self, crash_count: u32) -> bool {
        let is_change = !self.is_cleared && self.crash_count() <= crash_count;
        self.is_cleared |= is_change;
        is_change
    }

    /// The reports that are kept, in no particular order.
    pub fn reports(&self) -> impl Iterator<Item = &CrashReport> {
        self.reports.iter().map(|counted| &counted.report)
    }

    /// Whether the feature was cleared of all reported crashes.
    pub fn is_cleared(&self) -> bool {
        self.is_cleared
    }

    /// Crashes in a row: the highest count of its reports.
    pub fn crash_count(&self) -> u32 {
        self.reports
            .iter()
            .map(|counted| counted.crash_count)
            .max()
            .unwrap_or_default()
    }

    /// The suspicion that applies to traffic; `None` if the feature is cleared.
    pub fn suspicion(&self) -> Option<Suspicion> {
        (!self.is_cleared).then(|| Suspicion {
            crash_count: self.crash_count(),
            quarantined_until: self.quarantined_until(),
            tolerated_until: self.tolerated_until,
            passes: self.passes,
            companions: self.companions(),
            other_parts: self.other_parts(),
        })
    }

    /// The other features that are suspects in all reports.
    fn companions(&self) -> Arc<[RequestFeature]> {
        let mut reports = self.reports();
        let first = reports.next().map(|report| &*report.suspects);
        let features = first.unwrap_or_default().iter().map(|suspect| suspect.feature);
        let others = features.filter(|feature| *feature != self.feature);
        let is_common = |feature: &RequestFeature| {
            let mut reports = self.reports();
            reports.all(|report| report.count_of(*feature) > 0)
        };
        others.filter(is_common).collect()
    }

    /// The other parts of each crashed run, while the feature is a part at the threshold of its quarantine. Each of
    /// these crashes may have a cause of its own; one more crash, in a trial run, makes that unlikely, and then the
    /// quarantine holds.
    fn other_parts(&self) -> Arc<[Arc<[RequestFeature]>]> {
        if self.feature.kind != FeatureKind::Part || self.crash_count() != QUARANTINE_THRESHOLD {
            return Arc::default();
        }
        let is_other =
            |feature: &RequestFeature| feature.kind == FeatureKind::Part && *feature != self.feature;
        let parts_of = |report: &CrashReport| {
            let features = report.suspects.iter().map(|suspect| suspect.feature);
            features.filter(is_other).collect()
        };
        self.reports().map(parts_of).collect()
    }

    fn quarantined_until(&self) -> Moment {
        let quarantine_ends = self.reports.iter().filter_map(|counted| {
            let span_ms = quarantine_ms(counted.crash_count)?;
            Some(counted.report.ended_at.after_ms(span_ms))
        });
        quarantine_ends.max().unwrap_or_default()
    }

    /// When the case expires.
    pub fn expires_at(&self) -> Moment {
        let latest = self.reports().map(|report| report.ended_at).max();
        let latest = latest.unwrap_or_default();
        if self.is_cleared {
            latest.after_ms(CLEARED_RETENTION_MS)
        } else {
            latest.max(self.quarantined_until()).after_ms(RETENTION_MS)
        }
    }
}

/// How long a feature is quarantined after a crash with this count; `None` below the threshold.
fn quarantine_ms(crash_count: u32) -> Option<u64> {
    let step = crash_count.checked_sub(QUARANTINE_THRESHOLD)? as usize;
    QUARANTINE_TIMES_MS
        .get(step)
        .or(QUARANTINE_TIMES_MS.last())
        .copied()
}
