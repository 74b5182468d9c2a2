//! The frames on peer links, encoded as protocol buffers. The meaning of a field number never changes.

mod keys;
mod members;
mod proof;
mod quarantine;
mod quotas;
mod rate_limits;
mod replicas;
mod service_slots;
mod slots;

use prost::{Message, Oneof};

pub use keys::{HandoffAnswerFrame, HandoffFrame, KeyAnswerFrame, KeyCallFrame};
pub use members::{
    ChallengeFrame, HeartbeatFrame, HelloFrame, IntroductionFrame, ProofFrame, VmSuspectedFrame,
    VmsKnownFrame, VmsWantedFrame,
};
pub use proof::{ProofAnswerFrame, ProofRequestFrame};
pub use quarantine::{
    CaseFrame, CasesContentFrame, CasesWantedFrame, ClearedFrame, CrashReportFrame, RunsPassedFrame,
    TrialAnswerFrame, TrialFrame,
};
pub use quotas::{QuotaAnswerFrame, QuotaRequestFrame, QuotaTokensFrame};
pub use rate_limits::{
    LimitFrame, LimitsContentFrame, LimitsHandedOverFrame, LimitsWantedFrame, PermitAnswerFrame,
    PermitRequestFrame, PermitReturnedFrame,
};
pub use replicas::{
    EngineBusyFrame, RegisterContentFrame, RegisterWantedFrame, ReplicaFrame, ReplicaLeavingFrame,
    ReplicasContentFrame, ReplicasWantedFrame,
};
pub use service_slots::{
    EmptyAnswerFrame, LoadFrame, SendSlotAnswerFrame, SendSlotReleasedFrame, SendSlotRequestFrame,
    SendVerdictBody,
};
pub use slots::{
    GroupFrame, RefusalFrame, SlotAnswerFrame, SlotHeldFrame, SlotReleaseFrame, SlotRequestFrame,
};

/// The outermost message; each frame on a link is one of these.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// The content; `None` for a kind of frame that this version does not know.
    #[prost(
        oneof = "FrameBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32, 33, 34, 35, 36, 37, 38, 40, 41, 42, 43, 50, 51, 52"
    )]
    pub body: Option<FrameBody>,
}

