//! Frames about the list of replicas and the configuration.

use prost::Message;

/// An engine is being moved to the other pool.
#[derive(Clone, PartialEq, Message)]
pub struct EngineBusyFrame {
    /// Which.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The order's fencing token.
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
    /// How long it will take, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub span_ms: u64,
}

/// A replica is about to leave.
#[derive(Clone, PartialEq, Message)]
pub struct ReplicaLeavingFrame {
    /// Its name.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// When it started, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_epoch_ms: u64,
}

/// The list of replicas is wanted.
#[derive(Clone, PartialEq, Message)]
pub struct ReplicasWantedFrame {
    /// The state that the sender has.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
}

/// One replica.
#[derive(Clone, PartialEq, Message)]
pub struct ReplicaFrame {
    /// Its name.
    #[prost(string, tag = "1")]
    pub id: String,
    /// When it started, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_epoch_ms: u64,
    /// The service that it belongs to.
    #[prost(string, tag = "3")]
    pub service: String,
    /// What it does: 0 plain, 1 prefill, 2 decode.
    #[prost(uint32, tag = "4")]
    pub role: u32,
    /// Where it listens.
    #[prost(string, tag = "5")]
    pub address: String,
    /// Its availability zone.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// Requests that it works on at once.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// Whether it is about to leave.
    #[prost(bool, tag = "8")]
    pub is_draining: bool,
}

/// The list of replicas.
#[derive(Clone, PartialEq, Message)]
pub struct ReplicasContentFrame {
    /// The state of the list.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Whether this is the whole list.
    #[prost(bool, tag = "2")]
    pub is_whole: bool,
    /// Entries on the list.
    #[prost(message, repeated, tag = "3")]
    pub present: Vec<ReplicaFrame>,
    /// Entries that were removed.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// The state from which on this tells all changes.
    #[prost(uint64, tag = "5")]
    pub since: u64,
}

/// A register is wanted.
#[derive(Clone, PartialEq, Message)]
pub struct RegisterWantedFrame {
    /// The lowest revision of use.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The earliest write of use of that one.
    #[prost(uint64, tag = "2")]
    pub written: u64,
}

/// A register.
#[derive(Clone, PartialEq, Message)]
pub struct RegisterContentFrame {
    /// Its revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Its text.
    #[prost(string, tag = "2")]
    pub text: String,
    /// When it was written.
    #[prost(uint64, tag = "3")]
    pub written: u64,
}
