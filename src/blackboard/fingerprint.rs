//! What stands for the content of a request.

use sha2::{Digest, Sha256};

/// A hash that stands for the content of a request.
pub type Fingerprint = u64;

/// A hash of several byte strings that no other split of the same bytes has.
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
