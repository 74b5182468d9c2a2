//! Properties of the sans-I/O parts under arbitrary interleavings, losses, duplicates, delays, pauses and
//! restarts.

mod keys;
mod network;
mod parsers;
mod revisions;
mod slots;

use proptest::test_runner::{Config, RngSeed};

/// The default seed, fixed so that CI's result is reproducible; PROPTEST_SEED overrides it.
const SEED: u64 = 20_261_204;

/// The proptest configuration for a number of cases.
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
