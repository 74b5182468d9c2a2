//! Many users come at once at a machine whose channels are all in use. Clients with kept channels send a request each
//! few seconds, as before; new clients open channels meanwhile, and the machine closes others in their favor.

use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::node::Node;
use crate::replica::{Replica, ReplicaBounds, RunRecord};
use crate::store::Store;
use crate::wire::Reader;

/// Clients with kept channels: threads, and the channels of each; 752 in all. A process of 96 MB and 2,870 descriptors
/// admits 768.
const KEEPER_THREADS: usize = 16;
const CHANNELS_EACH: usize = 47;
/// How often each kept channel is used: less than four fifths of the 15 s that a channel may be idle. Together that is 64
/// requests a second, as many as the site's clients send to all machines.
const PERIOD: Duration = Duration::from_millis(11_750);
/// Time between two moments at which clients send.
const STEP: Duration = Duration::from_millis(250);
/// New clients, each with a channel and a request at each step of a burst: 80 a second more, 2.25 times the traffic.
const NEWCOMER_THREADS: usize = 20;
/// How long a burst lasts. The new clients stay until its end.
const BURST: Duration = Duration::from_millis(4_000);
/// From the begin of one burst to the next; all kept channels are used in between.
const BURST_DISTANCE: Duration = Duration::from_millis(16_250);
const BURSTS: u32 = 6;
/// The time limit of each request.
const LIMIT_MS: u64 = 4_000;

/// What became of one request at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Answered(u16),
    /// The channel was closed or reset without a complete answer.
    Closed,
    /// Nothing came within the time limit.
    Silent,
}

struct Sent {
    id: String,
    is_kept: bool,
    sent_at: Instant,
    end: End,
    ended_at: Instant,
}

/// What all clients share.
struct Clients {
    address: SocketAddr,
    next_id: AtomicUsize,
    reopened: AtomicUsize,
    sent: Mutex<Vec<Sent>>,
    begin: Instant,
    /// When the first burst begins.
    crowd_at: Instant,
    until: Instant,
}

struct Channel {
    stream: TcpStream,
    reader: Reader,
}

