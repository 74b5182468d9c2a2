//! What this node knows: one typed board that every controller reads and writes.

mod engine;
mod fingerprint;
mod offer_tally;
mod rate_limit;
mod replica;
mod suspicion;
mod vms;

pub use engine::EngineView;
pub use fingerprint::{Fingerprint, hash_parts};
pub use offer_tally::{OfferOutcome, OfferTally};
pub use rate_limit::{RateLimit, RateLimitMap, RequestRate, SharedRateLimits, find_limit};
pub use replica::{ReplicaFacts, ReplicaId, ReplicaLoad, ReplicaRecord, ReplicaRole};
pub use suspicion::{Suspicion, SuspicionMap};
pub use vms::{LiveView, VmTable};

use std::sync::Arc;

use crate::controllers::discovery::ListRevision;
use crate::controllers::message::VmIntroduction;
use crate::prelude::*;

/// A VM's name; unique in a deployment and kept by its replacement.
pub type VmName = Arc<str>;

/// The random number a process draws at start, so that it is never taken for an earlier one.
pub type Incarnation = u128;

/// This node itself.
#[derive(Clone, Debug)]
pub struct OwnIdentity {
    /// The VM's name.
    pub name: VmName,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where callers connect.
    pub caller_address: Arc<str>,
    /// Where peers connect.
    pub peer_address: Arc<str>,
    /// This process's incarnation.
    pub incarnation: Incarnation,
    /// When this process started by the VM's clock, in milliseconds since the Unix epoch.
    pub started_epoch_ms: u64,
    /// The VM's share of a core, in thousandths; zero where it is not known.
    pub millicores: u32,
}

/// An entry VM of the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmRecord {
    /// Its name.
    pub name: VmName,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where callers connect.
    pub caller_address: Arc<str>,
    /// Where peers connect.
    pub peer_address: Arc<str>,
    /// Whether the VM list or the VM itself says that it is leaving.
    pub leaving: bool,
    /// Whether it tried to read the platform's store and could not.
    pub store_lost: bool,
    /// Its share of a core, in thousandths; zero where it is not known.
    pub millicores: u32,
    /// Whether the VM list names it; a VM can also be known from its own messages.
    pub listed: bool,
    /// The process it last spoke as.
    pub incarnation: Option<Incarnation>,
    /// When that process started by its VM's clock, in milliseconds since the Unix epoch.
    pub started_epoch_ms: u64,
    /// How often that process has contradicted a suspicion of itself.
    pub renewal: u32,
    /// Until when it is taken for dead.
    pub suspected_until: Option<Moment>,
    /// When a message from it last arrived.
    pub last_message_at: Option<Moment>,
}

impl VmRecord {
    /// Whether the VM is taken for alive.
    pub fn is_live(&self, now: Moment) -> bool {
        self.suspected_until.is_none_or(|deadline| now.reached(deadline))
    }
}

/// A published revision that was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedRevision {
    /// Its number.
    pub revision: Revision,
    /// All its faults, one a line.
    pub reasons: String,
}

/// The register in force and what is known of its freshness.
#[derive(Clone, Debug, Default)]
pub struct RegisterFacts {
    /// The highest accepted revision.
    pub revision: Revision,
    /// Which content of it this is.
    pub written: u64,
    /// Its content.
    pub register: Arc<Register>,
    /// Its text as published, to pass on to peers.
    pub text: Arc<str>,
    /// The newest revision that was refused, if it is newer than the one in force.
    pub refused: Option<RefusedRevision>,
    /// Until when the revision counts as confirmed.
    pub fresh_until: Moment,
    /// Until when this node's own reading of the service counts as up to date.
    pub read_until: Moment,
    /// Since when this node can't read the service itself; `None` while it can, or has not tried.
    pub unread_since: Option<Moment>,
    /// Since when it is in force here.
    pub accepted_at: Moment,
    /// The highest revision that this node was offered, of use or not.
    pub newest_offered: Revision,
    /// What became of the revisions that were offered.
    pub offers: OfferTally,
}

impl RegisterFacts {
    /// Which content is in force.
    pub fn stamp(&self) -> RegisterStamp {
        RegisterStamp {
            revision: self.revision,
            written: self.written,
        }
    }
}

/// What is known of one upstream from this node's own dealings with it.
#[derive(Clone, Debug, Default)]
pub struct UpstreamFacts {
    /// Requests of this node that it holds.
    pub in_flight: u32,
    /// Until when it is taken for dead.
    pub down_until: Option<Moment>,
    /// Failures since it last behaved well.
    pub failures: u32,
    /// The load it last reported, in requests.
    pub reported_load: u32,
    /// A smoothed time for one unit of its work, in microseconds; zero where none is known.
    pub mean_latency_us: u64,
}

