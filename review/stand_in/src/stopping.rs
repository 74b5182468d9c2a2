//! Requests that wait for an engine on a machine that is stopped as planned.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::Verdict;
use crate::engine::{Engine, Handles, Pace};
use crate::http::exchange;
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

const PACE: Pace = Pace {
    slots: 4,
    prefill_tokens_per_ms: 33,
    events: 0,
    event_gap_ms: 50,
    switch_ms: 0,
};

/// Output tokens of a short request (1 s) and of a long one (9 s).
const TOKENS: (u64, u64) = (20, 180);

/// Long requests that come at once, two more than the decode engines have slots.
const LONG_REQUESTS: usize = 10;

/// `graceS` and `lossSlackMs` of the settings.
const GRACE: Duration = Duration::from_secs(8);
const LOSS_SLACK_MS: u64 = 200;

/// The time limit of clients, in milliseconds, and of their routes.
const LIMIT_MS: u64 = 20_000;

fn config() -> serde_json::Value {
    let route = |name: &str, prefix: &str| {
        json!({
            "name": name, "hostname": "ficu95.example", "pathPrefix": prefix, "kind": "streaming", "timeoutMs": LIMIT_MS,
            "targetLatencyMs": 10000, "targetGapMs": 300, "priority": 1, "service": "ash-reader", "attempts": 2,
            "sessionAffinity": true, "resumable": false,
        })
    };
    json!({
        "version": 7,
        "routes": [route("r-note", "/lohu930/"), route("r-log", "/bopu901/")],
        "services": [{
            "name": "ash-reader", "maxConnections": 420, "healthCheck": "/health",
            "engine": { "kvTokens": 200000, "stride": 1, "kvTtlS": 0.5 },
        }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000 },
    })
}

/// How a request ended, as its client sees it.
#[derive(Clone, Debug)]
struct Ending {
    id: String,
    sent_ms: u64,
    ended_ms: u64,
    /// Zero if the channel ended without a head.
    status: u16,
    is_whole: bool,
}

type Endings = Arc<Mutex<Vec<Ending>>>;

fn send(
    address: SocketAddr,
    path: &str,
    id: String,
    tokens: u64,
    endings: &Endings,
    record: &Record,
) -> JoinHandle<()> {
    let (endings, record, path) = (endings.clone(), record.clone(), path.to_owned());
    std::thread::spawn(move || {
        let body = format!("prompt of {id}");
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Model-Name: m\r\n\
             X-Token-Count: 3000,{tokens}\r\nX-Length-Hint: {tokens}\r\nX-Prompt-Prefix: {}:3000\r\n\
             X-Deadline-Ms: {LIMIT_MS}\r\nContent-Length: {}\r\n\r\n",
            id.bytes().map(|byte| format!("{byte:02x}")).collect::<String>(),
            body.len()
        );
        // A channel that could not be opened is no request; the client goes to another machine.
        if std::net::TcpStream::connect_timeout(&address, Duration::from_secs(1)).is_err() {
            record.line(&format!("client: {id} finds no machine at {address}"));
            return;
        }
        let sent_ms = record.now_ms();
        record.line(&format!("client: {id} sent to {address}"));
        let answer = exchange(
            address,
            &head,
            body.as_bytes(),
            Duration::from_millis(LIMIT_MS + 1_000),
        );
        let ending = Ending {
            sent_ms,
            ended_ms: record.now_ms(),
            status: answer.as_ref().map_or(0, |answer| answer.status()),
            is_whole: answer.is_some_and(|answer| answer.is_whole),
            id,
        };
        record.line(&format!("client: {ending:?}"));
        endings.lock().expect("no holder panics").push(ending);
    })
}

/// Two machines and two decode engines with eight slots. Short requests come all the time; then ten long ones, which
/// take all slots for some seconds, and one machine is stopped as planned.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    store.put("op/config", &config());
    let handles = Handles::default();
    let start = |id: &str, phase: &str| Engine::start(id, phase, PACE, &store, record, &handles);
    let engines = [
        start("i-p0", "prefill"),
        start("i-p1", "prefill"),
        start("i-d0", "decode"),
        start("i-d1", "decode"),
    ];
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
    let endings = Endings::default();
    let mut clients = Vec::new();
    let mut send_short = |span: Duration, record: &Record| {
        let until = Instant::now() + span;
        let mut sent = 0;
        while Instant::now() < until {
            let id = format!("q-{}", clients.len());
            clients.push(send(
                fronts[sent % 2],
                "/lohu930/2f",
                id,
                TOKENS.0,
                &endings,
                record,
            ));
            sent += 1;
            std::thread::sleep(Duration::from_millis(200));
        }
    };
    send_short(Duration::from_secs(8), record);
    record.say("long requests come");
    let long: Vec<_> = (0..LONG_REQUESTS)
        .map(|number| {
            send(
                fronts[1],
                "/bopu901/2f",
                format!("long-{number}"),
                TOKENS.1,
                &endings,
                record,
            )
        })
        .collect();
    send_short(Duration::from_millis(800), record);
    let term_ms = record.now_ms();
    if has_trouble {
        record.say("front-1 is stopped as planned");
        nodes[0].signal("TERM");
    }
    // The clients learn within three seconds that the machine is leaving.
    send_short(Duration::from_millis(2_800), record);
    if has_trouble {
        nodes[0].wait_exit(GRACE.saturating_sub(Duration::from_millis(record.now_ms() - term_ms)));
    }
    clients
        .into_iter()
        .chain(long)
        .for_each(|client| client.join().expect("a client ends"));

    let runs: Vec<String> = engines.iter().flat_map(Engine::runs).map(|run| run.id).collect();
    let endings = endings.lock().expect("no holder panics");
    let mut lost = 0;
    for ending in endings.iter().filter(|ending| !ending.is_whole) {
        let was_passed_on = runs.contains(&ending.id);
        let waited_ms = ending.ended_ms - ending.sent_ms;
        // A stream that a replica still works on at the end of the grace is excused.
        let is_lost = !was_passed_on && waited_ms > LOSS_SLACK_MS && waited_ms < LIMIT_MS;
        lost += usize::from(is_lost);
        record.say(&format!(
            "{}: sent {} ms after the stop was ordered, channel ended without an answer after {waited_ms} ms, reached a \
             decode engine: {was_passed_on}{}",
            ending.id,
            ending.sent_ms as i64 - term_ms as i64,
            if is_lost { "; LOST broken" } else { "" }
        ));
    }
    let refused = endings
        .iter()
        .filter(|ending| ending.is_whole && ending.status != 200)
        .count();
    record.say(&format!(
        "{} requests, {refused} refused, {lost} lost",
        endings.len()
    ));
    Verdict::from_faults(lost)
}
