//! Many callers with legal requests read their answers slowly; the memory of two nodes is watched.

use std::collections::HashSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::node::{MEMORY_MB, Node, free_ports};
use crate::replica::{Replica, ReplicaBounds};
use crate::store::Store;
use crate::wire::Reader;

/// The callers all use one machine, and the other one after half of the time.
const CALLERS: usize = 1_500;
const SPAN: Duration = Duration::from_secs(60);
/// Length of each request's body, in bytes; the limit is 4 MB.
const BODY_BYTES: usize = 8_000;
/// Length of each answer's body, in bytes.
const ANSWER_BYTES: usize = 400_000;
/// A slow caller reads so many bytes at a time, and pauses in between.
const PIECE_BYTES: usize = 512;
const PIECE_PAUSE: Duration = Duration::from_millis(200);
/// A slow caller leaves after a time between these.
const STAY_MS: (u64, u64) = (100, 700);
/// The longest pause of a caller between two requests.
const MOST_PAUSE_MS: u64 = 300;
/// The time limit that callers name.
const LIMIT_MS: u64 = 4_000;

#[derive(Default)]
struct Counts {
    opened: AtomicUsize,
    begun: AtomicUsize,
    refused: AtomicUsize,
    whole: AtomicUsize,
}

pub fn run(has_trouble: bool, record: &Path) -> Outcome {
    let store = Store::start();
    let bounds = ReplicaBounds {
        slots: 12,
        queue: 24,
        work: Duration::from_millis(20),
        answer_bytes: ANSWER_BYTES,
    };
    let start_replica = |number| Replica::start(&store, &format!("i-desk-{number}"), "desk", bounds);
    let _replicas: Vec<Replica> = (1..=4).map(start_replica).collect();
    store.put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"read\",\"hostname\":\"desk.example\",\"pathPrefix\":\"/read/\",\
         \"kind\":\"safe\",\"timeoutMs\":4000,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"desk\",\"attempts\":2}],\
         \"services\":[{\"name\":\"desk\",\"healthCheck\":\"/health\",\"maxConnections\":829}],\
         \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
    );
    const IPS: [&str; 2] = ["127.0.55.1", "127.0.55.2"];
    let ports = free_ports(IPS[0]);
    let start_node = |ip: &&str| Node::start_among(&store, &format!("front-{ip}"), ip, ports, &IPS);
    let mut nodes: Vec<Node> = IPS.iter().map(start_node).collect();
    if !nodes.iter().all(Node::wait_ready) {
        return Outcome::Unable("the nodes did not get ready".to_owned());
    }
    let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.callers).collect();
    let counts = Arc::new(Counts::default());
    let began_at = Instant::now();
    let until = began_at + SPAN;
    let mut threads = Vec::new();
    for number in 0..CALLERS {
        let counts = counts.clone();
        let addresses = addresses.clone();
        let caller = std::thread::Builder::new().stack_size(96 * 1024);
        match caller.spawn(move || call_again(&addresses, number as u64, has_trouble, until, &counts)) {
            Ok(thread) => threads.push(thread),
            Err(error) => return Outcome::Unable(format!("no thread: {error}")),
        }
    }
    let limit_kb = MEMORY_MB * 1_024;
    let mut lines = vec![format!(
        "{CALLERS} callers, reading slowly: {has_trouble}; the memory of each of two machines is {MEMORY_MB} MB ({limit_kb} kB)"
    )];
    let (mut most, mut ends) = (vec![0; nodes.len()], vec![0; nodes.len()]);
    while Instant::now() < until && nodes.iter_mut().all(Node::is_running) {
        std::thread::sleep(Duration::from_millis(50));
        for (index, node) in nodes.iter_mut().enumerate() {
            let (resident, unread) = (resident_kb(node.process_id()), unread_kb(node.process_id()));
            let total = resident + unread;
            most[index] = total.max(most[index]);
            if total > limit_kb {
                ends[index] += 1;
                lines.push(format!(
                    "{:.1} s: machine {index}: {resident} kB resident and {unread} kB received and not read are over the limit; \
                     the platform kills the process and starts it again",
                    began_at.elapsed().as_secs_f64()
                ));
                node.kill_and_restart();
            }
        }
    }
    let is_running = nodes.iter_mut().all(Node::is_running);
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("no panic"));
    let count = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    lines.push(format!(
        "{} channels opened; {} answers begun, {} of them read whole, {} requests refused",
        count(&counts.opened),
        count(&counts.begun),
        count(&counts.whole),
        count(&counts.refused)
    ));
    lines.push(format!(
        "of {limit_kb} kB the machines needed at most {most:?} kB; their processes were over the limit {ends:?} times; three times \
         on both break the rule; they run: {is_running}"
    ));
    let text = lines.join("\n") + "\n";
    print!("{text}");
    if std::fs::write(record, &text).is_err() {
        return Outcome::Unable("the record could not be written".to_owned());
    }
    if ends.iter().all(|ends| *ends > 2) || !is_running {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Sends requests over new channels until the end.
fn call_again(addresses: &[SocketAddr], number: u64, is_slow: bool, until: Instant, counts: &Counts) {
    let mut random = 0x9e37_79b9_7f4a_7c15 ^ (number + 1).wrapping_mul(0x1000_0000_01b3);
    let mut draw = move |bound: u64| {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        random % bound
    };
    for turn in 0.. {
        std::thread::sleep(Duration::from_millis(draw(MOST_PAUSE_MS)));
        if Instant::now() >= until {
            return;
        }
        let is_second_half = until.saturating_duration_since(Instant::now()) < SPAN / 2;
        let address = addresses[usize::from(is_second_half)];
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            continue;
        };
        counts.opened.fetch_add(1, Ordering::Relaxed);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
        let _ = stream.set_write_timeout(Some(Duration::from_millis(1_000)));
        let head = format!(
            "POST /read/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: c{number:07x}{turn:08x}\r\n\
             X-Deadline-Ms: {LIMIT_MS}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        );
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + BODY_BYTES, b'q');
        if stream.write_all(&bytes).is_err() {
            continue;
        }
        if is_slow {
            read_slowly(
                &mut stream,
                Duration::from_millis(STAY_MS.0 + draw(STAY_MS.1 - STAY_MS.0)),
                counts,
            );
            continue;
        }
        let _ = stream.set_read_timeout(Some(Duration::from_millis(LIMIT_MS)));
        match Reader::new(stream).read().map(|answer| answer.status()) {
            Some(200) => {
                counts.begun.fetch_add(1, Ordering::Relaxed);
                counts.whole.fetch_add(1, Ordering::Relaxed);
            }
            Some(_) => {
                counts.refused.fetch_add(1, Ordering::Relaxed);
            }
            None => {}
        }
    }
}

