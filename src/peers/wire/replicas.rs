//! Frames for the list of replicas and the register.

use prost::Message;

/// An engine is moving to the other pool and accepts no requests meanwhile.
#[derive(Clone, PartialEq, Message)]
pub struct EngineBusyFrame {
    /// The engine's replica id.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The fencing token of the order to move.
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
    /// The longest remaining time of the move, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub span_ms: u64,
}

/// A replica announced that it is about to leave.
#[derive(Clone, PartialEq, Message)]
pub struct ReplicaLeavingFrame {
    /// The id of the replica.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// When the leaving process started, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_epoch_ms: u64,
}

/// Requests the list of replicas, or its changes since a revision.
#[derive(Clone, PartialEq, Message)]
pub struct ReplicasWantedFrame {
    /// The list revision that the sender has.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The era of that revision; zero if the store names none.
    #[prost(uint32, tag = "2")]
    pub era: u32,
}

/// An entry of the list of replicas.
#[derive(Clone, PartialEq, Message)]
pub struct ReplicaFrame {
    /// The id of the replica.
    #[prost(string, tag = "1")]
    pub id: String,
    /// When the replica's process started, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_epoch_ms: u64,
    /// The service that the replica belongs to.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The replica's role: 0 plain, 1 prefill, 2 decode.
    #[prost(uint32, tag = "4")]
    pub role: u32,
    /// The address at which the replica listens.
    #[prost(string, tag = "5")]
    pub address: String,
    /// The replica's availability zone.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// The number of requests that the replica processes concurrently.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// Whether the replica is about to leave.
    #[prost(bool, tag = "8")]
    pub is_draining: bool,
    /// How much longer the replica stays slow after its start, in milliseconds; zero if it announced nothing
    /// or the time is over.
    #[prost(uint64, tag = "9")]
    pub cold_remaining_ms: u64,
}

/// The list of replicas or changes to it.
#[derive(Clone, PartialEq, Message)]
pub struct ReplicasContentFrame {
    /// The list revision that this leads to.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Whether `present` is the complete list rather than its changes.
    #[prost(bool, tag = "2")]
    pub is_whole: bool,
    /// Entries that are on the list.
    #[prost(message, repeated, tag = "3")]
    pub present: Vec<ReplicaFrame>,
    /// Ids of the entries that were removed.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// The list revision since which all changes are included; zero for the complete list.
    #[prost(uint64, tag = "5")]
    pub since: u64,
    /// The era of both revisions; zero if the store names none.
    #[prost(uint32, tag = "6")]
    pub era: u32,
    /// Whether these are only the differences between the states at the two revisions.
    #[prost(bool, tag = "7")]
    pub is_difference: bool,
}

/// Requests the content of a register.
#[derive(Clone, PartialEq, Message)]
pub struct RegisterWantedFrame {
    /// The lowest revision that is of use to the sender.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The lowest store revision that is of use if the register has that revision.
    #[prost(uint64, tag = "2")]
    pub written: u64,
    /// The era of that store revision; zero if the store names none.
    #[prost(uint32, tag = "3")]
    pub written_era: u32,
}

/// The content of a register.
#[derive(Clone, PartialEq, Message)]
#[prost(skip_debug)]
pub struct RegisterContentFrame {
    /// The revision number of the text.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The text as published.
    #[prost(string, tag = "2")]
    pub text: String,
    /// The store revision at which it was written; zero where the configuration service numbers each text
    /// itself.
    #[prost(uint64, tag = "3")]
    pub written: u64,
    /// The era of that store revision; zero if the store names none.
    #[prost(uint32, tag = "4")]
    pub written_era: u32,
}

/// Shows the text's length only, since it contains API keys.
impl std::fmt::Debug for RegisterContentFrame {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("RegisterContentFrame")
            .field("revision", &self.revision)
            .field("bytes", &self.text.len())
            .field("written", &self.written)
            .finish()
    }
}
