//! What a replica's answer is worth.

use super::engine_call::TicketLease;
use super::upstream::{ExchangeError, UpstreamAnswer};

/// Statuses with which we promise callers that a request has not run and never will.
const PROMISING_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// What a replica's answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The replica's own answer, to be passed on.
    Final,
    /// The replica's own report of a failure of its own.
    OwnError,
    /// The replica did not run the request.
    NotRun,
    /// Another replica answered, and did not run the request.
    Misdirected,
    /// Bytes that nobody vouches for. The request may have run.
    Unsound,
}

/// Judges an answer by its head. That a request was not run is taken only from an answer to that request.
pub fn judge(answer: &UpstreamAnswer, request_id: &str) -> AnswerVerdict {
    let (facts, status) = (&answer.facts, answer.head.status);
    let is_echoed = request_id.is_empty() || facts.request_id.as_deref() == Some(request_id);
    if facts.is_misdirected && answer.is_own {
        AnswerVerdict::Misdirected
    } else if facts.is_not_run && answer.is_own {
        AnswerVerdict::NotRun
    } else if !is_echoed || !facts.is_signed || PROMISING_STATUSES.contains(&status) {
        AnswerVerdict::Unsound
    } else if status >= 500 {
        AnswerVerdict::OwnError
    } else {
        AnswerVerdict::Final
    }
}

/// The word for an outcome in logs.
pub fn verdict_word(outcome: &Result<AnswerVerdict, &ExchangeError>) -> &'static str {
    match outcome {
        Ok(AnswerVerdict::Final) => "answered",
        Ok(AnswerVerdict::OwnError) => "own_error",
        Ok(AnswerVerdict::NotRun) => "not_run",
        Ok(AnswerVerdict::Misdirected) => "misdirected",
        Ok(AnswerVerdict::Unsound) => "unsound",
        Err(ExchangeError::Unsent { .. }) => "unsent",
        Err(ExchangeError::Lost { .. }) => "lost",
        Err(ExchangeError::Deadline) => "deadline",
        Err(ExchangeError::Withheld) => "withheld",
        Err(ExchangeError::Unpermitted) => "unpermitted",
    }
}

/// What came of having a prompt run.
pub enum PrefillOutcome {
    /// Its KV cache waits at the engine.
    Done(TicketLease),
    /// The engine refused.
    Refused,
    /// No byte of the request left.
    Unsent,
    /// The engine wants nothing from this VM now.
    Withheld,
    /// The engine names a limit of which its owner did not know yet.
    Unpermitted,
    /// The engine broke off, or answered with a failure.
    Failed,
    /// The engine's process ended while it ran the prompt.
    EngineEnded,
    /// The engine did not answer in time.
    Late,
}
