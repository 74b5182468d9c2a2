//! Queries of death: requests with a feature that is suspected of crashing upstreams are limited to trial
//! runs, and then quarantined for a while. A feature is what such requests have in common: all of their
//! content, or a part of their prompts.
//!
//! Each crash of an upstream that was running a request gives a crash report on the features of the request.
//! Reports are gossiped along the ring of VMs, kept by all of them and sent to new processes, so that a
//! quarantine outlives the node that saw the crashes. The crash count of a feature is one more than the count
//! that was known when the run began: runs that are lost together, such as identical reads when a rack loses
//! power, count as one crash. From the first crash on, the whole fleet runs requests with the feature only
//! once at a time; from a count of two on, it is quarantined. Requests that pass clear their features, so a
//! feature that most requests share is cleared at once.

mod case;
mod losses;
mod passes;
mod sharing;
mod trials;

use std::sync::Arc;

use case::CrashCase;
pub use case::{CrashReport, CrashSuspect};
use losses::OpenLosses;
pub use losses::{RunLoss, UpstreamOutcome};
use passes::PassMemory;
pub use sharing::CaseRecord;
use sharing::{MAX_CASES_PER_MESSAGE, case_hash};
use trials::{TrialIssuer, trial_owner};

use super::comparison::DigestComparison;
use super::message::PeerMessage;
use crate::blackboard::{FeatureKind, ReplicaId, RequestFeature, Suspicion, join_hashes};
use crate::controllers::Reply;
use crate::prelude::*;

/// Identifies a trial run at the node that requested it: the number of the reply ticket of that request.
pub type TrialNumber = u64;

/// How long a crashed upstream is not selected, in milliseconds.
const CRASH_COOLDOWN_MS: u64 = 2_000;

/// How long requests with a feature run without restriction after the first crash if this node completed such
/// requests shortly before, in milliseconds: the time in which the nodes exchange what they completed.
const TOLERANCE_MS: u64 = 300;

/// The most crash cases that are kept. Only the crash of an upstream creates a case, so a flood of harmless
/// requests creates none.
const MAX_CASES: usize = 4_096;

/// The most lost runs that are kept per content for comparison with later ones.
const MAX_OWN_LOSSES: usize = 16;

/// The least time between the losses of two overlapping runs of one request for them to count as separate
/// crashes, in milliseconds: several times the delay with which tasks and the system notice a crash.
const MIN_SEPARATION_MS: u64 = 20;

/// Keeps the crash cases of all features and the board's suspicions.
#[derive(Debug, Default)]
pub struct QuarantineController {
    cases: FastMap<RequestFeature, CrashCase>,
    losses: OpenLosses,
    passes: PassMemory,
    trials: TrialIssuer,
    comparison: DigestComparison<u64>,
    /// Runs of this node whose upstreams crashed, by content, for comparison with later ones.
    own_losses: FastMap<RequestFeature, Vec<OwnLoss>>,
    /// When the first case expires; `None` while there is none.
    next_expiry: Option<Moment>,
}

