//! A model of one plain service: many VMs, each with the product's selector, and servers with slots and a
//! queue, in simulated time. The ways of pacing a server that were considered are compared on it.

use std::collections::VecDeque;
use std::sync::Arc;

use dotterelspan::blackboard::{EntryTrust, ReplicaFacts, ReplicaLoad, ReplicaRecord};
use dotterelspan::controllers::dispatch::{DispatchChoice, ReplicaSelector, SelectionCriteria, SendOutcome};
use dotterelspan::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::plain_desk;

const VMS: usize = 26;
const SLOTS: u32 = 6;
const QUEUE: usize = 24;
const OBJECTIVE_MS: u64 = 200;
/// Sends of one call, as the retry budget usually allows.
const MAX_SENDS: usize = 3;
pub const SLOW_PERCENT: u64 = 160;
/// When the lists of the loads begin to change.
pub const CHANGE_AT: u64 = 3_000;
const WINDOW_MS: u64 = 500;

/// The ways of pacing that were considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Unrestrained,
    /// A share that grows over the cold time of the entry.
    AnnouncedTime,
    /// A share that grows over ten seconds.
    FixedRamp,
    /// One more request for each round of answers; half after a rejection, a failure or a slow answer.
    Aimd,
    /// The limit follows the peers' time divided by the server's own.
    Gradient,
    /// One request until an answer is as fast as the peers', then all slots.
    Probe,
    /// The product's.
    ServerPace,
}

pub const WAYS: [Way; 7] = [
    Way::Unrestrained,
    Way::AnnouncedTime,
    Way::FixedRamp,
    Way::Aimd,
    Way::Gradient,
    Way::Probe,
    Way::ServerPace,
];

/// When a server is on the list, slow and down, in simulated milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    pub listed_at: u64,
    pub removed_at: Option<u64>,
    pub slow_until: u64,
    pub announced_ms: Option<u64>,
    /// Periods in which it refuses connections.
    pub down: Vec<(u64, u64)>,
    /// Whether it counts as fresh although it is on the first list.
    pub is_new: bool,
}

/// What callers got in a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    pub calls: u64,
    pub late: u64,
    pub rejected: u64,
    pub unserved: u64,
    pub mean_ms: f64,
    /// Until the watched server first gets four fifths of what its speed allows, in milliseconds.
    pub share_after_ms: Option<u64>,
    /// The longest queue at the watched server.
    pub longest_queue: usize,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    vm: usize,
    arrived_at: u64,
    sent_at: u64,
    work_ms: u64,
    sends: usize,
    tried: [Option<usize>; MAX_SENDS],
}

#[derive(Default)]
struct Server {
    running: Vec<(u64, Call)>,
    queue: VecDeque<Call>,
    /// Sends in each window.
    windows: Vec<u64>,
}

/// The state of one of the other ways, of one VM for one server.
#[derive(Clone, Copy, Default)]
struct Other {
    began_at: Option<u64>,
    span_ms: u64,
    allowed: f64,
    failures: u32,
    work_ms: f64,
}

impl Other {
    fn begin(&mut self, now: u64, span_ms: u64) {
        (self.began_at, self.span_ms, self.allowed) = (Some(now), span_ms, 1.0);
    }

    fn limit(&self, way: Way, now: u64) -> u32 {
        let Some(began_at) = self.began_at else {
            return SLOTS;
        };
        match way {
            Way::AnnouncedTime | Way::FixedRamp => {
                let share = (now - began_at) as f64 / self.span_ms.max(1) as f64;
                1 + (f64::from(SLOTS - 1) * share.min(1.0)) as u32
            }
            _ => self.allowed as u32,
        }
    }

    fn answered(&mut self, way: Way, elapsed_ms: f64, peer_ms: f64) {
        self.failures = 0;
        self.work_ms = if self.work_ms == 0.0 {
            elapsed_ms
        } else {
            self.work_ms * 0.75 + elapsed_ms * 0.25
        };
        let ratio = if peer_ms > 0.0 {
            peer_ms / self.work_ms
        } else {
            1.0
        };
        let full = f64::from(SLOTS);
        match way {
            Way::Aimd if ratio < 0.5 => self.allowed = (self.allowed / 2.0).max(1.0),
            Way::Aimd => self.allowed = (self.allowed + 1.0 / self.allowed).min(full),
            Way::Gradient => {
                let next = self.allowed * ratio.clamp(0.5, 1.0) + 1.0;
                self.allowed = (self.allowed / 2.0 + next / 2.0).clamp(1.0, full);
            }
            Way::Probe if ratio > 0.8 => self.allowed = full,
            _ => {}
        }
        if self.allowed >= full {
            self.began_at = None;
        }
    }

    fn failed(&mut self, way: Way, is_rejection: bool, now: u64) {
        if way == Way::Aimd || way == Way::Gradient {
            self.allowed = (self.allowed / 2.0).max(1.0);
        }
        self.failures += u32::from(!is_rejection);
        // An announced time says nothing of a recovery.
        if self.failures >= 2 && way != Way::AnnouncedTime {
            self.begin(now, 10_000);
        }
    }
}

