//! Faulty configurations are refused without any effect on callers, and valid ones are accepted whatever
//! their form.

use std::time::Duration;

use serde_json::{Value, json};
use stand_ins::proxy::RouteMode;

use crate::config_fleet::{
    ConfigFleet, FIRST_VERSION, IN_FORCE_WITHIN, NEW_REPLICA, NEW_SERVICE, OLD_REPLICA, OLD_SERVICE,
    add_route, add_service, answer_for, draft, moved_route, served_by,
};
use crate::node::wait_until;
use crate::replica::{ReplicaBehavior, StandInReplica};

/// How long responses are checked after content that must change nothing.
const OBSERVATION_SPAN: Duration = Duration::from_millis(400);

/// The depth of the most deeply nested content.
const NESTING_DEPTH: usize = 200_000;

/// A valid configuration, changed by `change`.
fn draft_with(version: u64, change: impl FnOnce(&mut Value)) -> String {
    let mut document = draft(version, NEW_SERVICE);
    change(&mut document);
    document.to_string()
}

/// Contents with a readable version that must be refused.
fn faulty_contents() -> Vec<(&'static str, String)> {
    vec![
        ("nothing but a number", json!({ "version": 900 }).to_string()),
        (
            "routes that are a text",
            draft_with(901, |document| document["routes"] = "none".into()),
        ),
        (
            "no routes",
            draft_with(902, |document| document["routes"] = json!([])),
        ),
        (
            "the largest version with a broken route",
            draft_with(u64::MAX, |document| {
                moved_route(document)["timeoutMs"] = "soon".into()
            }),
        ),
        (
            "a route to a service that is not listed",
            draft_with(903, |document| {
                moved_route(document)["service"] = "unlisted".into()
            }),
        ),
        (
            "a route without a service",
            draft_with(904, |document| moved_route(document)["service"] = Value::Null),
        ),
        (
            "a split with a weight below zero",
            draft_with(905, |document| {
                moved_route(document)["trafficSplit"] = json!([
                    { "service": NEW_SERVICE, "weight": -1 },
                    { "service": OLD_SERVICE, "weight": 2 },
                ]);
            }),
        ),
        (
            "a split whose weights are all zero",
            draft_with(906, |document| {
                moved_route(document)["trafficSplit"] = json!([{ "service": NEW_SERVICE, "weight": 0 }]);
            }),
        ),
        (
            "a split to a service that is not listed",
            draft_with(907, |document| {
                moved_route(document)["trafficSplit"] = json!([{ "service": "unlisted", "weight": 1 }]);
            }),
        ),
        (
            "a timeout of zero",
            draft_with(908, |document| moved_route(document)["timeoutMs"] = 0.into()),
        ),
        (
            "a timeout below zero",
            draft_with(909, |document| moved_route(document)["timeoutMs"] = (-5).into()),
        ),
        (
            "the same route twice with two services",
            draft_with(910, |document| {
                add_route(document, "again", "/moved", OLD_SERVICE)
            }),
        ),
        (
            "a route without a host",
            draft_with(911, |document| moved_route(document)["hostname"] = "".into()),
        ),
        (
            "a prefix that no path begins with",
            draft_with(912, |document| {
                moved_route(document)["pathPrefix"] = "moved".into()
            }),
        ),
        (
            "a limit of zero on heads",
            draft_with(913, |document| document["limits"]["maxHeaderBytes"] = 0.into()),
        ),
        (
            "engines without memory",
            draft_with(914, |document| {
                document["services"][2]["engine"]["kvTokens"] = 0.into()
            }),
        ),
        (
            "a route whose name ends a line of the log",
            draft_with(916, |document| {
                moved_route(document)["name"] = "moved\nevent=ended request=q outcome=served".into();
            }),
        ),
        (
            "two different services of one name",
            draft_with(915, |document| {
                let services = document["services"].as_array_mut().expect("a list");
                services.push(json!({ "name": NEW_SERVICE, "healthCheck": "/other" }));
            }),
        ),
    ]
}

