//! Frames for run-once calls and their outcomes.

use prost::Message;

use super::RefusalFrame;

/// A run-once call, or the revocation of its key.
#[derive(Clone, PartialEq, Message)]
pub struct KeyCallFrame {
    /// The sender's number for the call, repeated in the answer.
    #[prost(fixed64, tag = "1")]
    pub call_id: u64,
    /// The VM of the process that issued the key.
    #[prost(string, tag = "2")]
    pub owner: String,
    /// The address at which the owner accepts connections from peers.
    #[prost(string, tag = "3")]
    pub owner_address: String,
    /// The key as the caller sent it.
    #[prost(string, tag = "4")]
    pub key: String,
    /// The incarnation of the owner, decoded from the key: 16 bytes, big-endian.
    #[prost(bytes = "vec", tag = "5")]
    pub incarnation: Vec<u8>,
    /// The serial number decoded from the key.
    #[prost(uint64, tag = "6")]
    pub serial: u64,
    /// The workspace of the caller.
    #[prost(string, tag = "7")]
    pub workspace: String,
    /// The name of the plain service.
    #[prost(string, tag = "8")]
    pub service: String,
    /// The name of the service's operation.
    #[prost(string, tag = "9")]
    pub operation: String,
    /// The call's content; unset to revoke the key.
    #[prost(string, optional, tag = "10")]
    pub body: Option<String>,
    /// The time for which the sender waits for the answer, in milliseconds.
    #[prost(uint64, tag = "11")]
    pub remaining_ms: u64,
}

/// The answer to a run-once call.
#[derive(Clone, PartialEq, Message)]
pub struct KeyAnswerFrame {
    /// The number that the sender of the call gave it.
    #[prost(fixed64, tag = "1")]
    pub call_id: u64,
    /// The HTTP status of the service's answer; zero with a refusal.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The body of the service's answer; empty with a refusal.
    #[prost(string, tag = "3")]
    pub body: String,
    /// The refusal, if there is no answer.
    #[prost(message, optional, tag = "4")]
    pub refusal: Option<RefusalFrame>,
}

/// A part of the outcomes of the keys that a leaving process issued.
#[derive(Clone, PartialEq, Message)]
pub struct HandoffFrame {
    /// The incarnation of the leaving process: 16 bytes, big-endian.
    #[prost(bytes = "vec", tag = "1")]
    pub incarnation: Vec<u8>,
    /// The lowest serial number that was never issued.
    #[prost(uint64, tag = "2")]
    pub next_serial: u64,
    /// The index of this part, from zero.
    #[prost(uint32, tag = "8")]
    pub part: u32,
    /// The number of parts.
    #[prost(uint32, tag = "9")]
    pub parts: u32,
    /// Serial numbers of keys whose calls ran and whose answers are gone.
    #[prost(uint64, repeated, tag = "3")]
    pub ran: Vec<u64>,
    /// Serial numbers of keys whose calls were sent and whose answers were lost.
    #[prost(uint64, repeated, tag = "4")]
    pub unknown: Vec<u64>,
    /// Serial numbers of keys that were revoked.
    #[prost(uint64, repeated, tag = "5")]
    pub revoked: Vec<u64>,
    /// Serial numbers of keys whose calls were still running.
    #[prost(uint64, repeated, tag = "6")]
    pub running: Vec<u64>,
    /// Keys whose calls ran, with their answers.
    #[prost(message, repeated, tag = "7")]
    pub answered: Vec<HandoffAnswerFrame>,
}

/// An answer within a handoff.
#[derive(Clone, PartialEq, Message)]
pub struct HandoffAnswerFrame {
    /// The serial number of the key.
    #[prost(uint64, tag = "1")]
    pub serial: u64,
    /// The HTTP status of the service's answer.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The body of the service's answer.
    #[prost(string, tag = "3")]
    pub body: String,
}
