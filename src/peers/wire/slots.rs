//! Frames between those who need engines and the engines' owners.

use prost::Message;

/// A group of engines.
#[derive(Clone, PartialEq, Message)]
pub struct GroupFrame {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The group's number.
    #[prost(uint32, tag = "2")]
    pub index: u32,
}

/// A request for slots.
#[derive(Clone, PartialEq, Message)]
pub struct SlotAskFrame {
    /// The group.
    #[prost(message, optional, tag = "1")]
    pub group: Option<GroupFrame>,
    /// The attempt's id.
    #[prost(string, tag = "2")]
    pub request: String,
    /// The customer.
    #[prost(string, tag = "3")]
    pub workspace: String,
    /// Its rank while it waits.
    #[prost(uint32, tag = "4")]
    pub priority: u32,
    /// A hash of the content.
    #[prost(fixed64, tag = "5")]
    pub fingerprint: u64,
    /// Tokens of the prompt.
    #[prost(uint32, tag = "6")]
    pub prompt_tokens: u32,
    /// The most tokens to generate.
    #[prost(uint32, tag = "7")]
    pub max_tokens: u32,
    /// Hashes of the prompt's leading blocks.
    #[prost(fixed64, repeated, tag = "8")]
    pub prefix: Vec<u64>,
    /// Milliseconds left until the deadline.
    #[prost(uint64, tag = "9")]
    pub remaining_ms: u64,
    /// Whether it is another try.
    #[prost(bool, tag = "10")]
    pub is_retry: bool,
    /// Engines that failed for it.
    #[prost(string, repeated, tag = "11")]
    pub avoid: Vec<String>,
    /// Tokens that it will probably generate.
    #[prost(uint32, tag = "12")]
    pub expected_tokens: u32,
    /// Milliseconds left until its first token should be there.
    #[prost(uint64, tag = "13")]
    pub first_token_ms: u64,
    /// Whether a decode engine may run the prompt itself.
    #[prost(bool, tag = "14")]
    pub may_skip_prefill: bool,
    /// Milliseconds left until its caller gives it up if no token has come.
    #[prost(uint64, tag = "15")]
    pub give_up_ms: u64,
    /// The availability zone of the VM that serves it.
    #[prost(string, tag = "16")]
    pub zone: String,
    /// Engines that get nothing from the asking VM now.
    #[prost(string, repeated, tag = "17")]
    pub excluded: Vec<String>,
    /// Whether it is served late rather than refused: its caller has a part of the answer, or does not mind.
    #[prost(bool, tag = "18")]
    pub may_be_late: bool,
}

/// A refusal.
#[derive(Clone, PartialEq, Message)]
pub struct RefusalFrame {
    /// The result code.
    #[prost(uint32, tag = "1")]
    pub code: u32,
    /// What in particular was wrong.
    #[prost(string, tag = "2")]
    pub detail: String,
    /// Milliseconds after which to come back.
    #[prost(uint64, optional, tag = "3")]
    pub retry_after_ms: Option<u64>,
    /// Whether the code's "not run" is in doubt.
    #[prost(bool, tag = "4")]
    pub in_doubt: bool,
}

/// The answer to a request for slots: queued where neither field is set.
#[derive(Clone, PartialEq, Message)]
pub struct SlotAnswerFrame {
    /// The group.
    #[prost(message, optional, tag = "1")]
    pub group: Option<GroupFrame>,
    /// The attempt's id.
    #[prost(string, tag = "2")]
    pub request: String,
    /// The granted decode engine.
    #[prost(string, tag = "3")]
    pub decode: String,
    /// The granted prefill engine; empty where the decode engine runs the prompt itself.
    #[prost(string, tag = "4")]
    pub prefill: String,
    /// Why it was refused.
    #[prost(message, optional, tag = "5")]
    pub refusal: Option<RefusalFrame>,
    /// Whether the decode engine may be sent to though it names a limit.
    #[prost(bool, tag = "6")]
    pub decode_permit: bool,
    /// Whether the prefill engine may.
    #[prost(bool, tag = "7")]
    pub prefill_permit: bool,
}

/// A request holds slots that an earlier owner granted.
#[derive(Clone, PartialEq, Message)]
pub struct SlotHeldFrame {
    /// The group.
    #[prost(message, optional, tag = "1")]
    pub group: Option<GroupFrame>,
    /// The attempt's id.
    #[prost(string, tag = "2")]
    pub request: String,
    /// The customer.
    #[prost(string, tag = "3")]
    pub workspace: String,
    /// The decode engine.
    #[prost(string, tag = "4")]
    pub decode: String,
    /// Milliseconds left until the deadline.
    #[prost(uint64, tag = "5")]
    pub remaining_ms: u64,
    /// Tokens of its prompt.
    #[prost(uint32, tag = "6")]
    pub prompt_tokens: u32,
    /// Tokens that it will probably generate.
    #[prost(uint32, tag = "7")]
    pub expected_tokens: u32,
    /// Milliseconds since it was granted.
    #[prost(uint64, tag = "8")]
    pub running_ms: u64,
}

/// Slots, or a prefill engine, are free again.
#[derive(Clone, PartialEq, Message)]
pub struct SlotReleaseFrame {
    /// The group.
    #[prost(message, optional, tag = "1")]
    pub group: Option<GroupFrame>,
    /// The attempt's id.
    #[prost(string, tag = "2")]
    pub request: String,
    /// Time between tokens, in microseconds.
    #[prost(uint64, tag = "3")]
    pub token_gap_us: u64,
    /// Time from the prefill's end to the first token, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub handover_ms: u64,
    /// How the prefill engine behaved: 0 fine, 1 full, 2 failed, 3 unreachable.
    #[prost(uint32, tag = "5")]
    pub prefill_end: u32,
    /// How the decode engine behaved, in the same numbers.
    #[prost(uint32, tag = "6")]
    pub decode_end: u32,
    /// Whether the decode engine was sent to.
    #[prost(bool, tag = "7")]
    pub decode_sent: bool,
    /// Whether the prefill engine was.
    #[prost(bool, tag = "8")]
    pub prefill_sent: bool,
}
