//! What all nodes together send beyond the first arrival of each request, against the budget that they share.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fixture::{Engines, start_desk};
use crate::node::{GatewayNode, SHARED_RESERVE, SHARED_SHARE, publish_config, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{exchange, request};

/// The window of the budget; each test is over within one.
const WINDOW: Duration = Duration::from_secs(10);

/// Arrivals beyond the first of each request. The first prompt call that an engine took counts as none.
fn count_extra(replicas: &[&StandInReplica]) -> usize {
    let arrivals = replicas.iter().flat_map(|replica| replica.arrivals());
    let mut by_request: std::collections::BTreeMap<String, (usize, bool)> = Default::default();
    for arrival in arrivals {
        let (count, has_prompt) = by_request.entry(arrival.id).or_default();
        let is_free = arrival.is_accepted_prefill
            && !std::mem::replace(has_prompt, *has_prompt || arrival.is_accepted_prefill);
        if !is_free {
            *count += 1;
        }
    }
    by_request
        .values()
        .map(|(count, _)| count.saturating_sub(1))
        .sum()
}

fn assert_within_budget(requests: usize, replicas: &[&StandInReplica], began: Instant) {
    assert!(began.elapsed() < WINDOW, "one window: {:?}", began.elapsed());
    let extra = count_extra(replicas);
    let allowed = (requests as f64 * SHARED_SHARE + SHARED_RESERVE) as usize;
    println!("{extra} arrivals beyond the first of {requests} requests, {allowed} allowed");
    assert!(
        extra <= allowed,
        "{extra} arrivals beyond the first of {requests} requests, {allowed} allowed"
    );
}

fn call(address: SocketAddr, id: &str) {
    // Whether it is served does not matter here.
    let _ = exchange(address, &request("POST", "shop.example", "/read", id, "", "x"));
}

#[test]
fn nodes_that_lost_sight_of_each_other_do_not_each_take_the_whole_reserve() {
    const CALLS: usize = 60;
    let store = StandInStore::start();
    publish_config(&store, 1);
    let replicas =
        ["i-1", "i-2"].map(|id| StandInReplica::start(&store, id, "desk", None, ReplicaBehavior::NotRun));
    let mut absent = GatewayNode::start(&store, "vm-0", &[]);
    absent.kill();
    let nodes = ["vm-1", "vm-2", "vm-3"].map(|name| GatewayNode::start(&store, name, &[&absent]));
    nodes.iter().for_each(GatewayNode::wait_ready);
    let began = Instant::now();
    for number in 0..CALLS {
        for (index, node) in nodes.iter().enumerate() {
            call(node.callers(), &format!("q-{index}-{number}"));
        }
    }
    assert_within_budget(CALLS * nodes.len(), &replicas.each_ref(), began);
}

#[test]
fn a_node_that_starts_again_does_not_take_its_part_of_the_reserve_anew() {
    const STARTS: usize = 4;
    const CALLS: usize = 10;
    let (_store, mut node, replicas) = start_desk([ReplicaBehavior::NotRun; 2]);
    let began = Instant::now();
    for start in 0..STARTS {
        if start > 0 {
            node.kill();
            node.spawn();
            node.wait_ready();
        }
        for number in 0..CALLS {
            call(node.callers(), &format!("q-{start}-{number}"));
        }
    }
    assert_within_budget(STARTS * CALLS, &replicas.each_ref(), began);
}

fn generate(engines: &Engines, count: usize) {
    for number in 0..count {
        let id = format!("q-{number}");
        let lines = "X-Token-Count: 900,50\r\n";
        engines
            .node
            .ask(&request("POST", "shop.example", "/stream", &id, lines, &id));
    }
}

#[test]
fn prompts_that_are_run_again_are_paid_from_the_budget() {
    const STREAMS: usize = 40;
    let engines = Engines::start();
    engines
        .decodes
        .iter()
        .for_each(|engine| engine.set_behavior(ReplicaBehavior::NotRun));
    let began = Instant::now();
    generate(&engines, STREAMS);
    assert_within_budget(STREAMS, &engines.all(), began);
}

#[test]
fn rejected_prompts_are_paid_from_the_budget() {
    const STREAMS: usize = 40;
    let engines = Engines::start();
    engines
        .prefills
        .iter()
        .for_each(|engine| engine.set_behavior(ReplicaBehavior::NotRun));
    let began = Instant::now();
    generate(&engines, STREAMS);
    assert_within_budget(STREAMS, &engines.all(), began);
}

#[test]
fn sends_that_did_not_go_out_cost_nothing_of_the_budget() {
    const CALLS: usize = 30;
    let (_store, node, replicas) = start_desk([ReplicaBehavior::NotRun, ReplicaBehavior::Well]);
    replicas[1].life.end();
    // The first one rejects each call, and the second one can't be reached.
    (0..CALLS).for_each(|number| call(node.callers(), &format!("q-{number}")));
    let last = format!("event=ended request=q-{}", CALLS - 1);
    wait_until("the last call is logged", || node.log().contains(&last));
    let log = node.log();
    assert!(log.contains("outcome=unsent"), "{log}");
    assert!(!log.contains("event=retry_denied"), "{log}");
    assert_eq!(
        node.metric("budget_taken", ""),
        node.metric("budget_returned", ""),
        "{log}"
    );
    assert_eq!(count_extra(&replicas.iter().collect::<Vec<_>>()), 0);
}
