//! What engines that name limits may be sent.
//!
//! The load that this answers: more generations than the engines take, since each of them keeps its limit. Whoever would get
//! its turn too late is refused on arrival; no prompt is run for which its decode engine has no turn.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use super::admission::spread_return_ms;
use super::{GroupLedger, SlotLease, WaitingAsk};
use crate::blackboard::{RateLimit, find_limit};
use crate::controllers::slots::{EnginePermits, PlacementAsk, PlacementResult};
use crate::prelude::*;

/// How much sooner than at the last moment a request that waits for a turn has to get it by forecast, in milliseconds: two
/// looks at the queue.
const MARGIN_MS: u64 = 100;

/// How much later than was forecast a request may get its turn, in milliseconds, beside the time between two turns of an
/// engine: another one may go before it, for which a prefill engine was free. It is then served late.
const LATE_MS: u64 = 250;

/// The most that the time between two turns of an engine counts in that, in milliseconds.
const MOST_GAP_MS: u64 = 500;

/// How long after a refusal for the engines' limits they are taken to bind, in milliseconds.
const BOUND_MS: u64 = 1_000;

/// The longest time until an engine's turn that is told, in milliseconds.
const LONGEST_WAIT_MS: u64 = 60_000;

/// How long the requests of a queue wait for a turn of the engines.
#[derive(Clone, Debug, Default)]
pub(super) struct TurnForecast {
    /// Each one's time, in milliseconds; empty where some engines take what they can.
    waits_ms: Vec<u64>,
    /// The longest time between two turns of an engine, in milliseconds.
    gap_ms: u64,
}

impl TurnForecast {
    /// How long a request with some others ahead of it waits, in milliseconds; zero where some engines take what they can.
    pub(super) fn wait_ms(&self, ahead: usize) -> u64 {
        let wait_ms = self.waits_ms.get(ahead).or(self.waits_ms.last());
        wait_ms.copied().unwrap_or(0)
    }

    /// By when a request with some others ahead of it has to get its turn, if it is let wait now; `None` where some engines
    /// take what they can.
    pub(super) fn turn_by(&self, ahead: usize, now: Moment) -> Option<Moment> {
        let slack_ms = LATE_MS + self.gap_ms.min(MOST_GAP_MS);
        (!self.waits_ms.is_empty()).then(|| now.after_ms(self.wait_ms(ahead) + slack_ms))
    }

    /// For requests that need a turn of two kinds of engines.
    fn join(self, other: Self) -> Self {
        let pairs = self.waits_ms.into_iter().zip(other.waits_ms);
        Self {
            waits_ms: pairs.map(|(one, other)| one.max(other)).collect(),
            gap_ms: self.gap_ms.max(other.gap_ms),
        }
    }
}

impl GroupLedger {
    /// The limit that an engine names.
    fn limit(&self, name: &str) -> Option<&RateLimit> {
        let facts = self.synced_replicas.get(name)?;
        find_limit(&self.limits, name, facts.record.started_epoch_ms)
    }

    /// How long until an engine may be sent something, in milliseconds; `None` where it may not at all.
    pub(super) fn turn_ms(&self, name: &Arc<str>, now: Moment) -> Option<u64> {
        match self.limit(name) {
            Some(limit) => self.rates.wait_ms(name, limit, now),
            None => Some(0),
        }
    }

    /// Whether an engine takes requests at all.
    pub(super) fn takes_any(&self, name: &Arc<str>) -> bool {
        self.limit(name).is_none_or(|limit| !limit.rate.is_zero())
    }

    /// Whether an engine may be sent something now.
    pub(super) fn has_turn(&self, name: &Arc<str>, now: Moment) -> bool {
        self.turn_ms(name, now) == Some(0)
    }

    /// Uses up a turn of each engine that names a limit.
    pub(super) fn take_turns(
        &mut self,
        decode: &Arc<str>,
        prefill: Option<&Arc<str>>,
        now: Moment,
    ) -> EnginePermits {
        EnginePermits {
            decode: self.take_turn(decode, now),
            prefill: prefill.is_some_and(|prefill| self.take_turn(prefill, now)),
        }
    }

    fn take_turn(&mut self, name: &Arc<str>, now: Moment) -> bool {
        let Some(limit) = self.limit(name).cloned() else {
            return false;
        };
        self.rates.take(name, &limit, now).is_some()
    }

