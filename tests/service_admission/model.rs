//! A model of callers, VMs, the owner and the replicas of one service, in steps of microseconds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use dotterelspan::blackboard::{
    EntryTrust, OwnIdentity, ReplicaFacts, ReplicaId, ReplicaLoad, ReplicaRecord, ReplicaRole,
};
use dotterelspan::controllers::dispatch::{
    DispatchChoice, ReplicaSelector, SelectionCriteria, SendBudget, SendOutcome,
};
use dotterelspan::controllers::message::PeerMessage;
use dotterelspan::controllers::ownership::find_owner;
use dotterelspan::controllers::service_slots::{
    SendEnd, SendRelease, SendRequest, ServiceSlotController, SlotReply, service_key,
};
use dotterelspan::controllers::{ControlCore, Reply};
use dotterelspan::peers::{PeerFrame, to_frame, to_message};
use dotterelspan::prelude::*;
use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const VMS: usize = 104;
const REPLICAS: usize = 4;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK_US: u64 = 30_000;
const SLOW_PHASE_US: u64 = 600_000;
const SLOW_PERCENT: u32 = 15;
const CALM_PER_S: u64 = 200;
const SEGMENT_US: u64 = 4_000_000;
const MAX_SENDS: u32 = 3;
/// What a message costs the owner's VM, which has half a core, in microseconds.
const OWNER_MESSAGE_US: u64 = 60;
/// When the owner is lost: in the middle of the burst.
const LOSS_AT_US: u64 = SEGMENT_US + SEGMENT_US / 2;
/// How long the other VMs take to agree that a killed owner is dead, in microseconds.
const DEATH_KNOWN_US: u64 = 300_000;

/// Who selects replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Each VM by its own statistics.
    Alone,
    /// The service's owner.
    Owner,
}

/// What happens to the owner in the burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Its process ends, and its links are closed.
    Killed,
    /// It neither reads nor sends any more.
    Frozen,
}

/// The calls of a run: a calm time, a burst, and a calm time.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    burst_per_s: u64,
    loss: Option<Loss>,
}

impl LoadPlan {
    pub fn calm() -> Self {
        Self::burst(CALM_PER_S)
    }

    pub fn burst(burst_per_s: u64) -> Self {
        Self {
            burst_per_s,
            loss: None,
        }
    }

    pub fn with_loss(self, loss: Loss) -> Self {
        Self {
            loss: Some(loss),
            ..self
        }
    }
}

/// What callers got.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    /// Calls without any answer before their deadlines.
    pub failed: u64,
    pub arrivals: u64,
    pub rejected: u64,
    messages: u64,
    bytes: u64,
    /// Time from a call's arrival at its VM until its first send, in microseconds.
    waits_us: Vec<u64>,
    /// Time from a call's arrival until its answer, in microseconds.
    spans_us: Vec<u64>,
}

fn percentile(values: &[u64], percent: usize) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted
        .get(sorted.len() * percent / 100)
        .copied()
        .unwrap_or_default()
}

impl Report {
    pub fn merge(mut self, other: Self) -> Self {
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.arrivals += other.arrivals;
        self.rejected += other.rejected;
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.waits_us.extend(other.waits_us);
        self.spans_us.extend(other.spans_us);
        self
    }

    pub fn median_wait_us(&self) -> u64 {
        percentile(&self.waits_us, 50)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let calls = self.in_time + self.late + self.refused + self.failed;
        write!(
            formatter,
            "calls={calls} in_time={} late={} refused={} failed={} arrivals={} rejected={} messages={} bytes={} \
             wait_p50_us={} wait_p99_us={} span_p50_us={} span_p99_us={}",
            self.in_time,
            self.late,
            self.refused,
            self.failed,
            self.arrivals,
            self.rejected,
            self.messages,
            self.bytes,
            self.median_wait_us(),
            percentile(&self.waits_us, 99),
            percentile(&self.spans_us, 50),
            percentile(&self.spans_us, 99),
        )
    }
}

enum Step {
    Call(usize),
    Message(usize, usize, PeerFrame),
    /// A message that waited for the owner's processor.
    Handle(usize, Event),
    Tick(usize),
    Arrive(usize, usize),
    Finish(usize, usize),
    /// The answer to a call, served or rejected.
    Answer(usize, usize, bool, ReplicaLoad),
    Expire(usize),
    Lose,
    KnowDeath,
}

