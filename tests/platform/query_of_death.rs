//! A query of death: a request that crashes each replica that runs it, sent repeatedly to all nodes in turn.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use stand_ins::proxy::ProxyRoute;

use crate::node::{GatewayNode, publish_config, wait_until};
use crate::replica::{CRASH_MARKER, INSTANT_CRASH_MARKER, ReplicaBehavior, StandInReplica};
use crate::soak::open_proxy;
use crate::store::StandInStore;
use crate::wire::{exchange, request};

/// How long the request is sent repeatedly.
const ATTACK_DURATION: Duration = Duration::from_secs(16);

/// Time between two sends of the request.
const ATTACK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two harmless calls of the same service.
const HARMLESS_INTERVAL: Duration = Duration::from_millis(250);

/// Time until all nodes know of the third crash of a replica under a request.
const CRASH_KNOWN_AFTER: Duration = Duration::from_millis(3_000);

/// Maximum number of arrivals at replicas after that time.
const MAX_LATE_ARRIVALS: usize = 3;

/// Time that a node takes after joining to learn which requests are quarantined.
const QUARANTINE_KNOWN_AFTER: Duration = Duration::from_millis(300);

/// Minimum share of the harmless calls that must be served, in percent.
const MIN_SERVED_PERCENT: usize = 90;

/// Time until a crashed replica has restarted.
const RESTART_TIME: Duration = Duration::from_millis(2_200);

/// Time in which a node writes the lines on a request that has ended, a fraction of [`RESTART_TIME`].
const LOG_DELAY: Duration = Duration::from_millis(400);

/// Time of silence after which peers consider a node dead.
const CONSIDERED_DEAD_AFTER: Duration = Duration::from_millis(6_500);

/// Three nodes and six replicas of each kind.
struct Fleet {
    store: StandInStore,
    nodes: Vec<GatewayNode>,
    desks: Vec<StandInReplica>,
    engines: Vec<StandInReplica>,
}

impl Fleet {
    fn start() -> Self {
        let store = StandInStore::start();
        publish_config(&store, 1);
        let start = |id: String, service: &str, phase: Option<&str>| {
            StandInReplica::start(&store, &id, service, phase, ReplicaBehavior::Well)
        };
        let desks = (1..=6)
            .map(|number| start(format!("i-{number}"), "desk", None))
            .collect();
        let engines = (1..=3)
            .flat_map(|number| {
                let prefill = start(format!("i-p{number}"), "llm", Some("prefill"));
                let decode = start(format!("i-d{number}"), "llm", Some("decode"));
                [prefill, decode]
            })
            .collect();
        let first = GatewayNode::start(&store, "vm-1", &[]);
        let second = GatewayNode::start(&store, "vm-2", &[&first]);
        let third = GatewayNode::start(&store, "vm-3", &[&first, &second]);
        let nodes = vec![first, second, third];
        nodes.iter().for_each(GatewayNode::wait_ready);
        Self {
            store,
            nodes,
            desks,
            engines,
        }
    }

    fn replicas(&self) -> impl Iterator<Item = &StandInReplica> {
        self.desks.iter().chain(&self.engines)
    }

    /// Puts a proxy before each replica that accepts connections even while the replica is down.
    fn put_behind_proxies(&self) -> Vec<Arc<ProxyRoute>> {
        let put_proxy = |replica: &StandInReplica, service: &str, phase: Option<&str>| {
            let proxy = open_proxy(replica.address);
            replica.list_at(proxy.address().parse().expect("an address"));
            replica.publish(&self.store, service, phase, "ready");
            proxy
        };
        let desks = self.desks.iter().map(|desk| put_proxy(desk, "desk", None));
        let engines = self.engines.iter().map(|engine| {
            let is_prefill = engine.id.starts_with("i-p");
            put_proxy(engine, "llm", Some(if is_prefill { "prefill" } else { "decode" }))
        });
        let proxies = desks.chain(engines).collect();
        let last = self.engines.last().expect("engines").listed_address().to_string();
        wait_until("all nodes list the proxies", || {
            self.nodes.iter().all(|node| node.log().contains(&last))
        });
        proxies
    }

