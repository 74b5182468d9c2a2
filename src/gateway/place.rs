//! The engines of one attempt at a generation, given back when the attempt ends in whatever way.

use std::sync::Arc;

use super::exchange::CallerRequest;
use super::{GatewayContext, RequestFacts};
use crate::blackboard::{ReplicaId, ReplicaRecord, ReplicaRole};
use crate::clock;
use crate::controllers::slots::{EngineOutcome, EnginePermits, PlacementGrant, PlacementRequest, RequestId};
use crate::prelude::*;
use crate::runtime::PlacementGuard;

/// The workspace of all routed requests: their callers' requests are ranked by route alone.
const ROUTED_WORKSPACE: &str = "routes";

/// The part of the most tokens that a request is expected to generate where its caller gives no estimate, in percent.
const EXPECTED_PERCENT: u64 = 45;

/// The rank of whoever has begun, who goes before whoever has not: what was done for it would be in vain.
const BEGUN_PRIORITY: u32 = 0;

/// Grants of engines that take nothing from this VM which are given back before a request goes on with one.
const MOST_STALE_GRANTS: usize = 2;

/// What an attempt needs of its engines.
#[derive(Clone, Copy, Debug)]
pub struct PlaceNeed<'a> {
    /// Decode engines that are passed over.
    pub avoid: &'a [ReplicaId],
    /// Whether its prompt was run by an earlier attempt. It is then served first, and late rather than refused.
    pub has_prompt: bool,
}

impl PlaceNeed<'_> {
    fn with<'b>(&self, avoid: &'b [ReplicaId]) -> PlaceNeed<'b> {
        PlaceNeed {
            avoid,
            has_prompt: self.has_prompt,
        }
    }
}

/// A request's hold on its engines.
pub struct EnginePlace {
    context: Arc<GatewayContext>,
    hold: PlacementGuard,
    /// The decode engine.
    pub decode: Arc<ReplicaRecord>,
    /// The prefill engine; `None` where the decode engine runs the prompt itself.
    pub prefill: Option<Arc<ReplicaRecord>>,
    /// Which of them may be sent to though they name limits.
    pub permits: EnginePermits,
}

impl EnginePlace {
    /// Waits for engines.
    pub async fn acquire(
        context: &Arc<GatewayContext>,
        request: &CallerRequest,
        need: PlaceNeed<'_>,
    ) -> Result<Self, RefusalNotice> {
        let mut avoid = need.avoid.to_vec();
        for _ in 0..MOST_STALE_GRANTS {
            let place = Self::ask_once(context, request, need.with(&avoid)).await?;
            if let Some(stale) = place.find_withheld() {
                spdlog::info!("event=grant_stale request={} engine={stale}", request.facts.id);
                avoid.push(stale);
            } else if let Some(stale) = place.find_unpermitted() {
                // Its owner knew of no limit yet.
                spdlog::info!("event=grant_stale request={} engine={stale}", request.facts.id);
            } else {
                return Ok(place);
            }
        }
        Self::ask_once(context, request, need.with(&avoid)).await
    }

    async fn ask_once(
        context: &Arc<GatewayContext>,
        request: &CallerRequest,
        need: PlaceNeed<'_>,
    ) -> Result<Self, RefusalNotice> {
        let id = context.next_request_id();
        let asked_at = clock::now();
        let ask = to_ask(context, &id, request, need);
        let placed = PlacementGuard::acquire(&context.control, ask).await;
        let queue_ms = asked_at.until_ms(clock::now());
        let (hold, grant) = placed.map_err(|notice| {
            note_refusal(request, &id, &notice, queue_ms);
            with_first_return(context, request, notice)
        })?;
        let snapshot = context.snapshot();
        let record = |id: &ReplicaId| snapshot.replicas.get(id).map(|facts| facts.record.clone());
        let Some(decode) = record(&grant.decode) else {
            // The grant names an engine that this node does not know; it is given back.
            return Err(RefusalNotice::new(
                ResultCode::NoUpstream,
                grant.decode.to_string(),
            ));
        };
        note_grant(context, request, &id, &grant, queue_ms);
        Ok(Self {
            context: context.clone(),
            hold,
            decode,
            prefill: grant.prefill.as_ref().and_then(record),
            permits: grant.permits,
        })
    }

    /// A granted engine that takes nothing from this VM: what it said came after the ask, or its owner did not hear of it.
    fn find_withheld(&self) -> Option<ReplicaId> {
        let now = clock::now();
        let engines = std::iter::once(&self.decode).chain(&self.prefill);
        self.context.with_book(|book| {
            let mut withheld = engines.filter(|record| book.is_withheld(record, now));
            withheld.next().map(|record| record.id.clone())
        })
    }

    /// A granted engine that names a limit and may not be sent to.
    fn find_unpermitted(&self) -> Option<ReplicaId> {
        let snapshot = self.context.snapshot();
        let decode = Some(&self.decode).filter(|_| !self.permits.decode);
        let prefill = self.prefill.as_ref().filter(|_| !self.permits.prefill);
        let mut engines = decode.into_iter().chain(prefill);
        engines
            .find(|record| snapshot.is_limited(record))
            .map(|record| record.id.clone())
    }

    /// Notes whether the prefill engine has been sent the request.
    pub fn set_prefill_sent(&mut self, is_sent: bool) {
        self.hold.result.sent.prefill = is_sent;
    }

    /// Notes whether the decode engine has been sent the request.
    pub fn set_decode_sent(&mut self, is_sent: bool) {
        self.hold.result.sent.decode = is_sent;
    }

