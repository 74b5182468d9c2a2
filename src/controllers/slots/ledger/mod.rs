//! The owner's ledger of one group of engines: counts the slots in use and serves the queue.

mod admission;
mod choice;
mod estimate;
mod limits;
mod pace;

use std::sync::Arc;

use admission::{OverloadDetector, jittered_retry_ms};
use choice::PrefillChoice;

use super::client::refuse_quarantined;
use super::queue::{QUEUE_LIMIT, QueuedRequest, RequestQueue};
use super::replica::{DecodeReplica, PrefillReplica};
use super::{
    EngineGroup, EngineOutcome, EnginePermits, HeldSlot, MemoryLoad, PlacementRequest, PlacementResult,
    RequestId, SentEngines, group_count, group_members,
};
use crate::blackboard::{EngineView, FeatureSet, Fingerprint, ReplicaFacts, ReplicaId, SharedRateLimits};
use crate::controllers::message::SlotVerdict;
use crate::controllers::pace::PaceTable;
use crate::controllers::rate_limits::PermitIssuer;
use crate::controllers::services::smooth;
use crate::prelude::*;
use crate::register::EngineRole;

/// Maximum number of concurrent prefills per engine. More would wait at the engine, which ignores priorities.
const MAX_ENGINE_PREFILLS: u32 = 2;

/// Time for which a decode engine gets no requests after it had less room than counted, in milliseconds.
const FULL_BACKOFF_MS: u64 = 200;

/// Retry-After if no engine is usable, in milliseconds.
const NO_ENGINE_RETRY_MS: u64 = 1_000;

/// The outcome of a queued request, with the VM to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueDecision {
    /// The VM that handles the request; `None` for the owner itself.
    pub holder: Option<VmName>,
    /// The queued attempt.
    pub request: RequestId,
    /// The owner's answer; never `Queued`.
    pub verdict: SlotVerdict,
}

/// The engines that one request holds, as their owner counts them.
#[derive(Debug)]
struct SlotLease {
    /// The VM that handles the request; `None` for the owner itself.
    holder: Option<VmName>,
    workspace: Arc<str>,
    decode: Arc<str>,
    load: MemoryLoad,
    prefill: Option<Arc<str>>,
    is_prefilling: bool,
    /// Prompt tokens that the prefill engine probably has to compute.
    uncached_tokens: u64,
    /// What the request may have in common with others; `None` if an earlier owner granted the slot.
    features: Option<FeatureSet>,
    deadline: Moment,
    /// Permits taken of its engines.
    permits: EnginePermits,
    granted_at: Moment,
}

/// The engines of a request whose slots were released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedEngines {
    /// Decode engine that the request held a slot of.
    pub decode: Arc<str>,
    /// Prefill engine that it was granted; `None` if the decode engine ran the prompt or an earlier owner
    /// granted the slot.
    pub prefill: Option<Arc<str>>,
}

/// Slots and queue of one group of engines, kept by the group's owner.
#[derive(Debug)]
pub struct GroupLedger {
    group: EngineGroup,
    /// The register and the list of replicas with which the engines were last updated.
    synced_register: RegisterStamp,
    synced_replicas: Arc<FastMap<ReplicaId, ReplicaFacts>>,
    decode: FastMap<Arc<str>, DecodeReplica>,
    prefill: FastMap<Arc<str>, PrefillReplica>,
    leases: FastMap<RequestId, SlotLease>,
    /// Number of slots in use by each workspace.
    held_by_workspace: FastMap<Arc<str>, u32>,
    queue: RequestQueue,
    /// Exponential moving average of the time from a prefill's end to the first token, in milliseconds.
    handover_ms: u64,
    overload: OverloadDetector,
    /// Rate limits of all replicas, as last published on the board.
    limits: SharedRateLimits,
    /// Issues permits for the group's engines that report limits.
    pub permit_issuer: PermitIssuer,
    /// When the group no longer counts as rate-limited.
    rate_limited_until: Moment,
    /// The paces of the group's engines.
    paces: PaceTable,
}

impl GroupLedger {
    /// Creates an empty ledger for one group; the first use adds the group's engines.
    pub fn new(group: &EngineGroup) -> Self {
        Self {
            group: group.clone(),
            synced_register: RegisterStamp::default(),
            synced_replicas: Arc::default(),
            decode: FastMap::default(),
            prefill: FastMap::default(),
            leases: FastMap::default(),
            held_by_workspace: FastMap::default(),
            queue: RequestQueue::default(),
            handover_ms: 0,
            overload: OverloadDetector::default(),
            limits: Arc::default(),
            permit_issuer: PermitIssuer::default(),
            rate_limited_until: Moment::default(),
            paces: PaceTable::new(0, 0),
        }
    }

