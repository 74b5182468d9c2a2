//! The steps and the outcome of one request, logged as one `ended` line when it is over.

use std::sync::{Arc, Mutex, MutexGuard};

use super::{GatewayContext, RequestFacts};
use crate::clock;
use crate::prelude::*;
use crate::register::RouteRule;
use crate::runtime::{Snapshot, lock};

/// The outcome of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// The caller got a replica's complete answer.
    Served,
    /// A replica's own error was forwarded.
    ReplicaFailed,
    /// The request was refused and has not run.
    Refused,
    /// The request failed, and may have run.
    Failed,
    /// The answer is truncated.
    Cut,
    /// The caller disconnected before the answer was complete.
    #[default]
    CallerGone,
}

impl RequestOutcome {
    /// All outcomes, in the order of their declaration.
    pub const ALL: [Self; 6] = [
        Self::Served,
        Self::ReplicaFailed,
        Self::Refused,
        Self::Failed,
        Self::Cut,
        Self::CallerGone,
    ];

    /// Returns the outcome's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::ReplicaFailed => "replica_failed",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Cut => "cut",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// Progress and outcome of a request so far.
#[derive(Clone, Debug, Default)]
pub struct TraceRecord {
    /// The outcome; `CallerGone` until another one is set.
    pub outcome: RequestOutcome,
    /// The result code of a refusal; zero if the request was not refused.
    pub code: u16,
    /// The HTTP status that the caller got; zero if it got none.
    pub status: u16,
    /// The replica that the request was last sent to; for a generation the decode engine.
    pub replica: Option<Arc<str>>,
    /// The prefill engine that was granted last.
    pub prefill: Option<Arc<str>>,
    /// The VM that granted the engines; `None` if this VM chose them itself.
    pub granted_by: Option<Arc<str>>,
    /// Number of sends to replicas; includes those that failed before a byte left.
    pub sends: u32,
    /// Time spent waiting for engines, in milliseconds.
    pub queue_ms: u64,
    /// Duration of the last prefill, in milliseconds.
    pub prefill_ms: u64,
    /// Time from the request's receipt to its first event or its answer, in milliseconds; zero before that.
    pub first_ms: u64,
    /// Number of events forwarded to the caller.
    pub events: u64,
    /// When the first event was forwarded.
    pub first_event_at: Option<Moment>,
    /// When the last event was forwarded.
    pub last_event_at: Option<Moment>,
}

impl TraceRecord {
    /// Returns the number of forwarded events, and the time from the first to the last in milliseconds.
    pub fn event_span(&self) -> (u64, u64) {
        let ends = self.first_event_at.zip(self.last_event_at);
        (self.events, ends.map_or(0, |(first, last)| first.until_ms(last)))
    }
}

/// Records one request. Logs and counts its outcome on drop.
pub struct RequestTrace {
    context: Arc<GatewayContext>,
    request: String,
    rule: Arc<RouteRule>,
    received_at: Moment,
    revision: Revision,
    list_position: StorePosition,
    record: Mutex<TraceRecord>,
}

impl RequestTrace {
    /// Starts the trace of a request once its route is known.
    pub fn new(
        context: &Arc<GatewayContext>,
        facts: &RequestFacts,
        rule: &Arc<RouteRule>,
        received_at: Moment,
        snapshot: &Snapshot,
    ) -> Self {
        Self {
            context: context.clone(),
            request: facts.id.clone(),
            rule: rule.clone(),
            received_at,
            revision: snapshot.revision,
            list_position: snapshot.list_position,
            record: Mutex::default(),
        }
    }

    /// Locks the record; the lock must not be held while the trace is dropped or locked again.
    pub fn record(&self) -> MutexGuard<'_, TraceRecord> {
        lock(&self.record)
    }

    /// Returns the time since the request was received, in milliseconds.
    pub fn elapsed_ms(&self) -> u64 {
        self.received_at.until_ms(clock::now())
    }

    /// Records the outcome and the status that the caller gets.
    pub fn end(&self, outcome: RequestOutcome, status: u16) {
        let mut record = self.record();
        record.outcome = outcome;
        record.status = status;
    }

    /// Records the time of the first event or of the answer; later calls change nothing.
    pub fn record_first_output(&self) {
        let elapsed_ms = self.elapsed_ms();
        let mut record = self.record();
        if record.first_ms == 0 {
            record.first_ms = elapsed_ms.max(1);
        }
    }

    fn format_line(&self, record: &TraceRecord) -> String {
        let name = |id: &Option<Arc<str>>| id.clone().unwrap_or_else(|| "-".into());
        format!(
            "event=ended request={} route={} kind={} outcome={} code={} status={} replica={} prefill={} granted_by={} \
             sends={} queue_ms={} prefill_ms={} first_ms={} events={} idle_ms={} total_ms={} revision={} list_revision={}",
            self.request,
            self.rule.name,
            self.rule.kind.as_str(),
            record.outcome.as_str(),
            record.code,
            record.status,
            name(&record.replica),
            name(&record.prefill),
            name(&record.granted_by),
            record.sends,
            record.queue_ms,
            record.prefill_ms,
            record.first_ms,
            record.events,
            record.last_event_at.map_or(0, |at| at.until_ms(clock::now())),
            self.elapsed_ms(),
            self.revision,
            self.list_position
        )
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        let record = self.record().clone();
        self.context
            .metrics
            .record_end(self.rule.kind, &record, self.elapsed_ms());
        let line = self.format_line(&record);
        if record.outcome == RequestOutcome::Served {
            self.context.record_span(&self.rule.name, self.elapsed_ms());
            spdlog::info!("{line}");
        } else {
            spdlog::error!("{line}");
        }
    }
}
