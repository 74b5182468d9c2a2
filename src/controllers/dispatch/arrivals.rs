//! Counts the sends of one request to replicas for the retry budget.

/// The arrivals of one request at replicas so far. The first prompt call that an engine accepts isn't
/// counted; every other send is, including those that a replica rejects.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalCount {
    arrivals: u32,
    has_accepted_prompt: bool,
}

impl ArrivalCount {
    /// Whether the next arrival is an extra one that the budget has to cover. A prompt call is treated as if
    /// it will be rejected, since its outcome is unknown before it is sent.
    pub fn is_next_extra(&self) -> bool {
        self.arrivals > 0
    }

    /// The number of arrivals beyond the first.
    pub fn extra_arrivals(&self) -> u32 {
        self.arrivals.saturating_sub(1)
    }

    /// Records a prompt call that was sent, and whether an engine accepted it.
    pub fn record_prompt_call(&mut self, was_accepted: bool) {
        if was_accepted && !self.has_accepted_prompt {
            self.has_accepted_prompt = true;
        } else {
            self.arrivals += 1;
        }
    }

    /// Records a decode call that was sent.
    pub fn record_decode_call(&mut self) {
        self.arrivals += 1;
    }
}
