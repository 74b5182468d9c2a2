//! Estimates of queue wait, time to first token and service time at a group's engines, and refusals based on
//! them.

use super::GroupLedger;
use super::admission::jittered_retry_ms;
use crate::controllers::slots::PlacementRequest;
use crate::controllers::slots::replica::{DEFAULT_PREFILL_RATE, DecodeReplica, PrefillReplica};
use crate::prelude::*;

/// Minimum and maximum of the Retry-After that follows from the estimated wait, in milliseconds.
const RETRY_RANGE_MS: (u64, u64) = (200, 5_000);

impl GroupLedger {
    /// Retry-After for a caller that is refused now, in milliseconds, without jitter.
    pub(super) fn retry_ms(&self, ahead: usize, now: Moment) -> u64 {
        self.expected_wait_ms(ahead, now)
            .clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1)
    }

    /// Estimated wait for slots with `ahead` requests before this one, in milliseconds: until enough
    /// generations have ended, the prefill engines have run the prompts that wait for them, and permits are
    /// available.
    pub(super) fn expected_wait_ms(&self, ahead: usize, now: Moment) -> u64 {
        let permit_wait_ms = self.forecast_permits(ahead + 1, now).wait_ms(ahead);
        let prefill_ms = self.prefill_wait_ms().max(permit_wait_ms);
        let has_slot = |replica: &DecodeReplica| replica.held() < replica.slots;
        let is_full = |replica: &DecodeReplica| {
            let next = replica.loads.values().next();
            !has_slot(replica) || next.is_some_and(|load| !replica.has_room(load, now))
        };
        if !self.decode.values().all(is_full) {
            return prefill_ms;
        }
        let mut ends: Vec<Moment> = self
            .decode
            .values()
            .filter(|replica| replica.token_gap_us > 0)
            .flat_map(|replica| {
                let token_gap_us = replica.token_gap_us;
                replica
                    .loads
                    .values()
                    .map(move |load| load.ends_at(token_gap_us, now))
            })
            .collect();
        ends.sort_unstable();
        let end = ends.get(ahead).or(ends.last());
        prefill_ms.max(end.map_or(0, |end| now.until_ms(*end)))
    }

    /// Rate of the fastest prefill engine in tokens per second; `None` until one is measured.
    pub(super) fn fastest_rate(&self) -> Option<u64> {
        self.prefill
            .values()
            .filter_map(PrefillReplica::measured_rate)
            .max()
    }

    /// Estimated time in which the prefill engines finish all granted and queued prompts, in milliseconds.
    pub(super) fn prefill_wait_ms(&self) -> u64 {
        let tokens = |replica: &PrefillReplica| replica.pending_tokens + replica.deferred_tokens;
        let backlog_tokens: u64 = self.prefill.values().map(tokens).sum();
        let rate: u64 = self.prefill.values().map(|replica| replica.rate).sum();
        backlog_tokens * 1_000 / rate.max(1)
    }

    /// Estimated time in which the fastest prefill engine runs a prompt, in milliseconds.
    pub(super) fn prefill_ms(&self, request: &PlacementRequest) -> u64 {
        let fastest = self
            .prefill
            .values()
            .map(|replica| replica.rate)
            .max()
            .unwrap_or(DEFAULT_PREFILL_RATE);
        let cached = self
            .prefill
            .values()
            .map(|replica| replica.prefix_index.cached_tokens(&request.prefix))
            .max();
        let uncached = request.prompt_tokens.saturating_sub(cached.unwrap_or(0));
        u64::from(uncached) * 1_000 / fastest.max(1)
    }

    /// Estimated time from the grant of slots to the first token, in milliseconds.
    pub(super) fn first_token_ms(&self, request: &PlacementRequest) -> u64 {
        self.least_backlog_ms() + self.prefill_ms(request) + self.handover_ms
    }

    /// Estimated time in which the least busy prefill engine finishes its granted prompts, in milliseconds.
    fn least_backlog_ms(&self) -> u64 {
        let backlogs = self.prefill.values();
        let backlogs = backlogs.map(|replica| replica.pending_tokens * 1_000 / replica.rate.max(1));
        backlogs.min().unwrap_or(0)
    }

    /// Estimated time from the grant of slots to the complete answer if it has `max_tokens`, in milliseconds.
    pub(super) fn service_ms(&self, request: &PlacementRequest) -> u64 {
        self.generation_ms(request, request.max_tokens)
    }

    /// Estimated time from the grant of slots to the complete answer if it has so many tokens, in milliseconds;
    /// without the time for the tokens while no engine's speed is measured.
    fn generation_ms(&self, request: &PlacementRequest, tokens: u32) -> u64 {
        let gaps = self.decode.values().map(|replica| replica.token_gap_us);
        let token_gap_us = gaps.filter(|gap_us| *gap_us > 0).min().unwrap_or(0);
        self.prefill_ms(request) + token_gap_us * u64::from(tokens) / 1_000
    }

    /// Refuses a request that has to wait with `ahead` others before it and can't be complete when its VM exits.
    pub(super) fn refuse_cut(
        &self,
        request: &PlacementRequest,
        ahead: usize,
        now: Moment,
    ) -> Option<RefusalNotice> {
        request.cut_at?;
        self.refuse_cut_after(request, self.expected_wait_ms(ahead, now), now)
    }

    /// Refuses a request that can't be complete when its VM exits if it gets its engines after `wait_ms`. Its
    /// caller may retry at another VM at once.
    pub(super) fn refuse_cut_after(
        &self,
        request: &PlacementRequest,
        wait_ms: u64,
        now: Moment,
    ) -> Option<RefusalNotice> {
        let left_ms = now.until_ms(request.cut_at?);
        let needed_ms = wait_ms + self.generation_ms(request, request.expected_tokens);
        if needed_ms <= left_ms {
            return None;
        }
        let detail = format!("about {needed_ms} ms are needed and the VM exits in {left_ms} ms");
        Some(RefusalNotice::new(ResultCode::Leaving, detail).retry_after_ms(0))
    }

    /// Refuses a request before any prefill is spent on it if it can't be complete by its deadline, or if its
    /// caller would time out before the first token.
    pub(super) fn refuse_early(
        &self,
        request: &PlacementRequest,
        ahead: usize,
        now: Moment,
    ) -> Option<RefusalNotice> {
        let wait_ms = match ahead {
            0 => 0,
            ahead => self.expected_wait_ms(ahead, now),
        };
        let needed_ms = wait_ms + self.service_ms(request);
        let left_ms = now.until_ms(request.deadline);
        if needed_ms <= left_ms
            && now.after_ms(wait_ms + self.first_token_ms(request)) <= request.first_token_deadline
        {
            return None;
        }
        let detail = format!("about {needed_ms} ms are needed and {left_ms} ms are left");
        let notice = RefusalNotice::new(ResultCode::DeadlineTooNear, detail);
        let suggested_retry_ms = match ahead {
            0 => self.retry_ms(ahead, now),
            _ => jittered_retry_ms(request, wait_ms, now),
        };
        Some(notice.retry_after_ms(suggested_retry_ms))
    }
}
