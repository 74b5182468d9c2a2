//! How many VMs share what all of them may use together, also while this one sees but a part of them.

use crate::prelude::*;

/// How long a VM counts after it was last alive here, in milliseconds: regions part for minutes, and a VM that is cut off
/// goes on serving its own side.
const KEPT_MS: u64 = 3_600_000;

/// How long one counts that has left in order, in milliseconds: some windows of what it may have used.
const LEFT_KEPT_MS: u64 = 60_000;

/// Time between two counts, in milliseconds.
const COUNT_EVERY_MS: u64 = 1_000;

/// Counts the VMs that may be running.
#[derive(Debug, Default)]
pub struct CensusController {
    /// Until when each other VM counts.
    counts_until: FastMap<VmName, Moment>,
    next_count: Moment,
}

impl CensusController {
    fn count(&mut self, turn: &mut Turn<'_>) {
        for vm in turn.board.live_view(turn.now).peers() {
            let kept_ms = if vm.leaving { LEFT_KEPT_MS } else { KEPT_MS };
            self.counts_until
                .insert(vm.name.clone(), turn.now.after_ms(kept_ms));
        }
        self.counts_until.retain(|_, until| !turn.now.reached(*until));
        let member_count = self.counts_until.len() + 1;
        if turn.board.member_count != member_count {
            turn.board.member_count = member_count;
            turn.publish();
        }
    }
}

impl Controller for CensusController {
    fn hears(&self) -> &'static [EventKind] {
        &[EventKind::Tick, EventKind::PeerJoined, EventKind::PeerMessage]
    }

    fn handle(&mut self, event: &Event, turn: &mut Turn<'_>) {
        let is_due = matches!(event, Event::Tick { .. }) && turn.now.reached(self.next_count);
        // A process that has just met others shares with them at once.
        let has_met = turn.board.live_view(turn.now).vms.len() > turn.board.member_count;
        if is_due || has_met {
            self.next_count = turn.now.after_ms(COUNT_EVERY_MS);
            self.count(turn);
        }
    }

    fn wake_at(&self, _board: &Blackboard, _now: Moment) -> Option<Moment> {
        Some(self.next_count)
    }
}
