//! Limits that replicas name for the requests that they take from all VMs together.
//!
//! What a replica says in an answer to one VM is told around the ring, so that all know within a round of it. From then on
//! each request to that replica needs a permit. Permits are given by one VM for all: the owner of the replica's service, or of
//! its group of engines together with the engines' slots. A limit ends with the first answer to a later request that names
//! none; where no request may go, the owner asks the replica's health check.

mod client;
mod desk;
mod meter;
mod record;

use std::sync::Arc;

pub use desk::hand_over;
pub use meter::{OwnerView, RateDesk, UpcomingTurns};
pub use record::{LimitChange, LimitRecord, LimitTable};

use client::PendingPermit;
use desk::ServiceDesk;

use super::comparison::DigestComparison;
use super::message::PeerMessage;
use super::owner_watch::OwnerWatch;
use super::ownership::find_owner;
use super::rendezvous::weight;
use super::slots::{EngineGroup, group_count};
use crate::blackboard::{ReplicaId, ReplicaRecord, ReplicaRole, RequestRate};
use crate::prelude::*;

/// Time between two looks at the owners of limited replicas, in milliseconds.
pub const LOOK_EVERY_MS: u64 = 250;

/// How long a replica that names a limit gets no request before its owner asks its health check, in milliseconds. Two owners
/// at once so make four requests in four seconds, which the smallest limit allows.
const PROBE_EVERY_MS: u64 = 3_000;

/// Time between two looks for records that can be forgotten, in milliseconds.
const FORGET_EVERY_MS: u64 = 5_000;

/// What tells the key of a plain service's permits from that of a group of engines.
const KEY_SUFFIX: &str = "/permits";

/// Records in one message.
const RECORDS_EACH: usize = 64;

/// An ask to send a request to one of some replicas that name limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitAsk {
    /// Their service.
    pub service: Arc<str>,
    /// The replicas, the best one first.
    pub candidates: Vec<ReplicaId>,
    /// By when the request has to go.
    pub start_by: Moment,
}

/// Leave to send one request to a replica that names a limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitGrant {
    /// The replica's service.
    pub service: Arc<str>,
    /// Which replica.
    pub replica: ReplicaId,
    /// The VM that gave it.
    pub owner: VmName,
    /// The request may not go before this.
    pub not_before: Moment,
}

/// The answer to such an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitVerdict {
    /// A request may go.
    Granted {
        /// To which replica.
        replica: ReplicaId,
        /// In how many milliseconds.
        wait_ms: u64,
    },
    /// None may go in time.
    Refused {
        /// When it makes sense to ask again, in milliseconds.
        pause_ms: u64,
    },
}

/// Keeps the limits of replicas, and gives permits for the plain services that this VM owns.
pub struct RateLimitController {
    table: LimitTable,
    /// What the owner of each limited replica was told last.
    told: FastMap<ReplicaId, (VmName, RequestRate)>,
    comparison: DigestComparison<u64>,
    desks: FastMap<Arc<str>, ServiceDesk>,
    pending: FastMap<u64, PendingPermit>,
    owner_watch: OwnerWatch,
    /// When limited replicas were last asked for their health by this VM.
    probed_at: FastMap<ReplicaId, Moment>,
    next_look: Moment,
    next_forget: Moment,
    /// The most engines that one owner schedules.
    group_size: usize,
}

impl RateLimitController {
    /// A controller for a node whose engines form groups of a size.
    pub fn new(group_size: usize) -> Self {
        Self {
            table: LimitTable::default(),
            told: FastMap::default(),
            comparison: DigestComparison::default(),
            desks: FastMap::default(),
            pending: FastMap::default(),
            owner_watch: OwnerWatch::default(),
            probed_at: FastMap::default(),
            next_look: Moment::default(),
            next_forget: Moment::default(),
            group_size,
        }
    }

    /// Takes what an answer to this VM says.
    fn take_stated(&mut self, record: &LimitRecord, turn: &mut Turn<'_>) {
        let change = self.table.take_own(record.clone());
        self.take_change(&record.replica, change, "answer", turn);
    }

