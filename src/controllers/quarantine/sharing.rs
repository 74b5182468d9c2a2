//! How nodes make up what they know of deadly requests: those that begin, wake from a freeze or were cut off ask others.

use super::case::DeathStrike;
use crate::blackboard::Fingerprint;
use crate::controllers::rendezvous::weight;
use crate::prelude::*;

/// How long this node's cases must be unchanged before they are compared with those of others, in milliseconds: news go
/// around the ring in some hundred milliseconds.
const SETTLED_MS: u64 = 1_200;

/// The first and the longest pause between two questions, in milliseconds. It doubles while nothing changes.
const FIRST_PAUSE_MS: u64 = 500;
const LONGEST_PAUSE_MS: u64 = 16_000;

/// Cases in one message.
pub const CASES_EACH: usize = 64;

/// A case as it is told to another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CaseRecord {
    /// The request's content.
    pub fingerprint: Fingerprint,
    /// Whether whole runs have cleared it of these strikes.
    pub is_cleared: bool,
    /// The strikes.
    pub strikes: Vec<DeathStrike>,
}

/// What a suspected request adds to the digest of all of them.
pub fn case_hash(fingerprint: Fingerprint, level: u32) -> u64 {
    weight(&fingerprint.to_string(), &level.to_string())
}

/// When this node asks others for their cases.
#[derive(Debug, Default)]
pub struct CaseComparison {
    latest_digest: u64,
    settled_at: Moment,
    has_asked: bool,
    next_ask: Moment,
    pause_ms: u64,
}

impl CaseComparison {
    /// Whether to ask a peer that knows other cases now. A node that has just begun asks at once.
    pub fn should_ask(&mut self, own_digest: u64, other_digest: u64, now: Moment) -> bool {
        if std::mem::replace(&mut self.latest_digest, own_digest) != own_digest {
            self.settled_at = now.after_ms(SETTLED_MS);
            self.pause_ms = FIRST_PAUSE_MS;
        }
        let may_ask = !self.has_asked || now.reached(self.settled_at);
        if other_digest == own_digest || !may_ask || !now.reached(self.next_ask) {
            return false;
        }
        self.has_asked = true;
        self.pause_ms = self.pause_ms.max(FIRST_PAUSE_MS);
        self.next_ask = now.after_ms(self.pause_ms);
        self.pause_ms = (self.pause_ms * 2).min(LONGEST_PAUSE_MS);
        true
    }
}
