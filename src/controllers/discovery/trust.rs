//! How far entries of the list count after the store came back from an older copy. What the store had acknowledged
//! before is not taken back by the copy alone.

use crate::blackboard::{EntryTrust, ReplicaFacts, ReplicaRecord};
use crate::controllers::store_era::REWRITE_MS;
use crate::prelude::*;

/// How long after its return the store may list replicas that are gone, in milliseconds: it removes an entry after
/// three heartbeat intervals of some 1.2 s without a sign of its replica.
const EXPIRY_MS: u64 = 5_000;

/// Where an entry was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntrySource {
    /// In the first whole list of a new era, which may be older than the known state.
    Copy,
    /// In a whole list of the known era.
    List,
    /// Among the changes of the known era, so that it was written in that era.
    Change,
}

/// Until when a replica whose entry the copy lacks stays in use, if this node learned of the copy at `changed_at`.
pub fn missing_until(changed_at: Moment) -> Moment {
    changed_at.after_ms(REWRITE_MS)
}

/// How far an entry counts. `known` is what this node knows of the same start, and `dropped_start` the latest start under
/// the id that was known and dropped.
pub fn judge_entry(
    record: &ReplicaRecord,
    known: Option<&ReplicaFacts>,
    dropped_start: Option<u64>,
    source: EntrySource,
    changed_at: Moment,
) -> EntryTrust {
    if record.is_draining || source == EntrySource::Change {
        return EntryTrust::Current;
    }
    if known.is_none() && dropped_start.is_some_and(|start| start > record.started_epoch_ms) {
        // Its process ended before the later one began.
        return EntryTrust::Outdated { until: None };
    }
    if source == EntrySource::List {
        // Nothing shows that an unchanged entry was written again.
        let unchanged = known.filter(|known| known.is_listed && known.record.is_same_entry(record));
        return match unchanged.map(|known| known.trust) {
            Some(trust @ EntryTrust::Outdated { .. }) => trust,
            _ => EntryTrust::Current,
        };
    }
    let until = Some(changed_at.after_ms(EXPIRY_MS));
    match known {
        Some(known) if known.is_listed => match known.trust {
            EntryTrust::Outdated { until: Some(_) } => EntryTrust::Outdated { until },
            EntryTrust::Outdated { until: None } => known.trust,
            _ if known.record.is_draining => EntryTrust::Outdated { until: None },
            _ => EntryTrust::Current,
        },
        Some(_) => EntryTrust::Outdated { until },
        None if dropped_start == Some(record.started_epoch_ms) => EntryTrust::Outdated { until },
        None => EntryTrust::Current,
    }
}
