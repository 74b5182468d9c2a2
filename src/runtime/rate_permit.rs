//! A permit to send one request to a rate-limited replica, returned on drop unless it was used.

use std::sync::atomic::{AtomicBool, Ordering};

use super::ControlHandle;
use crate::controllers::Reply;
use crate::controllers::rate_limits::{PermitGrant, PermitRequest};
use crate::prelude::*;

/// A permit to send one request; returned to its issuer on drop unless it was used.
pub struct RatePermit {
    control: ControlHandle,
    grant: PermitGrant,
    is_used: AtomicBool,
}

impl RatePermit {
    /// Requests a permit. The error is the earliest time at which another request may succeed, or the
    /// request's own start deadline if the control thread gave no reply.
    pub async fn acquire(control: &ControlHandle, request: PermitRequest) -> Result<Self, Moment> {
        let start_by = request.start_by;
        match control
            .ask(|ticket| Event::PermitWanted { ticket, request })
            .await
        {
            Some(Reply::Permitted(grant)) => Ok(Self {
                control: control.clone(),
                grant,
                is_used: AtomicBool::new(false),
            }),
            Some(Reply::PermitRefused { retry_at }) => Err(retry_at),
            _ => Err(start_by),
        }
    }

    /// The grant, which names the replica.
    pub fn grant(&self) -> &PermitGrant {
        &self.grant
    }

    /// Records whether the request was sent, in which case the permit is not returned.
    pub fn set_used(&self, is_used: bool) {
        self.is_used.store(is_used, Ordering::Relaxed);
    }
}

impl Drop for RatePermit {
    fn drop(&mut self) {
        if !self.is_used.load(Ordering::Relaxed) {
            let grant = self.grant.clone();
            self.control.send_event(Event::PermitReturned { grant });
        }
    }
}
