//! What this node knows of one replica from its own dealings with it.

use std::sync::Arc;

use crate::blackboard::{ReplicaFacts, ReplicaLoad, ReplicaRecord};
use crate::prelude::*;

/// How long a reported load counts, in milliseconds: about the time of some requests.
const LOAD_VALID_MS: u64 = 600;

/// How long a replica is passed over after its first failure, in milliseconds; twice as long after each further one.
const MIN_PAUSE_MS: u64 = 400;

/// The longest pause after failures, in milliseconds. A replica that comes back is found again within it.
const MAX_PAUSE_MS: u64 = 3_200;

/// The time of a plain call at a replica of which nothing is known, in milliseconds.
pub const DEFAULT_ANSWER_MS: u64 = 20;

/// Choices of others after which a replica is tried, whatever is known of it; twice as many after each try that was slow again.
const MIN_CHOICES_BEFORE_PROBE: u64 = 32;

/// The most choices of others before the next try.
const MAX_CHOICES_BEFORE_PROBE: u64 = 1_024;

/// Parts of a smoothed figure that the newest value replaces one of.
const SMOOTHING_DIVISOR: u64 = 4;

/// How a send to a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// It answered as it should, after this many milliseconds.
    Served(u64),
    /// It refused without running the request.
    Refused,
    /// It answered with an error of its own.
    Errored,
    /// It could not be reached, broke off, or answered with wrong bytes.
    Failed,
    /// It had not answered when the send was given up, after this many milliseconds.
    Abandoned(u64),
}

impl SendOutcome {
    /// The word used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Refused => "refused",
            Self::Errored => "errored",
            Self::Failed => "failed",
            Self::Abandoned(_) => "abandoned",
        }
    }
}

/// One replica's standing.
#[derive(Clone, Debug)]
pub struct ReplicaStats {
    /// What the list says of it.
    pub record: Arc<ReplicaRecord>,
    /// When it gets nothing more.
    pub stop_at: Option<Moment>,
    /// Requests of this node that it holds.
    pub in_flight: u32,
    /// Prompt tokens of this node's requests that it has still to run.
    pub pending_tokens: u64,
    /// The load that it reported last, and until when that counts.
    load: Option<(ReplicaLoad, Moment)>,
    /// A smoothed time that it takes for an answer, in milliseconds; zero while unknown.
    pub answer_ms: u64,
    /// The choice among the replicas of its service by which it was last sent something.
    last_choice: u64,
    /// Choices of others after which it is tried.
    probe_after: u64,
    /// Whether what it was sent last was such a try.
    is_probing: bool,
    /// Failures since the last success.
    failures: u32,
    /// Until when it is passed over where others are left.
    pub paused_until: Moment,
    /// Own errors among the latest answers, in thousandths, smoothed.
    pub error_thousandths: u64,
    /// Rejections among the latest answers, in thousandths, smoothed.
    pub rejected_thousandths: u64,
}

impl ReplicaStats {
    /// A replica of which nothing is known yet.
    pub fn new(facts: &ReplicaFacts) -> Self {
        Self {
            record: facts.record.clone(),
            stop_at: facts.stop_at,
            in_flight: 0,
            pending_tokens: 0,
            load: None,
            answer_ms: 0,
            last_choice: 0,
            probe_after: MIN_CHOICES_BEFORE_PROBE,
            is_probing: false,
            failures: 0,
            paused_until: Moment::default(),
            error_thousandths: 0,
            rejected_thousandths: 0,
        }
    }

    /// Takes over what the list says now.
    pub fn update(&mut self, facts: &ReplicaFacts) {
        if self.record.started_epoch_ms != facts.record.started_epoch_ms {
            *self = Self::new(facts);
            return;
        }
        self.record = facts.record.clone();
        self.stop_at = facts.stop_at;
    }

    /// Whether it is leaving and gets nothing any more.
    pub fn is_stopped(&self, now: Moment) -> bool {
        self.stop_at.is_some_and(|at| now.reached(at))
    }

    /// How long it probably takes for an answer, in milliseconds, after so many choices among the replicas of its service; one that
    /// is due to be tried goes first.
    pub fn expected_answer_ms(&self, choices: u64) -> u64 {
        match self.answer_ms {
            _ if self.is_probe_due(choices) => 1,
            0 => DEFAULT_ANSWER_MS,
            known => known,
        }
    }

    fn is_probe_due(&self, choices: u64) -> bool {
        choices.saturating_sub(self.last_choice) >= self.probe_after
    }

    /// Notes the choice by which it is sent something.
    pub fn record_choice(&mut self, choice: u64) {
        self.is_probing |= self.is_probe_due(choice);
        self.last_choice = choice;
    }

    /// Notes how long a try took: one that took less than half of what was known replaces it.
    fn record_probe(&mut self, elapsed_ms: u64) {
        if !std::mem::take(&mut self.is_probing) {
            return;
        }
        if self.answer_ms == 0 || elapsed_ms * 2 < self.answer_ms {
            self.probe_after = MIN_CHOICES_BEFORE_PROBE;
            self.answer_ms = 0;
        } else {
            self.probe_after = (self.probe_after * 2).min(MAX_CHOICES_BEFORE_PROBE);
        }
    }

    /// Notes a load that the replica reported.
    pub fn record_load(&mut self, load: ReplicaLoad, now: Moment) {
        self.load = Some((load, now.after_ms(LOAD_VALID_MS)));
    }

    /// The reported load, while it counts.
    pub fn load(&self, now: Moment) -> Option<ReplicaLoad> {
        self.load
            .filter(|(_, until)| !now.reached(*until))
            .map(|(load, _)| load)
    }

    /// Requests that the replica probably holds, from all nodes.
    pub fn expected_requests(&self, now: Moment) -> u32 {
        let reported = self
            .load(now)
            .map_or(0, |load| load.running.saturating_add(load.waiting));
        reported.max(self.in_flight)
    }

    /// Notes how a send ended; after a failure, until when the replica is passed over.
    pub fn record_outcome(&mut self, outcome: SendOutcome, now: Moment) -> Option<Moment> {
        match outcome {
            SendOutcome::Served(elapsed_ms) => {
                self.failures = 0;
                self.paused_until = Moment::default();
                self.record_probe(elapsed_ms);
                self.answer_ms = smooth(self.answer_ms, elapsed_ms.max(1));
                self.error_thousandths = smooth(self.error_thousandths, 0);
                self.rejected_thousandths = smooth(self.rejected_thousandths, 0);
            }
            SendOutcome::Errored => {
                self.failures = 0;
                self.error_thousandths = smooth(self.error_thousandths, 1_000);
                self.rejected_thousandths = smooth(self.rejected_thousandths, 0);
            }
            SendOutcome::Abandoned(elapsed_ms) => {
                self.answer_ms = self.answer_ms.max(elapsed_ms);
                self.record_probe(elapsed_ms);
            }
            SendOutcome::Refused => self.rejected_thousandths = smooth(self.rejected_thousandths, 1_000),
            SendOutcome::Failed => {
                let span_ms = (MIN_PAUSE_MS << self.failures.min(8)).min(MAX_PAUSE_MS);
                self.failures += 1;
                self.paused_until = now.after_ms(span_ms);
                return Some(self.paused_until);
            }
        }
        None
    }
}

/// A moving mean; the first value counts whole.
fn smooth(mean: u64, newest: u64) -> u64 {
    match mean {
        0 => newest,
        mean => (mean * (SMOOTHING_DIVISOR - 1) + newest) / SMOOTHING_DIVISOR,
    }
}
