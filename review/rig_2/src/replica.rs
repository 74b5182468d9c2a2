//! A stand-in of a replica of a plain service, which runs each request that it accepts and journals it.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::wire::{Message, Reader, write_answer};

/// What the replicas saw of one request.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub id: String,
    pub replica: String,
    /// When the run began.
    pub began_at: Instant,
    /// Whether the answer was written to the connection in full.
    pub is_answered: bool,
}

#[derive(Default)]
struct Occupancy {
    running: u32,
    waiting: u32,
}

/// The bounds of a replica, as a site file names them.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaBounds {
    pub slots: u32,
    pub queue: u32,
    pub work: Duration,
    /// Length of an answer's body, in bytes.
    pub answer_bytes: usize,
}

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    bounds: ReplicaBounds,
    occupancy: Arc<(Mutex<Occupancy>, Condvar)>,
    runs: Arc<Mutex<Vec<RunRecord>>>,
}

impl Replica {
    /// Starts a replica, which registers itself in the store and renews its entry.
    pub fn start(store: &Store, id: &str, service: &str, bounds: ReplicaBounds) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let replica = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            bounds,
            occupancy: Arc::default(),
            runs: Arc::default(),
        };
        let (writer, store, service) = (replica.clone(), store.clone(), service.to_owned());
        std::thread::spawn(move || writer.renew_entry(&store, &service));
        let served = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = served.clone();
                std::thread::spawn(move || replica.serve(&stream));
            }
        });
        replica
    }

    pub fn runs(&self) -> Vec<RunRecord> {
        self.runs.lock().expect("no panic").clone()
    }

    fn renew_entry(&self, store: &Store, service: &str) {
        const BORN_MS: u64 = 1_790_000_000_000;
        for sequence in 0_u64.. {
            store.put(
                &format!("servers/{}", self.id),
                &format!(
                    "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"asahikawa\",\"version\":\"v1\",\
                     \"slots\":{},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{BORN_MS}}}",
                    self.address, self.bounds.slots
                ),
            );
            std::thread::sleep(Duration::from_millis(1_200));
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = Reader::new(copy);
        while let Some(request) = reader.read() {
            if !self.answer(stream, &request) {
                return;
            }
        }
    }

    fn answer(&self, stream: &TcpStream, request: &Message) -> bool {
        let id = request.header("X-Request-Id").unwrap_or_default().to_owned();
        let echo = ("X-Request-Id", &*id);
        if request
            .header("X-Expect-Instance")
            .is_some_and(|expected| expected != self.id)
        {
            return write_answer(stream, 421, &[echo, ("X-Instance-Id", &self.id)], b"");
        }
        if request.target() == "/health" {
            let load = self.load();
            return write_answer(
                stream,
                200,
                &[("X-Instance-Id", &self.id), ("X-Server-Load", &load)],
                b"",
            );
        }
        if id.is_empty() {
            return write_answer(stream, 400, &[("X-Not-Executed", "1")], b"");
        }
        if !self.enter() {
            let load = self.load();
            return write_answer(
                stream,
                503,
                &[echo, ("X-Not-Executed", "1"), ("X-Server-Load", &load)],
                b"",
            );
        }
        let index = {
            let mut runs = self.runs.lock().expect("no panic");
            runs.push(RunRecord {
                id: id.clone(),
                replica: self.id.clone(),
                began_at: Instant::now(),
                is_answered: false,
            });
            runs.len() - 1
        };
        std::thread::sleep(self.bounds.work);
        self.leave();
        let load = self.load();
        let signature = format!("s.{}.{id}", self.id);
        let headers = [
            echo,
            ("X-Response-Signature", &*signature),
            ("X-Server-Load", &*load),
        ];
        let body: Vec<u8> = id.bytes().cycle().take(self.bounds.answer_bytes).collect();
        let is_answered = write_answer(stream, 200, &headers, &body);
        self.runs.lock().expect("no panic")[index].is_answered = is_answered;
        is_answered
    }

    fn load(&self) -> String {
        let occupancy = self.occupancy.0.lock().expect("no panic");
        format!(
            "{},{},{}",
            occupancy.running, occupancy.waiting, self.bounds.slots
        )
    }

    /// Waits for a slot; false if the queue is full.
    fn enter(&self) -> bool {
        let (occupancy, freed) = &*self.occupancy;
        let mut occupancy = occupancy.lock().expect("no panic");
        if occupancy.running >= self.bounds.slots {
            if occupancy.waiting >= self.bounds.queue {
                return false;
            }
            occupancy.waiting += 1;
            while occupancy.running >= self.bounds.slots {
                occupancy = freed.wait(occupancy).expect("no panic");
            }
            occupancy.waiting -= 1;
        }
        occupancy.running += 1;
        true
    }

    fn leave(&self) {
        let (occupancy, freed) = &*self.occupancy;
        occupancy.lock().expect("no panic").running -= 1;
        freed.notify_one();
    }
}
