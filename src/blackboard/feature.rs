//! Features of requests: what several requests can have in common and what may crash upstreams.

use std::fmt;
use std::sync::Arc;

use super::{Fingerprint, hash_parts};
use crate::prelude::*;

/// The most parts of a prompt that are told apart; later ones are ignored.
const MAX_PARTS: usize = 64;

/// The most features that a log line lists, as lines are cut at a length of some hundred bytes.
const MAX_LOGGED: usize = 6;

/// Kind of a feature.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FeatureKind {
    /// A part of a prompt, which unlike requests may share.
    Part,
    /// All content of a request, which only repeats of it share.
    Content,
}

impl FeatureKind {
    /// The word used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Part => "part",
            Self::Content => "content",
        }
    }
}

/// Something that requests can have in common and that may crash upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFeature {
    /// What the hash covers.
    pub kind: FeatureKind,
    /// Hash of the content, or of a part and its model.
    pub hash: Fingerprint,
}

impl RequestFeature {
    /// The feature of all requests with the same content.
    pub fn content(hash: Fingerprint) -> Self {
        Self {
            kind: FeatureKind::Content,
            hash,
        }
    }

    /// The feature of all requests to a model with this part in their prompts.
    pub fn part(model: &str, part: &[u8]) -> Self {
        Self {
            kind: FeatureKind::Part,
            hash: hash_parts(&[b"part", model.as_bytes(), part]),
        }
    }
}

/// As refusals name it: the hash, after the word for a part.
impl fmt::Display for RequestFeature {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            FeatureKind::Part => write!(formatter, "part {:016x}", self.hash),
            FeatureKind::Content => write!(formatter, "{:016x}", self.hash),
        }
    }
}

/// The features of one request: its content first, then the parts of its prompt that others may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeatureSet(Arc<[RequestFeature]>);

impl FeatureSet {
    /// Creates the features of a request; parts that occur twice count once.
    pub fn new(content: Fingerprint, parts: impl IntoIterator<Item = RequestFeature>) -> Self {
        let mut features = vec![RequestFeature::content(content)];
        let mut known = FastSet::default();
        let parts = parts.into_iter().filter(|part| known.insert(*part));
        features.extend(parts.take(MAX_PARTS));
        Self(features.into())
    }

    /// Hash of the request's content.
    pub fn content(&self) -> Fingerprint {
        self.0[0].hash
    }

    /// The parts of its prompt that others may share, in order.
    pub fn parts(&self) -> &[RequestFeature] {
        &self.0[1..]
    }

    /// All features, the content first.
    pub fn as_slice(&self) -> &[RequestFeature] {
        &self.0
    }

    /// Whether the request has a feature.
    pub fn contains(&self, feature: RequestFeature) -> bool {
        self.0.contains(&feature)
    }
}

/// Formats the hashes of features for the log; a dash if there are none.
pub fn join_hashes(features: impl Iterator<Item = RequestFeature>) -> String {
    let hashes: Vec<String> = features
        .take(MAX_LOGGED)
        .map(|feature| format!("{:016x}", feature.hash))
        .collect();
    if hashes.is_empty() {
        "-".to_owned()
    } else {
        hashes.join(",")
    }
}
