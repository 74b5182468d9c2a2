//! The answers that requests in progress get when the process exits as planned.

use super::TrafficContext;
use crate::prelude::*;
use crate::runtime::{LAST_RUN_MS, wait_until};

/// Waits until requests that still wait have to be answered because the process exits; returns the refusal of one
/// that has not run.
pub async fn wait_for_exit(context: &TrafficContext) -> RefusalNotice {
    let drain = context.control.drain_announced().await;
    wait_until(drain.exit_at).await;
    leaving_notice(context, ResultCode::Leaving)
}

/// Waits until requests that may be running have to be answered because the process exits; returns the answer.
pub async fn wait_for_last_run(context: &TrafficContext) -> RefusalNotice {
    let drain = context.control.drain_announced().await;
    wait_until(drain.exit_at.after_ms(LAST_RUN_MS)).await;
    leaving_notice(context, ResultCode::LeftDuringRun)
}

/// A refusal that names other entries, which the caller may use at once.
pub fn leaving_notice(context: &TrafficContext, code: ResultCode) -> RefusalNotice {
    let mut notice = RefusalNotice::new(code, &*context.own.name).retry_after_ms(0);
    notice.use_instead = context.other_entries("");
    notice
}
