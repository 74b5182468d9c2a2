//! Queries of death: a request suspected of crashing upstreams is limited to trial runs, and then quarantined
//! for a while.
//!
//! Each crash of an upstream that was running a request gives a crash report. Reports are gossiped along the
//! ring of VMs, kept by all of them and sent to new processes, so that a quarantine outlives the node that
//! saw the crashes. The crash count of a report is one more than the count that was known when the run began:
//! runs of one request that are lost together, such as identical reads when a rack loses power, count as one
//! crash. From the first crash on, the whole fleet runs the request only once at a time; from a count of two
//! on, it is quarantined.

mod case;
mod losses;
mod sharing;
mod trials;

use std::sync::Arc;

use case::CrashCase;
pub use case::CrashReport;
use losses::OpenLosses;
pub use losses::{RunLoss, UpstreamOutcome};
pub use sharing::CaseRecord;
use sharing::{MAX_CASES_PER_MESSAGE, case_hash};
use trials::{TrialIssuer, trial_owner};

use super::comparison::DigestComparison;
use super::message::PeerMessage;
use crate::blackboard::{Fingerprint, ReplicaId, Suspicion};
use crate::controllers::Reply;
use crate::prelude::*;

/// Identifies a trial run at the node that requested it: the number of the reply ticket of that request.
pub type TrialNumber = u64;

/// How long a crashed upstream is not selected, in milliseconds.
const CRASH_COOLDOWN_MS: u64 = 2_000;

/// The most crash cases that are kept. Only the crash of an upstream creates a case, so a flood of harmless
/// requests creates none.
const MAX_CASES: usize = 4_096;

/// The most lost runs that are kept per request for comparison with later ones.
const MAX_OWN_LOSSES: usize = 16;

/// The least time between the losses of two overlapping runs of one request for them to count as separate
/// crashes, in milliseconds: several times the delay with which tasks and the system notice a crash.
const MIN_SEPARATION_MS: u64 = 20;

/// Keeps the crash cases of all requests and the board's suspicions.
#[derive(Debug, Default)]
pub struct QuarantineController {
    cases: FastMap<Fingerprint, CrashCase>,
    losses: OpenLosses,
    trials: TrialIssuer,
    comparison: DigestComparison<u64>,
    /// Runs of this node whose upstreams crashed, for comparison with later ones.
    own_losses: FastMap<Fingerprint, Vec<OwnLoss>>,
    /// When the first case expires; `None` while there is none.
    next_expiry: Option<Moment>,
}

/// A run of this node whose upstream crashed.
#[derive(Clone, Copy, Debug)]
struct OwnLoss {
    began_at: Moment,
    lost_at: Moment,
    crash_count: u32,
}

impl OwnLoss {
    /// Whether another, overlapping run of the same request was lost later and independently of this one. A
    /// common cause ends both runs at once, whenever they began.
    fn is_separate_from(&self, loss: &RunLoss) -> bool {
        let apart_ms = self.lost_at.until_ms(loss.lost_at);
        let starts_ms = self.began_at.0.abs_diff(loss.began_at.0);
        apart_ms >= MIN_SEPARATION_MS && apart_ms >= starts_ms / 2
    }
}

impl QuarantineController {
    /// Handles a run that was lost with the connection to its upstream.
    fn handle_loss(&mut self, loss: &RunLoss, context: &mut ControlContext<'_>) {
        if loss.outcome == UpstreamOutcome::Unreached || !is_staying(&loss.upstream, context.board) {
            // The upstream had exited before or was about to leave, so the request did not crash it.
            return;
        }
        if loss.outcome != UpstreamOutcome::Ended {
            let facts = context.board.replicas.get(&loss.upstream);
            let address = facts.map(|facts| facts.record.address);
            self.losses.push(loss.clone(), address, context.now);
            return;
        }
        let (upstream, incarnation) = (loss.upstream.clone(), loss.incarnation);
        self.record_own_crash(loss, context);
        let explained = self
            .losses
            .take_explained(|open| open.loss.upstream == upstream && open.loss.incarnation == incarnation);
        explained
            .iter()
            .for_each(|loss| self.record_own_crash(loss, context));
    }

