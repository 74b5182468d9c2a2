//! Settings from flags and environment variables, checked all at once and converted to typed values.

mod gateway;
mod reader;

pub use gateway::{ContractParams, GatewayAddresses, GatewaySettings, VmCapacity};
pub use reader::{SettingFault, SettingReader, SettingRow, SettingSource};

use std::net::SocketAddr;

use crate::controllers::slots::PlacementPolicy;

/// The secret shared by all VMs of a deployment.
#[derive(Clone, PartialEq, Eq)]
pub struct SharedKey(Vec<u8>);

impl SharedKey {
    /// Minimum length of a shared key, in bytes.
    pub const MIN_BYTES: usize = 16;

    /// Creates a key; `None` if it is shorter than [`Self::MIN_BYTES`].
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= Self::MIN_BYTES).then(|| Self(bytes.to_vec()))
    }

    /// The fixed key for deployments where no secret is distributed and only the deployment's own VMs can
    /// reach the peer ports. It filters out connections that are not from peers, and authenticates nobody.
    pub fn for_closed_network() -> Self {
        Self(b"dotterelspan/closed-network".to_vec())
    }

    /// The secret bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("SharedKey(hidden)")
    }
}

/// The settings of an entry process.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the VM, unique in the deployment.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address to listen on for callers.
    pub listen: SocketAddr,
    /// Address of this VM that callers are given.
    pub advertise: SocketAddr,
    /// Address to listen on for peers.
    pub peer_listen: SocketAddr,
    /// Address of this VM that peers are given.
    pub peer_advertise: SocketAddr,
    /// Address of the configuration service.
    pub platform: SocketAddr,
    /// Peer addresses to contact at start, before the VM list is known.
    pub seeds: Vec<SocketAddr>,
    /// Secret with which peers authenticate each other.
    pub shared_key: SharedKey,
    /// How long callers may cache a resolve answer, in milliseconds.
    pub resolve_keep_ms: u64,
    /// How long a stream can be resumed after its caller disconnected, in milliseconds.
    pub resume_window_ms: u64,
    /// Maximum duration of a drain, in milliseconds.
    pub drain_limit_ms: u64,
    /// Maximum size of a request body, in bytes.
    pub body_limit_bytes: usize,
    /// Maximum time for a request's head, and for its body, to arrive, in milliseconds.
    pub read_limit_ms: u64,
    /// Maximum number of requests in progress.
    pub request_limit: usize,
    /// Maximum number of engines scheduled by one owner.
    pub group_size: usize,
    /// Policy that chooses engines.
    pub policy: PlacementPolicy,
}

/// Upper bound on durations in settings, in milliseconds: a day.
const MAX_DURATION_MS: u64 = 86_400_000;

impl EntrySettings {
    /// Reads and checks all settings; `None` if any is faulty. The reader collects the faults, and the source
    /// of each value.
    pub fn read(reader: &mut SettingReader<'_>) -> Option<Self> {
        let name = reader.text("name", None);
        let zone = reader.text("zone", None);
        let listen = reader.address("listen", Some("127.0.0.1:7100"));
        let advertise = reader.address_or("advertise", listen);
        let peer_listen = reader.address("peer-listen", Some("127.0.0.1:7200"));
        let peer_advertise = reader.address_or("peer-advertise", peer_listen);
        let platform = reader.address("platform", None);
        let seeds = reader.addresses("seeds");
        let shared_key = reader.shared_key("shared-key");
        let resolve_keep_ms = reader.number("resolve-keep-ms", 10_000, 100..=MAX_DURATION_MS);
        let resume_window_ms = reader.number("resume-window-ms", 3_000, 100..=MAX_DURATION_MS);
        let drain_limit_ms = reader.number("drain-limit-ms", 600_000, 100..=MAX_DURATION_MS);
        let body_limit_bytes = reader.number("body-limit-bytes", 1_000_000, 1_000..=64_000_000);
        let read_limit_ms = reader.number("read-limit-ms", 10_000, 100..=MAX_DURATION_MS);
        let request_limit = reader.number("request-limit", 10_000, 1..=1_000_000);
        let group_size = reader.number("group-size", 24, 2..=4_096);
        let policy = reader.policy("policy", "owner");
        Some(Self {
            name: name?,
            zone: zone?,
            listen: listen?,
            advertise: advertise?,
            peer_listen: peer_listen?,
            peer_advertise: peer_advertise?,
            platform: platform?,
            seeds: seeds?,
            shared_key: shared_key?,
            resolve_keep_ms: resolve_keep_ms?,
            resume_window_ms: resume_window_ms?,
            drain_limit_ms: drain_limit_ms?,
            body_limit_bytes: body_limit_bytes? as usize,
            read_limit_ms: read_limit_ms?,
            request_limit: request_limit? as usize,
            group_size: group_size? as usize,
            policy: policy?,
        })
    }
}
