//! Selects the replica of a plain service for a call: the fewest calls in flight, weighted by recent latency.

use std::sync::Arc;

use super::Reply;
use super::retry_budget::RetryBudget;
use crate::prelude::*;

/// How long a replica that failed gets no calls, in milliseconds.
const FAILED_REPLICA_BACKOFF_MS: u64 = 1_000;

/// The Retry-After of a refusal for a spent retry budget or a service without usable replicas, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The latency assumed for a replica that has not answered yet, in microseconds; also the lower bound on the
/// latency of others when costs are compared.
const DEFAULT_LATENCY_US: u64 = 1_000;

/// A call's request for a replica of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRequest {
    /// The workspace of the caller, whose retry budget applies.
    pub workspace: Arc<str>,
    /// The name of the plain service.
    pub service: Arc<str>,
    /// Replicas that this call has already tried.
    pub avoid: Vec<Arc<str>>,
    /// Whether this is a retry, which the workspace's retry budget must cover.
    pub is_retry: bool,
}

/// The outcome of a call to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceResult {
    /// The replica answered after this many microseconds.
    Answered(u64),
    /// The connection could not be opened, or was closed before the answer.
    Failed,
    /// The call was abandoned after this many microseconds without an answer.
    Abandoned(u64),
}

/// Selects replicas of plain services and records how they answer.
#[derive(Debug, Default)]
pub struct ServiceController {
    budget: RetryBudget,
}

impl ServiceController {
    fn choose(&mut self, request: &ServiceRequest, context: &mut ControlContext<'_>) -> Reply {
        if !request.is_retry {
            self.budget.earn(&request.workspace);
        } else if !self.budget.spend(&request.workspace) {
            let notice = RefusalNotice::new(ResultCode::RetryBudgetSpent, request.workspace.to_string());
            return Reply::Refused(notice.retry_after_ms(RETRY_AFTER_MS));
        }
        let register = context.board.register.register.clone();
        let chosen = register
            .replicas(&request.service)
            .filter(|replica| context.board.is_usable(replica, context.now))
            .filter(|replica| !request.avoid.iter().any(|name| **name == *replica.name))
            .min_by_key(|replica| Self::cost(replica, context));
        let Some(replica) = chosen else {
            let notice = RefusalNotice::new(ResultCode::NoUpstream, request.service.to_string());
            return Reply::Refused(notice.retry_after_ms(RETRY_AFTER_MS));
        };
        let name: Arc<str> = replica.name.as_str().into();
        context.board.upstream_mut(&name).in_flight += 1;
        Reply::Replica(name)
    }

    fn cost(replica: &Upstream, context: &ControlContext<'_>) -> (u64, u64) {
        let facts = context.board.upstreams.get(replica.name.as_str());
        let in_flight = facts.map_or(0, |facts| u64::from(facts.in_flight));
        let latency_us = facts
            .map_or(0, |facts| facts.mean_latency_us)
            .max(DEFAULT_LATENCY_US);
        let tie_break = super::rendezvous::weight(&context.board.own.name, &replica.name);
        ((in_flight + 1) * latency_us, tie_break)
    }

    fn finish(&self, replica: &Arc<str>, result: ServiceResult, context: &mut ControlContext<'_>) {
        let facts = context.board.upstream_mut(replica);
        facts.in_flight = facts.in_flight.saturating_sub(1);
        match result {
            ServiceResult::Answered(elapsed_us) => {
                facts.mean_latency_us = smooth(facts.mean_latency_us, elapsed_us);
                facts.down_until = None;
            }
            ServiceResult::Abandoned(elapsed_us) => {
                facts.mean_latency_us = facts.mean_latency_us.max(elapsed_us)
            }
            ServiceResult::Failed => facts.down_until = Some(context.now.after_ms(FAILED_REPLICA_BACKOFF_MS)),
        }
    }
}

/// An exponential moving average with a smoothing factor of one quarter; a mean of zero counts as unknown.
pub fn smooth(mean: u64, newest: u64) -> u64 {
    match mean {
        0 => newest,
        mean => (3 * mean + newest) / 4,
    }
}

impl Controller for ServiceController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[EventKind::ServiceWanted, EventKind::ServiceDone]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::ServiceWanted { ticket, request } => {
                let reply = self.choose(request, context);
                context.actions.push(Action::Reply {
                    ticket: *ticket,
                    reply,
                });
            }
            Event::ServiceDone { replica, result } => self.finish(replica, *result, context),
            _ => {}
        }
    }
}
