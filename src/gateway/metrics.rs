//! The gateway's metrics: collected with OpenTelemetry, exported in the Prometheus text format.
//!
//! Labels are kinds of route, outcomes and other small enums, so that the number of time series does not grow
//! with routes or models. The metrics of rate limits and paces are labeled by replica, those of quotas by
//! workspace, each up to a fixed number.

use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use super::limit_gauge::LimitGauge;
use super::loss::RunStage;
use super::memory_account::{MemoryAccount, MemoryKind};
use super::pace_gauge::PaceGauge;
use super::quota_gauge::QuotaGauge;
use super::quota_permit::QuotaDecision;
use super::rate_permit::PermitDecision;
use super::send_slot::SlotDecision;
use super::statements::UnknownAttributes;
use super::trace::{RequestOutcome, TraceRecord};
use crate::blackboard::{FeatureKind, OfferOutcome, ReplicaFacts, ReplicaId};
use crate::clock;
use crate::controllers::pace::PaceLevel;
use crate::event_log::EventLog;
use crate::prelude::*;
use crate::register::RouteKind;
use crate::reports::{ControlEventGauge, MeterRegistry, MetricError};
use crate::runtime::{ControlHandle, Snapshot};

/// Upper bounds of the histograms' buckets, in milliseconds; they span the objectives of calls and first
/// events.
const BUCKET_BOUNDS_MS: [f64; 14] = [
    2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 300.0, 600.0, 900.0, 1_800.0, 3_600.0, 7_000.0, 14_000.0,
];

/// Values of the label `way`: the owner granted a generation's engines, or this VM chose them alone.
const GRANT_SOURCES: [&str; 2] = ["owner", "alone"];

/// All metrics of a gateway.
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
    store_era: Gauge<u64>,
    list_age: Gauge<u64>,
    reads_store: Gauge<u64>,
    vms: Gauge<u64>,
    replicas: Gauge<u64>,
    unconfirmed: Gauge<u64>,
    active: Gauge<u64>,
    suspected: Gauge<u64>,
    quarantine_refusals: Counter<u64>,
    rate_limit_refusals: Counter<u64>,
    key_refusals: Counter<u64>,
    unproved_refusals: Counter<u64>,
    proof_left: Gauge<u64>,
    log_lines: Gauge<u64>,
    unknown_attributes: Gauge<u64>,
    permits: Counter<u64>,
    send_slots: Counter<u64>,
    slot_wait: Histogram<f64>,
    slot_refusals: Counter<u64>,
    closed_callers: Counter<u64>,
    held_bytes: Gauge<u64>,
    limits: LimitGauge,
    quotas: QuotaGauge,
    paces: PaceGauge,
    control_events: ControlEventGauge,
}

