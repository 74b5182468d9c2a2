//! Where this VM's calls to the store go.

use std::net::SocketAddr;

use arc_swap::ArcSwap;

use crate::runtime::ConfigSource;
use crate::settings::GatewaySettings;

/// The store's address in the settings, which all clients of this VM share.
pub struct StoreEndpoint {
    address: ArcSwap<SocketAddr>,
}

impl StoreEndpoint {
    /// The store at this address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address: ArcSwap::from_pointee(address),
        }
    }

    /// The address for new connections.
    pub fn address(&self) -> SocketAddr {
        **self.address.load()
    }
}

impl ConfigSource for StoreEndpoint {
    fn apply_settings(&self, settings: &GatewaySettings) {
        let previous = self.address();
        if previous != settings.store {
            self.address.store(settings.store.into());
            spdlog::warn!("event=store_moved address={} previous={previous}", settings.store);
        }
    }
}
