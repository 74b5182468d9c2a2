//! Conversion of the messages on quotas.

use crate::controllers::message::PeerMessage;
use crate::controllers::quotas::QuotaVerdict;
use crate::peers::wire::{FrameBody, QuotaAnswerFrame, QuotaRequestFrame, QuotaTokensFrame};

pub(super) fn quota_request_body(number: u64, workspace: &str, tokens: u64, least: u64) -> FrameBody {
    FrameBody::QuotaRequest(QuotaRequestFrame {
        number,
        workspace: workspace.to_owned(),
        tokens,
        least,
    })
}

pub(super) fn to_quota_request(frame: QuotaRequestFrame) -> PeerMessage {
    PeerMessage::QuotaRequest {
        number: frame.number,
        workspace: frame.workspace.into(),
        tokens: frame.tokens,
        least: frame.least,
    }
}

pub(super) fn quota_answer_body(number: u64, verdict: QuotaVerdict) -> FrameBody {
    let (tokens, retry_ms) = match verdict {
        QuotaVerdict::Granted { tokens } => (tokens, None),
        QuotaVerdict::Refused { retry_ms } => (0, Some(retry_ms)),
    };
    FrameBody::QuotaAnswer(QuotaAnswerFrame {
        number,
        tokens,
        retry_ms,
    })
}

pub(super) fn to_quota_answer(frame: &QuotaAnswerFrame) -> PeerMessage {
    let verdict = match frame.retry_ms {
        Some(retry_ms) => QuotaVerdict::Refused { retry_ms },
        None => QuotaVerdict::Granted { tokens: frame.tokens },
    };
    PeerMessage::QuotaAnswer {
        number: frame.number,
        verdict,
    }
}

pub(super) fn to_tokens_frame(workspace: &str, tokens: u64) -> QuotaTokensFrame {
    QuotaTokensFrame {
        workspace: workspace.to_owned(),
        tokens,
    }
}
