//! Membership and failure detection of entry VMs: gossiped introductions and suspicions, a VM list if one is
//! published, and heartbeats between neighbors on a ring.

mod views;

use super::comparison::DigestComparison;
use super::message::{MemberView, PeerMessage, VmIntroduction};
use crate::blackboard::Incarnation;
use crate::prelude::*;

/// The interval between probes of a peer, and between attempts to reach suspected VMs again, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 1_000;

/// How long a probed peer may be silent before it is suspected, in milliseconds: time for two retransmissions
/// of a packet.
pub const SILENCE_LIMIT_MS: u64 = 1_500;

/// How long a probed peer may be silent before the probe is repeated over a new link, in milliseconds. A
/// connection can go silent for good although the VMs at both its ends run.
const RELINK_AFTER_MS: u64 = 700;

/// Peers that answer over new links within this time count as having had silent links together, in
/// milliseconds.
const RELINK_WINDOW_MS: u64 = 1_500;

/// How long a suspicion of a VM on the published list lasts without new evidence, in milliseconds.
pub const SUSPICION_MS: u64 = 3_000;

/// How long a suspected VM that is on no list is kept, in milliseconds.
const UNLISTED_SUSPICION_MS: u64 = 30_000;

/// Keeps the board's table of VMs and whether each is alive.
#[derive(Debug, Default)]
pub struct MembershipController {
    next_probe: Moment,
    retry_cursor: usize,
    probes_sent: FastMap<VmName, SentProbe>,
    /// When peers last answered a probe over a new link only.
    relinked_at: FastMap<VmName, Moment>,
    /// Decides when this process requests the tables that other VMs keep.
    comparison: DigestComparison<MemberView>,
    /// The first VM that this process had a link with; `None` before that.
    seed: Option<VmName>,
}

/// A probe that was not answered yet.
#[derive(Clone, Copy, Debug)]
struct SentProbe {
    sent_at: Moment,
    /// Whether it was repeated over a new link.
    is_relinked: bool,
}

impl SentProbe {
    fn new(now: Moment) -> Self {
        Self {
            sent_at: now,
            is_relinked: false,
        }
    }

    /// When the probe is repeated over a new link, or the peer is suspected after that.
    fn due_at(&self) -> Moment {
        let span_ms = if self.is_relinked {
            SILENCE_LIMIT_MS
        } else {
            RELINK_AFTER_MS
        };
        self.sent_at.after_ms(span_ms)
    }
}

impl MembershipController {
    fn apply_list(&self, listed: &[VmRecord], context: &mut ControlContext<'_>) {
        for vm in context.board.vms.iter_mut() {
            vm.listed = false;
        }
        for entry in listed.iter().filter(|vm| vm.name != context.board.own.name) {
            if context.board.vms.get(&entry.name).is_none() {
                context.board.vms.insert(entry.clone());
            }
            let Some(vm) = context.board.vms.get_mut(&entry.name) else {
                continue;
            };
            let is_replaced = vm.peer_address != entry.peer_address;
            vm.listed = true;
            vm.zone = entry.zone.clone();
            vm.caller_address = entry.caller_address.clone();
            vm.peer_address = entry.peer_address.clone();
            vm.leaving |= entry.leaving;
            if is_replaced {
                vm.leaving = entry.leaving;
                vm.suspected_until = None;
            }
        }
        context
            .board
            .vms
            .retain(|vm| vm.listed || vm.last_message_at.is_some());
        context.publish();
    }

