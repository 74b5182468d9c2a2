//! Which entry VMs are alive: what they say of themselves and of each other, a VM list where one is published, and
//! heartbeats on a ring.

mod views;

use super::comparison::DigestComparison;
use super::message::{MemberView, PeerMessage, VmIntroduction};
use crate::blackboard::Incarnation;
use crate::prelude::*;

/// Time between two probes of a peer, and between two attempts to reach a suspected one again, in milliseconds.
pub const PROBE_EVERY_MS: u64 = 1_000;

/// How long a probed peer may be silent before it is suspected, in milliseconds: a packet that is sent again twice.
pub const SILENCE_LIMIT_MS: u64 = 1_500;

/// How long a suspicion of a VM on a published list lasts without new evidence, in milliseconds.
pub const SUSPICION_MS: u64 = 3_000;

/// How long a suspected VM that no list names is remembered, in milliseconds.
const UNLISTED_LIMIT_MS: u64 = 30_000;

/// Keeps the board's VMs.
#[derive(Debug, Default)]
pub struct MembershipController {
    next_probe: Moment,
    retries: usize,
    probes_sent: FastMap<VmName, Moment>,
    /// When this process asks others for all that they know.
    comparison: DigestComparison<MemberView>,
    /// The VM over which this process found the others.
    seed: Option<VmName>,
}

