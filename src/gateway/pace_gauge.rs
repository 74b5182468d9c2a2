//! Metrics of the replicas whose pace is restrained after a start or a recovery.

use std::sync::Mutex;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Gauge;

use crate::blackboard::ReplicaId;
use crate::controllers::pace::PaceLevel;
use crate::prelude::*;
use crate::reports::MeterRegistry;
use crate::runtime::lock;

/// Maximum number of replicas that have ever had labels; a series stays in the output once it has a value.
const MAX_LABELED_REPLICAS: usize = 64;

/// The share of its slots that a replica at its usual pace may use, in percent.
const USUAL_PERCENT: u64 = 100;

/// The metrics of restrained replicas.
pub struct PaceGauge {
    restrained: Gauge<u64>,
    percent: Gauge<u64>,
    labeled: Mutex<FastSet<ReplicaId>>,
}

impl PaceGauge {
    /// Registers the metrics.
    pub fn new(meters: &MeterRegistry) -> Self {
        let percent_description = "Concurrent requests that a replica may have after a start or a recovery, in percent of its slots.";
        Self {
            restrained: meters.gauge(
                "restrained_replicas",
                "Replicas that have less than all slots after a start or a recovery, by who restrains them.",
            ),
            percent: meters.gauge("replica_pace_percent", percent_description),
            labeled: Mutex::default(),
        }
    }

    /// Records the restrained plain replicas, and the engines that this VM restrains as the owner of their
    /// groups. Those that were restrained earlier are back at all of their slots.
    pub fn record(&self, plain: &[PaceLevel], engines: &[PaceLevel]) {
        for (decider, levels) in [("vm", plain), ("owner", engines)] {
            self.restrained
                .record(levels.len() as u64, &[KeyValue::new("by", decider)]);
        }
        let mut labeled = lock(&self.labeled);
        for id in labeled.iter() {
            self.record_percent(id, USUAL_PERCENT);
        }
        for level in plain.iter().chain(engines) {
            if labeled.len() < MAX_LABELED_REPLICAS || labeled.contains(&level.replica) {
                self.record_percent(&level.replica, u64::from(level.percent));
                labeled.insert(level.replica.clone());
            }
        }
    }

    fn record_percent(&self, id: &ReplicaId, percent: u64) {
        let label = KeyValue::new("replica", id.to_string());
        self.percent.record(percent, &[label]);
    }
}
