//! What waiting, a first token and a whole answer will take at one group's engines, and refusals that follow from it.

use super::GroupLedger;
use super::admission::spread_return_ms;
use crate::controllers::slots::PlacementAsk;
use crate::controllers::slots::replica::{DEFAULT_PREFILL_RATE, DecodeReplica, PrefillReplica};
use crate::prelude::*;

/// The shortest and longest time to come back, in milliseconds.
const RETRY_RANGE_MS: (u64, u64) = (200, 5_000);

impl GroupLedger {
    /// When a caller that is refused now should come back, in milliseconds.
    pub(super) fn retry_ms(&self, ahead: usize, now: Moment) -> u64 {
        self.expected_wait_ms(ahead, now)
            .clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1)
    }

    /// How long a request with some others ahead of it will probably wait for its slots, in milliseconds: until as many
    /// generations have ended, or until the prefill engines have run what waits for them.
    pub(super) fn expected_wait_ms(&self, ahead: usize, now: Moment) -> u64 {
        let turn_ms = self.forecast_turns(ahead + 1, now).wait_ms(ahead);
        let prefill_ms = self.prefill_wait_ms().max(turn_ms);
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
            .filter(|replica| replica.pace_us > 0)
            .flat_map(|replica| {
                let pace_us = replica.pace_us;
                replica.loads.values().map(move |load| load.ends_at(pace_us, now))
            })
            .collect();
        ends.sort_unstable();
        let end = ends.get(ahead).or(ends.last());
        prefill_ms.max(end.map_or(0, |end| now.until_ms(*end)))
    }

    /// The rate of the fastest prefill engine; `None` while none is measured.
    pub(super) fn fastest_rate(&self) -> Option<u64> {
        self.prefill
            .values()
            .filter_map(PrefillReplica::measured_rate)
            .max()
    }

    /// How long the prefill engines need for what was given to them and what waits for them, in milliseconds.
    pub(super) fn prefill_wait_ms(&self) -> u64 {
        let tokens = |replica: &PrefillReplica| replica.pending_tokens + replica.deferred_tokens;
        let waiting: u64 = self.prefill.values().map(tokens).sum();
        let rate: u64 = self.prefill.values().map(|replica| replica.rate).sum();
        waiting * 1_000 / rate.max(1)
    }

    /// The time that the fastest engine needs for a prompt, in milliseconds.
    pub(super) fn prefill_ms(&self, ask: &PlacementAsk) -> u64 {
        let fastest = self
            .prefill
            .values()
            .map(|replica| replica.rate)
            .max()
            .unwrap_or(DEFAULT_PREFILL_RATE);
        let cached = self
            .prefill
            .values()
            .map(|replica| replica.memory.cached_tokens(&ask.prefix))
            .max();
        let uncached = ask.prompt_tokens.saturating_sub(cached.unwrap_or(0));
        u64::from(uncached) * 1_000 / fastest.max(1)
    }

    /// The time that the engines need for a request's first token once it has its slots, in milliseconds.
    pub(super) fn first_token_ms(&self, ask: &PlacementAsk) -> u64 {
        self.least_backlog_ms() + self.prefill_ms(ask) + self.handover_ms
    }

    /// How long the least busy prefill engine needs for the prompts that it was given, in milliseconds.
    fn least_backlog_ms(&self) -> u64 {
        let backlogs = self.prefill.values();
        let backlogs = backlogs.map(|replica| replica.pending_tokens * 1_000 / replica.rate.max(1));
        backlogs.min().unwrap_or(0)
    }

    /// The time that the engines need for a request once it has its slots, in milliseconds.
    pub(super) fn service_ms(&self, ask: &PlacementAsk) -> u64 {
        let pace_us = self
            .decode
            .values()
            .map(|replica| replica.pace_us)
            .filter(|pace| *pace > 0)
            .min();
        self.prefill_ms(ask) + pace_us.unwrap_or(0) * u64::from(ask.max_tokens) / 1_000
    }

    /// A refusal when the request can't be whole by its deadline, before any prefill is spent.
    pub(super) fn refuse_early(
        &self,
        ask: &PlacementAsk,
        ahead: usize,
        now: Moment,
    ) -> Option<RefusalNotice> {
        let wait_ms = match ahead {
            0 => 0,
            ahead => self.expected_wait_ms(ahead, now),
        };
        let needed_ms = wait_ms + self.service_ms(ask);
        let left_ms = now.until_ms(ask.deadline);
        if needed_ms <= left_ms && now.after_ms(wait_ms + self.first_token_ms(ask)) <= ask.give_up_at {
            return None;
        }
        let detail = format!("about {needed_ms} ms are needed and {left_ms} ms are left");
        let notice = RefusalNotice::new(ResultCode::DeadlineTooNear, detail);
        let return_ms = match ahead {
            0 => self.retry_ms(ahead, now),
            _ => spread_return_ms(ask, wait_ms, now),
        };
        Some(notice.retry_after_ms(return_ms))
    }
}
