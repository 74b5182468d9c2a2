//! A request's position in the queue for engines, and later its slots on them, released on drop.

use super::ControlHandle;
use crate::controllers::Reply;
use crate::controllers::slots::{
    EngineOutcome, PlacementGrant, PlacementRequest, PlacementResult, RequestId,
};
use crate::prelude::*;

/// A position in the owner's queue for engines, and once granted, the engines' slots. Reports the end of the
/// placement on drop.
pub struct PlacementGuard {
    control: ControlHandle,
    request: RequestId,
    /// Outcome of the attempt, which is reported to the owner on drop.
    pub result: PlacementResult,
}

impl PlacementGuard {
    /// Waits for engines. A caller that stops waiting leaves the queue.
    pub async fn acquire(
        control: &ControlHandle,
        ask: PlacementRequest,
    ) -> Result<(Self, PlacementGrant), RefusalNotice> {
        let guard = Self {
            control: control.clone(),
            request: ask.request.clone(),
            result: PlacementResult::default(),
        };
        let reply = control
            .ask(|ticket| Event::PlacementWanted { ticket, request: ask })
            .await;
        match reply {
            Some(Reply::Placed(grant)) => Ok((guard, grant)),
            Some(Reply::Refused(notice)) => Err(notice),
            _ => Err(RefusalNotice::new(
                ResultCode::NoUpstream,
                "the control thread gave no engines",
            )),
        }
    }

    /// Identifies the attempt at its owner.
    pub fn request(&self) -> &RequestId {
        &self.request
    }

    /// Reports to the owner that the prefill engine is free for its next prompt.
    pub fn finish_prefill(&self, end: EngineOutcome) {
        self.control.send_event(Event::PrefillDone {
            request: self.request.clone(),
            end,
        });
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        self.control.send_event(Event::PlacementDone {
            request: self.request.clone(),
            result: self.result,
        });
    }
}
