//! Conversion between frames and messages. A deadline is sent as the remaining time, since the clocks of VMs
//! differ.

mod keys;
mod members;
mod proof;
mod quarantine;
mod quotas;
mod rate_limits;
mod replicas;
mod service_slots;
mod slots;

use keys::{
    fill_handoff_frame, to_handoff, to_key_answer, to_key_answer_frame, to_key_call, to_key_call_frame,
};
use members::{incarnation_to_bytes, to_incarnation};
use proof::{proof_answer_body, proof_request_body, to_proof_answer, to_proof_request};
use quarantine::{
    cases_content_body, to_cases_content, to_cleared, to_cleared_frame, to_crash_report,
    to_crash_report_frame, to_runs_passed, to_runs_passed_frame, to_trial_answer, to_trial_done,
    to_trial_done_frame, to_trial_request, to_trial_request_frame, trial_answer_body,
};
use quotas::{quota_answer_body, quota_request_body, to_quota_answer, to_quota_request, to_tokens_frame};
use rate_limits::{
    limits_content_body, permit_answer_body, permit_request_body, permit_returned_body, to_limit_frame,
    to_limit_report, to_limits_content, to_permit_answer, to_permit_request, to_permit_returned,
};
use replicas::{to_replica_update, to_replicas_frame};
use service_slots::{
    send_slot_answer_body, send_slot_released_body, send_slot_request_body, to_send_slot_answer,
    to_send_slot_released, to_send_slot_request,
};
use slots::{
    to_engine_outcome, to_group, to_group_frame, to_release_frame, to_slot_answer, to_slot_answer_frame,
    to_slot_request, to_slot_request_frame,
};

use crate::controllers::message::{MemberView, PeerMessage, VmIntroduction};
use crate::controllers::slots::{HeldSlot, MemoryLoad, PlacementResult, SentEngines};
use crate::peers::wire::{
    CasesWantedFrame, EngineBusyFrame, FrameBody, HandoffFrame, HeartbeatFrame, IntroductionFrame,
    LimitsHandedOverFrame, LimitsWantedFrame, PeerFrame, RegisterContentFrame, RegisterWantedFrame,
    ReplicaLeavingFrame, ReplicasWantedFrame, SlotHeldFrame, VmSuspectedFrame, VmsKnownFrame, VmsWantedFrame,
};
use crate::prelude::*;

/// The error for a frame that does not represent a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidFrame;

