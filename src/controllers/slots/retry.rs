//! Retries of pending requests: at the same owner, at another one after a timeout, and at new owners of their
//! groups. Also transfers leases to new owners.

use super::client::{RESEND_INTERVAL_MS, RETRY_AFTER_MS, SlotController, release_message};
use super::{EngineGroup, HeldSlot, PlacementPolicy, PlacementResult, RequestId, SentEngines};
use crate::controllers::Reply;
use crate::controllers::message::PeerMessage;
use crate::controllers::owner_watch::ANSWER_LIMIT_MS;
use crate::controllers::ownership::suspect_owner;
use crate::prelude::*;

impl SlotController {
    /// Retries pending requests that are due, and abandons owners that do not answer in time.
    pub(super) fn retry_pending(&mut self, context: &mut ControlContext<'_>) {
        let due: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| {
                context.now.reached(pending.answer_by) || context.now.reached(pending.resend_at)
            })
            .map(|(request, _)| request.clone())
            .collect();
        for request in due {
            self.retry_request(&request, context);
        }
    }

    /// Sends a pending request again to its group's present owner, or abandons an owner that does not answer.
    pub(super) fn retry_request(&mut self, request: &RequestId, context: &mut ControlContext<'_>) {
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        if context.now.reached(pending.ask.deadline) {
            let ticket = pending.ticket;
            self.finish(request, PlacementResult::default(), context);
            let notice = RefusalNotice::new(ResultCode::QueueTimeout, "the deadline came while it waited");
            context.actions.push(Action::Reply {
                ticket,
                reply: Reply::Refused(notice.retry_after_ms(RETRY_AFTER_MS)),
            });
            return;
        }
        let has_timed_out = context.now.reached(pending.answer_by) && pending.owner != context.board.own.name;
        if has_timed_out {
            // Only owners issue permits for rate-limited engines, and a new owner at first issues less than
            // the full rate.
            let has_limits = context.board.has_limited_engine(&pending.ask.model);
            let (owner, answer_by) = (pending.owner.clone(), pending.answer_by);
            let is_dead = self
                .owner_watch
                .record_missing_answer(&owner, answer_by, context.now);
            if pending.is_queued && has_limits && !is_dead {
                // At another owner the request would lose its place in the queue.
                pending.answer_by = context.now.after_ms(ANSWER_LIMIT_MS);
                return;
            }
            let Some(pending) = self.pending.remove(request) else {
                return;
            };
            let group = pending.groups.first().copied().unwrap_or(0);
            let key = EngineGroup::new(&pending.ask.model, group);
            context.send_to(
                &pending.owner,
                release_message(&key, request, PlacementResult::default()),
            );
            if is_dead || !has_limits {
                suspect_owner(&pending.owner, context);
            }
            if !pending.is_fallback && has_limits {
                let unresponsive = Some(&pending.owner);
                self.request_from_owner(pending.ticket, pending.ask, pending.groups, unresponsive, context);
                return;
            }
            let keeps_waiting =
                pending.ask.may_be_late && !context.now.reached(pending.ask.first_token_deadline);
            if keeps_waiting && has_limits {
                self.request_from_owner(pending.ticket, pending.ask, pending.groups, None, context);
                return;
            }
            self.choose_locally(pending.ticket, &pending.ask, PlacementPolicy::Owner, context);
            return;
        }
        pending.resend_at = context.now.after_ms(RESEND_INTERVAL_MS);
        let group = pending.groups.first().copied().unwrap_or(0);
        let key = EngineGroup::new(&pending.ask.model, group);
        let old_owner = pending.owner.clone();
        // The fallback owner queued the request for permits of its own share; the owner's queue doesn't
        // contain the request.
        let keeps_owner = pending.is_fallback && context.board.live_view(context.now).contains(&old_owner);
        let owner = if keeps_owner {
            old_owner.clone()
        } else {
            self.owner_of(&key, context)
        };
        if owner != old_owner {
            let message = release_message(&key, request, PlacementResult::default());
            self.notify_owner(&key, &old_owner, message, context);
            if let Some(pending) = self.pending.get_mut(request) {
                pending.owner = owner.clone();
                pending.answer_by = context.now.after_ms(ANSWER_LIMIT_MS);
            }
        }
        self.send_request(request, &key, &owner, context);
    }

    /// Reports the slots that this VM's requests hold to new owners, so that these do not grant them again.
    pub(super) fn transfer_leases(&mut self, context: &mut ControlContext<'_>) {
        let mut owners: FastMap<EngineGroup, VmName> = FastMap::default();
        for lease in self.active.values() {
            if let Some((group, _)) = &lease.owner {
                owners
                    .entry(group.clone())
                    .or_insert_with(|| self.owner_of(group, context));
            }
        }
        let mut transfers = Vec::new();
        for (request, lease) in &mut self.active {
            let Some((group, owner)) = &mut lease.owner else {
                continue;
            };
            let Some(new_owner) = owners.get(group).filter(|new_owner| *new_owner != owner) else {
                continue;
            };
            let previous_owner = std::mem::replace(owner, new_owner.clone());
            let held = HeldSlot {
                request: request.clone(),
                workspace: lease.workspace.clone(),
                decode: lease.grant.decode.clone(),
                load: lease.load,
                deadline: lease.deadline,
            };
            transfers.push((group.clone(), previous_owner, new_owner.clone(), held));
        }
        for (group, previous_owner, owner, held) in transfers {
            // Exactly one owner must count a slot: the earlier one may be alive although it was suspected.
            let result = PlacementResult {
                sent: SentEngines::BOTH,
                ..PlacementResult::default()
            };
            let release = release_message(&group, &held.request, result);
            self.notify_owner(&group, &previous_owner, release, context);
            if owner == context.board.own.name {
                self.adopt(&group, &held, None, context);
            } else {
                context.send_to(&owner, PeerMessage::SlotHeld { group, held });
            }
        }
    }
}
