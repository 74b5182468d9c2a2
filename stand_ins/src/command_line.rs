//! The stand-ins' command line.

use std::process::ExitCode;

use argh::FromArgs;

use crate::engine::EngineProfile;
use crate::rig::{self, RigOrder, overhead};
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
    Rig(RigArguments),
    Overhead(OverheadArguments),
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
    /// time that a request is on the network, in microseconds
    #[argh(option, default = "0")]
    network_us: u64,
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

/// Measure a policy: a user's whole fleet as processes, open-loop load, and the four measures of the brief.
#[derive(FromArgs)]
#[argh(subcommand, name = "rig")]
struct RigArguments {
    /// the user: kitamura or sadaf
    #[argh(option, default = "String::from(\"kitamura\")")]
    user: String,
    /// policies of the entry, with commas between them
    #[argh(
        option,
        default = "String::from(\"owner,random,round-robin,two-choices-reported,least-own\")"
    )]
    policies: String,
    /// seeds, with commas between them
    #[argh(option, default = "String::from(\"1,2,3\")")]
    seeds: String,
    /// mean load, in percent of what the decode engines can generate
    #[argh(option, default = "90")]
    load: u64,
    /// how long load is offered, in seconds
    #[argh(option, default = "15")]
    seconds: u64,
    /// use the daemon beside this program as it is, without building it
    #[argh(switch)]
    built: bool,
    /// let one replica in ten be a straggler for moments
    #[argh(switch)]
    stragglers: bool,
    /// let the load swing by three within seconds
    #[argh(switch)]
    swings: bool,
}

/// Measure what an entry adds: latency, processor time a token, memory a stream.
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
                let order = RigOrder {
                    user: arguments.user,
                    policies: split(&arguments.policies),
                    seeds: split(&arguments.seeds),
                    load_percent: arguments.load,
                    seconds: arguments.seconds,
                    is_built: arguments.built,
                    has_stragglers: arguments.stragglers,
                    has_swings: arguments.swings,
                };
                rig::run(&order).await
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