    /// Number of slots in use.
    pub fn held(&self) -> u32 {
        self.decode.values().map(DecodeReplica::held).sum()
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Whether no slot is in use and no request is queued.
    pub fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.queue.is_empty()
    }

    /// Adds, removes and updates engines according to the board.
    fn sync(&mut self, board: &Blackboard, group_size: usize, now: Moment) {
        self.paces.refresh(now);
        if !Arc::ptr_eq(&self.limits, &board.rate_limits) {
            self.limits = board.rate_limits.clone();
            self.permit_issuer.retain(|id| board.rate_limits.contains_key(id));
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
        self.sync_paces(board, now);
    }

    /// Grants, queues or refuses a request. Repeating it is idempotent: a request that holds slots gets the
    /// same ones.
    pub fn request_slots(
        &mut self,
        ask: &PlacementRequest,
        holder: Option<VmName>,
        board: &Blackboard,
        group_size: usize,
        now: Moment,
    ) -> SlotVerdict {
        self.sync(board, group_size, now);
        if let Some(lease) = self.leases.get(&ask.request) {
            return SlotVerdict::Granted {
                decode: lease.decode.clone(),
                prefill: lease.prefill.clone(),
                permits: lease.permits,
            };
        }
        if let Some(ahead) = self.queue.set_cut_at(&ask.request, ask.cut_at) {
            return match self.refuse_cut(ask, ahead, now) {
                Some(refusal) => {
                    self.queue.remove(&ask.request);
                    SlotVerdict::Refused(refusal)
                }
                None => SlotVerdict::Queued,
            };
        }
        // The requesting VM may not know yet that the request is quarantined.
        if let Some(refusal) = refuse_quarantined(ask, board, now) {
            return SlotVerdict::Refused(refusal);
        }
        let ahead = self.queue.ahead_of(ask.priority);
        if let Some(refusal) = self.refuse_early(ask, ahead, now) {
            return SlotVerdict::Refused(refusal);
        }
        if let Some(refusal) = self.refuse_limited(ask, ahead, now) {
            return SlotVerdict::Refused(refusal);
        }
        if let Some(refusal) = self.refuse_cut_after(ask, 0, now) {
            return SlotVerdict::Refused(refusal);
        }
        if self.queue.is_empty() {
            // Requests that were refused left their prompts in the count, which only a pass over the queue clears.
            // Newcomers were then refused for seconds although engines were free.
            self.reset_deferred_tokens();
        }
        if ahead == 0
            && let Some(granted) = self.place(ask, holder.clone(), board, now)
        {
            return granted;
        }
        if !self.has_usable(ask, board, now) {
            let notice = RefusalNotice::new(ResultCode::NoUpstream, self.group.model.to_string());
            return SlotVerdict::Refused(notice.retry_after_ms(NO_ENGINE_RETRY_MS));
        }
        if self.queue.len() >= QUEUE_LIMIT {
            let notice = RefusalNotice::new(ResultCode::QueueFull, format!("{ahead} requests wait"));
            return SlotVerdict::Refused(notice.retry_after_ms(jittered_retry_ms(ask, 0, now)));
        }
        if let Some(refusal) = self.refuse_cut(ask, ahead, now) {
            return SlotVerdict::Refused(refusal);
        }
        if let Some(refusal) = self.refuse_overloaded(ask, ahead, now) {
            return SlotVerdict::Refused(refusal);
        }
        let permit_by = self.forecast_permits(ahead + 1, now).permit_by(ahead, now);
        self.queue.push(ask.clone(), holder, permit_by);
        SlotVerdict::Queued
    }

    /// Whether engines of both roles are usable for a request.
    fn has_usable(&self, ask: &PlacementRequest, board: &Blackboard, now: Moment) -> bool {
        let is_usable = |name: &Arc<str>| {
            board.is_engine_usable(name, now) && !ask.excluded.contains(name) && self.accepts_requests(name)
        };
        self.decode.keys().any(is_usable) && self.prefill.keys().any(is_usable)
    }

    /// Grants slots if they and the permits are available now; `None` if the request has to wait.
    fn place(
        &mut self,
        ask: &PlacementRequest,
        holder: Option<VmName>,
        board: &Blackboard,
        now: Moment,
    ) -> Option<SlotVerdict> {
        let is_suspect = board.suspicions.is_suspect(&ask.features, now);
        if is_suspect && self.is_running(ask.features.content()) {
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
                let cached = engine.prefix_index.cached_tokens(&ask.prefix);
                let uncached_tokens = u64::from(ask.prompt_tokens.saturating_sub(cached));
                engine.begin(uncached_tokens, now);
                engine.prefix_index.record(&ask.prefix);
                uncached_tokens
            }
            None => 0,
        };
        let permits = self.take_permits(&decode, prefill.as_ref(), now);
        let lease = SlotLease {
            holder,
            workspace: ask.workspace.clone(),
            decode: decode.clone(),
            load,
            prefill: prefill.clone(),
            is_prefilling: prefill.is_some(),
            uncached_tokens,
            features: Some(ask.features.clone()),
            deadline: ask.deadline,
            permits,
            granted_at: now,
        };
        self.add_lease(&ask.request, lease);
        Some(SlotVerdict::Granted {
            decode,
            prefill,
            permits,
        })
    }

