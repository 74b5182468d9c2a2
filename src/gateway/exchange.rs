//! Serves one request of a caller: finds its route, refuses it or dispatches it by the kind of route.

use std::sync::{Arc, OnceLock};

use async_std::net::TcpStream;
use futures::AsyncWriteExt;
use futures::future::{Either, select};

use super::answer::{ConnectionPersistence, refusal_status, write_refusal};
use super::authentication::{check_caller, identify_caller};
use super::body_memory::CallerBody;
use super::call::serve_call;
use super::caller_registry::CallerConnection;
use super::exposure::RunExposure;
use super::last_answer::wait_for_last_answer;
use super::quota_permit::charge_request;
use super::split::serve_stream;
use super::trace::{RequestOutcome, RequestTrace};
use super::{GatewayContext, RequestFacts};
use crate::blackboard::{FeatureSet, RequestFeature, hash_with_segments, join_hashes};
use crate::clock;
use crate::http::RequestHead;
use crate::prelude::*;
use crate::register::{RouteKind, RouteRule, WorkspaceRule};
use crate::runtime::{QuotaPermit, Snapshot};
use crate::transport::until;

/// Default Retry-After, in milliseconds, if the duration of the refusal's cause is unknown.
pub const DEFAULT_RETRY_AFTER_MS: u64 = 400;

/// Status of refusals whose cause is temporary; these always have a Retry-After.
const UNAVAILABLE_STATUS: u16 = 503;

/// Retry-After of a VM that has no configuration yet, in milliseconds: several times the duration of a start.
const UNCONFIGURED_RETRY_AFTER_MS: u64 = 900;

/// How long before its exit a leaving VM accepts its last stream at the latest, in milliseconds: the duration
/// of a long stream.
const STREAM_SPAN_MS: u64 = 4_000;

/// How long a request may take in percent of the time in which nine in ten of its route are served.
const SLOW_SPAN_PERCENT: u64 = 200;

/// How long a caller may take to read a refusal, in milliseconds. It is short, and only a caller that has left
/// earlier answers unread fills its connection.
const REFUSAL_WRITE_MS: u64 = 5_000;

/// A caller's request, read completely and routed.
pub struct CallerRequest {
    /// Request head as sent by the caller.
    pub head: RequestHead,
    /// Request body; empty if there is none.
    pub body: Arc<CallerBody>,
    /// Whether the request has a body, which may be empty.
    pub has_body: bool,
    /// The platform's facts, read from the head.
    pub facts: RequestFacts,
    /// What other requests may have in common with this one: its content, which is a hash of method, host,
    /// target, credentials and body, and the shared parts of its prompt.
    pub features: FeatureSet,
    /// Revision of the configuration that the request was routed by.
    pub revision: Revision,
    /// Rule of the route that matched.
    pub rule: Arc<RouteRule>,
    /// Service that the request is sent to, picked from the route's services.
    pub service: Arc<str>,
    /// Workspace that the request belongs to; `None` without workspaces, and for anonymous requests.
    pub workspace: Option<Arc<WorkspaceRule>>,
    /// Whether the configuration listed workspaces when the request arrived.
    pub is_managed: bool,
    /// Rank in queues, lower first, by the priorities of the workspace and of the route.
    pub priority: u32,
    /// Rank once the request is partly done: before the others of its workspace, so that the work done for it
    /// is not wasted.
    pub started_priority: u32,
    /// When the request had been read completely.
    pub received_at: Moment,
    /// When the request must be answered: the end of the caller's wait or of the route's timeout, whichever
    /// is earlier.
    pub deadline: Moment,
    /// Whether the caller's connection is kept after the answer.
    pub persistence: ConnectionPersistence,
    /// Progress and outcome of the request, for the log and the metrics.
    pub trace: RequestTrace,
    /// Whether the request may have run, and whether its answer has begun.
    pub exposure: RunExposure,
    /// Tokens of the workspace's quota; empty if the request needs none.
    pub quota: OnceLock<QuotaPermit>,
    /// Progress of the caller's connection.
    pub connection: Arc<CallerConnection>,
}

impl CallerRequest {
    /// Returns the time left until the deadline, in milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        clock::now().until_ms(self.deadline)
    }

    /// Returns the body's length in bytes; `None` if there is no body.
    pub fn body_bytes(&self) -> Option<usize> {
        self.has_body.then_some(self.body.len())
    }
}

