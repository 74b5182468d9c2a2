//! The stand-ins' command line.

use std::process::ExitCode;

use argh::FromArgs;

use crate::engine::EngineProfile;
use crate::{demo, engine, platform, proxy, service};

/// Stand-ins for what dotterelspan meets.
#[derive(FromArgs)]
struct CommandLine {
    #[argh(subcommand)]
    subcommand: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Platform(PlatformArguments),
    Engine(EngineArguments),
    Service(ServiceArguments),
    Proxy(ProxyArguments),
    Demo(DemoArguments),
}

/// Run the platform's stand-in.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArguments {
    /// where to listen
    #[argh(option)]
    listen: String,
}

/// Run an engine's stand-in.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArguments {
    /// where to listen
    #[argh(option)]
    listen: String,
    /// its name
    #[argh(option)]
    name: String,
    /// where to note what it does
    #[argh(option, default = "String::new()")]
    journal: String,
    /// requests decoded at once
    #[argh(option, default = "20")]
    slots: usize,
    /// prompt tokens a second
    #[argh(option, default = "8000")]
    prefill_rate: u64,
    /// time of a decode step, in microseconds
    #[argh(option, default = "10000")]
    step_us: u64,
    /// more time of a step for each request in the batch, in microseconds
    #[argh(option, default = "200")]
    step_per_request_us: u64,
    /// how long an exported KV cache lives, in ms
    #[argh(option, default = "800")]
    kv_life_ms: u64,
    /// blocks that the prefix cache holds
    #[argh(option, default = "64")]
    cache_blocks: usize,
    /// bytes of KV cache for a token
    #[argh(option, default = "64")]
    bytes_per_token: u64,
    /// the link's rate, in bytes a second
    #[argh(option, default = "50000000")]
    link_rate: u64,
    /// how late reported load is, in ms
    #[argh(option, default = "1000")]
    report_lag_ms: u64,
}

/// Run a plain service's stand-in.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArguments {
    /// where to listen
    #[argh(option)]
    listen: String,
    /// its name
    #[argh(option)]
    name: String,
    /// where to note what it does
    #[argh(option, default = "String::new()")]
    journal: String,
    /// time of a call, in ms
    #[argh(option, default = "2")]
    latency_ms: u64,
    /// recognise a repeated idempotency key
    #[argh(switch)]
    checks_keys: bool,
}

/// Run a proxy with faults.
#[derive(FromArgs)]
#[argh(subcommand, name = "proxy")]
struct ProxyArguments {
    /// where to take orders
    #[argh(option)]
    control: String,
    /// a route, as listen=target
    #[argh(option)]
    route: Vec<String>,
}

/// Start a small whole system on loopback, send work through it, and print a report.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArguments {
    /// requests to send
    #[argh(option, default = "24")]
    requests: usize,
}

/// Reads the command line and runs the subcommand.
pub fn run() -> ExitCode {
    let line: CommandLine = argh::from_env();
    let outcome = async_std::task::block_on(async {
        match line.subcommand {
            Subcommand::Platform(arguments) => platform::run(&arguments.listen).await,
            Subcommand::Engine(arguments) => run_engine(arguments).await,
            Subcommand::Service(arguments) => {
                let ServiceArguments {
                    listen,
                    name,
                    journal,
                    latency_ms,
                    checks_keys,
                } = arguments;
                service::run(&listen, &name, checks_keys, latency_ms, &journal).await
            }
            Subcommand::Proxy(arguments) => proxy::run(&arguments.control, &arguments.route).await,
            Subcommand::Demo(arguments) => demo::run(arguments.requests).await,
        }
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_engine(arguments: EngineArguments) -> std::io::Result<()> {
    let profile = EngineProfile {
        name: arguments.name,
        slots: arguments.slots,
        prefill_rate: arguments.prefill_rate,
        step_us: arguments.step_us,
        step_per_request_us: arguments.step_per_request_us,
        kv_life_ms: arguments.kv_life_ms,
        cache_blocks: arguments.cache_blocks,
        bytes_per_token: arguments.bytes_per_token,
        link_rate: arguments.link_rate,
        report_lag_ms: arguments.report_lag_ms,
    };
    engine::run(&arguments.listen, profile, &arguments.journal).await
}
