//! Requests suspected of crashing upstreams, as traffic and placement see them.

use super::Fingerprint;
use crate::prelude::*;

/// The suspicion that a request crashes the upstreams that run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Number of consecutive runs during which an upstream crashed.
    pub crash_count: u32,
    /// When the request's quarantine ends, before which it is not run at all; in the past if there is none.
    pub quarantined_until: Moment,
}

impl Suspicion {
    /// Whether the request must not be run now.
    pub fn is_quarantined(&self, now: Moment) -> bool {
        !now.reached(self.quarantined_until)
    }
}

/// The suspected requests, by the hash of their content.
pub type SuspicionMap = FastMap<Fingerprint, Suspicion>;
