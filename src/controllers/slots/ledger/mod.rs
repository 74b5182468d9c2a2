//! The owner's side: counts the slots of one group of engines exactly and serves its queue.

mod admission;
mod choice;
mod estimate;
mod limits;

use std::sync::Arc;

use admission::{CrowdGauge, spread_return_ms};
use choice::PrefillChoice;

use super::client::refuse_held;
use super::queue::{QUEUE_LIMIT, WaitingAsk, WaitingQueue};
use super::replica::{DecodeReplica, PrefillReplica};
use super::{
    EngineEnd, EngineGroup, EnginePermits, HeldSlot, MemoryLoad, PlacementAsk, PlacementResult, RequestId,
    SentEngines, group_count, group_members,
};
use crate::blackboard::{EngineView, Fingerprint, ReplicaFacts, ReplicaId, SharedRateLimits};
use crate::controllers::message::SlotVerdict;
use crate::controllers::rate_limits::RateDesk;
use crate::controllers::services::smooth;
use crate::prelude::*;
use crate::register::EngineRole;

/// Prefills that an engine is given at once; more would wait where no class goes first.
const PREFILLS_AT_ONCE: u32 = 2;

/// How long an engine that had less room than was counted gets nothing, in milliseconds.
const FULL_PAUSE_MS: u64 = 200;

/// When to come back where no engine is usable, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 1_000;

/// A slot that was granted, with the message's receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerGrant {
    /// The VM that asked; `None` for the owner itself.
    pub holder: Option<VmName>,
    /// Which request.
    pub request: RequestId,
    /// The outcome.
    pub verdict: SlotVerdict,
}

#[derive(Debug)]
struct SlotLease {
    holder: Option<VmName>,
    workspace: Arc<str>,
    decode: Arc<str>,
    load: MemoryLoad,
    prefill: Option<Arc<str>>,
    is_prefilling: bool,
    uncached_tokens: u64,
    /// The request's content; `None` where an earlier owner granted the slot.
    fingerprint: Option<Fingerprint>,
    deadline: Moment,
    /// Which of its engines name limits and may be sent to.
    permits: EnginePermits,
}

/// The engines of a request that gave its slots back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedEngines {
    /// Its decode engine.
    pub decode: Arc<str>,
    /// Its prefill engine.
    pub prefill: Option<Arc<str>>,
}

/// The slots and the queue of one group.
#[derive(Debug)]
pub struct GroupLedger {
    group: EngineGroup,
    synced_register: RegisterStamp,
    synced_replicas: Arc<FastMap<ReplicaId, ReplicaFacts>>,
    decode: FastMap<Arc<str>, DecodeReplica>,
    prefill: FastMap<Arc<str>, PrefillReplica>,
    leases: FastMap<RequestId, SlotLease>,
    held_by_workspace: FastMap<Arc<str>, u32>,
    queue: WaitingQueue,
    /// The time from a prefill's end to the first token, in milliseconds.
    handover_ms: u64,
    crowd: CrowdGauge,
    /// Limits that replicas name.
    limits: SharedRateLimits,
    /// What this owner lets go to engines that name limits.
    pub rates: RateDesk,
    /// Until when the limits of the engines are taken to bind.
    bound_until: Moment,
}

impl GroupLedger {
    /// An empty ledger for one group of a model's engines.
    pub fn new(group: &EngineGroup) -> Self {
        Self {
            group: group.clone(),
            synced_register: RegisterStamp::default(),
            synced_replicas: Arc::default(),
            decode: FastMap::default(),
            prefill: FastMap::default(),
            leases: FastMap::default(),
            held_by_workspace: FastMap::default(),
            queue: WaitingQueue::default(),
            handover_ms: 0,
            crowd: CrowdGauge::default(),
            limits: Arc::default(),
            rates: RateDesk::default(),
            bound_until: Moment::default(),
        }
    }

    /// Slots in use.
    pub fn held(&self) -> u32 {
        self.decode.values().map(DecodeReplica::held).sum()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Whether the ledger can be forgotten.
    pub fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.queue.is_empty()
    }

