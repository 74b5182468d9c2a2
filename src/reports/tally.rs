//! Counts since the process started, for the status object and the short report.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::prelude::*;

/// Counters of requests and tokens since the process started.
#[derive(Debug, Default)]
pub struct RunTally {
    /// Streams delivered completely.
    pub complete: AtomicU64,
    /// Streams whose caller disconnected.
    pub caller_gone: AtomicU64,
    /// Streams cut off with a result code.
    pub cut: AtomicU64,
    /// Streams resumed by their caller.
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
    /// Prompt tokens processed by prefill engines.
    pub prefill_tokens: AtomicU64,
    /// Prompt tokens whose prefill was wasted by a failed attempt.
    pub wasted_tokens: AtomicU64,
    refusals: Mutex<FastMap<u16, u64>>,
}

/// Adds `amount` to a counter.
pub fn add(count: &AtomicU64, amount: u64) {
    count.fetch_add(amount, Ordering::Relaxed);
}

/// A snapshot of the counters, as the status object shows them.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct TallyCounts {
    /// Streams delivered completely.
    pub complete: u64,
    /// Streams whose caller disconnected.
    pub caller_gone: u64,
    /// Streams cut off with a result code.
    pub cut: u64,
    /// Streams resumed by their caller.
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
    /// Prompt tokens processed by prefill engines.
    pub prefill_tokens: u64,
    /// Prompt tokens whose prefill was wasted by a failed attempt.
    pub wasted_tokens: u64,
}

impl RunTally {
    /// Counts a refusal by its result code.
    pub fn count_refusal(&self, code: ResultCode) {
        if let Ok(mut refusals) = self.refusals.lock() {
            *refusals.entry(code.number()).or_default() += 1;
        }
    }

    /// Refusals by result code, in ascending order of the code.
    pub fn refusals(&self) -> Vec<(u16, u64)> {
        let mut rows: Vec<(u16, u64)> = match self.refusals.lock() {
            Ok(refusals) => refusals.iter().map(|(code, count)| (*code, *count)).collect(),
            Err(_) => Vec::new(),
        };
        rows.sort_unstable();
        rows
    }

    /// Reads all counters, except refusals.
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
