//! Removed API keys: VMs that can't know whether a key was removed refuse to send, and a request that waited is
//! checked again before it is sent.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::api_keys::{KEY, key_line, keyed_document, publish_keys, read_with};
use crate::fixture::{Engines, start_desk};
use crate::node::{GatewayNode, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::{StandInStore, StoreBehavior};
use crate::wire::{Message, read_answer, request};

/// A key that stays in use.
const OTHER_KEY: &str = "k9m6-other-key";

/// How long after its last proof a VM sends requests with keys, by the settings of the tests.
const VALID: Duration = Duration::from_millis(4_500);

/// A VM watches the configuration again so long after a change at the latest.
const WATCH_PAUSE: Duration = Duration::from_millis(1_200);

/// How long a removed key may be accepted, by the settings of the tests.
const REVOKE: Duration = Duration::from_millis(5_000);

/// The time that a proof is old at most when the store is lost: two short watches, and some time for a busy
/// machine.
const MAX_PROOF_AGE: Duration = Duration::from_millis(2_500);

fn open_request(node: &GatewayNode, id: &str, path: &str, key: &str) -> TcpStream {
    let mut stream = TcpStream::connect(node.callers()).expect("a listening node");
    let lines = [&key_line(key), "X-Token-Count: 200,20\r\n"].concat();
    let text = request("POST", "shop.example", path, id, &lines, "x");
    stream.write_all(text.as_bytes()).expect("a sent request");
    stream
}

fn remove_key(store: &StandInStore, version: u64) {
    store.put("op/config", &keyed_document(version, &[]).to_string());
}

fn sends(replicas: &[&StandInReplica], id: &str) -> usize {
    replicas.iter().map(|replica| replica.seen(id).len()).sum()
}

/// Guards against a VM that is cut off from the store and from all peers, and keeps accepting a removed key.
#[test]
fn a_vm_alone_without_its_store_refuses_keys_in_time_and_serves_anonymous_routes() {
    let (store, node, replicas) = start_desk([ReplicaBehavior::Well, ReplicaBehavior::Well]);
    let all: Vec<&StandInReplica> = replicas.iter().collect();
    publish_keys(&store, &node, 2, &[KEY]);
    wait_until("the VM has proof", || {
        read_with(&node, "first", "/read", &key_line(KEY)).status() == 200
    });
    store.set_behavior(StoreBehavior::Lost);
    let lost_at = Instant::now();
    let mut served_until = lost_at;
    let mut refusal: Option<Message> = None;
    let mut number = 0;
    while lost_at.elapsed() < REVOKE + Duration::from_secs(1) {
        let id = format!("q-{number}");
        number += 1;
        let answer = read_with(&node, &id, "/read", &key_line(KEY));
        match answer.status() {
            200 => {
                assert!(refusal.is_none(), "a key is accepted again without the store");
                served_until = Instant::now();
            }
            503 => {
                assert_eq!(sends(&all, &id), 0, "{id} was refused and sent");
                refusal = Some(answer);
            }
            status => panic!("status {status}: {}", answer.text()),
        }
        assert_eq!(read_with(&node, "open", "/open", "").status(), 200);
        std::thread::sleep(Duration::from_millis(20));
    }
    let served = served_until - lost_at;
    println!("served_after_loss_ms={}", served.as_millis());
    assert!(
        served <= VALID + Duration::from_millis(100) && served >= VALID - MAX_PROOF_AGE,
        "{served:?}"
    );
    let refusal = refusal.expect("a refusal");
    assert!(refusal.text().contains("2010"), "{}", refusal.text());
    assert!(refusal.header("Retry-After").is_some(), "{refusal:?}");
    // Without proof this VM can't know that a key is unknown.
    for lines in ["", "X-Key: never-listed\r\n"] {
        assert_eq!(read_with(&node, "unknown", "/read", lines).status(), 503);
    }
    assert_eq!(
        read_with(&node, "open-key", "/open", &key_line(KEY)).status(),
        200
    );
    assert!(node.metric("unproved_refusals", "") > 0.0, "{}", node.metrics());
    let back_at = Instant::now();
    store.set_behavior(StoreBehavior::Well);
    wait_until("the VM has proof again", || {
        read_with(&node, "again", "/read", &key_line(KEY)).status() == 200
    });
    println!("regained_after_ms={}", back_at.elapsed().as_millis());
    wait_until("the return of the proof is logged", || {
        node.log().contains("event=config_proof_regained")
    });
    let log = node.log();
    let count = |event: &str| log.matches(event).count();
    let (lost, regained) = (
        count("event=config_proof_lost "),
        count("event=config_proof_regained "),
    );
    assert!(
        lost == regained && lost <= 2,
        "{lost} lines on losses, {regained} on returns"
    );
}

/// Guards against a process that was suspended while a key was removed and sends waiting requests as it resumes.
#[test]
fn a_vm_that_is_stopped_over_a_revocation_sends_nothing_with_the_removed_key() {
    let (store, node, replicas) = start_desk([ReplicaBehavior::Well, ReplicaBehavior::Well]);
    let all: Vec<&StandInReplica> = replicas.iter().collect();
    publish_keys(&store, &node, 2, &[KEY]);
    wait_until("the VM has proof", || {
        read_with(&node, "first", "/read", &key_line(KEY)).status() == 200
    });
    node.signal("STOP");
    // The process can't learn of the removal as it resumes.
    store.set_behavior(StoreBehavior::Lost);
    remove_key(&store, 3);
    let mut waiting: Vec<(String, TcpStream)> = Vec::new();
    for number in 0..10 {
        let id = format!("stopped-{number}");
        waiting.push((id.clone(), open_request(&node, &id, "/read", KEY)));
    }
    std::thread::sleep(REVOKE + Duration::from_millis(200));
    node.signal("CONT");
    for (id, mut stream) in waiting {
        let answer = read_answer(&mut stream).expect("an answer");
        assert_eq!(answer.status(), 503, "{id}: {} {}", answer.text(), node.log());
        assert_eq!(sends(&all, &id), 0, "{id} was sent");
    }
    store.set_behavior(StoreBehavior::Well);
    wait_until("the VM knows that the key is removed", || {
        read_with(&node, "later", "/read", &key_line(KEY)).status() == 401
    });
    wait_until("a key in use is accepted", || {
        read_with(&node, "other", "/read", &key_line(OTHER_KEY)).status() == 200
    });
    assert_eq!(sends(&all, "later"), 0);
}

/// Guards against a check on arrival only: a request may wait for a slot while its key is removed.
#[test]
fn a_request_that_waits_for_a_slot_while_its_key_is_removed_is_refused() {
    let engines = Engines::start();
    publish_keys(&engines.store, &engines.node, 2, &[KEY]);
    // The slots become free within the latency objective, and the removal is in force before that.
    let behavior = ReplicaBehavior::PacedEvents(180);
    std::thread::sleep(WATCH_PAUSE);
    engines
        .all()
        .iter()
        .for_each(|engine| engine.set_behavior(behavior));
    let running: Vec<TcpStream> = (0..8)
        .map(|number| open_request(&engines.node, &format!("runs-{number}"), "/stream", OTHER_KEY))
        .collect();
    wait_until("all slots are taken", || {
        (0..8).all(|number| {
            sends(
                &engines.decodes.iter().collect::<Vec<_>>(),
                &format!("runs-{number}"),
            ) > 0
        })
    });
    let waiting: Vec<(String, TcpStream)> = (0..3)
        .map(|number| format!("waits-{number}"))
        .map(|id| (id.clone(), open_request(&engines.node, &id, "/stream", KEY)))
        .collect();
    wait_until("the requests have arrived", || {
        engines.node.log().matches("event=routed request=waits-").count() == 3
    });
    remove_key(&engines.store, 3);
    for (id, mut stream) in waiting {
        let answer = read_answer(&mut stream).expect("an answer");
        assert_eq!(answer.status(), 401, "{id}: {}", engines.node.log());
        assert_eq!(sends(&engines.all(), &id), 0, "{id} was sent");
    }
    for mut stream in running {
        let answer = read_answer(&mut stream).expect("an answer");
        assert_eq!((answer.status(), answer.is_whole), (200, true));
    }
    wait_until("the sends are denied", || engines.node.log().contains("=denied"));
}

/// Guards against a stream that is resumed at another engine after its key was removed.
#[test]
fn a_stream_is_not_resumed_after_its_key_was_removed() {
    let engines = Engines::start();
    publish_keys(&engines.store, &engines.node, 2, &[KEY]);
    let behavior = ReplicaBehavior::BreaksSlowStream;
    engines
        .decodes
        .iter()
        .for_each(|engine| engine.set_behavior(behavior));
    let mut stream = open_request(&engines.node, "begun", "/stream/resume", KEY);
    let decodes: Vec<&StandInReplica> = engines.decodes.iter().collect();
    wait_until("the stream is begun", || sends(&decodes, "begun") == 1);
    remove_key(&engines.store, 3);
    let answer = read_answer(&mut stream).expect("a broken answer");
    assert!(!answer.is_whole && answer.status() == 200, "{answer:?}");
    assert_eq!(sends(&decodes, "begun"), 1, "{}", engines.node.log());
    wait_until("the send is denied", || {
        engines.node.log().contains("outcome=denied")
    });
}

/// How long after its removal a key may be accepted at VMs that can read the store.
const APPLY: Duration = Duration::from_secs(3);

/// Guards against VMs that refuse keys because another VM is lost, and against keys that stay accepted.
#[test]
fn vms_accept_keys_while_any_other_is_stopped_and_refuse_a_removed_one() {
    let (store, node, _replicas) = start_desk([ReplicaBehavior::Well, ReplicaBehavior::Well]);
    let others: Vec<GatewayNode> = ["vm-2", "vm-3", "vm-4", "vm-5"]
        .iter()
        .map(|name| GatewayNode::start(&store, name, &[&node]))
        .collect();
    others.iter().for_each(GatewayNode::wait_ready);
    let nodes: Vec<&GatewayNode> = std::iter::once(&node).chain(&others).collect();
    for node in &nodes {
        publish_keys(&store, node, 2, &[KEY]);
    }
    for node in &nodes {
        wait_until("each VM has proof", || {
            read_with(node, "first", "/read", &key_line(KEY)).status() == 200
        });
    }
    for (stopped, other) in nodes.iter().enumerate() {
        other.signal("STOP");
        let until = Instant::now() + Duration::from_millis(5_500);
        while Instant::now() < until {
            for (_, node) in nodes.iter().enumerate().filter(|(index, _)| *index != stopped) {
                let answer = read_with(node, "beside", "/read", &key_line(KEY));
                assert_ne!(answer.status(), 401);
                assert!(
                    !answer.text().contains("2010"),
                    "{} refuses while {} is stopped: {}",
                    node.name,
                    other.name,
                    node.log()
                );
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        other.signal("CONT");
        wait_until("the stopped VM has proof again", || {
            read_with(other, "resumed", "/read", &key_line(KEY)).status() == 200
        });
    }
    remove_key(&store, 3);
    let removed_at = Instant::now();
    for node in &nodes {
        wait_until("the removed key is refused", || {
            read_with(node, "removed", "/read", &key_line(KEY)).status() == 401
        });
    }
    println!("refused_after_ms={}", removed_at.elapsed().as_millis());
    assert!(removed_at.elapsed() <= APPLY, "{:?}", removed_at.elapsed());
}