    /// Tells the owner that the prefill engine can take its next prompt.
    pub fn finish_prefill(&mut self, end: EngineOutcome) {
        self.hold.result.prefill = end;
        self.hold.finish_prefill(end);
    }

    /// Notes the engine's pace over the events of a whole answer.
    pub fn note_pace(&mut self, events: u64, span_ms: u64) {
        let event_tokens = self.context.event_tokens(&self.decode.service);
        let tokens = events.saturating_sub(1) * event_tokens;
        self.hold.result.token_gap_us = (span_ms * 1_000).checked_div(tokens).unwrap_or_default();
    }

    /// Notes how the decode engine behaved.
    pub fn note_decode(&mut self, end: EngineOutcome) {
        self.hold.result.decode = end;
    }

    /// Notes the time from the prefill's end to the first event, in milliseconds.
    pub fn note_handover(&mut self, span_ms: u64) {
        self.hold.result.handover_ms = span_ms;
    }
}

fn to_ask(
    context: &GatewayContext,
    id: &RequestId,
    request: &CallerRequest,
    need: PlaceNeed<'_>,
) -> PlacementRequest {
    let (facts, rule) = (&request.facts, &request.rule);
    let fresh = PlacementRequest {
        request: id.clone(),
        workspace: ROUTED_WORKSPACE.into(),
        model: request.service.clone(),
        priority: if need.has_prompt {
            BEGUN_PRIORITY
        } else {
            rule.priority
        },
        zone: context.own.zone.clone(),
        fingerprint: request.fingerprint,
        prompt_tokens: facts.prompt_tokens,
        max_tokens: facts.output_tokens,
        expected_tokens: expected_tokens(facts),
        first_token_target: request.received_at.after_ms(rule.latency_objective_ms),
        first_token_deadline: request.received_at.after_ms(rule.patience_ms()),
        prefix: Vec::new(),
        deadline: request.deadline.max(clock::now()),
        may_be_late: need.has_prompt,
        may_skip_prefill: true,
        is_retry: false,
        avoid: need.avoid.to_vec(),
        excluded: context.with_book(|book| book.withheld(&request.service, clock::now())),
    };
    let (events, last_event_at) = {
        let record = request.trace.record();
        (record.events, record.last_event_at)
    };
    match last_event_at {
        Some(last_event_at) => to_resumed(fresh, context, request, events, last_event_at),
        None => fresh,
    }
}

/// What a stream still needs that has come to an event: its caller waits for the next one, not for the first, what was
/// generated belongs to the prompt, and whoever has begun goes before whoever has not.
fn to_resumed(
    fresh: PlacementRequest,
    context: &GatewayContext,
    request: &CallerRequest,
    events: u64,
    last_event_at: Moment,
) -> PlacementRequest {
    let rule = &request.rule;
    let done_tokens = events.saturating_mul(context.event_tokens(&request.service));
    let done_tokens = u32::try_from(done_tokens).unwrap_or(u32::MAX);
    PlacementRequest {
        priority: BEGUN_PRIORITY,
        may_be_late: true,
        prompt_tokens: fresh.prompt_tokens.saturating_add(done_tokens),
        max_tokens: fresh.max_tokens.saturating_sub(done_tokens).max(1),
        expected_tokens: fresh.expected_tokens.saturating_sub(done_tokens).max(1),
        first_token_target: last_event_at.after_ms(rule.gap_objective_ms),
        first_token_deadline: last_event_at.after_ms(rule.patience_ms()),
        ..fresh
    }
}

/// A refusal for want of engines that says when the first one takes requests of this VM again, where all back off.
fn with_first_return(
    context: &GatewayContext,
    request: &CallerRequest,
    notice: RefusalNotice,
) -> RefusalNotice {
    let now = clock::now();
    let first = context.with_book(|book| book.first_backoff_end(&request.service, ReplicaRole::Decode, now));
    match first {
        Some(first) if notice.code == ResultCode::NoUpstream => notice.retry_after_ms(now.until_ms(first)),
        _ => notice,
    }
}

/// Notes what a request that gets no engines was told, and how long it waited for that.
fn note_refusal(request: &CallerRequest, place: &RequestId, notice: &RefusalNotice, queue_ms: u64) {
    request.trace.record().queue_ms += queue_ms;
    spdlog::info!(
        "event=not_granted request={} place={place} code={} queue_ms={queue_ms} detail=\"{}\" retry_after_ms={}",
        request.facts.id,
        notice.code.number(),
        notice.detail,
        notice.retry_after_ms.unwrap_or_default()
    );
}

/// Tokens that a request will probably generate.
fn expected_tokens(facts: &RequestFacts) -> u32 {
    let usual = u64::from(facts.output_tokens) * EXPECTED_PERCENT / 100;
    let expected = facts.expected_tokens.map_or(usual, u64::from);
    expected.min(u64::from(facts.output_tokens)) as u32
}

fn note_grant(
    context: &GatewayContext,
    request: &CallerRequest,
    place: &RequestId,
    grant: &PlacementGrant,
    queue_ms: u64,
) {
    context.metrics.note_grant(queue_ms, grant.granted_by.is_some());
    spdlog::info!(
        "event=granted request={} place={place} decode={} prefill={} granted_by={} queue_ms={queue_ms} list_revision={}",
        request.facts.id,
        grant.decode,
        grant.prefill.as_deref().unwrap_or("-"),
        grant.granted_by.as_deref().unwrap_or("-"),
        context.snapshot().list_revision
    );
    let mut record = request.trace.record();
    record.queue_ms += queue_ms;
    record.prefill = grant.prefill.clone();
    record.granted_by = grant.granted_by.clone();
}
