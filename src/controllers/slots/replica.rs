//! The owner's record of each engine: the requests that it holds and its measured speed.

use std::sync::Arc;

use super::RequestId;
use super::forecast::MemoryLoad;
use super::prefix::PrefixIndex;
use crate::blackboard::EngineView;
use crate::controllers::services::smooth;
use crate::prelude::*;

/// Prefill rate assumed until one is measured at some engine of the group, in tokens per second.
pub const DEFAULT_PREFILL_RATE: u64 = 8_000;

/// Minimum number of prompt tokens for a measurement of the prefill rate.
const RATE_SAMPLE_TOKENS: u64 = 2_000;

/// Record of a decode engine.
#[derive(Debug)]
pub struct DecodeReplica {
    /// Availability zone of the engine.
    pub zone: Arc<str>,
    /// Number of requests that the engine can hold.
    pub slots: u32,
    /// Capacity of its memory, in tokens; `None` if unknown.
    pub memory_tokens: Option<u32>,
    /// The requests that it holds, with the memory they take.
    pub loads: FastMap<RequestId, MemoryLoad>,
    /// When its slots are granted again after it had less room than counted.
    pub full_until: Moment,
    /// Exponential moving average of the time between tokens, in microseconds; zero if none was measured.
    pub token_gap_us: u64,
}

impl DecodeReplica {
    /// Creates the record of an engine that holds no request.
    pub fn new(engine: &EngineView) -> Self {
        Self {
            zone: engine.zone.clone(),
            slots: engine.slots,
            memory_tokens: engine.memory_tokens,
            loads: FastMap::default(),
            full_until: Moment::default(),
            token_gap_us: 0,
        }
    }

    /// Number of requests that it holds.
    pub fn held(&self) -> u32 {
        self.loads.len() as u32
    }

    /// Estimate of the tokens that its requests and one more take in memory. All count at their final size:
    /// an engine that runs out of memory preempts requests and computes them again, which costs more than the
    /// memory left unused.
    fn tokens_with(&self, load: &MemoryLoad) -> u64 {
        let held: u64 = self.loads.values().map(MemoryLoad::final_tokens).sum();
        held + load.final_tokens()
    }

    /// Whether the engine has a slot and memory for another request. An empty engine takes a request of any
    /// size.
    pub fn has_room(&self, load: &MemoryLoad, now: Moment) -> bool {
        let fits = self
            .memory_tokens
            .is_none_or(|memory| self.tokens_with(load) <= u64::from(memory));
        self.held() < self.slots && (fits || self.loads.is_empty()) && now.reached(self.full_until)
    }

    /// Utilization with another request, of slots or memory, whichever is higher, in thousandths.
    pub fn utilization_with(&self, load: &MemoryLoad) -> u64 {
        let by_slots = u64::from(self.held() + 1) * 1_000 / u64::from(self.slots.max(1));
        let by_memory = self.memory_tokens.map_or(0, |memory| {
            self.tokens_with(load) * 1_000 / u64::from(memory.max(1))
        });
        by_slots.max(by_memory)
    }
}

/// Record of a prefill engine.
#[derive(Debug)]
pub struct PrefillReplica {
    /// Availability zone of the engine.
    pub zone: Arc<str>,
    /// Number of prompts granted to it that are not finished.
    pub running: u32,
    /// Uncached tokens of these prompts.
    pub pending_tokens: u64,
    /// Uncached tokens per second; that of the fastest engine until its own is measured.
    pub rate: u64,
    /// Prompt prefixes that it has probably cached.
    pub prefix_index: PrefixIndex,
    /// Whether `rate` was measured at this engine.
    is_measured: bool,
    /// Start of the period over which the rate is measured next.
    busy_since: Moment,
    /// Uncached tokens of the prompts that were finished in this period.
    busy_tokens: u64,
    /// Uncached tokens of queued prompts that wait for this engine.
    pub deferred_tokens: u64,
}

impl PrefillReplica {
    /// Creates the record of an engine that has run no prompt.
    pub fn new(engine: &EngineView) -> Self {
        Self {
            zone: engine.zone.clone(),
            running: 0,
            pending_tokens: 0,
            rate: DEFAULT_PREFILL_RATE,
            prefix_index: PrefixIndex::default(),
            is_measured: false,
            busy_since: Moment::default(),
            busy_tokens: 0,
            deferred_tokens: 0,
        }
    }

    /// Records the start of a prefill.
    pub fn begin(&mut self, tokens: u64, now: Moment) {
        if self.running == 0 {
            self.busy_since = now;
            self.busy_tokens = 0;
        }
        self.running += 1;
        self.pending_tokens += tokens;
    }

    /// Records the end of a prefill. The rate is measured over the latest period in which the engine was
    /// never idle.
    pub fn end(&mut self, tokens: u64, was_run: bool, now: Moment) {
        self.running = self.running.saturating_sub(1);
        self.pending_tokens = self.pending_tokens.saturating_sub(tokens);
        if !was_run {
            // A prompt that was not run gives no sample, and the current period can't give one any more.
            self.busy_since = now;
            self.busy_tokens = 0;
            return;
        }
        self.busy_tokens += tokens;
        let busy_ms = now.0.saturating_sub(self.busy_since.0);
        if self.busy_tokens >= RATE_SAMPLE_TOKENS && busy_ms > 0 {
            let newest = (self.busy_tokens * 1_000 / busy_ms).max(1);
            self.rate = if self.is_measured {
                smooth(self.rate, newest)
            } else {
                newest
            };
            self.is_measured = true;
            self.busy_since = now;
            self.busy_tokens = 0;
        }
    }

    /// The engine's own rate; `None` until it is measured.
    pub fn measured_rate(&self) -> Option<u64> {
        self.is_measured.then_some(self.rate)
    }

    /// Assumes another engine's rate until the engine's own is measured, so that an engine without
    /// measurements is chosen too.
    pub fn assume_rate(&mut self, rate: u64) {
        if !self.is_measured {
            self.rate = rate;
        }
    }

    /// Estimated time until a prompt with `uncached_tokens` would be finished, in microseconds.
    pub fn cost_us(&self, uncached_tokens: u64) -> u64 {
        let ahead = self.pending_tokens + self.deferred_tokens;
        (ahead + uncached_tokens) * 1_000_000 / self.rate.max(1)
    }
}
