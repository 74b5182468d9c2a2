//! The engines that are placed for one attempt at a generation, released when the attempt ends or is dropped.

use std::sync::Arc;

use super::exchange::CallerRequest;
use super::{GatewayContext, RequestFacts};
use crate::blackboard::{ReplicaId, ReplicaRecord, ReplicaRole};
use crate::clock;
use crate::controllers::slots::{EngineOutcome, EnginePermits, PlacementGrant, PlacementRequest, RequestId};
use crate::prelude::*;
use crate::runtime::PlacementGuard;

/// Workspace of routed requests that have no other. They share one, so that they rank by their routes' rules
/// alone.
const ROUTED_WORKSPACE: &str = "routes";

/// Expected share of the maximum tokens that a request generates if its caller gives no estimate, in percent.
const EXPECTED_OUTPUT_PERCENT: u64 = 45;

/// Maximum number of stale grants that a request returns; the next grant is used even if it is stale.
const MAX_STALE_GRANTS: usize = 2;

/// Constraints on the engines for one attempt.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCriteria<'a> {
    /// Engines to avoid: earlier attempts were sent to them, or a grant of them was stale.
    pub avoid: &'a [ReplicaId],
    /// Whether an earlier attempt ran the prompt. The request then goes first and is served late rather than
    /// refused.
    pub has_prefilled_prompt: bool,
}

impl PlacementCriteria<'_> {
    fn with_avoided<'b>(&self, avoid: &'b [ReplicaId]) -> PlacementCriteria<'b> {
        PlacementCriteria {
            avoid,
            has_prefilled_prompt: self.has_prefilled_prompt,
        }
    }
}

/// The engines that a request holds until this is dropped.
pub struct EnginePlacement {
    context: Arc<GatewayContext>,
    guard: PlacementGuard,
    /// The engine that generates the answer.
    pub decode: Arc<ReplicaRecord>,
    /// The engine that runs the prompt; `None` if the decode engine does.
    pub prefill: Option<Arc<ReplicaRecord>>,
    /// Permits for those of the engines that report rate limits.
    pub permits: EnginePermits,
}

impl EnginePlacement {
    /// Waits until engines are granted. Grants are returned and requested again if an engine is not eligible.
    pub async fn acquire(
        context: &Arc<GatewayContext>,
        request: &CallerRequest,
        criteria: PlacementCriteria<'_>,
    ) -> Result<Self, RefusalNotice> {
        let mut avoid = criteria.avoid.to_vec();
        for _ in 0..MAX_STALE_GRANTS {
            let placement = Self::request_once(context, request, criteria.with_avoided(&avoid)).await?;
            if let Some(stale) = placement.find_withheld() {
                spdlog::info!("event=grant_stale request={} engine={stale}", request.facts.id);
                avoid.push(stale);
            } else if let Some(stale) = placement.find_unpermitted() {
                // The owner did not know the engine's rate limit yet, so a new request gets a permit.
                spdlog::info!("event=grant_stale request={} engine={stale}", request.facts.id);
            } else {
                return Ok(placement);
            }
        }
        Self::request_once(context, request, criteria.with_avoided(&avoid)).await
    }

    async fn request_once(
        context: &Arc<GatewayContext>,
        request: &CallerRequest,
        criteria: PlacementCriteria<'_>,
    ) -> Result<Self, RefusalNotice> {
        let id = context.next_request_id();
        let requested_at = clock::now();
        let placement_request = to_placement_request(context, &id, request, criteria);
        let placed = PlacementGuard::acquire(&context.control, placement_request).await;
        let queue_ms = requested_at.until_ms(clock::now());
        let (guard, grant) = placed.map_err(|notice| {
            trace_refusal(request, &id, &notice, queue_ms);
            with_first_backoff_end(context, request, notice)
        })?;
        let snapshot = context.snapshot();
        let record = |id: &ReplicaId| snapshot.replicas.get(id).map(|facts| facts.record.clone());
        let Some(decode) = record(&grant.decode) else {
            // This node does not know the granted engine; dropping `guard` returns the grant.
            return Err(RefusalNotice::new(
                ResultCode::NoUpstream,
                grant.decode.to_string(),
            ));
        };
        trace_grant(context, request, &id, &grant, queue_ms);
        Ok(Self {
            context: context.clone(),
            guard,
            decode,
            prefill: grant.prefill.as_ref().and_then(record),
            permits: grant.permits,
        })
    }

