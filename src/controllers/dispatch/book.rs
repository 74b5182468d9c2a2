//! All replicas' standings, and the choice among them.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::returns::{RefusedCaller, RetryPlanner};
use super::standing::DEFAULT_ANSWER_MS;
use super::{ReplicaStats, SendOutcome};
use crate::blackboard::{
    ReplicaFacts, ReplicaId, ReplicaLoad, ReplicaRecord, ReplicaRole, RequestRate, SharedRateLimits,
    find_limit,
};
use crate::prelude::*;

/// What another zone costs a plain call, in milliseconds of waiting: its way there and back, and its price.
const OTHER_ZONE_COST_MS: u64 = 12;

/// What another zone costs a generation, in prompt tokens.
const OTHER_ZONE_COST_TOKENS: u64 = 150;

/// What each request in a decode engine's batch costs another one, in prompt tokens.
const BATCH_REQUEST_COST_TOKENS: u64 = 400;

/// What a permit for a replica that names a limit costs a call, in milliseconds of waiting: a round trip to its owner.
const PERMIT_COST_MS: u64 = 5;

/// How many times as long as one that names a limit a replica may take for a call and still goes before it.
const SLOW_FACTOR: u64 = 3;

/// The most replicas that a permit is asked for at once.
const MAX_CANDIDATES: usize = 16;

/// The rejections among the latest answers of a replica from which on it is taken to reject the next request, too, in
/// thousandths.
const REJECTING_THOUSANDTHS: u64 = 500;

/// What is wanted of a replica.
#[derive(Clone, Debug)]
pub struct SelectionCriteria<'a> {
    /// Its service.
    pub service: &'a str,
    /// Its role.
    pub role: ReplicaRole,
    /// Replicas that were tried already.
    pub avoid: &'a [ReplicaId],
}

/// What the choice of a replica was made on, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChoiceEvidence {
    /// Requests that were expected at the chosen one.
    pub requests_ahead: u32,
    /// Free slots that were expected at the others of its service and role.
    pub free_slots_elsewhere: u32,
}

/// Where a request may go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchChoice {
    /// To this replica.
    Free(Arc<ReplicaRecord>),
    /// To one of these, the best one first, which name limits: with a permit.
    Limited(Vec<ReplicaId>),
}

/// How well a replica suits a request; the least is best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ChoiceRank {
    /// What speaks against it: it failed lately, or drains.
    penalty: u8,
    /// Whether others with a slot free go first, since it names a limit or has none.
    is_fallback: bool,
    cost: u64,
    /// Decides between equals.
    tie_breaker: u32,
}

/// A replica's wish to be left alone by this node.
#[derive(Clone, Copy, Debug)]
struct ReplicaBackoff {
    /// The start of the replica that it holds for.
    started_epoch_ms: u64,
    until: Moment,
}

/// All replicas' standings.
#[derive(Debug)]
pub struct ReplicaSelector {
    zone: Arc<str>,
    replica_stats: FastMap<ReplicaId, ReplicaStats>,
    /// Kept apart from the standings, since it also holds for a replica that is off the list for a while.
    backoffs: FastMap<ReplicaId, ReplicaBackoff>,
    limits: SharedRateLimits,
    /// Until when no permit is to be had for a replica that names a limit.
    no_permit_until: FastMap<ReplicaId, Moment>,
    retry_planners: FastMap<Arc<str>, RetryPlanner>,
    /// How often a replica of each service was chosen.
    choices: FastMap<Arc<str>, u64>,
    random: SmallRng,
}

