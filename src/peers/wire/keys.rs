//! Frames about run-once calls and their outcomes.

use prost::Message;

use super::RefusalFrame;

/// A run-once call.
#[derive(Clone, PartialEq, Message)]
pub struct KeyCallFrame {
    /// The sender's number for the call.
    #[prost(fixed64, tag = "1")]
    pub call_id: u64,
    /// The owner's VM.
    #[prost(string, tag = "2")]
    pub owner: String,
    /// Where the owner listens.
    #[prost(string, tag = "3")]
    pub owner_address: String,
    /// The key.
    #[prost(string, tag = "4")]
    pub key: String,
    /// The incarnation in the key.
    #[prost(bytes = "vec", tag = "5")]
    pub incarnation: Vec<u8>,
    /// The serial in the key.
    #[prost(uint64, tag = "6")]
    pub serial: u64,
    /// The customer.
    #[prost(string, tag = "7")]
    pub workspace: String,
    /// The plain service.
    #[prost(string, tag = "8")]
    pub service: String,
    /// The operation.
    #[prost(string, tag = "9")]
    pub operation: String,
    /// The content; not set to revoke the key.
    #[prost(string, optional, tag = "10")]
    pub body: Option<String>,
    /// Milliseconds for which the sender waits.
    #[prost(uint64, tag = "11")]
    pub remaining_ms: u64,
}

/// The answer to a run-once call.
#[derive(Clone, PartialEq, Message)]
pub struct KeyAnswerFrame {
    /// The number of the call.
    #[prost(fixed64, tag = "1")]
    pub call_id: u64,
    /// The service's HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The service's body.
    #[prost(string, tag = "3")]
    pub body: String,
    /// Why there is no answer.
    #[prost(message, optional, tag = "4")]
    pub refusal: Option<RefusalFrame>,
}

/// The outcomes of a leaving process.
#[derive(Clone, PartialEq, Message)]
pub struct HandoffFrame {
    /// The process.
    #[prost(bytes = "vec", tag = "1")]
    pub incarnation: Vec<u8>,
    /// Serials from this on were never issued.
    #[prost(uint64, tag = "2")]
    pub next_serial: u64,
    /// Which part this is.
    #[prost(uint32, tag = "8")]
    pub part: u32,
    /// How many parts there are.
    #[prost(uint32, tag = "9")]
    pub parts: u32,
    /// Keys that ran and whose answers are gone.
    #[prost(uint64, repeated, tag = "3")]
    pub ran: Vec<u64>,
    /// Keys that were sent and whose answers were lost.
    #[prost(uint64, repeated, tag = "4")]
    pub unknown: Vec<u64>,
    /// Keys that were revoked.
    #[prost(uint64, repeated, tag = "5")]
    pub revoked: Vec<u64>,
    /// Keys that were still running.
    #[prost(uint64, repeated, tag = "6")]
    pub running: Vec<u64>,
    /// Keys with their answers.
    #[prost(message, repeated, tag = "7")]
    pub answered: Vec<HandedAnswerFrame>,
}

/// A handed-off answer.
#[derive(Clone, PartialEq, Message)]
pub struct HandedAnswerFrame {
    /// The key's number.
    #[prost(uint64, tag = "1")]
    pub serial: u64,
    /// The service's HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The service's body.
    #[prost(string, tag = "3")]
    pub body: String,
}