/// The kinds of frames.
#[derive(Clone, PartialEq, Oneof)]
pub enum FrameBody {
    /// First frame of the handshake, sent by the dialer.
    #[prost(message, tag = "1")]
    Hello(HelloFrame),
    /// Second frame of the handshake, sent by the listener.
    #[prost(message, tag = "2")]
    Challenge(ChallengeFrame),
    /// Third frame of the handshake, sent by the dialer.
    #[prost(message, tag = "3")]
    Proof(ProofFrame),
    /// The sender is alive.
    #[prost(message, tag = "4")]
    Heartbeat(HeartbeatFrame),
    /// The sender suspects a VM of being dead.
    #[prost(message, tag = "5")]
    VmSuspected(VmSuspectedFrame),
    /// Requests the content of a register.
    #[prost(message, tag = "6")]
    RegisterWanted(RegisterWantedFrame),
    /// The content of a register.
    #[prost(message, tag = "7")]
    RegisterContent(RegisterContentFrame),
    /// A request for slots of a group of engines, sent to the group's owner.
    #[prost(message, tag = "8")]
    SlotRequest(SlotRequestFrame),
    /// The owner's answer to a request for slots.
    #[prost(message, tag = "9")]
    SlotAnswer(SlotAnswerFrame),
    /// A prefill ended; its engine can take the next prompt.
    #[prost(message, tag = "10")]
    SlotPrefillDone(SlotReleaseFrame),
    /// A request no longer needs its slots.
    #[prost(message, tag = "11")]
    SlotRelease(SlotReleaseFrame),
    /// An upstream crashed while it ran a request.
    #[prost(message, tag = "12")]
    CrashReported(CrashReportFrame),
    /// Passes have cleared a feature of suspicion.
    #[prost(message, tag = "13")]
    Cleared(ClearedFrame),
    /// Forwards a run-once call to the owner of its key.
    #[prost(message, tag = "14")]
    KeyCall(KeyCallFrame),
    /// The owner's answer to a forwarded run-once call.
    #[prost(message, tag = "15")]
    KeyAnswer(KeyAnswerFrame),
    /// A part of the outcomes of the keys that a leaving process issued.
    #[prost(message, tag = "16")]
    Handoff(HandoffFrame),
    /// A request holds slots that an earlier owner granted.
    #[prost(message, tag = "17")]
    SlotHeld(SlotHeldFrame),
    /// VMs that the sender considers alive.
    #[prost(message, tag = "18")]
    VmsKnown(VmsKnownFrame),
    /// Requests the list of replicas, or its changes since a revision.
    #[prost(message, tag = "19")]
    ReplicasWanted(ReplicasWantedFrame),
    /// The list of replicas or changes to it.
    #[prost(message, tag = "20")]
    ReplicasContent(ReplicasContentFrame),
    /// An engine is moving to the other pool and accepts no requests meanwhile.
    #[prost(message, tag = "21")]
    EngineBusy(EngineBusyFrame),
    /// Requests all VMs that the receiver considers alive.
    #[prost(message, tag = "22")]
    VmsWanted(VmsWantedFrame),
    /// A replica is about to leave.
    #[prost(message, tag = "23")]
    ReplicaLeaving(ReplicaLeavingFrame),
    /// Requests with a suspected feature ran without a crash.
    #[prost(message, tag = "24")]
    RunsPassed(RunsPassedFrame),
    /// Requests a trial run of a suspected feature.
    #[prost(message, tag = "25")]
    TrialRequest(TrialFrame),
    /// The answer to a request for a trial run.
    #[prost(message, tag = "26")]
    TrialAnswer(TrialAnswerFrame),
    /// The sender's trial run is over.
    #[prost(message, tag = "27")]
    TrialDone(TrialFrame),
    /// Requests all crash cases.
    #[prost(message, tag = "28")]
    CasesWanted(CasesWantedFrame),
    /// Crash cases that the sender knows.
    #[prost(message, tag = "29")]
    CasesContent(CasesContentFrame),
    /// A replica's report of its rate limit.
    #[prost(message, tag = "30")]
    LimitStated(LimitFrame),
    /// Requests the limit reports of all replicas.
    #[prost(message, tag = "31")]
    LimitsWanted(LimitsWantedFrame),
    /// Limit reports that the sender knows.
    #[prost(message, tag = "32")]
    LimitsContent(LimitsContentFrame),
    /// Requests a permit to send to a rate-limited replica.
    #[prost(message, tag = "33")]
    PermitRequest(PermitRequestFrame),
    /// The answer to a permit request.
    #[prost(message, tag = "34")]
    PermitAnswer(PermitAnswerFrame),
    /// A permit was not used.
    #[prost(message, tag = "35")]
    PermitReturned(PermitReturnedFrame),
    /// The sender issues no more permits for some rate-limited replicas.
    #[prost(message, tag = "36")]
    LimitsHandedOver(LimitsHandedOverFrame),
    /// Asks how recently the receiver's configuration was proved current.
    #[prost(message, tag = "37")]
    ProofRequest(ProofRequestFrame),
    /// The answer to a request for proof.
    #[prost(message, tag = "38")]
    ProofAnswer(ProofAnswerFrame),
    /// Requests tokens of a workspace's quota.
    #[prost(message, tag = "40")]
    QuotaRequest(QuotaRequestFrame),
    /// The answer to a request for tokens.
    #[prost(message, tag = "41")]
    QuotaAnswer(QuotaAnswerFrame),
    /// Tokens were not used.
    #[prost(message, tag = "42")]
    QuotaReturned(QuotaTokensFrame),
    /// The sender grants no more tokens of a workspace's quota.
    #[prost(message, tag = "43")]
    QuotaHandedOver(QuotaTokensFrame),
    /// Requests a slot for a send from the owner of a plain service.
    #[prost(message, tag = "50")]
    SendSlotRequest(SendSlotRequestFrame),
    /// The answer to a request for a slot of a plain service.
    #[prost(message, tag = "51")]
    SendSlotAnswer(SendSlotAnswerFrame),
    /// A send that held or awaited a slot of a plain service ended.
    #[prost(message, tag = "52")]
    SendSlotReleased(SendSlotReleasedFrame),
}
