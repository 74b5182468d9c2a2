//! What the owner of a service has granted, and the requests that wait for a slot.

use std::sync::Arc;

use super::queue::WaitingSend;
use super::replica::ReplicaSlots;
use super::{LoadReport, SendEnd, SendRelease, SendRequest, SendVerdict};
use crate::blackboard::{ReplicaFacts, ReplicaId, ReplicaRole, RequestRate};
use crate::controllers::dispatch::{RefusedCaller, RetryPlanner};
use crate::controllers::pace::{AnswerSample, PaceChange, PaceTable};
use crate::prelude::*;

/// The most that is assumed as the answer time of a replica without a recent answer, in microseconds.
const DEFAULT_ANSWER_US: u64 = 20_000;

/// The time that a request needs beyond the mean answer time to be in time, in milliseconds: messages, and
/// replicas that are slower than the mean. With 10 ms, two fifths more calls were late in the model's overload.
const LATE_MARGIN_MS: u64 = 30;

/// How long a request waits before its VM is told so, in milliseconds. Most waits are shorter and then cost no
/// extra message; a round trip later is still well within the VM's limit for the first answer.
const FIRST_NOTICE_MS: u64 = 20;

/// The interval of the notices to a VM with waiting requests, in milliseconds. One notice covers all requests of
/// the VM.
const NOTICE_INTERVAL_MS: u64 = 200;

/// How often the queue is checked for requests that can't be answered in time, in milliseconds.
const QUEUE_CHECK_MS: u64 = 10;

/// How often expired grants, and those of dead VMs, are removed, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 100;

/// The most requests that wait for one service, which bounds the memory of a ledger.
const MAX_WAITING: usize = 2_048;

/// A third of this is the shortest time over which the retries of refused callers are spread, in milliseconds. A
/// request that is refused after a long wait has little time left, and its caller would otherwise return at once.
const RETRY_WINDOW_MS: u64 = 600;

/// A refused caller is told to wait at least until the queue is served, but at most this part of its remaining time,
/// so that the rest of the time that a retry may take is left to spread the retries.
const EARLIEST_RETRY_DIVISOR: u64 = 6;

/// The interval of log lines on refusals, in milliseconds.
const SATURATION_LOG_INTERVAL_MS: u64 = 1_000;

/// How long an unused ledger is kept, in milliseconds: its measured answer times are of use to later requests.
const IDLE_LIMIT_MS: u64 = 60_000;

/// Identifies a request: the VM that sends it, and the VM's number for it.
pub type SendKey = (VmName, u64);

/// A request's slot at a replica.
#[derive(Debug)]
struct SendLease {
    replica: ReplicaId,
    /// When the grant ends even if it is not released: the request's deadline.
    expires_at: Moment,
}

/// An answer to a VM's request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotDecision {
    /// The request.
    pub key: SendKey,
    /// The answer.
    pub verdict: SendVerdict,
}

/// Grants and queue of one service at its owner.
#[derive(Debug)]
pub struct ServiceLedger {
    service: Arc<str>,
    /// The list that `replicas` was built from.
    list: Arc<FastMap<ReplicaId, ReplicaFacts>>,
    replicas: FastMap<ReplicaId, ReplicaSlots>,
    leases: FastMap<SendKey, SendLease>,
    queue: Vec<WaitingSend>,
    /// When each VM with waiting requests was last answered.
    answered_at: FastMap<VmName, Moment>,
    planner: RetryPlanner,
    /// The paces of the replicas, which this owner alone sends to where it is asked.
    paces: PaceTable,
    next_expiry: Moment,
    used_at: Moment,
    /// Requests refused since the latest log line on refusals.
    refused_count: u32,
    next_log: Moment,
}

impl ServiceLedger {
    /// Creates a ledger without grants; the replicas' reported loads are all that it begins with.
    pub fn new(service: &Arc<str>) -> Self {
        Self {
            service: service.clone(),
            list: Arc::default(),
            replicas: FastMap::default(),
            leases: FastMap::default(),
            queue: Vec::new(),
            answered_at: FastMap::default(),
            planner: RetryPlanner::default(),
            paces: PaceTable::new(0, 0),
            next_expiry: Moment::default(),
            used_at: Moment::default(),
            refused_count: 0,
            next_log: Moment::default(),
        }
    }

