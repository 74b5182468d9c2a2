//! The owner's side of slot grants: answers requests, handles releases, and serves the queues of its groups.

use std::sync::Arc;

use super::client::SlotController;
use super::{EngineGroup, EngineOutcome, GroupLedger, HeldSlot, PlacementRequest, RequestId};
use crate::controllers::message::{PeerMessage, SlotVerdict};
use crate::controllers::ownership::owner_view;
use crate::controllers::rate_limits::{OWNER_CHECK_INTERVAL_MS, send_handover};
use crate::prelude::*;

/// Consecutive failures after which an engine is skipped. A single failure may be due to the request or the
/// connection, and the other engines may lack the capacity to replace this one.
const FAILURE_THRESHOLD: u32 = 2;

/// Time for which an engine is skipped at first, in milliseconds; each further failure doubles it.
const MIN_DOWN_MS: u64 = 500;

/// Maximum time for which an engine is skipped after failures, in milliseconds.
const MAX_DOWN_MS: u64 = 4_000;

/// Time between two checks for expired leases, for holders that are gone, and for new owners, in
/// milliseconds.
const SWEEP_INTERVAL_MS: u64 = 500;

impl SlotController {
    /// The ledger of a group, which is created if there is none.
    pub(super) fn ledger_mut(&mut self, key: &EngineGroup) -> &mut GroupLedger {
        self.ledgers
            .entry(key.clone())
            .or_insert_with(|| GroupLedger::new(key))
    }

    /// The ledger of a group, updated with the group's current owner. If this VM has just ceased to own the
    /// group, the new owner is notified.
    pub(super) fn refresh_ledger(
        &mut self,
        key: &EngineGroup,
        context: &mut ControlContext<'_>,
    ) -> &mut GroupLedger {
        let has_limits = !context.board.rate_limits.is_empty();
        let view = has_limits.then(|| owner_view(&key.owner_key(), context.board, context.now));
        let ledger = self.ledger_mut(key);
        let has_lost_ownership = view.is_some_and(|view| ledger.permit_issuer.update_view(view, context.now));
        if has_lost_ownership {
            send_handover(key.owner_key(), context);
        }
        ledger
    }

    /// Takes over the limits of a group's engines from the previous owner, which has stopped granting.
    pub(super) fn accept_handover(&mut self, key: &str, context: &mut ControlContext<'_>) {
        let group = EngineGroup::from_owner_key(key);
        let has_engines = |group: &EngineGroup| {
            context
                .board
                .register
                .register
                .services
                .contains_key(&group.model)
        };
        if let Some(group) = group.filter(has_engines) {
            let now = context.now;
            self.refresh_ledger(&group, context)
                .permit_issuer
                .record_handover(now);
        }
    }

    /// Periodically updates who owns the groups, while engines report limits.
    pub(super) fn refresh_owners(&mut self, context: &mut ControlContext<'_>) {
        if context.board.rate_limits.is_empty() || !context.now.reached(self.next_owner_check) {
            return;
        }
        self.next_owner_check = context.now.after_ms(OWNER_CHECK_INTERVAL_MS);
        let keys: Vec<EngineGroup> = self.ledgers.keys().cloned().collect();
        for key in keys {
            self.refresh_ledger(&key, context);
        }
    }

    /// Applies a prefill's end or a release to the ledger; returns the group to serve.
    pub(super) fn apply_release(
        &mut self,
        message: &PeerMessage,
        context: &mut ControlContext<'_>,
    ) -> Option<EngineGroup> {
        match message {
            PeerMessage::SlotPrefillDone { group, request, end } => {
                self.ledgers
                    .get_mut(group)?
                    .prefill_done(request, *end, context.now);
                Some(group.clone())
            }
            PeerMessage::SlotRelease {
                group,
                request,
                result,
            } => {
                let ledger = self.ledgers.get_mut(group)?;
                if let Some(engines) = ledger.release(request, *result, context.now) {
                    // A request that its caller abandoned early does not show whether its engines work.
                    record_engine_outcome(&engines.decode, result.decode, result.token_gap_us > 0, context);
                    if let Some(prefill) = &engines.prefill {
                        record_engine_outcome(prefill, result.prefill, result.handover_ms > 0, context);
                    }
                }
                Some(group.clone())
            }
            _ => None,
        }
    }

    /// Records when permits of rate-limited engines were granted. Engines with recent permits need no health
    /// probe.
    pub(super) fn record_permits(&self, verdict: &SlotVerdict, context: &mut ControlContext<'_>) {
        if let SlotVerdict::Granted {
            decode,
            prefill,
            permits,
        } = verdict
        {
            let decode = Some(decode).filter(|_| permits.decode);
            let prefill = prefill.as_ref().filter(|_| permits.prefill);
            let engines = decode.into_iter().chain(prefill).cloned();
            let now = context.now;
            context
                .board
                .last_permit_at
                .extend(engines.map(|engine| (engine, now)));
        }
    }