    /// Times of all crashes of replicas, in order.
    fn crash_times(&self) -> Vec<Instant> {
        let mut times: Vec<Instant> = self
            .replicas()
            .flat_map(|replica| replica.process.crash_times())
            .collect();
        times.sort_unstable();
        times
    }

    /// Number of arrivals of the deadly request after all nodes knew of the third crash.
    fn late_arrivals(&self) -> usize {
        let Some(third) = self.crash_times().get(2).copied() else {
            return 0;
        };
        let arrivals = self.replicas().flat_map(StandInReplica::crashing_arrivals);
        arrivals.filter(|at| *at > third + CRASH_KNOWN_AFTER).count()
    }

    /// Paths of the logs of all nodes, for failure messages.
    fn log_paths(&self) -> Vec<std::path::PathBuf> {
        self.nodes.iter().map(GatewayNode::log_path).collect()
    }
}

/// The counts that an attack ends with.
struct AttackOutcome {
    crash_count: usize,
    late_arrivals: usize,
    harmless_calls: usize,
    harmless_served: usize,
    /// Statuses of the deadly request's answers; zero if there was no answer.
    statuses: Vec<u16>,
}

/// Sends the deadly request to the nodes in turn, alongside harmless calls; calls `disturb` before each send.
fn attack(
    fleet: &mut Fleet,
    path: &str,
    lines: &str,
    disturb: impl FnMut(&mut Fleet, usize),
) -> AttackOutcome {
    attack_with_body(CRASH_MARKER, fleet, path, lines, disturb)
}

/// Runs an attack with the given body.
fn attack_with_body(
    body: &str,
    fleet: &mut Fleet,
    path: &str,
    lines: &str,
    mut disturb: impl FnMut(&mut Fleet, usize),
) -> AttackOutcome {
    let addresses: Vec<_> = fleet.nodes.iter().map(GatewayNode::callers).collect();
    let end_at = Instant::now() + ATTACK_DURATION;
    let harmless_addresses = addresses.clone();
    let (harmless_path, harmless_lines) = (path.to_owned(), lines.to_owned());
    let harmless_calls = std::thread::spawn(move || {
        let mut served = Vec::new();
        while Instant::now() < end_at {
            let number = served.len();
            let text = request(
                "POST",
                "shop.example",
                &harmless_path,
                &format!("innocent-{number}"),
                &harmless_lines,
                &format!("harmless {number}"),
            );
            let began = Instant::now();
            let answer = exchange(harmless_addresses[number % harmless_addresses.len()], &text);
            served.push(answer.is_some_and(|answer| answer.status() == 200 && answer.is_whole));
            std::thread::sleep(HARMLESS_INTERVAL.saturating_sub(began.elapsed()));
        }
        served
    });
    let statuses: Arc<Mutex<Vec<u16>>> = Arc::default();
    let mut number = 0;
    while Instant::now() < end_at {
        disturb(fleet, number);
        let text = request(
            "POST",
            "shop.example",
            path,
            &format!("deadly-{number}"),
            lines,
            body,
        );
        let address = addresses[number % addresses.len()];
        let statuses = statuses.clone();
        std::thread::spawn(move || {
            let answer = exchange(address, &text);
            let status = answer.map_or(0, |answer| answer.status());
            statuses.lock().expect("no holder panics").push(status);
        });
        number += 1;
        std::thread::sleep(ATTACK_INTERVAL);
    }
    let served = harmless_calls.join().expect("the thread of the harmless calls");
    let statuses = statuses.lock().expect("no holder panics").clone();
    AttackOutcome {
        crash_count: fleet.crash_times().len(),
        late_arrivals: fleet.late_arrivals(),
        harmless_calls: served.len(),
        harmless_served: served.iter().filter(|is_served| **is_served).count(),
        statuses,
    }
}

