//! Hashes that identify the content of a request.

use sha2::{Digest, Sha256};

/// Hash that identifies the content of a request.
pub type Fingerprint = u64;

/// Hashes several byte strings. Each is prefixed with its length, so another split of the same bytes hashes
/// differently.
pub fn hash_parts(parts: &[&[u8]]) -> Fingerprint {
    finish(hash_all(parts))
}

/// Hashes parts and one more behind them, whose `length` bytes come in segments, like [`hash_parts`].
pub fn hash_with_segments<'a>(
    parts: &[&[u8]],
    length: usize,
    segments: impl Iterator<Item = &'a [u8]>,
) -> Fingerprint {
    let mut hasher = hash_all(parts);
    hasher.update((length as u64).to_be_bytes());
    segments.for_each(|segment| hasher.update(segment));
    finish(hasher)
}

fn hash_all(parts: &[&[u8]]) -> Sha256 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher
}

fn finish(hasher: Sha256) -> Fingerprint {
    let digest = hasher.finalize();
    u64::from_be_bytes(
        digest[..8]
            .try_into()
            .expect("a digest has more than eight bytes"),
    )
}
