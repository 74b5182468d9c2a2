//! Idempotent calls: retried on other replicas, and hedged with a second one when the first is slow.

use std::sync::Arc;
use std::time::Duration;

use futures::future::{Either, select};

use super::replica::{CallOutcome, ReplicaCall, call_replica, choose_replica};
use super::{CheckedCall, RETRY_AFTER_MS};
use crate::clock;
use crate::controllers::idempotency::StoredAnswer;
use crate::prelude::*;
use crate::runtime::RunPermit;
use crate::traffic::TrafficContext;

/// Runs an idempotent call on one replica after another until one answers or the deadline passes.
pub(super) async fn call_idempotent(
    context: &Arc<TrafficContext>,
    call: &CheckedCall,
) -> Result<StoredAnswer, RefusalNotice> {
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
            return Err(RefusalNotice::new(code, "").retry_after_ms(RETRY_AFTER_MS));
        }
        let (replica, permit) = match acquire_replica(context, call, &avoid).await {
            Ok(chosen) => chosen,
            Err(notice) if is_sent => {
                let failed = RefusalNotice::new(ResultCode::UpstreamFailed, notice.detail);
                return Err(failed.retry_after_ms(notice.retry_after_ms.unwrap_or(RETRY_AFTER_MS)));
            }
            Err(notice) => return Err(notice),
        };
        avoid.push(replica.clone());
        match call_hedged(context, call, replica, permit, &mut avoid).await {
            CallOutcome::Answered(answer) => {
                context
                    .metrics
                    .record_lookup(&call.scope.workspace, &call.scope.operation, began_at);
                context.record_latency(&call.scope, clock::now().0 - began_at.0);
                return Ok(answer);
            }
            CallOutcome::Unsent => {}
            CallOutcome::Lost => is_sent = true,
        }
    }
}

/// Waits for permission to run a call, and chooses a replica for it.
async fn acquire_replica(
    context: &Arc<TrafficContext>,
    call: &CheckedCall,
    avoid: &[Arc<str>],
) -> Result<(Arc<str>, RunPermit), RefusalNotice> {
    let permit = RunPermit::acquire(&context.control, &call.features, call.deadline).await?;
    let replica = choose_replica(context, &call.scope, avoid, !avoid.is_empty()).await?;
    Ok((replica, permit))
}

/// Calls a replica, and a second one if the first has not answered within the hedge delay; the first answer
/// wins. A trial run is not hedged.
async fn call_hedged(
    context: &Arc<TrafficContext>,
    call: &CheckedCall,
    replica: Arc<str>,
    permit: RunPermit,
    avoid: &mut Vec<Arc<str>>,
) -> CallOutcome {
    let is_trial = permit.is_trial();
    let first = spawn_call(context, call, replica, permit);
    if is_trial {
        return first.await;
    }
    let hedge_after = Duration::from_millis(context.hedge_delay_ms(&call.scope));
    let pause = std::pin::pin!(async_std::task::sleep(hedge_after));
    let first = match select(first, pause).await {
        Either::Left((outcome, _)) => return outcome,
        Either::Right((_, first)) => first,
    };
    let Some(permit) = RunPermit::for_hedge(&context.control, &call.features) else {
        return first.await;
    };
    let Ok(replica) = choose_replica(context, &call.scope, avoid, true).await else {
        return first.await;
    };
    avoid.push(replica.clone());
    context.metrics.count_hedge();
    let second = spawn_call(context, call, replica, permit);
    match select(first, second).await {
        Either::Left((CallOutcome::Answered(answer), _))
        | Either::Right((CallOutcome::Answered(answer), _)) => CallOutcome::Answered(answer),
        Either::Left((_, second)) => second.await,
        Either::Right((_, first)) => first.await,
    }
}

/// Runs a call as a separate task, so that its outcome is recorded even if another answer wins.
fn spawn_call(
    context: &Arc<TrafficContext>,
    call: &CheckedCall,
    replica: Arc<str>,
    permit: RunPermit,
) -> async_std::task::JoinHandle<CallOutcome> {
    let context = context.clone();
    let scope = call.scope.clone();
    let payload = call.payload.clone();
    let deadline = call.deadline;
    async_std::task::spawn(async move {
        let call = ReplicaCall {
            scope: &scope,
            payload: &payload,
            key: None,
            start_by: deadline,
            answer_by: deadline,
            permit: &permit,
        };
        call_replica(&context, &replica, &call).await
    })
}