struct Call {
    vm: usize,
    arrived_us: u64,
    objective_us: u64,
    deadline_us: u64,
    tried: Vec<ReplicaId>,
    sends: u32,
    sent_us: u64,
    /// The number of the slot that the current send holds.
    slot: Option<u64>,
    is_over: bool,
}

struct Replica {
    id: ReplicaId,
    factor_percent: u64,
    running: usize,
    queue: VecDeque<usize>,
    /// Whether each phase is slow.
    slow: Vec<bool>,
}

impl Replica {
    fn pace_percent(&self, now_us: u64) -> u64 {
        let is_slow = self.slow[(now_us / SLOW_PHASE_US) as usize % self.slow.len()];
        self.factor_percent * if is_slow { 250 } else { 100 } / 100
    }

    fn load(&self, now_us: u64) -> ReplicaLoad {
        ReplicaLoad {
            running: self.running as u32,
            waiting: self.queue.len() as u32,
            slots: SLOTS as u32,
            pace_percent: self.pace_percent(now_us) as u32,
        }
    }
}

struct Vm {
    core: ControlCore,
    selector: ReplicaSelector,
    budget: SendBudget,
    tick_us: Option<u64>,
    /// Calls that wait for a slot, by the numbers of their requests.
    waiting: BTreeMap<u64, usize>,
    busy_until_us: u64,
    is_lost: bool,
}

struct Model {
    admission: Admission,
    loss: Option<Loss>,
    now_us: u64,
    steps: BinaryHeap<Reverse<(u64, u64, usize)>>,
    content: Vec<Option<Step>>,
    vms: Vec<Vm>,
    replicas: Vec<Replica>,
    calls: Vec<Call>,
    owner: usize,
    next_number: u64,
    random: StdRng,
    report: Report,
}

pub fn replica_facts(number: usize) -> ReplicaFacts {
    ReplicaFacts {
        record: Arc::new(ReplicaRecord {
            id: format!("i-{number}").into(),
            started_epoch_ms: 1,
            service: "desk".into(),
            role: ReplicaRole::Plain,
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: "a".into(),
            slots: SLOTS as u32,
            is_draining: false,
            cold_until: None,
        }),
        stop_at: None,
        is_listed: true,
        trust: EntryTrust::default(),
        fresh_since: None,
    }
}

pub fn vm_name(number: usize) -> VmName {
    format!("vm-{number}").into()
}

pub fn identity(number: usize) -> OwnIdentity {
    OwnIdentity {
        name: vm_name(number),
        zone: "a".into(),
        caller_address: "127.0.0.1:1".into(),
        peer_address: "127.0.0.1:2".into(),
        incarnation: number as u128 + 1,
        started_epoch_ms: 1,
        millicores: 250,
    }
}

/// Plays a load plan and reports what its callers got.
pub fn play(admission: Admission, plan: &LoadPlan, seed: u64) -> Report {
    let mut model = Model::new(admission, plan, seed);
    model.run();
    model.report
}

impl Model {
    fn new(admission: Admission, plan: &LoadPlan, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let facts: Vec<ReplicaFacts> = (0..REPLICAS).map(replica_facts).collect();
        let by_id: FastMap<ReplicaId, ReplicaFacts> = facts
            .iter()
            .map(|facts| (facts.record.id.clone(), facts.clone()))
            .collect();
        let by_id = Arc::new(by_id);
        let new_vm = |number: usize| {
            let mut board = Blackboard::new(identity(number));
            for other in (0..VMS).filter(|other| *other != number) {
                board.vms.insert(identity(other).introduction().to_record());
            }
            board.replicas = by_id.clone();
            let mut selector = ReplicaSelector::new("a".into(), seed * 1_000 + number as u64);
            selector.replace(facts.iter(), Moment::default());
            Vm {
                core: ControlCore::new(board, vec![Box::new(ServiceSlotController::default())]),
                selector,
                budget: SendBudget::new(0.2, 10.0, 10_000, true),
                tick_us: None,
                waiting: BTreeMap::new(),
                busy_until_us: 0,
                is_lost: false,
            }
        };
        let vms: Vec<Vm> = (0..VMS).map(new_vm).collect();
        let owner_name = find_owner(&service_key("desk"), &vms[0].core.board, Moment::default());
        let new_replica = |facts: &ReplicaFacts| Replica {
            id: facts.record.id.clone(),
            factor_percent: random.random_range(55..=120),
            running: 0,
            queue: VecDeque::new(),
            slow: (0..64)
                .map(|_| random.random_range(0..100) < SLOW_PERCENT)
                .collect(),
        };
        let replicas = facts.iter().map(new_replica).collect();
        let mut model = Self {
            admission,
            loss: plan.loss,
            now_us: 0,
            steps: BinaryHeap::new(),
            content: Vec::new(),
            vms,
            replicas,
            calls: Vec::new(),
            owner: (0..VMS)
                .find(|number| vm_name(*number) == owner_name)
                .expect("an owner"),
            next_number: 1,
            random,
            report: Report::default(),
        };
        model.plan_calls(plan);
        model
    }

