//! Which replica of a plain service gets a call: fewest own calls in flight, weighed by recent latency.

use std::sync::Arc;

use super::Reply;
use super::retry_budget::RetryBudget;
use crate::prelude::*;

/// How long a replica that failed is passed over, in milliseconds.
const DOWN_MS: u64 = 1_000;

/// When to come back after every replica was found down, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The latency assumed for a replica that has not answered yet, in microseconds.
const UNKNOWN_PACE_US: u64 = 1_000;

/// What a call needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAsk {
    /// The customer.
    pub workspace: Arc<str>,
    /// The plain service.
    pub service: Arc<str>,
    /// Replicas that this call has tried.
    pub avoid: Vec<Arc<str>>,
    /// Whether this is another try, which the workspace's retry budget must cover.
    pub is_retry: bool,
}

/// How a call to a replica went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceResult {
    /// It answered after this many microseconds.
    Answered(u64),
    /// It can't be connected to, or broke off.
    Failed,
    /// The call was abandoned after this many microseconds without an answer.
    Abandoned(u64),
}

/// Chooses replicas of plain services.
#[derive(Debug, Default)]
pub struct ServiceController {
    budget: RetryBudget,
}

impl ServiceController {
    fn choose(&mut self, ask: &ServiceAsk, turn: &mut Turn<'_>) -> Reply {
        if !ask.is_retry {
            self.budget.earn(&ask.workspace);
        } else if !self.budget.spend(&ask.workspace) {
            let notice = RefusalNotice::new(ResultCode::RetryBudgetSpent, ask.workspace.to_string());
            return Reply::Refused(notice.retry_after_ms(RETRY_AFTER_MS));
        }
        let register = turn.board.register.register.clone();
        let chosen = register
            .replicas(&ask.service)
            .filter(|replica| turn.board.is_usable(replica, turn.now))
            .filter(|replica| !ask.avoid.iter().any(|name| **name == *replica.name))
            .min_by_key(|replica| Self::cost(replica, turn));
        let Some(replica) = chosen else {
            let notice = RefusalNotice::new(ResultCode::NoUpstream, ask.service.to_string());
            return Reply::Refused(notice.retry_after_ms(RETRY_AFTER_MS));
        };
        let name: Arc<str> = replica.name.as_str().into();
        turn.board.upstream_mut(&name).in_flight += 1;
        Reply::Replica(name)
    }

    fn cost(replica: &Upstream, turn: &Turn<'_>) -> (u64, u64) {
        let facts = turn.board.upstreams.get(replica.name.as_str());
        let in_flight = facts.map_or(0, |facts| u64::from(facts.in_flight));
        let pace = facts
            .map_or(0, |facts| facts.mean_latency_us)
            .max(UNKNOWN_PACE_US);
        let tie = super::rendezvous::weight(&turn.board.own.name, &replica.name);
        ((in_flight + 1) * pace, tie)
    }

    fn finish(&self, replica: &Arc<str>, result: ServiceResult, turn: &mut Turn<'_>) {
        let facts = turn.board.upstream_mut(replica);
        facts.in_flight = facts.in_flight.saturating_sub(1);
        match result {
            ServiceResult::Answered(elapsed_us) => {
                facts.mean_latency_us = smooth(facts.mean_latency_us, elapsed_us);
                facts.down_until = None;
            }
            ServiceResult::Abandoned(elapsed_us) => {
                facts.mean_latency_us = facts.mean_latency_us.max(elapsed_us)
            }
            ServiceResult::Failed => facts.down_until = Some(turn.now.after_ms(DOWN_MS)),
        }
    }
}

/// A moving mean in which the newest value counts for a quarter.
pub fn smooth(mean: u64, newest: u64) -> u64 {
    match mean {
        0 => newest,
        mean => (3 * mean + newest) / 4,
    }
}

impl Controller for ServiceController {
    fn hears(&self) -> &'static [EventKind] {
        &[EventKind::ServiceWanted, EventKind::ServiceDone]
    }

    fn handle(&mut self, event: &Event, turn: &mut Turn<'_>) {
        match event {
            Event::ServiceWanted { ticket, ask } => {
                let reply = self.choose(ask, turn);
                turn.actions.push(Action::Reply {
                    ticket: *ticket,
                    reply,
                });
            }
            Event::ServiceDone { replica, result } => self.finish(replica, *result, turn),
            _ => {}
        }
    }
}
