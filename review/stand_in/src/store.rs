//! The platform's store: ranges and watches over one revision counter.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{Message, read_message, write_response};
use crate::record::Record;

/// The most items of one page.
const PAGE_ITEMS: usize = 500;

/// How long changes are kept for watches (`historyS`).
const HISTORY: Duration = Duration::from_secs(20);

struct Change {
    made_at: Instant,
    revision: u64,
    key: String,
    value: Option<String>,
}

#[derive(Default)]
struct StoreState {
    changes: Vec<Change>,
    /// For each answer that carried a removal: the key and the time since the start.
    told_removals: Vec<(String, u64)>,
    /// Whether the machines are cut off from the store.
    is_cut: bool,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    record: Record,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            record: record.clone(),
            state: Arc::default(),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &Value) {
        self.change(key, Some(value.to_string()));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no holder panics");
        let revision = state.changes.len() as u64 + 1;
        let what = if value.is_some() { "written" } else { "removed" };
        self.record
            .line(&format!("store: {key} {what} at revision {revision}"));
        state.changes.push(Change {
            made_at: Instant::now(),
            revision,
            key: key.to_owned(),
            value,
        });
        changed.notify_all();
    }

    /// Cuts the machines off from the store, or heals the cut. Nothing is answered meanwhile.
    pub fn set_cut(&self, is_cut: bool) {
        let what = if is_cut {
            "is cut off from the machines"
        } else {
            "can be reached again"
        };
        self.record.say(&format!("the store {what}"));
        self.state.0.lock().expect("no holder panics").is_cut = is_cut;
    }

    fn is_cut(&self) -> bool {
        self.state.0.lock().expect("no holder panics").is_cut
    }

    /// When an answer of the store first carried the removal of a key.
    pub fn told_removal_ms(&self, key: &str) -> Option<u64> {
        let state = self.state.0.lock().expect("no holder panics");
        let mut told = state.told_removals.iter();
        told.find(|(other, _)| other == key).map(|(_, ms)| *ms)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Some(request) = read_message(&mut reader, false) {
            let (status, body) = match request.path() {
                "/kv-range" => (200, self.range(&request)),
                "/kv-watch" => match self.watch(&request) {
                    Some(body) => (200, body),
                    None => (410, json!({})),
                },
                _ => (404, json!({})),
            };
            while self.is_cut() {
                std::thread::sleep(Duration::from_millis(10));
            }
            let headers = [("Content-Type", "application/json")];
            let text = body.to_string();
            if text.len() > 1_000_000 {
                self.record.line(&format!(
                    "store: {} answered with {} bytes",
                    request.path(),
                    text.len()
                ));
            }
            if !write_response(&stream, status, &headers, text.as_bytes()) {
                return;
            }
            let removed = body["events"].as_array().into_iter().flatten();
            let removed = removed.filter(|event| event["deleted"] == true);
            for event in removed {
                let key = event["key"].as_str().unwrap_or_default().to_owned();
                let ms = self.record.now_ms();
                let mut state = self.state.0.lock().expect("no holder panics");
                state.told_removals.push((key, ms));
            }
        }
    }

    fn range(&self, request: &Message) -> Value {
        let (prefix, after) = (request.query("pathPrefix"), request.query("after"));
        let state = self.state.0.lock().expect("no holder panics");
        let mut latest: BTreeMap<&str, &Change> = BTreeMap::new();
        for change in &state.changes {
            if change.key.starts_with(&prefix) && *change.key > *after {
                latest.insert(&change.key, change);
            }
        }
        let mut items: Vec<Value> = latest
            .into_values()
            .filter(|change| change.value.is_some())
            .map(to_event)
            .collect();
        let has_more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        json!({ "items": items, "morePages": has_more, "currentRev": state.changes.len() })
    }

    /// Waits for changes; `None` if the history does not go back far enough.
    fn watch(&self, request: &Message) -> Option<Value> {
        let prefix = request.query("pathPrefix");
        let after: u64 = request.query("after").parse().unwrap_or_default();
        let wait_ms: u64 = request.query("waitMs").parse().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no holder panics");
        loop {
            let old = state.changes.iter();
            let mut old =
                old.filter(|change| change.made_at.elapsed() > HISTORY && change.key.starts_with(&prefix));
            if old.any(|change| change.revision > after) {
                return None;
            }
            let newer = state.changes.iter();
            let newer = newer.filter(|change| change.revision > after && change.key.starts_with(&prefix));
            let events: Vec<Value> = newer.map(to_event).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return Some(json!({ "events": events, "currentRev": state.changes.len() }));
            }
            state = changed.wait_timeout(state, left).expect("no holder panics").0;
        }
    }
}

fn to_event(change: &Change) -> Value {
    match &change.value {
        Some(value) => json!({
            "key": change.key, "revision": change.revision, "created": change.revision, "lease": 0,
            "value": STANDARD.encode(value),
        }),
        None => json!({ "key": change.key, "revision": change.revision, "deleted": true }),
    }
}
