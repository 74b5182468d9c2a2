//! A part of prompts that crashes each replica which begins to answer a request with it. No two requests with
//! the part are alike, and harmless requests share their other parts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

use crate::node::{GatewayNode, publish_config};
use crate::prompt_parts::{DEADLY_PARTS, SHARED_PART, prefix_line};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{exchange, request};

/// How long requests are sent.
const LOAD_DURATION: Duration = Duration::from_secs(22);

/// Time between two requests with a deadly part.
const DEADLY_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two harmless requests.
const HARMLESS_INTERVAL: Duration = Duration::from_millis(33);

/// Time between two harmless requests whose shared part is rarely used.
const RARE_INTERVAL: Duration = Duration::from_millis(700);

/// How long harmless requests are sent before the first deadly one.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// The most replicas that may crash.
const MAX_CRASHES: usize = 9;

/// Number of crashes after which the part must be known to all nodes.
const KNOWN_CRASHES: usize = 5;

/// Time after that crash from which on at most [`MAX_LATE_REQUESTS`] with the part may reach replicas.
const KNOWN_AFTER: Duration = Duration::from_millis(3_000);

/// The most requests with the part that may reach replicas after that.
const MAX_LATE_REQUESTS: usize = 3;

/// Time after that crash, or the last if there are fewer, from which on harmless requests must be served.
const SERVED_AFTER: Duration = Duration::from_millis(6_000);

/// Minimum share of the harmless requests that must be served then, in percent.
const MIN_SERVED_PERCENT: usize = 95;

/// Time between two crashes that no request causes.
const OWN_CRASH_INTERVAL: Duration = Duration::from_millis(1_600);

/// Pause between the events of a stream, in milliseconds.
const EVENT_PAUSE_MS: u64 = 40;

const STREAM_LINES: &str = "X-Token-Count: 300,40\r\n";

/// Three nodes, eight replicas of the plain service, and engines with eight replicas that decode.
struct Fleet {
    store: StandInStore,
    nodes: Vec<GatewayNode>,
    replicas: Vec<StandInReplica>,
}

impl Fleet {
    fn start() -> Self {
        let store = StandInStore::start();
        publish_config(&store, 1);
        let start = |id: String, service: &str, phase: Option<&str>| {
            let behavior = ReplicaBehavior::PacedEvents(EVENT_PAUSE_MS);
            StandInReplica::start(&store, &id, service, phase, behavior)
        };
        let desks = (1..=8).map(|number| start(format!("i-{number}"), "desk", None));
        let prefills = (1..=3).map(|number| start(format!("i-p{number}"), "llm", Some("prefill")));
        let decodes = (1..=8).map(|number| start(format!("i-d{number}"), "llm", Some("decode")));
        let replicas = desks.chain(prefills).chain(decodes).collect();
        let first = GatewayNode::start(&store, "vm-1", &[]);
        let second = GatewayNode::start(&store, "vm-2", &[&first]);
        let third = GatewayNode::start(&store, "vm-3", &[&first, &second]);
        let nodes = vec![first, second, third];
        nodes.iter().for_each(GatewayNode::wait_ready);
        Self {
            store,
            nodes,
            replicas,
        }
    }

    /// Times of all crashes, in order.
    fn crash_times(&self) -> Vec<Instant> {
        let replicas = self.replicas.iter();
        let mut times: Vec<Instant> = replicas
            .flat_map(|replica| replica.process.crash_times())
            .collect();
        times.sort_unstable();
        times
    }

    /// The crash after which the part must be known: the fifth, or the last if there are fewer.
    fn decisive_crash(&self) -> Option<Instant> {
        let times = self.crash_times();
        times.get(KNOWN_CRASHES - 1).or(times.last()).copied()
    }

    /// Number of requests with a deadly part that reached a replica too late.
    fn late_requests(&self) -> usize {
        let Some(fifth) = self.crash_times().get(KNOWN_CRASHES - 1).copied() else {
            return 0;
        };
        let replicas = self.replicas.iter();
        let arrivals = replicas.flat_map(StandInReplica::deadly_part_arrivals);
        let late = arrivals.filter(|(at, _)| *at > fifth + KNOWN_AFTER);
        let mut ids: Vec<String> = late.map(|(_, id)| id).collect();
        ids.sort_unstable();
        ids.dedup();
        ids.len()
    }

