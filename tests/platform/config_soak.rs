//! A randomized soak of the configuration. Valid versions and invalid contents are written in turn while
//! nodes are stopped, killed, restarted and cut off from the store, and callers probe which version each node
//! serves by. `CONFIG_SEEDS=first..last` chooses the seeds.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use stand_ins::proxy::RouteMode;

use crate::config_fleet::{
    CALM_AFTER, CONFIG_KEY, ConfigFleet, FIRST_VERSION, IN_FORCE_WITHIN, add_service, draft, moved_route,
};
use crate::node::{GatewayNode, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{exchange, request};

/// Seeds that run by default.
const DEFAULT_SEEDS: std::ops::Range<u64> = 1..3;

/// The size of the fleet in a run.
const NODES: usize = 4;

/// The number of services. Versions lead to them in turn, so that a response shows the version.
const SERVICES: u64 = 5;

/// The length of a run.
const RUN: Duration = Duration::from_secs(20);

/// The pauses between two writes of the configuration, and between two disturbances, in milliseconds.
const WRITE_PAUSES_MS: std::ops::Range<u64> = 150..2_500;
const STEP_PAUSES_MS: std::ops::Range<u64> = 200..2_200;

/// How long one disturbance lasts, in milliseconds.
const DISTURBANCE_MS: std::ops::Range<u64> = 100..3_000;

/// The pause between two probes of a node.
const PROBE_PAUSE: Duration = Duration::from_millis(30);

/// The time after a response by a version from which no earlier version may be seen at that node, even if it
/// was slowed.
const NO_ROLLBACK_AFTER: Duration = Duration::from_millis(2_000);

/// Offset that gives the writer's random numbers a seed of their own.
const WRITES_SEED: u64 = 1 << 32;

/// A version that was written, and when the store confirmed it.
struct WrittenVersion {
    version: u64,
    confirmed_at: Instant,
}

/// The result of one probe of a node.
struct ProbeRecord {
    node: usize,
    sent_at: Instant,
    answered_at: Instant,
    answer: String,
}

/// The time span of a disturbance; `None` as the node means all nodes, and `is_start` marks a restarted
/// process.
struct DisturbanceSpan {
    node: Option<usize>,
    began: Instant,
    ended: Instant,
    is_start: bool,
}

fn service_name(version: u64) -> String {
    format!("s-{}", version % SERVICES)
}

fn versioned_document(version: u64) -> Value {
    let mut document = draft(version, &service_name(version));
    (0..SERVICES).for_each(|number| add_service(&mut document, &service_name(number)));
    document
}

/// Invalid content, often with a version higher than all others.
fn invalid_content(random: &mut StdRng, version: u64) -> String {
    let number = *[version + 1, version + 1_000, u64::MAX]
        .choose(random)
        .expect("numbers");
    let mut document = versioned_document(number);
    match random.random_range(0..6) {
        0 => document["routes"] = Value::Null,
        1 => moved_route(&mut document)["service"] = "unlisted".into(),
        2 => moved_route(&mut document)["timeoutMs"] = 0.into(),
        3 => document["version"] = "odd".into(),
        4 => return "[".repeat(50_000),
        _ => return format!("{{\"version\":{number}}}"),
    }
    document.to_string()
}

/// Writes versions one after the other, with invalid contents between them, until `is_over` is set.
fn write_versions(store: &StandInStore, seed: u64, is_over: &AtomicBool) -> Vec<WrittenVersion> {
    let mut random = StdRng::seed_from_u64(seed + WRITES_SEED);
    let mut version = FIRST_VERSION + 1;
    let mut written = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        if random.random_ratio(1, 3) {
            store.put(CONFIG_KEY, &invalid_content(&mut random, version));
        } else {
            version += random.random_range(1..SERVICES);
            store.put(CONFIG_KEY, &versioned_document(version).to_string());
            written.push(WrittenVersion {
                version,
                confirmed_at: Instant::now(),
            });
        }
        std::thread::sleep(Duration::from_millis(random.random_range(WRITE_PAUSES_MS)));
    }
    written
}

