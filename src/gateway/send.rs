//! One send of a plain call to a replica, and what came of it.

use std::sync::Arc;

use super::dispatch::DispatchLease;
use super::exchange::CallerRequest;
use super::loss::{LostSend, RunStage, report_loss};
use super::rate_permit::exchange_permitted;
use super::relay::note_broken;
use super::upstream::{ConnectionChoice, ExchangeError, UpstreamAnswer, UpstreamRequest, needs_watch};
use super::verdict::{AnswerVerdict, judge, verdict_word};
use super::{GatewayContext, SendOrder, SendPurpose};
use crate::blackboard::ReplicaId;
use crate::clock;
use crate::controllers::dispatch::SendOutcome;
use crate::http::ResponseHead;
use crate::prelude::*;
use crate::register::RouteKind;
use crate::runtime::{RatePermit, RunPermit};
use crate::transport::until;

/// The longest body of an answer that is read whole before it is passed on, in bytes. A shorter one that breaks off can
/// be replaced by another replica's.
const WHOLE_BODY_BYTES: usize = 256 * 1024;

/// How one send ended.
pub enum SendEnd {
    /// The replica's own answer.
    Answer(ResponseHead, Vec<u8>),
    /// The replica's own answer, of which this much was read; too long to be held.
    LongAnswer(Box<UpstreamAnswer>, Vec<u8>, Box<SendLeave>),
    /// The replica's own report of a failure.
    OwnError(ResponseHead, Vec<u8>),
    /// The request has certainly not run there.
    NotRun { was_sent: bool },
    /// Nothing was sent, since the replica has begun to name a limit; with a permit it may be.
    Unpermitted(ReplicaId),
    /// The request may have run there.
    InDoubt,
}

/// What one send needs.
pub struct SendLeave {
    /// A place at a replica.
    pub lease: DispatchLease,
    /// Leave to run the request there.
    pub permit: RunPermit,
    /// Leave to send it there, where the replica names a limit.
    pub rate_permit: Option<RatePermit>,
}

/// Sends a call to a replica and reads its answer.
pub async fn send_once(context: &Arc<GatewayContext>, request: &CallerRequest, leave: SendLeave) -> SendEnd {
    let SendLeave {
        lease,
        permit,
        rate_permit,
    } = leave;
    let choice = match request.rule.kind {
        // What ends with a new connection ends with its request, and not before.
        _ if needs_watch(context, request, &permit) => ConnectionChoice::Watched,
        RouteKind::Idempotent => ConnectionChoice::Kept,
        RouteKind::RunOnce | RouteKind::Stream { .. } => ConnectionChoice::Proven,
    };
    let order = SendOrder {
        replica: lease.replica(),
        purpose: SendPurpose::Run,
        limit_ms: request.limit_ms(),
        body_bytes: request.body_bytes(),
        last_event: None,
        keeps_connection: choice != ConnectionChoice::Watched,
    };
    let upstream_request = UpstreamRequest {
        replica: lease.replica(),
        method: &request.head.method,
        head: context.protocol.write_request(&request.head, &order),
        body: &request.body,
        request_id: &request.facts.id,
        stage: Some(RunStage::Call),
        has_permit: rate_permit.is_some(),
        choice,
        deadline: request.deadline,
    };
    note_send(request, lease.id());
    let outcome = exchange_permitted(context, upstream_request, rate_permit.as_ref()).await;
    let verdict = outcome.as_ref().map(|answer| judge(answer, &request.facts.id));
    spdlog::info!(
        "event=sent request={} route={} replica={} outcome={} send={} ahead={} free_beside={} elapsed_ms={} total_ms={}",
        request.facts.id,
        request.rule.name,
        lease.id(),
        verdict_word(&verdict),
        request.trace.record().sends,
        lease.evidence().requests_ahead,
        lease.evidence().free_slots_elsewhere,
        lease.elapsed_ms(),
        request.trace.elapsed_ms()
    );
    match outcome {
        Ok(answer) => {
            let verdict = judge(&answer, &request.facts.id);
            let leave = SendLeave {
                lease,
                permit,
                rate_permit,
            };
            finish_send(context, request, leave, answer, verdict).await
        }
        Err(ExchangeError::Unsent { .. }) => {
            lease.finish(SendOutcome::Failed);
            SendEnd::NotRun { was_sent: false }
        }
        Err(ExchangeError::Withheld) => {
            lease.finish(SendOutcome::Refused);
            SendEnd::NotRun { was_sent: false }
        }
        Err(ExchangeError::Unpermitted) => {
            let replica = lease.id().clone();
            lease.finish(SendOutcome::Refused);
            SendEnd::Unpermitted(replica)
        }
        Err(ExchangeError::Lost {
            is_ended, is_proven, ..
        }) => {
            let (replica, began_at) = (lease.replica().clone(), lease.began_at());
            lease.finish(SendOutcome::Failed);
            if is_ended {
                let lost = LostSend {
                    permit: &permit,
                    replica: &replica,
                    stage: RunStage::Call,
                    began_at,
                    is_proven,
                };
                report_loss(context, request, lost).await;
            }
            SendEnd::InDoubt
        }
        Err(ExchangeError::Deadline) => {
            drop(lease);
            SendEnd::InDoubt
        }
    }
}

