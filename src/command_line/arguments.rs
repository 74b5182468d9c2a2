//! The command line's subcommands and flags, as parsed by argh.

use argh::FromArgs;

use crate::prelude::*;

/// Route language-model and plain requests from callers to upstreams.
#[derive(FromArgs)]
pub struct CommandLine {
    /// what to do
    #[argh(subcommand)]
    pub subcommand: Subcommand,
}

/// The program's subcommands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Subcommand {
    /// Runs an entry node until it has drained.
    Entry(EntryArguments),
    /// Runs a gateway node until it has drained.
    Gateway(GatewayArguments),
    /// Prints the settings that `entry` would use.
    Settings(SettingsArguments),
    /// Checks a register file.
    Check(CheckArguments),
    /// Prints the short report of a running entry.
    Report(ReportArguments),
    /// Prints the status of a running entry.
    Status(StatusArguments),
    /// Explains a result code, or a request from logs.
    Explain(ExplainArguments),
    /// Prints where a request would go now.
    Where(WhereArguments),
}

macro_rules! setting_arguments {
    ($(#[$about:meta])* $name:ident, $command:literal, { $($(#[$help:meta])* $field:ident => $flag:literal,)* }) => {
        $(#[$about])*
        #[derive(FromArgs)]
        #[argh(subcommand, name = $command)]
        pub struct $name {
            $($(#[$help])* #[argh(option)] pub $field: Option<String>,)*
        }

        impl $name {
            /// The flags given on the command line, by name without the dashes.
            pub fn flags(&self) -> FastMap<&'static str, String> {
                let mut flags = FastMap::default();
                $(if let Some(value) = &self.$field {
                    flags.insert($flag, value.clone());
                })*
                flags
            }
        }
    };
}

macro_rules! entry_arguments {
    ($(#[$about:meta])* $name:ident, $command:literal) => {
        setting_arguments! {
            $(#[$about])* $name, $command, {
                /// this VM's name, unique in the deployment
                name => "name",
                /// this VM's availability zone
                zone => "zone",
                /// IP address and port for callers (127.0.0.1:7100)
                listen => "listen",
                /// address that callers are told to connect to (as --listen)
                advertise => "advertise",
                /// IP address and port for peers (127.0.0.1:7200)
                peer_listen => "peer-listen",
                /// address that peers are told to connect to (as --peer-listen)
                peer_advertise => "peer-advertise",
                /// IP address and port of the configuration service
                platform => "platform",
                /// peer addresses to contact at start, separated by commas
                seeds => "seeds",
                /// secret that all VMs of the deployment share; better set through DOTTERELSPAN_SHARED_KEY
                shared_key => "shared-key",
                /// how long callers may keep a resolve answer, in ms (10000)
                resolve_keep_ms => "resolve-keep-ms",
                /// how long an abandoned stream can be resumed, in ms (3000)
                resume_window_ms => "resume-window-ms",
                /// longest drain after SIGTERM, in ms (600000)
                drain_limit_ms => "drain-limit-ms",
                /// longest request body, in bytes (1000000)
                body_limit_bytes => "body-limit-bytes",
                /// how long reading a request's head, and its body, may take, in ms (10000)
                read_limit_ms => "read-limit-ms",
                /// most requests handled at once (10000)
                request_limit => "request-limit",
                /// most engines that one owner schedules (24)
                group_size => "group-size",
                /// how engines are chosen: owner, or a baseline (owner)
                policy => "policy",
            }
        }
    };
}

entry_arguments! {
    /// Run an entry until SIGTERM or SIGINT drains it. Each flag --a-b can also be given as the environment
    /// variable DOTTERELSPAN_A_B; the flag takes precedence.
    EntryArguments, "entry"
}

entry_arguments! {
    /// Print the settings that `entry` would use with the same flags and environment, and the source of each.
    SettingsArguments, "settings"
}

/// Run a gateway on the users' platform until SIGTERM or SIGINT drains it. Its settings are in the file that
/// DOTTERELSPAN_SETTINGS names.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayArguments {}

/// Check a register file and list every fault with its line, place, reason and code.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArguments {
    /// path of the register file
    #[argh(positional)]
    pub file: String,
}

/// Print the short report of a running entry.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportArguments {
    /// the entry's IP address and port for callers
    #[argh(positional)]
    pub address: String,
}

/// Print the status of a running entry as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArguments {
    /// the entry's IP address and port for callers
    #[argh(positional)]
    pub address: String,
}

/// Explain a result code, all result codes, or the outcome of a request.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArguments {
    /// a result code's number, or a request's id and the log files of one or several VMs (standard input if
    /// there are none); all codes if nothing is given. With --result only log files
    #[argh(positional)]
    pub words: Vec<String>,

    /// count the requests in the logs by cause
    #[argh(switch)]
    pub result: bool,

    /// with --result, also draw failures over time into this SVG file
    #[argh(option)]
    pub plot: Option<String>,
}

/// Ask a running gateway where a request would go now and why, without sending it. Exits with 0 if it would be
/// served, with 7 if it would be refused, with 5 if no gateway answers.
#[derive(FromArgs)]
#[argh(subcommand, name = "where")]
pub struct WhereArguments {
    /// IP address and port of the gateway's readiness or metrics endpoint
    #[argh(positional)]
    pub address: String,

    /// method of the request (GET)
    #[argh(option, default = "String::from(\"GET\")")]
    pub method: String,

    /// host that the request is for
    #[argh(option)]
    pub host: String,

    /// path and query of the request (/)
    #[argh(option, default = "String::from(\"/\")")]
    pub path: String,

    /// a header line `name: value`; may be repeated
    #[argh(option)]
    pub header: Vec<String>,

    /// length of the request's body
    #[argh(option)]
    pub body_bytes: Option<u64>,

    /// file with the API key; - for standard input
    #[argh(option)]
    pub key_file: Option<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}
