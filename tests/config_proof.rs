//! Proof that a VM's configuration is current, over many control cores with a modeled network and store. After each
//! step no VM may send a request with a removed key later than the settings allow.

use std::sync::Arc;

use dotterelspan::blackboard::{OwnIdentity, WatchPace};
use dotterelspan::controllers::proof::{ProofController, ReadContent, RegisterReading, SHORT_WATCH_MS};
use dotterelspan::controllers::readers::watch_wait_ms;
use dotterelspan::controllers::revision::RevisionController;
use dotterelspan::controllers::store_era::EraController;
use dotterelspan::controllers::{ControlCore, RegisterSource};
use dotterelspan::peers::{PeerFrame, to_frame, to_message};
use dotterelspan::prelude::*;
use dotterelspan::register::{FaultReport, KeyDigest, RegisterFault, WorkspaceRule};

/// How long a removed key may be accepted, in milliseconds.
const REVOKE_MS: u64 = 5_000;

/// Time of one step, and of a message or a call to the store, in milliseconds.
const STEP_MS: u64 = 5;
const DELAY_MS: u64 = 2;

/// Longest pause after a failed read, in milliseconds.
const FAILURE_PAUSE_MS: u64 = 2_000;

struct StoreCall {
    began_at: Moment,
    until: u64,
    pace: WatchPace,
    is_full: bool,
}

struct Node {
    core: ControlCore,
    started: u64,
    runs: bool,
    call: Option<StoreCall>,
    next_call: u64,
    /// Version up to which the store was read; `None` before the first read.
    cursor: Option<u64>,
}

struct Fleet {
    nodes: Vec<Node>,
    now: u64,
    /// Time at which each version was acknowledged, in order; faulty ones never come into force.
    versions: Vec<(u64, bool)>,
    flights: Vec<(u64, usize, usize, PeerFrame)>,
    delay_ms: fn(from: usize, to: usize, now: u64) -> Option<u64>,
    can_read: fn(node: usize, now: u64) -> bool,
    /// Time that the store takes for a call beyond its wait, in milliseconds.
    store_ms: u64,
    store_calls: usize,
    messages: usize,
}

fn parse(text: &str) -> Result<Register, FaultReport> {
    if text.starts_with("faulty") {
        let fault = RegisterFault {
            code: ResultCode::RegisterSyntax,
            line: 0,
            place: String::new(),
            reason: String::new(),
        };
        return Err(FaultReport { faults: vec![fault] });
    }
    Register::default().with_callers(vec![WorkspaceRule {
        name: "w".into(),
        priority: 1,
        quota: None,
        keys: vec![KeyDigest::of(text.as_bytes())],
    }])
}

fn identity(index: usize, incarnation: u128) -> OwnIdentity {
    OwnIdentity {
        name: format!("vm-{index}").into(),
        zone: "a".into(),
        caller_address: "".into(),
        peer_address: format!("peer-{index}").into(),
        incarnation,
        started_epoch_ms: 0,
        millicores: 100,
    }
}

fn start_node(index: usize, count: usize, now: u64) -> Node {
    let incarnation = (u128::from(now) << 32) + index as u128 + 1;
    let mut board = Blackboard::new(identity(index, incarnation));
    board.register.proved_until = Some(Moment::default());
    for other in (0..count).filter(|other| *other != index) {
        board
            .vms
            .insert(identity(other, other as u128 + 1).introduction().to_record());
    }
    Node {
        core: ControlCore::new(
            board,
            vec![
                Box::new(RevisionController::new(parse, 0)),
                Box::new(EraController),
                Box::new(ProofController::new(
                    Some(REVOKE_MS),
                    ((now + 1) << 20) + index as u64,
                )),
            ],
        ),
        started: now,
        runs: true,
        call: None,
        next_call: now + index as u64 * 7 % 1_500,
        cursor: None,
    }
}

impl Fleet {
    fn new(count: usize) -> Self {
        Self {
            nodes: (0..count)
                .map(|index| start_node(index, count, 100_000))
                .collect(),
            now: 100_000,
            versions: vec![(0, false)],
            flights: Vec::new(),
            delay_ms: |_, _, _| Some(DELAY_MS),
            can_read: |_, _| true,
            store_ms: DELAY_MS,
            store_calls: 0,
            messages: 0,
        }
    }

