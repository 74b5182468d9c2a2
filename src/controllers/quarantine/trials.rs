//! Trial runs: one run with a suspected feature is allowed at a time in the whole fleet, and one more for each
//! run that has passed since the latest crash.
//!
//! The live VM that ranks first for the feature (rendezvous hashing) is the owner of its trial runs: it
//! grants them, and the next one once one is over. A VM that gets no answer from the owner decides alone, so
//! that no request waits for a dead VM.

use super::TrialNumber;
use crate::blackboard::{FeatureKind, RequestFeature, TrialScope};
use crate::controllers::Reply;
use crate::controllers::message::{PeerMessage, TrialVerdict};
use crate::controllers::rendezvous;
use crate::prelude::*;

/// How long the owner may take to answer, in milliseconds: a round trip between zones and some work on a
/// small VM.
const ANSWER_LIMIT_MS: u64 = 120;

/// How long a request waits before it asks again while another run is in progress, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 30;

/// The longest time a request waits for another run of the same content to end, in milliseconds: several
/// times the duration of a plain call.
const CONTENT_WAIT_MS: u64 = 400;

/// The longest time a request waits for another run with the same part to begin its answer, in milliseconds.
const PART_WAIT_MS: u64 = 800;

/// The retry delay sent to the caller of a request that is running elsewhere, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// How long after its request's deadline a run whose end was not reported counts as over, in milliseconds.
const OVERDUE_MS: u64 = 1_000;

/// A trial run that was granted and is not known to be over.
#[derive(Debug)]
struct RunningTrial {
    /// The VM that runs the request; `None` for this one.
    holder: Option<VmName>,
    number: TrialNumber,
    expires_at: Moment,
}

/// A request of this node that waits for a trial run.
#[derive(Debug)]
struct WaitingTrial {
    scope: TrialScope,
    /// The request's own deadline.
    deadline: Moment,
    wait_until: Moment,
    /// The owner that was asked; `None` while the request waits to ask again.
    asked: Option<VmName>,
    /// When the owner counts as dead, or when to ask again.
    next_at: Moment,
}

/// Grants trial runs as their owner, and obtains them for the suspected requests of this node.
#[derive(Debug, Default)]
pub struct TrialIssuer {
    running: FastMap<RequestFeature, Vec<RunningTrial>>,
    waiting: FastMap<TrialNumber, WaitingTrial>,
}

impl TrialIssuer {
    /// Requests a trial run for a request of this node; the reply may come after a wait.
    pub fn request_run(
        &mut self,
        ticket: ReplyTicket,
        scope: TrialScope,
        deadline: Moment,
        context: &mut ControlContext<'_>,
    ) {
        let wait_ms = match scope.feature.kind {
            FeatureKind::Content => CONTENT_WAIT_MS,
            FeatureKind::Part => PART_WAIT_MS,
        };
        let waiting = WaitingTrial {
            scope,
            deadline,
            wait_until: deadline.min(context.now.after_ms(wait_ms)),
            asked: None,
            next_at: context.now,
        };
        let number = ticket.0;
        self.waiting.insert(number, waiting);
        self.advance(number, context);
    }

    /// Asks the owner for a waiting request's run, or grants or refuses it here.
    fn advance(&mut self, number: TrialNumber, context: &mut ControlContext<'_>) {
        let Some(waiting) = self.waiting.get(&number) else {
            return;
        };
        let (scope, deadline) = (waiting.scope, waiting.deadline);
        let Some(suspicion) = context.board.suspicions.get(scope.feature) else {
            // The feature was cleared meanwhile.
            self.grant(number, 0, 0, context);
            return;
        };
        if suspicion.is_quarantined(context.now) && !scope.tells_apart {
            let span_ms = context.now.until_ms(suspicion.quarantined_until);
            self.refuse(number, span_ms, context);
            return;
        }
        if context.now.reached(waiting.wait_until) {
            self.refuse(number, RETRY_AFTER_MS, context);
            return;
        }
        // An owner that did not answer in time counts as dead for this request.
        let is_silent = waiting.asked.is_some();
        let owner = trial_owner(scope.feature, context);
        if is_silent || owner == context.board.own.name {
            match self.decide(None, scope, number, deadline, context) {
                TrialVerdict::Granted { crash_count, passes } => {
                    self.grant(number, crash_count, passes, context);
                }
                TrialVerdict::Busy => self.schedule_retry(number, context),
                TrialVerdict::Quarantined { span_ms } => self.refuse(number, span_ms, context),
            }
            return;
        }
        if let Some(waiting) = self.waiting.get_mut(&number) {
            waiting.asked = Some(owner.clone());
            waiting.next_at = context.now.after_ms(ANSWER_LIMIT_MS);
        }
        let message = PeerMessage::TrialRequest {
            scope,
            number,
            remaining_ms: context.now.until_ms(deadline),
        };
        context.send_to(&owner, message);
    }

