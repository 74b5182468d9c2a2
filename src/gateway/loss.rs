//! Requests that ended with the connection to their replica.

use std::sync::Arc;

use super::exchange::CallerRequest;
use crate::blackboard::ReplicaRecord;
use crate::clock;
use crate::controllers::quarantine::UpstreamFate;
use crate::prelude::*;
use crate::runtime::{LostRun, RunPermit};
use crate::transport::{HttpStream, until};

/// How long a look at a replica may take, in milliseconds: a round trip between zones, a few times.
const LOOK_LIMIT_MS: u64 = 40;

/// How long a hop takes to close a connection for which it has no other end, in milliseconds.
const CLOSE_LIMIT_MS: u64 = 5;

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
    request: &CallerRequest,
    permit: &RunPermit,
    replica: &Arc<ReplicaRecord>,
    stage: RunStage,
    began_at: Moment,
) -> UpstreamFate {
    let lost_at = clock::now();
    let (id, fingerprint) = (request.facts.id.clone(), request.fingerprint);
    let (replica, note) = (replica.clone(), permit.loss_note());
    let reporting = async move {
        let fate = look_at(&replica, lost_at).await;
        spdlog::error!(
            "event=request_lost request={id} fingerprint={fingerprint:016x} stage={} replica={} replica_start={} \
             run_ms={} fate={fate:?}",
            stage.as_str(),
            replica.id,
            replica.started_epoch_ms,
            began_at.until_ms(lost_at)
        );
        let lost = LostRun {
            upstream: replica.id.clone(),
            incarnation: replica.started_epoch_ms,
            began_at,
            lost_at,
            fate,
        };
        note.tell(lost).await;
        fate
    };
    async_std::task::spawn(reporting).await
}

/// A process that ended leaves nobody who takes connections, or a hop before it that takes and closes them. A replica with
/// too many connections resets further ones instead.
async fn look_at(replica: &ReplicaRecord, now: Moment) -> UpstreamFate {
    let mut stream = match HttpStream::connect(replica.address, now.after_ms(LOOK_LIMIT_MS)).await {
        Ok(stream) => stream,
        Err(error) if error.is_refusal() => return UpstreamFate::Ended,
        Err(_) => return UpstreamFate::Unclear,
    };
    match until(clock::now().after_ms(CLOSE_LIMIT_MS), stream.fill()).await {
        Some(Ok(0)) => UpstreamFate::Ended,
        Some(Err(_)) => UpstreamFate::Unclear,
        Some(Ok(_)) | None => UpstreamFate::Alive,
    }
}
