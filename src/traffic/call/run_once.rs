//! Run-once calls: run by the process that issued the key; all others forward them to it.

use std::sync::Arc;

use rand::Rng;

use super::replica::{CallOutcome, ReplicaCall, call_replica, choose_replica};
use super::{CheckedCall, RETRY_AFTER_MS, find_features};
use crate::blackboard::hash_parts;
use crate::clock;
use crate::controllers::Reply;
use crate::controllers::idempotency::{IdempotencyKey, KeyOutcome, KeyScope, StoredAnswer};
use crate::controllers::message::KeyCall;
use crate::prelude::*;
use crate::runtime::RunPermit;
use crate::traffic::TrafficContext;

/// How long the answer to a started run-once call is awaited after the caller's deadline, in milliseconds.
const LATE_ANSWER_MS: u64 = 30_000;

/// Runs a run-once call if this process issued its key; forwards it to the key's owner otherwise.
pub(super) async fn call_once(
    context: &Arc<TrafficContext>,
    call: &CheckedCall,
    key_text: &str,
) -> Result<StoredAnswer, RefusalNotice> {
    let key = IdempotencyKey::decode(key_text, &call.scope, &context.settings.shared_key)
        .ok_or_else(|| RefusalNotice::new(ResultCode::BadKey, ""))?;
    if key.incarnation == context.own.incarnation {
        // A separate task: the call runs to completion even if the caller disconnects.
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
            Err(_) => Err(RefusalNotice::new(ResultCode::KeyRunning, "").retry_after_ms(RETRY_AFTER_MS)),
        };
    }
    let body = Some(call.payload.clone());
    match send_to_owner(context, &call.scope, &key, key_text, body, call.deadline).await {
        Some(Reply::Answer(answer)) => Ok(answer),
        Some(Reply::Refused(notice)) => Err(notice),
        _ => Err(RefusalNotice::new(ResultCode::KeyOwnerUnreachable, "")),
    }
}

/// Forwards a call or, without a body, a revocation to the owner of its key and waits for the answer.
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

/// Claims a key that this process issued and, if the claim is granted, runs its call.
async fn run_claimed(
    context: Arc<TrafficContext>,
    scope: KeyScope,
    key: IdempotencyKey,
    key_text: String,
    payload: Arc<str>,
    deadline: Moment,
) -> Result<StoredAnswer, RefusalNotice> {
    let guard = context.control.track_request();
    let serial = key.serial;
    let key_deadline = clock::moment_from_epoch(key.deadline_epoch_ms).unwrap_or_default();
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
        _ => return Err(RefusalNotice::new(ResultCode::KeyRunning, "").retry_after_ms(RETRY_AFTER_MS)),
    }
    let start_by = key_deadline.min(deadline);
    let outcome = run_once(&context, &scope, &key_text, &payload, start_by).await;
    context.metrics.count_run_once(&scope.workspace, &outcome);
    context.control.send_event(Event::KeyFinished {
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

/// Runs a claimed call. It is retried on another replica only if no byte was sent, or if the service detects
/// repeated calls by their key.
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
        let chosen = acquire_replica(context, scope, payload, start_by, &avoid).await;
        let (replica, permit) = match chosen {
            Ok(chosen) => chosen,
            Err(_) if is_sent => return KeyOutcome::Unknown,
            Err(notice) => return KeyOutcome::Unstarted(as_not_run(notice)),
        };
        avoid.push(replica.clone());
        let answer_by = start_by.after_ms(LATE_ANSWER_MS);
        let call = ReplicaCall {
            scope,
            payload,
            key: Some(key_text),
            start_by,
            answer_by,
            permit: &permit,
        };
        match call_replica(context, &replica, &call).await {
            CallOutcome::Answered(answer) => return KeyOutcome::Answered(answer),
            CallOutcome::Lost if may_repeat => is_sent = true,
            CallOutcome::Lost => return KeyOutcome::Unknown,
            CallOutcome::Unsent if clock::now().reached(start_by) && !is_sent => {
                return KeyOutcome::Unstarted(RefusalNotice::new(
                    ResultCode::DeadlinePassed,
                    "before it was started",
                ));
            }
            CallOutcome::Unsent => {}
        }
    }
}

/// Waits for permission to run a call, and chooses a replica for it.
async fn acquire_replica(
    context: &TrafficContext,
    scope: &KeyScope,
    payload: &str,
    start_by: Moment,
    avoid: &[Arc<str>],
) -> Result<(Arc<str>, RunPermit), RefusalNotice> {
    let permit = RunPermit::acquire(&context.control, &find_features(scope, payload), start_by).await?;
    let replica = choose_replica(context, scope, avoid, !avoid.is_empty()).await?;
    Ok((replica, permit))
}

/// Converts a refusal to one with the effect "not run", for a call of which no byte was sent.
fn as_not_run(notice: RefusalNotice) -> RefusalNotice {
    if notice.effect == RunEffect::NotRun {
        return notice;
    }
    let refused = RefusalNotice::new(ResultCode::UpstreamRefused, notice.detail);
    refused.retry_after_ms(notice.retry_after_ms.unwrap_or(RETRY_AFTER_MS))
}

/// Handles a run-once call or a revocation that a peer forwarded because this process issued the key.
pub async fn run_forwarded(context: Arc<TrafficContext>, from: VmName, call: KeyCall) {
    let answer = handle_forwarded(&context, &call).await;
    context.control.send_event(Event::KeyCallAnswered {
        to: from,
        call_id: call.call_id,
        answer,
    });
}

async fn handle_forwarded(
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
        _ => Err(RefusalNotice::new(ResultCode::KeyRunning, "").retry_after_ms(RETRY_AFTER_MS)),
    }
}