    /// Takes what a peer tells; one that is behind is told what is known here.
    fn take_told(&mut self, from: &VmName, record: &LimitRecord, turn: &mut Turn<'_>) {
        let change = self.table.take(record.clone());
        self.take_change(&record.replica, change, from, turn);
        let known = self.table.get(&record.replica);
        let is_behind = known.is_some_and(|known| {
            known.started_epoch_ms == record.started_epoch_ms && known.rate.is_some() != record.rate.is_some()
        });
        if let Some(known) = known.filter(|_| is_behind) {
            turn.send_to(from, PeerMessage::LimitStated(known.clone()));
        }
    }

    fn take_change(&mut self, replica: &ReplicaId, change: LimitChange, source: &str, turn: &mut Turn<'_>) {
        let Some(record) = self.table.get(replica).cloned() else {
            return;
        };
        let is_for_all = match change {
            LimitChange::Nothing => return,
            LimitChange::Renewed => false,
            LimitChange::OtherRate => {
                let shown = turn.board.rate_limits.get(replica).map(|limit| limit.rate);
                self.show(turn);
                // Whether any request may go concerns all VMs; how many, the owner alone.
                let is_zero = record.rate.is_some_and(RequestRate::is_zero);
                shown.is_some_and(RequestRate::is_zero) != is_zero
            }
            LimitChange::Named | LimitChange::Ended => {
                self.show(turn);
                log_change(&record, source, turn);
                true
            }
        };
        if is_for_all {
            turn.send_to_neighbors(&PeerMessage::LimitStated(record.clone()));
        }
        self.tell_owners(&record, turn);
    }

    /// Brings the board in line with the table.
    fn show(&mut self, turn: &mut Turn<'_>) {
        let limits = self.table.limits();
        turn.board.limit_digest = limits.iter().fold(0, |digest, (id, limit)| {
            digest ^ weight(id, &limit.started_epoch_ms.to_string())
        });
        for desk in self.desks.values_mut() {
            desk.forget_ended(&limits);
        }
        self.told.retain(|id, _| limits.contains_key(id));
        self.probed_at.retain(|id, _| limits.contains_key(id));
        turn.board.last_permit_at.retain(|id, _| limits.contains_key(id));
        turn.board.rate_limits = Arc::new(limits);
        turn.publish();
    }

    /// Tells the VM that gives permits for a replica of its limit, where it may not know.
    fn tell_owners(&mut self, record: &LimitRecord, turn: &mut Turn<'_>) {
        let Some(rate) = record.rate else {
            return;
        };
        for owner in self.owners_of(&record.replica, turn) {
            let known = (owner.clone(), rate);
            if owner != turn.board.own.name && self.told.get(&record.replica) != Some(&known) {
                turn.send_to(&owner, PeerMessage::LimitStated(record.clone()));
                self.told.insert(record.replica.clone(), known);
            }
        }
    }

    /// The VMs that give permits for a replica: one, but for engines that form several groups.
    fn owners_of(&self, replica: &ReplicaId, turn: &Turn<'_>) -> Vec<VmName> {
        let Some(facts) = turn.board.replicas.get(replica) else {
            return Vec::new();
        };
        let keys = owner_keys(&facts.record, self.group_size, turn.board);
        let owners = keys.iter().map(|key| find_owner(key, turn.board, turn.now));
        owners.collect()
    }

    /// Asks the health checks of limited replicas that get no requests.
    fn probe(&mut self, turn: &mut Turn<'_>) {
        let due: Vec<ReplicaId> = self
            .table
            .iter()
            .filter(|record| record.rate.is_some() && self.is_silent(record, turn))
            .map(|record| record.replica.clone())
            .collect();
        for replica in due {
            let is_listed = turn.board.listed_rate_limit(&replica).is_some();
            if is_listed && self.owners_of(&replica, turn).contains(&turn.board.own.name) {
                self.probed_at.insert(replica.clone(), turn.now);
                turn.actions.push(Action::CheckHealth { replica });
            }
        }
    }

    /// Whether no request is known to have gone to a limited replica for a while.
    fn is_silent(&self, record: &LimitRecord, turn: &Turn<'_>) -> bool {
        let id = &record.replica;
        let contacts = [
            Some(record.answered_at),
            self.probed_at.get(id).copied(),
            turn.board.last_permit_at.get(id).copied(),
        ];
        let latest = contacts.into_iter().flatten().max().unwrap_or_default();
        turn.now.reached(latest.after_ms(PROBE_EVERY_MS))
    }