    /// Handles the introduction that a VM sends on a new link.
    fn handle_introduction(&mut self, introduction: &VmIntroduction, context: &mut ControlContext<'_>) {
        if introduction.name == context.board.own.name {
            return;
        }
        if context.board.vms.is_empty() {
            self.seed = Some(introduction.name.clone());
        }
        let known = context.board.vms.get(&introduction.name);
        let is_new = known.is_none_or(|vm| {
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
        if !is_new {
            return;
        }
        if is_first {
            self.send_neighbors(introduction, context);
        }
        // Both ends send a heartbeat, which carries a digest of the VMs they know.
        context.send_to(&introduction.name, context.heartbeat(false));
        if is_first {
            context.log(format!(
                "event=vm_joined vm={} zone={} incarnation={:032x}",
                introduction.name, introduction.zone, introduction.incarnation
            ));
        }
        context.send_to_alternate_neighbors(&PeerMessage::VmsKnown(vec![introduction.clone()]));
    }

    /// Handles introductions that a peer forwards of VMs it believes alive.
    fn merge_introductions(&mut self, introductions: &[VmIntroduction], context: &mut ControlContext<'_>) {
        let mut updates = Vec::new();
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
                updates.push(introduction.clone());
            }
        }
        if updates.is_empty() {
            return;
        }
        context.publish();
        if !self.comparison.has_asked() {
            // A new process immediately probes the neighbors that its seed introduced.
            self.next_probe = context.now;
        }
        // Nodes that miss a new VM learn of it later from a comparison of views. A VM that leaves or refutes
        // a suspicion is urgent, since callers are waiting.
        let is_urgent = updates.iter().any(|update| update.leaving || update.renewal > 0);
        let message = PeerMessage::VmsKnown(updates);
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
        !self.was_heard_recently(known, context) && introduction.started_epoch_ms > known.started_epoch_ms
    }

    fn was_heard_recently(&self, vm: &VmRecord, context: &ControlContext<'_>) -> bool {
        vm.last_message_at
            .is_some_and(|at| !context.now.reached(at.after_ms(SILENCE_LIMIT_MS)))
    }

    fn record_contact(&mut self, from: &VmName, incarnation: Incarnation, context: &mut ControlContext<'_>) {
        let Some(known) = context.board.vms.get(from) else {
            return;
        };
        let is_unchanged = known.incarnation == Some(incarnation) && known.suspected_until.is_none();
        let answered = self.probes_sent.remove(from);
        if answered.is_some_and(|probe| probe.is_relinked) {
            self.record_relink(from, context);
        }
        context.board.vms.record_message(from, context.now);
        if is_unchanged {
            return;
        }
        let Some(vm) = context.board.vms.get_mut(from) else {
            return;
        };
        vm.incarnation = Some(incarnation);
        if vm.suspected_until.take().is_some() {
            let suspicion = suspicion_message(vm);
            context.log(format!("event=vm_trusted vm={from}"));
            context.publish();
            // The VM may not know that others were sent this suspicion; only the VM itself can refute it
            // everywhere.
            context.send_to(from, suspicion);
        }
    }

    /// Records that a peer answered over a new link after its old one had been silent. If that holds for at least
    /// half of the neighbors, this node's other connections may be silent too.
    fn record_relink(&mut self, from: &VmName, context: &mut ControlContext<'_>) {
        let now = context.now;
        self.relinked_at
            .retain(|_, at| !now.reached(at.after_ms(RELINK_WINDOW_MS)));
        self.relinked_at.insert(from.clone(), now);
        if self.relinked_at.len() * 2 >= context.board.live_view(now).neighbors.len() {
            context.board.links_silent_at = Some(now);
            context.publish();
        }
    }

    /// Repeats the probes of silent peers over new links.
    fn relink_silent(&mut self, context: &mut ControlContext<'_>) {
        let now = context.now;
        let heartbeat = context.heartbeat(true);
        let due = self
            .probes_sent
            .iter_mut()
            .filter(|(_, probe)| !probe.is_relinked && now.reached(probe.due_at()));
        for (name, probe) in due {
            probe.is_relinked = true;
            context.actions.push(Action::ResetLink { vm: name.clone() });
            context.send_to(name, heartbeat.clone());
        }
    }

