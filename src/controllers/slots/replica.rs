//! Engines as their owner sees them: what they hold, and how fast they have been lately.

use std::sync::Arc;

use super::RequestId;
use super::forecast::MemoryLoad;
use super::prefix::PrefixMemory;
use crate::blackboard::EngineView;
use crate::controllers::services::smooth;
use crate::prelude::*;

/// The prefill rate assumed while none is measured of any engine, in tokens a second.
pub const DEFAULT_PREFILL_RATE: u64 = 8_000;

/// The fewest prompt tokens from which a prefill rate is worked out.
const RATE_SAMPLE_TOKENS: u64 = 2_000;

/// A decode engine.
#[derive(Debug)]
pub struct DecodeReplica {
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it can hold.
    pub slots: u32,
    /// Tokens that its memory holds; `None` where that is not known.
    pub memory_tokens: Option<u32>,
    /// The requests that it holds.
    pub loads: FastMap<RequestId, MemoryLoad>,
    /// Until when it gets nothing, after it had less room than was counted.
    pub full_until: Moment,
    /// A smoothed time between its tokens, in microseconds; zero where none is known.
    pub pace_us: u64,
}

impl DecodeReplica {
    /// An engine that holds nothing yet.
    pub fn new(engine: &EngineView) -> Self {
        Self {
            zone: engine.zone.clone(),
            slots: engine.slots,
            memory_tokens: engine.memory_tokens,
            loads: FastMap::default(),
            full_until: Moment::default(),
            pace_us: 0,
        }
    }

    /// Requests that it holds.
    pub fn held(&self) -> u32 {
        self.loads.len() as u32
    }

    /// Tokens that its requests, and another one, will probably take. All count at their final size: engines read again
    /// what they preempt, which costs more than the room that is left unused.
    fn tokens_with(&self, load: &MemoryLoad) -> u64 {
        let held: u64 = self.loads.values().map(MemoryLoad::final_tokens).sum();
        held + load.final_tokens()
    }

    /// Whether another request fits beside those that the engine holds.
    pub fn has_room(&self, load: &MemoryLoad, now: Moment) -> bool {
        let fits = self
            .memory_tokens
            .is_none_or(|memory| self.tokens_with(load) <= u64::from(memory));
        self.held() < self.slots && (fits || self.loads.is_empty()) && now.reached(self.full_until)
    }

    /// How full the engine would be with another request, in thousandths.
    pub fn fill_with(&self, load: &MemoryLoad) -> u64 {
        let by_slots = u64::from(self.held() + 1) * 1_000 / u64::from(self.slots.max(1));
        let by_memory = self.memory_tokens.map_or(0, |memory| {
            self.tokens_with(load) * 1_000 / u64::from(memory.max(1))
        });
        by_slots.max(by_memory)
    }
}

/// A prefill engine.
#[derive(Debug)]
pub struct PrefillReplica {
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Prompts that it was given and has not finished.
    pub running: u32,
    /// Their uncached tokens.
    pub pending_tokens: u64,
    /// Uncached tokens that it runs in a second; that of the fastest engine while it has none measured.
    pub rate: u64,
    /// What it is believed to have cached.
    pub memory: PrefixMemory,
    is_measured: bool,
    busy_since: Moment,
    busy_tokens: u64,
    /// Uncached tokens of prompts that wait for this engine.
    pub deferred_tokens: u64,
}

impl PrefillReplica {
    /// An engine that has done nothing yet.
    pub fn new(engine: &EngineView) -> Self {
        Self {
            zone: engine.zone.clone(),
            running: 0,
            pending_tokens: 0,
            rate: DEFAULT_PREFILL_RATE,
            memory: PrefixMemory::default(),
            is_measured: false,
            busy_since: Moment::default(),
            busy_tokens: 0,
            deferred_tokens: 0,
        }
    }

    /// Books a prefill's beginning.
    pub fn begin(&mut self, tokens: u64, now: Moment) {
        if self.running == 0 {
            self.busy_since = now;
            self.busy_tokens = 0;
        }
        self.running += 1;
        self.pending_tokens += tokens;
    }

    /// Books a prefill's end; the rate is that of the latest span in which the engine was never idle.
    pub fn end(&mut self, tokens: u64, was_run: bool, now: Moment) {
        self.running = self.running.saturating_sub(1);
        self.pending_tokens = self.pending_tokens.saturating_sub(tokens);
        if !was_run {
            // What was not run tells nothing of the rate, and neither does the span that it was a part of.
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

    /// The rate, once it is measured.
    pub fn measured_rate(&self) -> Option<u64> {
        self.is_measured.then_some(self.rate)
    }

    /// Takes another engine's rate for its own for as long as it has none measured, so that it is not passed over for them.
    pub fn assume_rate(&mut self, rate: u64) {
        if !self.is_measured {
            self.rate = rate;
        }
    }

    /// The time until a prompt of so many uncached tokens would be done, in microseconds.
    pub fn cost_us(&self, uncached_tokens: u64) -> u64 {
        let ahead = self.pending_tokens + self.deferred_tokens;
        (ahead + uncached_tokens) * 1_000_000 / self.rate.max(1)
    }
}
