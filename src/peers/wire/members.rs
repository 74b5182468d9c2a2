//! Frames of the handshake and of membership.

use prost::Message;

/// A process's description of itself.
#[derive(Clone, PartialEq, Message)]
pub struct IntroductionFrame {
    /// The name of the process's VM; never empty.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The VM's availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// The address at which callers connect.
    #[prost(string, tag = "3")]
    pub caller_address: String,
    /// The address at which peers connect.
    #[prost(string, tag = "4")]
    pub peer_address: String,
    /// The process's incarnation: 16 bytes, big-endian.
    #[prost(bytes = "vec", tag = "5")]
    pub incarnation: Vec<u8>,
    /// The revision of the register in force; zero before the first.
    #[prost(uint64, tag = "6")]
    pub revision: u64,
    /// Whether the process is draining.
    #[prost(bool, tag = "7")]
    pub leaving: bool,
    /// When the process started by its VM's clock, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "8")]
    pub started_epoch_ms: u64,
    /// How often the process has refuted a suspicion of itself.
    #[prost(uint32, tag = "9")]
    pub renewal: u32,
    /// Whether the process's last attempt to read the platform's store failed.
    #[prost(bool, tag = "10")]
    pub store_lost: bool,
    /// The VM's share of a core, in thousandths; zero if unknown.
    #[prost(uint32, tag = "11")]
    pub millicores: u32,
}

/// VMs that the sender considers alive.
#[derive(Clone, PartialEq, Message)]
pub struct VmsKnownFrame {
    /// The introductions of the VMs.
    #[prost(message, repeated, tag = "1")]
    pub vms: Vec<IntroductionFrame>,
}

/// Requests all VMs that the receiver considers alive.
#[derive(Clone, PartialEq, Message)]
pub struct VmsWantedFrame {}

/// The first frame of a link, sent by the dialer.
#[derive(Clone, PartialEq, Message)]
pub struct HelloFrame {
    /// The version of the protocol.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The dialer's nonce, which both proofs cover.
    #[prost(bytes = "vec", tag = "2")]
    pub nonce: Vec<u8>,
    /// The introduction of the dialing process.
    #[prost(message, optional, tag = "3")]
    pub introduction: Option<IntroductionFrame>,
}

/// The second frame of a link, sent by the listener.
#[derive(Clone, PartialEq, Message)]
pub struct ChallengeFrame {
    /// The listener's nonce, which both proofs cover.
    #[prost(bytes = "vec", tag = "1")]
    pub nonce: Vec<u8>,
    /// The listener's proof, an HMAC-SHA-256.
    #[prost(bytes = "vec", tag = "2")]
    pub proof: Vec<u8>,
    /// The introduction of the listening process.
    #[prost(message, optional, tag = "3")]
    pub introduction: Option<IntroductionFrame>,
}

/// The third frame of a link, sent by the dialer.
#[derive(Clone, PartialEq, Message)]
pub struct ProofFrame {
    /// The dialer's proof, an HMAC-SHA-256.
    #[prost(bytes = "vec", tag = "1")]
    pub proof: Vec<u8>,
}

/// The sender is alive.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatFrame {
    /// The revision of the register in force.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Whether the sender is draining.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// Whether the receiver should answer with a heartbeat.
    #[prost(bool, tag = "3")]
    pub wants_echo: bool,
    /// The revision of the sender's copy of the list of replicas.
    #[prost(uint64, tag = "4")]
    pub list_revision: u64,
    /// The number of VMs that the sender considers alive.
    #[prost(uint32, tag = "5")]
    pub live_vms: u32,
    /// A hash of the set of these VMs.
    #[prost(fixed64, tag = "6")]
    pub live_digest: u64,
    /// Time since any VM last read the store, as far as the sender knows, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub store_age_ms: u64,
    /// A hash of the requests suspected of crashing upstreams.
    #[prost(fixed64, tag = "8")]
    pub case_digest: u64,
    /// A hash of the rate-limited replicas.
    #[prost(fixed64, tag = "9")]
    pub limit_digest: u64,
    /// The store revision at which the register in force was written; zero where the configuration
    /// service numbers each text itself.
    #[prost(uint64, tag = "10")]
    pub written: u64,
    /// The era of that revision; zero if the store names none.
    #[prost(uint32, tag = "11")]
    pub written_era: u32,
    /// The era of the list revision; zero if the store names none.
    #[prost(uint32, tag = "12")]
    pub list_era: u32,
    /// The latest known era of the store; zero if it names none.
    #[prost(uint32, tag = "13")]
    pub store_era: u32,
}

/// The sender suspects a VM of being dead.
#[derive(Clone, PartialEq, Message)]
pub struct VmSuspectedFrame {
    /// The name of the suspected VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// The incarnation of the suspected process: 16 bytes, big-endian.
    #[prost(bytes = "vec", tag = "2")]
    pub incarnation: Vec<u8>,
    /// How often that process had refuted suspicions; a higher value refutes this suspicion.
    #[prost(uint32, tag = "3")]
    pub renewal: u32,
}
