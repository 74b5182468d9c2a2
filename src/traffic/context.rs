//! The state that all request handlers of a node share.

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

/// Settings, handles and measurements shared by all traffic tasks of a node.
pub struct TrafficContext {
    /// The node's settings, fixed at start.
    pub settings: EntrySettings,
    /// The identity of this node.
    pub own: OwnIdentity,
    /// The handle of the control thread.
    pub control: ControlHandle,
    /// The metrics of the node's traffic.
    pub metrics: MetricSet,
    /// The links to peers.
    pub hub: Arc<PeerHub>,
    next_request: AtomicU64,
    boot_numbers: Mutex<FastMap<Arc<str>, u64>>,
    latencies: Mutex<FastMap<ServiceOperation, LatencyWindow>>,
}

impl TrafficContext {
    /// Creates the context of one node, without measurements.
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
            boot_numbers: Mutex::default(),
            latencies: Mutex::default(),
        })
    }

    /// The latest published snapshot of the board.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.control.snapshot()
    }

    /// Creates an id that is unique among the attempts of all processes.
    pub fn next_request_id(&self) -> RequestId {
        let serial = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}~{:032x}~{serial}", self.own.name, self.own.incarnation).into()
    }

    /// The boot number that the upstream reported last; zero if it has reported none.
    pub fn known_boot(&self, upstream: &str) -> u64 {
        let boots = self.boot_numbers.lock().expect("no holder of this lock panics");
        boots.get(upstream).copied().unwrap_or_default()
    }

    /// Records the upstream's boot number from the `x-boot` header of its response, if it has one.
    pub fn record_boot(&self, upstream: &Arc<str>, response: &Response) {
        let boot = response
            .header("x-boot")
            .and_then(|values| values.last().as_str().parse().ok());
        if let Some(boot) = boot {
            let mut boots = self.boot_numbers.lock().expect("no holder of this lock panics");
            boots.insert(upstream.clone(), boot);
        }
    }

    fn with_latency_window<T>(&self, scope: &KeyScope, work: impl FnOnce(&mut LatencyWindow) -> T) -> T {
        let mut latencies = self.latencies.lock().expect("no holder of this lock panics");
        let operation = (scope.service.clone(), scope.operation.clone());
        work(latencies.entry(operation).or_default())
    }

    /// Records the latency of an idempotent call.
    pub fn record_latency(&self, scope: &KeyScope, elapsed_ms: u64) {
        self.with_latency_window(scope, |window| window.record(elapsed_ms));
    }

    /// How long to wait for the answer to an idempotent call before it is hedged, in milliseconds.
    pub fn hedge_delay_ms(&self, scope: &KeyScope) -> u64 {
        self.with_latency_window(scope, |window| window.hedge_delay_ms())
    }

    /// Addresses of other entry nodes for a caller that this node refuses, best first.
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
