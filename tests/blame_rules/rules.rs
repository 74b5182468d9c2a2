//! The rules that are compared.

use std::sync::Arc;

use dotterelspan::blackboard::{
    EntryTrust, FeatureKind, FeatureSet, OwnIdentity, ReplicaFacts, ReplicaRecord, ReplicaRole,
    RequestFeature, RunRestriction,
};
use dotterelspan::controllers::quarantine::{CrashSuspect, QuarantineController, RunLoss, UpstreamOutcome};
use dotterelspan::controllers::{ControlCore, Reply};
use dotterelspan::prelude::*;

/// How long a feature is held, in milliseconds.
const HOLD_MS: u64 = 10_000;

/// What becomes of a request that arrives.
pub enum RunVerdict {
    /// It runs; the number identifies the run.
    Run(u64),
    /// It waits for another run with a suspected feature to end.
    Wait,
    /// It is refused.
    Refuse,
}

/// Decides on requests by the crashes and passes that it is told of.
pub trait BlameRule {
    fn judge(&mut self, features: &FeatureSet, number: u64, now: u64) -> RunVerdict;

    fn record_pass(&mut self, features: &FeatureSet, run: u64, now: u64);

    fn record_crash(
        &mut self,
        features: &FeatureSet,
        run: u64,
        replica: &str,
        start: u64,
        lost_at: u64,
        now: u64,
    );

    /// A run ended in another way.
    fn end_trial(&mut self, run: u64, now: u64);
}

/// What a simple rule keeps of a feature.
#[derive(Clone, Copy, Debug, Default)]
struct FeatureScore {
    /// Crashes in a row, or a log-likelihood ratio.
    score: f64,
    passes: u32,
    held_until: u64,
    /// When the crash that was counted last happened; crashes of one moment count once.
    counted_at: Option<u64>,
    trial: Option<u64>,
}

/// Crashes in a row count against each feature; three passes since the last clear it.
#[derive(Default)]
pub struct CountInRow {
    scores: FastMap<RequestFeature, FeatureScore>,
    runs: u64,
}

fn suspect_verdict(
    scores: &mut FastMap<RequestFeature, FeatureScore>,
    features: &FeatureSet,
    run: u64,
    now: u64,
) -> RunVerdict {
    let suspected = features
        .as_slice()
        .iter()
        .filter_map(|feature| scores.get(feature));
    let suspected: Vec<FeatureScore> = suspected.filter(|score| score.score > 0.0).copied().collect();
    if suspected.iter().any(|score| score.held_until > now) {
        return RunVerdict::Refuse;
    }
    if suspected.iter().any(|score| score.trial.is_some()) {
        return RunVerdict::Wait;
    }
    for feature in features.as_slice() {
        if let Some(score) = scores.get_mut(feature).filter(|score| score.score > 0.0) {
            score.trial = Some(run);
        }
    }
    RunVerdict::Run(run)
}

fn end_trials(scores: &mut FastMap<RequestFeature, FeatureScore>, run: u64) {
    for score in scores.values_mut() {
        score.trial = score.trial.filter(|trial| *trial != run);
    }
}

impl BlameRule for CountInRow {
    fn judge(&mut self, features: &FeatureSet, _number: u64, now: u64) -> RunVerdict {
        self.runs += 1;
        suspect_verdict(&mut self.scores, features, self.runs, now)
    }

    fn record_pass(&mut self, features: &FeatureSet, run: u64, _now: u64) {
        end_trials(&mut self.scores, run);
        for feature in features.as_slice() {
            if let Some(score) = self.scores.get_mut(feature) {
                score.passes += 1;
                if score.passes >= 3 {
                    self.scores.remove(feature);
                }
            }
        }
    }

    fn record_crash(
        &mut self,
        features: &FeatureSet,
        run: u64,
        _replica: &str,
        _start: u64,
        lost_at: u64,
        now: u64,
    ) {
        end_trials(&mut self.scores, run);
        for feature in features.as_slice() {
            let score = self.scores.entry(*feature).or_default();
            if score.counted_at == Some(lost_at) {
                continue;
            }
            score.counted_at = Some(lost_at);
            score.score += 1.0;
            score.passes = 0;
            if score.score >= 2.0 {
                score.held_until = now + HOLD_MS;
            }
        }
    }

