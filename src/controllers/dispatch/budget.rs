//! How many extra sends a service may get from this node.
//!
//! All nodes share one budget: a share of the requests, and a reserve. Each node keeps the share of its own requests and
//! an even part of the reserve, so that no node has to ask another one. A node that can't tell how many share the reserve
//! leaves it alone, and one that was started again gets its part over a window, since it does not know what it used.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::prelude::*;

/// Parts into which the window is cut; what is older than the window is forgotten a part at a time.
const WINDOW_BUCKETS: u64 = 10;

/// The part of the budget that is used, in percent: requests and retries of a window are not all seen by one count.
const USABLE_PERCENT: f64 = 80.0;

/// Requests and extra sends in one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct BucketCount {
    index: u64,
    requests: u32,
    extra: u32,
}

/// What the budget says of one extra send, and the figures behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetDecision {
    /// Whether the send may go out; it is counted then.
    pub is_covered: bool,
    /// Extra sends of this node in the window before.
    pub extra: u32,
    /// How many it may make.
    pub allowed: f64,
}

/// Counts the extra sends of each service.
#[derive(Debug)]
pub struct SendBudget {
    share: f64,
    slack: f64,
    bucket_ms: u64,
    /// How long a process runs before it has its whole part of the reserve, in milliseconds.
    warm_up_ms: u64,
    services: FastMap<Arc<str>, VecDeque<BucketCount>>,
}

impl SendBudget {
    /// A budget of a share of the requests and a reserve for all nodes, over a window. Before the first start of a
    /// deployment nothing can have been used.
    pub fn new(share: f64, slack: f64, window_ms: u64, is_first_start: bool) -> Self {
        Self {
            share,
            slack,
            bucket_ms: (window_ms / WINDOW_BUCKETS).max(1),
            warm_up_ms: if is_first_start { 0 } else { window_ms },
            services: FastMap::default(),
        }
    }

    fn current(&mut self, service: &Arc<str>, now: Moment) -> &mut BucketCount {
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
            .unwrap_or_else(|| unreachable!("a part was added"))
    }

    /// Notes a request.
    pub fn record_request(&mut self, service: &Arc<str>, now: Moment) {
        self.current(service, now).requests += 1;
    }

    /// Takes one extra send where one is left; `vm_count` is how many nodes share the reserve, where that is known.
    pub fn take(&mut self, service: &Arc<str>, vm_count: Option<usize>, now: Moment) -> BudgetDecision {
        self.current(service, now);
        let buckets = &self.services[service];
        let requests: u32 = buckets.iter().map(|count| count.requests).sum();
        let extra: u32 = buckets.iter().map(|count| count.extra).sum();
        let slack_per_vm = vm_count.map_or(0.0, |vm_count| self.slack / vm_count.max(1) as f64);
        let warm_up_fraction = match self.warm_up_ms {
            0 => 1.0,
            span_ms => now.0.min(span_ms) as f64 / span_ms as f64,
        };
        let slack = slack_per_vm * warm_up_fraction;
        let allowed = (self.share * f64::from(requests) + slack) * USABLE_PERCENT / 100.0;
        let is_covered = f64::from(extra) + 1.0 <= allowed;
        if is_covered {
            self.current(service, now).extra += 1;
        }
        BudgetDecision {
            is_covered,
            extra,
            allowed,
        }
    }

    /// Gives extra sends back that did not go out.
    pub fn give_back(&mut self, service: &Arc<str>, count: u32, now: Moment) {
        self.current(service, now);
        let Some(buckets) = self.services.get_mut(service) else {
            return;
        };
        let mut left = count;
        for bucket in buckets.iter_mut().rev() {
            let returned = bucket.extra.min(left);
            bucket.extra -= returned;
            left -= returned;
        }
    }
}
