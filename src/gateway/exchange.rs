//! One request of a caller: found a route for, judged, and handed to the way of serving that the route asks for.

use std::sync::Arc;

use async_std::net::TcpStream;
use futures::AsyncWriteExt;

use super::answer::{AfterAnswer, refusal_status, write_refusal};
use super::call::serve_call;
use super::split::serve_stream;
use super::trace::{RequestOutcome, RequestTrace};
use super::{GatewayContext, RequestFacts};
use crate::blackboard::{Fingerprint, hash_parts};
use crate::clock;
use crate::http::RequestHead;
use crate::prelude::*;
use crate::register::{RouteKind, RouteRule};
use crate::runtime::Snapshot;

/// When to come back where nothing says how long the cause will last, in milliseconds.
pub const DEFAULT_RETRY_AFTER_MS: u64 = 400;

/// The status of refusals that a later request may not meet.
const UNAVAILABLE_STATUS: u16 = 503;

/// When to come back to a VM that has no configuration yet, in milliseconds: some times what a start takes.
const START_MS: u64 = 900;

/// How long before a leaving VM takes its last requests it takes its last streams, in milliseconds: what a long one takes.
const STREAM_ROOM_MS: u64 = 3_000;

/// A request that has been read whole.
pub struct CallerRequest {
    /// Its head, as sent.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether it has a body, though it may be empty.
    pub has_body: bool,
    /// What the head says.
    pub facts: RequestFacts,
    /// Stands for its host, target, caller and body, which a repeat has too.
    pub fingerprint: Fingerprint,
    /// The configuration that it was routed by.
    pub revision: Revision,
    /// Its route.
    pub rule: Arc<RouteRule>,
    /// The service that it goes to.
    pub service: Arc<str>,
    /// When it had been read.
    pub received_at: Moment,
    /// When it must have been answered: the caller's wait or the route's timeout, whichever ends first.
    pub deadline: Moment,
    /// Whether the caller's connection goes on after the answer.
    pub after: AfterAnswer,
    /// What becomes of it.
    pub trace: RequestTrace,
}

impl CallerRequest {
    /// How long a replica may still work on it, in milliseconds.
    pub fn limit_ms(&self) -> u64 {
        clock::now().until_ms(self.deadline)
    }

    /// Bytes of the body, where there is one.
    pub fn body_bytes(&self) -> Option<usize> {
        self.has_body.then_some(self.body.len())
    }
}

/// How the answer to a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// The answer is whole.
    Complete(AfterAnswer),
    /// The answer broke off.
    Cut,
    /// The answer broke off where only a reset of the connection shows that it is not whole.
    CutUnframed,
}

/// Serves a request on its caller's connection.
pub async fn serve_request(
    context: &Arc<GatewayContext>,
    socket: &TcpStream,
    head: RequestHead,
    facts: RequestFacts,
    body: Option<Vec<u8>>,
) -> AnswerOutcome {
    let received_at = clock::now();
    context.control.catch_up().await;
    let after = if head.keeps_connection() && context.snapshot().accept_until.is_none() {
        AfterAnswer::Keep
    } else {
        AfterAnswer::Close
    };
    let snapshot = context.snapshot();
    let found = find_route(&snapshot, &head, &facts)
        .and_then(|found| check_leaving(context, &found.0, received_at).map(|()| found));
    let (rule, service) = match found {
        Ok(found) => found,
        Err(notice) => {
            return refuse_unrouted(socket, &notice, after, &facts.id, snapshot.revision).await;
        }
    };
    let timeout = received_at.after_ms(rule.timeout_ms);
    let deadline = facts
        .wait_ms
        .map_or(timeout, |wait_ms| timeout.min(received_at.after_ms(wait_ms)));
    let trace = RequestTrace::new(context, &facts, &rule, received_at, &snapshot);
    let has_body = body.is_some();
    let body = body.unwrap_or_default();
    let request = CallerRequest {
        fingerprint: fingerprint(&head, &facts, &body),
        has_body,
        body,
        head,
        facts,
        revision: snapshot.revision,
        rule,
        service,
        received_at,
        deadline,
        after,
        trace,
    };
    spdlog::info!(
        "event=routed request={} fingerprint={:016x} route={} kind={} service={} limit_ms={} attempts={} revision={} \
         revision_age_ms={}",
        request.facts.id,
        request.fingerprint,
        request.rule.name,
        request.rule.kind.as_str(),
        request.service,
        request.limit_ms(),
        request.rule.attempts,
        request.revision,
        snapshot.accepted_at.until_ms(received_at)
    );
    context.budget().record_request(&request.service, received_at);
    match request.rule.kind {
        RouteKind::Idempotent | RouteKind::RunOnce => serve_call(context, socket, &request).await,
        RouteKind::Stream { .. } => serve_stream(context, socket, &request).await,
    }
}

