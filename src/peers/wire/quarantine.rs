//! Frames for features of requests that are suspected of crashing upstreams. A frame on one feature has a
//! hash of a request's content or of a part of a prompt; the other hash is zero.

use prost::Message;

/// The report that an upstream crashed while it ran a request.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReportFrame {
    /// A hash of the request's content; may be zero within a [`CaseFrame`] on it.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// The name of the upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// Number of the upstream's start; zero if unknown.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// One more than the content's crash count in a row that was known when the run began; zero if the content
    /// is not suspected.
    #[prost(uint32, tag = "4")]
    pub crash_count: u32,
    /// Time since the crash, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// The VM that detected the crash.
    #[prost(string, tag = "6")]
    pub seen_by: String,
    /// Hashes of the suspected parts of the request's prompt.
    #[prost(fixed64, repeated, tag = "7")]
    pub parts: Vec<u64>,
    /// For each of the parts, one more than its crash count in a row that was known when the run began.
    #[prost(uint32, repeated, tag = "8")]
    pub part_counts: Vec<u32>,
}

/// Passes have cleared a feature of suspicion.
#[derive(Clone, PartialEq, Message)]
pub struct ClearedFrame {
    /// A hash of a request's content.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// The highest crash count among the reports that the feature is cleared of.
    #[prost(uint32, tag = "2")]
    pub crash_count: u32,
    /// A hash of a part of prompts.
    #[prost(fixed64, tag = "3")]
    pub part: u64,
}

/// Requests with a suspected feature ran without a crash.
#[derive(Clone, PartialEq, Message)]
pub struct RunsPassedFrame {
    /// A hash of a request's content.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// A hash of a part of prompts.
    #[prost(fixed64, tag = "2")]
    pub part: u64,
    /// Number of runs; zero counts as one.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// The feature's crash count in a row that the sender knows; `None` if it does not say.
    #[prost(uint32, optional, tag = "4")]
    pub crash_count: Option<u32>,
}

/// Requests a trial run of a suspected feature, or reports that the trial run is over.
#[derive(Clone, PartialEq, Message)]
pub struct TrialFrame {
    /// A hash of a request's content.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// The sender's number for the trial run.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Time until an answer is of use, in milliseconds; zero in a report that the trial run is over.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
    /// A hash of a part of prompts.
    #[prost(fixed64, tag = "4")]
    pub part: u64,
    /// Whether the run is of use although the feature is quarantined, as it shows which of several features is
    /// the cause.
    #[prost(bool, tag = "5")]
    pub tells_apart: bool,
}

/// The answer to a request for a trial run.
#[derive(Clone, PartialEq, Message)]
pub struct TrialAnswerFrame {
    /// The requester's number for the trial run.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// 0: granted; 1: another trial run is in progress; 2: the feature is quarantined.
    #[prost(uint32, tag = "2")]
    pub verdict: u32,
    /// The feature's crash count in a row if granted, zero otherwise.
    #[prost(uint32, tag = "3")]
    pub crash_count: u32,
    /// The remaining time of the quarantine, in milliseconds; zero if not quarantined.
    #[prost(uint64, tag = "4")]
    pub span_ms: u64,
    /// Number of runs that passed since the latest crash if granted, zero otherwise.
    #[prost(uint32, tag = "5")]
    pub passes: u32,
}

/// Requests all crash cases.
#[derive(Clone, PartialEq, Message)]
pub struct CasesWantedFrame {}

/// A feature that is suspected of crashing upstreams.
#[derive(Clone, PartialEq, Message)]
pub struct CaseFrame {
    /// A hash of a request's content.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// Whether passes have cleared it of these reports.
    #[prost(bool, tag = "2")]
    pub is_cleared: bool,
    /// The crash reports.
    #[prost(message, repeated, tag = "3")]
    pub reports: Vec<CrashReportFrame>,
    /// A hash of a part of prompts.
    #[prost(fixed64, tag = "4")]
    pub part: u64,
}

/// Crash cases that the sender knows.
#[derive(Clone, PartialEq, Message)]
pub struct CasesContentFrame {
    /// One entry for each feature.
    #[prost(message, repeated, tag = "1")]
    pub cases: Vec<CaseFrame>,
}
