//! The order of the requests that wait for a slot of one service.

use super::SendRequest;
use super::ledger::SendKey;
use crate::prelude::*;

/// A request that waits for a slot.
#[derive(Debug)]
pub(super) struct WaitingSend {
    pub key: SendKey,
    pub request: SendRequest,
    pub asked_at: Moment,
    /// Whether its VM was told that it waits.
    pub is_noticed: bool,
}

impl WaitingSend {
    /// The request's place in the queue; the least is served first. Requests that can still be in time, given
    /// that an answer takes this long, go before late ones of the same rank, the earliest objective first: by
    /// arrival, routes with a short objective would be late whenever others wait with a longer one.
    pub fn order(&self, answer_ms: u64, now: Moment) -> (u32, bool, Moment, u64) {
        let is_late = now.after_ms(answer_ms) > self.request.objective;
        let due_at = if is_late {
            self.asked_at
        } else {
            self.request.objective
        };
        (self.request.rank, is_late, due_at, self.key.1)
    }
}
