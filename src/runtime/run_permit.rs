//! Permission to run a request on an upstream. A request with a feature suspected of crashing upstreams runs
//! as a trial, one at a time in the whole fleet; its permission is returned on drop.

use std::sync::{Arc, Mutex};

use super::run_progress::RunProgress;
use super::{ControlHandle, lock};
use crate::blackboard::{FeatureKind, FeatureSet, RequestFeature, RunRestriction, SuspicionMap, TrialScope};
use crate::clock;
use crate::controllers::Reply;
use crate::controllers::quarantine::{CrashSuspect, RunLoss, TrialNumber, UpstreamOutcome};
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

/// A trial run that this process has permission for.
#[derive(Clone, Copy, Debug)]
struct GrantedTrial {
    feature: RequestFeature,
    number: TrialNumber,
}

/// What a permit was given on.
#[derive(Debug, Default)]
struct PermitState {
    /// The suspected features of the request, with their crash counts in a row.
    known_counts: Vec<CrashSuspect>,
    /// The trial run; `None` if the request may run without restriction, or once the trial is over.
    trial: Option<GrantedTrial>,
}

/// Permission to run a request; ends its trial, if any, on drop.
pub struct RunPermit {
    control: ControlHandle,
    features: FeatureSet,
    state: Mutex<PermitState>,
    progress: RunProgress,
}

impl RunPermit {
    /// Waits for permission to run a request; one with a quarantined feature is refused at once.
    pub async fn acquire(
        control: &ControlHandle,
        features: &FeatureSet,
        deadline: Moment,
    ) -> Result<Self, RefusalNotice> {
        let permit = Self::unrestricted(control, features);
        permit.renew(deadline).await?;
        Ok(permit)
    }

    /// Checks the permission again before the next step of a request, since a feature of it may have come
    /// under suspicion; waits for a trial run if it is now limited to one.
    pub async fn renew(&self, deadline: Moment) -> Result<(), RefusalNotice> {
        self.control.catch_up().await;
        let now = clock::now();
        let snapshot = self.control.snapshot();
        match snapshot.suspicions.restriction(&self.features, now) {
            RunRestriction::Unrestricted => {}
            RunRestriction::Quarantined { feature, until } => {
                let notice = RefusalNotice::new(ResultCode::Quarantined, feature.to_string());
                return Err(notice.retry_after_ms(now.until_ms(until)));
            }
            RunRestriction::Trial(_) if self.is_trial() => {}
            RunRestriction::Trial(scope) => return self.begin_trial(scope, deadline).await,
        }
        lock(&self.state).known_counts = known_counts(&snapshot.suspicions, &self.features);
        Ok(())
    }

    async fn begin_trial(&self, scope: TrialScope, deadline: Moment) -> Result<(), RefusalNotice> {
        let ticket = self.control.new_ticket();
        // Set before the request, so that a permit which is dropped while it waits ends the trial.
        lock(&self.state).trial = Some(GrantedTrial {
            feature: scope.feature,
            number: ticket.0,
        });
        let wanted = Event::TrialWanted {
            ticket,
            scope,
            deadline,
        };
        match self.control.ask_as(ticket, wanted).await {
            Some(Reply::TrialGranted { crash_count }) => {
                let snapshot = self.control.snapshot();
                let mut counts = known_counts(&snapshot.suspicions, &self.features);
                counts.retain(|known| known.feature != scope.feature);
                counts.push(CrashSuspect {
                    feature: scope.feature,
                    crash_count,
                });
                lock(&self.state).known_counts = counts;
                Ok(())
            }
            Some(Reply::Refused(notice)) => Err(notice),
            _ => Err(RefusalNotice::new(
                ResultCode::Quarantined,
                "the control thread gave no answer",
            )),
        }
    }

    /// Permission for another copy of a running request; `None` if a feature of it is suspected, or if a
    /// recent suspension of this process makes that uncertain.
    pub fn for_hedge(control: &ControlHandle, features: &FeatureSet) -> Option<Self> {
        let snapshot = control.snapshot();
        let is_clean = control.has_caught_up() && !snapshot.suspicions.is_suspect(features, clock::now());
        is_clean.then(|| {
            let permit = Self::unrestricted(control, features);
            lock(&permit.state).known_counts = known_counts(&snapshot.suspicions, features);
            permit
        })
    }

    fn unrestricted(control: &ControlHandle, features: &FeatureSet) -> Self {
        Self {
            control: control.clone(),
            features: features.clone(),
            state: Mutex::default(),
            progress: RunProgress::default(),
        }
    }

