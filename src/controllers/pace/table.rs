//! The paces of all replicas that one decider sends to, compared within each pool.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{PaceChange, PaceLevel, PaceReason, PaceState, RampStart, ServerPace};
use crate::blackboard::{ReplicaFacts, ReplicaId, ReplicaLoad, ReplicaRole};
use crate::prelude::*;

/// The most changes of state that are kept for the log; further ones of the same moment are not logged.
const MAX_CHANGES: usize = 64;

/// An answer, as its time for one unit of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSample {
    /// Time for one unit of work, in microseconds: a plain call, a generated token, or 1,000 prompt tokens.
    pub work_us: u64,
    /// When the request was sent. One from before the latest failure doesn't show that the replica is back.
    pub sent_at: Moment,
    /// The load that the replica reported, where it is still valid.
    pub load: Option<ReplicaLoad>,
}

/// One replica of the table: its pool, its slots and its pace.
#[derive(Clone, Debug)]
pub struct PacedServer {
    service: Arc<str>,
    role: ReplicaRole,
    started_epoch_ms: u64,
    slots: u32,
    cold_until: Option<Moment>,
    pace: ServerPace,
}

impl PacedServer {
    fn is_peer_of(&self, other: &Self) -> bool {
        self.role == other.role && self.service == other.service
    }
}

/// The paces of the replicas that one decider sends to. Inactive until it is enabled; then all replicas are
/// at their usual pace.
#[derive(Debug)]
pub struct PaceTable {
    is_enabled: bool,
    servers: FastMap<ReplicaId, PacedServer>,
    /// The longest delay of the first request to a fresh replica, in milliseconds.
    spread_ms: u64,
    random: SmallRng,
    /// When the first ramp ends at the latest; `None` while there is none.
    next_end_at: Option<Moment>,
    changes: Vec<PaceChange>,
}

impl PaceTable {
    /// Creates an empty table of a decider that is one of many, each of which delays its first request to a
    /// fresh replica by a random time of up to `spread_ms`; zero if there is no other decider.
    pub fn new(spread_ms: u64, seed: u64) -> Self {
        Self {
            is_enabled: false,
            servers: FastMap::default(),
            spread_ms,
            random: SmallRng::seed_from_u64(seed),
            next_end_at: None,
            changes: Vec::new(),
        }
    }

    /// Enables the table, or disables it and forgets all measurements.
    pub fn set_enabled(&mut self, is_enabled: bool) {
        if self.is_enabled && !is_enabled {
            self.servers.clear();
            self.next_end_at = None;
        }
        self.is_enabled = is_enabled;
    }

    /// Whether the table is in use.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Drops replicas that `is_kept` does not name.
    pub fn retain(&mut self, is_kept: impl Fn(&ReplicaId) -> bool) {
        self.servers.retain(|id, _| is_kept(id));
    }

    /// Adds a replica or applies its changed entry with its slots for this decider. A later start of the
    /// replica begins anew.
    pub fn update(&mut self, facts: &ReplicaFacts, slots: u32, now: Moment) {
        if !self.is_enabled {
            return;
        }
        let record = &facts.record;
        let known = self.servers.get_mut(&record.id);
        if let Some(known) = known.filter(|known| known.started_epoch_ms == record.started_epoch_ms) {
            known.slots = slots;
            known.service = record.service.clone();
            if known.role != record.role {
                // The times of the other pool's work can't be compared.
                known.role = record.role;
                known.pace = ServerPace::default();
            }
            if known.cold_until.is_some() || record.cold_until.is_none() {
                return;
            }
        }
        let is_restart = self.servers.contains_key(&record.id);
        let cold_until = record.cold_until.filter(|until| !now.reached(*until));
        let since = match (facts.fresh_since, is_restart) {
            (Some(since), _) => Some(since),
            (None, true) => Some(now),
            (None, false) => cold_until.map(|_| now),
        };
        let start = since.map(|since| RampStart {
            since,
            cold_until,
            first_send_at: since.after_ms(self.random.random_range(0..=self.spread_ms)),
        });
        let mut pace = start.map_or_else(ServerPace::default, ServerPace::fresh);
        // A start that this decider learns of after its ramp needs none.
        let is_over = pace.end_if_due(now).is_some();
        let server = PacedServer {
            service: record.service.clone(),
            role: record.role,
            started_epoch_ms: record.started_epoch_ms,
            slots,
            cold_until: record.cold_until,
            pace,
        };
        self.servers.insert(record.id.clone(), server);
        if start.is_some() && !is_over {
            let reason = match cold_until {
                Some(_) => PaceReason::AnnouncedCold,
                None => PaceReason::Listed,
            };
            self.record_change(&record.id, reason, now);
        }
    }

    /// Ends the ramps whose longest time is over.
    pub fn refresh(&mut self, now: Moment) {
        if self.next_end_at.is_none_or(|at| !now.reached(at)) {
            return;
        }
        let due: Vec<(ReplicaId, PaceReason)> = self
            .servers
            .iter_mut()
            .filter_map(|(id, server)| Some((id.clone(), server.pace.end_if_due(now)?)))
            .collect();
        for (id, reason) in due {
            self.record_change(&id, reason, now);
        }
        self.find_next_end();
    }

    fn find_next_end(&mut self) {
        let ends = self.servers.values().filter_map(|server| server.pace.ends_at());
        self.next_end_at = ends.min();
    }

