//! Conversion of crash reports, crash cases and trial runs. A time is sent as an age, since the clocks of VMs
//! differ.

use super::InvalidFrame;
use crate::controllers::message::{PeerMessage, TrialVerdict};
use crate::controllers::quarantine::{CaseRecord, CrashReport, TrialNumber};
use crate::peers::wire::{
    CaseFrame, CasesContentFrame, ClearedFrame, FrameBody, StrikeFrame, TrialAnswerFrame, TrialFrame,
};
use crate::prelude::*;

// Values of [`TrialAnswerFrame::verdict`].
const GRANTED: u32 = 0;
const BUSY: u32 = 1;
const HELD: u32 = 2;

fn to_strike_frame(fingerprint: u64, strike: &CrashReport, now: Moment) -> StrikeFrame {
    StrikeFrame {
        fingerprint,
        upstream: strike.upstream.to_string(),
        incarnation: strike.incarnation,
        level: strike.level,
        age_ms: strike.ended_at.until_ms(now),
        seen_by: strike.seen_by.to_string(),
    }
}

fn to_strike(frame: StrikeFrame, now: Moment) -> CrashReport {
    CrashReport {
        upstream: frame.upstream.into(),
        incarnation: frame.incarnation,
        level: frame.level,
        ended_at: Moment(now.0.saturating_sub(frame.age_ms)),
        seen_by: frame.seen_by.into(),
    }
}

pub(super) fn strike_body(fingerprint: u64, strike: &CrashReport, now: Moment) -> FrameBody {
    FrameBody::CrashReported(to_strike_frame(fingerprint, strike, now))
}

pub(super) fn strike_message(frame: StrikeFrame, now: Moment) -> PeerMessage {
    PeerMessage::CrashReported {
        fingerprint: frame.fingerprint,
        strike: to_strike(frame, now),
    }
}

pub(super) fn cleared_message(frame: &ClearedFrame) -> PeerMessage {
    PeerMessage::Cleared {
        fingerprint: frame.fingerprint,
        level: frame.level,
    }
}

pub(super) fn to_trial_frame(fingerprint: u64, number: TrialNumber, remaining_ms: u64) -> TrialFrame {
    TrialFrame {
        fingerprint,
        number,
        remaining_ms,
    }
}

pub(super) fn trial_answer_body(number: TrialNumber, verdict: TrialVerdict) -> FrameBody {
    let (word, level, span_ms) = match verdict {
        TrialVerdict::Granted { level } => (GRANTED, level, 0),
        TrialVerdict::Busy => (BUSY, 0, 0),
        TrialVerdict::Quarantined { span_ms } => (HELD, 0, span_ms),
    };
    FrameBody::TrialAnswer(TrialAnswerFrame {
        number,
        verdict: word,
        level,
        span_ms,
    })
}

pub(super) fn to_trial_answer(frame: &TrialAnswerFrame) -> Result<PeerMessage, InvalidFrame> {
    let verdict = match frame.verdict {
        GRANTED => TrialVerdict::Granted { level: frame.level },
        BUSY => TrialVerdict::Busy,
        HELD => TrialVerdict::Quarantined {
            span_ms: frame.span_ms,
        },
        _ => return Err(InvalidFrame),
    };
    Ok(PeerMessage::TrialAnswer {
        number: frame.number,
        verdict,
    })
}

pub(super) fn cases_body(records: &[CaseRecord], now: Moment) -> FrameBody {
    let to_frame = |record: &CaseRecord| CaseFrame {
        fingerprint: record.fingerprint,
        is_cleared: record.is_cleared,
        strikes: record
            .strikes
            .iter()
            .map(|strike| to_strike_frame(0, strike, now))
            .collect(),
    };
    FrameBody::CasesContent(CasesContentFrame {
        cases: records.iter().map(to_frame).collect(),
    })
}

pub(super) fn to_cases(frame: CasesContentFrame, now: Moment) -> PeerMessage {
    let to_record = |frame: CaseFrame| CaseRecord {
        fingerprint: frame.fingerprint,
        is_cleared: frame.is_cleared,
        strikes: frame
            .strikes
            .into_iter()
            .map(|strike| to_strike(strike, now))
            .collect(),
    };
    PeerMessage::CasesContent(frame.cases.into_iter().map(to_record).collect())
}
