//! Metrics of workspaces' quotas: requests and units by outcome, and the wait for grants.

use std::sync::{Arc, Mutex};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

use super::quota_permit::QuotaDecision;
use crate::prelude::*;
use crate::reports::MeterRegistry;
use crate::runtime::lock;

/// Maximum number of workspaces that have labels of their own; the rest share one.
const MAX_LABELED_WORKSPACES: usize = 64;

/// The label of workspaces without one of their own.
const OTHER_WORKSPACES: &str = "other";

/// The metrics of quotas.
pub struct QuotaGauge {
    requests: Counter<u64>,
    units: Counter<u64>,
    wait: Histogram<f64>,
    labeled: Mutex<FastSet<Arc<str>>>,
}

impl QuotaGauge {
    /// Registers the metrics.
    pub fn new(meters: &MeterRegistry) -> Self {
        Self {
            requests: meters.counter(
                "quota_requests",
                "Requests of workspaces with a quota by workspace and outcome.",
            ),
            units: meters.counter(
                "quota_units",
                "Tokens or requests that these cost, by workspace and outcome.",
            ),
            wait: meters.histogram("quota_wait", "Until the tokens of a request were granted."),
            labeled: Mutex::default(),
        }
    }

    /// Counts a request that costs these units.
    pub fn count(&self, workspace: &Arc<str>, decision: QuotaDecision, units: u64) {
        let labels = [
            KeyValue::new("workspace", self.label(workspace)),
            KeyValue::new("fate", decision.as_str()),
        ];
        self.requests.add(1, &labels);
        self.units.add(units, &labels);
    }

    /// Records how long a request waited for its tokens, in milliseconds.
    pub fn record_wait(&self, elapsed_ms: u64) {
        self.wait.record(elapsed_ms as f64, &[]);
    }

    fn label(&self, workspace: &Arc<str>) -> Arc<str> {
        let mut labeled = lock(&self.labeled);
        if labeled.contains(workspace) {
            return workspace.clone();
        }
        if labeled.len() >= MAX_LABELED_WORKSPACES {
            return OTHER_WORKSPACES.into();
        }
        labeled.insert(workspace.clone());
        workspace.clone()
    }
}
