//! Which owners leave what they are asked without an answer, and when they are taken for dead.

use crate::prelude::*;

/// How long an owner may take to answer, in milliseconds: a round trip between zones and some work on a small VM. It is an
/// eighth of the shortest objective for a first token.
pub const ANSWER_LIMIT_MS: u64 = 120;

/// How long an owner of limits may leave all asks without an answer before it is taken for dead, in milliseconds. Asks in one
/// stall of it are late together. One that was taken for dead grants a part of its limits for some seconds, which costs as
/// much as a longer wait.
const SILENCE_LIMIT_MS: u64 = 600;

/// How long after an answer was found missing another one belongs to the same silence, in milliseconds.
const SAME_SILENCE_MS: u64 = 2_000;

/// An owner that left an ask unanswered in time, and has answered none since.
#[derive(Clone, Copy, Debug)]
struct OwnerSilence {
    /// When it is taken for dead.
    dead_at: Moment,
    /// When an answer was last found missing.
    noted_at: Moment,
    /// How late this process was to find that, in milliseconds.
    stall_ms: u64,
}

/// Owners that leave asks unanswered.
#[derive(Debug, Default)]
pub struct OwnerWatch {
    silences: FastMap<VmName, OwnerSilence>,
}

impl OwnerWatch {
    /// Notes that an owner has answered something.
    pub fn note_answer(&mut self, owner: &VmName) {
        self.silences.remove(owner);
    }

    /// Notes that an answer was due and has not come; whether its owner is to be taken for dead. The time by which this process
    /// itself is late to notice does not count: the answer may have come in it and be unread.
    pub fn note_missing(&mut self, owner: &VmName, due_at: Moment, now: Moment) -> bool {
        let stall_ms = due_at.until_ms(now);
        let is_same = |silence: &&mut OwnerSilence| !now.reached(silence.noted_at.after_ms(SAME_SILENCE_MS));
        let Some(silence) = self.silences.get_mut(owner).filter(is_same) else {
            let silence = OwnerSilence {
                dead_at: now.after_ms(SILENCE_LIMIT_MS - ANSWER_LIMIT_MS),
                noted_at: now,
                stall_ms,
            };
            self.silences.insert(owner.clone(), silence);
            return false;
        };
        // All asks that were due in one stall of this process are found together.
        let counted_ms = if silence.noted_at == now {
            silence.stall_ms
        } else {
            0
        };
        silence.dead_at = silence.dead_at.after_ms(stall_ms.saturating_sub(counted_ms));
        silence.stall_ms = stall_ms.max(counted_ms);
        silence.noted_at = now;
        let is_dead = now.reached(silence.dead_at);
        if is_dead {
            self.silences.remove(owner);
        }
        is_dead
    }
}
