//! The blackboard: this node's shared, typed state, which every controller reads and writes.

mod engine;
mod feature;
mod fingerprint;
mod offer_tally;
mod rate_limit;
mod replica;
mod store_position;
mod suspicion;
mod vms;

pub use engine::EngineView;
pub use feature::{FeatureKind, FeatureSet, RequestFeature, join_hashes};
pub use fingerprint::{Fingerprint, hash_parts, hash_with_segments};
pub use offer_tally::{OfferOutcome, OfferTally};
pub use rate_limit::{RateLimit, RateLimitMap, RequestRate, SharedRateLimits, find_limit};
pub use replica::{EntryTrust, ReplicaFacts, ReplicaId, ReplicaLoad, ReplicaRecord, ReplicaRole};
pub use store_position::{StoreEra, StorePosition};
pub use suspicion::{RunRestriction, Suspicion, SuspicionMap, TrialScope};
pub use vms::{LiveView, VmTable};

use std::sync::Arc;

use crate::controllers::message::VmIntroduction;
use crate::controllers::pace::PaceLevel;
use crate::prelude::*;

/// A VM's name: unique in a deployment, and reused by the VM's replacement.
pub type VmName = Arc<str>;

/// Random number that a process draws at start; distinguishes it from earlier processes of the same VM.
pub type Incarnation = u128;

/// Identity of this node, fixed at start.
#[derive(Clone, Debug)]
pub struct OwnIdentity {
    /// The VM's name, from the settings.
    pub name: VmName,
    /// The VM's availability zone, from the settings.
    pub zone: Arc<str>,
    /// IP address and port that callers connect to.
    pub caller_address: Arc<str>,
    /// IP address and port that peers connect to.
    pub peer_address: Arc<str>,
    /// Random number that distinguishes this process from earlier ones on the same VM.
    pub incarnation: Incarnation,
    /// Start of this process by the VM's wall clock, in milliseconds since the Unix epoch.
    pub started_epoch_ms: u64,
    /// The VM's CPU share, in thousandths of a core; zero if unknown.
    pub millicores: u32,
}

/// What this node knows of another entry VM of the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmRecord {
    /// The VM's name, unique in the deployment.
    pub name: VmName,
    /// The VM's availability zone.
    pub zone: Arc<str>,
    /// IP address and port that callers connect to.
    pub caller_address: Arc<str>,
    /// IP address and port that peers connect to.
    pub peer_address: Arc<str>,
    /// Set once the VM list or the VM itself reports that it is leaving.
    pub leaving: bool,
    /// Set while the VM reports that it cannot read the platform's store.
    pub store_lost: bool,
    /// The VM's CPU share, in thousandths of a core; zero if unknown.
    pub millicores: u32,
    /// Whether the VM list contains it; a VM can also be known from peers' messages alone.
    pub listed: bool,
    /// The VM's latest known process; `None` while the VM is known from the VM list alone.
    pub incarnation: Option<Incarnation>,
    /// Start of that process by its VM's wall clock, in milliseconds since the Unix epoch.
    pub started_epoch_ms: u64,
    /// Version of that process's introduction. The process raises it to refute a suspicion of itself, and
    /// when its access to the store changes.
    pub renewal: u32,
    /// When the suspicion that the VM is dead expires; `None` if it is not suspected.
    pub suspected_until: Option<Moment>,
    /// When this node last received a message from the VM; `None` if it never did.
    pub last_message_at: Option<Moment>,
}

impl VmRecord {
    /// Whether the VM is considered alive: not suspected, or the suspicion has expired.
    pub fn is_live(&self, now: Moment) -> bool {
        self.suspected_until.is_none_or(|deadline| now.reached(deadline))
    }
}

/// A published revision that was refused for its faults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedRevision {
    /// Number of the refused revision.
    pub revision: Revision,
    /// The faults found, one per line.
    pub reasons: String,
}

