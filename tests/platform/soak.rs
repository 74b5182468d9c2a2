//! A randomized soak of three nodes with their replicas, store and callers. Signals, restarts and faults
//! follow one another; at the same time connections to the replicas and the store are slow, stalled or cut,
//! replicas crash or report limits, the store comes back from older copies, and some requests crash replicas.
//! `SOAK_SEEDS=first..last` chooses the seeds; each seed that failed once stays in [`REGRESSIONS`].

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use stand_ins::proxy::{ProxyRoute, RouteMode};

use crate::api_keys::{key_line, keyed_document};
use crate::limited_fleet::{KNOWN_AFTER, allowed_in_window, most_in_window};
use crate::node::{GatewayNode, publish_config, wait_until};
use crate::replica::{CRASH_MARKER, LIMIT_HEADER, ReplicaBehavior, STREAM_EVENTS, StandInReplica};
use crate::store::{StandInStore, StoreBehavior};
use crate::wire::{Message, read_answer, request};

/// Seeds that run by default.
const DEFAULT_SEEDS: std::ops::Range<u64> = 1..3;

/// Seeds that failed once, with the cause.
///
/// - 13, 20: a generation without an available engine, or past its deadline, was refused without Retry-After.
/// - 729: the check applied a replica's limit to a restarted replica before the new process had reported it.
const REGRESSIONS: [u64; 5] = [13, 20, 405, 409, 729];

/// A seed in which a harmless call was quarantined for minutes: the proxies of crashed replicas accepted it
/// and closed.
const QUARANTINE_SEED: u64 = 425;

/// Disturbances in a run.
const DISTURBANCES: usize = 24;

/// The number of concurrent callers that retry at once and ignore `Retry-After`.
const IMPATIENT_CALLERS: u64 = 6;

/// The number of concurrent callers that respect `Retry-After`.
const PATIENT_CALLERS: u64 = 6;

/// The pauses between two requests of a caller, in milliseconds.
const CALL_PAUSES_MS: std::ops::Range<u64> = 1..30;

/// How long a patient caller waits after a failure without `Retry-After`.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// The longest that a patient caller waits for `Retry-After`: a third of its deadline.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_600);

/// The longest that a response may take: the callers' deadline of 8 s and the longest stop of a node.
const LONGEST_ANSWER: Duration = Duration::from_millis(10_500);

/// Faulty behaviors of replicas.
const FAULTY_BEHAVIORS: [ReplicaBehavior; 8] = [
    ReplicaBehavior::NotRun,
    ReplicaBehavior::Unsigned,
    ReplicaBehavior::OtherId,
    ReplicaBehavior::Misdirected,
    ReplicaBehavior::Breaks,
    ReplicaBehavior::BreaksStream,
    ReplicaBehavior::Slow,
    ReplicaBehavior::Silent,
];

/// Modes of the proxies during the run, with their delay in milliseconds. More than half pass traffic, so
/// that callers are served; what a proxy withholds arrives later, as after a retransmission.
const PROXY_MODES: [(RouteMode, u64); 10] = [
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

/// Offset that gives the proxies' random numbers a seed of their own, so that they don't change the other
/// disturbances.
const PROXIES_SEED: u64 = 1 << 32;

/// Offset that gives the crashes of replicas a seed of their own.
const CRASHES_SEED: u64 = 1 << 33;

/// The pauses between two crashes of replicas, in milliseconds.
const CRASH_PAUSES_MS: std::ops::Range<u64> = 800..3_000;

/// One request in this many of a caller crashes each replica that runs it.
const CRASHING_EVERY: u64 = 40;

/// Offset that gives the limits of replicas a seed of their own.
const LIMITS_SEED: u64 = 1 << 34;

/// Limits that replicas report, in requests per second.
const LIMITS: [&str; 4] = ["0", "2", "4.6", "9"];

/// How long a replica reports a limit, in milliseconds.
const LIMIT_SPANS_MS: std::ops::Range<u64> = 7_000..9_000;

/// Offset that gives the store's returns from older copies a seed of their own.
const COPIES_SEED: u64 = 1 << 35;

/// The pauses between two such returns, in milliseconds; some come while the nodes recover from the one before.
const COPY_PAUSES_MS: std::ops::Range<u64> = 300..4_000;

/// How long the store is away before, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 0..600;

/// How many changes the copy lacks at most; at a change every 300 ms or so it is some seconds old.
const MAX_LOST_CHANGES: usize = 8;

/// How long after its return the changes are written again, in milliseconds.
const REWRITTEN_AFTER_MS: std::ops::Range<u64> = 0..1_500;

/// Time between two writes of a replica's entry by the replica itself.
const WRITE_INTERVAL: Duration = Duration::from_millis(1_200);

/// The API key of all callers where the configuration lists workspaces.
const CALLER_KEY: &str = "soak-key-of-callers";

/// A second key of the same workspace, which is removed during the run.
const REMOVED_KEY: &str = "soak-key-that-is-removed";

/// Disturbances before the second key is removed.
const DISTURBANCES_BEFORE_REMOVAL: usize = DISTURBANCES / 2;

/// The time after its removal from which no request with a key may run.
const REMOVED_WITHIN: Duration = Duration::from_millis(5_000);

/// The pause between two requests with the removed key.
const REMOVED_KEY_PAUSE: Duration = Duration::from_millis(20);

/// Whether the callers of a run need API keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerAccess {
    Open,
    Keyed,
}

