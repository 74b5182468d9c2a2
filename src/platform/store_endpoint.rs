//! Where this VM's calls to the store go, and what they showed of open connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;

use crate::prelude::*;
use crate::runtime::ConfigSource;
use crate::settings::GatewaySettings;

/// The store's address in the settings, and when a call to it last got no answer. All clients of this VM share it.
pub struct StoreEndpoint {
    address: ArcSwap<SocketAddr>,
    /// When a call to the store last timed out, in milliseconds of [`Moment`]; zero before the first time.
    silent_at_ms: AtomicU64,
}

impl StoreEndpoint {
    /// The store at this address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address: ArcSwap::from_pointee(address),
            silent_at_ms: AtomicU64::new(0),
        }
    }

    /// The address for new connections.
    pub fn address(&self) -> SocketAddr {
        **self.address.load()
    }

    /// Records that a call got no answer in time, so that connections opened before may be half-open.
    pub fn record_silence(&self, now: Moment) {
        self.silent_at_ms.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Whether a call has timed out since this time.
    pub fn is_silent_since(&self, began_at: Moment) -> bool {
        self.silent_at_ms.load(Ordering::Relaxed) > began_at.0
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
