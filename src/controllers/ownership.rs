//! Which VM decides for all: the one that ranks first by rendezvous hashing among those that are large enough.

use super::membership::SUSPICION_MS;
use super::rate_limits::OwnerView;
use super::rendezvous;
use crate::prelude::*;

/// A VM owns something only if it is at least this part of the largest VM's size: its work grows with the fleet's requests,
/// not with its own.
const OWNER_PART: u32 = 2;

/// The VM that owns what a key stands for, as this node sees it.
pub fn find_owner(key: &str, board: &Blackboard, now: Moment) -> VmName {
    find_owner_but(key, None, board, now)
}

/// The VM that would own what a key stands for if another one did not.
pub fn find_owner_but(key: &str, silent: Option<&VmName>, board: &Blackboard, now: Moment) -> VmName {
    let own = (board.drain.is_none()).then(|| (&*board.own.name, board.own.millicores));
    let view = board.live_view(now);
    let peers = view
        .peers()
        .iter()
        .filter(|vm| !vm.leaving && Some(&vm.name) != silent)
        .map(|vm| (&*vm.name, vm.millicores));
    let candidates: Vec<(&str, u32)> = peers.chain(own).collect();
    let largest = candidates
        .iter()
        .map(|(_, millicores)| *millicores)
        .max()
        .unwrap_or(0);
    let able = candidates
        .into_iter()
        .filter(|(_, millicores)| millicores * OWNER_PART >= largest);
    let owner = rendezvous::owner(key, able.map(|(name, _)| name));
    owner.map_or_else(|| board.own.name.clone(), VmName::from)
}

/// How long a process that has met nobody looks for others before it counts as cut off from them, in milliseconds.
const ALONE_LIMIT_MS: u64 = 5_000;

/// How this VM stands to what a key stands for.
pub fn view_owner(key: &str, board: &Blackboard, now: Moment) -> OwnerView {
    let is_alone = board.vms.is_empty() && board.other_seed_count > 0;
    OwnerView {
        is_owner: find_owner(key, board, now) == board.own.name,
        renewal: board.renewal,
        live: match is_alone && now.0 < ALONE_LIMIT_MS {
            true => 0,
            false => board.live_view(now).vms.len(),
        },
        fleet: match is_alone {
            true => board.member_count.max(board.other_seed_count + 1),
            false => board.member_count,
        },
    }
}

/// Takes an owner that did not answer for dead, so that the next one is asked.
pub fn give_up_owner(owner: &VmName, turn: &mut Turn<'_>) {
    if let Some(vm) = turn.board.vms.get_mut(owner)
        && vm.is_live(turn.now)
    {
        vm.suspected_until = Some(turn.now.after_ms(SUSPICION_MS));
        turn.publish();
        turn.actions.push(Action::ResetLink { vm: owner.clone() });
        turn.log(format!("event=owner_silent vm={owner}"));
    }
}