impl CallerAccess {
    /// The header line with a caller's key; empty if none is needed.
    fn key_line(self) -> String {
        match self {
            Self::Open => String::new(),
            Self::Keyed => key_line(CALLER_KEY),
        }
    }
}

/// One call and its result.
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
    fn retry_pause(&self) -> Duration {
        if self.is_served() {
            return Duration::ZERO;
        }
        let answer = self.answer.as_ref();
        let retry_after = answer.and_then(|answer| answer.header("Retry-After")?.parse().ok());
        retry_after
            .map_or(FAILURE_PAUSE, Duration::from_secs_f64)
            .min(LONGEST_PAUSE)
    }
}

/// The time span in which a replica reported a limit.
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
    /// The proxies in front of the store and the replicas, the store's first.
    proxies: Vec<Arc<ProxyRoute>>,
    version: u32,
    access: CallerAccess,
    /// When the removal of the second key was acknowledged by the store.
    removed_at: Option<Instant>,
}

impl SoakSystem {
    fn start(access: CallerAccess) -> Self {
        let mut store = StandInStore::start();
        let mut proxies = vec![open_proxy(store.address)];
        store.address = proxies[0].address().parse().expect("an address");
        publish(&store, 1, access, false);
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
            let replica = StandInReplica::start(&store, id, service, phase, ReplicaBehavior::Well);
            let proxy = open_proxy(replica.address);
            replica.list_at(proxy.address().parse().expect("an address"));
            replica.publish(&store, service, phase, "ready");
            proxies.push(proxy);
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
            proxies,
            version: 1,
            access,
            removed_at: None,
        }
    }

    fn publish_next(&mut self) {
        self.version += 1;
        publish(&self.store, self.version, self.access, self.removed_at.is_some());
    }

    /// Removes the second key.
    fn remove_key(&mut self) {
        self.removed_at = Some(Instant::now());
        self.publish_next();
        self.removed_at = Some(Instant::now());
    }

    /// Makes one random disturbance; lasting ones go on during the next steps.
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
            3 => self.store.set_behavior(StoreBehavior::Lost),
            4 => self.store.set_behavior(StoreBehavior::Well),
            5 => self.store.drop_history(),
            6 => self.publish_next(),
            7 => self.store.remove(&format!("servers/{}", replica.id)),
            8 => replica.publish(
                &self.store,
                service,
                phase,
                ["ready", "draining"][random.random_range(0..2)],
            ),
            _ => replica.set_behavior(*FAULTY_BEHAVIORS.choose(random).expect("behaviors")),
        }
    }

    fn recover(&mut self) {
        self.proxies
            .iter()
            .for_each(|proxy| proxy.set_mode(RouteMode::Pass, 0));
        self.store.set_behavior(StoreBehavior::Well);
        for (replica, ..) in &self.replicas {
            replica.set_behavior(ReplicaBehavior::Well);
        }
        self.write_entries();
    }

    /// Lets each replica write its entry again.
    fn write_entries(&self) {
        for (replica, service, phase) in &self.replicas {
            replica.publish(&self.store, service, *phase, "ready");
        }
    }

    fn runs(&self, id: &str) -> usize {
        self.replicas.iter().map(|(replica, ..)| replica.runs(id)).sum()
    }
}