    fn plan_calls(&mut self, plan: &LoadPlan) {
        let mut at_us = 0;
        while at_us < 3 * SEGMENT_US {
            let is_burst = (SEGMENT_US..2 * SEGMENT_US).contains(&at_us);
            let per_s = if is_burst { plan.burst_per_s } else { CALM_PER_S };
            let draw: f64 = self.random.random_range(1e-9..1.0);
            at_us += (-draw.ln() * 1e6 / per_s as f64) as u64;
            let is_short = self.random.random_bool(0.5);
            let (objective_us, deadline_us) = if is_short {
                (150_000, 1_000_000)
            } else {
                (200_000, 1_200_000)
            };
            self.calls.push(Call {
                vm: self.random.random_range(0..VMS),
                arrived_us: at_us,
                objective_us: at_us + objective_us,
                deadline_us: at_us + deadline_us,
                tried: Vec::new(),
                sends: 0,
                sent_us: 0,
                slot: None,
                is_over: false,
            });
            let call = self.calls.len() - 1;
            self.plan(at_us, Step::Call(call));
            self.plan(at_us + deadline_us, Step::Expire(call));
        }
        if plan.loss.is_some() {
            self.plan(LOSS_AT_US, Step::Lose);
        }
    }

    fn plan(&mut self, at_us: u64, step: Step) {
        self.content.push(Some(step));
        let number = self.content.len() - 1;
        self.steps.push(Reverse((at_us, number as u64, number)));
    }

    fn hop_us(&mut self) -> u64 {
        self.random.random_range(200..=1_500)
    }

    fn now(&self) -> Moment {
        Moment(self.now_us / 1_000)
    }

    fn run(&mut self) {
        while let Some(Reverse((at_us, _, number))) = self.steps.pop() {
            self.now_us = at_us;
            match self.content[number].take().expect("each step is taken once") {
                Step::Call(call) => self.begin_call(call),
                Step::Message(from, to, frame) => self.receive(from, to, frame),
                Step::Handle(vm, event) => self.handle(vm, &event),
                Step::Tick(vm) => {
                    self.vms[vm].tick_us = None;
                    self.handle(vm, &Event::Tick { active_requests: 0 });
                }
                Step::Arrive(replica, call) => self.arrive(replica, call),
                Step::Finish(replica, call) => self.finish(replica, call),
                Step::Answer(replica, call, is_served, load) => {
                    self.take_answer(replica, call, is_served, load)
                }
                Step::Expire(call) => self.expire(call),
                Step::Lose => self.lose_owner(),
                Step::KnowDeath => self.know_death(),
            }
        }
    }

    fn begin_call(&mut self, call: usize) {
        // Callers of the lost VM have gone to another one.
        if self.vms[self.calls[call].vm].is_lost {
            self.calls[call].vm = (self.calls[call].vm + 1) % VMS;
        }
        let now = self.now();
        let vm = &mut self.vms[self.calls[call].vm];
        vm.budget.record_request(&"desk".into(), now);
        self.prepare_send(call);
    }

    /// Selects a replica as `gateway/send_slot.rs` does.
    fn prepare_send(&mut self, call: usize) {
        let now = self.now();
        let state = &self.calls[call];
        let vm = &mut self.vms[state.vm];
        if self.admission == Admission::Alone || vm.selector.is_calm("desk", now) {
            return self.send_alone(call);
        }
        let criteria = SelectionCriteria {
            service: "desk",
            role: ReplicaRole::Plain,
            avoid: &state.tried,
        };
        let request = SendRequest {
            service: "desk".into(),
            rank: 1,
            avoid: vm.selector.avoided(&criteria, now),
            objective: Moment(state.objective_us / 1_000),
            deadline: Moment(state.deadline_us / 1_000),
            is_immediate: false,
            loads: vm.selector.take_unshared_loads("desk", now),
        };
        let ticket = ReplyTicket(self.next_number);
        self.next_number += 1;
        vm.waiting.insert(ticket.0, call);
        let vm = state.vm;
        self.handle(vm, &Event::SendSlotWanted { ticket, request });
    }