/// The register in force and its freshness.
#[derive(Clone, Debug, Default)]
pub struct RegisterFacts {
    /// The revision in force, the highest accepted one; zero before the first.
    pub revision: Revision,
    /// Where in the store this content was written; none where the source keeps no positions. Orders two
    /// contents that carry the same revision number.
    pub written: StorePosition,
    /// The parsed content.
    pub register: Arc<Register>,
    /// The text as published, which is passed on to peers.
    pub text: RegisterText,
    /// The revision refused last; cleared when a revision is accepted.
    pub refused: Option<RefusedRevision>,
    /// When the latest confirmation of this revision, by the source or a peer, expires.
    pub fresh_until: Moment,
    /// Until when this node's own reading of the configuration source counts as current.
    pub read_until: Moment,
    /// When this node lost access to the configuration source; `None` while the source can be read, or before
    /// the first attempt.
    pub source_lost_at: Option<Moment>,
    /// When this node accepted the revision in force.
    pub accepted_at: Moment,
    /// The highest revision that this node was offered, whether accepted or not.
    pub newest_offered: Revision,
    /// Counts of the revisions offered to this node, by outcome.
    pub offers: OfferTally,
    /// Until when this node may send requests that need an API key, without newer proof that its revision is
    /// current; in the past before the first proof. `None` if the settings require no proof.
    pub proved_until: Option<Moment>,
    /// How soon this node's watches of the configuration have to end.
    pub watch_pace: WatchPace,
}

/// How soon a watch of the configuration that finds no change has to end, so that it proves the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WatchPace {
    /// In the VM's time slot, since its watches need not prove anything.
    #[default]
    Slotted,
    /// Soon, since its watches keep the proof current.
    Short,
    /// At once, since there is no valid proof.
    Immediate,
}

impl RegisterFacts {
    /// The stamp of the content in force.
    pub fn stamp(&self) -> RegisterStamp {
        RegisterStamp {
            revision: self.revision,
            written: self.written,
        }
    }
}

/// The latest known era of the store, from this node's own readings or from peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EraFacts {
    /// The era; the default before the first is known.
    pub latest: StoreEra,
    /// When this process learned that the store had come back from an older copy; `None` before the first
    /// time.
    pub changed_at: Option<Moment>,
    /// When this process last heard from a peer that reads no eras, after the store had come back from an
    /// older copy.
    pub eraless_peer_at: Option<Moment>,
}

/// What this node has observed of one upstream by sending requests to it.
#[derive(Clone, Debug, Default)]
pub struct UpstreamFacts {
    /// Requests of this node that the upstream has not answered yet.
    pub in_flight: u32,
    /// Until when the upstream gets no new work after a failure; may lie in the past. `None` if it never
    /// failed or has recovered.
    pub down_until: Option<Moment>,
    /// Number of consecutive placements that failed on an engine; reset once one shows that the engine works.
    pub failures: u32,
    /// Load that the upstream last reported, in requests.
    pub reported_load: u32,
    /// Exponential moving average of the response time of a plain service's replica, in microseconds; zero
    /// before the first answer.
    pub mean_latency_us: u64,
}

/// Progress of this node's drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainFacts {
    /// Until when new requests are accepted: callers may still hold a resolve answer that names this node.
    pub accept_until: Moment,
    /// Deadline at which the drain ends even if work is left.
    pub exit_at: Moment,
    /// When the handoff of this process's idempotency keys began, after which no key starts; `None` before.
    pub handoff_at: Option<Moment>,
}

/// What the settings say of this VM's part among the seeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedFacts {
    /// Whether this VM moves engines between the prefill and decode pools.
    pub is_rebalancer: bool,
    /// Whether this VM is one of the seeds.
    pub is_seed: bool,
    /// Number of other seeds.
    pub other_seed_count: usize,
}

