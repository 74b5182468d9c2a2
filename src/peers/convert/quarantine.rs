//! Conversion of crash reports, crash cases and trial runs. A time is sent as an age, since the clocks of VMs
//! differ.

use super::InvalidFrame;
use crate::controllers::message::{PeerMessage, TrialVerdict};
use crate::controllers::quarantine::{CaseRecord, CrashReport, TrialNumber};
use crate::peers::wire::{
    CaseFrame, CasesContentFrame, ClearedFrame, CrashReportFrame, FrameBody, TrialAnswerFrame, TrialFrame,
};
use crate::prelude::*;

// Values of [`TrialAnswerFrame::verdict`].
const GRANTED: u32 = 0;
const BUSY: u32 = 1;
const QUARANTINED: u32 = 2;

fn to_crash_report_frame(fingerprint: u64, report: &CrashReport, now: Moment) -> CrashReportFrame {
    CrashReportFrame {
        fingerprint,
        upstream: report.upstream.to_string(),
        incarnation: report.incarnation,
        crash_count: report.crash_count,
        age_ms: report.ended_at.until_ms(now),
        seen_by: report.seen_by.to_string(),
    }
}

fn to_crash_report(frame: CrashReportFrame, now: Moment) -> CrashReport {
    CrashReport {
        upstream: frame.upstream.into(),
        incarnation: frame.incarnation,
        crash_count: frame.crash_count,
        ended_at: Moment(now.0.saturating_sub(frame.age_ms)),
        seen_by: frame.seen_by.into(),
    }
}

pub(super) fn crash_report_body(fingerprint: u64, report: &CrashReport, now: Moment) -> FrameBody {
    FrameBody::CrashReported(to_crash_report_frame(fingerprint, report, now))
}

pub(super) fn crash_report_message(frame: CrashReportFrame, now: Moment) -> PeerMessage {
    PeerMessage::CrashReported {
        fingerprint: frame.fingerprint,
        report: to_crash_report(frame, now),
    }
}

pub(super) fn cleared_message(frame: &ClearedFrame) -> PeerMessage {
    PeerMessage::Cleared {
        fingerprint: frame.fingerprint,
        crash_count: frame.crash_count,
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
    let (verdict_number, crash_count, span_ms) = match verdict {
        TrialVerdict::Granted { crash_count } => (GRANTED, crash_count, 0),
        TrialVerdict::Busy => (BUSY, 0, 0),
        TrialVerdict::Quarantined { span_ms } => (QUARANTINED, 0, span_ms),
    };
    FrameBody::TrialAnswer(TrialAnswerFrame {
        number,
        verdict: verdict_number,
        crash_count,
        span_ms,
    })
}

pub(super) fn to_trial_answer(frame: &TrialAnswerFrame) -> Result<PeerMessage, InvalidFrame> {
    let verdict = match frame.verdict {
        GRANTED => TrialVerdict::Granted {
            crash_count: frame.crash_count,
        },
        BUSY => TrialVerdict::Busy,
        QUARANTINED => TrialVerdict::Quarantined {
            span_ms: frame.span_ms,
        },
        _ => return Err(InvalidFrame),
    };
    Ok(PeerMessage::TrialAnswer {
        number: frame.number,
        verdict,
    })
}

pub(super) fn cases_content_body(records: &[CaseRecord], now: Moment) -> FrameBody {
    let to_frame = |record: &CaseRecord| CaseFrame {
        fingerprint: record.fingerprint,
        is_cleared: record.is_cleared,
        reports: record
            .reports
            .iter()
            .map(|report| to_crash_report_frame(0, report, now))
            .collect(),
    };
    FrameBody::CasesContent(CasesContentFrame {
        cases: records.iter().map(to_frame).collect(),
    })
}

pub(super) fn to_cases_content(frame: CasesContentFrame, now: Moment) -> PeerMessage {
    let to_record = |frame: CaseFrame| CaseRecord {
        fingerprint: frame.fingerprint,
        is_cleared: frame.is_cleared,
        reports: frame
            .reports
            .into_iter()
            .map(|report| to_crash_report(report, now))
            .collect(),
    };
    PeerMessage::CasesContent(frame.cases.into_iter().map(to_record).collect())
}
