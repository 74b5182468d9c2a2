//! Permission to run a request on an upstream. A request suspected of crashing upstreams runs as a trial, one
//! at a time in the whole fleet; its permission is returned on drop.

use std::sync::Arc;

use super::ControlHandle;
use super::run_progress::RunProgress;
use crate::blackboard::Fingerprint;
use crate::clock;
use crate::controllers::Reply;
use crate::controllers::quarantine::{RunLoss, TrialNumber, UpstreamOutcome};
use crate::prelude::*;

/// A run whose connection to the upstream was lost, as observed by the task that sent it.
#[derive(Clone, Debug)]
pub struct LostRun {
    /// Name of the upstream that ran the request.
    pub upstream: Arc<str>,
    /// Identifies the upstream's process; zero if unknown.
    pub incarnation: u64,
    /// When the request was sent.
    pub began_at: Moment,
    /// When the connection was lost.
    pub lost_at: Moment,
    /// Result of probing the upstream after the loss.
    pub outcome: UpstreamOutcome,
}

/// Permission to run a request; ends its trial, if any, on drop.
pub struct RunPermit {
    control: ControlHandle,
    fingerprint: Fingerprint,
    /// The request's crash count in a row when the permission was given.
    crash_count: u32,
    /// Number of the trial run; `None` if the request is not suspected.
    trial: Option<TrialNumber>,
    progress: RunProgress,
}

impl RunPermit {
    /// Waits for permission to run a request; a quarantined request is refused at once.
    pub async fn acquire(
        control: &ControlHandle,
        fingerprint: Fingerprint,
        deadline: Moment,
    ) -> Result<Self, RefusalNotice> {
        control.catch_up().await;
        let Some(suspicion) = control.snapshot().suspicion(fingerprint) else {
            return Ok(Self::unrestricted(control, fingerprint));
        };
        let now = clock::now();
        if suspicion.is_quarantined(now) {
            let notice = RefusalNotice::new(ResultCode::Quarantined, format!("{fingerprint:016x}"));
            return Err(notice.retry_after_ms(now.until_ms(suspicion.quarantined_until)));
        }
        let ticket = control.new_ticket();
        let mut permit = Self::unrestricted(control, fingerprint);
        permit.trial = Some(ticket.0);
        let wanted = Event::TrialWanted {
            ticket,
            fingerprint,
            deadline,
        };
        match control.ask_as(ticket, wanted).await {
            Some(Reply::TrialGranted { crash_count }) => {
                permit.crash_count = crash_count;
                Ok(permit)
            }
            Some(Reply::Refused(notice)) => Err(notice),
            _ => Err(RefusalNotice::new(
                ResultCode::Quarantined,
                "the control thread gave no answer",
            )),
        }
    }

    /// Permission for another copy of a running request; `None` if the request is suspected, or if a recent
    /// suspension of this process makes that uncertain.
    pub fn for_hedge(control: &ControlHandle, fingerprint: Fingerprint) -> Option<Self> {
        let is_clean = control.has_caught_up() && control.snapshot().suspicion(fingerprint).is_none();
        is_clean.then(|| Self::unrestricted(control, fingerprint))
    }

    fn unrestricted(control: &ControlHandle, fingerprint: Fingerprint) -> Self {
        Self {
            control: control.clone(),
            fingerprint,
            crash_count: 0,
            trial: None,
            progress: RunProgress::default(),
        }
    }

    /// Records that a part of the run's answer arrived.
    pub fn record_output(&self) {
        self.progress.record_output(clock::now());
    }

    /// Time since the first output of the run, in milliseconds; `None` before it.
    pub fn output_ms(&self, now: Moment) -> Option<u64> {
        self.progress.output_ms(now)
    }

    /// Whether this is a trial run of a suspected request, which must not run twice at a time.
    pub fn is_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Creates a reporter for the loss of this run's connection, usable after the permit is dropped.
    pub fn loss_reporter(&self) -> LossReporter {
        LossReporter::new(&self.control, self.fingerprint, self.crash_count)
    }

    /// Reports that the run completed.
    pub fn report_completed(&self) {
        report_completed(&self.control, self.fingerprint);
    }

    /// The request's crash count in a row when the permission was given; zero if it was not suspected.
    pub fn crash_count(&self) -> u32 {
        self.crash_count
    }
}

/// Reports that a run completed if its request is suspected.
pub fn report_completed(control: &ControlHandle, fingerprint: Fingerprint) {
    if control.snapshot().suspicion(fingerprint).is_some() {
        control.send_event(Event::RequestCompleted { fingerprint });
    }
}

/// Reports that the connection to the upstream of a run was lost.
pub struct LossReporter {
    control: ControlHandle,
    fingerprint: Fingerprint,
    known_crash_count: u32,
}

impl LossReporter {
    /// Creates a reporter for a run that began when the request had this crash count in a row.
    pub fn new(control: &ControlHandle, fingerprint: Fingerprint, known_crash_count: u32) -> Self {
        Self {
            control: control.clone(),
            fingerprint,
            known_crash_count,
        }
    }

    /// Reports the loss and waits until this node's snapshot includes it.
    pub async fn report(self, lost: LostRun) {
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
            self.control.send_event(Event::TrialDone { fingerprint, number });
        }
    }
}
