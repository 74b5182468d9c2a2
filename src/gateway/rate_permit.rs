//! Sends to replicas that name a limit: the wait for a permit, and the refusal without one.

use std::sync::Arc;

use super::GatewayContext;
use super::exchange::CallerRequest;
use super::upstream::{ExchangeError, UpstreamAnswer, UpstreamRequest, exchange};
use crate::blackboard::ReplicaId;
use crate::clock;
use crate::controllers::dispatch::RefusedCaller;
use crate::controllers::rate_limits::PermitRequest;
use crate::prelude::*;
use crate::runtime::RatePermit;

/// How long a call waits for its turn at least, in milliseconds.
const LEAST_PATIENCE_MS: u64 = 50;

/// How long a permit can be used, in milliseconds.
const PERMIT_VALID_MS: u64 = 500;

/// How a wait for a permit ended.
pub enum PermitEnd {
    /// The request may go.
    Granted(RatePermit),
    /// There is none in time for any of the replicas.
    Refused,
    /// It came, and the process was suspended for as long as it holds.
    Expired,
}

/// Waits for leave to send a request to one of some replicas.
pub async fn acquire_permit(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    candidates: &[ReplicaId],
) -> PermitEnd {
    let asked_at = clock::now();
    let ask = PermitRequest {
        service: request.service.clone(),
        candidates: candidates.to_vec(),
        start_by: start_by(context, request),
    };
    match RatePermit::acquire(&context.control, ask).await {
        Ok(permit) => {
            let grant = permit.grant();
            context.metrics.count_permit(PermitFate::Granted);
            spdlog::info!(
                "event=permit_granted request={} replica={} owner={} wait_ms={} elapsed_ms={}",
                request.facts.id,
                grant.replica,
                grant.owner,
                clock::now().until_ms(grant.not_before),
                asked_at.until_ms(clock::now())
            );
            async_std::task::sleep(clock::now().remaining(grant.not_before)).await;
            // A process that was suspended meanwhile would use its permits together.
            let valid_until = grant.not_before.after_ms(PERMIT_VALID_MS);
            if clock::now().reached(valid_until) {
                return PermitEnd::Expired;
            }
            PermitEnd::Granted(permit)
        }
        Err(ask_again_at) => {
            context.metrics.count_permit(PermitFate::Refused);
            spdlog::info!(
                "event=permit_refused request={} service={} candidates={} pause_ms={} elapsed_ms={}",
                request.facts.id,
                request.service,
                candidates.len(),
                clock::now().until_ms(ask_again_at),
                asked_at.until_ms(clock::now())
            );
            context.with_book(|book| book.record_no_permit(candidates, ask_again_at));
            PermitEnd::Refused
        }
    }
}

/// By when a call has to go to be answered within its latency objective. One that is late already waits a little, and so does one
/// whose replicas reject most of what they are sent: its turn would most likely bring another rejection.
fn start_by(context: &GatewayContext, request: &CallerRequest) -> Moment {
    let now = clock::now();
    let objective_ms = request.rule.latency_objective_ms;
    let (answer_ms, rejects_all) = context.with_book(|book| {
        let service = &request.service;
        (book.answer_ms(service), book.rejects_all(service, now))
    });
    let least = now.after_ms(LEAST_PATIENCE_MS);
    let start_by = if rejects_all {
        least
    } else {
        request
            .received_at
            .after_ms(objective_ms.saturating_sub(answer_ms))
    };
    start_by.max(least).min(request.deadline)
}

/// Sends a request with the permit that its replica asks for; what has not left gives the permit back.
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

/// The refusal of a call whose replicas all keep to limits; `None` where none of them names one.
pub fn limited_notice(context: &GatewayContext, request: &CallerRequest) -> Option<RefusalNotice> {
    let asker = RefusedCaller {
        request_id: &request.facts.id,
        deadline: request.deadline,
        vms: context.snapshot().live_vms.len(),
    };
    let now = clock::now();
    let return_ms = context.with_book(|book| book.plan_retry_ms(&request.service, &asker, now))?;
    let notice = RefusalNotice::new(ResultCode::RateLimited, request.service.to_string());
    Some(notice.retry_after_ms(return_ms))
}

/// The outcome of an ask for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitFate {
    /// It was given.
    Granted,
    /// It was refused.
    Refused,
}

impl PermitFate {
    /// The word used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Refused => "refused",
        }
    }
}