/// Contents whose version can't be read.
fn unreadable_contents() -> Vec<(&'static str, String)> {
    vec![
        ("no JSON", "version 950".to_owned()),
        ("an empty text", String::new()),
        ("a list", "[950]".to_owned()),
        (
            "a version that is a text",
            draft_with(0, |document| document["version"] = "950".into()),
        ),
        (
            "a version below zero",
            draft_with(0, |document| document["version"] = (-950).into()),
        ),
        (
            "deep nesting",
            format!("{{\"version\":950,\"routes\":{}", "[".repeat(NESTING_DEPTH)),
        ),
    ]
}

/// Writes content over the first version, then the next valid version. Returns a description of the harm if
/// callers got unexpected responses or the next version was late.
fn find_harm((what, text): (&str, String)) -> Option<String> {
    let fleet = ConfigFleet::start(2);
    fleet.write(&text);
    let others = fleet.answers_other_than(OLD_REPLICA, OBSERVATION_SPAN);
    fleet.publish(&draft(FIRST_VERSION + 1, NEW_SERVICE));
    let taken = fleet.measure_until_served(&[0, 1], NEW_REPLICA, IN_FORCE_WITHIN);
    (!others.is_empty() || taken.is_none())
        .then(|| format!("{what}: callers got {others:?}, the next version in force: {taken:?}"))
}

#[test]
fn content_with_faults_changes_nothing_and_bars_no_later_version() {
    let harms: Vec<String> = faulty_contents().into_iter().filter_map(find_harm).collect();
    assert!(harms.is_empty(), "{}", harms.join("\n"));
}

#[test]
fn content_that_can_not_be_read_changes_nothing_and_bars_no_later_version() {
    let harms: Vec<String> = unreadable_contents().into_iter().filter_map(find_harm).collect();
    assert!(harms.is_empty(), "{}", harms.join("\n"));
}

/// Valid versions with unusual forms of numbers and fields.
fn unusual_forms() -> Vec<(&'static str, String)> {
    let next = FIRST_VERSION + 1;
    vec![
        (
            "a timeout with a fraction",
            draft_with(next, |document| {
                moved_route(document)["timeoutMs"] = json!(6000.0)
            }),
        ),
        (
            "a version with a fraction",
            draft_with(next, |document| document["version"] = json!(8.0)),
        ),
        (
            "a count over 32 bits",
            draft_with(next, |document| {
                document["services"][0]["maxConnections"] = json!(5_000_000_000_u64)
            }),
        ),
        (
            "a small weight",
            draft_with(next, |document| {
                moved_route(document)["service"] = Value::Null;
                moved_route(document)["trafficSplit"] = json!([{ "service": NEW_SERVICE, "weight": 0.0004 }]);
            }),
        ),
        (
            "a share that is drained",
            draft_with(next, |document| {
                moved_route(document)["trafficSplit"] = json!([
                    { "service": NEW_SERVICE, "weight": 100 },
                    { "service": OLD_SERVICE, "weight": 0 },
                ]);
            }),
        ),
        (
            "fields that are not known",
            draft_with(next, |document| {
                document["region"] = json!({ "name": "x", "parts": [1, 2] });
                moved_route(document)["mirror"] = json!([{ "share": 0.5 }]);
                document["services"][0]["protocol"] = "h1".into();
            }),
        ),
        (
            "optional fields without a value",
            draft_with(next, |document| {
                for field in ["trafficSplit", "attempts", "priority", "resumable", "targetGapMs"] {
                    moved_route(document)[field] = Value::Null;
                }
                document["services"][0]["engine"] = Value::Null;
                document["limits"]["idleTimeoutMs"] = Value::Null;
            }),
        ),
        (
            "the same route twice with the same rules",
            draft_with(next, |document| {
                add_route(document, "again", "/moved", NEW_SERVICE)
            }),
        ),
        (
            "a kind that is not known",
            draft_with(next, |document| moved_route(document)["kind"] = "someday".into()),
        ),
        (
            "figures beyond all use",
            draft_with(next, |document| {
                for field in [
                    "timeoutMs",
                    "targetLatencyMs",
                    "targetGapMs",
                    "attempts",
                    "priority",
                ] {
                    moved_route(document)[field] = json!(1e300);
                }
                for field in [
                    "maxHeaderBytes",
                    "maxBodyBytes",
                    "headerTimeoutMs",
                    "idleTimeoutMs",
                ] {
                    document["limits"][field] = json!(1e300);
                }
                for field in ["kvTokens", "kvTtlS", "stageSwitchS", "stride"] {
                    document["services"][2]["engine"][field] = json!(1e300);
                }
            }),
        ),
        (
            "no limits",
            draft_with(next, |document| document["limits"] = Value::Null),
        ),
    ]
}

