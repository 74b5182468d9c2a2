//! The decision logic: state machines that take an event and the current time and return actions.
//!
//! Nothing here does I/O or reads a clock, so each controller can be embedded, replayed and tested alone.

pub mod comparison;
pub mod discovery;
pub mod dispatch;
pub mod drain;
pub mod event;
pub mod hedging;
pub mod idempotency;
pub mod member_count;
pub mod membership;
pub mod message;
pub mod owner_tenure;
pub mod owner_watch;
pub mod ownership;
pub mod pace;
pub mod proof;
pub mod quarantine;
pub mod quotas;
pub mod rate_limits;
pub mod readers;
pub mod reaping;
pub mod rebalance;
pub mod rendezvous;
pub mod resolve;
pub mod retry_budget;
pub mod revision;
pub mod ring;
pub mod service_slots;
pub mod services;
pub mod slots;
pub mod store_era;

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

/// Identifies a waiting task of the traffic side, to which a reply is routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReplyTicket(pub u64);

/// The answer to a waiting task.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The upstreams that a generation was placed on.
    Placed(PlacementGrant),
    /// The name of the chosen replica of a plain service.
    Replica(Arc<str>),
    /// A newly issued idempotency key.
    Key(idempotency::IssuedKey),
    /// The idempotency key is claimed, and the claimant must run its call now.
    Start,
    /// The call has already run and had this answer.
    Answer(idempotency::StoredAnswer),
    /// The idempotency key was revoked; its call will not run.
    Revoked,
    /// The reported loss is recorded and visible in the published snapshot.
    Recorded,
    /// A request suspected of crashing upstreams may run as a trial.
    TrialGranted {
        /// Number of consecutive runs of the request during which an upstream crashed.
        crash_count: u32,
    },
    /// A request may be sent to a rate-limited replica.
    Permitted(rate_limits::PermitGrant),
    /// No permit is available by the time the request has to start.
    PermitRefused {
        /// The earliest time at which another request may succeed.
        retry_at: Moment,
    },
    /// Tokens of a workspace's quota are granted to a request.
    QuotaGranted(quotas::QuotaGrant),
    /// A workspace's quota is used up.
    QuotaRefused {
        /// When the caller should come back.
        retry_at: Moment,
    },
    /// No owner of the workspace's quota answered.
    QuotaUnavailable,
    /// What becomes of a request for a slot of a plain service.
    SendSlot(service_slots::SlotReply),
    /// The request is refused with this notice.
    Refused(RefusalNotice),
}

/// A side effect that the runtime carries out for the controllers.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer a waiting task.
    Reply {
        /// The task that waits.
        ticket: ReplyTicket,
        /// The answer for it.
        reply: Reply,
    },
    /// Send a message to a peer.
    Send {
        /// The peer's VM name.
        to: VmName,
        /// The address at which the peer accepts connections from peers.
        address: Arc<str>,
        /// The message to send.
        message: PeerMessage,
    },
    /// Close the link to a peer, so that the next message opens a new connection.
    ResetLink {
        /// The peer's VM name.
        vm: VmName,
    },
    /// Run a call that a peer forwarded.
    RunForwarded {
        /// The peer that waits for the answer.
        from: VmName,
        /// The call, whose key this process issued.
        call: KeyCall,
    },
    /// Move an engine to the other pool.
    OrderRole(rebalance::RoleOrder),
    /// Call a replica's health check to learn whether it still reports a rate limit.
    CheckHealth {
        /// The replica to check.
        replica: ReplicaId,
    },
    /// Publish a new snapshot of the board to the traffic side.
    Publish,
    /// Log a change in the process's state, at level warn.
    Log(String),
    /// Log a step of a request, at level info.
    LogStep(String),
    /// Terminate the process.
    Exit,
}

/// The state in which a controller handles one event: the board, the current time and the requested actions.
pub struct ControlContext<'a> {
    /// The state that all controllers share.
    pub board: &'a mut Blackboard,
    /// The time at which the event is handled; the same for all controllers.
    pub now: Moment,
    /// Side effects requested so far, in the order in which they are carried out.
    pub actions: Vec<Action>,
}