    /// Follows the published engines: they come, go and change their slots.
    fn sync(&mut self, board: &Blackboard, group_size: usize) {
        if !Arc::ptr_eq(&self.limits, &board.rate_limits) {
            self.limits = board.rate_limits.clone();
            self.rates.retain(|id| board.rate_limits.contains_key(id));
        }
        let is_same_list = Arc::ptr_eq(&self.synced_replicas, &board.replicas);
        if self.synced_register == board.register.stamp() && is_same_list {
            return;
        }
        self.synced_register = board.register.stamp();
        self.synced_replicas = board.replicas.clone();
        let engines = board.engines(&self.group.model);
        let groups = group_count(&engines, group_size);
        let members = |role| group_members(&engines, role, self.group.index, groups);
        let decodes: FastMap<&str, &EngineView> = members(EngineRole::Decode)
            .map(|engine| (&*engine.name, engine))
            .collect();
        let prefills: FastMap<&str, &EngineView> = members(EngineRole::Prefill)
            .map(|engine| (&*engine.name, engine))
            .collect();
        self.decode.retain(|name, _| decodes.contains_key(&**name));
        self.prefill.retain(|name, _| prefills.contains_key(&**name));
        for (name, engine) in decodes {
            let replica = self
                .decode
                .entry(name.into())
                .or_insert_with(|| DecodeReplica::new(engine));
            replica.slots = engine.slots;
            replica.memory_tokens = engine.memory_tokens;
        }
        for (name, engine) in prefills {
            self.prefill
                .entry(name.into())
                .or_insert_with(|| PrefillReplica::new(engine));
        }
    }

    /// Answers a request for slots; asking again for the same request gives the same slots.
    pub fn ask(
        &mut self,
        ask: &PlacementAsk,
        holder: Option<VmName>,
        board: &Blackboard,
        group_size: usize,
        now: Moment,
    ) -> SlotVerdict {
        self.sync(board, group_size);
        if let Some(lease) = self.leases.get(&ask.request) {
            return SlotVerdict::Granted {
                decode: lease.decode.clone(),
                prefill: lease.prefill.clone(),
                permits: lease.permits,
            };
        }
        if self.queue.contains(&ask.request) {
            return SlotVerdict::Queued;
        }
        // The asking VM may not have heard yet what this one knows.
        if let Some(refusal) = refuse_held(ask, board, now) {
            return SlotVerdict::Refused(refusal);
        }
        let ahead = self.queue.ahead_of(ask.priority);
        if let Some(refusal) = self.refuse_early(ask, ahead, now) {
            return SlotVerdict::Refused(refusal);
        }
        if let Some(refusal) = self.refuse_limited(ask, ahead, now) {
            return SlotVerdict::Refused(refusal);
        }
        if ahead == 0
            && let Some(granted) = self.place(ask, holder.clone(), board, now)
        {
            return granted;
        }
        if !self.has_usable(ask, board, now) {
            let notice = RefusalNotice::new(ResultCode::NoUpstream, self.group.model.to_string());
            return SlotVerdict::Refused(notice.retry_after_ms(DEFAULT_RETRY_MS));
        }
        if self.queue.len() >= QUEUE_LIMIT {
            let notice = RefusalNotice::new(ResultCode::QueueFull, format!("{ahead} requests wait"));
            return SlotVerdict::Refused(notice.retry_after_ms(spread_return_ms(ask, 0, now)));
        }
        if let Some(refusal) = self.refuse_crowded(ask, ahead, now) {
            return SlotVerdict::Refused(refusal);
        }
        let turn_by = self.forecast_turns(ahead + 1, now).turn_by(ahead, now);
        self.queue.push(ask.clone(), holder, turn_by);
        SlotVerdict::Queued
    }

    fn has_usable(&self, ask: &PlacementAsk, board: &Blackboard, now: Moment) -> bool {
        let is_usable = |name: &Arc<str>| {
            board.is_engine_usable(name, now) && !ask.barred.contains(name) && self.takes_any(name)
        };
        self.decode.keys().any(is_usable) && self.prefill.keys().any(is_usable)
    }

