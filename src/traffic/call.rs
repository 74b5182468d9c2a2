//! Calls to plain services: idempotent ones are retried and hedged, the others run once, at their key's owner.

use std::sync::Arc;
use std::time::Duration;

use futures::future::{Either, select};
use http_types::{Request, Response};
use rand::Rng;

use super::TrafficContext;
use super::answer::json_answer;
use super::request::{CallBody, check_deadline, check_workspace, hash_parts, read_json};
use super::routes::refuse_when_leaving;
use super::upstream::{UpstreamError, connect, post_json, read_body, send};
use crate::clock;
use crate::controllers::Reply;
use crate::controllers::idempotency::{IdempotencyKey, KeyOutcome, KeyScope, StoredAnswer};
use crate::controllers::message::KeyCall;
use crate::controllers::services::{ServiceAsk, ServiceResult};
use crate::prelude::*;
use crate::register::OperationRule;

/// The longest answer of a service, in bytes.
const ANSWER_LIMIT_BYTES: usize = 4_000_000;

/// How long after its caller's deadline the answer of a started run-once call is still awaited, in milliseconds.
const LATE_ANSWER_MS: u64 = 30_000;

/// When to ask again for a call that is still running, in milliseconds.
const ASK_AGAIN_MS: u64 = 1_000;

/// A call that was checked.
struct CheckedCall {
    scope: KeyScope,
    payload: Arc<str>,
    deadline: Moment,
}

/// The operation with this name.
pub fn find_operation<'a>(
    register: &'a Register,
    service: &str,
    operation: &str,
) -> Result<&'a OperationRule, RefusalNotice> {
    let rule = register.operation(service, operation);
    rule.ok_or_else(|| RefusalNotice::new(ResultCode::UnknownService, format!("{service}/{operation}")))
}

/// Serves a call to a plain service.
pub async fn call(context: &Arc<TrafficContext>, mut request: Request) -> Result<Response, RefusalNotice> {
    // Until the body is read it may carry a key, and until the key's owner is asked its call may have run.
    let body: CallBody = read_json(context, &mut request)
        .await
        .map_err(RefusalNotice::in_doubt)?;
    let key = body.key.clone();
    let checked = check_call(context, body);
    let (call, repeat) = match key {
        Some(_) => checked.map_err(RefusalNotice::in_doubt)?,
        None => checked?,
    };
    let answer = match (repeat, key) {
        (RepeatRule::Safe, _) => look_up(context, &call).await?,
        (RepeatRule::Never | RepeatRule::ByKey, None) => {
            return Err(RefusalNotice::new(ResultCode::KeyRequired, ""));
        }
        (RepeatRule::Never | RepeatRule::ByKey, Some(key)) => call_once(context, &call, &key).await?,
    };
    let payload: serde_json::Value = serde_json::from_str(&answer.body)
        .unwrap_or_else(|_| serde_json::Value::String(answer.body.to_string()));
    Ok(json_answer(
        200,
        &serde_json::json!({ "effect": "ran", "service_status": answer.status, "answer": payload }),
    ))
}

/// Checks a call against the register.
fn check_call(context: &TrafficContext, body: CallBody) -> Result<(CheckedCall, RepeatRule), RefusalNotice> {
    let snapshot = context.snapshot();
    // A leaving node still passes calls with keys on, since their owner may be another one.
    if body.key.is_none() {
        refuse_when_leaving(context)?;
    }
    check_workspace(&snapshot, &body.workspace)?;
    let repeat = find_operation(&snapshot.register, &body.service, &body.operation)?.repeat;
    let (_, deadline) = check_deadline(body.deadline_ms)?;
    let call = CheckedCall {
        scope: KeyScope {
            workspace: body.workspace.into(),
            service: body.service.into(),
            operation: body.operation.into(),
        },
        payload: body.payload.to_string().into(),
        deadline,
    };
    Ok((call, repeat))
}

/// How a call to one replica ended.
enum CallEnd {
    Answered(StoredAnswer),
    Unsent,
    Lost,
}