/// Converts a message to a frame; `now` is the time at which it is sent.
pub fn to_frame(message: &PeerMessage, now: Moment) -> PeerFrame {
    let body = match message {
        PeerMessage::Heartbeat {
            stamp,
            list_position,
            store_era,
            store_age_ms,
            view,
            case_digest,
            limit_digest,
            leaving,
            wants_echo,
        } => FrameBody::Heartbeat(HeartbeatFrame {
            revision: stamp.revision,
            written: stamp.written.parts().1,
            written_era: stamp.written.era().number(),
            list_revision: list_position.parts().1,
            list_era: list_position.era().number(),
            store_era: store_era.number(),
            store_age_ms: *store_age_ms,
            live_vms: view.count,
            live_digest: view.digest,
            case_digest: *case_digest,
            limit_digest: *limit_digest,
            leaving: *leaving,
            wants_echo: *wants_echo,
        }),
        PeerMessage::VmSuspected {
            vm,
            incarnation,
            renewal,
        } => FrameBody::VmSuspected(VmSuspectedFrame {
            vm: vm.to_string(),
            incarnation: incarnation_to_bytes(*incarnation),
            renewal: *renewal,
        }),
        PeerMessage::VmsKnown(introductions) => FrameBody::VmsKnown(VmsKnownFrame {
            vms: introductions.iter().map(IntroductionFrame::from).collect(),
        }),
        PeerMessage::VmsWanted => FrameBody::VmsWanted(VmsWantedFrame {}),
        PeerMessage::ReplicasWanted { position } => {
            let (era, revision) = position.parts();
            FrameBody::ReplicasWanted(ReplicasWantedFrame { revision, era })
        }
        PeerMessage::ReplicasContent(update) => FrameBody::ReplicasContent(to_replicas_frame(update, now)),
        PeerMessage::ReplicaLeaving {
            replica,
            started_epoch_ms,
        } => FrameBody::ReplicaLeaving(ReplicaLeavingFrame {
            replica: replica.to_string(),
            started_epoch_ms: *started_epoch_ms,
        }),
        PeerMessage::EngineBusy {
            engine,
            fencing_token,
            span_ms,
        } => FrameBody::EngineBusy(EngineBusyFrame {
            engine: engine.to_string(),
            fencing_token: *fencing_token,
            span_ms: *span_ms,
        }),
        PeerMessage::RegisterWanted { stamp } => FrameBody::RegisterWanted(RegisterWantedFrame {
            revision: stamp.revision,
            written: stamp.written.parts().1,
            written_era: stamp.written.era().number(),
        }),
        PeerMessage::RegisterContent { stamp, text } => FrameBody::RegisterContent(RegisterContentFrame {
            revision: stamp.revision,
            text: text.to_string(),
            written: stamp.written.parts().1,
            written_era: stamp.written.era().number(),
        }),
        PeerMessage::SlotRequest { group, request } => {
            FrameBody::SlotRequest(to_slot_request_frame(*group, request, now))
        }
        PeerMessage::SlotAnswer {
            group,
            request,
            verdict,
        } => FrameBody::SlotAnswer(to_slot_answer_frame(group, request, verdict)),
        PeerMessage::SlotPrefillDone { group, request, end } => {
            let result = PlacementResult {
                prefill: *end,
                ..PlacementResult::default()
            };
            FrameBody::SlotPrefillDone(to_release_frame(group, request, result))
        }
        PeerMessage::SlotRelease {
            group,
            request,
            result,
        } => FrameBody::SlotRelease(to_release_frame(group, request, *result)),
        PeerMessage::CrashReported(report) => FrameBody::CrashReported(to_crash_report_frame(report, now)),
        PeerMessage::Cleared { feature, crash_count } => {
            FrameBody::Cleared(to_cleared_frame(*feature, *crash_count))
        }
        PeerMessage::RunsPassed {
            feature,
            count,
            crash_count,
        } => FrameBody::RunsPassed(to_runs_passed_frame(*feature, *count, *crash_count)),
        PeerMessage::TrialRequest {
            scope,
            number,
            remaining_ms,
        } => FrameBody::TrialRequest(to_trial_request_frame(*scope, *number, *remaining_ms)),
        PeerMessage::TrialAnswer { number, verdict } => trial_answer_body(*number, *verdict),
        PeerMessage::TrialDone { feature, number } => {
            FrameBody::TrialDone(to_trial_done_frame(*feature, *number))
        }
        PeerMessage::CasesWanted => FrameBody::CasesWanted(CasesWantedFrame {}),
        PeerMessage::CasesContent(records) => cases_content_body(records, now),
        PeerMessage::LimitStated(record) => FrameBody::LimitStated(to_limit_frame(record, now)),
        PeerMessage::LimitsWanted => FrameBody::LimitsWanted(LimitsWantedFrame {}),
        PeerMessage::LimitsContent(records) => limits_content_body(records, now),
        PeerMessage::ProofRequest { number } => proof_request_body(*number),
        PeerMessage::ProofAnswer {
            number,
            stamp,
            age_ms,
        } => proof_answer_body(*number, *stamp, *age_ms),
        PeerMessage::PermitRequest { number, request } => permit_request_body(*number, request, now),
        PeerMessage::PermitAnswer { number, verdict } => permit_answer_body(*number, verdict),
        PeerMessage::LimitsHandedOver { key } => {
            FrameBody::LimitsHandedOver(LimitsHandedOverFrame { key: key.clone() })
        }
        PeerMessage::PermitReturned { service, replica } => permit_returned_body(service, replica),
        PeerMessage::QuotaRequest {
            number,
            workspace,
            tokens,
            least,
        } => quota_request_body(*number, workspace, *tokens, *least),
        PeerMessage::QuotaAnswer { number, verdict } => quota_answer_body(*number, *verdict),
        PeerMessage::QuotaReturned { workspace, tokens } => {
            FrameBody::QuotaReturned(to_tokens_frame(workspace, *tokens))
        }
        PeerMessage::QuotaHandedOver { workspace, tokens } => {
            FrameBody::QuotaHandedOver(to_tokens_frame(workspace, *tokens))
        }
        PeerMessage::SendSlotRequest { number, request } => send_slot_request_body(*number, request, now),
        PeerMessage::SendSlotAnswer { number, verdict } => send_slot_answer_body(*number, verdict),
        PeerMessage::SendSlotReleased { number, release } => send_slot_released_body(*number, release),
        PeerMessage::KeyCall(call) => FrameBody::KeyCall(to_key_call_frame(call, now)),
        PeerMessage::KeyAnswer { call_id, answer } => {
            FrameBody::KeyAnswer(to_key_answer_frame(*call_id, answer))
        }
        PeerMessage::Handoff {
            incarnation,
            next_serial,
            part,
            parts,
            records,
        } => {
            let frame = HandoffFrame {
                incarnation: incarnation_to_bytes(*incarnation),
                next_serial: *next_serial,
                part: *part,
                parts: *parts,
                ..HandoffFrame::default()
            };
            FrameBody::Handoff(fill_handoff_frame(frame, records))
        }
        PeerMessage::SlotHeld { group, held } => FrameBody::SlotHeld(SlotHeldFrame {
            group: to_group_frame(group),
            request: held.request.to_string(),
            workspace: held.workspace.to_string(),
            decode: held.decode.to_string(),
            prompt_tokens: held.load.prompt_tokens,
            expected_tokens: held.load.expected_tokens,
            running_ms: held.load.begins_at.until_ms(now),
            remaining_ms: now.until_ms(held.deadline),
        }),
    };
    PeerFrame { body: Some(body) }
}