    /// Finds a granted engine that this VM must not send to: it requested backoff or is leaving, and reported
    /// that after the placement request or without the owner's knowledge.
    fn find_withheld(&self) -> Option<ReplicaId> {
        let now = clock::now();
        let engines = std::iter::once(&self.decode).chain(&self.prefill);
        self.context.with_selector(|selector| {
            let mut withheld = engines.filter(|record| selector.is_withheld(record, now));
            withheld.next().map(|record| record.id.clone())
        })
    }

    /// Finds a granted engine that reports a rate limit and for which there is no permit.
    fn find_unpermitted(&self) -> Option<ReplicaId> {
        let snapshot = self.context.snapshot();
        let decode = Some(&self.decode).filter(|_| !self.permits.decode);
        let prefill = self.prefill.as_ref().filter(|_| !self.permits.prefill);
        let mut engines = decode.into_iter().chain(prefill);
        engines
            .find(|record| snapshot.is_limited(record))
            .map(|record| record.id.clone())
    }

    /// Records whether the request was sent to the prefill engine.
    pub fn set_prefill_sent(&mut self, is_sent: bool) {
        self.guard.result.sent.prefill = is_sent;
    }

    /// Records whether the request was sent to the decode engine.
    pub fn set_decode_sent(&mut self, is_sent: bool) {
        self.guard.result.sent.decode = is_sent;
    }

    /// Reports to the owner that the prefill engine can take its next prompt.
    pub fn finish_prefill(&mut self, outcome: EngineOutcome) {
        self.guard.result.prefill = outcome;
        self.guard.finish_prefill(outcome);
    }

    /// Records the decode engine's mean time between tokens over a complete answer, whose last event came
    /// `span_ms` milliseconds after the first.
    pub fn record_token_gap(&mut self, events: u64, span_ms: u64) {
        let event_tokens = self.context.event_tokens(&self.decode.service);
        let tokens = events.saturating_sub(1) * event_tokens;
        let token_gap_us = (span_ms * 1_000).checked_div(tokens).unwrap_or_default();
        self.guard.result.token_gap_us = token_gap_us;
        if token_gap_us > 0 {
            self.context.record_token_gap(&self.decode.service, token_gap_us);
        }
    }

    /// Records the outcome at the decode engine.
    pub fn record_decode(&mut self, outcome: EngineOutcome) {
        self.guard.result.decode = outcome;
    }

    /// Records the time from the start of the send to the decode engine until its response, in milliseconds.
    pub fn record_handover(&mut self, span_ms: u64) {
        self.guard.result.handover_ms = span_ms;
    }
}

fn to_placement_request(
    context: &GatewayContext,
    id: &RequestId,
    request: &CallerRequest,
    criteria: PlacementCriteria<'_>,
) -> PlacementRequest {
    let (facts, rule) = (&request.facts, &request.rule);
    let fresh = PlacementRequest {
        request: id.clone(),
        workspace: request
            .workspace
            .as_ref()
            .map_or_else(|| ROUTED_WORKSPACE.into(), |workspace| workspace.name.clone()),
        model: request.service.clone(),
        priority: if criteria.has_prefilled_prompt {
            request.started_priority
        } else {
            request.priority
        },
        zone: context.own.zone.clone(),
        features: request.features.clone(),
        prompt_tokens: facts.prompt_tokens,
        max_tokens: facts.output_tokens,
        expected_tokens: expected_tokens(facts),
        first_token_target: request.received_at.after_ms(rule.latency_objective_ms),
        first_token_deadline: request.received_at.after_ms(rule.patience_ms()),
        prefix: Vec::new(),
        deadline: request.deadline.max(clock::now()),
        may_be_late: criteria.has_prefilled_prompt,
        may_skip_prefill: true,
        is_retry: false,
        avoid: criteria.avoid.to_vec(),
        excluded: context.with_selector(|selector| selector.withheld(&request.service, clock::now())),
        cut_at: None,
    };
    let (events, last_event_at) = {
        let record = request.trace.record();
        (record.events, record.last_event_at)
    };
    match last_event_at {
        Some(last_event_at) => to_resumed_request(fresh, context, request, events, last_event_at),
        None => fresh,
    }
}

