//! A gateway's metrics by OpenTelemetry, in the Prometheus text format.
//!
//! Labels are kinds of route, outcomes and other small enums of our own, so that their number does not grow with routes,
//! workspaces or models.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use super::limit_gauge::LimitGauge;
use super::loss::RunStage;
use super::rate_permit::PermitFate;
use super::statements::UnknownStatements;
use super::trace::{RequestOutcome, TraceRecord};
use crate::blackboard::{OfferOutcome, ReplicaId};
use crate::clock;
use crate::event_log::EventLog;
use crate::prelude::*;
use crate::register::RouteKind;
use crate::reports::{ControlEventGauge, MeterRegistry, MetricError};
use crate::runtime::{ControlHandle, Snapshot};

/// Upper bounds of the histograms' buckets, in milliseconds: the objectives of calls and of first events lie between.
const BOUNDS_MS: [f64; 14] = [
    2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 300.0, 600.0, 900.0, 1_800.0, 3_600.0, 7_000.0, 14_000.0,
];

/// What a generation's engines were chosen by.
const GRANT_WAYS: [&str; 2] = ["owner", "alone"];

/// The metrics.
pub struct GatewayMetrics {
    meters: MeterRegistry,
    requests: Counter<u64>,
    duration: Histogram<f64>,
    first_event: Histogram<f64>,
    event_gap: Histogram<f64>,
    queue_wait: Histogram<f64>,
    prefill: Histogram<f64>,
    added: Histogram<f64>,
    extra_sends: Counter<u64>,
    budget_taken: Counter<u64>,
    budget_returned: Counter<u64>,
    denied_sends: Counter<u64>,
    arrivals: Counter<u64>,
    grants: Counter<u64>,
    wasted_tokens: Counter<u64>,
    moved_tokens: Counter<u64>,
    revision: Gauge<u64>,
    config_age: Gauge<u64>,
    config_unread: Gauge<u64>,
    newest_offered: Gauge<u64>,
    config_offers: Gauge<u64>,
    list_revision: Gauge<u64>,
    list_age: Gauge<u64>,
    reads_store: Gauge<u64>,
    vms: Gauge<u64>,
    replicas: Gauge<u64>,
    active: Gauge<u64>,
    suspected: Gauge<u64>,
    held_refusals: Counter<u64>,
    limited_refusals: Counter<u64>,
    log_lines: Gauge<u64>,
    unknown_statements: Gauge<u64>,
    permits: Counter<u64>,
    limits: LimitGauge,
    control_events: ControlEventGauge,
}

impl GatewayMetrics {
    /// Sets the metrics up.
    pub fn new() -> Result<Self, MetricError> {
        let meters = MeterRegistry::new(&BOUNDS_MS)?;
        Ok(Self {
            requests: meters.counter("requests", "Requests by kind of route and outcome."),
            duration: meters.histogram(
                "request_duration",
                "From a request's last byte to its answer's last byte.",
            ),
            first_event: meters.histogram("first_event", "From a request's last byte to its first event."),
            event_gap: meters.histogram("event_gap", "Between two events of a stream."),
            queue_wait: meters.histogram("queue_wait", "Until engines were granted."),
            prefill: meters.histogram("prefill", "Of a prompt at its prefill engine."),
            added: meters.histogram("added_latency", "Of a plain call beyond its replica's own time."),
            extra_sends: meters.counter("extra_sends", "Sends beyond the first of a request."),
            budget_taken: meters.counter("budget_taken", "Extra sends that the budget covered."),
            budget_returned: meters.counter(
                "budget_returned",
                "Extra sends that the budget covered and that did not go out.",
            ),
            arrivals: meters.counter("arrivals", "Requests that went out to replicas, by stage."),
            denied_sends: meters.counter("denied_sends", "Extra sends that the budget did not cover."),
            grants: meters.counter("grants", "Generations by who chose their engines."),
            wasted_tokens: meters.counter("wasted_prefill_tokens", "Prompt tokens that were run in vain."),
            moved_tokens: meters.counter(
                "moved_kv_tokens",
                "Prompt tokens whose KV cache went to a decode engine.",
            ),
            revision: meters.gauge("config_revision", "The configuration in force."),
            config_age: meters.gauge(
                "config_unconfirmed_ms",
                "How long the configuration is unconfirmed.",
            ),
            config_unread: meters.gauge(
                "config_unread_ms",
                "How long this VM has not been able to read the configuration itself.",
            ),
            newest_offered: meters.gauge(
                "config_newest_offered",
                "The highest configuration that was read or told, of use or not.",
            ),
            config_offers: meters.gauge("config_offers", "Configurations that were read or told, by fate."),
            list_revision: meters.gauge("list_revision", "The state of the replica list."),
            list_age: meters.gauge("list_unread_ms", "How long the store has not been read."),
            reads_store: meters.gauge("reads_store", "One where this VM reads the store for others too."),
            vms: meters.gauge("vms", "VMs by state."),
            replicas: meters.gauge("replicas", "Listed replicas by state."),
            suspected: meters.gauge(
                "suspected_requests",
                "Requests under which replicas ended, by what becomes of them.",
            ),
            limited_refusals: meters.counter(
                "limited_refusals",
                "Refusals of requests whose replicas all get what they take.",
            ),
            held_refusals: meters.counter("held_refusals", "Refusals of requests that are held back."),
            active: meters.gauge("active_requests", "Requests that this VM holds."),
            log_lines: meters.gauge("log_lines", "Log lines by what became of them."),
            permits: meters.counter(
                "rate_permits",
                "Asks for permits to send to replicas that name limits, by fate.",
            ),
            limits: LimitGauge::new(&meters),
            unknown_statements: meters.gauge(
                "unknown_statements",
                "Statements of replicas on themselves that nothing reads, by name.",
            ),
            control_events: ControlEventGauge::new(&meters),
            meters,
        })
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self, control: &ControlHandle, unknown_statements: &UnknownStatements) -> String {
        self.note_state(&control.snapshot(), control.active_requests());
        self.control_events.record(control);
        for (name, count) in unknown_statements.counts() {
            self.unknown_statements
                .record(count, &[KeyValue::new("name", name)]);
        }
        self.meters.render()
    }

