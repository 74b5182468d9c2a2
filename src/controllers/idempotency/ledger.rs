//! The owner's record of its keys: which were started, and how they ended.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{KeyOutcome, KeyRequest, KeyScope, StoredAnswer};
use crate::prelude::*;

/// How long an answer is kept for retries of its call, in milliseconds.
const ANSWER_RETENTION_MS: u64 = 600_000;

/// The most bytes of answers that are kept; the oldest are dropped first.
const MAX_ANSWERS_BYTES: usize = 16_000_000;

/// The most bytes of a handed-off record without its answer.
const RECORD_OVERHEAD_BYTES: usize = 24;

/// How long the record of an unstarted key is kept after its deadline, in milliseconds.
const EXPIRED_RETENTION_MS: u64 = 600_000;

/// The outcome of a key, as kept by the owner or handed off to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredOutcome {
    /// The call ran; this is the service's answer.
    Answered(StoredAnswer),
    /// The call ran or may have run, and its answer is no longer kept.
    RanAnswerGone,
    /// The call was sent and its answer was lost.
    Unknown,
    /// The key was revoked, or its call was abandoned before it ran.
    Revoked,
}

impl StoredOutcome {
    /// The answer or refusal that a retry of the call gets.
    pub fn to_result(&self) -> Result<StoredAnswer, RefusalNotice> {
        match self {
            Self::Answered(answer) => Ok(answer.clone()),
            Self::RanAnswerGone => Err(RefusalNotice::new(ResultCode::KeyRanAnswerGone, "")),
            Self::Unknown => Err(RefusalNotice::new(ResultCode::OutcomeUnknown, "")),
            Self::Revoked => Err(RefusalNotice::new(ResultCode::KeyRevoked, "")),
        }
    }
}

/// The state of a key that is handed off to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandoffState {
    /// The call was running when its owner left.
    Running,
    /// The key has an outcome.
    Ended(StoredOutcome),
}

/// A key that a leaving process hands off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoffRecord {
    /// The key's number among those of its process.
    pub serial: u64,
    /// The key's state when its process left.
    pub state: HandoffState,
}

impl HandoffRecord {
    /// An estimate of the record's size in a frame, in bytes.
    pub fn size_bytes(&self) -> usize {
        let body = match &self.state {
            HandoffState::Ended(StoredOutcome::Answered(answer)) => answer.body.len(),
            HandoffState::Ended(_) | HandoffState::Running => 0,
        };
        RECORD_OVERHEAD_BYTES + body
    }
}

