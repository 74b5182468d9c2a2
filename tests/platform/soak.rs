//! A randomized soak: three nodes, their replicas, their store and callers, with signals, restarts and faults in series,
//! and at the same time with ways to the replicas and the store that are slow, broken or cut, replicas that end or name limits,
//! and requests that end replicas. `SOAK_SEEDS=first..last` chooses the seeds; a seed that ever failed stays in [`REGRESSIONS`].

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use stand_ins::proxy::{ProxyRoute, RouteMode};

use crate::limited_fleet::{KNOWN_AFTER, allowed_in_window, most_in_window};
use crate::node::{GatewayNode, publish_config, wait_until};
use crate::replica::{DEATH_WORD, LIMIT_NAME, ReplicaMood, STREAM_EVENTS, StandInReplica};
use crate::store::{StandInStore, StoreMood};
use crate::wire::{Message, read_answer, request};

/// Seeds that run each time.
const USUAL_SEEDS: std::ops::Range<u64> = 1..3;

/// Seeds that failed once, with the cause.
///
/// - 13, 20: a generation for which no engine was left, or whose deadline came, was refused without Retry-After.
/// - 729: the check held a replica's next start to a limit that this start had not told anyone yet.
const REGRESSIONS: [u64; 3] = [13, 20, 729];

/// A seed in which an innocent call was held back for minutes: the ways of replicas that had ended took it and closed.
const HELD_BACK_SEED: u64 = 425;

/// Steps of trouble in a run.
const STEPS: usize = 24;

/// Callers that send at the same time and come back at once, whatever they are told.
const IMPATIENT_CALLERS: u64 = 6;

/// Callers that come back when they are told.
const PATIENT_CALLERS: u64 = 6;

/// The pauses between two requests of a caller, in milliseconds.
const CALL_PAUSES_MS: std::ops::Range<u64> = 1..30;

/// How long a patient caller waits after a failure that does not say when to come back.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// The longest that a patient caller waits where it is told: a third of its deadline.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_600);

/// The longest that an answer may take: the callers' deadline of 8 s, and the longest freeze.
const LONGEST_ANSWER: Duration = Duration::from_millis(10_500);

/// How a replica may behave for a while.
const MOODS: [ReplicaMood; 8] = [
    ReplicaMood::NotRun,
    ReplicaMood::Unsigned,
    ReplicaMood::OtherId,
    ReplicaMood::Misdirected,
    ReplicaMood::Breaks,
    ReplicaMood::BreaksStream,
    ReplicaMood::Slow,
    ReplicaMood::Silent,
];

/// What the ways do while there is trouble, and how long a piece of bytes takes, in milliseconds. They are open as often as
/// not, so that callers are served; what is held back arrives later, as with a transport that sends lost packets again.
const WAY_MODES: [(RouteMode, u64); 10] = [
    (RouteMode::Pass, 0),
    (RouteMode::Pass, 0),
    (RouteMode::Pass, 0),
    (RouteMode::Pass, 0),
    (RouteMode::Pass, 0),
    (RouteMode::Pass, 60),
    (RouteMode::Cut, 0),
    (RouteMode::HoldToTarget, 0),
    (RouteMode::HoldFromTarget, 0),
    (RouteMode::Partition, 0),
];

/// Keeps the trouble of the ways apart from that of the processes, of which each seed has the same with other ways.
const WAYS_SEED: u64 = 1 << 32;

/// Keeps the ends of replicas apart from all other trouble.
const ENDS_SEED: u64 = 1 << 33;

/// The pauses between two ends of replicas, in milliseconds.
const END_PAUSES_MS: std::ops::Range<u64> = 800..3_000;

/// One request in so many of a caller ends each replica that begins to run it.
const DEADLY_EVERY: u64 = 40;

/// Keeps the limits of replicas apart from all other trouble.
const LIMITS_SEED: u64 = 1 << 34;

/// Limits that replicas name, in requests a second.
const LIMITS: [&str; 4] = ["0", "2", "4.6", "9"];

