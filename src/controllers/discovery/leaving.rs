//! Replicas that announced in an answer that they are leaving.

use crate::blackboard::ReplicaId;
use crate::prelude::*;

/// How long an announcement is kept, in milliseconds. A leaving replica may keep serving for many seconds,
/// during which its list entry may expire and reappear.
const RETENTION_MS: u64 = 600_000;

/// One replica's announcement that it is leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingNotice {
    /// The start of the leaving process, in milliseconds since the epoch.
    started_epoch_ms: u64,
    /// When the replica stops getting requests.
    stop_at: Moment,
    expires_at: Moment,
}

/// The announcements of all replicas, by name. Each is valid for one process of its replica.
#[derive(Debug, Default)]
pub struct LeavingTable {
    notices: FastMap<ReplicaId, LeavingNotice>,
}

impl LeavingTable {
    /// Records that a process of a replica is leaving; returns whether that was unknown.
    pub fn record(&mut self, id: &ReplicaId, started_epoch_ms: u64, stop_at: Moment) -> bool {
        let known = self.notices.get(id);
        if known.is_some_and(|notice| notice.started_epoch_ms >= started_epoch_ms) {
            return false;
        }
        let notice = LeavingNotice {
            started_epoch_ms,
            stop_at,
            expires_at: stop_at.after_ms(RETENTION_MS),
        };
        self.notices.insert(id.clone(), notice);
        true
    }

    /// When a process of a replica stops getting requests; `None` if it has not announced that it is leaving.
    pub fn stop_at(&self, id: &ReplicaId, started_epoch_ms: u64) -> Option<Moment> {
        let notice = self.notices.get(id)?;
        (notice.started_epoch_ms == started_epoch_ms).then_some(notice.stop_at)
    }

    /// Drops announcements that have expired.
    pub fn drop_expired(&mut self, now: Moment) {
        self.notices.retain(|_, notice| !now.reached(notice.expires_at));
    }
}
