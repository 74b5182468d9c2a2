//! One call to one replica of a plain service, over a new connection.

use std::sync::Arc;

use crate::clock;
use crate::controllers::Reply;
use crate::controllers::idempotency::{KeyScope, StoredAnswer};
use crate::controllers::services::{ServiceRequest, ServiceResult};
use crate::prelude::*;
use crate::runtime::{LostRun, RunPermit};
use crate::traffic::TrafficContext;
use crate::traffic::diagnosis::{diagnose, is_answering};
use crate::traffic::upstream::{UpstreamError, connect, post_json, read_body, send};

/// Limit for the length of a service's answer, in bytes.
const ANSWER_LIMIT_BYTES: usize = 4_000_000;

/// The outcome of a call to one replica.
pub(super) enum CallOutcome {
    /// The replica answered, with any status.
    Answered(StoredAnswer),
    /// No byte of the call was sent.
    Unsent,
    /// The call may have run; there is no answer.
    Lost,
}

/// A call for one replica.
pub(super) struct ReplicaCall<'a> {
    /// The workspace, service and operation.
    pub scope: &'a KeyScope,
    /// The body for the service, as JSON.
    pub payload: &'a str,
    /// The idempotency key of a run-once call.
    pub key: Option<&'a str>,
    /// When the call must have been sent.
    pub start_by: Moment,
    /// When waiting for the answer ends.
    pub answer_by: Moment,
    /// The permission to run the call.
    pub permit: &'a RunPermit,
}

/// Calls one replica over a new connection.
pub(super) async fn call_replica(
    context: &TrafficContext,
    replica: &Arc<str>,
    call: &ReplicaCall<'_>,
) -> CallOutcome {
    // A replica that is down before a trial run is no evidence against the call.
    let is_unreachable = call.permit.is_trial() && !is_answering(context, replica).await;
    let began_at = clock::now();
    let outcome = if is_unreachable {
        Err(UpstreamError::Connect {
            address: replica.to_string(),
        })
    } else {
        exchange_with_replica(context, replica, call).await
    };
    let result = match &outcome {
        Ok(_) => ServiceResult::Answered((clock::now().0 - began_at.0) * 1_000),
        Err(UpstreamError::Deadline { .. }) => {
            ServiceResult::Abandoned((clock::now().0 - began_at.0) * 1_000)
        }
        Err(_) => ServiceResult::Failed,
    };
    context.control.send_event(Event::ServiceDone {
        replica: replica.clone(),
        result,
    });
    match outcome {
        Ok(answer) => {
            call.permit.report_completed();
            CallOutcome::Answered(answer)
        }
        Err(error) if error.is_unsent() => CallOutcome::Unsent,
        Err(error) => {
            if matches!(error, UpstreamError::Broken { .. }) {
                report_loss(context, replica, call.permit, began_at).await;
            }
            CallOutcome::Lost
        }
    }
}

/// Probes a replica whose connection broke during a call, and reports the lost run.
async fn report_loss(context: &TrafficContext, replica: &Arc<str>, permit: &RunPermit, began_at: Moment) {
    let lost_at = clock::now();
    let probe = diagnose(context, replica).await;
    let lost = LostRun {
        upstream: replica.clone(),
        incarnation: probe.incarnation,
        began_at,
        lost_at,
        outcome: probe.outcome,
    };
    permit.loss_reporter(permit.is_trial()).report(lost).await;
}

async fn exchange_with_replica(
    context: &TrafficContext,
    replica: &str,
    call: &ReplicaCall<'_>,
) -> Result<StoredAnswer, UpstreamError> {
    let ReplicaCall {
        scope,
        payload,
        key,
        start_by,
        answer_by,
        ..
    } = *call;
    let snapshot = context.snapshot();
    let upstream = snapshot.register.upstream(replica);
    let address = upstream
        .map(|upstream| upstream.address.clone())
        .unwrap_or_default();
    let unsent = || UpstreamError::Connect {
        address: address.clone(),
    };
    let broken = || UpstreamError::Broken {
        address: address.clone(),
    };
    let request_id = context.next_request_id();
    let path = format!("/op/{}", scope.operation);
    let mut request = post_json(&address, &path, &serde_json::Value::Null).ok_or_else(unsent)?;
    request.set_body(payload);
    request.insert_header("content-type", "application/json");
    request.insert_header("connection", "close");
    request.insert_header("x-request-id", &*request_id);
    request.insert_header("x-workspace", &*scope.workspace);
    if let Some(key) = key {
        request.insert_header("idempotency-key", key);
    }
    let stream = connect(&address, start_by).await?;
    // The process may have been paused since the key was claimed. Nothing was sent yet, so the call can still
    // be reported as not started.
    if clock::now().reached(start_by) {
        return Err(unsent());
    }
    let mut response = send(stream, &address, request, answer_by).await?;
    // An answer to another request must not reach this caller.
    let answered_id = response
        .header("x-request-id")
        .map(|values| values.last().as_str().to_owned());
    if answered_id.is_some_and(|id| id != *request_id) {
        return Err(broken());
    }
    let limit = clock::now().remaining(answer_by);
    let body = async_std::future::timeout(limit, read_body(&mut response, ANSWER_LIMIT_BYTES)).await;
    let body = body.ok().flatten().ok_or_else(broken)?;
    let body = String::from_utf8(body).map_err(|_| broken())?;
    Ok(StoredAnswer {
        status: u16::from(response.status()),
        body: body.into(),
    })
}

pub(super) async fn choose_replica(
    context: &TrafficContext,
    scope: &KeyScope,
    avoid: &[Arc<str>],
    is_retry: bool,
) -> Result<Arc<str>, RefusalNotice> {
    let request = ServiceRequest {
        workspace: scope.workspace.clone(),
        service: scope.service.clone(),
        avoid: avoid.to_vec(),
        is_retry,
    };
    match context
        .control
        .ask(|ticket| Event::ServiceWanted { ticket, request })
        .await
    {
        Some(Reply::Replica(replica)) => Ok(replica),
        Some(Reply::Refused(notice)) => Err(notice),
        _ => Err(RefusalNotice::new(
            ResultCode::NoUpstream,
            scope.service.to_string(),
        )),
    }
}