fn fingerprint(head: &RequestHead, facts: &RequestFacts, body: &[u8]) -> Fingerprint {
    let host = head.host().unwrap_or_default();
    hash_parts(&[
        head.method.as_bytes(),
        host.as_bytes(),
        head.target.as_bytes(),
        &facts.credentials,
        body,
    ])
}

fn find_route(
    snapshot: &Snapshot,
    head: &RequestHead,
    facts: &RequestFacts,
) -> Result<(Arc<RouteRule>, Arc<str>), RefusalNotice> {
    if snapshot.revision == 0 {
        let notice = RefusalNotice::new(ResultCode::NoRegister, "");
        return Err(notice.retry_after_ms(START_MS));
    }
    let host = head.host().unwrap_or_default();
    let rule = snapshot.register.routes.find(&host, head.path());
    let rule = rule.ok_or_else(|| RefusalNotice::new(ResultCode::NoRoute, head.path().to_owned()))?;
    let draw = crate::controllers::rendezvous::weight(&facts.id, &rule.name);
    let service = rule.pick_service(draw).ok_or_else(|| {
        RefusalNotice::new(ResultCode::NoUpstream, "the route leads nowhere")
            .retry_after_ms(DEFAULT_RETRY_AFTER_MS)
    })?;
    Ok((rule.clone(), service.clone()))
}

/// Refuses what would not be over when this VM leaves; another one takes it at once.
fn check_leaving(context: &GatewayContext, rule: &RouteRule, now: Moment) -> Result<(), RefusalNotice> {
    let Some(accept_until) = context.snapshot().accept_until else {
        return Ok(());
    };
    let room_ms = match rule.kind {
        RouteKind::Stream { .. } => STREAM_ROOM_MS,
        RouteKind::Idempotent | RouteKind::RunOnce => 0,
    };
    if !now.after_ms(room_ms).reached(accept_until) {
        return Ok(());
    }
    Err(RefusalNotice::new(ResultCode::Leaving, &*context.own.name).retry_after_ms(0))
}

/// Answers a routed request with a refusal.
pub async fn refuse(socket: &TcpStream, request: &CallerRequest, notice: &RefusalNotice) -> AnswerOutcome {
    let outcome = match notice.effect {
        RunEffect::NotRun => RequestOutcome::Refused,
        RunEffect::Ran | RunEffect::Unknown => RequestOutcome::Failed,
    };
    let notice = &with_return(notice);
    request.trace.end(outcome, refusal_status(notice));
    request.trace.record().code = notice.code.number();
    log_refusal(&request.facts.id, &request.rule.name, notice, request.revision);
    write_notice(socket, notice, request.after).await
}

/// Answers what has no route with a refusal.
pub async fn refuse_unrouted(
    socket: &TcpStream,
    notice: &RefusalNotice,
    after: AfterAnswer,
    request_id: &str,
    revision: Revision,
) -> AnswerOutcome {
    log_refusal(request_id, "-", notice, revision);
    write_notice(socket, notice, after).await
}

/// A refusal that says when to come back, also where whoever refused left that open.
fn with_return(notice: &RefusalNotice) -> RefusalNotice {
    let is_open = notice.retry_after_ms.is_none() && refusal_status(notice) == UNAVAILABLE_STATUS;
    if is_open {
        notice.clone().retry_after_ms(DEFAULT_RETRY_AFTER_MS)
    } else {
        notice.clone()
    }
}

fn log_refusal(request_id: &str, route: &str, notice: &RefusalNotice, revision: Revision) {
    spdlog::error!(
        "event=refused request={request_id} route={route} code={} reason={} detail=\"{}\" retry_after_ms={} \
         revision={revision}",
        notice.code.number(),
        notice.code.entry().name,
        notice.detail,
        notice.retry_after_ms.unwrap_or_default()
    );
}

async fn write_notice(mut socket: &TcpStream, notice: &RefusalNotice, after: AfterAnswer) -> AnswerOutcome {
    match socket.write_all(&write_refusal(notice, after)).await {
        Ok(()) => AnswerOutcome::Complete(after),
        Err(_) => AnswerOutcome::Cut,
    }
}
