//! Distribution of calls while a replica is slow, and after it has recovered.

use std::time::Duration;

use crate::limited_fleet::*;
use crate::replica::ReplicaBehavior;

/// How long the replica is slow.
const SLOW_DURATION: Duration = Duration::from_millis(1_500);

/// How long calls are sent.
const CALLS_DURATION: Duration = Duration::from_secs(12);

/// Minimum share of all calls that the slow replica must get, in percent; an even share is a third.
const MIN_PERCENT: usize = 10;

#[test]
fn a_replica_that_was_slow_for_a_moment_gets_calls_again() {
    let fleet = LimitedFleet::with_plain_replicas(3, 3);
    let slow = &fleet.replicas[0];
    slow.set_behavior(ReplicaBehavior::Slow);
    let load = LoadGenerator::start(fleet.addresses(), "/read", 90, CALLS_DURATION);
    std::thread::sleep(SLOW_DURATION);
    slow.set_behavior(ReplicaBehavior::Well);
    let answers = load.finish();
    let received = slow.count();
    assert!(
        received * 100 > answers.len() * MIN_PERCENT,
        "{received} {:?}",
        fleet.log_paths()
    );
}