    fn end_trial(&mut self, run: u64, _now: u64) {
        end_trials(&mut self.scores, run);
    }
}

/// A cumulative sum of log-likelihood ratios: a harmful feature crashes nearly all runs, others few.
#[derive(Default)]
pub struct LikelihoodRatio {
    scores: FastMap<RequestFeature, FeatureScore>,
    runs: u64,
}

/// Gain of a crash and loss of a pass, with a harmful feature crashing 95 and others 0.5 in 100 runs.
const CRASH_GAIN: f64 = 5.2;
const PASS_LOSS: f64 = 3.0;

/// Score from which a feature is held.
const HELD_SCORE: f64 = 9.0;

impl BlameRule for LikelihoodRatio {
    fn judge(&mut self, features: &FeatureSet, _number: u64, now: u64) -> RunVerdict {
        self.runs += 1;
        suspect_verdict(&mut self.scores, features, self.runs, now)
    }

    fn record_pass(&mut self, features: &FeatureSet, run: u64, _now: u64) {
        end_trials(&mut self.scores, run);
        for feature in features.as_slice() {
            if let Some(score) = self.scores.get_mut(feature) {
                score.score = (score.score - PASS_LOSS).max(0.0);
            }
        }
    }

    fn record_crash(
        &mut self,
        features: &FeatureSet,
        run: u64,
        _replica: &str,
        _start: u64,
        lost_at: u64,
        now: u64,
    ) {
        end_trials(&mut self.scores, run);
        for feature in features.as_slice() {
            let score = self.scores.entry(*feature).or_default();
            if score.counted_at == Some(lost_at) {
                continue;
            }
            score.counted_at = Some(lost_at);
            score.score += CRASH_GAIN;
            if score.score >= HELD_SCORE {
                score.held_until = now + HOLD_MS;
            }
        }
    }

    fn end_trial(&mut self, run: u64, _now: u64) {
        end_trials(&mut self.scores, run);
    }
}

/// Holds what the latest two crashes of different moments have in common, without what passed in between.
#[derive(Default)]
pub struct GroupTest {
    latest: Option<(u64, Vec<RequestFeature>)>,
    held: Vec<(Vec<RequestFeature>, u64)>,
    runs: u64,
}

impl BlameRule for GroupTest {
    fn judge(&mut self, features: &FeatureSet, _number: u64, now: u64) -> RunVerdict {
        self.runs += 1;
        self.held.retain(|(_, until)| *until > now);
        let mut held = self.held.iter();
        if held.any(|(group, _)| group.iter().all(|feature| features.contains(*feature))) {
            return RunVerdict::Refuse;
        }
        RunVerdict::Run(self.runs)
    }

    fn record_pass(&mut self, features: &FeatureSet, _run: u64, _now: u64) {
        if let Some((_, suspects)) = &mut self.latest {
            suspects.retain(|suspect| !features.contains(*suspect));
        }
        for (group, _) in &mut self.held {
            group.retain(|feature| !features.contains(*feature));
        }
        self.held.retain(|(group, _)| !group.is_empty());
    }

    fn record_crash(
        &mut self,
        features: &FeatureSet,
        _run: u64,
        _replica: &str,
        _start: u64,
        lost_at: u64,
        now: u64,
    ) {
        match &self.latest {
            Some((at, suspects)) if *at != lost_at => {
                let common = suspects
                    .iter()
                    .copied()
                    .filter(|suspect| features.contains(*suspect));
                let common: Vec<RequestFeature> = common.collect();
                if !common.is_empty() {
                    self.held.push((common, now + HOLD_MS));
                }
                self.latest = Some((lost_at, features.as_slice().to_vec()));
            }
            Some(_) => {}
            None => self.latest = Some((lost_at, features.as_slice().to_vec())),
        }
    }

    fn end_trial(&mut self, _run: u64, _now: u64) {}
}

/// The rule of the product, as one node applies it.
pub struct ProductRule {
    core: ControlCore,
    /// Trial runs in progress, with their features.
    trials: FastMap<u64, RequestFeature>,
    /// What was known of the features of each run.
    known: FastMap<u64, Arc<[CrashSuspect]>>,
    runs: u64,
}

/// The moment at which the simulated day begins.
const DAY_BEGINS_MS: u64 = 100_000;

fn moment(now: u64) -> Moment {
    Moment(DAY_BEGINS_MS + now)
}

