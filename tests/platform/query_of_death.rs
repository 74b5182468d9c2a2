//! A request that ends each replica that runs it, sent again and again to one node after the other.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use stand_ins::proxy::ProxyRoute;

use crate::node::{GatewayNode, publish_config, wait_until};
use crate::replica::{CRASH_MARKER, INSTANT_CRASH_MARKER, ReplicaBehavior, StandInReplica};
use crate::soak::open_proxy;
use crate::store::StandInStore;
use crate::wire::{exchange, request};

/// How long the request comes again and again.
const ATTACK: Duration = Duration::from_secs(16);

/// Time between two times.
const AGAIN_AFTER: Duration = Duration::from_millis(200);

/// Time between two other calls of the same service.
const INNOCENT_EVERY: Duration = Duration::from_millis(250);

/// The third end of a replica under a request is known everywhere this much later.
const KNOWN_AFTER: Duration = Duration::from_millis(3_000);

/// The most arrivals at replicas after that.
const MOST_LATE_ARRIVALS: usize = 3;

/// How long a node that has joined takes to learn what is held back.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(300);

/// The part of the other calls that has to be served, in percent.
const SERVED_PERCENT: usize = 90;

/// Replicas that ended are back so much later.
const AWAY_AGAIN: Duration = Duration::from_millis(2_200);

/// Peers take a node that is silent so long for dead.
const TAKEN_FOR_DEAD: Duration = Duration::from_millis(6_500);

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

    /// Puts a hop before each replica that still takes connections while the replica is away.
    fn hide_behind_hops(&self) -> Vec<Arc<ProxyRoute>> {
        let hide = |replica: &StandInReplica, service: &str, phase: Option<&str>| {
            let way = open_proxy(replica.address);
            replica.list_at(way.address().parse().expect("an address"));
            replica.publish(&self.store, service, phase, "ready");
            way
        };
        let desks = self.desks.iter().map(|desk| hide(desk, "desk", None));
        let engines = self.engines.iter().map(|engine| {
            let is_prefill = engine.id.starts_with("i-p");
            hide(engine, "llm", Some(if is_prefill { "prefill" } else { "decode" }))
        });
        let ways = desks.chain(engines).collect();
        let last = self.engines.last().expect("engines").listed_address().to_string();
        wait_until("all nodes know the ways", || {
            self.nodes.iter().all(|node| node.log().contains(&last))
        });
        ways
    }

    /// All ends of replicas, in their order.
    fn ends(&self) -> Vec<Instant> {
        let mut ends: Vec<Instant> = self.replicas().flat_map(|replica| replica.life.ends()).collect();
        ends.sort_unstable();
        ends
    }

    /// Arrivals of the deadly request after the third end was known everywhere.
    fn late_arrivals(&self) -> usize {
        let Some(third) = self.ends().get(2).copied() else {
            return 0;
        };
        let arrivals = self.replicas().flat_map(StandInReplica::crashing_arrivals);
        arrivals.filter(|at| *at > third + KNOWN_AFTER).count()
    }

    /// The logs of all nodes, for a failure's message.
    fn log_paths(&self) -> Vec<std::path::PathBuf> {
        self.nodes.iter().map(GatewayNode::log_path).collect()
    }
}

/// What came of an attack.
struct AttackOutcome {
    ends: usize,
    late_arrivals: usize,
    innocents: usize,
    innocents_served: usize,
    /// Statuses of the deadly request's answers; zero where there was none.
    statuses: Vec<u16>,
}

/// Sends the deadly request to one node after the other while other calls go on; `disturb` is asked before each.
fn attack(
    fleet: &mut Fleet,
    path: &str,
    lines: &str,
    disturb: impl FnMut(&mut Fleet, usize),
) -> AttackOutcome {
    attack_with(CRASH_MARKER, fleet, path, lines, disturb)
}