    /// Records that an upstream crashed under a run of this node.
    fn record_own_crash(&mut self, loss: &RunLoss, context: &mut ControlContext<'_>) {
        let earlier = self.own_losses.entry(loss.fingerprint).or_default();
        let separate = earlier.iter().filter(|earlier| earlier.is_separate_from(loss));
        let highest = separate
            .map(|earlier| earlier.crash_count)
            .max()
            .unwrap_or_default();
        let crash_count = loss.known_crash_count.max(highest) + 1;
        if earlier.len() < MAX_OWN_LOSSES {
            earlier.push(OwnLoss {
                began_at: loss.began_at,
                lost_at: loss.lost_at,
                crash_count,
            });
        }
        let report = CrashReport {
            upstream: loss.upstream.clone(),
            incarnation: loss.incarnation,
            crash_count,
            ended_at: loss.lost_at,
            seen_by: context.board.own.name.clone(),
        };
        if self.record_report(loss.fingerprint, &report, "own", context) {
            // The owner of the trial runs must learn of the crash before it learns that this run is over.
            let owner = trial_owner(loss.fingerprint, context);
            let fingerprint = loss.fingerprint;
            context.send_to(&owner, PeerMessage::CrashReported { fingerprint, report });
        }
    }

    /// Records a crash report and gossips it if it was unknown; returns whether it was.
    fn record_report(
        &mut self,
        fingerprint: Fingerprint,
        report: &CrashReport,
        source: &str,
        context: &mut ControlContext<'_>,
    ) -> bool {
        if !self.cases.contains_key(&fingerprint) {
            self.evict_if_full(context);
        }
        let case = self.cases.entry(fingerprint).or_default();
        if !case.record_report(report) {
            return false;
        }
        // The first crash under a request usually has another cause, so only the VM that saw it logs it.
        if report.crash_count > 1 || report.seen_by == context.board.own.name {
            context.log(format!(
                "event=request_struck fingerprint={fingerprint:016x} upstream={} incarnation={} strikes={} age_ms={} seen_by={} source={source}",
                report.upstream,
                report.incarnation,
                report.crash_count,
                report.ended_at.until_ms(context.now),
                report.seen_by
            ));
        }
        // An upstream that has just crashed is ineligible until it has had time to restart.
        let down_until = report.ended_at.after_ms(CRASH_COOLDOWN_MS);
        if !context.now.reached(down_until) {
            context.board.upstream_mut(&report.upstream).down_until = Some(down_until);
        }
        self.publish_suspicion(fingerprint, context);
        context.send_to_neighbors(&PeerMessage::CrashReported {
            fingerprint,
            report: report.clone(),
        });
        true
    }

    /// Evicts a case if the limit is reached: cleared ones first, then those with the lowest crash count.
    fn evict_if_full(&mut self, context: &mut ControlContext<'_>) {
        if self.cases.len() < MAX_CASES {
            return;
        }
        let eviction_order = |(_, case): &(&Fingerprint, &CrashCase)| {
            let crash_count = if case.is_cleared() { 0 } else { case.crash_count() };
            (crash_count, case.expires_at())
        };
        let first = self
            .cases
            .iter()
            .min_by_key(eviction_order)
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = first {
            self.remove_case(fingerprint, context);
        }
    }

    fn remove_case(&mut self, fingerprint: Fingerprint, context: &mut ControlContext<'_>) {
        self.cases.remove(&fingerprint);
        self.own_losses.remove(&fingerprint);
        self.publish_suspicion(fingerprint, context);
    }

