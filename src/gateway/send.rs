//! One send of a plain call to a replica.

use std::sync::Arc;

use super::answer_end::{check_end, is_event_stream};
use super::answer_write::AnswerBuffer;
use super::dispatch::DispatchLease;
use super::exchange::CallerRequest;
use super::loss::{LostSend, RunStage, report_loss};
use super::quota_permit::count_quota_send;
use super::rate_permit::exchange_permitted;
use super::relay::{BrokenAnswer, record_broken_answer};
use super::sse::ends_inside_event;
use super::upstream::{ConnectionChoice, ExchangeError, UpstreamAnswer, UpstreamRequest, needs_watch};
use super::verdict::{AnswerVerdict, classify_answer, is_not_run, outcome_word};
use super::{GatewayContext, SendOrder, SendPurpose};
use crate::blackboard::ReplicaId;
use crate::controllers::dispatch::SendOutcome;
use crate::http::ResponseHead;
use crate::prelude::*;
use crate::register::RouteKind;
use crate::runtime::{RatePermit, RunPermit};
use crate::transport::{StreamError, until};

/// Longest response body that is buffered before it is passed on, in bytes; less is buffered while memory is
/// short. If a buffered response breaks
/// off, the call can be retried at another replica.
const MAX_BUFFERED_BODY_BYTES: usize = 256 * 1024;

/// Result of one send.
pub enum SendResult {
    /// The replica's complete response.
    Answer(ResponseHead, AnswerBuffer),
    /// The replica's response, too long to buffer, and the part of its body read so far.
    LongAnswer(Box<UpstreamAnswer>, AnswerBuffer, Box<SendAdmission>),
    /// An error response that the replica signed as its own.
    OwnError(ResponseHead, AnswerBuffer),
    /// No byte of the request left.
    Unsent,
    /// Nothing was sent: the replica now reports a rate limit and the send has no permit.
    Unpermitted(ReplicaId),
    /// Nothing was sent, and nothing may be: the caller's API key does not permit it now.
    Denied(RefusalNotice),
    /// There is no response to pass on; the request's exposure tells whether it may have run.
    Unanswered,
}

/// The slot and permits that one send holds.
pub struct SendAdmission {
    /// The send's slot at a replica.
    pub lease: DispatchLease,
    /// Permit to run the request, from the quarantine of requests suspected of crashing upstreams.
    pub permit: RunPermit,
    /// Permit of the rate limit; `None` if the replica reports no limit.
    pub rate_permit: Option<RatePermit>,
}

/// Sends a call to a replica and reads its response.
pub async fn send_once(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    admission: SendAdmission,
) -> SendResult {
    let SendAdmission {
        lease,
        permit,
        rate_permit,
    } = admission;
    let choice = match request.rule.kind {
        // A watched connection is known to reach the replica, so its loss counts against this request.
        _ if needs_watch(context, request, &permit) => ConnectionChoice::Watched,
        RouteKind::Idempotent => ConnectionChoice::Pooled,
        RouteKind::RunOnce | RouteKind::Stream { .. } => ConnectionChoice::Proven,
    };
    let order = SendOrder {
        replica: lease.replica(),
        purpose: SendPurpose::Run,
        limit_ms: request.remaining_ms(),
        body_bytes: request.body_bytes(),
        last_event: None,
        workspace: request.workspace_header(),
        keeps_connection: choice != ConnectionChoice::Watched,
    };
    let upstream_request = UpstreamRequest {
        replica: lease.replica(),
        caller: Some(request),
        method: &request.head.method,
        head: context.protocol.write_request(&request.head, &order),
        body: Some(&request.body),
        request_id: &request.facts.id,
        stage: Some(RunStage::Call),
        has_permit: rate_permit.is_some(),
        choice,
        deadline: request.deadline,
    };
    record_send(request, lease.id());
    let exposure = request.exposure.begin_send();
    let send = exchange_permitted(context, upstream_request, rate_permit.as_ref());
    let outcome = count_quota_send(request, send).await;
    let verdict = outcome
        .as_ref()
        .map(|answer| classify_answer(answer, &request.facts.id));
    spdlog::info!(
        "event=sent request={} route={} replica={} outcome={} send={} ahead={} free_beside={} elapsed_ms={} total_ms={}",
        request.facts.id,
        request.rule.name,
        lease.id(),
        outcome_word(&verdict),
        request.trace.record().sends,
        lease.evidence().requests_ahead,
        lease.evidence().free_slots_elsewhere,
        lease.elapsed_ms(),
        request.trace.elapsed_ms()
    );
    if is_not_run(&verdict) {
        exposure.withdraw();
    }
    match outcome {
        Ok(answer) => {
            let verdict = classify_answer(&answer, &request.facts.id);
            let admission = SendAdmission {
                lease,
                permit,
                rate_permit,
            };
            finish_send(context, request, admission, answer, verdict).await
        }
        Err(ExchangeError::Unsent { .. }) => {
            lease.finish(SendOutcome::Failed);
            SendResult::Unsent
        }
        Err(ExchangeError::Withheld) => {
            lease.finish(SendOutcome::Refused);
            SendResult::Unsent
        }
        Err(ExchangeError::Unpermitted) => {
            let replica = lease.id().clone();
            lease.finish(SendOutcome::Refused);
            SendResult::Unpermitted(replica)
        }
        Err(ExchangeError::Denied { notice }) => {
            // The replica is as usable as before.
            drop(lease);
            SendResult::Denied(notice)
        }
        Err(ExchangeError::Lost {
            is_disconnect,
            contact,
            ..
        }) => {
            let (replica, began_at) = (lease.replica().clone(), lease.began_at());
            lease.finish(SendOutcome::Failed);
            if is_disconnect {
                let lost = LostSend {
                    permit: &permit,
                    replica: &replica,
                    stage: RunStage::Call,
                    began_at,
                    contact,
                };
                report_loss(context, request, lost).await;
            }
            SendResult::Unanswered
        }
        Err(ExchangeError::Deadline) => {
            drop(lease);
            SendResult::Unanswered
        }
    }
}