    fn schedule_retry(&mut self, number: TrialNumber, context: &ControlContext<'_>) {
        if let Some(waiting) = self.waiting.get_mut(&number) {
            waiting.asked = None;
            waiting.next_at = context.now.after_ms(RETRY_INTERVAL_MS);
        }
    }

    /// Grants a run on what its owner knows of the feature, or this node if it knows of more crashes. Runs that
    /// passed in between break a row of crashes of a part: it is one of many parts of each of its requests, and
    /// may have been in two crashes by chance.
    fn grant(
        &mut self,
        number: TrialNumber,
        owner_count: u32,
        passes: u32,
        context: &mut ControlContext<'_>,
    ) {
        let Some(waiting) = self.waiting.remove(&number) else {
            return;
        };
        let feature = waiting.scope.feature;
        let suspicion = context.board.suspicions.get(feature);
        let own_count = suspicion.map_or(0, |suspicion| suspicion.crash_count);
        let breaks_row = passes > 0 && feature.kind == FeatureKind::Part;
        let crash_count = match own_count > owner_count {
            true => own_count,
            false => owner_count.saturating_sub(u32::from(breaks_row)),
        };
        context.reply(ReplyTicket(number), Reply::TrialGranted { crash_count });
    }

    fn refuse(&mut self, number: TrialNumber, span_ms: u64, context: &mut ControlContext<'_>) {
        if let Some(waiting) = self.waiting.remove(&number) {
            let notice = RefusalNotice::new(ResultCode::Quarantined, waiting.scope.feature.to_string());
            context.reply(
                ReplyTicket(number),
                Reply::Refused(notice.retry_after_ms(span_ms)),
            );
        }
    }

    /// Decides on a trial run as the request's owner.
    fn decide(
        &mut self,
        holder: Option<VmName>,
        scope: TrialScope,
        number: TrialNumber,
        deadline: Moment,
        context: &mut ControlContext<'_>,
    ) -> TrialVerdict {
        let feature = scope.feature;
        let Some(suspicion) = context.board.suspicions.get(feature).cloned() else {
            return TrialVerdict::Granted {
                crash_count: 0,
                passes: 0,
            };
        };
        if suspicion.is_quarantined(context.now) && !scope.tells_apart {
            let span_ms = context.now.until_ms(suspicion.quarantined_until);
            return TrialVerdict::Quarantined { span_ms };
        }
        let granted = TrialVerdict::Granted {
            crash_count: suspicion.crash_count,
            passes: suspicion.passes,
        };
        self.drop_stale_runs(feature, context);
        let running = self.running.entry(feature).or_default();
        if running
            .iter()
            .any(|running| running.number == number && running.holder == holder)
        {
            return granted;
        }
        if running.len() > suspicion.passes as usize {
            return TrialVerdict::Busy;
        }
        context.log(format!(
            "event=trial_begun fingerprint={:016x} kind={} vm={} strikes={}",
            feature.hash,
            feature.kind.as_str(),
            holder.as_ref().unwrap_or(&context.board.own.name),
            suspicion.crash_count
        ));
        let running = RunningTrial {
            holder,
            number,
            expires_at: deadline.after_ms(OVERDUE_MS),
        };
        self.running.entry(feature).or_default().push(running);
        granted
    }