    /// Updates the board's suspicion of a request, its digest and the next expiry.
    fn publish_suspicion(&mut self, fingerprint: Fingerprint, context: &mut ControlContext<'_>) {
        let case = self.cases.get(&fingerprint);
        let suspicion = case.and_then(CrashCase::suspicion);
        let known = context.board.suspicions.get(&fingerprint).copied();
        if let Some(expires_at) = case.map(CrashCase::expires_at) {
            self.next_expiry = Some(self.next_expiry.map_or(expires_at, |next| next.min(expires_at)));
        }
        if suspicion == known {
            return;
        }
        let suspicions = Arc::make_mut(&mut context.board.suspicions);
        match suspicion {
            Some(suspicion) => suspicions.insert(fingerprint, suspicion),
            None => suspicions.remove(&fingerprint),
        };
        for crash_count in [known, suspicion]
            .into_iter()
            .flatten()
            .map(|shown| shown.crash_count)
        {
            // The digest is an XOR, so the same hash removes the earlier suspicion.
            context.board.case_digest ^= case_hash(fingerprint, crash_count);
        }
        if let Some(Suspicion {
            crash_count,
            quarantined_until,
        }) = suspicion
            && !context.now.reached(quarantined_until)
        {
            context.log(format!(
                "event=request_quarantined fingerprint={fingerprint:016x} strikes={crash_count} hold_ms={}",
                context.now.until_ms(quarantined_until)
            ));
        }
        context.publish();
    }

    /// Reports a complete run of a suspected request to the owner of its trial runs, which counts them.
    fn report_complete_run(&mut self, fingerprint: Fingerprint, context: &mut ControlContext<'_>) {
        let owner = trial_owner(fingerprint, context);
        if owner != context.board.own.name {
            context.send_to(&owner, PeerMessage::RunCompleted { fingerprint });
            return;
        }
        self.count_complete_run(fingerprint, context);
    }

    fn count_complete_run(&mut self, fingerprint: Fingerprint, context: &mut ControlContext<'_>) {
        let Some(case) = self.cases.get_mut(&fingerprint) else {
            return;
        };
        if case.record_complete_run() {
            let crash_count = case.crash_count();
            self.clear(fingerprint, crash_count, "own", context);
        }
    }

    /// Clears a request with at most this crash count, and gossips that if it was not cleared already.
    fn clear(
        &mut self,
        fingerprint: Fingerprint,
        crash_count: u32,
        source: &str,
        context: &mut ControlContext<'_>,
    ) {
        let case = self.cases.get_mut(&fingerprint);
        if !case.is_some_and(|case| case.clear(crash_count)) {
            return;
        }
        self.own_losses.remove(&fingerprint);
        context.log(format!(
            "event=request_cleared fingerprint={fingerprint:016x} strikes={crash_count} source={source}"
        ));
        self.publish_suspicion(fingerprint, context);
        context.send_to_neighbors(&PeerMessage::Cleared {
            fingerprint,
            crash_count,
        });
    }

    /// Counts open losses as crashes where the list shows a newer process of the upstream or at its address.
    fn resolve_losses(&mut self, context: &mut ControlContext<'_>) {
        if self.losses.is_empty() {
            return;
        }
        let replicas = context.board.replicas.clone();
        let explained = self.losses.take_explained(|open| {
            let loss = &open.loss;
            let is_restarted = replicas
                .get(&loss.upstream)
                .is_some_and(|facts| facts.record.started_epoch_ms > loss.incarnation);
            let is_succeeded = open.address.is_some_and(|address| {
                let others = replicas.values().map(|facts| &facts.record);
                let mut others = others.filter(|record| record.id != loss.upstream);
                others.any(|record| record.address == address && record.started_epoch_ms > loss.incarnation)
            });
            is_restarted || is_succeeded
        });
        explained
            .iter()
            .for_each(|loss| self.record_own_crash(loss, context));
    }

    fn handle_replaced(&mut self, replica: &ReplicaId, context: &mut ControlContext<'_>) {
        let explained = self.losses.take_explained(|open| open.loss.upstream == *replica);
        explained
            .iter()
            .for_each(|loss| self.record_own_crash(loss, context));
    }

    fn compare_digest(&mut self, from: &VmName, digest: u64, context: &mut ControlContext<'_>) {
        let own = context.board.case_digest;
        if self.comparison.should_ask(own, own != digest, context.now) {
            context.send_to(from, PeerMessage::CasesWanted);
        }
    }

    fn send_cases(&self, to: &VmName, context: &mut ControlContext<'_>) {
        let records: Vec<CaseRecord> = self
            .cases
            .iter()
            .map(|(fingerprint, case)| CaseRecord {
                fingerprint: *fingerprint,
                is_cleared: case.is_cleared(),
                reports: case.reports().to_vec(),
            })
            .collect();
        for part in records.chunks(MAX_CASES_PER_MESSAGE) {
            context.send_to(to, PeerMessage::CasesContent(part.to_vec()));
        }
    }

