//! Replicas that write an earlier refusal once more where the answer to another request is due.

use crate::fixture::start_desk;
use crate::node::GatewayNode;
use crate::replica::{RefusalCopy, ReplicaBehavior, StandInReplica};
use crate::wire::{Message, request};

/// Calls in series, so that they share connections to the replicas.
const CALLS: usize = 40;

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

const COPIES: [RefusalCopy; 5] = [
    RefusalCopy::EarlierId,
    RefusalCopy::NoId,
    RefusalCopy::MisdirectedEarlierId,
    RefusalCopy::MisdirectedNoId,
    RefusalCopy::NoIdAlone,
];

fn call(node: &GatewayNode, path: &str, id: &str) -> Message {
    node.ask(&request("POST", "shop.example", path, id, "", id))
}

/// What callers of a route were told of requests that had run or that ran more often than they may.
fn find_harm(path: &str, most_runs: usize, copy: RefusalCopy) -> Vec<String> {
    let behavior = ReplicaBehavior::RepeatsRefusal(copy);
    let (_store, node, replicas) = start_desk([behavior; 2]);
    let mut harms = Vec::new();
    let mut copies = 0;
    for number in 0..CALLS {
        let id = format!("q-{number}");
        let answer = call(&node, path, &id);
        let runs: usize = replicas.iter().map(|replica| replica.runs(&id)).sum();
        let is_false = PROMISES.contains(&answer.status()) && runs > 0;
        if is_false || runs > most_runs {
            harms.push(format!("{copy:?} {path}: {} after {runs} runs", answer.status()));
        }
        if answer.status() == 200 && !answer.text().ends_with(&id) {
            harms.push(format!("{copy:?} {path}: the answer to another request"));
        }
        copies = replicas.iter().map(StandInReplica::refusal_copies).sum();
    }
    assert!(copies > 0, "{copy:?} {path}: no copy was written");
    harms
}

#[test]
fn a_refusal_written_again_is_not_taken_for_that_of_a_run_once_call() {
    let harms: Vec<String> = COPIES
        .into_iter()
        .flat_map(|copy| find_harm("/book", 1, copy))
        .collect();
    assert!(harms.is_empty(), "{}", harms.join("\n"));
}

#[test]
fn a_refusal_written_again_gives_no_idempotent_call_the_answer_of_another() {
    let harms: Vec<String> = COPIES
        .into_iter()
        .flat_map(|copy| find_harm("/read", usize::MAX, copy))
        .filter(|harm| harm.contains("another"))
        .collect();
    assert!(harms.is_empty(), "{}", harms.join("\n"));
}

#[test]
fn calls_whose_connections_bring_refusals_again_are_served_all_the_same() {
    for copy in [RefusalCopy::EarlierId, RefusalCopy::MisdirectedEarlierId] {
        let (_store, node, _replicas) = start_desk([ReplicaBehavior::RepeatsRefusal(copy); 2]);
        let statuses: Vec<u16> = (0..CALLS)
            .map(|number| call(&node, "/book", &format!("q-{number}")).status())
            .collect();
        assert_eq!(statuses, [200; CALLS], "{copy:?}");
    }
}
