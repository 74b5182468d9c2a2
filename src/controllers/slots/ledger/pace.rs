//! Pace of the group's engines: an engine that has just started or recovered gets requests up to a limit while
//! others have room.

use std::sync::Arc;

use super::{GroupLedger, MAX_ENGINE_PREFILLS, SlotLease};
use crate::blackboard::ReplicaRole;
use crate::controllers::pace::{AnswerSample, PaceChange, PaceLevel, PaceTable};
use crate::controllers::slots::{EngineOutcome, PlacementResult};
use crate::prelude::*;

/// Minimum number of uncached prompt tokens for a sample of an engine's speed; the time of a shorter prompt
/// consists mostly of fixed costs.
const MIN_SAMPLE_TOKENS: u64 = 200;

/// Prompt tokens that count as one unit of work.
const TOKENS_PER_UNIT: u64 = 1_000;

/// Records the time from the grant to the end of a prefill.
pub(super) fn record_prefill(
    paces: &mut PaceTable,
    engine: &Arc<str>,
    uncached_tokens: u64,
    granted_at: Moment,
    now: Moment,
) {
    if uncached_tokens >= MIN_SAMPLE_TOKENS {
        let sample = AnswerSample {
            work_us: granted_at.until_ms(now) * 1_000 * TOKENS_PER_UNIT / uncached_tokens,
            sent_at: granted_at,
            load: None,
        };
        paces.record_answer(engine, sample, now);
    }
}

impl GroupLedger {
    /// Applies the list of replicas and the configuration to the paces. Engines that only the configuration
    /// names have no start that is known, and are never restrained as fresh ones.
    pub(super) fn sync_paces(&mut self, board: &Blackboard, now: Moment) {
        self.paces.set_enabled(board.register.register.paces_replicas());
        let (decode, prefill) = (&self.decode, &self.prefill);
        self.paces
            .retain(|name| decode.contains_key(name) || prefill.contains_key(name));
        for name in decode.keys().chain(prefill.keys()) {
            if let Some(facts) = board.replicas.get(name) {
                let slots = match facts.record.role {
                    ReplicaRole::Prefill => MAX_ENGINE_PREFILLS,
                    ReplicaRole::Plain | ReplicaRole::Decode => facts.record.slots,
                };
                self.paces.update(facts, slots, now);
            }
        }
    }

    /// Whether a decode engine holds all requests that its pace allows.
    pub(super) fn is_decode_held_back(&self, name: &Arc<str>, now: Moment) -> bool {
        let held = self.decode.get(name).map_or(0, |replica| replica.held());
        self.paces.is_full(name, held, now)
    }

    /// Whether a prefill engine runs all prompts that its pace allows.
    pub(super) fn is_prefill_held_back(&self, name: &Arc<str>, now: Moment) -> bool {
        let running = self.prefill.get(name).map_or(0, |replica| replica.running);
        self.paces.is_full(name, running, now)
    }

    /// Records what a request's end shows of its engines. An abandoned request shows nothing.
    pub(super) fn record_pace(&mut self, lease: &SlotLease, result: PlacementResult, now: Moment) {
        match result.decode {
            EngineOutcome::Fine if result.token_gap_us > 0 => {
                let sample = AnswerSample {
                    work_us: result.token_gap_us,
                    sent_at: lease.granted_at,
                    load: None,
                };
                self.paces.record_answer(&lease.decode, sample, now);
            }
            EngineOutcome::Fine => {}
            failed => self.record_failed_pace(&lease.decode, failed, now),
        }
        if let Some(prefill) = &lease.prefill {
            self.record_failed_pace(prefill, result.prefill, now);
        }
    }

    fn record_failed_pace(&mut self, name: &Arc<str>, outcome: EngineOutcome, now: Moment) {
        match outcome {
            EngineOutcome::Fine => {}
            EngineOutcome::Full => self.paces.record_rejection(name, now),
            EngineOutcome::Failed => self.paces.record_failure(name, now),
            // It is skipped from the first such failure on, and has to recover then.
            EngineOutcome::Unreachable => {
                self.paces.record_failure(name, now);
                self.paces.record_failure(name, now);
            }
        }
    }

    /// Takes the changes of the engines' paces since the last call, for the log.
    pub fn take_pace_changes(&mut self) -> Vec<PaceChange> {
        self.paces.take_changes()
    }

    /// The limits of the engines that are restrained now.
    pub fn pace_levels(&self, now: Moment) -> Vec<PaceLevel> {
        self.paces.levels(now)
    }
}