/// Probes repeatedly by which version a node serves.
fn probe(node: usize, address: SocketAddr, is_over: &AtomicBool, records: &Mutex<Vec<ProbeRecord>>) {
    while !is_over.load(Ordering::Relaxed) {
        let sent_at = Instant::now();
        let text = request(
            "GET",
            "shop.example",
            "/moved",
            "q-1",
            "Connection: close\r\n",
            "",
        );
        if let Some(answer) = exchange(address, &text) {
            let answer = match answer.status() {
                200 => answer.text().trim().to_owned(),
                status => status.to_string(),
            };
            records.lock().expect("no holder panics").push(ProbeRecord {
                node,
                sent_at,
                answered_at: Instant::now(),
                answer,
            });
        }
        std::thread::sleep(PROBE_PAUSE);
    }
}

/// Makes one random disturbance and waits for its end.
fn disturb(fleet: &mut ConfigFleet, random: &mut StdRng) -> DisturbanceSpan {
    let index = random.random_range(0..NODES);
    let span = Duration::from_millis(random.random_range(DISTURBANCE_MS));
    let kind = random.random_range(0..8);
    let began = Instant::now();
    match kind {
        0 | 1 => {
            fleet.nodes[index].signal("STOP");
            std::thread::sleep(span);
            fleet.nodes[index].signal("CONT");
        }
        2 => {
            fleet.nodes[index].kill();
            fleet.nodes[index].spawn();
        }
        3 => {
            fleet.nodes[index].signal("TERM");
            wait_until("the node has left", || fleet.nodes[index].has_left());
            fleet.nodes[index].spawn();
        }
        4 => fleet.proxies[index].silence(),
        5 => {
            let mode = *[RouteMode::Cut, RouteMode::Partition, RouteMode::HoldFromTarget]
                .choose(random)
                .expect("modes");
            fleet.proxies[index].set_mode(mode, 0);
            std::thread::sleep(span);
            fleet.proxies[index].set_mode(RouteMode::Pass, 0);
        }
        6 => {
            fleet.proxies.iter().for_each(|proxy| proxy.silence());
        }
        _ => fleet.store.drop_history(),
    }
    DisturbanceSpan {
        node: (kind < 6).then_some(index),
        began,
        ended: Instant::now(),
        is_start: matches!(kind, 2 | 3),
    }
}

/// Whether a node counts as undisturbed at a moment.
fn is_calm(node: usize, at: Instant, disturbances: &[DisturbanceSpan]) -> bool {
    let concerns = |disturbance: &&DisturbanceSpan| disturbance.node.is_none_or(|other| other == node);
    let mut disturbances = disturbances.iter().filter(concerns);
    disturbances.all(|disturbance| at < disturbance.began || disturbance.ended + CALM_AFTER <= at)
}

/// The version that a response shows: the latest one written before it that leads to the answering replica.
fn version_shown(record: &ProbeRecord, written: &[WrittenVersion]) -> Option<u64> {
    let number: u64 = record.answer.strip_prefix("i-s-")?.parse().ok()?;
    let mut earlier = written.iter().rev();
    earlier
        .find(|one| one.version % SERVICES == number && one.confirmed_at <= record.answered_at)
        .map(|one| one.version)
}

/// Which guarantee on configurations a probe violates, if any.
fn find_fault(
    record: &ProbeRecord,
    written: &[WrittenVersion],
    disturbances: &[DisturbanceSpan],
    seen: &[(Instant, u64)],
) -> Option<String> {
    let shown = version_shown(record, written);
    let is_calm = is_calm(record.node, record.sent_at, disturbances);
    let Some(shown) = shown else {
        // A process that is starting or leaving serves no callers.
        return (is_calm || record.answer == "404").then(|| "an answer that no version allows".to_owned());
    };
    let in_force = written
        .iter()
        .rfind(|one| one.confirmed_at + IN_FORCE_WITHIN <= record.sent_at);
    if is_calm && in_force.is_some_and(|one| shown < one.version) {
        return Some(format!("version {shown} at a calm node"));
    }
    let start = disturbances
        .iter()
        .filter(|disturbance| disturbance.is_start && disturbance.node == Some(record.node))
        .filter(|disturbance| disturbance.began <= record.answered_at);
    let began = start.map(|disturbance| disturbance.ended).max();
    let seen = seen
        .iter()
        .filter(|(at, _)| began.is_none_or(|began| *at > began));
    let mut later =
        seen.filter(|(at, version)| *at + NO_ROLLBACK_AFTER <= record.sent_at && *version > shown);
    later
        .next()
        .map(|(_, version)| format!("back from version {version} to {shown}"))
}

