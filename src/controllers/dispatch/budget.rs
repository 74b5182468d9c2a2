//! Limits the extra sends (retries and hedges) of each service by a retry budget.
//!
//! The budget of all VMs together is a share of the requests plus a fixed slack. Each VM uses the share of
//! its own requests and an equal part of the slack, so no coordination is needed. A VM that doesn't know how
//! many VMs there are uses no slack. A restarted process gets its slack gradually over one window, since it
//! doesn't know what it used before.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::prelude::*;

/// The number of buckets in the sliding window; counts expire one bucket at a time.
const WINDOW_BUCKETS: u64 = 10;

/// The usable part of the budget, in percent. A margin is needed because no single count sees all requests
/// and retries of a window.
const USABLE_PERCENT: f64 = 80.0;

/// Requests and extra sends in one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct BucketCount {
    /// The bucket's start on this process's clock, divided by the buckets' length.
    index: u64,
    requests: u32,
    extra: u32,
}

/// The budget's decision on one extra send, and the figures that it is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetDecision {
    /// Whether the send is allowed. If so, it is already counted.
    pub is_covered: bool,
    /// The extra sends of this VM in the window, without this one.
    pub extra: u32,
    /// The most extra sends that this VM may make in the window.
    pub allowed: f64,
}

/// Counts requests and extra sends of each service in a sliding window.
#[derive(Debug)]
pub struct SendBudget {
    ratio: f64,
    slack: f64,
    bucket_ms: u64,
    /// The uptime at which a process has its full part of the slack, in milliseconds.
    warm_up_ms: u64,
    services: FastMap<Arc<str>, VecDeque<BucketCount>>,
}

impl SendBudget {
    /// Creates a budget of a share of the requests and a slack for all VMs together, over a window. On the
    /// first start of a deployment the slack is available at once, since nothing can have been used before.
    pub fn new(ratio: f64, slack: f64, window_ms: u64, is_first_start: bool) -> Self {
        Self {
            ratio,
            slack,
            bucket_ms: (window_ms / WINDOW_BUCKETS).max(1),
            warm_up_ms: if is_first_start { 0 } else { window_ms },
            services: FastMap::default(),
        }
    }

    /// The bucket of the current time. Removes the buckets that have left the window.
    fn current_bucket(&mut self, service: &Arc<str>, now: Moment) -> &mut BucketCount {
        let index = now.0 / self.bucket_ms;
        let buckets = self.services.entry(service.clone()).or_default();
        while buckets
            .front()
            .is_some_and(|count| count.index + WINDOW_BUCKETS <= index)
        {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|count| count.index != index) {
            buckets.push_back(BucketCount {
                index,
                ..BucketCount::default()
            });
        }
        buckets
            .back_mut()
            .unwrap_or_else(|| unreachable!("a bucket was added"))
    }

    /// Records a request, which adds to the budget.
    pub fn record_request(&mut self, service: &Arc<str>, now: Moment) {
        self.current_bucket(service, now).requests += 1;
    }

    /// Takes one extra send from the budget if one is left. `vm_count` is the number of VMs that share the
    /// slack, `None` if unknown.
    pub fn take(&mut self, service: &Arc<str>, vm_count: Option<usize>, now: Moment) -> BudgetDecision {
        self.current_bucket(service, now);
        let buckets = &self.services[service];
        let requests: u32 = buckets.iter().map(|count| count.requests).sum();
        let extra: u32 = buckets.iter().map(|count| count.extra).sum();
        let slack_per_vm = vm_count.map_or(0.0, |vm_count| self.slack / vm_count.max(1) as f64);
        let warm_up_fraction = match self.warm_up_ms {
            0 => 1.0,
            warm_up_ms => now.0.min(warm_up_ms) as f64 / warm_up_ms as f64,
        };
        let slack = slack_per_vm * warm_up_fraction;
        let allowed = (self.ratio * f64::from(requests) + slack) * USABLE_PERCENT / 100.0;
        let is_covered = f64::from(extra) + 1.0 <= allowed;
        if is_covered {
            self.current_bucket(service, now).extra += 1;
        }
        BudgetDecision {
            is_covered,
            extra,
            allowed,
        }
    }

    /// Puts extra sends that were taken but not made back into the budget, newest buckets first.
    pub fn give_back(&mut self, service: &Arc<str>, count: u32, now: Moment) {
        self.current_bucket(service, now);
        let Some(buckets) = self.services.get_mut(service) else {
            return;
        };
        let mut remaining = count;
        for bucket in buckets.iter_mut().rev() {
            let returned = bucket.extra.min(remaining);
            bucket.extra -= returned;
            remaining -= returned;
        }
    }
}