impl MembershipController {
    fn take_list(&self, listed: &[VmRecord], context: &mut ControlContext<'_>) {
        for vm in context.board.vms.iter_mut() {
            vm.listed = false;
        }
        for fresh in listed.iter().filter(|vm| vm.name != context.board.own.name) {
            if context.board.vms.get(&fresh.name).is_none() {
                context.board.vms.insert(fresh.clone());
            }
            let Some(vm) = context.board.vms.get_mut(&fresh.name) else {
                continue;
            };
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
        context
            .board
            .vms
            .retain(|vm| vm.listed || vm.last_message_at.is_some());
        context.publish();
    }

    /// Takes what a VM says of itself on a new link.
    fn join(&mut self, introduction: &VmIntroduction, context: &mut ControlContext<'_>) {
        if introduction.name == context.board.own.name {
            return;
        }
        if context.board.vms.is_empty() {
            self.seed = Some(introduction.name.clone());
        }
        let known = context.board.vms.get(&introduction.name);
        let is_news = known.is_none_or(|vm| {
            vm.incarnation != Some(introduction.incarnation)
                || !vm.is_live(context.now)
                || vm.last_message_at.is_none()
        });
        let is_first = known.is_none_or(|vm| vm.incarnation != Some(introduction.incarnation));
        let mut vm = introduction.to_record();
        vm.listed = known.is_some_and(|vm| vm.listed);
        vm.last_message_at = Some(context.now);
        context.board.vms.insert(vm);
        context.publish();
        if !is_news {
            return;
        }
        if is_first {
            self.tell_neighbors(introduction, context);
        }
        // Each end shows the other whom it knows.
        context.send_to(&introduction.name, context.heartbeat(false));
        if is_first {
            context.log(format!(
                "event=vm_joined vm={} zone={} incarnation={:032x}",
                introduction.name, introduction.zone, introduction.incarnation
            ));
        }
        context.send_to_alternate_neighbors(&PeerMessage::VmsKnown(vec![introduction.clone()]));
    }

    /// Takes a peer's word for which VMs are alive.
    fn take_known(&mut self, introductions: &[VmIntroduction], context: &mut ControlContext<'_>) {
        let mut news = Vec::new();
        for introduction in introductions {
            if introduction.name != context.board.own.name && self.is_newer(introduction, context) {
                let listed = context
                    .board
                    .vms
                    .get(&introduction.name)
                    .is_some_and(|vm| vm.listed);
                let mut vm = introduction.to_record();
                vm.listed = listed;
                context.board.vms.insert(vm);
                news.push(introduction.clone());
            }
        }
        if news.is_empty() {
            return;
        }
        context.publish();
        if !self.comparison.has_asked() {
            // The neighbors that a seed has told of are met at once.
            self.next_probe = context.now;
        }
        // Views that lack a new VM are made up later; a leaving or a contradicted one has callers waiting.
        let is_urgent = news.iter().any(|news| news.leaving || news.renewal > 0);
        let message = PeerMessage::VmsKnown(news);
        if is_urgent {
            context.send_to_neighbors(&message);
        } else {
            context.send_to_alternate_neighbors(&message);
        }
    }

    fn is_newer(&self, introduction: &VmIntroduction, context: &ControlContext<'_>) -> bool {
        let Some(known) = context.board.vms.get(&introduction.name) else {
            return true;
        };
        if known.incarnation == Some(introduction.incarnation) {
            return introduction.renewal > known.renewal || (introduction.leaving && !known.leaving);
        }
        !self.is_heard_lately(known, context) && introduction.started_epoch_ms > known.started_epoch_ms
    }

    fn is_heard_lately(&self, vm: &VmRecord, context: &ControlContext<'_>) -> bool {
        vm.last_message_at
            .is_some_and(|at| !context.now.reached(at.after_ms(SILENCE_LIMIT_MS)))
    }

    fn hear(&mut self, from: &VmName, incarnation: Incarnation, context: &mut ControlContext<'_>) {
        let Some(known) = context.board.vms.get(from) else {
            return;
        };
        let is_as_known = known.incarnation == Some(incarnation) && known.suspected_until.is_none();
        self.probes_sent.remove(from);
        context.board.vms.record_message(from, context.now);
        if is_as_known {
            return;
        }
        let Some(vm) = context.board.vms.get_mut(from) else {
            return;
        };
        vm.incarnation = Some(incarnation);
        if vm.suspected_until.take().is_some() {
            let suspicion = to_suspicion(vm);
            context.log(format!("event=vm_trusted vm={from}"));
            context.publish();
            // It may not know that others were told of its death; only its own word contradicts that everywhere.
            context.send_to(from, suspicion);
        }
    }

    fn heartbeat(&self, from: &VmName, leaving: bool, wants_echo: bool, context: &mut ControlContext<'_>) {
        let is_news = leaving && context.board.vms.get(from).is_some_and(|vm| !vm.leaving);
        if is_news && let Some(vm) = context.board.vms.get_mut(from) {
            vm.leaving = true;
            let introduction = VmIntroduction::from_record(vm);
            context.publish();
            if let Some(introduction) = introduction {
                context.send_to_neighbors(&PeerMessage::VmsKnown(vec![introduction]));
            }
        }
        if wants_echo {
            let echo = context.heartbeat(false);
            context.send_to(from, echo);
        }
    }

    /// Takes a VM for dead, on own evidence.
    fn suspect(&mut self, name: &VmName, context: &mut ControlContext<'_>) {
        self.probes_sent.remove(name);
        let Some(vm) = context.board.vms.get(name) else {
            return;
        };
        let was_live = vm.is_live(context.now);
        let suspicion = to_suspicion(vm);
        self.mark_suspected(name, context);
        if !was_live {
            return;
        }
        context.actions.push(Action::ResetLink { vm: name.clone() });
        context.log(format!("event=vm_suspected vm={name} source=own"));
        context.send_to_neighbors(&suspicion);
    }

    /// Sends to a peer whose link has just ended: a process that ended refuses the new link at once.
    fn try_again(&mut self, name: &VmName, context: &mut ControlContext<'_>) {
        let is_live = context
            .board
            .vms
            .get(name)
            .is_some_and(|vm| vm.is_live(context.now) && !vm.leaving);
        if is_live {
            self.probes_sent.entry(name.clone()).or_insert(context.now);
            context.send_to(name, context.heartbeat(true));
        }
    }

    fn mark_suspected(&self, name: &VmName, context: &mut ControlContext<'_>) {
        if let Some(vm) = context.board.vms.get_mut(name) {
            let span_ms = if vm.listed {
                SUSPICION_MS
            } else {
                UNLISTED_LIMIT_MS
            };
            vm.suspected_until = Some(context.now.after_ms(span_ms));
            context.publish();
        }
    }

    /// Takes a peer's word that a VM is dead, unless this node heard the VM lately itself.
    fn take_suspicion(
        &self,
        name: &VmName,
        incarnation: Incarnation,
        renewal: u32,
        context: &mut ControlContext<'_>,
    ) {
        if *name == context.board.own.name {
            self.refute(incarnation, renewal, context);
            return;
        }
        let Some(vm) = context.board.vms.get(name) else {
            return;
        };
        let is_other_process = vm.incarnation.is_some_and(|known| known != incarnation);
        let is_refuted = vm.renewal > renewal;
        if self.is_heard_lately(vm, context) || is_other_process || is_refuted || !vm.is_live(context.now) {
            return;
        }
        self.mark_suspected(name, context);
        context.log(format!("event=vm_suspected vm={name} source=peer"));
        let message = PeerMessage::VmSuspected {
            vm: name.clone(),
            incarnation,
            renewal,
        };
        context.send_to_neighbors(&message);
    }

    /// Contradicts a suspicion of this process.
    fn refute(&self, incarnation: Incarnation, renewal: u32, context: &mut ControlContext<'_>) {
        if incarnation != context.board.own.incarnation || renewal < context.board.renewal {
            return;
        }
        context.board.renewal = renewal + 1;
        context.log(format!(
            "event=suspicion_refuted renewal={}",
            context.board.renewal
        ));
        context.publish();
        let introduction = context.board.introduction();
        context.send_to_neighbors(&PeerMessage::VmsKnown(vec![introduction]));
    }

    fn probe(&mut self, context: &mut ControlContext<'_>) {
        let silent: Vec<VmName> = self
            .probes_sent
            .iter()
            .filter(|(_, sent_at)| context.now.reached(sent_at.after_ms(SILENCE_LIMIT_MS)))
            .map(|(name, _)| name.clone())
            .collect();
        let is_most = |context: &ControlContext<'_>| {
            silent.len() * 2 >= context.board.live_view(context.now).neighbors.len()
        };
        if !silent.is_empty() && is_most(context) {
            context.board.links_silent_at = Some(context.now);
        }
        for name in silent {
            self.suspect(&name, context);
        }
        if context.now.reached(self.next_probe) {
            self.next_probe = context.now.after_ms(PROBE_EVERY_MS);
            self.forget_gone(context);
            self.retry_suspected(context);
            let heartbeat = context.heartbeat(true);
            for name in context.board.live_view(context.now).neighbors.iter() {
                self.probes_sent.entry(name.clone()).or_insert(context.now);
                context.send_to(name, heartbeat.clone());
            }
        }
    }

