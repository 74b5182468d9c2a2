//! A simulated fleet: the control cores of many nodes, with links, message loss, partitions, kills and
//! freezes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dotterelspan::blackboard::{DrainFacts, OwnIdentity};
use dotterelspan::controllers::discovery::{DiscoveryController, ReplicaUpdate};
use dotterelspan::controllers::member_count::MemberCountController;
use dotterelspan::controllers::membership::MembershipController;
use dotterelspan::controllers::message::{PeerMessage, VmIntroduction};
use dotterelspan::controllers::ownership::find_owner;
use dotterelspan::controllers::quarantine::QuarantineController;
use dotterelspan::controllers::quotas::{QuotaController, QuotaTolerance};
use dotterelspan::controllers::rate_limits::RateLimitController;
use dotterelspan::controllers::readers::reads_store;
use dotterelspan::controllers::revision::RevisionController;
use dotterelspan::controllers::store_era::EraController;
use dotterelspan::controllers::{ControlCore, Reply};
use dotterelspan::peers::{PeerFrame, to_frame, to_message};
use dotterelspan::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::store_watch::{StoreCall, WatchedStore, step_watch, text_of};

/// The step of the simulation, in which each node gets a tick, in milliseconds.
const STEP_MS: u64 = 50;

/// The interval at which a node without links connects to its seed, in milliseconds.
const SEED_INTERVAL_MS: u64 = 250;

/// The most engines that one node schedules.
const GROUP_SIZE: usize = 96;

/// The start of the simulation, on the fleet's clock.
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
    /// When this process started, on the fleet's clock.
    started_at: Moment,
    has_store: bool,
    call: StoreCall,
}

struct Flight {
    from: usize,
    incarnation: u128,
    to: usize,
    /// The message as encoded for the link, since each process has its own clock.
    frame: PeerFrame,
}

/// The nodes, the links between them and the messages in flight.
pub struct SimulatedFleet {
    nodes: Vec<SimulatedNode>,
    now: Moment,
    last_incarnation: u128,
    links: BTreeSet<(usize, usize)>,
    /// Links that are open at both ends and carry nothing; a new link takes their place once one end resets them.
    silent_links: BTreeSet<(usize, usize)>,
    flights: Vec<Flight>,
    is_cut: Box<dyn Fn(usize, usize) -> bool>,
    lost_percent: u32,
    random: StdRng,
    /// List entries in all delivered messages.
    entries_sent: usize,
    /// Introductions in delivered messages, by the node that sent them.
    introductions_sent: Vec<usize>,
    /// Replies to waiting tasks, with the nodes that gave them.
    replies: Vec<(usize, ReplyTicket, Reply)>,
    /// The configuration in the store.
    pub watched: WatchedStore,
    /// Whether the nodes watch the configuration.
    is_watching: bool,
    /// The register that started nodes have.
    register: Arc<Register>,
    /// Number and bytes of delivered messages about quotas.
    quota_traffic: (usize, usize),
}

/// The tolerance of quotas on all nodes.
pub const QUOTA_TOLERANCE: QuotaTolerance = QuotaTolerance {
    overshoot: 0.25,
    slack: 190_000.0,
};

fn name_of(index: usize) -> String {
    format!("vm-{index}")
}

fn start_node(index: usize, start: u128, now: Moment, register: &Arc<Register>) -> SimulatedNode {
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
    // Nodes start with a configuration, so that none reads the store only to get one.
    board.register.revision = 1;
    board.register.register = register.clone();
    board.is_seed = index == 0;
    board.other_seed_count = usize::from(index > 0);
    let core = ControlCore::new(
        board,
        vec![
            Box::new(MembershipController::default()),
            Box::new(MemberCountController::default()),
            Box::new(RevisionController::new(|_| Ok(Register::default()), 0)),
            Box::new(EraController),
            Box::new(DiscoveryController::default()),
            Box::new(QuarantineController::default()),
            Box::new(RateLimitController::new(GROUP_SIZE)),
            Box::new(QuotaController::new(QUOTA_TOLERANCE, now == START)),
        ],
    );
    SimulatedNode {
        core,
        state: NodeState::Runs,
        started_at: now,
        has_store: true,
        call: StoreCall::Paused(now),
    }
}

