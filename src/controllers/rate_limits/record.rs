//! What replicas said of their limits, and which of two statements is the later one.

use crate::blackboard::{RateLimit, ReplicaId, RequestRate};
use crate::prelude::*;

/// How long a record is kept after its replica last spoke, in milliseconds: an entry may lapse and come back.
const KEPT_MS: u64 = 600_000;

/// Records that are kept, several times the replicas of the two-year size.
const MOST_RECORDS: usize = 4_096;

/// A replica's latest statement on its limit, as one answer made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitRecord {
    /// Which replica.
    pub replica: ReplicaId,
    /// Which start of it.
    pub started_epoch_ms: u64,
    /// The limit; `None` where it names none any more.
    pub rate: Option<RequestRate>,
    /// When the limit was first named.
    pub first_named_at: Moment,
    /// When the request was sent that was answered so. It orders statements of different VMs.
    pub asked_at: Moment,
    /// When the answer came.
    pub answered_at: Moment,
    /// The VM that got the answer.
    pub seen_by: VmName,
}

/// What a statement adds to what was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// It is older than what was known, or says nothing.
    Nothing,
    /// The limit is named again.
    Renewed,
    /// The limit is another one, or was named earlier than was known.
    OtherRate,
    /// There was no limit.
    Named,
    /// There is no limit any more.
    Ended,
}

/// The latest statements of all replicas, by name.
#[derive(Debug, Default)]
pub struct LimitTable {
    records: FastMap<ReplicaId, LimitRecord>,
}

impl LimitTable {
    /// The latest statement of a replica.
    pub fn get(&self, id: &str) -> Option<&LimitRecord> {
        self.records.get(id)
    }

    /// All statements.
    pub fn iter(&self) -> impl Iterator<Item = &LimitRecord> {
        self.records.values()
    }

    /// Takes a statement of an answer to this VM. An answer to a request that was sent before the limit was last named here
    /// does not end it.
    pub fn take_own(&mut self, statement: LimitRecord) -> LimitChange {
        if statement.rate.is_none() {
            let known = self.records.get(&statement.replica);
            let ends = known.is_some_and(|known| {
                known.rate.is_some()
                    && (known.started_epoch_ms < statement.started_epoch_ms
                        || statement.asked_at >= known.answered_at)
            });
            if !ends {
                return LimitChange::Nothing;
            }
        }
        self.take(statement)
    }

    /// Takes a statement as another VM tells it: of two the one counts whose request was sent later.
    pub fn take(&mut self, mut statement: LimitRecord) -> LimitChange {
        let Some(known) = self.records.get_mut(&statement.replica) else {
            let is_named = statement.rate.is_some();
            self.make_room();
            self.records.insert(statement.replica.clone(), statement);
            return if is_named {
                LimitChange::Named
            } else {
                LimitChange::Nothing
            };
        };
        if statement.started_epoch_ms < known.started_epoch_ms {
            return LimitChange::Nothing;
        }
        if statement.started_epoch_ms == known.started_epoch_ms {
            let is_later = match statement.rate {
                Some(_) => statement.asked_at >= known.asked_at,
                None => statement.asked_at > known.asked_at,
            };
            let mut is_older_limit = false;
            if statement.rate.is_some() && known.rate.is_some() {
                is_older_limit = statement.first_named_at < known.first_named_at;
                statement.first_named_at = statement.first_named_at.min(known.first_named_at);
                known.first_named_at = statement.first_named_at;
                statement.answered_at = statement.answered_at.max(known.answered_at);
            }
            match (is_later, is_older_limit) {
                (true, _) => {}
                (false, true) => return LimitChange::OtherRate,
                (false, false) => return LimitChange::Nothing,
            }
        }
        let before = std::mem::replace(known, statement);
        match (before.rate, known.rate) {
            (None, None) => LimitChange::Nothing,
            (None, Some(_)) => LimitChange::Named,
            (Some(_), None) => LimitChange::Ended,
            (Some(_), Some(_)) if before.started_epoch_ms != known.started_epoch_ms => LimitChange::Named,
            (Some(old), Some(new)) if old != new => LimitChange::OtherRate,
            (Some(_), Some(_)) => LimitChange::Renewed,
        }
    }

    fn make_room(&mut self) {
        if self.records.len() < MOST_RECORDS {
            return;
        }
        let oldest = self
            .records
            .values()
            .min_by_key(|record| (record.rate.is_some(), record.answered_at));
        if let Some(id) = oldest.map(|record| record.replica.clone()) {
            self.records.remove(&id);
        }
    }

    /// Forgets what earlier starts of replicas said, and what was said long ago by those that are off the list or name no
    /// limit; `listed_start` gives the start of a replica on the list.
    pub fn forget_old(&mut self, now: Moment, listed_start: impl Fn(&LimitRecord) -> Option<u64>) {
        self.records.retain(|_, record| {
            let is_kept = !now.reached(record.answered_at.after_ms(KEPT_MS));
            match listed_start(record) {
                Some(start) if start > record.started_epoch_ms => false,
                Some(start) if start == record.started_epoch_ms && record.rate.is_some() => true,
                _ => is_kept,
            }
        });
    }

    /// The limits in force.
    pub fn limits(&self) -> FastMap<ReplicaId, RateLimit> {
        let named = self.records.values().filter_map(|record| {
            let limit = RateLimit {
                started_epoch_ms: record.started_epoch_ms,
                rate: record.rate?,
                first_named_at: record.first_named_at,
                seen_by: record.seen_by.clone(),
            };
            Some((record.replica.clone(), limit))
        });
        named.collect()
    }
}