#[test]
fn a_valid_version_is_taken_whatever_the_form_of_its_numbers_and_fields() {
    let find_unaccepted = |(what, text): (&'static str, String)| {
        let fleet = ConfigFleet::start(1);
        fleet.write(&text);
        let taken = fleet.measure_until_served(&[0], NEW_REPLICA, IN_FORCE_WITHIN);
        taken.is_none().then_some(what)
    };
    let find_unaccepted: Vec<&str> = unusual_forms().into_iter().filter_map(find_unaccepted).collect();
    assert!(find_unaccepted.is_empty(), "never in force: {find_unaccepted:?}");
}

#[test]
fn a_version_that_first_came_with_faults_is_taken_once_it_comes_without() {
    let fleet = ConfigFleet::start(2);
    let next = FIRST_VERSION + 1;
    fleet.write(&draft_with(next, |document| {
        moved_route(document)["timeoutMs"] = 0.into()
    }));
    assert_eq!(
        fleet.answers_other_than(OLD_REPLICA, OBSERVATION_SPAN),
        Vec::<String>::new()
    );
    fleet.publish(&draft(next, NEW_SERVICE));
    let taken = fleet.measure_until_served(&[0, 1], NEW_REPLICA, IN_FORCE_WITHIN);
    assert!(taken.is_some(), "never in force");
}

#[test]
fn an_older_version_written_again_and_a_removal_change_nothing() {
    let mut fleet = ConfigFleet::start(3);
    fleet.publish(&draft(FIRST_VERSION + 1, NEW_SERVICE));
    fleet.wait_served_by(NEW_REPLICA);
    fleet.publish(&draft(FIRST_VERSION, OLD_SERVICE));
    assert_eq!(
        fleet.answers_other_than(NEW_REPLICA, OBSERVATION_SPAN),
        Vec::<String>::new()
    );
    fleet.nodes[2].kill();
    fleet.nodes[2].spawn();
    fleet.nodes[2].wait_ready();
    assert_eq!(
        fleet.answers_other_than(NEW_REPLICA, OBSERVATION_SPAN),
        Vec::<String>::new()
    );
    fleet.store.remove("op/config");
    assert_eq!(
        fleet.answers_other_than(NEW_REPLICA, OBSERVATION_SPAN),
        Vec::<String>::new()
    );
    fleet.publish(&draft(FIRST_VERSION + 2, OLD_SERVICE));
    assert!(
        fleet
            .measure_until_served(&[0, 1, 2], OLD_REPLICA, IN_FORCE_WITHIN)
            .is_some()
    );
}

