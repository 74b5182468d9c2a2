//! Stand-ins of replicas: plain ones, and engines that keep prompts under handles.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde_json::json;

use crate::store::StandInStore;
use crate::wire::{Message, read_request, write_answer};

/// What a replica does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaMood {
    /// It answers.
    Well,
    /// It says that it did not run the request.
    NotRun,
    /// It answers with bytes that nobody vouches for.
    Unsigned,
    /// It answers with the id of another request.
    OtherId,
    /// It says that the request is for another replica.
    Misdirected,
    /// It reads the request and closes the connection.
    Breaks,
    /// It sends two events of a stream and closes the connection.
    BreaksStream,
    /// It sends an event each 150 milliseconds.
    Slow,
    /// It runs the request and never answers.
    Silent,
}

/// Events of a whole stream.
pub const STREAM_EVENTS: u64 = 5;

/// A replica that listens on loopback.
#[derive(Clone)]
pub struct StandInReplica {
    pub id: String,
    /// Where it listens, or the way to it.
    pub address: SocketAddr,
    mood: Arc<Mutex<ReplicaMood>>,
    requests: Arc<Mutex<Vec<Message>>>,
    /// Ids of requests that it ran, once for each run.
    runs: Arc<Mutex<Vec<String>>>,
}

impl StandInReplica {
    /// Starts a replica and writes its entry.
    pub fn start(
        store: &StandInStore,
        id: &str,
        service: &str,
        phase: Option<&str>,
        mood: ReplicaMood,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let replica = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            mood: Arc::new(Mutex::new(mood)),
            requests: Arc::default(),
            runs: Arc::default(),
        };
        let served = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = served.clone();
                std::thread::spawn(move || replica.serve(stream));
            }
        });
        replica.publish(store, service, phase, "ready");
        replica
    }

    pub fn publish(&self, store: &StandInStore, service: &str, phase: Option<&str>, state: &str) {
        let mut entry = json!({
            "service": service, "address": self.address, "zone": "a", "slots": 4, "state": state, "born": 1,
        });
        if let Some(phase) = phase {
            entry["phase"] = phase.into();
        }
        store.put(&format!("servers/{}", self.id), &entry.to_string());
    }

    pub fn set_mood(&self, mood: ReplicaMood) {
        *self.mood.lock().expect("no holder panics") = mood;
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Message>> {
        self.requests.lock().expect("no holder panics")
    }

    /// The requests with an id that came so far.
    pub fn seen(&self, id: &str) -> Vec<Message> {
        let requests = self.lock();
        requests
            .iter()
            .filter(|request| request.header("X-Request-Id") == Some(id))
            .cloned()
            .collect()
    }

    /// How often it ran a request.
    pub fn runs(&self, id: &str) -> usize {
        let runs = self.runs.lock().expect("no holder panics");
        runs.iter().filter(|run| *run == id).count()
    }

    /// All requests that came so far.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream) {
            self.lock().push(request.clone());
            if !self.answer(&mut stream, &request) {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let mood = *self.mood.lock().expect("no holder panics");
        let id = request.header("X-Request-Id").unwrap_or_default();
        if !matches!(mood, ReplicaMood::NotRun | ReplicaMood::Misdirected) {
            self.runs.lock().expect("no holder panics").push(id.to_owned());
        }
        let signed = [
            ("X-Request-Id", id),
            ("X-Response-Signature", "s"),
            ("X-Server-Load", "1,0,4"),
        ];
        match mood {
            ReplicaMood::NotRun => {
                write_answer(stream, 503, &[("X-Request-Id", id), ("X-Not-Executed", "1")], b"")
            }
            ReplicaMood::Misdirected => write_answer(stream, 421, &[("X-Request-Id", id)], b""),
            ReplicaMood::Unsigned => write_answer(stream, 200, &[("X-Request-Id", id)], b"whose words?"),
            ReplicaMood::OtherId => write_answer(
                stream,
                200,
                &[("X-Request-Id", "other"), ("X-Response-Signature", "s")],
                b"for another",
            ),
            ReplicaMood::Breaks => false,
            ReplicaMood::Silent => {
                std::thread::sleep(crate::wire::LIMIT);
                false
            }
            _ if request.header("X-Serving-Phase") == Some("prefill") => {
                let body = json!({ "kvHandle": format!("h-{id}") }).to_string();
                write_answer(stream, 200, &signed, body.as_bytes())
            }
            _ if request.header("X-Kv-Source").is_some() || request.path().starts_with("/stream") => {
                send_stream(stream, id, mood)
            }
            _ => {
                let body = [self.id.as_bytes(), b" ", &request.body].concat();
                write_answer(stream, 200, &signed, &body)
            }
        }
    }
}

fn send_stream(stream: &mut TcpStream, id: &str, mood: ReplicaMood) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_sent = stream.write_all(head.as_bytes()).is_ok();
    for number in 1..=STREAM_EVENTS {
        if mood == ReplicaMood::BreaksStream && number > 2 {
            return false;
        }
        if mood == ReplicaMood::Slow {
            std::thread::sleep(Duration::from_millis(150));
        }
        let event = format!("id: {number}\ndata: token\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        is_sent &= stream.write_all(chunk.as_bytes()).is_ok();
    }
    is_sent && stream.write_all(b"0\r\n\r\n").is_ok()
}
