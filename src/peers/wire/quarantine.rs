//! Frames about requests under which upstreams ended.

use prost::Message;

/// An upstream's end under a request.
#[derive(Clone, PartialEq, Message)]
pub struct StrikeFrame {
    /// A hash of the content; zero within a case, which has it.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// Which start of it.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// One more than the level that was known as the run began.
    #[prost(uint32, tag = "4")]
    pub level: u32,
    /// How long ago it ended, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// The VM that saw it.
    #[prost(string, tag = "6")]
    pub seen_by: String,
}

/// Whole runs have cleared a request.
#[derive(Clone, PartialEq, Message)]
pub struct ClearedFrame {
    /// A hash of the content.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The highest level of the strikes that it is cleared of.
    #[prost(uint32, tag = "2")]
    pub level: u32,
}

/// A suspected request ran to its end.
#[derive(Clone, PartialEq, Message)]
pub struct RunWholeFrame {
    /// A hash of the content.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
}

/// The sender wants to run a suspected request, or its run is over.
#[derive(Clone, PartialEq, Message)]
pub struct TrialFrame {
    /// A hash of the content.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The sender's number for the run.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Milliseconds until it must have been answered; zero where it is over.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
}

/// Whether a suspected request may run.
#[derive(Clone, PartialEq, Message)]
pub struct TrialAnswerFrame {
    /// The number of the run.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// 0: it may; 1: another run is under way; 2: it is held back.
    #[prost(uint32, tag = "2")]
    pub verdict: u32,
    /// How far it is suspected, where it may run.
    #[prost(uint32, tag = "3")]
    pub level: u32,
    /// For how many milliseconds it is held back.
    #[prost(uint64, tag = "4")]
    pub span_ms: u64,
}

/// All cases are wanted.
#[derive(Clone, PartialEq, Message)]
pub struct CasesWantedFrame {}

/// One request under which upstreams ended.
#[derive(Clone, PartialEq, Message)]
pub struct CaseFrame {
    /// A hash of the content.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Whether whole runs have cleared it of these strikes.
    #[prost(bool, tag = "2")]
    pub is_cleared: bool,
    /// The strikes.
    #[prost(message, repeated, tag = "3")]
    pub strikes: Vec<StrikeFrame>,
}

/// Some cases.
#[derive(Clone, PartialEq, Message)]
pub struct CasesContentFrame {
    /// The cases.
    #[prost(message, repeated, tag = "1")]
    pub cases: Vec<CaseFrame>,
}
