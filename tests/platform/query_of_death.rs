//! A request that ends each replica that runs it, sent again and again to one node after the other.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::node::{GatewayNode, publish_config};
use crate::replica::{DEATH_WORD, ReplicaMood, StandInReplica};
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

/// The part of the other calls that has to be served, in percent.
const SERVED_PERCENT: usize = 90;

/// Three nodes and six replicas of each kind.
struct Fleet {
    _store: StandInStore,
    nodes: Vec<GatewayNode>,
    desks: Vec<StandInReplica>,
    engines: Vec<StandInReplica>,
}

impl Fleet {
    fn start() -> Self {
        let store = StandInStore::start();
        publish_config(&store, 1);
        let start = |id: String, service: &str, phase: Option<&str>| {
            StandInReplica::start(&store, &id, service, phase, ReplicaMood::Well)
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
            _store: store,
            nodes,
            desks,
            engines,
        }
    }

    fn replicas(&self) -> impl Iterator<Item = &StandInReplica> {
        self.desks.iter().chain(&self.engines)
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
        let arrivals = self.replicas().flat_map(StandInReplica::deadly_arrivals);
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
            DEATH_WORD,
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
