//! How far the answer of a run has come.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use crate::prelude::*;

/// How long an answer must have been arriving for its run to count as begun without a crash, in milliseconds:
/// some times the time from the first event of a stream to the second.
const BEGINNING_MS: u64 = 150;

/// The time of a run's first output, and whether the run has outlived its beginning.
#[derive(Debug, Default)]
pub struct RunProgress {
    /// Milliseconds of the clock; zero before the first output.
    first_output_at: AtomicU64,
    has_begun: AtomicBool,
}

impl RunProgress {
    /// Records that a part of the answer arrived; returns whether the run has just outlived its beginning.
    pub fn record_output(&self, now: Moment) -> bool {
        // Fails if an earlier output was recorded, whose time is kept.
        let _ = self
            .first_output_at
            .compare_exchange(0, now.0, Ordering::Relaxed, Ordering::Relaxed);
        let has_begun = self
            .output_ms(now)
            .is_some_and(|output_ms| output_ms >= BEGINNING_MS);
        has_begun && self.complete()
    }

    /// Records that the run has outlived its beginning; returns whether that was unknown.
    pub fn complete(&self) -> bool {
        !self.has_begun.swap(true, Ordering::Relaxed)
    }

    /// Whether the run has outlived its beginning.
    pub fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Relaxed)
    }

    /// Time since the first output, in milliseconds; `None` before it.
    pub fn output_ms(&self, now: Moment) -> Option<u64> {
        match self.first_output_at.load(Ordering::Relaxed) {
            0 => None,
            first_output_at => Some(Moment(first_output_at).until_ms(now)),
        }
    }
}