/// A run of this node whose upstream crashed.
#[derive(Clone, Copy, Debug)]
struct OwnLoss {
    began_at: Moment,
    lost_at: Moment,
    crash_count: u32,
    /// Whether other runs of the content passed shortly before.
    had_passes: bool,
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
        let suspects = loss.known_counts.iter().map(|known| {
            // The feature may have been cleared since the run began.
            let suspicion = context.board.suspicions.get(known.feature);
            let current_count = suspicion.map_or(0, |suspicion| suspicion.crash_count);
            let known_count = known.crash_count.min(current_count);
            let crash_count = match known.feature.kind {
                FeatureKind::Content => self.count_crashes_of_content(known.feature, known_count, loss),
                FeatureKind::Part => known_count + 1,
            };
            CrashSuspect {
                feature: known.feature,
                crash_count,
            }
        });
        let report = CrashReport {
            upstream: loss.upstream.clone(),
            incarnation: loss.incarnation,
            suspects: suspects.collect(),
            ended_at: loss.lost_at,
            seen_by: context.board.own.name.clone(),
        };
        if !self.record_report(&report, "own", context) {
            return;
        }
        // The owners of the trial runs must learn of the crash before they learn that this run is over.
        let owners = report.suspects.iter();
        let owners: FastSet<VmName> = owners.map(|known| trial_owner(known.feature, context)).collect();
        for owner in owners {
            context.send_to(&owner, PeerMessage::CrashReported(report.clone()));
        }
    }

    /// Crashes in a row of a content with this loss. Overlapping runs of this node that were lost before and
    /// separately count, too. Where other runs of the content pass, though, runs that are lost one after the
    /// other may still have been ended by one common cause.
    fn count_crashes_of_content(&mut self, content: RequestFeature, known_count: u32, loss: &RunLoss) -> u32 {
        let earlier = self.own_losses.entry(content).or_default();
        let had_passes = self.passes.contains(content) || earlier.iter().any(|earlier| earlier.had_passes);
        let separate = earlier
            .iter()
            .filter(|earlier| !had_passes && earlier.is_separate_from(loss));
        let highest = separate
            .map(|earlier| earlier.crash_count)
            .max()
            .unwrap_or_default();
        let crash_count = known_count.max(highest) + 1;
        if earlier.len() < MAX_OWN_LOSSES {
            earlier.push(OwnLoss {
                began_at: loss.began_at,
                lost_at: loss.lost_at,
                crash_count,
                had_passes,
            });
        }
        crash_count
    }

    /// Records a crash report and gossips it if it was unknown of any of its suspects; returns whether it was.
    fn record_report(
        &mut self,
        report: &CrashReport,
        source: &str,
        context: &mut ControlContext<'_>,
    ) -> bool {
        let features = report.suspects.iter().map(|suspect| suspect.feature);
        self.record_suspects(features, report, source, context)
    }

    /// Records a crash report in the cases of some of its suspects, and gossips it if it was unknown of any of
    /// them; returns whether it was.
    fn record_suspects(
        &mut self,
        features: impl Iterator<Item = RequestFeature>,
        report: &CrashReport,
        source: &str,
        context: &mut ControlContext<'_>,
    ) -> bool {
        let new: Vec<RequestFeature> = features
            .filter(|feature| self.record_suspect(*feature, report, context))
            .collect();
        if new.is_empty() {
            return false;
        }
        self.spread_report(report, source, context);
        // Follows the report, so that peers know of the crash before they learn that a feature is cleared of it.
        for feature in new {
            self.report_earlier_passes(feature, context);
        }
        true
    }

    /// Records a crash report in the case of one feature; returns whether it was unknown.
    fn record_suspect(
        &mut self,
        feature: RequestFeature,
        report: &CrashReport,
        context: &mut ControlContext<'_>,
    ) -> bool {
        if !self.cases.contains_key(&feature) {
            self.evict_if_full(context);
        }
        let case = self
            .cases
            .entry(feature)
            .or_insert_with(|| CrashCase::new(feature));
        if !case.record_report(report) {
            return false;
        }
        if self.passes.contains(feature) && case.crash_count() == 1 {
            case.tolerate_until(context.now.after_ms(TOLERANCE_MS));
        }
        self.publish_suspicion(feature, context);
        true
    }

    /// Reports the passes of a feature from before its first crash. If a feature crashes upstreams again and
    /// nothing passed in between, it may have become harmful since, and earlier passes say nothing.
    fn report_earlier_passes(&mut self, feature: RequestFeature, context: &mut ControlContext<'_>) {
        let count = self.passes.take_unreported(feature, context.now);
        let suspicion = context.board.suspicions.get(feature);
        if count > 0 && suspicion.is_some_and(|suspicion| suspicion.crash_count == 1) {
            self.report_passes(feature, count, context);
        }
    }

    /// Logs and gossips a new crash report, and stops selecting the crashed upstream for a while.
    fn spread_report(&mut self, report: &CrashReport, source: &str, context: &mut ControlContext<'_>) {
        let crash_count = report.max_count();
        // The first crash under a request usually has another cause, so only the VM that saw it logs it.
        if crash_count > 1 || report.seen_by == context.board.own.name {
            context.log(format!(
                "event=request_struck {} upstream={} incarnation={} strikes={crash_count} age_ms={} seen_by={} source={source}",
                format_suspects(report),
                report.upstream,
                report.incarnation,
                report.ended_at.until_ms(context.now),
                report.seen_by
            ));
        }
        // An upstream that has just crashed is ineligible until it has had time to restart.
        let down_until = report.ended_at.after_ms(CRASH_COOLDOWN_MS);
        if !context.now.reached(down_until) {
            context.board.upstream_mut(&report.upstream).down_until = Some(down_until);
        }
        context.send_to_neighbors(&PeerMessage::CrashReported(report.clone()));
    }

    /// Evicts a case if the limit is reached: cleared ones first, then those with the lowest crash count.
    fn evict_if_full(&mut self, context: &mut ControlContext<'_>) {
        if self.cases.len() < MAX_CASES {
            return;
        }
        let eviction_order = |(_, case): &(&RequestFeature, &CrashCase)| {
            let crash_count = if case.is_cleared() { 0 } else { case.crash_count() };
            (crash_count, case.expires_at())
        };
        let first = self
            .cases
            .iter()
            .min_by_key(eviction_order)
            .map(|(feature, _)| *feature);
        if let Some(feature) = first {
            self.remove_case(feature, context);
        }
    }

    fn remove_case(&mut self, feature: RequestFeature, context: &mut ControlContext<'_>) {
        self.cases.remove(&feature);
        self.own_losses.remove(&feature);
        self.publish_suspicion(feature, context);
    }

    /// Updates the board's suspicion of a feature, its digest and the next expiry.
    fn publish_suspicion(&mut self, feature: RequestFeature, context: &mut ControlContext<'_>) {
        let case = self.cases.get(&feature);
        let suspicion = case.and_then(CrashCase::suspicion);
        let known = context.board.suspicions.get(feature).cloned();
        if let Some(expires_at) = case.map(CrashCase::expires_at) {
            self.next_expiry = Some(self.next_expiry.map_or(expires_at, |next| next.min(expires_at)));
        }
        if suspicion == known {
            return;
        }
        Arc::make_mut(&mut context.board.suspicions).set(feature, suspicion.clone());
        for shown in [&known, &suspicion].into_iter().flatten() {
            // The digest is an XOR, so the same hash removes the earlier suspicion.
            context.board.case_digest ^= case_hash(feature, shown.crash_count);
        }
        let known_until = known.map_or(Moment::default(), |known| known.quarantined_until);
        if let Some(Suspicion {
            crash_count,
            quarantined_until,
            ..
        }) = suspicion
            && !context.now.reached(quarantined_until)
            && quarantined_until != known_until
        {
            context.log(format!(
                "event=request_quarantined fingerprint={:016x} kind={} strikes={crash_count} hold_ms={}",
                feature.hash,
                feature.kind.as_str(),
                context.now.until_ms(quarantined_until)
            ));
        }
        context.publish();
    }

    /// Handles that a request with these features ran without a crash.
    fn handle_passed(&mut self, features: &[RequestFeature], context: &mut ControlContext<'_>) {
        for feature in features {
            if context.board.suspicions.get(*feature).is_some() {
                self.passes.record_reported(*feature, context.now);
                self.report_passes(*feature, 1, context);
            } else {
                self.passes.record(*feature, context.now);
            }
        }
    }

    /// Reports passes of a suspected feature to the owner of its trial runs, which counts them.
    fn report_passes(&mut self, feature: RequestFeature, count: u32, context: &mut ControlContext<'_>) {
        let suspicion = context.board.suspicions.get(feature);
        let crash_count = suspicion.map_or(0, |suspicion| suspicion.crash_count);
        let owner = trial_owner(feature, context);
        if owner != context.board.own.name {
            let message = PeerMessage::RunsPassed {
                feature,
                count,
                crash_count,
            };
            context.send_to(&owner, message);
            return;
        }
        self.count_passes(&owner, feature, count, crash_count, context);
    }

    /// Counts passes that a node reported when it knew of this crash count.
    fn count_passes(
        &mut self,
        from: &VmName,
        feature: RequestFeature,
        count: u32,
        crash_count: u32,
        context: &mut ControlContext<'_>,
    ) {
        let Some(case) = self.cases.get_mut(&feature) else {
            return;
        };
        let own_count = case.crash_count();
        if case.is_cleared() {
            // The message to that node, or its neighbors, was lost.
            let crash_count = own_count;
            context.send_to(from, PeerMessage::Cleared { feature, crash_count });
        } else if own_count <= crash_count {
            if case.record_passes(count) {
                self.clear(feature, own_count, "own", context);
            } else {
                self.publish_suspicion(feature, context);
            }
        }
    }

    /// Clears a feature with at most this crash count, and gossips that if it was not cleared already.
    fn clear(
        &mut self,
        feature: RequestFeature,
        crash_count: u32,
        source: &str,
        context: &mut ControlContext<'_>,
    ) {
        let case = self.cases.get_mut(&feature);
        if !case.is_some_and(|case| case.clear(crash_count)) {
            return;
        }
        self.own_losses.remove(&feature);
        context.log(format!(
            "event=request_cleared fingerprint={:016x} kind={} strikes={crash_count} source={source}",
            feature.hash,
            feature.kind.as_str()
        ));
        self.publish_suspicion(feature, context);
        context.send_to_neighbors(&PeerMessage::Cleared { feature, crash_count });
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
            .map(|(feature, case)| CaseRecord {
                feature: *feature,
                is_cleared: case.is_cleared(),
                reports: case.reports().cloned().collect(),
            })
            .collect();
        for part in records.chunks(MAX_CASES_PER_MESSAGE) {
            context.send_to(to, PeerMessage::CasesContent(part.to_vec()));
        }
    }

    fn merge_cases(&mut self, from: &VmName, records: &[CaseRecord], context: &mut ControlContext<'_>) {
        for record in records {
            let feature = record.feature;
            if record.is_cleared {
                let counts = record.reports.iter().map(|report| report.count_of(feature));
                self.clear(feature, counts.max().unwrap_or_default(), from, context);
                continue;
            }
            for report in &record.reports {
                // The sender may have cleared the report's other features.
                self.record_suspects(std::iter::once(feature), report, from, context);
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
        let expired: Vec<RequestFeature> = expired.map(|(feature, _)| *feature).collect();
        self.next_expiry = None;
        for feature in expired {
            self.remove_case(feature, context);
        }
        self.next_expiry = self.cases.values().map(CrashCase::expires_at).min();
    }

    fn handle_message(&mut self, from: &VmName, message: &PeerMessage, context: &mut ControlContext<'_>) {
        match message {
            PeerMessage::CrashReported(report) => {
                self.record_report(report, from, context);
            }
            PeerMessage::Cleared { feature, crash_count } => {
                self.clear(*feature, *crash_count, from, context)
            }
            PeerMessage::RunsPassed {
                feature,
                count,
                crash_count,
            } => self.count_passes(from, *feature, *count, *crash_count, context),
            PeerMessage::TrialRequest {
                scope,
                number,
                remaining_ms,
            } => self.trials.answer(from, *scope, *number, *remaining_ms, context),
            PeerMessage::TrialAnswer { number, verdict } => {
                self.trials.handle_answer(from, *number, *verdict, context);
            }
            PeerMessage::TrialDone { feature, number } => {
                self.trials.handle_done(from, *feature, *number);
            }
            PeerMessage::Heartbeat { case_digest, .. } => self.compare_digest(from, *case_digest, context),
            PeerMessage::CasesWanted => self.send_cases(from, context),
            PeerMessage::CasesContent(records) => self.merge_cases(from, records, context),
            PeerMessage::ReplicasContent(_) => self.resolve_losses(context),
            _ => {}
        }
    }
}

/// Formats the suspects of a report for the log: the content, and the parts if there are any.
fn format_suspects(report: &CrashReport) -> String {
    let hashes_of = |kind: FeatureKind| {
        let suspects = report.suspects.iter().map(|suspect| suspect.feature);
        join_hashes(suspects.filter(|feature| feature.kind == kind))
    };
    format!(
        "fingerprint={} parts={}",
        hashes_of(FeatureKind::Content),
        hashes_of(FeatureKind::Part)
    )
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
            EventKind::RequestPassed,
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
            Event::RequestPassed { features } => self.handle_passed(features, context),
            Event::TrialWanted {
                ticket,
                scope,
                deadline,
            } => self.trials.request_run(*ticket, *scope, *deadline, context),
            Event::TrialDone { feature, number } => self.trials.finish(*feature, *number, context),
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
