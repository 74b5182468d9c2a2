//! The shared retry budget: all nodes together must keep extra arrivals of requests within it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fixture::{Engines, start_desk};
use crate::node::{BUDGET_SLACK, GatewayNode, RETRY_BUDGET_RATIO, publish_config, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{exchange, request};

/// Window of the retry budget; each test must end within one window.
const WINDOW: Duration = Duration::from_secs(10);

/// Counts the arrivals beyond the first of each request, without the first prompt call that an engine
/// accepted.
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
    assert!(
        began.elapsed() < WINDOW,
        "longer than one window: {:?}",
        began.elapsed()
    );
    let extra = count_extra(replicas);
    let allowed = (requests as f64 * RETRY_BUDGET_RATIO + BUDGET_SLACK) as usize;
    println!("{extra} arrivals beyond the first of {requests} requests, {allowed} allowed");
    assert!(
        extra <= allowed,
        "{extra} arrivals beyond the first of {requests} requests, {allowed} allowed"
    );
}

fn call(address: SocketAddr, id: &str) {
    // The answer does not matter here.
    let _ = exchange(address, &request("POST", "shop.example", "/read", id, "", "x"));
}

#[test]
fn nodes_that_know_no_other_node_do_not_each_use_the_whole_slack() {
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
fn a_restarted_node_does_not_use_its_part_of_the_slack_again() {
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
fn prompts_that_are_run_again_are_charged_to_the_budget() {
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
fn rejected_prompts_are_charged_to_the_budget() {
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
fn sends_that_did_not_leave_are_refunded() {
    const CALLS: usize = 30;
    let (_store, node, replicas) = start_desk([ReplicaBehavior::NotRun, ReplicaBehavior::Well]);
    replicas[1].process.crash();
    // The first replica rejects each call, and the second one is unreachable.
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
