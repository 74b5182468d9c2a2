//! Requests that reach a node late in the grace of a planned stop, when its replicas take long.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::fixture::start_desk;
use crate::node::{GatewayNode, publish_config, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{read_answer, request};

/// Time that a plain call takes, in milliseconds: more than a node stays after it has accepted the last calls.
const CALL_MS: u64 = 2_500;

/// Time between two events of a stream of five, in milliseconds.
const EVENT_PAUSE_MS: u64 = 400;

/// Time between two requests of one kind.
const SEND_INTERVAL: Duration = Duration::from_millis(60);

/// How long requests are sent after the stop was ordered, longer than the node's grace.
const SEND_DURATION: Duration = Duration::from_millis(4_500);

/// Time between the head of a request and the end of its body, for callers that send slowly.
const SLOW_BODY: Duration = Duration::from_millis(700);

/// How a caller sends its request.
#[derive(Clone, Copy, PartialEq)]
enum SendPace {
    AtOnce,
    SlowBody,
}

/// Sends one request; returns its id if it was written and got no whole answer.
fn send(address: SocketAddr, path: &str, id: String, pace: SendPace) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    let text = request(
        "POST",
        "shop.example",
        path,
        &id,
        "X-Token-Count: 300,40\r\n",
        &id,
    );
    let (head, body) = text.split_at(text.len() - id.len());
    let is_written = match pace {
        SendPace::AtOnce => stream.write_all(text.as_bytes()).is_ok(),
        SendPace::SlowBody => {
            let is_written = stream.write_all(head.as_bytes()).is_ok();
            std::thread::sleep(SLOW_BODY);
            is_written && stream.write_all(body.as_bytes()).is_ok()
        }
    };
    let answer = read_answer(&mut stream).filter(|answer| answer.is_whole);
    (is_written && answer.is_none()).then_some(id)
}

/// Orders a node to stop and sends requests to it meanwhile. Returns those that a replica ran and that got no
/// whole answer.
fn run_stop(node: &mut GatewayNode, replicas: &[StandInReplica], paths: &[&'static str]) -> Vec<String> {
    let address = node.callers();
    node.signal("TERM");
    let stopped_at = Instant::now();
    let mut senders = Vec::new();
    for number in 0.. {
        if stopped_at.elapsed() >= SEND_DURATION {
            break;
        }
        for path in paths.iter().copied() {
            for (pace, word) in [(SendPace::AtOnce, "at-once"), (SendPace::SlowBody, "slow-body")] {
                let id = format!(
                    "{}-{word}-{number}",
                    path.trim_start_matches('/').replace('/', "-")
                );
                senders.push(std::thread::spawn(move || send(address, path, id, pace)));
            }
        }
        std::thread::sleep(SEND_INTERVAL);
    }
    wait_until("the process has left", || node.has_left());
    let cut = senders
        .into_iter()
        .filter_map(|sender| sender.join().expect("a sender"));
    let was_run = |id: &String| replicas.iter().any(|replica| replica.runs(id) > 0);
    cut.filter(was_run).collect()
}

#[test]
fn calls_that_come_late_in_the_grace_of_a_planned_stop_are_not_cut() {
    let (_store, mut node, replicas) = start_desk([ReplicaBehavior::PacedCalls(CALL_MS); 2]);
    let cut = run_stop(&mut node, &replicas, &["/book", "/read"]);
    assert!(cut.is_empty(), "ran and got no answer: {cut:?} {}", node.log());
}

#[test]
fn quick_calls_are_served_in_the_grace_of_a_planned_stop() {
    let (_store, node, _replicas) = start_desk([ReplicaBehavior::Well; 2]);
    let call = |path: &str, number: usize| {
        let text = request("POST", "shop.example", path, &format!("q-{number}"), "", "");
        node.ask(&text.replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: 1000"))
    };
    node.signal("TERM");
    wait_until("the drain has begun", || node.log().contains("event=drain_begun"));
    for number in 0..10 {
        for path in ["/read", "/book"] {
            let answer = call(path, number);
            assert_eq!(answer.status(), 200, "{path} {}", node.log());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn streams_that_come_late_in_the_grace_of_a_planned_stop_are_not_cut() {
    let store = StandInStore::start();
    publish_config(&store, 1);
    let engine = |id: &str, phase| {
        let behavior = ReplicaBehavior::PacedEvents(EVENT_PAUSE_MS);
        StandInReplica::start(&store, id, "llm", Some(phase), behavior)
    };
    let mut engines = vec![engine("i-p1", "prefill")];
    engines.extend((1..=4).map(|number| engine(&format!("i-d{number}"), "decode")));
    let mut node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    let cut = run_stop(&mut node, &engines, &["/stream/single"]);
    assert!(cut.is_empty(), "ran and got no answer: {cut:?} {}", node.log());
}