    /// Drops runs that are past their limit or whose VM is dead.
    fn drop_stale_runs(&mut self, feature: RequestFeature, context: &ControlContext<'_>) {
        let vms = &context.board.vms;
        let is_gone = |name: &VmName| vms.get(name).is_none_or(|vm| !vm.is_live(context.now));
        let is_over = |running: &RunningTrial| {
            context.now.reached(running.expires_at) || running.holder.as_ref().is_some_and(is_gone)
        };
        if let Some(running) = self.running.get_mut(&feature) {
            running.retain(|running| !is_over(running));
        }
    }

    /// Answers another VM that asks for a trial run.
    pub fn answer(
        &mut self,
        from: &VmName,
        scope: TrialScope,
        number: TrialNumber,
        remaining_ms: u64,
        context: &mut ControlContext<'_>,
    ) {
        let deadline = context.now.after_ms(remaining_ms);
        let verdict = self.decide(Some(from.clone()), scope, number, deadline, context);
        context.send_to(from, PeerMessage::TrialAnswer { number, verdict });
    }

    /// Handles the owner's answer to a request of this node.
    pub fn handle_answer(
        &mut self,
        from: &VmName,
        number: TrialNumber,
        verdict: TrialVerdict,
        context: &mut ControlContext<'_>,
    ) {
        let waiting = self.waiting.get(&number);
        if waiting.is_none_or(|waiting| waiting.asked.as_ref() != Some(from)) {
            return;
        }
        match verdict {
            TrialVerdict::Granted { crash_count, passes } => {
                self.grant(number, crash_count, passes, context);
            }
            TrialVerdict::Busy => self.schedule_retry(number, context),
            TrialVerdict::Quarantined { span_ms } => self.refuse(number, span_ms, context),
        }
    }

    /// Ends a run of this node, and reports that to the owner of the request's trial runs.
    pub fn finish(&mut self, feature: RequestFeature, number: TrialNumber, context: &mut ControlContext<'_>) {
        // A request that was abandoned while it waited has no run.
        self.waiting.remove(&number);
        self.end_running(None, feature, number);
        let owner = trial_owner(feature, context);
        if owner != context.board.own.name {
            context.send_to(&owner, PeerMessage::TrialDone { feature, number });
        }
    }

    /// Handles a peer's report that its run is over.
    pub fn handle_done(&mut self, from: &VmName, feature: RequestFeature, number: TrialNumber) {
        self.end_running(Some(from), feature, number);
    }

    fn end_running(&mut self, holder: Option<&VmName>, feature: RequestFeature, number: TrialNumber) {
        let is_match = |running: &RunningTrial| running.number == number && running.holder.as_ref() == holder;
        if let Some(running) = self.running.get_mut(&feature) {
            running.retain(|running| !is_match(running));
            if running.is_empty() {
                self.running.remove(&feature);
            }
        }
    }

    /// Advances the waiting requests that are due, and drops runs past their limit.
    pub fn tick(&mut self, context: &mut ControlContext<'_>) {
        let due = self
            .waiting
            .iter()
            .filter(|(_, waiting)| context.now.reached(waiting.next_at));
        let numbers: Vec<TrialNumber> = due.map(|(number, _)| *number).collect();
        numbers
            .into_iter()
            .for_each(|number| self.advance(number, context));
        self.running.retain(|_, running| {
            running.retain(|running| !context.now.reached(running.expires_at));
            !running.is_empty()
        });
    }

    /// When the next waiting request is due; `None` if none waits.
    pub fn wake_at(&self) -> Option<Moment> {
        self.waiting.values().map(|waiting| waiting.next_at).min()
    }
}

/// The VM that grants trial runs of a feature, by this node's view of the live VMs that are not leaving.
pub fn trial_owner(feature: RequestFeature, context: &ControlContext<'_>) -> VmName {
    let view = context.board.live_view(context.now);
    let staying = view.vms.iter().filter(|vm| !vm.leaving).map(|vm| &*vm.name);
    let owner = rendezvous::owner(&format!("{:016x}", feature.hash), staying);
    owner.map_or_else(|| context.board.own.name.clone(), VmName::from)
}
