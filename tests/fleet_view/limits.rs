//! Simulates many nodes whose callers exceed the rate limits of replicas, and checks what all nodes together
//! send despite lost messages, partitions, suspensions and restarts. The sends of the affected nodes count
//! too.

use std::sync::Arc;

use dotterelspan::blackboard::{ReplicaId, RequestRate};
use dotterelspan::controllers::Reply;
use dotterelspan::controllers::rate_limits::{LimitReport, PermitRequest};
use dotterelspan::prelude::*;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

use crate::simulated_fleet::SimulatedFleet;
use crate::{AGREE_MS, change};

/// The replicas of the service, which all report the same limit.
const REPLICAS: [&str; 3] = ["i-1", "i-2", "i-3"];

/// The time step of callers and replicas, in milliseconds.
const STEP_MS: u64 = 50;

/// How long after its first report a limit must be kept, in milliseconds.
const ENFORCED_AFTER_MS: u64 = 3_000;

/// The window in which arrivals are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// The ratio of the callers' rate to the replicas' limits together.
const OVERLOAD: f64 = 3.0;

/// The longest wait of a request for its permit, in milliseconds.
const MAX_WAIT_MS: u64 = 300;

/// The fraction of the limits that must be used without faults.
const MIN_USED_FRACTION: f64 = 0.8;

/// Injects the faults of a scenario; called in each step with the milliseconds since its begin.
type Scenario = fn(&mut LimitSimulation, u64);

/// A request with a permit that hasn't been sent yet.
struct PermittedSend {
    node: usize,
    incarnation: u128,
    replica: ReplicaId,
    at: Moment,
}

/// Simulated nodes, callers, and rate-limited replicas.
struct LimitSimulation {
    fleet: SimulatedFleet,
    limit: f64,
    reported_at: Moment,
    next_ticket: u64,
    pending_sends: Vec<PermittedSend>,
    /// Until when each node requests no permit after a refusal.
    paused_until: Vec<Moment>,
    /// The times of requests that arrived at each replica.
    arrivals: FastMap<ReplicaId, Vec<Moment>>,
    due_calls: f64,
    random: StdRng,
}

