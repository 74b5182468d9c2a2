//! Permits for engines that report rate limits.
//!
//! If more generations arrive than the limits allow, a request whose permit would come too late is refused on
//! arrival. No prompt is run unless its decode engine has a permit for it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use super::admission::jittered_retry_ms;
use super::{GroupLedger, QueuedRequest, SlotLease};
use crate::blackboard::{RateLimit, find_limit};
use crate::controllers::slots::{EnginePermits, PlacementRequest, PlacementResult};
use crate::prelude::*;

/// A request is queued for a permit only if the forecast leaves this margin before its latest start, in
/// milliseconds: twice the time between two passes over the queue.
const PERMIT_MARGIN_MS: u64 = 100;

/// How much later than forecast a request may get its permit, in milliseconds, in addition to the time
/// between two permits of an engine. A later request may overtake it if a prefill engine was free for that
/// one; the overtaken request is then served late.
const PERMIT_SLACK_MS: u64 = 250;

/// Maximum of the time between two permits that is added to [`PERMIT_SLACK_MS`], in milliseconds.
const MAX_GAP_SLACK_MS: u64 = 500;

/// Time for which the group counts as rate-limited after a refusal because of the engines' limits, in
/// milliseconds.
const RATE_LIMITED_MS: u64 = 1_000;

/// Upper limit of forecast waits for a permit, in milliseconds.
const MAX_FORECAST_MS: u64 = 60_000;

/// Forecast of the time that each request of a queue waits for permits of the engines.
#[derive(Clone, Debug, Default)]
pub(super) struct PermitForecast {
    /// Wait of each request by its place in the queue, in milliseconds; empty if some engines report no
    /// limit.
    waits_ms: Vec<u64>,
    /// Longest time between two permits of an engine, in milliseconds.
    gap_ms: u64,
}

impl PermitForecast {
    /// Wait of a request with `ahead` others before it, in milliseconds; zero if some engines report no
    /// limit.
    pub(super) fn wait_ms(&self, ahead: usize) -> u64 {
        let wait_ms = self.waits_ms.get(ahead).or(self.waits_ms.last());
        wait_ms.copied().unwrap_or(0)
    }

    /// Deadline for the permit of a request that is queued now with `ahead` others before it; `None` if some
    /// engines report no limit.
    pub(super) fn permit_by(&self, ahead: usize, now: Moment) -> Option<Moment> {
        let slack_ms = PERMIT_SLACK_MS + self.gap_ms.min(MAX_GAP_SLACK_MS);
        (!self.waits_ms.is_empty()).then(|| now.after_ms(self.wait_ms(ahead) + slack_ms))
    }

    /// Combines the forecasts of both roles, for requests that need permits of both.
    fn combine(self, other: Self) -> Self {
        let pairs = self.waits_ms.into_iter().zip(other.waits_ms);
        Self {
            waits_ms: pairs.map(|(one, other)| one.max(other)).collect(),
            gap_ms: self.gap_ms.max(other.gap_ms),
        }
    }
}

impl GroupLedger {
    /// The limit that an engine reports.
    fn limit(&self, name: &str) -> Option<&RateLimit> {
        let facts = self.synced_replicas.get(name)?;
        find_limit(&self.limits, name, facts.record.started_epoch_ms)
    }

    /// Time until a request may be sent to an engine, in milliseconds; zero if the engine reports no limit,
    /// `None` if this owner may issue no permit for it.
    pub(super) fn permit_wait_ms(&self, name: &Arc<str>, now: Moment) -> Option<u64> {
        match self.limit(name) {
            Some(limit) => self.permit_issuer.wait_ms(name, limit, now),
            None => Some(0),
        }
    }

    /// Whether an engine accepts requests at all: false if it reports a limit of zero.
    pub(super) fn accepts_requests(&self, name: &Arc<str>) -> bool {
        self.limit(name).is_none_or(|limit| !limit.rate.is_zero())
    }

    /// Whether a request may be sent to an engine now.
    pub(super) fn has_permit(&self, name: &Arc<str>, now: Moment) -> bool {
        self.permit_wait_ms(name, now) == Some(0)
    }

    /// Takes a permit of each engine that reports a limit.
    pub(super) fn take_permits(
        &mut self,
        decode: &Arc<str>,
        prefill: Option<&Arc<str>>,
        now: Moment,
    ) -> EnginePermits {
        EnginePermits {
            decode: self.take_permit(decode, now),
            prefill: prefill.is_some_and(|prefill| self.take_permit(prefill, now)),
        }
    }

    fn take_permit(&mut self, name: &Arc<str>, now: Moment) -> bool {
        let Some(limit) = self.limit(name).cloned() else {
            return false;
        };
        self.permit_issuer.take(name, &limit, now).is_some()
    }