    /// A fleet whose VMs all have proof.
    fn running(count: usize) -> Self {
        let mut fleet = Self::new(count);
        fleet.run(6_000);
        for index in 0..count {
            assert!(fleet.may_send(index), "vm-{index} has no proof after its start");
        }
        fleet
    }

    fn publish(&mut self, is_faulty: bool) {
        self.versions.push((self.now, is_faulty));
    }

    fn clock(&self, index: usize) -> Moment {
        Moment(self.now - self.nodes[index].started)
    }

    fn board(&self, index: usize) -> &Blackboard {
        &self.nodes[index].core.board
    }

    fn provers(&self) -> Vec<usize> {
        let view = self.board(0).live_view(self.clock(0));
        let named = |name: &VmName| name[3..].parse().expect("a number");
        view.first_readers.iter().map(named).collect()
    }

    /// Whether a VM would send a request whose key its configuration lists.
    fn may_send(&self, index: usize) -> bool {
        let register = &self.board(index).register;
        let until = register.proved_until.expect("proof is required");
        register.revision > 0 && !self.clock(index).reached(until)
    }

    fn send(&mut self, index: usize, event: &Event) {
        let now = self.clock(index);
        for action in self.nodes[index].core.handle(event, now) {
            if let Action::Send { to, message, .. } = action {
                let to: usize = to[3..].parse().expect("a number");
                self.messages += 1;
                if let Some(delay_ms) = (self.delay_ms)(index, to, self.now) {
                    let frame = to_frame(&message, now);
                    self.flights.push((self.now + delay_ms, index, to, frame));
                }
            }
        }
    }

    fn step_store(&mut self, index: usize) {
        let (now, own_now) = (self.now, self.clock(index));
        let pace = self.board(index).register.watch_pace;
        let newest = self.versions.len() as u64;
        let node = &mut self.nodes[index];
        if node
            .call
            .as_ref()
            .is_some_and(|call| call.pace == WatchPace::Slotted && pace != call.pace)
        {
            node.call = None;
        }
        let Some(call) = &node.call else {
            if now >= node.next_call {
                self.store_calls += 1;
                let live = node.core.board.live_view(own_now).vms.clone();
                let wait_ms = match pace {
                    _ if node.cursor.is_none() => 0,
                    WatchPace::Slotted => watch_wait_ms(&live, &node.core.board.own.name, now),
                    WatchPace::Short => SHORT_WATCH_MS,
                    WatchPace::Immediate => 1,
                };
                node.call = Some(StoreCall {
                    began_at: own_now,
                    until: now + wait_ms + self.store_ms,
                    pace,
                    is_full: node.cursor.is_none(),
                });
            }
            return;
        };
        if !(self.can_read)(index, now) {
            node.call = None;
            node.next_call = now + FAILURE_PAUSE_MS;
            return;
        }
        let has_news = node.cursor.is_some_and(|cursor| cursor < newest);
        if now < call.until && !has_news {
            return;
        }
        let (began_at, is_full) = (call.began_at, call.is_full);
        let is_continuous = !is_full && newest - node.cursor.unwrap_or_default() <= 1;
        let found = is_full || has_news;
        node.call = None;
        node.next_call = now + if has_news { 250 } else { DELAY_MS };
        node.cursor = Some(newest);
        let stamp = RegisterStamp {
            revision: newest,
            written: StorePosition::without_era(newest),
        };
        if found {
            let source = RegisterSource::Service;
            let text = self.text_of(newest);
            self.send(index, &Event::RegisterOffered { stamp, text, source });
        }
        let newest = if found {
            ReadContent::Offered(stamp)
        } else {
            ReadContent::Nothing
        };
        let reading = RegisterReading {
            began_at,
            newest,
            is_continuous,
            store_position: stamp.written,
        };
        self.send(index, &Event::RegisterRead(reading));
    }

    fn text_of(&self, version: u64) -> RegisterText {
        let is_faulty = self.versions[version as usize - 1].1;
        format!("{} {version}", if is_faulty { "faulty" } else { "version" }).into()
    }

