//! A failure detector for owners: an owner that leaves requests unanswered for long enough is considered
//! dead.

use crate::prelude::*;

/// How long an owner may take to answer, in milliseconds: a round trip between zones and some work on a small
/// VM. It is an eighth of the shortest objective for a first token.
pub const ANSWER_LIMIT_MS: u64 = 120;

/// How long an owner may leave all requests unanswered before it is considered dead, in milliseconds. A short
/// stall of the owner delays all answers and must not count as its death: an owner of rate limits that was
/// wrongly considered dead grants only a part of them for some seconds, which costs as much as a longer wait.
const SILENCE_LIMIT_MS: u64 = 600;

/// The longest time between two missing answers that belong to the same silence, in milliseconds.
const SAME_SILENCE_MS: u64 = 2_000;

/// The silence of an owner: it missed an answer and has sent none since.
#[derive(Clone, Copy, Debug)]
struct OwnerSilence {
    /// When the owner is considered dead.
    dead_at: Moment,
    /// When this process last found an answer missing.
    last_missing_at: Moment,
    /// How long after the answer was due this process found it missing, in milliseconds.
    stall_ms: u64,
}

/// Detects owners that have stopped answering.
#[derive(Debug, Default)]
pub struct OwnerWatch {
    silences: FastMap<VmName, OwnerSilence>,
}

impl OwnerWatch {
    /// Records an answer of an owner, which ends its silence.
    pub fn record_answer(&mut self, owner: &VmName) {
        self.silences.remove(owner);
    }

    /// Records an answer that is overdue, and returns whether its owner is now considered dead. The time by
    /// which this process itself is late does not count: the answer may have arrived meanwhile and be unread.
    pub fn record_missing_answer(&mut self, owner: &VmName, due_at: Moment, now: Moment) -> bool {
        let stall_ms = due_at.until_ms(now);
        let is_same_silence =
            |silence: &&mut OwnerSilence| !now.reached(silence.last_missing_at.after_ms(SAME_SILENCE_MS));
        let Some(silence) = self.silences.get_mut(owner).filter(is_same_silence) else {
            let silence = OwnerSilence {
                dead_at: now.after_ms(SILENCE_LIMIT_MS - ANSWER_LIMIT_MS),
                last_missing_at: now,
                stall_ms,
            };
            self.silences.insert(owner.clone(), silence);
            return false;
        };
        // All answers that were due during one stall of this process are found missing together.
        let counted_ms = if silence.last_missing_at == now {
            silence.stall_ms
        } else {
            0
        };
        silence.dead_at = silence.dead_at.after_ms(stall_ms.saturating_sub(counted_ms));
        silence.stall_ms = stall_ms.max(counted_ms);
        silence.last_missing_at = now;
        let is_dead = now.reached(silence.dead_at);
        if is_dead {
            self.silences.remove(owner);
        }
        is_dead
    }
}