impl ProductRule {
    pub fn new() -> Self {
        let own = OwnIdentity {
            name: "vm-1".into(),
            zone: "a".into(),
            caller_address: "c".into(),
            peer_address: "p".into(),
            incarnation: 1,
            started_epoch_ms: 1,
            millicores: 1_000,
        };
        let board = Blackboard::new(own);
        let core = ControlCore::new(board, vec![Box::new(QuarantineController::default())]);
        Self {
            core,
            trials: FastMap::default(),
            known: FastMap::default(),
            runs: 0,
        }
    }

    fn send(&mut self, event: &Event, now: u64) -> Vec<Action> {
        self.core.handle(event, moment(now))
    }
}

impl BlameRule for ProductRule {
    fn judge(&mut self, features: &FeatureSet, _number: u64, now: u64) -> RunVerdict {
        self.runs += 1;
        let run = self.runs;
        let suspicions = &self.core.board.suspicions;
        let restriction = suspicions.restriction(features, moment(now));
        let known = features.as_slice().iter().map(|feature| CrashSuspect {
            feature: *feature,
            crash_count: suspicions
                .get(*feature)
                .map_or(0, |suspicion| suspicion.crash_count),
        });
        let mut known: Vec<CrashSuspect> = known.collect();
        match restriction {
            RunRestriction::Quarantined { .. } => return RunVerdict::Refuse,
            RunRestriction::Trial(scope) => {
                let wanted = Event::TrialWanted {
                    ticket: ReplyTicket(run),
                    scope,
                    deadline: moment(now + 4_000),
                };
                let actions = self.send(&wanted, now);
                let granted_count = actions.iter().find_map(|action| match action {
                    Action::Reply {
                        reply: Reply::TrialGranted { crash_count },
                        ..
                    } => Some(*crash_count),
                    _ => None,
                });
                let Some(crash_count) = granted_count else {
                    let done = Event::TrialDone {
                        feature: scope.feature,
                        number: run,
                    };
                    self.send(&done, now);
                    return RunVerdict::Wait;
                };
                let in_trial = known.iter_mut().filter(|known| known.feature == scope.feature);
                in_trial.for_each(|known| known.crash_count = crash_count);
                self.trials.insert(run, scope.feature);
            }
            RunRestriction::Unrestricted => {}
        }
        self.known.insert(run, known.into());
        RunVerdict::Run(run)
    }

    fn record_pass(&mut self, features: &FeatureSet, run: u64, now: u64) {
        let parts = features.as_slice().iter().copied();
        let parts = parts
            .filter(|feature| feature.kind == FeatureKind::Part)
            .collect();
        self.send(&Event::RequestPassed { features: parts }, now);
        self.end_trial(run, now);
    }

    fn record_crash(
        &mut self,
        _features: &FeatureSet,
        run: u64,
        replica: &str,
        start: u64,
        lost_at: u64,
        now: u64,
    ) {
        // The replica must be on the list for its crash to count.
        let replica: Arc<str> = replica.into();
        list_replica(&mut self.core.board, &replica);
        let loss = RunLoss {
            known_counts: self.known.remove(&run).unwrap_or_else(|| Arc::new([])),
            upstream: replica,
            incarnation: start,
            began_at: moment(lost_at.saturating_sub(90)),
            lost_at: moment(lost_at),
            outcome: UpstreamOutcome::Ended,
        };
        let ticket = ReplyTicket(0);
        self.send(&Event::RequestLost { ticket, loss }, now);
        self.end_trial(run, now);
    }

    fn end_trial(&mut self, run: u64, now: u64) {
        if let Some(feature) = self.trials.remove(&run) {
            self.send(&Event::TrialDone { feature, number: run }, now);
        }
    }
}

fn list_replica(board: &mut Blackboard, replica: &Arc<str>) {
    if board.replicas.contains_key(replica) {
        return;
    }
    let record = ReplicaRecord {
        id: replica.clone(),
        started_epoch_ms: 1,
        service: "llm".into(),
        role: ReplicaRole::Decode,
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        slots: 16,
        is_draining: false,
        cold_until: None,
    };
    let facts = ReplicaFacts {
        record: Arc::new(record),
        stop_at: None,
        is_listed: true,
        trust: EntryTrust::default(),
        fresh_since: None,
    };
    Arc::make_mut(&mut board.replicas).insert(replica.clone(), facts);
}
