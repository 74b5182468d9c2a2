//! What the asker does as time passes: asks again, gives up owners that are silent, and follows owners that changed.

use super::client::{ASK_AGAIN_MS, RETRY_AFTER_MS, SlotController, release_of};
use super::{EngineGroup, HeldSlot, PlacementPolicy, PlacementResult, RequestId, SentEngines};
use crate::controllers::Reply;
use crate::controllers::message::PeerMessage;
use crate::controllers::owner_watch::ANSWER_LIMIT_MS;
use crate::controllers::ownership::suspect_owner;
use crate::prelude::*;

impl SlotController {
    /// Gives up on owners that do not answer, and asks again for what is queued.
    pub(super) fn tend_pending(&mut self, context: &mut ControlContext<'_>) {
        let due: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| {
                context.now.reached(pending.answer_by) || context.now.reached(pending.ask_again_at)
            })
            .map(|(request, _)| request.clone())
            .collect();
        for request in due {
            self.tend_one(&request, context);
        }
    }

    fn tend_one(&mut self, request: &RequestId, context: &mut ControlContext<'_>) {
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
        let is_lost = context.now.reached(pending.answer_by) && pending.owner != context.board.own.name;
        if is_lost {
            // Only an owner lets requests go to engines that name limits, and does so whole for as long as it keeps its place.
            let has_limits = context.board.has_limited_engine(&pending.ask.model);
            let (owner, answer_by) = (pending.owner.clone(), pending.answer_by);
            let is_dead = self
                .owner_watch
                .record_missing_answer(&owner, answer_by, context.now);
            if pending.is_queued && has_limits && !is_dead {
                // It would lose its place there and begin anew at the next one.
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
                release_of(&key, request, PlacementResult::default()),
            );
            if is_dead || !has_limits {
                suspect_owner(&pending.owner, context);
            }
            if !pending.is_second && has_limits {
                let silent = Some(&pending.owner);
                self.ask_owner(pending.ticket, pending.ask, pending.groups, silent, context);
                return;
            }
            let has_begun = pending.ask.may_be_late && !context.now.reached(pending.ask.give_up_at);
            if has_begun && has_limits {
                self.ask_owner(pending.ticket, pending.ask, pending.groups, None, context);
                return;
            }
            self.choose_alone(pending.ticket, &pending.ask, PlacementPolicy::Owner, context);
            return;
        }
        pending.ask_again_at = context.now.after_ms(ASK_AGAIN_MS);
        let group = pending.groups.first().copied().unwrap_or(0);
        let key = EngineGroup::new(&pending.ask.model, group);
        let old_owner = pending.owner.clone();
        // A stand-in has let it wait for a turn of its own part, which the owner's queue knows nothing of.
        let stays = pending.is_second && context.board.live_view(context.now).contains(&old_owner);
        let owner = if stays {
            old_owner.clone()
        } else {
            self.owner_of(&key, context)
        };
        if owner != old_owner {
            let message = release_of(&key, request, PlacementResult::default());
            self.tell_owner(&key, &old_owner, message, context);
            if let Some(pending) = self.pending.get_mut(request) {
                pending.owner = owner.clone();
                pending.answer_by = context.now.after_ms(ANSWER_LIMIT_MS);
            }
        }
        self.send_ask(request, &key, &owner, context);
    }

    /// Tells new owners what this node's requests hold, so that they do not grant it again.
    pub(super) fn follow_owners(&mut self, context: &mut ControlContext<'_>) {
        let mut owners: FastMap<EngineGroup, VmAddress> = FastMap::default();
        for lease in self.active.values() {
            if let Some((group, _)) = &lease.owner {
                owners
                    .entry(group.clone())
                    .or_insert_with(|| self.owner_of(group, context));
            }
        }
        let mut moved = Vec::new();
        for (request, lease) in &mut self.active {
            let Some((group, owner)) = &mut lease.owner else {
                continue;
            };
            let Some(present) = owners.get(group).filter(|present| *present != owner) else {
                continue;
            };
            let earlier = std::mem::replace(owner, present.clone());
            let held = HeldSlot {
                request: request.clone(),
                workspace: lease.workspace.clone(),
                decode: lease.grant.decode.clone(),
                load: lease.load,
                deadline: lease.deadline,
            };
            moved.push((group.clone(), earlier, present.clone(), held));
        }
        for (group, earlier, owner, held) in moved {
            // Exactly one owner counts a slot: the earlier one may only have been thought dead.
            let result = PlacementResult {
                sent: SentEngines::BOTH,
                ..PlacementResult::default()
            };
            let release = release_of(&group, &held.request, result);
            self.tell_owner(&group, &earlier, release, context);
            if owner == context.board.own.name {
                self.adopt(&group, &held, None, context);
            } else {
                context.send_to(&owner, PeerMessage::SlotHeld { group, held });
            }
        }
    }
}
