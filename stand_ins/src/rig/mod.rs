//! The measuring rig: a user's whole fleet as real processes under open-loop load, and the brief's four measures.

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

/// What to measure.
#[derive(Clone, Debug)]
pub struct RigOrder {
    /// The user.
    pub user: String,
    /// Policies of the entry.
    pub policies: Vec<String>,
    /// Seeds of the arrivals.
    pub seeds: Vec<u64>,
    /// Mean load, in percent of what the decode engines can generate.
    pub load_percent: u64,
    /// How long load is offered, in seconds.
    pub seconds: u64,
    /// Whether the daemon beside this program is used as it is.
    pub is_built: bool,
    /// Whether replicas are stragglers for moments.
    pub has_stragglers: bool,
    /// Whether the load swings.
    pub has_swings: bool,
}

/// Slots of a decode engine.
const SLOTS: u64 = 20;

/// Time of a decode step, in microseconds.
const STEP_US: u64 = 20_000;

/// More time of a step for each request in the batch, in microseconds.
const STEP_PER_REQUEST_US: u64 = 500;

/// Prompt tokens that a prefill engine runs in a second.
const PREFILL_RATE: u64 = 40_000;

/// Blocks of a thousand tokens that a prefill engine caches.
const CACHE_BLOCKS: usize = 128;

/// Time that a request to an upstream is on the network, in microseconds.
const NETWORK_US: u64 = 3_000;

/// Runs every policy with every seed, and prints a table.
pub async fn run(order: &RigOrder) -> std::io::Result<()> {
    if !order.is_built {
        build_entry()?;
    }
    let profile = UserProfile::of(&order.user)?;
    println!("{}", summary::head(order, &profile));
    for policy in &order.policies {
        let mut runs = Vec::new();
        for seed in &order.seeds {
            runs.push(run_once(order, &profile, policy, *seed).await);
        }
        for (seed, run) in order.seeds.iter().zip(&runs) {
            eprintln!("{policy} seed {seed}: {run:.1?}");
        }
        println!("{}", summary::row(policy, &runs));
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

/// Tokens a second that the decode engines generate with full batches.
fn decode_rate(profile: &UserProfile) -> u64 {
    let step_us = STEP_US + STEP_PER_REQUEST_US * SLOTS;
    profile.decodes as u64 * SLOTS * 1_000_000 / step_us
}

async fn run_once(order: &RigOrder, profile: &UserProfile, policy: &str, seed: u64) -> RunMeasures {
    let fleet = Fleet::start(plan(profile, policy)).await;
    let rate = decode_rate(profile) * order.load_percent / 100;
    let arrivals = draw_arrivals(profile, order, rate, seed);
    let stragglers = order
        .has_stragglers
        .then(|| load::start_stragglers(&fleet, seed, order.seconds));
    let began = Instant::now();
    let outcomes = load::offer(&fleet, profile, &arrivals).await;
    let control = ControlCost::read(&fleet, began.elapsed().as_secs_f64()).await;
    if let Some(stragglers) = stragglers {
        stragglers.await;
    }
    // The last requests end, and what nobody fetched expires.
    async_std::task::sleep(Duration::from_millis(1_500)).await;
    measure::judge(&fleet, decode_rate(profile), &arrivals, &outcomes, control)
}
