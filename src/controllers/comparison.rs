//! Anti-entropy by digests: a node whose facts differ from those of a peer requests the peer's facts. Nodes
//! that have just started, were paused or were partitioned catch up in this way.

use crate::prelude::*;

/// How long this node's facts must be unchanged before it requests those of a peer, in milliseconds: an
/// update goes around the ring in a few hundred milliseconds.
const SETTLED_MS: u64 = 1_200;

/// The first pause between two requests, in milliseconds; it doubles while nothing changes.
const FIRST_PAUSE_MS: u64 = 500;

/// The longest pause between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 16_000;

/// Decides when this node asks a peer for its facts, by comparing digests of them.
#[derive(Debug, Default)]
pub struct DigestComparison<D> {
    latest_digest: D,
    settled_at: Moment,
    has_asked: bool,
    next_ask_at: Moment,
    pause_ms: u64,
}

impl<D: PartialEq> DigestComparison<D> {
    /// Whether to ask a peer now; `is_behind` says that the peer may know more than this node. Facts differ
    /// while an update spreads, so a node waits until its own are stable, except for its first request.
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

    /// Whether this node has asked any peer since it started.
    pub fn has_asked(&self) -> bool {
        self.has_asked
    }
}
