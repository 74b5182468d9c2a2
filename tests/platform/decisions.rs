//! Each kind of event that a gateway's controllers react to is told by somebody, on real processes.

use crate::fixture::Engines;
use crate::node::{GatewayNode, wait_until};
use crate::replica::{CRASH_MARKER, ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::request;

/// Kinds that the controllers of a gateway hear and nobody has to tell there, with the reason.
const NOT_NEEDED: [(&str, &str); 2] = [
    (
        "vms_listed",
        "no VM list is published; VMs find each other over seeds",
    ),
    (
        "load_reported",
        "read by a baseline of the rig only; loads reach the dispatch book with each answer",
    ),
];

/// Kinds that some controller hears and that were never told so far.
fn find_untold(node: &GatewayNode) -> Vec<String> {
    let metrics = node.metrics();
    let heard = metrics
        .lines()
        .filter(|line| line.starts_with("control_events") && line.contains("heard=\"true\""));
    let untold = heard.filter(|line| line.ends_with(" 0"));
    let kinds = untold.filter_map(|line| line.split("kind=\"").nth(1)?.split('"').next());
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

/// A desk with three replicas beside the engines.
fn start_desks(store: &StandInStore) -> [StandInReplica; 3] {
    ["i-1", "i-2", "i-3"].map(|id| StandInReplica::start(store, id, "desk", None, ReplicaBehavior::Well))
}

#[test]
fn every_decision_of_a_gateway_is_fed() {
    let engines = Engines::start();
    let desks = start_desks(&engines.store);
    let node = &engines.node;
    assert!(
        !find_untold(node).is_empty(),
        "a node that has just begun was told little"
    );
    wait_until("it knows the desks", || call(node, "/read", "q-0", "x") == 200);
    let mut peer = GatewayNode::start(&engines.store, "vm-2", &[node]);
    peer.wait_ready();
    assert_eq!(call(node, "/stream", "q-1", "a prompt"), 200);
    // A replica that ends under a call, whose repeat is a careful run and comes to its end.
    desks
        .iter()
        .for_each(|desk| desk.set_behavior(ReplicaBehavior::Slow));
    let address = node.callers();
    let text = request("POST", "shop.example", "/read", "q-2", "", "innocent");
    let running = std::thread::spawn(move || crate::wire::exchange(address, &text));
    let has_it = |desk: &&StandInReplica| !desk.seen("q-2").is_empty();
    wait_until("a desk runs it", || desks.iter().any(|desk| has_it(&desk)));
    desks.iter().filter(has_it).for_each(|desk| desk.life.end());
    running.join().expect("the caller's thread").expect("an answer");
    desks
        .iter()
        .for_each(|desk| desk.set_behavior(ReplicaBehavior::Well));
    wait_until("the desks are back", || {
        call(node, "/read", "q-3", "innocent") == 200
    });
    call(node, "/book", "q-4", CRASH_MARKER);
    for (mood, kind) in [
        (ReplicaBehavior::Misdirected, "replica_replaced"),
        (ReplicaBehavior::Leaving, "replica_leaving"),
    ] {
        wait_until("a desk serves", || {
            let answer = node.ask(&request("POST", "shop.example", "/read", "q-5", "", "x"));
            // It is asked next, too.
            let serving = desks.iter().find(|desk| answer.text().starts_with(&desk.id));
            serving.inspect(|desk| desk.set_behavior(mood)).is_some()
        });
        wait_until("a replica said so", || {
            call(node, "/read", "q-6", "x");
            !find_untold(node).contains(&kind.to_owned())
        });
    }
    // Desks that name limits need permits, of which one is not used since its desk can't be reached.
    desks.iter().for_each(|desk| {
        desk.set_behavior(ReplicaBehavior::Well);
        desk.set_limit(Some("50"));
    });
    wait_until("a permit was wanted", || {
        call(node, "/read", "q-7", "x");
        !find_untold(node).contains(&"permit_wanted".to_owned())
    });
    desks.iter().for_each(|desk| desk.life.end());
    wait_until("a permit was given back", || {
        call(node, "/read", "q-8", "x");
        !find_untold(node).contains(&"permit_returned".to_owned())
    });
    engines.store.put("op/config", "no configuration");
    peer.kill();
    wait_until("all but its own leaving was told", || {
        find_untold(node) == ["leave_ordered"]
    });
    node.signal("TERM");
    wait_until("its leaving was told", || find_untold(node).is_empty());
}
