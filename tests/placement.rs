//! Choice among the replicas of a plain service by their answer times, tested without a network.

mod plain_desk;

use dotterelspan::blackboard::ReplicaId;
use dotterelspan::clock::Moment;
use dotterelspan::controllers::dispatch::{DispatchBook, DispatchChoice, SendOutcome};
use plain_desk::{ASK, book, facts};

/// Duration of a usual answer and of a slow one, in milliseconds.
const USUAL_MS: u64 = 10;
const SLOW_MS: u64 = 90;

/// Number of calls per test.
const CALLS: usize = 1_000;

/// Number of calls within which a replica that was slow once must be tried again.
const TRIED_WITHIN: usize = 200;

/// Limit of calls to a replica that stays slow: one in 50.
const MOST_SLOW: usize = CALLS / 50;

fn desk_book() -> DispatchBook {
    book(&["i-1", "i-2", "i-3"].map(|id| facts(id, 1)), Moment(0))
}

/// Makes calls one after the other and returns the replica of each; `answer_ms` gives the duration of an
/// answer.
fn call(book: &mut DispatchBook, answer_ms: impl Fn(&str) -> u64) -> Vec<ReplicaId> {
    let choose = |_| {
        let Some(DispatchChoice::Free(record)) = book.choose(&ASK, Moment(0)) else {
            panic!("a replica is free");
        };
        book.begin(&record.id, 0);
        let outcome = SendOutcome::Served(answer_ms(&record.id));
        book.finish(&record.id, 0, outcome, Moment(0));
        record.id.clone()
    };
    (0..CALLS).map(choose).collect()
}

#[test]
fn a_replica_that_was_slow_once_is_tried_again() {
    let mut book = desk_book();
    book.begin(&"i-1".into(), 0);
    book.finish(&"i-1".into(), 0, SendOutcome::Served(SLOW_MS), Moment(0));
    let chosen = call(&mut book, |_| USUAL_MS);
    let tried = chosen.iter().position(|id| &**id == "i-1");
    assert!(tried.is_some_and(|calls| calls < TRIED_WITHIN), "{tried:?}");
    let again = chosen.iter().filter(|id| &***id == "i-1").count();
    assert!(again > CALLS / 10, "{again}");
}

#[test]
fn a_replica_that_stays_slow_gets_few_calls() {
    let mut book = desk_book();
    let chosen = call(&mut book, |id| if id == "i-1" { SLOW_MS } else { USUAL_MS });
    let slow = chosen.iter().filter(|id| &***id == "i-1").count();
    assert!((1..=MOST_SLOW).contains(&slow), "{slow}");
}
