//! Queries of death: a request that was running on two upstreams as they died is held back for a while.

use std::sync::Arc;

use super::message::PeerMessage;
use crate::blackboard::Fingerprint;
use crate::prelude::*;

/// How many upstreams must have died under a request before it is held back.
const STRIKES_TO_HOLD: usize = 2;

/// How long strikes count and a hold lasts, in milliseconds.
pub const HOLD_MS: u64 = 60_000;

/// How long an engine that died is passed over, in milliseconds.
const DEAD_MS: u64 = 2_000;

/// Counts strikes and keeps the board's suspects and holds.
#[derive(Debug, Default)]
pub struct QuarantineController {
    strikes: FastMap<Fingerprint, FastSet<(Arc<str>, u64)>>,
}

impl QuarantineController {
    /// Notes one death; whether it was news. `source` says who saw it.
    fn strike(
        &mut self,
        fingerprint: Fingerprint,
        upstream: &Arc<str>,
        boot: u64,
        source: &str,
        turn: &mut Turn<'_>,
    ) -> bool {
        let deaths = self.strikes.entry(fingerprint).or_default();
        if !deaths.insert((upstream.clone(), boot)) {
            return false;
        }
        turn.log(format!(
            "event=request_struck fingerprint={fingerprint:016x} upstream={upstream} start={boot} source={source} strikes={}",
            deaths.len()
        ));
        // An engine that has just died gets nothing until it has had time to come back.
        turn.board.upstream_mut(upstream).down_until = Some(turn.now.after_ms(DEAD_MS));
        let until = turn.now.after_ms(HOLD_MS);
        turn.board.suspects.insert(fingerprint, until);
        if deaths.len() >= STRIKES_TO_HOLD {
            turn.board.quarantine.insert(fingerprint, until);
            turn.actions.push(Action::Log(format!(
                "event=request_quarantined fingerprint={fingerprint:016x}"
            )));
            turn.publish();
        }
        true
    }

    fn clear(&mut self, fingerprint: Fingerprint, source: &str, turn: &mut Turn<'_>) -> bool {
        self.strikes.remove(&fingerprint);
        let is_news = turn.board.suspects.remove(&fingerprint).is_some();
        if is_news {
            turn.log(format!(
                "event=request_cleared fingerprint={fingerprint:016x} source={source}"
            ));
        }
        is_news
    }

    fn forget(&mut self, turn: &mut Turn<'_>) {
        if turn.board.suspects.is_empty() && turn.board.quarantine.is_empty() {
            return;
        }
        turn.board
            .suspects
            .retain(|_, deadline| !turn.now.reached(*deadline));
        turn.board
            .quarantine
            .retain(|_, deadline| !turn.now.reached(*deadline));
        self.strikes
            .retain(|fingerprint, _| turn.board.suspects.contains_key(fingerprint));
    }
}

impl QuarantineController {
    /// Notes a death; what is news is passed on.
    fn take_death(
        &mut self,
        fingerprint: Fingerprint,
        upstream: &Arc<str>,
        boot: u64,
        source: &str,
        turn: &mut Turn<'_>,
    ) {
        if self.strike(fingerprint, upstream, boot, source, turn) {
            turn.send_to_neighbors(&PeerMessage::Strike {
                fingerprint,
                upstream: upstream.clone(),
                boot,
            });
        }
    }

    /// Clears a request that ran to its end; what is news is passed on.
    fn take_completion(&mut self, fingerprint: Fingerprint, source: &str, turn: &mut Turn<'_>) {
        if self.clear(fingerprint, source, turn) {
            turn.send_to_neighbors(&PeerMessage::Cleared { fingerprint });
        }
    }
}

impl Controller for QuarantineController {
    fn handle(&mut self, event: &Event, turn: &mut Turn<'_>) {
        match event {
            Event::Tick { .. } => self.forget(turn),
            Event::RequestDied {
                fingerprint,
                upstream,
                boot,
            } => self.take_death(*fingerprint, upstream, *boot, "own", turn),
            Event::RequestCompleted { fingerprint } => self.take_completion(*fingerprint, "own", turn),
            Event::PeerMessage { from, message, .. } => match message {
                PeerMessage::Strike {
                    fingerprint,
                    upstream,
                    boot,
                } => {
                    self.take_death(*fingerprint, upstream, *boot, from, turn);
                }
                PeerMessage::Cleared { fingerprint } => self.take_completion(*fingerprint, from, turn),
                _ => {}
            },
            _ => {}
        }
    }

    fn wake_at(&self, board: &Blackboard, _now: Moment) -> Option<Moment> {
        let ends = board.suspects.values().chain(board.quarantine.values());
        ends.min().copied()
    }
}