    /// Serves the queue of a group that this VM has a ledger of, and sends the decisions to the holders.
    pub(super) fn serve_group(&mut self, key: &EngineGroup, context: &mut ControlContext<'_>) {
        if !self.ledgers.contains_key(key) {
            return;
        }
        let group_size = self.group_size;
        let ledger = self.refresh_ledger(key, context);
        let decisions = ledger.serve_queue(context.board, group_size, context.now);
        for decision in decisions {
            self.record_permits(&decision.verdict, context);
            let Some(holder) = decision.holder else {
                self.apply_verdict(&decision.request, decision.verdict, context);
                continue;
            };
            self.send_answer(&holder, key, &decision.request, decision.verdict, context);
        }
    }

    /// Decides on a request of another VM as the owner of the group, and sends the answer.
    pub(super) fn answer_request(
        &mut self,
        from: &VmName,
        group: u32,
        ask: &PlacementRequest,
        context: &mut ControlContext<'_>,
    ) {
        let key = EngineGroup::new(&ask.model, group);
        let group_size = self.group_size;
        let verdict = self.refresh_ledger(&key, context).request_slots(
            ask,
            Some(from.clone()),
            context.board,
            group_size,
            context.now,
        );
        self.record_permits(&verdict, context);
        self.send_answer(from, &key, &ask.request, verdict, context);
    }

    fn send_answer(
        &self,
        holder: &VmName,
        key: &EngineGroup,
        request: &RequestId,
        verdict: SlotVerdict,
        context: &mut ControlContext<'_>,
    ) {
        let message = PeerMessage::SlotAnswer {
            group: key.clone(),
            request: request.clone(),
            verdict,
        };
        context.send_to(holder, message);
    }

    /// Takes over a slot that an earlier owner granted, as its holder reports it.
    pub(super) fn adopt(
        &mut self,
        group: &EngineGroup,
        held: &HeldSlot,
        holder: Option<VmName>,
        context: &ControlContext<'_>,
    ) {
        let group_size = self.group_size;
        self.ledger_mut(group)
            .adopt(held, holder, context.board, group_size, context.now);
    }

    /// Serves the groups that have queued requests.
    pub(super) fn serve_waiting(&mut self, context: &mut ControlContext<'_>) {
        let waiting = self.ledgers.iter().filter(|(_, ledger)| ledger.waiting() > 0);
        let keys: Vec<EngineGroup> = waiting.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.serve_group(key, context));
    }

    /// Periodically transfers leases to new owners, releases expired ones, and serves the groups.
    pub(super) fn sweep(&mut self, context: &mut ControlContext<'_>) {
        if !context.now.reached(self.next_sweep) {
            return;
        }
        self.next_sweep = context.now.after_ms(SWEEP_INTERVAL_MS);
        self.transfer_leases(context);
        let vms = &context.board.vms;
        let is_gone = |name: &VmName| vms.get(name).is_none_or(|vm| !vm.is_live(context.now));
        for ledger in self.ledgers.values_mut() {
            ledger.expire(context.now, is_gone);
        }
        let keys: Vec<EngineGroup> = self.ledgers.keys().cloned().collect();
        for key in keys {
            self.serve_group(&key, context);
        }
        self.report_paces(context);
    }

    /// Logs changes of the engines' paces, and publishes the limits of those that are restrained.
    fn report_paces(&mut self, context: &mut ControlContext<'_>) {
        let mut levels = Vec::new();
        for ledger in self.ledgers.values_mut() {
            for change in ledger.take_pace_changes() {
                context.log(change.log_line());
            }
            levels.extend(ledger.pace_levels(context.now));
        }
        if *levels != *context.board.engine_paces {
            context.board.engine_paces = levels.into();
            context.publish();
        }
    }
}

/// Counts an engine's consecutive failures. An engine that can't be reached or has failed several times in a
/// row is skipped, with exponential backoff. The count is reset if `has_served`: the request shows that the
/// engine works.
fn record_engine_outcome(
    name: &Arc<str>,
    end: EngineOutcome,
    has_served: bool,
    context: &mut ControlContext<'_>,
) {
    let now = context.now;
    let facts = context.board.upstream_mut(name);
    match end {
        EngineOutcome::Fine if has_served => facts.failures = 0,
        EngineOutcome::Fine | EngineOutcome::Full => return,
        EngineOutcome::Failed => facts.failures += 1,
        EngineOutcome::Unreachable => facts.failures = (facts.failures + 1).max(FAILURE_THRESHOLD),
    }
    let Some(excess_failures) = facts.failures.checked_sub(FAILURE_THRESHOLD) else {
        return;
    };
    let down_ms = (MIN_DOWN_MS << excess_failures.min(8)).min(MAX_DOWN_MS);
    facts.down_until = Some(now.after_ms(down_ms));
    context.log(format!(
        "event=engine_down engine={name} end={end:?} down_ms={down_ms}"
    ));
}