impl SimulatedFleet {
    /// Starts `count` nodes, of which the first is the seed of all others.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now: START,
            last_incarnation: 0,
            links: BTreeSet::new(),
            silent_links: BTreeSet::new(),
            flights: Vec::new(),
            is_cut: Box::new(|_, _| false),
            lost_percent: 0,
            random: StdRng::seed_from_u64(seed),
            entries_sent: 0,
            introductions_sent: vec![0; count],
            replies: Vec::new(),
            watched: WatchedStore::default(),
            is_watching: false,
            register: Arc::default(),
            quota_traffic: (0, 0),
        };
        for index in 0..count {
            fleet.last_incarnation += 1;
            fleet.nodes.push(start_node(
                index,
                fleet.last_incarnation,
                START,
                &fleet.register.clone(),
            ));
        }
        fleet
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].state = NodeState::Dead;
        self.end_links(index);
    }

    /// Kills a node's process, if it runs, and starts another in its place.
    pub fn restart(&mut self, index: usize) {
        self.kill(index);
        self.last_incarnation += 1;
        self.nodes[index] = start_node(index, self.last_incarnation, self.now, &self.register);
    }

    /// Restarts all nodes that don't run, and returns which.
    pub fn restart_stopped(&mut self) -> Vec<usize> {
        let stopped: Vec<usize> = (0..self.nodes.len())
            .filter(|index| !self.is_running(*index))
            .collect();
        stopped.iter().for_each(|index| self.restart(*index));
        stopped
    }

    /// The owner of a key, in the view of the first running node.
    pub fn owner_of(&self, key: &str) -> usize {
        let observer = (0..self.nodes.len()).find(|index| self.is_running(*index));
        let observer = observer.expect("a running node");
        let owner = find_owner(key, self.board(observer), self.clock_of(observer));
        let number = owner.strip_prefix("vm-").and_then(|number| number.parse().ok());
        number.expect("nodes have numbers")
    }

    /// Lets this share of the open links go silent for good, in both directions.
    pub fn silence_links(&mut self, percent: u32) {
        let pairs = self.links.iter().filter(|(from, to)| from < to);
        for (from, to) in pairs.copied().collect::<Vec<_>>() {
            if self.random.random_range(0..100) < percent {
                self.silent_links.extend([(from, to), (to, from)]);
            }
        }
    }

    /// Lets a node drain, which its heartbeats then say.
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

    /// Partitions the fleet: messages from a node to another are dropped where the function is true.
    pub fn cut(&mut self, is_cut: impl Fn(usize, usize) -> bool + 'static) {
        self.is_cut = Box::new(is_cut);
    }

    pub fn lose_percent(&mut self, percent: u32) {
        self.lost_percent = percent;
    }

    /// Makes the store unreachable for a node, which learns that at once.
    pub fn lose_store(&mut self, index: usize) {
        self.nodes[index].has_store = false;
        self.handle_event(index, &Event::ListReachable { is_reachable: false });
    }

    /// Gives all nodes a version of the configuration, which they watch from now on.
    pub fn follow_configuration(&mut self, version: Revision) {
        self.is_watching = true;
        self.watched.version = version;
        for node in &mut self.nodes {
            node.core.board.register.revision = version;
            node.core.board.register.text = text_of(version);
        }
    }

    /// Puts a register in force on one node.
    pub fn set_register(&mut self, index: usize, register: &Arc<Register>) {
        self.nodes[index].core.board.register.register = register.clone();
    }

    /// Puts a register in force on all nodes, and on those that start later.
    pub fn set_registers(&mut self, register: &Arc<Register>) {
        self.register = register.clone();
        (0..self.nodes.len()).for_each(|index| self.set_register(index, register));
    }

    /// Number and bytes of the messages about quotas delivered so far.
    pub fn quota_traffic(&self) -> (usize, usize) {
        self.quota_traffic
    }

    /// Leaves a node's calls to the store, open and new, without answers.
    pub fn silence_store(&mut self, index: usize) {
        self.nodes[index].has_store = false;
    }

    /// Leaves all open watches without answers; new calls are answered.
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

    /// Lets a node read the list from the store.
    pub fn read(&mut self, index: usize, update: ReplicaUpdate) {
        self.handle_event(index, &Event::ListReachable { is_reachable: true });
        let store_position = update.position;
        self.read_at(index, update, store_position);
    }

    /// Lets a node read the list from a store whose own position is later than the latest entry's.
    pub fn read_at(&mut self, index: usize, update: ReplicaUpdate, store_position: StorePosition) {
        self.handle_event(
            index,
            &Event::ReplicasRead {
                update,
                store_position,
            },
        );
    }

    /// Lets a node find another replica at a replica's address.
    pub fn drop_replica(&mut self, index: usize, id: &str) {
        self.handle_event(index, &Event::ReplicaReplaced { replica: id.into() });
    }

    /// Lets all nodes read the list.
    pub fn read_all(&mut self, update: ReplicaUpdate) {
        for index in 0..self.nodes.len() {
            self.read(index, update.clone());
        }
    }

    /// Gives a node an event, and delivers all messages that follow from it.
    pub fn send_event(&mut self, index: usize, event: &Event) {
        self.handle_event(index, event);
        self.deliver_all();
    }

    /// Replies to waiting tasks since the last call of this function.
    pub fn take_replies(&mut self) -> Vec<(usize, ReplyTicket, Reply)> {
        std::mem::take(&mut self.replies)
    }

    /// The time on the fleet's clock.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// The number of nodes, in any state.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether a node's process runs and is not frozen.
    pub fn is_running(&self, index: usize) -> bool {
        self.nodes[index].state == NodeState::Runs
    }

    /// The incarnation of a node's latest process.
    pub fn incarnation(&self, index: usize) -> u128 {
        self.nodes[index].core.board.own.incarnation
    }

    /// The time on a node's own clock.
    pub fn clock_of(&self, index: usize) -> Moment {
        self.node_clock(&self.nodes[index])
    }

    /// List entries in all messages delivered so far.
    pub fn entries_sent(&self) -> usize {
        self.entries_sent
    }

    /// Introductions in messages delivered so far, by the node that sent them.
    pub fn introductions_sent(&self) -> &[usize] {
        &self.introductions_sent
    }

    pub fn board(&self, index: usize) -> &Blackboard {
        &self.nodes[index].core.board
    }

    /// The running nodes that read the store now.
    pub fn readers(&self) -> Vec<usize> {
        let is_reader = |node: &SimulatedNode| {
            node.state == NodeState::Runs && reads_store(&node.core.board, self.node_clock(node))
        };
        (0..self.nodes.len())
            .filter(|index| is_reader(&self.nodes[*index]))
            .collect()
    }

    /// The first running node whose view differs from the set of running nodes, with the peers that it
    /// believes alive.
    pub fn disagreement(&self) -> Option<(usize, Vec<String>)> {
        let runs: Vec<usize> = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].state == NodeState::Runs)
            .collect();
        runs.iter().find_map(|index| {
            let node = &self.nodes[*index];
            let mut believed: Vec<String> = node
                .core
                .board
                .live_peers(self.node_clock(node))
                .map(|vm| vm.name.to_string())
                .collect();
            let mut running: Vec<String> = runs
                .iter()
                .filter(|other| *other != index)
                .map(|other| name_of(*other))
                .collect();
            believed.sort_unstable();
            running.sort_unstable();
            (believed != running).then_some((*index, believed))
        })
    }

    /// The time on a node's own clock, which starts with its process.
    fn node_clock(&self, node: &SimulatedNode) -> Moment {
        Moment(self.now.0 - node.started_at.0)
    }

    pub fn run_ms(&mut self, span_ms: u64) {
        let end = self.now.after_ms(span_ms);
        while self.now < end {
            self.now = self.now.after_ms(STEP_MS);
            for index in 0..self.nodes.len() {
                self.connect_to_seed(index);
                self.handle_event(index, &Event::Tick { active_requests: 0 });
            }
            let readers = self.readers();
            for index in readers {
                let is_reachable = self.nodes[index].has_store;
                self.handle_event(index, &Event::ListReachable { is_reachable });
            }
            self.deliver_all();
            if self.is_watching {
                (0..self.nodes.len()).for_each(|index| step_watch(self, index));
            }
        }
    }

    fn connect_to_seed(&mut self, index: usize) {
        let is_due = self.node_clock(&self.nodes[index]).0 % SEED_INTERVAL_MS == STEP_MS;
        let has_no_links = self.links.range((index, 0)..(index + 1, 0)).next().is_none();
        if index > 0 && is_due && has_no_links && self.can_link(index, 0) {
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
        self.handle_event(to, &Event::PeerJoined { introduction: own });
        self.handle_event(from, &Event::PeerJoined { introduction: other });
    }

    fn end_links(&mut self, index: usize) {
        let ended: Vec<usize> = self
            .links
            .iter()
            .filter(|(from, _)| *from == index)
            .map(|(_, to)| *to)
            .collect();
        for other in ended {
            for link in [(index, other), (other, index)] {
                self.links.remove(&link);
                self.silent_links.remove(&link);
            }
            self.handle_event(
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

    /// Gives a running node an event, and queues the messages that it sends.
    fn handle_event(&mut self, index: usize, event: &Event) {
        if self.nodes[index].state != NodeState::Runs {
            return;
        }
        let now = self.node_clock(&self.nodes[index]);
        let incarnation = self.nodes[index].core.board.own.incarnation;
        for action in self.nodes[index].core.handle(event, now) {
            match action {
                Action::Send { to, message, .. } => {
                    let number = to.strip_prefix("vm-").and_then(|number| number.parse().ok());
                    self.flights.push(Flight {
                        from: index,
                        incarnation,
                        to: number.expect("node names end with a number"),
                        frame: to_frame(&message, now),
                    });
                }
                Action::Reply { ticket, reply } => self.replies.push((index, ticket, reply)),
                Action::ResetLink { vm } => {
                    let other: usize = vm
                        .strip_prefix("vm-")
                        .and_then(|number| number.parse().ok())
                        .expect("node names end with a number");
                    for link in [(index, other), (other, index)] {
                        self.links.remove(&link);
                        self.silent_links.remove(&link);
                    }
                }
                _ => {}
            }
        }
    }

    /// Delivers the messages in flight until no new ones are sent, for at most 20 rounds.
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
        let is_silent = self.silent_links.contains(&(from, to));
        if is_lost || is_silent || (self.is_cut)(from, to) || self.nodes[to].state == NodeState::Frozen {
            return;
        }
        let is_current = self.nodes[from].core.board.own.incarnation == flight.incarnation;
        if !is_current || self.nodes[from].state != NodeState::Runs {
            return;
        }
        if !self.links.contains(&(from, to)) {
            if self.nodes[to].state == NodeState::Dead {
                self.handle_event(
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
        let frame_bytes = prost::Message::encoded_len(&flight.frame);
        let message = to_message(flight.frame, now).expect("a frame from `to_frame` is valid");
        match &message {
            PeerMessage::ReplicasContent(update) => {
                self.entries_sent += update.present.len() + update.removed.len();
            }
            PeerMessage::QuotaRequest { .. }
            | PeerMessage::QuotaAnswer { .. }
            | PeerMessage::QuotaReturned { .. }
            | PeerMessage::QuotaHandedOver { .. } => {
                self.quota_traffic.0 += 1;
                self.quota_traffic.1 += frame_bytes;
            }
            PeerMessage::VmsKnown(introductions) => self.introductions_sent[from] += introductions.len(),
            _ => {}
        }
        let message = Event::PeerMessage {
            from: Arc::from(name_of(from)),
            incarnation: flight.incarnation,
            message,
        };
        self.handle_event(to, &message);
    }
}
