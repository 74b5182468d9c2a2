//! Command line of the stand-ins, the demonstration and the measurements.

use std::process::ExitCode;

use argh::FromArgs;

use crate::engine::EngineProfile;
use crate::rig::{self, RigParams, overhead};
use crate::{demo, engine, platform, proxy, service};

/// Stand-ins for the processes that dotterelspan works with, a demonstration, and measurements.
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
    Rig(RigArguments),
    Overhead(OverheadArguments),
}

/// Run the stand-in for the platform.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArguments {
    /// where to listen
    #[argh(option)]
    listen: String,
}

/// Run the stand-in for an engine.
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
    /// most requests in one decode batch
    #[argh(option, default = "20")]
    slots: usize,
    /// uncached prompt tokens prefilled per second
    #[argh(option, default = "8000")]
    prefill_rate: u64,
    /// fixed part of a decode step's time, in microseconds
    #[argh(option, default = "10000")]
    step_us: u64,
    /// time that each request in the batch adds to a decode step, in microseconds
    #[argh(option, default = "200")]
    step_per_request_us: u64,
    /// time to live of an exported KV cache, in ms
    #[argh(option, default = "800")]
    kv_life_ms: u64,
    /// capacity of the prefix cache, in blocks of 1,000 tokens
    #[argh(option, default = "64")]
    cache_blocks: usize,
    /// bytes of KV cache per token
    #[argh(option, default = "64")]
    bytes_per_token: u64,
    /// bandwidth of the link that exports KV caches, in bytes per second
    #[argh(option, default = "50000000")]
    link_rate: u64,
    /// age of the reported load, in ms
    #[argh(option, default = "1000")]
    report_lag_ms: u64,
    /// simulated network latency of a request, in microseconds
    #[argh(option, default = "0")]
    network_us: u64,
}

/// Run the stand-in for a plain service.
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
    /// time that a call runs, in ms
    #[argh(option, default = "2")]
    latency_ms: u64,
    /// answer a repeated idempotency key without running the call again
    #[argh(switch)]
    checks_keys: bool,
}

/// Run a TCP proxy that injects faults.
#[derive(FromArgs)]
#[argh(subcommand, name = "proxy")]
struct ProxyArguments {
    /// address on which to accept changes of routes
    #[argh(option)]
    control: String,
    /// a route, as listen=target; may be repeated
    #[argh(option)]
    route: Vec<String>,
}

/// Start a small system on loopback, send work through it, and print its reports.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArguments {
    /// requests of each kind to send
    #[argh(option, default = "24")]
    requests: usize,
}

/// Measure placement policies: run a user's complete fleet as processes under open-loop load and print a
/// table.
#[derive(FromArgs)]
#[argh(subcommand, name = "rig")]
struct RigArguments {
    /// the user: kitamura or sadaf
    #[argh(option, default = "String::from(\"kitamura\")")]
    user: String,
    /// placement policies, separated by commas
    #[argh(
        option,
        default = "String::from(\"owner,random,round-robin,two-choices-reported,least-own\")"
    )]
    policies: String,
    /// seeds of the arrivals, separated by commas
    #[argh(option, default = "String::from(\"1,2,3\")")]
    seeds: String,
    /// mean load, in percent of what the decode engines can generate
    #[argh(option, default = "90")]
    load: u64,
    /// how long load is offered, in seconds
    #[argh(option, default = "15")]
    seconds: u64,
    /// use the daemon that is already in this program's folder, without building it
    #[argh(switch)]
    built: bool,
    /// slow one engine (about one in ten) and one service down at a time, chosen anew every 2 seconds
    #[argh(switch)]
    stragglers: bool,
    /// alternate between calm load and peaks of three times as much, every few seconds
    #[argh(switch)]
    swings: bool,
}

/// Measure the overhead of an entry: added latency, processor time per token, memory per stream.
#[derive(FromArgs)]
#[argh(subcommand, name = "overhead")]
struct OverheadArguments {
    /// streams to hold open for the memory figure
    #[argh(option, default = "5000")]
    streams: usize,
}

fn split<T: std::str::FromStr>(text: &str) -> Vec<T> {
    text.split(',')
        .filter_map(|part| part.trim().parse().ok())
        .collect()
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
            Subcommand::Overhead(arguments) => overhead::run(arguments.streams).await,
            Subcommand::Rig(arguments) => {
                let params = RigParams {
                    user: arguments.user,
                    policies: split(&arguments.policies),
                    seeds: split(&arguments.seeds),
                    load_percent: arguments.load,
                    seconds: arguments.seconds,
                    is_built: arguments.built,
                    has_stragglers: arguments.stragglers,
                    has_swings: arguments.swings,
                };
                rig::run(&params).await
            }
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
        network_us: arguments.network_us,
    };
    engine::run(&arguments.listen, profile, &arguments.journal).await
}
