//! API keys of workspaces: who is refused, what replicas are told, and that no key is passed on or logged.

use serde_json::{Value, json};

use crate::fixture::{Engines, start_desk};
use crate::node::{GatewayNode, config_document, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{Message, request};

/// The key of the workspace `huka`.
pub const KEY: &str = "banf-7f3a9e-key";

/// A key that no configuration lists.
const UNKNOWN_KEY: &str = "zzzz-never-listed-key";

/// The tests' configuration with two workspaces, and with the routes of `/open` and `/stream/open` for anonymous
/// requests.
pub fn keyed_document(version: u64, keys: &[&str]) -> Value {
    let mut document = config_document(version);
    document["tenants"] = json!([
        { "name": "huka", "apiKeys": keys, "priority": 1 },
        { "name": "other", "apiKeys": ["k9m6-other-key"] },
    ]);
    let routes = document["routes"].as_array_mut().expect("a list of routes");
    let mut open = routes[0].clone();
    open["name"] = "open".into();
    open["pathPrefix"] = "/open".into();
    open["allowAnonymous"] = true.into();
    routes.push(open);
    document
}

/// Publishes a configuration with workspaces and waits until a node refuses requests without a key.
pub fn publish_keys(store: &StandInStore, node: &GatewayNode, version: u64, keys: &[&str]) {
    store.put("op/config", &keyed_document(version, keys).to_string());
    wait_until("the configuration with workspaces is in force", || {
        read_with(node, "wait", "/read", "").status() == 401
    });
}

pub fn read_with(node: &GatewayNode, id: &str, path: &str, lines: &str) -> Message {
    node.ask(&request("GET", "shop.example", path, id, lines, ""))
}

pub fn key_line(key: &str) -> String {
    format!("X-Key: {key}\r\n")
}

fn seen(replicas: &[&StandInReplica], id: &str) -> Vec<Message> {
    replicas.iter().flat_map(|replica| replica.seen(id)).collect()
}

/// Asserts that no key is in what the replicas got under an id, and that each send names the workspace.
fn assert_named(sends: &[Message], workspace: Option<&str>, log: &str) {
    assert!(!sends.is_empty(), "nothing was sent; {log}");
    for sent in sends {
        let names: Vec<&str> = sent
            .lines
            .iter()
            .filter(|(name, _)| name.eq_ignore_ascii_case("X-Tenant-Id"))
            .map(|(_, value)| value.as_str())
            .collect();
        assert_eq!(names, workspace.into_iter().collect::<Vec<_>>(), "{sent:?}");
        let text = format!("{sent:?}");
        assert!(!text.contains("X-Key") && !text.contains(KEY), "{text}");
    }
}

/// Guards against requests that run without a key of a workspace, and against answers and log lines that
/// repeat a key.
#[test]
fn only_requests_with_one_known_key_run_and_no_key_is_repeated() {
    let (store, node, replicas) = start_desk([ReplicaBehavior::Well, ReplicaBehavior::Well]);
    publish_keys(&store, &node, 2, &[KEY]);
    let refused = [
        ("missing", String::new()),
        ("unknown", key_line(UNKNOWN_KEY)),
        ("empty", key_line("")),
        ("doubled", key_line(KEY).repeat(2)),
        ("mixed", format!("{}x-key: {UNKNOWN_KEY}\r\n", key_line(KEY))),
        ("prefixed", key_line(&format!("Bearer {KEY}"))),
    ];
    for (id, lines) in &refused {
        let answer = read_with(&node, id, "/read", lines);
        assert_eq!(answer.status(), 401, "{id}: {}", answer.text());
        assert_eq!(answer.header("Retry-After"), None, "{id}");
        let text = format!("{answer:?} {}", answer.text());
        assert!(!text.contains(KEY) && !text.contains(UNKNOWN_KEY), "{text}");
        assert!(text.contains("1017"), "{text}");
        let sent: usize = replicas.iter().map(|replica| replica.seen(id).len()).sum();
        assert_eq!(sent, 0, "{id} was sent");
    }
    assert_eq!(read_with(&node, "known", "/read", &key_line(KEY)).status(), 200);
    wait_until("the served request is logged with its workspace", || {
        node.log().contains("event=routed request=known workspace=huka ")
    });
    let told = [node.log(), node.metrics()].concat();
    assert!(!told.contains(KEY) && !told.contains(UNKNOWN_KEY), "{told}");
}

/// Guards against configurations whose error text shows a key that is written in the wrong place.
#[test]
fn an_unreadable_configuration_is_refused_without_its_keys() {
    let (store, node, _replicas) = start_desk([ReplicaBehavior::Well, ReplicaBehavior::Well]);
    let misplaced = [json!(KEY), json!([[KEY]]), json!({ KEY: 1 })];
    for (version, keys) in (2..).zip(misplaced) {
        let mut document = keyed_document(version, &[]);
        document["tenants"][0]["apiKeys"] = keys;
        store.put("op/config", &document.to_string());
        let refused = format!("event=register_refused revision={version} ");
        wait_until("the configuration is refused", || node.log().contains(&refused));
    }
    let log = node.log();
    assert!(!log.contains(KEY), "{log}");
}

/// Guards against a key that reaches a replica, and against a workspace that a caller names itself.
#[test]
fn replicas_get_the_workspace_and_never_a_key() {
    let (store, node, replicas) = start_desk([ReplicaBehavior::NotRun, ReplicaBehavior::Well]);
    publish_keys(&store, &node, 2, &[KEY]);
    let all: Vec<&StandInReplica> = replicas.iter().collect();
    let forged = "x-tenant-id: forged\r\nX-Tenant-Id: other\r\nConnection: X-Key, X-Tenant-Id\r\n";
    let mut sends = 0;
    for number in 0..12 {
        // Either replica may be preferred, so each of them refuses for a while.
        let (refusing, serving) = if number < 6 { (0, 1) } else { (1, 0) };
        replicas[refusing].set_behavior(ReplicaBehavior::NotRun);
        replicas[serving].set_behavior(ReplicaBehavior::Well);
        let id = format!("q-{number}");
        let path = if number % 2 == 0 { "/read" } else { "/book" };
        let answer = read_with(&node, &id, path, &[&key_line(KEY), forged].concat());
        assert_eq!(answer.status(), 200, "{}", node.log());
        let seen = seen(&all, &id);
        assert_named(&seen, Some("huka"), &node.log());
        sends += seen.len();
    }
    assert!(sends > 12, "no request was sent twice");
    let anonymous = [
        ("open-known", key_line(KEY), Some("huka")),
        ("open-unknown", key_line(UNKNOWN_KEY), None),
        ("open-none", String::new(), None),
    ];
    for (id, lines, workspace) in anonymous {
        let answer = read_with(&node, id, "/open", &[&lines, forged].concat());
        assert_eq!(answer.status(), 200, "{}", node.log());
        assert_named(&seen(&all, id), workspace, &node.log());
    }
}

/// Guards against prefills, decodes and resumed streams that carry a key or no workspace.
#[test]
fn engines_get_the_workspace_on_every_send() {
    let engines = Engines::start();
    publish_keys(&engines.store, &engines.node, 2, &[KEY]);
    engines.decodes[0].set_behavior(ReplicaBehavior::BreaksStream);
    let lines = [&key_line(KEY), "X-Token-Count: 400,50\r\nX-Tenant-Id: forged\r\n"].concat();
    for number in 0..4 {
        let id = format!("s-{number}");
        let text = request("POST", "shop.example", "/stream/resume", &id, &lines, "tell");
        let answer = engines.node.ask(&text);
        assert_eq!(answer.event_ids(), [1, 2, 3, 4, 5], "{}", engines.node.log());
        assert_named(&seen(&engines.all(), &id), Some("huka"), &engines.node.log());
    }
    wait_until("a prefill and a resumption are logged", || {
        let log = engines.node.log();
        log.contains("event=resumed") && log.contains("event=prefilled")
    });
    assert!(!engines.node.log().contains(KEY), "{}", engines.node.log());
}

/// Guards against changes for deployments without workspaces, whose callers may use these headers.
#[test]
fn without_workspaces_both_headers_are_forwarded_like_any_other() {
    let (_store, node, replicas) = start_desk([ReplicaBehavior::Well, ReplicaBehavior::Well]);
    let lines = [&key_line(KEY), "X-Tenant-Id: mine\r\n"].concat();
    assert_eq!(read_with(&node, "q-1", "/read", &lines).status(), 200);
    let sends: Vec<Message> = replicas.iter().flat_map(|replica| replica.seen("q-1")).collect();
    assert_eq!(sends.len(), 1);
    assert_eq!(sends[0].header("X-Key"), Some(KEY));
    assert_eq!(sends[0].header("X-Tenant-Id"), Some("mine"));
}
