//! How nodes make up what they know of deadly requests: those that begin, wake from a freeze or were cut off ask others.

use super::case::CrashReport;
use crate::blackboard::Fingerprint;
use crate::controllers::rendezvous::weight;

/// Cases in one message.
pub const CASES_EACH: usize = 64;

/// A case as it is told to another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CaseRecord {
    /// The request's content.
    pub fingerprint: Fingerprint,
    /// Whether whole runs have cleared it of these strikes.
    pub is_cleared: bool,
    /// The strikes.
    pub strikes: Vec<CrashReport>,
}

/// What a suspected request adds to the digest of all of them.
pub fn case_hash(fingerprint: Fingerprint, level: u32) -> u64 {
    weight(&fingerprint.to_string(), &level.to_string())
}
