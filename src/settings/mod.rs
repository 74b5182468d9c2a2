//! Settings from flags and environment variables, checked all at once into typed values.

mod gateway;
mod reader;

pub use gateway::{ContractParams, GatewayAddresses, GatewaySettings, VmCapacity};
pub use reader::{SettingFault, SettingReader, SettingRow, SettingSource};

use std::net::SocketAddr;

use crate::controllers::slots::PlacementPolicy;

/// The secret that all VMs of a deployment share.
#[derive(Clone, PartialEq, Eq)]
pub struct SharedKey(Vec<u8>);

impl SharedKey {
    /// The fewest bytes that a shared key may have.
    pub const MIN_BYTES: usize = 16;

    /// A key from its bytes, or `None` when they are too few.
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= Self::MIN_BYTES).then(|| Self(bytes.to_vec()))
    }

    /// The key where only the deployment's own VMs can reach each other's ports, and no secret is handed out. It tells
    /// apart what is no peer at all, and proves nothing.
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

/// What an entry needs to know to run.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The VM's name, unique in the deployment.
    pub name: String,
    /// The VM's availability zone.
    pub zone: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// The address told to callers.
    pub advertise: SocketAddr,
    /// Where peers connect.
    pub peer_listen: SocketAddr,
    /// The address told to peers.
    pub peer_advertise: SocketAddr,
    /// The configuration service.
    pub platform: SocketAddr,
    /// Peers to ask at start, before the VM list is known.
    pub seeds: Vec<SocketAddr>,
    /// The deployment's secret.
    pub shared_key: SharedKey,
    /// How long a resolve answer may be kept, in milliseconds.
    pub resolve_keep_ms: u64,
    /// How long an abandoned stream can be resumed, in milliseconds.
    pub resume_window_ms: u64,
    /// How long a drain may last, in milliseconds.
    pub drain_limit_ms: u64,
    /// The longest request body, in bytes.
    pub body_limit_bytes: usize,
    /// How long a request's head and body may take to arrive, in milliseconds.
    pub read_limit_ms: u64,
    /// The most requests held at once.
    pub request_limit: usize,
    /// The most engines that one owner schedules.
    pub group_size: usize,
    /// How upstreams are chosen.
    pub policy: PlacementPolicy,
}

/// The longest time setting, in milliseconds: a day.
const LONGEST_MS: u64 = 86_400_000;

impl EntrySettings {
    /// Checks all settings; on success also returns where each value came from.
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
        let resolve_keep_ms = reader.number("resolve-keep-ms", 10_000, 100..=LONGEST_MS);
        let resume_window_ms = reader.number("resume-window-ms", 3_000, 100..=LONGEST_MS);
        let drain_limit_ms = reader.number("drain-limit-ms", 600_000, 100..=LONGEST_MS);
        let body_limit_bytes = reader.number("body-limit-bytes", 1_000_000, 1_000..=64_000_000);
        let read_limit_ms = reader.number("read-limit-ms", 10_000, 100..=LONGEST_MS);
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
