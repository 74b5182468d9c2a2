//! Requests that ended with the connection to their replica.

use std::sync::Arc;

use super::GatewayContext;
use super::exchange::CallerRequest;
use super::upstream::PROXY_CLOSE_MS;
use crate::blackboard::ReplicaRecord;
use crate::clock;
use crate::controllers::quarantine::UpstreamOutcome;
use crate::prelude::*;
use crate::runtime::{LostRun, RunPermit};
use crate::transport::{HttpStream, until};

/// How long a look at a replica may take, in milliseconds: a round trip between zones, a few times.
const LOOK_LIMIT_MS: u64 = 40;

/// How long a look waits for its connection to be closed, in milliseconds.
const CLOSE_LIMIT_MS: u64 = 5;

/// A send of which the connection was lost.
pub struct LostSend<'a> {
    /// The leave with which it was made.
    pub permit: &'a RunPermit,
    /// The replica.
    pub replica: &'a Arc<ReplicaRecord>,
    /// What the replica was to do.
    pub stage: RunStage,
    /// When it was sent.
    pub began_at: Moment,
    /// Whether somebody was at the other end of its connection.
    pub is_proven: bool,
}

/// What a replica was doing for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStage {
    /// It ran a plain call.
    Call,
    /// It ran a prompt.
    Prefill,
    /// It generated an answer.
    Decode,
}

impl RunStage {
    /// The word used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

/// Looks at a replica with which a request was lost, and tells what it finds. The next send of the request, wherever it
/// is, heeds it. Goes on to its end also where the caller leaves meanwhile.
pub async fn report_loss(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    run: LostSend<'_>,
) -> UpstreamOutcome {
    let lost_at = clock::now();
    let (id, fingerprint) = (request.facts.id.clone(), request.fingerprint);
    let (context, replica, note) = (context.clone(), run.replica.clone(), run.permit.loss_note());
    let LostSend {
        stage,
        began_at,
        is_proven,
        ..
    } = run;
    let reporting = async move {
        let run_ms = began_at.until_ms(lost_at);
        let was_there = is_proven || run_ms > PROXY_CLOSE_MS;
        let outcome = match look_at(&replica, lost_at).await {
            ReplicaLook::Refused => UpstreamOutcome::Ended,
            // A hop would have closed the connection without the request, too.
            _ if !was_there => UpstreamOutcome::Unreached,
            ReplicaLook::ClosedAtOnce => UpstreamOutcome::Ended,
            ReplicaLook::Open => UpstreamOutcome::Alive,
            ReplicaLook::Unclear => UpstreamOutcome::Unclear,
        };
        spdlog::error!(
            "event=request_lost request={id} fingerprint={fingerprint:016x} stage={} replica={} replica_start={} \
             run_ms={run_ms} proven={is_proven} fate={outcome:?}",
            stage.as_str(),
            replica.id,
            replica.started_epoch_ms
        );
        if outcome == UpstreamOutcome::Unreached {
            context.unproven_losses.note(fingerprint, lost_at);
        }
        let lost = LostRun {
            upstream: replica.id.clone(),
            incarnation: replica.started_epoch_ms,
            began_at,
            lost_at,
            outcome,
        };
        note.tell(lost).await;
        outcome
    };
    async_std::task::spawn(reporting).await
}

/// What a new connection to a replica showed.
enum ReplicaLook {
    /// Nobody takes it.
    Refused,
    /// It is taken and closed.
    ClosedAtOnce,
    /// It stays open.
    Open,
    /// It can't be told.
    Unclear,
}

/// A process that ended leaves nobody who takes connections, or a hop before it that takes and closes them. A replica with
/// too many connections resets further ones instead.
async fn look_at(replica: &ReplicaRecord, now: Moment) -> ReplicaLook {
    let mut stream = match HttpStream::connect(replica.address, now.after_ms(LOOK_LIMIT_MS)).await {
        Ok(stream) => stream,
        Err(error) if error.is_connection_refused() => return ReplicaLook::Refused,
        Err(_) => return ReplicaLook::Unclear,
    };
    match until(clock::now().after_ms(CLOSE_LIMIT_MS), stream.fill()).await {
        Some(Ok(0)) => ReplicaLook::ClosedAtOnce,
        Some(Err(_)) => ReplicaLook::Unclear,
        Some(Ok(_)) | None => ReplicaLook::Open,
    }
}
