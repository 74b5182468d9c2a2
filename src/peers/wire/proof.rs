//! Frames for the proof that a VM's configuration is current.

use prost::Message;

/// Asks how recently the receiver's configuration was proved current.
#[derive(Clone, PartialEq, Message)]
pub struct ProofRequestFrame {
    /// The sender's number for the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// The answer to a request for proof.
#[derive(Clone, PartialEq, Message)]
pub struct ProofAnswerFrame {
    /// The requester's number for the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The revision in force on the sender.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Store revision at which that content was written.
    #[prost(uint64, tag = "3")]
    pub written: u64,
    /// Time since that content was proved current, in milliseconds; unset if it never was.
    #[prost(uint64, optional, tag = "4")]
    pub age_ms: Option<u64>,
    /// The era of that store revision; zero if the store names none.
    #[prost(uint32, tag = "5")]
    pub written_era: u32,
}
