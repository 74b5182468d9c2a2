//! Failures known from operators of similar systems, reproduced with real processes.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::faults::{EndlessBytes, TruncatedBody};
use crate::fixture::start_desk;
use crate::node::{GatewayNode, publish_config, wait_until};
use crate::replica::{ReplicaBehavior, STREAM_EVENTS, StandInReplica};
use crate::store::{StandInStore, StoreBehavior};
use crate::wire::{exchange, read_answer, request};

fn start_engines(store: &StandInStore, decode: ReplicaBehavior) -> [StandInReplica; 2] {
    [
        ("i-p1", "prefill", ReplicaBehavior::Well),
        ("i-d1", "decode", decode),
    ]
    .map(|(id, phase, behavior)| StandInReplica::start(store, id, "llm", Some(phase), behavior))
}

fn call(path: &str, id: &str) -> String {
    request("POST", "shop.example", path, id, "X-Token-Count: 300,40\r\n", id)
}

/// A delayed duplicate of a response reaches no caller, whether it arrives before, during or after the next
/// request on its connection.
#[test]
fn a_second_copy_of_an_answer_reaches_nobody() {
    let (_store, node, _replicas) = start_desk([ReplicaBehavior::AnswersTwice; 2]);
    let callers: Vec<_> = (0..4_u64)
        .map(|caller| {
            let address = node.callers();
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(address).expect("a connection");
                for number in 0..30_u64 {
                    let id = format!("q-{caller}-{number}");
                    let path = if number.is_multiple_of(2) {
                        "/read"
                    } else {
                        "/book"
                    };
                    std::io::Write::write_all(&mut stream, call(path, &id).as_bytes())
                        .expect("an open connection");
                    let answer = read_answer(&mut stream).expect("an answer");
                    let is_own = answer.text().ends_with(&format!(" {id}"));
                    assert!(answer.status() != 200 || is_own, "{id}: {}", answer.text());
                    assert_eq!(answer.header("X-Request-Id").unwrap_or(&id), id);
                    std::thread::sleep(Duration::from_millis(7 * (number % 13)));
                }
            })
        })
        .collect();
    callers
        .into_iter()
        .for_each(|caller| caller.join().expect("own answers only"));
}

/// A leaving node answers all requests that it has read. Requests that arrive while it closes the connection
/// are not run.
#[test]
fn a_planned_stop_under_load_cuts_nothing() {
    let (_store, mut node, replicas) = start_desk([ReplicaBehavior::Well; 2]);
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            let (address, is_over) = (node.callers(), is_over.clone());
            std::thread::spawn(move || {
                let mut kept: Option<TcpStream> = None;
                let mut cut = Vec::new();
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        break;
                    }
                    let id = format!("q-{caller}-{number}");
                    // Every other caller opens a new connection for each request.
                    let used = kept.take().or_else(|| TcpStream::connect(address).ok());
                    let Some(mut stream) = used else { break };
                    let is_written =
                        std::io::Write::write_all(&mut stream, call("/book", &id).as_bytes()).is_ok();
                    match read_answer(&mut stream).filter(|answer| answer.is_whole) {
                        Some(answer) => {
                            let closes = answer.header("Connection") == Some("close");
                            kept = Some(stream).filter(|_| !closes && caller % 2 == 0);
                        }
                        None if is_written => cut.push(id),
                        None => {}
                    }
                }
                cut
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(400));
    node.signal("TERM");
    wait_until("the process has left", || node.has_left());
    is_over.store(true, Ordering::Relaxed);
    let cut: Vec<String> = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("a caller's thread"))
        .collect();
    let was_run = |id: &&String| replicas.iter().any(|replica| replica.runs(id) > 0);
    let lost: Vec<_> = cut.iter().filter(was_run).collect();
    assert!(lost.is_empty(), "ran and got no answer: {lost:?} {}", node.log());
}

#[test]
fn a_slow_stream_is_not_cut() {
    let store = StandInStore::start();
    publish_config(&store, 1);
    let _engines = start_engines(&store, ReplicaBehavior::SlowEvents);
    let node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    let answer = node.ask(&call("/stream", "q-1"));
    assert!(answer.is_whole, "{}", node.log());
    assert_eq!(answer.event_ids(), (1..=STREAM_EVENTS).collect::<Vec<_>>());
}

#[test]
fn a_trickling_stream_ends_at_its_deadline() {
    let store = StandInStore::start();
    publish_config(&store, 1);
    let _engines = start_engines(&store, ReplicaBehavior::Endless(EndlessBytes::TricklingEvent));
    let node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    let began = Instant::now();
    let answer = exchange(
        node.callers(),
        &call("/stream", "q-1").replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: 2000"),
    );
    assert!(
        began.elapsed() < Duration::from_millis(2_500),
        "{:?}",
        began.elapsed()
    );
    assert!(
        answer.is_none_or(|answer| answer.status() != 200 || !answer.is_whole),
        "{}",
        node.log()
    );
}

