//! All replicas' standings, and the choice among them.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::returns::{RefusedCaller, ReturnPlanner};
use super::standing::UNKNOWN_ANSWER_MS;
use super::{ReplicaStanding, SendOutcome};
use crate::blackboard::{
    ReplicaFacts, ReplicaId, ReplicaLoad, ReplicaRecord, ReplicaRole, RequestRate, SharedRateLimits,
    find_limit,
};
use crate::prelude::*;

/// What another zone costs a plain call, in milliseconds of waiting: its way there and back, and its price.
const FAR_CALL_MS: u64 = 12;

/// What another zone costs a generation, in prompt tokens.
const FAR_TOKENS: u64 = 150;

/// What each request in a decode engine's batch costs another one, in prompt tokens.
const BATCH_TOKENS: u64 = 400;

/// What a permit for a replica that names a limit costs a call, in milliseconds of waiting: a round trip to its owner.
const PERMIT_MS: u64 = 5;

/// How many times as long as one that names a limit a replica may take for a call and still goes before it.
const SLOW_FACTOR: u64 = 3;

/// The most replicas that a permit is asked for at once.
const MOST_CANDIDATES: usize = 16;

/// The rejections among the latest answers of a replica from which on it is taken to reject the next request, too, in
/// thousandths.
const REJECTS_SHARE: u64 = 500;

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
    reserve: u8,
    /// Whether others with a slot free go first, since it names a limit or has none.
    is_second: bool,
    cost: u64,
    /// Decides between equals.
    draw: u32,
}

/// A replica's wish to be left alone by this node.
#[derive(Clone, Copy, Debug)]
struct BackOff {
    /// The start of the replica that it holds for.
    started_epoch_ms: u64,
    until: Moment,
}

/// All replicas' standings.
#[derive(Debug)]
pub struct ReplicaSelector {
    zone: Arc<str>,
    standings: FastMap<ReplicaId, ReplicaStanding>,
    /// Kept apart from the standings, since it also holds for a replica that is off the list for a while.
    back_offs: FastMap<ReplicaId, BackOff>,
    limits: SharedRateLimits,
    /// Until when no permit is to be had for a replica that names a limit.
    no_permit_until: FastMap<ReplicaId, Moment>,
    returns: FastMap<Arc<str>, ReturnPlanner>,
    /// How often a replica of each service was chosen.
    choices: FastMap<Arc<str>, u64>,
    random: SmallRng,
}

