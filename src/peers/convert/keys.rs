//! Conversion of run-once calls, their answers and handed-off outcomes.

use std::sync::Arc;

use super::InvalidFrame;
use super::members::{incarnation_to_bytes, to_incarnation};
use super::slots::{to_refusal, to_refusal_frame};
use crate::controllers::idempotency::{HandoffRecord, HandoffState, StoredAnswer, StoredOutcome};
use crate::controllers::message::{KeyCall, PeerMessage};
use crate::peers::wire::{HandoffAnswerFrame, HandoffFrame, KeyAnswerFrame, KeyCallFrame};
use crate::prelude::*;

pub(super) fn to_key_answer_frame(
    call_id: u64,
    answer: &Result<StoredAnswer, RefusalNotice>,
) -> KeyAnswerFrame {
    match answer {
        Ok(answer) => KeyAnswerFrame {
            call_id,
            status: u32::from(answer.status),
            body: answer.body.to_string(),
            refusal: None,
        },
        Err(notice) => KeyAnswerFrame {
            call_id,
            status: 0,
            body: String::new(),
            refusal: Some(to_refusal_frame(notice)),
        },
    }
}

pub(super) fn to_key_answer(frame: KeyAnswerFrame) -> Result<PeerMessage, InvalidFrame> {
    let answer = match frame.refusal {
        Some(refusal) => Err(to_refusal(refusal)?),
        None => Ok(StoredAnswer {
            status: u16::try_from(frame.status).map_err(|_| InvalidFrame)?,
            body: frame.body.into(),
        }),
    };
    Ok(PeerMessage::KeyAnswer {
        call_id: frame.call_id,
        answer,
    })
}

pub(super) fn to_key_call_frame(call: &KeyCall, now: Moment) -> KeyCallFrame {
    KeyCallFrame {
        call_id: call.call_id,
        owner: call.owner.to_string(),
        owner_address: call.owner_address.to_string(),
        key: call.key.clone(),
        incarnation: incarnation_to_bytes(call.incarnation),
        serial: call.serial,
        workspace: call.workspace.to_string(),
        service: call.service.to_string(),
        operation: call.operation.to_string(),
        body: call.body.as_ref().map(ToString::to_string),
        remaining_ms: now.until_ms(call.deadline),
    }
}

pub(super) fn to_key_call(frame: KeyCallFrame, now: Moment) -> Result<PeerMessage, InvalidFrame> {
    Ok(PeerMessage::KeyCall(KeyCall {
        call_id: frame.call_id,
        owner: frame.owner.into(),
        owner_address: frame.owner_address.into(),
        key: frame.key,
        incarnation: to_incarnation(&frame.incarnation)?,
        serial: frame.serial,
        workspace: frame.workspace.into(),
        service: frame.service.into(),
        operation: frame.operation.into(),
        body: frame.body.map(Arc::from),
        deadline: now.after_ms(frame.remaining_ms),
    }))
}

/// Adds records to a handoff frame whose other fields are set, grouped by their state.
pub(super) fn fill_handoff_frame(mut frame: HandoffFrame, records: &[HandoffRecord]) -> HandoffFrame {
    for record in records {
        let serial = record.serial;
        match &record.state {
            HandoffState::Running => frame.running.push(serial),
            HandoffState::Ended(StoredOutcome::RanAnswerGone) => frame.ran.push(serial),
            HandoffState::Ended(StoredOutcome::Unknown) => frame.unknown.push(serial),
            HandoffState::Ended(StoredOutcome::Revoked) => frame.revoked.push(serial),
            HandoffState::Ended(StoredOutcome::Answered(answer)) => frame.answered.push(HandoffAnswerFrame {
                serial,
                status: u32::from(answer.status),
                body: answer.body.to_string(),
            }),
        }
    }
    frame
}

pub(super) fn to_handoff(frame: HandoffFrame) -> Result<PeerMessage, InvalidFrame> {
    let mut records = Vec::new();
    let mut add = |serials: Vec<u64>, state: HandoffState| {
        records.extend(serials.into_iter().map(|serial| HandoffRecord {
            serial,
            state: state.clone(),
        }));
    };
    add(frame.running, HandoffState::Running);
    add(frame.ran, HandoffState::Ended(StoredOutcome::RanAnswerGone));
    add(frame.unknown, HandoffState::Ended(StoredOutcome::Unknown));
    add(frame.revoked, HandoffState::Ended(StoredOutcome::Revoked));
    for answered in frame.answered {
        let answer = StoredAnswer {
            status: u16::try_from(answered.status).map_err(|_| InvalidFrame)?,
            body: answered.body.into(),
        };
        records.push(HandoffRecord {
            serial: answered.serial,
            state: HandoffState::Ended(StoredOutcome::Answered(answer)),
        });
    }
    Ok(PeerMessage::Handoff {
        incarnation: to_incarnation(&frame.incarnation)?,
        next_serial: frame.next_serial,
        part: frame.part,
        parts: frame.parts,
        records,
    })
}
