//! Computes the Retry-After of callers that are refused because of replicas' rate limits.
//!
//! The limits of a service's replicas together may be lower than the rate of its requests. Callers that
//! retried at the same time would be refused again at the same time, so their retries are spread.

use std::collections::VecDeque;

use crate::blackboard::RequestRate;
use crate::controllers::rendezvous::weight;
use crate::prelude::*;

/// The window in which refusals are counted, in milliseconds.
const REFUSAL_WINDOW_MS: u64 = 1_000;

/// The shortest and the longest span over which retries are spread, in milliseconds.
const RETRY_SPAN_RANGE_MS: (u64, u64) = (200, 5_000);

/// Divides the time left until a caller's deadline: the caller is told to retry within that part, since
/// callers wait no longer.
const RETRY_DEADLINE_DIVISOR: u64 = 3;

/// The most refusals that are counted, which bounds the memory of a planner.
const MAX_COUNTED_REFUSALS: usize = 4_096;

/// A caller that is refused and told when to retry.
#[derive(Clone, Copy, Debug)]
pub struct RefusedCaller<'a> {
    /// The id of the attempt; its hash determines the caller's jitter.
    pub request_id: &'a str,
    /// When the caller's request expires.
    pub deadline: Moment,
    /// The number of VMs that may refuse callers of the same service.
    pub vm_count: usize,
}

/// Spreads the retries of one service's callers.
#[derive(Debug, Default)]
pub struct RetryPlanner {
    refused_at: VecDeque<Moment>,
}

impl RetryPlanner {
    /// The delay before a caller's retry, in milliseconds. It is at least `earliest_ms`, the time until the
    /// next request may be sent. Jitter spreads the retries over the time that the replicas need for all
    /// recently refused requests at `rate`. The delay is at most a third of the caller's remaining time.
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
        let refused_count = (self.refused_at.len() * caller.vm_count.max(1)) as u64;
        let needed_ms = rate
            .gap_us()
            .map_or(u64::MAX, |gap_us| refused_count.saturating_mul(gap_us) / 1_000);
        let span_ms = needed_ms.clamp(RETRY_SPAN_RANGE_MS.0, RETRY_SPAN_RANGE_MS.1);
        let max_delay_ms = (now.until_ms(caller.deadline) / RETRY_DEADLINE_DIVISOR).max(1);
        let jitter_ms = weight("return", caller.request_id) % span_ms.min(max_delay_ms).max(1);
        (earliest_ms.min(max_delay_ms) + jitter_ms).min(max_delay_ms)
    }
}