/// How long they name one, in milliseconds.
const LIMIT_SPANS_MS: std::ops::Range<u64> = 7_000..9_000;

/// What a caller asked and got.
struct CallRecord {
    id: String,
    path: &'static str,
    answer: Option<Message>,
    answered_at: Instant,
    took: Duration,
    is_patient: bool,
}

impl CallRecord {
    fn is_served(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.status() == 200)
    }

    /// How long a patient caller waits before its next request.
    fn patience(&self) -> Duration {
        if self.is_served() {
            return Duration::ZERO;
        }
        let answer = self.answer.as_ref();
        let told = answer.and_then(|answer| answer.header("Retry-After")?.parse().ok());
        told.map_or(FAILURE_PAUSE, Duration::from_secs_f64)
            .min(LONGEST_PAUSE)
    }
}

/// A replica that named a limit for a while.
struct LimitSpan {
    replica: StandInReplica,
    limit: f64,
    began: Instant,
    ended: Instant,
}

struct SoakSystem {
    store: StandInStore,
    nodes: Vec<GatewayNode>,
    replicas: Vec<(StandInReplica, &'static str, Option<&'static str>)>,
    /// The ways to the replicas, and that to the store.
    ways: Vec<Arc<ProxyRoute>>,
    version: u32,
}

impl SoakSystem {
    fn start() -> Self {
        let mut store = StandInStore::start();
        let mut ways = vec![open_way(store.address)];
        store.address = ways[0].address().parse().expect("an address");
        publish_config(&store, 1);
        let parts = [
            ("i-1", "desk", None),
            ("i-2", "desk", None),
            ("i-3", "desk", None),
            ("i-p1", "llm", Some("prefill")),
            ("i-p2", "llm", Some("prefill")),
            ("i-d1", "llm", Some("decode")),
            ("i-d2", "llm", Some("decode")),
        ];
        let start = |(id, service, phase)| {
            let replica = StandInReplica::start(&store, id, service, phase, ReplicaMood::Well);
            let way = open_way(replica.address);
            replica.list_at(way.address().parse().expect("an address"));
            replica.publish(&store, service, phase, "ready");
            ways.push(way);
            (replica, service, phase)
        };
        let replicas = parts.map(start).into();
        let first = GatewayNode::start(&store, "vm-1", &[]);
        let second = GatewayNode::start(&store, "vm-2", &[&first]);
        let third = GatewayNode::start(&store, "vm-3", &[&first, &second]);
        let nodes = vec![first, second, third];
        nodes.iter().for_each(GatewayNode::wait_ready);
        Self {
            store,
            nodes,
            replicas,
            ways,
            version: 1,
        }
    }

    /// One step of trouble; what it leaves behind goes on during the next ones.
    fn disturb(&mut self, random: &mut StdRng) {
        let node = random.random_range(0..self.nodes.len());
        let (replica, service, phase) = self.replicas.choose(random).expect("replicas").clone();
        match random.random_range(0..10) {
            0 => {
                self.nodes[node].kill();
                self.nodes[node].spawn();
            }
            1 => {
                self.nodes[node].signal("STOP");
                std::thread::sleep(Duration::from_millis(random.random_range(50..2_000)));
                self.nodes[node].signal("CONT");
            }
            2 => {
                self.nodes[node].signal("TERM");
                wait_until("the node has left", || self.nodes[node].has_left());
                self.nodes[node].spawn();
            }
            3 => self.store.set_mood(StoreMood::Lost),
            4 => self.store.set_mood(StoreMood::Well),
            5 => self.store.drop_history(),
            6 => {
                self.version += 1;
                publish_config(&self.store, self.version);
            }
            7 => self.store.remove(&format!("servers/{}", replica.id)),
            8 => replica.publish(
                &self.store,
                service,
                phase,
                ["ready", "draining"][random.random_range(0..2)],
            ),
            _ => replica.set_mood(*MOODS.choose(random).expect("moods")),
        }
    }

