//! Charges the extra sends of one request to the retry budget.

use super::GatewayContext;
use super::exchange::CallerRequest;
use crate::clock;

/// Number of extra sends of one request that are charged to the budget.
#[derive(Debug, Default)]
pub(super) struct BudgetCharges {
    count: u32,
}

impl BudgetCharges {
    /// Charges one more send to the budget; false if the budget is spent.
    pub fn charge(&mut self, context: &GatewayContext, request: &CallerRequest) -> bool {
        let is_covered = charge_budget(context, request);
        self.count += u32::from(is_covered);
        is_covered
    }

    /// Returns the charges beyond the number of extra sends that were made.
    pub fn refund_unused(&mut self, context: &GatewayContext, request: &CallerRequest, sent: u32) {
        let unused = self.count.saturating_sub(sent);
        self.count -= unused;
        refund_budget(context, request, unused);
    }
}

/// Charges an extra send of a request to the budget; false if the budget is spent.
fn charge_budget(context: &GatewayContext, request: &CallerRequest) -> bool {
    let sharers = context.slack_sharers();
    let decision = context.budget().take(&request.service, sharers, clock::now());
    let (extra, allowed, vms) = (decision.extra, decision.allowed, sharers.unwrap_or_default());
    if decision.is_covered {
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
    decision.is_covered
}

/// Returns the charges for extra sends that were not made.
fn refund_budget(context: &GatewayContext, request: &CallerRequest, count: u32) {
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
