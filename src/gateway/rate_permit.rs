//! Sends to replicas that report rate limits: waits for a permit, and builds the refusal if there is none.

use std::sync::Arc;
use std::time::Duration;

use super::GatewayContext;
use super::exchange::CallerRequest;
use super::upstream::{ExchangeError, UpstreamAnswer, UpstreamRequest, exchange};
use crate::blackboard::ReplicaId;
use crate::clock;
use crate::controllers::dispatch::RefusedCaller;
use crate::controllers::rate_limits::PermitRequest;
use crate::prelude::*;
use crate::runtime::RatePermit;

/// Minimum of the longest time that a call waits for a permit, in milliseconds.
const MIN_WAIT_MS: u64 = 50;

/// How long a permit is valid from the beginning of its time slot, in milliseconds.
const PERMIT_VALID_MS: u64 = 500;

/// Result of a wait for a permit.
pub enum PermitOutcome {
    /// The request may be sent.
    Granted(RatePermit),
    /// No permit of any of the replicas is available in time.
    Refused,
    /// A permit was granted, but expired before it was used, since the process was suspended.
    Expired,
}

/// Waits for a permit to send a request to one of the candidates.
pub async fn acquire_permit(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    candidates: &[ReplicaId],
) -> PermitOutcome {
    let requested_at = clock::now();
    let permit_request = PermitRequest {
        service: request.service.clone(),
        candidates: candidates.to_vec(),
        start_by: latest_start(context, request),
    };
    match RatePermit::acquire(&context.control, permit_request).await {
        Ok(permit) => {
            let grant = permit.grant();
            context.metrics.count_permit(PermitDecision::Granted);
            spdlog::info!(
                "event=permit_granted request={} replica={} owner={} wait_ms={} elapsed_ms={}",
                request.facts.id,
                grant.replica,
                grant.owner,
                clock::now().until_ms(grant.not_before),
                requested_at.until_ms(clock::now())
            );
            if !wait_for_turn(context, request, grant.not_before).await {
                return PermitOutcome::Refused;
            }
            // A process that was suspended meanwhile would otherwise use several permits at once.
            let valid_until = grant.not_before.after_ms(PERMIT_VALID_MS);
            if clock::now().reached(valid_until) {
                return PermitOutcome::Expired;
            }
            PermitOutcome::Granted(permit)
        }
        Err(retry_at) => {
            context.metrics.count_permit(PermitDecision::Refused);
            spdlog::info!(
                "event=permit_refused request={} service={} candidates={} pause_ms={} elapsed_ms={}",
                request.facts.id,
                request.service,
                candidates.len(),
                clock::now().until_ms(retry_at),
                requested_at.until_ms(clock::now())
            );
            context.with_selector(|selector| selector.record_no_permit(candidates, retry_at));
            PermitOutcome::Refused
        }
    }
}

/// Waits for the time slot of a permit. Returns false as soon as it turns out that all replicas reject requests, or
/// that this VM exits before the call is answered, unless the slot comes within [`MIN_WAIT_MS`].
async fn wait_for_turn(context: &GatewayContext, request: &CallerRequest, not_before: Moment) -> bool {
    loop {
        let now = clock::now();
        let is_next = now.after_ms(MIN_WAIT_MS).reached(not_before);
        if is_next {
            async_std::task::sleep(now.remaining(not_before)).await;
            return true;
        }
        let (answer_ms, rejects_all) = find_prospects(context, request, now);
        if rejects_all || is_cut(context, not_before.after_ms(answer_ms)) {
            return false;
        }
        async_std::task::sleep(Duration::from_millis(MIN_WAIT_MS)).await;
    }
}

/// Returns when a call must be sent to be answered within its latency objective. A call that is already late
/// waits for [`MIN_WAIT_MS`] at most, and so does one whose replicas all reject most requests, since its send
/// would probably be rejected too. On a VM that is leaving, the call must also be answered before the exit.
fn latest_start(context: &GatewayContext, request: &CallerRequest) -> Moment {
    let now = clock::now();
    let objective_ms = request.rule.latency_objective_ms;
    let (answer_ms, rejects_all) = find_prospects(context, request, now);
    let earliest = now.after_ms(MIN_WAIT_MS);
    let start_by = if rejects_all {
        earliest
    } else {
        request
            .received_at
            .after_ms(objective_ms.saturating_sub(answer_ms))
    };
    let start_by = start_by.max(earliest).min(request.deadline);
    match context.snapshot().exit_at {
        Some(exit_at) => start_by.min(Moment(exit_at.0.saturating_sub(answer_ms))),
        None => start_by,
    }
}

/// Returns how long the request's service usually takes for a call, in milliseconds, and whether its replicas reject
/// most calls.
fn find_prospects(context: &GatewayContext, request: &CallerRequest, now: Moment) -> (u64, bool) {
    let service = &request.service;
    context.with_selector(|selector| (selector.answer_ms(service), selector.rejects_all(service, now)))
}

/// Whether this VM exits before a call that ends at this time.
fn is_cut(context: &GatewayContext, ends_at: Moment) -> bool {
    let exit_at = context.snapshot().exit_at;
    exit_at.is_some_and(|exit_at| ends_at > exit_at)
}

/// Sends a request with its permit, which is returned if no byte of the request was sent.
pub async fn exchange_permitted(
    context: &GatewayContext,
    request: UpstreamRequest<'_>,
    permit: Option<&RatePermit>,
) -> Result<UpstreamAnswer, ExchangeError> {
    let set_used = |is_used| permit.into_iter().for_each(|permit| permit.set_used(is_used));
    set_used(true);
    let outcome = exchange(context, request).await;
    if outcome.as_ref().is_err_and(ExchangeError::is_unsent) {
        set_used(false);
    }
    outcome
}

/// Builds the refusal of a call whose replicas have no capacity left within their rate limits; `None` if none
/// of them reports a limit.
pub fn rate_limited_notice(context: &GatewayContext, request: &CallerRequest) -> Option<RefusalNotice> {
    let caller = RefusedCaller {
        request_id: &request.facts.id,
        deadline: request.deadline,
        vm_count: context.snapshot().live_vms.len(),
    };
    let now = clock::now();
    let retry_ms =
        context.with_selector(|selector| selector.plan_retry_ms(&request.service, &caller, now))?;
    let notice = RefusalNotice::new(ResultCode::RateLimited, request.service.to_string());
    Some(notice.retry_after_ms(retry_ms))
}

/// Outcome of a request for a permit, as counted in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// A permit was granted.
    Granted,
    /// No permit was granted.
    Refused,
}

impl PermitDecision {
    /// Returns the word used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Refused => "refused",
        }
    }
}
