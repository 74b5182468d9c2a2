//! Metrics of rate-limited replicas: the limit, its age, and the requests that this VM sent there.
//!
//! The labels name replicas. Their number stays small, since few replicas report limits at a time and at most
//! [`MAX_LABELED_REPLICAS`] have labels.

use std::sync::Mutex;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

use crate::blackboard::{RateLimit, ReplicaId};
use crate::prelude::*;
use crate::reports::MeterRegistry;
use crate::runtime::{Snapshot, lock};

/// Maximum number of replicas that have labels at a time.
const MAX_LABELED_REPLICAS: usize = 64;

/// The metrics of rate limits that replicas report.
pub struct LimitGauge {
    limits: Gauge<u64>,
    rate: Gauge<u64>,
    age: Gauge<u64>,
    arrivals: Counter<u64>,
    /// The current labels of each replica with a limit.
    labels_by_replica: Mutex<FastMap<ReplicaId, Vec<KeyValue>>>,
}

impl LimitGauge {
    /// Registers the metrics.
    pub fn new(meters: &MeterRegistry) -> Self {
        let rate_description =
            "What a replica takes, in thousandths of a request a second, by who was told so.";
        Self {
            limits: meters.gauge("limited_replicas", "Replicas that name a limit."),
            rate: meters.gauge("replica_limit_thousandths", rate_description),
            age: meters.gauge(
                "replica_limit_age_ms",
                "How long a replica has named a limit; zero where it names none any more.",
            ),
            arrivals: meters.counter(
                "limited_arrivals",
                "Requests to replicas that named a limit then.",
            ),
            labels_by_replica: Mutex::default(),
        }
    }

    /// Counts a request to a replica that reports a limit, unless the maximum number of replicas has labels.
    pub fn count_arrival(&self, id: &ReplicaId) {
        if lock(&self.labels_by_replica).len() < MAX_LABELED_REPLICAS {
            self.arrivals.add(1, &[KeyValue::new("replica", id.to_string())]);
        }
    }

    /// Records the limits in force, and sets the age of those that have ended to zero.
    pub fn record(&self, snapshot: &Snapshot, now: Moment) {
        let limits = &snapshot.rate_limits;
        self.limits.record(limits.len() as u64, &[]);
        let mut labels_by_replica = lock(&self.labels_by_replica);
        labels_by_replica.retain(|id, labels| {
            let is_current = limits
                .get(id)
                .is_some_and(|limit| *labels == limit_labels(id, limit));
            if !is_current {
                self.age.record(0, labels);
            }
            is_current
        });
        for (id, limit) in limits.iter() {
            if labels_by_replica.len() < MAX_LABELED_REPLICAS || labels_by_replica.contains_key(id) {
                let labels = limit_labels(id, limit);
                self.rate.record(limit.rate.0, &labels);
                self.age.record(limit.first_reported_at.until_ms(now), &labels);
                labels_by_replica.insert(id.clone(), labels);
            }
        }
    }
}

fn limit_labels(id: &ReplicaId, limit: &RateLimit) -> Vec<KeyValue> {
    vec![
        KeyValue::new("replica", id.to_string()),
        KeyValue::new("replica_start", limit.started_epoch_ms.to_string()),
        KeyValue::new("seen_by", limit.seen_by.to_string()),
    ]
}
