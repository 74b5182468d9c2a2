//! Choice of the engines of a group for a request.

use std::sync::Arc;

use super::{GroupLedger, MAX_ENGINE_PREFILLS, SlotLease};
use crate::controllers::slots::replica::{DecodeReplica, PrefillReplica};
use crate::controllers::slots::{MemoryLoad, PlacementRequest};
use crate::prelude::*;

/// How much the cost of the engine with the longest cached prefix may exceed the lowest cost, in percent, for
/// that engine to be preferred.
const CACHE_MISS_GAIN_PERCENT: u64 = 50;

/// Cost of a prefill engine in another zone than the decode engine, in microseconds: the transfer of the KV
/// cache takes twice as long between zones, and the network between them is the most expensive part of a
/// generation.
const CROSS_ZONE_PREFILL_US: u64 = 100_000;

/// Cost of a decode engine in another zone than the requesting VM, in thousandths of the engine's capacity.
const CROSS_ZONE_DECODE_PERMILLE: u64 = 200;

/// Result of the choice of a prefill engine.
pub(super) enum PrefillChoice {
    /// The best engine, which can take the prompt now.
    Engine(Arc<str>),
    /// The request has to wait: the best engine runs its maximum of concurrent prompts, or no usable engine
    /// has a permit now.
    Busy,
    /// No prefill engine is usable for the request.
    None,
}

impl GroupLedger {
    /// Whether a request skips an engine because it failed there before. If all usable decode engines were
    /// tried, none is skipped: one that was full may have room by now, and no other would become usable by
    /// waiting.
    fn is_avoided(
        &self,
        name: &Arc<str>,
        request: &PlacementRequest,
        board: &Blackboard,
        now: Moment,
    ) -> bool {
        let is_untried_usable = |other: &Arc<str>| {
            !request.avoid.contains(other)
                && !request.excluded.contains(other)
                && board.is_engine_usable(other, now)
        };
        request.avoid.contains(name) && self.decode.keys().any(is_untried_usable)
    }

    /// Whether an engine may be granted to this request: it is usable and the request does not skip it.
    fn may_grant(
        &self,
        name: &Arc<str>,
        request: &PlacementRequest,
        board: &Blackboard,
        now: Moment,
    ) -> bool {
        let is_grantable = board.is_engine_usable(name, now)
            && !request.excluded.contains(name)
            && self.accepts_requests(name);
        is_grantable && !self.is_avoided(name, request, board, now)
    }

    /// Whether an engine runs a request that is suspected of crashing upstreams.
    fn has_suspect(&self, name: &Arc<str>, board: &Blackboard, now: Moment) -> bool {
        let uses_engine = |lease: &SlotLease| {
            lease.decode == *name || (lease.is_prefilling && lease.prefill.as_ref() == Some(name))
        };
        let mut leases = self.leases.values();
        leases.any(|lease| {
            let features = lease.features.as_ref().filter(|_| uses_engine(lease));
            features.is_some_and(|features| board.suspicions.is_suspect(features, now))
        })
    }

    /// Chooses the engine with the lowest product of utilization and time per token, among those with room. An
    /// engine at the limit of its pace is chosen only if no other one has room.
    pub(super) fn choose_decode(
        &self,
        request: &PlacementRequest,
        load: &MemoryLoad,
        is_suspect: bool,
        board: &Blackboard,
        now: Moment,
    ) -> Option<Arc<str>> {
        let token_gap = |replica: &DecodeReplica| replica.token_gap_us.max(1);
        self.decode
            .iter()
            .filter(|(_, replica)| replica.has_room(load, now))
            .filter(|(name, _)| self.has_permit(name, now) && self.may_grant(name, request, board, now))
            .min_by_key(|(name, replica)| {
                // If an engine with two suspects crashes, it is unknown which of them caused it.
                let is_shared = is_suspect && self.has_suspect(name, board, now);
                let cross_zone_permille = if replica.zone == request.zone {
                    0
                } else {
                    CROSS_ZONE_DECODE_PERMILLE
                };
                let utilization = replica.utilization_with(load) + cross_zone_permille;
                let is_held_back = self.is_decode_held_back(name, now);
                (
                    is_shared,
                    is_held_back,
                    utilization * token_gap(replica),
                    (*name).clone(),
                )
            })
            .map(|(name, _)| name.clone())
    }