/// The owner's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claimant runs the call now, and no other claim will be granted.
    Start,
    /// Another claimant is running it.
    Running,
    /// The key has an outcome, or is invalid for this claim.
    Ended(Result<StoredAnswer, RefusalNotice>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum KeyState {
    Issued,
    Started,
    Ended(StoredOutcome),
}

#[derive(Debug)]
struct KeyRecord {
    scope: KeyScope,
    name: Option<Arc<str>>,
    state: KeyState,
    body_hash: Option<u64>,
    deadline: Moment,
    expires_at: Moment,
}

/// The keys that this process has issued.
#[derive(Debug, Default)]
pub struct KeyLedger {
    next_serial: u64,
    records: FastMap<u64, KeyRecord>,
    names: FastMap<(KeyScope, Arc<str>), u64>,
    /// Serials that were started and whose records were dropped.
    dropped_started: BTreeSet<u64>,
    answer_bytes: usize,
    is_closed: bool,
}

impl KeyLedger {
    /// Issues a serial, or returns the one issued before for the same name. The flag is true for such a
    /// repeat.
    pub fn issue(&mut self, request: &KeyRequest) -> (u64, bool) {
        let named = request
            .name
            .as_ref()
            .map(|name| (request.scope.clone(), name.clone()));
        if let Some(serial) = named.as_ref().and_then(|named| self.names.get(named)) {
            return (*serial, true);
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        if let Some(named) = named {
            self.names.insert(named, serial);
        }
        let record = KeyRecord {
            scope: request.scope.clone(),
            name: request.name.clone(),
            state: KeyState::Issued,
            body_hash: None,
            deadline: request.deadline,
            expires_at: request.deadline.after_ms(EXPIRED_RETENTION_MS),
        };
        self.records.insert(serial, record);
        (serial, false)
    }

    /// The deadline of a serial; `None` once its record is dropped.
    pub fn deadline(&self, serial: u64) -> Option<Moment> {
        self.records.get(&serial).map(|record| record.deadline)
    }

    /// Claims the right to run a key, which is granted at most once.
    pub fn claim(&mut self, serial: u64, body_hash: u64, now: Moment) -> ClaimVerdict {
        if serial >= self.next_serial {
            return refuse(ResultCode::BadKey, "it was never issued");
        }
        let is_closed = self.is_closed;
        let Some(record) = self.records.get_mut(&serial) else {
            return self.claim_dropped(serial);
        };
        if record.body_hash.is_some_and(|known| known != body_hash) {
            return refuse(ResultCode::KeyBodyDiffers, "");
        }
        match &record.state {
            KeyState::Started => ClaimVerdict::Running,
            KeyState::Ended(outcome) => ClaimVerdict::Ended(outcome.to_result()),
            KeyState::Issued if is_closed => refuse(ResultCode::KeyRevoked, "its owner is leaving"),
            KeyState::Issued if now.reached(record.deadline) => refuse(ResultCode::KeyExpired, ""),
            KeyState::Issued => {
                record.state = KeyState::Started;
                record.body_hash = Some(body_hash);
                ClaimVerdict::Start
            }
        }
    }

    fn claim_dropped(&self, serial: u64) -> ClaimVerdict {
        if self.dropped_started.contains(&serial) {
            return ClaimVerdict::Ended(StoredOutcome::RanAnswerGone.to_result());
        }
        refuse(ResultCode::KeyExpired, "")
    }

    /// Records the outcome of a started key.
    pub fn finish(&mut self, serial: u64, outcome: &KeyOutcome, now: Moment) {
        let Some(record) = self.records.get_mut(&serial) else {
            return;
        };
        if record.state != KeyState::Started {
            return;
        }
        record.state = match outcome {
            // The refusal says "not run", which must stay true although retries may still arrive.
            KeyOutcome::Unstarted(_) => KeyState::Ended(StoredOutcome::Revoked),
            KeyOutcome::Unknown => KeyState::Ended(StoredOutcome::Unknown),
            KeyOutcome::Answered(answer) => {
                self.answer_bytes += answer.body.len();
                KeyState::Ended(StoredOutcome::Answered(answer.clone()))
            }
        };
        record.expires_at = record.expires_at.max(now.after_ms(ANSWER_RETENTION_MS));
    }

    /// Revokes a key that has not been started, so that it never will be.
    pub fn revoke(&mut self, serial: u64) -> ClaimVerdict {
        let Some(record) = self.records.get_mut(&serial) else {
            return self.claim_dropped(serial);
        };
        match &record.state {
            KeyState::Started => ClaimVerdict::Running,
            KeyState::Ended(outcome) => ClaimVerdict::Ended(outcome.to_result()),
            KeyState::Issued => {
                record.state = KeyState::Ended(StoredOutcome::Revoked);
                ClaimVerdict::Ended(StoredOutcome::Revoked.to_result())
            }
        }
    }

    /// Drops records that have expired or exceed the limit on answers. The serials of keys that were started
    /// are kept until the process exits.
    pub fn drop_expired(&mut self, now: Moment) {
        let expired: Vec<u64> = self
            .records
            .iter()
            .filter(|(_, record)| now.reached(record.expires_at) && record.state != KeyState::Started)
            .map(|(serial, _)| *serial)
            .collect();
        for serial in expired {
            self.drop_record(serial);
        }
        while self.answer_bytes > MAX_ANSWERS_BYTES {
            let Some(oldest) = self.oldest_answer() else {
                return;
            };
            self.drop_record(oldest);
        }
    }

    fn oldest_answer(&self) -> Option<u64> {
        let is_answered =
            |record: &KeyRecord| matches!(record.state, KeyState::Ended(StoredOutcome::Answered(_)));
        self.records
            .iter()
            .filter(|(_, record)| is_answered(record))
            .map(|(serial, _)| *serial)
            .min()
    }

    fn drop_record(&mut self, serial: u64) {
        let Some(record) = self.records.remove(&serial) else {
            return;
        };
        if let Some(name) = record.name {
            self.names.remove(&(record.scope, name));
        }
        match record.state {
            KeyState::Issued | KeyState::Ended(StoredOutcome::Revoked) => {}
            KeyState::Ended(StoredOutcome::Answered(answer)) => {
                self.answer_bytes -= answer.body.len();
                self.dropped_started.insert(serial);
            }
            KeyState::Started | KeyState::Ended(_) => {
                self.dropped_started.insert(serial);
            }
        }
    }

    /// Stops starting keys, and returns the state of all that were started or revoked.
    pub fn close(&mut self) -> Vec<HandoffRecord> {
        self.is_closed = true;
        let dropped = self.dropped_started.iter().map(|serial| HandoffRecord {
            serial: *serial,
            state: HandoffState::Ended(StoredOutcome::RanAnswerGone),
        });
        let kept = self.records.iter().filter_map(|(serial, record)| {
            let state = match &record.state {
                KeyState::Issued => return None,
                KeyState::Started => HandoffState::Running,
                KeyState::Ended(outcome) => HandoffState::Ended(outcome.clone()),
            };
            Some(HandoffRecord {
                serial: *serial,
                state,
            })
        });
        dropped.chain(kept).collect()
    }

    /// The lowest serial that was never issued.
    pub fn next_serial(&self) -> u64 {
        self.next_serial
    }
}

fn refuse(code: ResultCode, detail: &str) -> ClaimVerdict {
    ClaimVerdict::Ended(Err(RefusalNotice::new(code, detail)))
}
