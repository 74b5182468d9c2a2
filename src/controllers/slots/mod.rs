//! Placement of generations on engines: one VM, the owner of a group of engines, grants the slots of the
//! group.
//!
//! The owner is the live VM with the highest rendezvous weight for the group. After a partition two owners
//! may grant a few slots too many: the engines queue the excess, and no answer is lost. A VM that reaches
//! no owner chooses engines from its own data.

mod choice;
mod client;
mod forecast;
mod groups;
mod ledger;
mod owner;
mod prefix;
mod queue;
mod replica;
mod retry;

pub use choice::{LocalChooser, PlacementPolicy};
pub use client::SlotController;
pub use forecast::MemoryLoad;
pub use groups::{EngineGroup, group_count, group_members};
pub use ledger::{GroupLedger, QueueDecision, ReleasedEngines};
pub use prefix::{BLOCK_TOKENS, PrefixIndex, hash_prefix};

use std::sync::Arc;

use crate::blackboard::FeatureSet;
use crate::prelude::*;

/// Identifies one attempt at one request: the holder's incarnation, a serial number and the attempt's number.
pub type RequestId = Arc<str>;

/// A request for the engines that one attempt at a generation needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRequest {
    /// The attempt that needs the engines.
    pub request: RequestId,
    /// Workspace of the caller; the order of the queue and the retry budget depend on it.
    pub workspace: Arc<str>,
    /// Model, or service, whose engines are needed.
    pub model: Arc<str>,
    /// Availability zone of the VM that handles the request.
    pub zone: Arc<str>,
    /// Rank in the queue; zero is served first.
    pub priority: u32,
    /// What the request may have in common with others; some of it may be suspected of crashing engines.
    pub features: FeatureSet,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Limit for generated tokens.
    pub max_tokens: u32,
    /// Estimate of the tokens that are generated.
    pub expected_tokens: u32,
    /// Latency objective: when the attempt's first token should arrive.
    pub first_token_target: Moment,
    /// When the caller times out if no token has arrived.
    pub first_token_deadline: Moment,
    /// Hashes of the prompt's leading blocks, each covering the prompt up to the block's end; see
    /// [`hash_prefix`].
    pub prefix: Vec<u64>,
    /// When the answer must be complete.
    pub deadline: Moment,
    /// Whether the request is served late rather than refused, since its caller already has a part of the
    /// answer or accepts a delay.
    pub may_be_late: bool,
    /// Whether the decode engine may run the prompt if no prefill engine is available.
    pub may_skip_prefill: bool,
    /// Whether this is a retry, which is charged to the workspace's retry budget.
    pub is_retry: bool,
    /// Engines on which this request failed; they are granted again only if no others are usable.
    pub avoid: Vec<Arc<str>>,
    /// Engines that the requesting VM must not send to, since they requested backoff or are leaving; they are
    /// never granted. The owner may not know of this yet.
    pub excluded: Vec<Arc<str>>,
    /// When the requesting VM exits as planned, which cuts a generation that still runs; `None` if it stays, or if
    /// its generations go on without it.
    pub cut_at: Option<Moment>,
}

impl PlacementRequest {
    /// The memory that the generation takes on a decode engine if it begins at `begins_at`.
    pub fn memory_load(&self, begins_at: Moment) -> MemoryLoad {
        MemoryLoad {
            prompt_tokens: self.prompt_tokens,
            expected_tokens: self.expected_tokens,
            begins_at,
        }
    }
}

/// The engines granted to one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementGrant {
    /// Name of the decode engine.
    pub decode: Arc<str>,
    /// Name of the prefill engine; `None` if the decode engine runs the prompt itself.
    pub prefill: Option<Arc<str>>,
    /// The owner that granted the engines; `None` if this VM chose them without an owner.
    pub granted_by: Option<VmName>,
    /// Permits for those of the engines that report rate limits.
    pub permits: EnginePermits,
}

/// Permits of a grant: each allows one request to an engine that reports a rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EnginePermits {
    /// Whether a permit of the decode engine was taken; false if that engine reports no limit.
    pub decode: bool,
    /// Whether a permit of the prefill engine was taken; false if that engine reports no limit.
    pub prefill: bool,
}

impl PlacementGrant {
    /// The engine that runs the prompt: the prefill engine, or the decode engine if there is none.
    pub fn prefill_engine(&self) -> &Arc<str> {
        self.prefill.as_ref().unwrap_or(&self.decode)
    }
}

/// A slot that a request holds, as its holder reports it to a new owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldSlot {
    /// The attempt that holds the slot.
    pub request: RequestId,
    /// Workspace that the slot counts for.
    pub workspace: Arc<str>,
    /// Decode engine that the slot belongs to.
    pub decode: Arc<str>,
    /// Memory that the generation takes on the engine.
    pub load: MemoryLoad,
    /// When the slot expires.
    pub deadline: Moment,
}

/// Outcome and measurements of a placed attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementResult {
    /// Mean time between tokens, in microseconds; zero if there were too few tokens to measure it.
    pub token_gap_us: u64,
    /// Time from the end of the prefill to the first token, in milliseconds; zero if no token came.
    pub handover_ms: u64,
    /// Outcome at the prefill engine.
    pub prefill: EngineOutcome,
    /// Outcome at the decode engine.
    pub decode: EngineOutcome,
    /// Engines that a request was sent to; permits of the others are returned.
    pub sent: SentEngines,
}

/// The engines of a grant that a request was sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentEngines {
    /// Whether a request was sent to the decode engine.
    pub decode: bool,
    /// Whether a request was sent to the prefill engine.
    pub prefill: bool,
}

impl SentEngines {
    /// Sent to both engines. Also used if it is unknown what was sent, so that no permit is returned that may
    /// have been used.
    pub const BOTH: Self = Self {
        decode: true,
        prefill: true,
    };
}

/// Outcome of a request at one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineOutcome {
    /// No failure; also the outcome if nothing was sent to the engine.
    #[default]
    Fine,
    /// The engine had no free slot or memory, although by its owner's count it had.
    Full,
    /// The engine broke off the answer, answered with an error, or timed out.
    Failed,
    /// No connection to the engine could be made.
    Unreachable,
}
