//! Streams whose decode engine leaves while their prompts are prefilled elsewhere.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::engine::{Engine, Handles, Pace};
use crate::http::exchange;
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

/// `drainMs` of the settings.
const DRAIN_MS: u64 = 2_000;

/// How much longer than `drainMs` the leaving engine serves. The pages: "a little longer (at times many
/// seconds)".
const LINGER_MS: u64 = 3_000;

/// Prompt tokens of each request; 4 s of prefill.
const PROMPT_TOKENS: u64 = 40_000;

const PACE: Pace = Pace {
    slots: 64,
    prefill_tokens_per_ms: 10,
    events: 40,
    event_gap_ms: 50,
    switch_ms: 0,
};

/// Pause between two requests.
const REQUEST_GAP: Duration = Duration::from_millis(125);

/// Requests before and after the engine begins to leave.
const REQUESTS: (usize, usize) = (64, 56);

fn config() -> serde_json::Value {
    json!({
        "version": 7,
        "routes": [{
            "name": "r-long", "hostname": "ficu95.example", "pathPrefix": "/lohu930/", "kind": "streaming",
            "timeoutMs": 20000, "targetLatencyMs": 8000, "targetGapMs": 300, "priority": 1, "service": "ash-reader",
            "attempts": 2, "sessionAffinity": true, "resumable": false,
        }],
        "services": [{
            "name": "ash-reader", "maxConnections": 420, "healthCheck": "/health",
            "engine": { "kvTokens": 2000000, "stride": 1, "kvTtlS": 0.5 },
        }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000 },
    })
}

/// One machine, 20 prefill and 3 decode engines, a steady load of long prompts. The entry of one decode engine is
/// removed, and the engine exits five seconds later.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    store.put("op/config", &config());
    let handles = Handles::default();
    let start = |id: String, phase: &str| Engine::start(&id, phase, PACE, &store, record, &handles);
    let _prefills: Vec<Engine> = (0..20)
        .map(|number| start(format!("i-p{number:02}"), "prefill"))
        .collect();
    let decodes: Vec<Engine> = (0..3)
        .map(|number| start(format!("i-d{number}"), "decode"))
        .collect();
    let mut node = Node::new("front-1", store.address, folder, record);
    node.write_settings(&[node.control()], true);
    node.start();
    node.wait_ready();

    let answers: Arc<Mutex<Vec<(String, bool)>>> = Arc::default();
    let mut clients = Vec::new();
    let mut send = |number: usize| {
        let (answers, record, address) = (answers.clone(), record.clone(), node.frontend());
        clients.push(std::thread::spawn(move || {
            let id = format!("q-{number:03}");
            let body = format!("prompt of {id}");
            let head = format!(
                "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Model-Name: m\r\n\
                 X-Token-Count: {PROMPT_TOKENS},80\r\nX-Prompt-Prefix: {number:08x}:{PROMPT_TOKENS}\r\n\
                 X-Deadline-Ms: 20000\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            record.line(&format!("client: request {id} sent"));
            let answer = exchange(address, &head, body.as_bytes(), Duration::from_secs(21));
            let (status, events) = answer
                .as_ref()
                .map_or((0, 0), |answer| (answer.status(), answer.event_ids().len()));
            let is_whole = answer.is_some_and(|answer| answer.is_whole && answer.status() == 200);
            record.line(&format!("client: request {id} ends: status {status}, {events} events, whole {is_whole}"));
            answers.lock().expect("no holder panics").push((id, is_whole));
        }));
        std::thread::sleep(REQUEST_GAP);
    };
    (0..REQUESTS.0).for_each(&mut send);
    let leaving = decodes[0].clone();
    if has_trouble {
        record.say(&format!("engine {} leaves: its entry is removed", leaving.id));
        store.remove(&leaving.key());
        let engine = leaving.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(DRAIN_MS + LINGER_MS));
            engine.exit();
        });
    }
    (REQUESTS.0..REQUESTS.0 + REQUESTS.1).for_each(&mut send);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("a client ends"));

    let answers = answers.lock().expect("no holder panics");
    let broken: Vec<&str> = answers
        .iter()
        .filter(|(_, is_whole)| !is_whole)
        .map(|(id, _)| &**id)
        .collect();
    record.say(&format!(
        "{} requests, {} without a whole answer: {broken:?}",
        answers.len(),
        broken.len()
    ));
    let Some(told_ms) = store.told_removal_ms(&leaving.key()) else {
        return if has_trouble || !broken.is_empty() {
            Verdict::NotRun
        } else {
            Verdict::Held
        };
    };
    let late: Vec<_> = leaving
        .runs()
        .into_iter()
        .filter(|run| run.at_ms > told_ms + DRAIN_MS)
        .collect();
    for run in &late {
        let is_broken = broken.contains(&&*run.id);
        record.say(&format!(
            "DRAIN broken: request {} reached {} {} ms after the machine was told that it is gone; answer lost: {is_broken}",
            run.id,
            leaving.id,
            run.at_ms - told_ms
        ));
    }
    Verdict::from_faults(late.len())
}
