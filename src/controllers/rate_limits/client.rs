//! Requests permits from their owners for this VM's own requests.

use super::{PermitGrant, PermitRequest, PermitVerdict, RateLimitController, service_key};
use crate::controllers::Reply;
use crate::controllers::message::PeerMessage;
use crate::controllers::owner_watch::ANSWER_LIMIT_MS;
use crate::controllers::ownership::{find_owner_except, suspect_owner};
use crate::prelude::*;

/// The delay before the next permit request if no owner answered, in milliseconds.
const NO_OWNER_RETRY_MS: u64 = 200;

/// A permit request of this VM that waits for its owner's answer.
#[derive(Debug)]
pub(super) struct PendingPermit {
    ticket: ReplyTicket,
    request: PermitRequest,
    owner: VmName,
    pub(super) answer_by: Moment,
    /// Whether `owner` is the fallback owner, since the first one did not answer.
    is_fallback: bool,
}

impl RateLimitController {
    /// Requests a permit for one of this VM's requests from the owner of the service's permits.
    pub(super) fn request_permit(
        &mut self,
        ticket: ReplyTicket,
        request: &PermitRequest,
        context: &mut ControlContext<'_>,
    ) {
        self.request_from_owner(ticket, request.clone(), None, context);
    }

    fn request_from_owner(
        &mut self,
        ticket: ReplyTicket,
        request: PermitRequest,
        unresponsive: Option<&VmName>,
        context: &mut ControlContext<'_>,
    ) {
        let owner = find_owner_except(
            &service_key(&request.service),
            unresponsive,
            context.board,
            context.now,
        );
        if owner == context.board.own.name {
            let verdict = self.decide(ticket.0, &request, context);
            reply(ticket, &request, owner, verdict, context);
            return;
        }
        let number = ticket.0;
        context.send_to(
            &owner,
            PeerMessage::PermitRequest {
                number,
                request: request.clone(),
            },
        );
        let pending = PendingPermit {
            ticket,
            request,
            owner,
            answer_by: context.now.after_ms(ANSWER_LIMIT_MS),
            is_fallback: unresponsive.is_some(),
        };
        self.pending.insert(number, pending);
    }

    /// Handles an owner's answer. A permit that no pending request matches is returned to the owner.
    pub(super) fn handle_answer(
        &mut self,
        from: &VmName,
        number: u64,
        verdict: &PermitVerdict,
        context: &mut ControlContext<'_>,
    ) {
        self.owner_watch.record_answer(from);
        let is_expected = |pending: &mut PendingPermit| pending.owner == *from;
        match self
            .pending
            .extract_if(|key, pending| *key == number && is_expected(pending))
            .next()
        {
            Some((_, pending)) => reply(
                pending.ticket,
                &pending.request,
                pending.owner,
                verdict.clone(),
                context,
            ),
            None => {
                if let PermitVerdict::Granted { replica, .. } = verdict
                    && let Some(facts) = context.board.replicas.get(replica)
                {
                    let service = facts.record.service.clone();
                    let replica = replica.clone();
                    context.send_to(from, PeerMessage::PermitReturned { service, replica });
                }
            }
        }
    }

    /// Handles permit requests that weren't answered in time: asks the fallback owner once, then refuses
    /// them.
    pub(super) fn retry_overdue(&mut self, context: &mut ControlContext<'_>) {
        let now = context.now;
        let overdue = self
            .pending
            .extract_if(|_, pending| now.reached(pending.answer_by));
        let overdue: Vec<PendingPermit> = overdue.map(|(_, pending)| pending).collect();
        for pending in overdue {
            if self
                .owner_watch
                .record_missing_answer(&pending.owner, pending.answer_by, now)
            {
                suspect_owner(&pending.owner, context);
            }
            if !pending.is_fallback {
                self.request_from_owner(pending.ticket, pending.request, Some(&pending.owner), context);
                continue;
            }
            let verdict = PermitVerdict::Refused {
                pause_ms: NO_OWNER_RETRY_MS,
            };
            reply(pending.ticket, &pending.request, pending.owner, verdict, context);
        }
    }

    /// Returns a permit that was not used by this VM to the owner that issued it.
    pub(super) fn give_back(&mut self, grant: &PermitGrant, context: &mut ControlContext<'_>) {
        let (service, replica) = (grant.service.clone(), grant.replica.clone());
        if grant.owner == context.board.own.name {
            self.take_back(&service, &replica, context);
        } else {
            context.send_to(&grant.owner, PeerMessage::PermitReturned { service, replica });
        }
    }
}

fn reply(
    ticket: ReplyTicket,
    request: &PermitRequest,
    owner: VmName,
    verdict: PermitVerdict,
    context: &mut ControlContext<'_>,
) {
    let now = context.now;
    context.reply(
        ticket,
        match verdict {
            PermitVerdict::Granted { replica, wait_ms } => Reply::Permitted(PermitGrant {
                service: request.service.clone(),
                replica,
                owner,
                not_before: now.after_ms(wait_ms),
            }),
            PermitVerdict::Refused { pause_ms } => Reply::PermitRefused {
                retry_at: now.after_ms(pause_ms),
            },
        },
    );
}