    /// Whether this is a trial run of a suspected request, which must not run twice at a time.
    pub fn is_trial(&self) -> bool {
        lock(&self.state).trial.is_some()
    }

    /// Records that a part of the run's answer arrived. Once the run has outlived its beginning, it no longer
    /// counts against the parts of its prompt.
    pub fn record_output(&self) {
        if self.progress.record_output(clock::now()) {
            self.report_passed(FeatureKind::Part);
        }
    }

    /// Time since the first output of the run, in milliseconds; `None` before it.
    pub fn output_ms(&self, now: Moment) -> Option<u64> {
        self.progress.output_ms(now)
    }

    /// Creates a reporter for the loss of this run's connection, usable after the permit is dropped. A run
    /// whose upstream was not shown to run when it was sent may have been lost in a crash from before, so it
    /// does not add to the crashes known by then.
    pub fn loss_reporter(&self, is_upstream_shown: bool) -> LossReporter {
        let has_begun = self.progress.has_begun();
        let state = lock(&self.state);
        let count_of = |feature: RequestFeature| {
            let mut known_counts = state.known_counts.iter().filter(|_| is_upstream_shown);
            let known = known_counts.find(|known| known.feature == feature);
            known.map_or(0, |known| known.crash_count)
        };
        let features = self.features.as_slice().iter();
        let suspects = features.filter(|feature| feature.kind == FeatureKind::Content || !has_begun);
        LossReporter {
            control: self.control.clone(),
            known_counts: suspects
                .map(|feature| CrashSuspect {
                    feature: *feature,
                    crash_count: count_of(*feature),
                })
                .collect(),
        }
    }

    /// Reports that the run completed.
    pub fn report_completed(&self) {
        self.report_passed(FeatureKind::Content);
        if self.progress.complete() {
            self.report_passed(FeatureKind::Part);
        }
    }

    /// Reports that the run passed all features of a kind, and ends its trial if that was of one of them.
    fn report_passed(&self, kind: FeatureKind) {
        report_passed(&self.control, &self.features, kind);
        let trial = lock(&self.state)
            .trial
            .take_if(|trial| trial.feature.kind == kind);
        self.end_trial(trial);
    }

    fn end_trial(&self, trial: Option<GrantedTrial>) {
        if let Some(GrantedTrial { feature, number }) = trial {
            self.control.send_event(Event::TrialDone { feature, number });
        }
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        let trial = lock(&self.state).trial.take();
        self.end_trial(trial);
    }
}

/// The suspected features of a request, with their crash counts in a row.
fn known_counts(suspicions: &SuspicionMap, features: &FeatureSet) -> Vec<CrashSuspect> {
    let features = features.as_slice().iter();
    let suspected = features.filter_map(|feature| {
        Some(CrashSuspect {
            feature: *feature,
            crash_count: suspicions.get(*feature)?.crash_count,
        })
    });
    suspected.collect()
}

/// Reports that a run of a request passed all of its features of a kind.
pub fn report_passed(control: &ControlHandle, features: &FeatureSet, kind: FeatureKind) {
    let features = features.as_slice().iter().copied();
    let features: Arc<[RequestFeature]> = features.filter(|feature| feature.kind == kind).collect();
    if !features.is_empty() {
        control.send_event(Event::RequestPassed { features });
    }
}

/// Reports that the connection to the upstream of a run was lost.
pub struct LossReporter {
    control: ControlHandle,
    known_counts: Arc<[CrashSuspect]>,
}

impl LossReporter {
    /// Creates a reporter for a run that had begun to answer before this process took it over.
    pub fn for_adopted_run(control: &ControlHandle, features: &FeatureSet) -> Self {
        let content = CrashSuspect {
            feature: RequestFeature::content(features.content()),
            crash_count: 0,
        };
        Self {
            control: control.clone(),
            known_counts: Arc::new([content]),
        }
    }

    /// Reports the loss and waits until this node's snapshot includes it.
    pub async fn report(self, lost: LostRun) {
        let loss = RunLoss {
            known_counts: self.known_counts,
            upstream: lost.upstream,
            incarnation: lost.incarnation,
            began_at: lost.began_at,
            lost_at: lost.lost_at,
            outcome: lost.outcome,
        };
        let reply = self
            .control
            .ask(|ticket| Event::RequestLost { ticket, loss })
            .await;
        if reply.is_none() {
            spdlog::debug!("event=loss_unnoted");
        }
    }
}
