//! Admission control: which requests may be queued, and when refused callers should retry.
//!
//! In a load peak, or after the loss of engines, there are more generations than the engines can hold. Each
//! generation that is served late then takes the slot of one that could be in time, and without a limit
//! nearly all are late. While the engines are overloaded, a request that can't be in time is refused on
//! arrival; a queued one whose forecast proves wrong is refused as soon as that is known.

use super::limits::PermitForecast;
use super::{GroupLedger, QueuedRequest};
use crate::controllers::rendezvous;
use crate::controllers::slots::PlacementRequest;
use crate::prelude::*;

/// Time for which the engines count as overloaded after two requests found no room, in milliseconds: about a
/// third of the time for which a generation holds its slot.
const OVERLOAD_MS: u64 = 1_000;

/// Divides the time left until a caller's deadline: the caller is told to retry within that part, since
/// callers wait no longer.
const RETRY_SPAN_DIVISOR: u64 = 3;

/// Detects overload: two requests without room within [`OVERLOAD_MS`].
#[derive(Debug, Default)]
pub struct OverloadDetector {
    /// Until this time a further request without room counts as overload.
    watch_until: Moment,
    overloaded_until: Moment,
}

impl OverloadDetector {
    /// Records a request that found no room.
    pub fn record_unplaced(&mut self, now: Moment) {
        if !now.reached(self.watch_until) {
            self.overloaded_until = now.after_ms(OVERLOAD_MS);
        }
        self.watch_until = now.after_ms(OVERLOAD_MS);
    }

    /// Whether overload was detected within the last [`OVERLOAD_MS`].
    pub fn is_overloaded(&self, now: Moment) -> bool {
        !now.reached(self.overloaded_until)
    }
}

/// Retry-After for a refused caller, in milliseconds. The retry comes in the later half of the time that the
/// caller is ready to wait, and not before the `wait_ms` after which there may be room. Jitter keeps the
/// callers of one peak from retrying together.
pub fn jittered_retry_ms(request: &PlacementRequest, wait_ms: u64, now: Moment) -> u64 {
    let max_ms = now.until_ms(request.deadline) / RETRY_SPAN_DIVISOR;
    let jitter_range_ms = (max_ms / 2).max(1);
    let jitter_ms = rendezvous::weight("return", &request.request) % jitter_range_ms;
    (max_ms - jitter_range_ms.min(max_ms) + jitter_ms).max(wait_ms.min(max_ms))
}

impl GroupLedger {
    /// Whether a request that gets its engines after `wait_ms` has its first token in time. True until a
    /// prefill rate is measured: an owner that has just started refuses no request on an assumed rate.
    pub(super) fn is_in_time(&self, request: &PlacementRequest, wait_ms: u64, now: Moment) -> bool {
        self.fastest_rate().is_none()
            || now.after_ms(wait_ms + self.first_token_ms(request)) <= request.first_token_target
    }

    /// Records that a request found no room; returns a refusal unless the request may be queued.
    pub(super) fn refuse_overloaded(
        &mut self,
        request: &PlacementRequest,
        ahead: usize,
        now: Moment,
    ) -> Option<RefusalNotice> {
        let was_overloaded = self.overload.is_overloaded(now);
        self.overload.record_unplaced(now);
        let wait_ms = self.expected_wait_ms(ahead, now);
        if request.may_be_late || !was_overloaded || self.is_in_time(request, wait_ms, now) {
            return None;
        }
        let detail = format!("about {wait_ms} ms to wait behind {ahead} requests");
        let notice = RefusalNotice::new(ResultCode::QueueFull, detail);
        Some(notice.retry_after_ms(jittered_retry_ms(request, wait_ms, now)))
    }

    /// Whether to refuse a queued request with `ahead` others before it. Any request is refused once it can't
    /// meet its deadline or its caller would time out. A request that may not be late is also refused once
    /// its permit comes too late, or under overload its first token.
    pub(super) fn should_refuse(
        &self,
        waiting: &mut QueuedRequest,
        forecast: &PermitForecast,
        ahead: usize,
        now: Moment,
    ) -> bool {
        let request = &waiting.ask;
        let misses_deadline = now.until_ms(request.deadline) < self.service_ms(request)
            || now.after_ms(self.first_token_ms(request)) > request.first_token_deadline;
        if misses_deadline || request.may_be_late {
            return misses_deadline;
        }
        if forecast.wait_ms(ahead) > 0 || self.is_rate_limited(now) {
            return self.is_permit_late(waiting, forecast, ahead, now);
        }
        self.overload.is_overloaded(now) && !self.is_in_time(request, 0, now)
    }
}