    /// Tries one suspected VM after the other, so that the two sides of a healed partition find each other.
    fn retry_suspected(&mut self, context: &mut ControlContext<'_>) {
        let mut suspected: Vec<VmName> = context
            .board
            .vms
            .iter()
            .filter(|vm| !vm.is_live(context.now))
            .map(|vm| vm.name.clone())
            .collect();
        if suspected.is_empty() {
            return;
        }
        suspected.sort_unstable();
        self.retries += 1;
        let name = &suspected[self.retries % suspected.len()];
        context.send_to(name, context.heartbeat(true));
    }

    fn forget_gone(&mut self, context: &mut ControlContext<'_>) {
        context
            .board
            .vms
            .retain(|vm| vm.listed || vm.suspected_until.is_none() || !vm.is_live(context.now));
    }
}

/// What tells others that a VM is taken for dead.
fn to_suspicion(vm: &VmRecord) -> PeerMessage {
    PeerMessage::VmSuspected {
        vm: vm.name.clone(),
        incarnation: vm.incarnation.unwrap_or_default(),
        renewal: vm.renewal,
    }
}

impl Controller for MembershipController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[
            EventKind::Tick,
            EventKind::VmsListed,
            EventKind::PeerJoined,
            EventKind::PeerUnreachable,
            EventKind::LinkLost,
            EventKind::PeerMessage,
        ]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::Tick { .. } => self.probe(context),
            Event::VmsListed { vms } => self.take_list(vms, context),
            Event::PeerJoined { introduction } => self.join(introduction, context),
            Event::PeerUnreachable { vm } => self.suspect(vm, context),
            Event::LinkLost { vm } => self.try_again(vm, context),
            Event::PeerMessage {
                from,
                incarnation,
                message,
            } => {
                self.hear(from, *incarnation, context);
                match message {
                    PeerMessage::Heartbeat {
                        leaving,
                        wants_echo,
                        view,
                        ..
                    } => {
                        self.heartbeat(from, *leaving, *wants_echo, context);
                        self.compare_views(from, *view, context);
                    }
                    PeerMessage::VmSuspected {
                        vm,
                        incarnation,
                        renewal,
                    } => {
                        self.take_suspicion(vm, *incarnation, *renewal, context);
                    }
                    PeerMessage::VmsKnown(introductions) => self.take_known(introductions, context),
                    PeerMessage::VmsWanted => {
                        self.tell_all_known(from, context);
                        self.tell_suspects(from, context);
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }

    fn wake_at(&self, _board: &Blackboard, _now: Moment) -> Option<Moment> {
        let silences = self
            .probes_sent
            .values()
            .map(|sent_at| sent_at.after_ms(SILENCE_LIMIT_MS));
        silences.chain([self.next_probe]).min()
    }
}
