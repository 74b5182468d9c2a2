//! Requests suspected of crashing upstreams, as traffic and placement see them.

use super::Fingerprint;
use crate::prelude::*;

/// How strongly a request is suspected of crashing upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Number of runs in a row during which an upstream crashed.
    pub crash_count: u32,
    /// When the quarantine ends, during which the request is not run at all; in the past if there is none.
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
