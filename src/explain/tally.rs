//! Counts requests by cause of failure.

use std::collections::BTreeMap;

use super::{FailureCause, LogSet, find_cause};

/// Time that one bar of the plot covers, in seconds.
const BAR_SECONDS: f64 = 2.0;

/// The longest line of the table, in characters; fits a phone's screen.
const MAX_LINE_CHARS: usize = 40;

/// Counts of requests by cause, in total and over time.
#[derive(Debug, Default)]
pub struct CauseTally {
    /// All requests by cause, served ones included.
    pub counts: BTreeMap<FailureCause, u64>,
    /// Failed requests by cause, per bar of the plot, counted from the first request.
    pub bars: BTreeMap<u64, BTreeMap<FailureCause, u64>>,
}

impl CauseTally {
    /// Counts all requests that occur in the logs.
    pub fn from_logs(logs: &LogSet) -> Self {
        let mut tally = Self::default();
        let mut found = Vec::new();
        for request in logs.requests() {
            let timeline = logs.timeline(request);
            let (cause, _) = find_cause(logs, &timeline);
            let time = timeline.steps.first().map_or(0.0, |step| step.time);
            found.push((time, cause));
        }
        let start = found.iter().map(|(time, _)| *time).fold(f64::INFINITY, f64::min);
        for (time, cause) in found {
            *tally.counts.entry(cause).or_default() += 1;
            if cause != FailureCause::Served {
                let bar = ((time - start) / BAR_SECONDS) as u64;
                *tally.bars.entry(bar).or_default().entry(cause).or_default() += 1;
            }
        }
        tally
    }

    /// Time that one bar covers, in seconds.
    pub fn bar_seconds() -> f64 {
        BAR_SECONDS
    }

    /// A table of the causes, most frequent first, that fits a phone's screen.
    pub fn table(&self) -> String {
        let total: u64 = self.counts.values().sum();
        let mut table = format!("{:<24}{:>8}{:>8}\n", "cause", "requests", "%");
        let mut rows: Vec<(&FailureCause, &u64)> = self.counts.iter().collect();
        rows.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        for (cause, count) in rows {
            let percent = *count as f64 * 100.0 / total.max(1) as f64;
            let row = format!("{:<24}{count:>8}{percent:>8.1}", cause.as_str());
            debug_assert!(row.len() <= MAX_LINE_CHARS);
            table.push_str(&row);
            table.push('\n');
        }
        table
    }
}