    fn send_alone(&mut self, call: usize) {
        let now = self.now();
        let state = &self.calls[call];
        let criteria = SelectionCriteria {
            service: "desk",
            role: ReplicaRole::Plain,
            avoid: &state.tried,
        };
        match self.vms[state.vm].selector.choose(&criteria, now) {
            Some(DispatchChoice::Unlimited(record)) => self.send(call, &record.id.clone()),
            _ => self.refuse(call),
        }
    }

    fn send(&mut self, call: usize, id: &ReplicaId) {
        let now = self.now();
        let state = &mut self.calls[call];
        let vm = &mut self.vms[state.vm];
        if state.sends > 0 && !vm.budget.take(&"desk".into(), Some(VMS), now).is_covered {
            self.release(call, SendEnd::Ended, None);
            return self.refuse(call);
        }
        if state.sends == 0 {
            self.report.waits_us.push(self.now_us - state.arrived_us);
        }
        state.sends += 1;
        state.sent_us = self.now_us;
        state.tried.push(id.clone());
        vm.selector.begin(id, 0);
        let replica = self.replicas.iter().position(|replica| replica.id == *id);
        let at_us = self.now_us + self.hop_us();
        self.plan(at_us, Step::Arrive(replica.expect("a known replica"), call));
    }

    fn arrive(&mut self, number: usize, call: usize) {
        self.report.arrivals += 1;
        let replica = &mut self.replicas[number];
        if replica.running < SLOTS {
            self.start_work(number, call);
        } else if replica.queue.len() < QUEUE {
            replica.queue.push_back(call);
        } else {
            self.report.rejected += 1;
            let load = replica.load(self.now_us);
            let at_us = self.now_us + self.hop_us();
            self.plan(at_us, Step::Answer(number, call, false, load));
        }
    }

    fn start_work(&mut self, number: usize, call: usize) {
        let replica = &mut self.replicas[number];
        replica.running += 1;
        let done_us = self.now_us + WORK_US * replica.pace_percent(self.now_us) / 100;
        self.plan(done_us, Step::Finish(number, call));
    }

    fn finish(&mut self, number: usize, call: usize) {
        let replica = &mut self.replicas[number];
        replica.running -= 1;
        let load = replica.load(self.now_us);
        if let Some(next) = replica.queue.pop_front() {
            self.start_work(number, next);
        }
        let at_us = self.now_us + self.hop_us();
        self.plan(at_us, Step::Answer(number, call, true, load));
    }

    fn take_answer(&mut self, number: usize, call: usize, is_served: bool, load: ReplicaLoad) {
        let (now, now_us) = (self.now(), self.now_us);
        let state = &mut self.calls[call];
        if state.is_over {
            return;
        }
        let elapsed_ms = (now_us - state.sent_us) / 1_000;
        let (outcome, end) = match is_served {
            true => (SendOutcome::Served(elapsed_ms), SendEnd::Answered(elapsed_ms)),
            false => (SendOutcome::Refused, SendEnd::Rejected),
        };
        let id = &self.replicas[number].id;
        let selector = &mut self.vms[state.vm].selector;
        selector.record_load(id, load, now);
        if state.slot.is_some() {
            selector.record_load_shared(id);
        }
        selector.finish(id, 0, outcome, now);
        self.release(call, end, Some(load));
        let state = &mut self.calls[call];
        if is_served {
            state.is_over = true;
            self.report.spans_us.push(now_us - state.arrived_us);
            match now_us <= state.objective_us {
                true => self.report.in_time += 1,
                false => self.report.late += 1,
            }
        } else if state.sends < MAX_SENDS {
            self.prepare_send(call);
        } else {
            self.refuse(call);
        }
    }

    fn refuse(&mut self, call: usize) {
        self.calls[call].is_over = true;
        self.report.refused += 1;
    }

    fn expire(&mut self, call: usize) {
        let now = self.now();
        let state = &mut self.calls[call];
        if std::mem::replace(&mut state.is_over, true) {
            return;
        }
        self.report.failed += 1;
        let vm = state.vm;
        if let Some(id) = state.tried.last() {
            let elapsed_ms = (self.now_us - state.sent_us) / 1_000;
            let outcome = SendOutcome::Abandoned(elapsed_ms);
            self.vms[vm].selector.finish(id, 0, outcome, now);
        }
        let waiting = self.vms[vm].waiting.iter().find(|(_, waiting)| **waiting == call);
        if let Some(number) = waiting.map(|(number, _)| *number) {
            self.vms[vm].waiting.remove(&number);
            self.calls[call].slot = Some(number);
        }
        let elapsed_ms = (self.now_us - self.calls[call].sent_us) / 1_000;
        self.release(call, SendEnd::Abandoned(elapsed_ms), None);
    }

