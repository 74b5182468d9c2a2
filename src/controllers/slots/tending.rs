//! What the asker does as time passes: asks again, gives up owners that are silent, and follows owners that changed.

use super::client::{ASK_AGAIN_MS, RETRY_AFTER_MS, SlotController, release_of};
use super::{EngineGroup, HeldSlot, PlacementPolicy, PlacementResult, RequestId, SentEngines};
use crate::controllers::Reply;
use crate::controllers::message::PeerMessage;
use crate::controllers::owner_watch::ANSWER_LIMIT_MS;
use crate::controllers::ownership::give_up_owner;
use crate::prelude::*;

impl SlotController {
    /// Gives up on owners that do not answer, and asks again for what is queued.
    pub(super) fn tend_pending(&mut self, turn: &mut Turn<'_>) {
        let due: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| {
                turn.now.reached(pending.answer_by) || turn.now.reached(pending.ask_again_at)
            })
            .map(|(request, _)| request.clone())
            .collect();
        for request in due {
            self.tend_one(&request, turn);
        }
    }

    fn tend_one(&mut self, request: &RequestId, turn: &mut Turn<'_>) {
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        if turn.now.reached(pending.ask.deadline) {
            let ticket = pending.ticket;
            self.finish(request, PlacementResult::default(), turn);
            let notice = RefusalNotice::new(ResultCode::QueueTimeout, "the deadline came while it waited");
            turn.actions.push(Action::Reply {
                ticket,
                reply: Reply::Refused(notice.retry_after_ms(RETRY_AFTER_MS)),
            });
            return;
        }
        let is_lost = turn.now.reached(pending.answer_by) && pending.owner != turn.board.own.name;
        if is_lost {
            // Only an owner lets requests go to engines that name limits, and does so whole for as long as it keeps its place.
            let has_limits = turn.board.has_limited_engine(&pending.ask.model);
            let (owner, answer_by) = (pending.owner.clone(), pending.answer_by);
            let is_dead = self.owner_watch.note_missing(&owner, answer_by, turn.now);
            if pending.is_queued && has_limits && !is_dead {
                // It would lose its place there and begin anew at the next one.
                pending.answer_by = turn.now.after_ms(ANSWER_LIMIT_MS);
                return;
            }
            let Some(pending) = self.pending.remove(request) else {
                return;
            };
            let group = pending.groups.first().copied().unwrap_or(0);
            let key = EngineGroup::new(&pending.ask.model, group);
            turn.send_to(
                &pending.owner,
                release_of(&key, request, PlacementResult::default()),
            );
            if is_dead || !has_limits {
                give_up_owner(&pending.owner, turn);
            }
            if !pending.is_second && has_limits {
                let silent = Some(&pending.owner);
                self.ask_owner(pending.ticket, pending.ask, pending.groups, silent, turn);
                return;
            }
            let has_begun = pending.ask.may_be_late && !turn.now.reached(pending.ask.give_up_at);
            if has_begun && has_limits {
                self.ask_owner(pending.ticket, pending.ask, pending.groups, None, turn);
                return;
            }
            self.choose_alone(pending.ticket, &pending.ask, PlacementPolicy::Owner, turn);
            return;
        }
        pending.ask_again_at = turn.now.after_ms(ASK_AGAIN_MS);
        let group = pending.groups.first().copied().unwrap_or(0);
        let key = EngineGroup::new(&pending.ask.model, group);
        let old_owner = pending.owner.clone();
        // A stand-in has let it wait for a turn of its own part, which the owner's queue knows nothing of.
        let stays = pending.is_second && turn.board.live_view(turn.now).contains(&old_owner);
        let owner = if stays {
            old_owner.clone()
        } else {
            self.owner_of(&key, turn)
        };
        if owner != old_owner {
            let message = release_of(&key, request, PlacementResult::default());
            self.tell_owner(&key, &old_owner, message, turn);
            if let Some(pending) = self.pending.get_mut(request) {
                pending.owner = owner.clone();
                pending.answer_by = turn.now.after_ms(ANSWER_LIMIT_MS);
            }
        }
        self.send_ask(request, &key, &owner, turn);
    }

    /// Tells new owners what this node's requests hold, so that they do not grant it again.
    pub(super) fn follow_owners(&mut self, turn: &mut Turn<'_>) {
        let mut owners: FastMap<EngineGroup, VmName> = FastMap::default();
        for lease in self.active.values() {
            if let Some((group, _)) = &lease.owner {
                owners
                    .entry(group.clone())
                    .or_insert_with(|| self.owner_of(group, turn));
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
            self.tell_owner(&group, &earlier, release, turn);
            if owner == turn.board.own.name {
                self.adopt(&group, &held, None, turn);
            } else {
                turn.send_to(&owner, PeerMessage::SlotHeld { group, held });
            }
        }
    }
}
