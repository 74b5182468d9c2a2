//! The owner's side: permits for the replicas of a plain service that name limits.

use std::sync::Arc;

use super::{KEY_SUFFIX, PermitAsk, PermitVerdict, RateDesk, RateLimitController, service_key};
use crate::blackboard::{RateLimitMap, ReplicaId};
use crate::controllers::message::PeerMessage;
use crate::controllers::ownership::{find_owner, view_owner};
use crate::controllers::rendezvous::weight;
use crate::prelude::*;

/// Asks for one service that its owner answers in a second; beyond it, VMs that were refused wait longer before the next.
const MOST_ASKS: u32 = 200;

/// The span over which asks are counted, in milliseconds.
const COUNT_MS: u64 = 1_000;

/// The shortest and the longest pause after a refusal, in milliseconds.
const PAUSE_RANGE_MS: (u64, u64) = (10, 2_000);

/// The permits of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceDesk {
    rates: RateDesk,
    counted_from: Moment,
    asks: u32,
    asks_before: u32,
}

impl ServiceDesk {
    /// Forgets replicas that name no limit any more.
    pub(super) fn forget_ended(&mut self, limits: &RateLimitMap) {
        self.rates.retain(|id| limits.contains_key(id));
    }

    /// Counts an ask; how many times the usual pause the next one should wait.
    fn count_ask(&mut self, now: Moment) -> u64 {
        if now.reached(self.counted_from.after_ms(COUNT_MS)) {
            let is_next = !now.reached(self.counted_from.after_ms(2 * COUNT_MS));
            self.asks_before = if is_next { self.asks } else { 0 };
            self.asks = 0;
            self.counted_from = now;
        }
        self.asks += 1;
        u64::from(self.asks.max(self.asks_before).div_ceil(MOST_ASKS))
    }
}

impl RateLimitController {
    /// Decides on an ask as the owner of the service's permits.
    pub(super) fn decide(&mut self, number: u64, ask: &PermitAsk, turn: &mut Turn<'_>) -> PermitVerdict {
        let now = turn.now;
        let desk = self.desks.entry(ask.service.clone()).or_default();
        let factor = desk.count_ask(now);
        let key = service_key(&ask.service);
        if desk.rates.look(view_owner(&key, turn.board, now), now) {
            hand_over(key, turn);
        }
        let board = &turn.board;
        let waits = ask.candidates.iter().enumerate().filter_map(|(place, id)| {
            let limit = board.listed_rate_limit(id)?;
            Some((desk.rates.wait_ms(id, limit, now)?, place, id, limit))
        });
        let first = waits.min_by_key(|(wait_ms, place, ..)| (*wait_ms, *place));
        let patience_ms = now.until_ms(ask.start_by);
        if let Some((wait_ms, _, id, limit)) = first
            && wait_ms <= patience_ms
        {
            desk.rates.take(id, limit, now);
            let replica = id.clone();
            turn.board.last_permit_at.insert(replica.clone(), now);
            return PermitVerdict::Granted { replica, wait_ms };
        }
        let pause_ms = first.map_or(PAUSE_RANGE_MS.1, |(wait_ms, ..)| wait_ms - patience_ms);
        let pause_ms = (pause_ms * factor).clamp(PAUSE_RANGE_MS.0, PAUSE_RANGE_MS.1);
        // VMs that are refused together don't come back together.
        let spread_ms = weight(&turn.board.own.name, &number.to_string()) % pause_ms;
        PermitVerdict::Refused {
            pause_ms: pause_ms / 2 + spread_ms,
        }
    }

    /// Answers a VM that wants to send. It is told of candidates of which it may not know that their limit has ended.
    pub(super) fn answer(&mut self, from: &VmName, number: u64, ask: &PermitAsk, turn: &mut Turn<'_>) {
        let verdict = self.decide(number, ask, turn);
        turn.send_to(from, PeerMessage::PermitAnswer { number, verdict });
        let ended = ask.candidates.iter().filter_map(|id| self.table.get(id));
        let ended = ended.filter(|record| record.rate.is_none());
        for record in ended {
            turn.send_to(from, PeerMessage::LimitStated(record.clone()));
        }
    }

    /// Takes a permit back that was not used.
    pub(super) fn take_back(&mut self, service: &Arc<str>, replica: &ReplicaId, turn: &mut Turn<'_>) {
        let desk = self.desks.get_mut(service);
        if let (Some(desk), Some(limit)) = (desk, turn.board.listed_rate_limit(replica)) {
            desk.rates.give_back(replica, limit, turn.now);
        }
    }

    /// Keeps up with who owns the services that this VM gives permits for, and hands over those that it does not own any more.
    pub(super) fn look_at_owners(&mut self, turn: &mut Turn<'_>) {
        for (service, desk) in &mut self.desks {
            let key = service_key(service);
            let view = view_owner(&key, turn.board, turn.now);
            if desk.rates.look(view, turn.now) {
                hand_over(key, turn);
            }
        }
    }

    /// Takes over from the owner before, which grants no more.
    pub(super) fn take_over(&mut self, key: &str, turn: &Turn<'_>) {
        if let Some(service) = key.strip_suffix(KEY_SUFFIX) {
            let desk = self.desks.entry(service.into()).or_default();
            desk.rates.look(view_owner(key, turn.board, turn.now), turn.now);
            desk.rates.take_over(turn.now);
        }
    }
}

/// Tells the owner of what a key stands for that this VM owned it and grants no more.
pub fn hand_over(key: String, turn: &mut Turn<'_>) {
    let owner = find_owner(&key, turn.board, turn.now);
    turn.log(format!("event=limits_handed_over key={key} vm={owner}"));
    turn.send_to(&owner, PeerMessage::LimitsHandedOver { key });
}