    fn release(&mut self, call: usize, end: SendEnd, load: Option<ReplicaLoad>) {
        let state = &mut self.calls[call];
        if let Some(number) = state.slot.take() {
            let (vm, ticket) = (state.vm, ReplyTicket(number));
            let release = SendRelease { end, load };
            self.handle(vm, &Event::SendSlotDone { ticket, release });
        }
    }

    fn receive(&mut self, from: usize, to: usize, frame: PeerFrame) {
        if self.vms[to].is_lost {
            return;
        }
        let message = to_message(frame, self.now()).expect("a message");
        let event = Event::PeerMessage {
            from: vm_name(from),
            incarnation: from as u128 + 1,
            message,
        };
        // Messages wait for the processor of the VM.
        let vm = &mut self.vms[to];
        vm.busy_until_us = vm.busy_until_us.max(self.now_us) + OWNER_MESSAGE_US;
        let at_us = vm.busy_until_us;
        self.plan(at_us, Step::Handle(to, event));
    }

    fn handle(&mut self, vm: usize, event: &Event) {
        if self.vms[vm].is_lost {
            return;
        }
        let now = self.now();
        let actions = self.vms[vm].core.handle(event, now);
        for action in actions {
            match action {
                Action::Send { to, message, .. } => self.deliver(vm, &to, &message),
                Action::Reply { ticket, reply } => self.take_reply(vm, ticket, reply),
                _ => {}
            }
        }
        let wake_at = self.vms[vm].core.wake_at(now);
        if let Some(wake_at) = wake_at {
            // As the control thread does, a tick comes 5 ms after the last event at the earliest.
            let at_us = (wake_at.0 * 1_000).max(self.now_us + 5_000);
            if self.vms[vm]
                .tick_us
                .is_none_or(|known_us| at_us + 5_000 < known_us)
            {
                self.vms[vm].tick_us = Some(at_us);
                self.plan(at_us, Step::Tick(vm));
            }
        }
    }

    fn deliver(&mut self, from: usize, to: &VmName, message: &PeerMessage) {
        let frame = to_frame(message, self.now());
        self.report.messages += 1;
        self.report.bytes += frame.encoded_len() as u64;
        let to = (0..VMS)
            .find(|number| vm_name(*number) == *to)
            .expect("a known VM");
        let at_us = self.now_us + self.hop_us();
        self.plan(at_us, Step::Message(from, to, frame));
    }

    fn take_reply(&mut self, vm: usize, ticket: ReplyTicket, reply: Reply) {
        let Some(call) = self.vms[vm].waiting.remove(&ticket.0) else {
            return;
        };
        match reply {
            Reply::SendSlot(SlotReply::Granted { replica, .. }) => {
                self.calls[call].slot = Some(ticket.0);
                self.send(call, &replica);
            }
            Reply::SendSlot(SlotReply::Refused { .. }) => self.refuse(call),
            _ => self.send_alone(call),
        }
    }

    fn lose_owner(&mut self) {
        let owner = self.owner;
        self.vms[owner].is_lost = true;
        // Calls at the lost VM end with it; they are no part of the comparison.
        for call in self
            .calls
            .iter_mut()
            .filter(|call| call.vm == owner && call.arrived_us < self.now_us)
        {
            call.is_over = true;
        }
        if self.loss == Some(Loss::Killed) {
            for vm in (0..VMS).filter(|vm| *vm != owner) {
                let lost = Event::LinkLost { vm: vm_name(owner) };
                let at_us = self.now_us + 1_000;
                self.plan(at_us, Step::Handle(vm, lost));
            }
            let at_us = self.now_us + DEATH_KNOWN_US;
            self.plan(at_us, Step::KnowDeath);
        }
    }

    fn know_death(&mut self) {
        let owner = vm_name(self.owner);
        let until = self.now().after_ms(60_000);
        for vm in &mut self.vms {
            if let Some(record) = vm.core.board.vms.get_mut(&owner) {
                record.suspected_until = Some(until);
            }
        }
    }
}
