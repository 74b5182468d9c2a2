//! Notices jumps of the VM's wall clock.

use crate::clock;
use crate::prelude::*;

/// The smallest jump that is told, in milliseconds.
const SMALLEST_MS: u64 = 300;

/// The two clocks of a VM as they were last read.
#[derive(Debug)]
pub struct ClockWatch {
    now: Moment,
    epoch_ms: u64,
}

impl ClockWatch {
    /// Reads the clocks for the first time.
    pub fn new() -> Self {
        Self {
            now: clock::now(),
            epoch_ms: clock::epoch_ms(),
        }
    }

    /// Reads the clocks again, and logs where they disagree on how much time has passed.
    pub fn check(&mut self) {
        let last = std::mem::replace(self, Self::new());
        let passed_ms = last.now.until_ms(self.now);
        let step_ms = self.epoch_ms as i64 - last.epoch_ms as i64 - passed_ms as i64;
        if step_ms.unsigned_abs() >= SMALLEST_MS {
            spdlog::warn!("event=clock_step step_ms={step_ms}");
        }
    }
}
