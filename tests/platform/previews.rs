//! `dotterelspan where` asks a running gateway where a request would go, and changes nothing there.

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Output, Stdio};

use serde_json::{Value, json};

use crate::fixture::Engines;
use crate::node::{GatewayNode, config_document, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;

const KEY: &str = "a-secret-key";

/// Runs the command with a key on standard input, if any.
fn run(address: SocketAddr, arguments: &[&str], key: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dotterelspan"));
    command.args(["where", &address.to_string(), "--host", "shop.example"]);
    command.args(arguments);
    if key.is_some() {
        command.args(["--key-file", "-"]);
    }
    let streams = command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = streams.spawn().expect("the program of this build can be started");
    let mut input = child.stdin.take().expect("a pipe");
    input
        .write_all(key.unwrap_or_default().as_bytes())
        .expect("it reads");
    drop(input);
    child.wait_with_output().expect("it ends")
}

fn json_of(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|error| panic!("{error}: {output:?}"))
}

/// Guards against an answer that differs from what a call would get, and against a question that is sent,
/// counted or that reveals the key.
#[test]
fn a_question_names_the_replica_or_the_refusal_and_sends_nothing() {
    let store = StandInStore::start();
    let mut document = config_document(1);
    document["tenants"] = json!([{
        "name": "acme", "apiKeys": [KEY], "priority": 2, "unit": "calls", "ratePerS": 50, "burst": 10,
    }]);
    store.put("op/config", &document.to_string());
    let replica = StandInReplica::start(&store, "i-1", "desk", None, ReplicaBehavior::Well);
    let node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    let ask = |arguments: &[&str], key| run(node.readiness_address(), arguments, key);

    let served = ask(&["--path", "/read", "--json"], Some(KEY));
    let report = json_of(&served);
    assert_eq!(served.status.code(), Some(0), "{report}");
    assert_eq!(
        (&report["replica"], &report["refusal"]),
        (&json!("i-1"), &Value::Null)
    );
    assert_eq!(
        (&report["route"]["name"], &report["route"]["rank"]),
        (&json!("read"), &json!(33))
    );
    let workspace = &report["workspace"];
    assert_eq!(
        (&workspace["name"], &workspace["quota_cost"]),
        (&json!("acme"), &json!(1))
    );
    assert_eq!(workspace["quota_owner"], json!("vm-1"));
    let text = ask(&["--path", "/read"], Some(KEY));
    let text = String::from_utf8_lossy(&text.stdout).into_owned();
    assert!(
        text.contains("asks=replica replica=i-1") && text.contains("candidate=i-1 role=plain"),
        "{text}"
    );

    let refused = [
        (vec!["--path", "/read", "--json"], None, 401),
        (vec!["--path", "/read", "--json"], Some("another"), 401),
        (vec!["--path", "/nowhere", "--json"], Some(KEY), 404),
        (vec!["--path", "/empty", "--json"], Some(KEY), 503),
        (
            vec!["--path", "/read", "--json", "--body-bytes", "9000000"],
            Some(KEY),
            413,
        ),
    ];
    for (arguments, key, status) in refused {
        let output = ask(&arguments, key);
        let report = json_of(&output);
        assert_eq!(
            report["refusal"]["status"],
            json!(status),
            "{arguments:?}: {report}"
        );
        assert_eq!(output.status.code(), Some(7));
        let has_wait = report["refusal"]["retry_after_ms"].is_u64();
        assert_eq!(has_wait, status == 503, "{report}");
    }
    let on_line = ask(&["--header", &format!("X-Key: {KEY}")], None);
    assert_eq!(
        on_line.status.code(),
        Some(1),
        "a key on the command line was accepted"
    );

    assert_eq!(replica.count(), 0, "a question was sent");
    assert_eq!(node.metric("requests", ""), 0.0);
    assert!(!node.log().contains("event=routed") && !node.log().contains(KEY));
    let mut gone = node;
    let address = gone.readiness_address();
    gone.kill();
    assert_eq!(run(address, &["--path", "/read"], None).status.code(), Some(5));
}

/// Guards against a question about a generation that takes a slot or names a replica for its owner.
#[test]
fn a_question_about_a_generation_names_the_owner_of_its_engines() {
    let engines = Engines::start();
    let address = SocketAddr::from((engines.node.ip, 9464));
    wait_until("the metrics port answers", || !engines.node.metrics().is_empty());
    let output = run(
        address,
        &["--method", "POST", "--path", "/stream", "--json"],
        None,
    );
    let report = json_of(&output);
    assert_eq!(output.status.code(), Some(0), "{report}");
    assert_eq!(report["owners"][0], json!({"key": "llm/0", "vm": "vm-1"}));
    assert_eq!(
        (&report["replica"], report["candidates"].as_array().map(Vec::len)),
        (&Value::Null, Some(4))
    );
    assert!(engines.all().iter().all(|engine| engine.count() == 0));
}