    fn note_state(&self, snapshot: &Snapshot, active_requests: u64) {
        let now = clock::now();
        self.revision.record(snapshot.revision, &[]);
        self.config_age.record(snapshot.fresh_until.until_ms(now), &[]);
        let unread_ms = snapshot.config_lost_at.map_or(0, |since| since.until_ms(now));
        self.config_unread.record(unread_ms, &[]);
        self.newest_offered.record(snapshot.newest_offered, &[]);
        for fate in OfferOutcome::ALL {
            let label = KeyValue::new("fate", fate.as_str());
            self.config_offers.record(snapshot.offers.count(fate), &[label]);
        }
        self.list_revision.record(snapshot.list_revision, &[]);
        self.list_age
            .record(snapshot.list_lost_at.map_or(0, |at| at.until_ms(now)), &[]);
        self.reads_store.record(u64::from(snapshot.reads_store), &[]);
        let live = snapshot.live_vms.len();
        let leaving = snapshot.live_vms.iter().filter(|vm| vm.leaving).count();
        let suspected = snapshot.known_vms.saturating_sub(live);
        for (state, count) in [
            ("live", live - leaving),
            ("leaving", leaving),
            ("suspected", suspected),
        ] {
            self.vms.record(count as u64, &[KeyValue::new("state", state)]);
        }
        let stopping = snapshot
            .replicas
            .values()
            .filter(|facts| facts.stop_at.is_some())
            .count();
        for (state, count) in [
            ("listed", snapshot.replicas.len() - stopping),
            ("leaving", stopping),
        ] {
            self.replicas
                .record(count as u64, &[KeyValue::new("state", state)]);
        }
        self.limits.record(snapshot, now);
        self.active.record(active_requests, &[]);
        let held = snapshot.quarantined_count(now);
        let careful = snapshot.suspicions.len() - held;
        for (state, count) in [("held", held), ("careful", careful)] {
            self.suspected
                .record(count as u64, &[KeyValue::new("state", state)]);
        }
        let tally = EventLog::tally();
        for (fate, count) in [("taken", tally.taken), ("dropped", tally.dropped)] {
            self.log_lines.record(count, &[KeyValue::new("fate", fate)]);
        }
    }

    /// Notes how a request ended.
    pub fn note_end(&self, kind: RouteKind, record: &TraceRecord, total_ms: u64) {
        let kind = KeyValue::new("kind", kind.as_str());
        let outcome = KeyValue::new("outcome", record.outcome.as_str());
        self.requests.add(1, &[kind.clone(), outcome]);
        if record.outcome == RequestOutcome::Served {
            let labels = [kind];
            self.duration.record(total_ms as f64, &labels);
            self.first_event.record(record.first_ms as f64, &labels);
        }
        if record.code == ResultCode::Quarantined.number() {
            self.held_refusals.add(1, &[]);
        }
        if record.code == ResultCode::RateLimited.number() {
            self.limited_refusals.add(1, &[]);
        }
        if record.sends > 1 {
            self.extra_sends.add(u64::from(record.sends - 1), &[]);
        }
    }

    /// Notes the pause before an event of a stream.
    pub fn note_gap(&self, gap_ms: u64) {
        self.event_gap.record(gap_ms as f64, &[]);
    }

    /// Notes a generation's wait for its engines, and whether their owner granted them.
    pub fn note_grant(&self, queue_ms: u64, is_by_owner: bool) {
        let way = GRANT_WAYS[usize::from(!is_by_owner)];
        self.grants.add(1, &[KeyValue::new("way", way)]);
        self.queue_wait.record(queue_ms as f64, &[]);
    }

    /// Notes how long a prompt took.
    pub fn note_prefill(&self, elapsed_ms: u64) {
        self.prefill.record(elapsed_ms as f64, &[]);
    }

    /// Notes what became of a prompt that was run: its KV cache went to a decode engine, or it was run in vain.
    pub fn note_prompt(&self, tokens: u32, was_taken: bool) {
        let counter = if was_taken {
            &self.moved_tokens
        } else {
            &self.wasted_tokens
        };
        counter.add(u64::from(tokens), &[]);
    }

    /// Notes the time of a plain call beyond its replica's own.
    pub fn note_added(&self, added_ms: u64) {
        self.added.record(added_ms as f64, &[]);
    }

    /// Notes an extra send that the budget covered.
    pub fn note_budget_taken(&self) {
        self.budget_taken.add(1, &[]);
    }

    /// Notes extra sends that did not go out.
    pub fn note_budget_returned(&self, count: u32) {
        self.budget_returned.add(u64::from(count), &[]);
    }

    /// Notes that a request went out to a replica.
    pub fn note_arrival(&self, stage: RunStage) {
        self.arrivals.add(1, &[KeyValue::new("stage", stage.as_str())]);
    }

    /// Counts an ask for a permit by its outcome.
    pub fn note_permit(&self, fate: PermitFate) {
        self.permits.add(1, &[KeyValue::new("fate", fate.as_str())]);
    }

    /// Notes that a request went out to a replica that names a limit.
    pub fn note_limited_arrival(&self, replica: &ReplicaId) {
        self.limits.note_arrival(replica);
    }

    /// Notes an extra send that the budget did not cover.
    pub fn note_denied(&self) {
        self.denied_sends.add(1, &[]);
    }
}
