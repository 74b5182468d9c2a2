//! Replicas that name limits before many nodes whose callers ask for more: what all nodes together let go, over the losses,
//! cuts, freezes and restarts of nodes. All nodes count, also those that were disturbed.

use std::sync::Arc;

use dotterelspan::blackboard::{ReplicaId, RequestRate};
use dotterelspan::controllers::Reply;
use dotterelspan::controllers::ownership::find_owner;
use dotterelspan::controllers::rate_limits::{LimitRecord, PermitAsk};
use dotterelspan::prelude::*;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

use crate::simulated_fleet::SimulatedFleet;
use crate::{AGREE_MS, change};

/// The replicas of the service, which all name the same limit.
const REPLICAS: [&str; 3] = ["i-1", "i-2", "i-3"];

/// The time between two looks at callers and replicas, in milliseconds.
const STEP_MS: u64 = 50;

/// How long after a replica first named its limit the limit has to be kept, in milliseconds.
const KNOWN_AFTER_MS: u64 = 3_000;

/// The span over which arrivals are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// How much more is asked for than the replicas take together.
const OVERLOAD: f64 = 3.0;

/// How long a request waits for its turn at most, in milliseconds.
const PATIENCE_MS: u64 = 300;

/// The part of the limits that must be used where nothing is disturbed.
const USED_PART: f64 = 0.8;

/// What some world's scenario does with it now and then.
type Scenario = fn(&mut LimitWorld, u64);

/// A request that has its permit.
struct PlannedSend {
    node: usize,
    incarnation: u128,
    replica: ReplicaId,
    at: Moment,
}

/// Nodes, callers, and replicas that name limits.
struct LimitWorld {
    fleet: SimulatedFleet,
    limit: f64,
    named_at: Moment,
    next_ticket: u64,
    planned: Vec<PlannedSend>,
    /// Until when a node asks for no permit.
    paused_until: Vec<Moment>,
    /// When requests came to each replica.
    arrivals: FastMap<ReplicaId, Vec<Moment>>,
    owed_calls: f64,
    random: StdRng,
}

