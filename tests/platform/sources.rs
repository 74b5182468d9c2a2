//! Nodes follow the store and their peers, and keep serving when either is lost.

use crate::node::{GatewayNode, publish_config, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::{StandInStore, StoreBehavior};
use crate::wire::request;

fn served_by(node: &GatewayNode, id: &str) -> String {
    let answer = node.ask(&request("GET", "shop.example", "/read", id, "", ""));
    format!("{} {}", answer.status(), answer.text().trim())
}

fn start() -> (StandInStore, GatewayNode, StandInReplica) {
    let store = StandInStore::start();
    publish_config(&store, 1);
    let replica = StandInReplica::start(&store, "i-1", "desk", None, ReplicaBehavior::Well);
    let node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    (store, node, replica)
}

#[test]
fn a_node_is_ready_only_once_it_knows_routes_and_replicas() {
    let store = StandInStore::start();
    let node = GatewayNode::start(&store, "vm-1", &[]);
    wait_until("it answers", || node.readiness() == 503);
    let early = node.ask(&request("GET", "shop.example", "/read", "q-1", "", ""));
    assert_eq!(early.status(), 503);
    assert!(early.header("Retry-After").is_some(), "{early:?}");
    StandInReplica::start(&store, "i-1", "desk", None, ReplicaBehavior::Well);
    publish_config(&store, 1);
    node.wait_ready();
    assert_eq!(served_by(&node, "q-2"), "200 i-1");
}

#[test]
fn replicas_that_come_drain_and_go_are_followed() {
    let (store, node, first) = start();
    first.publish(&store, "desk", None, "draining");
    let second = StandInReplica::start(&store, "i-2", "desk", None, ReplicaBehavior::Well);
    wait_until("the new replica serves", || served_by(&node, "q-1") == "200 i-2");
    assert!(
        (0..6).all(|_| served_by(&node, "q-2") == "200 i-2"),
        "the draining replica is left"
    );
    first.publish(&store, "desk", None, "ready");
    store.remove(&format!("servers/{}", second.id));
    wait_until("the removed replica is left", || {
        (0..6).all(|_| served_by(&node, "q-3") == "200 i-1")
    });
}

#[test]
fn a_lost_store_only_delays_updates() {
    let (store, node, first) = start();
    store.set_behavior(StoreBehavior::Lost);
    wait_until("the loss is noticed", || {
        node.log().contains("event=store_read_failed")
    });
    assert_eq!(
        (served_by(&node, "q-1").as_str(), node.readiness()),
        ("200 i-1", 200)
    );
    StandInReplica::start(&store, "i-2", "desk", None, ReplicaBehavior::Well);
    store.remove(&format!("servers/{}", first.id));
    assert_eq!(served_by(&node, "q-1"), "200 i-1");
    store.set_behavior(StoreBehavior::Well);
    wait_until("the news are read", || served_by(&node, "q-2") == "200 i-2");
}

#[test]
fn a_dropped_history_causes_a_full_read() {
    let (store, node, first) = start();
    let before = store.ranges();
    store.set_behavior(StoreBehavior::Lost);
    wait_until("the loss is noticed", || {
        node.log().contains("event=store_read_failed")
    });
    StandInReplica::start(&store, "i-2", "desk", None, ReplicaBehavior::Well);
    store.remove(&format!("servers/{}", first.id));
    store.drop_history();
    store.set_behavior(StoreBehavior::Well);
    wait_until("the list is read anew", || store.ranges() > before);
    wait_until("only the new replica serves", || {
        (0..6).all(|_| served_by(&node, "q-1") == "200 i-2")
    });
}

#[test]
fn a_configuration_that_can_not_be_used_changes_nothing() {
    let (store, node, _replica) = start();
    for text in [
        "",
        "{",
        "{\"version\": 2, \"routes\": 7}",
        "[]",
        "{\"version\": \"two\"}",
    ] {
        store.put("op/config", text);
    }
    store.put("servers/i-9", "{\"service\": \"desk\"");
    wait_until("it is noticed", || {
        node.log().contains("event=replica_entry_unreadable")
    });
    assert_eq!(
        (served_by(&node, "q-1").as_str(), node.readiness()),
        ("200 i-1", 200)
    );
    publish_config(&store, 3);
    wait_until("the next good one is taken", || node.log().contains("revision=3"));
    assert_eq!(served_by(&node, "q-2"), "200 i-1");
}

#[test]
fn nodes_find_each_other_by_their_seeds_and_leave_out_the_dead() {
    let store = StandInStore::start();
    publish_config(&store, 1);
    StandInReplica::start(&store, "i-1", "desk", None, ReplicaBehavior::Well);
    let first = GatewayNode::start(&store, "vm-1", &[]);
    let second = GatewayNode::start(&store, "vm-2", &[&first]);
    let mut third = GatewayNode::start(&store, "vm-3", &[&first]);
    let nodes = [&first, &second];
    let ip = third.ip.to_string();
    wait_until("all name all", || {
        let names = [&first, &second, &third].map(|node| node.ip.to_string());
        nodes
            .iter()
            .all(|node| names.iter().all(|name| node.directory().contains(name)))
    });
    second.wait_ready();
    third.kill();
    wait_until("the dead one is left out", || {
        nodes.iter().all(|node| !node.directory().contains(&ip))
    });
    assert_eq!(served_by(&second, "q-1"), "200 i-1");
}

#[test]
fn a_node_without_the_store_learns_the_list_from_its_peers() {
    let store = StandInStore::start();
    publish_config(&store, 1);
    StandInReplica::start(&store, "i-1", "desk", None, ReplicaBehavior::Well);
    let first = GatewayNode::start(&store, "vm-1", &[]);
    first.wait_ready();
    store.set_behavior(StoreBehavior::Lost);
    let second = GatewayNode::start(&store, "vm-2", &[&first]);
    second.wait_ready();
    assert_eq!(served_by(&second, "q-1"), "200 i-1");
}

#[test]
fn connected_nodes_still_look_for_a_seed_that_was_down() {
    let store = StandInStore::start();
    publish_config(&store, 1);
    let mut away = GatewayNode::start(&store, "vm-1", &[]);
    away.kill();
    let second = GatewayNode::start(&store, "vm-2", &[&away]);
    let third = GatewayNode::start(&store, "vm-3", &[&away, &second]);
    wait_until("two nodes know each other", || {
        second.metric("vms{", "state=\"live\"") == 2.0 && third.metric("vms{", "state=\"live\"") == 2.0
    });
    away.spawn();
    wait_until("all nodes know each other", || {
        [&away, &second, &third]
            .iter()
            .all(|node| node.metric("vms{", "state=\"live\"") == 3.0)
    });
}