    /// Number of requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Number of grants in force.
    pub fn granted_count(&self) -> usize {
        self.leases.len()
    }

    /// The log line on requests refused since the latest one; `None` if there are none, or it was just written.
    pub fn take_saturation_line(&mut self, now: Moment) -> Option<String> {
        if self.refused_count == 0 || !now.reached(self.next_log) {
            return None;
        }
        self.next_log = now.after_ms(SATURATION_LOG_INTERVAL_MS);
        let refused = std::mem::take(&mut self.refused_count);
        Some(format!(
            "event=service_saturated service={} refused={refused} waiting={} granted={} answer_ms={}",
            self.service,
            self.queue.len(),
            self.leases.len(),
            self.answer_ms(now)
        ))
    }

    /// Whether the ledger has not been used for so long that it may be dropped.
    pub fn is_idle(&self, now: Moment) -> bool {
        self.queue.is_empty() && self.leases.is_empty() && now.reached(self.used_at.after_ms(IDLE_LIMIT_MS))
    }

    /// When the ledger has to be run next; `None` while nothing waits and nothing is granted.
    pub fn wake_at(&self, now: Moment) -> Option<Moment> {
        let check_at = (!self.queue.is_empty()).then(|| now.after_ms(QUEUE_CHECK_MS));
        let expiry_at = (!self.leases.is_empty()).then_some(self.next_expiry);
        check_at.into_iter().chain(expiry_at).min()
    }

    /// Decides on a request for a slot. A request that has to wait gets no decision yet.
    pub fn request(
        &mut self,
        key: SendKey,
        request: &SendRequest,
        board: &Blackboard,
        now: Moment,
    ) -> Vec<SlotDecision> {
        self.used_at = now;
        self.synchronize(board, now);
        request.loads.iter().for_each(|report| self.record_load(report));
        // A restarted process may use a number of its predecessor again.
        self.end_lease(&key);
        if !self.has_candidate(request, board) {
            let verdict = SendVerdict::NoCandidate;
            return vec![SlotDecision { key, verdict }];
        }
        self.queue.push(WaitingSend {
            key: key.clone(),
            request: request.clone(),
            asked_at: now,
            is_noticed: false,
        });
        let mut decisions = self.grant_waiting(board, now);
        let Some(place) = self.queue.iter().position(|waiting| waiting.key == key) else {
            return decisions;
        };
        let is_refused = request.is_immediate
            || self.queue.len() > MAX_WAITING
            || self.is_hopeless(request, self.count_ahead(place, now), now);
        if is_refused {
            self.queue.remove(place);
            let verdict = self.refuse(&key, request, now);
            decisions.push(SlotDecision { key, verdict });
        }
        decisions
    }

    /// Ends a grant, or removes a waiting request; `None` if this ledger has neither.
    pub fn release(
        &mut self,
        key: &SendKey,
        release: SendRelease,
        board: &Blackboard,
        now: Moment,
    ) -> Option<Vec<SlotDecision>> {
        if let Some(place) = self.queue.iter().position(|waiting| waiting.key == *key) {
            self.queue.remove(place);
            return Some(Vec::new());
        }
        let id = self.end_lease(key)?;
        self.used_at = now;
        if let Some(load) = release.load {
            self.record_load(&LoadReport {
                replica: id.clone(),
                load,
                reported_at: now,
            });
        }
        let usual_us = self.usual_work_us(now);
        if let Some(replica) = self.replicas.get_mut(&id) {
            match release.end {
                SendEnd::Abandoned(elapsed_ms) => replica.record_abandoned(elapsed_ms, usual_us, now),
                SendEnd::Answered(elapsed_ms) => replica.record_answer(elapsed_ms, now),
                SendEnd::Rejected => replica.record_rejection(now),
                SendEnd::Failed => replica.record_failure(now),
                SendEnd::Unused | SendEnd::Ended => {}
            }
        }
        self.record_pace(&id, &release, now);
        Some(self.grant_waiting(board, now))
    }