impl ReplicaSelector {
    /// A book for a node in a zone; random choices follow from the seed.
    pub fn new(zone: Arc<str>, seed: u64) -> Self {
        Self {
            zone,
            standings: FastMap::default(),
            back_offs: FastMap::default(),
            limits: Arc::default(),
            no_permit_until: FastMap::default(),
            returns: FastMap::default(),
            choices: FastMap::default(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes over the replicas that there are.
    pub fn replace<'a>(&mut self, replicas: impl Iterator<Item = &'a ReplicaFacts>, now: Moment) {
        self.back_offs.retain(|_, back_off| !now.reached(back_off.until));
        let mut known = std::mem::take(&mut self.standings);
        for facts in replicas {
            let id = facts.record.id.clone();
            let mut standing = known.remove(&id).unwrap_or_else(|| ReplicaStanding::new(facts));
            standing.update(facts);
            self.standings.insert(id, standing);
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
        let mut limited = self.limits.keys().filter_map(|id| self.standings.get(id));
        limited.any(|standing| &*standing.record.service == service && self.limit(&standing.record).is_some())
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
        asker: &RefusedCaller<'_>,
        now: Moment,
    ) -> Option<u64> {
        let standings = self.standings.values();
        let of_service =
            standings.filter(|standing| *standing.record.service == **service && !standing.is_stopped(now));
        let limited: Vec<(RequestRate, Moment)> = of_service
            .filter_map(|standing| {
                let until = self.no_permit_until.get(&standing.record.id);
                Some((self.limit(&standing.record)?, until.copied().unwrap_or(now)))
            })
            .collect();
        let first = limited.iter().map(|(_, until)| *until).min()?;
        let rate = RequestRate(limited.iter().map(|(rate, _)| rate.0).sum());
        let planner = self.returns.entry(service.clone()).or_default();
        Some(planner.plan_ms(rate, now.until_ms(first), asker, now))
    }

    /// Notes until when a replica wants nothing from this node.
    pub fn record_backoff(&mut self, record: &ReplicaRecord, until: Moment) {
        let started_epoch_ms = record.started_epoch_ms;
        let known = self.back_offs.entry(record.id.clone()).or_insert(BackOff {
            started_epoch_ms,
            until,
        });
        if known.started_epoch_ms == started_epoch_ms {
            known.until = known.until.max(until);
        } else if known.started_epoch_ms < started_epoch_ms {
            *known = BackOff {
                started_epoch_ms,
                until,
            };
        }
    }

    /// Until when a replica wants nothing from this node; `None` where it takes requests.
    pub fn backoff_until(&self, record: &ReplicaRecord, now: Moment) -> Option<Moment> {
        let known = self.back_offs.get(&record.id)?;
        let holds = known.started_epoch_ms == record.started_epoch_ms && !now.reached(known.until);
        holds.then_some(known.until)
    }

    /// Whether a replica gets no callers' requests from this node now, since it backs off or has left.
    pub fn is_withheld(&self, record: &ReplicaRecord, now: Moment) -> bool {
        self.backoff_until(record, now).is_some() || self.is_stopped(record, now)
    }

    /// Replicas of a service that get no callers' requests from this node now.
    pub fn withheld(&self, service: &str, now: Moment) -> Vec<ReplicaId> {
        let records = self.standings.values().map(|standing| &standing.record);
        records
            .filter(|record| &*record.service == service && self.is_withheld(record, now))
            .map(|record| record.id.clone())
            .collect()
    }

    /// When the first replica of a service takes requests again; `None` where one does now, or there is none.
    pub fn first_backoff_end(&self, service: &str, role: ReplicaRole, now: Moment) -> Option<Moment> {
        let staying = self.standings.values().filter(|standing| {
            &*standing.record.service == service && standing.record.role == role && !standing.is_stopped(now)
        });
        let mut first: Option<Moment> = None;
        for standing in staying {
            let until = self.backoff_until(&standing.record, now)?;
            first = Some(first.map_or(until, |first| first.min(until)));
        }
        first
    }

    /// Whether a replica is leaving and gets no callers' requests any more.
    pub fn is_stopped(&self, record: &ReplicaRecord, now: Moment) -> bool {
        let standing = self.standings.get(&record.id);
        standing.is_some_and(|standing| {
            standing.record.started_epoch_ms == record.started_epoch_ms && standing.is_stopped(now)
        })
    }

    /// The replica that should serve soonest, or those that name limits and should. Paused and leaving ones are used only
    /// where no other one is left, those that name a limit where the others have no slot free or are much slower, and those
    /// that back off never.
    pub fn choose(&mut self, ask: &SelectionCriteria<'_>, now: Moment) -> Option<DispatchChoice> {
        let mut free: Option<(ChoiceRank, Arc<ReplicaRecord>)> = None;
        let mut limited: Vec<(ChoiceRank, ReplicaId)> = Vec::new();
        let has_limits = self.has_limits(ask.service);
        let choices = self.choices.get(ask.service).copied().unwrap_or_default();
        for standing in self.standings.values() {
            let record = &standing.record;
            let is_fit = &*record.service == ask.service
                && record.role == ask.role
                && !ask.avoid.contains(&record.id)
                && self.backoff_until(record, now).is_none()
                && !standing.is_stopped(now);
            if !is_fit {
                continue;
            }
            let is_paused = !now.reached(standing.paused_until);
            let mut rank = ChoiceRank {
                reserve: u8::from(is_paused) + 2 * u8::from(standing.stop_at.is_some()),
                is_second: has_limits && standing.expected_requests(now) >= record.slots,
                cost: self.cost(standing, choices, now),
                draw: self.random.random(),
            };
            match self.limit(record) {
                Some(rate) if self.has_permits(record, rate, now) => {
                    rank.is_second = true;
                    rank.cost += PERMIT_MS;
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
        limited.retain(|(rank, _)| *rank < best || (rank.reserve <= best.reserve && is_much_faster(rank)));
        Some(to_candidates(limited).unwrap_or(DispatchChoice::Free(record)))
    }

    /// What the choice of a replica was made on.
    pub fn evidence(&self, record: &ReplicaRecord, now: Moment) -> ChoiceEvidence {
        let standings = self.standings.values();
        let of_kind = standings.filter(|standing| {
            standing.record.service == record.service && standing.record.role == record.role
        });
        let mut evidence = ChoiceEvidence::default();
        for standing in of_kind {
            let expected = standing.expected_requests(now);
            if standing.record.id == record.id {
                evidence.requests_ahead = expected;
            } else if !standing.is_stopped(now) {
                let free = standing.record.slots.saturating_sub(expected);
                evidence.free_slots_elsewhere = evidence.free_slots_elsewhere.saturating_add(free);
            }
        }
        evidence
    }

    /// What a request costs at a replica, after so many choices among those of its service.
    fn cost(&self, standing: &ReplicaStanding, choices: u64, now: Moment) -> u64 {
        let is_far = standing.record.zone != self.zone;
        let pace = standing
            .load(now)
            .map_or(100, |load| u64::from(load.pace_percent.max(1)));
        match standing.record.role {
            ReplicaRole::Plain => {
                let slots = u64::from(standing.record.slots.max(1));
                let ahead = u64::from(standing.expected_requests(now));
                let answer_ms = standing.expected_answer_ms(choices);
                // What does not fit into the slots waits for one of them.
                let waiting = (ahead + 1).saturating_sub(slots);
                let far_ms = if is_far { FAR_CALL_MS } else { 0 };
                answer_ms * pace / 100 * (slots + ahead + 2 * waiting) / slots + far_ms
            }
            ReplicaRole::Prefill | ReplicaRole::Decode => {
                let batch = u64::from(standing.expected_requests(now)) * BATCH_TOKENS;
                let far_tokens = if is_far { FAR_TOKENS } else { 0 };
                (standing.pending_tokens + batch) * pace / 100 + far_tokens
            }
        }
    }

    /// Whether each replica of a plain service that may be asked rejected most of what it was sent lately, so that waiting for one of
    /// them is of no use.
    pub fn rejects_all(&self, service: &str, now: Moment) -> bool {
        let standings = self.standings.values();
        let mut of_service =
            standings.filter(|standing| &*standing.record.service == service && !standing.is_stopped(now));
        of_service.all(|standing| standing.rejected_share >= REJECTS_SHARE)
    }

    /// How long the fastest replica of a plain service takes for an answer, in milliseconds, as far as is known.
    pub fn answer_ms(&self, service: &str) -> u64 {
        let standings = self.standings.values();
        let of_service = standings.filter(|standing| &*standing.record.service == service);
        let known = of_service
            .map(|standing| standing.answer_ms)
            .filter(|known| *known > 0);
        known.min().unwrap_or(UNKNOWN_ANSWER_MS)
    }

    /// Books a send.
    pub fn begin(&mut self, id: &ReplicaId, tokens: u32) {
        if let Some(standing) = self.standings.get_mut(id) {
            standing.in_flight += 1;
            standing.pending_tokens += u64::from(tokens);
            let choices = self.choices.entry(standing.record.service.clone()).or_default();
            *choices += 1;
            standing.note_choice(*choices);
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
        let standing = self.standings.get_mut(id)?;
        standing.in_flight = standing.in_flight.saturating_sub(1);
        standing.pending_tokens = standing.pending_tokens.saturating_sub(u64::from(tokens));
        standing.note_outcome(outcome, now)
    }

    /// Notes a load that a replica reported.
    pub fn record_load(&mut self, id: &ReplicaId, load: ReplicaLoad, now: Moment) {
        if let Some(standing) = self.standings.get_mut(id) {
            standing.record_load(load, now);
        }
    }
}

fn to_candidates(mut limited: Vec<(ChoiceRank, ReplicaId)>) -> Option<DispatchChoice> {
    limited.sort_unstable();
    limited.truncate(MOST_CANDIDATES);
    let candidates: Vec<ReplicaId> = limited.into_iter().map(|(_, id)| id).collect();
    (!candidates.is_empty()).then_some(DispatchChoice::Limited(candidates))
}
