//! Run-once calls: a key is bound to the process that issued it, and no other process ever runs its call.
//!
//! The record that a key was started is kept in the memory of the only process that may start it, so both are
//! lost together: no pause, partition, stale list or wrong clock can lead to a second run.

mod controller;
mod key;
mod ledger;

pub use controller::IdempotencyController;
pub use key::{IdempotencyKey, KeyScope};
pub use ledger::{ClaimVerdict, HandoffRecord, HandoffState, KeyLedger, StoredOutcome};

use std::sync::Arc;

use crate::prelude::*;

/// A caller's request for an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRequest {
    /// The customer, service and operation that the key will be valid for.
    pub scope: KeyScope,
    /// The caller's own name for the operation, for which repeated requests get the same key; `None` for a
    /// new key each time.
    pub name: Option<Arc<str>>,
    /// The wall-clock instant after which the call must not start, in milliseconds since the epoch.
    pub deadline_epoch_ms: u64,
    /// The same instant on this process's clock.
    pub deadline: Moment,
}

/// The answer to a request for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedKey {
    /// The key, issued now or before.
    pub key: IdempotencyKey,
    /// Whether the key was issued before, for the same name.
    pub is_repeat: bool,
}

/// A service's answer to a call, kept for retries of the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The HTTP status of the answer.
    pub status: u16,
    /// The complete body of the answer.
    pub body: Arc<str>,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The service's answer came completely.
    Answered(StoredAnswer),
    /// The call was sent and no complete answer came, so it may have run.
    Unknown,
    /// No byte of the call was sent, and none ever will be.
    Unstarted(RefusalNotice),
}