fn soak(seed: u64) {
    let mut fleet = ConfigFleet::start(NODES);
    let replicas: Vec<StandInReplica> = (0..SERVICES)
        .map(|number| {
            let service = service_name(number);
            let id = format!("i-{service}");
            StandInReplica::start(&fleet.store, &id, &service, None, ReplicaBehavior::Well)
        })
        .collect();
    let first = FIRST_VERSION + 1;
    fleet.publish(&versioned_document(first));
    fleet.wait_served_by(&format!("i-{}", service_name(first)));
    let mut written = vec![WrittenVersion {
        version: first,
        confirmed_at: Instant::now(),
    }];
    let is_over = Arc::new(AtomicBool::new(false));
    let records: Arc<Mutex<Vec<ProbeRecord>>> = Arc::default();
    let addresses = fleet.nodes.iter().map(GatewayNode::callers).enumerate();
    let probers: Vec<_> = addresses
        .map(|(node, address)| {
            let (is_over, records) = (is_over.clone(), records.clone());
            std::thread::spawn(move || probe(node, address, &is_over, &records))
        })
        .collect();
    let writer = {
        let (store, is_over) = (fleet.store.clone(), is_over.clone());
        std::thread::spawn(move || write_versions(&store, seed, &is_over))
    };
    let mut random = StdRng::seed_from_u64(seed);
    let mut disturbances = Vec::new();
    let ends_at = Instant::now() + RUN;
    while Instant::now() < ends_at {
        disturbances.push(disturb(&mut fleet, &mut random));
        std::thread::sleep(Duration::from_millis(random.random_range(STEP_PAUSES_MS)));
    }
    is_over.store(true, Ordering::Relaxed);
    written.extend(writer.join().expect("the writer's thread"));
    probers
        .into_iter()
        .for_each(|prober| prober.join().expect("a prober's thread"));
    let mut records = records.lock().expect("no holder panics");
    records.sort_by_key(|record| record.sent_at);
    let mut calm = 0;
    for node in 0..NODES {
        let mut seen: Vec<(Instant, u64)> = Vec::new();
        for record in records.iter().filter(|record| record.node == node) {
            calm += usize::from(is_calm(node, record.sent_at, &disturbances));
            let fault = find_fault(record, &written, &disturbances, &seen);
            assert!(
                fault.is_none(),
                "seed {seed}, vm-{}: {}, got {}; log {}",
                node + 1,
                fault.unwrap_or_default(),
                record.answer,
                fleet.nodes[node].log_path().display()
            );
            let shown = version_shown(record, &written);
            seen.extend(shown.map(|version| (record.answered_at, version)));
        }
    }
    println!(
        "seed {seed}: {} versions, {} answers, {calm} of calm nodes",
        written.len(),
        records.len()
    );
    assert!(
        calm * 10 > records.len(),
        "seed {seed}: {calm} answers of calm nodes"
    );
    drop(replicas);
}

#[test]
fn configurations_hold_in_random_trouble() {
    let chosen = std::env::var("CONFIG_SEEDS").ok();
    let seeds = chosen.as_deref().and_then(|text| {
        let (first, last) = text.split_once("..")?;
        Some(first.parse().ok()?..last.parse().ok()?)
    });
    seeds.unwrap_or(DEFAULT_SEEDS).for_each(soak);
}
