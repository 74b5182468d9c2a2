//! A stand-in of the platform's metadata store: `GET /kv-key`, `GET /kv-range` and `GET /kv-watch`. The operator and
//! the replicas write to it directly.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::base64;
use crate::http::{Connection, Message};
use crate::note;

/// Number of items in one page of a range.
const PAGE_ITEMS: usize = 500;

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: u64,
    /// `None` for a removal.
    item: Option<Item>,
}

/// What the store holds, as a copy keeps it.
#[derive(Clone, Debug, Default)]
pub struct Content {
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    revision: u64,
}

#[derive(Default)]
struct State {
    content: Content,
    era: u64,
    is_away: bool,
    connections: Vec<TcpStream>,
    /// Whether the first address serves no more.
    is_first_closed: bool,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: &str) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a free port");
        let store = Arc::new(Self {
            state: Mutex::new(State {
                era: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            address: listener.local_addr().expect("a bound socket"),
        });
        store.state.lock().expect("no holder panics").content.revision = 100;
        store.accept(listener, true);
        store
    }

    fn accept(self: &Arc<Self>, listener: TcpListener, is_first: bool) {
        let serving = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = serving.state.lock().expect("no holder panics");
                if state.is_away || (is_first && state.is_first_closed) {
                    continue;
                }
                if is_first {
                    state.connections.extend(stream.try_clone().ok());
                }
                drop(state);
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
    }

    /// Serves the same content at a second address, too.
    pub fn listen_also(self: &Arc<Self>, address: &str) {
        note!("store: serves at {address}, too");
        self.accept(TcpListener::bind(address).expect("a free port"), false);
    }

    /// Ends the service at the first address.
    pub fn close_first(&self) {
        note!("store: serves no more at {}", self.address);
        let mut state = self.state.lock().expect("no holder panics");
        state.is_first_closed = true;
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Writes an item. Returns its revision; `None` while the store is away. An unchanged value is no change.
    pub fn put(&self, key: &str, value: &str) -> Option<u64> {
        let mut state = self.state.lock().expect("no holder panics");
        if state.is_away {
            return None;
        }
        let content = &mut state.content;
        let known = content.items.get(key);
        if let Some(known) = known.filter(|known| known.value == value) {
            return Some(known.revision);
        }
        content.revision += 1;
        let revision = content.revision;
        let created = known.map_or(revision, |known| known.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
        };
        content.items.insert(key.to_owned(), item.clone());
        content.changes.push(Change {
            key: key.to_owned(),
            revision,
            item: Some(item),
        });
        self.changed.notify_all();
        drop(state);
        note!("store: revision {revision}: {key} = {value}");
        Some(revision)
    }

    /// Removes an item; returns whether the store did so.
    pub fn remove(&self, key: &str) -> bool {
        let mut state = self.state.lock().expect("no holder panics");
        if state.is_away || state.content.items.remove(key).is_none() {
            return false;
        }
        let content = &mut state.content;
        content.revision += 1;
        let revision = content.revision;
        content.changes.push(Change {
            key: key.to_owned(),
            revision,
            item: None,
        });
        self.changed.notify_all();
        drop(state);
        note!("store: revision {revision}: {key} removed");
        true
    }

    /// Takes a copy of the content.
    pub fn copy(&self) -> Content {
        let state = self.state.lock().expect("no holder panics");
        note!("store: a copy is taken at revision {}", state.content.revision);
        state.content.clone()
    }

    /// Closes all connections and accepts none.
    pub fn leave(&self) {
        let mut state = self.state.lock().expect("no holder panics");
        note!("store: away at revision {}", state.content.revision);
        state.is_away = true;
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// Comes back, with the content of a copy if there is one; that begins another era.
    pub fn come_back(&self, copy: Option<Content>) {
        let mut state = self.state.lock().expect("no holder panics");
        state.is_away = false;
        if let Some(copy) = copy {
            state.content = copy;
            state.era += 1;
        }
        note!(
            "store: back at revision {}, era {}",
            state.content.revision,
            state.era
        );
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read_message(false) {
            let answer = self.answer(&request);
            let Some((status, body, era)) = answer else {
                return;
            };
            let reason = if status == 200 { "OK" } else { "No" };
            let head = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if connection.write(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The answer to a request; `None` if the store goes away meanwhile.
    fn answer(&self, request: &Message) -> Option<(u16, String, u64)> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(known, _)| *known == name)
                .map(|(_, value)| decode(value))
                .unwrap_or_default()
        };
        let state = self.state.lock().expect("no holder panics");
        if state.is_away {
            return None;
        }
        match path {
            "/kv-key" => {
                let content = &state.content;
                let key = value("key");
                Some(match content.items.get(&key) {
                    Some(item) => (200, item_json(&key, item, Some(content.revision)), state.era),
                    None => (404, "{}".to_owned(), state.era),
                })
            }
            "/kv-range" => {
                let (prefix, after) = (value("pathPrefix"), value("after"));
                let content = &state.content;
                let mut found = content
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let page: Vec<String> = found
                    .by_ref()
                    .take(PAGE_ITEMS)
                    .map(|(key, item)| item_json(key, item, None))
                    .collect();
                let more = found.next().is_some();
                let body = format!(
                    "{{\"items\":[{}],\"morePages\":{more},\"currentRev\":{}}}",
                    page.join(","),
                    content.revision
                );
                Some((200, body, state.era))
            }
            "/kv-watch" => self.watch(
                state,
                &value("pathPrefix"),
                number(&value("after")),
                number(&value("waitMs")),
            ),
            _ => Some((404, "{}".to_owned(), state.era)),
        }
    }

    fn watch(
        &self,
        mut state: std::sync::MutexGuard<'_, State>,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> Option<(u16, String, u64)> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return None;
            }
            let content = &state.content;
            if after > content.revision {
                return Some((410, "{}".to_owned(), era));
            }
            let events: Vec<String> = content
                .changes
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(prefix))
                .map(|change| match &change.item {
                    Some(item) => item_json(&change.key, item, None),
                    None => format!(
                        "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                        change.key, change.revision
                    ),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"currentRev\":{}}}",
                    events.join(","),
                    content.revision
                );
                return Some((200, body, era));
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .expect("no holder panics")
                .0;
        }
    }
}

fn item_json(key: &str, item: &Item, current: Option<u64>) -> String {
    let current = current.map_or_else(String::new, |revision| format!(",\"currentRev\":{revision}"));
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0{current}}}",
        base64::encode(item.value.as_bytes()),
        item.revision,
        item.created
    )
}

fn number(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).and_then(|code| std::str::from_utf8(code).ok());
        match code
            .and_then(|code| u8::from_str_radix(code, 16).ok())
            .filter(|_| *first == b'%')
        {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
