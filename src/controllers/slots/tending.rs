//! What the asker does as time passes: asks again, gives up owners that are silent, and follows owners that changed.

use super::client::{ANSWER_LIMIT_MS, ASK_AGAIN_MS, RETRY_AFTER_MS, SlotController, release_of};
use super::{EngineGroup, HeldSlot, PlacementPolicy, PlacementResult, RequestId};
use crate::controllers::Reply;
use crate::controllers::membership::SUSPICION_MS;
use crate::controllers::message::PeerMessage;
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
            let Some(pending) = self.pending.remove(request) else {
                return;
            };
            let group = pending.groups.first().copied().unwrap_or(0);
            let key = EngineGroup::new(&pending.ask.model, group);
            turn.send_to(
                &pending.owner,
                release_of(&key, request, PlacementResult::default()),
            );
            self.give_up_owner(&pending.owner, turn);
            self.choose_alone(pending.ticket, &pending.ask, PlacementPolicy::Owner, turn);
            return;
        }
        pending.ask_again_at = turn.now.after_ms(ASK_AGAIN_MS);
        let group = pending.groups.first().copied().unwrap_or(0);
        let key = EngineGroup::new(&pending.ask.model, group);
        let old_owner = pending.owner.clone();
        let owner = self.owner_of(&key, turn);
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

    fn give_up_owner(&self, owner: &VmAddress, turn: &mut Turn<'_>) {
        if let Some(vm) = turn.board.vms.get_mut(owner)
            && vm.is_live(turn.now)
        {
            vm.suspected_until = Some(turn.now.after_ms(SUSPICION_MS));
            turn.publish();
            turn.actions.push(Action::ResetLink { vm: owner.clone() });
            turn.actions
                .push(Action::Log(format!("event=owner_silent vm={owner}")));
        }
    }

    /// Tells new owners what this node's requests hold, so that they do not grant it again.
    pub(super) fn follow_owners(&mut self, turn: &mut Turn<'_>) {
        let mut owners: FastMap<EngineGroup, VmAddress> = FastMap::default();
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
            let release = release_of(&group, &held.request, PlacementResult::default());
            self.tell_owner(&group, &earlier, release, turn);
            if owner == turn.board.own.name {
                self.adopt(&group, &held, None, turn);
            } else {
                turn.send_to(&owner, PeerMessage::SlotHeld { group, held });
            }
        }
    }
}