    /// Returns the permits of engines that the request was not sent to.
    pub(super) fn return_permits(&mut self, lease: &SlotLease, result: PlacementResult, now: Moment) {
        let decode = (lease.permits.decode && !result.sent.decode).then_some(&lease.decode);
        let has_prefill = lease.permits.prefill && !result.sent.prefill;
        let prefill = lease.prefill.as_ref().filter(|_| has_prefill);
        for name in decode.into_iter().chain(prefill) {
            if let Some(limit) = self.limit(name).cloned() {
                self.permit_issuer.give_back(name, &limit, now);
            }
        }
    }

    /// Forecasts the waits of `count` queued requests for permits.
    pub(super) fn forecast_permits(&self, count: usize, now: Moment) -> PermitForecast {
        let decode = self.forecast_pool(self.decode.keys(), count, now);
        let prefill = self.forecast_pool(self.prefill.keys(), count, now);
        match (decode, prefill) {
            (Some(decode), Some(prefill)) => decode.combine(prefill),
            (decode, prefill) => decode.or(prefill).unwrap_or_default(),
        }
    }

    /// Forecast for engines of one role; `None` if there are none or one of them reports no limit.
    fn forecast_pool<'a>(
        &self,
        names: impl Iterator<Item = &'a Arc<str>>,
        count: usize,
        now: Moment,
    ) -> Option<PermitForecast> {
        let mut upcoming_permits = BinaryHeap::new();
        let mut has_engines = false;
        let mut gap_ms = 0;
        for name in names {
            has_engines = true;
            let upcoming = self.permit_issuer.upcoming(name, self.limit(name)?, now);
            gap_ms = gap_ms.max(upcoming.map_or(0, |upcoming| upcoming.gap_ms()));
            upcoming_permits.extend(upcoming.map(Reverse));
        }
        let next_wait_ms = |_| {
            let Some(Reverse(first)) = upcoming_permits.pop() else {
                return MAX_FORECAST_MS;
            };
            upcoming_permits.push(Reverse(first.after_first()));
            first.wait_ms(now).min(MAX_FORECAST_MS)
        };
        has_engines.then(|| PermitForecast {
            waits_ms: (0..count).map(next_wait_ms).collect(),
            gap_ms,
        })
    }

    /// Whether requests were recently refused because of the engines' limits.
    pub(super) fn is_rate_limited(&self, now: Moment) -> bool {
        !now.reached(self.rate_limited_until)
    }

    /// Whether a queued request is moved behind others because its first token comes too late. False while
    /// permits are the bottleneck: each permit serves one request, so that moving a late one back would serve
    /// no other sooner.
    pub(super) fn is_late(&self, ask: &PlacementRequest, now: Moment) -> bool {
        !self.is_rate_limited(now) && now.after_ms(self.first_token_ms(ask)) > ask.first_token_target
    }

    /// Whether a queued request with `ahead` others before it gets its permit too late: its first token would
    /// be late, and the permit also comes later than was forecast when the request was queued. If only other
    /// forecasts were wrong, such as the prefill rate, it stays queued: refusing it after its wait would
    /// serve no other request sooner. Also sets the permit deadline of a request without one while its first
    /// token is forecast to be in time.
    pub(super) fn is_permit_late(
        &self,
        waiting: &mut QueuedRequest,
        forecast: &PermitForecast,
        ahead: usize,
        now: Moment,
    ) -> bool {
        let permit_at = now.after_ms(forecast.wait_ms(ahead));
        let is_in_time =
            permit_at.after_ms(self.first_token_ms(&waiting.ask)) <= waiting.ask.first_token_target;
        if is_in_time && waiting.permit_by.is_none() {
            waiting.permit_by = forecast.permit_by(ahead, now);
        }
        !is_in_time && waiting.permit_by.is_none_or(|permit_by| permit_at > permit_by)
    }

    /// Refuses a request that would get its permit too late.
    pub(super) fn refuse_limited(
        &mut self,
        request: &PlacementRequest,
        ahead: usize,
        now: Moment,
    ) -> Option<RefusalNotice> {
        let wait_ms = self.forecast_permits(ahead + 1, now).wait_ms(ahead);
        let latest_first_token = if request.may_be_late {
            request.first_token_deadline
        } else {
            request.first_token_target
        };
        if wait_ms == 0
            || now.after_ms(wait_ms + PERMIT_MARGIN_MS + self.first_token_ms(request)) <= latest_first_token
        {
            return None;
        }
        self.rate_limited_until = now.after_ms(RATE_LIMITED_MS);
        let detail = format!("about {wait_ms} ms until the engines take another request");
        let notice = RefusalNotice::new(ResultCode::RateLimited, detail);
        Some(notice.retry_after_ms(jittered_retry_ms(request, wait_ms, now)))
    }
}
