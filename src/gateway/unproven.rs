//! Requests that were lost on connections that may not have reached a replica. Their next sends watch the
//! connection first, so that a proxy without a replica behind it is noticed.

use std::sync::Mutex;

use crate::blackboard::Fingerprint;
use crate::prelude::*;
use crate::runtime::lock;

/// How long a loss is kept, in milliseconds.
const KEPT_MS: u64 = 60_000;

/// Maximum number of losses kept.
const MOST_KEPT: usize = 1_024;

/// Fingerprints of lost requests, each with the time at which it expires.
#[derive(Debug, Default)]
pub struct UnprovenLosses {
    until: Mutex<FastMap<Fingerprint, Moment>>,
}

impl UnprovenLosses {
    /// Records a loss. If too many are kept, all earlier ones are dropped.
    pub fn note(&self, fingerprint: Fingerprint, now: Moment) {
        let mut until = lock(&self.until);
        if until.len() >= MOST_KEPT {
            until.retain(|_, until| !now.reached(*until));
        }
        if until.len() >= MOST_KEPT {
            until.clear();
        }
        until.insert(fingerprint, now.after_ms(KEPT_MS));
    }

    /// Whether a loss of the request is recorded and has not expired.
    pub fn contains(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        let until = lock(&self.until);
        until.get(&fingerprint).is_some_and(|until| !now.reached(*until))
    }
}