    /// Records what the end of a grant says of how fast its replica serves.
    fn record_pace(&mut self, id: &ReplicaId, release: &SendRelease, now: Moment) {
        match release.end {
            SendEnd::Answered(elapsed_ms) => {
                let sample = AnswerSample {
                    work_us: elapsed_ms * 1_000,
                    sent_at: Moment(now.0.saturating_sub(elapsed_ms)),
                    load: release.load,
                };
                self.paces.record_answer(id, sample, now);
            }
            SendEnd::Rejected => self.paces.record_rejection(id, now),
            SendEnd::Failed => self.paces.record_failure(id, now),
            SendEnd::Abandoned(_) => self.paces.record_no_answer(id, now),
            SendEnd::Unused | SendEnd::Ended => {}
        }
    }

    /// Takes the changes of the replicas' paces since the last call, for the log.
    pub fn take_pace_changes(&mut self) -> Vec<PaceChange> {
        self.paces.take_changes()
    }

    /// Ends expired grants, refuses requests that can no longer be answered in time, grants free slots and
    /// tells VMs that their requests still wait.
    pub fn run(&mut self, board: &Blackboard, now: Moment) -> Vec<SlotDecision> {
        if now.reached(self.next_expiry) {
            self.next_expiry = now.after_ms(EXPIRY_INTERVAL_MS);
            self.end_expired(board, now);
        }
        if self.queue.is_empty() {
            self.answered_at.clear();
            return Vec::new();
        }
        let mut decisions = self.grant_waiting(board, now);
        decisions.extend(self.refuse_hopeless(now));
        decisions.extend(self.write_notices(board, now));
        decisions
    }

    /// Ends the grants whose requests' deadlines have passed, and the grants and waiting requests of VMs that are
    /// considered dead. If such a VM is alive after all, reported loads show its sends.
    fn end_expired(&mut self, board: &Blackboard, now: Moment) {
        let is_gone = |vm: &VmName| {
            let is_live = || board.vms.get(vm).is_some_and(|record| record.is_live(now));
            *vm != board.own.name && !is_live()
        };
        let is_over = |key: &SendKey, lease: &SendLease| now.reached(lease.expires_at) || is_gone(&key.0);
        let ended = self.leases.iter().filter(|(key, lease)| is_over(key, lease));
        let ended: Vec<SendKey> = ended.map(|(key, _)| key.clone()).collect();
        for key in &ended {
            self.end_lease(key);
        }
        self.queue.retain(|waiting| !is_gone(&waiting.key.0));
    }

    /// Takes the replicas from the list if it has changed.
    fn synchronize(&mut self, board: &Blackboard, now: Moment) {
        self.paces.refresh(now);
        if Arc::ptr_eq(&self.list, &board.replicas) {
            return;
        }
        self.list = board.replicas.clone();
        for replica in self.replicas.values_mut() {
            replica.is_leaving = true;
        }
        let of_service = board
            .replicas
            .values()
            .filter(|facts| facts.record.service == self.service && facts.record.role == ReplicaRole::Plain);
        self.paces.set_enabled(board.register.register.paces_replicas());
        for facts in of_service {
            self.paces.update(facts, facts.record.slots.max(1), now);
            let id = facts.record.id.clone();
            let replica = self
                .replicas
                .entry(id)
                .or_insert_with(|| ReplicaSlots::new(facts));
            replica.update(facts);
        }
        self.replicas
            .retain(|_, replica| !replica.is_leaving || replica.granted > 0);
        self.paces.retain(|id| self.replicas.contains_key(id));
    }

    fn record_load(&mut self, report: &LoadReport) {
        if let Some(replica) = self.replicas.get_mut(&report.replica) {
            replica.record_load(report);
        }
    }

    fn end_lease(&mut self, key: &SendKey) -> Option<ReplicaId> {
        let lease = self.leases.remove(key)?;
        if let Some(replica) = self.replicas.get_mut(&lease.replica) {
            replica.granted = replica.granted.saturating_sub(1);
        }
        Some(lease.replica)
    }

