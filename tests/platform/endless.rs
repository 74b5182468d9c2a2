//! Replicas, a store and a peer that send bytes without end: memory and time stay bounded, and no truncated
//! answer looks complete.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use crate::faults::EndlessBytes;
use crate::node::{GatewayNode, publish_config, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{LIMIT, exchange, request};

/// Deadline of the calls, in milliseconds.
const DEADLINE_MS: u64 = 1_500;

/// How much longer than its deadline a call may take: the documented tolerance beyond a route's timeout.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(500);

/// The memory limit of a node on the stand-in platform, in kilobytes.
const MEMORY_LIMIT_KB: u64 = 64 * 1024;

/// Whether the answer is complete before the endless bytes begin.
fn completes_first(kind: EndlessBytes) -> bool {
    kind == EndlessBytes::BeyondLength
}

fn text(path: &str, id: &str) -> String {
    request("POST", "shop.example", path, id, "X-Token-Count: 300,40\r\n", "x")
        .replace("X-Deadline-Ms: 8000", &format!("X-Deadline-Ms: {DEADLINE_MS}"))
}

fn start(first: ReplicaBehavior) -> (StandInStore, GatewayNode, StandInReplica) {
    let store = StandInStore::start();
    publish_config(&store, 1);
    let replica = StandInReplica::start(&store, "i-1", "desk", None, first);
    let node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    (store, node, replica)
}

#[test]
fn calls_end_in_time_and_within_memory_whatever_a_replica_sends() {
    for kind in EndlessBytes::FAST {
        let (store, node, _replica) = start(ReplicaBehavior::Endless(kind));
        for path in ["/read", "/book"] {
            let began = Instant::now();
            let answer = exchange(node.callers(), &text(path, "q-1"));
            let took = began.elapsed();
            assert!(
                took < Duration::from_millis(DEADLINE_MS) + DEADLINE_TOLERANCE,
                "{kind:?} {path}: {took:?}"
            );
            let looks_complete = answer.is_some_and(|answer| answer.status() == 200 && answer.is_whole);
            assert_eq!(
                looks_complete,
                completes_first(kind),
                "{kind:?} {path}: {}",
                node.log()
            );
        }
        assert!(
            node.memory_kb() < MEMORY_LIMIT_KB,
            "{kind:?}: {} KB",
            node.memory_kb()
        );
        if completes_first(kind) {
            continue;
        }
        // The failures count against the replica: another one serves the next calls.
        StandInReplica::start(&store, "i-2", "desk", None, ReplicaBehavior::Well);
        wait_until("the other replica serves", || {
            exchange(node.callers(), &text("/read", "q-2")).is_some_and(|answer| answer.text() == "i-2 x")
        });
    }
}

#[test]
fn generations_end_in_time_and_within_memory_whatever_an_engine_sends() {
    for kind in EndlessBytes::FAST {
        for phase in ["prefill", "decode"] {
            let store = StandInStore::start();
            publish_config(&store, 1);
            let mood_of = |engine_phase: &str| match engine_phase == phase {
                true => ReplicaBehavior::Endless(kind),
                false => ReplicaBehavior::Well,
            };
            let _engines = ["prefill", "decode"].map(|engine_phase| {
                StandInReplica::start(
                    &store,
                    &format!("i-{engine_phase}"),
                    "llm",
                    Some(engine_phase),
                    mood_of(engine_phase),
                )
            });
            let node = GatewayNode::start(&store, "vm-1", &[]);
            node.wait_ready();
            let began = Instant::now();
            let answer = exchange(node.callers(), &text("/stream", "q-1"));
            let took = began.elapsed();
            assert!(
                took < Duration::from_millis(DEADLINE_MS) + DEADLINE_TOLERANCE,
                "{kind:?} {phase}: {took:?}"
            );
            let looks_complete = answer.is_some_and(|answer| answer.status() == 200 && answer.is_whole);
            assert!(
                !looks_complete || phase == "prefill" || completes_first(kind),
                "{kind:?} {phase}: {}",
                node.log()
            );
            assert!(
                node.memory_kb() < MEMORY_LIMIT_KB,
                "{kind:?}: {} KB",
                node.memory_kb()
            );
        }
    }
}

#[test]
fn a_store_whose_answers_never_end_counts_as_lost() {
    for (prefix, repeated) in [
        ("HTTP/1.1 200 OK\r\nX-Long: ", "aaaaaaaa"),
        ("", "HTTP/1.1 103 Early\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "[[[[[[[["),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "1\r\n[\r\n",
        ),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let mut store = StandInStore::start();
        store.address = listener.local_addr().expect("an address");
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let piece = repeated.repeat(512);
                std::thread::spawn(move || {
                    let end_at = Instant::now() + LIMIT;
                    let mut is_writable = stream.write_all(prefix.as_bytes()).is_ok();
                    while is_writable && Instant::now() < end_at {
                        is_writable = stream.write_all(piece.as_bytes()).is_ok();
                    }
                });
            }
        });
        let node = GatewayNode::start(&store, "vm-1", &[]);
        wait_until("the loss of the store is logged", || {
            node.log().contains("event=dependency_lost")
        });
        assert_eq!(node.readiness(), 503, "it answers");
        assert!(node.memory_kb() < MEMORY_LIMIT_KB, "{} KB", node.memory_kb());
    }
}

#[test]
fn invalid_bytes_on_the_peer_port_only_close_their_connection() {
    let (_store, node, _replica) = start(ReplicaBehavior::Well);
    for prefix in [
        vec![0xff; 8],
        vec![0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff],
        b"GET / HTTP/1.1\r\n".to_vec(),
    ] {
        let mut connection = TcpStream::connect(node.peer_address()).expect("a connection");
        let end_at = Instant::now() + LIMIT;
        let mut is_writable = connection.write_all(&prefix).is_ok();
        while is_writable && Instant::now() < end_at {
            is_writable = connection.write_all(&[0; 4096]).is_ok();
        }
        assert!(!is_writable, "the node closes the connection");
    }
    assert!(node.memory_kb() < MEMORY_LIMIT_KB, "{} KB", node.memory_kb());
    assert_eq!(node.ask(&text("/read", "q-1")).status(), 200);
}
