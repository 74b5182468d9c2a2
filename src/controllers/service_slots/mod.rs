//! Shared admission control for plain services: an owner for each service counts what all VMs have in flight at
//! its replicas and grants sends.
//!
//! A VM asks the service's owner for a slot before each send, unless it knows that the load is low. The owner
//! grants at most one request more than a replica has slots, so that requests wait in the owner's queue, where
//! their order is kept, and not in the replicas' queues. A VM that gets no answer in time sends as it would
//! without an owner, so that the loss of an owner costs a bounded wait and no request.

mod client;
mod ledger;
mod owner;
mod queue;
mod replica;

use std::sync::Arc;

pub use ledger::{SendKey, ServiceLedger, SlotDecision};

use client::PendingSlot;

use super::message::PeerMessage;
use super::owner_watch::OwnerWatch;
use crate::blackboard::{ReplicaId, ReplicaLoad};
use crate::prelude::*;

/// How long a VM waits for the owner's first answer, in milliseconds. It is less than half of the shortest
/// objective of a plain call.
pub const FIRST_ANSWER_LIMIT_MS: u64 = 60;

/// How long an owner may send a VM nothing while requests of that VM are queued there, in milliseconds: twice
/// the interval of the owner's notices and a stall of a small VM.
const QUEUE_SILENCE_MS: u64 = 500;

/// How long a VM asks the fallback owner after the owner left a request unanswered or the link to it was lost, in
/// milliseconds. Without it, each request would wait for [`FIRST_ANSWER_LIMIT_MS`] until the owner is considered
/// dead.
const SILENT_OWNER_PAUSE_MS: u64 = 250;

/// The suffix of the ownership keys for plain services' slots.
const KEY_SUFFIX: &str = "/slots";

/// The most loads in one request for a slot.
pub const MAX_LOADS: usize = 8;

/// A load that a replica reported, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The replica that reported it.
    pub replica: ReplicaId,
    /// The reported load.
    pub load: ReplicaLoad,
    /// When the answer with this load was received.
    pub reported_at: Moment,
}

/// A request for a slot to send one request to a replica of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendRequest {
    /// The service of the replicas.
    pub service: Arc<str>,
    /// The request's priority; lower values go first.
    pub rank: u32,
    /// Replicas that must not be granted.
    pub avoid: Vec<ReplicaId>,
    /// When the request should be answered to meet its route's latency objective; may have passed.
    pub objective: Moment,
    /// When the request must be answered. The grant expires then.
    pub deadline: Moment,
    /// Whether the request is refused unless a slot is free at once, as for a hedged send.
    pub is_immediate: bool,
    /// Loads reported to the sender that the owner does not know yet.
    pub loads: Vec<LoadReport>,
}

/// The owner's answer to a request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendVerdict {
    /// The request may be sent to a replica.
    Granted {
        /// The replica.
        replica: ReplicaId,
    },
    /// The request waits in the owner's queue. Repeated as long as it does.
    Queued,
    /// The request can't be answered before its deadline, or needs a slot at once and there is none.
    Refused {
        /// Delay after which the caller should retry, in milliseconds.
        retry_ms: u64,
    },
    /// The owner knows no replica that it may grant; the VM chooses alone.
    NoCandidate,
}

/// How a send ended, as far as the owner's view of the replica is concerned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SendEnd {
    /// The request was not sent, or was given up before it was granted.
    #[default]
    Unused,
    /// The replica answered after this many milliseconds.
    Answered(u64),
    /// The replica rejected the request without running it.
    Rejected,
    /// The replica was unreachable, or its answer broke off.
    Failed,
    /// The send was given up without an answer after this many milliseconds.
    Abandoned(u64),
    /// The send ended in a way that says nothing about the replica.
    Ended,
}

/// The end of a send, as reported to the owner that granted it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendRelease {
    /// How the send ended.
    pub end: SendEnd,
    /// The load that the replica reported with its answer; `None` if it reported none.
    pub load: Option<ReplicaLoad>,
}

/// What becomes of a request for a slot, as the waiting task is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotReply {
    /// The request may be sent to a replica.
    Granted {
        /// The replica.
        replica: ReplicaId,
        /// The VM that granted the slot.
        owner: VmName,
    },
    /// The request is refused.
    Refused {
        /// When the caller should retry.
        retry_at: Moment,
    },
    /// The VM chooses a replica alone: the owner did not answer in time or has no candidate.
    Unmanaged,
}

/// Asks owners for this VM's sends, and grants sends of the services that this VM owns.
#[derive(Default)]
pub struct ServiceSlotController {
    /// This VM's requests that wait for a slot, by number.
    pending: FastMap<u64, PendingSlot>,
    /// The owners of the slots that requests of this VM hold, by the requests' numbers.
    held: FastMap<u64, VmName>,
    owner_watch: OwnerWatch,
    /// When each owner with queued requests of this VM last sent a slot answer.
    heard_at: FastMap<VmName, Moment>,
    /// Until when owners that left a request unanswered, or whose links were lost, are not asked.
    silent_until: FastMap<VmName, Moment>,
    /// What this VM has granted as an owner, by service.
    ledgers: FastMap<Arc<str>, ServiceLedger>,
}

impl ServiceSlotController {
    fn handle_message(&mut self, from: &VmName, message: &PeerMessage, context: &mut ControlContext<'_>) {
        match message {
            PeerMessage::SendSlotRequest { number, request } => {
                self.answer_request((from.clone(), *number), request, context)
            }
            PeerMessage::SendSlotAnswer { number, verdict } => {
                self.handle_answer(from, *number, verdict, context)
            }
            PeerMessage::SendSlotReleased { number, release } => {
                self.take_release(&(from.clone(), *number), *release, context)
            }
            _ => {}
        }
    }
}

/// The ownership key of a plain service's slots.
pub fn service_key(service: &str) -> String {
    format!("{service}{KEY_SUFFIX}")
}

impl Controller for ServiceSlotController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[
            EventKind::Tick,
            EventKind::SendSlotWanted,
            EventKind::SendSlotDone,
            EventKind::PeerMessage,
            EventKind::LinkLost,
            EventKind::PeerUnreachable,
        ]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::Tick { .. } => {
                self.give_up_overdue(context);
                self.run_ledgers(context);
            }
            Event::SendSlotWanted { ticket, request } => self.request_slot(*ticket, request, context),
            Event::SendSlotDone { ticket, release } => self.release_slot(*ticket, *release, context),
            Event::PeerMessage { from, message, .. } => self.handle_message(from, message, context),
            Event::LinkLost { vm } | Event::PeerUnreachable { vm } => self.give_up_owner(vm, context),
            _ => {}
        }
    }

    fn wake_at(&self, _board: &Blackboard, now: Moment) -> Option<Moment> {
        let pending = self.pending.values().filter_map(|slot| self.give_up_at(slot));
        let ledgers = self.ledgers.values().filter_map(|ledger| ledger.wake_at(now));
        pending.chain(ledgers).min()
    }
}
