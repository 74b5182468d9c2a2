//! Calls to plain services: idempotent ones are retried and hedged, the others run once, at their key's
//! owner.

mod lookup;
mod replica;
mod run_once;

pub use run_once::{run_forwarded, send_to_owner};

use std::sync::Arc;

use http_types::{Request, Response};

use super::TrafficContext;
use super::answer::json_response;
use super::request::{CallBody, check_deadline, check_workspace, read_json};
use super::routes::refuse_when_leaving;
use crate::blackboard::{FeatureSet, hash_parts};
use crate::controllers::idempotency::KeyScope;
use crate::prelude::*;
use crate::register::OperationRule;
use lookup::call_idempotent;
use run_once::call_once;

/// Retry-After for a call that is still running, or whose failure gives no other time, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// A call that was validated against the register.
struct CheckedCall {
    scope: KeyScope,
    payload: Arc<str>,
    features: FeatureSet,
    deadline: Moment,
}

/// Finds the rule of an operation in the register.
pub fn find_operation<'a>(
    register: &'a Register,
    service: &str,
    operation: &str,
) -> Result<&'a OperationRule, RefusalNotice> {
    let rule = register.operation(service, operation);
    rule.ok_or_else(|| RefusalNotice::new(ResultCode::UnknownService, format!("{service}/{operation}")))
}

/// Handles a request to `/v1/call`.
pub async fn call(context: &Arc<TrafficContext>, mut request: Request) -> Result<Response, RefusalNotice> {
    // An unread body may contain a key, and only the key's owner knows whether the call of a key has run, so
    // refusals until then leave the effect in doubt.
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
        // A key permits one run, even if the operation has been declared safe since the key was issued.
        (_, Some(key)) => call_once(context, &call, &key).await?,
        (RepeatRule::Safe, None) => call_idempotent(context, &call).await?,
        (RepeatRule::Never | RepeatRule::ByKey, None) => {
            return Err(RefusalNotice::new(ResultCode::KeyRequired, ""));
        }
    };
    let payload: serde_json::Value = serde_json::from_str(&answer.body)
        .unwrap_or_else(|_| serde_json::Value::String(answer.body.to_string()));
    Ok(json_response(
        200,
        &serde_json::json!({ "effect": "ran", "service_status": answer.status, "answer": payload }),
    ))
}

/// Validates a call against the register; returns it with the rule for repeating its operation.
fn check_call(context: &TrafficContext, body: CallBody) -> Result<(CheckedCall, RepeatRule), RefusalNotice> {
    let snapshot = context.snapshot();
    // A draining node still forwards calls with keys, since their owner may be another node.
    if body.key.is_none() {
        refuse_when_leaving(context)?;
    }
    check_workspace(&snapshot, &body.workspace)?;
    let repeat = find_operation(&snapshot.register, &body.service, &body.operation)?.repeat;
    let (_, deadline) = check_deadline(body.deadline_ms)?;
    let scope = KeyScope {
        workspace: body.workspace.into(),
        service: body.service.into(),
        operation: body.operation.into(),
    };
    let payload: Arc<str> = body.payload.to_string().into();
    let call = CheckedCall {
        features: find_features(&scope, &payload),
        scope,
        payload,
        deadline,
    };
    Ok((call, repeat))
}

/// A call has nothing in common with others but its content.
fn find_features(scope: &KeyScope, payload: &str) -> FeatureSet {
    let parts = [&*scope.workspace, &*scope.service, &*scope.operation, payload];
    FeatureSet::new(hash_parts(&parts.map(str::as_bytes)), [])
}