    fn heal(&mut self) {
        self.ways.iter().for_each(|way| way.set_mode(RouteMode::Pass, 0));
        self.store.set_mood(StoreMood::Well);
        for (replica, service, phase) in &self.replicas {
            replica.set_mood(ReplicaMood::Well);
            replica.publish(&self.store, service, *phase, "ready");
        }
    }

    fn runs(&self, id: &str) -> usize {
        self.replicas.iter().map(|(replica, ..)| replica.runs(id)).sum()
    }
}

/// A way to a listener, with faults.
pub fn open_way(target: SocketAddr) -> Arc<ProxyRoute> {
    let target = target.to_string();
    let opening = ProxyRoute::open("127.0.0.1:0", &target);
    async_std::task::block_on(opening).expect("a free port")
}

/// Changes what the ways do until it is told to stop.
fn disturb_ways(ways: &[Arc<ProxyRoute>], seed: u64, is_over: &AtomicBool) {
    let mut random = StdRng::seed_from_u64(seed + WAYS_SEED);
    while !is_over.load(Ordering::Relaxed) {
        let way = ways.choose(&mut random).expect("ways");
        let (mode, delay_ms) = *WAY_MODES.choose(&mut random).expect("modes");
        way.set_mode(mode, delay_ms);
        std::thread::sleep(Duration::from_millis(random.random_range(20..250)));
    }
}

/// Ends replicas, one after the other, until it is told to stop.
fn end_replicas(replicas: &[StandInReplica], seed: u64, is_over: &AtomicBool) {
    let mut random = StdRng::seed_from_u64(seed + ENDS_SEED);
    while !is_over.load(Ordering::Relaxed) {
        replicas.choose(&mut random).expect("replicas").life.end();
        std::thread::sleep(Duration::from_millis(random.random_range(END_PAUSES_MS)));
    }
}

/// Lets one replica after the other name a limit, until it is told to stop; gives what was named when.
fn name_limits(replicas: &[StandInReplica], seed: u64, is_over: &AtomicBool) -> Vec<LimitSpan> {
    let mut random = StdRng::seed_from_u64(seed + LIMITS_SEED);
    let mut spans = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let replica = replicas.choose(&mut random).expect("replicas").clone();
        let text = *LIMITS.choose(&mut random).expect("limits");
        let began = Instant::now();
        replica.set_limit(Some(text));
        let over_at = began + Duration::from_millis(random.random_range(LIMIT_SPANS_MS));
        while Instant::now() < over_at && !is_over.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(50));
        }
        replica.set_limit(None);
        spans.push(LimitSpan {
            replica,
            limit: text.parse().expect("a number"),
            began,
            ended: Instant::now(),
        });
    }
    spans
}

/// How often a replica was asked beyond its limit in a window, and how often it might have been. Each of its starts names the
/// limit anew, and nobody knows of it before a caller was told by that start.
fn find_excess(span: &LimitSpan, records: &[CallRecord]) -> Option<(usize, f64)> {
    let begin = format!("{} ", span.replica.id);
    let names_limit = |record: &&CallRecord| {
        let names =
            |answer: &Message| answer.header(LIMIT_NAME).is_some() && answer.text().starts_with(&begin);
        record.answer.as_ref().is_some_and(names)
    };
    let told_at: Vec<Instant> = records
        .iter()
        .filter(names_limit)
        .map(|record| record.answered_at)
        .collect();
    let mut borders = vec![span.began, span.ended];
    let is_within = |end: &Instant| (span.began..span.ended).contains(end);
    borders.extend(span.replica.life.ends().into_iter().filter(is_within));
    borders.sort_unstable();
    let arrived_at = span.replica.arrived_at();
    let allowed = allowed_in_window(span.limit);
    let counts = borders.windows(2).filter_map(|start| {
        let (began, ended) = (start[0], start[1]);
        let first_told = told_at.iter().filter(|at| (began..ended).contains(*at)).min()?;
        let arrived_at = arrived_at.iter().copied().filter(|at| *at < ended);
        let arrived_at: Vec<Instant> = arrived_at.collect();
        Some(most_in_window(&arrived_at, *first_told + KNOWN_AFTER))
    });
    let most = counts.max()?;
    (most as f64 > allowed).then_some((most, allowed))
}

