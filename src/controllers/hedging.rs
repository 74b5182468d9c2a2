//! When an idempotent call is slow enough to send it a second time.

use std::collections::VecDeque;

/// Latest calls whose latency is kept.
const WINDOW_CALLS: usize = 32;

/// The share of the latest calls that were faster than a slow one, in percent.
const HEDGE_PERCENTILE: usize = 90;

/// How much slower than that a call must be, in percent.
const MARGIN_PERCENT: u64 = 120;

/// Calls that must be known before their latency counts.
const MIN_CALLS: usize = 4;

/// The delay while too few calls are known, in milliseconds.
const DEFAULT_DELAY_MS: u64 = 30;

/// The shortest delay, in milliseconds.
const MIN_DELAY_MS: u64 = 5;

/// The latencies of the latest calls of one operation.
#[derive(Clone, Debug, Default)]
pub struct LatencyWindow {
    latencies: VecDeque<u64>,
}

impl LatencyWindow {
    /// Notes how long a call took, in whichever unit the window is kept.
    pub fn record(&mut self, elapsed: u64) {
        if self.latencies.len() == WINDOW_CALLS {
            self.latencies.pop_front();
        }
        self.latencies.push_back(elapsed);
    }

    /// How long to wait for the first answer before a second replica is asked, in milliseconds.
    pub fn hedge_delay_ms(&self) -> u64 {
        self.slow_latency().map_or(DEFAULT_DELAY_MS, |slow_ms| {
            (slow_ms * MARGIN_PERCENT / 100).max(MIN_DELAY_MS)
        })
    }

    /// The figure of a slow call; `None` while too few are known.
    pub fn slow_latency(&self) -> Option<u64> {
        if self.latencies.len() < MIN_CALLS {
            return None;
        }
        let mut sorted: Vec<u64> = self.latencies.iter().copied().collect();
        sorted.sort_unstable();
        let rank = (sorted.len() * HEDGE_PERCENTILE).div_ceil(100) - 1;
        Some(sorted[rank])
    }
}
