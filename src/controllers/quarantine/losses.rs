//! Requests that were lost with the connection to their upstream, kept for a while in case the upstream turns
//! out to have crashed.

use std::net::SocketAddr;
use std::sync::Arc;

use super::CrashSuspect;
use crate::prelude::*;

/// What a probe of an upstream showed after a request to it was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// The upstream answers, or at least accepts connections.
    Alive,
    /// The upstream process has exited: connections are refused or broken, or a newer process answers.
    Ended,
    /// The upstream may have exited before the request was sent, so the request is not suspected.
    Unreached,
    /// The probe was inconclusive.
    Unclear,
}

/// A run that was lost with the connection to its upstream.
#[derive(Clone, Debug)]
pub struct RunLoss {
    /// The features of the request that may have caused the loss, with the crashes in a row that this node knew
    /// of when it sent the request; zero if the upstream may have exited before.
    pub known_counts: Arc<[CrashSuspect]>,
    /// The upstream's name.
    pub upstream: Arc<str>,
    /// Identifies the upstream process: its start in milliseconds since the epoch as the list has it, or for
    /// an engine the boot number that it sends; zero if unknown.
    pub incarnation: u64,
    /// When the request was sent.
    pub began_at: Moment,
    /// When the connection was lost.
    pub lost_at: Moment,
    /// What a probe of the upstream showed after the loss.
    pub outcome: UpstreamOutcome,
}

/// How long a loss without known cause is kept, in milliseconds: a restarted upstream is on the replica list
/// again within this time.
const OPEN_LOSS_RETENTION_MS: u64 = 8_000;

/// The most losses without known cause that are kept.
const MAX_OPEN_LOSSES: usize = 256;

/// A loss without known cause.
#[derive(Debug)]
pub struct OpenLoss {
    /// The run that was lost.
    pub loss: RunLoss,
    /// The upstream's address; `None` if it was not on the list.
    pub address: Option<SocketAddr>,
    expires_at: Moment,
}

/// Losses without known cause, oldest first.
#[derive(Debug, Default)]
pub struct OpenLosses {
    losses: Vec<OpenLoss>,
}

impl OpenLosses {
    /// Adds a loss, and drops the oldest one if the limit is reached.
    pub fn push(&mut self, loss: RunLoss, address: Option<SocketAddr>, now: Moment) {
        if self.losses.len() >= MAX_OPEN_LOSSES {
            self.losses.remove(0);
        }
        self.losses.push(OpenLoss {
            loss,
            address,
            expires_at: now.after_ms(OPEN_LOSS_RETENTION_MS),
        });
    }

    /// Removes and returns the losses that a crash of their upstream explains.
    pub fn take_explained(&mut self, is_explained: impl Fn(&OpenLoss) -> bool) -> Vec<RunLoss> {
        let explained = self.losses.extract_if(.., |open| is_explained(open));
        explained.map(|open| open.loss).collect()
    }

    /// Whether no loss is kept.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
    }

    /// Drops the losses that have expired.
    pub fn drop_expired(&mut self, now: Moment) {
        self.losses.retain(|open| !now.reached(open.expires_at));
    }
}
