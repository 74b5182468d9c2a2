//! Grants sends to the replicas of the services that this VM owns.

use super::{SendKey, SendRelease, SendRequest, ServiceLedger, ServiceSlotController, SlotDecision};
use crate::controllers::message::PeerMessage;
use crate::controllers::pace::PaceChange;
use crate::prelude::*;

impl ServiceSlotController {
    /// Decides on a request for a slot, as the owner of the service. Requests are accepted whoever this VM
    /// considers the owner, since views differ for a short time after a change.
    pub(super) fn answer_request(
        &mut self,
        key: SendKey,
        request: &SendRequest,
        context: &mut ControlContext<'_>,
    ) {
        let service = &request.service;
        let ledger = self.ledgers.entry(service.clone()).or_insert_with(|| {
            context.log_step(format!("event=service_owned service={service} vm={}", key.0));
            ServiceLedger::new(service)
        });
        let decisions = ledger.request(key, request, context.board, context.now);
        if let Some(line) = ledger.take_saturation_line(context.now) {
            context.log(line);
        }
        self.send_decisions(decisions, context);
    }

    /// Ends a grant. One that this VM did not give, but an earlier owner, is ignored.
    pub(super) fn take_release(
        &mut self,
        key: &SendKey,
        release: SendRelease,
        context: &mut ControlContext<'_>,
    ) {
        let (board, now) = (&*context.board, context.now);
        let mut ledgers = self.ledgers.values_mut();
        let decisions = ledgers.find_map(|ledger| ledger.release(key, release, board, now));
        self.send_decisions(decisions.unwrap_or_default(), context);
    }

    /// Runs the ledgers of all services, and drops those that are unused.
    pub(super) fn run_ledgers(&mut self, context: &mut ControlContext<'_>) {
        let (board, now) = (&*context.board, context.now);
        let mut decisions = Vec::new();
        let mut lines = Vec::new();
        for ledger in self.ledgers.values_mut() {
            decisions.extend(ledger.run(board, now));
            lines.extend(ledger.take_saturation_line(now));
            lines.extend(ledger.take_pace_changes().iter().map(PaceChange::log_line));
        }
        lines.into_iter().for_each(|line| context.log(line));
        self.ledgers.retain(|_, ledger| !ledger.is_idle(now));
        self.send_decisions(decisions, context);
    }

    fn send_decisions(&mut self, decisions: Vec<SlotDecision>, context: &mut ControlContext<'_>) {
        let own = context.board.own.name.clone();
        for SlotDecision { key, verdict } in decisions {
            let (holder, number) = key;
            if holder == own {
                self.handle_answer(&own, number, &verdict, context);
            } else {
                context.send_to(&holder, PeerMessage::SendSlotAnswer { number, verdict });
            }
        }
    }
}