    /// Number of refusals of all nodes by their reasons.
    fn refusals(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for log in self.nodes.iter().map(GatewayNode::log) {
            let lines = log.lines().filter(|line| line.contains("event=refused "));
            let reasons = lines.filter_map(|line| line.split("reason=").nth(1)?.split(' ').next());
            for reason in reasons {
                *counts.entry(reason.to_owned()).or_default() += 1;
            }
        }
        counts
    }

    fn log_paths(&self) -> Vec<PathBuf> {
        self.nodes.iter().map(GatewayNode::log_path).collect()
    }

    fn callers(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(GatewayNode::callers).collect()
    }
}

/// A request that was sent once, without a retry.
struct SentRequest {
    is_deadly: bool,
    sent_at: Instant,
    /// Status of its complete answer; zero if it got none.
    status: u16,
}

/// What the requests of a test share.
#[derive(Clone, Copy)]
struct LoadPlan {
    path: &'static str,
    lines: &'static str,
    /// Parts of the deadly requests' prompts before the last one; the requests take turns.
    deadly_prefixes: &'static [&'static [&'static str]],
    harmless_interval: Duration,
    /// When the first harmless request is sent.
    harmless_after: Duration,
}

impl LoadPlan {
    fn new(
        path: &'static str,
        lines: &'static str,
        deadly_prefixes: &'static [&'static [&'static str]],
    ) -> Self {
        Self {
            path,
            lines,
            deadly_prefixes,
            harmless_interval: HARMLESS_INTERVAL,
            harmless_after: Duration::ZERO,
        }
    }
}

fn send(
    address: SocketAddr,
    plan: &LoadPlan,
    shared: &[&str],
    number: usize,
    is_deadly: bool,
    results: &Sender<SentRequest>,
) {
    let kind = if is_deadly { "deadly" } else { "harmless" };
    let id = format!("{kind}-{number}");
    let last = format!("{number:08x}");
    let ids = [shared, &[last.as_str()]].concat();
    let lines = format!("{}{}", plan.lines, prefix_line(&ids));
    let text = request("POST", "shop.example", plan.path, &id, &lines, &id);
    let results = results.clone();
    std::thread::spawn(move || {
        let sent_at = Instant::now();
        let answer = exchange(address, &text).filter(|answer| answer.is_whole);
        let result = SentRequest {
            is_deadly,
            sent_at,
            status: answer.map_or(0, |answer| answer.status()),
        };
        // The test has failed already if nobody receives.
        let _ = results.send(result);
    });
}

/// Sends harmless requests, and deadly ones if the plan has any, to all nodes in turn. `disturb` is called
/// before each deadly request would be sent, with the number of that request.
fn run_load(
    fleet: &mut Fleet,
    plan: &LoadPlan,
    mut disturb: impl FnMut(&mut Fleet, usize),
) -> Vec<SentRequest> {
    let addresses = fleet.callers();
    let began_at = Instant::now();
    let end_at = began_at + LOAD_DURATION;
    let (results, received) = channel();
    let harmless = {
        let (addresses, plan, results) = (addresses.clone(), *plan, results.clone());
        std::thread::spawn(move || {
            for number in 0.. {
                let due_at = began_at + plan.harmless_after + plan.harmless_interval * number;
                if due_at >= end_at {
                    break;
                }
                std::thread::sleep(due_at.saturating_duration_since(Instant::now()));
                let number = number as usize;
                let address = addresses[number % addresses.len()];
                send(address, &plan, &[SHARED_PART], number, false, &results);
            }
        })
    };
    for number in 0.. {
        let due_at = began_at + WARM_UP + DEADLY_INTERVAL * number;
        if due_at >= end_at {
            break;
        }
        std::thread::sleep(due_at.saturating_duration_since(Instant::now()));
        let number = number as usize;
        disturb(fleet, number);
        let prefixes = plan.deadly_prefixes;
        if !prefixes.is_empty() {
            let address = addresses[number % addresses.len()];
            send(
                address,
                plan,
                prefixes[number % prefixes.len()],
                number,
                true,
                &results,
            );
        }
    }
    harmless.join().expect("the thread of the harmless requests");
    drop(results);
    received.into_iter().collect()
}

/// Number of harmless requests sent at or after a time, and how many of them were served.
fn count_served(sent: &[SentRequest], since: Option<Instant>) -> (usize, usize) {
    let counted = sent
        .iter()
        .filter(|result| !result.is_deadly && since.is_none_or(|since| result.sent_at >= since));
    let counted: Vec<_> = counted.collect();
    let served = counted.iter().filter(|result| result.status == 200).count();
    (counted.len(), served)
}

/// The longest time between two harmless requests, which shows whether the machine was too busy to send them.
fn longest_gap(sent: &[SentRequest]) -> Duration {
    let harmless = sent.iter().filter(|result| !result.is_deadly);
    let mut times: Vec<Instant> = harmless.map(|result| result.sent_at).collect();
    times.sort_unstable();
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or_default()
}

fn assert_contained(fleet: &Fleet, sent: &[SentRequest]) {
    let crashes = fleet.crash_times().len();
    let late = fleet.late_requests();
    let decisive = fleet
        .decisive_crash()
        .expect("the first request crashes a replica");
    let (all, all_served) = count_served(sent, None);
    let (counted, served) = count_served(sent, Some(decisive + SERVED_AFTER));
    let seen = format!(
        "{crashes} replicas crashed, {late} late requests, {all_served} of {all} harmless requests served, \
         {served} of {counted} since {SERVED_AFTER:?} after the decisive crash, refusals {:?}, longest gap {:?}, \
         logs {:?}",
        fleet.refusals(),
        longest_gap(sent),
        fleet.log_paths()
    );
    println!("{seen}");
    assert!(late <= MAX_LATE_REQUESTS, "{seen}");
    assert!(crashes <= MAX_CRASHES, "{seen}");
    assert!(
        counted > 0 && served * 100 >= counted * MIN_SERVED_PERCENT,
        "{seen}"
    );
}

fn assert_plan_contained(plan: &LoadPlan) {
    let mut fleet = Fleet::start();
    let sent = run_load(&mut fleet, plan, |_, _| {});
    assert_contained(&fleet, &sent);
}

const MIDDLE: &[&[&str]] = &[&[SHARED_PART, DEADLY_PARTS[0]]];

#[test]
fn a_part_that_crashes_engines_is_quarantined_for_unlike_generations() {
    assert_plan_contained(&LoadPlan::new("/stream/single", STREAM_LINES, MIDDLE));
}

#[test]
fn a_part_that_crashes_engines_is_quarantined_for_resumable_generations() {
    assert_plan_contained(&LoadPlan::new("/stream/resume", STREAM_LINES, MIDDLE));
}

#[test]
fn a_first_part_that_crashes_engines_is_quarantined() {
    assert_plan_contained(&LoadPlan::new(
        "/stream/single",
        STREAM_LINES,
        &[&[DEADLY_PARTS[0], SHARED_PART]],
    ));
}

#[test]
fn two_parts_that_crash_engines_are_both_quarantined() {
    assert_plan_contained(&LoadPlan::new(
        "/stream/single",
        STREAM_LINES,
        &[&[SHARED_PART, DEADLY_PARTS[0]], &[SHARED_PART, DEADLY_PARTS[1]]],
    ));
}

// Guards against a part that all requests share being held, since two harmful ones came before any harmless one.
#[test]
fn harmless_requests_that_come_after_two_deadly_ones_are_served() {
    let deadly: &[&[&str]] = &[&[SHARED_PART, DEADLY_PARTS[0]], &[SHARED_PART, DEADLY_PARTS[1]]];
    assert_plan_contained(&LoadPlan {
        harmless_after: WARM_UP + Duration::from_secs(1),
        ..LoadPlan::new("/stream/single", STREAM_LINES, deadly)
    });
}

#[test]
fn a_part_that_crashes_replicas_is_quarantined_for_idempotent_calls() {
    assert_plan_contained(&LoadPlan::new("/read", "", MIDDLE));
}

#[test]
fn a_part_that_crashes_replicas_is_quarantined_for_run_once_calls() {
    assert_plan_contained(&LoadPlan::new("/book", "", MIDDLE));
}

#[test]
fn a_restarted_node_does_not_forward_requests_with_a_quarantined_part() {
    let mut fleet = Fleet::start();
    let plan = LoadPlan::new("/stream/single", STREAM_LINES, MIDDLE);
    let sent = run_load(&mut fleet, &plan, |fleet, number| {
        if number == 25 {
            fleet.nodes[1].kill();
            fleet.nodes[1].spawn();
        }
    });
    assert_contained(&fleet, &sent);
}

#[test]
fn a_node_that_was_frozen_does_not_forward_requests_with_a_quarantined_part() {
    let mut fleet = Fleet::start();
    let plan = LoadPlan::new("/stream/single", STREAM_LINES, MIDDLE);
    let sent = run_load(&mut fleet, &plan, |fleet, number| match number {
        0 => fleet.nodes[2].signal("STOP"),
        20 => fleet.nodes[2].signal("CONT"),
        _ => {}
    });
    assert_contained(&fleet, &sent);
}

#[test]
fn a_node_that_joins_does_not_forward_requests_with_a_quarantined_part() {
    let mut fleet = Fleet::start();
    let plan = LoadPlan::new("/stream/single", STREAM_LINES, MIDDLE);
    let sent = run_load(&mut fleet, &plan, |fleet, number| match number {
        15 => {
            let joining = GatewayNode::start(&fleet.store, "vm-4", &[&fleet.nodes[0]]);
            fleet.nodes.push(joining);
        }
        // The joining node gets all of them as soon as it is ready.
        16.. if fleet.nodes[3].readiness() == 200 => {
            let (results, _received) = channel();
            send(
                fleet.nodes[3].callers(),
                &plan,
                MIDDLE[0],
                1_000 + number,
                true,
                &results,
            );
        }
        _ => {}
    });
    assert_contained(&fleet, &sent);
}

#[test]
fn rare_requests_that_share_the_other_part_are_served() {
    let mut fleet = Fleet::start();
    let plan = LoadPlan {
        harmless_interval: RARE_INTERVAL,
        ..LoadPlan::new("/stream/single", STREAM_LINES, MIDDLE)
    };
    let sent = run_load(&mut fleet, &plan, |_, _| {});
    assert_contained(&fleet, &sent);
}

#[test]
fn a_shared_part_is_not_held_when_replicas_crash_on_their_own() {
    for (path, lines, service) in [("/stream/single", STREAM_LINES, "i-d"), ("/read", "", "i-")] {
        let mut fleet = Fleet::start();
        let plan = LoadPlan::new(path, lines, &[]);
        let interval = OWN_CRASH_INTERVAL.as_millis() / DEADLY_INTERVAL.as_millis();
        let sent = run_load(&mut fleet, &plan, |fleet, number| {
            if (number as u128).is_multiple_of(interval) {
                let replicas = fleet
                    .replicas
                    .iter()
                    .filter(|replica| replica.id.starts_with(service));
                let replicas: Vec<_> = replicas.collect();
                let turn = number / interval as usize;
                replicas[turn % replicas.len().min(8)].process.crash();
            }
        });
        let refused = sent
            .iter()
            .filter(|result| matches!(result.status, 429 | 503))
            .count();
        let (all, served) = count_served(&sent, None);
        let held: usize = fleet
            .nodes
            .iter()
            .map(|node| node.log().matches("reason=quarantined").count())
            .sum();
        let seen = format!(
            "{path}: {served} of {all} served, {refused} refused, {held} held, refusals {:?}, longest gap {:?}, {:?}",
            fleet.refusals(),
            longest_gap(&sent),
            fleet.log_paths()
        );
        println!("{seen}");
        assert_eq!(held, 0, "{seen}");
        assert!(served * 100 >= all * MIN_SERVED_PERCENT, "{seen}");
    }
}
