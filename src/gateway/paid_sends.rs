//! The extra sends of one request that the retry budget covers.

use super::GatewayContext;
use super::exchange::CallerRequest;
use crate::clock;

/// Extra sends of one request that were taken from the budget.
#[derive(Debug, Default)]
pub(super) struct PaidSends {
    count: u32,
}

impl PaidSends {
    /// Takes one more from the budget; whether it is covered.
    pub fn pay(&mut self, context: &GatewayContext, request: &CallerRequest) -> bool {
        let is_covered = take_budget(context, request);
        self.count += u32::from(is_covered);
        is_covered
    }

    /// Gives back what did not go out, by the extra sends that did.
    pub fn settle(&mut self, context: &GatewayContext, request: &CallerRequest, sent: u32) {
        let unused = self.count.saturating_sub(sent);
        self.count -= unused;
        return_budget(context, request, unused);
    }
}

/// Takes one extra send of a request from the budget; whether it is covered.
fn take_budget(context: &GatewayContext, request: &CallerRequest) -> bool {
    let sharers = context.reserve_sharers();
    let verdict = context.budget().take(&request.service, sharers, clock::now());
    let (extra, allowed, vms) = (verdict.extra, verdict.allowed, sharers.unwrap_or_default());
    if verdict.is_covered {
        context.metrics.count_budget_taken();
        spdlog::info!(
            "event=extra_send request={} service={} extra={extra} allowed={allowed:.1} vms={vms}",
            request.facts.id,
            request.service
        );
    } else {
        context.metrics.count_denied_send();
        spdlog::error!(
            "event=retry_denied request={} reason=budget extra={extra} allowed={allowed:.1} vms={vms}",
            request.facts.id
        );
    }
    verdict.is_covered
}

/// Gives extra sends of a request back to the budget that did not go out.
fn return_budget(context: &GatewayContext, request: &CallerRequest, count: u32) {
    if count == 0 {
        return;
    }
    context.budget().give_back(&request.service, count, clock::now());
    context.metrics.count_budget_returned(count);
    spdlog::info!(
        "event=extra_returned request={} service={} count={count}",
        request.facts.id,
        request.service
    );
}
