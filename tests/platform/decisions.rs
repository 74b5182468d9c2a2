//! Each kind of event that a gateway's controllers subscribe to has a source, checked on real processes.

use crate::fixture::Engines;
use crate::node::{GatewayNode, wait_until};
use crate::quotas::few_requests;
use crate::replica::{CRASH_MARKER, ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::request;

/// Kinds that a gateway's controllers subscribe to and that need no source there, with the reason.
const NOT_NEEDED: [(&str, &str); 3] = [
    (
        "seeds_changed",
        "settings change while a process runs; tested in tests/rebalance.rs and by review/2",
    ),
    (
        "vms_listed",
        "no VM list is published; VMs find each other over seeds",
    ),
    (
        "load_reported",
        "read by a baseline of the rig only; loads reach the replica selector with each answer",
    ),
];

/// Kinds that a controller subscribes to and that have not occurred so far.
fn find_missing_kinds(node: &GatewayNode) -> Vec<String> {
    let metrics = node.metrics();
    let subscribed = metrics
        .lines()
        .filter(|line| line.starts_with("control_events") && line.contains("heard=\"true\""));
    let missing = subscribed.filter(|line| line.ends_with(" 0"));
    let kinds = missing.filter_map(|line| line.split("kind=\"").nth(1)?.split('"').next());
    let mut kinds: Vec<String> = kinds
        .filter(|kind| NOT_NEEDED.iter().all(|(name, _)| name != kind))
        .map(str::to_owned)
        .collect();
    kinds.sort();
    kinds
}

fn call(node: &GatewayNode, path: &str, id: &str, body: &str) -> u16 {
    let lines = "X-Token-Count: 900,50\r\n";
    node.ask(&request("POST", "shop.example", path, id, lines, body))
        .status()
}

/// Starts three replicas of the service `desk`, in addition to the engines.
fn start_desks(store: &StandInStore) -> [StandInReplica; 3] {
    ["i-1", "i-2", "i-3"].map(|id| StandInReplica::start(store, id, "desk", None, ReplicaBehavior::Well))
}

#[test]
fn a_gateway_receives_each_kind_of_event_that_its_controllers_subscribe_to() {
    let engines = Engines::start();
    let desks = start_desks(&engines.store);
    let node = &engines.node;
    assert!(
        !find_missing_kinds(node).is_empty(),
        "a node that has just started has seen few kinds of events"
    );
    wait_until("the node serves calls", || call(node, "/read", "q-0", "x") == 200);
    let mut peer = GatewayNode::start(&engines.store, "vm-2", &[node]);
    peer.wait_ready();
    assert_eq!(call(node, "/stream", "q-1", "a prompt"), 200);
    // A replica crashes while running a call, whose retry is a trial run and completes.
    desks
        .iter()
        .for_each(|desk| desk.set_behavior(ReplicaBehavior::Slow));
    let address = node.callers();
    let text = request("POST", "shop.example", "/read", "q-2", "", "innocent");
    let running = std::thread::spawn(move || crate::wire::exchange(address, &text));
    let runs_call = |desk: &&StandInReplica| !desk.seen("q-2").is_empty();
    wait_until("a replica runs the call", || {
        desks.iter().any(|desk| runs_call(&desk))
    });
    desks
        .iter()
        .filter(runs_call)
        .for_each(|desk| desk.process.crash());
    running.join().expect("the caller's thread").expect("an answer");
    desks
        .iter()
        .for_each(|desk| desk.set_behavior(ReplicaBehavior::Well));
    wait_until("the replicas have restarted", || {
        call(node, "/read", "q-3", "innocent") == 200
    });
    call(node, "/book", "q-4", CRASH_MARKER);
    for (mood, kind) in [
        (ReplicaBehavior::Misdirected, "replica_replaced"),
        (ReplicaBehavior::Leaving, "replica_leaving"),
    ] {
        wait_until("a replica serves", || {
            let answer = node.ask(&request("POST", "shop.example", "/read", "q-5", "", "x"));
            // The replica that serves now also gets the next call.
            let serving = desks.iter().find(|desk| answer.text().starts_with(&desk.id));
            serving.inspect(|desk| desk.set_behavior(mood)).is_some()
        });
        wait_until("the node receives the replica's report", || {
            call(node, "/read", "q-6", "x");
            !find_missing_kinds(node).contains(&kind.to_owned())
        });
    }
    // Replicas that report limits need permits, of which one stays unused since its replica is unreachable.
    desks.iter().for_each(|desk| {
        desk.set_behavior(ReplicaBehavior::Well);
        desk.set_limit(Some("50"));
    });
    wait_until("a permit was wanted", || {
        call(node, "/read", "q-7", "x");
        !find_missing_kinds(node).contains(&"permit_wanted".to_owned())
    });
    desks.iter().for_each(|desk| desk.process.crash());
    wait_until("a permit was returned", || {
        call(node, "/read", "q-8", "x");
        !find_missing_kinds(node).contains(&"permit_returned".to_owned())
    });
    // A request of a workspace with a quota, to a service without replicas.
    engines.store.put("op/config", &few_requests(2));
    wait_until("tokens of a quota were returned", || {
        let lines = "X-Key: few-key\r\n";
        node.ask(&request("POST", "shop.example", "/empty", "q-9", lines, "x"));
        !find_missing_kinds(node).contains(&"quota_returned".to_owned())
    });
    // With workspaces in the configuration, a call to busy replicas without limits needs a slot.
    for desk in &desks {
        desk.set_limit(None);
        desk.set_load("4,0,4");
    }
    wait_until("a slot was released", || {
        let lines = "X-Key: free-key\r\n";
        node.ask(&request("POST", "shop.example", "/read", "q-10", lines, "x"));
        !find_missing_kinds(node).contains(&"send_slot_done".to_owned())
    });
    engines.store.put("op/config", "no configuration");
    peer.kill();
    wait_until("all kinds but the order to leave have occurred", || {
        find_missing_kinds(node) == ["leave_ordered"]
    });
    node.signal("TERM");
    wait_until("the order to leave has occurred", || {
        find_missing_kinds(node).is_empty()
    });
}