    /// Grants slots if there are any.
    fn place(
        &mut self,
        ask: &PlacementAsk,
        holder: Option<VmName>,
        board: &Blackboard,
        now: Moment,
    ) -> Option<SlotVerdict> {
        let is_suspect = board.is_suspect(ask.fingerprint);
        if is_suspect && self.is_running(ask.fingerprint) {
            return None;
        }
        let load = ask.memory_load(now.after_ms(self.prefill_ms(ask)));
        let decode = self.choose_decode(ask, &load, is_suspect, board, now)?;
        let decode_zone = self.decode.get(&decode).map(|replica| replica.zone.clone());
        let prefill = match self.choose_prefill(ask, decode_zone.as_deref(), is_suspect, board, now) {
            PrefillChoice::Engine(name) => Some(name),
            PrefillChoice::None if ask.may_skip_prefill => None,
            PrefillChoice::None | PrefillChoice::Busy => return None,
        };
        let uncached_tokens = match prefill.as_ref().and_then(|name| self.prefill.get_mut(name)) {
            Some(engine) => {
                let cached = engine.memory.cached_tokens(&ask.prefix);
                let uncached_tokens = u64::from(ask.prompt_tokens.saturating_sub(cached));
                engine.begin(uncached_tokens, now);
                engine.memory.remember(&ask.prefix);
                uncached_tokens
            }
            None => 0,
        };
        let permits = self.take_turns(&decode, prefill.as_ref(), now);
        let lease = SlotLease {
            holder,
            workspace: ask.workspace.clone(),
            decode: decode.clone(),
            load,
            prefill: prefill.clone(),
            is_prefilling: prefill.is_some(),
            uncached_tokens,
            fingerprint: Some(ask.fingerprint),
            deadline: ask.deadline,
            permits,
        };
        self.book(&ask.request, lease);
        Some(SlotVerdict::Granted {
            decode,
            prefill,
            permits,
        })
    }

    /// Whether a request of this content holds slots.
    fn is_running(&self, fingerprint: Fingerprint) -> bool {
        let mut leases = self.leases.values();
        leases.any(|lease| lease.fingerprint == Some(fingerprint))
    }

    /// Counts a slot that an earlier owner granted.
    pub fn adopt(&mut self, held: &HeldSlot, holder: Option<VmName>, board: &Blackboard, group_size: usize) {
        self.sync(board, group_size);
        if self.leases.contains_key(&held.request) || !self.decode.contains_key(&held.decode) {
            return;
        }
        let lease = SlotLease {
            holder,
            workspace: held.workspace.clone(),
            decode: held.decode.clone(),
            load: held.load,
            prefill: None,
            is_prefilling: false,
            uncached_tokens: 0,
            fingerprint: None,
            deadline: held.deadline,
            permits: EnginePermits::default(),
        };
        self.book(&held.request, lease);
    }

    /// Counts a lease; [`Self::release`] is its counterpart.
    fn book(&mut self, request: &RequestId, lease: SlotLease) {
        if let Some(replica) = self.decode.get_mut(&lease.decode) {
            replica.loads.insert(request.clone(), lease.load);
        }
        *self.held_by_workspace.entry(lease.workspace.clone()).or_default() += 1;
        self.leases.insert(request.clone(), lease);
    }

    /// Notes that a request's prefill ended, so that its engine can take the next.
    pub fn prefill_done(&mut self, request: &RequestId, end: EngineEnd, now: Moment) {
        let Some(lease) = self.leases.get_mut(request) else {
            return;
        };
        if !std::mem::take(&mut lease.is_prefilling) {
            return;
        }
        let uncached_tokens = lease.uncached_tokens;
        if let Some(engine) = lease.prefill.as_ref().and_then(|name| self.prefill.get_mut(name)) {
            engine.end(uncached_tokens, end == EngineEnd::Fine, now);
        }
        if let Some(rate) = self.fastest_rate() {
            self.prefill
                .values_mut()
                .for_each(|engine| engine.assume_rate(rate));
        }
    }

