//! Metrics of the replicas that name limits: the limit, its age, and the requests that went there from this VM.
//!
//! Labels name replicas here, of which few name limits at a time; their number is bounded.

use std::sync::Mutex;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

use crate::blackboard::{RateLimit, ReplicaId};
use crate::prelude::*;
use crate::reports::MeterRegistry;
use crate::runtime::{Snapshot, lock};

/// Replicas that are shown by name over the life of a process.
const MOST_SHOWN: usize = 64;

/// The metrics of limits.
pub struct LimitGauge {
    limits: Gauge<u64>,
    rate: Gauge<u64>,
    age: Gauge<u64>,
    arrivals: Counter<u64>,
    /// The labels with which replicas are shown.
    shown: Mutex<FastMap<ReplicaId, Vec<KeyValue>>>,
}

impl LimitGauge {
    /// Sets the metrics up.
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

    /// Notes that a request went out to a replica that names a limit.
    pub fn note_arrival(&self, id: &ReplicaId) {
        if lock(&self.shown).len() < MOST_SHOWN {
            self.arrivals.add(1, &[KeyValue::new("replica", id.to_string())]);
        }
    }

    /// Takes over the limits in force.
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
