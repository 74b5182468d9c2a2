//! Crowds of callers, and what each test checks of them.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::node::{GatewayNode, NodeResources, config_document};
use crate::replica::{ReadHabit, start_replica};
use crate::resources::ResourceSampler;
use crate::store::StandInStore;
use crate::wire::request;

/// Memory of the node in its settings, in megabytes; the bound in all tests.
pub const MEMORY_MB: u64 = 64;

/// Longest body that the configuration allows, in bytes.
pub const MAX_BODY_BYTES: usize = 4_194_304;

/// How long a crowd is alone with the node.
const CROWD_SPAN: Duration = Duration::from_secs(6);

/// How long a caller waits before it connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// How often a caller checks whether its connection is open.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long an ordinary caller waits for its answer before it tries again.
const ORDINARY_LIMIT: Duration = Duration::from_secs(3);

/// How often an ordinary caller tries. With 1,024 descriptors and 700 connections that stop short of 8,100 bytes,
/// it took 41 tries while no such connection was closed early.
const ORDINARY_TRIES: usize = 8;

/// How a slow caller reads: so many bytes at once, and this pause after them.
const SLOW_PIECE_BYTES: usize = 512;
const SLOW_PAUSE: Duration = Duration::from_millis(200);

/// Stack of a caller's thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::new(());

/// A node with its store and replicas, alone on the machine as far as these tests go.
pub struct Desk {
    pub node: GatewayNode,
    pub max_fds: usize,
    pub replicas: Vec<SocketAddr>,
    _store: StandInStore,
    _running: MutexGuard<'static, ()>,
}

impl Desk {
    /// Starts a node that may open so many descriptors; the service `nobody` has replicas that read nothing.
    pub fn start(max_fds: usize) -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let store = StandInStore::start();
        let mut document = config_document(1);
        document["limits"]["maxBodyBytes"] = MAX_BODY_BYTES.into();
        store.put("op/config", &document.to_string());
        let replicas = vec![
            start_replica(&store, "i-1", "desk", ReadHabit::Reads),
            start_replica(&store, "i-2", "desk", ReadHabit::Reads),
            start_replica(&store, "i-3", "nobody", ReadHabit::Deaf),
            start_replica(&store, "i-4", "nobody", ReadHabit::Deaf),
        ];
        let resources = NodeResources::default().memory_mb(MEMORY_MB).max_fds(max_fds);
        let node = GatewayNode::start_with_resources(&store, "vm-1", &[], resources);
        node.wait_ready();
        Self {
            node,
            max_fds,
            replicas,
            _store: store,
            _running: running,
        }
    }

    /// Runs a crowd of so many callers and checks the node; the crowd stays while ordinary callers ask.
    pub fn endure(self, kind: &str, callers: usize, habit: CallerHabit, script: Script) {
        let address = self.node.callers();
        self.endure_at(address, kind, callers, habit, script);
    }

    /// Like `endure`, with a crowd that connects to another address of the node.
    pub fn endure_at(
        mut self,
        crowd_address: SocketAddr,
        kind: &str,
        callers: usize,
        habit: CallerHabit,
        script: Script,
    ) {
        let address = self.node.callers();
        let sampler = ResourceSampler::start(&self.node, &self.replicas);
        let crowd = Crowd::start(crowd_address, callers, habit, script);
        std::thread::sleep(CROWD_SPAN);
        let tries = (1..=ORDINARY_TRIES).find(|_| ask_ordinary(address));
        let is_answered = tries.is_some();
        let peak = sampler.peak();
        let is_running = self.node.is_running();
        println!(
            "{kind}: callers={callers} total_kb={} resident_kb={} socket_kb={} descriptors={} running={is_running} \
             ordinary_answered={is_answered} tries={} connects={}",
            peak.total_kb,
            peak.resident_kb,
            peak.socket_kb,
            peak.descriptors,
            tries.unwrap_or(ORDINARY_TRIES),
            crowd.connects()
        );
        drop(crowd);
        assert!(is_running, "{kind}: the process exited");
        assert!(is_answered, "{kind}: no ordinary request was answered");
        assert!(
            peak.total_kb < MEMORY_MB * 1024,
            "{kind}: {} kB of {} kB",
            peak.total_kb,
            MEMORY_MB * 1024
        );
        assert!(
            peak.descriptors <= self.max_fds,
            "{kind}: {} descriptors of {}",
            peak.descriptors,
            self.max_fds
        );
    }
}