    fn handle_heartbeat(
        &self,
        from: &VmName,
        leaving: bool,
        wants_echo: bool,
        context: &mut ControlContext<'_>,
    ) {
        let is_new = leaving && context.board.vms.get(from).is_some_and(|vm| !vm.leaving);
        if is_new && let Some(vm) = context.board.vms.get_mut(from) {
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

    /// Suspects a VM of being dead because this node can't reach it, and sends the suspicion to neighbors.
    fn suspect(&mut self, name: &VmName, context: &mut ControlContext<'_>) {
        self.probes_sent.remove(name);
        let Some(vm) = context.board.vms.get(name) else {
            return;
        };
        let was_live = vm.is_live(context.now);
        let suspicion = suspicion_message(vm);
        self.mark_suspected(name, context);
        if !was_live {
            return;
        }
        context.actions.push(Action::ResetLink { vm: name.clone() });
        context.log(format!("event=vm_suspected vm={name} source=own"));
        context.send_to_neighbors(&suspicion);
    }

    /// Probes a peer whose link has just closed: if its process has exited, the new link is refused at once.
    fn probe_lost_link(&mut self, name: &VmName, context: &mut ControlContext<'_>) {
        let is_live = context
            .board
            .vms
            .get(name)
            .is_some_and(|vm| vm.is_live(context.now) && !vm.leaving);
        if is_live {
            let probe = SentProbe::new(context.now);
            self.probes_sent.entry(name.clone()).or_insert(probe);
            context.send_to(name, context.heartbeat(true));
        }
    }

    fn mark_suspected(&self, name: &VmName, context: &mut ControlContext<'_>) {
        if let Some(vm) = context.board.vms.get_mut(name) {
            let span_ms = if vm.listed {
                SUSPICION_MS
            } else {
                UNLISTED_SUSPICION_MS
            };
            vm.suspected_until = Some(context.now.after_ms(span_ms));
            context.publish();
        }
    }

    /// Handles a peer's suspicion of a VM; ignored if this node has recently heard from the VM itself.
    fn handle_suspicion(
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
        if self.was_heard_recently(vm, context) || is_other_process || is_refuted || !vm.is_live(context.now)
        {
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

    /// Refutes a suspicion of this process with a higher renewal number.
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
            .filter(|(_, probe)| context.now.reached(probe.sent_at.after_ms(SILENCE_LIMIT_MS)))
            .map(|(name, _)| name.clone())
            .collect();
        let covers_most = |context: &ControlContext<'_>| {
            silent.len() * 2 >= context.board.live_view(context.now).neighbors.len()
        };
        if !silent.is_empty() && covers_most(context) {
            context.board.links_silent_at = Some(context.now);
        }
        for name in silent {
            self.suspect(&name, context);
        }
        self.relink_silent(context);
        if context.now.reached(self.next_probe) {
            self.next_probe = context.now.after_ms(PROBE_INTERVAL_MS);
            self.drop_expired(context);
            self.retry_suspected(context);
            let heartbeat = context.heartbeat(true);
            for name in context.board.live_view(context.now).neighbors.iter() {
                let probe = SentProbe::new(context.now);
                self.probes_sent.entry(name.clone()).or_insert(probe);
                context.send_to(name, heartbeat.clone());
            }
        }
    }

    /// Probes the suspected VMs in rotation, so that the two sides of a healed partition find each other.
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
        self.retry_cursor += 1;
        let name = &suspected[self.retry_cursor % suspected.len()];
        context.send_to(name, context.heartbeat(true));
    }

    fn drop_expired(&mut self, context: &mut ControlContext<'_>) {
        context
            .board
            .vms
            .retain(|vm| vm.listed || vm.suspected_until.is_none() || !vm.is_live(context.now));
    }
}

/// The message that reports a suspicion of a VM to other VMs.
fn suspicion_message(vm: &VmRecord) -> PeerMessage {
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
            Event::VmsListed { vms } => self.apply_list(vms, context),
            Event::PeerJoined { introduction } => self.handle_introduction(introduction, context),
            Event::PeerUnreachable { vm } => self.suspect(vm, context),
            Event::LinkLost { vm } => self.probe_lost_link(vm, context),
            Event::PeerMessage {
                from,
                incarnation,
                message,
            } => {
                self.record_contact(from, *incarnation, context);
                match message {
                    PeerMessage::Heartbeat {
                        leaving,
                        wants_echo,
                        view,
                        ..
                    } => {
                        self.handle_heartbeat(from, *leaving, *wants_echo, context);
                        self.compare_views(from, *view, context);
                    }
                    PeerMessage::VmSuspected {
                        vm,
                        incarnation,
                        renewal,
                    } => {
                        self.handle_suspicion(vm, *incarnation, *renewal, context);
                    }
                    PeerMessage::VmsKnown(introductions) => self.merge_introductions(introductions, context),
                    PeerMessage::VmsWanted => {
                        self.send_live_vms(from, context);
                        self.send_suspicions(from, context);
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }

    fn wake_at(&self, _board: &Blackboard, _now: Moment) -> Option<Moment> {
        let silences = self.probes_sent.values().map(SentProbe::due_at);
        silences.chain([self.next_probe]).min()
    }
}
