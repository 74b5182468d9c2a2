//! Memory and descriptors of a node, sampled from the system.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::node::GatewayNode;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The highest figures seen so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourcePeak {
    /// Resident memory and the bytes in the buffers of the node's sockets, in kilobytes.
    pub total_kb: u64,
    /// Resident memory alone, in kilobytes.
    pub resident_kb: u64,
    /// Bytes in the buffers of the node's sockets, in kilobytes.
    pub socket_kb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Samples a node until it is dropped.
pub struct ResourceSampler {
    peak: Arc<Mutex<ResourcePeak>>,
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ResourceSampler {
    /// Starts to sample a node; its sockets are those at its own address and those to the replicas.
    pub fn start(node: &GatewayNode, replicas: &[SocketAddr]) -> Self {
        let (peak, is_stopped) = (Arc::default(), Arc::new(AtomicBool::new(false)));
        let (id, ip, replicas) = (node.process_id(), node.ip, replicas.to_vec());
        let (shared_peak, stopped): (Arc<Mutex<ResourcePeak>>, _) = (Arc::clone(&peak), is_stopped.clone());
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                if let Some(resident_kb) = resident_kb(id) {
                    let socket_kb = socket_bytes(ip, &replicas) / 1024;
                    let folder = std::fs::read_dir(format!("/proc/{id}/fd"));
                    let descriptors = folder.map_or(0, Iterator::count);
                    let mut peak = shared_peak.lock().expect("no holder panics");
                    peak.total_kb = peak.total_kb.max(resident_kb + socket_kb);
                    peak.resident_kb = peak.resident_kb.max(resident_kb);
                    peak.socket_kb = peak.socket_kb.max(socket_kb);
                    peak.descriptors = peak.descriptors.max(descriptors);
                }
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self {
            peak,
            is_stopped,
            thread: Some(thread),
        }
    }

    pub fn peak(&self) -> ResourcePeak {
        *self.peak.lock().expect("no holder panics")
    }
}

impl Drop for ResourceSampler {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed.
            let _ = thread.join();
        }
    }
}

fn resident_kb(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix("kB")?.trim().parse().ok()
}

/// States of sockets in the kernel's table.
const SYN_SENT: &str = "02";
const LISTEN: &str = "0A";

/// Bytes that were received and not read, or written and not acknowledged, on the node's side.
fn socket_bytes(ip: Ipv4Addr, replicas: &[SocketAddr]) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, remote, state) = (fields.next()?, fields.next()?, fields.next()?);
        // A listening socket has no bytes, and before a connection is established its queues show random numbers.
        let has_no_bytes = matches!(state, SYN_SENT | LISTEN);
        let is_own = parse_address(local)?.ip() == ip;
        let is_upstream = replicas.contains(&parse_address(remote)?);
        let (sent, received) = fields.next()?.split_once(':')?;
        let bytes = u64::from_str_radix(sent, 16).ok()? + u64::from_str_radix(received, 16).ok()?;
        (!has_no_bytes && (is_own || is_upstream)).then_some(bytes)
    });
    rows.sum()
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
    Some(SocketAddr::from((ip, u16::from_str_radix(port, 16).ok()?)))
}