impl GatewayMetrics {
    /// Registers all metrics.
    pub fn new() -> Result<Self, MetricError> {
        let meters = MeterRegistry::new(&BUCKET_BOUNDS_MS)?;
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
            store_era: meters.gauge(
                "store_era",
                "Rises each time the store comes back from an older copy. 0: the store names none.",
            ),
            list_age: meters.gauge("list_unread_ms", "How long the store has not been read."),
            reads_store: meters.gauge("reads_store", "One where this VM reads the store for others too."),
            vms: meters.gauge("vms", "VMs by state."),
            replicas: meters.gauge("replicas", "Listed replicas by state."),
            unconfirmed: meters.gauge(
                "replicas_unconfirmed",
                "Replicas whose entries are missing or outdated since the store came back from an older copy.",
            ),
            suspected: meters.gauge(
                "suspected_requests",
                "Contents and parts of prompts under which replicas ended, by what becomes of them.",
            ),
            rate_limit_refusals: meters.counter(
                "limited_refusals",
                "Refusals of requests whose replicas all get what they take.",
            ),
            key_refusals: meters.counter("key_refusals", "Refusals of requests without an API key in use."),
            unproved_refusals: meters.counter(
                "unproved_refusals",
                "Refusals of requests with API keys because the configuration is not proved current.",
            ),
            proof_left: meters.gauge(
                "config_proof_left_ms",
                "How long requests with API keys may still be sent without newer proof that the configuration is current.",
            ),
            quarantine_refusals: meters.counter("held_refusals", "Refusals of requests that are held back."),
            active: meters.gauge("active_requests", "Requests that this VM holds."),
            log_lines: meters.gauge("log_lines", "Log lines by what became of them."),
            permits: meters.counter(
                "rate_permits",
                "Asks for permits to send to replicas that name limits, by fate.",
            ),
            send_slots: meters.counter(
                "send_slots",
                "Sends of plain calls under admission control, by fate of their slots.",
            ),
            slot_wait: meters.histogram("slot_wait", "Until a plain service's owner granted a slot."),
            slot_refusals: meters.counter(
                "slot_refusals",
                "Calls that were refused because their service has no slot in time.",
            ),
            closed_callers: meters.counter(
                "closed_callers",
                "Callers' connections that were refused or closed early, by reason.",
            ),
            held_bytes: meters.gauge("held_bytes", "Memory held for callers and replicas, by kind."),
            limits: LimitGauge::new(&meters),
            quotas: QuotaGauge::new(&meters),
            paces: PaceGauge::new(&meters),
            unknown_attributes: meters.gauge(
                "unknown_statements",
                "Statements of replicas on themselves that nothing reads, by name.",
            ),
            control_events: ControlEventGauge::new(&meters),
            meters,
        })
    }

    /// Returns all metrics in the Prometheus text format; gauges are read from the current snapshot. `paces`
    /// are those of plain replicas, as this VM restrains them.
    pub fn render(
        &self,
        control: &ControlHandle,
        unknown_attributes: &UnknownAttributes,
        paces: &[PaceLevel],
    ) -> String {
        let snapshot = control.snapshot();
        self.record_state(&snapshot, control.active_requests());
        self.paces.record(paces, &snapshot.engine_paces);
        self.control_events.record(control);
        for (name, count) in unknown_attributes.counts() {
            self.unknown_attributes
                .record(count, &[KeyValue::new("name", name)]);
        }
        self.meters.render()
    }

    fn record_state(&self, snapshot: &Snapshot, active_requests: u64) {
        let now = clock::now();
        self.revision.record(snapshot.revision, &[]);
        self.config_age.record(snapshot.fresh_until.until_ms(now), &[]);
        let unread_ms = snapshot.config_lost_at.map_or(0, |since| since.until_ms(now));
        self.config_unread.record(unread_ms, &[]);
        self.newest_offered.record(snapshot.newest_offered, &[]);
        for outcome in OfferOutcome::ALL {
            let label = KeyValue::new("fate", outcome.as_str());
            self.config_offers
                .record(snapshot.offers.count(outcome), &[label]);
        }
        if let Some(until) = snapshot
            .proved_until
            .filter(|_| snapshot.register.callers.is_some())
        {
            self.proof_left.record(now.until_ms(until), &[]);
        }
        self.list_revision.record(snapshot.list_position.parts().1, &[]);
        self.store_era.record(snapshot.store_era.number().into(), &[]);
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
        let count_of = |is_counted: fn(&&ReplicaFacts) -> bool| {
            let replicas = snapshot.replicas.values();
            replicas.filter(is_counted).count()
        };
        let stopping = count_of(|facts| facts.stop_at.is_some());
        for (state, count) in [
            ("listed", snapshot.replicas.len() - stopping),
            ("leaving", stopping),
        ] {
            self.replicas
                .record(count as u64, &[KeyValue::new("state", state)]);
        }
        for (state, count) in [
            ("missing", count_of(|facts| facts.trust.is_missing())),
            ("outdated", count_of(|facts| facts.trust.is_outdated())),
        ] {
            self.unconfirmed
                .record(count as u64, &[KeyValue::new("state", state)]);
        }
        self.limits.record(snapshot, now);
        self.active.record(active_requests, &[]);
        for kind in [FeatureKind::Content, FeatureKind::Part] {
            let suspicions = snapshot.suspicions.iter();
            let suspicions = suspicions.filter(|(feature, _)| feature.kind == kind);
            let (quarantined, in_trial): (Vec<_>, Vec<_>) =
                suspicions.partition(|(_, suspicion)| suspicion.is_quarantined(now));
            for (state, count) in [("held", quarantined.len()), ("careful", in_trial.len())] {
                let labels = [
                    KeyValue::new("state", state),
                    KeyValue::new("kind", kind.as_str()),
                ];
                self.suspected.record(count as u64, &labels);
            }
        }
        let tally = EventLog::tally();
        for (outcome, count) in [("taken", tally.accepted), ("dropped", tally.dropped)] {
            self.log_lines.record(count, &[KeyValue::new("fate", outcome)]);
        }
    }

    /// Records the outcome, the duration and the extra sends of a request.
    pub fn record_end(&self, kind: RouteKind, record: &TraceRecord, total_ms: u64) {
        let kind = KeyValue::new("kind", kind.as_str());
        let outcome = KeyValue::new("outcome", record.outcome.as_str());
        self.requests.add(1, &[kind.clone(), outcome]);
        if record.outcome == RequestOutcome::Served {
            let labels = [kind];
            self.duration.record(total_ms as f64, &labels);
            self.first_event.record(record.first_ms as f64, &labels);
        }
        if record.code == ResultCode::Quarantined.number() {
            self.quarantine_refusals.add(1, &[]);
        }
        if record.code == ResultCode::RateLimited.number() {
            self.rate_limit_refusals.add(1, &[]);
        }
        if record.code == ResultCode::ServiceSaturated.number() {
            self.slot_refusals.add(1, &[]);
        }
        if record.code == ResultCode::UnknownKey.number() {
            self.key_refusals.add(1, &[]);
        }
        if record.code == ResultCode::ConfigUnproved.number() {
            self.unproved_refusals.add(1, &[]);
        }
        if record.sends > 1 {
            self.extra_sends.add(u64::from(record.sends - 1), &[]);
        }
    }

    /// Records the time between two events of a stream, in milliseconds.
    pub fn record_event_gap(&self, gap_ms: u64) {
        self.event_gap.record(gap_ms as f64, &[]);
    }

    /// Records how long a generation waited for its engines, and whether their owner granted them.
    pub fn record_grant(&self, queue_ms: u64, is_by_owner: bool) {
        let source = GRANT_SOURCES[usize::from(!is_by_owner)];
        self.grants.add(1, &[KeyValue::new("way", source)]);
        self.queue_wait.record(queue_ms as f64, &[]);
    }

    /// Records the duration of a prefill, in milliseconds.
    pub fn record_prefill(&self, elapsed_ms: u64) {
        self.prefill.record(elapsed_ms as f64, &[]);
    }

    /// Counts the tokens of a prefilled prompt as moved to a decode engine, or as wasted.
    pub fn count_prompt_tokens(&self, tokens: u32, is_moved: bool) {
        let counter = if is_moved {
            &self.moved_tokens
        } else {
            &self.wasted_tokens
        };
        counter.add(u64::from(tokens), &[]);
    }

    /// Records the latency of a plain call beyond the time that its replica took, in milliseconds.
    pub fn record_added_latency(&self, added_ms: u64) {
        self.added.record(added_ms as f64, &[]);
    }

    /// Counts an extra send that the retry budget covered.
    pub fn count_budget_taken(&self) {
        self.budget_taken.add(1, &[]);
    }

    /// Counts extra sends that were given back to the retry budget since they were not made.
    pub fn count_budget_returned(&self, count: u32) {
        self.budget_returned.add(u64::from(count), &[]);
    }

    /// Counts a request that is sent to a replica.
    pub fn count_arrival(&self, stage: RunStage) {
        self.arrivals.add(1, &[KeyValue::new("stage", stage.as_str())]);
    }

    /// Counts a permit request by its outcome.
    pub fn count_permit(&self, decision: PermitDecision) {
        self.permits.add(1, &[KeyValue::new("fate", decision.as_str())]);
    }

    /// Counts the selection of a replica under admission control, by what became of its slot.
    pub fn count_send_slot(&self, decision: SlotDecision) {
        self.send_slots
            .add(1, &[KeyValue::new("fate", decision.as_str())]);
    }

    /// Records how long a send waited for its slot, in milliseconds.
    pub fn record_slot_wait(&self, wait_ms: u64) {
        self.slot_wait.record(wait_ms as f64, &[]);
    }

    /// Counts a request or a health check that is sent to a replica that reports a rate limit.
    pub fn count_limited_arrival(&self, replica: &ReplicaId) {
        self.limits.count_arrival(replica);
    }

    /// Counts a request that was charged to its workspace's quota, or refused.
    pub fn count_quota(&self, workspace: &Arc<str>, decision: QuotaDecision, units: u64) {
        self.quotas.count(workspace, decision, units);
    }

    /// Records how long a request waited for the tokens of its quota, in milliseconds.
    pub fn record_quota_wait(&self, elapsed_ms: u64) {
        self.quotas.record_wait(elapsed_ms);
    }

    /// Counts a caller's connection that was refused or closed early.
    pub fn count_closed(&self, reason: &'static str) {
        self.closed_callers.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records the memory that callers and replicas hold.
    pub fn record_memory(&self, memory: &MemoryAccount) {
        for kind in MemoryKind::ALL {
            let held_bytes = memory.held_bytes(kind) as u64;
            self.held_bytes
                .record(held_bytes, &[KeyValue::new("kind", kind.as_str())]);
        }
    }

    /// Counts an extra send that the retry budget did not cover.
    pub fn count_denied_send(&self) {
        self.denied_sends.add(1, &[]);
    }
}