/// Reads the rest of an answer.
async fn finish_send(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    leave: SendLeave,
    mut answer: UpstreamAnswer,
    verdict: AnswerVerdict,
) -> SendEnd {
    let SendLeave {
        lease,
        permit,
        rate_permit,
    } = leave;
    if let Some(load) = answer.facts.load {
        context.with_book(|book| book.record_load(lease.id(), load, clock::now()));
    }
    match verdict {
        AnswerVerdict::Misdirected => {
            let replica = lease.id().clone();
            context.control.send_event(Event::ReplicaReplaced { replica });
            lease.finish(SendOutcome::Failed);
            return SendEnd::NotRun { was_sent: true };
        }
        AnswerVerdict::NotRun => {
            lease.finish(SendOutcome::Refused);
            return SendEnd::NotRun { was_sent: true };
        }
        AnswerVerdict::Unsound => {
            lease.finish(SendOutcome::Failed);
            return SendEnd::InDoubt;
        }
        AnswerVerdict::Final | AnswerVerdict::OwnError => {}
    }
    match until(request.deadline, answer.read_up_to(WHOLE_BODY_BYTES)).await {
        Some(Ok((begun, false))) => {
            let leave = SendLeave {
                lease,
                permit,
                rate_permit,
            };
            SendEnd::LongAnswer(Box::new(answer), begun, Box::new(leave))
        }
        Some(Ok((body, true))) => {
            let head = answer.head.clone();
            answer.release(context, lease.id());
            permit.report_completed();
            if verdict == AnswerVerdict::OwnError {
                lease.finish(SendOutcome::Errored);
                return SendEnd::OwnError(head, body);
            }
            note_answered(context, request, lease);
            SendEnd::Answer(head, body)
        }
        Some(Err(error)) => {
            note_broken(context, request, lease, &permit, &error).await;
            SendEnd::InDoubt
        }
        None => SendEnd::InDoubt,
    }
}

fn note_answered(context: &GatewayContext, request: &CallerRequest, lease: DispatchLease) {
    let elapsed_ms = lease.elapsed_ms();
    lease.finish(SendOutcome::Served(elapsed_ms));
    request.trace.note_first();
    let added_ms = request.trace.elapsed_ms().saturating_sub(elapsed_ms);
    context.metrics.note_added(added_ms);
    if request.rule.kind == RouteKind::Idempotent {
        context.note_latency(&request.service, elapsed_ms);
    }
}

/// Whether nothing better can come of a call.
pub fn is_of_use(end: &SendEnd) -> bool {
    matches!(end, SendEnd::Answer(..) | SendEnd::LongAnswer(..))
}

/// Notes that a request goes to a replica.
pub fn note_send(request: &CallerRequest, replica: &ReplicaId) {
    let mut record = request.trace.record();
    record.sends += 1;
    record.replica = Some(replica.clone());
}