impl Channel {
    fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_millis(LIMIT_MS)))
            .ok()?;
        let reader = Reader::new(stream.try_clone().ok()?);
        Some(Self { stream, reader })
    }

    /// Whether the node has closed the channel, as far as its client can know before it sends.
    fn is_closed(&self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

impl Clients {
    /// Sends one request and waits for its end; returns whether the channel can be used again.
    fn ask(&self, channel: &mut Channel, is_kept: bool) -> bool {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("b{number:015x}");
        let body = format!("collect={id}");
        let request = format!(
            "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {LIMIT_MS}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let sent_at = Instant::now();
        // A write to a channel that was closed meanwhile shows when the answer is read.
        let _ = channel.stream.write_all(request.as_bytes());
        let answer = channel.reader.read();
        let end = match &answer {
            Some(answer) => End::Answered(answer.status()),
            None if sent_at.elapsed() >= Duration::from_millis(LIMIT_MS - 50) => End::Silent,
            None => End::Closed,
        };
        let sent = Sent {
            id,
            is_kept,
            sent_at,
            end,
            ended_at: Instant::now(),
        };
        self.sent.lock().expect("no panic").push(sent);
        answer.is_some_and(|answer| answer.header("Connection").is_none_or(|text| text != "close"))
    }

    /// Uses kept channels in turn, and opens another one in place of each that was closed.
    fn keep_channels(&self) {
        let mut channels: Vec<Option<Channel>> =
            (0..CHANNELS_EACH).map(|_| Channel::open(self.address)).collect();
        for turn in 0_usize.. {
            let at = self.begin + STEP * turn as u32;
            if at >= self.until {
                return;
            }
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let slot = &mut channels[turn % CHANNELS_EACH];
            if slot.as_ref().is_none_or(Channel::is_closed) {
                self.reopened.fetch_add(1, Ordering::Relaxed);
                *slot = Channel::open(self.address);
            }
            let can_stay = slot.as_mut().is_some_and(|channel| self.ask(channel, true));
            if !can_stay {
                *slot = None;
            }
        }
    }

    /// Opens new channels at each step of a burst, and keeps them until its end.
    fn come(&self) {
        for burst in 0..BURSTS {
            let from = self.crowd_at + BURST_DISTANCE * burst;
            let mut open = Vec::new();
            for turn in 0.. {
                let at = from + STEP * turn;
                if at >= from + BURST {
                    break;
                }
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                if let Some(mut channel) = Channel::open(self.address) {
                    self.ask(&mut channel, false);
                    open.push(channel);
                }
            }
        }
    }
}

pub fn run(has_trouble: bool, record: &Path) -> Outcome {
    let store = Store::start();
    let bounds = ReplicaBounds {
        slots: 6,
        queue: 24,
        work: Duration::from_millis(60),
        answer_bytes: 800,
    };
    let start_replica = |number| Replica::start(&store, &format!("i-desk-{number}"), "desk", bounds);
    let replicas: Vec<Replica> = (1..=3).map(start_replica).collect();
    store.put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"book\",\"hostname\":\"desk.example\",\"pathPrefix\":\"/book/\",\
         \"kind\":\"unsafe\",\"timeoutMs\":4000,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"desk\",\"attempts\":2}],\
         \"services\":[{\"name\":\"desk\",\"healthCheck\":\"/health\",\"maxConnections\":257}],\
         \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
    );
    let mut node = Node::start(&store, "front-asahikawa-1", "127.0.54.1");
    if !node.wait_ready() {
        return Outcome::Unable("the node did not get ready".to_owned());
    }
    let began_at = Instant::now();
    let begin = began_at + Duration::from_millis(500);
    let crowd_at = begin + PERIOD + STEP;
    let clients = Arc::new(Clients {
        address: node.callers,
        next_id: AtomicUsize::default(),
        reopened: AtomicUsize::default(),
        sent: Mutex::default(),
        begin,
        crowd_at,
        until: crowd_at + BURST_DISTANCE * BURSTS - PERIOD,
    });
    let mut threads = Vec::new();
    for _ in 0..KEEPER_THREADS {
        let clients = clients.clone();
        threads.push(std::thread::spawn(move || clients.keep_channels()));
    }
    if has_trouble {
        for _ in 0..NEWCOMER_THREADS {
            let clients = clients.clone();
            threads.push(std::thread::spawn(move || clients.come()));
        }
    }
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("no panic"));
    let runs: HashMap<String, RunRecord> = replicas
        .iter()
        .flat_map(Replica::runs)
        .map(|run| (run.id.clone(), run))
        .collect();
    let seconds = |at: Instant| at.saturating_duration_since(began_at).as_secs_f64();
    let mut lines = vec![format!(
        "new clients come: {has_trouble}; 752 kept channels, each used every 12 s"
    )];
    let mut counts: HashMap<String, usize> = HashMap::new();
    let mut lost = 0;
    let sent = clients.sent.lock().expect("no panic");
    for sent in sent.iter() {
        let run = runs.get(&sent.id);
        let channel = if sent.is_kept {
            "kept channel"
        } else {
            "new channel"
        };
        let key = format!(
            "{channel}, {:?}, {}",
            sent.end,
            if run.is_some() { "run" } else { "not run" }
        );
        *counts.entry(key).or_default() += 1;
        if let (true, End::Closed, Some(run)) = (sent.is_kept, sent.end, run) {
            lost += 1;
            lines.push(format!(
                "LOST {}: sent at {:.4} s on a kept channel, run by {} from {:.4} s; the channel was closed without an answer \
                 at {:.4} s",
                sent.id,
                seconds(sent.sent_at),
                run.replica,
                seconds(run.began_at),
                seconds(sent.ended_at),
            ));
        }
    }
    let mut counted: Vec<(String, usize)> = counts.into_iter().collect();
    counted.sort();
    lines.extend(
        counted
            .iter()
            .map(|(what, count)| format!("{count} requests: {what}")),
    );
    lines.push(format!(
        "{} kept channels were found closed and opened anew",
        clients.reopened.load(Ordering::Relaxed)
    ));
    lines.push(format!(
        "{lost} lost; more than three break the rule. The node still runs: {}",
        node.is_running()
    ));
    println!("{}", lines.join("\n"));
    lines.push("each request: id, channel, sent at, end, ended at, replica that ran it, run from".to_owned());
    for sent in sent.iter() {
        let end = match sent.end {
            End::Answered(status) => status.to_string(),
            End::Closed => "closed".to_owned(),
            End::Silent => "silent".to_owned(),
        };
        let run = runs.get(&sent.id).map_or_else(
            || "-".to_owned(),
            |run| format!("{} {:.4}", run.replica, seconds(run.began_at)),
        );
        let channel = if sent.is_kept { "kept" } else { "new" };
        lines.push(format!(
            "{} {channel} {:.4} {end} {:.4} {run}",
            sent.id,
            seconds(sent.sent_at),
            seconds(sent.ended_at)
        ));
    }
    let text = lines.join("\n") + "\n";
    if std::fs::write(record, &text).is_err() {
        return Outcome::Unable("the record could not be written".to_owned());
    }
    if lost > 3 { Outcome::Broken } else { Outcome::Held }
}
