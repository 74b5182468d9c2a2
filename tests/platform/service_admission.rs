//! Bursts of calls to replicas with few slots, over several nodes.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::json;

use crate::bounded::SlotBounds;
use crate::limited_fleet::{CallerAnswer, LimitedFleet, LoadGenerator};
use crate::node::{config_document, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};

/// Two slots and a queue of four: what one node alone would send in a burst fits, what three send does not.
const BOUNDS: SlotBounds = SlotBounds {
    slots: 2,
    queue: 4,
    span_ms: 30,
};

/// Longer than a reported load is valid, so that the burst is a surprise.
const LOADS_EXPIRE: Duration = Duration::from_millis(900);

/// Calls in a burst of a tenth of a second. Four slots run them in half of the objective of 1,000 ms.
const BURST_CALLS: u32 = 64;

/// One call in this many may be rejected: one whose node went on alone, since the owner's answer was late.
const REJECTED_DIVISOR: usize = 10;

/// Starts three nodes and two bounded replicas, with workspaces in the configuration.
fn start_fleet() -> LimitedFleet {
    let fleet = LimitedFleet::start(3, |store| {
        let ids = ["i-1", "i-2"].into_iter();
        let start = |id| StandInReplica::start(store, id, "desk", None, ReplicaBehavior::Bounded(BOUNDS));
        ids.map(start).collect()
    });
    let mut document = config_document(2);
    document["tenants"] = json!([{ "name": "huka270", "apiKeys": ["a-key-of-the-tests"] }]);
    for route in document["routes"].as_array_mut().expect("routes") {
        route["allowAnonymous"] = true.into();
    }
    fleet.store.put("op/config", &document.to_string());
    wait_until("the configuration is in force", || {
        fleet
            .nodes
            .iter()
            .all(|node| node.metric("config_revision", "") == 2.0)
    });
    // Links to the owner and connections to the replicas are open from here on.
    let warm_up = LoadGenerator::start(fleet.addresses(), "/read", 20, Duration::from_millis(600));
    assert!(warm_up.finish().iter().all(|answer| answer.status == 200));
    std::thread::sleep(LOADS_EXPIRE);
    fleet
}

fn burst(fleet: &LimitedFleet, nodes: &[usize]) -> LoadGenerator {
    let addresses = nodes.iter().map(|node| fleet.nodes[*node].callers()).collect();
    LoadGenerator::start(addresses, "/read", BURST_CALLS * 10, Duration::from_millis(100))
}

fn rejections(fleet: &LimitedFleet) -> usize {
    fleet.replicas.iter().map(StandInReplica::rejections).sum()
}

fn count(answers: &[CallerAnswer], status: u16) -> usize {
    answers.iter().filter(|answer| answer.status == status).count()
}

/// The nodes that granted slots, by the log lines of the others.
fn owners(fleet: &LimitedFleet) -> BTreeSet<String> {
    let logs: Vec<String> = fleet.nodes.iter().map(|node| node.log()).collect();
    let granted = logs.iter().flat_map(|log| log.lines());
    let granted = granted.filter(|line| line.contains("event=send_slot_granted"));
    let owners = granted.filter_map(|line| Some(line.split(" owner=").nth(1)?.split(' ').next()?.to_owned()));
    owners.collect()
}

/// Guards against nodes that each fill the replicas' queues without regard to the others: full replicas reject
/// calls, while a little later there is room for them.
#[test]
fn a_burst_over_several_nodes_waits_at_the_owner_and_not_at_full_replicas() {
    let fleet = start_fleet();
    let before = rejections(&fleet);
    let answers = burst(&fleet, &[0, 1, 2]).finish();
    let rejected = rejections(&fleet) - before;
    println!(
        "{} calls, {} served, {rejected} rejected",
        answers.len(),
        count(&answers, 200)
    );
    assert!(
        rejected * REJECTED_DIVISOR <= answers.len(),
        "{rejected} of {} were rejected; {:?}",
        answers.len(),
        fleet.log_paths()
    );
    let refused = count(&answers, 503);
    assert_eq!(
        count(&answers, 200) + refused,
        answers.len(),
        "{:?}",
        fleet.log_paths()
    );
    assert!(
        refused * REJECTED_DIVISOR <= answers.len(),
        "{refused} were refused"
    );
    let granted: f64 = fleet
        .nodes
        .iter()
        .map(|node| node.metric("send_slots", "fate=\"granted\""))
        .sum();
    assert!(granted > 0.0, "{:?}", fleet.log_paths());
}

/// Guards against calls that are lost, or wait until their deadlines, as the owner that they wait at is killed.
#[test]
fn calls_that_wait_at_an_owner_are_answered_after_it_was_killed() {
    let mut fleet = start_fleet();
    let first_owners = owners(&fleet);
    let owner = fleet
        .nodes
        .iter()
        .position(|node| first_owners.contains(&node.name))
        .expect("an owner granted the first calls");
    let others: Vec<usize> = (0..3).filter(|node| *node != owner).collect();
    let load = burst(&fleet, &others);
    // In the burst, when most calls wait.
    std::thread::sleep(Duration::from_millis(80));
    fleet.nodes[owner].kill();
    let answers = load.finish();
    let (served, refused) = (count(&answers, 200), count(&answers, 503));
    println!("{} calls, {served} served, {refused} refused", answers.len());
    assert_eq!(
        served + refused,
        answers.len(),
        "{answers:?} {:?}",
        fleet.log_paths()
    );
    assert!(
        served * 2 > answers.len(),
        "{served} were served; {:?}",
        fleet.log_paths()
    );
    for answer in answers.iter().filter(|answer| answer.status == 503) {
        let runs: usize = fleet
            .replicas
            .iter()
            .map(|replica| replica.runs(&answer.id))
            .sum();
        assert_eq!(runs, 0, "{answer:?} {:?}", fleet.log_paths());
    }
    wait_until("another node grants slots", || {
        std::thread::sleep(LOADS_EXPIRE);
        burst(&fleet, &others).finish();
        owners(&fleet).iter().any(|name| *name != fleet.nodes[owner].name)
    });
}
