//! Distinguishes a crashed upstream from a broken connection.

use std::sync::Arc;

use super::TrafficContext;
use super::upstream::{UpstreamError, exchange, get};
use crate::clock;
use crate::controllers::quarantine::UpstreamOutcome;

/// Timeout for the health check of an upstream, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// The result of probing an upstream after a request to it was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamProbe {
    /// Whether the upstream is alive, has exited or restarted, or neither is certain.
    pub outcome: UpstreamOutcome,
    /// The boot number that was known before the probe; zero if none was.
    pub incarnation: u64,
}

/// Probes, over a new connection, an upstream on which a request was lost.
pub async fn diagnose(context: &TrafficContext, upstream: &Arc<str>) -> UpstreamProbe {
    let incarnation = context.known_boot(upstream);
    let outcome = match check_health(context, upstream).await {
        Some(Ok(())) if incarnation == 0 || context.known_boot(upstream) == incarnation => {
            UpstreamOutcome::Alive
        }
        Some(Ok(())) => UpstreamOutcome::Ended,
        // The connection was refused, or an intermediary that lost the upstream accepted and closed it.
        Some(Err(UpstreamError::Connect { .. } | UpstreamError::Broken { .. })) => UpstreamOutcome::Ended,
        Some(Err(UpstreamError::Deadline { .. })) | None => UpstreamOutcome::Unclear,
    };
    UpstreamProbe { outcome, incarnation }
}

/// Whether an upstream answers a health check now, even if it has restarted since the last one.
pub async fn is_answering(context: &TrafficContext, upstream: &Arc<str>) -> bool {
    matches!(check_health(context, upstream).await, Some(Ok(())))
}

/// Calls an upstream's health check and records its boot number; `None` if it has no address.
async fn check_health(context: &TrafficContext, upstream: &Arc<str>) -> Option<Result<(), UpstreamError>> {
    let snapshot = context.snapshot();
    let address = &snapshot.register.upstream(upstream)?.address;
    let request = get(address, "/health")?;
    let deadline = clock::now().after_ms(PROBE_TIMEOUT_MS);
    let answer = exchange(address, request, deadline).await;
    Some(answer.map(|response| context.record_boot(upstream, &response)))
}
