//! A ring of VMs, in which each one keeps in contact with the VMs one, two, four, ... positions ahead of it.
//!
//! Each VM is therefore watched by as many others as it watches itself, and an update that each VM forwards
//! once reaches all n VMs in about log2(n) steps. The VMs of a zone are adjacent,
//! so that most contacts stay in the zone, where traffic is cheap.

use super::rendezvous::weight;
use crate::blackboard::OwnIdentity;
use crate::prelude::*;

/// The key with which all nodes hash names, so that they compute the same ring.
const RING_KEY: &str = "ring";

/// A VM's position on the ring: its zone, then a hash of its name, then the name itself.
type RingPosition<'a> = (&'a str, u64, &'a str);

fn position<'a>(zone: &'a str, name: &'a str) -> RingPosition<'a> {
    (zone, weight(RING_KEY, name), name)
}

/// The VMs that this node keeps in contact with, the next one on the ring first.
pub fn ring_neighbors<'a>(own: &OwnIdentity, others: impl Iterator<Item = &'a VmRecord>) -> Vec<VmName> {
    neighbors_of(&own.zone, &own.name, others)
}

/// The VMs that the named VM keeps in contact with, computed from the VMs that this node knows.
pub fn neighbors_of<'a>(zone: &str, name: &str, others: impl Iterator<Item = &'a VmRecord>) -> Vec<VmName> {
    let own_position = position(zone, name);
    let mut ring: Vec<(RingPosition<'_>, &VmName)> = others
        .filter(|vm| *vm.name != *name)
        .map(|vm| (position(&vm.zone, &vm.name), &vm.name))
        .collect();
    ring.sort_unstable();
    let first = ring.partition_point(|(position, _)| *position < own_position);
    let mut neighbors = Vec::new();
    let mut offset = 1;
    while offset <= ring.len() {
        let (_, name) = ring[(first + offset - 1) % ring.len()];
        neighbors.push(name.clone());
        offset *= 2;
    }
    neighbors
}
