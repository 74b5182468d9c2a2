//! Conversion of crash reports, crash cases and trial runs. A time is sent as an age, since the clocks of VMs
//! differ.

use super::InvalidFrame;
use crate::blackboard::{FeatureKind, Fingerprint, RequestFeature, TrialScope};
use crate::controllers::message::{PeerMessage, TrialVerdict};
use crate::controllers::quarantine::{CaseRecord, CrashReport, CrashSuspect, TrialNumber};
use crate::peers::wire::{
    CaseFrame, CasesContentFrame, ClearedFrame, CrashReportFrame, FrameBody, RunsPassedFrame,
    TrialAnswerFrame, TrialFrame,
};
use crate::prelude::*;

// Values of [`TrialAnswerFrame::verdict`].
const GRANTED: u32 = 0;
const BUSY: u32 = 1;
const QUARANTINED: u32 = 2;

/// The hashes of a feature as frames have them: of a content and of a part, one of them zero.
fn to_hashes(feature: RequestFeature) -> (Fingerprint, Fingerprint) {
    match feature.kind {
        FeatureKind::Content => (feature.hash, 0),
        FeatureKind::Part => (0, feature.hash),
    }
}

fn to_feature(content: Fingerprint, part: Fingerprint) -> RequestFeature {
    match part {
        0 => RequestFeature::content(content),
        part => RequestFeature {
            kind: FeatureKind::Part,
            hash: part,
        },
    }
}

pub(super) fn to_crash_report_frame(report: &CrashReport, now: Moment) -> CrashReportFrame {
    let mut frame = CrashReportFrame {
        upstream: report.upstream.to_string(),
        incarnation: report.incarnation,
        age_ms: report.ended_at.until_ms(now),
        seen_by: report.seen_by.to_string(),
        ..CrashReportFrame::default()
    };
    for suspect in report.suspects.iter() {
        match suspect.feature.kind {
            FeatureKind::Content => {
                frame.content = suspect.feature.hash;
                frame.crash_count = suspect.crash_count;
            }
            FeatureKind::Part => {
                frame.parts.push(suspect.feature.hash);
                frame.part_counts.push(suspect.crash_count);
            }
        }
    }
    frame
}

pub(super) fn to_crash_report(frame: CrashReportFrame, now: Moment) -> CrashReport {
    let content = CrashSuspect {
        feature: RequestFeature::content(frame.content),
        crash_count: frame.crash_count,
    };
    let parts = frame.parts.into_iter().zip(frame.part_counts);
    let parts = parts.map(|(part, crash_count)| CrashSuspect {
        feature: to_feature(0, part),
        crash_count,
    });
    let suspects = std::iter::once(content).chain(parts);
    CrashReport {
        upstream: frame.upstream.into(),
        incarnation: frame.incarnation,
        suspects: suspects.filter(|suspect| suspect.crash_count > 0).collect(),
        ended_at: Moment(now.0.saturating_sub(frame.age_ms)),
        seen_by: frame.seen_by.into(),
    }
}

pub(super) fn to_cleared_frame(feature: RequestFeature, crash_count: u32) -> ClearedFrame {
    let (content, part) = to_hashes(feature);
    ClearedFrame {
        content,
        crash_count,
        part,
    }
}

pub(super) fn to_cleared(frame: &ClearedFrame) -> PeerMessage {
    PeerMessage::Cleared {
        feature: to_feature(frame.content, frame.part),
        crash_count: frame.crash_count,
    }
}

pub(super) fn to_runs_passed_frame(feature: RequestFeature, count: u32, crash_count: u32) -> RunsPassedFrame {
    let (content, part) = to_hashes(feature);
    RunsPassedFrame {
        content,
        part,
        count,
        crash_count: Some(crash_count),
    }
}

pub(super) fn to_runs_passed(frame: &RunsPassedFrame) -> PeerMessage {
    PeerMessage::RunsPassed {
        feature: to_feature(frame.content, frame.part),
        count: frame.count.max(1),
        crash_count: frame.crash_count.unwrap_or(u32::MAX),
    }
}

pub(super) fn to_trial_request_frame(
    scope: TrialScope,
    number: TrialNumber,
    remaining_ms: u64,
) -> TrialFrame {
    TrialFrame {
        remaining_ms,
        tells_apart: scope.tells_apart,
        ..to_trial_done_frame(scope.feature, number)
    }
}

pub(super) fn to_trial_request(frame: &TrialFrame) -> PeerMessage {
    PeerMessage::TrialRequest {
        scope: TrialScope {
            feature: to_feature(frame.content, frame.part),
            tells_apart: frame.tells_apart,
        },
        number: frame.number,
        remaining_ms: frame.remaining_ms,
    }
}

pub(super) fn to_trial_done_frame(feature: RequestFeature, number: TrialNumber) -> TrialFrame {
    let (content, part) = to_hashes(feature);
    TrialFrame {
        content,
        number,
        part,
        ..TrialFrame::default()
    }
}

pub(super) fn to_trial_done(frame: &TrialFrame) -> PeerMessage {
    PeerMessage::TrialDone {
        feature: to_feature(frame.content, frame.part),
        number: frame.number,
    }
}

pub(super) fn trial_answer_body(number: TrialNumber, verdict: TrialVerdict) -> FrameBody {
    let mut frame = TrialAnswerFrame {
        number,
        ..TrialAnswerFrame::default()
    };
    match verdict {
        TrialVerdict::Granted { crash_count, passes } => {
            frame.verdict = GRANTED;
            frame.crash_count = crash_count;
            frame.passes = passes;
        }
        TrialVerdict::Busy => frame.verdict = BUSY,
        TrialVerdict::Quarantined { span_ms } => {
            frame.verdict = QUARANTINED;
            frame.span_ms = span_ms;
        }
    }
    FrameBody::TrialAnswer(frame)
}

pub(super) fn to_trial_answer(frame: &TrialAnswerFrame) -> Result<PeerMessage, InvalidFrame> {
    let verdict = match frame.verdict {
        GRANTED => TrialVerdict::Granted {
            crash_count: frame.crash_count,
            passes: frame.passes,
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
    let to_frame = |record: &CaseRecord| {
        let (content, part) = to_hashes(record.feature);
        let reports = record.reports.iter();
        CaseFrame {
            content,
            is_cleared: record.is_cleared,
            reports: reports.map(|report| to_crash_report_frame(report, now)).collect(),
            part,
        }
    };
    FrameBody::CasesContent(CasesContentFrame {
        cases: records.iter().map(to_frame).collect(),
    })
}

pub(super) fn to_cases_content(frame: CasesContentFrame, now: Moment) -> PeerMessage {
    let to_record = |frame: CaseFrame| {
        let reports = frame.reports.into_iter().map(|mut report| {
            if report.content == 0 {
                report.content = frame.content;
            }
            to_crash_report(report, now)
        });
        CaseRecord {
            feature: to_feature(frame.content, frame.part),
            is_cleared: frame.is_cleared,
            reports: reports.collect(),
        }
    };
    PeerMessage::CasesContent(frame.cases.into_iter().map(to_record).collect())
}
