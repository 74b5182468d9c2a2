//! One request's arrivals at replicas, counted as the shared budget counts them.

/// Arrivals so far. The first prompt call that an engine takes is none; all others are, also where a replica rejects them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalCount {
    arrivals: u32,
    has_accepted_prompt: bool,
}

impl ArrivalCount {
    /// Whether the next arrival is beyond the first, which the budget has to cover. A prompt call that may be rejected
    /// counts as one that will be.
    pub fn is_next_extra(&self) -> bool {
        self.arrivals > 0
    }

    /// Arrivals beyond the first.
    pub fn extra_arrivals(&self) -> u32 {
        self.arrivals.saturating_sub(1)
    }

    /// Notes a prompt call that went out.
    pub fn record_prompt_call(&mut self, was_accepted: bool) {
        if was_accepted && !self.has_accepted_prompt {
            self.has_accepted_prompt = true;
        } else {
            self.arrivals += 1;
        }
    }

    /// Notes a run that went out.
    pub fn record_run(&mut self) {
        self.arrivals += 1;
    }
}
