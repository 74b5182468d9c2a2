//! Conversion of slot requests, answers and releases, and of refusals.

use std::sync::Arc;

use super::InvalidFrame;
use crate::blackboard::{FeatureKind, FeatureSet, Fingerprint, RequestFeature};
use crate::controllers::message::{PeerMessage, SlotVerdict};
use crate::controllers::slots::{
    EngineGroup, EngineOutcome, EnginePermits, PlacementRequest, PlacementResult,
};
use crate::peers::wire::{GroupFrame, RefusalFrame, SlotAnswerFrame, SlotReleaseFrame, SlotRequestFrame};
use crate::prelude::*;

pub(super) fn to_group_frame(group: &EngineGroup) -> Option<GroupFrame> {
    Some(GroupFrame {
        model: group.model.to_string(),
        index: group.index,
    })
}

pub(super) fn to_group(frame: Option<GroupFrame>) -> Result<EngineGroup, InvalidFrame> {
    let frame = frame.ok_or(InvalidFrame)?;
    Ok(EngineGroup::new(&Arc::from(frame.model), frame.index))
}

pub(super) fn to_refusal_frame(notice: &RefusalNotice) -> RefusalFrame {
    RefusalFrame {
        code: u32::from(notice.code.number()),
        detail: notice.detail.clone(),
        retry_after_ms: notice.retry_after_ms,
        in_doubt: notice.effect != notice.code.entry().effect,
    }
}

pub(super) fn to_refusal(frame: RefusalFrame) -> Result<RefusalNotice, InvalidFrame> {
    let number = u16::try_from(frame.code).map_err(|_| InvalidFrame)?;
    let code = ResultCode::from_number(number).ok_or(InvalidFrame)?;
    let mut notice = RefusalNotice::new(code, frame.detail);
    notice.retry_after_ms = frame.retry_after_ms;
    Ok(if frame.in_doubt { notice.in_doubt() } else { notice })
}

pub(super) fn to_slot_request_frame(group: u32, request: &PlacementRequest, now: Moment) -> SlotRequestFrame {
    SlotRequestFrame {
        group: Some(GroupFrame {
            model: request.model.to_string(),
            index: group,
        }),
        request: request.request.to_string(),
        workspace: request.workspace.to_string(),
        priority: request.priority,
        zone: request.zone.to_string(),
        fingerprint: request.features.content(),
        prompt_tokens: request.prompt_tokens,
        max_tokens: request.max_tokens,
        prefix: request.prefix.clone(),
        remaining_ms: now.until_ms(request.deadline),
        is_retry: request.is_retry,
        avoid: request.avoid.iter().map(ToString::to_string).collect(),
        excluded: request.excluded.iter().map(ToString::to_string).collect(),
        expected_tokens: request.expected_tokens,
        first_token_target_ms: now.until_ms(request.first_token_target),
        may_skip_prefill: request.may_skip_prefill,
        first_token_deadline_ms: now.until_ms(request.first_token_deadline),
        may_be_late: request.may_be_late,
        parts: request.features.parts().iter().map(|part| part.hash).collect(),
        cut_in_ms: request.cut_at.map(|cut_at| now.until_ms(cut_at)),
    }
}

fn to_features(content: Fingerprint, parts: &[Fingerprint]) -> FeatureSet {
    let parts = parts.iter().map(|hash| RequestFeature {
        kind: FeatureKind::Part,
        hash: *hash,
    });
    FeatureSet::new(content, parts)
}

pub(super) fn to_slot_request(frame: SlotRequestFrame, now: Moment) -> Result<PeerMessage, InvalidFrame> {
    let group = to_group(frame.group)?;
    Ok(PeerMessage::SlotRequest {
        group: group.index,
        request: PlacementRequest {
            request: frame.request.into(),
            workspace: frame.workspace.into(),
            model: group.model,
            priority: frame.priority,
            zone: frame.zone.into(),
            features: to_features(frame.fingerprint, &frame.parts),
            prompt_tokens: frame.prompt_tokens,
            max_tokens: frame.max_tokens,
            prefix: frame.prefix,
            deadline: now.after_ms(frame.remaining_ms),
            is_retry: frame.is_retry,
            avoid: frame.avoid.into_iter().map(Arc::from).collect(),
            excluded: frame.excluded.into_iter().map(Arc::from).collect(),
            expected_tokens: frame.expected_tokens,
            first_token_target: now.after_ms(frame.first_token_target_ms),
            may_skip_prefill: frame.may_skip_prefill,
            first_token_deadline: now.after_ms(frame.first_token_deadline_ms),
            may_be_late: frame.may_be_late,
            cut_at: frame.cut_in_ms.map(|cut_in_ms| now.after_ms(cut_in_ms)),
        },
    })
}

pub(super) fn to_slot_answer_frame(
    group: &EngineGroup,
    request: &str,
    verdict: &SlotVerdict,
) -> SlotAnswerFrame {
    let mut frame = SlotAnswerFrame {
        group: to_group_frame(group),
        request: request.to_owned(),
        ..SlotAnswerFrame::default()
    };
    match verdict {
        SlotVerdict::Queued => {}
        SlotVerdict::Granted {
            decode,
            prefill,
            permits,
        } => {
            frame.decode_permit = permits.decode;
            frame.prefill_permit = permits.prefill;
            frame.decode = decode.to_string();
            frame.prefill = prefill.as_ref().map(ToString::to_string).unwrap_or_default();
        }
        SlotVerdict::Refused(notice) => frame.refusal = Some(to_refusal_frame(notice)),
    }
    frame
}

pub(super) fn to_slot_answer(frame: SlotAnswerFrame) -> Result<PeerMessage, InvalidFrame> {
    let verdict = match frame.refusal {
        Some(refusal) => SlotVerdict::Refused(to_refusal(refusal)?),
        None if frame.decode.is_empty() => SlotVerdict::Queued,
        None => SlotVerdict::Granted {
            decode: frame.decode.into(),
            prefill: (!frame.prefill.is_empty()).then(|| frame.prefill.into()),
            permits: EnginePermits {
                decode: frame.decode_permit,
                prefill: frame.prefill_permit,
            },
        },
    };
    Ok(PeerMessage::SlotAnswer {
        group: to_group(frame.group)?,
        request: frame.request.into(),
        verdict,
    })
}

pub(super) fn to_release_frame(
    group: &EngineGroup,
    request: &str,
    result: PlacementResult,
) -> SlotReleaseFrame {
    SlotReleaseFrame {
        group: to_group_frame(group),
        request: request.to_owned(),
        token_gap_us: result.token_gap_us,
        handover_ms: result.handover_ms,
        prefill_outcome: to_outcome_number(result.prefill),
        decode_outcome: to_outcome_number(result.decode),
        decode_sent: result.sent.decode,
        prefill_sent: result.sent.prefill,
    }
}

pub(super) fn to_outcome_number(outcome: EngineOutcome) -> u32 {
    match outcome {
        EngineOutcome::Fine => 0,
        EngineOutcome::Full => 1,
        EngineOutcome::Failed => 2,
        EngineOutcome::Unreachable => 3,
    }
}

pub(super) fn to_engine_outcome(number: u32) -> Result<EngineOutcome, InvalidFrame> {
    match number {
        0 => Ok(EngineOutcome::Fine),
        1 => Ok(EngineOutcome::Full),
        2 => Ok(EngineOutcome::Failed),
        3 => Ok(EngineOutcome::Unreachable),
        _ => Err(InvalidFrame),
    }
}