    fn tick(&mut self, turn: &mut Turn<'_>) {
        self.tend_pending(turn);
        if turn.now.reached(self.next_forget) {
            self.next_forget = turn.now.after_ms(FORGET_EVERY_MS);
            self.forget_old(turn);
        }
        if turn.now.reached(self.next_look) && !turn.board.rate_limits.is_empty() {
            self.next_look = turn.now.after_ms(LOOK_EVERY_MS);
            self.look_at_owners(turn);
            self.probe(turn);
        }
    }

    fn forget_old(&mut self, turn: &mut Turn<'_>) {
        let replicas = turn.board.replicas.clone();
        self.table.forget_old(turn.now, |record| {
            let listed = replicas.get(&record.replica);
            listed.map(|facts| facts.record.started_epoch_ms)
        });
        if self.table.limits().len() != turn.board.rate_limits.len() {
            self.show(turn);
        }
    }

    fn compare(&mut self, from: &VmName, digest: u64, turn: &mut Turn<'_>) {
        let own = turn.board.limit_digest;
        if self.comparison.should_ask(own, own != digest, turn.now) {
            turn.send_to(from, PeerMessage::LimitsWanted);
        }
    }

    fn tell_all(&self, to: &VmName, turn: &mut Turn<'_>) {
        let records: Vec<LimitRecord> = self.table.iter().cloned().collect();
        for part in records.chunks(RECORDS_EACH) {
            turn.send_to(to, PeerMessage::LimitsContent(part.to_vec()));
        }
    }

    fn take_message(&mut self, from: &VmName, message: &PeerMessage, turn: &mut Turn<'_>) {
        match message {
            PeerMessage::LimitStated(record) => self.take_told(from, record, turn),
            PeerMessage::LimitsWanted => self.tell_all(from, turn),
            PeerMessage::LimitsContent(records) => {
                records
                    .iter()
                    .for_each(|record| self.take_told(from, record, turn));
            }
            PeerMessage::Heartbeat { limit_digest, .. } => self.compare(from, *limit_digest, turn),
            PeerMessage::PermitAsk { number, ask } => self.answer(from, *number, ask, turn),
            PeerMessage::PermitAnswer { number, verdict } => self.take_answer(from, *number, verdict, turn),
            PeerMessage::LimitsHandedOver { key } => self.take_over(key, turn),
            PeerMessage::PermitReturned { service, replica } => self.take_back(service, replica, turn),
            _ => {}
        }
    }
}

/// What the owners of a replica's permits are found by.
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

/// What the owner of a plain service's permits is found by.
fn service_key(service: &str) -> String {
    format!("{service}{KEY_SUFFIX}")
}

fn log_change(record: &LimitRecord, source: &str, turn: &mut Turn<'_>) {
    let (replica, start, seen_by) = (&record.replica, record.started_epoch_ms, &record.seen_by);
    let facts = turn.board.replicas.get(replica);
    let service = facts.map_or("-", |facts| &facts.record.service);
    let age_ms = record.answered_at.until_ms(turn.now);
    let line = match record.rate {
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
    turn.log(line);
}

impl Controller for RateLimitController {
    fn hears(&self) -> &'static [EventKind] {
        &[
            EventKind::Tick,
            EventKind::LimitStated,
            EventKind::PermitWanted,
            EventKind::PermitReturned,
            EventKind::PeerMessage,
        ]
    }

    fn handle(&mut self, event: &Event, turn: &mut Turn<'_>) {
        match event {
            Event::Tick { .. } => self.tick(turn),
            Event::LimitStated { record } => self.take_stated(record, turn),
            Event::PermitWanted { ticket, ask } => self.want(*ticket, ask, turn),
            Event::PermitReturned { grant } => self.give_back(grant, turn),
            Event::PeerMessage { from, message, .. } => self.take_message(from, message, turn),
            _ => {}
        }
    }

    fn wake_at(&self, board: &Blackboard, _now: Moment) -> Option<Moment> {
        let asks = self.pending.values().map(|pending| pending.answer_by);
        let look = (!board.rate_limits.is_empty()).then_some(self.next_look);
        asks.chain(look).min()
    }
}
