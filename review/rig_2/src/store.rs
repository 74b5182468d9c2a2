//! A stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::wire::{Message, Reader, write_answer};

#[derive(Default)]
struct Content {
    /// All changes in order: key and value; `None` is a removal. The revision is the index plus one.
    changes: Vec<(String, Option<String>)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            content: Arc::default(),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(&stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let (content, changed) = &*self.content;
        let mut content = content.lock().expect("no panic");
        content.changes.push((key.to_owned(), Some(value.to_owned())));
        changed.notify_all();
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = Reader::new(copy);
        while let Some(request) = reader.read() {
            let body = match request.target().split('?').next() {
                Some("/kv-range") => self.range(&request),
                Some("/kv-watch") => self.watch(&request),
                _ => "{}".to_owned(),
            };
            let headers = [("Content-Type", "application/json")];
            if !write_answer(stream, 200, &headers, body.as_bytes()) {
                return;
            }
        }
    }

    fn range(&self, request: &Message) -> String {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let content = self.content.0.lock().expect("no panic");
        let mut latest: BTreeMap<&str, (usize, Option<&str>)> = BTreeMap::new();
        for (index, (key, value)) in content.changes.iter().enumerate() {
            if key.starts_with(&prefix) && **key > *after {
                latest.insert(key, (index + 1, value.as_deref()));
            }
        }
        let items = latest
            .iter()
            .filter_map(|(key, (revision, value))| value.map(|value| item(key, *revision, Some(value))));
        let items: Vec<String> = items.collect();
        format!(
            "{{\"items\":[{}],\"morePages\":false,\"currentRev\":{}}}",
            items.join(","),
            content.changes.len()
        )
    }

    fn watch(&self, request: &Message) -> String {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or_default() as usize;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or_default());
        let (content, changed) = &*self.content;
        let mut content = content.lock().expect("no panic");
        loop {
            let newer = content.changes.iter().enumerate().skip(after);
            let events: Vec<String> = newer
                .filter(|(_, (key, _))| key.starts_with(&prefix))
                .map(|(index, (key, value))| item(key, index + 1, value.as_deref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"currentRev\":{}}}",
                    events.join(","),
                    content.changes.len()
                );
            }
            content = changed.wait_timeout(content, left).expect("no panic").0;
        }
    }
}

fn item(key: &str, revision: usize, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
            encode_base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let block = chunk
            .iter()
            .fold(0_u32, |block, byte| block << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = DIGITS[(block >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}
