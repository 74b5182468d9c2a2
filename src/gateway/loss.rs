//! Requests lost with the connection to their replica: probes the replica and reports what happened to it.

use std::sync::Arc;
use std::time::Duration;

use super::GatewayContext;
use super::exchange::CallerRequest;
use super::upstream::PROXY_CLOSE_MS;
use crate::blackboard::ReplicaRecord;
use crate::clock;
use crate::controllers::quarantine::UpstreamOutcome;
use crate::prelude::*;
use crate::runtime::{LostRun, RunPermit};
use crate::transport::{HttpStream, until};

/// Connect timeout of a probe, in milliseconds: a few round trips between zones.
const PROBE_TIMEOUT_MS: u64 = 40;

/// Time until a second probe after one that showed neither an exit nor a running process, in milliseconds. A
/// process that is exiting may close its connections before its port, and reset those that come in between.
const PROBE_RETRY_MS: u64 = 20;

/// How long a probe after a lost connection watches its own connection for a close, in milliseconds.
const CLOSE_WATCH_MS: u64 = 5;

/// How long a probe after the end of an unframed answer watches its connection for a close, in milliseconds. A
/// replica that has answered may be taken for running only once it would be seen to exit.
const EXIT_WATCH_MS: u64 = 25;

/// A send whose connection was lost.
pub struct LostSend<'a> {
    /// Permit that the request ran with.
    pub permit: &'a RunPermit,
    /// Replica that it was sent to.
    pub replica: &'a Arc<ReplicaRecord>,
    /// Work that it was sent for.
    pub stage: RunStage,
    /// When the send began.
    pub began_at: Moment,
    /// What is known of the replica at the time when the request was sent.
    pub contact: ReplicaContact,
}

/// What is known of a replica at the time when a request is sent to it over a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaContact {
    /// The connection was accepted, maybe by a proxy or by the system of a process that was exiting.
    Assumed,
    /// The connection carried an answer of the replica before, which may have exited since.
    Earlier,
    /// The replica was running.
    Shown,
}

/// Kind of work that a replica does for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStage {
    /// Runs a plain call.
    Call,
    /// Runs the prompt of a generation.
    Prefill,
    /// Generates the answer.
    Decode,
}

impl RunStage {
    /// Returns the word used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

/// Probes the replica at which a request was lost and reports the outcome to the quarantine before the
/// request can be sent again. Runs to completion even if the caller disconnects.
pub async fn report_loss(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    lost_send: LostSend<'_>,
) -> UpstreamOutcome {
    let lost_at = clock::now();
    let (id, features) = (request.facts.id.clone(), request.features.clone());
    let (context, replica, reporter) = (
        context.clone(),
        lost_send.replica.clone(),
        lost_send
            .permit
            .loss_reporter(lost_send.contact == ReplicaContact::Shown),
    );
    let output_ms = lost_send.permit.output_ms(lost_at);
    let LostSend {
        stage,
        began_at,
        contact,
        ..
    } = lost_send;
    let reporting = async move {
        let run_ms = began_at.until_ms(lost_at);
        let has_reached_replica = contact != ReplicaContact::Assumed || run_ms > PROXY_CLOSE_MS;
        let outcome = match probe_replica(&replica, lost_at, CLOSE_WATCH_MS).await {
            ProbeResult::Refused => UpstreamOutcome::Ended,
            // A proxy also closes a connection if no replica is behind it, so maybe none got the request.
            _ if !has_reached_replica => UpstreamOutcome::Unreached,
            ProbeResult::ClosedAtOnce => UpstreamOutcome::Ended,
            ProbeResult::Open => UpstreamOutcome::Alive,
            ProbeResult::Unclear => UpstreamOutcome::Unclear,
        };
        spdlog::error!(
            "event=request_lost request={id} fingerprint={:016x} stage={} replica={} replica_start={} \
             run_ms={run_ms} output_ms={} proven={} fate={outcome:?}",
            features.content(),
            stage.as_str(),
            replica.id,
            replica.started_epoch_ms,
            output_ms.map_or_else(|| "-".to_owned(), |output_ms| output_ms.to_string()),
            contact == ReplicaContact::Shown
        );
        if outcome == UpstreamOutcome::Unreached {
            context.unproven_losses.record(&features, lost_at);
        }
        let lost = LostRun {
            upstream: replica.id.clone(),
            incarnation: replica.started_epoch_ms,
            began_at,
            lost_at,
            outcome,
        };
        reporter.report(lost).await;
        outcome
    };
    async_std::task::spawn(reporting).await
}

/// Whether a probe of a replica shows that its process has exited.
pub async fn has_exited(replica: &ReplicaRecord) -> bool {
    let result = probe_replica(replica, clock::now(), EXIT_WATCH_MS).await;
    matches!(result, ProbeResult::Refused | ProbeResult::ClosedAtOnce)
}

/// Result of a probe by a new connection.
enum ProbeResult {
    /// The connection was refused.
    Refused,
    /// The connection was accepted and closed at once.
    ClosedAtOnce,
    /// The connection stayed open.
    Open,
    /// The connection timed out, was reset or failed otherwise.
    Unclear,
}

/// Probes whether a replica's process is running, a second time if the first probe was inconclusive.
async fn probe_replica(replica: &ReplicaRecord, now: Moment, watch_ms: u64) -> ProbeResult {
    match probe_once(replica, now, watch_ms).await {
        ProbeResult::Unclear => {
            async_std::task::sleep(Duration::from_millis(PROBE_RETRY_MS)).await;
            probe_once(replica, clock::now(), watch_ms).await
        }
        result => result,
    }
}

/// Probes whether a replica's process is running. If it has exited, connections are refused, or accepted and
/// closed by a proxy in front of it. A replica that has too many connections resets further ones instead.
async fn probe_once(replica: &ReplicaRecord, now: Moment, watch_ms: u64) -> ProbeResult {
    let mut stream = match HttpStream::connect(replica.address, now.after_ms(PROBE_TIMEOUT_MS)).await {
        Ok(stream) => stream,
        Err(error) if error.is_connection_refused() => return ProbeResult::Refused,
        Err(_) => return ProbeResult::Unclear,
    };
    match until(clock::now().after_ms(watch_ms), stream.fill()).await {
        Some(Ok(0)) => ProbeResult::ClosedAtOnce,
        Some(Err(_)) => ProbeResult::Unclear,
        Some(Ok(_)) | None => ProbeResult::Open,
    }
}
