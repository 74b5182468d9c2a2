//! Which entry VMs are alive: the VM list, and heartbeats with a few peers.

use super::message::{PeerMessage, VmIntroduction};
use super::rendezvous::pick_few;
use crate::blackboard::Incarnation;
use crate::prelude::*;

/// How many peers a node probes, whatever the size of the deployment.
const PROBE_FANOUT: usize = 4;

/// Time between two probes of a peer, in milliseconds.
pub const PROBE_EVERY_MS: u64 = 500;

/// How long a probed peer may be silent before it is suspected, in milliseconds.
pub const SILENCE_LIMIT_MS: u64 = 1_500;

/// How long a suspicion lasts without new evidence, in milliseconds.
pub const SUSPICION_MS: u64 = 3_000;

/// How long a VM that no list names is remembered after it was last heard, in milliseconds.
const UNLISTED_LIMIT_MS: u64 = 30_000;

/// Keeps the board's VMs.
#[derive(Debug, Default)]
pub struct MembershipController {
    next_probe: Moment,
    probes_sent: FastMap<VmAddress, Moment>,
}

impl MembershipController {
    fn take_list(&self, listed: &[VmRecord], turn: &mut Turn<'_>) {
        for vm in turn.board.vms.values_mut() {
            vm.listed = false;
        }
        for fresh in listed.iter().filter(|vm| vm.name != turn.board.own.name) {
            let vm = turn
                .board
                .vms
                .entry(fresh.name.clone())
                .or_insert_with(|| fresh.clone());
            let is_replaced = vm.peer_address != fresh.peer_address;
            vm.listed = true;
            vm.zone = fresh.zone.clone();
            vm.caller_address = fresh.caller_address.clone();
            vm.peer_address = fresh.peer_address.clone();
            vm.leaving |= fresh.leaving;
            if is_replaced {
                vm.leaving = fresh.leaving;
                vm.suspected_until = None;
            }
        }
        turn.board.vms.retain(|_, vm| vm.listed || vm.heard_at.is_some());
        turn.publish();
    }

    fn join(&self, introduction: &VmIntroduction, turn: &mut Turn<'_>) {
        if introduction.name == turn.board.own.name {
            return;
        }
        let listed = turn.board.vms.get(&introduction.name).is_some_and(|vm| vm.listed);
        let vm = VmRecord {
            name: introduction.name.clone(),
            zone: introduction.zone.clone(),
            caller_address: introduction.caller_address.clone(),
            peer_address: introduction.peer_address.clone(),
            leaving: introduction.leaving,
            listed,
            incarnation: Some(introduction.incarnation),
            suspected_until: None,
            heard_at: Some(turn.now),
        };
        turn.board.vms.insert(vm.name.clone(), vm);
        turn.publish();
    }

    fn hear(&mut self, from: &VmAddress, incarnation: Incarnation, turn: &mut Turn<'_>) {
        let Some(vm) = turn.board.vms.get_mut(from) else {
            return;
        };
        vm.incarnation = Some(incarnation);
        vm.heard_at = Some(turn.now);
        self.probes_sent.remove(from);
        if vm.suspected_until.take().is_some() {
            turn.publish();
        }
    }

    fn heartbeat(&self, from: &VmAddress, leaving: bool, wants_echo: bool, turn: &mut Turn<'_>) {
        let Some(vm) = turn.board.vms.get_mut(from) else {
            return;
        };
        let is_news = leaving && !vm.leaving;
        vm.leaving |= leaving;
        if is_news {
            turn.publish();
        }
        if wants_echo {
            let echo = turn.heartbeat(false);
            turn.send_to(from, echo);
        }
    }

    /// Takes a VM for dead, on own evidence.
    fn suspect(&mut self, name: &VmAddress, turn: &mut Turn<'_>) {
        self.probes_sent.remove(name);
        let Some(vm) = turn.board.vms.get_mut(name) else {
            return;
        };
        let was_live = vm.is_live(turn.now);
        vm.suspected_until = Some(turn.now.after_ms(SUSPICION_MS));
        let incarnation = vm.incarnation.unwrap_or_default();
        if !was_live {
            return;
        }
        turn.publish();
        turn.actions.push(Action::ResetLink { vm: name.clone() });
        turn.actions
            .push(Action::Log(format!("event=vm_suspected vm={name}")));
        let message = PeerMessage::VmSuspected {
            vm: name.clone(),
            incarnation,
        };
        turn.broadcast(&message);
    }

    /// Takes a peer's word that a VM is dead, unless this node heard the VM lately itself.
    fn take_suspicion(&self, name: &VmAddress, incarnation: Incarnation, turn: &mut Turn<'_>) {
        let Some(vm) = turn.board.vms.get_mut(name) else {
            return;
        };
        let heard_lately = vm
            .heard_at
            .is_some_and(|at| !turn.now.reached(at.after_ms(SILENCE_LIMIT_MS)));
        let is_other_process = vm.incarnation.is_some_and(|known| known != incarnation);
        if heard_lately || is_other_process || !vm.is_live(turn.now) {
            return;
        }
        vm.suspected_until = Some(turn.now.after_ms(SUSPICION_MS));
        turn.publish();
    }

    fn probe(&mut self, turn: &mut Turn<'_>) {
        let silent: Vec<VmAddress> = self
            .probes_sent
            .iter()
            .filter(|(_, sent_at)| turn.now.reached(sent_at.after_ms(SILENCE_LIMIT_MS)))
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.suspect(&name, turn);
        }
        if !turn.now.reached(self.next_probe) {
            return;
        }
        self.next_probe = turn.now.after_ms(PROBE_EVERY_MS);
        self.forget_unlisted(turn);
        let own_name = turn.board.own.name.clone();
        for name in pick_few(&own_name, turn.board.vms.values(), PROBE_FANOUT) {
            self.probes_sent.entry(name.clone()).or_insert(turn.now);
            turn.send_to(&name, turn.heartbeat(true));
        }
    }

    fn forget_unlisted(&self, turn: &mut Turn<'_>) {
        turn.board.vms.retain(|_, vm| {
            let heard_lately = vm
                .heard_at
                .is_some_and(|at| !turn.now.reached(at.after_ms(UNLISTED_LIMIT_MS)));
            vm.listed || heard_lately
        });
    }
}

impl Controller for MembershipController {
    fn handle(&mut self, event: &Event, turn: &mut Turn<'_>) {
        match event {
            Event::Tick { .. } => self.probe(turn),
            Event::VmsListed { vms } => self.take_list(vms, turn),
            Event::PeerJoined { introduction } => self.join(introduction, turn),
            Event::PeerUnreachable { vm } => self.suspect(vm, turn),
            Event::PeerMessage {
                from,
                incarnation,
                message,
            } => {
                self.hear(from, *incarnation, turn);
                match message {
                    PeerMessage::Heartbeat {
                        leaving, wants_echo, ..
                    } => {
                        self.heartbeat(from, *leaving, *wants_echo, turn);
                    }
                    PeerMessage::VmSuspected { vm, incarnation } => {
                        self.take_suspicion(vm, *incarnation, turn);
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }
}
