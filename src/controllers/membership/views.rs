//! How nodes whose views of the VMs differ make them up.

use std::cmp::Ordering;

use super::{MembershipController, to_suspicion};
use crate::controllers::message::{MemberView, PeerMessage, VmIntroduction};
use crate::controllers::ring::neighbors_of;
use crate::prelude::*;

impl MembershipController {
    /// Asks a VM that knows more VMs, or others, for all that it knows. One is asked at a time, and only neighbors on the
    /// ring: a seed would else be asked by all that begin together.
    pub(super) fn compare_views(&mut self, from: &VmName, view: MemberView, turn: &mut Turn<'_>) {
        let own = turn.board.live_view(turn.now).member_view;
        let is_behind = match view.count.cmp(&own.count) {
            Ordering::Greater => true,
            Ordering::Equal => view.digest != own.digest,
            Ordering::Less => false,
        };
        let may_ask = is_behind && self.is_asked(from, turn);
        if !self.comparison.should_ask(own, may_ask, turn.now) {
            return;
        }
        self.tell_suspects(from, turn);
        turn.send_to(from, PeerMessage::VmsWanted);
    }

    /// Whether a VM may be asked for all that it knows: a neighbor, but not the seed by a process that has just begun and
    /// knows another neighbor.
    fn is_asked(&self, vm: &VmName, turn: &Turn<'_>) -> bool {
        let neighbors = &turn.board.live_view(turn.now).neighbors;
        let is_free = self.comparison.has_asked() || neighbors.len() == 1 || self.seed.as_ref() != Some(vm);
        neighbors.contains(vm) && is_free
    }

    /// Tells a VM that has just begun of its neighbors on the ring, with whom it then compares views.
    pub(super) fn tell_neighbors(&self, introduction: &VmIntroduction, turn: &mut Turn<'_>) {
        let others = turn.board.live_peers(turn.now);
        let names = neighbors_of(&introduction.zone, &introduction.name, others);
        let vms = names.iter().filter_map(|name| turn.board.vms.get(name));
        let neighbors: Vec<VmIntroduction> = vms.filter_map(VmIntroduction::of_record).collect();
        if !neighbors.is_empty() {
            turn.send_to(&introduction.name, PeerMessage::VmsKnown(neighbors));
        }
    }

    /// Tells a VM of all that are taken for dead: it may have been frozen, or cut off, as the others were told. The latest
    /// process of each goes before, since a suspicion counts only for the process that it names.
    pub(super) fn tell_suspects(&self, to: &VmName, turn: &mut Turn<'_>) {
        let suspects = turn.board.vms.iter();
        let (introductions, suspicions): (Vec<VmIntroduction>, Vec<PeerMessage>) = suspects
            .filter(|vm| vm.name != *to && !vm.is_live(turn.now))
            .filter_map(|vm| Some((VmIntroduction::of_record(vm)?, to_suspicion(vm))))
            .unzip();
        if introductions.is_empty() {
            return;
        }
        turn.send_to(to, PeerMessage::VmsKnown(introductions));
        for suspicion in suspicions {
            turn.send_to(to, suspicion);
        }
    }

    /// Tells a VM of all that are taken for alive.
    pub(super) fn tell_all_known(&self, to: &VmName, turn: &mut Turn<'_>) {
        let known: Vec<VmIntroduction> = turn
            .board
            .live_peers(turn.now)
            .filter(|vm| vm.name != *to)
            .filter_map(VmIntroduction::of_record)
            .collect();
        if !known.is_empty() {
            turn.send_to(to, PeerMessage::VmsKnown(known));
        }
    }
}
