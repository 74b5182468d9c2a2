//! The asker's side: permits for this node's own requests.

use super::{PermitAsk, PermitGrant, PermitVerdict, RateLimitController, service_key};
use crate::controllers::Reply;
use crate::controllers::message::PeerMessage;
use crate::controllers::owner_watch::ANSWER_LIMIT_MS;
use crate::controllers::ownership::{find_owner_but, give_up_owner};
use crate::prelude::*;

/// When to ask again after no owner answered, in milliseconds.
const NO_OWNER_PAUSE_MS: u64 = 200;

/// A request of this node that waits for an owner's answer.
#[derive(Debug)]
pub(super) struct PendingPermit {
    ticket: ReplyTicket,
    ask: PermitAsk,
    owner: VmName,
    pub(super) answer_by: Moment,
    /// Whether another owner was asked before, and did not answer.
    is_second: bool,
}

impl RateLimitController {
    /// Asks for a permit for a request of this node.
    pub(super) fn want(&mut self, ticket: ReplyTicket, ask: &PermitAsk, turn: &mut Turn<'_>) {
        self.ask_owner(ticket, ask.clone(), None, turn);
    }

    fn ask_owner(
        &mut self,
        ticket: ReplyTicket,
        ask: PermitAsk,
        silent: Option<&VmName>,
        turn: &mut Turn<'_>,
    ) {
        let owner = find_owner_but(&service_key(&ask.service), silent, turn.board, turn.now);
        if owner == turn.board.own.name {
            let verdict = self.decide(ticket.0, &ask, turn);
            reply(ticket, &ask, owner, verdict, turn);
            return;
        }
        let number = ticket.0;
        turn.send_to(
            &owner,
            PeerMessage::PermitAsk {
                number,
                ask: ask.clone(),
            },
        );
        let pending = PendingPermit {
            ticket,
            ask,
            owner,
            answer_by: turn.now.after_ms(ANSWER_LIMIT_MS),
            is_second: silent.is_some(),
        };
        self.pending.insert(number, pending);
    }

    /// Takes an owner's answer; a permit that nobody here waits for goes back.
    pub(super) fn take_answer(
        &mut self,
        from: &VmName,
        number: u64,
        verdict: &PermitVerdict,
        turn: &mut Turn<'_>,
    ) {
        self.owner_watch.note_answer(from);
        let is_expected = |pending: &mut PendingPermit| pending.owner == *from;
        match self
            .pending
            .extract_if(|key, pending| *key == number && is_expected(pending))
            .next()
        {
            Some((_, pending)) => reply(pending.ticket, &pending.ask, pending.owner, verdict.clone(), turn),
            None => {
                if let PermitVerdict::Granted { replica, .. } = verdict
                    && let Some(facts) = turn.board.replicas.get(replica)
                {
                    let service = facts.record.service.clone();
                    let replica = replica.clone();
                    turn.send_to(from, PeerMessage::PermitReturned { service, replica });
                }
            }
        }
    }

    /// Gives up on owners that do not answer, and asks the next ones.
    pub(super) fn tend_pending(&mut self, turn: &mut Turn<'_>) {
        let now = turn.now;
        let due = self
            .pending
            .extract_if(|_, pending| now.reached(pending.answer_by));
        let due: Vec<PendingPermit> = due.map(|(_, pending)| pending).collect();
        for pending in due {
            if self
                .owner_watch
                .note_missing(&pending.owner, pending.answer_by, now)
            {
                give_up_owner(&pending.owner, turn);
            }
            if !pending.is_second {
                self.ask_owner(pending.ticket, pending.ask, Some(&pending.owner), turn);
                continue;
            }
            let verdict = PermitVerdict::Refused {
                pause_ms: NO_OWNER_PAUSE_MS,
            };
            reply(pending.ticket, &pending.ask, pending.owner, verdict, turn);
        }
    }

    /// Gives a permit back that a request of this node did not use.
    pub(super) fn give_back(&mut self, grant: &PermitGrant, turn: &mut Turn<'_>) {
        let (service, replica) = (grant.service.clone(), grant.replica.clone());
        if grant.owner == turn.board.own.name {
            self.take_back(&service, &replica, turn);
        } else {
            turn.send_to(&grant.owner, PeerMessage::PermitReturned { service, replica });
        }
    }
}

fn reply(ticket: ReplyTicket, ask: &PermitAsk, owner: VmName, verdict: PermitVerdict, turn: &mut Turn<'_>) {
    let now = turn.now;
    turn.reply(
        ticket,
        match verdict {
            PermitVerdict::Granted { replica, wait_ms } => Reply::Permitted(PermitGrant {
                service: ask.service.clone(),
                replica,
                owner,
                not_before: now.after_ms(wait_ms),
            }),
            PermitVerdict::Refused { pause_ms } => Reply::PermitRefused {
                ask_again_at: now.after_ms(pause_ms),
            },
        },
    );
}