/// Adjusts a placement request to resume a stream: its caller waits for the next event instead of the first,
/// the tokens generated so far count as prompt, and it goes before requests that have not begun.
fn to_resumed_request(
    fresh: PlacementRequest,
    context: &GatewayContext,
    request: &CallerRequest,
    events: u64,
    last_event_at: Moment,
) -> PlacementRequest {
    let rule = &request.rule;
    let done_tokens = generated_tokens(context, &request.service, events);
    PlacementRequest {
        priority: request.started_priority,
        may_be_late: true,
        prompt_tokens: fresh.prompt_tokens.saturating_add(done_tokens),
        max_tokens: fresh.max_tokens.saturating_sub(done_tokens).max(1),
        expected_tokens: fresh.expected_tokens.saturating_sub(done_tokens).max(1),
        first_token_target: last_event_at.after_ms(rule.gap_objective_ms),
        first_token_deadline: last_event_at.after_ms(rule.patience_ms()),
        ..fresh
    }
}

/// Adds to a refusal for lack of engines when the first backoff ends, if all engines requested backoff.
fn with_first_backoff_end(
    context: &GatewayContext,
    request: &CallerRequest,
    notice: RefusalNotice,
) -> RefusalNotice {
    let now = clock::now();
    let first = context
        .with_selector(|selector| selector.first_backoff_end(&request.service, ReplicaRole::Decode, now));
    match first {
        Some(first) if notice.code == ResultCode::NoUpstream => notice.retry_after_ms(now.until_ms(first)),
        _ => notice,
    }
}

/// Logs the refusal of a placement and adds the time until it to the request's trace.
fn trace_refusal(request: &CallerRequest, attempt_id: &RequestId, notice: &RefusalNotice, queue_ms: u64) {
    request.trace.record().queue_ms += queue_ms;
    spdlog::info!(
        "event=not_granted request={} place={attempt_id} code={} queue_ms={queue_ms} detail=\"{}\" retry_after_ms={}",
        request.facts.id,
        notice.code.number(),
        notice.detail,
        notice.retry_after_ms.unwrap_or_default()
    );
}

/// Returns how many tokens a stream has generated in so many events.
pub(super) fn generated_tokens(context: &GatewayContext, service: &str, events: u64) -> u32 {
    let tokens = events.saturating_mul(context.event_tokens(service));
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Estimates how many tokens a request generates.
pub(super) fn expected_tokens(facts: &RequestFacts) -> u32 {
    let usual = u64::from(facts.output_tokens) * EXPECTED_OUTPUT_PERCENT / 100;
    let expected = facts.expected_tokens.map_or(usual, u64::from);
    expected.min(u64::from(facts.output_tokens)) as u32
}

/// Logs a grant and records it in the metrics and in the request's trace.
fn trace_grant(
    context: &GatewayContext,
    request: &CallerRequest,
    attempt_id: &RequestId,
    grant: &PlacementGrant,
    queue_ms: u64,
) {
    context.metrics.record_grant(queue_ms, grant.granted_by.is_some());
    spdlog::info!(
        "event=granted request={} place={attempt_id} decode={} prefill={} granted_by={} queue_ms={queue_ms} list_revision={}",
        request.facts.id,
        grant.decode,
        grant.prefill.as_deref().unwrap_or("-"),
        grant.granted_by.as_deref().unwrap_or("-"),
        context.snapshot().list_position
    );
    let mut record = request.trace.record();
    record.queue_ms += queue_ms;
    record.prefill = grant.prefill.clone();
    record.granted_by = grant.granted_by.clone();
}