/// Acts on the verdict on a response and reads its body.
async fn finish_send(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    admission: SendAdmission,
    mut answer: UpstreamAnswer,
    verdict: AnswerVerdict,
) -> SendResult {
    let SendAdmission {
        mut lease,
        permit,
        rate_permit,
    } = admission;
    if let Some(load) = answer.facts.load {
        lease.record_load(load);
    }
    match verdict {
        AnswerVerdict::Misdirected => {
            let replica = lease.id().clone();
            context.control.send_event(Event::ReplicaReplaced { replica });
            lease.finish(SendOutcome::Failed);
            return SendResult::Unanswered;
        }
        AnswerVerdict::NotRun => {
            lease.finish(SendOutcome::Refused);
            return SendResult::Unanswered;
        }
        AnswerVerdict::Untrusted => {
            lease.finish(SendOutcome::Failed);
            return SendResult::Unanswered;
        }
        AnswerVerdict::Final | AnswerVerdict::OwnError => {}
    }
    let mut body = AnswerBuffer::begin(&context.memory);
    match until(request.deadline, buffer_body(&mut answer, &mut body)).await {
        Some(Ok(false)) => {
            let admission = SendAdmission {
                lease,
                permit,
                rate_permit,
            };
            SendResult::LongAnswer(Box::new(answer), body, Box::new(admission))
        }
        Some(Ok(true)) => {
            let is_inside = is_event_stream(&answer.head) && ends_inside_event(body.as_slice());
            let end = check_end(context, request, &mut answer, lease.replica(), is_inside).await;
            if let Err(broken_end) = end {
                let broken = BrokenAnswer::from_end(answer.framing, broken_end);
                record_broken_answer(context, request, lease, &permit, broken).await;
                return SendResult::Unanswered;
            }
            let head = answer.head.clone();
            answer.release(context, lease.id());
            permit.report_completed();
            if verdict == AnswerVerdict::OwnError {
                lease.finish(SendOutcome::Errored);
                return SendResult::OwnError(head, body);
            }
            record_answered(context, request, lease);
            SendResult::Answer(head, body)
        }
        Some(Err(error)) => {
            let broken = BrokenAnswer::from_error(answer.framing, &error);
            record_broken_answer(context, request, lease, &permit, broken).await;
            SendResult::Unanswered
        }
        None => SendResult::Unanswered,
    }
}

/// Buffers a body until it is complete, too long, or memory is short; returns whether it is complete.
async fn buffer_body(answer: &mut UpstreamAnswer, body: &mut AnswerBuffer) -> Result<bool, StreamError> {
    while let Some(piece) = answer.read().await? {
        if !body.push(&piece, MAX_BUFFERED_BODY_BYTES) {
            return Ok(false);
        }
    }
    Ok(true)
}

fn record_answered(context: &GatewayContext, request: &CallerRequest, lease: DispatchLease) {
    let elapsed_ms = lease.elapsed_ms();
    lease.finish(SendOutcome::Served(elapsed_ms));
    request.trace.record_first_output();
    let added_ms = request.trace.elapsed_ms().saturating_sub(elapsed_ms);
    context.metrics.record_added_latency(added_ms);
    if request.rule.kind == RouteKind::Idempotent {
        context.record_latency(&request.service, elapsed_ms);
    }
}

/// Whether the result is a response that can be passed on to the caller.
pub fn is_usable(result: &SendResult) -> bool {
    matches!(result, SendResult::Answer(..) | SendResult::LongAnswer(..))
}

/// Records in the request's trace that it is sent to a replica.
pub fn record_send(request: &CallerRequest, replica: &ReplicaId) {
    let mut record = request.trace.record();
    record.sends += 1;
    record.replica = Some(replica.clone());
}
