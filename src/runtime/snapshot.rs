//! What traffic threads read of the board: an immutable copy, replaced when something changes.

use std::sync::Arc;

use super::super::controllers::rendezvous;
use crate::blackboard::{
    Fingerprint, OfferTally, ReplicaFacts, ReplicaId, ReplicaRecord, SharedRateLimits, Suspicion,
    SuspicionMap, find_limit,
};
use crate::controllers::discovery::ListRevision;
use crate::controllers::message::VmIntroduction;
use crate::controllers::readers::{reads_store, watches_config};
use crate::prelude::*;

/// A view of the board.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The revision in force.
    pub revision: Revision,
    /// The store's state as the configuration in force was written.
    pub config_written: u64,
    /// Since when this VM can't read the configuration itself; `None` while it can.
    pub config_unread_since: Option<Moment>,
    /// Since when that one is in force here.
    pub accepted_at: Moment,
    /// The highest revision that this node was offered, of use or not.
    pub newest_offered: Revision,
    /// What became of the revisions that were offered.
    pub offers: OfferTally,
    /// The register in force.
    pub register: Arc<Register>,
    /// The newest refused revision with its faults.
    pub refused: Option<(Revision, String)>,
    /// Until when the revision counts as confirmed.
    pub fresh_until: Moment,
    /// The replicas of services, by name; another map after each change.
    pub replicas: Arc<FastMap<ReplicaId, ReplicaFacts>>,
    /// The state of the list of replicas; zero before it was first read.
    pub list_revision: ListRevision,
    /// When the list went out of reach; `None` while it can be read.
    pub list_lost_at: Option<Moment>,
    /// Whether this VM should read the list of replicas in the platform's store.
    pub reads_store: bool,
    /// Whether this VM should watch the configuration there.
    pub watches_config: bool,
    /// When this VM's links to most of its neighbors last fell silent together.
    pub links_silent_at: Option<Moment>,
    /// What this process says of itself on a new link.
    pub introduction: VmIntroduction,
    /// All VMs that are taken for alive, this one too.
    pub live_vms: Arc<[VmRecord]>,
    /// All VMs that are known, this one too.
    pub known_vms: usize,
    /// How many VMs may be running, this one and those out of sight too.
    pub member_count: usize,
    /// Until when new work is taken; `None` while the node is not leaving.
    pub accept_until: Option<Moment>,
    /// Requests under which upstreams ended.
    pub suspicions: Arc<SuspicionMap>,
    /// Limits that replicas name.
    pub rate_limits: SharedRateLimits,
}

impl Snapshot {
    /// Copies what traffic needs.
    pub fn of(board: &Blackboard, now: Moment) -> Self {
        let view = board.live_view(now);
        let refused = board.register.refused.as_ref();
        Self {
            revision: board.register.revision,
            config_written: board.register.written,
            config_unread_since: board.register.source_lost_at,
            accepted_at: board.register.accepted_at,
            newest_offered: board.register.newest_offered,
            offers: board.register.offers,
            register: board.register.register.clone(),
            refused: refused.map(|refused| (refused.revision, refused.reasons.clone())),
            fresh_until: board.register.fresh_until,
            replicas: board.replicas.clone(),
            list_revision: board.list_revision,
            list_lost_at: board.list_lost_at,
            reads_store: reads_store(board, now),
            watches_config: watches_config(board, now),
            links_silent_at: board.links_silent_at,
            introduction: board.introduction(),
            live_vms: view.vms.clone(),
            known_vms: board.vms.len() + 1,
            member_count: board.member_count,
            accept_until: board.drain.map(|drain| drain.accept_until),
            suspicions: board.suspicions.clone(),
            rate_limits: board.rate_limits.clone(),
        }
    }

    /// Whether a VM is taken for alive.
    pub fn is_live(&self, name: &str) -> bool {
        self.live_vms.iter().any(|vm| *vm.name == *name)
    }

    /// Whether a replica names a limit, so that each request to it needs a permit.
    pub fn is_limited(&self, record: &ReplicaRecord) -> bool {
        find_limit(&self.rate_limits, &record.id, record.started_epoch_ms).is_some()
    }

    /// How far a request is suspected; `None` where no upstream ended under it.
    pub fn suspicion(&self, fingerprint: Fingerprint) -> Option<Suspicion> {
        self.suspicions.get(&fingerprint).copied()
    }

    /// How many requests are held back.
    pub fn held_count(&self, now: Moment) -> usize {
        let suspicions = self.suspicions.values();
        suspicions
            .filter(|suspicion| suspicion.is_quarantined(now))
            .count()
    }

    /// Whether a VM ranks first for an upstream among the live ones.
    pub fn owns(&self, own_name: &str, upstream: &str) -> bool {
        let staying = self.live_vms.iter().filter(|vm| !vm.leaving).map(|vm| &*vm.name);
        rendezvous::owner(upstream, staying).is_none_or(|owner| owner == own_name)
    }
}