/// Calls one replica over a new connection.
async fn call_replica(
    context: &TrafficContext,
    replica: &Arc<str>,
    scope: &KeyScope,
    payload: &str,
    key: Option<&str>,
    start_by: Moment,
    answer_by: Moment,
) -> CallEnd {
    let began_at = clock::now();
    let outcome = exchange_with_replica(context, replica, scope, payload, key, start_by, answer_by).await;
    let result = match &outcome {
        Ok(_) => ServiceResult::Answered((clock::now().0 - began_at.0) * 1_000),
        Err(UpstreamError::Deadline { .. }) => {
            ServiceResult::Abandoned((clock::now().0 - began_at.0) * 1_000)
        }
        Err(_) => ServiceResult::Failed,
    };
    context.control.tell(Event::ServiceDone {
        replica: replica.clone(),
        result,
    });
    match outcome {
        Ok(answer) => CallEnd::Answered(answer),
        Err(error) if error.is_unsent() => CallEnd::Unsent,
        Err(_) => CallEnd::Lost,
    }
}

async fn exchange_with_replica(
    context: &TrafficContext,
    replica: &str,
    scope: &KeyScope,
    payload: &str,
    key: Option<&str>,
    start_by: Moment,
    answer_by: Moment,
) -> Result<StoredAnswer, UpstreamError> {
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
    // The process may have been paused since the claim; nothing has left yet, so not starting is still true.
    if clock::now().reached(start_by) {
        return Err(unsent());
    }
    let mut response = send(stream, &address, request, answer_by).await?;
    // An answer to another request is never passed on.
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

async fn choose_replica(
    context: &TrafficContext,
    scope: &KeyScope,
    avoid: &[Arc<str>],
    is_retry: bool,
) -> Result<Arc<str>, RefusalNotice> {
    let ask = ServiceAsk {
        workspace: scope.workspace.clone(),
        service: scope.service.clone(),
        avoid: avoid.to_vec(),
        is_retry,
    };
    match context
        .control
        .ask(|ticket| Event::ServiceWanted { ticket, ask })
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

/// An idempotent call: tried on one replica after another, and on a second one when the first is slow.
async fn look_up(context: &Arc<TrafficContext>, call: &CheckedCall) -> Result<StoredAnswer, RefusalNotice> {
    let began_at = clock::now();
    let mut avoid = Vec::new();
    let mut is_sent = false;
    loop {
        if clock::now().reached(call.deadline) {
            let code = if is_sent {
                ResultCode::DeadlineDuringRun
            } else {
                ResultCode::DeadlinePassed
            };
            return Err(RefusalNotice::new(code, "").retry_after_ms(ASK_AGAIN_MS));
        }
        let replica = match choose_replica(context, &call.scope, &avoid, !avoid.is_empty()).await {
            Ok(replica) => replica,
            Err(notice) if is_sent => {
                let failed = RefusalNotice::new(ResultCode::UpstreamFailed, notice.detail);
                return Err(failed.retry_after_ms(ASK_AGAIN_MS));
            }
            Err(notice) => return Err(notice),
        };
        avoid.push(replica.clone());
        match call_hedged(context, call, replica, &mut avoid).await {
            CallEnd::Answered(answer) => {
                context
                    .metrics
                    .note_lookup(&call.scope.workspace, &call.scope.operation, began_at);
                context.note_latency(&call.scope, clock::now().0 - began_at.0);
                return Ok(answer);
            }
            CallEnd::Unsent => {}
            CallEnd::Lost => is_sent = true,
        }
    }
}

/// Calls a replica, and after a while without an answer a second one; the first answer counts.
async fn call_hedged(
    context: &Arc<TrafficContext>,
    call: &CheckedCall,
    replica: Arc<str>,
    avoid: &mut Vec<Arc<str>>,
) -> CallEnd {
    let first = spawn_call(context, call, replica);
    let hedge_after = Duration::from_millis(context.hedge_delay_ms(&call.scope));
    let pause = std::pin::pin!(async_std::task::sleep(hedge_after));
    let first = match select(first, pause).await {
        Either::Left((end, _)) => return end,
        Either::Right((_, first)) => first,
    };
    let Ok(replica) = choose_replica(context, &call.scope, avoid, true).await else {
        return first.await;
    };
    avoid.push(replica.clone());
    context.metrics.note_hedge();
    let second = spawn_call(context, call, replica);
    match select(first, second).await {
        Either::Left((CallEnd::Answered(answer), _)) | Either::Right((CallEnd::Answered(answer), _)) => {
            CallEnd::Answered(answer)
        }
        Either::Left((_, second)) => second.await,
        Either::Right((_, first)) => first.await,
    }
}

/// Runs a call as a task of its own, so that its end is noted even when another answer counts.
fn spawn_call(
    context: &Arc<TrafficContext>,
    call: &CheckedCall,
    replica: Arc<str>,
) -> async_std::task::JoinHandle<CallEnd> {
    let context = context.clone();
    let scope = call.scope.clone();
    let payload = call.payload.clone();
    let deadline = call.deadline;
    async_std::task::spawn(async move {
        call_replica(&context, &replica, &scope, &payload, None, deadline, deadline).await
    })
}

/// A run-once call: run here when this process issued its key, sent to the owner otherwise.
async fn call_once(
    context: &Arc<TrafficContext>,
    call: &CheckedCall,
    key_text: &str,
) -> Result<StoredAnswer, RefusalNotice> {
    let key = IdempotencyKey::decode(key_text, &call.scope, &context.settings.shared_key)
        .ok_or_else(|| RefusalNotice::new(ResultCode::BadKey, ""))?;
    if key.incarnation == context.own.incarnation {
        // A task of its own: the call goes on to its end even when the caller goes away.
        let running = async_std::task::spawn(run_claimed(
            context.clone(),
            call.scope.clone(),
            key,
            key_text.to_owned(),
            call.payload.clone(),
            call.deadline,
        ));
        let limit = clock::now().remaining(call.deadline);
        return match async_std::future::timeout(limit, running).await {
            Ok(result) => result,
            Err(_) => Err(RefusalNotice::new(ResultCode::KeyRunning, "").retry_after_ms(ASK_AGAIN_MS)),
        };
    }
    let body = Some(call.payload.clone());
    match send_to_owner(context, &call.scope, &key, key_text, body, call.deadline).await {
        Some(Reply::Answer(answer)) => Ok(answer),
        Some(Reply::Refused(notice)) => Err(notice),
        _ => Err(RefusalNotice::new(ResultCode::KeyOwnerUnreachable, "")),
    }
}

/// Sends a call, or with no body a revocation, to the owner of its key.
pub async fn send_to_owner(
    context: &TrafficContext,
    scope: &KeyScope,
    key: &IdempotencyKey,
    key_text: &str,
    body: Option<Arc<str>>,
    deadline: Moment,
) -> Option<Reply> {
    let call = KeyCall {
        call_id: rand::rng().random(),
        owner: key.owner.clone(),
        owner_address: key.owner_address.clone(),
        key: key_text.to_owned(),
        incarnation: key.incarnation,
        serial: key.serial,
        workspace: scope.workspace.clone(),
        service: scope.service.clone(),
        operation: scope.operation.clone(),
        body,
        deadline,
    };
    context
        .control
        .ask(|ticket| Event::KeyCallForwarded { ticket, call })
        .await
}

/// Claims a key of this process and, if the claim is granted, runs its call.
async fn run_claimed(
    context: Arc<TrafficContext>,
    scope: KeyScope,
    key: IdempotencyKey,
    key_text: String,
    payload: Arc<str>,
    deadline: Moment,
) -> Result<StoredAnswer, RefusalNotice> {
    let guard = context.control.hold_request();
    let serial = key.serial;
    let key_deadline = clock::moment_of_epoch(key.deadline_epoch_ms).unwrap_or_default();
    let body_hash = hash_parts(&[payload.as_bytes()]);
    let claimed = Event::KeyClaimed {
        ticket: ReplyTicket(0),
        key,
        body_hash,
    };
    match context.control.ask(|ticket| with_ticket(claimed, ticket)).await {
        Some(Reply::Start) => {}
        Some(Reply::Answer(answer)) => return Ok(answer),
        Some(Reply::Refused(notice)) => return Err(notice),
        _ => return Err(RefusalNotice::new(ResultCode::KeyRunning, "").retry_after_ms(ASK_AGAIN_MS)),
    }
    let start_by = key_deadline.min(deadline);
    let outcome = run_once(&context, &scope, &key_text, &payload, start_by).await;
    context.metrics.note_run_once(&scope.workspace, &outcome);
    context.control.tell(Event::KeyFinished {
        serial,
        outcome: outcome.clone(),
    });
    drop(guard);
    match outcome {
        KeyOutcome::Answered(answer) => Ok(answer),
        KeyOutcome::Unknown => Err(RefusalNotice::new(ResultCode::OutcomeUnknown, "")),
        KeyOutcome::Unstarted(notice) => Err(notice),
    }
}

fn with_ticket(event: Event, ticket: ReplyTicket) -> Event {
    match event {
        Event::KeyClaimed { key, body_hash, .. } => Event::KeyClaimed {
            ticket,
            key,
            body_hash,
        },
        other => other,
    }
}

/// Runs a started call: on another replica only while no byte has left, or while the service knows repeats by key.
async fn run_once(
    context: &TrafficContext,
    scope: &KeyScope,
    key_text: &str,
    payload: &str,
    start_by: Moment,
) -> KeyOutcome {
    let rule = context
        .snapshot()
        .register
        .operation(&scope.service, &scope.operation)
        .map(|rule| rule.repeat);
    let may_repeat = rule == Some(RepeatRule::ByKey);
    let mut avoid = Vec::new();
    let mut is_sent = false;
    loop {
        let replica = match choose_replica(context, scope, &avoid, !avoid.is_empty()).await {
            Ok(replica) => replica,
            Err(_) if is_sent => return KeyOutcome::Unknown,
            Err(notice) => return KeyOutcome::Unstarted(as_not_run(notice)),
        };
        avoid.push(replica.clone());
        let answer_by = start_by.after_ms(LATE_ANSWER_MS);
        let end = call_replica(
            context,
            &replica,
            scope,
            payload,
            Some(key_text),
            start_by,
            answer_by,
        )
        .await;
        match end {
            CallEnd::Answered(answer) => return KeyOutcome::Answered(answer),
            CallEnd::Lost if may_repeat => is_sent = true,
            CallEnd::Lost => return KeyOutcome::Unknown,
            CallEnd::Unsent if clock::now().reached(start_by) && !is_sent => {
                return KeyOutcome::Unstarted(RefusalNotice::new(
                    ResultCode::DeadlinePassed,
                    "before it was started",
                ));
            }
            CallEnd::Unsent => {}
        }
    }
}

/// The refusal of a call of which no byte has left, whatever the reason.
fn as_not_run(notice: RefusalNotice) -> RefusalNotice {
    if notice.effect == RunEffect::NotRun {
        return notice;
    }
    let refused = RefusalNotice::new(ResultCode::UpstreamUnchangedRefusal, notice.detail);
    refused.retry_after_ms(notice.retry_after_ms.unwrap_or(ASK_AGAIN_MS))
}

/// Runs, or revokes, a call that a peer forwarded because this process issued its key.
pub async fn run_forwarded(context: Arc<TrafficContext>, from: VmAddress, call: KeyCall) {
    let answer = judge_forwarded(&context, &call).await;
    context.control.tell(Event::KeyCallAnswered {
        to: from,
        call_id: call.call_id,
        answer,
    });
}

async fn judge_forwarded(
    context: &Arc<TrafficContext>,
    call: &KeyCall,
) -> Result<StoredAnswer, RefusalNotice> {
    let scope = KeyScope {
        workspace: call.workspace.clone(),
        service: call.service.clone(),
        operation: call.operation.clone(),
    };
    let key = IdempotencyKey::decode(&call.key, &scope, &context.settings.shared_key)
        .ok_or_else(|| RefusalNotice::new(ResultCode::BadKey, ""))?;
    if let Some(payload) = &call.body {
        let payload = payload.clone();
        return run_claimed(
            context.clone(),
            scope,
            key,
            call.key.clone(),
            payload,
            call.deadline,
        )
        .await;
    }
    match context
        .control
        .ask(|ticket| Event::KeyRevoked { ticket, key })
        .await
    {
        Some(Reply::Revoked) => Err(RefusalNotice::new(ResultCode::KeyRevoked, "")),
        Some(Reply::Answer(answer)) => Ok(answer),
        Some(Reply::Refused(notice)) => Err(notice),
        _ => Err(RefusalNotice::new(ResultCode::KeyRunning, "").retry_after_ms(ASK_AGAIN_MS)),
    }
}
