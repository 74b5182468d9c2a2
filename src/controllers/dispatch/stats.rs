//! Statistics of one replica, measured by this VM's own requests to it.

use std::sync::Arc;

use crate::blackboard::{ReplicaFacts, ReplicaLoad, ReplicaRecord};
use crate::controllers::service_slots::LoadReport;
use crate::prelude::*;

/// How long a reported load is valid, in milliseconds: about the duration of a few requests.
const LOAD_VALID_MS: u64 = 600;

/// The pause of a replica after its first failure, in milliseconds. It doubles with each further failure in a
/// row.
const MIN_PAUSE_MS: u64 = 400;

/// The longest pause after failures, in milliseconds. A recovered replica is found within this time.
const MAX_PAUSE_MS: u64 = 3_200;

/// The assumed answer time of a plain call at a replica without measurements, in milliseconds.
pub const DEFAULT_ANSWER_MS: u64 = 20;

/// A replica that wasn't chosen in this many choices is probed: it gets a request whatever its statistics
/// say. The number doubles after each probe that is slow again.
const MIN_CHOICES_BEFORE_PROBE: u64 = 32;

/// The upper limit of the number of choices before the next probe.
const MAX_CHOICES_BEFORE_PROBE: u64 = 1_024;

/// The inverse of the smoothing factor of exponential moving averages.
const SMOOTHING_DIVISOR: u64 = 4;

/// The outcome of a send to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The replica answered successfully, after this many milliseconds.
    Served(u64),
    /// The replica rejected the request without running it.
    Refused,
    /// The replica ran the request and answered with an error.
    Errored,
    /// The replica was unreachable, closed the connection, or sent an invalid answer.
    Failed,
    /// The send was abandoned without an answer after this many milliseconds.
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

/// Statistics of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaStats {
    /// The replica's entry in the latest list.
    pub record: Arc<ReplicaRecord>,
    /// When a draining replica stops getting requests; `None` where it isn't draining.
    pub stop_at: Option<Moment>,
    /// This VM's requests in flight at the replica.
    pub in_flight: u32,
    /// Prompt tokens of this VM's requests in flight at the replica.
    pub pending_tokens: u64,
    /// The load that the replica reported last, and until when it is valid.
    load: Option<(ReplicaLoad, Moment)>,
    /// Whether the owner of the service has not received that load yet.
    is_load_unshared: bool,
    /// When the replica last rejected a request of this VM.
    rejected_at: Option<Moment>,
    /// The exponential moving average of its answer times, in milliseconds; zero while unknown. An abandoned
    /// send raises it to at least the send's age.
    pub answer_ms: u64,
    /// The number of its service's choices when the replica was last chosen.
    last_choice: u64,
    /// The number of choices after which the replica is probed if it isn't chosen before.
    probe_after_choices: u64,
    /// Whether a probe was sent and its duration isn't recorded yet.
    is_probing: bool,
    /// Failures since the replica last ran a request.
    failure_count: u32,
    /// The end of the pause after failures; until then the replica is used only if no other is available.
    pub paused_until: Moment,
    /// The moving average of the share of its answers that were errors, in thousandths.
    pub error_thousandths: u64,
    /// The moving average of the share of its answers that were rejections, in thousandths.
    pub rejected_thousandths: u64,
}

impl ReplicaStats {
    /// Creates the statistics of a replica to which nothing was sent yet.
    pub fn new(facts: &ReplicaFacts) -> Self {
        Self {
            record: facts.record.clone(),
            stop_at: facts.stop_at,
            in_flight: 0,
            pending_tokens: 0,
            load: None,
            is_load_unshared: false,
            rejected_at: None,
            answer_ms: 0,
            last_choice: 0,
            probe_after_choices: MIN_CHOICES_BEFORE_PROBE,
            is_probing: false,
            failure_count: 0,
            paused_until: Moment::default(),
            error_thousandths: 0,
            rejected_thousandths: 0,
        }
    }

    /// Applies the replica's entry of a new list; a restart of the replica resets the statistics.
    pub fn update(&mut self, facts: &ReplicaFacts) {
        if self.record.started_epoch_ms != facts.record.started_epoch_ms {
            *self = Self::new(facts);
            return;
        }
        self.record = facts.record.clone();
        self.stop_at = facts.stop_at;
    }

    /// Whether the replica is leaving and gets no more requests.
    pub fn is_stopped(&self, now: Moment) -> bool {
        self.stop_at.is_some_and(|at| now.reached(at))
    }

    /// The expected answer time, in milliseconds. `choice_count` is the number of choices made for the
    /// service so far. A replica that is due for a probe gets one millisecond, so that it is chosen.
    pub fn expected_answer_ms(&self, choice_count: u64) -> u64 {
        match self.answer_ms {
            _ if self.is_probe_due(choice_count) => 1,
            0 => DEFAULT_ANSWER_MS,
            known => known,
        }
    }

    fn is_probe_due(&self, choice_count: u64) -> bool {
        choice_count.saturating_sub(self.last_choice) >= self.probe_after_choices
    }