/// Checks that a request which crashed three replicas does not reach others, and that harmless calls are
/// served.
fn assert_contained(fleet: &Fleet, outcome: &AttackOutcome) {
    let AttackOutcome {
        crash_count,
        late_arrivals,
        harmless_calls,
        harmless_served,
        statuses,
    } = outcome;
    let seen = format!(
        "{crash_count} replicas crashed, {late_arrivals} late arrivals, {harmless_served} of {harmless_calls} harmless calls served, \
         {statuses:?}, logs {:?}",
        fleet.log_paths()
    );
    println!("{seen}");
    let events = |kind: &str| -> f64 {
        let nodes = fleet.nodes.iter();
        nodes
            .map(|node| node.metric("control_events", &format!("kind=\"{kind}\"")))
            .sum()
    };
    println!(
        "events sent: request_lost {}, request_completed {}, placement_wanted {}",
        events("request_lost"),
        events("request_completed"),
        events("placement_wanted")
    );
    assert!(*late_arrivals <= MAX_LATE_ARRIVALS, "{seen}");
    assert!(
        harmless_served * 100 >= harmless_calls * MIN_SERVED_PERCENT,
        "{seen}"
    );
}

#[test]
fn an_idempotent_call_that_crashes_replicas_is_quarantined_at_all_nodes() {
    let mut fleet = Fleet::start();
    let outcome = attack(&mut fleet, "/read", "", |_, _| {});
    assert_contained(&fleet, &outcome);
}

#[test]
fn a_run_once_call_that_crashes_replicas_is_quarantined_at_all_nodes() {
    let mut fleet = Fleet::start();
    let outcome = attack(&mut fleet, "/book", "", |_, _| {});
    assert_contained(&fleet, &outcome);
}

#[test]
fn a_generation_that_crashes_engines_is_quarantined_at_all_nodes() {
    let mut fleet = Fleet::start();
    let outcome = attack(&mut fleet, "/stream", "X-Token-Count: 900,50\r\n", |_, _| {});
    assert_contained(&fleet, &outcome);
}

#[test]
fn a_restarted_node_does_not_forward_a_quarantined_call() {
    let mut fleet = Fleet::start();
    let restart_at = ATTACK_DURATION.as_millis() / ATTACK_INTERVAL.as_millis() * 3 / 8;
    let outcome = attack(&mut fleet, "/read", "", |fleet, number| {
        if number as u128 == restart_at {
            fleet.nodes[1].kill();
            fleet.nodes[1].spawn();
        }
    });
    assert_contained(&fleet, &outcome);
}

#[test]
fn a_node_that_was_frozen_does_not_forward_a_quarantined_call() {
    let mut fleet = Fleet::start();
    let outcome = attack(&mut fleet, "/read", "", |fleet, number| match number {
        0 => fleet.nodes[2].signal("STOP"),
        20 => fleet.nodes[2].signal("CONT"),
        _ => {}
    });
    assert_contained(&fleet, &outcome);
}

/// Number of calls that wait at a node while it is frozen.
const WAITING_CALLS: usize = 24;

/// Freezes the third node, lets the others quarantine a call after `silent_for`, and resumes the node with
/// copies of the call waiting there. Returns the number of runs that replicas began after that.
fn runs_after_a_freeze(fleet: &Fleet, body: &str, silent_for: Duration) -> usize {
    let text = |id: &str| request("POST", "shop.example", "/read", id, "", body);
    let arrivals = || -> usize {
        let desks = fleet.desks.iter();
        desks.map(|desk| desk.crashing_arrivals().len()).sum()
    };
    fleet.nodes[2].signal("STOP");
    std::thread::sleep(silent_for);
    wait_until("the call is quarantined", || {
        (0..2).all(|node| fleet.nodes[node].ask(&text(&format!("{body}-{node}"))).status() == 503)
    });
    let waiting: Vec<_> = (0..WAITING_CALLS)
        .map(|number| {
            let (address, text) = (fleet.nodes[2].callers(), text(&format!("{body}-waits-{number}")));
            std::thread::spawn(move || exchange(address, &text))
        })
        .collect();
    std::thread::sleep(RESTART_TIME);
    let before = arrivals();
    fleet.nodes[2].signal("CONT");
    for call in waiting {
        let status = call
            .join()
            .expect("a caller's thread")
            .map(|answer| answer.status());
        println!("{body}: {status:?}");
    }
    arrivals() - before
}

