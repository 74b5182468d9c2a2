//! A TCP proxy whose open connections can be made silent for good, while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

pub struct Proxy {
    pub address: SocketAddr,
    /// Number of the next connection.
    next: AtomicU64,
    /// Connections below this number carry nothing any more.
    silent_below: AtomicU64,
}

impl Proxy {
    pub fn start(address: &str, target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a free port");
        let proxy = Arc::new(Self {
            address: listener.local_addr().expect("a bound socket"),
            next: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
        });
        let serving = proxy.clone();
        std::thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let number = serving.next.fetch_add(1, Ordering::SeqCst);
                serving.forward(number, &caller, &server);
                serving.forward(number, &server, &caller);
            }
        });
        proxy
    }

    /// Makes all open connections silent. None of them is closed.
    pub fn silence(&self) {
        self.silent_below
            .store(self.next.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    fn forward(self: &Arc<Self>, number: u64, from: &TcpStream, to: &TcpStream) {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let proxy = self.clone();
        std::thread::spawn(move || {
            let mut bytes = [0; 16 * 1024];
            loop {
                let count = from.read(&mut bytes).unwrap_or(0);
                if number < proxy.silent_below.load(Ordering::SeqCst) {
                    // Neither bytes nor a close are passed on; the sockets stay open.
                    if count == 0 {
                        std::mem::forget((from, to));
                        return;
                    }
                    continue;
                }
                if count == 0 || to.write_all(&bytes[..count]).is_err() {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            }
        });
    }
}