/// The same with another body.
fn attack_with(
    body: &str,
    fleet: &mut Fleet,
    path: &str,
    lines: &str,
    mut disturb: impl FnMut(&mut Fleet, usize),
) -> AttackOutcome {
    let addresses: Vec<_> = fleet.nodes.iter().map(GatewayNode::callers).collect();
    let over_at = Instant::now() + ATTACK;
    let innocent_addresses = addresses.clone();
    let (innocent_path, innocent_lines) = (path.to_owned(), lines.to_owned());
    let innocents = std::thread::spawn(move || {
        let mut served = Vec::new();
        while Instant::now() < over_at {
            let number = served.len();
            let text = request(
                "POST",
                "shop.example",
                &innocent_path,
                &format!("innocent-{number}"),
                &innocent_lines,
                &format!("harmless {number}"),
            );
            let began = Instant::now();
            let answer = exchange(innocent_addresses[number % innocent_addresses.len()], &text);
            served.push(answer.is_some_and(|answer| answer.status() == 200 && answer.is_whole));
            std::thread::sleep(INNOCENT_EVERY.saturating_sub(began.elapsed()));
        }
        served
    });
    let statuses: Arc<Mutex<Vec<u16>>> = Arc::default();
    let mut number = 0;
    while Instant::now() < over_at {
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
        std::thread::sleep(AGAIN_AFTER);
    }
    let served = innocents.join().expect("the innocents' thread");
    let statuses = statuses.lock().expect("no holder panics").clone();
    AttackOutcome {
        ends: fleet.ends().len(),
        late_arrivals: fleet.late_arrivals(),
        innocents: served.len(),
        innocents_served: served.iter().filter(|is_served| **is_served).count(),
        statuses,
    }
}

/// Checks that a request which ended three replicas is kept from the others, and that other calls are served meanwhile.
fn assert_contained(fleet: &Fleet, outcome: &AttackOutcome) {
    let AttackOutcome {
        ends,
        late_arrivals,
        innocents,
        innocents_served,
        statuses,
    } = outcome;
    let seen = format!(
        "{ends} replicas ended, {late_arrivals} late arrivals, {innocents_served} of {innocents} innocent calls served, \
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
        "events told: request_lost {}, request_completed {}, placement_wanted {}",
        events("request_lost"),
        events("request_completed"),
        events("placement_wanted")
    );
    assert!(*late_arrivals <= MOST_LATE_ARRIVALS, "{seen}");
    assert!(innocents_served * 100 >= innocents * SERVED_PERCENT, "{seen}");
}

#[test]
fn an_idempotent_call_that_ends_replicas_is_held_back_at_all_nodes() {
    let mut fleet = Fleet::start();
    let outcome = attack(&mut fleet, "/read", "", |_, _| {});
    assert_contained(&fleet, &outcome);
}

#[test]
fn a_run_once_call_that_ends_replicas_is_held_back_at_all_nodes() {
    let mut fleet = Fleet::start();
    let outcome = attack(&mut fleet, "/book", "", |_, _| {});
    assert_contained(&fleet, &outcome);
}

#[test]
fn a_generation_that_ends_engines_is_held_back_at_all_nodes() {
    let mut fleet = Fleet::start();
    let outcome = attack(&mut fleet, "/stream", "X-Token-Count: 900,50\r\n", |_, _| {});
    assert_contained(&fleet, &outcome);
}

#[test]
fn a_node_that_starts_again_does_not_let_a_deadly_call_through() {
    let mut fleet = Fleet::start();
    let restart_at = ATTACK.as_millis() / AGAIN_AFTER.as_millis() * 3 / 8;
    let outcome = attack(&mut fleet, "/read", "", |fleet, number| {
        if number as u128 == restart_at {
            fleet.nodes[1].kill();
            fleet.nodes[1].spawn();
        }
    });
    assert_contained(&fleet, &outcome);
}

#[test]
fn a_node_that_was_frozen_does_not_let_a_deadly_call_through() {
    let mut fleet = Fleet::start();
    let outcome = attack(&mut fleet, "/read", "", |fleet, number| match number {
        0 => fleet.nodes[2].signal("STOP"),
        20 => fleet.nodes[2].signal("CONT"),
        _ => {}
    });
    assert_contained(&fleet, &outcome);
}

