//! What the system's processes say to each other, free of any encoding.

use std::sync::Arc;

use super::idempotency::{HandoffRecord, StoredAnswer};
use super::slots::{EngineGroup, HeldSlot, PlacementAsk, PlacementResult, RequestId};
use crate::blackboard::{Fingerprint, Incarnation};
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
    /// The revision it has in force.
    pub revision: Revision,
    /// Whether it is leaving.
    pub leaving: bool,
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
        /// The prefill engine.
        prefill: Arc<str>,
    },
    /// The request waits; the owner is alive.
    Queued,
    /// The request is refused.
    Refused(RefusalNotice),
}

/// A message between two processes of the system.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// The sender is alive.
    Heartbeat {
        /// The revision it has in force.
        revision: Revision,
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
    },
    /// The sender wants the content of a revision at least this high.
    RegisterWanted {
        /// The lowest revision of use.
        revision: Revision,
    },
    /// The content of a revision.
    RegisterContent {
        /// Its number.
        revision: Revision,
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
    /// A request was running on an upstream as it died.
    Strike {
        /// The request's content.
        fingerprint: Fingerprint,
        /// Which upstream.
        upstream: Arc<str>,
        /// Which start of the upstream.
        boot: u64,
    },
    /// A suspect request ran to its end.
    Cleared {
        /// The request's content.
        fingerprint: Fingerprint,
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
