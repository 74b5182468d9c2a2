//! Selects the entry addresses for a caller.

use std::sync::Arc;

use super::rendezvous::weight;
use crate::prelude::*;

/// Maximum number of addresses in an answer.
const MAX_ADDRESSES: usize = 3;

/// Addresses for one caller, best first: those in the caller's zone precede others, and a hash of the caller
/// decides the order within them.
pub fn rank_entries(board_vms: &[VmRecord], zone: Option<&str>, caller: &str) -> Vec<Arc<str>> {
    let mut ranked: Vec<&VmRecord> = board_vms.iter().filter(|vm| !vm.leaving).collect();
    ranked.sort_by_key(|vm| {
        let is_far = zone.is_some_and(|zone| &*vm.zone != zone);
        (is_far, std::cmp::Reverse(weight(caller, &vm.name)))
    });
    ranked.truncate(MAX_ADDRESSES);
    ranked.iter().map(|vm| vm.caller_address.clone()).collect()
}

/// Minimum number of VMs in an answer, and in the caller's zone if the answer is restricted to it; fewer
/// leave no choice when one of them fails.
const MIN_NEAR_ENTRIES: usize = 2;

/// Addresses among which a caller chooses at random: those of its zone if there are enough, else all. A VM is
/// in an answer with a probability in proportion to its size; `draw` returns random numbers below a bound.
pub fn near_entries<'a>(
    vms: &'a [VmRecord],
    zone: Option<&str>,
    limit: usize,
    mut draw: impl FnMut(u32) -> u32,
) -> Vec<&'a str> {
    let is_staying = |vm: &&VmRecord| !vm.leaving;
    let is_near = |vm: &&VmRecord| zone.is_some_and(|zone| &*vm.zone == zone);
    let has_enough_near = vms.iter().filter(is_staying).filter(is_near).count() >= MIN_NEAR_ENTRIES;
    let mut candidates: Vec<&VmRecord> = vms
        .iter()
        .filter(is_staying)
        .filter(|vm| !has_enough_near || is_near(vm))
        .collect();
    let largest = candidates.iter().map(|vm| vm.millicores).max().unwrap_or(0);
    // Sorted largest first, so that an answer that would be too short is filled up with the largest VMs left
    // out.
    candidates.sort_by_key(|vm| std::cmp::Reverse(vm.millicores));
    let (mut selected, left_out): (Vec<&VmRecord>, Vec<&VmRecord>) = candidates
        .into_iter()
        .partition(|vm| vm.millicores == largest || draw(largest) < vm.millicores);
    let missing = MIN_NEAR_ENTRIES.saturating_sub(selected.len());
    selected.extend(left_out.into_iter().take(missing));
    selected
        .iter()
        .map(|vm| &*vm.caller_address)
        .take(limit)
        .collect()
}