#[test]
fn a_resumed_node_reads_updates_of_its_peers_before_it_runs_waiting_calls() {
    let fleet = Fleet::start();
    for round in 0..4 {
        let body = format!("{CRASH_MARKER} {round}");
        let runs = runs_after_a_freeze(&fleet, &body, Duration::ZERO);
        assert_eq!(runs, 0, "round {round}: {}", fleet.nodes[2].log());
        wait_until("the peers count the node as live again", || {
            (0..2).all(|node| fleet.nodes[node].metric("vms", "state=\"live\"") >= 3.0)
        });
    }
}

#[test]
fn a_node_considered_dead_reads_updates_of_its_peers_before_it_runs_waiting_calls() {
    let fleet = Fleet::start();
    let body = format!("{CRASH_MARKER} later");
    let runs = runs_after_a_freeze(&fleet, &body, CONSIDERED_DEAD_AFTER);
    assert_eq!(runs, 0, "{}", fleet.nodes[2].log());
}

#[test]
fn a_call_that_crashes_replicas_behind_proxies_is_quarantined_at_all_nodes() {
    let mut fleet = Fleet::start();
    let _proxies = fleet.put_behind_proxies();
    let outcome = attack(&mut fleet, "/read", "", |_, _| {});
    assert_contained(&fleet, &outcome);
}

#[test]
fn a_generation_that_crashes_engines_behind_proxies_is_quarantined_at_all_nodes() {
    let mut fleet = Fleet::start();
    let _proxies = fleet.put_behind_proxies();
    let outcome = attack(&mut fleet, "/stream", "X-Token-Count: 900,50\r\n", |_, _| {});
    assert_contained(&fleet, &outcome);
}

#[test]
fn a_call_that_crashes_replicas_at_once_is_quarantined_with_and_without_proxies() {
    for has_proxies in [false, true] {
        let mut fleet = Fleet::start();
        let _proxies = has_proxies.then(|| fleet.put_behind_proxies());
        let outcome = attack_with_body(INSTANT_CRASH_MARKER, &mut fleet, "/read", "", |_, _| {});
        assert_contained(&fleet, &outcome);
    }
}

/// Number of times that all replicas of a service crash on their own.
const ROUNDS: usize = 3;

/// Copies of one call that are sent while the replicas are down.
const COPIES_WHILE_DOWN: usize = 12;

/// Copies of the call that are sent once the replicas have restarted.
const COPIES_AFTER_RESTART: usize = 6;

/// How long a slow proxy takes to close a connection whose upstream end is gone, in milliseconds.
const SLOW_CLOSE_MS: u64 = 4;

/// Sends copies of one call while all replicas are down behind proxies, and after they have restarted. Checks
/// that the call is not suspected of the crashes.
fn assert_no_crash_reports(close_delay_ms: u64) {
    let fleet = Fleet::start();
    let proxies = fleet.put_behind_proxies();
    proxies
        .iter()
        .for_each(|proxy| proxy.set_close_delay(close_delay_ms));
    let send = |number: usize| {
        let id = format!("innocent-{number}");
        let text = request("POST", "shop.example", "/read", &id, "", "the same each time");
        fleet.nodes[number % 3].ask(&text).status()
    };
    let mut statuses = Vec::new();
    for _ in 0..ROUNDS {
        fleet.desks.iter().for_each(|desk| desk.process.crash());
        for number in 0..COPIES_WHILE_DOWN {
            send(number);
            std::thread::sleep(Duration::from_millis(40));
        }
        std::thread::sleep(RESTART_TIME);
        statuses.extend((0..COPIES_AFTER_RESTART).map(send));
    }
    let logs = fleet.log_paths();
    assert_eq!(statuses, [200; ROUNDS * COPIES_AFTER_RESTART], "{logs:?}");
    for node in &fleet.nodes {
        assert!(!node.log().contains("event=request_struck"), "{logs:?}");
    }
}

