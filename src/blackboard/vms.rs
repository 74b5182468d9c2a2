//! The table of the other entry VMs, and the cached view of those that are alive.

use std::cell::RefCell;
use std::sync::Arc;

use super::{OwnIdentity, VmName, VmRecord};
use crate::controllers::message::{MemberView, VmIntroduction};
use crate::controllers::readers::{count_readers_ahead, first_readers};
use crate::controllers::rendezvous::weight;
use crate::controllers::ring::ring_neighbors;
use crate::prelude::*;

/// Data derived from the set of live VMs. It is needed for each message, and rebuilt only when something
/// changes.
#[derive(Clone, Debug)]
pub struct LiveView {
    /// All live VMs; this one is the last.
    pub vms: Arc<[VmRecord]>,
    /// The VMs that this node keeps links to, starting with its successor on the ring.
    pub neighbors: Arc<[VmName]>,
    /// Count and digest of the live VMs, compared with the view of peers.
    pub member_view: MemberView,
    /// Number of VMs that rank before this one as readers of the platform's store.
    pub readers_ahead: usize,
    /// The first readers of the platform's store, which may include this VM.
    pub first_readers: Arc<[VmName]>,
    /// This node's introduction when the view was built.
    own: VmIntroduction,
    /// When the first suspicion expires; `None` if there is none.
    valid_until: Option<Moment>,
}

impl LiveView {
    fn new(own: &OwnIdentity, introduction: VmIntroduction, table: &VmTable, now: Moment) -> Self {
        let live = || table.iter().filter(|vm| vm.is_live(now));
        let hash = |vm: &VmRecord| weight(&vm.name, "") ^ vm.incarnation.unwrap_or_default() as u64;
        let own_record = VmRecord {
            listed: true,
            last_message_at: Some(now),
            ..introduction.to_record()
        };
        let vms: Arc<[VmRecord]> = live().cloned().chain([own_record]).collect();
        let suspicions = table.iter().filter_map(|vm| vm.suspected_until);
        Self {
            member_view: MemberView {
                count: vms.len() as u32,
                digest: vms.iter().fold(0, |digest, vm| digest ^ hash(vm)),
            },
            neighbors: ring_neighbors(own, live()).into(),
            first_readers: first_readers(&vms).into(),
            readers_ahead: count_readers_ahead(&own.name, live()),
            own: introduction,
            valid_until: suspicions.filter(|until| !now.reached(*until)).min(),
            vms,
        }
    }

    /// The live VMs without this one.
    pub fn peers(&self) -> &[VmRecord] {
        &self.vms[..self.vms.len() - 1]
    }

    /// Whether a VM is alive and not leaving.
    pub fn contains(&self, vm: &VmName) -> bool {
        self.vms.iter().any(|other| other.name == *vm && !other.leaving)
    }

    fn is_valid(&self, own: &VmIntroduction, now: Moment) -> bool {
        self.valid_until.is_none_or(|until| !now.reached(until)) && self.own == *own
    }
}

/// The other entry VMs, by name.
#[derive(Debug, Default)]
pub struct VmTable {
    records: FastMap<VmName, VmRecord>,
    /// The view built last; `None` after a change.
    view: RefCell<Option<Arc<LiveView>>>,
}

impl VmTable {
    /// Number of other VMs known, dead ones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no other VM is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All records, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &VmRecord> {
        self.records.values()
    }

    /// The record of a VM.
    pub fn get(&self, name: &str) -> Option<&VmRecord> {
        self.records.get(name)
    }

    /// Records the arrival of a message. It keeps the cached view, since it does not change which VMs are
    /// alive.
    pub fn record_message(&mut self, name: &str, now: Moment) {
        if let Some(vm) = self.records.get_mut(name) {
            vm.last_message_at = Some(now);
        }
    }

    /// The record of a VM for a change, which invalidates the cached view.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut VmRecord> {
        self.view.take();
        self.records.get_mut(name)
    }

    /// All records for a change, which invalidates the cached view.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut VmRecord> {
        self.view.take();
        self.records.values_mut()
    }

    /// Adds a VM or replaces its record.
    pub fn insert(&mut self, vm: VmRecord) {
        self.view.take();
        self.records.insert(vm.name.clone(), vm);
    }

    /// Removes the VMs for which the predicate is false.
    pub fn retain(&mut self, mut is_kept: impl FnMut(&VmRecord) -> bool) {
        let count = self.records.len();
        self.records.retain(|_, vm| is_kept(vm));
        if self.records.len() != count {
            self.view.take();
        }
    }

    /// Returns the cached view if it is still valid, or builds a new one.
    pub(super) fn live_view(
        &self,
        own: &OwnIdentity,
        introduction: VmIntroduction,
        now: Moment,
    ) -> Arc<LiveView> {
        let mut cached = self.view.borrow_mut();
        if let Some(view) = cached.as_ref().filter(|view| view.is_valid(&introduction, now)) {
            return view.clone();
        }
        let view = Arc::new(LiveView::new(own, introduction, self, now));
        *cached = Some(view.clone());
        view
    }
}
