//! Which requests may wait for engines, and when those that may not should come back.
//!
//! The load that this answers: more generations than the engines can hold, at the crest of a burst or after the loss of
//! engines. Every generation that is served late then takes the room of one that could be in time, so that without a
//! limit nearly all end up late. Whoever can't be in time while others wait too is refused on arrival, and what was
//! admitted by a forecast that proved wrong is refused as soon as that shows.

use super::limits::TurnForecast;
use super::{GroupLedger, WaitingAsk};
use crate::controllers::rendezvous;
use crate::controllers::slots::PlacementAsk;
use crate::prelude::*;

/// How long after two requests found no room the engines count as crowded, in milliseconds: about a third of the time for
/// which a generation keeps its room.
const CROWDED_MS: u64 = 1_000;

/// The part of the time that a caller has left within which it comes back after a refusal. Callers wait no longer.
const RETURN_PART: u64 = 3;

/// Follows whether more is asked of the engines than they can hold.
#[derive(Debug, Default)]
pub struct CrowdGauge {
    /// Until when another request without room shows a crowd.
    watch_until: Moment,
    crowded_until: Moment,
}

impl CrowdGauge {
    /// Notes a request that found no room.
    pub fn note_unplaced(&mut self, now: Moment) {
        if !now.reached(self.watch_until) {
            self.crowded_until = now.after_ms(CROWDED_MS);
        }
        self.watch_until = now.after_ms(CROWDED_MS);
    }

    /// Whether the engines are crowded.
    pub fn is_crowded(&self, now: Moment) -> bool {
        !now.reached(self.crowded_until)
    }
}

/// When a caller that is refused in a crowd should come back, in milliseconds: no sooner than there may be room, in the
/// later half of the time that it is ready to wait, and spread so that those of one crest don't come back together.
pub fn spread_return_ms(ask: &PlacementAsk, wait_ms: u64, now: Moment) -> u64 {
    let most_ms = now.until_ms(ask.deadline) / RETURN_PART;
    let spread_ms = (most_ms / 2).max(1);
    let drawn = rendezvous::weight("return", &ask.request) % spread_ms;
    (most_ms - spread_ms.min(most_ms) + drawn).max(wait_ms.min(most_ms))
}

impl GroupLedger {
    /// Whether a request that would get its engines after a wait has its first token in time, as far as is known: an owner
    /// that has just started has no rates, and refuses nobody for what it assumes.
    pub(super) fn is_in_time(&self, ask: &PlacementAsk, wait_ms: u64, now: Moment) -> bool {
        self.fastest_rate().is_none()
            || now.after_ms(wait_ms + self.first_token_ms(ask)) <= ask.first_token_by
    }

    /// A refusal for a request that found no room, unless it may wait.
    pub(super) fn refuse_crowded(
        &mut self,
        ask: &PlacementAsk,
        ahead: usize,
        now: Moment,
    ) -> Option<RefusalNotice> {
        let was_crowded = self.crowd.is_crowded(now);
        self.crowd.note_unplaced(now);
        let wait_ms = self.expected_wait_ms(ahead, now);
        if ask.may_be_late || !was_crowded || self.is_in_time(ask, wait_ms, now) {
            return None;
        }
        let detail = format!("about {wait_ms} ms to wait behind {ahead} requests");
        let notice = RefusalNotice::new(ResultCode::QueueFull, detail);
        Some(notice.retry_after_ms(spread_return_ms(ask, wait_ms, now)))
    }

    /// Whether a request that waits, with some others ahead of it, has to be given up: in a crowd once it can't be in time,
    /// before engines that name limits once its turn comes too late, else once its caller leaves.
    pub(super) fn is_over(
        &self,
        waiting: &mut WaitingAsk,
        turns: &TurnForecast,
        ahead: usize,
        now: Moment,
    ) -> bool {
        let ask = &waiting.ask;
        let is_hopeless = now.until_ms(ask.deadline) < self.service_ms(ask)
            || now.after_ms(self.first_token_ms(ask)) > ask.give_up_at;
        if is_hopeless || ask.may_be_late {
            return is_hopeless;
        }
        if turns.wait_ms(ahead) > 0 || self.is_bound(now) {
            return self.is_turn_late(waiting, turns, ahead, now);
        }
        self.crowd.is_crowded(now) && !self.is_in_time(ask, 0, now)
    }
}
