//! The settings of a gateway, independent of the file or format that they are read from.

use std::net::SocketAddr;

/// Addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// For requests of HTTP callers.
    pub callers: SocketAddr,
    /// For readiness checks of this VM.
    pub readiness: SocketAddr,
    /// For callers that resolve the addresses of gateways.
    pub directory: SocketAddr,
    /// For links of peers.
    pub peers: SocketAddr,
    /// For scrapes of the metrics.
    pub metrics: SocketAddr,
}

/// Resources that the VM provides to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmCapacity {
    /// Memory available to the process, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of open sockets.
    pub max_sockets: usize,
    /// CPU share, in thousandths of a core.
    pub millicores: u32,
}

/// Parameters of the deployment's contract with its callers and its operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContractParams {
    /// How long callers may cache an answer of the directory, in milliseconds.
    pub resolve_keep_ms: u64,
    /// Time from SIGTERM until the process must have exited, in milliseconds.
    pub shutdown_grace_ms: u64,
    /// Extra sends (retries and hedges) allowed per request to a service.
    pub retry_ratio: f64,
    /// Extra sends to a service allowed on top of the ratio, over all VMs together.
    pub retry_slack: f64,
    /// Window over which ratio and slack are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// How long after its removal an API key may still be accepted at any VM, in milliseconds; `None` if that
    /// is bounded only at VMs that can read the configuration.
    pub revoke_ms: Option<u64>,
    /// Window over which a workspace's quota is counted, in milliseconds.
    pub quota_window_ms: u64,
    /// Share by which a quota may be exceeded in a window.
    pub quota_overshoot: f64,
    /// Units by which a quota may be exceeded in a window on top of the share, over all VMs together.
    pub quota_slack: f64,
}

impl GatewaySettings {
    /// Whether this VM moves engines between pools. One VM does: the first seed, which is the same in all
    /// settings.
    pub fn is_rebalancer(&self) -> bool {
        self.seeds.first() == Some(&self.addresses.peers)
    }

    /// Number of seeds other than this VM.
    pub fn other_seed_count(&self) -> usize {
        let own = self.addresses.peers;
        self.seeds.iter().filter(|seed| **seed != own).count()
    }

    /// Whether this VM is a seed, one of those that all processes contact first.
    pub fn is_seed(&self) -> bool {
        self.seeds.contains(&self.addresses.peers)
    }
}

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the VM, unique in the deployment.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Addresses to listen on.
    pub addresses: GatewayAddresses,
    /// Peer addresses to contact at start; the first one moves engines between pools.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time, so that no retry budget can have been spent.
    pub is_first_start: bool,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Resources that the VM provides.
    pub capacity: VmCapacity,
    /// Parameters of the deployment's contract.
    pub contract: ContractParams,
}
