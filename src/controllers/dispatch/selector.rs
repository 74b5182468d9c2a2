//! Statistics of all replicas, and the selection among them.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::retry_planner::{RefusedCaller, RetryPlanner};
use super::stats::DEFAULT_ANSWER_MS;
use super::{CandidateState, CandidateView, ReplicaStats, SendOutcome};
use crate::blackboard::{
    ReplicaFacts, ReplicaId, ReplicaLoad, ReplicaRecord, ReplicaRole, RequestRate, SharedRateLimits,
    find_limit,
};
use crate::controllers::pace::{AnswerSample, PaceChange, PaceLevel, PaceTable};
use crate::controllers::service_slots::{LoadReport, MAX_LOADS};
use crate::prelude::*;

/// The cost of another zone for a plain call, in equivalent milliseconds of waiting: round trip time and
/// price of traffic.
const OTHER_ZONE_COST_MS: u64 = 12;

/// The cost of another zone for a generation, in equivalent prompt tokens.
const OTHER_ZONE_COST_TOKENS: u64 = 150;

/// The cost that each request in an engine's batch adds for a new request, in equivalent prompt tokens.
const BATCH_REQUEST_COST_TOKENS: u64 = 400;

/// The cost of a permit for a rate-limited replica, in milliseconds of waiting: a round trip to the permit's
/// owner.
const PERMIT_COST_MS: u64 = 5;

/// A replica without a limit is preferred to a rate-limited one unless its cost is more than this many times
/// as high.
const SLOW_FACTOR: u64 = 3;

/// The most candidate replicas in one permit request.
const MAX_CANDIDATES: usize = 16;

/// The share of rejections, in thousandths, from which a replica is expected to reject the next request too.
const REJECTING_THOUSANDTHS: u64 = 500;

/// The time after a rejection in which the load of a service does not count as low, in milliseconds.
const REJECTION_MEMORY_MS: u64 = 1_000;
/// The longest delay of this VM's first request to a fresh replica, in milliseconds. Without it, all VMs send
/// to a new replica in the same moment: none of them has measured it or knows of the others' requests.
const FIRST_SEND_SPREAD_MS: u64 = 400;

/// Criteria for the selection of a replica.
#[derive(Clone, Debug)]
pub struct SelectionCriteria<'a> {
    /// The service that the replica must belong to.
    pub service: &'a str,
    /// The role that the replica must have.
    pub role: ReplicaRole,
    /// Replicas that the request has already tried; they aren't selected.
    pub avoid: &'a [ReplicaId],
}

/// The load figures at the time of a selection, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChoiceEvidence {
    /// The estimated number of requests at the selected replica.
    pub requests_ahead: u32,
    /// The estimated number of free slots at the other replicas of the same service and role.
    pub free_slots_elsewhere: u32,
}

/// The result of a selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchChoice {
    /// The request may be sent to this replica without a permit.
    Unlimited(Arc<ReplicaRecord>),
    /// The request needs a permit for one of these rate-limited replicas, best first.
    Limited(Vec<ReplicaId>),
}

/// The rank of a replica for a request, compared field by field; the least is best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ChoiceRank {
    /// 1 for a replica that is paused after failures, plus 2 for a draining one.
    penalty: u8,
    /// Whether the replica has all requests that its pace allows while another one has a free slot.
    is_held_back: bool,
    /// Whether it ranks behind unlimited replicas that have a free slot, because it is rate-limited or has no
    /// free slot. False if no replica of the service is rate-limited.
    is_fallback: bool,
    /// The expected cost; see [`ReplicaSelector::cost`].
    cost: u64,
    /// A random number that decides between replicas of equal rank.
    tie_breaker: u32,
}

/// A backoff that a replica requested from this VM (Retry-After).
#[derive(Clone, Copy, Debug)]
struct ReplicaBackoff {
    /// The start time of the replica process that requested it.
    started_epoch_ms: u64,
    until: Moment,
}

