//! Leaving without cutting a request: stop being named, outlive the answers given, hand off, exit.

use crate::blackboard::DrainFacts;
use crate::prelude::*;

/// How long handed-off outcomes get to leave the process, in milliseconds.
const HANDOFF_FLUSH_MS: u64 = 500;

/// Time between two looks at what is still active while the node leaves, in milliseconds.
const DRAIN_TICK_MS: u64 = 50;

/// Runs the drain of this node.
#[derive(Debug, Default)]
pub struct DrainController {
    exit_ordered: bool,
}

impl DrainController {
    fn begin(&self, facts: DrainFacts, turn: &mut Turn<'_>) {
        if turn.board.drain.is_some() {
            return;
        }
        turn.board.drain = Some(facts);
        turn.publish();
        turn.actions.push(Action::Log(format!(
            "event=drain_begun accept_ms={}",
            turn.now.until_ms(facts.accept_until)
        )));
        turn.send_to_neighbors(&turn.heartbeat(false));
    }

    fn advance(&mut self, active_requests: u64, turn: &mut Turn<'_>) {
        let Some(facts) = &mut turn.board.drain else {
            return;
        };
        let is_idle = active_requests == 0 && turn.now.reached(facts.accept_until);
        let Some(handoff_at) = facts.handoff_at else {
            if is_idle || turn.now.reached(facts.exit_at) {
                facts.handoff_at = Some(turn.now);
                turn.actions.push(Action::Log(format!(
                    "event=drain_handoff active_requests={active_requests}"
                )));
            }
            return;
        };
        if !self.exit_ordered && turn.now.reached(handoff_at.after_ms(HANDOFF_FLUSH_MS)) {
            self.exit_ordered = true;
            turn.actions.push(Action::Log(format!(
                "event=drain_ended active_requests={active_requests}"
            )));
            turn.actions.push(Action::Exit);
        }
    }
}

impl Controller for DrainController {
    fn hears(&self) -> &'static [EventKind] {
        &[EventKind::Tick, EventKind::LeaveOrdered]
    }

    fn handle(&mut self, event: &Event, turn: &mut Turn<'_>) {
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
                self.begin(facts, turn);
            }
            Event::Tick { active_requests } => self.advance(*active_requests, turn),
            _ => {}
        }
    }

    fn wake_at(&self, board: &Blackboard, now: Moment) -> Option<Moment> {
        board.drain.map(|_| now.after_ms(DRAIN_TICK_MS))
    }
}