fn read_slowly(stream: &mut TcpStream, stay: Duration, counts: &Counts) {
    let until = Instant::now() + stay;
    let mut piece = [0; PIECE_BYTES];
    let mut is_first = true;
    while Instant::now() < until {
        match stream.read(&mut piece) {
            Ok(0) => return,
            Ok(count) => {
                if std::mem::take(&mut is_first) {
                    let is_begun = piece[..count].starts_with(b"HTTP/1.1 200");
                    let counter = if is_begun { &counts.begun } else { &counts.refused };
                    counter.fetch_add(1, Ordering::Relaxed);
                }
                std::thread::sleep(PIECE_PAUSE);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// The resident memory of a process, in kB.
fn resident_kb(process_id: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or_default()
}

/// Bytes that the system has received for a process and the process has not read, in kB.
fn unread_kb(process_id: u32) -> usize {
    let entries = std::fs::read_dir(format!("/proc/{process_id}/fd"))
        .into_iter()
        .flatten()
        .flatten();
    let links = entries.filter_map(|entry| std::fs::read_link(entry.path()).ok());
    let inodes: HashSet<String> = links
        .filter_map(|link| {
            Some(
                link.to_str()?
                    .strip_prefix("socket:[")?
                    .strip_suffix(']')?
                    .to_owned(),
            )
        })
        .collect();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().skip(1).filter_map(|line| {
        /// State of a socket that listens; its queue counts channels.
        const LISTENS: &str = "0A";
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_own = inodes.contains(*fields.get(9)?) && *fields.get(3)? != LISTENS;
        let (_, received) = fields.get(4)?.split_once(':')?;
        is_own.then(|| usize::from_str_radix(received, 16).ok()).flatten()
    });
    unread.sum::<usize>() / 1_024
}
