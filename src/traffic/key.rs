//! Issues and revokes idempotency keys.

use std::sync::Arc;

use http_types::{Request, Response};

use super::TrafficContext;
use super::answer::json_response;
use super::call::{find_operation, send_to_owner};
use super::request::{KeyBody, RevokeBody, check_deadline, check_workspace, read_json};
use crate::clock;
use crate::controllers::Reply;
use crate::controllers::idempotency::{IdempotencyKey, KeyRequest, KeyScope};
use crate::prelude::*;

/// Timeout for a revocation at the key's owner, in milliseconds.
const REVOKE_TIMEOUT_MS: u64 = 5_000;

/// Issues a key; its call is run only by this process.
pub async fn issue_key(
    context: &Arc<TrafficContext>,
    mut request: Request,
) -> Result<Response, RefusalNotice> {
    let body: KeyBody = read_json(context, &mut request).await?;
    let snapshot = context.snapshot();
    check_workspace(&snapshot, &body.workspace)?;
    find_operation(&snapshot.register, &body.service, &body.operation)?;
    let (deadline_epoch_ms, deadline) = check_deadline(body.deadline_ms)?;
    let scope = KeyScope {
        workspace: body.workspace.into(),
        service: body.service.into(),
        operation: body.operation.into(),
    };
    let key_request = KeyRequest {
        scope: scope.clone(),
        name: body.name.map(Arc::from),
        deadline_epoch_ms,
        deadline,
    };
    let reply = context
        .control
        .ask(|ticket| Event::KeyWanted {
            ticket,
            request: key_request,
        })
        .await;
    match reply {
        Some(Reply::Key(issued)) => Ok(json_response(
            200,
            &serde_json::json!({
                "key": issued.key.encode(&scope, &context.settings.shared_key),
                "owner": &*context.own.name,
                "issued_before": issued.is_repeat,
                "known_elsewhere": "unknown",
            }),
        )),
        Some(Reply::Refused(mut notice)) => {
            notice.use_instead = context.other_entries(&scope.workspace);
            Err(notice)
        }
        _ => Err(RefusalNotice::new(ResultCode::Leaving, "")),
    }
}

/// Revokes a key, or forwards the revocation to the process that issued the key.
pub async fn revoke_key(
    context: &Arc<TrafficContext>,
    mut request: Request,
) -> Result<Response, RefusalNotice> {
    let body: RevokeBody = read_json(context, &mut request).await?;
    check_workspace(&context.snapshot(), &body.workspace)?;
    let scope = KeyScope {
        workspace: body.workspace.into(),
        service: body.service.into(),
        operation: body.operation.into(),
    };
    let key = IdempotencyKey::decode(&body.key, &scope, &context.settings.shared_key)
        .ok_or_else(|| RefusalNotice::new(ResultCode::BadKey, ""))?;
    let reply = if key.incarnation == context.own.incarnation {
        context
            .control
            .ask(|ticket| Event::KeyRevoked { ticket, key })
            .await
    } else {
        let deadline = clock::now().after_ms(REVOKE_TIMEOUT_MS);
        send_to_owner(context, &scope, &key, &body.key, None, deadline).await
    };
    match reply {
        Some(Reply::Revoked) => Ok(json_response(
            200,
            &serde_json::json!({ "revoked": true, "effect": "not run" }),
        )),
        Some(Reply::Refused(notice)) if notice.code == ResultCode::KeyRevoked => Ok(json_response(
            200,
            &serde_json::json!({ "revoked": true, "effect": "not run" }),
        )),
        Some(Reply::Answer(_)) => Err(RefusalNotice::new(
            ResultCode::KeyRanAnswerGone,
            "it ran before it was revoked",
        )),
        Some(Reply::Refused(notice)) => Err(notice),
        _ => Err(RefusalNotice::new(ResultCode::KeyOwnerUnreachable, "")),
    }
}
