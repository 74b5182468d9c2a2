//! Memory of a machine while many clients send long bodies at once.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::Verdict;
use crate::http::{read_message, write_response};
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

/// `memoryMb` of the settings, in kilobytes.
const MEMORY_KB: u64 = 96 * 1_024;

/// Length of each body, within `maxBodyBytes` of the configuration (4,194,304).
const BODY_BYTES: usize = 4_000_000;

/// Clients of each machine that send at a time, usually and in a burst of 2.3 times the traffic.
const CLIENTS: (usize, usize) = (10, 23);

/// How long a replica works on a request.
const WORK: Duration = Duration::from_millis(500);

/// Length of a burst, and of the time before and after it.
const SPAN: Duration = Duration::from_secs(5);

/// Bursts of the scenario.
const BURSTS: usize = 3;

fn config() -> serde_json::Value {
    json!({
        "version": 7,
        "routes": [{
            "name": "r-book", "hostname": "ficu95.example", "pathPrefix": "/pule252/", "kind": "unsafe",
            "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 2, "service": "yard-desk", "attempts": 1,
        }],
        "services": [{ "name": "yard-desk", "maxConnections": 257, "healthCheck": "/health" }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000 },
    })
}

fn serve_replica(stream: TcpStream, id: &str, runs: &AtomicUsize) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Some(request) = read_message(&mut reader, false) {
        let named = ("X-Instance-Id", id);
        let request_id = request.header("X-Request-Id").unwrap_or_default();
        let headers = [named, ("X-Request-Id", request_id), ("X-Response-Signature", "s")];
        if request.path() != "/health" {
            runs.fetch_add(1, Ordering::SeqCst);
            std::thread::sleep(WORK);
        }
        if !write_response(&stream, 200, &headers, b"booked") {
            return;
        }
    }
}

/// Starts a replica of the booking desk and writes its entry.
fn start_replica(id: &'static str, store: &Store, runs: &Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let entry = json!({
        "service": "yard-desk", "address": address, "zone": "asahikawa", "version": "v1", "slots": 32,
        "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1_774_429_000_000_u64,
    });
    store.put(&format!("servers/{id}"), &entry);
    let runs = runs.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = runs.clone();
            std::thread::spawn(move || serve_replica(stream, id, &runs));
        }
    });
}

/// Sends one request and reads its answer; returns the status, zero if there is none.
fn book(address: SocketAddr, id: &str, body: &[u8]) -> u16 {
    let head = format!(
        "POST /pule252/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    if stream.write_all(head.as_bytes()).is_err() || stream.write_all(body).is_err() {
        return 0;
    }
    read_message(&mut BufReader::new(stream), true).map_or(0, |answer| answer.status())
}

/// Figures of one machine.
#[derive(Default)]
struct Figures {
    peak_kb: u64,
    kills: usize,
}

/// Two machines and two replicas. In each burst, 2.3 times as many clients send at once.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    store.put("op/config", &config());
    let runs: Arc<AtomicUsize> = Arc::default();
    for id in ["i-1", "i-2", "i-3", "i-4"] {
        start_replica(id, &store, &runs);
    }
    let mut nodes: Vec<Node> = ["front-1", "front-2"]
        .iter()
        .map(|name| Node::new(name, store.address, folder, record))
        .collect();
    let seeds: Vec<SocketAddr> = nodes.iter().map(Node::control).collect();
    for node in &mut nodes {
        node.write_settings(&seeds, true);
        node.start();
    }
    nodes.iter().for_each(Node::wait_ready);
    let fronts: Vec<SocketAddr> = nodes.iter().map(Node::frontend).collect();
    let (is_over, is_burst) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let sent: Arc<AtomicUsize> = Arc::default();
    let outcomes: Arc<Mutex<std::collections::BTreeMap<u16, usize>>> = Arc::default();
    let mut clients = Vec::new();
    for (machine, front) in fronts.iter().copied().enumerate() {
        for number in 0..CLIENTS.1 {
            let (is_over, is_burst, sent, outcomes) =
                (is_over.clone(), is_burst.clone(), sent.clone(), outcomes.clone());
            clients.push(std::thread::spawn(move || {
                let body = vec![b'x'; BODY_BYTES];
                while !is_over.load(Ordering::SeqCst) {
                    if number >= CLIENTS.0 && !is_burst.load(Ordering::SeqCst) {
                        std::thread::sleep(Duration::from_millis(20));
                        continue;
                    }
                    let id = format!("q-{machine}-{}", sent.fetch_add(1, Ordering::SeqCst));
                    let status = book(front, &id, &body);
                    *outcomes
                        .lock()
                        .expect("no holder panics")
                        .entry(status)
                        .or_default() += 1;
                    if status != 200 {
                        std::thread::sleep(Duration::from_millis(400));
                    }
                }
            }));
        }
    }
    let mut figures = [Figures::default(), Figures::default()];
    for burst in 0..BURSTS {
        watch(&mut nodes, &mut figures, &seeds, SPAN, record);
        if has_trouble {
            record.say(&format!("burst {} begins", burst + 1));
            is_burst.store(true, Ordering::SeqCst);
        }
        watch(&mut nodes, &mut figures, &seeds, SPAN, record);
        is_burst.store(false, Ordering::SeqCst);
    }
    watch(&mut nodes, &mut figures, &seeds, SPAN, record);
    is_over.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("a client ends"));
    let outcomes = outcomes.lock().expect("no holder panics").clone();
    record.say(&format!(
        "{} requests sent, {} run; answers by status, 0 for none: {outcomes:?}",
        sent.load(Ordering::SeqCst),
        runs.load(Ordering::SeqCst)
    ));
    for (node, figures) in nodes.iter().zip(&figures) {
        record.say(&format!(
            "{}: at most {} kB of {MEMORY_KB} kB, killed {} times over its memory",
            node.name, figures.peak_kb, figures.kills
        ));
    }
    let is_broken = figures.iter().all(|figures| figures.kills >= 3);
    Verdict::from_faults(usize::from(is_broken))
}

/// Does for a while what the platform does: kills a process over its memory, and starts it again.
fn watch(
    nodes: &mut [Node],
    figures: &mut [Figures; 2],
    seeds: &[SocketAddr],
    span: Duration,
    record: &Record,
) {
    let until = Instant::now() + span;
    let mut start_at: [Option<Instant>; 2] = [None, None];
    while Instant::now() < until || start_at.iter().any(Option::is_some) {
        for (index, node) in nodes.iter_mut().enumerate() {
            if let Some(at) = start_at[index] {
                if Instant::now() >= at {
                    node.write_settings(seeds, false);
                    node.start();
                    start_at[index] = None;
                }
                continue;
            }
            let memory_kb = node.memory_kb();
            figures[index].peak_kb = figures[index].peak_kb.max(memory_kb);
            if memory_kb > MEMORY_KB {
                record.say(&format!(
                    "{}: {memory_kb} kB in use, killed by the platform",
                    node.name
                ));
                figures[index].kills += 1;
                node.signal("KILL");
                node.wait_exit(Duration::from_secs(1));
                start_at[index] = Some(Instant::now() + Duration::from_millis(500));
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}
