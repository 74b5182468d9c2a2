//! What every request handler needs.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use http_types::Response;

use crate::blackboard::OwnIdentity;
use crate::controllers::hedging::LatencyWindow;
use crate::controllers::idempotency::KeyScope;
use crate::controllers::slots::RequestId;
use crate::peers::PeerHub;
use crate::prelude::*;
use crate::reports::MetricSet;
use crate::runtime::{ControlHandle, Snapshot};
use crate::settings::EntrySettings;

/// A service and one of its operations.
type ServiceOperation = (Arc<str>, Arc<str>);

/// Shared by all traffic tasks of a node.
pub struct TrafficContext {
    /// The settings in force.
    pub settings: EntrySettings,
    /// This node.
    pub own: OwnIdentity,
    /// The way to the control thread.
    pub control: ControlHandle,
    /// The metrics.
    pub metrics: MetricSet,
    /// The links to peers.
    pub hub: Arc<PeerHub>,
    next_request: AtomicU64,
    boots: Mutex<FastMap<Arc<str>, u64>>,
    latencies: Mutex<FastMap<ServiceOperation, LatencyWindow>>,
}

impl TrafficContext {
    /// A context for one node.
    pub fn new(
        settings: EntrySettings,
        own: OwnIdentity,
        control: ControlHandle,
        metrics: MetricSet,
        hub: Arc<PeerHub>,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings,
            own,
            control,
            metrics,
            hub,
            next_request: AtomicU64::default(),
            boots: Mutex::default(),
            latencies: Mutex::default(),
        })
    }

    /// The present view of the board.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.control.snapshot()
    }

    /// An id that no other attempt of any process has.
    pub fn next_request_id(&self) -> RequestId {
        let serial = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}~{:032x}~{serial}", self.own.name, self.own.incarnation).into()
    }

    /// The number of the upstream's present start, as last seen; zero where it was never seen.
    pub fn boot_of(&self, upstream: &str) -> u64 {
        let boots = self.boots.lock().expect("no holder of this lock panics");
        boots.get(upstream).copied().unwrap_or_default()
    }

    /// Notes which start of an upstream answered, where its answer names one.
    pub fn note_start(&self, upstream: &Arc<str>, response: &Response) {
        let boot = response
            .header("x-boot")
            .and_then(|values| values.last().as_str().parse().ok());
        if let Some(boot) = boot {
            let mut boots = self.boots.lock().expect("no holder of this lock panics");
            boots.insert(upstream.clone(), boot);
        }
    }

    fn with_latencies<T>(&self, scope: &KeyScope, work: impl FnOnce(&mut LatencyWindow) -> T) -> T {
        let mut latencies = self.latencies.lock().expect("no holder of this lock panics");
        let operation = (scope.service.clone(), scope.operation.clone());
        work(latencies.entry(operation).or_default())
    }

    /// Notes how long an idempotent call took.
    pub fn note_latency(&self, scope: &KeyScope, elapsed_ms: u64) {
        self.with_latencies(scope, |window| window.record(elapsed_ms));
    }

    /// How long to wait for an idempotent call's first answer, in milliseconds.
    pub fn hedge_delay_ms(&self, scope: &KeyScope) -> u64 {
        self.with_latencies(scope, |window| window.hedge_delay_ms())
    }

    /// Addresses of other entries, for a caller that is turned away.
    pub fn other_entries(&self, caller: &str) -> Vec<String> {
        let snapshot = self.snapshot();
        let others: Vec<VmRecord> = snapshot
            .live_vms
            .iter()
            .filter(|vm| vm.name != self.own.name)
            .cloned()
            .collect();
        let ranked = crate::controllers::resolve::rank_entries(&others, Some(&self.own.zone), caller);
        ranked.iter().map(ToString::to_string).collect()
    }
}
