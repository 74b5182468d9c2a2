//! Decides when an idempotent call is slow enough for a hedged second send.

use std::collections::VecDeque;

/// Number of latest calls whose latency is kept.
const WINDOW_CALLS: usize = 32;

/// The percentile of the latest latencies above which a call is slow.
const HEDGE_PERCENTILE: usize = 90;

/// The hedging delay as a share of the latency at that percentile, in percent.
const DELAY_PERCENT: u64 = 120;

/// Minimum number of recorded calls from which a percentile is computed.
const MIN_CALLS: usize = 4;

/// The hedging delay while too few calls are recorded, in milliseconds.
const DEFAULT_DELAY_MS: u64 = 30;

/// The shortest hedging delay, in milliseconds.
const MIN_DELAY_MS: u64 = 5;

/// A sliding window over the latencies of the latest calls, such as those of one operation.
#[derive(Clone, Debug, Default)]
pub struct LatencyWindow {
    latencies: VecDeque<u64>,
}

impl LatencyWindow {
    /// Records the latency of a call; the caller chooses the unit, which must be the same for the whole
    /// window.
    pub fn record(&mut self, elapsed: u64) {
        if self.latencies.len() == WINDOW_CALLS {
            self.latencies.pop_front();
        }
        self.latencies.push_back(elapsed);
    }

    /// How long to wait for the first answer before a second replica is called, in milliseconds; for windows
    /// in milliseconds only.
    pub fn hedge_delay_ms(&self) -> u64 {
        self.slow_latency().map_or(DEFAULT_DELAY_MS, |slow_ms| {
            (slow_ms * DELAY_PERCENT / 100).max(MIN_DELAY_MS)
        })
    }

    /// The latency above which a call counts as slow, in the window's unit; `None` while too few calls are
    /// recorded.
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
