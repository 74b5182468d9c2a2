//! The simulated process of a stand-in replica: it can crash, which closes its port and all its
//! connections, and restart.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use dotterelspan::prelude::FastMap;
use socket2::SockRef;

use crate::node::wait_until;

/// Time from a crash of the process to its restart.
pub const RESTART_DELAY: Duration = Duration::from_millis(1_500);

/// How much later than its connections a process may close its port.
const PORT_CLOSE_DELAY: Duration = Duration::from_millis(3);

/// For how long a port is unclear where its end is.
const UNCLEAR_PORT_SPAN: Duration = Duration::from_millis(150);

/// How much later than its connections the port of an exiting process may be closed on a busy machine.
const PORT_LAG: Duration = Duration::from_millis(30);

/// What the port of a process does once its connections were closed by a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortEnd {
    /// It is closed with the connections.
    Closes,
    /// Something in front of it accepts connections and closes them, until the restart.
    ClosesConnections,
    /// It resets connections for [`UNCLEAR_PORT_SPAN`], then it is closed.
    Resets,
    /// It accepts connections without a word for [`UNCLEAR_PORT_SPAN`], then it is closed.
    IsSilent,
    /// Its system completes connections for [`PORT_LAG`] that nobody accepts, and resets them as it is closed.
    LagsBehind,
    /// It stays open, and the process runs again at once.
    StaysOpen,
}

impl PortEnd {
    /// All ends.
    pub const ALL: [Self; 6] = [
        Self::Closes,
        Self::ClosesConnections,
        Self::Resets,
        Self::IsSilent,
        Self::LagsBehind,
        Self::StaysOpen,
    ];
}

/// One replica's process across its restarts.
pub struct ReplicaProcess {
    address: SocketAddr,
    is_down: AtomicBool,
    starts: AtomicU64,
    /// Clones of the open connections, by number, with which a crash closes them.
    connections: Mutex<FastMap<u64, TcpStream>>,
    next_connection: AtomicU64,
    crash_times: Mutex<Vec<Instant>>,
    closes_port_last: AtomicBool,
    port_end: Mutex<PortEnd>,
}

impl ReplicaProcess {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            is_down: AtomicBool::new(false),
            starts: AtomicU64::new(1),
            connections: Mutex::default(),
            next_connection: AtomicU64::default(),
            crash_times: Mutex::default(),
            closes_port_last: AtomicBool::new(false),
            port_end: Mutex::new(PortEnd::Closes),
        }
    }

    /// Number of the current start; the first is one.
    pub fn start_number(&self) -> u64 {
        self.starts.load(Ordering::SeqCst)
    }

    /// Times of all crashes so far.
    pub fn crash_times(&self) -> Vec<Instant> {
        self.lock_crash_times().clone()
    }

    fn lock_crash_times(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.crash_times.lock().expect("no holder panics")
    }

    /// Makes the process close its connections a little before its port when it crashes.
    pub fn close_port_last(&self) {
        self.closes_port_last.store(true, Ordering::SeqCst);
    }

    /// Sets what the port does after later crashes.
    pub fn set_port_end(&self, end: PortEnd) {
        *self.lock_port_end() = end;
    }

    fn lock_port_end(&self) -> MutexGuard<'_, PortEnd> {
        self.port_end.lock().expect("no holder panics")
    }

    /// Crashes the process; the accepting thread notices at once.
    pub fn crash(&self) {
        if !self.is_down.swap(true, Ordering::SeqCst) {
            self.lock_crash_times().push(Instant::now());
            // Wakes the accepting thread, which closes the port. Fails only if the port is closed already.
            let _ = TcpStream::connect(self.address);
        }
    }

    fn lock_connections(&self) -> MutexGuard<'_, FastMap<u64, TcpStream>> {
        self.connections.lock().expect("no holder panics")
    }

    /// Removes a connection, which closes once its server thread drops it.
    pub fn remove_connection(&self, number: u64) {
        self.lock_connections().remove(&number);
    }

    /// Accepts connections until the process crashes, then closes the port and all connections. The server
    /// of a connection calls `remove_connection` when it is done. Returns the listener if the port stays open.
    pub fn accept_until_crash(
        &self,
        listener: TcpListener,
        mut serve: impl FnMut(TcpStream, u64),
    ) -> Option<TcpListener> {
        for stream in listener.incoming().flatten() {
            if self.is_down.load(Ordering::SeqCst) {
                break;
            }
            let copy = stream.try_clone().expect("a socket can be cloned");
            let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
            self.lock_connections().insert(number, copy);
            serve(stream, number);
        }
        if self.closes_port_last.load(Ordering::SeqCst) {
            std::thread::sleep(PORT_CLOSE_DELAY);
        }
        let end = *self.lock_port_end();
        let kept = match end {
            PortEnd::Closes => None,
            _ => listener.try_clone().ok(),
        };
        drop(listener);
        for (_, stream) in self.lock_connections().drain() {
            // Fails if the other end has closed the connection.
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let listener = kept?;
        match end {
            PortEnd::Closes => None,
            PortEnd::StaysOpen => Some(listener),
            PortEnd::ClosesConnections => {
                hold_port(listener, RESTART_DELAY, |_| None);
                None
            }
            PortEnd::Resets => {
                hold_port(listener, UNCLEAR_PORT_SPAN, |stream| {
                    SockRef::from(&stream)
                        .set_linger(Some(Duration::ZERO))
                        .expect("a socket option");
                    None
                });
                None
            }
            PortEnd::LagsBehind => {
                std::thread::sleep(PORT_LAG);
                None
            }
            PortEnd::IsSilent => {
                hold_port(listener, UNCLEAR_PORT_SPAN, Some);
                None
            }
        }
    }

    /// Waits for the restart, then listens on the same port again. With `open`, the listener of a port that
    /// stayed open, the process runs again at once.
    pub fn restart(&self, open: Option<TcpListener>) -> TcpListener {
        let mut listener = open;
        if listener.is_none() {
            std::thread::sleep(RESTART_DELAY);
        }
        wait_until("the port is free again", || {
            listener = listener.take().or_else(|| TcpListener::bind(self.address).ok());
            listener.is_some()
        });
        self.starts.fetch_add(1, Ordering::SeqCst);
        self.is_down.store(false, Ordering::SeqCst);
        listener.expect("it was bound")
    }
}

/// Accepts connections for a while on behalf of a process that has ended. Those that `keep` returns stay open
/// until the end of it, the others are closed.
fn hold_port(listener: TcpListener, span: Duration, mut keep: impl FnMut(TcpStream) -> Option<TcpStream>) {
    let over_at = Instant::now() + span;
    let mut kept = Vec::new();
    listener.set_nonblocking(true).expect("a socket option");
    while Instant::now() < over_at {
        match listener.accept() {
            Ok((stream, _)) => kept.extend(keep(stream)),
            Err(_) => std::thread::sleep(Duration::from_millis(1)),
        }
    }
}
