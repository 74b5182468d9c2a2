//! The owner's side of a slot exchange: answers asks, takes slots back, and serves its groups' queues.

use std::sync::Arc;

use super::client::SlotController;
use super::{EngineEnd, EngineGroup, GroupLedger, HeldSlot, PlacementAsk, RequestId};
use crate::controllers::message::{PeerMessage, SlotVerdict};
use crate::controllers::ownership::view_owner;
use crate::controllers::rate_limits::{LOOK_EVERY_MS, hand_over};
use crate::prelude::*;

/// Failures in a row, without a request that an engine served meanwhile, from which on it is passed over. A single one may
/// be its request's or its connection's, and all engines together may have no room to do without one.
const FAILURES_TO_DOWN: u32 = 2;

/// How long an engine is passed over at first, in milliseconds.
const FIRST_DOWN_MS: u64 = 500;

/// The longest time for which an engine is passed over after failures, in milliseconds.
const LONGEST_DOWN_MS: u64 = 4_000;

/// How often an owner looks for holders that are gone, in milliseconds.
const SWEEP_EVERY_MS: u64 = 500;

impl SlotController {
    pub(super) fn own_ledger(&mut self, key: &EngineGroup) -> &mut GroupLedger {
        self.ledgers
            .entry(key.clone())
            .or_insert_with(|| GroupLedger::new(key))
    }

    /// The ledger here, which knows who owns the group now.
    pub(super) fn look_at_ledger(&mut self, key: &EngineGroup, turn: &mut Turn<'_>) -> &mut GroupLedger {
        let has_limits = !turn.board.rate_limits.is_empty();
        let view = has_limits.then(|| view_owner(&key.owner_key(), turn.board, turn.now));
        let ledger = self.own_ledger(key);
        let has_ceased = view.is_some_and(|view| ledger.rates.look(view, turn.now));
        if has_ceased {
            hand_over(key.owner_key(), turn);
        }
        ledger
    }

    /// Takes over the limits of a group's engines from the owner before, which grants no more.
    pub(super) fn take_over(&mut self, key: &str, turn: &mut Turn<'_>) {
        let group = EngineGroup::of_owner_key(key);
        let has_engines =
            |group: &EngineGroup| turn.board.register.register.services.contains_key(&group.model);
        if let Some(group) = group.filter(has_engines) {
            let now = turn.now;
            self.look_at_ledger(&group, turn).rates.take_over(now);
        }
    }

    /// Keeps up with who owns the groups, while engines name limits.
    pub(super) fn look_at_owners(&mut self, turn: &mut Turn<'_>) {
        if turn.board.rate_limits.is_empty() || !turn.now.reached(self.next_look) {
            return;
        }
        self.next_look = turn.now.after_ms(LOOK_EVERY_MS);
        let keys: Vec<EngineGroup> = self.ledgers.keys().cloned().collect();
        for key in keys {
            self.look_at_ledger(&key, turn);
        }
    }

    /// Books a prefill's end or a release in the ledger here.
    pub(super) fn take_release(&mut self, message: &PeerMessage, turn: &mut Turn<'_>) -> Option<EngineGroup> {
        match message {
            PeerMessage::SlotPrefillDone { group, request, end } => {
                self.ledgers.get_mut(group)?.prefill_done(request, *end, turn.now);
                Some(group.clone())
            }
            PeerMessage::SlotRelease {
                group,
                request,
                result,
            } => {
                let ledger = self.ledgers.get_mut(group)?;
                if let Some(engines) = ledger.release(request, *result, turn.now) {
                    // A request that was given up shows nothing of its engines.
                    note_engine(&engines.decode, result.decode, result.pace_us > 0, turn);
                    if let Some(prefill) = &engines.prefill {
                        note_engine(prefill, result.prefill, result.handover_ms > 0, turn);
                    }
                }
                Some(group.clone())
            }
            _ => None,
        }
    }

    /// Notes which engines that name limits are sent something.
    pub(super) fn note_permits(&self, verdict: &SlotVerdict, turn: &mut Turn<'_>) {
        if let SlotVerdict::Granted {
            decode,
            prefill,
            permits,
        } = verdict
        {
            let decode = Some(decode).filter(|_| permits.decode);
            let prefill = prefill.as_ref().filter(|_| permits.prefill);
            let engines = decode.into_iter().chain(prefill).cloned();
            let now = turn.now;
            turn.board
                .last_permit_at
                .extend(engines.map(|engine| (engine, now)));
        }
    }

