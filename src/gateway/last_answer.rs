//! The answers that requests in progress get when the process exits as planned.

use super::GatewayContext;
use super::exposure::RunExposure;
use crate::prelude::*;
use crate::runtime::{LAST_RUN_MS, wait_until};

/// Waits until this VM accepts no more requests because the process exits as planned, and returns the answer to a
/// request that was not read completely by then.
pub async fn wait_for_accept_end(context: &GatewayContext) -> RefusalNotice {
    let drain = context.control.drain_announced().await;
    wait_until(drain.accept_until).await;
    context.leaving_notice()
}

/// Waits until a request has to be answered because the process exits, and returns the answer. A request that has
/// certainly not run is refused when the exit is due, and one that may be running a moment later. Never returns for
/// a request whose answer has begun.
pub async fn wait_for_last_answer(context: &GatewayContext, exposure: &RunExposure) -> RefusalNotice {
    let exit_at = context.control.drain_announced().await.exit_at;
    wait_until(exit_at).await;
    if exposure.may_have_run() {
        wait_until(exit_at.after_ms(LAST_RUN_MS)).await;
    }
    if exposure.is_answering() {
        std::future::pending::<()>().await;
    }
    if exposure.may_have_run() {
        RefusalNotice::new(ResultCode::LeftDuringRun, &*context.own.name).retry_after_ms(0)
    } else {
        context.leaving_notice()
    }
}