    /// Runs for a time, and checks after each step that no VM may send with a removed key for too long. Returns the
    /// VMs that could not send at some step.
    fn run(&mut self, span_ms: u64) -> Vec<usize> {
        let mut refused: Vec<usize> = Vec::new();
        for _ in 0..span_ms / STEP_MS {
            self.now += STEP_MS;
            let (due, rest): (Vec<_>, Vec<_>) = self.flights.drain(..).partition(|(at, ..)| *at <= self.now);
            self.flights = rest;
            for (at, from, to, frame) in due {
                if !self.nodes[to].runs {
                    self.flights.push((at, from, to, frame));
                    continue;
                }
                let event = Event::PeerMessage {
                    from: format!("vm-{from}").into(),
                    incarnation: 1,
                    message: to_message(frame, self.clock(to)).expect("a message"),
                };
                self.send(to, &event);
            }
            for index in 0..self.nodes.len() {
                if self.nodes[index].runs {
                    self.step_store(index);
                    self.send(index, &Event::Tick { active_requests: 0 });
                }
            }
            self.check_bound();
            refused.extend((0..self.nodes.len()).filter(|index| !self.may_send(*index)));
        }
        refused.sort_unstable();
        refused.dedup();
        refused
    }

    fn check_bound(&self) {
        for index in 0..self.nodes.len() {
            let revision = self.board(index).register.revision;
            let mut newer = self.versions.iter().skip(revision as usize);
            if let Some((acked, _)) = newer.find(|(_, is_faulty)| !is_faulty) {
                let age_ms = self.now - acked;
                assert!(
                    !self.may_send(index) || age_ms <= REVOKE_MS - 500,
                    "vm-{index} sends by version {revision} {age_ms} ms after a newer one"
                );
            }
        }
    }
}

/// Guards against an answer that is counted from its arrival instead of the request that it answers.
#[test]
fn answers_that_are_delayed_for_seconds_prove_nothing_new() {
    let mut fleet = Fleet::running(6);
    let provers = fleet.provers();
    let lone = (0..6).find(|index| !provers.contains(index)).expect("another VM");
    assert!([0, 1, 2, 3].contains(&lone));
    // Everything to one VM is late, and it can't read the store.
    fleet.can_read = |node, _| !is_lone(node);
    fleet.delay_ms = |_, to, _| Some(if is_lone(to) { 4_600 } else { DELAY_MS });
    LONE.with(|cell| cell.set(lone));
    fleet.publish(false);
    fleet.run(4_700);
    assert!(!fleet.may_send(lone), "late answers were taken for new proof");
    let refused = fleet.run(20_000);
    assert_eq!(
        refused,
        [lone],
        "late answers made other VMs refuse, or this one accept"
    );
    assert!(!fleet.may_send(lone));
}

thread_local! {
    static LONE: std::cell::Cell<usize> = const { std::cell::Cell::new(usize::MAX) };
}

fn is_lone(node: usize) -> bool {
    LONE.with(|cell| cell.get() == node)
}

/// Guards against a VM that takes up its requests after a suspension by the proof of before.
#[test]
fn a_suspended_vm_finds_its_proof_expired_and_regains_it_soon() {
    let mut fleet = Fleet::running(6);
    for index in 0..6 {
        fleet.nodes[index].runs = false;
        fleet.run(1_000);
        fleet.publish(false);
        fleet.run(6_000);
        assert!(!fleet.may_send(index), "vm-{index} may send as it resumes");
        fleet.nodes[index].runs = true;
        fleet.run(1_000);
        assert!(fleet.may_send(index), "vm-{index} has no proof a second later");
        assert_eq!(fleet.board(index).register.revision, fleet.versions.len() as u64);
    }
}

/// Guards against a fleet that depends on the three VMs that prove the configuration.
#[test]
fn nobody_refuses_when_the_three_provers_are_lost() {
    let mut fleet = Fleet::running(30);
    let provers = fleet.provers();
    provers.iter().for_each(|index| fleet.nodes[*index].runs = false);
    let mut refused = fleet.run(3_000);
    // The others notice the loss.
    for index in 0..30 {
        let lost = |vm: &VmRecord| provers.iter().any(|prover| *vm.name == format!("vm-{prover}"));
        fleet.nodes[index].core.board.vms.retain(|vm| !lost(vm));
    }
    refused.extend(fleet.run(20_000));
    refused.retain(|index| !provers.contains(index));
    assert_eq!(refused, Vec::<usize>::new());
}

