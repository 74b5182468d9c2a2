//! Run-once calls: a key is bound to the process that issued it, and no other process ever runs it.
//!
//! The memory that a key was started lives exactly as long as the right to start it, so that no pause, partition,
//! stale list or wrong clock can lead to a second run.

mod controller;
mod key;
mod ledger;

pub use controller::IdempotencyController;
pub use key::{IdempotencyKey, KeyScope};
pub use ledger::{ClaimVerdict, HandoffRecord, HandoffState, KeyLedger, StoredOutcome};

use std::sync::Arc;

use crate::prelude::*;

/// What a key is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRequest {
    /// The customer, service and operation that it will be good for.
    pub scope: KeyScope,
    /// The caller's own name for the operation; asking again with it gives the same key.
    pub name: Option<Arc<str>>,
    /// The wall-clock instant after which the call must not start, in milliseconds since the epoch.
    pub deadline_epoch_ms: u64,
    /// The same instant on this process's clock.
    pub deadline: Moment,
}

/// A key that was issued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedKey {
    /// The key.
    pub key: IdempotencyKey,
    /// Whether it was issued before, for the same name.
    pub is_repeat: bool,
}

/// The answer of a service, kept for repeats of the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// Its HTTP status.
    pub status: u16,
    /// Its body.
    pub body: Arc<str>,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The service answered.
    Answered(StoredAnswer),
    /// The call was sent and no whole answer came.
    Unknown,
    /// No byte of the call left, and none ever will.
    Unstarted(RefusalNotice),
}
