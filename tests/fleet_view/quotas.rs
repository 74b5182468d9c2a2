//! Simulates many nodes whose callers exceed a workspace's quota, and checks what all nodes together send
//! despite partitions, kills, restarts, lost messages and a lowered quota. The sends of the affected nodes count
//! too.

use std::sync::Arc;

use dotterelspan::controllers::Reply;
use dotterelspan::controllers::quotas::quota_key;
use dotterelspan::prelude::*;
use dotterelspan::register::{QuotaRule, QuotaUnit, WorkspaceRule};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::AGREE_MS;
use crate::simulated_fleet::{QUOTA_TOLERANCE, SimulatedFleet};

/// The workspace whose callers exceed its quota.
const EAGER: &str = "eager";

/// A workspace whose callers use half of its quota.
const MODEST: &str = "modest";

/// The time step of callers, in milliseconds.
const STEP_MS: u64 = 50;

/// The window in which arrivals are counted, in milliseconds.
const WINDOW_MS: u64 = 8_000;

/// The ratio of the eager workspace's demand to its quota.
const OVERLOAD: f64 = 3.0;

/// The fraction of a quota that must be used without faults.
const MIN_USED_FRACTION: f64 = 0.95;

/// The time after a change of the configuration within which all nodes have it, in milliseconds.
const PROPAGATION_MS: u64 = 3_000;

/// Tokens of a call without a token count, and the range of those of streams.
const PLAIN_TOKENS: u32 = 200;
const STREAM_TOKENS: std::ops::Range<u64> = 500..5_500;

/// The quota of the eager workspace at first, in tokens per second.
const RATE: f64 = 264_371.0;

/// The time that messages between two VMs take, one way, in milliseconds.
const HOP_MS: std::ops::RangeInclusive<f64> = 0.2..=1.5;

/// Injects the faults of a scenario; called in each step with the milliseconds since its begin.
type Scenario = fn(&mut QuotaSimulation, u64);

fn quota(rate_per_s: f64) -> QuotaRule {
    QuotaRule {
        unit: QuotaUnit::Tokens,
        rate_per_s,
        burst: rate_per_s,
        plain_tokens: PLAIN_TOKENS,
    }
}

fn register(eager_rate: f64) -> Arc<Register> {
    let workspace = |name: &str, rate: f64| WorkspaceRule {
        name: name.into(),
        priority: 1,
        quota: Some(quota(rate)),
        keys: Vec::new(),
    };
    let rules = vec![workspace(EAGER, eager_rate), workspace(MODEST, RATE)];
    Arc::new(Register::default().with_callers(rules).expect("valid workspaces"))
}

