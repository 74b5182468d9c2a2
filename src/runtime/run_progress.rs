//! How far the answer of a run has come.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::prelude::*;

/// The time of a run's first output. Tasks of one request may share it.
#[derive(Debug, Default)]
pub struct RunProgress {
    /// Milliseconds of the clock; zero before the first output.
    first_output_at: AtomicU64,
}

impl RunProgress {
    /// Records that a part of the answer arrived.
    pub fn record_output(&self, now: Moment) {
        // Fails if an earlier output was recorded, whose time is kept.
        let _ = self
            .first_output_at
            .compare_exchange(0, now.0, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Time since the first output, in milliseconds; `None` before it.
    pub fn output_ms(&self, now: Moment) -> Option<u64> {
        match self.first_output_at.load(Ordering::Relaxed) {
            0 => None,
            first_output_at => Some(Moment(first_output_at).until_ms(now)),
        }
    }
}