/// Publishes a configuration; with keys, the second one is listed until it is removed.
fn publish(store: &StandInStore, version: u32, access: CallerAccess, is_removed: bool) {
    match access {
        CallerAccess::Open => publish_config(store, version),
        CallerAccess::Keyed => {
            let keys = [CALLER_KEY, REMOVED_KEY];
            let count = if is_removed { 1 } else { keys.len() };
            let document = keyed_document(u64::from(version), &keys[..count]);
            store.put("op/config", &document.to_string());
        }
    }
}

/// Sends requests with the key that is removed until `is_over` is set. Returns their ids and when they were sent.
fn use_removed_key(addresses: &[SocketAddr], seed: u64, is_over: &AtomicBool) -> Vec<(String, Instant)> {
    let mut sent = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let id = format!("removed-{seed}-{}", sent.len());
        let text = request("POST", "shop.example", "/read", &id, &key_line(REMOVED_KEY), &id);
        let sent_at = Instant::now();
        crate::wire::exchange(addresses[sent.len() % addresses.len()], &text);
        sent.push((id, sent_at));
        std::thread::sleep(REMOVED_KEY_PAUSE);
    }
    sent
}

/// Opens a fault-injecting proxy in front of a listener.
pub fn open_proxy(target: SocketAddr) -> Arc<ProxyRoute> {
    let target = target.to_string();
    let opening = ProxyRoute::open("127.0.0.1:0", &target);
    async_std::task::block_on(opening).expect("a free port")
}

/// Changes the modes of the proxies until `is_over` is set.
fn disturb_proxies(proxies: &[Arc<ProxyRoute>], seed: u64, is_over: &AtomicBool) {
    let mut random = StdRng::seed_from_u64(seed + PROXIES_SEED);
    while !is_over.load(Ordering::Relaxed) {
        let proxy = proxies.choose(&mut random).expect("proxies");
        let (mode, delay_ms) = *PROXY_MODES.choose(&mut random).expect("modes");
        proxy.set_mode(mode, delay_ms);
        std::thread::sleep(Duration::from_millis(random.random_range(20..250)));
    }
}

/// Crashes replicas one after the other until `is_over` is set.
fn crash_replicas(replicas: &[StandInReplica], seed: u64, is_over: &AtomicBool) {
    let mut random = StdRng::seed_from_u64(seed + CRASHES_SEED);
    while !is_over.load(Ordering::Relaxed) {
        replicas.choose(&mut random).expect("replicas").process.crash();
        std::thread::sleep(Duration::from_millis(random.random_range(CRASH_PAUSES_MS)));
    }
}

/// Lets the store come back from older copies until `is_over` is set; what they lack is written again.
fn copy_back(store: &StandInStore, seed: u64, is_over: &AtomicBool) {
    let mut random = StdRng::seed_from_u64(seed + COPIES_SEED);
    // The first changes were made before the nodes started.
    let first = store.revision() as usize;
    let mut pause = |range| std::thread::sleep(Duration::from_millis(random.random_range(range)));
    while !is_over.load(Ordering::Relaxed) {
        pause(COPY_PAUSES_MS);
        store.set_behavior(StoreBehavior::Lost);
        pause(AWAY_MS);
        let changes = (store.revision() as usize).saturating_sub(first);
        let lost = store.come_back_without(changes.min(MAX_LOST_CHANGES));
        let kept = store.revision();
        pause(REWRITTEN_AFTER_MS);
        store.write_again(lost, kept);
    }
}

