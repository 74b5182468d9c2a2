//! Quotas of workspaces over several nodes: what arrives at replicas, who is refused, and what happens when the
//! VM that grants a quota is killed.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::fixture::{Engines, start_desk};
use crate::limited_fleet::{CallerAnswer, LimitedFleet, LoadGenerator};
use crate::node::{GatewayNode, QUOTA_OVERSHOOT, QUOTA_SLACK, config_document, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::wire::request;

/// The window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(8);

/// The quota of the eager workspace in tokens per second, and its burst in tokens.
const RATE: f64 = 4_000.0;
const BURST: f64 = 2_000.0;

/// Tokens of each call.
const CALL_TOKENS: f64 = 200.0;

/// Calls per second of the eager workspace, three times its quota, and of the modest one, half of its quota.
const EAGER_CALLS: u32 = 60;
const MODEST_CALLS: u32 = 10;

/// How long the callers send requests.
const SPAN: Duration = Duration::from_secs(18);

/// The part of the quota that must be used without faults.
const MIN_USED_FRACTION: f64 = 0.95;

/// Starts three nodes with two workspaces, and waits until their keys are in force.
fn start_fleet() -> LimitedFleet {
    let fleet = LimitedFleet::with_plain_replicas(3, 3);
    let mut document = config_document(2);
    let tenant = |name: &str| {
        json!({
            "name": name, "apiKeys": [format!("{name}-key")], "unit": "token_stream",
            "plainTokens": CALL_TOKENS, "ratePerS": RATE, "burst": BURST,
        })
    };
    document["tenants"] = json!([tenant("eager"), tenant("modest")]);
    fleet.store.put("op/config", &document.to_string());
    for node in &fleet.nodes {
        wait_until("the quotas are in force", || {
            node.log().contains("event=register_accepted revision=2")
        });
    }
    fleet
}

fn start_load(fleet: &LimitedFleet, name: &'static str, calls: u32) -> LoadGenerator {
    let lines = format!("X-Key: {name}-key\r\n");
    LoadGenerator::start_lines(fleet.addresses(), "/read", calls, SPAN, name, &lines)
}

/// The times at which a workspace's requests arrived at replicas, in order.
fn arrivals(fleet: &LimitedFleet, workspace: &str) -> Vec<Instant> {
    let arrivals = fleet.replicas.iter();
    let mut arrivals: Vec<Instant> = arrivals
        .flat_map(|replica| replica.arrived_from(workspace))
        .collect();
    arrivals.sort_unstable();
    arrivals
}

fn assert_bound_kept(fleet: &LimitedFleet) {
    let allowed = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK;
    let arrivals = arrivals(fleet, "eager");
    let counts = arrivals.iter().enumerate().map(|(first, begin)| {
        arrivals[first..].partition_point(|at| *at < *begin + WINDOW) as f64 * CALL_TOKENS
    });
    let most = counts.fold(0.0, f64::max);
    println!("most tokens in a window: {most}, {allowed} allowed");
    assert!(most <= allowed, "{most} of {allowed}; {:?}", fleet.log_paths());
    assert!(most > 0.0, "{:?}", fleet.log_paths());
}

fn with_status(answers: &[CallerAnswer], status: u16) -> Vec<&CallerAnswer> {
    let matching = answers.iter().filter(|answer| answer.status == status);
    matching.collect()
}

/// Guards against quotas that each VM grants for itself, against refusals that have run, and against a
/// workspace that is refused because another one is over its quota.
#[test]
fn three_nodes_keep_a_quota_and_refuse_no_other_workspace() {
    let fleet = start_fleet();
    let began = Instant::now();
    let loads = [("eager", EAGER_CALLS), ("modest", MODEST_CALLS)]
        .map(|(name, calls)| start_load(&fleet, name, calls));
    let [eager, modest] = loads.map(LoadGenerator::finish);
    assert_bound_kept(&fleet);
    let window = began + Duration::from_secs(4)..began + SPAN;
    let count = arrivals(&fleet, "eager")
        .iter()
        .filter(|at| window.contains(at))
        .count() as f64;
    let used = count * CALL_TOKENS / (RATE * (window.end - window.start).as_secs_f64());
    println!("{used:.2} of the quota used");
    assert!(used >= MIN_USED_FRACTION, "{used}; {:?}", fleet.log_paths());
    let refused = with_status(&eager, 429);
    assert!(!refused.is_empty(), "{:?}", fleet.log_paths());
    for answer in &refused {
        assert!(answer.retry_after.is_some(), "{answer:?}");
        let runs: usize = fleet
            .replicas
            .iter()
            .map(|replica| replica.runs(&answer.id))
            .sum();
        assert_eq!(runs, 0, "{answer:?}");
    }
    let served = with_status(&modest, 200);
    assert_eq!(served.len(), modest.len(), "{:?}", fleet.log_paths());
    let exceeded: f64 = fleet
        .nodes
        .iter()
        .map(|node| node.metric("quota_requests", "workspace=\"eager\""))
        .sum();
    assert!(exceeded >= eager.len() as f64, "{exceeded} of {}", eager.len());
}

/// Guards against the next owner granting again what the killed one had granted, and against requests that stay
/// refused once there is a next owner.
#[test]
fn a_quota_is_kept_after_its_owner_is_killed() {
    let mut fleet = start_fleet();
    let load = start_load(&fleet, "eager", EAGER_CALLS);
    std::thread::sleep(Duration::from_secs(3));
    let granted = " workspace=eager ";
    let owner = fleet.nodes.iter().position(|node| {
        let by_node = format!(" owner={} ", node.name);
        fleet.nodes.iter().map(GatewayNode::log).any(|log| {
            log.lines().any(|line| {
                line.contains("event=quota_granted") && line.contains(granted) && line.contains(&by_node)
            })
        })
    });
    fleet.nodes[owner.expect("an owner granted tokens")].kill();
    let killed_at = Instant::now();
    load.finish();
    assert_bound_kept(&fleet);
    let later = killed_at + Duration::from_secs(6);
    let count = arrivals(&fleet, "eager").iter().filter(|at| **at > later).count();
    assert!(count > 0, "nothing was granted later; {:?}", fleet.log_paths());
}

/// A quota that counts requests: a bucket of three, which fills so slowly that none is added during a test.
pub fn few_requests(version: u64) -> String {
    let mut document = config_document(version);
    document["tenants"] = json!([
        { "name": "few", "apiKeys": ["few-key"], "unit": "call", "ratePerS": 0.01, "burst": 2.8 },
        { "name": "free", "apiKeys": ["free-key"] },
    ]);
    document.to_string()
}

fn statuses(node: &GatewayNode, workspace: &str, path: &str, count: usize) -> Vec<u16> {
    let lines = format!("X-Key: {workspace}-key\r\nX-Token-Count: 900,50\r\n");
    let ids = (0..count).map(|number| format!("{workspace}{path}-{number}"));
    let answers = ids.map(|id| node.ask(&request("POST", "shop.example", path, &id, &lines, "body")));
    answers.map(|answer| answer.status()).collect()
}

fn wait_for_quota(node: &GatewayNode) {
    wait_until("the quota is in force", || {
        node.log().contains("event=register_accepted revision=2")
    });
}

/// Guards against requests that reach no replica using up the quota, and against a quota that is charged to a
/// workspace without one.
#[test]
fn requests_that_reach_no_replica_give_their_tokens_back() {
    let (store, node, _replicas) = start_desk([ReplicaBehavior::Well, ReplicaBehavior::Well]);
    store.put("op/config", &few_requests(2));
    wait_for_quota(&node);
    assert_eq!(statuses(&node, "few", "/empty", 10), [503; 10]);
    assert_eq!(statuses(&node, "few", "/read", 4), [200, 200, 200, 429]);
    assert_eq!(statuses(&node, "free", "/read", 10), [200; 10]);
}

/// Guards against a stream that is charged for its prompt and for its decode, or again for each retry.
#[test]
fn a_stream_is_charged_once() {
    let engines = Engines::start();
    engines.store.put("op/config", &few_requests(2));
    wait_for_quota(&engines.node);
    let streams = |count| statuses(&engines.node, "few", "/stream/resume", count);
    assert_eq!(streams(2), [200, 200]);
    // The next stream breaks after two of five events, and goes on at the other engine.
    for engine in &engines.decodes {
        engine.set_behavior(ReplicaBehavior::BreaksStream);
    }
    assert_eq!(streams(2), [200, 429]);
    let sends: usize = engines.decodes.iter().map(StandInReplica::count).sum();
    assert!(sends >= 4, "{sends} sends to decode engines");
}
