//! Charges requests to their workspaces' quotas, and builds the refusal if there is no quota left.

use std::future::Future;

use super::GatewayContext;
use super::exchange::CallerRequest;
use super::upstream::ExchangeError;
use crate::clock;
use crate::prelude::*;
use crate::runtime::{QuotaPermit, QuotaRefusal};

/// Retry-After if no owner of a quota answered, in milliseconds: the time in which the VMs find the next owner.
const NO_OWNER_RETRY_MS: u64 = 700;

/// Charges a request to its workspace's quota. The tokens are returned when the request is dropped, unless it
/// reached a replica. A request without a quota sends no message and takes no lock.
pub async fn charge_request(context: &GatewayContext, request: &CallerRequest) -> Result<(), RefusalNotice> {
    let Some(workspace) = &request.workspace else {
        return Ok(());
    };
    let Some(quota) = &workspace.quota else {
        return Ok(());
    };
    let tokens = quota.cost(request.facts.prompt_tokens, request.facts.output_tokens);
    let requested_at = clock::now();
    match QuotaPermit::acquire(&context.control, &workspace.name, tokens).await {
        Ok(permit) => {
            let elapsed_ms = requested_at.until_ms(clock::now());
            spdlog::info!(
                "event=quota_granted request={} workspace={} tokens={tokens} owner={} elapsed_ms={elapsed_ms}",
                request.facts.id,
                workspace.name,
                permit.grant().owner
            );
            context
                .metrics
                .count_quota(&workspace.name, QuotaDecision::Granted, tokens);
            context.metrics.record_quota_wait(elapsed_ms);
            // A request is charged once, so the cell is empty.
            let _ = request.quota.set(permit);
            Ok(())
        }
        Err(refusal) => {
            let (code, decision, retry_ms) = match refusal {
                QuotaRefusal::Exceeded { retry_at } => (
                    ResultCode::QuotaExceeded,
                    QuotaDecision::Exceeded,
                    clock::now().until_ms(retry_at),
                ),
                QuotaRefusal::Unavailable => (
                    ResultCode::QuotaUnavailable,
                    QuotaDecision::Unavailable,
                    NO_OWNER_RETRY_MS,
                ),
            };
            spdlog::info!(
                "event=quota_refused request={} workspace={} tokens={tokens} reason={} retry_ms={retry_ms} \
                 elapsed_ms={}",
                request.facts.id,
                workspace.name,
                decision.as_str(),
                requested_at.until_ms(clock::now())
            );
            context.metrics.count_quota(&workspace.name, decision, tokens);
            Err(RefusalNotice::new(code, workspace.name.to_string()).retry_after_ms(retry_ms))
        }
    }
}

/// Runs a send of a request, which uses its tokens unless no byte of it leaves. A send that is abandoned may
/// have reached the replica.
pub async fn count_quota_send<T>(
    request: &CallerRequest,
    send: impl Future<Output = Result<T, ExchangeError>>,
) -> Result<T, ExchangeError> {
    let Some(permit) = request.quota.get() else {
        return send.await;
    };
    permit.begin_send();
    let outcome = send.await;
    if outcome.as_ref().is_err_and(ExchangeError::is_unsent) {
        permit.withdraw_send();
    }
    outcome
}

/// Outcome of a charge to a quota, as counted in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The tokens were granted.
    Granted,
    /// The quota is used up.
    Exceeded,
    /// No owner of the quota answered.
    Unavailable,
}

impl QuotaDecision {
    /// Returns the word used in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Exceeded => "exceeded",
            Self::Unavailable => "unavailable",
        }
    }
}
