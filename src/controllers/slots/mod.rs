//! Slots of engines: the owner of a group of engines grants them one request at a time.
//!
//! A group's owner is the live VM that ranks first by rendezvous hashing. Two owners after a partition cost a few
//! slots too many, which the engines queue; they never cost an answer. Without an owner a node chooses alone.

mod choice;
mod client;
mod forecast;
mod groups;
mod ledger;
mod owner;
mod prefix;
mod queue;
mod replica;
mod tending;

pub use choice::{LocalChooser, PlacementPolicy};
pub use client::SlotController;
pub use forecast::MemoryLoad;
pub use groups::{EngineGroup, group_count, group_members};
pub use ledger::{GroupLedger, LedgerGrant, ReleasedEngines};
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
    /// The availability zone of the VM that serves it.
    pub zone: Arc<str>,
    /// Its rank while it waits; zero goes first.
    pub priority: u32,
    /// A hash of the request's content.
    pub fingerprint: Fingerprint,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// Tokens that it will probably generate.
    pub expected_tokens: u32,
    /// When its first token should be there.
    pub first_token_by: Moment,
    /// When its caller gives it up if no token has come.
    pub give_up_at: Moment,
    /// Hashes of the prompt's leading blocks, each covering all before it.
    pub prefix: Vec<u64>,
    /// When the answer must be whole.
    pub deadline: Moment,
    /// Whether it is served late rather than refused: its caller has a part of the answer, or does not mind.
    pub may_be_late: bool,
    /// Whether a decode engine may run the prompt itself where no prefill engine can.
    pub may_skip_prefill: bool,
    /// Whether this is another try, which the workspace's retry budget must cover.
    pub is_retry: bool,
    /// Engines that this request has failed on; they are asked again where no others are left.
    pub avoid: Vec<Arc<str>>,
    /// Engines that get nothing from the asking VM now, since they back off or have left; they are never granted. Their
    /// owner may not have heard of it.
    pub barred: Vec<Arc<str>>,
}

impl PlacementAsk {
    /// How it takes a decode engine's memory from an instant on.
    pub fn memory_load(&self, begins_at: Moment) -> MemoryLoad {
        MemoryLoad {
            prompt_tokens: self.prompt_tokens,
            expected_tokens: self.expected_tokens,
            begins_at,
        }
    }
}

/// The engines for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementGrant {
    /// The decode engine.
    pub decode: Arc<str>,
    /// The prefill engine; `None` where the decode engine runs the prompt itself.
    pub prefill: Option<Arc<str>>,
    /// The owner that granted them; `None` where this node chose alone.
    pub granted_by: Option<VmName>,
    /// Which of them may be sent to though they name limits.
    pub permits: EnginePermits,
}

/// Which engines of a grant name limits and may be sent one request each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EnginePermits {
    /// Whether the decode engine is one.
    pub decode: bool,
    /// Whether the prefill engine is one.
    pub prefill: bool,
}

impl PlacementGrant {
    /// The engine that runs the prompt.
    pub fn prefill_engine(&self) -> &Arc<str> {
        self.prefill.as_ref().unwrap_or(&self.decode)
    }
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
    /// How it takes the engine's memory.
    pub load: MemoryLoad,
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
    /// How the prefill engine behaved.
    pub prefill: EngineEnd,
    /// How the decode engine behaved.
    pub decode: EngineEnd,
    /// Which engines were sent to; the permits of the others go back.
    pub sent: SentEngines,
}

/// Which engines of a grant were sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentEngines {
    /// Whether the decode engine was.
    pub decode: bool,
    /// Whether the prefill engine was.
    pub prefill: bool,
}

impl SentEngines {
    /// Both, or it is not known.
    pub const BOTH: Self = Self {
        decode: true,
        prefill: true,
    };
}

/// How an engine behaved towards a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineEnd {
    /// As it should, or it was not asked.
    #[default]
    Fine,
    /// It had no room, although it was expected to.
    Full,
    /// It broke off, answered with an error, or did not answer in time.
    Failed,
    /// It could not be reached at all.
    Unreachable,
}
