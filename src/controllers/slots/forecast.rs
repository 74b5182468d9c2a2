//! Forecast of how long a generation occupies an engine's memory.

use crate::prelude::*;

/// A generation that has outlasted its estimate is assumed to run for another fourth of the time it has run.
const OVERDUE_DIVISOR: u64 = 4;

/// The memory that a generation takes on a decode engine, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLoad {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Estimate of the tokens that are generated.
    pub expected_tokens: u32,
    /// When generation begins or began.
    pub begins_at: Moment,
}

impl MemoryLoad {
    /// Estimate of the tokens held in memory at the end.
    pub fn final_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.expected_tokens)
    }

    /// Estimated end at `token_gap_us` microseconds per token.
    pub fn ends_at(&self, token_gap_us: u64, now: Moment) -> Moment {
        let planned = self
            .begins_at
            .after_ms(u64::from(self.expected_tokens) * token_gap_us / 1_000);
        if planned > now {
            return planned;
        }
        let ran_ms = self.begins_at.until_ms(now);
        now.after_ms(ran_ms / OVERDUE_DIVISOR + 1)
    }
}