#[test]
fn a_harmless_call_gets_no_crash_reports_from_replicas_that_were_down_behind_open_proxies() {
    assert_no_crash_reports(0);
}

#[test]
fn a_harmless_call_gets_no_crash_reports_from_replicas_that_were_down_behind_slow_proxies() {
    assert_no_crash_reports(SLOW_CLOSE_MS);
}

fn send_deadly(node: &GatewayNode, path: &str, id: &str) -> u16 {
    node.ask(&request("POST", "shop.example", path, id, "", CRASH_MARKER))
        .status()
}

#[test]
fn a_quarantine_outlives_the_node_that_saw_the_crashes() {
    let mut fleet = Fleet::start();
    wait_until("the call is quarantined", || {
        send_deadly(&fleet.nodes[0], "/book", "d-0");
        fleet.nodes[0].log().contains("event=request_quarantined")
    });
    let crash_count = fleet.crash_times().len();
    fleet.nodes[0].kill();
    for (node, id) in [(1, "d-1"), (2, "d-2")] {
        assert_eq!(send_deadly(&fleet.nodes[node], "/book", id), 503);
    }
    fleet.nodes[0].spawn();
    fleet.nodes[0].wait_ready();
    // It has joined again with a peer. How it learns of the quarantine is not logged.
    wait_until("the node has joined", || {
        let log = fleet.nodes[0].log();
        let latest_start = log.rfind("event=started").unwrap_or_default();
        log.matches("event=started").count() == 2 && log[latest_start..].contains("event=vm_joined")
    });
    std::thread::sleep(QUARANTINE_KNOWN_AFTER);
    assert_eq!(
        send_deadly(&fleet.nodes[0], "/book", "d-3"),
        503,
        "{}",
        fleet.nodes[0].log()
    );
    assert_eq!(fleet.crash_times().len(), crash_count);
}

#[test]
fn equal_reads_are_served_again_at_once_after_a_rack_lost_power() {
    let fleet = Fleet::start();
    fleet
        .desks
        .iter()
        .for_each(|desk| desk.set_behavior(ReplicaBehavior::Slow));
    let text = |id: &str| request("POST", "shop.example", "/read", id, "", "the day's slots");
    let running: Vec<_> = fleet
        .nodes
        .iter()
        .enumerate()
        .map(|(index, node)| {
            let (address, text) = (node.callers(), text(&format!("first-{index}")));
            std::thread::spawn(move || exchange(address, &text))
        })
        .collect();
    let busy = || fleet.desks.iter().filter(|desk| desk.count() > 0).count();
    wait_until("three replicas run a call", || busy() >= 3);
    let rack: Vec<_> = fleet.desks.iter().filter(|desk| desk.count() > 0).collect();
    rack.iter().for_each(|desk| desk.process.crash());
    fleet
        .desks
        .iter()
        .for_each(|desk| desk.set_behavior(ReplicaBehavior::Well));
    for call in running {
        let answer = call.join().expect("a caller's thread").expect("an answer");
        assert_eq!(answer.status(), 200, "{}", fleet.nodes[0].log());
    }
    for number in 0..30 {
        let answer = fleet.nodes[number % 3].ask(&text(&format!("next-{number}")));
        assert_eq!(answer.status(), 200, "{}", fleet.nodes[number % 3].log());
    }
}

/// Callers that send equal reads all the time.
const EQUAL_READERS: usize = 12;

/// Time between two losses of a rack.
const RACK_LOSS_INTERVAL: Duration = Duration::from_millis(1_500);

/// How long equal reads go on after the second loss of the rack.
const READS_AFTER_LOSS: Duration = Duration::from_secs(6);

