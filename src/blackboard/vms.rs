//! The other entry VMs, and what follows from which of them are alive.

use std::cell::RefCell;
use std::sync::Arc;

use super::{OwnIdentity, VmName, VmRecord};
use crate::controllers::message::{MemberView, VmIntroduction};
use crate::controllers::readers::count_readers_ahead;
use crate::controllers::rendezvous::weight;
use crate::controllers::ring::ring_neighbors;
use crate::prelude::*;

/// What a node makes of the VMs that are alive. It is asked for with each message, and made anew only once it changes.
#[derive(Clone, Debug)]
pub struct LiveView {
    /// All VMs that are taken for alive, this one last.
    pub vms: Arc<[VmRecord]>,
    /// The VMs that this node keeps in contact with, the next one on the ring first.
    pub neighbors: Arc<[VmName]>,
    /// The same VMs in short, to compare with what others see.
    pub member_view: MemberView,
    /// How many VMs would read the platform's store on behalf of all before this one.
    pub readers_ahead: usize,
    /// What this node said of itself as this was made.
    own: VmIntroduction,
    /// When the first suspicion lapses by itself; `None` while there is none.
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
            readers_ahead: count_readers_ahead(&own.name, live()),
            own: introduction,
            valid_until: suspicions.filter(|until| !now.reached(*until)).min(),
            vms,
        }
    }

    /// The VMs that are taken for alive but this one.
    pub fn peers(&self) -> &[VmRecord] {
        &self.vms[..self.vms.len() - 1]
    }

    /// Whether a VM is taken for alive and stays.
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
    /// The view as it was made last; `None` after a change.
    view: RefCell<Option<Arc<LiveView>>>,
}

impl VmTable {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no other VM is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All of them, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &VmRecord> {
        self.records.values()
    }

    /// One of them.
    pub fn get(&self, name: &str) -> Option<&VmRecord> {
        self.records.get(name)
    }

    /// Notes that a VM was heard from, which changes nothing of who is alive.
    pub fn record_message(&mut self, name: &str, now: Moment) {
        if let Some(vm) = self.records.get_mut(name) {
            vm.last_message_at = Some(now);
        }
    }

    /// One of them, to change it.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut VmRecord> {
        self.view.take();
        self.records.get_mut(name)
    }

    /// All of them, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut VmRecord> {
        self.view.take();
        self.records.values_mut()
    }

    /// Adds a VM, or puts it in the place of what was known of it.
    pub fn insert(&mut self, vm: VmRecord) {
        self.view.take();
        self.records.insert(vm.name.clone(), vm);
    }

    /// Keeps those VMs of which the condition holds.
    pub fn retain(&mut self, mut is_kept: impl FnMut(&VmRecord) -> bool) {
        let count = self.records.len();
        self.records.retain(|_, vm| is_kept(vm));
        if self.records.len() != count {
            self.view.take();
        }
    }

    /// What follows from which VMs are alive now.
    pub(super) fn live_view(
        &self,
        own: &OwnIdentity,
        introduction: VmIntroduction,
        now: Moment,
    ) -> Arc<LiveView> {
        let mut memo = self.view.borrow_mut();
        if let Some(view) = memo.as_ref().filter(|view| view.is_valid(&introduction, now)) {
            return view.clone();
        }
        let view = Arc::new(LiveView::new(own, introduction, self, now));
        *memo = Some(view.clone());
        view
    }
}
