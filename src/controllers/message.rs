//! The messages between the system's processes, independent of their encoding.

use std::sync::Arc;

use super::discovery::ReplicaUpdate;
use super::idempotency::{HandoffRecord, StoredAnswer};
use super::quarantine::{CaseRecord, CrashReport, TrialNumber};
use super::quotas::QuotaVerdict;
use super::rate_limits::{LimitReport, PermitRequest, PermitVerdict};
use super::service_slots::{SendRelease, SendRequest, SendVerdict};
use super::slots::{
    EngineGroup, EngineOutcome, EnginePermits, HeldSlot, PlacementRequest, PlacementResult, RequestId,
};
use crate::blackboard::{Incarnation, OwnIdentity, ReplicaId, RequestFeature, TrialScope};
use crate::prelude::*;

/// A process's description of itself, sent when a link opens and forwarded to other VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmIntroduction {
    /// The name of the process's VM.
    pub name: VmName,
    /// The VM's availability zone.
    pub zone: Arc<str>,
    /// The address at which callers connect.
    pub caller_address: Arc<str>,
    /// The address at which peers connect.
    pub peer_address: Arc<str>,
    /// Random number that distinguishes the process from earlier ones on the same VM.
    pub incarnation: Incarnation,
    /// Start of the process by its VM's wall clock, in milliseconds since the Unix epoch.
    pub started_epoch_ms: u64,
    /// Version of the introduction. The process raises it to refute a suspicion of itself, and when its
    /// access to the store changes.
    pub renewal: u32,
    /// Revision of the register in force on the VM; zero before the first, and where another VM sends the
    /// introduction.
    pub revision: Revision,
    /// Whether the process is draining.
    pub leaving: bool,
    /// Whether the process has lost access to the list of replicas in the platform's store.
    pub store_lost: bool,
    /// The VM's CPU share, in thousandths of a core; zero if unknown.
    pub millicores: u32,
}

impl OwnIdentity {
    /// Builds the introduction of this process as of its start.
    pub fn introduction(&self) -> VmIntroduction {
        VmIntroduction {
            name: self.name.clone(),
            zone: self.zone.clone(),
            caller_address: self.caller_address.clone(),
            peer_address: self.peer_address.clone(),
            incarnation: self.incarnation,
            started_epoch_ms: self.started_epoch_ms,
            renewal: 0,
            revision: 0,
            leaving: false,
            store_lost: false,
            millicores: self.millicores,
        }
    }
}

impl VmIntroduction {
    /// Builds the board's record of the introduced VM, from which no message has been received yet.
    pub fn to_record(&self) -> VmRecord {
        VmRecord {
            name: self.name.clone(),
            zone: self.zone.clone(),
            caller_address: self.caller_address.clone(),
            peer_address: self.peer_address.clone(),
            leaving: self.leaving,
            store_lost: self.store_lost,
            millicores: self.millicores,
            listed: false,
            incarnation: Some(self.incarnation),
            started_epoch_ms: self.started_epoch_ms,
            renewal: self.renewal,
            suspected_until: None,
            last_message_at: None,
        }
    }

    /// Builds the introduction of another VM, to be sent to a third; `None` while its incarnation is unknown.
    pub fn from_record(vm: &VmRecord) -> Option<Self> {
        Some(Self {
            name: vm.name.clone(),
            zone: vm.zone.clone(),
            caller_address: vm.caller_address.clone(),
            peer_address: vm.peer_address.clone(),
            incarnation: vm.incarnation?,
            started_epoch_ms: vm.started_epoch_ms,
            renewal: vm.renewal,
            revision: 0,
            leaving: vm.leaving,
            store_lost: vm.store_lost,
            millicores: vm.millicores,
        })
    }
}

/// A run-once call that is forwarded to the process that issued its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyCall {
    /// The sender's number for this call, repeated in the answer.
    pub call_id: u64,
    /// The VM of the process that issued the key.
    pub owner: VmName,
    /// The address at which the owner accepts connections from peers.
    pub owner_address: Arc<str>,
    /// The key as the caller sent it.
    pub key: String,
    /// The incarnation of the owner, decoded from the key.
    pub incarnation: Incarnation,
    /// The serial number of the key in that process, decoded from the key.
    pub serial: u64,
    /// The workspace of the caller.
    pub workspace: Arc<str>,
    /// The name of the plain service.
    pub service: Arc<str>,
    /// The name of the service's operation.
    pub operation: Arc<str>,
    /// The call's content; `None` to revoke the key.
    pub body: Option<Arc<str>>,
    /// When the sender stops waiting for the answer.
    pub deadline: Moment,
}

/// The owner's answer to a request for slots.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotVerdict {
    /// The request has its slots.
    Granted {
        /// The name of the decode engine.
        decode: Arc<str>,
        /// The name of the prefill engine; `None` if the decode engine runs the prompt itself.
        prefill: Option<Arc<str>>,
        /// The rate-limited engines among them for which the grant includes a permit.
        permits: EnginePermits,
    },
    /// The request waits in the owner's queue.
    Queued,
    /// The request is refused with this notice.
    Refused(RefusalNotice),
}

