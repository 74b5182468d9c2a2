//! Leave to run a request on an upstream. A request under which upstreams ended runs once at a time in the whole fleet,
//! and its leave is given back in whatever way the run ends.

use std::sync::Arc;

use super::ControlHandle;
use crate::blackboard::Fingerprint;
use crate::clock;
use crate::controllers::Reply;
use crate::controllers::quarantine::{RunLoss, TrialNumber, UpstreamOutcome};
use crate::prelude::*;

/// A run that ended with the connection to its upstream, as the task saw it.
#[derive(Clone, Debug)]
pub struct LostRun {
    /// Which upstream.
    pub upstream: Arc<str>,
    /// Which start of the upstream; zero where that is not known.
    pub incarnation: u64,
    /// When the request was sent.
    pub began_at: Moment,
    /// When the connection ended.
    pub lost_at: Moment,
    /// What a look at the upstream showed.
    pub outcome: UpstreamOutcome,
}

/// Leave to run a request.
pub struct RunPermit {
    control: ControlHandle,
    fingerprint: Fingerprint,
    /// How far the request was suspected as the leave was given.
    level: u32,
    /// The careful run, where it is one.
    trial: Option<TrialNumber>,
}

impl RunPermit {
    /// Waits for leave to run a request; a request that is held back is refused at once.
    pub async fn acquire(
        control: &ControlHandle,
        fingerprint: Fingerprint,
        deadline: Moment,
    ) -> Result<Self, RefusalNotice> {
        control.catch_up().await;
        let Some(suspicion) = control.snapshot().suspicion(fingerprint) else {
            return Ok(Self::free(control, fingerprint));
        };
        let now = clock::now();
        if suspicion.is_held(now) {
            let notice = RefusalNotice::new(ResultCode::Quarantined, format!("{fingerprint:016x}"));
            return Err(notice.retry_after_ms(now.until_ms(suspicion.held_until)));
        }
        let ticket = control.new_ticket();
        let mut permit = Self::free(control, fingerprint);
        permit.trial = Some(ticket.0);
        let wanted = Event::TrialWanted {
            ticket,
            fingerprint,
            deadline,
        };
        match control.ask_as(ticket, wanted).await {
            Some(Reply::TrialGranted { level }) => {
                permit.level = level;
                Ok(permit)
            }
            Some(Reply::Refused(notice)) => Err(notice),
            _ => Err(RefusalNotice::new(
                ResultCode::Quarantined,
                "the control thread gave no answer",
            )),
        }
    }

    /// Leave for one more copy of a request that runs; `None` where it is suspected, or where that is not known for sure.
    pub fn for_copy(control: &ControlHandle, fingerprint: Fingerprint) -> Option<Self> {
        let is_clean = control.has_caught_up() && control.snapshot().suspicion(fingerprint).is_none();
        is_clean.then(|| Self::free(control, fingerprint))
    }

    fn free(control: &ControlHandle, fingerprint: Fingerprint) -> Self {
        Self {
            control: control.clone(),
            fingerprint,
            level: 0,
            trial: None,
        }
    }

    /// Whether upstreams have ended under the request, so that it must not run twice at a time.
    pub fn is_careful(&self) -> bool {
        self.trial.is_some()
    }

    /// What tells that the run ended with the connection to its upstream, also once the permit is given back.
    pub fn loss_note(&self) -> LossNote {
        LossNote::new(&self.control, self.fingerprint, self.level)
    }

    /// Tells that the run came to its end.
    pub fn note_whole(&self) {
        note_whole(&self.control, self.fingerprint);
    }

    /// How far the request was suspected as the leave was given.
    pub fn level(&self) -> u32 {
        self.level
    }
}

/// Tells that a request ran to its end, where it is suspected.
pub fn note_whole(control: &ControlHandle, fingerprint: Fingerprint) {
    if control.snapshot().suspicion(fingerprint).is_some() {
        control.tell(Event::RequestCompleted { fingerprint });
    }
}

/// Tells that a run of a request ended with the connection to its upstream.
pub struct LossNote {
    control: ControlHandle,
    fingerprint: Fingerprint,
    known_crash_count: u32,
}

impl LossNote {
    /// A note for a run that began while the request was suspected to a level.
    pub fn new(control: &ControlHandle, fingerprint: Fingerprint, known_crash_count: u32) -> Self {
        Self {
            control: control.clone(),
            fingerprint,
            known_crash_count,
        }
    }

    /// Tells it, and waits until it is in force here.
    pub async fn tell(self, lost: LostRun) {
        let loss = RunLoss {
            fingerprint: self.fingerprint,
            upstream: lost.upstream,
            incarnation: lost.incarnation,
            began_at: lost.began_at,
            lost_at: lost.lost_at,
            known_crash_count: self.known_crash_count,
            outcome: lost.outcome,
        };
        let reply = self
            .control
            .ask(|ticket| Event::RequestLost { ticket, loss })
            .await;
        if reply.is_none() {
            spdlog::debug!("event=loss_unnoted fingerprint={:016x}", self.fingerprint);
        }
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        if let Some(number) = self.trial {
            let fingerprint = self.fingerprint;
            self.control.tell(Event::TrialDone { fingerprint, number });
        }
    }
}
