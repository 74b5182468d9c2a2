//! Hashes that identify the content of a request.

use sha2::{Digest, Sha256};

/// Hash that identifies the content of a request.
pub type Fingerprint = u64;

/// Hashes several byte strings. Each is prefixed with its length, so another split of the same bytes hashes
/// differently.
pub fn hash_parts(parts: &[&[u8]]) -> Fingerprint {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    u64::from_be_bytes(
        digest[..8]
            .try_into()
            .expect("a digest has more than eight bytes"),
    )
}
