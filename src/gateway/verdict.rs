//! Classifies replicas' responses by whether the request ran and whether the response can be passed on.

use super::engine_call::TicketLease;
use super::upstream::{ExchangeError, UpstreamAnswer};
use crate::prelude::*;

/// Statuses by which the gateway promises callers that a request has not run and never will, so that no
/// response of a replica is passed on with them.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Class of a replica's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The replica's own response, to be passed on.
    Final,
    /// An error response that the replica signed as its own.
    OwnError,
    /// The replica did not run the request.
    NotRun,
    /// Another replica than the intended one answered, and did not run the request.
    Misdirected,
    /// A response that can't be trusted to be this replica's and this request's. The request may have run.
    Untrusted,
}

/// Classifies a response by its head. Only a response that certainly belongs to the request can say that the
/// request was not run.
pub fn classify_answer(answer: &UpstreamAnswer, request_id: &str) -> AnswerVerdict {
    let (facts, status) = (&answer.facts, answer.head.status);
    let is_echoed = request_id.is_empty() || facts.request_id.as_deref() == Some(request_id);
    if facts.is_misdirected && answer.is_own {
        AnswerVerdict::Misdirected
    } else if facts.is_not_run && answer.is_own {
        AnswerVerdict::NotRun
    } else if !is_echoed || !facts.is_signed || NOT_RUN_STATUSES.contains(&status) {
        AnswerVerdict::Untrusted
    } else if status >= 500 {
        AnswerVerdict::OwnError
    } else {
        AnswerVerdict::Final
    }
}

/// Whether an outcome shows that the send has not run the request and never will.
pub fn is_not_run(outcome: &Result<AnswerVerdict, &ExchangeError>) -> bool {
    match outcome {
        Ok(verdict) => matches!(verdict, AnswerVerdict::NotRun | AnswerVerdict::Misdirected),
        Err(error) => error.is_unsent(),
    }
}

/// Returns the word for an outcome in logs.
pub fn outcome_word(outcome: &Result<AnswerVerdict, &ExchangeError>) -> &'static str {
    match outcome {
        Ok(AnswerVerdict::Final) => "answered",
        Ok(AnswerVerdict::OwnError) => "own_error",
        Ok(AnswerVerdict::NotRun) => "not_run",
        Ok(AnswerVerdict::Misdirected) => "misdirected",
        Ok(AnswerVerdict::Untrusted) => "unsound",
        Err(ExchangeError::Unsent { .. }) => "unsent",
        Err(ExchangeError::Lost { .. }) => "lost",
        Err(ExchangeError::Deadline) => "deadline",
        Err(ExchangeError::Withheld) => "withheld",
        Err(ExchangeError::Unpermitted) => "unpermitted",
        Err(ExchangeError::Denied { .. }) => "denied",
    }
}

/// Result of a prefill at a prefill engine.
pub enum PrefillOutcome {
    /// The prompt's KV cache is kept at the engine until a decode engine fetches it.
    Done(TicketLease),
    /// The engine refused and has not run the prompt.
    Refused,
    /// No byte of the request was sent.
    Unsent,
    /// Nothing was sent, because the engine requested backoff or is leaving.
    Withheld,
    /// Nothing was sent: the engine reports a rate limit that its owner did not know yet.
    Unpermitted,
    /// Nothing was sent, because the caller's API key does not permit it now.
    Denied(RefusalNotice),
    /// The engine answered with an error or without a KV handle, or the connection was lost without proof of
    /// a crash.
    Failed,
    /// The engine crashed while it ran the prompt.
    EngineCrashed,
    /// The engine did not answer before the prefill's deadline.
    Late,
}
