//! Requests that may end the replicas that run them, as far as traffic and placement have to know.

use super::Fingerprint;
use crate::prelude::*;

/// How far a request is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// How many replicas ended under it, one run after the other.
    pub level: u32,
    /// Until when it is not run at all.
    pub quarantined_until: Moment,
}

impl Suspicion {
    /// Whether the request is not run at all now.
    pub fn is_quarantined(&self, now: Moment) -> bool {
        !now.reached(self.quarantined_until)
    }
}

/// The suspected requests.
pub type SuspicionMap = FastMap<Fingerprint, Suspicion>;