impl LimitSimulation {
    fn new(nodes: usize, limit: f64, seed: u64) -> Self {
        let mut fleet = SimulatedFleet::new(nodes, seed);
        fleet.run_ms(AGREE_MS);
        fleet.read_all(change(0, 10, &REPLICAS, &[]));
        fleet.run_ms(300);
        let reported_at = fleet.now();
        Self {
            fleet,
            limit,
            reported_at,
            next_ticket: 1,
            pending_sends: Vec::new(),
            paused_until: vec![Moment(0); nodes],
            arrivals: FastMap::default(),
            due_calls: 0.0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// The node that issues permits, in the view of the first running node.
    fn owner(&self) -> usize {
        self.fleet.owner_of("desk/permits")
    }

    /// Runs the callers' load for a span, and the scenario in each step.
    fn run_load(&mut self, span_ms: u64, scenario: Scenario) {
        for passed_ms in (0..span_ms).step_by(STEP_MS as usize) {
            scenario(self, passed_ms);
            self.due_calls += self.limit * REPLICAS.len() as f64 * OVERLOAD * STEP_MS as f64 / 1_000.0;
            while self.due_calls >= 1.0 {
                self.due_calls -= 1.0;
                let node = self.random.random_range(0..self.fleet.len());
                self.make_call(node);
            }
            self.fleet.run_ms(STEP_MS);
            self.take_replies();
            self.send_due();
        }
    }

    fn make_call(&mut self, node: usize) {
        let now = self.fleet.now();
        if !self.fleet.is_running(node) || !now.reached(self.paused_until[node]) {
            return;
        }
        let board = self.fleet.board(node);
        let ids = REPLICAS.map(Arc::<str>::from);
        let (limited, free): (Vec<ReplicaId>, Vec<ReplicaId>) = ids
            .into_iter()
            .partition(|id| board.listed_rate_limit(id).is_some());
        if let Some(replica) = free.choose(&mut self.random) {
            self.record_arrival(node, &replica.clone());
            return;
        }
        let mut candidates = limited;
        candidates.shuffle(&mut self.random);
        let request = PermitRequest {
            service: "desk".into(),
            candidates,
            start_by: self.fleet.clock_of(node).after_ms(MAX_WAIT_MS),
        };
        let ticket = ReplyTicket(self.next_ticket);
        self.next_ticket += 1;
        self.fleet
            .send_event(node, &Event::PermitWanted { ticket, request });
    }

    fn take_replies(&mut self) {
        let now = self.fleet.now();
        for (node, _, reply) in self.fleet.take_replies() {
            let clock = self.fleet.clock_of(node);
            match reply {
                Reply::Permitted(grant) => self.pending_sends.push(PermittedSend {
                    node,
                    incarnation: self.fleet.incarnation(node),
                    replica: grant.replica,
                    at: now.after_ms(clock.until_ms(grant.not_before)),
                }),
                Reply::PermitRefused { retry_at } => {
                    self.paused_until[node] = now.after_ms(clock.until_ms(retry_at));
                }
                _ => {}
            }
        }
    }

    /// Sends the due requests. Those of a suspended node are sent when it resumes.
    fn send_due(&mut self) {
        let now = self.fleet.now();
        let pending_sends = std::mem::take(&mut self.pending_sends);
        for send in pending_sends {
            if send.incarnation != self.fleet.incarnation(send.node) {
                continue;
            }
            if now.reached(send.at) && self.fleet.is_running(send.node) {
                self.record_arrival(send.node, &send.replica);
            } else {
                self.pending_sends.push(send);
            }
        }
    }

    /// Records a request at a replica, which reports its limit in the answer.
    fn record_arrival(&mut self, node: usize, replica: &ReplicaId) {
        self.arrivals
            .entry(replica.clone())
            .or_default()
            .push(self.fleet.now());
        let now = self.fleet.clock_of(node);
        let record = LimitReport {
            replica: replica.clone(),
            started_epoch_ms: 1,
            rate: RequestRate::from_per_second(self.limit),
            first_reported_at: now,
            asked_at: now,
            answered_at: now,
            seen_by: Arc::from(format!("vm-{node}")),
        };
        self.fleet.send_event(node, &Event::LimitStated { record });
    }

    /// Checks the arrivals of each replica in each window, from when its limit must be known.
    fn assert_limits_kept(&self, case: &str) {
        let allowed = 1.5 * self.limit * WINDOW_MS as f64 / 1_000.0 + 5.0;
        for (replica, times) in &self.arrivals {
            let from = self.reported_at.after_ms(ENFORCED_AFTER_MS);
            let late: Vec<Moment> = times.iter().copied().filter(|at| *at >= from).collect();
            let counts = late.iter().enumerate().map(|(first, begin)| {
                let end = begin.after_ms(WINDOW_MS);
                (
                    late[first..].partition_point(|at| *at < end),
                    begin.0 - self.reported_at.0,
                )
            });
            let (most, at_ms) = counts.max().unwrap_or_default();
            println!("{case}: {replica} got {most} from {at_ms} ms on, {allowed} allowed");
            assert!(
                most as f64 <= allowed,
                "{case}: {replica} got {most} from {at_ms} ms on, {allowed} allowed"
            );
        }
    }

    /// Checks that the limits are used over a span, in milliseconds since the replicas reported them.
    fn assert_limits_used(&self, case: &str, span_ms: std::ops::Range<u64>) {
        let (from, to) = (
            self.reported_at.after_ms(span_ms.start),
            self.reported_at.after_ms(span_ms.end),
        );
        let all = self.arrivals.values().flatten();
        let count = all.filter(|at| **at >= from && **at < to).count() as f64;
        let taken = self.limit * REPLICAS.len() as f64 * from.until_ms(to) as f64 / 1_000.0;
        println!("{case}: {:.2} of the limits used", count / taken);
        assert!(count >= taken * MIN_USED_FRACTION, "{case}: {count} of {taken}");
    }
}

/// The limits of the scenarios' fleets, in requests per second.
const LIMITS: [f64; 3] = [2.0, 6.3, 20.0];

/// Runs a scenario with fleets of 30 nodes.
fn run_scenario(case: &str, span_ms: u64, scenario: Scenario) {
    for (limit, seed) in LIMITS.into_iter().zip(1..) {
        run_case(case, 30, limit, seed, span_ms, scenario);
    }
}

/// Runs a scenario with a fleet of 330 nodes, the size expected in two years.
fn run_large_scenario(case: &str, span_ms: u64, scenario: Scenario) {
    run_case(case, 330, 6.3, 5, span_ms, scenario);
}

fn run_case(case: &str, nodes: usize, limit: f64, seed: u64, span_ms: u64, scenario: Scenario) {
    let case = format!("{case}, {nodes} nodes, {limit} a second");
    let mut simulation = LimitSimulation::new(nodes, limit, seed);
    simulation.run_load(span_ms, scenario);
    simulation.assert_limits_kept(&case);
}

#[test]
fn limits_are_kept_and_used_without_faults() {
    for (nodes, limit) in [(30, 2.0), (30, 6.3), (30, 100.0), (330, 2.0)] {
        let case = format!("calm, {nodes} nodes, {limit} a second");
        let mut simulation = LimitSimulation::new(nodes, limit, 11);
        simulation.run_load(12_000, |_, _| {});
        simulation.assert_limits_kept(&case);
        simulation.assert_limits_used(&case, ENFORCED_AFTER_MS..12_000);
    }
}

#[test]
fn limits_are_kept_while_owners_are_killed_and_come_back() {
    let scenario: Scenario = |simulation, passed_ms| {
        if passed_ms % 3_000 == 1_500 {
            let owner = simulation.owner();
            simulation.fleet.kill(owner);
        }
        if passed_ms % 3_000 == 2_500 {
            restart_dead(simulation);
        }
    };
    run_scenario("owners killed", 16_000, scenario);
    run_large_scenario("owners killed", 10_000, scenario);
}

#[test]
fn a_leaving_owner_hands_over_its_limits_at_once() {
    for limit in LIMITS {
        let case = format!("leaving, {limit} a second");
        let mut simulation = LimitSimulation::new(30, limit, 12);
        simulation.run_load(12_000, |simulation, passed_ms| {
            if passed_ms == 5_000 {
                let owner = simulation.owner();
                simulation.fleet.begin_leaving(owner);
            }
        });
        simulation.assert_limits_kept(&case);
        simulation.assert_limits_used(&case, 5_000..9_000);
    }
}

fn restart_dead(simulation: &mut LimitSimulation) {
    for index in simulation.fleet.restart_stopped() {
        simulation.fleet.read(index, change(0, 10, &REPLICAS, &[]));
    }
}

#[test]
fn limits_are_kept_while_owners_are_suspended_and_resumed() {
    let scenario: Scenario = |simulation, passed_ms| match passed_ms % 6_000 {
        1_500 => {
            let owner = simulation.owner();
            simulation.fleet.freeze(owner);
        }
        4_500 => (0..simulation.fleet.len()).for_each(|index| simulation.fleet.thaw(index)),
        _ => {}
    };
    run_scenario("owners frozen", 18_000, scenario);
    run_large_scenario("owners frozen", 10_000, scenario);
}

#[test]
fn limits_are_kept_while_halves_are_partitioned() {
    let scenario: Scenario = |simulation, passed_ms| match passed_ms {
        3_500 => simulation.fleet.cut(|from, to| from % 2 != to % 2),
        12_000 => simulation.fleet.cut(|_, _| false),
        _ => {}
    };
    run_scenario("halves", 18_000, scenario);
    run_large_scenario("halves", 10_000, scenario);
}

#[test]
fn limits_are_kept_while_zones_are_partitioned() {
    run_scenario("zones", 18_000, |simulation, passed_ms| match passed_ms {
        3_500 => simulation.fleet.cut(|from, to| from % 3 != to % 3),
        12_000 => simulation.fleet.cut(|_, _| false),
        _ => {}
    });
}

#[test]
fn limits_are_kept_while_the_owner_is_isolated() {
    run_scenario("owner cut off", 18_000, |simulation, passed_ms| {
        match passed_ms % 10_000 {
            3_500 => {
                let owner = simulation.owner();
                simulation.fleet.cut(move |from, to| from == owner || to == owner);
            }
            8_500 => simulation.fleet.cut(|_, _| false),
            _ => {}
        }
    });
}

#[test]
fn limits_are_kept_while_the_owners_messages_are_lost_one_way() {
    run_scenario("one way", 18_000, |simulation, passed_ms| {
        match passed_ms % 10_000 {
            3_500 => {
                let owner = simulation.owner();
                simulation.fleet.cut(move |from, to| from == owner && to % 2 == 0);
            }
            8_500 => simulation.fleet.cut(|_, _| false),
            _ => {}
        }
    });
}

#[test]
fn limits_are_kept_while_half_of_the_nodes_are_killed_at_once() {
    run_scenario("herd", 16_000, |simulation, passed_ms| match passed_ms % 10_000 {
        4_000 => (0..simulation.fleet.len())
            .filter(|index| index % 2 == 0)
            .for_each(|index| simulation.fleet.kill(index)),
        5_500 => restart_dead(simulation),
        _ => {}
    });
}

#[test]
fn limits_are_kept_while_all_nodes_restart_at_once() {
    run_scenario("all", 16_000, |simulation, passed_ms| match passed_ms {
        6_000 => (0..simulation.fleet.len()).for_each(|index| simulation.fleet.kill(index)),
        7_000 => restart_dead(simulation),
        _ => {}
    });
}

#[test]
fn limits_are_kept_while_nodes_join() {
    let scenario: Scenario = |simulation, passed_ms| match passed_ms {
        0 => (0..simulation.fleet.len())
            .filter(|index| index % 3 == 1)
            .for_each(|index| simulation.fleet.kill(index)),
        8_000 => restart_dead(simulation),
        _ => {}
    };
    run_scenario("joining", 16_000, scenario);
    run_large_scenario("joining", 13_000, scenario);
}

#[test]
fn limits_are_kept_while_messages_are_lost() {
    run_scenario("losses", 16_000, |simulation, passed_ms| match passed_ms {
        3_500 => simulation.fleet.lose_percent(20),
        12_000 => simulation.fleet.lose_percent(0),
        _ => {}
    });
}
