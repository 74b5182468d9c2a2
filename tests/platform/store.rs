//! A stand-in of the platform's store with ranges, watches, a history that can be dropped, outages, and returns from
//! older copies.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::faults::{EndlessBytes, send_endless};
use crate::wire::{read_request, write_answer};

/// How the store behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreBehavior {
    /// It answers as documented.
    Well,
    /// It closes each connection without an answer.
    Lost,
    /// It answers with bytes that have no end.
    Endless,
}

struct StoreState {
    /// All changes in order, as revision, key and value; `None` is a removal.
    changes: Vec<(u64, String, Option<String>)>,
    /// The last revision whose changes are dropped; a watch from before it gets status 410.
    dropped_to: u64,
    behavior: StoreBehavior,
    ranges: u32,
    /// The era, and the value of its header; `None` for answers without one.
    era: u32,
    era_header: Option<String>,
    /// The most items in one page of a range.
    page_size: usize,
}

/// A store that listens on loopback.
#[derive(Clone)]
pub struct StandInStore {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
}

impl StandInStore {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::new(Mutex::new(StoreState {
                changes: Vec::new(),
                dropped_to: 0,
                behavior: StoreBehavior::Well,
                ranges: 0,
                era: 1,
                era_header: Some("1".to_owned()),
                page_size: usize::MAX,
            })),
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

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value.to_owned()));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut state = self.lock();
        let revision = state.changes.len() as u64 + 1;
        state.changes.push((revision, key.to_owned(), value));
    }

    pub fn set_behavior(&self, behavior: StoreBehavior) {
        self.lock().behavior = behavior;
    }

    /// Drops the history of changes so far, as the platform does after a while.
    pub fn drop_history(&self) {
        let mut state = self.lock();
        state.dropped_to = state.changes.len() as u64;
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.lock().changes.len() as u64
    }

    /// Comes back from an outage, as a copy without the last `lost` changes, whose revisions are given out again.
    /// Returns their keys and values.
    pub fn come_back_without(&self, lost: usize) -> Vec<(String, Option<String>)> {
        let mut state = self.lock();
        let kept = state.changes.len() - lost;
        let lost = state.changes.split_off(kept);
        state.dropped_to = state.dropped_to.min(kept as u64);
        state.era += 1;
        state.era_header = Some(state.era.to_string());
        state.behavior = StoreBehavior::Well;
        lost.into_iter().map(|(_, key, value)| (key, value)).collect()
    }

    /// Writes lost changes again, without those of keys that were written after a revision.
    pub fn write_again(&self, lost: Vec<(String, Option<String>)>, after: u64) {
        let mut state = self.lock();
        let written: Vec<String> = state.changes[after as usize..]
            .iter()
            .map(|(_, key, _)| key.clone())
            .collect();
        for (key, value) in lost.into_iter().filter(|(key, _)| !written.contains(key)) {
            let revision = state.changes.len() as u64 + 1;
            state.changes.push((revision, key, value));
        }
    }

    /// The era: it rises by one with each return from an older copy.
    pub fn era(&self) -> u32 {
        self.lock().era
    }

    /// Sets the era that later answers name, whatever the era is.
    pub fn name_era(&self, header: Option<&str>) {
        self.lock().era_header = header.map(str::to_owned);
    }

    /// Limits later pages to this many items.
    pub fn set_page_size(&self, page_size: usize) {
        self.lock().page_size = page_size;
    }

    /// How many pages of ranges were read so far.
    pub fn ranges(&self) -> u32 {
        self.lock().ranges
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream) {
            if self.lock().behavior == StoreBehavior::Lost {
                return;
            }
            if self.lock().behavior == StoreBehavior::Endless {
                send_endless(&mut stream, "", EndlessBytes::NoLength);
                return;
            }
            let (era, era_header) = {
                let state = self.lock();
                (state.era, state.era_header.clone())
            };
            let query = |name: &str| request.query(name);
            let prefix = query("pathPrefix");
            let (status, body) = if request.path() == "/kv-range" {
                (200, self.range(&prefix, &query("after")))
            } else {
                let after = query("after").parse().unwrap_or_default();
                let wait = Duration::from_millis(query("waitMs").parse().unwrap_or_default());
                self.watch(&prefix, after, wait)
            };
            let is_cut = {
                let state = self.lock();
                state.behavior == StoreBehavior::Lost || state.era != era
            };
            let lines: Vec<(&str, &str)> = era_header.iter().map(|era| ("Store-Era", era.as_str())).collect();
            if is_cut || !write_answer(&mut stream, status, &lines, body.to_string().as_bytes()) {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Value {
        let mut state = self.lock();
        state.ranges += 1;
        let mut latest: std::collections::BTreeMap<&str, (u64, &Option<String>)> = Default::default();
        for (revision, key, value) in &state.changes {
            if key.starts_with(prefix) && key.as_str() > after {
                latest.insert(key, (*revision, value));
            }
        }
        let items = latest
            .into_iter()
            .filter_map(|(key, (revision, value))| Some(to_item(key, revision, value.as_deref()?)));
        let mut items: Vec<Value> = items.collect();
        let has_more = items.len() > state.page_size;
        items.truncate(state.page_size);
        json!({ "items": items, "morePages": has_more, "currentRev": state.changes.len() })
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let deadline = Instant::now() + wait;
        let era = self.lock().era;
        loop {
            let state = self.lock();
            if after < state.dropped_to || after > state.changes.len() as u64 {
                return (410, json!({}));
            }
            let newer = state
                .changes
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<Value> = newer
                .map(|(revision, key, value)| match value {
                    Some(value) => to_item(key, *revision, value),
                    None => json!({ "key": key, "revision": revision, "deleted": true }),
                })
                .collect();
            let is_cut = state.behavior != StoreBehavior::Well || state.era != era;
            if !events.is_empty() || is_cut || Instant::now() >= deadline {
                return (
                    200,
                    json!({ "events": events, "currentRev": state.changes.len() }),
                );
            }
            drop(state);
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn to_item(key: &str, revision: u64, value: &str) -> Value {
    json!({ "key": key, "revision": revision, "value": STANDARD.encode(value) })
}
