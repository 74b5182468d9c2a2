//! Requests that ended with the connection to their replica.

use super::exchange::CallerRequest;
use crate::blackboard::ReplicaRecord;
use crate::clock;
use crate::prelude::*;

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

/// Notes that the connection ended over which a replica was to answer a request.
pub fn note_loss(request: &CallerRequest, replica: &ReplicaRecord, stage: RunStage, began_at: Moment) {
    spdlog::error!(
        "event=request_lost request={} fingerprint={:016x} stage={} replica={} replica_start={} run_ms={}",
        request.facts.id,
        request.fingerprint,
        stage.as_str(),
        replica.id,
        replica.started_epoch_ms,
        began_at.until_ms(clock::now())
    );
}
