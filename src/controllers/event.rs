//! The events that controllers react to.

use std::sync::Arc;

use super::discovery::ReplicaUpdate;
use super::idempotency::{IdempotencyKey, KeyOutcome, KeyRequest, StoredAnswer};
use super::message::{KeyCall, PeerMessage, VmIntroduction};
use super::proof::RegisterReading;
use super::quarantine::{RunLoss, TrialNumber};
use super::quotas::QuotaGrant;
use super::rate_limits::{LimitReport, PermitGrant, PermitRequest};
use super::service_slots::{SendRelease, SendRequest};
use super::services::{ServiceRequest, ServiceResult};
use super::slots::{EngineOutcome, PlacementRequest, PlacementResult, RequestId};
use crate::blackboard::{Incarnation, ReplicaId, RequestFeature, SeedFacts, TrialScope};
use crate::prelude::*;

/// The sender of an offered register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterSource {
    /// The configuration service.
    Service,
    /// The peer of this name.
    Peer(VmName),
}

/// An input to the controllers, from the network, the traffic side or the clock.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent when a controller's wake-up is due.
    Tick {
        /// Requests that are in progress on this node.
        active_requests: u64,
    },
    /// A register was read from the configuration service or received from a peer.
    RegisterOffered {
        /// The register's revision and the store revision at which it was written.
        stamp: RegisterStamp,
        /// The register's text, not parsed yet.
        text: RegisterText,
        /// Whether it came from the service or from a peer.
        source: RegisterSource,
    },
    /// The published register has no revision or can't be read at all.
    RegisterUnreadable {
        /// A description of the fault, for the log.
        reason: String,
    },
    /// A read of the configuration service found no newer register.
    RegisterConfirmed {
        /// The revision that the read confirmed as the newest.
        revision: Revision,
    },
    /// A read of the platform's configuration ended, after what it found was offered.
    RegisterRead(RegisterReading),
    /// This node read the list of replicas, either complete or as a list of changes.
    ReplicasRead {
        /// The entries that were read.
        update: ReplicaUpdate,
        /// The store's own position at the read; it grows also when the list's latest entry is removed.
        store_position: StorePosition,
    },
    /// This node's access to the list of replicas was lost or restored.
    ListReachable {
        /// Whether the list can be read now.
        is_reachable: bool,
    },
    /// This node's access to the configuration service was lost or restored.
    ConfigReachable {
        /// Whether the service can be read now.
        is_reachable: bool,
    },
    /// The seeds in the settings changed.
    SeedsChanged {
        /// This VM's part among the new seeds.
        seeds: SeedFacts,
    },
    /// A different replica answered at a replica's address.
    ReplicaReplaced {
        /// The replica that was expected there.
        replica: ReplicaId,
    },
    /// A replica announced in an answer that it is about to leave.
    ReplicaLeaving {
        /// The replica that leaves.
        replica: ReplicaId,
        /// When the leaving process started; a process started later under the same id stays.
        started_epoch_ms: u64,
    },
    /// The VM list was read.
    VmsListed {
        /// All VMs on the list.
        vms: Vec<VmRecord>,
    },
    /// A peer introduced itself on a new link.
    PeerJoined {
        /// The peer's description of itself.
        introduction: VmIntroduction,
    },
    /// A peer sent a message.
    PeerMessage {
        /// The peer's VM name.
        from: VmName,
        /// The incarnation of the process that sent it.
        incarnation: Incarnation,
        /// The decoded message.
        message: PeerMessage,
    },
    /// A link that had carried messages was closed for a reason other than idleness.
    LinkLost {
        /// The VM at the other end.
        vm: VmName,
    },
    /// A message could not be delivered.
    PeerUnreachable {
        /// The VM that it was addressed to.
        vm: VmName,
    },
    /// A generation needs upstreams.
    PlacementWanted {
        /// The task that waits for the reply.
        ticket: ReplyTicket,
        /// The requirements of the generation.
        request: PlacementRequest,
    },
    /// The prefill of a placed generation ended, which frees a slot of its engine.
    PrefillDone {
        /// The request that holds the placement.
        request: RequestId,
        /// Whether the prefill engine worked, was full, failed or was unreachable.
        end: EngineOutcome,
    },
    /// A placed generation ended, or one that waited for a placement was abandoned.
    PlacementDone {
        /// The request that held or awaited the placement.
        request: RequestId,
        /// The outcome for each engine, with measured times.
        result: PlacementResult,
    },
    /// A call needs a replica of a plain service.
    ServiceWanted {
        /// The task that waits for the reply.
        ticket: ReplyTicket,
        /// The service and the replicas to avoid.
        request: ServiceRequest,
    },
    /// A call to a plain service ended.
    ServiceDone {
        /// The replica that was called.
        replica: Arc<str>,
        /// The outcome of the call, with its latency.
        result: ServiceResult,
    },
    /// An upstream reported its load.
    LoadReported {
        /// The upstream's name in the register.
        upstream: Arc<str>,
        /// Requests in progress on the upstream.
        load: u32,
    },
    /// An answer of a replica reported a rate limit, or no longer reports the earlier one.
    LimitStated {
        /// The reported limit.
        record: LimitReport,
    },
    /// A request needs a permit for a rate-limited replica.
    PermitWanted {
        /// The task that waits for the reply.
        ticket: ReplyTicket,
        /// The candidate replicas and the latest start time.
        request: PermitRequest,
    },
    /// A permit was not used.
    PermitReturned {
        /// The unused permit.
        grant: PermitGrant,
    },
    /// A send to a replica of a plain service needs a slot.
    SendSlotWanted {
        /// The task that waits for the reply; its number also identifies the send.
        ticket: ReplyTicket,
        /// The service, the request's rank and times, and the replicas to avoid.
        request: SendRequest,
    },
    /// A send that held or awaited a slot of a plain service ended.
    SendSlotDone {
        /// The ticket of the request for the slot.
        ticket: ReplyTicket,
        /// How the send ended, and the load that the replica reported.
        release: SendRelease,
    },
    /// A run ended because the connection to its upstream was lost.
    RequestLost {
        /// The task that waits until the loss is recorded.
        ticket: ReplyTicket,
        /// The run, its upstream and what a probe of the upstream showed.
        loss: RunLoss,
    },
    /// A request with a feature suspected of crashing upstreams needs permission for a trial run.
    TrialWanted {
        /// The task that waits for the reply.
        ticket: ReplyTicket,
        /// The suspected feature.
        scope: TrialScope,
        /// The deadline of the request.
        deadline: Moment,
    },
    /// A trial run ended, or was abandoned before it began.
    TrialDone {
        /// The suspected feature.
        feature: RequestFeature,
        /// The number of the run, unique on this node.
        number: TrialNumber,
    },
    /// A request passed the point at which its features could have crashed the upstream.
    RequestPassed {
        /// These features of the request.
        features: Arc<[RequestFeature]>,
    },
    /// A request needs tokens of its workspace's quota.
    QuotaWanted {
        /// The task that waits for the reply.
        ticket: ReplyTicket,
        /// The workspace of the request.
        workspace: Arc<str>,
        /// Units that the request costs.
        tokens: u64,
    },
    /// A request with tokens of a quota reached no replica.
    QuotaReturned {
        /// The grant that was not used.
        grant: QuotaGrant,
    },
    /// A caller asks for an idempotency key.
    KeyWanted {
        /// The task that waits for the reply.
        ticket: ReplyTicket,
        /// The scope, name and deadline of the key.
        request: KeyRequest,
    },
    /// A call claims a key that this process issued.
    KeyClaimed {
        /// The task that waits for the reply.
        ticket: ReplyTicket,
        /// The claimed key.
        key: IdempotencyKey,
        /// A hash of the call's content.
        body_hash: u64,
    },
    /// The call that claimed a key ended.
    KeyFinished {
        /// The key's serial number in this process.
        serial: u64,
        /// The outcome to store for repeated calls.
        outcome: KeyOutcome,
    },
    /// A caller revokes a key that this process issued.
    KeyRevoked {
        /// The task that waits for the reply.
        ticket: ReplyTicket,
        /// The key to revoke.
        key: IdempotencyKey,
    },
    /// A call has a key that another process issued and is to be forwarded to it.
    KeyCallForwarded {
        /// The task that waits for the reply.
        ticket: ReplyTicket,
        /// The call to forward.
        call: KeyCall,
    },
    /// A call that a peer forwarded has been answered.
    KeyCallAnswered {
        /// The peer that forwarded it.
        to: VmName,
        /// The number that the peer gave the call.
        call_id: u64,
        /// The stored answer or a refusal.
        answer: Result<StoredAnswer, RefusalNotice>,
    },
    /// The process was ordered to shut down gracefully.
    LeaveOrdered {
        /// When the last resolve answer that contains this node expires.
        accept_until: Moment,
        /// When the drain ends even if requests are still in progress.
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

            /// The name of the kind in metrics.
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
    RegisterRead = "register_read",
    ReplicasRead = "replicas_read",
    ListReachable = "list_reachable",
    ConfigReachable = "config_reachable",
    SeedsChanged = "seeds_changed",
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
    QuotaWanted = "quota_wanted",
    QuotaReturned = "quota_returned",
    SendSlotWanted = "send_slot_wanted",
    SendSlotDone = "send_slot_done",
    RequestLost = "request_lost",
    TrialWanted = "trial_wanted",
    TrialDone = "trial_done",
    RequestPassed = "request_completed",
    KeyWanted = "key_wanted",
    KeyClaimed = "key_claimed",
    KeyFinished = "key_finished",
    KeyRevoked = "key_revoked",
    KeyCallForwarded = "key_call_forwarded",
    KeyCallAnswered = "key_call_answered",
    LeaveOrdered = "leave_ordered",
}