#[test]
fn all_nodes_come_to_hold_the_same_content_of_a_version() {
    let mut fleet = ConfigFleet::start(3);
    // Another writer wrote other content under the version in force, and a starting node reads only that
    // content.
    fleet.publish(&draft(FIRST_VERSION, NEW_SERVICE));
    fleet.nodes[2].kill();
    fleet.nodes[..2].iter().for_each(|node| node.signal("STOP"));
    fleet.nodes[2].spawn();
    fleet.nodes[2].wait_ready();
    fleet.nodes[..2].iter().for_each(|node| node.signal("CONT"));
    wait_until("all nodes agree", || {
        let answers: Vec<String> = fleet.nodes.iter().map(served_by).collect();
        answers.iter().all(|answer| *answer == answers[0])
    });
    std::thread::sleep(OBSERVATION_SPAN);
    let answers: Vec<String> = fleet.nodes.iter().map(served_by).collect();
    assert!(answers.iter().all(|answer| *answer == answers[0]), "{answers:?}");
}

#[test]
fn a_node_that_lost_the_store_follows_its_peers_to_later_content_of_a_version() {
    let fleet = ConfigFleet::start(3);
    fleet.proxies[2].set_mode(RouteMode::Cut, 0);
    fleet.publish(&draft(FIRST_VERSION, NEW_SERVICE));
    let taken = fleet.measure_until_served(&[0, 1, 2], NEW_REPLICA, IN_FORCE_WITHIN);
    assert!(taken.is_some(), "two contents of one version are in force");
}

#[test]
fn added_routes_are_served_once_their_version_is_in_force() {
    let fleet = ConfigFleet::start(2);
    let mut document = draft(FIRST_VERSION + 1, OLD_SERVICE);
    add_service(&mut document, "late");
    add_route(&mut document, "longer", "/moved/longer/", NEW_SERVICE);
    add_route(&mut document, "late", "/late/", "late");
    add_route(&mut document, "other", "/other/", NEW_SERVICE);
    moved_route(&mut document)["hostname"] = "Other.Example".into();
    fleet.publish(&document);
    let all = |host: &str, path: &str| -> Vec<String> {
        fleet
            .nodes
            .iter()
            .map(|node| answer_for(node, host, path))
            .collect()
    };
    wait_until("the longer prefix counts", || {
        all("shop.example", "/moved/longer/x") == [NEW_REPLICA; 2]
    });
    assert_eq!(all("shop.example", "/moved/x"), [OLD_REPLICA; 2]);
    assert_eq!(all("other.example", "/other/x"), [NEW_REPLICA; 2]);
    assert_eq!(all("OTHER.EXAMPLE", "/other/x"), [NEW_REPLICA; 2]);
    assert_eq!(
        all("shop.example", "/late/x"),
        ["503", "503"],
        "it has no replica yet"
    );
    StandInReplica::start(&fleet.store, "i-late", "late", None, ReplicaBehavior::Well);
    wait_until("its first replica serves", || {
        all("shop.example", "/late/x") == ["i-late"; 2]
    });
}

#[test]
fn what_is_refused_is_counted_with_its_reason() {
    let fleet = ConfigFleet::start(1);
    let node = &fleet.nodes[0];
    fleet.write(&draft_with(20, |document| {
        moved_route(document)["service"] = "unlisted".into()
    }));
    wait_until("it is counted", || {
        node.metric("config_offers", "fate=\"refused\"") == 1.0
    });
    fleet.write("no configuration");
    wait_until("it is counted", || {
        node.metric("config_offers", "fate=\"unreadable\"") == 1.0
    });
    assert_eq!(node.metric("config_revision", ""), FIRST_VERSION as f64);
    assert_eq!(node.metric("config_newest_offered", ""), 20.0);
    // Log lines are written some time after the event is counted.
    wait_until("a line says so", || {
        node.log().contains("event=register_unreadable in_force=7 ")
    });
    let log = node.log();
    let line = log.lines().find(|line| line.contains("event=register_refused"));
    let line = line.expect("a line says so");
    assert!(
        line.contains("unlisted") && line.contains("revision=20 in_force=7 "),
        "{line}"
    );
}
