//! What the system's processes say to each other, free of any encoding.

use std::sync::Arc;

use super::discovery::{ListRevision, ReplicaUpdate};
use super::idempotency::{HandoffRecord, StoredAnswer};
use super::quarantine::{CaseRecord, CrashReport, TrialNumber};
use super::rate_limits::{LimitRecord, PermitAsk, PermitVerdict};
use super::slots::{
    EngineEnd, EngineGroup, EnginePermits, HeldSlot, PlacementAsk, PlacementResult, RequestId,
};
use crate::blackboard::{Fingerprint, Incarnation, OwnIdentity, ReplicaId};
use crate::prelude::*;

/// What a process says of itself when a link opens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmIntroduction {
    /// Its VM's name.
    pub name: VmAddress,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where callers connect.
    pub caller_address: Arc<str>,
    /// Where peers connect.
    pub peer_address: Arc<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// When it started by its VM's clock, in milliseconds since the Unix epoch.
    pub started_epoch_ms: u64,
    /// How often it has contradicted a suspicion of itself.
    pub renewal: u32,
    /// The revision it has in force.
    pub revision: Revision,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it tried to read the platform's store and could not.
    pub store_lost: bool,
    /// Its VM's share of a core, in thousandths; zero where it is not known.
    pub millicores: u32,
}

impl OwnIdentity {
    /// What this process says of itself at its start.
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
    /// The board's record of the VM that said this, before it is heard.
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
            heard_at: None,
        }
    }

    /// What can be told of a VM on its behalf; `None` while its process is not known.
    pub fn of_record(vm: &VmRecord) -> Option<Self> {
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

/// A run-once call on its way to the owner of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyCall {
    /// The sender's number for this call.
    pub call_id: u64,
    /// The owner's VM.
    pub owner: VmAddress,
    /// Where the owner listens for peers.
    pub owner_address: Arc<str>,
    /// The key as the caller sent it.
    pub key: String,
    /// The incarnation the key names.
    pub incarnation: Incarnation,
    /// The serial the key names.
    pub serial: u64,
    /// The customer.
    pub workspace: Arc<str>,
    /// The plain service.
    pub service: Arc<str>,
    /// The operation.
    pub operation: Arc<str>,
    /// The call's content; `None` when the key is to be revoked.
    pub body: Option<Arc<str>>,
    /// When the sender stops waiting.
    pub deadline: Moment,
}

/// The owner's answer to a request for slots.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotVerdict {
    /// The request has its slots.
    Granted {
        /// The decode engine.
        decode: Arc<str>,
        /// The prefill engine; `None` where the decode engine runs the prompt itself.
        prefill: Option<Arc<str>>,
        /// Which of them may be sent to though they name limits.
        permits: EnginePermits,
    },
    /// The request waits; the owner is alive.
    Queued,
    /// The request is refused.
    Refused(RefusalNotice),
}

/// Whether a suspected request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialVerdict {
    /// It may.
    Granted {
        /// How far it is suspected.
        level: u32,
    },
    /// Another run of it is under way.
    Busy,
    /// It is held back.
    Held {
        /// For how long, in milliseconds.
        span_ms: u64,
    },
}

/// The VMs that a process takes for alive, in short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// How many there are, itself too.
    pub count: u32,
    /// A hash of them, in whatever order.
    pub digest: u64,
}

