//! Rate limits that replicas report for the requests of all VMs together.
//!
//! A report in an answer to one VM is propagated by gossip around the ring, so that all VMs receive it within
//! one round. From then on each request to that replica needs a permit. A single owner issues the permits for
//! all VMs: the owner of a plain service, or the owner of a group of engines, which also grants the engines'
//! slots. A limit ends with the first answer without one to a request that was sent after the limit was
//! reported. While no requests are sent to a replica, the owner probes its health check instead, so that the
//! end of the limit is noticed.

mod client;
mod issuer;
mod meter;
mod report;

use std::sync::Arc;

pub use super::owner_tenure::OwnerView;
pub use issuer::send_handover;
pub use meter::{PermitIssuer, SendSchedule};
pub use report::{LimitChange, LimitReport, LimitTable};

use client::PendingPermit;
use issuer::ServiceIssuer;

use super::comparison::DigestComparison;
use super::message::PeerMessage;
use super::owner_watch::OwnerWatch;
use super::ownership::find_owner;
use super::rendezvous::weight;
use super::slots::{EngineGroup, group_count};
use crate::blackboard::{ReplicaId, ReplicaRecord, ReplicaRole, RequestRate};
use crate::prelude::*;

/// The interval between checks of who owns rate-limited replicas, in milliseconds.
pub const OWNER_CHECK_INTERVAL_MS: u64 = 250;

/// The time without requests after which the owner of a rate-limited replica probes its health check, in
/// milliseconds. Even two owners at once send only four probes in four seconds, which the smallest limit
/// allows.
const PROBE_INTERVAL_MS: u64 = 3_000;

/// The interval between removals of expired reports, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 5_000;

/// The suffix of the ownership keys for plain services' permits. The keys of engine groups end in the group's
/// index instead.
const KEY_SUFFIX: &str = "/permits";

/// The most reports in one message.
const REPORTS_PER_MESSAGE: usize = 64;

/// A request for a permit to send a request to one of some rate-limited replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// The service of the replicas.
    pub service: Arc<str>,
    /// The replicas among which the owner chooses, best first.
    pub candidates: Vec<ReplicaId>,
    /// When the request must be sent at the latest.
    pub start_by: Moment,
}

/// A permit to send one request to a rate-limited replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitGrant {
    /// The replica's service.
    pub service: Arc<str>,
    /// The replica that the permit is for.
    pub replica: ReplicaId,
    /// The VM that issued the permit; an unused permit is returned to it.
    pub owner: VmName,
    /// The request must not be sent before this moment.
    pub not_before: Moment,
}

/// The owner's answer to a permit request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitVerdict {
    /// A request may be sent.
    Granted {
        /// The replica that the request may be sent to.
        replica: ReplicaId,
        /// The time until the request may be sent, in milliseconds.
        wait_ms: u64,
    },
    /// No request may be sent in time.
    Refused {
        /// The time until the next permit request should be made, in milliseconds.
        pause_ms: u64,
    },
}

/// Keeps the rate limits of replicas, and issues permits for the plain services that this VM owns.
pub struct RateLimitController {
    table: LimitTable,
    /// By rate-limited replica, the owner that was notified last and the rate that was sent to it.
    notified_owners: FastMap<ReplicaId, (VmName, RequestRate)>,
    comparison: DigestComparison<u64>,
    issuers: FastMap<Arc<str>, ServiceIssuer>,
    pending: FastMap<u64, PendingPermit>,
    owner_watch: OwnerWatch,
    /// When this VM last probed the health check of each rate-limited replica.
    probed_at: FastMap<ReplicaId, Moment>,
    next_check: Moment,
    next_expiry: Moment,
    /// The number of engines in a group that [`group_count`] aims at; each group has one owner.
    group_size: usize,
}

impl RateLimitController {
    /// Creates a controller. `group_size` is the number of engines in a group that [`group_count`] aims at.
    pub fn new(group_size: usize) -> Self {
        Self {
            table: LimitTable::default(),
            notified_owners: FastMap::default(),
            comparison: DigestComparison::default(),
            issuers: FastMap::default(),
            pending: FastMap::default(),
            owner_watch: OwnerWatch::default(),
            probed_at: FastMap::default(),
            next_check: Moment::default(),
            next_expiry: Moment::default(),
            group_size,
        }
    }

    /// Records a report from an answer to this VM.
    fn record_own_report(&mut self, report: &LimitReport, context: &mut ControlContext<'_>) {
        let change = self.table.apply_own(report.clone());
        self.apply_change(&report.replica, change, "answer", context);
    }

