//! Which replica of a plain service a call goes to, as its answers take longer or shorter: the decisions alone.

mod plain_desk;

use dotterelspan::blackboard::ReplicaId;
use dotterelspan::clock::Moment;
use dotterelspan::controllers::dispatch::{DispatchChoice, ReplicaSelector, SendOutcome};
use plain_desk::{ASK, facts, selector};

/// A usual answer, and one that is slow.
const USUAL_MS: u64 = 10;
const SLOW_MS: u64 = 90;

/// Calls that are made.
const CALLS: usize = 1_000;

/// Calls that may pass until a replica that was slow is tried again.
const TRIED_WITHIN: usize = 200;

/// The most calls of those that may go to one that stays slow: one in 50.
const MOST_SLOW: usize = CALLS / 50;

fn desk_book() -> ReplicaSelector {
    selector(&["i-1", "i-2", "i-3"].map(|id| facts(id, 1)), Moment(0))
}

/// Makes calls one after the other and says which replica each went to; `answer_ms` says how long one takes.
fn call(selector: &mut ReplicaSelector, answer_ms: impl Fn(&str) -> u64) -> Vec<ReplicaId> {
    let choose = |_| {
        let Some(DispatchChoice::Free(record)) = selector.choose(&ASK, Moment(0)) else {
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
    let mut selector = desk_book();
    selector.begin(&"i-1".into(), 0);
    selector.finish(&"i-1".into(), 0, SendOutcome::Served(SLOW_MS), Moment(0));
    let chosen = call(&mut selector, |_| USUAL_MS);
    let tried = chosen.iter().position(|id| &**id == "i-1");
    assert!(tried.is_some_and(|calls| calls < TRIED_WITHIN), "{tried:?}");
    let again = chosen.iter().filter(|id| &***id == "i-1").count();
    assert!(again > CALLS / 10, "{again}");
}

#[test]
fn a_replica_that_stays_slow_gets_few_calls() {
    let mut selector = desk_book();
    let chosen = call(&mut selector, |id| if id == "i-1" { SLOW_MS } else { USUAL_MS });
    let slow = chosen.iter().filter(|id| &***id == "i-1").count();
    assert!((1..=MOST_SLOW).contains(&slow), "{slow}");
}
