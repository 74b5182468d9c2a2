//! Replicas that announced in an answer that they are leaving.

use crate::blackboard::ReplicaId;
use crate::prelude::*;

/// How long an announcement is kept, in milliseconds. A leaving replica may serve on for many seconds, in
/// which its list entry may expire and come back.
const KEPT_MS: u64 = 600_000;

/// One replica's announcement that it is leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingWord {
    /// The start of the leaving process, in milliseconds since the epoch.
    started_epoch_ms: u64,
    /// When the replica stops getting requests.
    stop_at: Moment,
    forget_at: Moment,
}

/// The announcements of all replicas, by name. Each is valid for one process of its replica.
#[derive(Debug, Default)]
pub struct LeavingTable {
    words: FastMap<ReplicaId, LeavingWord>,
}

impl LeavingTable {
    /// Records that a process of a replica is leaving; returns whether that was unknown.
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

    /// When a process of a replica stops getting requests; `None` if it has not announced that it is leaving.
    pub fn stop_at(&self, id: &ReplicaId, started_epoch_ms: u64) -> Option<Moment> {
        let word = self.words.get(id)?;
        (word.started_epoch_ms == started_epoch_ms).then_some(word.stop_at)
    }

    /// Drops announcements that have expired.
    pub fn forget_old(&mut self, now: Moment) {
        self.words.retain(|_, word| !now.reached(word.forget_at));
    }
}
