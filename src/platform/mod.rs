//! Adapter to the users' platform: translates its settings file, its store and its headers into this crate's
//! types.
//!
//! No policy is decided here, and no other module uses a name of the platform.

mod amount;
mod config;
mod config_watch;
mod protocol;
mod replica_entry;
mod replica_watch;
mod settings_file;
mod store;
mod store_endpoint;
mod store_follower;

use std::sync::Arc;

use crate::runtime::{ConfigSource, ControlHandle, GatewayAdapter};
use crate::settings::GatewaySettings;

pub use config::parse_config;
pub use config_watch::watch_config;
pub use protocol::{API_KEY as API_KEY_HEADER, PlatformProtocol};
pub use replica_entry::parse_replica;
pub use replica_watch::watch_replicas;
pub use settings_file::{SETTINGS_VARIABLE, SettingsError, read_settings};
pub use store::{StoreClient, StoreError};
pub use store_endpoint::StoreEndpoint;

/// Builds the adapter through which a gateway uses the platform.
pub fn adapter() -> GatewayAdapter {
    GatewayAdapter {
        protocol: Arc::new(PlatformProtocol),
        read_settings: || read_settings().map_err(|error| error.to_string()),
        parse_register: parse_config,
        start_sources,
    }
}

fn start_sources(settings: &GatewaySettings, control: &ControlHandle) -> Arc<dyn ConfigSource> {
    let endpoint = Arc::new(StoreEndpoint::new(settings.store));
    async_std::task::spawn(watch_config(endpoint.clone(), control.clone()));
    async_std::task::spawn(watch_replicas(endpoint.clone(), control.clone()));
    endpoint
}
