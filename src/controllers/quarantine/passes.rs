//! Features of requests that this node completed lately. A feature whose requests complete all the time is
//! not suspected for long when an upstream crashes for another reason.

use crate::blackboard::RequestFeature;
use crate::prelude::*;

/// How long a pass is kept at least, in milliseconds; twice that at most.
const RETENTION_MS: u64 = 10_000;

/// The most features kept per generation.
const MAX_FEATURES: usize = 4_096;

/// Numbers of passes by feature, in two generations: the older one is dropped when the younger one is old or
/// full, so memory is bounded however many features there are.
#[derive(Debug, Default)]
pub struct PassMemory {
    recent: FastMap<RequestFeature, u32>,
    earlier: FastMap<RequestFeature, u32>,
    rotate_at: Moment,
}

impl PassMemory {
    /// Records that a request with these features passed.
    pub fn record(&mut self, feature: RequestFeature, now: Moment) {
        self.rotate(now);
        if self.recent.len() >= MAX_FEATURES && !self.recent.contains_key(&feature) {
            self.start_generation(now);
        }
        let count = self.recent.entry(feature).or_default();
        *count = count.saturating_add(1);
    }

    /// Removes and returns the number of passes of a feature.
    pub fn take(&mut self, feature: RequestFeature, now: Moment) -> u32 {
        self.rotate(now);
        let recent = self.recent.remove(&feature).unwrap_or_default();
        let earlier = self.earlier.remove(&feature).unwrap_or_default();
        recent.saturating_add(earlier)
    }

    /// Whether a pass of a feature is kept.
    pub fn contains(&self, feature: RequestFeature) -> bool {
        self.recent.contains_key(&feature) || self.earlier.contains_key(&feature)
    }

    fn rotate(&mut self, now: Moment) {
        if !now.reached(self.rotate_at) {
            return;
        }
        if now.reached(self.rotate_at.after_ms(RETENTION_MS)) {
            // Nothing was recorded for a whole generation.
            self.recent.clear();
        }
        self.start_generation(now);
    }

    fn start_generation(&mut self, now: Moment) {
        self.earlier = std::mem::take(&mut self.recent);
        self.rotate_at = now.after_ms(RETENTION_MS);
    }
}