    /// Whether any replica may be granted to a request, now or later. Replicas that report rate limits need
    /// permits and are not granted here.
    fn has_candidate(&self, request: &SendRequest, board: &Blackboard) -> bool {
        let mut replicas = self.replicas.iter();
        replicas.any(|(id, replica)| may_use(id, replica, request, board))
    }

    /// The replica with room at which a request is expected to be answered first.
    fn choose(&self, waiting: &WaitingSend, board: &Blackboard, now: Moment) -> Option<ReplicaId> {
        let request = &waiting.request;
        let zone = zone_of(&waiting.key.0, board);
        let usual_us = self.usual_work_us(now);
        let usable = self
            .replicas
            .iter()
            .filter(|(id, replica)| replica.has_room(now) && may_use(id, replica, request, board));
        let best = usable.min_by_key(|(id, replica)| {
            let cost_us = replica.cost_us(usual_us, &zone, now);
            let occupied = replica.occupied(now);
            // Pace gives way where no other replica has room.
            let is_held_back = self.paces.is_full(id, occupied, now);
            (replica.is_last_choice(now), is_held_back, cost_us, occupied, *id)
        });
        best.map(|(id, _)| id.clone())
    }

    /// Grants free slots to waiting requests in their order.
    fn grant_waiting(&mut self, board: &Blackboard, now: Moment) -> Vec<SlotDecision> {
        self.synchronize(board, now);
        let mut decisions = Vec::new();
        // Requests that avoid all replicas with room; those behind them may still be granted.
        let mut blocked: FastSet<SendKey> = FastSet::default();
        while self.replicas.values().any(|replica| replica.has_room(now)) {
            let answer_ms = self.answer_ms(now);
            let candidates = self.queue.iter().enumerate();
            let first = candidates
                .filter(|(_, waiting)| !blocked.contains(&waiting.key))
                .min_by_key(|(_, waiting)| waiting.order(answer_ms, now));
            let Some((place, waiting)) = first else {
                break;
            };
            let Some(id) = self.choose(waiting, board, now) else {
                blocked.insert(waiting.key.clone());
                continue;
            };
            let waiting = self.queue.swap_remove(place);
            decisions.push(self.grant(waiting, id, now));
        }
        decisions
    }

    fn grant(&mut self, waiting: WaitingSend, replica: ReplicaId, now: Moment) -> SlotDecision {
        if let Some(slots) = self.replicas.get_mut(&replica) {
            slots.granted += 1;
        }
        if self.leases.is_empty() {
            self.next_expiry = now.after_ms(EXPIRY_INTERVAL_MS);
        }
        let lease = SendLease {
            replica: replica.clone(),
            expires_at: waiting.request.deadline,
        };
        self.leases.insert(waiting.key.clone(), lease);
        SlotDecision {
            key: waiting.key,
            verdict: SendVerdict::Granted { replica },
        }
    }

    /// The answer time at the usual pace that is assumed of a replica without a recent answer, in microseconds: that
    /// of the fastest other one, so that the replica is tried.
    fn usual_work_us(&self, now: Moment) -> u64 {
        let known = self.replicas.values().filter_map(|replica| replica.work_us(now));
        known.min().unwrap_or(DEFAULT_ANSWER_US).min(DEFAULT_ANSWER_US)
    }

    /// Requests that the replicas answer in a thousand seconds while all slots are in use.
    fn throughput(&self, now: Moment) -> u64 {
        let usual_us = self.usual_work_us(now);
        let staying = self.replicas.values().filter(|replica| !replica.is_leaving);
        let rates = staying
            .map(|replica| u64::from(replica.slots()) * 1_000_000_000 / replica.answer_us(usual_us, now));
        rates.sum::<u64>().max(1)
    }

    /// The expected answer time of a request at the next free slot, in milliseconds, with a margin.
    fn answer_ms(&self, now: Moment) -> u64 {
        let staying = self.replicas.values().filter(|replica| !replica.is_leaving);
        let slots: u64 = staying.map(|replica| u64::from(replica.slots())).sum();
        slots * 1_000_000 / self.throughput(now) + LATE_MARGIN_MS
    }