    /// Records a report from a peer. Sends back the known report if the peer's is outdated.
    fn record_peer_report(&mut self, from: &VmName, report: &LimitReport, context: &mut ControlContext<'_>) {
        let change = self.table.apply_peer(report.clone());
        self.apply_change(&report.replica, change, from, context);
        let known = self.table.get(&report.replica);
        let is_outdated = known.is_some_and(|known| {
            known.started_epoch_ms == report.started_epoch_ms && known.rate.is_some() != report.rate.is_some()
        });
        if let Some(known) = known.filter(|_| is_outdated) {
            context.send_to(from, PeerMessage::LimitStated(known.clone()));
        }
    }

    /// Publishes, logs and propagates the change that a report from `source` made to the table.
    fn apply_change(
        &mut self,
        replica: &ReplicaId,
        change: LimitChange,
        source: &str,
        context: &mut ControlContext<'_>,
    ) {
        let Some(report) = self.table.get(replica).cloned() else {
            return;
        };
        let is_broadcast = match change {
            LimitChange::Unchanged => return,
            LimitChange::Renewed => false,
            LimitChange::Updated => {
                let published_rate = context.board.rate_limits.get(replica).map(|limit| limit.rate);
                self.publish_limits(context);
                // All VMs need to know whether any request may be sent; only the owner needs the rate.
                let is_zero = report.rate.is_some_and(RequestRate::is_zero);
                published_rate.is_some_and(RequestRate::is_zero) != is_zero
            }
            LimitChange::Added | LimitChange::Ended => {
                self.publish_limits(context);
                log_change(&report, source, context);
                true
            }
        };
        if is_broadcast {
            context.send_to_neighbors(&PeerMessage::LimitStated(report.clone()));
        }
        self.notify_owners(&report, context);
    }

    /// Publishes the table's limits on the board, and removes the state of replicas whose limits have ended.
    fn publish_limits(&mut self, context: &mut ControlContext<'_>) {
        let limits = self.table.limits();
        context.board.limit_digest = limits.iter().fold(0, |digest, (id, limit)| {
            digest ^ weight(id, &limit.started_epoch_ms.to_string())
        });
        for issuer in self.issuers.values_mut() {
            issuer.remove_ended(&limits);
        }
        self.notified_owners.retain(|id, _| limits.contains_key(id));
        self.probed_at.retain(|id, _| limits.contains_key(id));
        context
            .board
            .last_permit_at
            .retain(|id, _| limits.contains_key(id));
        context.board.rate_limits = Arc::new(limits);
        context.publish();
    }

    /// Notifies the owners of a replica's permits of its limit, unless they were already notified of the same
    /// rate.
    fn notify_owners(&mut self, report: &LimitReport, context: &mut ControlContext<'_>) {
        let Some(rate) = report.rate else {
            return;
        };
        for owner in self.owners_of(&report.replica, context) {
            let known = (owner.clone(), rate);
            if owner != context.board.own.name && self.notified_owners.get(&report.replica) != Some(&known) {
                context.send_to(&owner, PeerMessage::LimitStated(report.clone()));
                self.notified_owners.insert(report.replica.clone(), known);
            }
        }
    }

    /// The VMs that issue permits for a replica: one for a plain replica, one per group for an engine.
    fn owners_of(&self, replica: &ReplicaId, context: &ControlContext<'_>) -> Vec<VmName> {
        let Some(facts) = context.board.replicas.get(replica) else {
            return Vec::new();
        };
        let keys = owner_keys(&facts.record, self.group_size, context.board);
        let owners = keys.iter().map(|key| find_owner(key, context.board, context.now));
        owners.collect()
    }

    /// Probes the health checks of rate-limited replicas that get no requests.
    fn probe_idle(&mut self, context: &mut ControlContext<'_>) {
        let idle: Vec<ReplicaId> = self
            .table
            .iter()
            .filter(|report| report.rate.is_some() && self.is_idle(report, context))
            .map(|report| report.replica.clone())
            .collect();
        for replica in idle {
            let is_listed = context.board.listed_rate_limit(&replica).is_some();
            if is_listed
                && self
                    .owners_of(&replica, context)
                    .contains(&context.board.own.name)
            {
                self.probed_at.insert(replica.clone(), context.now);
                context.actions.push(Action::CheckHealth { replica });
            }
        }
    }

    /// Whether a rate-limited replica has had no known contact for [`PROBE_INTERVAL_MS`]: no answer, probe or
    /// permit.
    fn is_idle(&self, report: &LimitReport, context: &ControlContext<'_>) -> bool {
        let id = &report.replica;
        let contacts = [
            Some(report.answered_at),
            self.probed_at.get(id).copied(),
            context.board.last_permit_at.get(id).copied(),
        ];
        let latest = contacts.into_iter().flatten().max().unwrap_or_default();
        context.now.reached(latest.after_ms(PROBE_INTERVAL_MS))
    }

