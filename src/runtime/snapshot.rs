//! The part of the blackboard that traffic threads read: an immutable copy, replaced when something changes.

use std::sync::Arc;

use super::super::controllers::rendezvous;
use crate::blackboard::{
    OfferTally, ReplicaFacts, ReplicaId, ReplicaRecord, SharedRateLimits, SuspicionMap, WatchPace, find_limit,
};
use crate::controllers::message::VmIntroduction;
use crate::controllers::pace::PaceLevel;
use crate::controllers::readers::{reads_store, watches_config};
use crate::prelude::*;

/// An immutable copy of the blackboard's state at one time.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The configuration revision in force; zero before the first.
    pub revision: Revision,
    /// Where in the store the configuration in force was written; none if the source keeps no positions.
    pub config_written: StorePosition,
    /// When this VM lost access to the configuration source; `None` while it can read it, or has not tried.
    pub config_lost_at: Option<Moment>,
    /// When this node accepted the revision in force.
    pub accepted_at: Moment,
    /// The highest revision that this node was offered, whether accepted or not.
    pub newest_offered: Revision,
    /// Counts of the revisions offered to this node, by outcome.
    pub offers: OfferTally,
    /// The parsed content of the revision in force.
    pub register: Arc<Register>,
    /// The revision refused last, with its faults one per line; `None` once another is accepted.
    pub refused: Option<(Revision, String)>,
    /// When the latest confirmation of the revision in force expires.
    pub fresh_until: Moment,
    /// Until when requests that need an API key may be sent without newer proof that the configuration is
    /// current; `None` if the settings require no proof.
    pub proved_until: Option<Moment>,
    /// How soon watches of the configuration have to end.
    pub watch_pace: WatchPace,
    /// The replicas of services, by name; replaced by another map on each change.
    pub replicas: Arc<FastMap<ReplicaId, ReplicaFacts>>,
    /// The state of the replica list that was read last; none before the first.
    pub list_position: StorePosition,
    /// The latest known era of the store.
    pub store_era: StoreEra,
    /// When this node lost access to the replica list; `None` while it can be read.
    pub list_lost_at: Option<Moment>,
    /// Whether this VM should read the list of replicas in the platform's store.
    pub reads_store: bool,
    /// Whether this VM should watch the configuration in the platform's store.
    pub watches_config: bool,
    /// When the links to at least half of the neighbors last timed out together.
    pub links_silent_at: Option<Moment>,
    /// The introduction that this process sends on a new link.
    pub introduction: VmIntroduction,
    /// All VMs that are considered alive, including this one.
    pub live_vms: Arc<[VmRecord]>,
    /// Number of known VMs, alive or not, including this one.
    pub known_vms: usize,
    /// Number of VMs that may be running, including this one and unreachable ones.
    pub member_count: usize,
    /// Until when new requests are accepted; `None` unless the node is draining.
    pub accept_until: Option<Moment>,
    /// When the process exits even if requests are in progress; `None` unless the node is draining.
    pub exit_at: Option<Moment>,
    /// Features of requests suspected of crashing upstreams.
    pub suspicions: Arc<SuspicionMap>,
    /// Rate limits that replicas report.
    pub rate_limits: SharedRateLimits,
    /// Engines that this VM restrains after a start or a recovery, as the owner of their groups.
    pub engine_paces: Arc<[PaceLevel]>,
}

impl Snapshot {
    /// Copies the state that traffic needs.
    pub fn from_board(board: &Blackboard, now: Moment) -> Self {
        let view = board.live_view(now);
        let refused = board.register.refused.as_ref();
        Self {
            revision: board.register.revision,
            config_written: board.register.written,
            config_lost_at: board.register.source_lost_at,
            accepted_at: board.register.accepted_at,
            newest_offered: board.register.newest_offered,
            offers: board.register.offers,
            register: board.register.register.clone(),
            refused: refused.map(|refused| (refused.revision, refused.reasons.clone())),
            fresh_until: board.register.fresh_until,
            proved_until: board.register.proved_until,
            watch_pace: board.register.watch_pace,
            replicas: board.replicas.clone(),
            list_position: board.list_position,
            store_era: board.store_era.latest,
            list_lost_at: board.list_lost_at,
            reads_store: reads_store(board, now),
            watches_config: watches_config(board, now),
            links_silent_at: board.links_silent_at,
            introduction: board.introduction(),
            live_vms: view.vms.clone(),
            known_vms: board.vms.len() + 1,
            member_count: board.member_count,
            accept_until: board.drain.map(|drain| drain.accept_until),
            exit_at: board.drain.map(|drain| drain.exit_at),
            suspicions: board.suspicions.clone(),
            rate_limits: board.rate_limits.clone(),
            engine_paces: board.engine_paces.clone(),
        }
    }

    /// Whether the VM is considered alive.
    pub fn is_live(&self, name: &str) -> bool {
        self.live_vms.iter().any(|vm| *vm.name == *name)
    }

    /// Whether the replica reports a rate limit, so that each request to it needs a permit.
    pub fn is_limited(&self, record: &ReplicaRecord) -> bool {
        find_limit(&self.rate_limits, &record.id, record.started_epoch_ms).is_some()
    }

    /// Number of quarantined features of requests.
    pub fn quarantined_count(&self, now: Moment) -> usize {
        let suspicions = self.suspicions.iter();
        suspicions
            .filter(|(_, suspicion)| suspicion.is_quarantined(now))
            .count()
    }

    /// Whether the VM is the upstream's owner: the first by rendezvous hashing among the live VMs that are
    /// not leaving.
    pub fn owns(&self, own_name: &str, upstream: &str) -> bool {
        let staying = self.live_vms.iter().filter(|vm| !vm.leaving).map(|vm| &*vm.name);
        rendezvous::owner(upstream, staying).is_none_or(|owner| owner == own_name)
    }
}