/// How many calls wait at a node while it is frozen.
const WAITING_CALLS: usize = 24;

/// Freezes the third node, lets the others learn `silent_for` later that a call is deadly, and lets the node run again,
/// with copies of the call waiting there. How many runs its replicas began after that.
fn runs_after_a_freeze(fleet: &Fleet, body: &str, silent_for: Duration) -> usize {
    let text = |id: &str| request("POST", "shop.example", "/read", id, "", body);
    let arrivals = || -> usize {
        let desks = fleet.desks.iter();
        desks.map(|desk| desk.crashing_arrivals().len()).sum()
    };
    fleet.nodes[2].signal("STOP");
    std::thread::sleep(silent_for);
    wait_until("the call is held back", || {
        (0..2).all(|node| fleet.nodes[node].ask(&text(&format!("{body}-{node}"))).status() == 503)
    });
    let waiting: Vec<_> = (0..WAITING_CALLS)
        .map(|number| {
            let (address, text) = (fleet.nodes[2].callers(), text(&format!("{body}-waits-{number}")));
            std::thread::spawn(move || exchange(address, &text))
        })
        .collect();
    std::thread::sleep(AWAY_AGAIN);
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
fn a_node_that_runs_again_hears_its_peers_before_it_runs_what_waits() {
    let fleet = Fleet::start();
    for round in 0..4 {
        let body = format!("{CRASH_MARKER} {round}");
        let runs = runs_after_a_freeze(&fleet, &body, Duration::ZERO);
        assert_eq!(runs, 0, "round {round}: {}", fleet.nodes[2].log());
        wait_until("the node is known again", || {
            (0..2).all(|node| fleet.nodes[node].metric("vms", "state=\"live\"") >= 3.0)
        });
    }
}

#[test]
fn a_node_that_was_taken_for_dead_hears_its_peers_before_it_runs_what_waits() {
    let fleet = Fleet::start();
    let body = format!("{CRASH_MARKER} later");
    let runs = runs_after_a_freeze(&fleet, &body, TAKEN_FOR_DEAD);
    assert_eq!(runs, 0, "{}", fleet.nodes[2].log());
}

#[test]
fn a_call_that_ends_replicas_behind_hops_is_held_back_at_all_nodes() {
    let mut fleet = Fleet::start();
    let _ways = fleet.hide_behind_hops();
    let outcome = attack(&mut fleet, "/read", "", |_, _| {});
    assert_contained(&fleet, &outcome);
}

#[test]
fn a_generation_that_ends_engines_behind_hops_is_held_back_at_all_nodes() {
    let mut fleet = Fleet::start();
    let _ways = fleet.hide_behind_hops();
    let outcome = attack(&mut fleet, "/stream", "X-Token-Count: 900,50\r\n", |_, _| {});
    assert_contained(&fleet, &outcome);
}

#[test]
fn a_call_that_ends_replicas_at_once_is_held_back_with_and_without_hops() {
    for has_hops in [false, true] {
        let mut fleet = Fleet::start();
        let _ways = has_hops.then(|| fleet.hide_behind_hops());
        let outcome = attack_with(INSTANT_CRASH_MARKER, &mut fleet, "/read", "", |_, _| {});
        assert_contained(&fleet, &outcome);
    }
}

/// How often all replicas of a service end by themselves.
const ROUNDS: usize = 3;

/// Copies of one call that are sent while they are away, and once they are back.
const COPIES_AWAY: usize = 12;
const COPIES_LATER: usize = 6;

/// How long a slow hop takes to close a connection of which the other end is gone, in milliseconds.
const SLOW_CLOSE_MS: u64 = 4;

/// Sends copies of one call while all replicas end behind hops, and later.
fn assert_no_strikes(close_delay_ms: u64) {
    let fleet = Fleet::start();
    let ways = fleet.hide_behind_hops();
    ways.iter().for_each(|way| way.set_close_delay(close_delay_ms));
    let send = |number: usize| {
        let id = format!("innocent-{number}");
        let text = request("POST", "shop.example", "/read", &id, "", "the same each time");
        fleet.nodes[number % 3].ask(&text).status()
    };
    let mut statuses = Vec::new();
    for _ in 0..ROUNDS {
        fleet.desks.iter().for_each(|desk| desk.life.end());
        for number in 0..COPIES_AWAY {
            send(number);
            std::thread::sleep(Duration::from_millis(40));
        }
        std::thread::sleep(AWAY_AGAIN);
        statuses.extend((0..COPIES_LATER).map(send));
    }
    let logs = fleet.log_paths();
    assert_eq!(statuses, [200; ROUNDS * COPIES_LATER], "{logs:?}");
    for node in &fleet.nodes {
        assert!(!node.log().contains("event=request_struck"), "{logs:?}");
    }
}

#[test]
fn an_innocent_call_gets_no_strikes_from_replicas_that_had_ended_behind_open_hops() {
    assert_no_strikes(0);
}

#[test]
fn an_innocent_call_gets_no_strikes_from_replicas_that_had_ended_behind_hops_that_close_slowly() {
    assert_no_strikes(SLOW_CLOSE_MS);
}

fn send_deadly(node: &GatewayNode, path: &str, id: &str) -> u16 {
    node.ask(&request("POST", "shop.example", path, id, "", CRASH_MARKER))
        .status()
}

#[test]
fn a_hold_outlives_the_node_that_saw_the_ends() {
    let mut fleet = Fleet::start();
    wait_until("the call is held back", || {
        send_deadly(&fleet.nodes[0], "/book", "d-0");
        fleet.nodes[0].log().contains("event=request_quarantined")
    });
    let ends = fleet.ends().len();
    fleet.nodes[0].kill();
    for (node, id) in [(1, "d-1"), (2, "d-2")] {
        assert_eq!(send_deadly(&fleet.nodes[node], "/book", id), 503);
    }
    fleet.nodes[0].spawn();
    fleet.nodes[0].wait_ready();
    // One that has met a peer again; how it hears of the other one is not logged.
    wait_until("the node has joined", || {
        let log = fleet.nodes[0].log();
        let latest_start = log.rfind("event=started").unwrap_or_default();
        log.matches("event=started").count() == 2 && log[latest_start..].contains("event=vm_joined")
    });
    std::thread::sleep(PROPAGATION_LIMIT);
    assert_eq!(
        send_deadly(&fleet.nodes[0], "/book", "d-3"),
        503,
        "{}",
        fleet.nodes[0].log()
    );
    assert_eq!(fleet.ends().len(), ends);
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
    wait_until("three replicas run them", || busy() >= 3);
    let rack: Vec<_> = fleet.desks.iter().filter(|desk| desk.count() > 0).collect();
    rack.iter().for_each(|desk| desk.life.end());
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

#[test]
fn a_call_that_is_held_back_is_explained_from_logs_alone() {
    let fleet = Fleet::start();
    wait_until("the call is held back", || {
        send_deadly(&fleet.nodes[0], "/read", "d-0");
        send_deadly(&fleet.nodes[1], "/read", "d-1") == 503
    });
    let refused = fleet.nodes[2].ask(&request("POST", "shop.example", "/read", "d-2", "", CRASH_MARKER));
    let wait_s: f64 = refused
        .header("Retry-After")
        .and_then(|text| text.parse().ok())
        .expect("when to come back");
    assert!(refused.status() == 503 && wait_s > 1.0, "{refused:?}");
    assert!(fleet.nodes[2].metric("suspected_requests", "state=\"held\"") >= 1.0);
    wait_until("the lines are written", || {
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
    let struck = fleet.ends().len();
    assert!(
        struck >= 2 && text.matches("request_struck").count() >= 2,
        "{text}"
    );
    for word in ["upstream=i-", "incarnation=1", "seen_by=vm-1"] {
        assert!(text.contains(word), "{word}: {text}");
    }
}
