//! All replicas' standings, and the choice among them.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{ReplicaStanding, SendOutcome};
use crate::blackboard::{ReplicaFacts, ReplicaId, ReplicaLoad, ReplicaRecord, ReplicaRole};
use crate::prelude::*;

/// What another zone costs a plain call, in milliseconds of waiting: its way there and back, and its price.
const FAR_CALL_MS: u64 = 12;

/// The time of a plain call at a replica of which nothing is known, in milliseconds.
const UNKNOWN_ANSWER_MS: u64 = 20;

/// What another zone costs a generation, in prompt tokens.
const FAR_TOKENS: u64 = 150;

/// What each request in a decode engine's batch costs another one, in prompt tokens.
const BATCH_TOKENS: u64 = 400;

/// What is wanted of a replica.
#[derive(Clone, Debug)]
pub struct DispatchAsk<'a> {
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
    pub ahead: u32,
    /// Free slots that were expected at the others of its service and role.
    pub free_beside: u32,
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
pub struct DispatchBook {
    zone: Arc<str>,
    standings: FastMap<ReplicaId, ReplicaStanding>,
    /// Kept apart from the standings, since it also holds for a replica that is off the list for a while.
    back_offs: FastMap<ReplicaId, BackOff>,
    random: SmallRng,
}

impl DispatchBook {
    /// A book for a node in a zone; random choices follow from the seed.
    pub fn new(zone: Arc<str>, seed: u64) -> Self {
        Self {
            zone,
            standings: FastMap::default(),
            back_offs: FastMap::default(),
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

    /// Notes until when a replica wants nothing from this node.
    pub fn note_back_off(&mut self, record: &ReplicaRecord, until: Moment) {
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
    pub fn back_off_until(&self, record: &ReplicaRecord, now: Moment) -> Option<Moment> {
        let known = self.back_offs.get(&record.id)?;
        let holds = known.started_epoch_ms == record.started_epoch_ms && !now.reached(known.until);
        holds.then_some(known.until)
    }

    /// Whether a replica gets no callers' requests from this node now, since it backs off or has left.
    pub fn is_withheld(&self, record: &ReplicaRecord, now: Moment) -> bool {
        self.back_off_until(record, now).is_some() || self.is_stopped(record, now)
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
    pub fn first_return(&self, service: &str, role: ReplicaRole, now: Moment) -> Option<Moment> {
        let staying = self.standings.values().filter(|standing| {
            &*standing.record.service == service && standing.record.role == role && !standing.is_stopped(now)
        });
        let mut first: Option<Moment> = None;
        for standing in staying {
            let until = self.back_off_until(&standing.record, now)?;
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

    /// The replica that should serve soonest. Paused and leaving ones are used only where no other one is left, and those
    /// that back off never.
    pub fn choose(&mut self, ask: &DispatchAsk<'_>, now: Moment) -> Option<Arc<ReplicaRecord>> {
        let mut best: Option<((u8, u64, u32), Arc<ReplicaRecord>)> = None;
        for standing in self.standings.values() {
            let record = &standing.record;
            let is_fit = &*record.service == ask.service
                && record.role == ask.role
                && !ask.avoid.contains(&record.id)
                && self.back_off_until(record, now).is_none()
                && !standing.is_stopped(now);
            if !is_fit {
                continue;
            }
            let is_paused = !now.reached(standing.paused_until);
            let rank = u8::from(is_paused) + 2 * u8::from(standing.stop_at.is_some());
            let key = (rank, self.cost(standing, now), self.random.random());
            if best.as_ref().is_none_or(|(best_key, _)| key < *best_key) {
                best = Some((key, record.clone()));
            }
        }
        best.map(|(_, record)| record)
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
                evidence.ahead = expected;
            } else if !standing.is_stopped(now) {
                evidence.free_beside += standing.record.slots.saturating_sub(expected);
            }
        }
        evidence
    }

    fn cost(&self, standing: &ReplicaStanding, now: Moment) -> u64 {
        let is_far = standing.record.zone != self.zone;
        let pace = standing
            .load(now)
            .map_or(100, |load| u64::from(load.pace_percent.max(1)));
        match standing.record.role {
            ReplicaRole::Plain => {
                let slots = u64::from(standing.record.slots.max(1));
                let ahead = u64::from(standing.expected_requests(now));
                let answer_ms = match standing.answer_ms {
                    0 => UNKNOWN_ANSWER_MS,
                    known => known,
                };
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

    /// Books a send.
    pub fn begin(&mut self, id: &ReplicaId, tokens: u32) {
        if let Some(standing) = self.standings.get_mut(id) {
            standing.in_flight += 1;
            standing.pending_tokens += u64::from(tokens);
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
    pub fn note_load(&mut self, id: &ReplicaId, load: ReplicaLoad, now: Moment) {
        if let Some(standing) = self.standings.get_mut(id) {
            standing.note_load(load, now);
        }
    }
}
