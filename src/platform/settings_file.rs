//! The settings file that the platform writes for each process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::{ResultExt, Snafu};

use crate::settings::{ContractParams, GatewayAddresses, GatewaySettings, VmCapacity};

/// The environment variable that holds the file's path.
pub const SETTINGS_VARIABLE: &str = "DOTTERELSPAN_SETTINGS";

/// The port on which metrics are served; deploy/system.toml names it too.
const METRICS_PORT: u16 = 9464;

/// Descriptors that are not for sockets; the platform keeps this many of a process's descriptors for files.
const FILE_DESCRIPTORS: usize = 200;

/// The longest answer of the directory that is given, in milliseconds: callers follow a change of the VMs within it.
const RESOLVE_KEEP_MS: u64 = 1_000;

/// Why a settings file can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The variable that names the file is not set.
    #[snafu(display("{SETTINGS_VARIABLE} is not set; set it to the path of the settings file"))]
    Unnamed,
    /// The file can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A field is missing or has a wrong value.
    #[snafu(display("{}: {reason}; correct the field in the file", path.display()))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The field and what is wrong with it.
        reason: String,
    },
}

/// The fields that we use of the file.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsFile {
    node_name: String,
    zone: String,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    /// Set only as the whole deployment starts for the first time.
    #[serde(default)]
    bootstrap: bool,
    listen: ListenTable,
    limits: LimitsTable,
    contract_params: ParamsTable,
    platform: PlatformTable,
}

/// Where to listen.
#[derive(Debug, Deserialize)]
struct ListenTable {
    frontend: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    directory: SocketAddr,
}

/// What the machine gives.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsTable {
    cpu_share: f64,
    memory_mb: u64,
    max_fds: usize,
}

/// The figures of the rules.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ParamsTable {
    grace_s: f64,
    retry_budget_ratio: f64,
    retry_window_s: f64,
    budget_slack: f64,
    /// Whole seconds; the only name in the file that is not in camel case.
    #[serde(rename = "ttl_max_s")]
    ttl_max_s: f64,
}

/// The store.
#[derive(Debug, Deserialize)]
struct PlatformTable {
    address: SocketAddr,
}

/// Reads the settings from the file that the environment names.
pub fn read_settings() -> Result<GatewaySettings, SettingsError> {
    let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(SettingsError::Unnamed)?;
    read_settings_file(Path::new(&path))
}

fn read_settings_file(path: &Path) -> Result<GatewaySettings, SettingsError> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    let file: SettingsFile = toml::from_str(&text).map_err(|error| SettingsError::Invalid {
        path: path.to_owned(),
        reason: error.to_string().replace('\n', " "),
    })?;
    Ok(file.into_settings())
}

impl SettingsFile {
    fn into_settings(self) -> GatewaySettings {
        let mut metrics = self.listen.frontend;
        metrics.set_port(METRICS_PORT);
        let longest_keep_ms = to_ms(self.contract_params.ttl_max_s);
        GatewaySettings {
            name: self.node_name,
            zone: self.zone,
            addresses: GatewayAddresses {
                callers: self.listen.frontend,
                readiness: self.listen.ready,
                directory: self.listen.directory,
                peers: self.listen.control,
                metrics,
            },
            seeds: self.seeds,
            is_first_start: self.bootstrap,
            store: self.platform.address,
            capacity: VmCapacity {
                memory_bytes: self.limits.memory_mb * 1_048_576,
                max_sockets: self.limits.max_fds.saturating_sub(FILE_DESCRIPTORS),
                millicores: (self.limits.cpu_share * 1_000.0) as u32,
            },
            contract: ContractParams {
                resolve_keep_ms: RESOLVE_KEEP_MS.min(longest_keep_ms),
                shutdown_grace_ms: to_ms(self.contract_params.grace_s),
                retry_ratio: self.contract_params.retry_budget_ratio,
                retry_slack: self.contract_params.budget_slack,
                retry_window_ms: to_ms(self.contract_params.retry_window_s),
            },
        }
    }
}

fn to_ms(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}