/// The state that controllers share.
#[derive(Debug)]
pub struct Blackboard {
    /// Identity of this node.
    pub own: OwnIdentity,
    /// Version of this process's introduction, raised to refute a suspicion and when access to the store
    /// changes.
    pub renewal: u32,
    /// The register in force and its freshness.
    pub register: RegisterFacts,
    /// The other entry VMs, by name.
    pub vms: VmTable,
    /// What was observed of each upstream, by name.
    pub upstreams: FastMap<Arc<str>, UpstreamFacts>,
    /// The replicas of services, by name; replaced by another map on each change.
    pub replicas: Arc<FastMap<ReplicaId, ReplicaFacts>>,
    /// The state of the replica list that was read last; none before the first.
    pub list_position: StorePosition,
    /// When this node lost access to the replica list; `None` while it can be read.
    pub list_lost_at: Option<Moment>,
    /// When the store was last read, by this node or by a peer whose heartbeat said so.
    pub store_read_at: Moment,
    /// When the links to at least half of the neighbors last timed out together, which suggests that this
    /// node's other connections are dead too.
    pub links_silent_at: Option<Moment>,
    /// The latest state of the store that this process has read itself; none before the first read.
    pub store_position: StorePosition,
    /// The latest known era of the store.
    pub store_era: EraFacts,
    /// Whether this VM moves engines between the prefill and decode pools.
    pub is_rebalancer: bool,
    /// Whether this VM is one of the seeds, which the settings of all VMs list alike.
    pub is_seed: bool,
    /// Number of other seeds in the settings, through which this VM finds the rest.
    pub other_seed_count: usize,
    /// Features of requests suspected of crashing upstreams; replaced by another map on each change.
    pub suspicions: Arc<SuspicionMap>,
    /// Hash of the suspicions, compared with that of peers to find differences.
    pub case_digest: u64,
    /// Number of VMs that may be running, including this one and unreachable ones.
    pub member_count: usize,
    /// Rate limits that replicas report; replaced by another map on each change.
    pub rate_limits: SharedRateLimits,
    /// Engines that this VM restrains after a start or a recovery, as the owner of their groups.
    pub engine_paces: Arc<[PaceLevel]>,
    /// Hash of the replicas that report a limit, compared with that of peers to find differences.
    pub limit_digest: u64,
    /// When this VM, as an owner, last issued a permit for a replica that reports a limit.
    pub last_permit_at: FastMap<ReplicaId, Moment>,
    /// The drain; `None` until it begins.
    pub drain: Option<DrainFacts>,
}

impl Blackboard {
    /// Creates a blackboard that knows only this node.
    pub fn new(own: OwnIdentity) -> Self {
        Self {
            own,
            renewal: 0,
            register: RegisterFacts::default(),
            vms: VmTable::default(),
            upstreams: FastMap::default(),
            replicas: Arc::default(),
            list_position: StorePosition::default(),
            list_lost_at: None,
            store_read_at: Moment::default(),
            links_silent_at: None,
            store_position: StorePosition::default(),
            store_era: EraFacts::default(),
            is_rebalancer: false,
            is_seed: false,
            other_seed_count: 0,
            suspicions: Arc::default(),
            case_digest: 0,
            member_count: 1,
            rate_limits: Arc::default(),
            engine_paces: Arc::default(),
            limit_digest: 0,
            last_permit_at: FastMap::default(),
            drain: None,
        }
    }

    /// The other VMs that are considered alive.
    pub fn live_peers(&self, now: Moment) -> impl Iterator<Item = &VmRecord> {
        self.vms.iter().filter(move |vm| vm.is_live(now))
    }

    /// The current introduction of this process, as peers receive it.
    pub fn introduction(&self) -> VmIntroduction {
        VmIntroduction {
            renewal: self.renewal,
            revision: self.register.revision,
            leaving: self.drain.is_some(),
            store_lost: self.list_lost_at.is_some(),
            ..self.own.introduction()
        }
    }

    /// The live VMs and what is derived from them; cached until it changes.
    pub fn live_view(&self, now: Moment) -> Arc<LiveView> {
        self.vms.live_view(&self.own, self.introduction(), now)
    }

    /// The facts of one upstream, created on first use.
    pub fn upstream_mut(&mut self, name: &Arc<str>) -> &mut UpstreamFacts {
        self.upstreams.entry(name.clone()).or_default()
    }

    /// Whether an upstream may receive new work.
    pub fn is_usable(&self, upstream: &Upstream, now: Moment) -> bool {
        !upstream.leaving && !self.is_down(&upstream.name, now)
    }

    /// Until when a feature is quarantined; `None` if it is not.
    pub fn quarantined_until(&self, feature: RequestFeature, now: Moment) -> Option<Moment> {
        let suspicion = self.suspicions.get(feature)?;
        suspicion
            .is_quarantined(now)
            .then_some(suspicion.quarantined_until)
    }
}