/// Lets one replica after the other report a limit until `is_over` is set. Returns the spans in which limits
/// were reported.
fn report_limits(replicas: &[StandInReplica], seed: u64, is_over: &AtomicBool) -> Vec<LimitSpan> {
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

/// The most requests that a replica got in a window and the number allowed, if the limit was exceeded. Each
/// process of the replica reports the limit anew, so the limit is checked only from the first response of that
/// process that reports it to a caller.
fn find_excess(span: &LimitSpan, records: &[CallRecord]) -> Option<(usize, f64)> {
    let begin = format!("{} ", span.replica.id);
    let reports_limit = |record: &&CallRecord| {
        let reports =
            |answer: &Message| answer.header(LIMIT_HEADER).is_some() && answer.text().starts_with(&begin);
        record.answer.as_ref().is_some_and(reports)
    };
    let reported_at: Vec<Instant> = records
        .iter()
        .filter(reports_limit)
        .map(|record| record.answered_at)
        .collect();
    let mut boundaries = vec![span.began, span.ended];
    let is_within = |end: &Instant| (span.began..span.ended).contains(end);
    boundaries.extend(span.replica.process.crash_times().into_iter().filter(is_within));
    boundaries.sort_unstable();
    let arrived_at = span.replica.arrived_at();
    let allowed = allowed_in_window(span.limit);
    let counts = boundaries.windows(2).filter_map(|start| {
        let (began, ended) = (start[0], start[1]);
        let first_reported = reported_at
            .iter()
            .filter(|at| (began..ended).contains(*at))
            .min()?;
        let arrived_at = arrived_at.iter().copied().filter(|at| *at < ended);
        let arrived_at: Vec<Instant> = arrived_at.collect();
        Some(most_in_window(&arrived_at, *first_reported + KNOWN_AFTER))
    });
    let most = counts.max()?;
    (most as f64 > allowed).then_some((most, allowed))
}

/// Sends one caller's requests over kept connections until `is_over` is set.
fn run_caller(
    addresses: Vec<SocketAddr>,
    (seed, caller): (u64, u64),
    access: CallerAccess,
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
            &format!("X-Token-Count: 300,40\r\n{}", access.key_line()),
            if number % CRASHING_EVERY == 0 {
                CRASH_MARKER
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
        let retry_pause = if is_patient {
            record.retry_pause()
        } else {
            Duration::ZERO
        };
        records.lock().expect("no holder panics").push(record);
        let pause = Duration::from_millis(random.random_range(CALL_PAUSES_MS));
        let next_at = answered_at + pause.max(retry_pause);
        while Instant::now() < next_at && !is_over.load(Ordering::Relaxed) {
            let remaining = next_at.saturating_duration_since(Instant::now());
            std::thread::sleep(remaining.min(FAILURE_PAUSE));
        }
    }
}

/// The guarantee to callers that a record violates, if any.
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
                .then_some("a stream with a gap, a repeat, or an early end that looks complete")
        }
        200 if !answer.is_whole => None,
        200 => {
            (!answer.text().ends_with(&format!(" {}", record.id))).then_some("an answer to another request")
        }
        408 | 421 | 429 | 503 if runs > 0 && record.path == "/book" => {
            Some("refused as not run, although it ran")
        }
        503 if answer.header("Retry-After").is_none() => Some("a refusal without Retry-After"),
        _ => None,
    }
}

