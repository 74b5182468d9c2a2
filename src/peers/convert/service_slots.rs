//! Conversion of requests for slots of plain services. Times are sent as spans and ages, since the clocks of VMs
//! differ.

use super::InvalidFrame;
use crate::blackboard::ReplicaLoad;
use crate::controllers::message::PeerMessage;
use crate::controllers::service_slots::{
    LoadReport, MAX_LOADS, SendEnd, SendRelease, SendRequest, SendVerdict,
};
use crate::peers::wire::{
    EmptyAnswerFrame, FrameBody, LoadFrame, SendSlotAnswerFrame, SendSlotReleasedFrame, SendSlotRequestFrame,
    SendVerdictBody,
};
use crate::prelude::*;

fn to_load_frame(replica: &str, load: ReplicaLoad, age_ms: u64) -> LoadFrame {
    LoadFrame {
        replica: replica.to_owned(),
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        pace_percent: load.pace_percent,
        age_ms,
    }
}

fn to_load(frame: &LoadFrame) -> ReplicaLoad {
    ReplicaLoad {
        running: frame.running,
        waiting: frame.waiting,
        slots: frame.slots,
        pace_percent: frame.pace_percent,
    }
}

pub(super) fn send_slot_request_body(number: u64, request: &SendRequest, now: Moment) -> FrameBody {
    let loads = request.loads.iter().map(|report| {
        let age_ms = report.reported_at.until_ms(now);
        to_load_frame(&report.replica, report.load, age_ms)
    });
    FrameBody::SendSlotRequest(SendSlotRequestFrame {
        number,
        service: request.service.to_string(),
        rank: request.rank,
        avoid: request.avoid.iter().map(ToString::to_string).collect(),
        objective_in_ms: now.until_ms(request.objective),
        deadline_in_ms: now.until_ms(request.deadline),
        is_immediate: request.is_immediate,
        loads: loads.collect(),
    })
}

pub(super) fn to_send_slot_request(frame: SendSlotRequestFrame, now: Moment) -> PeerMessage {
    let loads = frame.loads.iter().take(MAX_LOADS).map(|load| LoadReport {
        replica: load.replica.as_str().into(),
        load: to_load(load),
        reported_at: Moment(now.0.saturating_sub(load.age_ms)),
    });
    let loads = loads.collect();
    PeerMessage::SendSlotRequest {
        number: frame.number,
        request: SendRequest {
            service: frame.service.into(),
            rank: frame.rank,
            avoid: frame.avoid.into_iter().map(Into::into).collect(),
            objective: now.after_ms(frame.objective_in_ms),
            deadline: now.after_ms(frame.deadline_in_ms),
            is_immediate: frame.is_immediate,
            loads,
        },
    }
}

pub(super) fn send_slot_answer_body(number: u64, verdict: &SendVerdict) -> FrameBody {
    let verdict = match verdict {
        SendVerdict::Granted { replica } => SendVerdictBody::GrantedReplica(replica.to_string()),
        SendVerdict::Queued => SendVerdictBody::Queued(EmptyAnswerFrame {}),
        SendVerdict::Refused { retry_ms } => SendVerdictBody::RefusedRetryMs(*retry_ms),
        SendVerdict::NoCandidate => SendVerdictBody::NoCandidate(EmptyAnswerFrame {}),
    };
    FrameBody::SendSlotAnswer(SendSlotAnswerFrame {
        number,
        verdict: Some(verdict),
    })
}

pub(super) fn to_send_slot_answer(frame: SendSlotAnswerFrame) -> Result<PeerMessage, InvalidFrame> {
    let verdict = match frame.verdict.ok_or(InvalidFrame)? {
        SendVerdictBody::GrantedReplica(replica) => SendVerdict::Granted {
            replica: replica.into(),
        },
        SendVerdictBody::Queued(EmptyAnswerFrame {}) => SendVerdict::Queued,
        SendVerdictBody::RefusedRetryMs(retry_ms) => SendVerdict::Refused { retry_ms },
        SendVerdictBody::NoCandidate(EmptyAnswerFrame {}) => SendVerdict::NoCandidate,
    };
    let number = frame.number;
    Ok(PeerMessage::SendSlotAnswer { number, verdict })
}

pub(super) fn send_slot_released_body(number: u64, release: &SendRelease) -> FrameBody {
    let (end, elapsed_ms) = match release.end {
        SendEnd::Unused => (0, 0),
        SendEnd::Answered(elapsed_ms) => (1, elapsed_ms),
        SendEnd::Rejected => (2, 0),
        SendEnd::Failed => (3, 0),
        SendEnd::Ended => (4, 0),
        SendEnd::Abandoned(elapsed_ms) => (5, elapsed_ms),
    };
    FrameBody::SendSlotReleased(SendSlotReleasedFrame {
        number,
        end,
        elapsed_ms,
        load: release.load.map(|load| to_load_frame("", load, 0)),
    })
}

pub(super) fn to_send_slot_released(frame: &SendSlotReleasedFrame) -> Result<PeerMessage, InvalidFrame> {
    let end = match frame.end {
        0 => SendEnd::Unused,
        1 => SendEnd::Answered(frame.elapsed_ms),
        2 => SendEnd::Rejected,
        3 => SendEnd::Failed,
        4 => SendEnd::Ended,
        5 => SendEnd::Abandoned(frame.elapsed_ms),
        _ => return Err(InvalidFrame),
    };
    let load = frame.load.as_ref().map(to_load);
    Ok(PeerMessage::SendSlotReleased {
        number: frame.number,
        release: SendRelease { end, load },
    })
}
