//! The frames on peer links, encoded as protocol buffers. Field numbers never change their meaning.

mod keys;
mod members;
mod quarantine;
mod rate_limits;
mod replicas;
mod slots;

use prost::{Message, Oneof};

pub use keys::{HandedAnswerFrame, HandoffFrame, KeyAnswerFrame, KeyCallFrame};
pub use members::{
    ChallengeFrame, HeartbeatFrame, HelloFrame, IntroductionFrame, ProofFrame, VmSuspectedFrame,
    VmsKnownFrame, VmsWantedFrame,
};
pub use quarantine::{
    CaseFrame, CasesContentFrame, CasesWantedFrame, ClearedFrame, RunWholeFrame, StrikeFrame,
    TrialAnswerFrame, TrialFrame,
};
pub use rate_limits::{
    LimitFrame, LimitsContentFrame, LimitsHandedOverFrame, LimitsWantedFrame, PermitAnswerFrame,
    PermitAskFrame, PermitReturnedFrame,
};
pub use replicas::{
    EngineBusyFrame, RegisterContentFrame, RegisterWantedFrame, ReplicaFrame, ReplicaLeavingFrame,
    ReplicasContentFrame, ReplicasWantedFrame,
};
pub use slots::{GroupFrame, RefusalFrame, SlotAnswerFrame, SlotAskFrame, SlotHeldFrame, SlotReleaseFrame};

/// One frame.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// Its content.
    #[prost(
        oneof = "FrameBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32, 33, 34, 35, 36"
    )]
    pub body: Option<FrameBody>,
}

/// What a frame can be.
#[derive(Clone, PartialEq, Oneof)]
pub enum FrameBody {
    /// First frame, from the dialing process.
    #[prost(message, tag = "1")]
    Hello(HelloFrame),
    /// Answer of the listening process.
    #[prost(message, tag = "2")]
    Challenge(ChallengeFrame),
    /// The dialing process's proof.
    #[prost(message, tag = "3")]
    Proof(ProofFrame),
    /// The sender is alive.
    #[prost(message, tag = "4")]
    Heartbeat(HeartbeatFrame),
    /// A VM can't be reached.
    #[prost(message, tag = "5")]
    VmSuspected(VmSuspectedFrame),
    /// A register is wanted.
    #[prost(message, tag = "6")]
    RegisterWanted(RegisterWantedFrame),
    /// A register.
    #[prost(message, tag = "7")]
    RegisterContent(RegisterContentFrame),
    /// A request for slots.
    #[prost(message, tag = "8")]
    SlotRequest(SlotAskFrame),
    /// The answer to it.
    #[prost(message, tag = "9")]
    SlotAnswer(SlotAnswerFrame),
    /// A prefill ended.
    #[prost(message, tag = "10")]
    SlotPrefillDone(SlotReleaseFrame),
    /// Slots are given back.
    #[prost(message, tag = "11")]
    SlotRelease(SlotReleaseFrame),
    /// An upstream ended under a request.
    #[prost(message, tag = "12")]
    CrashReported(StrikeFrame),
    /// Whole runs have cleared a request.
    #[prost(message, tag = "13")]
    Cleared(ClearedFrame),
    /// A run-once call for the owner of its key.
    #[prost(message, tag = "14")]
    KeyCall(KeyCallFrame),
    /// The answer to it.
    #[prost(message, tag = "15")]
    KeyAnswer(KeyAnswerFrame),
    /// The outcomes of a leaving process.
    #[prost(message, tag = "16")]
    Handoff(HandoffFrame),
    /// A request holds slots that an earlier owner granted.
    #[prost(message, tag = "17")]
    SlotHeld(SlotHeldFrame),
    /// VMs that are taken for alive.
    #[prost(message, tag = "18")]
    VmsKnown(VmsKnownFrame),
    /// The list of replicas is wanted.
    #[prost(message, tag = "19")]
    ReplicasWanted(ReplicasWantedFrame),
    /// The list of replicas.
    #[prost(message, tag = "20")]
    ReplicasContent(ReplicasContentFrame),
    /// An engine is being moved to the other pool.
    #[prost(message, tag = "21")]
    EngineBusy(EngineBusyFrame),
    /// All VMs are wanted.
    #[prost(message, tag = "22")]
    VmsWanted(VmsWantedFrame),
    /// A replica is about to leave.
    #[prost(message, tag = "23")]
    ReplicaLeaving(ReplicaLeavingFrame),
    /// A suspected request ran to its end.
    #[prost(message, tag = "24")]
    RunCompleted(RunWholeFrame),
    /// The sender wants to run a suspected request.
    #[prost(message, tag = "25")]
    TrialRequest(TrialFrame),
    /// The answer to it.
    #[prost(message, tag = "26")]
    TrialAnswer(TrialAnswerFrame),
    /// The sender's run of it is over.
    #[prost(message, tag = "27")]
    TrialDone(TrialFrame),
    /// All requests under which upstreams ended are wanted.
    #[prost(message, tag = "28")]
    CasesWanted(CasesWantedFrame),
    /// Requests under which upstreams ended.
    #[prost(message, tag = "29")]
    CasesContent(CasesContentFrame),
    /// What a replica said of its limit.
    #[prost(message, tag = "30")]
    LimitStated(LimitFrame),
    /// What all replicas said of their limits is wanted.
    #[prost(message, tag = "31")]
    LimitsWanted(LimitsWantedFrame),
    /// What replicas said of their limits.
    #[prost(message, tag = "32")]
    LimitsContent(LimitsContentFrame),
    /// The sender wants to send a request to a replica that names a limit.
    #[prost(message, tag = "33")]
    PermitRequest(PermitAskFrame),
    /// The answer to it.
    #[prost(message, tag = "34")]
    PermitAnswer(PermitAnswerFrame),
    /// A permit was not used.
    #[prost(message, tag = "35")]
    PermitReturned(PermitReturnedFrame),
    /// The sender grants nothing of some limits any more.
    #[prost(message, tag = "36")]
    LimitsHandedOver(LimitsHandedOverFrame),
}