/// Sends a short request over a new connection; whether it was served.
pub fn ask_ordinary(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<Vec<u8>> {
        let mut stream = TcpStream::connect_timeout(&address, ORDINARY_LIMIT)?;
        stream.set_read_timeout(Some(ORDINARY_LIMIT))?;
        let text = request(
            "POST",
            "shop.example",
            "/read",
            "ordinary",
            "Connection: close\r\n",
            "x",
        );
        stream.write_all(text.as_bytes())?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        Ok(answer)
    };
    let is_served = ask().is_ok_and(|answer| answer.starts_with(b"HTTP/1.1 200") && answer.ends_with(b"ok"));
    if !is_served {
        std::thread::sleep(POLL_INTERVAL);
    }
    is_served
}

/// What callers do at the end of their script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerHabit {
    /// They read what they are sent.
    Reads,
    /// They keep their connection and read nothing.
    ReadsNothing,
    /// They close their connection.
    Leaves,
}

/// A caller's end of one connection.
pub struct CrowdCaller {
    stream: TcpStream,
    is_stopped: Arc<AtomicBool>,
    /// Number of the caller in its crowd.
    pub number: usize,
}

impl CrowdCaller {
    /// Sends bytes; false if the connection failed or the crowd ends.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        let mut rest = bytes;
        while !rest.is_empty() {
            if self.is_stopped.load(Ordering::Relaxed) {
                return false;
            }
            match self.stream.write(rest) {
                Ok(0) => return false,
                Ok(count) => rest = &rest[count..],
                Err(error) if is_timeout(error.kind()) => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Reads a part of its answer in small pieces with pauses in between.
    pub fn read_slowly(&mut self, pieces: usize) {
        let mut piece = [0; SLOW_PIECE_BYTES];
        for _ in 0..pieces {
            match self.stream.read(&mut piece) {
                Ok(0) => break,
                Ok(_) => std::thread::sleep(SLOW_PAUSE),
                Err(error) if is_timeout(error.kind()) => {}
                Err(_) => break,
            }
        }
    }

    /// Keeps the connection until the node closes it or the crowd ends.
    fn hold(&mut self, habit: CallerHabit) {
        let mut bytes = vec![0; 4_096];
        while !self.is_stopped.load(Ordering::Relaxed) {
            let outcome = match habit {
                CallerHabit::Leaves => return,
                CallerHabit::Reads => self.stream.read(&mut bytes),
                CallerHabit::ReadsNothing => self.stream.peek(&mut bytes[..1]),
            };
            match outcome {
                Ok(0) => return,
                Ok(_) if habit == CallerHabit::ReadsNothing => std::thread::sleep(POLL_INTERVAL),
                Ok(_) => {}
                Err(error) if is_timeout(error.kind()) => {}
                Err(_) => return,
            }
        }
    }
}

fn is_timeout(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

/// What a caller sends over one connection.
pub type Script = fn(&mut CrowdCaller);

/// Callers that connect again whenever their connection is closed, until they are dropped.
pub struct Crowd {
    is_stopped: Arc<AtomicBool>,
    connects: Arc<Mutex<usize>>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    pub fn start(address: SocketAddr, callers: usize, habit: CallerHabit, script: Script) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let connects = Arc::new(Mutex::new(0));
        let threads = (0..callers).map(|number| {
            let (is_stopped, connects) = (is_stopped.clone(), connects.clone());
            let builder = std::thread::Builder::new().stack_size(STACK_BYTES);
            let caller = move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    if let Ok(stream) = TcpStream::connect_timeout(&address, ORDINARY_LIMIT) {
                        *connects.lock().expect("no holder panics") += 1;
                        let timeouts = [
                            stream.set_read_timeout(Some(POLL_INTERVAL)),
                            stream.set_write_timeout(Some(POLL_INTERVAL)),
                        ];
                        assert!(timeouts.iter().all(Result::is_ok));
                        let mut caller = CrowdCaller {
                            stream,
                            is_stopped: is_stopped.clone(),
                            number,
                        };
                        script(&mut caller);
                        caller.hold(habit);
                    }
                    std::thread::sleep(RECONNECT_PAUSE);
                }
            };
            builder.spawn(caller).expect("a thread can be started")
        });
        let threads = threads.collect();
        Self {
            is_stopped,
            connects,
            threads,
        }
    }

    /// How many connections were opened so far.
    pub fn connects(&self) -> usize {
        *self.connects.lock().expect("no holder panics")
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A panic of the thread has been printed.
            let _ = thread.join();
        }
    }
}