    fn run_periodic(&mut self, context: &mut ControlContext<'_>) {
        self.retry_overdue(context);
        if context.now.reached(self.next_expiry) {
            self.next_expiry = context.now.after_ms(EXPIRY_INTERVAL_MS);
            self.remove_expired(context);
        }
        if context.now.reached(self.next_check) && !context.board.rate_limits.is_empty() {
            self.next_check = context.now.after_ms(OWNER_CHECK_INTERVAL_MS);
            self.refresh_owners(context);
            self.probe_idle(context);
        }
    }

    /// Removes expired reports, and publishes the limits if some have ended with them.
    fn remove_expired(&mut self, context: &mut ControlContext<'_>) {
        let replicas = context.board.replicas.clone();
        self.table.remove_expired(context.now, |report| {
            let listed = replicas.get(&report.replica);
            listed.map(|facts| facts.record.started_epoch_ms)
        });
        if self.table.limits().len() != context.board.rate_limits.len() {
            self.publish_limits(context);
        }
    }

    /// Requests a peer's reports if its digest of the limits differs from this VM's.
    fn compare_digest(&mut self, from: &VmName, digest: u64, context: &mut ControlContext<'_>) {
        let own = context.board.limit_digest;
        if self.comparison.should_ask(own, own != digest, context.now) {
            context.send_to(from, PeerMessage::LimitsWanted);
        }
    }

    fn send_reports(&self, to: &VmName, context: &mut ControlContext<'_>) {
        let reports: Vec<LimitReport> = self.table.iter().cloned().collect();
        for part in reports.chunks(REPORTS_PER_MESSAGE) {
            context.send_to(to, PeerMessage::LimitsContent(part.to_vec()));
        }
    }

    fn handle_message(&mut self, from: &VmName, message: &PeerMessage, context: &mut ControlContext<'_>) {
        match message {
            PeerMessage::LimitStated(report) => self.record_peer_report(from, report, context),
            PeerMessage::LimitsWanted => self.send_reports(from, context),
            PeerMessage::LimitsContent(reports) => {
                reports
                    .iter()
                    .for_each(|report| self.record_peer_report(from, report, context));
            }
            PeerMessage::Heartbeat { limit_digest, .. } => self.compare_digest(from, *limit_digest, context),
            PeerMessage::PermitRequest { number, request } => {
                self.answer_request(from, *number, request, context)
            }
            PeerMessage::PermitAnswer { number, verdict } => {
                self.handle_answer(from, *number, verdict, context)
            }
            PeerMessage::LimitsHandedOver { key } => self.accept_handover(key, context),
            PeerMessage::PermitReturned { service, replica } => self.take_back(service, replica, context),
            _ => {}
        }
    }
}

/// The ownership keys of a replica's permits.
fn owner_keys(record: &ReplicaRecord, group_size: usize, board: &Blackboard) -> Vec<String> {
    match record.role {
        ReplicaRole::Plain => vec![service_key(&record.service)],
        ReplicaRole::Prefill | ReplicaRole::Decode => {
            let groups = group_count(&board.engines(&record.service), group_size);
            let groups = (0..groups).map(|index| EngineGroup::new(&record.service, index));
            groups.map(|group| group.owner_key()).collect()
        }
    }
}

/// The ownership key of a plain service's permits.
pub fn service_key(service: &str) -> String {
    format!("{service}{KEY_SUFFIX}")
}

fn log_change(report: &LimitReport, source: &str, context: &mut ControlContext<'_>) {
    let (replica, start, seen_by) = (&report.replica, report.started_epoch_ms, &report.seen_by);
    let facts = context.board.replicas.get(replica);
    let service = facts.map_or("-", |facts| &facts.record.service);
    let age_ms = report.answered_at.until_ms(context.now);
    let line = match report.rate {
        Some(rate) => format!(
            "event=limit_named replica={replica} replica_start={start} service={service} rate={} age_ms={age_ms} \
             seen_by={seen_by} source={source}",
            rate.per_second()
        ),
        None => format!(
            "event=limit_ended replica={replica} replica_start={start} service={service} age_ms={age_ms} \
             seen_by={seen_by} source={source}"
        ),
    };
    context.log(line);
}

impl Controller for RateLimitController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[
            EventKind::Tick,
            EventKind::LimitStated,
            EventKind::PermitWanted,
            EventKind::PermitReturned,
            EventKind::PeerMessage,
        ]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::Tick { .. } => self.run_periodic(context),
            Event::LimitStated { record } => self.record_own_report(record, context),
            Event::PermitWanted { ticket, request } => self.request_permit(*ticket, request, context),
            Event::PermitReturned { grant } => self.give_back(grant, context),
            Event::PeerMessage { from, message, .. } => self.handle_message(from, message, context),
            _ => {}
        }
    }

    fn wake_at(&self, board: &Blackboard, _now: Moment) -> Option<Moment> {
        let answer_deadlines = self.pending.values().map(|pending| pending.answer_by);
        let check = (!board.rate_limits.is_empty()).then_some(self.next_check);
        answer_deadlines.chain(check).min()
    }
}