    pub(super) fn serve_group(&mut self, key: &EngineGroup, turn: &mut Turn<'_>) {
        if !self.ledgers.contains_key(key) {
            return;
        }
        let group_size = self.group_size;
        let ledger = self.look_at_ledger(key, turn);
        let grants = ledger.serve_queue(turn.board, group_size, turn.now);
        for grant in grants {
            self.note_permits(&grant.verdict, turn);
            let Some(holder) = grant.holder else {
                self.take_verdict(&grant.request, grant.verdict, turn);
                continue;
            };
            self.send_answer(&holder, key, &grant.request, grant.verdict, turn);
        }
    }

    pub(super) fn answer_ask(&mut self, from: &VmName, group: u32, ask: &PlacementAsk, turn: &mut Turn<'_>) {
        let key = EngineGroup::new(&ask.model, group);
        let group_size = self.group_size;
        let verdict =
            self.look_at_ledger(&key, turn)
                .ask(ask, Some(from.clone()), turn.board, group_size, turn.now);
        self.note_permits(&verdict, turn);
        self.send_answer(from, &key, &ask.request, verdict, turn);
    }

    fn send_answer(
        &self,
        holder: &VmName,
        key: &EngineGroup,
        request: &RequestId,
        verdict: SlotVerdict,
        turn: &mut Turn<'_>,
    ) {
        let message = PeerMessage::SlotAnswer {
            group: key.clone(),
            request: request.clone(),
            verdict,
        };
        turn.send_to(holder, message);
    }

    pub(super) fn adopt(
        &mut self,
        group: &EngineGroup,
        held: &HeldSlot,
        holder: Option<VmName>,
        turn: &Turn<'_>,
    ) {
        let group_size = self.group_size;
        self.own_ledger(group).adopt(held, holder, turn.board, group_size);
    }

    /// Serves the groups for which requests wait.
    pub(super) fn serve_waiting(&mut self, turn: &mut Turn<'_>) {
        let waiting = self.ledgers.iter().filter(|(_, ledger)| ledger.waiting() > 0);
        let keys: Vec<EngineGroup> = waiting.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.serve_group(key, turn));
    }

    pub(super) fn sweep(&mut self, turn: &mut Turn<'_>) {
        if !turn.now.reached(self.next_sweep) {
            return;
        }
        self.next_sweep = turn.now.after_ms(SWEEP_EVERY_MS);
        self.follow_owners(turn);
        let vms = &turn.board.vms;
        let is_gone = |name: &VmName| vms.get(name).is_none_or(|vm| !vm.is_live(turn.now));
        for ledger in self.ledgers.values_mut() {
            ledger.expire(turn.now, is_gone);
        }
        let keys: Vec<EngineGroup> = self.ledgers.keys().cloned().collect();
        for key in keys {
            self.serve_group(&key, turn);
        }
    }
}

/// Passes over an engine that can't be reached, or failed several times in a row, for longer after each further failure.
/// `has_served` says whether the request shows that the engine works.
fn note_engine(name: &Arc<str>, end: EngineEnd, has_served: bool, turn: &mut Turn<'_>) {
    let now = turn.now;
    let facts = turn.board.upstream_mut(name);
    match end {
        EngineEnd::Fine if has_served => facts.failures = 0,
        EngineEnd::Fine | EngineEnd::Full => return,
        EngineEnd::Failed => facts.failures += 1,
        EngineEnd::Unreachable => facts.failures = (facts.failures + 1).max(FAILURES_TO_DOWN),
    }
    let Some(further) = facts.failures.checked_sub(FAILURES_TO_DOWN) else {
        return;
    };
    let span_ms = (FIRST_DOWN_MS << further.min(8)).min(LONGEST_DOWN_MS);
    facts.down_until = Some(now.after_ms(span_ms));
    turn.log(format!(
        "event=engine_down engine={name} end={end:?} down_ms={span_ms}"
    ));
}
