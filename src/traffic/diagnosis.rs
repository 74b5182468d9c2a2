//! Tells an upstream that ended from a connection that broke.

use std::sync::Arc;

use super::TrafficContext;
use super::upstream::{UpstreamError, exchange, get};
use crate::clock;
use crate::controllers::quarantine::UpstreamOutcome;

/// How long the look at an upstream may take, in milliseconds.
const LOOK_LIMIT_MS: u64 = 1_000;

/// What a look at an upstream showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLook {
    /// Its outcome.
    pub outcome: UpstreamOutcome,
    /// Which start of it was known before; zero where none was.
    pub incarnation: u64,
}

/// Looks over a new connection at an upstream with which a request was lost.
pub async fn diagnose(context: &TrafficContext, upstream: &Arc<str>) -> UpstreamLook {
    let incarnation = context.boot_of(upstream);
    let outcome = match ask_health(context, upstream).await {
        Some(Ok(())) if incarnation == 0 || context.boot_of(upstream) == incarnation => {
            UpstreamOutcome::Alive
        }
        Some(Ok(())) => UpstreamOutcome::Ended,
        // Refused, or accepted and closed without a word by something between that has lost the upstream.
        Some(Err(UpstreamError::Connect { .. } | UpstreamError::Broken { .. })) => UpstreamOutcome::Ended,
        Some(Err(UpstreamError::Deadline { .. })) | None => UpstreamOutcome::Unclear,
    };
    UpstreamLook { outcome, incarnation }
}

/// Whether an upstream answers now, whichever start of it.
pub async fn is_answering(context: &TrafficContext, upstream: &Arc<str>) -> bool {
    matches!(ask_health(context, upstream).await, Some(Ok(())))
}

/// Asks an upstream for its health and notes its start; `None` where it has no address.
async fn ask_health(context: &TrafficContext, upstream: &Arc<str>) -> Option<Result<(), UpstreamError>> {
    let snapshot = context.snapshot();
    let address = &snapshot.register.upstream(upstream)?.address;
    let request = get(address, "/health")?;
    let deadline = clock::now().after_ms(LOOK_LIMIT_MS);
    let answer = exchange(address, request, deadline).await;
    Some(answer.map(|response| context.note_start(upstream, &response)))
}
