//! Requests that were lost where nobody may have been to run them: their next runs go over connections that show whether somebody is.

use std::sync::Mutex;

use crate::blackboard::Fingerprint;
use crate::prelude::*;
use crate::runtime::lock;

/// How long such a loss is remembered, in milliseconds.
const KEPT_MS: u64 = 60_000;

/// Requests that are remembered.
const MOST_KEPT: usize = 1_024;

/// Contents of requests, each with the time until which it is remembered.
#[derive(Debug, Default)]
pub struct UnprovenLosses {
    until: Mutex<FastMap<Fingerprint, Moment>>,
}

impl UnprovenLosses {
    /// Notes a loss; where there are too many, they are forgotten all together.
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

    /// Whether a request was lost so lately.
    pub fn contains(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        let until = lock(&self.until);
        until.get(&fingerprint).is_some_and(|until| !now.reached(*until))
    }
}
