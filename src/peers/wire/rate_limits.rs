//! Frames about limits that replicas name, and permits to send to them.

use prost::Message;

/// What a replica said of its limit.
#[derive(Clone, PartialEq, Message)]
pub struct LimitFrame {
    /// Which replica.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// When it started, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_epoch_ms: u64,
    /// The limit, in thousandths of a request a second; unset where it names none any more.
    #[prost(uint64, optional, tag = "3")]
    pub rate: Option<u64>,
    /// How long ago the limit was first named, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub named_age_ms: u64,
    /// How long ago the request was sent that was answered so, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub asked_age_ms: u64,
    /// How long ago the answer came, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub answered_age_ms: u64,
    /// The VM that got the answer.
    #[prost(string, tag = "7")]
    pub seen_by: String,
}

/// What all replicas said of their limits is wanted.
#[derive(Clone, PartialEq, Message)]
pub struct LimitsWantedFrame {}

/// What replicas said of their limits.
#[derive(Clone, PartialEq, Message)]
pub struct LimitsContentFrame {
    /// The statements.
    #[prost(message, repeated, tag = "1")]
    pub limits: Vec<LimitFrame>,
}

/// The sender wants to send a request to a replica that names a limit.
#[derive(Clone, PartialEq, Message)]
pub struct PermitAskFrame {
    /// The sender's number for the ask.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The replicas' service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The replicas, the best one first.
    #[prost(string, repeated, tag = "3")]
    pub candidates: Vec<String>,
    /// How long the request can wait, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub patience_ms: u64,
}

/// The answer to it: refused where no replica is set.
#[derive(Clone, PartialEq, Message)]
pub struct PermitAnswerFrame {
    /// The number of the ask.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The replica to which the request may go.
    #[prost(string, tag = "2")]
    pub replica: String,
    /// In how many milliseconds it may go, or another one may be asked for.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
}

/// The sender owned limited replicas, and grants nothing of their limits any more.
#[derive(Clone, PartialEq, Message)]
pub struct LimitsHandedOverFrame {
    /// What their owner is found by.
    #[prost(string, tag = "1")]
    pub key: String,
}

/// A permit was not used.
#[derive(Clone, PartialEq, Message)]
pub struct PermitReturnedFrame {
    /// The replica's service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Which replica.
    #[prost(string, tag = "2")]
    pub replica: String,
}
