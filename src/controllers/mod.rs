//! The decision logic: state machines that take an event and the present instant and give actions.
//!
//! Nothing here does input or output or reads a clock, so each part can be embedded, replayed and tested alone.

pub mod census;
pub mod comparison;
pub mod discovery;
pub mod dispatch;
pub mod drain;
pub mod event;
pub mod hedging;
pub mod idempotency;
pub mod membership;
pub mod message;
pub mod owner_watch;
pub mod ownership;
pub mod quarantine;
pub mod rate_limits;
pub mod readers;
pub mod reaping;
pub mod rebalance;
pub mod rendezvous;
pub mod resolve;
pub mod retry_budget;
pub mod revision;
pub mod ring;
pub mod services;
pub mod slots;

use std::sync::Arc;

pub use event::{Event, EventKind, RegisterSource};

use crate::blackboard::ReplicaId;
use crate::prelude::*;
use drain::DrainController;
use idempotency::IdempotencyController;
use membership::MembershipController;
use message::{KeyCall, PeerMessage};
use quarantine::QuarantineController;
use revision::RevisionController;
use services::ServiceController;
use slots::{PlacementGrant, PlacementPolicy, SlotController};

/// Names a waiting task of the traffic side, so that a reply finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReplyTicket(pub u64);

/// The answer to a waiting task.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Upstreams for a generation.
    Placed(PlacementGrant),
    /// A replica of a plain service.
    Replica(Arc<str>),
    /// A new idempotency key.
    Key(idempotency::IssuedKey),
    /// The claimant is to run the call now.
    Start,
    /// The call has run; this was its answer.
    Answer(idempotency::StoredAnswer),
    /// The key was revoked.
    Revoked,
    /// What was told is noted, and the view of the board shows it.
    Noted,
    /// A request under which upstreams ended may run.
    TrialGranted {
        /// How far it is suspected.
        level: u32,
    },
    /// A request may go to a replica that names a limit.
    Permitted(rate_limits::PermitGrant),
    /// None may go there in time.
    PermitRefused {
        /// When it makes sense to ask again.
        ask_again_at: Moment,
    },
    /// A refusal.
    Refused(RefusalNotice),
}

/// Something to be done outside.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer a waiting task.
    Reply {
        /// Which.
        ticket: ReplyTicket,
        /// The answer.
        reply: Reply,
    },
    /// Send a message to a peer.
    Send {
        /// Its name.
        to: VmName,
        /// Where it listens.
        address: Arc<str>,
        /// The message.
        message: PeerMessage,
    },
    /// Close the link to a peer, so that the next message takes a new connection.
    ResetLink {
        /// Its name.
        vm: VmName,
    },
    /// Run a call that a peer forwarded.
    RunForwarded {
        /// The peer.
        from: VmName,
        /// The call.
        call: KeyCall,
    },
    /// Move an engine to the other pool.
    OrderRole(rebalance::RoleOrder),
    /// Ask a replica's health check, to hear whether it still names a limit.
    CheckHealth {
        /// Which replica.
        replica: ReplicaId,
    },
    /// Give the traffic side a new view of the board.
    Publish,
    /// Write what the process believes now to the log.
    Log(String),
    /// Write a step of a request to the log.
    LogStep(String),
    /// End the process.
    Exit,
}

/// One event's turn: the board, the present instant, and what is to be done.
pub struct Turn<'a> {
    /// The board.
    pub board: &'a mut Blackboard,
    /// The present instant.
    pub now: Moment,
    /// What is to be done.
    pub actions: Vec<Action>,
}

