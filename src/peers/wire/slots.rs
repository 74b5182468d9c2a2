//! Frames between VMs that request slots of engines and the owners of the engine groups.

use prost::Message;

/// Identifies a group of engines.
#[derive(Clone, PartialEq, Message)]
pub struct GroupFrame {
    /// The model, or service, that the engines serve.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The index of the group among those of the model's engines.
    #[prost(uint32, tag = "2")]
    pub index: u32,
}

/// A request for slots of a group of engines.
#[derive(Clone, PartialEq, Message)]
pub struct SlotRequestFrame {
    /// The group whose owner the request is sent to.
    #[prost(message, optional, tag = "1")]
    pub group: Option<GroupFrame>,
    /// The id of the attempt that needs the engines.
    #[prost(string, tag = "2")]
    pub request: String,
    /// The workspace of the caller.
    #[prost(string, tag = "3")]
    pub workspace: String,
    /// Rank in the queue; zero is served first.
    #[prost(uint32, tag = "4")]
    pub priority: u32,
    /// A hash of the request's content.
    #[prost(fixed64, tag = "5")]
    pub fingerprint: u64,
    /// Length of the prompt, in tokens.
    #[prost(uint32, tag = "6")]
    pub prompt_tokens: u32,
    /// Limit for generated tokens.
    #[prost(uint32, tag = "7")]
    pub max_tokens: u32,
    /// Hashes of the prompt's leading blocks, each covering the prompt up to the block's end.
    #[prost(fixed64, repeated, tag = "8")]
    pub prefix: Vec<u64>,
    /// Time until the deadline of the answer, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub remaining_ms: u64,
    /// Whether this is a retry.
    #[prost(bool, tag = "10")]
    pub is_retry: bool,
    /// Engines that this request failed on.
    #[prost(string, repeated, tag = "11")]
    pub avoid: Vec<String>,
    /// Estimate of the tokens that are generated.
    #[prost(uint32, tag = "12")]
    pub expected_tokens: u32,
    /// Time until the first token should arrive, in milliseconds.
    #[prost(uint64, tag = "13")]
    pub first_token_target_ms: u64,
    /// Whether the decode engine may run the prompt if no prefill engine is available.
    #[prost(bool, tag = "14")]
    pub may_skip_prefill: bool,
    /// Time until the caller times out if no token has arrived, in milliseconds.
    #[prost(uint64, tag = "15")]
    pub first_token_deadline_ms: u64,
    /// The availability zone of the VM that handles the request.
    #[prost(string, tag = "16")]
    pub zone: String,
    /// Engines that the requesting VM must not send to; they are never granted.
    #[prost(string, repeated, tag = "17")]
    pub excluded: Vec<String>,
    /// Whether the request is served late rather than refused, because its caller already has a part of the
    /// answer or accepts a delay.
    #[prost(bool, tag = "18")]
    pub may_be_late: bool,
    /// Hashes of the parts of the prompt that other requests may share.
    #[prost(fixed64, repeated, tag = "19")]
    pub parts: Vec<u64>,
    /// Time until the requesting VM exits and cuts the generation, in milliseconds; unset if it does not.
    #[prost(uint64, optional, tag = "20")]
    pub cut_in_ms: Option<u64>,
}

/// A refusal with its result code.
#[derive(Clone, PartialEq, Message)]
pub struct RefusalFrame {
    /// The number of the result code.
    #[prost(uint32, tag = "1")]
    pub code: u32,
    /// Details for the caller; may be empty.
    #[prost(string, tag = "2")]
    pub detail: String,
    /// Time after which the caller may retry, in milliseconds; unset if none is recommended.
    #[prost(uint64, optional, tag = "3")]
    pub retry_after_ms: Option<u64>,
    /// Whether the effect "not run" of the result code is uncertain.
    #[prost(bool, tag = "4")]
    pub in_doubt: bool,
}

/// The answer to a request for slots; the request is queued if neither `decode` nor `refusal` is set.
#[derive(Clone, PartialEq, Message)]
pub struct SlotAnswerFrame {
    /// The group whose owner answers.
    #[prost(message, optional, tag = "1")]
    pub group: Option<GroupFrame>,
    /// The id of the attempt that needs the engines.
    #[prost(string, tag = "2")]
    pub request: String,
    /// Name of the granted decode engine; empty if none is granted.
    #[prost(string, tag = "3")]
    pub decode: String,
    /// Name of the granted prefill engine; empty if the decode engine runs the prompt itself.
    #[prost(string, tag = "4")]
    pub prefill: String,
    /// The refusal, if the request was refused.
    #[prost(message, optional, tag = "5")]
    pub refusal: Option<RefusalFrame>,
    /// Whether the grant includes a permit for the decode engine, which reports a rate limit.
    #[prost(bool, tag = "6")]
    pub decode_permit: bool,
    /// Whether the grant includes a permit for the prefill engine, which reports a rate limit.
    #[prost(bool, tag = "7")]
    pub prefill_permit: bool,
}

/// A request holds a slot that an earlier owner granted.
#[derive(Clone, PartialEq, Message)]
pub struct SlotHeldFrame {
    /// The group that the slot belongs to.
    #[prost(message, optional, tag = "1")]
    pub group: Option<GroupFrame>,
    /// The id of the attempt that holds the slot.
    #[prost(string, tag = "2")]
    pub request: String,
    /// The workspace of the caller.
    #[prost(string, tag = "3")]
    pub workspace: String,
    /// Name of the decode engine.
    #[prost(string, tag = "4")]
    pub decode: String,
    /// Time until the slot expires, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub remaining_ms: u64,
    /// Length of the prompt, in tokens.
    #[prost(uint32, tag = "6")]
    pub prompt_tokens: u32,
    /// Estimate of the tokens that are generated.
    #[prost(uint32, tag = "7")]
    pub expected_tokens: u32,
    /// Time since the generation began, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub running_ms: u64,
}

/// An attempt releases its slots, or only its prefill engine.
#[derive(Clone, PartialEq, Message)]
pub struct SlotReleaseFrame {
    /// The group whose owner granted the slots.
    #[prost(message, optional, tag = "1")]
    pub group: Option<GroupFrame>,
    /// The id of the attempt that held the slots.
    #[prost(string, tag = "2")]
    pub request: String,
    /// Mean time between tokens, in microseconds; zero if there were too few to tell.
    #[prost(uint64, tag = "3")]
    pub token_gap_us: u64,
    /// Time from the end of the prefill to the first token, in milliseconds; zero if no token came.
    #[prost(uint64, tag = "4")]
    pub handover_ms: u64,
    /// Outcome at the prefill engine: 0 fine, 1 full, 2 failed, 3 unreachable.
    #[prost(uint32, tag = "5")]
    pub prefill_outcome: u32,
    /// Outcome at the decode engine, with the same values.
    #[prost(uint32, tag = "6")]
    pub decode_outcome: u32,
    /// Whether a request was sent to the decode engine.
    #[prost(bool, tag = "7")]
    pub decode_sent: bool,
    /// Whether a request was sent to the prefill engine.
    #[prost(bool, tag = "8")]
    pub prefill_sent: bool,
}
