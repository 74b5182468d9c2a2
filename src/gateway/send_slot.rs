//! Slots for sends to plain services: asks the service's owner before a send unless the load is low, and builds
//! the refusal if the owner refuses the request.

use std::sync::Arc;

use super::GatewayContext;
use super::dispatch::{DispatchLease, LeaseChoice};
use super::exchange::CallerRequest;
use crate::clock;
use crate::controllers::dispatch::SelectionCriteria;
use crate::controllers::service_slots::SendRequest;
use crate::prelude::*;
use crate::runtime::{SendSlot, SlotOutcome};
use crate::transport::until;

/// What a send needs a slot for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotPurpose {
    /// A first send or a retry, which may wait.
    Send,
    /// A hedged send, which gets a slot at once or none.
    Hedge,
}

/// Result of the selection of a replica under admission control.
pub enum AdmittedChoice {
    /// A replica was selected, or replicas that need a permit were.
    Chosen(LeaseChoice),
    /// The owner refuses the request; its caller should retry at this time.
    Refused(Moment),
    /// No replica is usable.
    Unavailable,
}

/// Selects a replica for a send. With workspaces the service's owner is asked for a slot first, unless the load is
/// low or all usable replicas report rate limits, which have their own permits. If the owner does not answer in
/// time or knows no candidate, this VM selects alone.
pub async fn choose_admitted(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    criteria: &SelectionCriteria<'_>,
    purpose: SlotPurpose,
) -> AdmittedChoice {
    let choose_alone = || match DispatchLease::choose(context, criteria) {
        Some(choice) => AdmittedChoice::Chosen(choice),
        None => AdmittedChoice::Unavailable,
    };
    if context.snapshot().register.callers.is_none() || DispatchLease::needs_permit(context, criteria) {
        return choose_alone();
    }
    let asked_at = clock::now();
    if context.with_selector(|selector| selector.is_calm(&request.service, asked_at)) {
        context.metrics.count_send_slot(SlotDecision::Bypassed);
        return choose_alone();
    }
    let acquired = SendSlot::acquire(
        &context.control,
        slot_request(context, request, criteria, purpose),
    );
    let outcome = until(request.deadline, acquired).await;
    let wait_ms = asked_at.until_ms(clock::now());
    match outcome {
        Some(SlotOutcome::Granted { replica, owner, slot }) => {
            context.metrics.count_send_slot(SlotDecision::Granted);
            context.metrics.record_slot_wait(wait_ms);
            spdlog::info!(
                "event=send_slot_granted request={} replica={replica} owner={owner} elapsed_ms={wait_ms}",
                request.facts.id
            );
            match DispatchLease::reserve_granted(context, &replica, criteria) {
                Some(lease) => AdmittedChoice::Chosen(LeaseChoice::Reserved(lease.with_slot(slot))),
                None => choose_alone(),
            }
        }
        Some(SlotOutcome::Refused(retry_at)) => {
            context.metrics.count_send_slot(SlotDecision::Refused);
            spdlog::info!(
                "event=send_slot_refused request={} service={} purpose={purpose:?} pause_ms={} elapsed_ms={wait_ms}",
                request.facts.id,
                request.service,
                clock::now().until_ms(retry_at)
            );
            AdmittedChoice::Refused(retry_at)
        }
        Some(SlotOutcome::Unmanaged) => {
            context.metrics.count_send_slot(SlotDecision::Unmanaged);
            spdlog::info!(
                "event=send_slot_missing request={} service={} elapsed_ms={wait_ms}",
                request.facts.id,
                request.service
            );
            choose_alone()
        }
        None => AdmittedChoice::Unavailable,
    }
}

fn slot_request(
    context: &GatewayContext,
    request: &CallerRequest,
    criteria: &SelectionCriteria<'_>,
    purpose: SlotPurpose,
) -> SendRequest {
    let now = clock::now();
    let service = &request.service;
    let (avoid, loads) = context.with_selector(|selector| {
        let avoid = selector.avoided(criteria, now);
        (avoid, selector.take_unshared_loads(service, now))
    });
    SendRequest {
        service: service.clone(),
        rank: request.priority,
        avoid,
        objective: request
            .received_at
            .after_ms(request.rule.latency_objective_ms)
            .min(request.deadline),
        deadline: request.deadline,
        is_immediate: purpose == SlotPurpose::Hedge,
        loads,
    }
}

/// Builds the refusal of a request that the owner of its service refused.
pub fn slot_refused_notice(request: &CallerRequest, retry_at: Moment) -> RefusalNotice {
    let notice = RefusalNotice::new(ResultCode::ServiceSaturated, request.service.to_string());
    notice.retry_after_ms(clock::now().until_ms(retry_at))
}

/// What became of the selection of a replica under admission control, as counted in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// The owner granted a slot.
    Granted,
    /// The load was low, and the owner was not asked.
    Bypassed,
    /// The owner refused the request.
    Refused,
    /// The owner did not answer in time or knew no candidate.
    Unmanaged,
}

impl SlotDecision {
    /// Returns the word used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Bypassed => "bypassed",
            Self::Refused => "refused",
            Self::Unmanaged => "unmanaged",
        }
    }
}