/// The answer to a request for a trial run of a suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialVerdict {
    /// The trial run may begin.
    Granted {
        /// Number of consecutive runs during which an upstream crashed; zero if the feature is no longer
        /// suspected.
        crash_count: u32,
        /// Number of runs that passed since the latest crash.
        passes: u32,
    },
    /// Another trial run of the request is in progress.
    Busy,
    /// The request is quarantined.
    Quarantined {
        /// The remaining time of the quarantine, in milliseconds.
        span_ms: u64,
    },
}

/// A digest of the VMs that a process considers alive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Number of live VMs, including the process's own.
    pub count: u32,
    /// A hash of the set of VMs, independent of their order.
    pub digest: u64,
}

/// A message between two processes of the system.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// The sender is alive.
    Heartbeat {
        /// The stamp of the register in force on the sender.
        stamp: RegisterStamp,
        /// The state of the sender's copy of the list of replicas.
        list_position: StorePosition,
        /// The latest era of the store that the sender knows.
        store_era: StoreEra,
        /// Time since the latest read of the store, by the sender or by another VM as far as it knows, in
        /// milliseconds.
        store_age_ms: u64,
        /// A digest of the VMs that the sender considers alive.
        view: MemberView,
        /// A hash of the requests suspected of crashing upstreams.
        case_digest: u64,
        /// A hash of the rate-limited replicas.
        limit_digest: u64,
        /// Whether the sender is draining.
        leaving: bool,
        /// Whether the receiver should answer with a heartbeat.
        wants_echo: bool,
    },
    /// The sender suspects a VM of being dead.
    VmSuspected {
        /// The suspected VM.
        vm: VmName,
        /// The incarnation of the suspected process.
        incarnation: Incarnation,
        /// The renewal in the suspected process's introduction, as the sender knew it; a higher one refutes
        /// the suspicion.
        renewal: u32,
    },
    /// VMs that the sender considers alive.
    VmsKnown(Vec<VmIntroduction>),
    /// Requests all VMs that the receiver considers alive.
    VmsWanted,
    /// Requests the list of replicas, or its changes since a state of it.
    ReplicasWanted {
        /// The state that the sender has.
        position: StorePosition,
    },
    /// The list of replicas or changes to it.
    ReplicasContent(ReplicaUpdate),
    /// A replica announced in an answer that it is about to leave.
    ReplicaLeaving {
        /// The replica that leaves.
        replica: ReplicaId,
        /// When the leaving process started; a process started later under the same id stays.
        started_epoch_ms: u64,
    },
    /// An engine is moving to the other pool and accepts no requests meanwhile.
    EngineBusy {
        /// The engine's replica id.
        engine: Arc<str>,
        /// The fencing token of the order to move.
        fencing_token: u64,
        /// The longest remaining time of the move, in milliseconds.
        span_ms: u64,
    },
    /// Requests the content of a register.
    RegisterWanted {
        /// The oldest register that is of use to the sender.
        stamp: RegisterStamp,
    },
    /// The content of a register.
    RegisterContent {
        /// The register's stamp.
        stamp: RegisterStamp,
        /// The register's text as published.
        text: RegisterText,
    },
    /// A request for slots of a group of engines, sent to the group's owner.
    SlotRequest {
        /// The index of the group among those of the model's engines.
        group: u32,
        /// The requirements of the generation.
        request: PlacementRequest,
    },
    /// The owner's answer to a request for slots.
    SlotAnswer {
        /// The group whose owner answers.
        group: EngineGroup,
        /// The id of the request that needs the slots.
        request: RequestId,
        /// Whether the request is granted slots, queued or refused.
        verdict: SlotVerdict,
    },
    /// Reports to a group's new owner the slots that its predecessor granted.
    SlotHeld {
        /// The group of the granted slots.
        group: EngineGroup,
        /// The request and the slots that it holds.
        held: HeldSlot,
    },
    /// Reports to the owner that a prefill ended.
    SlotPrefillDone {
        /// The group of the prefill engine.
        group: EngineGroup,
        /// The request that held the slot.
        request: RequestId,
        /// Whether the engine worked, was full, failed or was unreachable.
        end: EngineOutcome,
    },
    /// Returns a request's slots to the owner.
    SlotRelease {
        /// The group of the slots.
        group: EngineGroup,
        /// The request that held the slots.
        request: RequestId,
        /// The outcome for each engine, with measured times.
        result: PlacementResult,
    },
    /// An upstream crashed while it ran a request.
    CrashReported(CrashReport),
    /// Passes have cleared a feature of suspicion.
    Cleared {
        /// The feature.
        feature: RequestFeature,
        /// The highest crash count among the reports that it is cleared of.
        crash_count: u32,
    },
    /// Requests with a suspected feature ran without a crash; sent to the owner of its trial runs.
    RunsPassed {
        /// The feature.
        feature: RequestFeature,
        /// Number of runs.
        count: u32,
        /// The feature's crash count in a row that the sender knows.
        crash_count: u32,
    },
    /// Requests permission for a trial run of a suspected feature.
    TrialRequest {
        /// The suspected feature.
        scope: TrialScope,
        /// The sender's number for the run.
        number: TrialNumber,
        /// The time left until the request's deadline, in milliseconds.
        remaining_ms: u64,
    },
    /// The answer to a [`TrialRequest`](Self::TrialRequest).
    TrialAnswer {
        /// The number of the run in the request.
        number: TrialNumber,
        /// Whether the run may begin.
        verdict: TrialVerdict,
    },
    /// The sender's trial run of a suspected feature ended.
    TrialDone {
        /// The suspected feature.
        feature: RequestFeature,
        /// The sender's number for the run.
        number: TrialNumber,
    },
    /// Requests all crash cases that the receiver knows.
    CasesWanted,
    /// Crash cases: suspected requests with their crash reports.
    CasesContent(Vec<CaseRecord>),
    /// A rate limit that a replica reported.
    LimitStated(LimitReport),
    /// Requests all limit reports that the receiver knows.
    LimitsWanted,
    /// Rate limits that replicas reported.
    LimitsContent(Vec<LimitReport>),
    /// Asks how recently the receiver's configuration was proved current.
    ProofRequest {
        /// The sender's number for this message, repeated in the answer.
        number: u64,
    },
    /// The answer to a [`ProofRequest`](Self::ProofRequest).
    ProofAnswer {
        /// The number in the request.
        number: u64,
        /// The stamp of the register in force on the sender.
        stamp: RegisterStamp,
        /// Time since that register was proved current, in milliseconds; [`u64::MAX`] if it never was.
        age_ms: u64,
    },
    /// Requests a permit for a rate-limited replica from its owner.
    PermitRequest {
        /// The sender's number for this message, repeated in the answer.
        number: u64,
        /// The candidate replicas and the latest start time.
        request: PermitRequest,
    },
    /// The owner's answer to a request for a permit.
    PermitAnswer {
        /// The number in the request.
        number: u64,
        /// The granted permit, or when to try again.
        verdict: PermitVerdict,
    },
    /// The sender, the former owner of some rate-limited replicas, grants no more permits for them.
    LimitsHandedOver {
        /// The key from which the replicas' owner is computed by rendezvous hashing.
        key: String,
    },
    /// Returns an unused permit to the owner.
    PermitReturned {
        /// The replica's service.
        service: Arc<str>,
        /// The replica that the permit is for.
        replica: ReplicaId,
    },
    /// Requests tokens of a workspace's quota from its owner.
    QuotaRequest {
        /// The sender's number for this message, repeated in the answer.
        number: u64,
        /// The workspace.
        workspace: Arc<str>,
        /// Units requested, granted if the bucket holds plenty.
        tokens: u64,
        /// Units without which the request is refused; zero if no request waits for them.
        least: u64,
    },
    /// The owner's answer to a request for tokens.
    QuotaAnswer {
        /// The number in the request.
        number: u64,
        /// The granted tokens, or when to come back.
        verdict: QuotaVerdict,
    },
    /// Returns tokens that were not used to the owner.
    QuotaReturned {
        /// The workspace.
        workspace: Arc<str>,
        /// Units that were not used.
        tokens: u64,
    },
    /// The sender, the former owner of a quota, grants no more of it.
    QuotaHandedOver {
        /// The workspace.
        workspace: Arc<str>,
        /// Units that were left in its bucket.
        tokens: u64,
    },
    /// Requests a slot for a send from the owner of a plain service.
    SendSlotRequest {
        /// The sender's number for the send, repeated in the answer and in the release.
        number: u64,
        /// The service, the request's rank and times, and the replicas to avoid.
        request: SendRequest,
    },
    /// The owner's answer to a request for a slot of a plain service.
    SendSlotAnswer {
        /// The number in the request.
        number: u64,
        /// The granted replica, that the request waits, or that it is refused.
        verdict: SendVerdict,
    },
    /// Tells the owner of a plain service that a send has ended, or that its request was given up.
    SendSlotReleased {
        /// The number in the request.
        number: u64,
        /// How the send ended, and the load that the replica reported.
        release: SendRelease,
    },
    /// Forwards a run-once call to the owner of its key.
    KeyCall(KeyCall),
    /// The owner's answer to a forwarded run-once call.
    KeyAnswer {
        /// The number that the forwarding VM gave the call.
        call_id: u64,
        /// The stored answer or a refusal.
        answer: Result<StoredAnswer, RefusalNotice>,
    },
    /// A part of the outcomes of the keys that a leaving process issued.
    Handoff {
        /// The incarnation of the leaving process.
        incarnation: Incarnation,
        /// The lowest serial number that was never issued.
        next_serial: u64,
        /// The index of this part, from zero.
        part: u32,
        /// Number of parts. Only once all have arrived is a key without a record known not to have run.
        parts: u32,
        /// The keys of this part that were started or revoked.
        records: Vec<HandoffRecord>,
    },
}