    /// Records that the replica was chosen. `choice` is the number of its service's choices, including this
    /// one.
    pub fn record_choice(&mut self, choice: u64) {
        self.is_probing |= self.is_probe_due(choice);
        self.last_choice = choice;
    }

    /// If a probe is in flight, records a send's duration as the probe's. If it is less than half of the
    /// average answer time, the average is reset.
    fn record_probe(&mut self, elapsed_ms: u64) {
        if !std::mem::take(&mut self.is_probing) {
            return;
        }
        if self.answer_ms == 0 || elapsed_ms * 2 < self.answer_ms {
            self.probe_after_choices = MIN_CHOICES_BEFORE_PROBE;
            self.answer_ms = 0;
        } else {
            self.probe_after_choices = (self.probe_after_choices * 2).min(MAX_CHOICES_BEFORE_PROBE);
        }
    }

    /// Whether the replica has answered a request of this VM, if only by a rejection.
    pub fn has_answered(&self) -> bool {
        self.answer_ms > 0 || self.error_thousandths > 0 || self.rejected_thousandths > 0
    }

    /// Records a load that the replica reported.
    pub fn record_load(&mut self, load: ReplicaLoad, now: Moment) {
        self.load = Some((load, now.after_ms(LOAD_VALID_MS)));
        self.is_load_unshared = true;
    }

    /// Records that the owner of the service receives the latest load with the release of its grant.
    pub fn record_load_shared(&mut self) {
        self.is_load_unshared = false;
    }

    /// The latest load, if it is valid and the owner of the service has not received it; it counts as received
    /// from then on.
    pub fn take_unshared_load(&mut self, now: Moment) -> Option<LoadReport> {
        let load = self.load(now).filter(|_| self.is_load_unshared)?;
        self.is_load_unshared = false;
        let (_, valid_until) = self.load?;
        Some(LoadReport {
            replica: self.record.id.clone(),
            load,
            reported_at: Moment(valid_until.0.saturating_sub(LOAD_VALID_MS)),
        })
    }

    /// Whether the replica rejected a request of this VM within a time.
    pub fn has_rejected_within(&self, span_ms: u64, now: Moment) -> bool {
        self.rejected_at
            .is_some_and(|at| !now.reached(at.after_ms(span_ms)))
    }

    /// The load reported last, while it is valid.
    pub fn load(&self, now: Moment) -> Option<ReplicaLoad> {
        self.load
            .filter(|(_, until)| !now.reached(*until))
            .map(|(load, _)| load)
    }

    /// The age of the load reported last, in milliseconds; `None` once it is no longer valid.
    pub fn load_age_ms(&self, now: Moment) -> Option<u64> {
        let (_, until) = self.load.filter(|(_, until)| !now.reached(*until))?;
        Some(LOAD_VALID_MS.saturating_sub(now.until_ms(until)))
    }

    /// The estimated number of requests at the replica, from all VMs.
    pub fn expected_requests(&self, now: Moment) -> u32 {
        let reported = self
            .load(now)
            .map_or(0, |load| load.running.saturating_add(load.waiting));
        reported.max(self.in_flight)
    }

    /// Records the outcome of a send. After a failure, returns until when the replica is paused.
    pub fn record_outcome(&mut self, outcome: SendOutcome, now: Moment) -> Option<Moment> {
        match outcome {
            SendOutcome::Served(elapsed_ms) => {
                self.failure_count = 0;
                self.paused_until = Moment::default();
                self.record_probe(elapsed_ms);
                self.answer_ms = smooth(self.answer_ms, elapsed_ms.max(1));
                self.error_thousandths = smooth(self.error_thousandths, 0);
                self.rejected_thousandths = smooth(self.rejected_thousandths, 0);
            }
            SendOutcome::Errored => {
                self.failure_count = 0;
                self.error_thousandths = smooth(self.error_thousandths, 1_000);
                self.rejected_thousandths = smooth(self.rejected_thousandths, 0);
            }
            SendOutcome::Abandoned(elapsed_ms) => {
                self.answer_ms = self.answer_ms.max(elapsed_ms);
                self.record_probe(elapsed_ms);
            }
            SendOutcome::Refused => {
                self.rejected_at = Some(now);
                self.rejected_thousandths = smooth(self.rejected_thousandths, 1_000);
            }
            SendOutcome::Failed => {
                let pause_ms = (MIN_PAUSE_MS << self.failure_count.min(8)).min(MAX_PAUSE_MS);
                self.failure_count += 1;
                self.paused_until = now.after_ms(pause_ms);
                return Some(self.paused_until);
            }
        }
        None
    }
}

/// Updates an exponential moving average. A mean of zero counts as unknown and is replaced by the newest
/// value.
fn smooth(mean: u64, newest: u64) -> u64 {
    match mean {
        0 => newest,
        mean => (mean * (SMOOTHING_DIVISOR - 1) + newest) / SMOOTHING_DIVISOR,
    }
}
