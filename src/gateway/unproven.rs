//! Requests that were lost on connections that may not have reached a replica. Their next sends use watched
//! connections, so that a proxy without a replica behind it is detected.

use std::sync::Mutex;

use crate::blackboard::{FeatureKind, FeatureSet, RequestFeature};
use crate::prelude::*;
use crate::runtime::lock;

/// How long a loss is kept for requests with the same content, in milliseconds.
const CONTENT_RETENTION_MS: u64 = 60_000;

/// How long a loss is kept for requests that share a part of the prompt, in milliseconds. These may be many, and
/// each of them waits while its connection is watched.
const PART_RETENTION_MS: u64 = 5_000;

/// Maximum number of losses kept.
const MAX_LOSSES: usize = 1_024;

/// Features of lost requests, each with the time at which it expires.
#[derive(Debug, Default)]
pub struct UnprovenLosses {
    losses: Mutex<FastMap<RequestFeature, Moment>>,
}

impl UnprovenLosses {
    /// Records a loss. If too many are kept, all earlier ones are dropped.
    pub fn record(&self, features: &FeatureSet, now: Moment) {
        let mut losses = lock(&self.losses);
        if losses.len() >= MAX_LOSSES {
            losses.retain(|_, expires_at| !now.reached(*expires_at));
        }
        if losses.len() >= MAX_LOSSES {
            losses.clear();
        }
        for feature in features.as_slice() {
            let retention_ms = match feature.kind {
                FeatureKind::Content => CONTENT_RETENTION_MS,
                FeatureKind::Part => PART_RETENTION_MS,
            };
            losses.insert(*feature, now.after_ms(retention_ms));
        }
    }

    /// Whether a loss of a request with one of these features is recorded and has not expired.
    pub fn contains(&self, features: &FeatureSet, now: Moment) -> bool {
        let losses = lock(&self.losses);
        let mut features = features.as_slice().iter();
        features.any(|feature| {
            losses
                .get(feature)
                .is_some_and(|expires_at| !now.reached(*expires_at))
        })
    }
}
