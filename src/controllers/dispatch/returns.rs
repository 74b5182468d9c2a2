//! When callers that are refused for the limits of replicas should come back.
//!
//! The load that this answers: more requests than all replicas of a service take together, since each of them keeps its
//! limit. Callers that came back together would be refused together.

use std::collections::VecDeque;

use crate::blackboard::RequestRate;
use crate::controllers::rendezvous::weight;
use crate::prelude::*;

/// The span over which refusals are counted, in milliseconds.
const REFUSAL_WINDOW_MS: u64 = 1_000;

/// The shortest and the longest span over which callers come back, in milliseconds.
const RETRY_SPAN_RANGE_MS: (u64, u64) = (200, 5_000);

/// The part of the time that a caller has left within which it comes back after a refusal. Callers wait no longer.
const RETRY_DEADLINE_DIVISOR: u64 = 3;

/// Refusals that are counted at most.
const MAX_COUNTED_REFUSALS: usize = 4_096;

/// A caller that is refused.
#[derive(Clone, Copy, Debug)]
pub struct RefusedCaller<'a> {
    /// Its id for the attempt, which draws its place among the others.
    pub request_id: &'a str,
    /// By when it must have been answered.
    pub deadline: Moment,
    /// How many VMs refuse callers of the same service.
    pub vms: usize,
}

/// Spreads the returns of one service's callers.
#[derive(Debug, Default)]
pub struct RetryPlanner {
    refused_at: VecDeque<Moment>,
}

impl RetryPlanner {
    /// When a caller should come back, in milliseconds: not before the first request may go, and over the time that the
    /// replicas need for all those who were refused lately, within what callers wait for.
    pub fn plan_ms(
        &mut self,
        rate: RequestRate,
        earliest_ms: u64,
        caller: &RefusedCaller<'_>,
        now: Moment,
    ) -> u64 {
        let is_expired = |at: &Moment| now.reached(at.after_ms(REFUSAL_WINDOW_MS));
        while self.refused_at.front().is_some_and(is_expired) || self.refused_at.len() >= MAX_COUNTED_REFUSALS
        {
            self.refused_at.pop_front();
        }
        self.refused_at.push_back(now);
        let refused_count = (self.refused_at.len() * caller.vms.max(1)) as u64;
        let needed_ms = rate
            .gap_us()
            .map_or(u64::MAX, |gap_us| refused_count.saturating_mul(gap_us) / 1_000);
        let span_ms = needed_ms.clamp(RETRY_SPAN_RANGE_MS.0, RETRY_SPAN_RANGE_MS.1);
        let max_delay_ms = (now.until_ms(caller.deadline) / RETRY_DEADLINE_DIVISOR).max(1);
        let jitter_ms = weight("return", caller.request_id) % span_ms.min(max_delay_ms).max(1);
        (earliest_ms.min(max_delay_ms) + jitter_ms).min(max_delay_ms)
    }
}
