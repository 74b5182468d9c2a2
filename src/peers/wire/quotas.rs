//! Frames for the quotas of workspaces.

use prost::Message;

/// Requests tokens of a workspace's quota.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaRequestFrame {
    /// The sender's number for the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The name of the workspace.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// Units requested.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Units without which the request is refused; zero if no request waits for them.
    #[prost(uint64, tag = "4")]
    pub least: u64,
}

/// The answer to a request for tokens.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaAnswerFrame {
    /// The requester's number for the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Units granted.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Time until the caller should come back, in milliseconds; unset if the request is granted.
    #[prost(uint64, optional, tag = "3")]
    pub retry_ms: Option<u64>,
}

/// Units of a workspace's quota: unused ones, or those left at a former owner.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaTokensFrame {
    /// The name of the workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Number of units.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}
