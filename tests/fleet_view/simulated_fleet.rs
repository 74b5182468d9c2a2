//! Control cores of many nodes, with links, losses, cuts, kills and freezes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dotterelspan::blackboard::{DrainFacts, OwnIdentity};
use dotterelspan::controllers::census::CensusController;
use dotterelspan::controllers::discovery::{DiscoveryController, ReplicaUpdate};
use dotterelspan::controllers::membership::MembershipController;
use dotterelspan::controllers::message::{PeerMessage, VmIntroduction};
use dotterelspan::controllers::quarantine::QuarantineController;
use dotterelspan::controllers::rate_limits::RateLimitController;
use dotterelspan::controllers::readers::reads_store;
use dotterelspan::controllers::revision::RevisionController;
use dotterelspan::controllers::{ControlCore, Reply};
use dotterelspan::peers::{PeerFrame, to_frame, to_message};
use dotterelspan::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::store_watch::{StoreCall, WatchedStore, step_watch, text_of};

/// The time between two looks at all nodes, in milliseconds.
const STEP_MS: u64 = 50;

/// How often a node looks for its seed while it knows nobody, in milliseconds.
const SEED_EVERY_MS: u64 = 250;

/// The most engines that one node schedules.
const GROUP_SIZE: usize = 96;

/// When the fleet begins, on its clock.
const START: Moment = Moment(1_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeState {
    Runs,
    Frozen,
    Dead,
}

struct SimulatedNode {
    core: ControlCore,
    state: NodeState,
    /// When this process began, on the fleet's clock.
    began: Moment,
    has_store: bool,
    call: StoreCall,
}

struct Flight {
    from: usize,
    incarnation: u128,
    to: usize,
    /// The message as it goes over a link: each process has a clock of its own.
    frame: PeerFrame,
}

/// The nodes and what is between them.
pub struct SimulatedFleet {
    nodes: Vec<SimulatedNode>,
    now: Moment,
    starts: u128,
    links: BTreeSet<(usize, usize)>,
    flights: Vec<Flight>,
    is_cut: Box<dyn Fn(usize, usize) -> bool>,
    lost_percent: u32,
    random: StdRng,
    /// Entries of the list in messages that were delivered.
    entries_sent: usize,
    /// What other messages between nodes say of nodes, by the node that sent them.
    introductions_sent: Vec<usize>,
    /// Answers to waiting tasks, with the nodes that gave them.
    replies: Vec<(usize, ReplyTicket, Reply)>,
    /// The configuration in the store.
    pub watched: WatchedStore,
    /// Whether nodes watch the configuration.
    is_watching: bool,
}

fn name_of(index: usize) -> String {
    format!("vm-{index}")
}

fn start_node(index: usize, start: u128, now: Moment) -> SimulatedNode {
    let own = OwnIdentity {
        name: name_of(index).into(),
        zone: ["a", "b", "c"][index % 3].into(),
        caller_address: format!("caller-{index}").into(),
        peer_address: format!("peer-{index}").into(),
        incarnation: start,
        started_epoch_ms: now.0,
        millicores: 1_000,
    };
    let mut board = Blackboard::new(own);
    // A configuration is known, so that no node reads the store for that.
    board.register.revision = 1;
    board.is_seed = index == 0;
    board.other_seeds = usize::from(index > 0);
    let core = ControlCore::new(
        board,
        vec![
            Box::new(MembershipController::default()),
            Box::new(CensusController::default()),
            Box::new(RevisionController::new(|_| Ok(Register::default()), 0)),
            Box::new(DiscoveryController::default()),
            Box::new(QuarantineController::default()),
            Box::new(RateLimitController::new(GROUP_SIZE)),
        ],
    );
    SimulatedNode {
        core,
        state: NodeState::Runs,
        began: now,
        has_store: true,
        call: StoreCall::Paused(now),
    }
}

impl SimulatedFleet {
    /// Nodes that all know the first one as their seed.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now: START,
            starts: 0,
            links: BTreeSet::new(),
            flights: Vec::new(),
            is_cut: Box::new(|_, _| false),
            lost_percent: 0,
            random: StdRng::seed_from_u64(seed),
            entries_sent: 0,
            introductions_sent: vec![0; count],
            replies: Vec::new(),
            watched: WatchedStore::default(),
            is_watching: false,
        };
        for index in 0..count {
            fleet.starts += 1;
            fleet.nodes.push(start_node(index, fleet.starts, START));
        }
        fleet
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].state = NodeState::Dead;
        self.end_links(index);
    }

    /// Ends a node's process, where it runs, and starts another in its place.
    pub fn restart(&mut self, index: usize) {
        self.kill(index);
        self.starts += 1;
        self.nodes[index] = start_node(index, self.starts, self.now);
    }

    /// A node begins to say that it leaves.
    pub fn begin_leaving(&mut self, index: usize) {
        let now = self.clock_of(index);
        self.nodes[index].core.board.drain = Some(DrainFacts {
            accept_until: now,
            exit_at: now.after_ms(60_000),
            handoff_at: None,
        });
    }

    pub fn freeze(&mut self, index: usize) {
        if self.nodes[index].state == NodeState::Runs {
            self.nodes[index].state = NodeState::Frozen;
        }
    }

    pub fn thaw(&mut self, index: usize) {
        if self.nodes[index].state == NodeState::Frozen {
            self.nodes[index].state = NodeState::Runs;
        }
    }

    /// Drops messages from one node to another.
    pub fn cut(&mut self, is_cut: impl Fn(usize, usize) -> bool + 'static) {
        self.is_cut = Box::new(is_cut);
    }

    pub fn lose_percent(&mut self, percent: u32) {
        self.lost_percent = percent;
    }

    /// Makes the store unreachable for a node.
    pub fn lose_store(&mut self, index: usize) {
        self.nodes[index].has_store = false;
        self.event(index, &Event::ListReachable { is_reachable: false });
    }

    /// Lets all nodes have a version of the configuration, and watch it from now on.
    pub fn follow_configuration(&mut self, version: Revision) {
        self.is_watching = true;
        self.watched.version = version;
        for node in &mut self.nodes {
            node.core.board.register.revision = version;
            node.core.board.register.text = text_of(version);
        }
    }

    /// Lets a node's calls to the store, open or new, bring nothing more.
    pub fn silence_store(&mut self, index: usize) {
        self.nodes[index].has_store = false;
    }

    /// Lets all open watches bring nothing more; new calls are answered.
    pub fn silence_watches(&mut self) {
        for node in &mut self.nodes {
            if let StoreCall::Waiting { is_silent, .. } = &mut node.call {
                *is_silent = true;
            }
        }
    }

    pub fn has_store(&self, index: usize) -> bool {
        self.nodes[index].has_store
    }

    pub fn call_of(&self, index: usize) -> StoreCall {
        self.nodes[index].call
    }

    pub fn set_call(&mut self, index: usize, call: StoreCall) {
        self.nodes[index].call = call;
    }

    pub fn random(&mut self) -> &mut StdRng {
        &mut self.random
    }

    /// A node reads the list.
    pub fn read(&mut self, index: usize, update: ReplicaUpdate) {
        self.event(index, &Event::ListReachable { is_reachable: true });
        let store_revision = update.revision;
        self.read_at(index, update, store_revision);
    }

    /// A node reads the list, of which the latest entry is older than the store's own state.
    pub fn read_at(&mut self, index: usize, update: ReplicaUpdate, store_revision: u64) {
        self.event(
            index,
            &Event::ReplicasRead {
                update,
                store_revision,
            },
        );
    }

    /// A node finds another replica at a replica's address.
    pub fn drop_replica(&mut self, index: usize, id: &str) {
        self.event(index, &Event::ReplicaReplaced { replica: id.into() });
    }

    /// All nodes read the list.
    pub fn read_all(&mut self, update: ReplicaUpdate) {
        for index in 0..self.nodes.len() {
            self.read(index, update.clone());
        }
    }

    /// A task of a node tells its controllers something; what follows goes its way.
    pub fn send_event(&mut self, index: usize, event: &Event) {
        self.event(index, event);
        self.deliver_all();
    }

    /// The answers to waiting tasks since this was last asked.
    pub fn take_replies(&mut self) -> Vec<(usize, ReplyTicket, Reply)> {
        std::mem::take(&mut self.replies)
    }

    /// The fleet's clock.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// How many nodes there are, in whatever state.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether a node's process runs and is not frozen.
    pub fn is_running(&self, index: usize) -> bool {
        self.nodes[index].state == NodeState::Runs
    }

    /// Which process of a node this is.
    pub fn incarnation(&self, index: usize) -> u128 {
        self.nodes[index].core.board.own.incarnation
    }

    /// A node's own clock.
    pub fn clock_of(&self, index: usize) -> Moment {
        self.clock(&self.nodes[index])
    }

    /// Entries of the list that nodes told each other so far.
    pub fn entries_sent(&self) -> usize {
        self.entries_sent
    }

    /// How often each node told others of a node so far.
    pub fn introductions_sent(&self) -> &[usize] {
        &self.introductions_sent
    }

    pub fn board(&self, index: usize) -> &Blackboard {
        &self.nodes[index].core.board
    }

    /// Nodes that read the store now. Those that do hear from it, as they would.
    pub fn readers(&self) -> Vec<usize> {
        let reads = |node: &SimulatedNode| {
            node.state == NodeState::Runs && reads_store(&node.core.board, self.clock(node))
        };
        (0..self.nodes.len())
            .filter(|index| reads(&self.nodes[*index]))
            .collect()
    }

    /// The first node whose view is not that of the nodes that run, with what it takes for alive.
    pub fn disagreement(&self) -> Option<(usize, Vec<String>)> {
        let runs: Vec<usize> = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].state == NodeState::Runs)
            .collect();
        runs.iter().find_map(|index| {
            let node = &self.nodes[*index];
            let mut seen: Vec<String> = node
                .core
                .board
                .live_peers(self.clock(node))
                .map(|vm| vm.name.to_string())
                .collect();
            let mut real: Vec<String> = runs
                .iter()
                .filter(|other| *other != index)
                .map(|other| name_of(*other))
                .collect();
            seen.sort_unstable();
            real.sort_unstable();
            (seen != real).then_some((*index, seen))
        })
    }

    /// A node's own clock, which begins with its process.
    fn clock(&self, node: &SimulatedNode) -> Moment {
        Moment(self.now.0 - node.began.0)
    }

    pub fn run_ms(&mut self, span_ms: u64) {
        let end = self.now.after_ms(span_ms);
        while self.now < end {
            self.now = self.now.after_ms(STEP_MS);
            for index in 0..self.nodes.len() {
                self.seek_seed(index);
                self.event(index, &Event::Tick { active_requests: 0 });
            }
            let readers = self.readers();
            for index in readers {
                let is_reachable = self.nodes[index].has_store;
                self.event(index, &Event::ListReachable { is_reachable });
            }
            self.deliver_all();
            if self.is_watching {
                (0..self.nodes.len()).for_each(|index| step_watch(self, index));
            }
        }
    }

    fn seek_seed(&mut self, index: usize) {
        let is_due = self.clock(&self.nodes[index]).0 % SEED_EVERY_MS == STEP_MS;
        let is_alone = self.links.range((index, 0)..(index + 1, 0)).next().is_none();
        if index > 0 && is_due && is_alone && self.can_link(index, 0) {
            self.link(index, 0);
        }
    }

    fn can_link(&self, from: usize, to: usize) -> bool {
        let runs = |index: usize| self.nodes[index].state == NodeState::Runs;
        runs(from) && runs(to) && !(self.is_cut)(from, to) && !(self.is_cut)(to, from)
    }

    fn link(&mut self, from: usize, to: usize) {
        self.links.insert((from, to));
        self.links.insert((to, from));
        let (own, other) = (self.introduction(from), self.introduction(to));
        self.event(to, &Event::PeerJoined { introduction: own });
        self.event(from, &Event::PeerJoined { introduction: other });
    }

    fn end_links(&mut self, index: usize) {
        let ended: Vec<usize> = self
            .links
            .iter()
            .filter(|(from, _)| *from == index)
            .map(|(_, to)| *to)
            .collect();
        for other in ended {
            self.links.remove(&(index, other));
            self.links.remove(&(other, index));
            self.event(
                other,
                &Event::LinkLost {
                    vm: name_of(index).into(),
                },
            );
        }
    }

    fn introduction(&self, index: usize) -> VmIntroduction {
        self.nodes[index].core.board.introduction()
    }

    /// Gives a running node an event, and takes what it sends.
    fn event(&mut self, index: usize, event: &Event) {
        if self.nodes[index].state != NodeState::Runs {
            return;
        }
        let now = self.clock(&self.nodes[index]);
        let incarnation = self.nodes[index].core.board.own.incarnation;
        for action in self.nodes[index].core.handle(event, now) {
            match action {
                Action::Send { to, message, .. } => {
                    let number = to.strip_prefix("vm-").and_then(|number| number.parse().ok());
                    self.flights.push(Flight {
                        from: index,
                        incarnation,
                        to: number.expect("nodes have numbers"),
                        frame: to_frame(&message, now),
                    });
                }
                Action::Reply { ticket, reply } => self.replies.push((index, ticket, reply)),
                Action::ResetLink { vm } => {
                    let other: usize = vm
                        .strip_prefix("vm-")
                        .and_then(|number| number.parse().ok())
                        .expect("a number");
                    self.links.remove(&(index, other));
                    self.links.remove(&(other, index));
                }
                _ => {}
            }
        }
    }

    /// Delivers what is under way, until nothing new is sent.
    fn deliver_all(&mut self) {
        let mut rounds = 0;
        while !self.flights.is_empty() && rounds < 20 {
            rounds += 1;
            let flights = std::mem::take(&mut self.flights);
            let mut by_pair: BTreeMap<(usize, usize), Vec<Flight>> = BTreeMap::new();
            for flight in flights {
                by_pair.entry((flight.from, flight.to)).or_default().push(flight);
            }
            for ((from, to), flights) in by_pair {
                for flight in flights {
                    self.deliver(from, to, flight);
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, flight: Flight) {
        let is_lost = self.random.random_range(0..100) < self.lost_percent;
        if is_lost || (self.is_cut)(from, to) || self.nodes[to].state == NodeState::Frozen {
            return;
        }
        let is_current = self.nodes[from].core.board.own.incarnation == flight.incarnation;
        if !is_current || self.nodes[from].state != NodeState::Runs {
            return;
        }
        if !self.links.contains(&(from, to)) {
            if self.nodes[to].state == NodeState::Dead {
                self.event(
                    from,
                    &Event::PeerUnreachable {
                        vm: name_of(to).into(),
                    },
                );
                return;
            }
            if !self.can_link(from, to) {
                return;
            }
            self.link(from, to);
        }
        let now = self.clock_of(to);
        let message = to_message(flight.frame, now).expect("a frame of our own");
        match &message {
            PeerMessage::ReplicasContent(update) => {
                self.entries_sent += update.present.len() + update.removed.len();
            }
            PeerMessage::VmsKnown(introductions) => self.introductions_sent[from] += introductions.len(),
            _ => {}
        }
        let message = Event::PeerMessage {
            from: Arc::from(name_of(from)),
            incarnation: flight.incarnation,
            message,
        };
        self.event(to, &message);
    }
}
