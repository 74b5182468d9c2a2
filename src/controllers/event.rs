//! What can happen: everything that controllers react to.

use std::sync::Arc;

use super::discovery::ReplicaUpdate;
use super::idempotency::{IdempotencyKey, KeyOutcome, KeyRequest, StoredAnswer};
use super::message::{KeyCall, PeerMessage, VmIntroduction};
use super::quarantine::{RunLoss, TrialNumber};
use super::rate_limits::{LimitRecord, PermitAsk, PermitGrant};
use super::services::{ServiceAsk, ServiceResult};
use super::slots::{EngineEnd, PlacementAsk, PlacementResult, RequestId};
use crate::blackboard::{Fingerprint, Incarnation, ReplicaId};
use crate::prelude::*;

/// Where an offered register came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterSource {
    /// The configuration service.
    Service,
    /// A peer.
    Peer(VmName),
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick {
        /// Requests that this node holds.
        active_requests: u64,
    },
    /// A register was read from the service or passed on by a peer.
    RegisterOffered {
        /// Its number, and when it was written.
        stamp: RegisterStamp,
        /// Its text.
        text: Arc<str>,
        /// Who offered it.
        source: RegisterSource,
    },
    /// What is published as the register names no revision, or can't be read at all.
    RegisterUnreadable {
        /// What is wrong with it.
        reason: String,
    },
    /// The configuration service answered that nothing newer is published.
    RegisterConfirmed {
        /// The newest revision that the service knows.
        revision: Revision,
    },
    /// The list of replicas was read, in whole or what changed.
    ReplicasRead {
        /// What became known.
        update: ReplicaUpdate,
        /// The store's own state as it was read; it only grows, also where the latest entry of the list was removed.
        store_revision: u64,
    },
    /// The list of replicas can be read, or no longer.
    ListReachable {
        /// Whether it can.
        is_reachable: bool,
    },
    /// The configuration service can be read by this node, or no longer.
    ConfigReachable {
        /// Whether it can.
        is_reachable: bool,
    },
    /// Another replica answers at a replica's address.
    ReplicaReplaced {
        /// The one that was expected.
        replica: ReplicaId,
    },
    /// A replica said in an answer that it is about to leave.
    ReplicaLeaving {
        /// Which.
        replica: ReplicaId,
        /// Its start, since a later one does not leave.
        started_epoch_ms: u64,
    },
    /// The VM list was read.
    VmsListed {
        /// All VMs on it.
        vms: Vec<VmRecord>,
    },
    /// A peer introduced itself on a new link.
    PeerJoined {
        /// What it says of itself.
        introduction: VmIntroduction,
    },
    /// A peer sent a message.
    PeerMessage {
        /// Its name.
        from: VmName,
        /// Its process.
        incarnation: Incarnation,
        /// The message.
        message: PeerMessage,
    },
    /// A link that had carried messages ended, and not because it was idle.
    LinkLost {
        /// The VM at its other end.
        vm: VmName,
    },
    /// A message could not be delivered.
    PeerUnreachable {
        /// The VM it was for.
        vm: VmName,
    },
    /// A generation needs upstreams.
    PlacementWanted {
        /// Who waits.
        ticket: ReplyTicket,
        /// What it needs.
        ask: PlacementAsk,
    },
    /// The prefill of a placed generation ended, so its engine is free for the next.
    PrefillDone {
        /// Which request.
        request: RequestId,
        /// How the engine behaved.
        end: EngineEnd,
    },
    /// A placed generation ended, or one that waited for a place was given up.
    PlacementDone {
        /// Which request.
        request: RequestId,
        /// How it went.
        result: PlacementResult,
    },
    /// A call needs a replica of a plain service.
    ServiceWanted {
        /// Who waits.
        ticket: ReplyTicket,
        /// What it needs.
        ask: ServiceAsk,
    },
    /// A call to a plain service ended.
    ServiceDone {
        /// Which replica.
        replica: Arc<str>,
        /// How it went.
        result: ServiceResult,
    },
    /// An upstream reported its load.
    LoadReported {
        /// Which upstream.
        upstream: Arc<str>,
        /// Requests it holds.
        load: u32,
    },
    /// An answer of a replica says, or no longer says, which limit the replica names.
    LimitStated {
        /// What it says.
        record: LimitRecord,
    },
    /// A request wants to go to a replica that names a limit.
    PermitWanted {
        /// Who waits.
        ticket: ReplyTicket,
        /// Where it may go.
        ask: PermitAsk,
    },
    /// A permit was not used.
    PermitReturned {
        /// Which.
        grant: PermitGrant,
    },
    /// A run ended with the connection to its upstream.
    RequestLost {
        /// Who waits until it is noted.
        ticket: ReplyTicket,
        /// Which run.
        loss: RunLoss,
    },
    /// A request under which upstreams ended wants to run.
    TrialWanted {
        /// Who waits.
        ticket: ReplyTicket,
        /// The request's content.
        fingerprint: Fingerprint,
        /// When it must have been answered.
        deadline: Moment,
    },
    /// Such a run is over, or was given up before it began.
    TrialDone {
        /// The request's content.
        fingerprint: Fingerprint,
        /// Which run of this node.
        number: TrialNumber,
    },
    /// A request ran to its end.
    RequestCompleted {
        /// The request's content.
        fingerprint: Fingerprint,
    },
    /// A caller asks for an idempotency key.
    KeyWanted {
        /// Who waits.
        ticket: ReplyTicket,
        /// What it is for.
        request: KeyRequest,
    },
    /// A call with a key of this process wants to run.
    KeyClaimed {
        /// Who waits.
        ticket: ReplyTicket,
        /// The key.
        key: IdempotencyKey,
        /// A hash of the call's content.
        body_hash: u64,
    },
    /// A claimed call ended.
    KeyFinished {
        /// The key's serial.
        serial: u64,
        /// How it ended.
        outcome: KeyOutcome,
    },
    /// A caller revokes a key of this process.
    KeyRevoked {
        /// Who waits.
        ticket: ReplyTicket,
        /// The key.
        key: IdempotencyKey,
    },
    /// A call belongs to the owner of its key, another process.
    KeyCallForwarded {
        /// Who waits.
        ticket: ReplyTicket,
        /// The call.
        call: KeyCall,
    },
    /// A call that a peer forwarded has its answer.
    KeyCallAnswered {
        /// The peer.
        to: VmName,
        /// The number the peer gave the call.
        call_id: u64,
        /// The answer.
        answer: Result<StoredAnswer, RefusalNotice>,
    },
    /// The process was told to leave.
    LeaveOrdered {
        /// Until when answers that name this node may be in use.
        accept_until: Moment,
        /// When the drain ends even if work is left.
        exit_at: Moment,
    },
}

