//! Slots of engines: the owner of a group of engines grants them one request at a time.
//!
//! A group's owner is the live VM that ranks first by rendezvous hashing. Two owners after a partition cost a few
//! slots too many, which the engines queue; they never cost an answer. Without an owner a node chooses alone.

mod choice;
mod client;
mod groups;
mod ledger;
mod owner;
mod prefix;
mod queue;
mod replica;

pub use choice::{LocalChooser, PlacementPolicy};
pub use client::SlotController;
pub use groups::{EngineGroup, group_count, group_members};
pub use ledger::{GroupLedger, LedgerGrant};
pub use prefix::{BLOCK_TOKENS, PrefixMemory, hash_prefix};

use std::sync::Arc;

use crate::blackboard::Fingerprint;
use crate::prelude::*;

/// Names one attempt at one request: the holder's incarnation, a serial and the attempt.
pub type RequestId = Arc<str>;

/// What a generation needs from the engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementAsk {
    /// The attempt.
    pub request: RequestId,
    /// The customer.
    pub workspace: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// Whether others go first while it waits.
    pub may_wait: bool,
    /// A hash of the request's content.
    pub fingerprint: Fingerprint,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// Hashes of the prompt's leading blocks, each covering all before it.
    pub prefix: Vec<u64>,
    /// When the answer must be whole.
    pub deadline: Moment,
    /// Whether this is another try, which the workspace's retry budget must cover.
    pub is_retry: bool,
    /// Engines that this request has failed on.
    pub avoid: Vec<Arc<str>>,
}

/// The engines for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementGrant {
    /// The decode engine.
    pub decode: Arc<str>,
    /// The prefill engine.
    pub prefill: Arc<str>,
}

/// A slot that a request holds, as its holder tells a new owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldSlot {
    /// The attempt.
    pub request: RequestId,
    /// The customer.
    pub workspace: Arc<str>,
    /// The decode engine.
    pub decode: Arc<str>,
    /// When the request must be over.
    pub deadline: Moment,
}

/// How a placed attempt went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementResult {
    /// The mean time between its tokens, in microseconds; zero where there were too few.
    pub pace_us: u64,
    /// The time from the prefill's end to the first token, in milliseconds; zero where there was none.
    pub handover_ms: u64,
}
