//! Requests that were lost with the connection to their upstream, and what shows that the upstream ended.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::blackboard::Fingerprint;
use crate::prelude::*;

/// What a look at an upstream showed after a request was lost there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// It answers, or at least takes connections.
    Alive,
    /// Nothing listens there any more.
    Ended,
    /// Nobody may have been there as the request was sent, so that the request is not to blame.
    Unreached,
    /// It can't be told.
    Unclear,
}

/// A run that ended with the connection to its upstream.
#[derive(Clone, Debug)]
pub struct RunLoss {
    /// The request's content.
    pub fingerprint: Fingerprint,
    /// Which upstream.
    pub upstream: Arc<str>,
    /// Which start of the upstream; zero where that is not known.
    pub incarnation: u64,
    /// When the request was sent.
    pub began_at: Moment,
    /// When the connection ended.
    pub lost_at: Moment,
    /// The level of suspicion that this node knew as the request was sent.
    pub known_crash_count: u32,
    /// What a look at the upstream showed.
    pub outcome: UpstreamOutcome,
}

/// How long a loss whose cause is open is remembered, in milliseconds: the list tells of another start within it.
const OPEN_MS: u64 = 8_000;

/// Losses that are remembered.
const MOST_OPEN: usize = 256;

/// A loss whose cause is open.
#[derive(Debug)]
pub struct OpenLoss {
    /// The loss.
    pub loss: RunLoss,
    /// Where the upstream listened, as far as it was listed.
    pub address: Option<SocketAddr>,
    forget_at: Moment,
}

/// Losses whose cause is open.
#[derive(Debug, Default)]
pub struct OpenLosses {
    losses: Vec<OpenLoss>,
}

impl OpenLosses {
    /// Remembers a loss.
    pub fn push(&mut self, loss: RunLoss, address: Option<SocketAddr>, now: Moment) {
        if self.losses.len() >= MOST_OPEN {
            self.losses.remove(0);
        }
        self.losses.push(OpenLoss {
            loss,
            address,
            forget_at: now.after_ms(OPEN_MS),
        });
    }

    /// Takes out the losses that an upstream's end explains.
    pub fn take_explained(&mut self, is_explained: impl Fn(&OpenLoss) -> bool) -> Vec<RunLoss> {
        let explained = self.losses.extract_if(.., |open| is_explained(open));
        explained.map(|open| open.loss).collect()
    }

    /// Whether there are any.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
    }

    /// Forgets old ones.
    pub fn forget_old(&mut self, now: Moment) {
        self.losses.retain(|open| !now.reached(open.forget_at));
    }
}
