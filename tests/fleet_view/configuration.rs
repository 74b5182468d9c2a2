//! The time until a version is in force at all nodes of a simulated fleet, as a distribution over seeds.

use dotterelspan::prelude::*;

use crate::change;
use crate::simulated_fleet::SimulatedFleet;

/// Fleet sizes with the seeds of each case: a small deployment, and the design size.
const SMALL: (usize, &[u64]) = (18, &[1, 2, 3, 4, 5]);
const LARGE: (usize, &[u64]) = (330, &[6]);

/// The time after which the nodes of a fleet know each other, in milliseconds.
const START_MS: u64 = 1_500;

/// How long a fleet runs after that before it is disturbed, in milliseconds.
const SETTLED_MS: u64 = 6_000;

/// The time within which a version must be in force at an undisturbed node, in milliseconds.
const IN_FORCE_MS: u64 = 2_000;

/// The time within which a disturbed node must be up to date again, in milliseconds.
const CALM_AFTER_MS: u64 = 3_000;

/// The time within which a node that can't read the store must learn a version from its peers, in
/// milliseconds.
const LEARNED_FROM_PEERS_MS: u64 = 7_000;

/// The longest run of a case, in milliseconds.
const PATIENCE_MS: u64 = 15_000;

/// The version in force at the start of a case.
const FIRST_VERSION: Revision = 1;

/// The disturbance of a fleet when a version is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    None,
    ReadersFrozen,
    HalfFrozen,
    ReadersLoseStore,
    ReadersCutFromOthers,
    ReadersCannotSend,
    AllCutFromEachOther,
    AllSilent,
    HalfLoseStore,
}

/// Sorted times from the write of a version until nodes had it, in milliseconds: of nodes that can read the
/// store, and of those that can't. A node that never had it counts with [`PATIENCE_MS`].
struct SpreadTimes {
    reading: Vec<u64>,
    by_peers: Vec<u64>,
    calls_a_second: f64,
}

fn apply_disturbance(fleet: &mut SimulatedFleet, disturbance: Disturbance) {
    let readers = fleet.readers();
    let half: Vec<usize> = (0..fleet.len()).filter(|index| index % 2 == 1).collect();
    match disturbance {
        Disturbance::None => {}
        Disturbance::ReadersFrozen => readers.iter().for_each(|index| fleet.freeze(*index)),
        Disturbance::HalfFrozen => half.iter().for_each(|index| fleet.freeze(*index)),
        Disturbance::ReadersLoseStore => readers.iter().for_each(|index| fleet.silence_store(*index)),
        Disturbance::ReadersCutFromOthers => {
            fleet.cut(move |from, to| readers.contains(&from) != readers.contains(&to));
        }
        Disturbance::ReadersCannotSend => fleet.cut(move |from, _| readers.contains(&from)),
        Disturbance::AllCutFromEachOther => fleet.cut(|_, _| true),
        Disturbance::AllSilent => {
            fleet.silence_watches();
            fleet.cut(|_, _| true);
        }
        Disturbance::HalfLoseStore => half.iter().for_each(|index| fleet.silence_store(*index)),
    }
}

fn measure_spread(size: usize, seed: u64, disturbance: Disturbance) -> SpreadTimes {
    let mut fleet = SimulatedFleet::new(size, seed);
    fleet.follow_configuration(FIRST_VERSION);
    fleet.run_ms(START_MS);
    fleet.read_all(change(0, 3, &["i-1"], &[]));
    fleet.run_ms(SETTLED_MS);
    let calls_a_second = fleet.watched.calls as f64 * 1_000.0 / SETTLED_MS as f64;
    apply_disturbance(&mut fleet, disturbance);
    let version = FIRST_VERSION + 1;
    fleet.watched.version = version;
    let began = fleet.now();
    let nodes: Vec<usize> = (0..size).filter(|index| fleet.is_running(*index)).collect();
    let mut had_after = vec![None; size];
    let is_over = |had_after: &[Option<u64>]| nodes.iter().all(|index| had_after[*index].is_some());
    while began.until_ms(fleet.now()) < PATIENCE_MS && !is_over(&had_after) {
        fleet.run_ms(50);
        let elapsed_ms = began.until_ms(fleet.now());
        for index in &nodes {
            if fleet.board(*index).register.revision == version {
                had_after[*index].get_or_insert(elapsed_ms);
            }
        }
    }
    let times = |reads: bool| {
        let such = nodes.iter().filter(|index| fleet.has_store(**index) == reads);
        let mut times: Vec<u64> = such
            .map(|index| had_after[*index].unwrap_or(PATIENCE_MS))
            .collect();
        times.sort_unstable();
        times
    };
    SpreadTimes {
        reading: times(true),
        by_peers: times(false),
        calls_a_second,
    }
}

/// The percentile of sorted times.
fn percentile(times: &[u64], percent: usize) -> u64 {
    let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
    times.get(index).copied().unwrap_or(0)
}

/// Prints the distribution of a case. Returns the longest time of the nodes that can read the store, and of
/// the others.
fn measure_latest((size, seeds): (usize, &[u64]), disturbance: Disturbance) -> (u64, u64) {
    let (mut reading, mut by_peers, mut calls) = (Vec::new(), Vec::new(), 0.0);
    for seed in seeds {
        let times = measure_spread(size, *seed, disturbance);
        reading.extend(times.reading);
        by_peers.extend(times.by_peers);
        calls += times.calls_a_second / seeds.len() as f64;
    }
    reading.sort_unstable();
    by_peers.sort_unstable();
    for (who, times) in [("reading", &reading), ("by peers", &by_peers)] {
        if !times.is_empty() {
            println!(
                "{size} nodes, {disturbance:?}, {who}: half {} ms, 99 in 100 {} ms, all {} ms; {calls:.0} calls a second",
                percentile(times, 50),
                percentile(times, 99),
                percentile(times, 100)
            );
        }
    }
    (percentile(&reading, 100), percentile(&by_peers, 100))
}

#[test]
fn nodes_that_read_the_store_have_a_version_in_time_whatever_befalls_others() {
    let mut late = Vec::new();
    for disturbance in [
        Disturbance::None,
        Disturbance::ReadersFrozen,
        Disturbance::HalfFrozen,
        Disturbance::ReadersLoseStore,
        Disturbance::ReadersCutFromOthers,
        Disturbance::ReadersCannotSend,
        Disturbance::AllCutFromEachOther,
    ] {
        let (reading, by_peers) = measure_latest(SMALL, disturbance);
        if reading > IN_FORCE_MS || by_peers > LEARNED_FROM_PEERS_MS {
            late.push((disturbance, reading, by_peers));
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn nodes_of_which_each_is_alone_after_a_silence_are_up_to_date_when_they_count_as_calm() {
    for fleet in [SMALL, LARGE] {
        let (reading, _) = measure_latest(fleet, Disturbance::AllSilent);
        assert!(reading <= CALM_AFTER_MS, "{fleet:?}: {reading} ms");
    }
}

#[test]
fn nodes_that_can_not_read_the_store_follow_their_peers() {
    for fleet in [SMALL, LARGE] {
        let (reading, by_peers) = measure_latest(fleet, Disturbance::HalfLoseStore);
        assert!(reading <= IN_FORCE_MS, "{fleet:?}: {reading} ms");
        assert!(by_peers <= LEARNED_FROM_PEERS_MS, "{fleet:?}: {by_peers} ms");
    }
}