impl ControlContext<'_> {
    /// Answers a waiting task.
    pub fn reply(&mut self, ticket: ReplyTicket, reply: Reply) {
        self.actions.push(Action::Reply { ticket, reply });
    }

    /// Requests a new snapshot of the board for the traffic side.
    pub fn publish(&mut self) {
        self.actions.push(Action::Publish);
    }

    /// Logs a change in the process's state, at level warn.
    pub fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }

    /// Logs a step of a request, at level info.
    pub fn log_step(&mut self, line: String) {
        self.actions.push(Action::LogStep(line));
    }

    /// Builds this node's heartbeat; `wants_echo` asks the receiver for one in return.
    pub fn heartbeat(&self, wants_echo: bool) -> PeerMessage {
        PeerMessage::Heartbeat {
            stamp: self.board.register.stamp(),
            list_position: self.board.list_position,
            store_era: self.board.store_era.latest,
            store_age_ms: self.board.store_read_at.until_ms(self.now),
            view: self.board.live_view(self.now).member_view,
            case_digest: self.board.case_digest,
            limit_digest: self.board.limit_digest,
            leaving: self.board.drain.is_some(),
            wants_echo,
        }
    }

    /// Sends a message to a VM on the board; does nothing for an unknown VM.
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

    /// Sends a message to the neighbors on the ring of live VMs; they forward what is new to them.
    pub fn send_to_neighbors(&mut self, message: &PeerMessage) {
        for neighbor in self.board.live_view(self.now).neighbors.iter() {
            self.send_to(neighbor, message.clone());
        }
    }

    /// Sends a message to every second neighbor: half the traffic, but more steps to get around the ring.
    pub fn send_to_alternate_neighbors(&mut self, message: &PeerMessage) {
        for neighbor in self.board.live_view(self.now).neighbors.iter().step_by(2) {
            self.send_to(neighbor, message.clone());
        }
    }

    /// Sends a message to all live VMs; for rare events only, since the traffic grows with the fleet.
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

/// A state machine that makes one kind of decision.
pub trait Controller: Send {
    /// The kinds of events that the controller receives.
    fn subscriptions(&self) -> &'static [EventKind];

    /// Handles one event.
    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>);

    /// When the controller needs the next [`Event::Tick`] at the latest; `None` if it waits for nothing.
    fn wake_at(&self, _board: &Blackboard, now: Moment) -> Option<Moment> {
        Some(now.after_ms(DEFAULT_TICK_INTERVAL_MS))
    }
}

/// Time between two ticks of a controller that does not override [`Controller::wake_at`], in milliseconds.
const DEFAULT_TICK_INTERVAL_MS: u64 = 50;

/// All controllers of a node and the board that they share.
pub struct ControlCore {
    /// The state that all controllers share.
    pub board: Blackboard,
    controllers: Vec<Box<dyn Controller>>,
}

impl ControlCore {
    /// Creates a core with the given controllers, which handle each event in this order.
    pub fn new(board: Blackboard, controllers: Vec<Box<dyn Controller>>) -> Self {
        Self { board, controllers }
    }

    /// Creates a core with all controllers of an entry node; `seed` seeds the random choices.
    pub fn with_all_controllers(
        board: Blackboard,
        policy: PlacementPolicy,
        group_size: usize,
        seed: u64,
    ) -> Self {
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

    /// When the next tick is due for any controller; `None` if none needs one.
    pub fn wake_at(&self, now: Moment) -> Option<Moment> {
        let wakes = self
            .controllers
            .iter()
            .filter_map(|controller| controller.wake_at(&self.board, now));
        wakes.min()
    }

    /// Passes the event to its subscribers and returns the actions that they request.
    pub fn handle(&mut self, event: &Event, now: Moment) -> Vec<Action> {
        let mut context = ControlContext {
            board: &mut self.board,
            now,
            actions: Vec::new(),
        };
        let kind = event.kind();
        for controller in &mut self.controllers {
            if controller.subscriptions().contains(&kind) {
                controller.handle(event, &mut context);
            }
        }
        context.actions
    }

    /// The kinds of events that at least one controller receives.
    pub fn subscriptions(&self) -> FastSet<EventKind> {
        let kinds = self
            .controllers
            .iter()
            .flat_map(|controller| controller.subscriptions());
        kinds.copied().collect()
    }
}
