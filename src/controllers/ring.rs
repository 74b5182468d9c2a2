//! A ring of VMs: each one keeps in contact with the VMs one, two, four, ... places ahead of it.
//!
//! Each VM is so watched by as many others as it watches itself, and news that each VM passes on once reaches all in
//! as many steps as the number of VMs has binary digits. The VMs of a zone stand together, so that most contacts stay in
//! the zone, where bytes are cheap.

use super::rendezvous::weight;
use crate::blackboard::OwnIdentity;
use crate::prelude::*;

/// What all nodes hash names with, so that they see one ring.
const RING_KEY: &str = "ring";

/// Where a VM stands on the ring.
type RingPlace<'a> = (&'a str, u64, &'a str);

fn place<'a>(zone: &'a str, name: &'a str) -> RingPlace<'a> {
    (zone, weight(RING_KEY, name), name)
}

/// The VMs that a node keeps in contact with, the next one on the ring first.
pub fn ring_neighbors<'a>(own: &OwnIdentity, others: impl Iterator<Item = &'a VmRecord>) -> Vec<VmName> {
    neighbors_of(&own.zone, &own.name, others)
}

/// The VMs that some VM keeps in contact with, as far as this node knows.
pub fn neighbors_of<'a>(zone: &str, name: &str, others: impl Iterator<Item = &'a VmRecord>) -> Vec<VmName> {
    let own_place = place(zone, name);
    let mut ring: Vec<(RingPlace<'_>, &VmName)> = others
        .filter(|vm| *vm.name != *name)
        .map(|vm| (place(&vm.zone, &vm.name), &vm.name))
        .collect();
    ring.sort_unstable();
    let first = ring.partition_point(|(place, _)| *place < own_place);
    let mut neighbors = Vec::new();
    let mut offset = 1;
    while offset <= ring.len() {
        let (_, name) = ring[(first + offset - 1) % ring.len()];
        neighbors.push(name.clone());
        offset *= 2;
    }
    neighbors
}
