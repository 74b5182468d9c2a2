//! Properties of the sans-IO parts under arbitrary interleavings, losses, duplicates, delays, pauses and restarts.

mod keys;
mod network;
mod parsers;
mod revisions;
mod slots;

use proptest::test_runner::{Config, RngSeed};

/// The seed of CI's runs, so that the verdict is the same every time; PROPTEST_SEED sets another.
const SEED: u64 = 20_261_204;

/// A configuration for so many cases.
fn config(cases: u32) -> Config {
    let seed = std::env::var("PROPTEST_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed.unwrap_or(SEED)),
        ..Config::default()
    }
}