    /// Whether a request with this content holds slots.
    fn is_running(&self, content: Fingerprint) -> bool {
        let mut leases = self.leases.values();
        leases.any(|lease| {
            let features = lease.features.as_ref();
            features.is_some_and(|features| features.content() == content)
        })
    }

    /// Takes over a lease that an earlier owner granted.
    pub fn adopt(
        &mut self,
        held: &HeldSlot,
        holder: Option<VmName>,
        board: &Blackboard,
        group_size: usize,
        now: Moment,
    ) {
        self.sync(board, group_size, now);
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
            features: None,
            deadline: held.deadline,
            permits: EnginePermits::default(),
            granted_at: now,
        };
        self.add_lease(&held.request, lease);
    }

    /// Adds a lease and counts its slot; [`Self::release`] removes it.
    fn add_lease(&mut self, request: &RequestId, lease: SlotLease) {
        if let Some(replica) = self.decode.get_mut(&lease.decode) {
            replica.loads.insert(request.clone(), lease.load);
        }
        *self.held_by_workspace.entry(lease.workspace.clone()).or_default() += 1;
        self.leases.insert(request.clone(), lease);
    }

    /// Records the end of a request's prefill, which frees its engine for the next prompt.
    pub fn prefill_done(&mut self, request: &RequestId, end: EngineOutcome, now: Moment) {
        let Some(lease) = self.leases.get_mut(request) else {
            return;
        };
        if !std::mem::take(&mut lease.is_prefilling) {
            return;
        }
        let uncached_tokens = lease.uncached_tokens;
        if end == EngineOutcome::Fine
            && let Some(prefill) = &lease.prefill
        {
            pace::record_prefill(&mut self.paces, prefill, uncached_tokens, lease.granted_at, now);
        }
        if let Some(engine) = lease.prefill.as_ref().and_then(|name| self.prefill.get_mut(name)) {
            engine.end(uncached_tokens, end == EngineOutcome::Fine, now);
        }
        if let Some(rate) = self.fastest_rate() {
            self.prefill
                .values_mut()
                .for_each(|engine| engine.assume_rate(rate));
        }
    }

    /// Releases a request's slots, or removes it from the queue. Returns the engines that it held slots of.
    pub fn release(
        &mut self,
        request: &RequestId,
        result: PlacementResult,
        now: Moment,
    ) -> Option<ReleasedEngines> {
        self.queue.remove(request);
        // A prefill whose end was not reported ends with its request; it gives no sample of the prefill rate.
        self.prefill_done(request, EngineOutcome::Failed, now);
        let lease = self.leases.remove(request)?;
        self.return_permits(&lease, result, now);
        self.record_pace(&lease, result, now);
        if result.handover_ms > 0 {
            self.handover_ms = smooth(self.handover_ms, result.handover_ms);
        }
        if let Some(held) = self.held_by_workspace.get_mut(&lease.workspace) {
            *held = held.saturating_sub(1);
        }
        if let Some(replica) = self.decode.get_mut(&lease.decode) {
            replica.loads.remove(request);
            if result.decode == EngineOutcome::Full {
                replica.full_until = now.after_ms(FULL_BACKOFF_MS);
            }
            if result.token_gap_us > 0 {
                replica.token_gap_us = smooth(replica.token_gap_us, result.token_gap_us);
            }
        }
        Some(ReleasedEngines {
            decode: lease.decode,
            prefill: lease.prefill,
        })
    }

    /// Releases the slots of requests that are past their deadline or whose holder `is_gone`.
    pub fn expire(&mut self, now: Moment, is_gone: impl Fn(&VmName) -> bool) {
        let expired: Vec<RequestId> = self
            .leases
            .iter()
            .filter(|(_, lease)| now.reached(lease.deadline) || lease.holder.as_ref().is_some_and(&is_gone))
            .map(|(request, _)| request.clone())
            .collect();
        for request in expired {
            let result = PlacementResult {
                sent: SentEngines::BOTH,
                ..PlacementResult::default()
            };
            self.release(&request, result, now);
        }
        self.queue
            .extract_where(|waiting| waiting.holder.as_ref().is_some_and(&is_gone));
    }

    /// Refuses queued requests that have become too late, then grants free slots to the others in order.
    pub fn serve_queue(&mut self, board: &Blackboard, group_size: usize, now: Moment) -> Vec<QueueDecision> {
        self.sync(board, group_size, now);
        if self.queue.is_empty() {
            return Vec::new();
        }
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort(&self.held_by_workspace, |waiting| self.is_late(&waiting.ask, now));
        self.queue = queue;
        let mut decisions = self.refuse_queued_cut(now);
        decisions.extend(self.refuse_late(now));
        self.reset_deferred_tokens();
        let waiting: Vec<_> = self.queue.iter().cloned().collect();
        for entry in waiting {
            let Some(verdict) = self.place(&entry.ask, entry.holder.clone(), board, now) else {
                if self.is_full(now) {
                    break;
                }
                continue;
            };
            self.queue.remove(&entry.ask.request);
            decisions.push(QueueDecision {
                holder: entry.holder,
                request: entry.ask.request,
                verdict,
            });
        }
        decisions
    }

    /// Clears the counts of tokens that wait for each engine; each pass over the queue computes them anew.
    fn reset_deferred_tokens(&mut self) {
        for replica in self.prefill.values_mut() {
            replica.deferred_tokens = 0;
        }
    }

    /// Whether no further request can be placed now: all engines of one role are busy or have no permit.
    fn is_full(&self, now: Moment) -> bool {
        self.decode
            .iter()
            .all(|(name, replica)| replica.held() >= replica.slots || !self.has_permit(name, now))
            || self
                .prefill
                .iter()
                .all(|(name, replica)| replica.running >= MAX_ENGINE_PREFILLS || !self.has_permit(name, now))
    }

    /// Removes the queued requests that can't be complete any more when their VMs exit, and returns their refusals.
    fn refuse_queued_cut(&mut self, now: Moment) -> Vec<QueueDecision> {
        let mut queue = std::mem::take(&mut self.queue);
        let mut decisions = Vec::new();
        queue.extract_where(|waiting| {
            let refusal = self.refuse_cut_after(&waiting.ask, 0, now);
            let is_refused = refusal.is_some();
            decisions.extend(refusal.map(|refusal| QueueDecision {
                holder: waiting.holder.clone(),
                request: waiting.ask.request.clone(),
                verdict: SlotVerdict::Refused(refusal),
            }));
            is_refused
        });
        self.queue = queue;
        decisions
    }

    /// Removes the queued requests that have become too late, and returns their refusals.
    fn refuse_late(&mut self, now: Moment) -> Vec<QueueDecision> {
        let mut queue = std::mem::take(&mut self.queue);
        let forecast = self.forecast_permits(queue.len() + 1, now);
        let mut ahead = 0;
        let late = queue.extract_where(|waiting| {
            let should_refuse = self.should_refuse(waiting, &forecast, ahead, now);
            ahead += usize::from(!should_refuse);
            should_refuse
        });
        self.queue = queue;
        let wait_ms = self.expected_wait_ms(self.queue.len(), now);
        let code = match forecast.wait_ms(ahead) > 0 || self.is_rate_limited(now) {
            true => ResultCode::RateLimited,
            false => ResultCode::QueueTimeout,
        };
        late.into_iter()
            .map(|waiting| QueueDecision {
                holder: waiting.holder,
                request: waiting.ask.request.clone(),
                verdict: SlotVerdict::Refused(
                    RefusalNotice::new(code, self.group.model.to_string()).retry_after_ms(jittered_retry_ms(
                        &waiting.ask,
                        wait_ms,
                        now,
                    )),
                ),
            })
            .collect()
    }
}
