//! Counts the VMs that may be running, including those that this VM can't reach: limits shared by all VMs are
//! divided by this count.

use crate::prelude::*;

/// How long a VM counts after it was last seen alive, in milliseconds: network partitions last minutes, and a
/// VM that is cut off continues to serve its own side.
const SILENT_KEPT_MS: u64 = 3_600_000;

/// How long a VM counts after a graceful shutdown, in milliseconds: a few windows of the limits that it used.
const LEFT_KEPT_MS: u64 = 60_000;

/// Time between two counts, in milliseconds.
const COUNT_INTERVAL_MS: u64 = 1_000;

/// Counts the VMs that may be running.
#[derive(Debug, Default)]
pub struct MemberCountController {
    /// The time until which each other VM counts.
    counts_until: FastMap<VmName, Moment>,
    next_count_at: Moment,
}

impl MemberCountController {
    fn count(&mut self, context: &mut ControlContext<'_>) {
        for vm in context.board.live_view(context.now).peers() {
            let kept_ms = if vm.leaving { LEFT_KEPT_MS } else { SILENT_KEPT_MS };
            self.counts_until
                .insert(vm.name.clone(), context.now.after_ms(kept_ms));
        }
        self.counts_until.retain(|_, until| !context.now.reached(*until));
        let member_count = self.counts_until.len() + 1;
        if context.board.member_count != member_count {
            context.board.member_count = member_count;
            context.publish();
        }
    }
}

impl Controller for MemberCountController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[EventKind::Tick, EventKind::PeerJoined, EventKind::PeerMessage]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        let is_due = matches!(event, Event::Tick { .. }) && context.now.reached(self.next_count_at);
        // If more VMs are live than were counted, their share of the limits must be left to them at once.
        let has_new_members = context.board.live_view(context.now).vms.len() > context.board.member_count;
        if is_due || has_new_members {
            self.next_count_at = context.now.after_ms(COUNT_INTERVAL_MS);
            self.count(context);
        }
    }

    fn wake_at(&self, _board: &Blackboard, _now: Moment) -> Option<Moment> {
        Some(self.next_count_at)
    }
}
