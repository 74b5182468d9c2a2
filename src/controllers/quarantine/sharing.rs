//! Synchronization of crash cases: nodes that have started, resumed or were partitioned ask others for
//! theirs.

use super::case::CrashReport;
use crate::blackboard::RequestFeature;
use crate::controllers::rendezvous::weight;

/// The most cases in one message.
pub const MAX_CASES_PER_MESSAGE: usize = 64;

/// A crash case as it is sent to another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CaseRecord {
    /// The suspected feature.
    pub feature: RequestFeature,
    /// Whether passes have cleared the feature of these crashes.
    pub is_cleared: bool,
    /// The crash reports that the sender keeps.
    pub reports: Vec<CrashReport>,
}

/// Hash of a suspected feature. The case digest in heartbeats is the XOR of these hashes.
pub fn case_hash(feature: RequestFeature, crash_count: u32) -> u64 {
    weight(&feature.to_string(), &crash_count.to_string())
}