/// Sends one caller's requests over kept connections until it is told to stop; a connection is used until it ends.
fn call_on(
    addresses: Vec<SocketAddr>,
    (seed, caller): (u64, u64),
    is_over: &AtomicBool,
    records: &Mutex<Vec<CallRecord>>,
) {
    let seed = seed * 100 + caller;
    let is_patient = caller >= IMPATIENT_CALLERS;
    let mut random = StdRng::seed_from_u64(seed);
    let mut stream: Option<TcpStream> = None;
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("r-{seed}-{number}");
        let path = *["/read", "/book", "/stream"].choose(&mut random).expect("paths");
        let text = request(
            "POST",
            "shop.example",
            path,
            &id,
            "X-Token-Count: 300,40\r\n",
            if number % DEADLY_EVERY == 0 {
                DEATH_WORD
            } else {
                &id
            },
        );
        let began = Instant::now();
        let address = *addresses.choose(&mut random).expect("addresses");
        let mut used = stream.take().or_else(|| TcpStream::connect(address).ok());
        let answer = used.as_mut().and_then(|stream| {
            std::io::Write::write_all(stream, text.as_bytes()).ok()?;
            read_answer(stream)
        });
        let closes = answer
            .as_ref()
            .is_none_or(|answer| !answer.is_whole || answer.header("Connection") == Some("close"));
        stream = used.filter(|_| !closes);
        let answered_at = Instant::now();
        let took = answered_at - began;
        let record = CallRecord {
            id,
            path,
            answer,
            answered_at,
            took,
            is_patient,
        };
        let patience = if is_patient {
            record.patience()
        } else {
            Duration::ZERO
        };
        records.lock().expect("no holder panics").push(record);
        let pause = Duration::from_millis(random.random_range(CALL_PAUSES_MS));
        let next_at = answered_at + pause.max(patience);
        while Instant::now() < next_at && !is_over.load(Ordering::Relaxed) {
            let remaining = next_at.saturating_duration_since(Instant::now());
            std::thread::sleep(remaining.min(FAILURE_PAUSE));
        }
    }
}

/// What a record breaks of what callers are promised; nothing where all is kept.
fn find_fault(record: &CallRecord, runs: usize) -> Option<&'static str> {
    if record.took > LONGEST_ANSWER {
        return Some("the answer took longer than the caller's deadline");
    }
    if record.path == "/book" && runs > 1 {
        return Some("ran more than once");
    }
    let answer = record.answer.as_ref()?;
    match answer.status() {
        200 if record.path == "/stream" => {
            let ids = answer.event_ids();
            let is_gapless = ids.iter().zip(1..).all(|(id, expected)| *id == expected);
            let is_short = answer.is_whole && ids.len() as u64 != STREAM_EVENTS;
            (!is_gapless || is_short)
                .then_some("a stream with a gap, a repeat, or an early end that looks whole")
        }
        200 if !answer.is_whole => None,
        200 => {
            (!answer.text().ends_with(&format!(" {}", record.id))).then_some("an answer to another request")
        }
        408 | 421 | 429 | 503 if runs > 0 && record.path == "/book" => {
            Some("said not to have run, though it had")
        }
        503 if answer.header("Retry-After").is_none() => Some("a refusal without when to come back"),
        _ => None,
    }
}

