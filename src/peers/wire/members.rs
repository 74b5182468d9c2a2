//! Frames by which processes know each other.

use prost::Message;

/// What a process says of itself.
#[derive(Clone, PartialEq, Message)]
pub struct IntroductionFrame {
    /// The VM's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Where callers connect.
    #[prost(string, tag = "3")]
    pub caller_address: String,
    /// Where peers connect.
    #[prost(string, tag = "4")]
    pub peer_address: String,
    /// The incarnation, 16 bytes, the highest first.
    #[prost(bytes = "vec", tag = "5")]
    pub incarnation: Vec<u8>,
    /// The revision in force.
    #[prost(uint64, tag = "6")]
    pub revision: u64,
    /// Whether it is leaving.
    #[prost(bool, tag = "7")]
    pub leaving: bool,
    /// When the process started by its VM's clock, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "8")]
    pub started_epoch_ms: u64,
    /// How often it has contradicted a suspicion of itself.
    #[prost(uint32, tag = "9")]
    pub renewal: u32,
    /// Whether it tried to read the platform's store and could not.
    #[prost(bool, tag = "10")]
    pub store_lost: bool,
    /// The VM's share of a core, in thousandths.
    #[prost(uint32, tag = "11")]
    pub millicores: u32,
}

/// VMs that the sender takes for alive.
#[derive(Clone, PartialEq, Message)]
pub struct VmsKnownFrame {
    /// The VMs.
    #[prost(message, repeated, tag = "1")]
    pub vms: Vec<IntroductionFrame>,
}

/// All VMs are wanted.
#[derive(Clone, PartialEq, Message)]
pub struct VmsWantedFrame {}

/// First frame of a link.
#[derive(Clone, PartialEq, Message)]
pub struct HelloFrame {
    /// The protocol's version.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// A random number for the listener's proof.
    #[prost(bytes = "vec", tag = "2")]
    pub nonce: Vec<u8>,
    /// The dialing process.
    #[prost(message, optional, tag = "3")]
    pub introduction: Option<IntroductionFrame>,
}

/// Second frame of a link.
#[derive(Clone, PartialEq, Message)]
pub struct ChallengeFrame {
    /// A random number for the dialer's proof.
    #[prost(bytes = "vec", tag = "1")]
    pub nonce: Vec<u8>,
    /// The listener's proof.
    #[prost(bytes = "vec", tag = "2")]
    pub proof: Vec<u8>,
    /// The listening process.
    #[prost(message, optional, tag = "3")]
    pub introduction: Option<IntroductionFrame>,
}

/// Third frame of a link.
#[derive(Clone, PartialEq, Message)]
pub struct ProofFrame {
    /// The dialer's proof.
    #[prost(bytes = "vec", tag = "1")]
    pub proof: Vec<u8>,
}

/// The sender is alive.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatFrame {
    /// The revision in force.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Whether it is leaving.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// Whether it wants a heartbeat back.
    #[prost(bool, tag = "3")]
    pub wants_echo: bool,
    /// The state of the list of replicas that it has.
    #[prost(uint64, tag = "4")]
    pub list_revision: u64,
    /// How many VMs it takes for alive.
    #[prost(uint32, tag = "5")]
    pub live_vms: u32,
    /// A hash of them.
    #[prost(fixed64, tag = "6")]
    pub live_digest: u64,
    /// How long ago it, or a VM that it heard of, has read the store, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub store_age_ms: u64,
    /// A hash of the requests under which upstreams ended.
    #[prost(fixed64, tag = "8")]
    pub case_digest: u64,
    /// A hash of the replicas that name limits.
    #[prost(fixed64, tag = "9")]
    pub limit_digest: u64,
    /// When the content of the revision in force was written.
    #[prost(uint64, tag = "10")]
    pub written: u64,
}

/// A VM can't be reached.
#[derive(Clone, PartialEq, Message)]
pub struct VmSuspectedFrame {
    /// The VM's name.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its incarnation.
    #[prost(bytes = "vec", tag = "2")]
    pub incarnation: Vec<u8>,
    /// How often it had contradicted suspicions.
    #[prost(uint32, tag = "3")]
    pub renewal: u32,
}
