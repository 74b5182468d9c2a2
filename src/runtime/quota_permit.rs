//! The tokens of one request, returned on drop unless the request reached a replica.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use super::ControlHandle;
use crate::controllers::Reply;
use crate::controllers::quotas::QuotaGrant;
use crate::prelude::*;

/// Why a request received no tokens of its workspace's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaRefusal {
    /// The quota is used up.
    Exceeded {
        /// When the caller should come back.
        retry_at: Moment,
    },
    /// No owner of the quota answered.
    Unavailable,
}

/// The tokens that were granted to one request; returned to their owner on drop unless the request reached a
/// replica.
pub struct QuotaPermit {
    control: ControlHandle,
    grant: QuotaGrant,
    /// Sends that reached a replica, including those in progress.
    sends: AtomicU32,
}

impl QuotaPermit {
    /// Requests the tokens of a request.
    pub async fn acquire(
        control: &ControlHandle,
        workspace: &Arc<str>,
        tokens: u64,
    ) -> Result<Self, QuotaRefusal> {
        let workspace = workspace.clone();
        let reply = control
            .ask(|ticket| Event::QuotaWanted {
                ticket,
                workspace,
                tokens,
            })
            .await;
        match reply {
            Some(Reply::QuotaGranted(grant)) => Ok(Self {
                control: control.clone(),
                grant,
                sends: AtomicU32::default(),
            }),
            Some(Reply::QuotaRefused { retry_at }) => Err(QuotaRefusal::Exceeded { retry_at }),
            _ => Err(QuotaRefusal::Unavailable),
        }
    }

    /// The granted tokens and their owner.
    pub fn grant(&self) -> &QuotaGrant {
        &self.grant
    }

    /// Counts a send, which uses the tokens unless it is withdrawn.
    pub fn begin_send(&self) {
        self.sends.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that no byte of a counted send left.
    pub fn withdraw_send(&self) {
        self.sends.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for QuotaPermit {
    fn drop(&mut self) {
        if self.sends.load(Ordering::Relaxed) == 0 && self.grant.tokens > 0 {
            let grant = self.grant.clone();
            self.control.send_event(Event::QuotaReturned { grant });
        }
    }
}
