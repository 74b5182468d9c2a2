//! Conversion of limit reports and permits. A time is sent as an age, since the clocks of VMs differ.

use crate::blackboard::RequestRate;
use crate::controllers::message::PeerMessage;
use crate::controllers::rate_limits::{LimitReport, PermitRequest, PermitVerdict};
use crate::peers::wire::{
    FrameBody, LimitFrame, LimitsContentFrame, PermitAnswerFrame, PermitRequestFrame, PermitReturnedFrame,
};
use crate::prelude::*;

pub(super) fn to_limit_frame(record: &LimitReport, now: Moment) -> LimitFrame {
    LimitFrame {
        replica: record.replica.to_string(),
        started_epoch_ms: record.started_epoch_ms,
        rate: record.rate.map(|rate| rate.0),
        reported_age_ms: record.first_reported_at.until_ms(now),
        asked_age_ms: record.asked_at.until_ms(now),
        answered_age_ms: record.answered_at.until_ms(now),
        seen_by: record.seen_by.to_string(),
    }
}

pub(super) fn to_limit_report(frame: LimitFrame, now: Moment) -> LimitReport {
    let ago = |age_ms: u64| Moment(now.0.saturating_sub(age_ms));
    LimitReport {
        replica: frame.replica.into(),
        started_epoch_ms: frame.started_epoch_ms,
        rate: frame.rate.map(RequestRate),
        first_reported_at: ago(frame.reported_age_ms),
        asked_at: ago(frame.asked_age_ms),
        answered_at: ago(frame.answered_age_ms),
        seen_by: frame.seen_by.into(),
    }
}

pub(super) fn limits_content_body(records: &[LimitReport], now: Moment) -> FrameBody {
    FrameBody::LimitsContent(LimitsContentFrame {
        limits: records.iter().map(|record| to_limit_frame(record, now)).collect(),
    })
}

pub(super) fn to_limits_content(frame: LimitsContentFrame, now: Moment) -> PeerMessage {
    let records = frame.limits.into_iter().map(|frame| to_limit_report(frame, now));
    PeerMessage::LimitsContent(records.collect())
}

pub(super) fn permit_request_body(number: u64, request: &PermitRequest, now: Moment) -> FrameBody {
    FrameBody::PermitRequest(PermitRequestFrame {
        number,
        service: request.service.to_string(),
        candidates: request.candidates.iter().map(ToString::to_string).collect(),
        max_wait_ms: now.until_ms(request.start_by),
    })
}

pub(super) fn to_permit_request(frame: PermitRequestFrame, now: Moment) -> PeerMessage {
    PeerMessage::PermitRequest {
        number: frame.number,
        request: PermitRequest {
            service: frame.service.into(),
            candidates: frame.candidates.into_iter().map(Into::into).collect(),
            start_by: now.after_ms(frame.max_wait_ms),
        },
    }
}

pub(super) fn permit_answer_body(number: u64, verdict: &PermitVerdict) -> FrameBody {
    let (replica, wait_ms) = match verdict {
        PermitVerdict::Granted { replica, wait_ms } => (replica.to_string(), *wait_ms),
        PermitVerdict::Refused { pause_ms } => (String::new(), *pause_ms),
    };
    FrameBody::PermitAnswer(PermitAnswerFrame {
        number,
        replica,
        wait_ms,
    })
}

pub(super) fn to_permit_answer(frame: PermitAnswerFrame) -> PeerMessage {
    let verdict = if frame.replica.is_empty() {
        PermitVerdict::Refused {
            pause_ms: frame.wait_ms,
        }
    } else {
        PermitVerdict::Granted {
            replica: frame.replica.into(),
            wait_ms: frame.wait_ms,
        }
    };
    PeerMessage::PermitAnswer {
        number: frame.number,
        verdict,
    }
}

pub(super) fn permit_returned_body(service: &str, replica: &str) -> FrameBody {
    FrameBody::PermitReturned(PermitReturnedFrame {
        service: service.to_owned(),
        replica: replica.to_owned(),
    })
}

pub(super) fn to_permit_returned(frame: PermitReturnedFrame) -> PeerMessage {
    PeerMessage::PermitReturned {
        service: frame.service.into(),
        replica: frame.replica.into(),
    }
}
