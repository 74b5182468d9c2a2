//! Frames for requests that are suspected of crashing upstreams.

use prost::Message;

/// The report that an upstream crashed while it ran a request.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReportFrame {
    /// A hash of the request's content; zero within a [`CaseFrame`], which has its own.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The name of the upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// Number of the upstream's start; zero if unknown.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// One more than the crash count in a row that was known when the run began.
    #[prost(uint32, tag = "4")]
    pub crash_count: u32,
    /// Time since the crash, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// The VM that detected the crash.
    #[prost(string, tag = "6")]
    pub seen_by: String,
}

/// Complete runs have cleared a request of suspicion.
#[derive(Clone, PartialEq, Message)]
pub struct ClearedFrame {
    /// A hash of the request's content.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The highest crash count among the reports that the request is cleared of.
    #[prost(uint32, tag = "2")]
    pub crash_count: u32,
}

/// A suspected request ran to completion.
#[derive(Clone, PartialEq, Message)]
pub struct RunCompletedFrame {
    /// A hash of the request's content.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
}

/// Requests a trial run of a suspected request, or reports that the trial run is over.
#[derive(Clone, PartialEq, Message)]
pub struct TrialFrame {
    /// A hash of the request's content.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The sender's number for the trial run.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Time until an answer is of use, in milliseconds; zero in a report that the trial run is over.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
}

/// The answer to a request for a trial run.
#[derive(Clone, PartialEq, Message)]
pub struct TrialAnswerFrame {
    /// The requester's number for the trial run.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// 0: granted; 1: another trial run is in progress; 2: the request is quarantined.
    #[prost(uint32, tag = "2")]
    pub verdict: u32,
    /// The request's crash count in a row if granted, zero otherwise.
    #[prost(uint32, tag = "3")]
    pub crash_count: u32,
    /// The remaining time of the quarantine, in milliseconds; zero if not quarantined.
    #[prost(uint64, tag = "4")]
    pub span_ms: u64,
}

/// Requests all crash cases.
#[derive(Clone, PartialEq, Message)]
pub struct CasesWantedFrame {}

/// A request that is suspected of crashing upstreams.
#[derive(Clone, PartialEq, Message)]
pub struct CaseFrame {
    /// A hash of the request's content.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Whether complete runs have cleared it of these reports.
    #[prost(bool, tag = "2")]
    pub is_cleared: bool,
    /// The crash reports; their fingerprints are zero.
    #[prost(message, repeated, tag = "3")]
    pub reports: Vec<CrashReportFrame>,
}

/// Crash cases that the sender knows.
#[derive(Clone, PartialEq, Message)]
pub struct CasesContentFrame {
    /// One entry for each request.
    #[prost(message, repeated, tag = "1")]
    pub cases: Vec<CaseFrame>,
}
