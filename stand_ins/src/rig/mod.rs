//! The measuring rig: runs a user's complete fleet as real processes under open-loop load, and measures the
//! outcomes.

mod load;
mod measure;
pub mod overhead;
mod summary;
mod workload;

use std::time::{Duration, Instant};

use crate::demo::build_entry;
use crate::fleet::{Fleet, FleetPlan};
use measure::{ControlCost, RunMeasures};
use workload::{UserProfile, draw_arrivals};

/// Parameters of a measurement; each policy is run once with each seed.
#[derive(Clone, Debug)]
pub struct RigParams {
    /// Name of the user profile: `kitamura` or `sadaf`.
    pub user: String,
    /// Placement policies, as the entry's `--policy` takes them.
    pub policies: Vec<String>,
    /// Seeds from which the arrivals are drawn.
    pub seeds: Vec<u64>,
    /// Mean load, in percent of the decode engines' capacity with full batches.
    pub load_percent: u64,
    /// How long load is offered, in seconds.
    pub seconds: u64,
    /// Whether the daemon in this program's folder is used without building it.
    pub is_built: bool,
    /// Whether replicas are slowed down for short times.
    pub has_stragglers: bool,
    /// Whether the load alternates between calm and peak.
    pub has_swings: bool,
}

/// Slots of a decode engine.
const SLOTS: u64 = 20;

/// Fixed part of a decode step's time, in microseconds.
const STEP_US: u64 = 20_000;

/// Time that each request in the batch adds to a decode step, in microseconds.
const STEP_PER_REQUEST_US: u64 = 500;

/// Uncached prompt tokens that a prefill engine runs per second.
const PREFILL_RATE: u64 = 40_000;

/// Capacity of a prefill engine's prefix cache, in blocks of 1,000 tokens.
const CACHE_BLOCKS: usize = 128;

/// Simulated network latency of a request to an engine, in microseconds.
const NETWORK_US: u64 = 3_000;

/// Runs every policy with every seed, and prints a table with one row for each policy.
pub async fn run(params: &RigParams) -> std::io::Result<()> {
    if !params.is_built {
        build_entry()?;
    }
    let profile = UserProfile::of(&params.user)?;
    println!("{}", summary::table_head(params, &profile));
    for policy in &params.policies {
        let mut runs = Vec::new();
        for seed in &params.seeds {
            runs.push(run_once(params, &profile, policy, *seed).await);
        }
        for (seed, run) in params.seeds.iter().zip(&runs) {
            eprintln!("{policy} seed {seed}: {run:.1?}");
        }
        println!("{}", summary::table_row(policy, &runs));
    }
    Ok(())
}

fn plan(profile: &UserProfile, policy: &str) -> FleetPlan {
    let mut plan = FleetPlan::small()
        .with_entry_arguments(&["--policy", policy])
        .with_engine_arguments(&[
            "--slots",
            &SLOTS.to_string(),
            "--step-us",
            &STEP_US.to_string(),
            "--step-per-request-us",
            &STEP_PER_REQUEST_US.to_string(),
            "--prefill-rate",
            &PREFILL_RATE.to_string(),
            "--cache-blocks",
            &CACHE_BLOCKS.to_string(),
            "--network-us",
            &NETWORK_US.to_string(),
        ]);
    plan.entries = profile.entries;
    plan.prefills = profile.prefills;
    plan.decodes = profile.decodes;
    plan.services = profile.services;
    plan.slots = SLOTS as u32;
    plan.is_direct = true;
    plan.service_arguments = vec!["--latency-ms".to_owned(), "8".to_owned()];
    plan
}

/// Tokens per second that all decode engines generate with full batches.
fn decode_rate(profile: &UserProfile) -> u64 {
    let step_us = STEP_US + STEP_PER_REQUEST_US * SLOTS;
    profile.decodes as u64 * SLOTS * 1_000_000 / step_us
}

async fn run_once(params: &RigParams, profile: &UserProfile, policy: &str, seed: u64) -> RunMeasures {
    let fleet = Fleet::start(plan(profile, policy)).await;
    let rate = decode_rate(profile) * params.load_percent / 100;
    let arrivals = draw_arrivals(profile, params, rate, seed);
    let stragglers = params
        .has_stragglers
        .then(|| load::start_stragglers(&fleet, seed, params.seconds));
    let began = Instant::now();
    let outcomes = load::run_trace(&fleet, profile, &arrivals).await;
    let control = ControlCost::read(&fleet, began.elapsed().as_secs_f64()).await;
    if let Some(stragglers) = stragglers {
        stragglers.await;
    }
    // Time for the engines to finish the last requests and for unfetched KV caches to expire.
    async_std::task::sleep(Duration::from_millis(1_500)).await;
    measure::compute_measures(&fleet, decode_rate(profile), &arrivals, &outcomes, control)
}
