//! What a gateway needs to know to run, whoever supplies it.

use std::net::SocketAddr;

/// Where a gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Questions whether this VM is ready.
    pub readiness: SocketAddr,
    /// Questions of callers for addresses.
    pub directory: SocketAddr,
    /// Links of peers.
    pub peers: SocketAddr,
    /// Readers of metrics.
    pub metrics: SocketAddr,
}

/// What the VM gives the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmCapacity {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Sockets that may be open at once.
    pub max_sockets: usize,
    /// The share of a core, in thousandths.
    pub millicores: u32,
}

/// What the deployment promises its callers and its operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContractParams {
    /// How long a caller may keep an answer of the directory, in milliseconds.
    pub resolve_keep_ms: u64,
    /// How long a process may take to leave after SIGTERM, in milliseconds.
    pub shutdown_grace_ms: u64,
    /// Extra sends to a service that are allowed for each request to it.
    pub retry_ratio: f64,
    /// Extra sends to a service that are allowed beside the share, over all VMs.
    pub retry_slack: f64,
    /// The span over which both are counted, in milliseconds.
    pub retry_window_ms: u64,
}

impl GatewaySettings {
    /// Whether this VM gives orders to engines: one VM does, which all settings name alike.
    pub fn is_rebalancer(&self) -> bool {
        self.seeds.first() == Some(&self.addresses.peers)
    }

    /// How many other VMs the settings name.
    pub fn other_seed_count(&self) -> usize {
        let own = self.addresses.peers;
        self.seeds.iter().filter(|seed| **seed != own).count()
    }

    /// Whether this VM is a seed, which all processes look for first.
    pub fn is_seed(&self) -> bool {
        self.seeds.contains(&self.addresses.peers)
    }
}

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The VM's name, unique in the deployment.
    pub name: String,
    /// The VM's availability zone.
    pub zone: String,
    /// Where to listen.
    pub addresses: GatewayAddresses,
    /// Peers to ask at start; the first one gives orders to engines.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// The platform's store.
    pub store: SocketAddr,
    /// What the VM gives.
    pub capacity: VmCapacity,
    /// What is promised.
    pub contract: ContractParams,
}
