//! Parser of the settings file that the platform writes for each process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::{ResultExt, Snafu};

use crate::settings::{ContractParams, GatewayAddresses, GatewaySettings, VmCapacity};

/// The environment variable that holds the settings file's path.
pub const SETTINGS_VARIABLE: &str = "DOTTERELSPAN_SETTINGS";

/// The port of the metrics server; must be the one in deploy/system.toml.
const METRICS_PORT: u16 = 9464;

/// File descriptors that are not available for sockets; the platform reserves this many for files.
const RESERVED_DESCRIPTORS: usize = 200;

/// Upper bound on how long callers may cache an answer of the directory, in milliseconds. Callers learn of
/// added and removed VMs within this time.
const MAX_RESOLVE_KEEP_MS: u64 = 1_000;

/// Why the settings could not be read.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The environment variable with the file's path is not set.
    #[snafu(display("{SETTINGS_VARIABLE} is not set; set it to the path of the settings file"))]
    Unnamed,
    /// The file can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    Unreadable {
        /// The path in the environment variable.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A field is missing or has a wrong value.
    #[snafu(display("{}: {reason}; correct the field in the file", path.display()))]
    Invalid {
        /// The path in the environment variable.
        path: PathBuf,
        /// The parser's message, which names the field.
        reason: String,
    },
}

/// The fields of the file that are used.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsFile {
    node_name: String,
    zone: String,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    /// Set only at the first start of a deployment.
    #[serde(default)]
    bootstrap: bool,
    listen: ListenTable,
    limits: LimitsTable,
    contract_params: ParamsTable,
    platform: PlatformTable,
}

/// The addresses to listen on.
#[derive(Debug, Deserialize)]
struct ListenTable {
    frontend: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    directory: SocketAddr,
}

/// The resources that the process may use.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsTable {
    cpu_share: f64,
    memory_mb: u64,
    max_fds: usize,
}

/// The parameters of the platform's contract.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ParamsTable {
    grace_s: f64,
    retry_budget_ratio: f64,
    retry_window_s: f64,
    budget_slack: f64,
    /// Whether removed API keys are bounded at all VMs.
    #[serde(default)]
    revoke_strict: bool,
    #[serde(default)]
    revoke_ms: u64,
    #[serde(default)]
    quota_window_s: f64,
    #[serde(default)]
    quota_overshoot: f64,
    #[serde(default)]
    quota_slack: f64,
    /// Whole seconds; the only name in the file that is not in camel case.
    #[serde(rename = "ttl_max_s")]
    ttl_max_s: f64,
}

/// The platform's store.
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
        let max_keep_ms = to_ms(self.contract_params.ttl_max_s);
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
                max_sockets: self.limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS),
                millicores: (self.limits.cpu_share * 1_000.0) as u32,
            },
            contract: ContractParams {
                resolve_keep_ms: MAX_RESOLVE_KEEP_MS.min(max_keep_ms),
                shutdown_grace_ms: to_ms(self.contract_params.grace_s),
                retry_ratio: self.contract_params.retry_budget_ratio,
                retry_slack: self.contract_params.budget_slack,
                retry_window_ms: to_ms(self.contract_params.retry_window_s),
                revoke_ms: self
                    .contract_params
                    .revoke_strict
                    .then_some(self.contract_params.revoke_ms),
                quota_window_ms: to_ms(self.contract_params.quota_window_s),
                quota_overshoot: self.contract_params.quota_overshoot,
                quota_slack: self.contract_params.quota_slack,
            },
        }
    }
}

fn to_ms(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}
