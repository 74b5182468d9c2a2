//! Conversion of requests for proof. The proof's time is sent as an age, since the clocks of VMs differ.

use super::to_stamp;
use crate::controllers::message::PeerMessage;
use crate::peers::wire::{FrameBody, ProofAnswerFrame, ProofRequestFrame};
use crate::prelude::*;

pub(super) fn proof_request_body(number: u64) -> FrameBody {
    FrameBody::ProofRequest(ProofRequestFrame { number })
}

pub(super) fn proof_answer_body(number: u64, stamp: RegisterStamp, age_ms: u64) -> FrameBody {
    FrameBody::ProofAnswer(ProofAnswerFrame {
        number,
        revision: stamp.revision,
        written: stamp.written.parts().1,
        written_era: stamp.written.era().number(),
        age_ms: (age_ms < u64::MAX).then_some(age_ms),
    })
}

pub(super) fn to_proof_request(frame: &ProofRequestFrame) -> PeerMessage {
    PeerMessage::ProofRequest { number: frame.number }
}

pub(super) fn to_proof_answer(frame: &ProofAnswerFrame) -> PeerMessage {
    PeerMessage::ProofAnswer {
        number: frame.number,
        stamp: to_stamp(frame.revision, frame.written_era, frame.written),
        // An answer without an age proves nothing.
        age_ms: frame.age_ms.unwrap_or(u64::MAX),
    }
}