impl ReplicaSelector {
    /// A book for a node in a zone; random choices follow from the seed.
    pub fn new(zone: Arc<str>, seed: u64) -> Self {
        Self {
            zone,
            replica_stats: FastMap::default(),
            backoffs: FastMap::default(),
            limits: Arc::default(),
            no_permit_until: FastMap::default(),
            retry_planners: FastMap::default(),
            choices: FastMap::default(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes over the replicas that there are.
    pub fn replace<'a>(&mut self, replicas: impl Iterator<Item = &'a ReplicaFacts>, now: Moment) {
        self.backoffs.retain(|_, backoff| !now.reached(backoff.until));
        let mut known = std::mem::take(&mut self.replica_stats);
        for facts in replicas {
            let id = facts.record.id.clone();
            let mut stats = known.remove(&id).unwrap_or_else(|| ReplicaStats::new(facts));
            stats.update(facts);
            self.replica_stats.insert(id, stats);
        }
    }

    /// Takes over the limits that replicas name.
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

    /// Whether a replica of a service names a limit.
    fn has_limits(&self, service: &str) -> bool {
        let mut limited = self.limits.keys().filter_map(|id| self.replica_stats.get(id));
        limited.any(|stats| &*stats.record.service == service && self.limit(&stats.record).is_some())
    }

    /// Notes that no permit is to be had for some replicas before a moment.
    pub fn record_no_permit(&mut self, candidates: &[ReplicaId], until: Moment) {
        let ids = candidates.iter().cloned();
        self.no_permit_until.extend(ids.map(|id| (id, until)));
    }

    /// Whether permits are to be had for a replica, as far as is known.
    fn has_permits(&self, record: &ReplicaRecord, rate: RequestRate, now: Moment) -> bool {
        let until = self.no_permit_until.get(&record.id);
        !rate.is_zero() && until.is_none_or(|until| now.reached(*until))
    }

    /// When a caller that is refused since all replicas of a service keep to limits should come back, in milliseconds; `None`
    /// where none of them names one.
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

    /// Notes until when a replica wants nothing from this node.
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

    /// Until when a replica wants nothing from this node; `None` where it takes requests.
    pub fn backoff_until(&self, record: &ReplicaRecord, now: Moment) -> Option<Moment> {
        let known = self.backoffs.get(&record.id)?;
        let holds = known.started_epoch_ms == record.started_epoch_ms && !now.reached(known.until);
        holds.then_some(known.until)
    }

    /// Whether a replica gets no callers' requests from this node now, since it backs off or has left.
    pub fn is_withheld(&self, record: &ReplicaRecord, now: Moment) -> bool {
        self.backoff_until(record, now).is_some() || self.is_stopped(record, now)
    }

    /// Replicas of a service that get no callers' requests from this node now.
    pub fn withheld(&self, service: &str, now: Moment) -> Vec<ReplicaId> {
        let records = self.replica_stats.values().map(|stats| &stats.record);
        records
            .filter(|record| &*record.service == service && self.is_withheld(record, now))
            .map(|record| record.id.clone())
            .collect()
    }

    /// When the first replica of a service takes requests again; `None` where one does now, or there is none.
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

    /// Whether a replica is leaving and gets no callers' requests any more.
    pub fn is_stopped(&self, record: &ReplicaRecord, now: Moment) -> bool {
        let stats = self.replica_stats.get(&record.id);
        stats.is_some_and(|stats| {
            stats.record.started_epoch_ms == record.started_epoch_ms && stats.is_stopped(now)
        })
    }

    /// The replica that should serve soonest, or those that name limits and should. Paused and leaving ones are used only
    /// where no other one is left, those that name a limit where the others have no slot free or are much slower, and those
    /// that back off never.
    pub fn choose(&mut self, criteria: &SelectionCriteria<'_>, now: Moment) -> Option<DispatchChoice> {
        let mut free: Option<(ChoiceRank, Arc<ReplicaRecord>)> = None;
        let mut limited: Vec<(ChoiceRank, ReplicaId)> = Vec::new();
        let has_limits = self.has_limits(criteria.service);
        let choices = self.choices.get(criteria.service).copied().unwrap_or_default();
        for stats in self.replica_stats.values() {
            let record = &stats.record;
            let is_eligible = &*record.service == criteria.service
                && record.role == criteria.role
                && !criteria.avoid.contains(&record.id)
                && self.backoff_until(record, now).is_none()
                && !stats.is_stopped(now);
            if !is_eligible {
                continue;
            }
            let is_paused = !now.reached(stats.paused_until);
            let mut rank = ChoiceRank {
                penalty: u8::from(is_paused) + 2 * u8::from(stats.stop_at.is_some()),
                is_fallback: has_limits && stats.expected_requests(now) >= record.slots,
                cost: self.cost(stats, choices, now),
                tie_breaker: self.random.random(),
            };
            match self.limit(record) {
                Some(rate) if self.has_permits(record, rate, now) => {
                    rank.is_fallback = true;
                    rank.cost += PERMIT_COST_MS;
                    limited.push((rank, record.id.clone()));
                }
                Some(_) => {}
                None => {
                    if free.as_ref().is_none_or(|(best, _)| rank < *best) {
                        free = Some((rank, record.clone()));
                    }
                }
            }
        }
        let Some((best, record)) = free else {
            return to_candidates(limited);
        };
        let is_much_faster = |rank: &ChoiceRank| best.cost > rank.cost * SLOW_FACTOR;
        limited.retain(|(rank, _)| *rank < best || (rank.penalty <= best.penalty && is_much_faster(rank)));
        Some(to_candidates(limited).unwrap_or(DispatchChoice::Free(record)))
    }

    /// What the choice of a replica was made on.
    pub fn evidence(&self, record: &ReplicaRecord, now: Moment) -> ChoiceEvidence {
        let replica_stats = self.replica_stats.values();
        let of_kind = replica_stats
            .filter(|stats| stats.record.service == record.service && stats.record.role == record.role);
        let mut evidence = ChoiceEvidence::default();
        for stats in of_kind {
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

    /// What a request costs at a replica, after so many choices among those of its service.
    fn cost(&self, stats: &ReplicaStats, choices: u64, now: Moment) -> u64 {
        let is_other_zone = stats.record.zone != self.zone;
        let pace = stats
            .load(now)
            .map_or(100, |load| u64::from(load.pace_percent.max(1)));
        match stats.record.role {
            ReplicaRole::Plain => {
                let slots = u64::from(stats.record.slots.max(1));
                let ahead = u64::from(stats.expected_requests(now));
                let answer_ms = stats.expected_answer_ms(choices);
                // What does not fit into the slots waits for one of them.
                let waiting = (ahead + 1).saturating_sub(slots);
                let far_ms = if is_other_zone { OTHER_ZONE_COST_MS } else { 0 };
                answer_ms * pace / 100 * (slots + ahead + 2 * waiting) / slots + far_ms
            }
            ReplicaRole::Prefill | ReplicaRole::Decode => {
                let batch = u64::from(stats.expected_requests(now)) * BATCH_REQUEST_COST_TOKENS;
                let far_tokens = if is_other_zone { OTHER_ZONE_COST_TOKENS } else { 0 };
                (stats.pending_tokens + batch) * pace / 100 + far_tokens
            }
        }
    }

    /// Whether each replica of a plain service that may be asked rejected most of what it was sent lately, so that waiting for one of
    /// them is of no use.
    pub fn rejects_all(&self, service: &str, now: Moment) -> bool {
        let replica_stats = self.replica_stats.values();
        let mut of_service =
            replica_stats.filter(|stats| &*stats.record.service == service && !stats.is_stopped(now));
        of_service.all(|stats| stats.rejected_thousandths >= REJECTING_THOUSANDTHS)
    }

    /// How long the fastest replica of a plain service takes for an answer, in milliseconds, as far as is known.
    pub fn answer_ms(&self, service: &str) -> u64 {
        let replica_stats = self.replica_stats.values();
        let of_service = replica_stats.filter(|stats| &*stats.record.service == service);
        let known = of_service.map(|stats| stats.answer_ms).filter(|known| *known > 0);
        known.min().unwrap_or(DEFAULT_ANSWER_MS)
    }

    /// Books a send.
    pub fn begin(&mut self, id: &ReplicaId, tokens: u32) {
        if let Some(stats) = self.replica_stats.get_mut(id) {
            stats.in_flight += 1;
            stats.pending_tokens += u64::from(tokens);
            let choices = self.choices.entry(stats.record.service.clone()).or_default();
            *choices += 1;
            stats.record_choice(*choices);
        }
    }

    /// Books the end of a send; after a failure, until when the replica is passed over.
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
        stats.record_outcome(outcome, now)
    }

    /// Notes a load that a replica reported.
    pub fn record_load(&mut self, id: &ReplicaId, load: ReplicaLoad, now: Moment) {
        if let Some(stats) = self.replica_stats.get_mut(id) {
            stats.record_load(load, now);
        }
    }
}

fn to_candidates(mut limited: Vec<(ChoiceRank, ReplicaId)>) -> Option<DispatchChoice> {
    limited.sort_unstable();
    limited.truncate(MAX_CANDIDATES);
    let candidates: Vec<ReplicaId> = limited.into_iter().map(|(_, id)| id).collect();
    (!candidates.is_empty()).then_some(DispatchChoice::Limited(candidates))
}
