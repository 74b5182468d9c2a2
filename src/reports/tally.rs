//! Counts since the process began, for the short report.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::prelude::*;

/// Counts that grow for as long as the process lives.
#[derive(Debug, Default)]
pub struct RunTally {
    /// Streams that were whole.
    pub complete: AtomicU64,
    /// Streams whose caller went away.
    pub caller_gone: AtomicU64,
    /// Streams that were ended by a refusal.
    pub cut: AtomicU64,
    /// Streams that were taken up again.
    pub resumed: AtomicU64,
    /// Further attempts at generations.
    pub retries: AtomicU64,
    /// Hedged lookups.
    pub hedges: AtomicU64,
    /// Lookups that were answered.
    pub lookups: AtomicU64,
    /// Run-once calls that ran.
    pub ran_once: AtomicU64,
    /// Run-once calls whose outcome is unknown.
    pub run_unknown: AtomicU64,
    /// Prompt tokens run by prefill engines.
    pub prefill_tokens: AtomicU64,
    /// Prompt tokens run in vain.
    pub wasted_tokens: AtomicU64,
    refusals: Mutex<FastMap<u16, u64>>,
}

/// Adds one to a count.
pub fn add(count: &AtomicU64, amount: u64) {
    count.fetch_add(amount, Ordering::Relaxed);
}

/// A copy of the counts.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct TallyCounts {
    /// Streams that were whole.
    pub complete: u64,
    /// Streams whose caller went away.
    pub caller_gone: u64,
    /// Streams that were ended by a refusal.
    pub cut: u64,
    /// Streams that were taken up again.
    pub resumed: u64,
    /// Further attempts at generations.
    pub retries: u64,
    /// Hedged lookups.
    pub hedges: u64,
    /// Lookups that were answered.
    pub lookups: u64,
    /// Run-once calls that ran.
    pub ran_once: u64,
    /// Run-once calls whose outcome is unknown.
    pub run_unknown: u64,
    /// Prompt tokens run by prefill engines.
    pub prefill_tokens: u64,
    /// Prompt tokens run in vain.
    pub wasted_tokens: u64,
}

impl RunTally {
    /// Notes a refusal.
    pub fn note_refusal(&self, code: ResultCode) {
        if let Ok(mut refusals) = self.refusals.lock() {
            *refusals.entry(code.number()).or_default() += 1;
        }
    }

    /// Refusals by code, the lowest first.
    pub fn refusals(&self) -> Vec<(u16, u64)> {
        let mut rows: Vec<(u16, u64)> = match self.refusals.lock() {
            Ok(refusals) => refusals.iter().map(|(code, count)| (*code, *count)).collect(),
            Err(_) => Vec::new(),
        };
        rows.sort_unstable();
        rows
    }

    /// The counts now.
    pub fn counts(&self) -> TallyCounts {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        TallyCounts {
            complete: read(&self.complete),
            caller_gone: read(&self.caller_gone),
            cut: read(&self.cut),
            resumed: read(&self.resumed),
            retries: read(&self.retries),
            hedges: read(&self.hedges),
            lookups: read(&self.lookups),
            ran_once: read(&self.ran_once),
            run_unknown: read(&self.run_unknown),
            prefill_tokens: read(&self.prefill_tokens),
            wasted_tokens: read(&self.wasted_tokens),
        }
    }
}
