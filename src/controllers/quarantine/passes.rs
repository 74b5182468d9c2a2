//! Features of requests that this node completed lately. A feature whose requests complete all the time is
//! not suspected for long when an upstream crashes for another reason.

use crate::blackboard::RequestFeature;
use crate::prelude::*;

/// How long a pass is kept at least, in milliseconds; twice that at most.
const RETENTION_MS: u64 = 10_000;

/// The most features kept per generation.
const MAX_FEATURES: usize = 4_096;

/// Numbers of passes that were not reported to the owner of a feature's trial runs, by feature. They are kept
/// in two generations: the older one is dropped when the younger one is old or full, so memory is bounded
/// however many features there are.
#[derive(Debug, Default)]
pub struct PassMemory {
    recent: FastMap<RequestFeature, u32>,
    earlier: FastMap<RequestFeature, u32>,
    rotate_at: Moment,
}

impl PassMemory {
    /// Records a pass of a feature that the owner was not told of.
    pub fn record(&mut self, feature: RequestFeature, now: Moment) {
        let count = self.entry(feature, now);
        *count = count.saturating_add(1);
    }

    /// Records a pass of a feature that was reported to the owner.
    pub fn record_reported(&mut self, feature: RequestFeature, now: Moment) {
        self.entry(feature, now);
    }

    fn entry(&mut self, feature: RequestFeature, now: Moment) -> &mut u32 {
        self.rotate(now);
        if self.recent.len() >= MAX_FEATURES && !self.recent.contains_key(&feature) {
            self.start_generation(now);
        }
        self.recent.entry(feature).or_default()
    }

    /// Returns the number of unreported passes of a feature, which count as reported from now on.
    pub fn take_unreported(&mut self, feature: RequestFeature, now: Moment) -> u32 {
        self.rotate(now);
        let counts = [&mut self.recent, &mut self.earlier].map(|passes| {
            let count = passes.get_mut(&feature);
            count.map_or(0, std::mem::take)
        });
        counts[0].saturating_add(counts[1])
    }

    /// Whether a feature passed lately, reported or not.
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