    /// Takes a request's slots back, or takes it out of the queue.
    pub fn release(
        &mut self,
        request: &RequestId,
        result: PlacementResult,
        now: Moment,
    ) -> Option<ReleasedEngines> {
        self.queue.remove(request);
        // A prefill that nobody reported ended with its request, somehow.
        self.prefill_done(request, EngineEnd::Failed, now);
        let lease = self.leases.remove(request)?;
        self.give_turns_back(&lease, result, now);
        if result.handover_ms > 0 {
            self.handover_ms = smooth(self.handover_ms, result.handover_ms);
        }
        if let Some(held) = self.held_by_workspace.get_mut(&lease.workspace) {
            *held = held.saturating_sub(1);
        }
        if let Some(replica) = self.decode.get_mut(&lease.decode) {
            replica.loads.remove(request);
            if result.decode == EngineEnd::Full {
                replica.full_until = now.after_ms(FULL_PAUSE_MS);
            }
            if result.pace_us > 0 {
                replica.pace_us = smooth(replica.pace_us, result.pace_us);
            }
        }
        Some(ReleasedEngines {
            decode: lease.decode,
            prefill: lease.prefill,
        })
    }

    /// Takes back the slots of all holders for which `is_gone` holds, and those past their deadline.
    pub fn expire(&mut self, now: Moment, is_gone: impl Fn(&VmName) -> bool) {
        let over: Vec<RequestId> = self
            .leases
            .iter()
            .filter(|(_, lease)| now.reached(lease.deadline) || lease.holder.as_ref().is_some_and(&is_gone))
            .map(|(request, _)| request.clone())
            .collect();
        for request in over {
            let result = PlacementResult {
                sent: SentEngines::BOTH,
                ..PlacementResult::default()
            };
            self.release(&request, result, now);
        }
        self.queue
            .take_where(|waiting| waiting.holder.as_ref().is_some_and(&is_gone));
    }

    /// Serves the queue as far as slots go, and gives up at once on what can't meet its deadline any more.
    pub fn serve_queue(&mut self, board: &Blackboard, group_size: usize, now: Moment) -> Vec<LedgerGrant> {
        self.sync(board, group_size);
        if self.queue.is_empty() {
            return Vec::new();
        }
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort(&self.held_by_workspace, |waiting| self.is_late(&waiting.ask, now));
        self.queue = queue;
        let mut grants = self.give_up_late(now);
        self.forget_deferred();
        let waiting: Vec<_> = self.queue.iter().cloned().collect();
        for entry in waiting {
            let Some(verdict) = self.place(&entry.ask, entry.holder.clone(), board, now) else {
                if self.is_full(now) {
                    break;
                }
                continue;
            };
            self.queue.remove(&entry.ask.request);
            grants.push(LedgerGrant {
                holder: entry.holder,
                request: entry.ask.request,
                verdict,
            });
        }
        grants
    }

    /// What waits for which engine is worked out anew each time the queue is served.
    fn forget_deferred(&mut self) {
        for replica in self.prefill.values_mut() {
            replica.deferred_tokens = 0;
        }
    }

    fn is_full(&self, now: Moment) -> bool {
        self.decode
            .iter()
            .all(|(name, replica)| replica.held() >= replica.slots || !self.has_turn(name, now))
            || self
                .prefill
                .iter()
                .all(|(name, replica)| replica.running >= PREFILLS_AT_ONCE || !self.has_turn(name, now))
    }

    fn give_up_late(&mut self, now: Moment) -> Vec<LedgerGrant> {
        let mut queue = std::mem::take(&mut self.queue);
        let turns = self.forecast_turns(queue.len() + 1, now);
        let mut ahead = 0;
        let late = queue.take_where(|waiting| {
            let is_over = self.is_over(waiting, &turns, ahead, now);
            ahead += usize::from(!is_over);
            is_over
        });
        self.queue = queue;
        let wait_ms = self.expected_wait_ms(self.queue.len(), now);
        let code = match turns.wait_ms(ahead) > 0 || self.is_bound(now) {
            true => ResultCode::RateLimited,
            false => ResultCode::QueueTimeout,
        };
        late.into_iter()
            .map(|waiting| LedgerGrant {
                holder: waiting.holder,
                request: waiting.ask.request.clone(),
                verdict: SlotVerdict::Refused(
                    RefusalNotice::new(code, self.group.model.to_string()).retry_after_ms(spread_return_ms(
                        &waiting.ask,
                        wait_ms,
                        now,
                    )),
                ),
            })
            .collect()
    }
}
