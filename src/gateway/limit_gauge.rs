//! Metrics of rate-limited replicas: the limit, its age, and the requests that this VM sent there.
//!
//! These labels name replicas: few report limits at a time, and at most [`MOST_SHOWN`] have labels.

use std::sync::Mutex;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

use crate::blackboard::{RateLimit, ReplicaId};
use crate::prelude::*;
use crate::reports::MeterRegistry;
use crate::runtime::{Snapshot, lock};

/// Maximum number of replicas that have labels at a time.
const MOST_SHOWN: usize = 64;

/// The metrics of rate limits that replicas report.
pub struct LimitGauge {
    limits: Gauge<u64>,
    rate: Gauge<u64>,
    age: Gauge<u64>,
    arrivals: Counter<u64>,
    /// The current labels of each replica with a limit.
    shown: Mutex<FastMap<ReplicaId, Vec<KeyValue>>>,
}

impl LimitGauge {
    /// Registers the metrics.
    pub fn new(meters: &MeterRegistry) -> Self {
        let rate_about = "What a replica takes, in thousandths of a request a second, by who was told so.";
        Self {
            limits: meters.gauge("limited_replicas", "Replicas that name a limit."),
            rate: meters.gauge("replica_limit_thousandths", rate_about),
            age: meters.gauge(
                "replica_limit_age_ms",
                "How long a replica has named a limit; zero where it names none any more.",
            ),
            arrivals: meters.counter(
                "limited_arrivals",
                "Requests to replicas that named a limit then.",
            ),
            shown: Mutex::default(),
        }
    }

    /// Counts a request to a replica that reports a limit.
    pub fn note_arrival(&self, id: &ReplicaId) {
        if lock(&self.shown).len() < MOST_SHOWN {
            self.arrivals.add(1, &[KeyValue::new("replica", id.to_string())]);
        }
    }

    /// Records the limits in force, and sets the age of those that have ended to zero.
    pub fn record(&self, snapshot: &Snapshot, now: Moment) {
        let limits = &snapshot.rate_limits;
        self.limits.record(limits.len() as u64, &[]);
        let mut shown = lock(&self.shown);
        shown.retain(|id, labels| {
            let is_same = limits
                .get(id)
                .is_some_and(|limit| *labels == labels_of(id, limit));
            if !is_same {
                self.age.record(0, labels);
            }
            is_same
        });
        for (id, limit) in limits.iter() {
            if shown.len() < MOST_SHOWN || shown.contains_key(id) {
                let labels = labels_of(id, limit);
                self.rate.record(limit.rate.0, &labels);
                self.age.record(limit.first_named_at.until_ms(now), &labels);
                shown.insert(id.clone(), labels);
            }
        }
    }
}

fn labels_of(id: &ReplicaId, limit: &RateLimit) -> Vec<KeyValue> {
    vec![
        KeyValue::new("replica", id.to_string()),
        KeyValue::new("replica_start", limit.started_epoch_ms.to_string()),
        KeyValue::new("seen_by", limit.seen_by.to_string()),
    ]
}