/// A message between two processes of the system.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// The sender is alive.
    Heartbeat {
        /// Which register it has in force.
        stamp: RegisterStamp,
        /// The state of the list of replicas that it has.
        list_revision: ListRevision,
        /// How long ago it, or a VM that it heard of, has read the store, in milliseconds.
        store_age_ms: u64,
        /// The VMs that it takes for alive.
        view: MemberView,
        /// A hash of the requests under which upstreams ended.
        case_digest: u64,
        /// A hash of the replicas that name limits.
        limit_digest: u64,
        /// Whether it is leaving.
        leaving: bool,
        /// Whether it wants a heartbeat back.
        wants_echo: bool,
    },
    /// The sender could not reach a VM.
    VmSuspected {
        /// Which.
        vm: VmAddress,
        /// The process it was.
        incarnation: Incarnation,
        /// How often that process had contradicted suspicions.
        renewal: u32,
    },
    /// VMs that the sender takes for alive.
    VmsKnown(Vec<VmIntroduction>),
    /// The sender wants to know of all VMs that this node knows.
    VmsWanted,
    /// The sender can't read the list of replicas and wants a newer state of it than this.
    ReplicasWanted {
        /// The state that it has.
        revision: ListRevision,
    },
    /// The list of replicas.
    ReplicasContent(ReplicaUpdate),
    /// A replica said in an answer that it is about to leave.
    ReplicaLeaving {
        /// Which.
        replica: ReplicaId,
        /// Its start, since a later one does not leave.
        started_epoch_ms: u64,
    },
    /// An engine is being moved to the other pool and takes nothing meanwhile.
    EngineBusy {
        /// Which.
        engine: Arc<str>,
        /// The order's fencing token.
        fencing_token: u64,
        /// How long it will take, in milliseconds.
        span_ms: u64,
    },
    /// The sender wants the content of a register that is no older than this.
    RegisterWanted {
        /// The lowest one of use.
        stamp: RegisterStamp,
    },
    /// The content of a register.
    RegisterContent {
        /// Which one it is.
        stamp: RegisterStamp,
        /// Its text.
        text: Arc<str>,
    },
    /// A request for slots of a group of engines, to the group's owner.
    SlotAsk {
        /// Which group of the model's engines.
        group: u32,
        /// What is needed.
        ask: PlacementAsk,
    },
    /// The owner's answer.
    SlotAnswer {
        /// The group.
        group: EngineGroup,
        /// Which request.
        request: RequestId,
        /// The answer.
        verdict: SlotVerdict,
    },
    /// A request holds slots that an earlier owner granted.
    SlotHeld {
        /// The group.
        group: EngineGroup,
        /// Which request, and what it holds.
        held: HeldSlot,
    },
    /// A prefill ended.
    SlotPrefillDone {
        /// The group.
        group: EngineGroup,
        /// Which request.
        request: RequestId,
        /// How the engine behaved.
        end: EngineEnd,
    },
    /// A request gives its slots back.
    SlotRelease {
        /// The group.
        group: EngineGroup,
        /// Which request.
        request: RequestId,
        /// How it went.
        result: PlacementResult,
    },
    /// An upstream ended under a request.
    Strike {
        /// The request's content.
        fingerprint: Fingerprint,
        /// The end.
        strike: CrashReport,
    },
    /// Whole runs have cleared a request.
    Cleared {
        /// The request's content.
        fingerprint: Fingerprint,
        /// The highest level of the strikes that it is cleared of.
        level: u32,
    },
    /// A suspected request ran to its end, to the VM that lets its runs begin.
    RunWhole {
        /// The request's content.
        fingerprint: Fingerprint,
    },
    /// The sender wants to run a suspected request.
    TrialAsk {
        /// The request's content.
        fingerprint: Fingerprint,
        /// The sender's number for the run.
        number: TrialNumber,
        /// How long the request has until it must have been answered, in milliseconds.
        remaining_ms: u64,
    },
    /// The answer to it.
    TrialAnswer {
        /// The number of the run.
        number: TrialNumber,
        /// The answer.
        verdict: TrialVerdict,
    },
    /// The sender's run of a suspected request is over.
    TrialDone {
        /// The request's content.
        fingerprint: Fingerprint,
        /// The sender's number for the run.
        number: TrialNumber,
    },
    /// The sender wants to know of all requests under which upstreams ended.
    CasesWanted,
    /// Requests under which upstreams ended.
    CasesContent(Vec<CaseRecord>),
    /// What a replica said of its limit.
    LimitStated(LimitRecord),
    /// The sender wants to know what all replicas said of their limits.
    LimitsWanted,
    /// What replicas said of their limits.
    LimitsContent(Vec<LimitRecord>),
    /// The sender wants to send a request to a replica that names a limit.
    PermitAsk {
        /// The sender's number for the ask.
        number: u64,
        /// Where the request may go.
        ask: PermitAsk,
    },
    /// The answer to it.
    PermitAnswer {
        /// The number of the ask.
        number: u64,
        /// The answer.
        verdict: PermitVerdict,
    },
    /// The sender owned limited replicas, and grants nothing of their limits any more.
    LimitsHandedOver {
        /// What their owner is found by.
        key: String,
    },
    /// The sender did not use a permit.
    PermitReturned {
        /// The replica's service.
        service: Arc<str>,
        /// Which replica.
        replica: ReplicaId,
    },
    /// A run-once call for the owner of its key.
    KeyCall(KeyCall),
    /// The owner's answer.
    KeyAnswer {
        /// The sender's number for the call.
        call_id: u64,
        /// The answer.
        answer: Result<StoredAnswer, RefusalNotice>,
    },
    /// The outcomes of the keys of a leaving process.
    Handoff {
        /// The process.
        incarnation: Incarnation,
        /// Serials from this on were never issued.
        next_serial: u64,
        /// Which part this is, from zero.
        part: u32,
        /// How many parts there are; only all together they tell what did not run.
        parts: u32,
        /// The keys that were started or revoked.
        records: Vec<HandoffRecord>,
    },
}
