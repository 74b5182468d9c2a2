//! The prompt of a generation: run at an engine of its own, and kept there until a decode engine takes its KV cache.

use super::engine_call::{TicketLease, run_prefill};
use super::place::EnginePlacement;
use super::split::StreamHandler;
use super::verdict::PrefillOutcome;
use crate::clock;
use crate::controllers::slots::EngineOutcome;
use crate::prelude::*;
use crate::runtime::RunPermit;

/// The share of the latency objective within which a prefill engine must have run a prompt of usual size, in percent; a
/// decode engine that runs it itself still meets the objective after that.
const PREFILL_PERCENT: u64 = 60;

/// How much longer than a slow engine takes for a prompt of its size a prefill may take, in percent. A long prompt that is
/// given up just before it is done would be run once more, at half the speed.
const PREFILL_MARGIN_PERCENT: u64 = 150;

/// How much sooner than its engine says a prompt that was run counts as gone, in milliseconds: its way to a decode engine.
const KEEP_MARGIN_MS: u64 = 100;

/// A prompt that was run.
pub(super) struct ReadyPrompt {
    /// Its KV cache at its engine.
    pub ticket: TicketLease,
    /// Until when it is there.
    until: Moment,
}

/// How the prompt of an attempt was dealt with.
pub(super) enum PromptStep {
    /// Its KV cache waits at an engine.
    Ready(ReadyPrompt),
    /// The decode engine runs it itself.
    Left,
    /// Its engine has begun to name a limit; the owner gives permits for it now.
    Unpermitted,
    /// Its engine ended under it, which is to be weighed before another one gets the request.
    EngineEnded,
}

impl StreamHandler<'_> {
    /// How long the prompt may take at a prefill engine, in milliseconds.
    fn prefill_limit_ms(&self) -> u64 {
        let request = self.request;
        let usual_ms = request.rule.latency_objective_ms * PREFILL_PERCENT / 100;
        let tokens = request.facts.prompt_tokens;
        let slow_ms = self.context.slow_prefill_ms(&request.service, tokens);
        let by_size_ms = slow_ms.map_or(0, |slow_ms| slow_ms * PREFILL_MARGIN_PERCENT / 100);
        usual_ms.max(by_size_ms)
    }

    /// How long an engine keeps a prompt that it ran, in milliseconds.
    fn prompt_keep_ms(&self) -> u64 {
        let snapshot = self.context.snapshot();
        let rule = snapshot.register.services.get(&self.request.service);
        let engine = rule.and_then(|rule| rule.engine.as_ref());
        engine.map_or(0, |engine| engine.prefill_keep_ms.saturating_sub(KEEP_MARGIN_MS))
    }

    /// Has the prompt run, or uses the one that was kept; without one the decode engine runs it itself.
    pub(super) async fn prefill(&mut self, place: &mut EnginePlacement, permit: &RunPermit) -> PromptStep {
        let kept = self.kept_prompt.take();
        if let Some(kept) = kept.filter(|kept| !clock::now().reached(kept.until)) {
            place.finish_prefill(EngineOutcome::Full);
            return PromptStep::Ready(kept);
        }
        let Some(replica) = place.prefill.clone() else {
            return PromptStep::Left;
        };
        if self.arrivals.is_next_extra() && !self.charge_extra() {
            place.finish_prefill(EngineOutcome::Full);
            return PromptStep::Left;
        }
        let began_at = clock::now();
        let deadline = self
            .request
            .deadline
            .min(began_at.after_ms(self.prefill_limit_ms()));
        place.set_prefill_sent(true);
        let has_rate_permit = place.permits.prefill;
        let end = run_prefill(
            self.context,
            self.request,
            &replica,
            permit,
            has_rate_permit,
            deadline,
        )
        .await;
        let (word, engine_end) = match &end {
            PrefillOutcome::Done(_) => ("done", EngineOutcome::Fine),
            PrefillOutcome::Refused => ("refused", EngineOutcome::Full),
            PrefillOutcome::Unsent => ("unsent", EngineOutcome::Unreachable),
            PrefillOutcome::Withheld => ("withheld", EngineOutcome::Full),
            PrefillOutcome::Unpermitted => ("unpermitted", EngineOutcome::Fine),
            PrefillOutcome::Failed => ("failed", EngineOutcome::Failed),
            PrefillOutcome::EngineEnded => ("engine_ended", EngineOutcome::Failed),
            PrefillOutcome::Late => ("late", EngineOutcome::Failed),
        };
        spdlog::info!(
            "event=prefilled request={} replica={} outcome={word} tokens={} elapsed_ms={} total_ms={}",
            self.request.facts.id,
            replica.id,
            self.request.facts.prompt_tokens,
            began_at.until_ms(clock::now()),
            self.request.received_at.until_ms(clock::now())
        );
        let elapsed_ms = began_at.until_ms(clock::now());
        self.request.trace.record().prefill_ms = elapsed_ms;
        self.context.metrics.record_prefill(elapsed_ms);
        if matches!(end, PrefillOutcome::Done(_)) {
            let tokens = self.request.facts.prompt_tokens;
            self.context
                .record_prefill(&self.request.service, tokens, elapsed_ms);
        }
        place.finish_prefill(engine_end);
        if matches!(
            end,
            PrefillOutcome::Unsent | PrefillOutcome::Withheld | PrefillOutcome::Unpermitted
        ) {
            place.set_prefill_sent(false);
        } else {
            self.arrivals
                .record_prompt_call(matches!(end, PrefillOutcome::Done(_)));
        }
        match end {
            PrefillOutcome::Done(ticket) => PromptStep::Ready(ReadyPrompt {
                ticket,
                until: clock::now().after_ms(self.prompt_keep_ms()),
            }),
            PrefillOutcome::Refused => {
                self.sends += 1;
                PromptStep::Left
            }
            PrefillOutcome::Unsent
            | PrefillOutcome::Withheld
            | PrefillOutcome::Failed
            | PrefillOutcome::Late => PromptStep::Left,
            PrefillOutcome::Unpermitted => PromptStep::Unpermitted,
            PrefillOutcome::EngineEnded => PromptStep::EngineEnded,
        }
    }
}
