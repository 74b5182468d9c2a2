//! A request's hold on its engines, or its wait for them, given back in whatever way it ends.

use super::ControlHandle;
use crate::controllers::Reply;
use crate::controllers::slots::{
    EngineOutcome, PlacementGrant, PlacementRequest, PlacementResult, RequestId,
};
use crate::prelude::*;

/// A place in the queue for engines, and later the engines' slots.
pub struct PlacementHold {
    control: ControlHandle,
    request: RequestId,
    /// How the attempt went, as its owner is told in the end.
    pub result: PlacementResult,
}

impl PlacementHold {
    /// Waits for engines. Whoever stops waiting gives the place in the queue up.
    pub async fn acquire(
        control: &ControlHandle,
        ask: PlacementRequest,
    ) -> Result<(Self, PlacementGrant), RefusalNotice> {
        let hold = Self {
            control: control.clone(),
            request: ask.request.clone(),
            result: PlacementResult::default(),
        };
        let reply = control.ask(|ticket| Event::PlacementWanted { ticket, ask }).await;
        match reply {
            Some(Reply::Placed(grant)) => Ok((hold, grant)),
            Some(Reply::Refused(notice)) => Err(notice),
            _ => Err(RefusalNotice::new(
                ResultCode::NoUpstream,
                "the control thread gave no engines",
            )),
        }
    }

    /// The attempt.
    pub fn request(&self) -> &RequestId {
        &self.request
    }

    /// Tells the owner that the prefill engine can take its next prompt.
    pub fn finish_prefill(&self, end: EngineOutcome) {
        self.control.tell(Event::PrefillDone {
            request: self.request.clone(),
            end,
        });
    }
}

impl Drop for PlacementHold {
    fn drop(&mut self) {
        self.control.tell(Event::PlacementDone {
            request: self.request.clone(),
            result: self.result,
        });
    }
}
