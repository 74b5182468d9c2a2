//! Replicas that repeat an earlier refusal on a connection in place of the answer to a later request.

use crate::fixture::start_desk;
use crate::node::GatewayNode;
use crate::replica::{RefusalCopy, ReplicaBehavior, StandInReplica};
use crate::wire::{Message, request};

/// Number of calls, made one after the other so that they share connections to the replicas.
const CALLS: usize = 40;

/// Statuses that promise a caller that its request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

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

/// Describes each call of a route that was refused as not run although it ran, ran too often, or got the
/// answer to another request.
fn find_violations(path: &str, max_runs: usize, copy: RefusalCopy) -> Vec<String> {
    let behavior = ReplicaBehavior::RepeatsRefusal(copy);
    let (_store, node, replicas) = start_desk([behavior; 2]);
    let mut violations = Vec::new();
    let mut copies = 0;
    for number in 0..CALLS {
        let id = format!("q-{number}");
        let answer = call(&node, path, &id);
        let runs: usize = replicas.iter().map(|replica| replica.runs(&id)).sum();
        let is_false_refusal = NOT_RUN_STATUSES.contains(&answer.status()) && runs > 0;
        if is_false_refusal || runs > max_runs {
            violations.push(format!("{copy:?} {path}: {} after {runs} runs", answer.status()));
        }
        if answer.status() == 200 && !answer.text().ends_with(&id) {
            violations.push(format!("{copy:?} {path}: the answer to another request"));
        }
        copies = replicas.iter().map(StandInReplica::refusal_copies).sum();
    }
    assert!(copies > 0, "{copy:?} {path}: no copy was written");
    violations
}

#[test]
fn a_repeated_refusal_is_not_taken_for_that_of_a_run_once_call() {
    let violations: Vec<String> = COPIES
        .into_iter()
        .flat_map(|copy| find_violations("/book", 1, copy))
        .collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn a_repeated_refusal_gives_no_idempotent_call_the_answer_to_another() {
    let violations: Vec<String> = COPIES
        .into_iter()
        .flat_map(|copy| find_violations("/read", usize::MAX, copy))
        .filter(|violation| violation.contains("another"))
        .collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn calls_are_served_although_their_connections_repeat_refusals() {
    for copy in [RefusalCopy::EarlierId, RefusalCopy::MisdirectedEarlierId] {
        let (_store, node, _replicas) = start_desk([ReplicaBehavior::RepeatsRefusal(copy); 2]);
        let statuses: Vec<u16> = (0..CALLS)
            .map(|number| call(&node, "/book", &format!("q-{number}")).status())
            .collect();
        assert_eq!(statuses, [200; CALLS], "{copy:?}");
    }
}