    fn merge_cases(&mut self, from: &VmName, records: &[CaseRecord], context: &mut ControlContext<'_>) {
        for record in records {
            let fingerprint = record.fingerprint;
            if record.is_cleared {
                let crash_count = record.reports.iter().map(|report| report.crash_count).max();
                self.clear(fingerprint, crash_count.unwrap_or_default(), from, context);
                continue;
            }
            for report in &record.reports {
                self.record_report(fingerprint, report, from, context);
            }
        }
    }

    fn drop_expired(&mut self, context: &mut ControlContext<'_>) {
        self.losses.drop_expired(context.now);
        if self.next_expiry.is_none_or(|at| !context.now.reached(at)) {
            return;
        }
        let expired = self
            .cases
            .iter()
            .filter(|(_, case)| context.now.reached(case.expires_at()));
        let expired: Vec<Fingerprint> = expired.map(|(fingerprint, _)| *fingerprint).collect();
        self.next_expiry = None;
        for fingerprint in expired {
            self.remove_case(fingerprint, context);
        }
        self.next_expiry = self.cases.values().map(CrashCase::expires_at).min();
    }

    fn handle_message(&mut self, from: &VmName, message: &PeerMessage, context: &mut ControlContext<'_>) {
        match message {
            PeerMessage::CrashReported { fingerprint, report } => {
                self.record_report(*fingerprint, report, from, context);
            }
            PeerMessage::Cleared {
                fingerprint,
                crash_count,
            } => self.clear(*fingerprint, *crash_count, from, context),
            PeerMessage::RunCompleted { fingerprint } => self.count_complete_run(*fingerprint, context),
            PeerMessage::TrialRequest {
                fingerprint,
                number,
                remaining_ms,
            } => self
                .trials
                .answer(from, *fingerprint, *number, *remaining_ms, context),
            PeerMessage::TrialAnswer { number, verdict } => {
                self.trials.handle_answer(from, *number, *verdict, context);
            }
            PeerMessage::TrialDone { fingerprint, number } => {
                self.trials.handle_done(from, *fingerprint, *number);
            }
            PeerMessage::Heartbeat { case_digest, .. } => self.compare_digest(from, *case_digest, context),
            PeerMessage::CasesWanted => self.send_cases(from, context),
            PeerMessage::CasesContent(records) => self.merge_cases(from, records, context),
            PeerMessage::ReplicasContent(_) => self.resolve_losses(context),
            _ => {}
        }
    }
}

/// Whether an upstream is known and not about to leave.
fn is_staying(upstream: &Arc<str>, board: &Blackboard) -> bool {
    match board.register.register.upstream(upstream) {
        Some(listed) => !listed.leaving,
        None => board.is_staying(upstream),
    }
}

impl Controller for QuarantineController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[
            EventKind::Tick,
            EventKind::RequestLost,
            EventKind::RequestCompleted,
            EventKind::TrialWanted,
            EventKind::TrialDone,
            EventKind::ReplicaReplaced,
            EventKind::ReplicasRead,
            EventKind::PeerMessage,
        ]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::Tick { .. } => {
                self.drop_expired(context);
                self.trials.tick(context);
            }
            Event::RequestLost { ticket, loss } => {
                self.handle_loss(loss, context);
                context.reply(*ticket, Reply::Recorded);
            }
            Event::RequestCompleted { fingerprint } => self.report_complete_run(*fingerprint, context),
            Event::TrialWanted {
                ticket,
                fingerprint,
                deadline,
            } => self.trials.request_run(*ticket, *fingerprint, *deadline, context),
            Event::TrialDone { fingerprint, number } => self.trials.finish(*fingerprint, *number, context),
            Event::ReplicaReplaced { replica } => self.handle_replaced(replica, context),
            Event::ReplicasRead { .. } => self.resolve_losses(context),
            Event::PeerMessage { from, message, .. } => self.handle_message(from, message, context),
            _ => {}
        }
    }

    fn wake_at(&self, _board: &Blackboard, _now: Moment) -> Option<Moment> {
        self.next_expiry.into_iter().chain(self.trials.wake_at()).min()
    }
}