#[test]
fn equal_reads_are_served_while_a_rack_loses_power_twice() {
    let fleet = Fleet::start();
    fleet
        .desks
        .iter()
        .for_each(|desk| desk.set_behavior(ReplicaBehavior::Slow));
    let is_over = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = (0..EQUAL_READERS)
        .map(|reader| {
            let (address, is_over) = (fleet.nodes[reader % 2].callers(), is_over.clone());
            std::thread::spawn(move || {
                let mut answers = Vec::new();
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("read-{reader}-{}", answers.len());
                    let text = request("POST", "shop.example", "/read", &id, "", "the day's slots");
                    let sent_at = Instant::now();
                    let status = exchange(address, &text).map_or(0, |answer| answer.status());
                    answers.push((sent_at, status));
                    std::thread::sleep(Duration::from_millis(20));
                }
                answers
            })
        })
        .collect();
    std::thread::sleep(RACK_LOSS_INTERVAL);
    for _ in 0..2 {
        fleet.desks[..3].iter().for_each(|desk| desk.process.crash());
        std::thread::sleep(RACK_LOSS_INTERVAL);
    }
    let counted_from = Instant::now();
    std::thread::sleep(READS_AFTER_LOSS);
    is_over.store(true, Ordering::Relaxed);
    let answers = readers
        .into_iter()
        .flat_map(|reader| reader.join().expect("a reader"));
    let counted: Vec<u16> = answers
        .filter(|(sent_at, _)| *sent_at >= counted_from)
        .map(|(_, status)| status)
        .collect();
    let served = counted.iter().filter(|status| **status == 200).count();
    let seen = format!("{served} of {} served, {:?}", counted.len(), fleet.log_paths());
    println!("{seen}");
    assert!(served * 100 >= counted.len() * MIN_SERVED_PERCENT, "{seen}");
    for node in &fleet.nodes {
        assert!(!node.log().contains("event=request_quarantined"), "{seen}");
    }
}

#[test]
fn a_quarantined_call_is_explained_from_logs_alone() {
    let fleet = Fleet::start();
    wait_until("the call is quarantined", || {
        send_deadly(&fleet.nodes[0], "/read", "d-0");
        send_deadly(&fleet.nodes[1], "/read", "d-1") == 503
    });
    let refused = fleet.nodes[2].ask(&request("POST", "shop.example", "/read", "d-2", "", CRASH_MARKER));
    let wait_s: f64 = refused
        .header("Retry-After")
        .and_then(|text| text.parse().ok())
        .expect("a Retry-After in seconds");
    assert!(refused.status() == 503 && wait_s > 1.0, "{refused:?}");
    assert!(fleet.nodes[2].metric("suspected_requests", "state=\"held\"") >= 1.0);
    wait_until("the end of the request is logged", || {
        fleet.nodes[2].log().contains("event=ended request=d-2")
    });
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_dotterelspan"));
    command.arg("explain").arg("d-2").args(fleet.log_paths());
    let output = command.output().expect("the program can be run");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        text.contains("held back") && text.contains("Replicas that had ended under its content: i-"),
        "{text}"
    );
    let crash_count = fleet.crash_times().len();
    assert!(
        crash_count >= 2 && text.matches("request_struck").count() >= 2,
        "{text}"
    );
    for word in ["upstream=i-", "incarnation=1", "seen_by=vm-1"] {
        assert!(text.contains(word), "{word}: {text}");
    }
}

#[test]
fn a_crash_is_known_at_once_although_the_port_closes_after_the_connections() {
    let fleet = Fleet::start();
    fleet.desks.iter().for_each(|desk| desk.process.close_port_last());
    // Each call may be sent to three replicas, of which the second quarantines it.
    let status = send_deadly(&fleet.nodes[0], "/read", "d-0");
    std::thread::sleep(LOG_DELAY);
    let log = fleet.nodes[0].log();
    assert_eq!(status, 502, "{log}");
    assert!(log.contains("event=request_quarantined"), "{log}");
}
