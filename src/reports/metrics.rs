//! OpenTelemetry metrics of a node, with histograms by workspace and class, in the Prometheus text format.

use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

use super::control_events::ControlEventGauge;
use super::meter::{MeterRegistry, MetricError};
use super::tally::{RunTally, add};
use crate::clock;
use crate::controllers::idempotency::KeyOutcome;
use crate::prelude::*;
use crate::runtime::ControlHandle;
use crate::traffic::GenerateWork;

/// Upper bounds of the histogram buckets, in milliseconds.
const BOUNDS_MS: [f64; 18] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 33.0, 50.0, 75.0, 100.0, 200.0, 350.0, 520.0, 750.0, 1_000.0, 2_000.0,
    5_000.0, 20_000.0, 60_000.0,
];

/// The metrics of a node of the entry interface.
pub struct MetricSet {
    meters: MeterRegistry,
    /// Counts for the status object and the short report.
    pub tally: RunTally,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
    queue_wait: Histogram<f64>,
    lookup: Histogram<f64>,
    ends: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    prefill_tokens: Counter<u64>,
    wasted_tokens: Counter<u64>,
    run_once: Counter<u64>,
    control_events: ControlEventGauge,
}

impl MetricSet {
    /// Registers all instruments.
    pub fn new() -> Result<Self, MetricError> {
        let meters = MeterRegistry::new(&BOUNDS_MS)?;
        Ok(Self {
            first_token: meters.histogram("first_token", "Time from acceptance to the first token."),
            token_gap: meters.histogram("token_gap", "Time between two tokens of a stream."),
            queue_wait: meters.histogram("queue_wait", "Time from acceptance until engines were granted."),
            lookup: meters.histogram("lookup", "Time of an idempotent call to a plain service."),
            ends: meters.counter("stream_ends", "Streams by how they ended."),
            refusals: meters.counter("refusals", "Refusals by result code."),
            retries: meters.counter("attempt_retries", "Further attempts at generations."),
            prefill_tokens: meters.counter("prefill_tokens", "Prompt tokens run by prefill engines."),
            wasted_tokens: meters.counter("wasted_prefill_tokens", "Prompt tokens run in vain."),
            run_once: meters.counter("run_once_calls", "Run-once calls by outcome."),
            control_events: ControlEventGauge::new(&meters),
            meters,
            tally: RunTally::default(),
        })
    }

    /// All metrics in the Prometheus text format, with the control thread's current event counts.
    pub fn render(&self, control: &ControlHandle) -> String {
        self.control_events.record(control);
        self.meters.render()
    }

    /// Records how long a request waited for engines.
    pub fn record_queue_wait(&self, work: &GenerateWork, since: Moment) {
        self.queue_wait.record(elapsed_ms(since), &labels(work));
    }

    /// Records the time from acceptance of a request to its first token.
    pub fn record_first_token(&self, work: &GenerateWork, since: Moment) {
        self.first_token.record(elapsed_ms(since), &labels(work));
    }

    /// Records the time since the previous token of a stream.
    pub fn record_token_gap(&self, work: &GenerateWork, since: Moment) {
        self.token_gap.record(elapsed_ms(since), &labels(work));
    }

    /// Counts prompt tokens that a prefill engine processed.
    pub fn count_prefill_tokens(&self, work: &GenerateWork, tokens: u32) {
        add(&self.tally.prefill_tokens, u64::from(tokens));
        self.prefill_tokens.add(u64::from(tokens), &labels(work));
    }

    /// Counts prompt tokens whose prefill was wasted because the attempt failed before it delivered a token.
    pub fn count_wasted_prefill(&self, work: &GenerateWork, tokens: u32) {
        add(&self.tally.wasted_tokens, u64::from(tokens));
        self.wasted_tokens.add(u64::from(tokens), &labels(work));
    }

    /// Counts a further attempt at a generation.
    pub fn count_retry(&self, work: &GenerateWork) {
        add(&self.tally.retries, 1);
        self.retries.add(1, &labels(work));
    }

    /// Counts a stream that its caller resumed.
    pub fn count_resumed_stream(&self) {
        add(&self.tally.resumed, 1);
    }

    /// Counts a hedged lookup.
    pub fn count_hedge(&self) {
        add(&self.tally.hedges, 1);
    }

    /// Counts the end of a stream. `outcome` is `complete`, `caller_gone`, or the name of the result code
    /// that cut it off.
    pub fn count_stream_end(&self, work: &GenerateWork, outcome: &'static str) {
        let count = match outcome {
            "complete" => &self.tally.complete,
            "caller_gone" => &self.tally.caller_gone,
            _ => &self.tally.cut,
        };
        add(count, 1);
        let [workspace, class] = labels(work);
        self.ends
            .add(1, &[workspace, class, KeyValue::new("outcome", outcome)]);
    }

    /// Counts a refusal by its result code.
    pub fn count_refusal(&self, notice: &RefusalNotice) {
        self.tally.count_refusal(notice.code);
        self.refusals
            .add(1, &[KeyValue::new("code", i64::from(notice.code.number()))]);
    }

    /// Counts an answered lookup and records its duration.
    pub fn record_lookup(&self, workspace: &Arc<str>, operation: &Arc<str>, since: Moment) {
        let elapsed = elapsed_ms(since);
        add(&self.tally.lookups, 1);
        let labels = [
            KeyValue::new("workspace", workspace.clone()),
            KeyValue::new("operation", operation.clone()),
        ];
        self.lookup.record(elapsed, &labels);
    }

    /// Counts a run-once call by its outcome.
    pub fn count_run_once(&self, workspace: &Arc<str>, outcome: &KeyOutcome) {
        let word = match outcome {
            KeyOutcome::Answered(_) => "ran",
            KeyOutcome::Unknown => "unknown",
            KeyOutcome::Unstarted(_) => "not_run",
        };
        match outcome {
            KeyOutcome::Answered(_) => add(&self.tally.ran_once, 1),
            KeyOutcome::Unknown => add(&self.tally.run_unknown, 1),
            KeyOutcome::Unstarted(_) => {}
        }
        let labels = [
            KeyValue::new("workspace", workspace.clone()),
            KeyValue::new("outcome", word),
        ];
        self.run_once.add(1, &labels);
    }
}

fn elapsed_ms(since: Moment) -> f64 {
    clock::now().0.saturating_sub(since.0) as f64
}

fn labels(work: &GenerateWork) -> [KeyValue; 2] {
    [
        KeyValue::new("workspace", work.workspace.clone()),
        KeyValue::new("class", work.class.clone()),
    ]
}