struct Vm {
    selector: ReplicaSelector,
    others: Vec<Other>,
}

/// Runs a load under one way of pacing; the figures on one server are those of `watched`.
pub struct Model {
    way: Way,
    plans: Vec<Plan>,
    watched: usize,
    records: Vec<Arc<ReplicaRecord>>,
    servers: Vec<Server>,
    vms: Vec<Vm>,
    random: SmallRng,
    outcome: Outcome,
    total_ms: u64,
}

impl Model {
    pub fn new(way: Way, plans: Vec<Plan>, watched: usize, seed: u64) -> Self {
        let records = plans.iter().enumerate().map(|(index, plan)| {
            let announced_until = plan.announced_ms.map(|span_ms| Moment(plan.listed_at + span_ms));
            Arc::new(ReplicaRecord {
                slots: SLOTS,
                cold_until: announced_until,
                ..plain_desk::record(&format!("i-{index}"), plan.listed_at + 1)
            })
        });
        let vm = |index: usize| {
            let mut selector = ReplicaSelector::new("a".into(), seed * 100 + index as u64);
            selector.set_pace(way == Way::ServerPace);
            Vm {
                selector,
                others: vec![Other::default(); plans.len()],
            }
        };
        Self {
            way,
            records: records.collect(),
            servers: plans.iter().map(|_| Server::default()).collect(),
            vms: (0..VMS).map(vm).collect(),
            plans,
            watched,
            random: SmallRng::seed_from_u64(seed),
            outcome: Outcome::default(),
            total_ms: 0,
        }
    }

    /// Runs for so many milliseconds with calls that need this share of all slots on average.
    pub fn run(mut self, end: u64, load: f64) -> Outcome {
        let per_ms = load * f64::from(SLOTS) / 30.0;
        for now in 0..end {
            self.change_list(now);
            (0..self.servers.len()).for_each(|index| self.finish(index, now));
            let listed = self.plans.iter().filter(|plan| is_listed(plan, now)).count() as f64;
            // Each second has a burst of 200 ms.
            let factor = if now % 1_000 < 200 { 1.4 } else { 0.9 };
            // All VMs of a burst send in the same few milliseconds.
            let mut expected = per_ms * listed * factor;
            while expected > 0.0 {
                if self.random.random_bool(expected.min(1.0)) {
                    let call = Call {
                        vm: self.random.random_range(0..VMS),
                        arrived_at: now,
                        sent_at: now,
                        work_ms: self.random.random_range(20..=40),
                        sends: 0,
                        tried: [None; MAX_SENDS],
                    };
                    self.outcome.calls += 1;
                    self.send(call, now);
                }
                expected -= 1.0;
            }
        }
        let answered = (self.outcome.calls - self.outcome.unserved).max(1);
        self.outcome.mean_ms = self.total_ms as f64 / answered as f64;
        self.outcome.share_after_ms = self.share_after_ms(end);
        self.outcome
    }

    fn change_list(&mut self, now: u64) {
        let is_changed = |plan: &Plan| plan.listed_at == now || plan.removed_at == Some(now);
        if !self.plans.iter().any(is_changed) {
            return;
        }
        let plans = self
            .plans
            .iter()
            .zip(&self.records)
            .filter(|(plan, _)| is_listed(plan, now));
        let facts: Vec<ReplicaFacts> = plans
            .map(|(plan, record)| ReplicaFacts {
                record: record.clone(),
                stop_at: None,
                is_listed: true,
                trust: EntryTrust::default(),
                fresh_since: (plan.listed_at > 0 || plan.is_new).then_some(Moment(plan.listed_at)),
            })
            .collect();
        for vm in &mut self.vms {
            vm.selector.replace(facts.iter(), Moment(now));
            for (other, plan) in vm.others.iter_mut().zip(&self.plans) {
                let is_fresh = plan.listed_at == now && (now > 0 || plan.is_new);
                let span_ms = if self.way == Way::AnnouncedTime {
                    plan.announced_ms.unwrap_or(0)
                } else {
                    10_000
                };
                if is_fresh && span_ms > 0 {
                    other.begin(now, span_ms);
                }
            }
        }
    }

    /// The servers that an other way holds back, unless no other has room.
    fn held_back(&self, vm: usize, now: u64) -> Vec<usize> {
        if matches!(self.way, Way::Unrestrained | Way::ServerPace) {
            return Vec::new();
        }
        let vm = &self.vms[vm];
        let listed = (0..self.plans.len()).filter(|index| is_listed(&self.plans[*index], now));
        let (mut held, mut has_room) = (Vec::new(), false);
        for index in listed {
            let ahead = vm
                .selector
                .evidence(&self.records[index], Moment(now))
                .requests_ahead;
            if ahead >= vm.others[index].limit(self.way, now) && vm.others[index].began_at.is_some() {
                held.push(index);
            } else {
                has_room |= ahead < SLOTS;
            }
        }
        if has_room { held } else { Vec::new() }
    }