/// Selects replicas by their statistics, backoffs and rate limits.
#[derive(Debug)]
pub struct ReplicaSelector {
    zone: Arc<str>,
    replica_stats: FastMap<ReplicaId, ReplicaStats>,
    /// Separate from the statistics, since a backoff also outlasts a replica's temporary absence from the
    /// list.
    backoffs: FastMap<ReplicaId, ReplicaBackoff>,
    limits: SharedRateLimits,
    /// Until when no permit is available for a rate-limited replica.
    no_permit_until: FastMap<ReplicaId, Moment>,
    retry_planners: FastMap<Arc<str>, RetryPlanner>,
    /// The number of selections for each service.
    choice_counts: FastMap<Arc<str>, u64>,
    /// The paces of plain replicas.
    paces: PaceTable,
    random: SmallRng,
}

impl ReplicaSelector {
    /// Creates a selector for a VM in a zone. The seed determines the random tie-breaking.
    pub fn new(zone: Arc<str>, seed: u64) -> Self {
        Self {
            zone,
            replica_stats: FastMap::default(),
            backoffs: FastMap::default(),
            limits: Arc::default(),
            no_permit_until: FastMap::default(),
            retry_planners: FastMap::default(),
            choice_counts: FastMap::default(),
            paces: PaceTable::new(FIRST_SEND_SPREAD_MS, seed),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the list of replicas, keeps the statistics of those that stay, and removes expired backoffs.
    pub fn replace<'a>(&mut self, replicas: impl Iterator<Item = &'a ReplicaFacts>, now: Moment) {
        self.backoffs.retain(|_, backoff| !now.reached(backoff.until));
        let mut known = std::mem::take(&mut self.replica_stats);
        for facts in replicas {
            let id = facts.record.id.clone();
            let mut stats = known.remove(&id).unwrap_or_else(|| ReplicaStats::new(facts));
            stats.update(facts);
            if facts.record.role == ReplicaRole::Plain {
                self.paces.update(facts, facts.record.slots, now);
            }
            self.replica_stats.insert(id, stats);
        }
        let replica_stats = &self.replica_stats;
        self.paces.retain(|id| replica_stats.contains_key(id));
    }

    /// Whether replicas that have just started or recovered are restrained.
    pub fn has_pace(&self) -> bool {
        self.paces.is_enabled()
    }

    /// Enables or disables pace; [`Self::replace`] must follow a change.
    pub fn set_pace(&mut self, is_enabled: bool) {
        self.paces.set_enabled(is_enabled);
    }

    /// Takes the changes of replicas' paces since the last call, for the log.
    pub fn take_pace_changes(&mut self) -> Vec<PaceChange> {
        self.paces.take_changes()
    }

    /// The limits of the plain replicas that are restrained now.
    pub fn pace_levels(&self, now: Moment) -> Vec<PaceLevel> {
        self.paces.levels(now)
    }

    /// Replaces the rate limits of replicas.
    pub fn set_limits(&mut self, limits: &SharedRateLimits) {
        if !Arc::ptr_eq(&self.limits, limits) {
            self.limits = limits.clone();
            self.no_permit_until.retain(|id, _| limits.contains_key(id));
        }
    }

    fn limit(&self, record: &ReplicaRecord) -> Option<RequestRate> {
        let limit = find_limit(&self.limits, &record.id, record.started_epoch_ms);
        limit.map(|limit| limit.rate)
    }

    /// Whether any replica of a service is rate-limited.
    fn has_limits(&self, service: &str) -> bool {
        let mut limited = self.limits.keys().filter_map(|id| self.replica_stats.get(id));
        limited.any(|stats| &*stats.record.service == service && self.limit(&stats.record).is_some())
    }

    /// Records that no permit is available for some replicas before `until`.
    pub fn record_no_permit(&mut self, candidates: &[ReplicaId], until: Moment) {
        let ids = candidates.iter().cloned();
        self.no_permit_until.extend(ids.map(|id| (id, until)));
    }

    /// Whether an owner may issue a permit for a replica: its limit isn't zero, and the pause after a refusal
    /// is over.
    fn may_have_permit(&self, record: &ReplicaRecord, rate: RequestRate, now: Moment) -> bool {
        let until = self.no_permit_until.get(&record.id);
        !rate.is_zero() && until.is_none_or(|until| now.reached(*until))
    }

    /// The Retry-After for a caller that is refused because of a service's rate limits, in milliseconds;
    /// `None` if no replica is rate-limited.
    pub fn plan_retry_ms(
        &mut self,
        service: &Arc<str>,
        caller: &RefusedCaller<'_>,
        now: Moment,
    ) -> Option<u64> {
        let replica_stats = self.replica_stats.values();
        let of_service =
            replica_stats.filter(|stats| *stats.record.service == **service && !stats.is_stopped(now));
        let limited: Vec<(RequestRate, Moment)> = of_service
            .filter_map(|stats| {
                let until = self.no_permit_until.get(&stats.record.id);
                Some((self.limit(&stats.record)?, until.copied().unwrap_or(now)))
            })
            .collect();
        let first = limited.iter().map(|(_, until)| *until).min()?;
        let rate = RequestRate(limited.iter().map(|(rate, _)| rate.0).sum());
        let planner = self.retry_planners.entry(service.clone()).or_default();
        Some(planner.plan_ms(rate, now.until_ms(first), caller, now))
    }

    /// Records a backoff that a replica requested. Of several backoffs the one that ends last applies. A
    /// backoff that an earlier start of the replica requested is ignored.
    pub fn record_backoff(&mut self, record: &ReplicaRecord, until: Moment) {
        let started_epoch_ms = record.started_epoch_ms;
        let known = self.backoffs.entry(record.id.clone()).or_insert(ReplicaBackoff {
            started_epoch_ms,
            until,
        });
        if known.started_epoch_ms == started_epoch_ms {
            known.until = known.until.max(until);
        } else if known.started_epoch_ms < started_epoch_ms {
            *known = ReplicaBackoff {
                started_epoch_ms,
                until,
            };
        }
    }

    /// The end of a replica's backoff; `None` if it accepts requests.
    pub fn backoff_until(&self, record: &ReplicaRecord, now: Moment) -> Option<Moment> {
        let known = self.backoffs.get(&record.id)?;
        let is_active = known.started_epoch_ms == record.started_epoch_ms && !now.reached(known.until);
        is_active.then_some(known.until)
    }

    /// Whether this VM must send no callers' requests to a replica now, because it requested a backoff or has
    /// left.
    pub fn is_withheld(&self, record: &ReplicaRecord, now: Moment) -> bool {
        self.backoff_until(record, now).is_some() || self.is_stopped(record, now)
    }

    /// The replicas of a service to which this VM must send no callers' requests now.
    pub fn withheld(&self, service: &str, now: Moment) -> Vec<ReplicaId> {
        let records = self.replica_stats.values().map(|stats| &stats.record);
        records
            .filter(|record| &*record.service == service && self.is_withheld(record, now))
            .map(|record| record.id.clone())
            .collect()
    }

    /// The earliest end of a backoff among the replicas of a service and role; `None` if one accepts requests
    /// now, or there is no replica.
    pub fn first_backoff_end(&self, service: &str, role: ReplicaRole, now: Moment) -> Option<Moment> {
        let remaining = self.replica_stats.values().filter(|stats| {
            &*stats.record.service == service && stats.record.role == role && !stats.is_stopped(now)
        });
        let mut first: Option<Moment> = None;
        for stats in remaining {
            let until = self.backoff_until(&stats.record, now)?;
            first = Some(first.map_or(until, |first| first.min(until)));
        }
        first
    }

    /// The replicas of a service that are leaving, whether or not they still get requests.
    pub fn leaving(&self, service: &str) -> Vec<ReplicaId> {
        let leaving = self
            .replica_stats
            .values()
            .filter(|stats| &*stats.record.service == service && stats.stop_at.is_some());
        leaving.map(|stats| stats.record.id.clone()).collect()
    }

    /// Whether a replica is leaving and gets no more requests from callers. One without statistics is no longer
    /// listed, since these are dropped once it has stopped.
    pub fn is_stopped(&self, record: &ReplicaRecord, now: Moment) -> bool {
        let stats = self.replica_stats.get(&record.id);
        stats.is_none_or(|stats| {
            stats.record.started_epoch_ms == record.started_epoch_ms && stats.is_stopped(now)
        })
    }

    /// Selects the unlimited replica with the least expected cost, or rate-limited candidates if these are
    /// better or all replicas are limited. Paused and draining replicas are used only if no other is
    /// available. Rate-limited ones are used only if the others have no free slot or are much slower.
    /// Replicas in a backoff are never used. A replica at the limit of its pace ranks behind others with a
    /// free slot.
    pub fn choose(&mut self, criteria: &SelectionCriteria<'_>, now: Moment) -> Option<DispatchChoice> {
        self.paces.refresh(now);
        let has_room = self.paces.has_ramps() && self.has_room_at_pace(criteria, now);
        let mut best_unlimited: Option<(ChoiceRank, Arc<ReplicaRecord>)> = None;
        let mut limited: Vec<(ChoiceRank, ReplicaId)> = Vec::new();
        let has_limits = self.has_limits(criteria.service);
        let choice_count = self
            .choice_counts
            .get(criteria.service)
            .copied()
            .unwrap_or_default();
        for stats in self.replica_stats.values() {
            let record = &stats.record;
            if !self.is_eligible(stats, criteria, now) {
                continue;
            }
            let tie_breaker = self.random.random();
            let mut rank = ChoiceRank {
                is_fallback: has_limits && stats.expected_requests(now) >= record.slots,
                tie_breaker,
                ..self.rank(stats, has_room, choice_count, now)
            };
            match self.limit(record) {
                Some(rate) if self.may_have_permit(record, rate, now) => {
                    rank.is_fallback = true;
                    rank.cost += PERMIT_COST_MS;
                    limited.push((rank, record.id.clone()));
                }
                Some(_) => {}
                None => {
                    if best_unlimited.as_ref().is_none_or(|(best, _)| rank < *best) {
                        best_unlimited = Some((rank, record.clone()));
                    }
                }
            }
        }
        let Some((best, record)) = best_unlimited else {
            return rank_candidates(limited);
        };
        let is_much_faster = |rank: &ChoiceRank| best.cost > rank.cost * SLOW_FACTOR;
        limited.retain(|(rank, _)| *rank < best || (rank.penalty <= best.penalty && is_much_faster(rank)));
        Some(rank_candidates(limited).unwrap_or(DispatchChoice::Unlimited(record)))
    }

    /// Whether the load of a plain service is so low that a send needs no slot: the valid loads that this VM knows,
    /// one at least, show under half of the slots in use, and no replica rejected a request lately. A VM that knows
    /// none can't tell a calm time from the beginning of a burst.
    pub fn is_calm(&self, service: &str, now: Moment) -> bool {
        let replica_stats = self.replica_stats.values();
        let mut of_service =
            replica_stats.filter(|stats| &*stats.record.service == service && !stats.is_stopped(now));
        let mut is_any_known = false;
        let is_low = of_service.all(|stats| {
            is_any_known |= stats.load(now).is_some();
            stats.expected_requests(now) * 2 < stats.record.slots
                && !stats.has_rejected_within(REJECTION_MEMORY_MS, now)
        });
        is_any_known && is_low
    }

    /// Whether a replica has all requests that its pace allows while others have room. Its owner may have granted it
    /// to a request before this VM sent another one there without asking.
    pub fn is_over_pace(&self, criteria: &SelectionCriteria<'_>, id: &ReplicaId, now: Moment) -> bool {
        let stats = self.replica_stats.get(id);
        self.paces.has_ramps()
            && stats.is_some_and(|stats| self.is_held_back(stats, now))
            && self.has_room_at_pace(criteria, now)
    }

    /// The replicas that the owner of a service must not grant to a request of this VM: those that it avoids,
    /// those that drain, are paused after failures or requested a backoff, and those that have all requests that
    /// this VM's view of their pace allows while others have room: the owner knows of its own grants only.
    pub fn avoided(&self, criteria: &SelectionCriteria<'_>, now: Moment) -> Vec<ReplicaId> {
        let has_room = self.paces.has_ramps() && self.has_room_at_pace(criteria, now);
        let replica_stats = self.replica_stats.values();
        let avoided = replica_stats.filter(|stats| {
            let record = &stats.record;
            let is_unfit = || {
                criteria.avoid.contains(&record.id)
                    || stats.stop_at.is_some()
                    || !now.reached(stats.paused_until)
                    || self.backoff_until(record, now).is_some()
                    || (has_room && self.is_held_back(stats, now))
            };
            &*record.service == criteria.service && record.role == criteria.role && is_unfit()
        });
        avoided.map(|stats| stats.record.id.clone()).collect()
    }

    /// The latest loads of a service's replicas that its owner has not received yet. They count as received
    /// from then on.
    pub fn take_unshared_loads(&mut self, service: &str, now: Moment) -> Vec<LoadReport> {
        let replica_stats = self.replica_stats.values_mut();
        let of_service = replica_stats.filter(|stats| &*stats.record.service == service);
        let unshared = of_service.filter_map(|stats| stats.take_unshared_load(now));
        unshared.take(MAX_LOADS).collect()
    }

    /// The rank of a replica without rate limits and without a tie-breaker. `has_room` says whether pace may
    /// hold replicas back.
    fn rank(&self, stats: &ReplicaStats, has_room: bool, choice_count: u64, now: Moment) -> ChoiceRank {
        let is_paused = !now.reached(stats.paused_until);
        ChoiceRank {
            penalty: u8::from(is_paused) + 2 * u8::from(stats.stop_at.is_some()),
            is_held_back: has_room && self.is_held_back(stats, now),
            is_fallback: false,
            cost: self.cost(stats, choice_count, now),
            tie_breaker: 0,
        }
    }

    /// All replicas of a service and role, as a selection would see them now, the best first. Nothing is
    /// chosen or counted.
    pub fn preview(&self, criteria: &SelectionCriteria<'_>, now: Moment) -> Vec<CandidateView> {
        let has_room = self.paces.has_ramps() && self.has_room_at_pace(criteria, now);
        let choice_count = self
            .choice_counts
            .get(criteria.service)
            .copied()
            .unwrap_or_default();
        let replica_stats = self.replica_stats.values();
        let of_service = replica_stats
            .filter(|stats| &*stats.record.service == criteria.service && stats.record.role == criteria.role);
        let mut ranked: Vec<(bool, ChoiceRank, CandidateView)> = of_service
            .map(|stats| {
                let rank = self.rank(stats, has_room, choice_count, now);
                let view = self.view(stats, rank, now);
                (!view.state.is_eligible(), rank, view)
            })
            .collect();
        ranked.sort_by(|(left_out, left, left_view), (right_out, right, right_view)| {
            let ids = || left_view.record.id.cmp(&right_view.record.id);
            (left_out, left).cmp(&(right_out, right)).then_with(ids)
        });
        ranked.into_iter().map(|(_, _, view)| view).collect()
    }

    fn view(&self, stats: &ReplicaStats, rank: ChoiceRank, now: Moment) -> CandidateView {
        let record = &stats.record;
        let rate_limit = self.limit(record);
        let no_permit_until = self.no_permit_until.get(&record.id).copied();
        let backoff_until = self.backoff_until(record, now);
        let is_paused = !now.reached(stats.paused_until);
        let (state, state_until) = match () {
            () if stats.is_stopped(now) => (CandidateState::Stopped, None),
            () if backoff_until.is_some() => (CandidateState::BackingOff, backoff_until),
            () if rate_limit.is_some_and(|rate| !self.may_have_permit(record, rate, now)) => {
                (CandidateState::NoPermit, no_permit_until)
            }
            () if stats.stop_at.is_some() => (CandidateState::Leaving, stats.stop_at),
            () if is_paused => (CandidateState::Paused, Some(stats.paused_until)),
            () => (CandidateState::Usable, None),
        };
        CandidateView {
            record: record.clone(),
            state,
            state_until,
            requests: stats.expected_requests(now),
            in_flight: stats.in_flight,
            load: stats.load(now).zip(stats.load_age_ms(now)),
            answer_ms: stats.answer_ms,
            pace: self.paces.state(&record.id),
            pace_limit: self.paces.limit(&record.id, now),
            is_held_back: rank.is_held_back,
            rate_limit,
            cost: rank.cost,
        }
    }

    /// Whether a replica may get a request that meets these criteria.
    fn is_eligible(&self, stats: &ReplicaStats, criteria: &SelectionCriteria<'_>, now: Moment) -> bool {
        let record = &stats.record;
        &*record.service == criteria.service
            && record.role == criteria.role
            && !criteria.avoid.contains(&record.id)
            && self.backoff_until(record, now).is_none()
            && !stats.is_stopped(now)
    }

    /// Whether a replica has all requests that its pace allows.
    fn is_held_back(&self, stats: &ReplicaStats, now: Moment) -> bool {
        self.paces
            .is_full(&stats.record.id, stats.expected_requests(now), now)
    }

    /// Whether an unlimited replica that is neither held back, paused nor leaving has a free slot, so that
    /// pace may hold others back.
    fn has_room_at_pace(&self, criteria: &SelectionCriteria<'_>, now: Moment) -> bool {
        self.replica_stats.values().any(|stats| {
            self.is_eligible(stats, criteria, now)
                && now.reached(stats.paused_until)
                && stats.stop_at.is_none()
                && stats.expected_requests(now) < stats.record.slots
                && stats.rejected_thousandths < REJECTING_THOUSANDTHS
                && self.limit(&stats.record).is_none()
                && !self.is_held_back(stats, now)
        })
    }

    /// The expected time of a call at a plain replica, in milliseconds. One that has just started and isn't
    /// measured is expected to answer as its peers do, so that its missing figures don't attract all calls.
    fn expected_answer_ms(&self, stats: &ReplicaStats, choice_count: u64) -> u64 {
        let expected_ms = stats.expected_answer_ms(choice_count);
        if stats.answer_ms > 0 {
            return expected_ms;
        }
        let peer_us = self.paces.expected_work_us(&stats.record.id);
        peer_us.map_or(expected_ms, |peer_us| expected_ms.max(peer_us / 1_000))
    }

    /// The load figures that a selection of this replica is based on.
    pub fn evidence(&self, record: &ReplicaRecord, now: Moment) -> ChoiceEvidence {
        let replica_stats = self.replica_stats.values();
        let same_role = replica_stats
            .filter(|stats| stats.record.service == record.service && stats.record.role == record.role);
        let mut evidence = ChoiceEvidence::default();
        for stats in same_role {
            let expected = stats.expected_requests(now);
            if stats.record.id == record.id {
                evidence.requests_ahead = expected;
            } else if !stats.is_stopped(now) {
                let free = stats.record.slots.saturating_sub(expected);
                evidence.free_slots_elsewhere = evidence.free_slots_elsewhere.saturating_add(free);
            }
        }
        evidence
    }

    /// The cost of a request at a replica, in milliseconds for plain calls and in tokens for engines.
    /// `choice_count` is the number of selections for its service so far.
    fn cost(&self, stats: &ReplicaStats, choice_count: u64, now: Moment) -> u64 {
        let is_other_zone = stats.record.zone != self.zone;
        let pace_percent = stats
            .load(now)
            .map_or(100, |load| u64::from(load.pace_percent.max(1)));
        match stats.record.role {
            ReplicaRole::Plain => {
                let slots = u64::from(stats.record.slots.max(1));
                let ahead = u64::from(stats.expected_requests(now));
                let answer_ms = self.expected_answer_ms(stats, choice_count);
                // Requests beyond the number of slots wait for a slot.
                let waiting = (ahead + 1).saturating_sub(slots);
                let zone_cost_ms = if is_other_zone { OTHER_ZONE_COST_MS } else { 0 };
                answer_ms * pace_percent / 100 * (slots + ahead + 2 * waiting) / slots + zone_cost_ms
            }
            ReplicaRole::Prefill | ReplicaRole::Decode => {
                let batch = u64::from(stats.expected_requests(now)) * BATCH_REQUEST_COST_TOKENS;
                let zone_cost_tokens = if is_other_zone { OTHER_ZONE_COST_TOKENS } else { 0 };
                (stats.pending_tokens + batch) * pace_percent / 100 + zone_cost_tokens
            }
        }
    }

    /// Whether waiting for a replica of a plain service is useless: those that answered this VM lately, at
    /// least half of all that are available, rejected at least half of their requests.
    pub fn rejects_all(&self, service: &str, now: Moment) -> bool {
        let replica_stats = self.replica_stats.values();
        let candidates =
            replica_stats.filter(|stats| &*stats.record.service == service && !stats.is_stopped(now));
        let (mut answering, mut silent) = (0, 0);
        for stats in candidates {
            if !stats.has_answered() {
                silent += 1;
            } else if stats.rejected_thousandths >= REJECTING_THOUSANDTHS {
                answering += 1;
            } else {
                return false;
            }
        }
        answering >= silent
    }

    /// The average answer time of the fastest replica of a plain service, in milliseconds;
    /// `DEFAULT_ANSWER_MS` if none is measured.
    pub fn answer_ms(&self, service: &str) -> u64 {
        let replica_stats = self.replica_stats.values();
        let of_service = replica_stats.filter(|stats| &*stats.record.service == service);
        let known = of_service.map(|stats| stats.answer_ms).filter(|known| *known > 0);
        known.min().unwrap_or(DEFAULT_ANSWER_MS)
    }

    /// Records the start of a send and its prompt tokens.
    pub fn begin(&mut self, id: &ReplicaId, tokens: u32) {
        if let Some(stats) = self.replica_stats.get_mut(id) {
            stats.in_flight += 1;
            stats.pending_tokens += u64::from(tokens);
            let choice_count = self
                .choice_counts
                .entry(stats.record.service.clone())
                .or_default();
            *choice_count += 1;
            stats.record_choice(*choice_count);
        }
    }

    /// Records the end of a send. After a failure, returns until when the replica is paused.
    pub fn finish(
        &mut self,
        id: &ReplicaId,
        tokens: u32,
        outcome: SendOutcome,
        now: Moment,
    ) -> Option<Moment> {
        let stats = self.replica_stats.get_mut(id)?;
        stats.in_flight = stats.in_flight.saturating_sub(1);
        stats.pending_tokens = stats.pending_tokens.saturating_sub(u64::from(tokens));
        let paused_until = stats.record_outcome(outcome, now);
        let load = stats.load(now);
        self.record_pace(id, outcome, load, now);
        paused_until
    }

    fn record_pace(&mut self, id: &ReplicaId, outcome: SendOutcome, load: Option<ReplicaLoad>, now: Moment) {
        match outcome {
            SendOutcome::Served(elapsed_ms) => {
                let work_us = elapsed_ms * 1_000;
                let sent_at = Moment(now.0.saturating_sub(elapsed_ms));
                let sample = AnswerSample {
                    work_us,
                    sent_at,
                    load,
                };
                self.paces.record_answer(id, sample, now);
            }
            SendOutcome::Refused => self.paces.record_rejection(id, now),
            SendOutcome::Failed => self.paces.record_failure(id, now),
            SendOutcome::Errored => self.paces.record_error(id, now),
            SendOutcome::Abandoned(_) => self.paces.record_no_answer(id, now),
        }
    }

    /// Records that the owner of the service receives a replica's latest load with the release of its grant.
    pub fn record_load_shared(&mut self, id: &ReplicaId) {
        if let Some(stats) = self.replica_stats.get_mut(id) {
            stats.record_load_shared();
        }
    }

    /// Records a load that a replica reported.
    pub fn record_load(&mut self, id: &ReplicaId, load: ReplicaLoad, now: Moment) {
        if let Some(stats) = self.replica_stats.get_mut(id) {
            stats.record_load(load, now);
        }
    }
}

/// Sorts rate-limited replicas by rank and keeps the best; `None` if there are none.
fn rank_candidates(mut limited: Vec<(ChoiceRank, ReplicaId)>) -> Option<DispatchChoice> {
    limited.sort_unstable();
    limited.truncate(MAX_CANDIDATES);
    let candidates: Vec<ReplicaId> = limited.into_iter().map(|(_, id)| id).collect();
    (!candidates.is_empty()).then_some(DispatchChoice::Limited(candidates))
}
