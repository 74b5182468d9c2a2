//! Requests that were lost on connections that may not have reached a replica. Their next sends use watched
//! connections, so that a proxy without a replica behind it is detected.

use std::sync::Mutex;

use crate::blackboard::Fingerprint;
use crate::prelude::*;
use crate::runtime::lock;

/// How long a loss is kept, in milliseconds.
const RETENTION_MS: u64 = 60_000;

/// Maximum number of losses kept.
const MAX_LOSSES: usize = 1_024;

/// Fingerprints of lost requests, each with the time at which it expires.
#[derive(Debug, Default)]
pub struct UnprovenLosses {
    losses: Mutex<FastMap<Fingerprint, Moment>>,
}

impl UnprovenLosses {
    /// Records a loss. If too many are kept, all earlier ones are dropped.
    pub fn record(&self, fingerprint: Fingerprint, now: Moment) {
        let mut losses = lock(&self.losses);
        if losses.len() >= MAX_LOSSES {
            losses.retain(|_, expires_at| !now.reached(*expires_at));
        }
        if losses.len() >= MAX_LOSSES {
            losses.clear();
        }
        losses.insert(fingerprint, now.after_ms(RETENTION_MS));
    }

    /// Whether a loss of the request is recorded and has not expired.
    pub fn contains(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        let losses = lock(&self.losses);
        losses
            .get(&fingerprint)
            .is_some_and(|expires_at| !now.reached(*expires_at))
    }
}
