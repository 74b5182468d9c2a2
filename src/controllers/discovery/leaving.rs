//! What replicas said of their own leaving.

use crate::blackboard::ReplicaId;
use crate::prelude::*;

/// How long a replica's word is kept, in milliseconds. A leaving replica serves on for many seconds at times, in which its
/// entry may lapse and come back.
const KEPT_MS: u64 = 600_000;

/// One replica's word.
#[derive(Clone, Copy, Debug)]
struct LeavingWord {
    /// The start of the replica that leaves.
    started_epoch_ms: u64,
    /// When it gets nothing more.
    stop_at: Moment,
    forget_at: Moment,
}

/// The words of all replicas, by name. A word holds for one start of a replica.
#[derive(Debug, Default)]
pub struct LeavingTable {
    words: FastMap<ReplicaId, LeavingWord>,
}

impl LeavingTable {
    /// Notes that a start of a replica leaves; whether that is news.
    pub fn note(&mut self, id: &ReplicaId, started_epoch_ms: u64, stop_at: Moment) -> bool {
        let known = self.words.get(id);
        if known.is_some_and(|word| word.started_epoch_ms >= started_epoch_ms) {
            return false;
        }
        let word = LeavingWord {
            started_epoch_ms,
            stop_at,
            forget_at: stop_at.after_ms(KEPT_MS),
        };
        self.words.insert(id.clone(), word);
        true
    }

    /// When a start of a replica gets nothing more; `None` where it has not said that it leaves.
    pub fn stop_at(&self, id: &ReplicaId, started_epoch_ms: u64) -> Option<Moment> {
        let word = self.words.get(id)?;
        (word.started_epoch_ms == started_epoch_ms).then_some(word.stop_at)
    }

    /// Forgets words that are old.
    pub fn forget_old(&mut self, now: Moment) {
        self.words.retain(|_, word| !now.reached(word.forget_at));
    }
}
