//! Resumable streams whose engine crashes, where an event holds several tokens and the last one fewer.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::engine::{Engine, Handles, Pace};
use crate::http::read_message;
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

const PACE: Pace = Pace {
    prefill_tokens_per_ms: 33,
    events: 30,
    event_tokens: 12,
    event_gap_ms: 60,
    switch_ms: 0,
};

/// Clients, each of which sends one request after the other on a kept channel.
const CLIENTS: usize = 32;

/// More channels than this that are closed without an answer break the rule.
const MOST_CLOSED: usize = 3;

fn config() -> serde_json::Value {
    json!({
        "version": 7,
        "routes": [{
            "name": "r-assay", "hostname": "ficu95.example", "pathPrefix": "/lohu930/", "kind": "streaming",
            "timeoutMs": 14000, "targetLatencyMs": 900, "targetGapMs": 300, "priority": 1, "service": "ash-reader",
            "attempts": 2, "sessionAffinity": true, "resumable": true,
        }],
        "services": [{
            "name": "ash-reader", "maxConnections": 420, "healthCheck": "/health",
            "engine": { "kvTokens": 200000, "stride": 12, "kvTtlS": 0.5 },
        }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000 },
    })
}

/// A request whose channel was closed before its answer was complete.
type Closed = Arc<Mutex<Vec<String>>>;

fn send_in_turn(client: usize, address: SocketAddr, is_over: &AtomicBool, closed: &Closed, record: &Record) {
    let mut channel: Option<(TcpStream, BufReader<TcpStream>)> = None;
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        if channel.is_none() {
            channel = TcpStream::connect(address).ok().and_then(|stream| {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
                let reading = stream.try_clone().ok()?;
                Some((stream, BufReader::new(reading)))
            });
        }
        let Some((stream, reader)) = &mut channel else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        let id = format!("q-{client:02}-{number}");
        let body = format!("prompt of {id}");
        let head = format!(
            "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Model-Name: m\r\n\
             X-Token-Count: 3000,400\r\nX-Prompt-Prefix: {client:04x}{number:04x}:3000\r\nX-Deadline-Ms: 14000\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = match stream.write_all(head.as_bytes()) {
            Ok(()) => read_message(reader, true),
            Err(_) => None,
        };
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        let last = answer
            .as_ref()
            .and_then(|answer| answer.event_ids().last().copied())
            .unwrap_or_default();
        let is_whole = answer.is_some_and(|answer| answer.is_whole);
        record.line(&format!(
            "client: request {id} ends: status {status}, last event {last}, whole {is_whole}"
        ));
        if !is_whole {
            closed.lock().expect("no holder panics").push(id);
            channel = None;
        }
    }
}

/// One machine, four prefill and four decode engines, a steady load. One decode engine crashes.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    store.put("op/config", &config());
    let handles = Handles::default();
    let start = |id: String, phase: &str| Engine::start(&id, phase, PACE, &store, record, &handles);
    let _prefills: Vec<Engine> = (0..4)
        .map(|number| start(format!("i-p{number}"), "prefill"))
        .collect();
    let decodes: Vec<Engine> = (0..4)
        .map(|number| start(format!("i-d{number}"), "decode"))
        .collect();
    let mut node = Node::new("front-1", store.address, folder, record);
    node.write_settings(&[node.control()], true);
    node.start();
    node.wait_ready();
    let (is_over, closed) = (Arc::new(AtomicBool::new(false)), Closed::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (is_over, closed, record, address) =
                (is_over.clone(), closed.clone(), record.clone(), node.frontend());
            std::thread::sleep(Duration::from_millis(90));
            std::thread::spawn(move || send_in_turn(client, address, &is_over, &closed, &record))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(6));
    if has_trouble {
        record.say(&format!("engine {} crashes", decodes[0].id));
        decodes[0].exit();
        store.remove(&decodes[0].key());
    }
    std::thread::sleep(Duration::from_secs(8));
    is_over.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("a client ends"));

    let closed = closed.lock().expect("no holder panics");
    let on_sound = |id: &&String| {
        decodes[1..]
            .iter()
            .any(|engine| engine.runs().iter().any(|run| run.id == **id))
    };
    let lost: Vec<&String> = closed.iter().filter(on_sound).collect();
    record.say(&format!(
        "{} channels closed without a complete answer, {} of them after the request had reached a sound engine: {lost:?}",
        closed.len(),
        lost.len()
    ));
    Verdict::from_faults(lost.len().saturating_sub(MOST_CLOSED))
}