/// How far the drain of this node has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainFacts {
    /// Until when answers that name this node may be in use.
    pub accept_until: Moment,
    /// When the drain ends even if work is left.
    pub exit_at: Moment,
    /// When the outcomes of this process's keys were handed off; no key starts after it.
    pub handoff_at: Option<Moment>,
}

/// The board.
#[derive(Debug)]
pub struct Blackboard {
    /// This node.
    pub own: OwnIdentity,
    /// How often this process has contradicted a suspicion of itself.
    pub renewal: u32,
    /// The register in force.
    pub register: RegisterFacts,
    /// The other entry VMs, by name.
    pub vms: VmTable,
    /// The upstreams, by name.
    pub upstreams: FastMap<Arc<str>, UpstreamFacts>,
    /// The replicas of services, by name.
    pub replicas: Arc<FastMap<ReplicaId, ReplicaFacts>>,
    /// The state of the list of replicas that was read last; zero before the first.
    pub list_revision: ListRevision,
    /// When the list went out of reach; `None` while it can be read.
    pub list_lost_at: Option<Moment>,
    /// When this node, or a VM that it heard of, has last read the store.
    pub store_read_at: Moment,
    /// When this node's links to most of its neighbors last fell silent together, so that its other connections may be silent, too.
    pub links_silent_at: Option<Moment>,
    /// The store's state as this process itself last read it; zero while it has not.
    pub store_revision: u64,
    /// Whether this VM orders engines to the other pool.
    pub is_rebalancer: bool,
    /// Whether the settings of all VMs name this one as a seed.
    pub is_seed: bool,
    /// Other VMs that the settings name, over which this one finds the rest.
    pub other_seed_count: usize,
    /// Requests under which upstreams ended; another map after each change.
    pub suspicions: Arc<SuspicionMap>,
    /// A hash of what is known of them, to compare with what others know.
    pub case_digest: u64,
    /// How many VMs may be running, this one and those out of sight too.
    pub fleet_size: usize,
    /// Limits that replicas name; another map after each change.
    pub rate_limits: SharedRateLimits,
    /// A hash of the replicas that name one, to compare with what others know.
    pub limit_digest: u64,
    /// When this VM, as an owner, last let a request go to a replica that names a limit.
    pub permitted_at: FastMap<ReplicaId, Moment>,
    /// The drain, once it has begun.
    pub drain: Option<DrainFacts>,
}

impl Blackboard {
    /// A board that knows only this node.
    pub fn new(own: OwnIdentity) -> Self {
        Self {
            own,
            renewal: 0,
            register: RegisterFacts::default(),
            vms: VmTable::default(),
            upstreams: FastMap::default(),
            replicas: Arc::default(),
            list_revision: 0,
            list_lost_at: None,
            store_read_at: Moment::default(),
            links_silent_at: None,
            store_revision: 0,
            is_rebalancer: false,
            is_seed: false,
            other_seed_count: 0,
            suspicions: Arc::default(),
            case_digest: 0,
            fleet_size: 1,
            rate_limits: Arc::default(),
            limit_digest: 0,
            permitted_at: FastMap::default(),
            drain: None,
        }
    }

    /// The other VMs that are taken for alive.
    pub fn live_peers(&self, now: Moment) -> impl Iterator<Item = &VmRecord> {
        self.vms.iter().filter(move |vm| vm.is_live(now))
    }

    /// What this process says of itself.
    pub fn introduction(&self) -> VmIntroduction {
        VmIntroduction {
            renewal: self.renewal,
            revision: self.register.revision,
            leaving: self.drain.is_some(),
            store_lost: self.list_lost_at.is_some(),
            ..self.own.introduction()
        }
    }

    /// What follows from which VMs are alive now.
    pub fn live_view(&self, now: Moment) -> Arc<LiveView> {
        self.vms.live_view(&self.own, self.introduction(), now)
    }

    /// The facts of one upstream, made where there are none.
    pub fn upstream_mut(&mut self, name: &Arc<str>) -> &mut UpstreamFacts {
        self.upstreams.entry(name.clone()).or_default()
    }

    /// Whether an upstream may get new work.
    pub fn is_usable(&self, upstream: &Upstream, now: Moment) -> bool {
        !upstream.leaving && !self.is_down(&upstream.name, now)
    }

    /// Until when a request is held back; `None` where it is not.
    pub fn quarantined_until(&self, fingerprint: Fingerprint, now: Moment) -> Option<Moment> {
        let suspicion = self.suspicions.get(&fingerprint)?;
        suspicion
            .is_quarantined(now)
            .then_some(suspicion.quarantined_until)
    }

    /// Whether an upstream ended under a request.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspicions.contains_key(&fingerprint)
    }
}
