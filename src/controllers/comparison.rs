//! When a node that knows other facts than its peers asks them for theirs: those that begin, wake from a freeze or were cut
//! off make up what they missed.

use crate::prelude::*;

/// How long this node's facts must be unchanged before they are compared with those of others, in milliseconds: news go
/// around the ring in some hundred milliseconds.
const SETTLED_MS: u64 = 1_200;

/// The first and the longest pause between two questions, in milliseconds. It doubles while nothing changes.
const FIRST_PAUSE_MS: u64 = 500;
const MAX_PAUSE_MS: u64 = 16_000;

/// When this node asks others for their facts, by a digest of them.
#[derive(Debug, Default)]
pub struct DigestComparison<D> {
    latest_digest: D,
    settled_at: Moment,
    has_asked: bool,
    next_ask_at: Moment,
    pause_ms: u64,
}

impl<D: PartialEq> DigestComparison<D> {
    /// Whether to ask a peer now that may know more. While news are on their way around the ring, facts differ by themselves;
    /// a node that has just begun does not wait for that.
    pub fn should_ask(&mut self, own_digest: D, is_behind: bool, now: Moment) -> bool {
        if self.latest_digest != own_digest {
            self.latest_digest = own_digest;
            self.settled_at = now.after_ms(SETTLED_MS);
            self.pause_ms = FIRST_PAUSE_MS;
        }
        let may_ask = !self.has_asked || now.reached(self.settled_at);
        if !is_behind || !may_ask || !now.reached(self.next_ask_at) {
            return false;
        }
        self.has_asked = true;
        self.pause_ms = self.pause_ms.max(FIRST_PAUSE_MS);
        self.next_ask_at = now.after_ms(self.pause_ms);
        self.pause_ms = (self.pause_ms * 2).min(MAX_PAUSE_MS);
        true
    }

    /// Whether this node has asked anybody since it began.
    pub fn has_asked(&self) -> bool {
        self.has_asked
    }
}