    fn record_change(&mut self, id: &ReplicaId, reason: PaceReason, now: Moment) {
        if let Some(server) = self.servers.get(id).filter(|_| self.changes.len() < MAX_CHANGES) {
            self.changes.push(PaceChange {
                replica: id.clone(),
                state: server.pace.state(),
                reason,
                limit: server.pace.limit(server.slots, now),
                slots: server.slots,
                work_us: server.pace.work_us(),
                peer_us: server.pace.peer_us(),
            });
        }
        self.find_next_end();
    }

    /// Takes the changes of state since the last call, for the log.
    pub fn take_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.changes)
    }

    /// The median time for one unit of work of a replica's peers that are at their usual pace, in
    /// microseconds; zero if none is measured.
    fn peer_us(&self, id: &str) -> u64 {
        let Some(server) = self.servers.get(id) else {
            return 0;
        };
        let is_usual = |other: &&PacedServer| {
            other.is_peer_of(server) && other.pace.state() == PaceState::Usual && other.pace.work_us() > 0
        };
        let peers = self.servers.values().filter(is_usual);
        let mut times: Vec<u64> = peers.map(|peer| peer.pace.work_us()).collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied().unwrap_or(0)
    }

    /// Records an answer of a replica.
    pub fn record_answer(&mut self, id: &ReplicaId, sample: AnswerSample, now: Moment) {
        let is_ramping = self.state(id) != PaceState::Usual;
        let peer_us = if is_ramping { self.peer_us(id) } else { 0 };
        self.apply(id, now, |server| {
            server.pace.set_peer_us(peer_us);
            server.pace.record_answer(&sample, server.slots, now)
        });
    }

    /// Records that a replica rejected a request without running it.
    pub fn record_rejection(&mut self, id: &ReplicaId, now: Moment) {
        self.apply(id, now, |server| {
            server.pace.record_rejection(server.slots, now);
            None
        });
    }

    /// Records that a request to a replica was given up without an answer.
    pub fn record_no_answer(&mut self, id: &ReplicaId, now: Moment) {
        self.apply(id, now, |server| {
            server.pace.record_no_answer(server.slots, now);
            None
        });
    }

    /// Records that a replica answered with an error of its own.
    pub fn record_error(&mut self, id: &ReplicaId, now: Moment) {
        self.apply(id, now, |server| {
            server.pace.record_error(server.slots, now);
            None
        });
    }

    /// Records a failure of a replica.
    pub fn record_failure(&mut self, id: &ReplicaId, now: Moment) {
        self.apply(id, now, |server| server.pace.record_failure(server.slots, now));
    }

    fn apply(
        &mut self,
        id: &ReplicaId,
        now: Moment,
        record: impl FnOnce(&mut PacedServer) -> Option<PaceReason>,
    ) {
        let reason = self.servers.get_mut(id).and_then(record);
        if let Some(reason) = reason {
            self.record_change(id, reason, now);
        }
    }

    /// A replica's state; usual if it is unknown.
    pub fn state(&self, id: &str) -> PaceState {
        self.servers
            .get(id)
            .map_or(PaceState::Usual, |server| server.pace.state())
    }

    /// Concurrent requests that a replica may have now; `None` if its pace isn't restrained.
    pub fn limit(&self, id: &str, now: Moment) -> Option<u32> {
        let server = self.servers.get(id)?;
        let is_ramping = server.pace.is_ramping(now);
        is_ramping.then(|| server.pace.limit(server.slots, now))
    }

    /// Whether a replica with so many requests should get no more while others have room. False where more
    /// than half of its pool's slots are of fresh or recovering replicas: the others could not take the
    /// requests that these don't get.
    pub fn is_full(&self, id: &str, requests: u32, now: Moment) -> bool {
        let server = self.servers.get(id);
        server.is_some_and(|server| {
            server.pace.is_full(requests, server.slots, now) && self.has_usual_majority(server)
        })
    }

    /// Whether at least half of the slots of a replica's pool are of replicas at their usual pace.
    fn has_usual_majority(&self, server: &PacedServer) -> bool {
        let (mut usual, mut all) = (0, 0);
        for peer in self.servers.values().filter(|other| other.is_peer_of(server)) {
            let slots = u64::from(peer.slots);
            all += slots;
            if peer.pace.state() == PaceState::Usual {
                usual += slots;
            }
        }
        usual * 2 >= all
    }

    /// The time that a replica whose start was seen probably takes for one unit of work, in microseconds: its
    /// peers' median. `None` if it was measured, if its start was not seen, or if no peer is measured.
    pub fn expected_work_us(&self, id: &str) -> Option<u64> {
        let server = self.servers.get(id);
        let is_unmeasured = server.is_some_and(|server| server.pace.is_unmeasured_start());
        is_unmeasured
            .then(|| self.peer_us(id))
            .filter(|peer_us| *peer_us > 0)
    }

    /// Whether any replica may be restrained now.
    pub fn has_ramps(&self) -> bool {
        self.next_end_at.is_some()
    }

    /// The limits of all replicas whose pace is restrained now, sorted by name.
    pub fn levels(&self, now: Moment) -> Vec<PaceLevel> {
        let ramping = self
            .servers
            .iter()
            .filter(|(_, server)| server.pace.is_ramping(now));
        let mut levels: Vec<PaceLevel> = ramping
            .map(|(id, server)| PaceLevel {
                replica: id.clone(),
                percent: server.pace.limit(server.slots, now) * 100 / server.slots.max(1),
            })
            .collect();
        levels.sort_unstable_by(|left, right| left.replica.cmp(&right.replica));
        levels
    }
}
