//! Selects the VM that decides for the fleet: the first by rendezvous hashing among those that are large
//! enough.

use super::membership::SUSPICION_MS;
use super::owner_tenure::OwnerView;
use super::rendezvous;
use crate::prelude::*;

/// A VM can be an owner only if its CPU share is at least that of the largest VM divided by this: an owner's
/// work grows with the fleet's requests, not with its own.
const OWNER_SIZE_DIVISOR: u32 = 2;

/// The owner of a key, computed from the VMs that this node considers alive.
pub fn find_owner(key: &str, board: &Blackboard, now: Moment) -> VmName {
    find_owner_except(key, None, board, now)
}

/// The owner of a key if `excluded` is left out; finds the fallback owner when the owner does not answer.
pub fn find_owner_except(key: &str, excluded: Option<&VmName>, board: &Blackboard, now: Moment) -> VmName {
    let own = (board.drain.is_none()).then(|| (&*board.own.name, board.own.millicores));
    let view = board.live_view(now);
    let peers = view
        .peers()
        .iter()
        .filter(|vm| !vm.leaving && Some(&vm.name) != excluded)
        .map(|vm| (&*vm.name, vm.millicores));
    let candidates: Vec<(&str, u32)> = peers.chain(own).collect();
    let largest = candidates
        .iter()
        .map(|(_, millicores)| *millicores)
        .max()
        .unwrap_or(0);
    let eligible = candidates
        .into_iter()
        .filter(|(_, millicores)| millicores * OWNER_SIZE_DIVISOR >= largest);
    let owner = rendezvous::owner(key, eligible.map(|(name, _)| name));
    owner.map_or_else(|| board.own.name.clone(), VmName::from)
}

/// The owner of a key among these VMs, of which leaving ones are none; `None` if there is no other.
pub fn find_owner_among<'a>(key: &str, vms: &'a [VmRecord]) -> Option<&'a VmName> {
    let staying = || vms.iter().filter(|vm| !vm.leaving);
    let largest = staying().map(|vm| vm.millicores).max()?;
    let eligible = staying().filter(|vm| vm.millicores * OWNER_SIZE_DIVISOR >= largest);
    let owner = rendezvous::owner(key, eligible.map(|vm| &*vm.name))?;
    staying().map(|vm| &vm.name).find(|name| ***name == *owner)
}

/// How long a new process that knows no other VM searches for one before it counts as cut off, in
/// milliseconds.
const ALONE_LIMIT_MS: u64 = 5_000;

/// This VM's view of a key's owner and of the fleet.
pub fn owner_view(key: &str, board: &Blackboard, now: Moment) -> OwnerView {
    view_as_owner(find_owner(key, board, now) == board.own.name, board, now)
}

/// This VM's view of the fleet where it is already known whether it is a key's owner.
pub fn view_as_owner(is_owner: bool, board: &Blackboard, now: Moment) -> OwnerView {
    let is_alone = board.vms.is_empty() && board.other_seed_count > 0;
    OwnerView {
        is_owner,
        renewal: board.renewal,
        live_count: match is_alone && now.0 < ALONE_LIMIT_MS {
            true => 0,
            false => board.live_view(now).vms.len(),
        },
        member_count: match is_alone {
            true => board.member_count.max(board.other_seed_count + 1),
            false => board.member_count,
        },
    }
}

/// Marks an owner that did not answer as suspected, so that the fallback owner is asked.
pub fn suspect_owner(owner: &VmName, context: &mut ControlContext<'_>) {
    if let Some(vm) = context.board.vms.get_mut(owner)
        && vm.is_live(context.now)
    {
        vm.suspected_until = Some(context.now.after_ms(SUSPICION_MS));
        context.publish();
        context.actions.push(Action::ResetLink { vm: owner.clone() });
        context.log(format!("event=owner_silent vm={owner}"));
    }
}
