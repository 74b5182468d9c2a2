//! What became of one request, step by step; its last line says all of it once more.

use std::sync::{Arc, Mutex, MutexGuard};

use super::{GatewayContext, RequestFacts};
use crate::clock;
use crate::prelude::*;
use crate::register::RouteRule;
use crate::runtime::{Snapshot, lock};

/// How a request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// The caller has a replica's whole answer.
    Served,
    /// A replica's own failure was passed on.
    ReplicaFailed,
    /// It was refused, and has not run.
    Refused,
    /// It failed after it may have run.
    Failed,
    /// The answer broke off midway.
    Cut,
    /// The caller left before the answer was whole.
    #[default]
    CallerGone,
}

impl RequestOutcome {
    /// All outcomes.
    pub const ALL: [Self; 6] = [
        Self::Served,
        Self::ReplicaFailed,
        Self::Refused,
        Self::Failed,
        Self::Cut,
        Self::CallerGone,
    ];

    /// The word used in logs and metrics.
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

/// The steps of a request so far.
#[derive(Clone, Debug, Default)]
pub struct TraceRecord {
    /// How it ended.
    pub outcome: RequestOutcome,
    /// The result code of a refusal; zero where there is none.
    pub code: u16,
    /// The status that the caller got; zero where it got none.
    pub status: u16,
    /// The replica that was asked last.
    pub replica: Option<Arc<str>>,
    /// The engine that ran the prompt.
    pub prefill: Option<Arc<str>>,
    /// The VM that granted the engines; `None` where this VM chose.
    pub granted_by: Option<Arc<str>>,
    /// Sends of which bytes left.
    pub sends: u32,
    /// How long it waited for engines, in milliseconds.
    pub queue_ms: u64,
    /// How long its prompt took, in milliseconds.
    pub prefill_ms: u64,
    /// How long its first event, or its answer, took since it was read, in milliseconds.
    pub first_ms: u64,
    /// Events that were passed on.
    pub events: u64,
    /// When the first event was passed on.
    pub first_event_at: Option<Moment>,
    /// When the last event was passed on.
    pub last_event_at: Option<Moment>,
}

impl TraceRecord {
    /// How many events were passed on, and the time from the first to the last, in milliseconds.
    pub fn stream_span(&self) -> (u64, u64) {
        let ends = self.first_event_at.zip(self.last_event_at);
        (self.events, ends.map_or(0, |(first, last)| first.until_ms(last)))
    }
}

/// Follows one request, and logs how it ended when it is dropped.
pub struct RequestTrace {
    context: Arc<GatewayContext>,
    request: String,
    rule: Arc<RouteRule>,
    received_at: Moment,
    revision: Revision,
    list_revision: u64,
    record: Mutex<TraceRecord>,
}

impl RequestTrace {
    /// Begins with the route that was found.
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
            list_revision: snapshot.list_revision,
            record: Mutex::default(),
        }
    }

    /// The steps so far.
    pub fn record(&self) -> MutexGuard<'_, TraceRecord> {
        lock(&self.record)
    }

    /// Milliseconds since the request was read.
    pub fn elapsed_ms(&self) -> u64 {
        self.received_at.until_ms(clock::now())
    }

    /// Notes how the request ended.
    pub fn end(&self, outcome: RequestOutcome, status: u16) {
        let mut record = self.record();
        record.outcome = outcome;
        record.status = status;
    }

    /// Notes that the answer, or the first event, is there.
    pub fn note_first(&self) {
        let elapsed_ms = self.elapsed_ms();
        let mut record = self.record();
        if record.first_ms == 0 {
            record.first_ms = elapsed_ms.max(1);
        }
    }

    fn write_line(&self, record: &TraceRecord) -> String {
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
            self.list_revision
        )
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        let record = self.record().clone();
        self.context
            .metrics
            .note_end(self.rule.kind, &record, self.elapsed_ms());
        let line = self.write_line(&record);
        if record.outcome == RequestOutcome::Served {
            spdlog::info!("{line}");
        } else {
            spdlog::error!("{line}");
        }
    }
}
