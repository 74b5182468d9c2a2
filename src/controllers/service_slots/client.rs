//! Asks owners for slots for this VM's sends, and gives up on owners that don't answer.

use super::{
    FIRST_ANSWER_LIMIT_MS, QUEUE_SILENCE_MS, SILENT_OWNER_PAUSE_MS, SendRelease, SendRequest, SendVerdict,
    ServiceSlotController, SlotReply, service_key,
};
use crate::controllers::Reply;
use crate::controllers::message::PeerMessage;
use crate::controllers::ownership::{find_owner, find_owner_except, suspect_owner};
use crate::prelude::*;

/// A request of this VM that waits for a slot.
#[derive(Debug)]
pub(super) struct PendingSlot {
    ticket: ReplyTicket,
    request: SendRequest,
    owner: VmName,
    /// When the owner's first answer is due; `None` once the request is queued, or if this VM is the owner.
    answer_by: Option<Moment>,
}

impl ServiceSlotController {
    /// Requests a slot for one of this VM's sends from the owner of the service.
    pub(super) fn request_slot(
        &mut self,
        ticket: ReplyTicket,
        request: &SendRequest,
        context: &mut ControlContext<'_>,
    ) {
        let now = context.now;
        let Some(owner) = self.find_reachable_owner(&request.service, context) else {
            context.reply(ticket, Reply::SendSlot(SlotReply::Unmanaged));
            return;
        };
        let is_own = owner == context.board.own.name;
        let slot = PendingSlot {
            ticket,
            request: request.clone(),
            owner: owner.clone(),
            answer_by: (!is_own).then_some(now.after_ms(FIRST_ANSWER_LIMIT_MS)),
        };
        let number = ticket.0;
        self.pending.insert(number, slot);
        if is_own {
            self.answer_request((owner, number), request, context);
        } else {
            let request = request.clone();
            context.send_to(&owner, PeerMessage::SendSlotRequest { number, request });
        }
    }

    /// The owner of a service, or the fallback owner if the first has just left a request unanswered; `None` if
    /// both have.
    fn find_reachable_owner(&self, service: &str, context: &ControlContext<'_>) -> Option<VmName> {
        let key = service_key(service);
        let is_silent = |vm: &VmName| {
            let until = self.silent_until.get(vm);
            until.is_some_and(|until| !context.now.reached(*until))
        };
        let first = find_owner(&key, context.board, context.now);
        if !is_silent(&first) {
            return Some(first);
        }
        let fallback = find_owner_except(&key, Some(&first), context.board, context.now);
        (!is_silent(&fallback)).then_some(fallback)
    }

    /// Handles an owner's answer. A slot that no pending request matches is released at once.
    pub(super) fn handle_answer(
        &mut self,
        from: &VmName,
        number: u64,
        verdict: &SendVerdict,
        context: &mut ControlContext<'_>,
    ) {
        let now = context.now;
        if *from != context.board.own.name {
            self.owner_watch.record_answer(from);
            self.silent_until.remove(from);
            self.heard_at.insert(from.clone(), now);
        }
        let is_expected = |slot: &&mut PendingSlot| slot.owner == *from;
        let Some(slot) = self.pending.get_mut(&number).filter(is_expected) else {
            if matches!(verdict, SendVerdict::Granted { .. }) && !self.held.contains_key(&number) {
                self.send_release(from, number, SendRelease::default(), context);
            }
            return;
        };
        let reply = match verdict {
            SendVerdict::Queued => {
                slot.answer_by = None;
                return;
            }
            SendVerdict::Granted { replica } => {
                self.held.insert(number, from.clone());
                SlotReply::Granted {
                    replica: replica.clone(),
                    owner: from.clone(),
                }
            }
            SendVerdict::Refused { retry_ms } => SlotReply::Refused {
                retry_at: now.after_ms(*retry_ms),
            },
            SendVerdict::NoCandidate => SlotReply::Unmanaged,
        };
        let ticket = slot.ticket;
        self.pending.remove(&number);
        context.reply(ticket, Reply::SendSlot(reply));
    }

    /// Tells the owner that a send has ended, or that a waiting request was given up.
    pub(super) fn release_slot(
        &mut self,
        ticket: ReplyTicket,
        release: SendRelease,
        context: &mut ControlContext<'_>,
    ) {
        let number = ticket.0;
        if let Some(slot) = self.pending.remove(&number) {
            self.send_release(&slot.owner, number, SendRelease::default(), context);
        } else if let Some(owner) = self.held.remove(&number) {
            self.send_release(&owner, number, release, context);
        }
    }

    fn send_release(
        &mut self,
        owner: &VmName,
        number: u64,
        release: SendRelease,
        context: &mut ControlContext<'_>,
    ) {
        if *owner == context.board.own.name {
            self.take_release(&(owner.clone(), number), release, context);
        } else {
            context.send_to(owner, PeerMessage::SendSlotReleased { number, release });
        }
    }

    /// When a waiting request is given up if its owner sends nothing; `None` if this VM is the owner.
    pub(super) fn give_up_at(&self, slot: &PendingSlot) -> Option<Moment> {
        let heard_at = || self.heard_at.get(&slot.owner);
        slot.answer_by
            .or_else(|| Some(heard_at()?.after_ms(QUEUE_SILENCE_MS)))
    }

    /// Lets requests whose owner did not answer in time proceed without a slot.
    pub(super) fn give_up_overdue(&mut self, context: &mut ControlContext<'_>) {
        let now = context.now;
        let is_overdue = |slot: &PendingSlot| self.give_up_at(slot).is_some_and(|at| now.reached(at));
        let overdue = self.pending.iter().filter(|(_, slot)| is_overdue(slot));
        let overdue: Vec<u64> = overdue.map(|(number, _)| *number).collect();
        for number in overdue {
            let Some(slot) = self.pending.remove(&number) else {
                continue;
            };
            if let Some(answer_by) = slot.answer_by
                && self
                    .owner_watch
                    .record_missing_answer(&slot.owner, answer_by, now)
            {
                suspect_owner(&slot.owner, context);
            }
            let silent_until = now.after_ms(SILENT_OWNER_PAUSE_MS);
            self.silent_until.insert(slot.owner.clone(), silent_until);
            // The owner may be slow rather than dead; it must not keep the place in its queue.
            self.send_release(&slot.owner, number, SendRelease::default(), context);
            context.reply(slot.ticket, Reply::SendSlot(SlotReply::Unmanaged));
        }
        self.silent_until.retain(|_, until| !now.reached(*until));
        if self.pending.is_empty() {
            self.heard_at.clear();
        }
    }

    /// Passes all requests that wait at an owner to the fallback owner, since the link to the first was lost.
    pub(super) fn give_up_owner(&mut self, owner: &VmName, context: &mut ControlContext<'_>) {
        let waiting = self.pending.extract_if(|_, slot| slot.owner == *owner);
        let waiting: Vec<PendingSlot> = waiting.map(|(_, slot)| slot).collect();
        let silent_until = context.now.after_ms(SILENT_OWNER_PAUSE_MS);
        self.silent_until.insert(owner.clone(), silent_until);
        for slot in waiting {
            self.request_slot(slot.ticket, &slot.request, context);
        }
    }
}