fn soak(seed: u64, access: CallerAccess) {
    let mut system = SoakSystem::start(access);
    let mut random = StdRng::seed_from_u64(seed);
    let addresses: Vec<SocketAddr> = system.nodes.iter().map(GatewayNode::callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let records: Arc<Mutex<Vec<CallRecord>>> = Arc::default();
    let callers: Vec<_> = (0..IMPATIENT_CALLERS + PATIENT_CALLERS)
        .map(|caller| {
            let (addresses, is_over, records) = (addresses.clone(), is_over.clone(), records.clone());
            std::thread::spawn(move || run_caller(addresses, (seed, caller), access, &is_over, &records))
        })
        .collect();
    let is_recovering = Arc::new(AtomicBool::new(false));
    let proxies = {
        let (proxies, is_recovering) = (system.proxies.clone(), is_recovering.clone());
        std::thread::spawn(move || disturb_proxies(&proxies, seed, &is_recovering))
    };
    let crashes = {
        let replicas: Vec<_> = system
            .replicas
            .iter()
            .map(|(replica, ..)| replica.clone())
            .collect();
        let is_recovering = is_recovering.clone();
        std::thread::spawn(move || crash_replicas(&replicas, seed, &is_recovering))
    };
    let copies = {
        let (store, is_recovering) = (system.store.clone(), is_recovering.clone());
        std::thread::spawn(move || copy_back(&store, seed, &is_recovering))
    };
    let limits = {
        let plain = system
            .replicas
            .iter()
            .filter(|(_, service, _)| *service == "desk");
        // One plain replica reports no limit, so that it can serve the calls that must be served at the end.
        let limited: Vec<_> = plain.skip(1).map(|(replica, ..)| replica.clone()).collect();
        let is_over = is_over.clone();
        std::thread::spawn(move || report_limits(&limited, seed, &is_over))
    };
    let removed = (access == CallerAccess::Keyed).then(|| {
        let (addresses, is_over) = (addresses.clone(), is_over.clone());
        std::thread::spawn(move || use_removed_key(&addresses, seed, &is_over))
    });
    for number in 0..DISTURBANCES {
        if number == DISTURBANCES_BEFORE_REMOVAL && access == CallerAccess::Keyed {
            system.remove_key();
        }
        system.disturb(&mut random);
        std::thread::sleep(Duration::from_millis(random.random_range(20..400)));
    }
    is_recovering.store(true, Ordering::Relaxed);
    proxies.join().expect("the proxies' thread");
    crashes.join().expect("the crashes' thread");
    copies.join().expect("the copies' thread");
    system.recover();
    let serves = |node: &GatewayNode, number: u32| {
        let text = request(
            "POST",
            "shop.example",
            "/read",
            &format!("last-{number}"),
            &access.key_line(),
            "x",
        );
        crate::wire::exchange(node.callers(), &text).is_some_and(|answer| answer.status() == 200)
    };
    for node in &system.nodes {
        wait_until("each node serves again", || {
            node.readiness() == 200 && (0..5).all(|number| serves(node, number))
        });
    }
    let era = f64::from(system.store.era());
    let mut written_at = Instant::now();
    wait_until("each node knows the store's last state", || {
        // A node that read a copy and later changes at once can't tell them apart until an entry is written again.
        if written_at.elapsed() >= WRITE_INTERVAL {
            system.write_entries();
            written_at = Instant::now();
        }
        system.nodes.iter().all(|node| {
            let listed = node.metric("replicas{", "state=\"listed\"");
            node.metric("store_era", "") == era && listed == system.replicas.len() as f64
        })
    });
    if let Some(removed_at) = system.removed_at {
        // Some requests with the removed key are sent after it must no longer run.
        std::thread::sleep((removed_at + 2 * REMOVED_WITHIN).saturating_duration_since(Instant::now()));
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
    if let (Some(removed), Some(removed_at)) = (removed, system.removed_at) {
        let sent = removed.join().expect("the thread with the removed key");
        let bound = removed_at + REMOVED_WITHIN;
        let (early, late): (Vec<_>, Vec<_>) = sent.iter().partition(|(_, sent_at)| *sent_at <= bound);
        let logs: Vec<_> = system.nodes.iter().map(GatewayNode::log_path).collect();
        for (id, _) in &late {
            assert_eq!(
                system.runs(id),
                0,
                "seed {seed}: {id} ran with a removed key; logs {logs:?}"
            );
        }
        let ran = early.iter().filter(|(id, _)| system.runs(id) > 0).count();
        println!(
            "seed {seed}: {ran} of {} ran with the second key, then none of {}",
            early.len(),
            late.len()
        );
        assert!(
            ran > 0 && !late.is_empty(),
            "seed {seed}: {ran} ran, {} sent late",
            late.len()
        );
    }
    for span in limits.join().expect("the limits' thread") {
        let excess = find_excess(&span, &records);
        let logs: Vec<_> = system.nodes.iter().map(GatewayNode::log_path).collect();
        assert!(
            excess.is_none(),
            "seed {seed}: {} reported a limit of {} a second and got {excess:?} in a window; logs {logs:?}",
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
    // Without the store, requests that need a key are refused.
    assert!(
        access == CallerAccess::Keyed || served * 2 > patient.len(),
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
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS).chain(REGRESSIONS);
    seeds.for_each(|seed| soak(seed, CallerAccess::Open));
}

/// Seeds that run with API keys by default.
const DEFAULT_KEYED_SEEDS: std::ops::Range<u64> = 1..3;

// Guards against removed keys that run at a node which is cut off, suspended or started again.
#[test]
fn removed_keys_stay_out_in_random_trouble() {
    let chosen = std::env::var("KEYED_SEEDS").ok();
    let seeds = chosen.as_deref().and_then(|text| {
        let (first, last) = text.split_once("..")?;
        Some(first.parse().ok()?..last.parse().ok()?)
    });
    let seeds = seeds.unwrap_or(DEFAULT_KEYED_SEEDS);
    seeds.for_each(|seed| soak(seed, CallerAccess::Keyed));
}

#[test]
fn a_harmless_call_is_served_again_after_replicas_crashed_behind_open_proxies() {
    soak(QUARANTINE_SEED, CallerAccess::Open);
}