    /// Takes back the turns of a request's engines to which nothing was sent.
    pub(super) fn give_turns_back(&mut self, lease: &SlotLease, result: PlacementResult, now: Moment) {
        let decode = (lease.permits.decode && !result.sent.decode).then_some(&lease.decode);
        let has_prefill = lease.permits.prefill && !result.sent.prefill;
        let prefill = lease.prefill.as_ref().filter(|_| has_prefill);
        for name in decode.into_iter().chain(prefill) {
            if let Some(limit) = self.limit(name).cloned() {
                self.rates.give_back(name, &limit, now);
            }
        }
    }

    /// How long some requests wait for a turn of the engines, one after the other.
    pub(super) fn forecast_turns(&self, count: usize, now: Moment) -> TurnForecast {
        let decode = self.forecast_pool(self.decode.keys(), count, now);
        let prefill = self.forecast_pool(self.prefill.keys(), count, now);
        match (decode, prefill) {
            (Some(decode), Some(prefill)) => decode.join(prefill),
            (decode, prefill) => decode.or(prefill).unwrap_or_default(),
        }
    }

    /// The same for engines of one kind; `None` where one of them takes what it can.
    fn forecast_pool<'a>(
        &self,
        names: impl Iterator<Item = &'a Arc<str>>,
        count: usize,
        now: Moment,
    ) -> Option<TurnForecast> {
        let mut turns = BinaryHeap::new();
        let mut has_engines = false;
        let mut gap_ms = 0;
        for name in names {
            has_engines = true;
            let upcoming = self.rates.upcoming(name, self.limit(name)?, now);
            gap_ms = gap_ms.max(upcoming.map_or(0, |upcoming| upcoming.gap_ms()));
            turns.extend(upcoming.map(Reverse));
        }
        let next_ms = |_| {
            let Some(Reverse(first)) = turns.pop() else {
                return LONGEST_WAIT_MS;
            };
            turns.push(Reverse(first.after_first()));
            first.wait_ms(now).min(LONGEST_WAIT_MS)
        };
        has_engines.then(|| TurnForecast {
            waits_ms: (0..count).map(next_ms).collect(),
            gap_ms,
        })
    }

    /// Whether the limits of the engines bind.
    pub(super) fn is_bound(&self, now: Moment) -> bool {
        !now.reached(self.bound_until)
    }

    /// Whether a request that waits goes behind others, since it comes too late. Where it waits for a turn, each turn serves one
    /// request, so that nobody would be served sooner in its place.
    pub(super) fn is_late(&self, ask: &PlacementAsk, now: Moment) -> bool {
        !self.is_bound(now) && now.after_ms(self.first_token_ms(ask)) > ask.first_token_by
    }

    /// Whether a request that waits for a turn, with some others ahead of it, gets it too late: neither in time, nor about when
    /// that was forecast. What else was forecast of the engines may turn out wrong: refusing it after its wait would serve
    /// nobody sooner.
    pub(super) fn is_turn_late(
        &self,
        waiting: &mut WaitingAsk,
        turns: &TurnForecast,
        ahead: usize,
        now: Moment,
    ) -> bool {
        let turn_at = now.after_ms(turns.wait_ms(ahead));
        let is_in_time = turn_at.after_ms(self.first_token_ms(&waiting.ask)) <= waiting.ask.first_token_by;
        if is_in_time && waiting.turn_by.is_none() {
            waiting.turn_by = turns.turn_by(ahead, now);
        }
        !is_in_time && waiting.turn_by.is_none_or(|turn_by| turn_at > turn_by)
    }

    /// A refusal for a request that would get its turn too late.
    pub(super) fn refuse_limited(
        &mut self,
        ask: &PlacementAsk,
        ahead: usize,
        now: Moment,
    ) -> Option<RefusalNotice> {
        let wait_ms = self.forecast_turns(ahead + 1, now).wait_ms(ahead);
        let bound = if ask.may_be_late {
            ask.give_up_at
        } else {
            ask.first_token_by
        };
        if wait_ms == 0 || now.after_ms(wait_ms + MARGIN_MS + self.first_token_ms(ask)) <= bound {
            return None;
        }
        self.bound_until = now.after_ms(BOUND_MS);
        let detail = format!("about {wait_ms} ms until the engines take another request");
        let notice = RefusalNotice::new(ResultCode::RateLimited, detail);
        Some(notice.retry_after_ms(spread_return_ms(ask, wait_ms, now)))
    }
}