fn to_position(era: u32, revision: u64) -> StorePosition {
    if revision == 0 {
        return StorePosition::default();
    }
    StorePosition::new(StoreEra::new(era), revision)
}

fn to_stamp(revision: Revision, written_era: u32, written: u64) -> RegisterStamp {
    RegisterStamp {
        revision,
        written: to_position(written_era, written),
    }
}

/// Converts a frame received at `now` to a message; an error for frames of the handshake and unknown ones.
pub fn to_message(frame: PeerFrame, now: Moment) -> Result<PeerMessage, InvalidFrame> {
    match frame.body.ok_or(InvalidFrame)? {
        FrameBody::Hello(_) | FrameBody::Challenge(_) | FrameBody::Proof(_) => Err(InvalidFrame),
        FrameBody::Heartbeat(frame) => Ok(PeerMessage::Heartbeat {
            stamp: to_stamp(frame.revision, frame.written_era, frame.written),
            list_position: to_position(frame.list_era, frame.list_revision),
            store_era: StoreEra::new(frame.store_era),
            store_age_ms: frame.store_age_ms,
            view: MemberView {
                count: frame.live_vms,
                digest: frame.live_digest,
            },
            case_digest: frame.case_digest,
            limit_digest: frame.limit_digest,
            leaving: frame.leaving,
            wants_echo: frame.wants_echo,
        }),
        FrameBody::VmSuspected(frame) => Ok(PeerMessage::VmSuspected {
            vm: frame.vm.into(),
            incarnation: to_incarnation(&frame.incarnation)?,
            renewal: frame.renewal,
        }),
        FrameBody::VmsKnown(frame) => {
            let vms: Result<Vec<_>, _> = frame.vms.into_iter().map(VmIntroduction::try_from).collect();
            Ok(PeerMessage::VmsKnown(vms?))
        }
        FrameBody::VmsWanted(VmsWantedFrame {}) => Ok(PeerMessage::VmsWanted),
        FrameBody::ReplicasWanted(frame) => Ok(PeerMessage::ReplicasWanted {
            position: to_position(frame.era, frame.revision),
        }),
        FrameBody::ReplicasContent(frame) => to_replica_update(frame, now),
        FrameBody::ReplicaLeaving(frame) => Ok(PeerMessage::ReplicaLeaving {
            replica: frame.replica.into(),
            started_epoch_ms: frame.started_epoch_ms,
        }),
        FrameBody::EngineBusy(frame) => Ok(PeerMessage::EngineBusy {
            engine: frame.engine.into(),
            fencing_token: frame.fencing_token,
            span_ms: frame.span_ms,
        }),
        FrameBody::RegisterWanted(frame) => Ok(PeerMessage::RegisterWanted {
            stamp: to_stamp(frame.revision, frame.written_era, frame.written),
        }),
        FrameBody::RegisterContent(frame) => Ok(PeerMessage::RegisterContent {
            stamp: to_stamp(frame.revision, frame.written_era, frame.written),
            text: frame.text.into(),
        }),
        FrameBody::SlotRequest(frame) => to_slot_request(frame, now),
        FrameBody::SlotAnswer(frame) => to_slot_answer(frame),
        FrameBody::SlotPrefillDone(frame) => Ok(PeerMessage::SlotPrefillDone {
            group: to_group(frame.group)?,
            request: frame.request.into(),
            end: to_engine_outcome(frame.prefill_outcome)?,
        }),
        FrameBody::SlotRelease(frame) => Ok(PeerMessage::SlotRelease {
            group: to_group(frame.group)?,
            request: frame.request.into(),
            result: PlacementResult {
                token_gap_us: frame.token_gap_us,
                handover_ms: frame.handover_ms,
                prefill: to_engine_outcome(frame.prefill_outcome)?,
                decode: to_engine_outcome(frame.decode_outcome)?,
                sent: SentEngines {
                    decode: frame.decode_sent,
                    prefill: frame.prefill_sent,
                },
            },
        }),
        FrameBody::CrashReported(frame) => Ok(PeerMessage::CrashReported(to_crash_report(frame, now))),
        FrameBody::Cleared(frame) => Ok(to_cleared(&frame)),
        FrameBody::RunsPassed(frame) => Ok(to_runs_passed(&frame)),
        FrameBody::TrialRequest(frame) => Ok(to_trial_request(&frame)),
        FrameBody::TrialAnswer(frame) => to_trial_answer(&frame),
        FrameBody::TrialDone(frame) => Ok(to_trial_done(&frame)),
        FrameBody::CasesWanted(CasesWantedFrame {}) => Ok(PeerMessage::CasesWanted),
        FrameBody::CasesContent(frame) => Ok(to_cases_content(frame, now)),
        FrameBody::LimitStated(frame) => Ok(PeerMessage::LimitStated(to_limit_report(frame, now))),
        FrameBody::LimitsWanted(LimitsWantedFrame {}) => Ok(PeerMessage::LimitsWanted),
        FrameBody::LimitsContent(frame) => Ok(to_limits_content(frame, now)),
        FrameBody::ProofRequest(frame) => Ok(to_proof_request(&frame)),
        FrameBody::ProofAnswer(frame) => Ok(to_proof_answer(&frame)),
        FrameBody::PermitRequest(frame) => Ok(to_permit_request(frame, now)),
        FrameBody::PermitAnswer(frame) => Ok(to_permit_answer(frame)),
        FrameBody::LimitsHandedOver(frame) => Ok(PeerMessage::LimitsHandedOver { key: frame.key }),
        FrameBody::PermitReturned(frame) => Ok(to_permit_returned(frame)),
        FrameBody::QuotaRequest(frame) => Ok(to_quota_request(frame)),
        FrameBody::QuotaAnswer(frame) => Ok(to_quota_answer(&frame)),
        FrameBody::QuotaReturned(frame) => Ok(PeerMessage::QuotaReturned {
            workspace: frame.workspace.into(),
            tokens: frame.tokens,
        }),
        FrameBody::QuotaHandedOver(frame) => Ok(PeerMessage::QuotaHandedOver {
            workspace: frame.workspace.into(),
            tokens: frame.tokens,
        }),
        FrameBody::SendSlotRequest(frame) => Ok(to_send_slot_request(frame, now)),
        FrameBody::SendSlotAnswer(frame) => to_send_slot_answer(frame),
        FrameBody::SendSlotReleased(frame) => to_send_slot_released(&frame),
        FrameBody::KeyCall(frame) => to_key_call(frame, now),
        FrameBody::KeyAnswer(frame) => to_key_answer(frame),
        FrameBody::Handoff(frame) => to_handoff(frame),
        FrameBody::SlotHeld(frame) => Ok(PeerMessage::SlotHeld {
            group: to_group(frame.group)?,
            held: HeldSlot {
                request: frame.request.into(),
                workspace: frame.workspace.into(),
                decode: frame.decode.into(),
                load: MemoryLoad {
                    prompt_tokens: frame.prompt_tokens,
                    expected_tokens: frame.expected_tokens,
                    begins_at: Moment(now.0.saturating_sub(frame.running_ms)),
                },
                deadline: now.after_ms(frame.remaining_ms),
            },
        }),
    }
}
