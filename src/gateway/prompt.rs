//! The prefill step of a generation: a prefill engine runs the prompt and keeps its KV cache for a decode
//! engine.

use super::engine_call::{TicketLease, run_prefill};
use super::place::EnginePlacement;
use super::split::StreamHandler;
use super::verdict::PrefillOutcome;
use crate::clock;
use crate::controllers::slots::EngineOutcome;
use crate::prelude::*;
use crate::runtime::RunPermit;

/// Share of the latency objective that a prefill of usual size may take, in percent. A decode engine that
/// runs the prompt itself after that still meets the objective.
const PREFILL_OBJECTIVE_PERCENT: u64 = 60;

/// Timeout of a prefill in percent of what a slow engine takes for a prompt of that size. A long prompt that
/// times out just before it is done would be run once more, at half the speed.
const PREFILL_TIMEOUT_PERCENT: u64 = 150;

/// How long before its engine frees it a KV cache counts as expired, in milliseconds: the time that a request
/// takes to reach a decode engine, which then fetches it.
const KV_EXPIRY_MARGIN_MS: u64 = 100;

/// A prompt that a prefill engine has run.
pub(super) struct PrefilledPrompt {
    /// The KV cache at the prefill engine.
    pub ticket: TicketLease,
    /// When the KV cache counts as expired.
    expires_at: Moment,
}

/// The result of the prefill step of one attempt.
pub(super) enum PrefillStep {
    /// The KV cache is ready at a prefill engine.
    Ready(PrefilledPrompt),
    /// The decode engine runs the prompt itself.
    LeftToDecode,
    /// Nothing was sent: the engine has begun to report a rate limit, so a permit from its owner is needed.
    Unpermitted,
    /// Nothing was sent, and nothing may be: the caller's API key does not permit it now.
    Denied(RefusalNotice),
    /// The engine crashed while it ran the prompt. The request is checked for quarantine before its next
    /// send.
    EngineCrashed,
}

impl StreamHandler<'_> {
    /// Timeout of the prompt at a prefill engine, in milliseconds.
    fn prefill_timeout_ms(&self) -> u64 {
        let request = self.request;
        let base_ms = request.rule.latency_objective_ms * PREFILL_OBJECTIVE_PERCENT / 100;
        let tokens = request.facts.prompt_tokens;
        let slow_ms = self.context.slow_prefill_ms(&request.service, tokens);
        let by_size_ms = slow_ms.map_or(0, |slow_ms| slow_ms * PREFILL_TIMEOUT_PERCENT / 100);
        base_ms.max(by_size_ms)
    }

    /// How long an engine keeps the KV cache of a prompt, less the margin, in milliseconds.
    fn kv_retention_ms(&self) -> u64 {
        let snapshot = self.context.snapshot();
        let rule = snapshot.register.services.get(&self.request.service);
        let engine = rule.and_then(|rule| rule.engine.as_ref());
        engine.map_or(0, |engine| {
            engine.prefill_keep_ms.saturating_sub(KV_EXPIRY_MARGIN_MS)
        })
    }

    /// Runs the prompt, or reuses the KV cache of an earlier attempt. Without a prefill engine, and if the
    /// retry budget does not cover another send, the decode engine runs the prompt itself.
    pub(super) async fn prefill(
        &mut self,
        placement: &mut EnginePlacement,
        permit: &RunPermit,
    ) -> PrefillStep {
        let ready = self.prefilled_prompt.take();
        if let Some(ready) = ready.filter(|ready| !clock::now().reached(ready.expires_at)) {
            placement.finish_prefill(EngineOutcome::Full);
            return PrefillStep::Ready(ready);
        }
        let Some(replica) = placement.prefill.clone() else {
            return PrefillStep::LeftToDecode;
        };
        if self.arrivals.is_next_extra() && !self.charge_extra() {
            placement.finish_prefill(EngineOutcome::Full);
            return PrefillStep::LeftToDecode;
        }
        let began_at = clock::now();
        let deadline = self
            .request
            .deadline
            .min(began_at.after_ms(self.prefill_timeout_ms()));
        placement.set_prefill_sent(true);
        let has_rate_permit = placement.permits.prefill;
        let outcome = run_prefill(
            self.context,
            self.request,
            &replica,
            permit,
            has_rate_permit,
            deadline,
        )
        .await;
        let (outcome_word, engine_outcome) = match &outcome {
            PrefillOutcome::Done(_) => ("done", EngineOutcome::Fine),
            PrefillOutcome::Refused => ("refused", EngineOutcome::Full),
            PrefillOutcome::Unsent => ("unsent", EngineOutcome::Unreachable),
            PrefillOutcome::Withheld => ("withheld", EngineOutcome::Full),
            PrefillOutcome::Unpermitted => ("unpermitted", EngineOutcome::Fine),
            PrefillOutcome::Denied(_) => ("denied", EngineOutcome::Fine),
            PrefillOutcome::Failed => ("failed", EngineOutcome::Failed),
            PrefillOutcome::EngineCrashed => ("engine_ended", EngineOutcome::Failed),
            PrefillOutcome::Late => ("late", EngineOutcome::Failed),
        };
        spdlog::info!(
            "event=prefilled request={} replica={} outcome={outcome_word} tokens={} elapsed_ms={} total_ms={}",
            self.request.facts.id,
            replica.id,
            self.request.facts.prompt_tokens,
            began_at.until_ms(clock::now()),
            self.request.received_at.until_ms(clock::now())
        );
        let elapsed_ms = began_at.until_ms(clock::now());
        self.request.trace.record().prefill_ms = elapsed_ms;
        self.context.metrics.record_prefill(elapsed_ms);
        if matches!(outcome, PrefillOutcome::Done(_)) {
            let tokens = self.request.facts.prompt_tokens;
            self.context
                .record_prefill(&self.request.service, tokens, elapsed_ms);
        }
        placement.finish_prefill(engine_outcome);
        if matches!(
            outcome,
            PrefillOutcome::Unsent
                | PrefillOutcome::Withheld
                | PrefillOutcome::Unpermitted
                | PrefillOutcome::Denied(_)
        ) {
            placement.set_prefill_sent(false);
        } else {
            self.arrivals
                .record_prompt_call(matches!(outcome, PrefillOutcome::Done(_)));
        }
        match outcome {
            PrefillOutcome::Done(ticket) => PrefillStep::Ready(PrefilledPrompt {
                ticket,
                expires_at: clock::now().after_ms(self.kv_retention_ms()),
            }),
            PrefillOutcome::Refused => {
                self.sends += 1;
                PrefillStep::LeftToDecode
            }
            PrefillOutcome::Unsent
            | PrefillOutcome::Withheld
            | PrefillOutcome::Failed
            | PrefillOutcome::Late => PrefillStep::LeftToDecode,
            PrefillOutcome::Unpermitted => PrefillStep::Unpermitted,
            PrefillOutcome::Denied(notice) => PrefillStep::Denied(notice),
            PrefillOutcome::EngineCrashed => PrefillStep::EngineCrashed,
        }
    }
}
