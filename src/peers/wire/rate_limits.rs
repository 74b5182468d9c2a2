//! Frames for the rate limits of replicas and for permits to send to them.

use prost::Message;

/// A replica's report of its rate limit.
#[derive(Clone, PartialEq, Message)]
pub struct LimitFrame {
    /// The id of the replica.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// When the replica's process started, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_epoch_ms: u64,
    /// The limit, in thousandths of a request per second; unset if the replica no longer reports one.
    #[prost(uint64, optional, tag = "3")]
    pub rate: Option<u64>,
    /// Time since the limit was first reported, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub reported_age_ms: u64,
    /// Time since the answered request was sent, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub asked_age_ms: u64,
    /// Time since the answer was received, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub answered_age_ms: u64,
    /// The VM that received the answer.
    #[prost(string, tag = "7")]
    pub seen_by: String,
}

/// Requests the limit reports of all replicas.
#[derive(Clone, PartialEq, Message)]
pub struct LimitsWantedFrame {}

/// Limit reports that the sender knows.
#[derive(Clone, PartialEq, Message)]
pub struct LimitsContentFrame {
    /// The latest report of each replica.
    #[prost(message, repeated, tag = "1")]
    pub limits: Vec<LimitFrame>,
}

/// Requests a permit to send one request to a rate-limited replica.
#[derive(Clone, PartialEq, Message)]
pub struct PermitRequestFrame {
    /// The sender's number for the permit request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The service that the replicas belong to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The ids of the replicas that are suitable, the preferred one first.
    #[prost(string, repeated, tag = "3")]
    pub candidates: Vec<String>,
    /// Time until the request has to start, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub max_wait_ms: u64,
}

/// The answer to a permit request; a refusal if `replica` is empty.
#[derive(Clone, PartialEq, Message)]
pub struct PermitAnswerFrame {
    /// The requester's number for the permit request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The replica that the request may be sent to.
    #[prost(string, tag = "2")]
    pub replica: String,
    /// Time in milliseconds until the request may be sent or, if refused, until a new permit request makes
    /// sense.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
}

/// The sender owned rate-limited replicas, and issues no more permits for them.
#[derive(Clone, PartialEq, Message)]
pub struct LimitsHandedOverFrame {
    /// The key by which the replicas' owner is determined.
    #[prost(string, tag = "1")]
    pub key: String,
}

/// A permit was not used.
#[derive(Clone, PartialEq, Message)]
pub struct PermitReturnedFrame {
    /// The service of the replica.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The replica that the permit was for.
    #[prost(string, tag = "2")]
    pub replica: String,
}