#[test]
fn malformed_input_from_any_side_crashes_no_process() {
    let (store, mut node, _replicas) = start_desk([ReplicaBehavior::Well; 2]);
    let entries = [
        "",
        "{",
        "[]",
        "null",
        "\"x\"",
        "{\"service\": 1}",
        "{\"service\":\"desk\",\"address\":\"nowhere\",\"zone\":\"a\",\"slots\":1,\"state\":\"ready\"}",
        "{\"service\":\"desk\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"slots\":-1,\"state\":\"ready\"}",
        "{\"service\":\"desk\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"slots\":0,\"state\":\"odd\"}",
    ];
    for (number, entry) in entries.iter().enumerate() {
        store.put(&format!("servers/bad-{number}"), entry);
    }
    for config in [
        "",
        "{}",
        "{\"version\": 2}",
        "{\"version\": -1}",
        "{\"version\": 3, \"routes\": 7}",
        "[[[[",
    ] {
        store.put("op/config", config);
    }
    let ports = [
        node.callers(),
        node.peer_address(),
        node.readiness_address(),
        node.directory_address(),
    ];
    for address in ports {
        for bytes in [
            &b"\0\0\0\x01\xff"[..],
            b"\r\n\r\n",
            b"GET",
            b"POST /read HTTP/9.9\r\n\r\n",
            &[0xff; 5000],
        ] {
            let mut stream = TcpStream::connect(address).expect("a connection");
            let _ = std::io::Write::write_all(&mut stream, bytes);
        }
    }
    wait_until("the node still serves", || {
        exchange(node.callers(), &call("/read", "q-1")).is_some_and(|answer| answer.status() == 200)
    });
    std::thread::sleep(Duration::from_millis(300));
    assert!(!node.log().contains("panicked"), "{}", node.log());
    assert!(!node.has_left(), "{}", node.log());
}

/// Neither a removed entry nor an unreachable store aborts or restarts requests in progress.
#[test]
fn running_requests_survive_a_lost_store_and_removed_entries() {
    let store = StandInStore::start();
    publish_config(&store, 1);
    let engines = start_engines(&store, ReplicaBehavior::SlowEvents);
    let node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    let address = node.callers();
    let running = std::thread::spawn(move || exchange(address, &call("/stream", "q-1")));
    wait_until("the stream has begun", || !engines[1].seen("q-1").is_empty());
    store.set_behavior(StoreBehavior::Lost);
    std::thread::sleep(Duration::from_millis(500));
    store.set_behavior(StoreBehavior::Well);
    for engine in &engines {
        store.remove(&format!("servers/{}", engine.id));
    }
    let answer = running.join().expect("the caller's thread").expect("an answer");
    assert!(answer.is_whole, "{}", node.log());
    assert_eq!(answer.event_ids(), (1..=STREAM_EVENTS).collect::<Vec<_>>());
    assert_eq!(engines[1].runs("q-1"), 1);
}

/// A VM that freezes may be the owner of engines and of other VMs' streams; these are neither restarted nor
/// abandoned.
#[test]
fn running_requests_survive_a_frozen_vm() {
    for (frozen, asked) in [(0, 1), (1, 0)] {
        let store = StandInStore::start();
        publish_config(&store, 1);
        let engines = start_engines(&store, ReplicaBehavior::SlowEvents);
        let first = GatewayNode::start(&store, "vm-1", &[]);
        let second = GatewayNode::start(&store, "vm-2", &[&first]);
        let nodes = [first, second];
        nodes.iter().for_each(GatewayNode::wait_ready);
        let id = format!("q-{asked}");
        let (address, text) = (nodes[asked].callers(), call("/stream", &id));
        let running = std::thread::spawn(move || exchange(address, &text));
        wait_until("the stream has begun", || !engines[1].seen(&id).is_empty());
        nodes[frozen].signal("STOP");
        std::thread::sleep(Duration::from_millis(1_500));
        nodes[frozen].signal("CONT");
        let answer = running.join().expect("the caller's thread").expect("an answer");
        assert!(answer.is_whole, "{}", nodes[asked].log());
        assert_eq!(answer.event_ids(), (1..=STREAM_EVENTS).collect::<Vec<_>>());
        assert_eq!(engines[1].runs(&id), 1);
    }
}

#[test]
fn a_truncated_answer_never_looks_complete() {
    for kind in TruncatedBody::ALL {
        let (_store, node, _replicas) = start_desk([ReplicaBehavior::Truncates(kind); 2]);
        for path in ["/read", "/book"] {
            let answer = exchange(node.callers(), &call(path, "q-1"));
            let looks_complete = answer.is_some_and(|answer| answer.status() == 200 && answer.is_whole);
            assert!(!looks_complete, "{kind:?} {path}: {}", node.log());
        }
        let store = StandInStore::start();
        publish_config(&store, 1);
        let _engines = start_engines(&store, ReplicaBehavior::Truncates(kind));
        let node = GatewayNode::start(&store, "vm-1", &[]);
        node.wait_ready();
        let answer = exchange(node.callers(), &call("/stream", "q-2"));
        let looks_complete = answer.is_some_and(|answer| answer.status() == 200 && answer.is_whole);
        assert!(!looks_complete, "{kind:?} stream: {}", node.log());
    }
}
