//! What every request handler needs.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::blackboard::OwnIdentity;
use crate::controllers::slots::RequestId;
use crate::prelude::*;
use crate::reports::MetricSet;
use crate::runtime::{ControlHandle, Snapshot};
use crate::settings::EntrySettings;

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
    next_request: AtomicU64,
    boots: Mutex<FastMap<Arc<str>, u64>>,
}

impl TrafficContext {
    /// A context for one node.
    pub fn new(
        settings: EntrySettings,
        own: OwnIdentity,
        control: ControlHandle,
        metrics: MetricSet,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings,
            own,
            control,
            metrics,
            next_request: AtomicU64::default(),
            boots: Mutex::default(),
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

    /// Notes the number of an upstream's present start.
    pub fn note_boot(&self, upstream: &Arc<str>, boot: u64) {
        let mut boots = self.boots.lock().expect("no holder of this lock panics");
        boots.insert(upstream.clone(), boot);
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
