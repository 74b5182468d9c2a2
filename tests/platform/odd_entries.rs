//! Malformed entries among those of the replicas: each is ignored, without effect on calls or other entries.

use std::time::Duration;

use dotterelspan::clock::Moment;
use dotterelspan::platform::{parse_config, parse_replica};
use proptest::prelude::*;
use serde_json::{Value, json};

use crate::config_fleet::{
    ConfigFleet, FIRST_VERSION, IN_FORCE_WITHIN, NEW_REPLICA, NEW_SERVICE, OLD_REPLICA, OLD_SERVICE, draft,
    served_by,
};
use crate::node::{GatewayNode, publish_config, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::request;

/// The depth of the most deeply nested entry.
const NESTING_DEPTH: usize = 200_000;

/// Calls made while a malformed entry is present.
const CALLS: usize = 30;

/// The time within which nodes must follow a change of the list.
const FOLLOWED_WITHIN: Duration = Duration::from_millis(2_000);

/// A valid entry of the service under test at an address where nothing listens, changed by `change`.
fn entry(change: impl FnOnce(&mut Value)) -> String {
    let mut entry = json!({
        "service": OLD_SERVICE, "address": "127.0.0.1:9", "zone": "a", "slots": 4, "state": "ready", "born": 1,
    });
    change(&mut entry);
    entry.to_string()
}

/// Malformed entries, and some valid ones whose replica can't be reached.
fn malformed_entries() -> Vec<(&'static str, String)> {
    vec![
        (
            "deep nesting",
            format!("{}{}", "[".repeat(NESTING_DEPTH), "]".repeat(NESTING_DEPTH)),
        ),
        (
            "a field that is nested deeply",
            entry(|entry| entry["zone"] = "a".into()).replace(
                "\"a\"",
                &format!(
                    "{}{}",
                    "{\"x\":".repeat(NESTING_DEPTH),
                    "1".to_owned() + &"}".repeat(NESTING_DEPTH)
                ),
            ),
        ),
        (
            "a port out of range",
            entry(|entry| entry["address"] = "127.0.0.1:70000".into()),
        ),
        (
            "a port of zero",
            entry(|entry| entry["address"] = "127.0.0.1:0".into()),
        ),
        (
            "an address of all networks",
            entry(|entry| entry["address"] = "0.0.0.0:8080".into()),
        ),
        (
            "a name for an address",
            entry(|entry| entry["address"] = "desk.example:8080".into()),
        ),
        (
            "slots over 32 bits",
            entry(|entry| entry["slots"] = json!(18_446_744_073_709_551_615_u64)),
        ),
        (
            "slots beyond all numbers",
            entry(|entry| entry["slots"] = 1.into()).replace(":1,\"state\"", ":1e999,\"state\""),
        ),
        (
            "the most slots of 32 bits",
            entry(|entry| entry["slots"] = json!(4_294_967_295_u32)),
        ),
        ("no slots", entry(|entry| entry["slots"] = 0.into())),
        ("slots below zero", entry(|entry| entry["slots"] = (-4).into())),
        (
            "a start beyond all numbers",
            entry(|entry| entry["born"] = json!(1e300)),
        ),
        (
            "a start in the far future",
            entry(|entry| entry["born"] = json!(u64::MAX)),
        ),
        (
            "an endless zone",
            entry(|entry| entry["zone"] = "z".repeat(300_000).into()),
        ),
        (
            "a zone with a line break",
            entry(|entry| entry["zone"] = "a\nevent=ended".into()),
        ),
        (
            "a service that nobody names",
            entry(|entry| entry["service"] = "s".repeat(100_000).into()),
        ),
        (
            "an unknown state",
            entry(|entry| entry["state"] = "sleeping".into()),
        ),
        ("nothing", String::new()),
        ("a number", "7".to_owned()),
        ("nothing else that is odd", entry(|_| ())),
    ]
}

/// The number of calls, out of [`CALLS`], that the running replica did not serve.
fn failed_calls(node: &GatewayNode) -> usize {
    (0..CALLS).filter(|_| served_by(node) != OLD_REPLICA).count()
}

#[test]
fn a_malformed_entry_fails_no_call() {
    let fleet = ConfigFleet::start(1);
    let node = &fleet.nodes[0];
    let mut failures = Vec::new();
    for (number, (what, text)) in malformed_entries().into_iter().enumerate() {
        let key = format!("servers/odd-{number}");
        fleet.store.put(&key, &text);
        // By now the node has read the entry.
        std::thread::sleep(Duration::from_millis(300));
        let failed = failed_calls(node);
        if failed > 0 {
            failures.push(format!("{what}: {failed} of {CALLS} calls failed"));
        }
        fleet.store.remove(&key);
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn many_malformed_entries_fail_no_call_and_block_no_updates() {
    let mut fleet = ConfigFleet::start(3);
    for (number, (_, text)) in malformed_entries().into_iter().enumerate() {
        fleet.store.put(&format!("servers/odd-{number}"), &text);
    }
    std::thread::sleep(Duration::from_millis(300));
    let failed: Vec<usize> = fleet.nodes.iter().map(failed_calls).collect();
    assert_eq!(failed, [0; 3], "calls that failed at each node");
    fleet.publish(&draft(FIRST_VERSION + 1, NEW_SERVICE));
    let taken = fleet.measure_until_served(&[0, 1, 2], NEW_REPLICA, IN_FORCE_WITHIN);
    assert!(taken.is_some(), "the configuration is not followed");
    let later = StandInReplica::start(&fleet.store, "i-later", NEW_SERVICE, None, ReplicaBehavior::Well);
    fleet.store.remove(&format!("servers/{NEW_REPLICA}"));
    let taken = fleet.measure_until_served(&[0, 1, 2], &later.id, FOLLOWED_WITHIN + IN_FORCE_WITHIN);
    assert!(taken.is_some(), "the list is not followed");
    fleet.nodes[2].kill();
    fleet.nodes[2].spawn();
    fleet.nodes[2].wait_ready();
    // The log is written a moment after the event.
    wait_until("the malformed entries are in the log", || {
        fleet.nodes[2].log().contains("event=replica_entry_unreadable")
    });
    for node in &mut fleet.nodes {
        assert!(!node.log().contains("panicked"), "{}", node.log_path().display());
        assert!(!node.has_left(), "a node ended");
    }
}

#[test]
fn entries_are_read_past_keys_that_need_escapes_and_over_more_pages_than_one() {
    let store = StandInStore::start();
    store.set_page_size(2);
    publish_config(&store, 1);
    for key in [
        "servers/a&after=z",
        "servers/b c",
        "servers/b d",
        "servers/b e",
        "servers/c%2F",
        "servers/d#e",
        "servers/f\u{e9}",
        "servers/g+h",
    ] {
        store.put(key, "nothing");
    }
    let replicas: Vec<StandInReplica> = (0..9)
        .map(|number| {
            let id = format!("i-{number}&x=%20");
            StandInReplica::start(&store, &id, "desk", None, ReplicaBehavior::Well)
        })
        .collect();
    let node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    wait_until("all replicas are known", || {
        node.metric("replicas", "state=\"listed\"") == replicas.len() as f64
    });
    let answer = node.ask(&request("GET", "shop.example", "/read", "q-1", "", ""));
    assert_eq!(answer.status(), 200, "{answer:?}");
}

/// Malformed and extreme values of the load header.
const MALFORMED_LOADS: [&str; 7] = [
    "4294967295,4294967295,4294967295",
    "99999999999999999999,1,4",
    "-1,0,4",
    "0,0,0",
    "1,0,4,4294967295",
    "1,0,4,0",
    "NaN,,",
];

#[test]
fn malformed_load_reports_fail_no_call() {
    let fleet = ConfigFleet::start(1);
    let node = &fleet.nodes[0];
    let mut failures = Vec::new();
    for load in MALFORMED_LOADS {
        fleet.replicas[0].set_load(load);
        let failed = failed_calls(node);
        if failed > 0 {
            failures.push(format!("{load}: {failed} of {CALLS} calls failed"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    assert!(!node.log().contains("panicked"), "{}", node.log_path().display());
}

#[test]
fn a_malformed_entry_under_a_replicas_own_name_lasts_until_the_replica_writes_again() {
    let fleet = ConfigFleet::start(1);
    let node = &fleet.nodes[0];
    for text in [
        entry(|entry| entry["born"] = json!(u64::MAX)),
        entry(|entry| entry["slots"] = 0.into()),
        "nothing".to_owned(),
    ] {
        fleet.store.put(&format!("servers/{OLD_REPLICA}"), &text);
        std::thread::sleep(FOLLOWED_WITHIN);
        fleet.replicas[0].publish(&fleet.store, OLD_SERVICE, None, "ready");
        wait_until("the replica serves again", || served_by(node) == OLD_REPLICA);
    }
}

/// The present for the parser of entries, in milliseconds since the Unix epoch.
const NOW_EPOCH_MS: u64 = 1_796_000_000_000;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn contents_of_likely_parts_cause_no_panic(
        parts in proptest::collection::vec("(\\{|\\}|\\[|\\]|,|\"service\":|\"address\":|\"zone\":|\"slots\":|\"state\":|\"born\":|\"ready\"|\"10.0.0.1:80\"|\"a\"|1e999|-3|4294967296|null)", 0..30)
    ) {
        let text = parts.concat();
        let _ = parse_replica("i-1", text.as_bytes(), NOW_EPOCH_MS, Moment(0));
        let _ = parse_config(&text);
    }

    #[test]
    fn an_accepted_entry_has_values_within_bounds(
        slots in any::<f64>(), born in any::<u64>(), port in any::<u16>(), zone in "\\PC{0,300}"
    ) {
        let entry = json!({
            "service": "desk", "address": format!("10.0.0.1:{port}"), "zone": zone, "slots": slots, "state": "ready",
            "born": born,
        });
        if let Ok(record) = parse_replica("i-1", entry.to_string().as_bytes(), NOW_EPOCH_MS, Moment(0)) {
            prop_assert!((1..=65_536).contains(&record.slots) && record.address.port() > 0);
            prop_assert!(record.started_epoch_ms < NOW_EPOCH_MS * 2 && record.zone.len() <= 200);
        }
    }
}
