//! Graceful shutdown: the node is removed from resolve answers, waits until those already given expire and
//! its requests are complete, hands off the outcomes of its idempotency keys, and exits.

use crate::blackboard::DrainFacts;
use crate::prelude::*;

/// How long the process waits after the handoff for its messages to be sent, in milliseconds.
const HANDOFF_FLUSH_MS: u64 = 500;

/// Time between two checks of the requests still in progress during the drain, in milliseconds.
const DRAIN_TICK_INTERVAL_MS: u64 = 50;

/// Runs the drain of this node.
#[derive(Debug, Default)]
pub struct DrainController {
    is_exit_ordered: bool,
}

impl DrainController {
    fn begin(&self, facts: DrainFacts, context: &mut ControlContext<'_>) {
        if context.board.drain.is_some() {
            return;
        }
        context.board.drain = Some(facts);
        context.publish();
        context.actions.push(Action::Log(format!(
            "event=drain_begun accept_ms={}",
            context.now.until_ms(facts.accept_until)
        )));
        context.send_to_neighbors(&context.heartbeat(false));
    }

    fn advance(&mut self, active_requests: u64, context: &mut ControlContext<'_>) {
        let Some(facts) = &mut context.board.drain else {
            return;
        };
        let is_idle = active_requests == 0 && context.now.reached(facts.accept_until);
        let Some(handoff_at) = facts.handoff_at else {
            if is_idle || context.now.reached(facts.exit_at) {
                facts.handoff_at = Some(context.now);
                context.actions.push(Action::Log(format!(
                    "event=drain_handoff active_requests={active_requests}"
                )));
            }
            return;
        };
        if !self.is_exit_ordered && context.now.reached(handoff_at.after_ms(HANDOFF_FLUSH_MS)) {
            self.is_exit_ordered = true;
            context.actions.push(Action::Log(format!(
                "event=drain_ended active_requests={active_requests}"
            )));
            context.actions.push(Action::Exit);
        }
    }
}

impl Controller for DrainController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[EventKind::Tick, EventKind::LeaveOrdered]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::LeaveOrdered {
                accept_until,
                exit_at,
            } => {
                let facts = DrainFacts {
                    accept_until: *accept_until,
                    exit_at: *exit_at,
                    handoff_at: None,
                };
                self.begin(facts, context);
            }
            Event::Tick { active_requests } => self.advance(*active_requests, context),
            _ => {}
        }
    }

    fn wake_at(&self, board: &Blackboard, now: Moment) -> Option<Moment> {
        board.drain.map(|_| now.after_ms(DRAIN_TICK_INTERVAL_MS))
    }
}
