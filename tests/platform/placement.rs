//! Where calls go while and after replicas are slow.

use std::time::Duration;

use crate::limited_fleet::*;
use crate::replica::ReplicaBehavior;

/// How long a replica is slow.
const SLOW_FOR: Duration = Duration::from_millis(1_500);

/// How long calls come.
const CALLS_FOR: Duration = Duration::from_secs(12);

/// The least part of the calls that it has to get in all, in percent: a third is its share.
const LEAST_PERCENT: usize = 10;

#[test]
fn a_replica_that_was_slow_for_a_moment_gets_calls_again() {
    let fleet = LimitedFleet::with_plain_replicas(3, 3);
    let slow = &fleet.replicas[0];
    slow.set_behavior(ReplicaBehavior::Slow);
    let load = LoadGenerator::start(fleet.addresses(), "/read", 90, CALLS_FOR);
    std::thread::sleep(SLOW_FOR);
    slow.set_behavior(ReplicaBehavior::Well);
    let answers = load.finish();
    let got = slow.count();
    assert!(
        got * 100 > answers.len() * LEAST_PERCENT,
        "{got} {:?}",
        fleet.log_paths()
    );
}
