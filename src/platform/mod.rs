//! The adapter to the users' platform: its settings file, its store, and its headers, translated into our own types.
//!
//! Nothing here decides anything, and no name of the platform is known outside this folder.

mod amount;
mod config;
mod protocol;
mod replica_entry;
mod settings_file;
mod store;
mod store_watch;

use std::sync::Arc;

use crate::runtime::{ControlHandle, GatewayAdapter};
use crate::settings::GatewaySettings;

pub use config::parse_config;
pub use protocol::PlatformProtocol;
pub use replica_entry::parse_replica;
pub use settings_file::{SETTINGS_VARIABLE, SettingsError, read_settings};
pub use store::{StoreClient, StoreError};
pub use store_watch::{watch_config, watch_replicas};

/// What the platform brings to a gateway.
pub fn adapter() -> GatewayAdapter {
    GatewayAdapter {
        protocol: Arc::new(PlatformProtocol),
        read_settings: || read_settings().map_err(|error| error.to_string()),
        parse_register: parse_config,
        start_sources,
    }
}

fn start_sources(settings: &GatewaySettings, control: &ControlHandle) {
    async_std::task::spawn(watch_config(settings.store, control.clone()));
    async_std::task::spawn(watch_replicas(settings.store, control.clone()));
}
