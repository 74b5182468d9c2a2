//! Anti-entropy between nodes whose views of the VMs differ.

use std::cmp::Ordering;

use super::{MembershipController, suspicion_message};
use crate::controllers::message::{MemberView, PeerMessage, VmIntroduction};
use crate::controllers::ring::neighbors_of;
use crate::prelude::*;

impl MembershipController {
    /// Requests all known VMs from a VM that knows more VMs than this one, or different ones. Only one
    /// neighbor on the ring is asked at a time; otherwise all nodes that start together would ask the seed.
    pub(super) fn compare_views(
        &mut self,
        from: &VmName,
        view: MemberView,
        context: &mut ControlContext<'_>,
    ) {
        let own = context.board.live_view(context.now).member_view;
        let is_behind = match view.count.cmp(&own.count) {
            Ordering::Greater => true,
            Ordering::Equal => view.digest != own.digest,
            Ordering::Less => false,
        };
        let may_ask = is_behind && self.may_be_asked(from, context);
        if !self.comparison.should_ask(own, may_ask, context.now) {
            return;
        }
        self.send_suspicions(from, context);
        context.send_to(from, PeerMessage::VmsWanted);
    }

    /// Whether a VM may be asked for all known VMs. It must be a neighbor, and a process that has just
    /// started asks its seed only if it has no other neighbor.
    fn may_be_asked(&self, vm: &VmName, context: &ControlContext<'_>) -> bool {
        let neighbors = &context.board.live_view(context.now).neighbors;
        let is_allowed =
            self.comparison.has_asked() || neighbors.len() == 1 || self.seed.as_ref() != Some(vm);
        neighbors.contains(vm) && is_allowed
    }

    /// Sends a VM that has just started its neighbors on the ring, with which it then compares views.
    pub(super) fn send_neighbors(&self, introduction: &VmIntroduction, context: &mut ControlContext<'_>) {
        let others = context.board.live_peers(context.now);
        let names = neighbors_of(&introduction.zone, &introduction.name, others);
        let vms = names.iter().filter_map(|name| context.board.vms.get(name));
        let neighbors: Vec<VmIntroduction> = vms.filter_map(VmIntroduction::from_record).collect();
        if !neighbors.is_empty() {
            context.send_to(&introduction.name, PeerMessage::VmsKnown(neighbors));
        }
    }

    /// Sends a VM all suspicions, since it may have been frozen or partitioned when they were gossiped. The
    /// introduction of each suspected process goes first, since a suspicion is valid only for the process
    /// that it names.
    pub(super) fn send_suspicions(&self, to: &VmName, context: &mut ControlContext<'_>) {
        let suspects = context.board.vms.iter();
        let (introductions, suspicions): (Vec<VmIntroduction>, Vec<PeerMessage>) = suspects
            .filter(|vm| vm.name != *to && !vm.is_live(context.now))
            .filter_map(|vm| Some((VmIntroduction::from_record(vm)?, suspicion_message(vm))))
            .unzip();
        if introductions.is_empty() {
            return;
        }
        context.send_to(to, PeerMessage::VmsKnown(introductions));
        for suspicion in suspicions {
            context.send_to(to, suspicion);
        }
    }

    /// Sends a VM the introductions of all VMs that this node believes alive.
    pub(super) fn send_live_vms(&self, to: &VmName, context: &mut ControlContext<'_>) {
        let known: Vec<VmIntroduction> = context
            .board
            .live_peers(context.now)
            .filter(|vm| vm.name != *to)
            .filter_map(VmIntroduction::from_record)
            .collect();
        if !known.is_empty() {
            context.send_to(to, PeerMessage::VmsKnown(known));
        }
    }
}