impl LimitWorld {
    fn new(nodes: usize, limit: f64, seed: u64) -> Self {
        let mut fleet = SimulatedFleet::new(nodes, seed);
        fleet.run_ms(AGREE_MS);
        fleet.read_all(change(0, 10, &REPLICAS, &[]));
        fleet.run_ms(300);
        let named_at = fleet.now();
        Self {
            fleet,
            limit,
            named_at,
            next_ticket: 1,
            planned: Vec::new(),
            paused_until: vec![Moment(0); nodes],
            arrivals: FastMap::default(),
            owed_calls: 0.0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// The node that gives permits, as most nodes see it.
    fn owner(&self) -> usize {
        let seer = (0..self.fleet.len()).find(|index| self.fleet.is_running(*index));
        let seer = seer.expect("a running node");
        let now = self.fleet.clock_of(seer);
        let owner = find_owner("desk/permits", self.fleet.board(seer), now);
        let number = owner.strip_prefix("vm-").and_then(|number| number.parse().ok());
        number.expect("nodes have numbers")
    }

    /// Lets callers press for a while; the scenario is told each step how long they have pressed.
    fn press(&mut self, span_ms: u64, scenario: Scenario) {
        for passed_ms in (0..span_ms).step_by(STEP_MS as usize) {
            scenario(self, passed_ms);
            self.owed_calls += self.limit * REPLICAS.len() as f64 * OVERLOAD * STEP_MS as f64 / 1_000.0;
            while self.owed_calls >= 1.0 {
                self.owed_calls -= 1.0;
                let node = self.random.random_range(0..self.fleet.len());
                self.call(node);
            }
            self.fleet.run_ms(STEP_MS);
            self.take_replies();
            self.send_due();
        }
    }

    fn call(&mut self, node: usize) {
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
            self.arrive(node, &replica.clone());
            return;
        }
        let mut candidates = limited;
        candidates.shuffle(&mut self.random);
        let ask = PermitAsk {
            service: "desk".into(),
            candidates,
            start_by: self.fleet.clock_of(node).after_ms(PATIENCE_MS),
        };
        let ticket = ReplyTicket(self.next_ticket);
        self.next_ticket += 1;
        self.fleet.send_event(node, &Event::PermitWanted { ticket, ask });
    }

    fn take_replies(&mut self) {
        let now = self.fleet.now();
        for (node, _, reply) in self.fleet.take_replies() {
            let clock = self.fleet.clock_of(node);
            match reply {
                Reply::Permitted(grant) => self.planned.push(PlannedSend {
                    node,
                    incarnation: self.fleet.incarnation(node),
                    replica: grant.replica,
                    at: now.after_ms(clock.until_ms(grant.not_before)),
                }),
                Reply::PermitRefused { ask_again_at } => {
                    self.paused_until[node] = now.after_ms(clock.until_ms(ask_again_at));
                }
                _ => {}
            }
        }
    }

    /// Sends what is due; what is due at a frozen node goes when it wakes.
    fn send_due(&mut self) {
        let now = self.fleet.now();
        let planned = std::mem::take(&mut self.planned);
        for send in planned {
            if send.incarnation != self.fleet.incarnation(send.node) {
                continue;
            }
            if now.reached(send.at) && self.fleet.is_running(send.node) {
                self.arrive(send.node, &send.replica);
            } else {
                self.planned.push(send);
            }
        }
    }

    /// A request comes to a replica, which names its limit in the answer.
    fn arrive(&mut self, node: usize, replica: &ReplicaId) {
        self.arrivals
            .entry(replica.clone())
            .or_default()
            .push(self.fleet.now());
        let now = self.fleet.clock_of(node);
        let record = LimitRecord {
            replica: replica.clone(),
            started_epoch_ms: 1,
            rate: RequestRate::of_per_second(self.limit),
            first_named_at: now,
            asked_at: now,
            answered_at: now,
            seen_by: Arc::from(format!("vm-{node}")),
        };
        self.fleet.send_event(node, &Event::LimitStated { record });
    }

    /// Checks what each replica got in each window from the time on when its limit has to be known.
    fn assert_kept(&self, case: &str) {
        let allowed = 1.5 * self.limit * WINDOW_MS as f64 / 1_000.0 + 5.0;
        for (replica, times) in &self.arrivals {
            let from = self.named_at.after_ms(KNOWN_AFTER_MS);
            let late: Vec<Moment> = times.iter().copied().filter(|at| *at >= from).collect();
            let counts = late.iter().enumerate().map(|(first, begin)| {
                let end = begin.after_ms(WINDOW_MS);
                (
                    late[first..].partition_point(|at| *at < end),
                    begin.0 - self.named_at.0,
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

    /// Checks that the replicas get what they take, over a span since they named their limits.
    fn assert_used(&self, case: &str, span_ms: std::ops::Range<u64>) {
        let (from, to) = (
            self.named_at.after_ms(span_ms.start),
            self.named_at.after_ms(span_ms.end),
        );
        let all = self.arrivals.values().flatten();
        let count = all.filter(|at| **at >= from && **at < to).count() as f64;
        let taken = self.limit * REPLICAS.len() as f64 * from.until_ms(to) as f64 / 1_000.0;
        println!("{case}: {:.2} of the limits used", count / taken);
        assert!(count >= taken * USED_PART, "{case}: {count} of {taken}");
    }
}

/// The limits that are played with, in requests a second.
const LIMITS: [f64; 3] = [2.0, 6.3, 20.0];

/// Plays a scenario over fleets of 30 nodes.
fn play(case: &str, span_ms: u64, scenario: Scenario) {
    for (limit, seed) in LIMITS.into_iter().zip(1..) {
        play_one(case, 30, limit, seed, span_ms, scenario);
    }
}

/// Plays a scenario over a fleet of the two-year size.
fn play_large(case: &str, span_ms: u64, scenario: Scenario) {
    play_one(case, 330, 6.3, 5, span_ms, scenario);
}

fn play_one(case: &str, nodes: usize, limit: f64, seed: u64, span_ms: u64, scenario: Scenario) {
    let case = format!("{case}, {nodes} nodes, {limit} a second");
    let mut world = LimitWorld::new(nodes, limit, seed);
    world.press(span_ms, scenario);
    world.assert_kept(&case);
}

#[test]
fn limits_are_kept_and_used_where_nothing_is_disturbed() {
    for (nodes, limit) in [(30, 2.0), (30, 6.3), (30, 100.0), (330, 2.0)] {
        let case = format!("calm, {nodes} nodes, {limit} a second");
        let mut world = LimitWorld::new(nodes, limit, 11);
        world.press(12_000, |_, _| {});
        world.assert_kept(&case);
        world.assert_used(&case, KNOWN_AFTER_MS..12_000);
    }
}

#[test]
fn limits_are_kept_while_owners_are_killed_and_come_back() {
    let scenario: Scenario = |world, passed_ms| {
        if passed_ms % 3_000 == 1_500 {
            let owner = world.owner();
            world.fleet.kill(owner);
        }
        if passed_ms % 3_000 == 2_500 {
            restart_dead(world);
        }
    };
    play("owners killed", 16_000, scenario);
    play_large("owners killed", 10_000, scenario);
}

#[test]
fn a_leaving_owner_hands_its_limits_over_at_once() {
    for limit in LIMITS {
        let case = format!("leaving, {limit} a second");
        let mut world = LimitWorld::new(30, limit, 12);
        world.press(12_000, |world, passed_ms| {
            if passed_ms == 5_000 {
                let owner = world.owner();
                world.fleet.begin_leaving(owner);
            }
        });
        world.assert_kept(&case);
        world.assert_used(&case, 5_000..9_000);
    }
}

fn restart_dead(world: &mut LimitWorld) {
    for index in 0..world.fleet.len() {
        if !world.fleet.is_running(index) {
            world.fleet.restart(index);
            world.fleet.read(index, change(0, 10, &REPLICAS, &[]));
        }
    }
}

#[test]
fn limits_are_kept_while_owners_freeze_and_wake() {
    let scenario: Scenario = |world, passed_ms| match passed_ms % 6_000 {
        1_500 => {
            let owner = world.owner();
            world.fleet.freeze(owner);
        }
        4_500 => (0..world.fleet.len()).for_each(|index| world.fleet.thaw(index)),
        _ => {}
    };
    play("owners frozen", 18_000, scenario);
    play_large("owners frozen", 10_000, scenario);
}

#[test]
fn limits_are_kept_while_halves_are_cut_apart() {
    let scenario: Scenario = |world, passed_ms| match passed_ms {
        3_500 => world.fleet.cut(|from, to| from % 2 != to % 2),
        12_000 => world.fleet.cut(|_, _| false),
        _ => {}
    };
    play("halves", 18_000, scenario);
    play_large("halves", 10_000, scenario);
}

#[test]
fn limits_are_kept_while_zones_are_cut_apart() {
    play("zones", 18_000, |world, passed_ms| match passed_ms {
        3_500 => world.fleet.cut(|from, to| from % 3 != to % 3),
        12_000 => world.fleet.cut(|_, _| false),
        _ => {}
    });
}

#[test]
fn limits_are_kept_while_the_owner_is_cut_off() {
    play("owner cut off", 18_000, |world, passed_ms| {
        match passed_ms % 10_000 {
            3_500 => {
                let owner = world.owner();
                world.fleet.cut(move |from, to| from == owner || to == owner);
            }
            8_500 => world.fleet.cut(|_, _| false),
            _ => {}
        }
    });
}

#[test]
fn limits_are_kept_while_the_owner_hears_and_is_not_heard() {
    play("one way", 18_000, |world, passed_ms| match passed_ms % 10_000 {
        3_500 => {
            let owner = world.owner();
            world.fleet.cut(move |from, to| from == owner && to % 2 == 0);
        }
        8_500 => world.fleet.cut(|_, _| false),
        _ => {}
    });
}

#[test]
fn limits_are_kept_while_half_of_the_nodes_are_killed_at_once() {
    play("herd", 16_000, |world, passed_ms| match passed_ms % 10_000 {
        4_000 => (0..world.fleet.len())
            .filter(|index| index % 2 == 0)
            .for_each(|index| world.fleet.kill(index)),
        5_500 => restart_dead(world),
        _ => {}
    });
}

#[test]
fn limits_are_kept_while_all_nodes_are_started_again_at_once() {
    play("all", 16_000, |world, passed_ms| match passed_ms {
        6_000 => (0..world.fleet.len()).for_each(|index| world.fleet.kill(index)),
        7_000 => restart_dead(world),
        _ => {}
    });
}

#[test]
fn limits_are_kept_while_nodes_join() {
    let scenario: Scenario = |world, passed_ms| match passed_ms {
        0 => (0..world.fleet.len())
            .filter(|index| index % 3 == 1)
            .for_each(|index| world.fleet.kill(index)),
        8_000 => restart_dead(world),
        _ => {}
    };
    play("joining", 16_000, scenario);
    play_large("joining", 13_000, scenario);
}

#[test]
fn limits_are_kept_while_messages_are_lost() {
    play("losses", 16_000, |world, passed_ms| match passed_ms {
        3_500 => world.fleet.lose_percent(20),
        12_000 => world.fleet.lose_percent(0),
        _ => {}
    });
}