    /// Number of requests that go before the one at a place of the queue.
    fn count_ahead(&self, place: usize, now: Moment) -> usize {
        let answer_ms = self.answer_ms(now);
        let own = self.queue[place].order(answer_ms, now);
        let orders = self.queue.iter().map(|waiting| waiting.order(answer_ms, now));
        orders.filter(|order| *order < own).count()
    }

    /// Whether a request can't be answered before its deadline with so many others before it.
    fn is_hopeless(&self, request: &SendRequest, ahead: usize, now: Moment) -> bool {
        let wait_ms = (ahead as u64 + 1) * 1_000_000 / self.throughput(now);
        now.after_ms(wait_ms + self.answer_ms(now)) > request.deadline
    }

    fn refuse(&mut self, key: &SendKey, request: &SendRequest, now: Moment) -> SendVerdict {
        if request.is_immediate {
            return SendVerdict::Refused { retry_ms: 0 };
        }
        self.refused_count += 1;
        let throughput = self.throughput(now);
        let deadline = request.deadline.max(now.after_ms(RETRY_WINDOW_MS));
        let drained_ms = self.queue.len() as u64 * 1_000_000 / throughput;
        let earliest_ms = drained_ms.min(now.until_ms(deadline) / EARLIEST_RETRY_DIVISOR);
        let caller = RefusedCaller {
            request_id: &format!("{}/{}", key.0, key.1),
            deadline,
            vm_count: 1,
        };
        let retry_ms = self
            .planner
            .plan_ms(RequestRate(throughput), earliest_ms, &caller, now);
        SendVerdict::Refused { retry_ms }
    }

    /// Refuses the requests that can no longer be answered before their deadlines.
    fn refuse_hopeless(&mut self, now: Moment) -> Vec<SlotDecision> {
        let answer_ms = self.answer_ms(now);
        self.queue
            .sort_by_cached_key(|waiting| waiting.order(answer_ms, now));
        let mut kept = Vec::with_capacity(self.queue.len());
        let mut decisions = Vec::new();
        for waiting in std::mem::take(&mut self.queue) {
            if self.is_hopeless(&waiting.request, kept.len(), now) {
                let verdict = self.refuse(&waiting.key, &waiting.request, now);
                let key = waiting.key;
                decisions.push(SlotDecision { key, verdict });
            } else {
                kept.push(waiting);
            }
        }
        self.queue = kept;
        decisions
    }

    /// Tells VMs that their requests wait: each request once, and then one request of each VM as a sign that
    /// this owner is alive.
    fn write_notices(&mut self, board: &Blackboard, now: Moment) -> Vec<SlotDecision> {
        let own = &board.own.name;
        let mut decisions = Vec::new();
        for waiting in self.queue.iter_mut().filter(|waiting| waiting.key.0 != *own) {
            let vm = &waiting.key.0;
            let is_due = if waiting.is_noticed {
                let answered_at = self.answered_at.get(vm);
                answered_at.is_none_or(|at| now.reached(at.after_ms(NOTICE_INTERVAL_MS)))
            } else {
                now.reached(waiting.asked_at.after_ms(FIRST_NOTICE_MS))
            };
            if is_due {
                waiting.is_noticed = true;
                self.answered_at.insert(vm.clone(), now);
                decisions.push(SlotDecision {
                    key: waiting.key.clone(),
                    verdict: SendVerdict::Queued,
                });
            }
        }
        decisions
    }
}

/// Whether a replica may be granted to a request once it has room.
fn may_use(id: &ReplicaId, replica: &ReplicaSlots, request: &SendRequest, board: &Blackboard) -> bool {
    !replica.is_leaving && !request.avoid.contains(id) && board.listed_rate_limit(id).is_none()
}

/// The availability zone of a VM; empty if the VM is unknown.
fn zone_of(vm: &VmName, board: &Blackboard) -> Arc<str> {
    match *vm == board.own.name {
        true => board.own.zone.clone(),
        false => board.vms.get(vm).map_or_else(|| "".into(), |vm| vm.zone.clone()),
    }
}
