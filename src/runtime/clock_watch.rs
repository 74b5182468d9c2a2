//! Detects jumps of the VM's wall clock.

use crate::clock;
use crate::prelude::*;

/// The smallest jump that is logged, in milliseconds.
const MIN_STEP_MS: u64 = 300;

/// The latest readings of the VM's monotonic clock and wall clock.
#[derive(Debug)]
pub struct ClockWatch {
    now: Moment,
    epoch_ms: u64,
}

impl ClockWatch {
    /// Takes the first reading of both clocks.
    pub fn new() -> Self {
        Self {
            now: clock::now(),
            epoch_ms: clock::epoch_ms(),
        }
    }

    /// Reads both clocks again and logs a clock step if they disagree on the time that passed since the last
    /// reading.
    pub fn check(&mut self) {
        let last = std::mem::replace(self, Self::new());
        let passed_ms = last.now.until_ms(self.now);
        let step_ms = self.epoch_ms as i64 - last.epoch_ms as i64 - passed_ms as i64;
        if step_ms.unsigned_abs() >= MIN_STEP_MS {
            spdlog::warn!("event=clock_step step_ms={step_ms}");
        }
    }
}