    fn send(&mut self, mut call: Call, now: u64) {
        while call.sends < MAX_SENDS {
            let held = self.held_back(call.vm, now);
            let name = |index: &usize| self.records[*index].id.clone();
            let tried: Vec<_> = call.tried.iter().flatten().map(name).collect();
            let mut avoid: Vec<_> = held.iter().map(name).collect();
            avoid.extend(tried.iter().cloned());
            let selector = &mut self.vms[call.vm].selector;
            let criteria = SelectionCriteria {
                avoid: &avoid,
                ..plain_desk::CRITERIA
            };
            let choice = selector.choose(&criteria, Moment(now)).or_else(|| {
                let criteria = SelectionCriteria {
                    avoid: &tried,
                    ..plain_desk::CRITERIA
                };
                selector.choose(&criteria, Moment(now))
            });
            let Some(DispatchChoice::Unlimited(record)) = choice else {
                break;
            };
            let index = self
                .records
                .iter()
                .position(|other| other.id == record.id)
                .expect("a server");
            selector.begin(&record.id, 0);
            call.tried[call.sends] = Some(index);
            (call.sends, call.sent_at) = (call.sends + 1, now);
            let server = &mut self.servers[index];
            let window = (now / WINDOW_MS) as usize;
            server.windows.resize(server.windows.len().max(window + 1), 0);
            server.windows[window] += 1;
            let is_down = self.plans[index]
                .down
                .iter()
                .any(|(from, to)| (*from..*to).contains(&now));
            let outcome = match () {
                () if is_down => SendOutcome::Failed,
                () if server.running.len() < SLOTS as usize => {
                    let end = now + call.work_ms * percent(&self.plans[index], now) / 100;
                    server.running.push((end, call));
                    return;
                }
                () if server.queue.len() < QUEUE => {
                    server.queue.push_back(call);
                    if index == self.watched {
                        self.outcome.longest_queue = self.outcome.longest_queue.max(server.queue.len());
                    }
                    return;
                }
                () => SendOutcome::Refused,
            };
            self.outcome.rejected += u64::from(outcome == SendOutcome::Refused);
            let way = self.way;
            let vm = &mut self.vms[call.vm];
            vm.selector.finish(&record.id, 0, outcome, Moment(now));
            vm.others[index].failed(way, outcome == SendOutcome::Refused, now);
        }
        self.outcome.unserved += 1;
    }

    fn finish(&mut self, index: usize, now: u64) {
        let server = &mut self.servers[index];
        let (ended, running) = server.running.drain(..).partition(|(end, _)| *end <= now);
        server.running = running;
        while server.running.len() < SLOTS as usize
            && let Some(call) = server.queue.pop_front()
        {
            server
                .running
                .push((now + call.work_ms * percent(&self.plans[index], now) / 100, call));
        }
        let load = ReplicaLoad {
            running: server.running.len() as u32,
            waiting: server.queue.len() as u32,
            slots: SLOTS,
            pace_percent: 100,
        };
        let ended: Vec<(u64, Call)> = ended;
        for (_, call) in ended {
            let elapsed_ms = now - call.sent_at;
            let total_ms = now - call.arrived_at;
            self.total_ms += total_ms;
            self.outcome.late += u64::from(total_ms > OBJECTIVE_MS);
            let vm = &mut self.vms[call.vm];
            let id = &self.records[index].id;
            vm.selector.record_load(id, load, Moment(now));
            vm.selector
                .finish(id, 0, SendOutcome::Served(elapsed_ms), Moment(now));
            let peers = vm.others.iter().enumerate();
            let peers = peers.filter(|(other, state)| *other != index && state.work_ms > 0.0);
            let mut times: Vec<f64> = peers.map(|(_, state)| state.work_ms).collect();
            times.sort_by(f64::total_cmp);
            let peer_ms = times.get(times.len() / 2).copied().unwrap_or(0.0);
            vm.others[index].answered(self.way, elapsed_ms as f64, peer_ms);
        }
    }

    fn share_after_ms(&self, end: u64) -> Option<u64> {
        let plan = &self.plans[self.watched];
        let back_at = plan.down.last().map_or(plan.listed_at, |(_, to)| *to);
        let windows = back_at.div_ceil(WINDOW_MS)..end / WINDOW_MS;
        let sends = |index: usize, window: u64| {
            self.servers[index]
                .windows
                .get(window as usize)
                .copied()
                .unwrap_or(0)
        };
        let has_share = |window: &u64| {
            let now = window * WINDOW_MS;
            let listed: Vec<usize> = (0..self.plans.len())
                .filter(|index| is_listed(&self.plans[*index], now))
                .collect();
            let all: u64 = listed.iter().map(|index| sends(*index, *window)).sum();
            let fair = all * 100 / percent(plan, now) / listed.len().max(1) as u64;
            sends(self.watched, *window) * 10 >= fair * 8
        };
        windows
            .into_iter()
            .find(has_share)
            .map(|window| (window + 1) * WINDOW_MS - back_at)
    }
}

fn is_listed(plan: &Plan, now: u64) -> bool {
    plan.listed_at <= now && plan.removed_at.is_none_or(|at| now < at)
}

/// The time that the server takes now, in percent of the usual.
fn percent(plan: &Plan, now: u64) -> u64 {
    if now < plan.slow_until { SLOW_PERCENT } else { 100 }
}