/// Guards against refusals by VMs that the store refuses for a while, even if all three provers are among them.
#[test]
fn nobody_refuses_while_the_store_refuses_a_third_of_the_vms() {
    for count in [6, 30] {
        let mut fleet = Fleet::running(count);
        REFUSED.with(|cell| cell.set(fleet.provers().iter().fold(0, |mask, index| mask | 1 << index)));
        fleet.can_read = |node, _| {
            let mask = REFUSED.with(std::cell::Cell::get);
            mask >> node & 1 == 0 && (node < 6 || node % 3 > 0)
        };
        fleet.publish(false);
        let refused = fleet.run(9_000);
        assert_eq!(refused, Vec::<usize>::new(), "of {count} VMs");
    }
}

thread_local! {
    static REFUSED: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

/// Guards against a process that counts a proof older than itself as made at its start, and against one that
/// refuses until it has made a proof of its own.
#[test]
fn a_restarted_vm_uses_proof_that_is_older_than_its_process() {
    let mut fleet = Fleet::running(6);
    for round in 0..20 {
        let index = round % 6;
        let now = fleet.now;
        fleet.flights.retain(|(_, _, to, _)| *to != index);
        fleet.nodes[index] = start_node(index, 6, now);
        // It gets the configuration from a peer, and does not read the store yet.
        fleet.nodes[index].next_call = now + 5_000;
        let stamp = fleet.board((index + 1) % 6).register.stamp();
        let text = fleet.text_of(stamp.revision);
        let source = RegisterSource::Peer("vm-9".into());
        fleet.send(index, &Event::RegisterOffered { stamp, text, source });
        fleet.run(100);
        assert!(
            fleet.may_send(index),
            "vm-{index} has no proof 100 ms after its start"
        );
        // In 4.4 s after an acknowledgement no proof from before it may be left.
        fleet.publish(false);
        fleet.run(1_000 + round as u64 * 37);
    }
}

/// Guards against a proof for a configuration that skipped a version, whose removed keys this VM still accepts.
#[test]
fn a_vm_that_skipped_a_version_proves_nothing_by_itself() {
    let mut fleet = Fleet::running(1);
    fleet.can_read = |_, now| !(106_000..112_000).contains(&now);
    fleet.publish(false);
    fleet.publish(true);
    // The VM reads everything anew, and finds only the latest version, which it refuses.
    fleet.nodes[0].cursor = None;
    fleet.nodes[0].call = None;
    fleet.run(10_000);
    assert_eq!(fleet.board(0).register.revision, 1);
    assert!(!fleet.may_send(0));
    fleet.publish(false);
    fleet.run(2_000);
    assert!(fleet.may_send(0), "a later version that is in force ends the gap");
}

/// Guards against costs that grow with the fleet: calls to the store and messages for each VM.
#[test]
fn proof_costs_few_calls_and_messages() {
    const SPAN_MS: u64 = 20_000;
    for count in [12, 104] {
        let mut fleet = Fleet::running(count);
        let slotted = fleet.nodes.iter().filter(|node| {
            let pace = node.core.board.register.watch_pace;
            pace == WatchPace::Slotted
        });
        assert_eq!(
            slotted.count(),
            count - 3,
            "other VMs than three watch for a short time"
        );
        (fleet.store_calls, fleet.messages) = (0, 0);
        assert_eq!(fleet.run(SPAN_MS), Vec::<usize>::new());
        let per_second = |number: usize| number as f64 * 1_000.0 / SPAN_MS as f64;
        let (calls, messages) = (per_second(fleet.store_calls), per_second(fleet.messages));
        println!("vms={count} store_calls_per_s={calls:.2} messages_per_s={messages:.1}");
        // Three provers make 1.4 calls a second each, and all watches in time slots make 6.
        assert!(
            calls <= 3.0 * 1.45 + 9.0,
            "{count} VMs make {calls} calls a second"
        );
        assert!(
            messages <= count as f64 * 3.2,
            "{count} VMs send {messages} messages a second"
        );
    }
}

/// Guards against a slow store that all VMs begin to read, which makes it slower.
#[test]
fn a_slow_store_makes_nobody_refuse_or_read_for_itself() {
    let mut fleet = Fleet::running(104);
    fleet.store_ms = 300;
    fleet.run(5_000);
    (fleet.store_calls, fleet.messages) = (0, 0);
    assert_eq!(fleet.run(10_000), Vec::<usize>::new());
    let (calls, messages) = (fleet.store_calls / 10, fleet.messages / 10);
    println!("slow store: store_calls_per_s={calls} messages_per_s={messages}");
    assert!(calls <= 15, "104 VMs make {calls} calls a second");
}

/// Guards against readings that are taken for proof though the store is behind the configuration in force.
#[test]
fn a_store_that_is_behind_proves_nothing() {
    let mut fleet = Fleet::running(1);
    fleet.can_read = |_, _| false;
    fleet.run(5_000);
    assert!(!fleet.may_send(0));
    let stamp = RegisterStamp {
        revision: 9,
        written: StorePosition::without_era(9),
    };
    let source = RegisterSource::Peer(Arc::from("vm-9"));
    let text = RegisterText::from("version 9");
    fleet.send(0, &Event::RegisterOffered { stamp, text, source });
    let clock = fleet.clock(0);
    let reading = |revision: u64, after_ms: u64| RegisterReading {
        began_at: clock.after_ms(after_ms),
        newest: ReadContent::Nothing,
        is_continuous: true,
        store_position: StorePosition::without_era(revision),
    };
    fleet.send(0, &Event::RegisterRead(reading(8, 0)));
    assert!(!fleet.may_send(0), "an outdated read proves the configuration");
    fleet.send(0, &Event::RegisterRead(reading(12, 0)));
    assert!(fleet.may_send(0));
    fleet.send(0, &Event::RegisterRead(reading(11, 1_000)));
    let until = fleet.board(0).register.proved_until;
    assert_eq!(
        until,
        Some(clock.after_ms(REVOKE_MS - 500)),
        "a read that is behind an earlier one counts"
    );
}

/// Guards against proof by a copy that lacks a version in which a key is removed, and against proof that waits for the
/// revisions of the era before.
#[test]
fn a_copy_proves_nothing_until_the_configuration_is_written_again_or_the_time_is_over() {
    /// How long the operator may take to write again what the copy lacks, in milliseconds.
    const REWRITE_MS: u64 = 2_500;
    let known = StorePosition::new(StoreEra::new(1), 900);
    let copied = |revision| StorePosition::new(StoreEra::new(2), revision);
    for is_rewritten in [false, true] {
        let mut fleet = Fleet::new(1);
        let offer = |fleet: &mut Fleet, written: StorePosition| {
            let stamp = RegisterStamp { revision: 9, written };
            let (text, source) = ("version 9".into(), RegisterSource::Service);
            fleet.send(0, &Event::RegisterOffered { stamp, text, source });
            ReadContent::Offered(stamp)
        };
        let read = |fleet: &mut Fleet, newest, is_continuous, store_position| {
            let reading = RegisterReading {
                began_at: fleet.clock(0),
                newest,
                is_continuous,
                store_position,
            };
            fleet.send(0, &Event::RegisterRead(reading));
            fleet.board(0).register.proved_until
        };
        let newest = offer(&mut fleet, known);
        let proved = read(&mut fleet, newest, false, known);
        fleet.now += 1_000;
        let newest = offer(&mut fleet, copied(500));
        assert_eq!(
            read(&mut fleet, newest, false, copied(510)),
            proved,
            "by the copy"
        );
        fleet.now += 500;
        assert_eq!(read(&mut fleet, ReadContent::Nothing, true, copied(511)), proved);
        if is_rewritten {
            let newest = offer(&mut fleet, copied(512));
            assert!(
                read(&mut fleet, newest, true, copied(512)) > proved,
                "it was written again"
            );
            continue;
        }
        fleet.now += REWRITE_MS - 500;
        assert!(read(&mut fleet, ReadContent::Nothing, true, copied(512)) > proved);
    }
}
