//! Choice among the replicas of a plain service by their answer times, tested without a network.

mod plain_desk;

use dotterelspan::blackboard::ReplicaId;
use dotterelspan::clock::Moment;
use dotterelspan::controllers::dispatch::{DispatchChoice, ReplicaSelector, SendOutcome};
use plain_desk::{CRITERIA, facts, selector};

/// Duration of a usual answer and of a slow one, in milliseconds.
const NORMAL_MS: u64 = 10;
const SLOW_MS: u64 = 90;

/// Number of calls per test.
const CALLS: usize = 1_000;

/// Number of calls within which a replica that was slow once must be tried again.
const MAX_CALLS_UNTIL_RETRY: usize = 200;

/// Limit of calls to a replica that stays slow: one in 50.
const MAX_SLOW_CALLS: usize = CALLS / 50;

fn three_replica_selector() -> ReplicaSelector {
    selector(&["i-1", "i-2", "i-3"].map(|id| facts(id, 1)), Moment(0))
}

/// Makes calls one after the other and returns the replica of each; `answer_ms` gives the duration of an
/// answer.
fn make_calls(selector: &mut ReplicaSelector, answer_ms: impl Fn(&str) -> u64) -> Vec<ReplicaId> {
    let choose = |_| {
        let Some(DispatchChoice::Unlimited(record)) = selector.choose(&CRITERIA, Moment(0)) else {
            panic!("a replica is free");
        };
        selector.begin(&record.id, 0);
        let outcome = SendOutcome::Served(answer_ms(&record.id));
        selector.finish(&record.id, 0, outcome, Moment(0));
        record.id.clone()
    };
    (0..CALLS).map(choose).collect()
}

#[test]
fn a_replica_that_was_slow_once_is_tried_again() {
    let mut selector = three_replica_selector();
    selector.begin(&"i-1".into(), 0);
    selector.finish(&"i-1".into(), 0, SendOutcome::Served(SLOW_MS), Moment(0));
    let chosen = make_calls(&mut selector, |_| NORMAL_MS);
    let tried = chosen.iter().position(|id| &**id == "i-1");
    assert!(
        tried.is_some_and(|calls| calls < MAX_CALLS_UNTIL_RETRY),
        "{tried:?}"
    );
    let again = chosen.iter().filter(|id| &***id == "i-1").count();
    assert!(again > CALLS / 10, "{again}");
}

#[test]
fn a_replica_that_stays_slow_gets_few_calls() {
    let mut selector = three_replica_selector();
    let chosen = make_calls(&mut selector, |id| if id == "i-1" { SLOW_MS } else { NORMAL_MS });
    let slow = chosen.iter().filter(|id| &***id == "i-1").count();
    assert!((1..=MAX_SLOW_CALLS).contains(&slow), "{slow}");
}