macro_rules! event_kinds {
    ($($kind:ident = $word:literal,)*) => {
        /// The kinds of [`Event`].
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum EventKind {
            $(#[doc = concat!("[`Event::", stringify!($kind), "`]")] $kind,)*
        }

        impl EventKind {
            /// All kinds, in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$kind,)*];

            /// The word used in metrics.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$kind => $word,)*
                }
            }
        }

        impl Event {
            /// The event's kind.
            pub fn kind(&self) -> EventKind {
                match self {
                    $(Self::$kind { .. } => EventKind::$kind,)*
                }
            }
        }
    };
}

event_kinds! {
    Tick = "tick",
    RegisterOffered = "register_offered",
    RegisterUnreadable = "register_unreadable",
    RegisterConfirmed = "register_confirmed",
    ReplicasRead = "replicas_read",
    ListReachable = "list_reachable",
    ConfigReachable = "config_reachable",
    ReplicaReplaced = "replica_replaced",
    ReplicaLeaving = "replica_leaving",
    VmsListed = "vms_listed",
    PeerJoined = "peer_joined",
    PeerMessage = "peer_message",
    LinkLost = "link_lost",
    PeerUnreachable = "peer_unreachable",
    PlacementWanted = "placement_wanted",
    PrefillDone = "prefill_done",
    PlacementDone = "placement_done",
    ServiceWanted = "service_wanted",
    ServiceDone = "service_done",
    LoadReported = "load_reported",
    LimitStated = "limit_stated",
    PermitWanted = "permit_wanted",
    PermitReturned = "permit_returned",
    RequestLost = "request_lost",
    TrialWanted = "trial_wanted",
    TrialDone = "trial_done",
    RequestCompleted = "request_completed",
    KeyWanted = "key_wanted",
    KeyClaimed = "key_claimed",
    KeyFinished = "key_finished",
    KeyRevoked = "key_revoked",
    KeyCallForwarded = "key_call_forwarded",
    KeyCallAnswered = "key_call_answered",
    LeaveOrdered = "leave_ordered",
}
