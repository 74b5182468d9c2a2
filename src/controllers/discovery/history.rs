//! The latest changes of the replica list, for peers that missed some of them.

use std::collections::VecDeque;

use super::ReplicaUpdate;
use crate::blackboard::{ReplicaId, ReplicaRecord};
use crate::prelude::*;

/// The most entries that are kept, at a few hundred bytes each: three times the length planned for the list
/// in two years. All entries of the list change at once when all replicas start.
const MAX_ENTRIES: usize = 2_048;

/// The latest changes, oldest first; each starts at the position where the one before ends.
#[derive(Debug, Default)]
pub struct UpdateHistory {
    updates: VecDeque<ReplicaUpdate>,
    entry_count: usize,
}

impl UpdateHistory {
    /// Appends the update that followed a position; a whole list clears the history.
    pub fn record(&mut self, known: StorePosition, update: &ReplicaUpdate) {
        if update.is_whole {
            self.updates.clear();
            self.entry_count = 0;
            return;
        }
        self.entry_count += update.entry_count();
        self.updates.push_back(ReplicaUpdate {
            since: known,
            ..update.clone()
        });
        while self.entry_count > MAX_ENTRIES {
            let oldest = self.updates.pop_front();
            self.entry_count -= oldest.as_ref().map_or(0, ReplicaUpdate::entry_count);
        }
    }

    /// All changes after a position, merged into one update; `None` if some are not kept any more.
    pub fn changes_after(&self, known: StorePosition) -> Option<ReplicaUpdate> {
        let newest = self.updates.back()?.position;
        let newer = || self.updates.iter().filter(|update| update.position > known);
        if newer().next().is_some_and(|update| !update.applies_to(known)) {
            return None;
        }
        let mut latest: FastMap<&ReplicaId, Option<&ReplicaRecord>> = FastMap::default();
        for update in newer() {
            latest.extend(update.present.iter().map(|record| (&record.id, Some(record))));
            latest.extend(update.removed.iter().map(|id| (id, None)));
        }
        let mut changes = ReplicaUpdate {
            position: newest,
            since: known,
            is_whole: false,
            is_difference: newer().any(|update| update.is_difference),
            present: Vec::new(),
            removed: Vec::new(),
        };
        for (id, record) in latest {
            match record {
                Some(record) => changes.present.push(record.clone()),
                None => changes.removed.push(id.clone()),
            }
        }
        Some(changes)
    }
}
