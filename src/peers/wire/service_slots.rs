//! Frames for the slots of plain services.

use prost::{Message, Oneof};

/// The load that a replica reported with an answer.
#[derive(Clone, PartialEq, Message)]
pub struct LoadFrame {
    /// The id of the replica; empty where the grant names it.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Requests that the replica is running.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Requests in the replica's queue.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Requests that the replica runs concurrently.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Time that the same work takes now, in percent of the usual.
    #[prost(uint32, tag = "5")]
    pub pace_percent: u32,
    /// Time since the answer was received, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
}

/// Requests a slot for a send from the owner of a plain service.
#[derive(Clone, PartialEq, Message)]
pub struct SendSlotRequestFrame {
    /// The sender's number for the send.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The service that the replicas belong to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The request's priority; lower values go first.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
    /// The ids of replicas that must not be granted.
    #[prost(string, repeated, tag = "4")]
    pub avoid: Vec<String>,
    /// Time until the request should be answered, in milliseconds; zero if that has passed.
    #[prost(uint64, tag = "5")]
    pub objective_in_ms: u64,
    /// Time until the request must be answered, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub deadline_in_ms: u64,
    /// Whether the request is refused unless a slot is free at once.
    #[prost(bool, tag = "7")]
    pub is_immediate: bool,
    /// Loads reported to the sender that the owner does not know yet.
    #[prost(message, repeated, tag = "8")]
    pub loads: Vec<LoadFrame>,
}

/// An answer without content.
#[derive(Clone, PartialEq, Message)]
pub struct EmptyAnswerFrame {}

/// The kinds of answers to a request for a slot.
#[derive(Clone, PartialEq, Oneof)]
pub enum SendVerdictBody {
    /// The request may be sent to the replica with this id.
    #[prost(string, tag = "2")]
    GrantedReplica(String),
    /// The request waits.
    #[prost(message, tag = "3")]
    Queued(EmptyAnswerFrame),
    /// The request is refused; the delay after which its caller should retry, in milliseconds.
    #[prost(uint64, tag = "4")]
    RefusedRetryMs(u64),
    /// The owner knows no replica that it may grant.
    #[prost(message, tag = "5")]
    NoCandidate(EmptyAnswerFrame),
}

/// The answer to a request for a slot.
#[derive(Clone, PartialEq, Message)]
pub struct SendSlotAnswerFrame {
    /// The number in the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The answer; `None` for a kind that this version does not know.
    #[prost(oneof = "SendVerdictBody", tags = "2, 3, 4, 5")]
    pub verdict: Option<SendVerdictBody>,
}

/// A send ended, or its request was given up.
#[derive(Clone, PartialEq, Message)]
pub struct SendSlotReleasedFrame {
    /// The number in the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// How the send ended: 0 unused, 1 answered, 2 rejected, 3 failed, 4 ended in another way,
    /// 5 abandoned.
    #[prost(uint32, tag = "2")]
    pub end: u32,
    /// Time until it was answered or abandoned, in milliseconds; zero otherwise.
    #[prost(uint64, tag = "3")]
    pub elapsed_ms: u64,
    /// The load that the replica reported; unset if it reported none.
    #[prost(message, optional, tag = "4")]
    pub load: Option<LoadFrame>,
}