fn soak(seed: u64) {
    let mut system = SoakSystem::start();
    let mut random = StdRng::seed_from_u64(seed);
    let addresses: Vec<SocketAddr> = system.nodes.iter().map(GatewayNode::callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let records: Arc<Mutex<Vec<CallRecord>>> = Arc::default();
    let callers: Vec<_> = (0..IMPATIENT_CALLERS + PATIENT_CALLERS)
        .map(|caller| {
            let (addresses, is_over, records) = (addresses.clone(), is_over.clone(), records.clone());
            std::thread::spawn(move || call_on(addresses, (seed, caller), &is_over, &records))
        })
        .collect();
    let is_healing = Arc::new(AtomicBool::new(false));
    let ways = {
        let (ways, is_healing) = (system.ways.clone(), is_healing.clone());
        std::thread::spawn(move || disturb_ways(&ways, seed, &is_healing))
    };
    let ends = {
        let replicas: Vec<_> = system
            .replicas
            .iter()
            .map(|(replica, ..)| replica.clone())
            .collect();
        let is_healing = is_healing.clone();
        std::thread::spawn(move || end_replicas(&replicas, seed, &is_healing))
    };
    let limits = {
        let desks = system
            .replicas
            .iter()
            .filter(|(_, service, _)| *service == "desk");
        // One desk is left for those calls that must be served in the end.
        let desks: Vec<_> = desks.skip(1).map(|(replica, ..)| replica.clone()).collect();
        let is_over = is_over.clone();
        std::thread::spawn(move || name_limits(&desks, seed, &is_over))
    };
    for _ in 0..STEPS {
        system.disturb(&mut random);
        std::thread::sleep(Duration::from_millis(random.random_range(20..400)));
    }
    is_healing.store(true, Ordering::Relaxed);
    ways.join().expect("the ways' thread");
    ends.join().expect("the ends' thread");
    system.heal();
    let serves = |node: &GatewayNode, number: u32| {
        let text = request(
            "POST",
            "shop.example",
            "/read",
            &format!("last-{number}"),
            "",
            "x",
        );
        crate::wire::exchange(node.callers(), &text).is_some_and(|answer| answer.status() == 200)
    };
    for node in &system.nodes {
        wait_until("each node serves again", || {
            node.readiness() == 200 && (0..5).all(|number| serves(node, number))
        });
    }
    is_over.store(true, Ordering::Relaxed);
    callers
        .into_iter()
        .for_each(|caller| caller.join().expect("a caller's thread"));
    let records = records.lock().expect("no holder panics");
    let patient = records.iter().filter(|record| record.is_patient);
    let patient: Vec<&CallRecord> = patient.collect();
    let served = patient.iter().filter(|record| record.is_served()).count();
    for record in records.iter() {
        let runs = system.runs(&record.id);
        let fault = find_fault(record, runs);
        let logs: Vec<_> = system.nodes.iter().map(GatewayNode::log_path).collect();
        assert!(
            fault.is_none(),
            "seed {seed}, {} to {}: {}; {runs} runs, {:?}, {:?}; logs {logs:?}",
            record.id,
            record.path,
            fault.unwrap_or_default(),
            record.took,
            record.answer
        );
    }
    for span in limits.join().expect("the limits' thread") {
        let excess = find_excess(&span, &records);
        let logs: Vec<_> = system.nodes.iter().map(GatewayNode::log_path).collect();
        assert!(
            excess.is_none(),
            "seed {seed}: {} named {} a second and got {excess:?} in a window; logs {logs:?}",
            span.replica.id,
            span.limit
        );
    }
    for node in &system.nodes {
        assert!(
            !node.log().contains("panicked"),
            "seed {seed}: {}",
            node.log_path().display()
        );
    }
    println!(
        "seed {seed}: {} requests, {served} of {} patient ones served",
        records.len(),
        patient.len()
    );
    assert!(
        served * 2 > patient.len(),
        "seed {seed}: {served} of {} served",
        patient.len()
    );
}

#[test]
fn promises_hold_in_random_trouble() {
    let chosen = std::env::var("SOAK_SEEDS").ok();
    let seeds = chosen.as_deref().and_then(|text| {
        let (first, last) = text.split_once("..")?;
        Some(first.parse().ok()?..last.parse().ok()?)
    });
    seeds.unwrap_or(USUAL_SEEDS).chain(REGRESSIONS).for_each(soak);
}

#[test]
fn an_innocent_call_is_served_again_after_replicas_ended_behind_open_ways() {
    soak(HELD_BACK_SEED);
}
