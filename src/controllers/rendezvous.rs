//! Rendezvous hashing: all nodes that know the same VMs compute the same owner without communication.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// The shift of the hash finalizer, in bits.
const MIX_SHIFT: u32 = 32;

/// A candidate's weight for a key: a hash of both, which is the same on all nodes.
pub fn weight(key: &str, candidate: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(key.as_bytes());
    hasher.write_u8(0xff);
    hasher.write(candidate.as_bytes());
    mix_bits(hasher.finish())
}

/// Spreads the bits of a weak hash, so that near-equal inputs rank independently.
fn mix_bits(mut bits: u64) -> u64 {
    bits ^= bits >> MIX_SHIFT;
    bits = bits.wrapping_mul(0xd6e8_feb8_6659_fd93);
    bits ^= bits >> MIX_SHIFT;
    bits = bits.wrapping_mul(0xd6e8_feb8_6659_fd93);
    bits ^ (bits >> MIX_SHIFT)
}

/// The candidate with the highest weight for a key; `None` if there are no candidates.
pub fn owner<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    candidates.max_by_key(|candidate| (weight(key, candidate), *candidate))
}
