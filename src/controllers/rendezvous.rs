//! Rendezvous hashing: every node that knows the same VMs names the same owner, without asking.

use std::hash::Hasher;

use rustc_hash::FxHasher;

use crate::prelude::*;

/// Bits of the finalizer's shifts.
const MIX_SHIFT: u32 = 32;

/// A hash of two texts that is the same on all nodes.
pub fn weight(key: &str, candidate: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(key.as_bytes());
    hasher.write_u8(0xff);
    hasher.write(candidate.as_bytes());
    finish(hasher.finish())
}

/// Spreads the bits of a weak hash, so that near-equal inputs rank independently.
fn finish(mut bits: u64) -> u64 {
    bits ^= bits >> MIX_SHIFT;
    bits = bits.wrapping_mul(0xd6e8_feb8_6659_fd93);
    bits ^= bits >> MIX_SHIFT;
    bits = bits.wrapping_mul(0xd6e8_feb8_6659_fd93);
    bits ^ (bits >> MIX_SHIFT)
}

/// The few VMs that rank lowest for a key: others for each key, the same ones each time.
pub fn pick_few<'a>(key: &str, vms: impl Iterator<Item = &'a VmRecord>, count: usize) -> Vec<VmAddress> {
    let mut ranked: Vec<(u64, VmAddress)> = vms.map(|vm| (weight(key, &vm.name), vm.name.clone())).collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// The candidate that ranks first for a key.
pub fn owner<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    candidates.max_by_key(|candidate| (weight(key, candidate), *candidate))
}
