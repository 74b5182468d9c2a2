//! Replicas, a store and a peer that send bytes without end: memory and time stay bounded, and no truncated
//! answer looks complete.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use crate::faults::EndlessBytes;
use crate::node::{GatewayNode, publish_config, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::{StandInStore, StoreBehavior};
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

/// Number of callers whose answers have no end.
const ENDLESS_CALLERS: usize = 12;

/// Number of callers of a sound replica beside them.
const OTHER_CALLERS: usize = 3;

/// How long each shape is played.
const PLAY_SPAN: Duration = Duration::from_secs(2);

/// How long the other callers wait for an answer.
const OTHER_CALLER_WAIT: Duration = Duration::from_secs(1);

/// The share of the other callers' requests that have to be served, in percent.
const SERVED_PERCENT: usize = 95;

/// Asks for endless answers at a path, and reads what comes, until the time is over.
fn read_endless(address: SocketAddr, path: &str, over_at: Instant) {
    let mut buffer = vec![0; 64 * 1024];
    while Instant::now() < over_at {
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        let text = request(
            "POST",
            "shop.example",
            path,
            "q-endless",
            "X-Token-Count: 300,40\r\n",
            "x",
        );
        let mut is_open = stream.write_all(text.as_bytes()).is_ok();
        stream
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("a socket option");
        while is_open && Instant::now() < over_at {
            is_open = match stream.read(&mut buffer) {
                Ok(count) => count > 0,
                Err(error) => error.kind() == ErrorKind::WouldBlock,
            };
        }
    }
}

/// Calls a sound replica until the time is over. Returns how many calls were served in time, and how many were
/// made.
fn count_served(address: SocketAddr, over_at: Instant) -> (usize, usize) {
    let (mut served, mut made) = (0, 0);
    while Instant::now() < over_at {
        let began = Instant::now();
        let answer = exchange(address, &text("/empty", &format!("q-{made}")));
        made += 1;
        let is_served = answer.is_some_and(|answer| answer.status() == 200 && answer.is_whole);
        served += usize::from(is_served && began.elapsed() < OTHER_CALLER_WAIT);
        std::thread::sleep(Duration::from_millis(10));
    }
    (served, made)
}

/// Plays one shape at a node. Returns how many other calls were served and made, and the node's peak memory in
/// kilobytes.
fn play_beside_others(kind: EndlessBytes, path: &'static str) -> (usize, usize, u64) {
    let store = StandInStore::start();
    publish_config(&store, 1);
    let endless = ReplicaBehavior::Endless(kind);
    let start = |id: &str, service: &str, phase: Option<&str>, behavior: ReplicaBehavior| {
        StandInReplica::start(&store, id, service, phase, behavior)
    };
    let mut replicas = vec![
        start("i-1", "desk", None, endless),
        start("i-p1", "llm", Some("prefill"), ReplicaBehavior::Well),
        start("i-2", "nobody", None, ReplicaBehavior::Well),
    ];
    replicas.extend((1..=4).map(|number| start(&format!("i-d{number}"), "llm", Some("decode"), endless)));
    let node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    let (address, over_at) = (node.callers(), Instant::now() + PLAY_SPAN);
    let (served, made) = std::thread::scope(|scope| {
        for _ in 0..ENDLESS_CALLERS {
            scope.spawn(move || read_endless(address, path, over_at));
        }
        let others: Vec<_> = (0..OTHER_CALLERS)
            .map(|_| scope.spawn(move || count_served(address, over_at)))
            .collect();
        others.into_iter().fold((0, 0), |(served, made), other| {
            let (more_served, more_made) = other.join().expect("a caller that ends");
            (served + more_served, made + more_made)
        })
    });
    (served, made, node.memory_kb())
}

#[test]
fn other_callers_are_served_beside_answers_without_end() {
    let plain = EndlessBytes::FAST.map(|kind| (kind, "/read"));
    let streams = [
        EndlessBytes::Events,
        EndlessBytes::Event,
        EndlessBytes::SmallChunks,
    ]
    .map(|kind| (kind, "/stream"));
    let mut defects = Vec::new();
    for (kind, path) in plain
        .into_iter()
        .chain(streams)
        .chain([(EndlessBytes::NoLength, "/book")])
    {
        let (served, made, memory_kb) = play_beside_others(kind, path);
        println!("{kind:?} {path}: {served} of {made} other calls served, {memory_kb} KB");
        if served * 100 < made * SERVED_PERCENT || memory_kb > MEMORY_LIMIT_KB {
            defects.push(format!("{kind:?} {path}: {served} of {made}, {memory_kb} KB"));
        }
    }
    assert!(defects.is_empty(), "{}", defects.join("\n"));
}

#[test]
fn callers_are_served_beside_a_store_and_peers_that_send_without_end() {
    let store = StandInStore::start();
    publish_config(&store, 1);
    let _replica = StandInReplica::start(&store, "i-2", "nobody", None, ReplicaBehavior::Well);
    let node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    store.set_behavior(StoreBehavior::Endless);
    let (address, peers, over_at) = (node.callers(), node.peer_address(), Instant::now() + PLAY_SPAN);
    let send_to_peer_port = |begin: [u8; 4]| {
        while Instant::now() < over_at {
            let Ok(mut stream) = TcpStream::connect(peers) else {
                continue;
            };
            let mut is_writable = stream.write_all(&begin).is_ok();
            while is_writable && Instant::now() < over_at {
                is_writable = stream.write_all(&[0; 4096]).is_ok();
            }
        }
    };
    let (served, made) = std::thread::scope(|scope| {
        for begin in [[0, 0, 0, 0], [0, 0, 16, 0], [0xff; 4]] {
            scope.spawn(move || send_to_peer_port(begin));
        }
        count_served(address, over_at)
    });
    assert!(
        made > 0 && served * 100 >= made * SERVED_PERCENT,
        "{served} of {made}"
    );
    assert!(node.memory_kb() < MEMORY_LIMIT_KB, "{} KB", node.memory_kb());
}
