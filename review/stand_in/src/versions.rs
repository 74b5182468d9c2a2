//! Versions of the configuration that are written while a machine is cut off from the store.

use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};

use crate::Verdict;
use crate::http::{exchange, read_message, write_response};
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

/// Routes of the configuration beside the one that is used; it then has less than half of `valueBytes`.
const OTHER_ROUTES: usize = 1_900;

/// Length of the cut.
const CUT: Duration = Duration::from_millis(5_500);

/// Versions that are written during the cut, and the pause between them.
const VERSIONS: u64 = 12;
const VERSION_GAP: Duration = Duration::from_millis(330);

/// `configApplyMs` and `stableWindowMs` of the settings.
const APPLY_MS: u64 = 2_000;
const STABLE_MS: u64 = 3_000;

fn config(version: u64, service: &str) -> Value {
    let route = |name: String, prefix: String, service: &str| {
        json!({
            "name": name, "hostname": "ficu95.example", "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 2000,
            "targetLatencyMs": 300, "priority": 2, "service": service, "attempts": 1, "sessionAffinity": false,
        })
    };
    let mut routes = vec![route("r-book".to_owned(), "/pule252/".to_owned(), service)];
    routes.extend(
        (0..OTHER_ROUTES)
            .map(|number| route(format!("r-idle-{number}"), format!("/idle{number}/"), "desk-a")),
    );
    json!({
        "version": version,
        "routes": routes,
        "services": [
            { "name": "desk-a", "maxConnections": 257, "healthCheck": "/health" },
            { "name": "desk-b", "maxConnections": 257, "healthCheck": "/health" },
        ],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000 },
    })
}

/// Requests that a service has run: the time and the id.
type Runs = Arc<Mutex<Vec<(u64, String)>>>;

fn start_replica(service: &'static str, store: &Store, record: &Record) -> Runs {
    let runs = Runs::default();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let entry = json!({
        "service": service, "address": listener.local_addr().expect("an address"), "zone": "asahikawa", "version": "v1",
        "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1_774_429_000_000_u64,
    });
    store.put(&format!("servers/i-{service}"), &entry);
    let (served, record) = (runs.clone(), record.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (runs, record) = (served.clone(), record.clone());
            std::thread::spawn(move || serve(stream, service, &runs, &record));
        }
    });
    runs
}

fn serve(stream: TcpStream, service: &str, runs: &Runs, record: &Record) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Some(request) = read_message(&mut reader, false) {
        let id = request.header("X-Request-Id").unwrap_or_default().to_owned();
        if !id.is_empty() {
            record.line(&format!("{service}: runs {id}"));
            runs.lock()
                .expect("no holder panics")
                .push((record.now_ms(), id.clone()));
        }
        let headers = [
            ("X-Request-Id", &*id),
            ("X-Response-Signature", "s"),
            ("X-Server-Load", "1,0,6"),
        ];
        if !write_response(&stream, 200, &headers, service.as_bytes()) {
            return;
        }
    }
}

/// One machine. A route moves from one service to another in a series of versions, during which the machine is
/// cut off from the store.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    store.put("op/config", &config(1, "desk-a"));
    let old_runs = start_replica("desk-a", &store, record);
    let _new_runs = start_replica("desk-b", &store, record);
    let mut node = Node::new("front-1", store.address, folder, record);
    node.write_settings(&[node.control()], true);
    node.start();
    node.wait_ready();
    std::thread::sleep(Duration::from_secs(4));
    record.say(&format!(
        "a version has {} bytes",
        config(2, "desk-b").to_string().len()
    ));
    store.set_cut(has_trouble);
    let cut_at_ms = record.now_ms();
    for number in 0..VERSIONS {
        std::thread::sleep(VERSION_GAP);
        store.put("op/config", &config(2 + number, "desk-b"));
    }
    let written_ms = record.now_ms();
    std::thread::sleep(Duration::from_millis(
        (cut_at_ms + CUT.as_millis() as u64).saturating_sub(record.now_ms()),
    ));
    store.set_cut(false);
    let healed_ms = record.now_ms();
    let due_ms = (written_ms + APPLY_MS).max(healed_ms + STABLE_MS);
    let mut sent: Vec<(u64, String)> = Vec::new();
    while record.now_ms() < due_ms + 10_000 {
        let id = format!("q-{:03}", sent.len());
        let head = format!(
            "POST /pule252/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
             Content-Length: 2\r\nConnection: close\r\n\r\n"
        );
        sent.push((record.now_ms(), id));
        let answer = exchange(node.frontend(), &head, b"ok", Duration::from_secs(5));
        let (id, status) = (
            &sent[sent.len() - 1].1,
            answer.map_or(0, |answer| answer.status()),
        );
        record.line(&format!("client: {id} answered {status}"));
        std::thread::sleep(Duration::from_millis(100));
    }
    let old_runs = old_runs.lock().expect("no holder panics");
    let late: Vec<&(u64, String)> = sent
        .iter()
        .filter(|(at_ms, id)| *at_ms > due_ms && old_runs.iter().any(|(_, run)| run == id))
        .collect();
    record.say(&format!(
        "{} requests sent, {} sent more than {APPLY_MS} ms after the last version's ack and {STABLE_MS} ms after the cut were run by the old service",
        sent.len(),
        late.len()
    ));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.say(&format!(
            "CONFIG broken: from {} ms to {} ms after the ack",
            first.0 - written_ms,
            last.0 - written_ms
        ));
    }
    Verdict::from_faults(late.len())
}