impl Turn<'_> {
    /// Answers a waiting task.
    pub fn reply(&mut self, ticket: ReplyTicket, reply: Reply) {
        self.actions.push(Action::Reply { ticket, reply });
    }

    /// Gives the traffic side a new view of the board.
    pub fn publish(&mut self) {
        self.actions.push(Action::Publish);
    }

    /// Writes what the process believes now to the log.
    pub fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }

    /// Writes a step of a request to the log.
    pub fn log_step(&mut self, line: String) {
        self.actions.push(Action::LogStep(line));
    }

    /// What this node says to show that it is alive.
    pub fn heartbeat(&self, wants_echo: bool) -> PeerMessage {
        PeerMessage::Heartbeat {
            stamp: self.board.register.stamp(),
            list_revision: self.board.list_revision,
            store_age_ms: self.board.store_read_at.until_ms(self.now),
            view: self.board.live_view(self.now).member_view,
            case_digest: self.board.case_digest,
            limit_digest: self.board.limit_digest,
            leaving: self.board.drain.is_some(),
            wants_echo,
        }
    }

    /// Sends a message to a VM that the board knows.
    pub fn send_to(&mut self, vm: &VmName, message: PeerMessage) {
        let Some(record) = self.board.vms.get(vm) else {
            return;
        };
        self.actions.push(Action::Send {
            to: vm.clone(),
            address: record.peer_address.clone(),
            message,
        });
    }

    /// Sends a message to the neighbors on the ring of live VMs; they pass on what they did not know.
    pub fn send_to_neighbors(&mut self, message: &PeerMessage) {
        for neighbor in self.board.live_view(self.now).neighbors.iter() {
            self.send_to(neighbor, message.clone());
        }
    }

    /// Sends a message to every second neighbor on the ring, which costs half as much and takes more steps around it.
    pub fn send_to_some_neighbors(&mut self, message: &PeerMessage) {
        for neighbor in self.board.live_view(self.now).neighbors.iter().step_by(2) {
            self.send_to(neighbor, message.clone());
        }
    }

    /// Sends a message to all VMs that are taken for alive; for rare events only.
    pub fn broadcast(&mut self, message: &PeerMessage) {
        for peer in self.board.live_peers(self.now) {
            self.actions.push(Action::Send {
                to: peer.name.clone(),
                address: peer.peer_address.clone(),
                message: message.clone(),
            });
        }
    }
}

/// A part of the decision logic.
pub trait Controller: Send {
    /// The kinds of events that it reacts to; it is given no others.
    fn hears(&self) -> &'static [EventKind];

    /// Takes one event.
    fn handle(&mut self, event: &Event, turn: &mut Turn<'_>);

    /// When it wants the next [`Event::Tick`], if nothing happens before; `None` where it waits for nothing.
    fn wake_at(&self, _board: &Blackboard, now: Moment) -> Option<Moment> {
        Some(now.after_ms(USUAL_TICK_MS))
    }
}

/// Time between two ticks of a controller that does not say when it wants the next one, in milliseconds.
const USUAL_TICK_MS: u64 = 50;

/// All controllers of a node over one board.
pub struct ControlCore {
    /// The board.
    pub board: Blackboard,
    controllers: Vec<Box<dyn Controller>>,
}

impl ControlCore {
    /// A core with the given parts, which see each event in this order.
    pub fn new(board: Blackboard, controllers: Vec<Box<dyn Controller>>) -> Self {
        Self { board, controllers }
    }

    /// A core with all parts of a node; `seed` is for choices at random.
    pub fn with_all_parts(board: Blackboard, policy: PlacementPolicy, group_size: usize, seed: u64) -> Self {
        let controllers: Vec<Box<dyn Controller>> = vec![
            Box::new(MembershipController::default()),
            Box::new(RevisionController::default()),
            Box::new(DrainController::default()),
            Box::new(QuarantineController::default()),
            Box::new(IdempotencyController::default()),
            Box::new(ServiceController::default()),
            Box::new(SlotController::new(policy, group_size, seed)),
        ];
        Self::new(board, controllers)
    }

    /// When the first controller wants the next tick.
    pub fn wake_at(&self, now: Moment) -> Option<Moment> {
        let wakes = self
            .controllers
            .iter()
            .filter_map(|part| part.wake_at(&self.board, now));
        wakes.min()
    }

    /// Lets every controller see the event.
    pub fn handle(&mut self, event: &Event, now: Moment) -> Vec<Action> {
        let mut turn = Turn {
            board: &mut self.board,
            now,
            actions: Vec::new(),
        };
        let kind = event.kind();
        for controller in &mut self.controllers {
            if controller.hears().contains(&kind) {
                controller.handle(event, &mut turn);
            }
        }
        turn.actions
    }

    /// The kinds of events that some part reacts to.
    pub fn hears(&self) -> FastSet<EventKind> {
        let kinds = self.controllers.iter().flat_map(|part| part.hears());
        kinds.copied().collect()
    }
}
