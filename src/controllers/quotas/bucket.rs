//! The token bucket of one workspace's quota, and its dimensions.

use crate::prelude::*;
use crate::register::{QuotaRule, QuotaUnit};

/// The part of the tolerated overshoot by which the refill rate exceeds the quota's rate. Tokens that are
/// returned or unused would otherwise leave a part of the quota unused.
const REFILL_OVERSHOOT_PART: f64 = 0.2;

/// The part of the tolerated overshoot by which the capacity exceeds the quota's burst.
const BURST_OVERSHOOT_PART: f64 = 0.4;

/// The part of the slack that the capacity includes. The rest covers what a second owner may grant.
const SLACK_PART: f64 = 0.3;

/// The least time of its rate for which a bucket saves up, in milliseconds. Requests arrive unevenly: without
/// burst and slack, nine tenths of a quota were unused where they came every 50 ms.
const MIN_CAPACITY_MS: f64 = 250.0;

/// The part of its capacity that a new owner begins with: the previous one may have granted all of its own.
const NEW_OWNER_PART: f64 = 0.1;

/// The longest time until enough tokens are in the bucket that is reported, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// How far the arrivals at replicas may exceed a quota in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Share by which a quota may be exceeded.
    pub overshoot: f64,
    /// Tokens by which a quota may be exceeded on top of the share.
    pub slack: f64,
}

impl QuotaTolerance {
    /// What an owner may grant beyond the part of the VMs that it reaches, in percent of the quota. The
    /// refill and all owners together stay within the overshoot.
    pub fn majority_percent(&self) -> u64 {
        (self.overshoot * BURST_OVERSHOOT_PART * 100.0) as u64
    }
}

/// The dimensions of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketSize {
    /// Refill, in units per second.
    pub refill_per_s: f64,
    /// The most units that the bucket holds.
    pub capacity: f64,
}

impl BucketSize {
    /// Computes the dimensions for a quota.
    pub fn new(quota: &QuotaRule, tolerance: &QuotaTolerance) -> Self {
        let slack = match quota.unit {
            QuotaUnit::Tokens => tolerance.slack * SLACK_PART,
            // The slack counts tokens.
            QuotaUnit::Requests => 0.0,
        };
        let burst = quota.burst * (1.0 + tolerance.overshoot * BURST_OVERSHOOT_PART);
        let min_capacity = (quota.rate_per_s * MIN_CAPACITY_MS / 1_000.0).max(1.0);
        Self {
            refill_per_s: quota.rate_per_s * (1.0 + tolerance.overshoot * REFILL_OVERSHOOT_PART),
            capacity: (burst + slack).max(min_capacity),
        }
    }
}

/// A token bucket, of which this VM may grant a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    size: BucketSize,
    /// The part of the refill and the capacity that this VM may grant.
    part: f64,
    /// Units that may be granted. A request that costs more than the capacity makes it negative.
    level: f64,
    refilled_at: Moment,
}

impl TokenBucket {
    /// Creates a bucket that holds what a new owner begins with.
    pub fn new(size: BucketSize, now: Moment) -> Self {
        Self {
            size,
            part: 1.0,
            level: size.capacity * NEW_OWNER_PART,
            refilled_at: now,
        }
    }

    /// Units that may be granted now.
    pub fn level(&self) -> f64 {
        self.level
    }

    fn limit(&self) -> f64 {
        self.size.capacity * self.part
    }

    fn refill(&mut self, now: Moment) {
        let elapsed_s = self.refilled_at.until_ms(now) as f64 / 1_000.0;
        let refilled = self.level + elapsed_s * self.size.refill_per_s * self.part;
        self.level = refilled.min(self.limit());
        self.refilled_at = now;
    }

    /// Changes the dimensions. A level above the new capacity is clipped at once.
    pub fn resize(&mut self, size: BucketSize, now: Moment) {
        self.refill(now);
        self.size = size;
        self.level = self.level.min(self.limit());
    }

    /// Changes the part that this VM may grant, and clips the level to it.
    pub fn set_part(&mut self, part: f64, now: Moment) {
        self.refill(now);
        self.part = part;
        self.level = self.level.min(self.limit());
    }

    /// Fills the bucket, at the first start of a deployment.
    pub fn fill(&mut self) {
        self.level = self.size.capacity;
    }

    /// Clips the level to what a new owner begins with.
    pub fn begin_tenure(&mut self, now: Moment) {
        self.refill(now);
        self.level = self.level.min(self.size.capacity * NEW_OWNER_PART);
    }

    /// Takes over the level of the previous owner, if it is higher.
    pub fn accept_level(&mut self, level: f64, now: Moment) {
        self.refill(now);
        self.level = self.level.max(level).min(self.size.capacity);
    }

    /// Takes out all units to hand them over.
    pub fn take_all(&mut self, now: Moment) -> f64 {
        self.refill(now);
        std::mem::replace(&mut self.level, 0.0).max(0.0)
    }

    /// Takes `least` units, or `wanted` if at least half of the capacity remains. A request that costs more
    /// than the capacity is granted from a full bucket, and following ones wait until it is paid off. The
    /// error is the time until the bucket holds enough, in milliseconds.
    pub fn take(&mut self, wanted: u64, least: u64, now: Moment) -> Result<u64, u64> {
        self.refill(now);
        let needed = (least as f64).min(self.limit());
        if self.part <= 0.0 || self.level < needed {
            let refill_per_ms = self.size.refill_per_s * self.part / 1_000.0;
            let wait_ms = ((needed - self.level) / refill_per_ms).ceil();
            return Err((wait_ms as u64).clamp(1, MAX_WAIT_MS));
        }
        let is_plentiful = self.level - wanted as f64 >= self.limit() / 2.0;
        let granted = if is_plentiful { wanted.max(least) } else { least };
        self.level -= granted as f64;
        Ok(granted)
    }

    /// Puts back units that were not used.
    pub fn put_back(&mut self, units: u64, now: Moment) {
        self.refill(now);
        self.level = (self.level + units as f64).min(self.limit());
    }
}