/// Simulated nodes, their callers, and what arrived at replicas.
struct QuotaSimulation {
    fleet: SimulatedFleet,
    rate: f64,
    begun_at: Moment,
    next_ticket: u64,
    /// The workspace and the cost of the requests that wait, by ticket.
    waiting: FastMap<ReplyTicket, (&'static str, u64)>,
    /// The times and costs of the eager workspace's arrivals.
    arrivals: Vec<(Moment, u64)>,
    /// Requests of the modest workspace: granted, refused and unavailable.
    modest: [u32; 3],
    /// Requests of the eager workspace: granted, refused and unavailable.
    eager: [u32; 3],
    /// Added latency of requests that were answered at once, in milliseconds.
    added_ms: Vec<f64>,
    /// The node that all of the eager workspace's callers use; `None` if they are spread.
    only_node: Option<usize>,
    due_tokens: [f64; 2],
    random: StdRng,
}

impl QuotaSimulation {
    fn new(nodes: usize, seed: u64) -> Self {
        let mut fleet = SimulatedFleet::new(nodes, seed);
        fleet.set_registers(&register(RATE));
        fleet.run_ms(AGREE_MS);
        let begun_at = fleet.now();
        Self {
            fleet,
            rate: RATE,
            begun_at,
            next_ticket: 1,
            waiting: FastMap::default(),
            arrivals: Vec::new(),
            modest: [0; 3],
            eager: [0; 3],
            added_ms: Vec::new(),
            only_node: None,
            due_tokens: [0.0; 2],
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// The node that owns the eager workspace's quota, in the view of the first running node.
    fn owner(&self) -> usize {
        self.fleet.owner_of(&quota_key(EAGER))
    }

    fn run_load(&mut self, span_ms: u64, scenario: Scenario) {
        for passed_ms in (0..span_ms).step_by(STEP_MS as usize) {
            scenario(self, passed_ms);
            let step_s = STEP_MS as f64 / 1_000.0;
            self.due_tokens[0] += RATE * OVERLOAD * step_s;
            self.due_tokens[1] += RATE / 2.0 * step_s;
            for (index, workspace) in [EAGER, MODEST].into_iter().enumerate() {
                while self.due_tokens[index] > 0.0 {
                    let tokens = self.random_cost();
                    self.due_tokens[index] -= tokens as f64;
                    let node = self.random.random_range(0..self.fleet.len());
                    let node = self.only_node.filter(|_| workspace == EAGER).unwrap_or(node);
                    self.request(node, workspace, tokens);
                }
            }
            self.fleet.run_ms(STEP_MS);
            self.take_replies();
        }
    }

    /// The cost of a request: half of them are calls, half are streams.
    fn random_cost(&mut self) -> u64 {
        if self.random.random_range(0..2) == 0 {
            u64::from(PLAIN_TOKENS)
        } else {
            self.random.random_range(STREAM_TOKENS)
        }
    }

    fn request(&mut self, node: usize, workspace: &'static str, tokens: u64) {
        if !self.fleet.is_running(node) {
            return;
        }
        let ticket = ReplyTicket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.insert(ticket, (workspace, tokens));
        let event = Event::QuotaWanted {
            ticket,
            workspace: workspace.into(),
            tokens,
        };
        let messages = self.fleet.quota_traffic().0;
        self.fleet.send_event(node, &event);
        self.take_replies();
        if !self.waiting.contains_key(&ticket) {
            let hops = if self.fleet.quota_traffic().0 == messages {
                0
            } else {
                2
            };
            let added_ms = (0..hops).map(|_| self.random.random_range(HOP_MS)).sum();
            self.added_ms.push(added_ms);
        }
    }

    fn take_replies(&mut self) {
        for (_, ticket, reply) in self.fleet.take_replies() {
            let Some((workspace, tokens)) = self.waiting.remove(&ticket) else {
                continue;
            };
            let fate = match reply {
                Reply::QuotaGranted(grant) => {
                    assert_eq!(grant.tokens, tokens, "a request gets what it costs");
                    if workspace == EAGER {
                        self.arrivals.push((self.fleet.now(), tokens));
                    }
                    0
                }
                Reply::QuotaRefused { .. } => 1,
                _ => 2,
            };
            let counts = if workspace == EAGER {
                &mut self.eager
            } else {
                &mut self.modest
            };
            counts[fate] += 1;
        }
    }

    /// Checks the arrivals in each window that begins at `from` or later.
    fn assert_bound_kept(&self, case: &str, rate: f64, from: Moment) {
        let allowed = (rate * WINDOW_MS as f64 / 1_000.0 + rate) * (1.0 + QUOTA_TOLERANCE.overshoot)
            + QUOTA_TOLERANCE.slack;
        let late: Vec<(Moment, u64)> = self
            .arrivals
            .iter()
            .copied()
            .filter(|(at, _)| *at >= from)
            .collect();
        let counts = late.iter().enumerate().map(|(first, (begin, _))| {
            let end = begin.after_ms(WINDOW_MS);
            let last = first + late[first..].partition_point(|(at, _)| *at < end);
            let tokens: u64 = late[first..last].iter().map(|(_, tokens)| tokens).sum();
            (tokens, begin.0 - self.begun_at.0)
        });
        let (most, at_ms) = counts.max().unwrap_or_default();
        println!(
            "{case}: {most} tokens from {at_ms} ms on, {allowed:.0} allowed ({:.2}); eager {:?} modest {:?}",
            most as f64 / allowed,
            self.eager,
            self.modest
        );
        assert!(
            most as f64 <= allowed,
            "{case}: {most} from {at_ms} ms on, {allowed} allowed"
        );
    }

    /// The fraction of the quota that was used over a span, in milliseconds since the begin.
    fn used_fraction(&self, span_ms: std::ops::Range<u64>) -> f64 {
        let (from, to) = (
            self.begun_at.after_ms(span_ms.start),
            self.begun_at.after_ms(span_ms.end),
        );
        let in_span = self.arrivals.iter().filter(|(at, _)| *at >= from && *at < to);
        let tokens: u64 = in_span.map(|(_, tokens)| tokens).sum();
        tokens as f64 / (self.rate * from.until_ms(to) as f64 / 1_000.0)
    }
}

/// Runs a scenario with fleets of 30 and 104 nodes, and checks the bound in each window.
fn run_scenario(case: &str, span_ms: u64, scenario: Scenario) {
    for (nodes, seed) in [(30, 1), (30, 2), (104, 3)] {
        let case = format!("{case}, {nodes} nodes");
        let mut simulation = QuotaSimulation::new(nodes, seed);
        simulation.run_load(span_ms, scenario);
        let begun_at = simulation.begun_at;
        simulation.assert_bound_kept(&case, RATE, begun_at);
    }
}

/// Guards against a quota that is not used, or exceeded, by callers at three times the quota, and against a
/// workspace within its quota being refused meanwhile.
#[test]
fn quotas_are_used_and_kept_without_faults() {
    for (nodes, is_spread) in [(30, true), (30, false), (104, true), (104, false)] {
        let case = format!("calm, {nodes} nodes, spread={is_spread}");
        let mut simulation = QuotaSimulation::new(nodes, 11);
        simulation.only_node = (!is_spread).then_some(7);
        simulation.run_load(20_000, |_, _| {});
        let begun_at = simulation.begun_at;
        simulation.assert_bound_kept(&case, RATE, begun_at);
        let used = simulation.used_fraction(8_000..20_000);
        println!("{case}: {used:.3} used");
        assert!(used >= MIN_USED_FRACTION, "{case}: {used} used");
        assert_eq!(simulation.modest[1..], [0, 0], "{case}");
    }
}

/// Guards against messages and waits that grow with the fleet.
#[test]
fn requests_wait_for_no_message_or_one_round_trip() {
    for nodes in [104, 330] {
        let mut simulation = QuotaSimulation::new(nodes, 12);
        let before = simulation.fleet.quota_traffic();
        simulation.run_load(4_000, |_, _| {});
        let after = simulation.fleet.quota_traffic();
        let requests = (simulation.next_ticket - 1) as f64;
        let messages = (after.0 - before.0) as f64 / requests;
        let bytes = (after.1 - before.1) as f64 / requests;
        let mut added_ms = simulation.added_ms.clone();
        added_ms.sort_by(f64::total_cmp);
        let p50 = added_ms[added_ms.len() / 2];
        let p99 = added_ms[added_ms.len() * 99 / 100];
        println!(
            "{nodes} nodes: {messages:.2} messages and {bytes:.0} bytes for each of {requests} requests, added \
             p50 {p50:.2} ms, p99 {p99:.2} ms"
        );
        assert!(p50 < 2.0, "{nodes} nodes: {p50} ms added");
        assert!(messages <= 2.5, "{nodes} nodes: {messages} messages");
    }
}

/// Guards against a dead owner's grants being repeated by the next one.
#[test]
fn quotas_are_kept_while_owners_are_killed_and_come_back() {
    run_scenario("owners killed", 20_000, |simulation, passed_ms| {
        if passed_ms % 5_000 == 2_000 {
            let owner = simulation.owner();
            simulation.fleet.kill(owner);
        }
        if passed_ms % 5_000 == 3_500 {
            simulation.fleet.restart_stopped();
        }
    });
}

/// Guards against each half of a partitioned fleet granting the whole quota.
#[test]
fn quotas_are_kept_while_halves_are_partitioned() {
    run_scenario("halves", 24_000, |simulation, passed_ms| match passed_ms {
        2_000 => simulation.fleet.cut(|from, to| from % 2 != to % 2),
        16_000 => simulation.fleet.cut(|_, _| false),
        _ => {}
    });
}

/// Guards against the larger part of a partitioned fleet granting the whole quota besides the smaller one.
#[test]
fn quotas_are_kept_while_a_third_is_partitioned() {
    run_scenario("a third", 24_000, |simulation, passed_ms| match passed_ms {
        0 => simulation.fleet.cut(|from, to| (from % 3 == 0) != (to % 3 == 0)),
        16_000 => simulation.fleet.cut(|_, _| false),
        _ => {}
    });
}

/// Guards against full buckets at many new owners while restarted nodes find each other.
#[test]
fn quotas_are_kept_while_all_nodes_restart_at_once() {
    run_scenario("all restarted", 20_000, |simulation, passed_ms| match passed_ms {
        6_000 => (0..simulation.fleet.len()).for_each(|index| simulation.fleet.kill(index)),
        7_000 => {
            simulation.fleet.restart_stopped();
        }
        _ => {}
    });
}

/// Guards against an owner that was suspended going on with what others have granted meanwhile.
#[test]
fn quotas_are_kept_while_owners_are_suspended_and_resumed() {
    run_scenario("owners frozen", 20_000, |simulation, passed_ms| {
        match passed_ms % 6_000 {
            1_500 => {
                let owner = simulation.owner();
                simulation.fleet.freeze(owner);
            }
            4_500 => (0..simulation.fleet.len()).for_each(|index| simulation.fleet.thaw(index)),
            _ => {}
        }
    });
}

/// Guards against tokens in lost answers or returns being granted twice.
#[test]
fn quotas_are_kept_while_messages_are_lost() {
    run_scenario("losses", 20_000, |simulation, passed_ms| match passed_ms {
        3_000 => simulation.fleet.lose_percent(20),
        14_000 => simulation.fleet.lose_percent(0),
        _ => {}
    });
}

/// Guards against a lowered quota taking effect only once the tokens saved up before are used.
#[test]
fn a_lowered_quota_is_kept_after_a_window() {
    const LOWERED_AT_MS: u64 = 6_000;
    const LOWERED_RATE: f64 = RATE / 20.0;
    for (nodes, seed) in [(30, 1), (104, 2)] {
        let case = format!("lowered, {nodes} nodes");
        let mut simulation = QuotaSimulation::new(nodes, seed);
        simulation.run_load(26_000, |simulation, passed_ms| {
            // Each node gets the register at a time of its own within the propagation time.
            let lowered = register(LOWERED_RATE);
            let step = PROPAGATION_MS / STEP_MS;
            if (LOWERED_AT_MS..LOWERED_AT_MS + PROPAGATION_MS).contains(&passed_ms) {
                let turn = (passed_ms - LOWERED_AT_MS) / STEP_MS;
                for index in (0..simulation.fleet.len()).filter(|index| *index as u64 % step == turn) {
                    simulation.fleet.set_register(index, &lowered);
                }
            }
        });
        let kept_from = simulation.begun_at.after_ms(LOWERED_AT_MS + 2 * PROPAGATION_MS);
        simulation.assert_bound_kept(&case, LOWERED_RATE, kept_from);
        simulation.rate = LOWERED_RATE;
        let used = simulation.used_fraction(18_000..26_000);
        println!("{case}: {used:.3} of the lowered quota used");
        assert!(used >= MIN_USED_FRACTION, "{case}: {used} used");
    }
}