/// How the writing of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// The answer is complete.
    Complete(ConnectionPersistence),
    /// The answer was cut off.
    Cut,
}

/// Routes a request and answers it on its caller's connection.
pub async fn serve_request(
    context: &Arc<GatewayContext>,
    socket: &TcpStream,
    connection: &Arc<CallerConnection>,
    head: RequestHead,
    facts: RequestFacts,
    body: Option<CallerBody>,
) -> AnswerOutcome {
    let received_at = clock::now();
    context.control.catch_up().await;
    let persistence = if head.keeps_connection() && context.snapshot().accept_until.is_none() {
        ConnectionPersistence::Keep
    } else {
        ConnectionPersistence::Close
    };
    let snapshot = context.snapshot();
    let found = find_route(&snapshot, &head, &facts).and_then(|(rule, service)| {
        let limit_ms = facts
            .wait_ms
            .map_or(rule.timeout_ms, |wait_ms| wait_ms.min(rule.timeout_ms));
        check_leaving(context, &rule, limit_ms, received_at)?;
        Ok((rule, service, received_at.after_ms(limit_ms)))
    });
    let (rule, service, deadline) = match found {
        Ok(found) => found,
        Err(notice) => {
            log_refusal(&facts.id, "-", &notice, snapshot.revision);
            return write_notice(socket, &notice, &head.method, persistence).await;
        }
    };
    let trace = RequestTrace::new(context, &facts, &rule, received_at, &snapshot);
    let identity = identify_caller(&snapshot, &rule, facts.api_key);
    let has_body = body.is_some();
    let body = Arc::new(body.unwrap_or_default());
    let request = CallerRequest {
        features: find_features(&head, &facts, &body, &service),
        has_body,
        body,
        head,
        facts,
        revision: snapshot.revision,
        rule,
        service,
        workspace: identity.workspace,
        is_managed: snapshot.register.callers.is_some(),
        priority: identity.priority,
        started_priority: identity.started_priority,
        received_at,
        deadline,
        persistence,
        trace,
        exposure: RunExposure::default(),
        quota: OnceLock::new(),
        connection: connection.clone(),
    };
    if let Err(notice) = admit_request(context, &request).await {
        return refuse(socket, &request, &notice).await;
    }
    spdlog::info!(
        "event=routed request={} workspace={} fingerprint={:016x} parts={} route={} kind={} service={} limit_ms={} attempts={} \
         revision={} revision_age_ms={}",
        request.facts.id,
        request
            .workspace
            .as_ref()
            .map_or("-", |workspace| &*workspace.name),
        request.features.content(),
        join_hashes(request.features.parts().iter().copied()),
        request.rule.name,
        request.rule.kind.as_str(),
        request.service,
        request.remaining_ms(),
        request.rule.attempts,
        request.revision,
        snapshot.accepted_at.until_ms(received_at)
    );
    context.budget().record_request(&request.service, received_at);
    match serve_until_exit(context, socket, &request).await {
        Ok(outcome) => outcome,
        Err(notice) => refuse(socket, &request, &notice).await,
    }
}

/// Decides whether a routed request may be served, before anything is reserved or sent for it.
async fn admit_request(context: &GatewayContext, request: &CallerRequest) -> Result<(), RefusalNotice> {
    check_caller(context, request)?;
    charge_request(context, request).await
}

/// Serves a request by its kind of route. The error is its answer if the process exits before it has another one.
async fn serve_until_exit(
    context: &Arc<GatewayContext>,
    socket: &TcpStream,
    request: &CallerRequest,
) -> Result<AnswerOutcome, RefusalNotice> {
    let serving = std::pin::pin!(async {
        match request.rule.kind {
            RouteKind::Idempotent | RouteKind::RunOnce => serve_call(context, socket, request).await,
            RouteKind::Stream { .. } => serve_stream(context, socket, request).await,
        }
    });
    let exiting = std::pin::pin!(wait_for_last_answer(context, &request.exposure));
    match select(serving, exiting).await {
        Either::Left((outcome, _)) => Ok(outcome),
        Either::Right((notice, _)) => Err(notice),
    }
}