    /// Chooses the engine that would finish the prompt first, but prefers the one with the longest cached
    /// prefix within [`CACHE_MISS_GAIN_PERCENT`]. If the chosen engine is busy, the request waits for it. If it
    /// is at the limit of its pace, a free one is chosen instead, if there is one.
    pub(super) fn choose_prefill(
        &mut self,
        request: &PlacementRequest,
        decode_zone: Option<&str>,
        is_suspect: bool,
        board: &Blackboard,
        now: Moment,
    ) -> PrefillChoice {
        let mut usable: Vec<_> = self
            .prefill
            .iter()
            .filter(|(name, _)| self.may_grant(name, request, board, now))
            .collect();
        let had_usable = !usable.is_empty();
        usable.retain(|(name, _)| self.has_permit(name, now));
        if had_usable && usable.is_empty() {
            return PrefillChoice::Busy;
        }
        let is_free = |replica: &PrefillReplica| replica.running < MAX_ENGINE_PREFILLS;
        if self.is_rate_limited(now) && usable.iter().any(|(_, replica)| is_free(replica)) {
            // Waiting for a busy engine would pass the permit of the decode engine to the next request.
            usable.retain(|(_, replica)| is_free(replica));
        }
        let has_no_suspect = |name: &Arc<str>| !is_suspect || !self.has_suspect(name, board, now);
        let has_unsuspected = usable.iter().any(|(name, _)| has_no_suspect(name));
        let candidates: Vec<(u64, u32, &Arc<str>)> = usable
            .into_iter()
            .filter(|(name, _)| !has_unsuspected || has_no_suspect(name))
            .map(|(name, replica)| {
                let cached = replica.prefix_index.cached_tokens(&request.prefix);
                let uncached = u64::from(request.prompt_tokens.saturating_sub(cached));
                let is_cross_zone = decode_zone.is_some_and(|zone| zone != &*replica.zone);
                let cross_zone_us = if is_cross_zone { CROSS_ZONE_PREFILL_US } else { 0 };
                (replica.cost_us(uncached) + cross_zone_us, cached, name)
            })
            .collect();
        let best_cached = candidates
            .iter()
            .max_by_key(|(cost_us, cached, _)| (*cached, u64::MAX - cost_us));
        let (Some(cheapest), Some(best_cached)) = (candidates.iter().min(), best_cached) else {
            return PrefillChoice::None;
        };
        let max_cached_cost_us = cheapest.0 * (100 + CACHE_MISS_GAIN_PERCENT) / 100;
        let (_, cached, name) = if best_cached.0 <= max_cached_cost_us {
            best_cached
        } else {
            cheapest
        };
        let (cached, name) = if self.is_prefill_held_back(name, now) {
            let with_room = candidates.iter().filter(|(_, _, other)| {
                let is_free = self.prefill.get(*other).is_some_and(is_free);
                is_free && !self.is_prefill_held_back(other, now)
            });
            let fallback = with_room.min().map(|(_, cached, other)| (cached, other));
            fallback.unwrap_or((cached, name))
        } else {
            (cached, name)
        };
        let (cached, name) = (*cached, (*name).clone());
        let Some(replica) = self.prefill.get_mut(&name) else {
            return PrefillChoice::None;
        };
        if replica.running < MAX_ENGINE_PREFILLS {
            return PrefillChoice::Engine(name);
        }
        // The prompt waits for this engine, so its tokens count in the cost of the prompts behind it.
        replica.deferred_tokens += u64::from(request.prompt_tokens.saturating_sub(cached));
        PrefillChoice::Busy
    }
}
