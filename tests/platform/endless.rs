//! Replicas, a store and a peer whose bytes have no end: memory and time stay bounded, and nothing broken looks whole.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use crate::faults::EndlessBytes;
use crate::node::{GatewayNode, publish_config, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{LIMIT, exchange, request};

/// How long these callers wait, in milliseconds.
const WAIT_MS: u64 = 1_500;

/// How much longer than its caller waits a request may take: what the pages allow a request beyond its route's timeout.
const OVERTIME: Duration = Duration::from_millis(500);

/// The memory that the stand-in platform gives a node, in kilobytes.
const MEMORY_LIMIT_KB: u64 = 64 * 1024;

/// Whether an answer ends in the body that its replica sent before the bytes without end.
fn is_sound(kind: EndlessBytes) -> bool {
    kind == EndlessBytes::BeyondLength
}

fn text(path: &str, id: &str) -> String {
    request("POST", "shop.example", path, id, "X-Token-Count: 300,40\r\n", "x")
        .replace("X-Deadline-Ms: 8000", &format!("X-Deadline-Ms: {WAIT_MS}"))
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
                took < Duration::from_millis(WAIT_MS) + OVERTIME,
                "{kind:?} {path}: {took:?}"
            );
            let looks_whole = answer.is_some_and(|answer| answer.status() == 200 && answer.is_whole);
            assert_eq!(looks_whole, is_sound(kind), "{kind:?} {path}: {}", node.log());
        }
        assert!(
            node.memory_kb() < MEMORY_LIMIT_KB,
            "{kind:?}: {} KB",
            node.memory_kb()
        );
        if is_sound(kind) {
            continue;
        }
        // The replica's standing follows: another one serves what comes next.
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
            let mood_of = |own: &str| match own == phase {
                true => ReplicaBehavior::Endless(kind),
                false => ReplicaBehavior::Well,
            };
            let _engines = ["prefill", "decode"].map(|own| {
                StandInReplica::start(&store, &format!("i-{own}"), "llm", Some(own), mood_of(own))
            });
            let node = GatewayNode::start(&store, "vm-1", &[]);
            node.wait_ready();
            let began = Instant::now();
            let answer = exchange(node.callers(), &text("/stream", "q-1"));
            let took = began.elapsed();
            assert!(
                took < Duration::from_millis(WAIT_MS) + OVERTIME,
                "{kind:?} {phase}: {took:?}"
            );
            let looks_whole = answer.is_some_and(|answer| answer.status() == 200 && answer.is_whole);
            assert!(
                !looks_whole || phase == "prefill" || is_sound(kind),
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
fn a_store_without_an_end_is_a_lost_store() {
    for (begin, repeated) in [
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
                    let over_at = Instant::now() + LIMIT;
                    let mut goes_on = stream.write_all(begin.as_bytes()).is_ok();
                    while goes_on && Instant::now() < over_at {
                        goes_on = stream.write_all(piece.as_bytes()).is_ok();
                    }
                });
            }
        });
        let node = GatewayNode::start(&store, "vm-1", &[]);
        wait_until("the loss is known", || {
            node.log().contains("event=dependency_lost")
        });
        assert_eq!(node.readiness(), 503, "it answers");
        assert!(node.memory_kb() < MEMORY_LIMIT_KB, "{} KB", node.memory_kb());
    }
}

#[test]
fn strangers_on_the_peers_port_cost_a_link_and_no_more() {
    let (_store, node, _replica) = start(ReplicaBehavior::Well);
    for begin in [
        vec![0xff; 8],
        vec![0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff],
        b"GET / HTTP/1.1\r\n".to_vec(),
    ] {
        let mut link = TcpStream::connect(node.control()).expect("a connection");
        let over_at = Instant::now() + LIMIT;
        let mut goes_on = link.write_all(&begin).is_ok();
        while goes_on && Instant::now() < over_at {
            goes_on = link.write_all(&[0; 4096]).is_ok();
        }
        assert!(!goes_on, "the link is closed");
    }
    assert!(node.memory_kb() < MEMORY_LIMIT_KB, "{} KB", node.memory_kb());
    assert_eq!(node.ask(&text("/read", "q-1")).status(), 200);
}