fn find_features(head: &RequestHead, facts: &RequestFacts, body: &CallerBody, service: &str) -> FeatureSet {
    let host = head.host().unwrap_or_default();
    let content = hash_with_segments(
        &[
            head.method.as_bytes(),
            host.as_bytes(),
            head.target.as_bytes(),
            &facts.credentials,
        ],
        body.len(),
        body.segments(),
    );
    let model = match facts.model.as_str() {
        "" => service,
        model => model,
    };
    let parts = facts.shared_parts.iter();
    FeatureSet::new(
        content,
        parts.map(|id| RequestFeature::part(model, id.as_bytes())),
    )
}

/// The route of a request and the service that it is sent to, or its refusal.
pub(super) fn find_route(
    snapshot: &Snapshot,
    head: &RequestHead,
    facts: &RequestFacts,
) -> Result<(Arc<RouteRule>, Arc<str>), RefusalNotice> {
    if snapshot.revision == 0 {
        let notice = RefusalNotice::new(ResultCode::NoRegister, "");
        return Err(notice.retry_after_ms(UNCONFIGURED_RETRY_AFTER_MS));
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

/// Refuses requests that this VM no longer accepts because it is leaving, and those that may take longer than
/// the process stays; the caller can retry at another VM at once.
pub(super) fn check_leaving(
    context: &GatewayContext,
    rule: &RouteRule,
    limit_ms: u64,
    now: Moment,
) -> Result<(), RefusalNotice> {
    let snapshot = context.snapshot();
    let (Some(accept_until), Some(exit_at)) = (snapshot.accept_until, snapshot.exit_at) else {
        return Ok(());
    };
    let slow_ms = context.slow_span_ms(&rule.name);
    let usual_ms = slow_ms.map(|slow_ms| slow_ms * SLOW_SPAN_PERCENT / 100);
    let span_ms = match rule.kind {
        // A run-once call that is cut can't be repeated.
        RouteKind::RunOnce => limit_ms,
        RouteKind::Idempotent => usual_ms.map_or(limit_ms, |usual_ms| usual_ms.min(limit_ms)),
        RouteKind::Stream { .. } => usual_ms.unwrap_or_default().max(STREAM_SPAN_MS),
    };
    if !now.reached(accept_until) && now.after_ms(span_ms) <= exit_at {
        return Ok(());
    }
    Err(context.leaving_notice())
}

/// Answers a routed request with a refusal.
pub async fn refuse(socket: &TcpStream, request: &CallerRequest, notice: &RefusalNotice) -> AnswerOutcome {
    let outcome = match notice.effect {
        RunEffect::NotRun => RequestOutcome::Refused,
        RunEffect::Ran | RunEffect::Unknown => RequestOutcome::Failed,
    };
    let notice = &with_default_retry_after(notice);
    request.exposure.begin_answer();
    request.trace.end(outcome, refusal_status(notice));
    request.trace.record().code = notice.code.number();
    log_refusal(&request.facts.id, &request.rule.name, notice, request.revision);
    write_notice(socket, notice, &request.head.method, request.persistence).await
}

/// Adds the default Retry-After to temporary refusals that have none.
fn with_default_retry_after(notice: &RefusalNotice) -> RefusalNotice {
    let needs_default = notice.retry_after_ms.is_none() && refusal_status(notice) == UNAVAILABLE_STATUS;
    if needs_default {
        notice.clone().retry_after_ms(DEFAULT_RETRY_AFTER_MS)
    } else {
        notice.clone()
    }
}

/// Logs a refusal; the route is `-` if none was looked for or found.
pub fn log_refusal(request_id: &str, route: &str, notice: &RefusalNotice, revision: Revision) {
    spdlog::error!(
        "event=refused request={request_id} route={route} code={} reason={} detail=\"{}\" retry_after_ms={} \
         revision={revision}",
        notice.code.number(),
        notice.code.entry().name,
        notice.detail,
        notice.retry_after_ms.unwrap_or_default()
    );
}

/// Writes a refusal of a request with this method; a caller that does not read it is given up after a while.
pub async fn write_notice(
    mut socket: &TcpStream,
    notice: &RefusalNotice,
    method: &str,
    persistence: ConnectionPersistence,
) -> AnswerOutcome {
    let deadline = clock::now().after_ms(REFUSAL_WRITE_MS);
    match until(
        deadline,
        socket.write_all(&write_refusal(notice, method, persistence)),
    )
    .await
    {
        Some(Ok(())) => AnswerOutcome::Complete(persistence),
        Some(Err(_)) | None => AnswerOutcome::Cut,
    }
}
