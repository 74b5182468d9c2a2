//! Decides which configuration is in force: the highest accepted revision, never an earlier one.

use std::collections::VecDeque;
use std::sync::Arc;

use super::RegisterSource;
use super::message::PeerMessage;
use super::readers::longest_watch_ms;
use crate::blackboard::{Fingerprint, OfferOutcome, RefusedRevision, hash_parts};
use crate::event_log::to_quoted_value;
use crate::prelude::*;
use crate::register::{RegisterParser, parse_register};

/// How long a revision counts as confirmed once the service or a peer reported the same, in milliseconds.
pub const CONFIRMATION_MS: u64 = 10_000;

/// How long to wait for a peer's content before asking the next peer, in milliseconds.
const CONTENT_WAIT_MS: u64 = 200;

/// Maximum number of peers that are remembered as sources of the wanted revision.
const MAX_SOURCES: usize = 4;

/// How much longer than the longest timeout of a watch a read by this node counts as current, in
/// milliseconds.
const READ_MARGIN_MS: u64 = 2_000;

/// How long a node that watches the service waits for its own read before it asks a peer for a later
/// revision, in milliseconds: the store notifies all watchers at about the same time.
const OWN_READ_WAIT_MS: u64 = 60;

/// How long a new process delays the service's first offer in case a peer has a higher revision,
/// in milliseconds.
const FIRST_OFFER_DELAY_MS: u64 = 500;

/// Maximum number of refused contents that are remembered, so that they are not parsed again at each read.
const MAX_REFUSED: usize = 16;

/// How long peers are not asked for a revision after content from one of them was refused, in milliseconds.
const REFUSED_BACKOFF_MS: u64 = 10_000;

/// A register that was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RefusedContent {
    revision: Revision,
    digest: Fingerprint,
    /// When peers may be asked for this revision again.
    ask_at: Moment,
}

/// The service's first offer to a new process, not yet considered.
#[derive(Debug)]
struct DelayedOffer {
    stamp: RegisterStamp,
    text: RegisterText,
    until: Moment,
}

/// Accepts or refuses offered registers and exchanges them with peers.
#[derive(Debug)]
pub struct RevisionController {
    parse: RegisterParser,
    first_offer_delay_ms: u64,
    /// The service's first offer, while a peer may still report a higher revision.
    delayed: Option<DelayedOffer>,
    /// Refused registers, the latest last. Each one blocks only the same content of the same revision.
    refused: VecDeque<RefusedContent>,
    /// The latest register that a peer reported.
    wanted: RegisterStamp,
    /// Peers that have the wanted register, in the order in which they are asked.
    sources: VecDeque<VmName>,
    /// When to ask the next peer; `None` means at once.
    ask_next_at: Option<Moment>,
}

impl Default for RevisionController {
    fn default() -> Self {
        Self::new(parse_register, FIRST_OFFER_DELAY_MS)
    }
}

impl RevisionController {
    /// A controller for registers in the format of `parse`. The service's first offer is delayed, since the
    /// service may be stale; with a delay of zero it is considered at once.
    pub fn new(parse: RegisterParser, first_offer_delay_ms: u64) -> Self {
        Self {
            parse,
            first_offer_delay_ms,
            delayed: None,
            refused: VecDeque::new(),
            wanted: RegisterStamp::default(),
            sources: VecDeque::new(),
            ask_next_at: None,
        }
    }

    /// Handles an offer of the service; the first one is delayed, since the service may be stale.
    fn receive_service_offer(
        &mut self,
        stamp: RegisterStamp,
        text: &RegisterText,
        context: &mut ControlContext<'_>,
    ) {
        if context.board.register.revision > 0 || self.first_offer_delay_ms == 0 {
            self.offer(stamp, text, &RegisterSource::Service, context);
            return;
        }
        let until = context.now.after_ms(self.first_offer_delay_ms);
        let until = self
            .delayed
            .as_ref()
            .map_or(until, |delayed| delayed.until.min(until));
        self.delayed = Some(DelayedOffer {
            stamp,
            text: text.clone(),
            until,
        });
    }

    /// Considers the delayed offer once its delay is over or a peer reports a revision that is not higher.
    fn release_delayed(&mut self, peer_revision: Option<Revision>, context: &mut ControlContext<'_>) {
        let Some(delayed) = &self.delayed else {
            return;
        };
        let is_confirmed_by_peer =
            peer_revision.is_some_and(|revision| revision > 0 && revision <= delayed.stamp.revision);
        if !is_confirmed_by_peer && !context.now.reached(delayed.until) {
            return;
        }
        if let Some(delayed) = self.delayed.take() {
            self.offer(delayed.stamp, &delayed.text, &RegisterSource::Service, context);
        }
    }

    fn offer(
        &mut self,
        stamp: RegisterStamp,
        text: &RegisterText,
        source: &RegisterSource,
        context: &mut ControlContext<'_>,
    ) {
        let revision = stamp.revision;
        let facts = &mut context.board.register;
        // Time since the previous register was last confirmed; the new one was published within this time.
        let unconfirmed_ms = facts.fresh_until.until_ms(context.now.after_ms(CONFIRMATION_MS));
        if *source == RegisterSource::Service && revision >= facts.revision {
            facts.fresh_until = context.now.after_ms(CONFIRMATION_MS);
        }
        facts.newest_offered = facts.newest_offered.max(revision);
        if revision == facts.revision && *text == facts.text {
            facts.written = facts.written.max(stamp.written);
            facts.offers.record(OfferOutcome::Known);
            return;
        }
        let digest = hash_parts(&[text.as_bytes()]);
        let is_refused = |refused: &RefusedContent| (refused.revision, refused.digest) == (revision, digest);
        if stamp <= facts.stamp() || self.refused.iter().any(is_refused) {
            self.record_ignored(stamp, source, context);
            return;
        }
        if is_ambiguous(stamp, context.board.register.stamp()) {
            self.record_refused(stamp, digest, source, context);
            self.record_ignored(stamp, source, context);
            return;
        }
        match (self.parse)(text) {
            Ok(register) => {
                let facts = &mut context.board.register;
                let previous = facts.revision;
                facts.offers.record(OfferOutcome::Accepted);
                facts.accepted_at = context.now;
                facts.revision = revision;
                facts.written = stamp.written;
                facts.register = Arc::new(register);
                facts.text = text.clone();
                facts.refused = None;
                facts.fresh_until = context.now.after_ms(CONFIRMATION_MS);
                self.refused.retain(|refused| refused.revision > revision);
                if stamp >= self.wanted {
                    self.clear_wanted();
                }
                context.log(format!(
                    "event=register_accepted revision={revision} previous={previous} written={} source={source:?} \
                     unconfirmed_ms={unconfirmed_ms}",
                    stamp.written
                ));
                // Neighbors learn of the new revision at once, not with the next probe.
                context.send_to_neighbors(&context.heartbeat(false));
            }
            Err(report) => {
                let reasons = report.to_string();
                let first = reasons.lines().next().unwrap_or_default();
                context.log(format!(
                    "event=register_refused revision={revision} in_force={} source={source:?} faults={} first=\"{}\"",
                    context.board.register.revision,
                    report.faults.len(),
                    to_quoted_value(first)
                ));
                self.record_refused(stamp, digest, source, context);
                context.board.register.offers.record(OfferOutcome::Refused);
                context.board.register.refused = Some(RefusedRevision { revision, reasons });
            }
        }
        context.publish();
    }

    /// Remembers a refused content. If a peer sent it, no peer is asked for that revision for a while.
    fn record_refused(
        &mut self,
        stamp: RegisterStamp,
        digest: Fingerprint,
        source: &RegisterSource,
        context: &ControlContext<'_>,
    ) {
        let ask_at = match source {
            RegisterSource::Service => context.now,
            RegisterSource::Peer(_) => context.now.after_ms(REFUSED_BACKOFF_MS),
        };
        if self.refused.len() >= MAX_REFUSED {
            self.refused.pop_front();
        }
        self.refused.push_back(RefusedContent {
            revision: stamp.revision,
            digest,
            ask_at,
        });
        if *source != RegisterSource::Service && stamp >= self.wanted {
            self.clear_wanted();
        }
    }

    fn clear_wanted(&mut self) {
        self.wanted = RegisterStamp::default();
        self.sources.clear();
        self.ask_next_at = None;
    }

    /// Records an offer that is no newer than the register in force or was refused before.
    fn record_ignored(
        &self,
        stamp: RegisterStamp,
        source: &RegisterSource,
        context: &mut ControlContext<'_>,
    ) {
        let facts = &mut context.board.register;
        facts.offers.record(OfferOutcome::PassedOver);
        let (revision, in_force) = (stamp.revision, facts.revision);
        context.log(format!(
            "event=register_passed_over revision={revision} written={} in_force={in_force} source={source:?}",
            stamp.written
        ));
        context.publish();
    }

    fn record_unreadable(&self, reason: &str, context: &mut ControlContext<'_>) {
        let facts = &mut context.board.register;
        facts.offers.record(OfferOutcome::Unreadable);
        let in_force = facts.revision;
        context.log(format!(
            "event=register_unreadable in_force={in_force} reason=\"{}\"",
            to_quoted_value(reason)
        ));
        context.publish();
    }

    fn learn_revision(&mut self, peer: &VmName, stamp: RegisterStamp, context: &mut ControlContext<'_>) {
        let revision = stamp.revision;
        if revision == context.board.register.revision && revision > 0 {
            context.board.register.fresh_until = context.now.after_ms(CONFIRMATION_MS);
        }
        let is_paused =
            |refused: &RefusedContent| refused.revision == revision && !context.now.reached(refused.ask_at);
        let is_useful = stamp > context.board.register.stamp() && stamp >= self.wanted;
        if !is_useful || self.refused.iter().any(is_paused) {
            return;
        }
        if stamp > self.wanted {
            self.wanted = stamp;
            self.sources.clear();
            self.ask_next_at = None;
        }
        if self.sources.is_empty() && !context.now.reached(context.board.register.read_until) {
            self.ask_next_at = Some(context.now.after_ms(OWN_READ_WAIT_MS));
        }
        if !self.sources.contains(peer) && self.sources.len() < MAX_SOURCES {
            self.sources.push_back(peer.clone());
        }
        self.ask_source(context);
    }

    /// Records whether this node can read the service itself.
    fn set_reachable(&self, is_reachable: bool, context: &mut ControlContext<'_>) {
        let live_vms = context.board.live_view(context.now).vms.len();
        let valid_ms = longest_watch_ms(live_vms) + READ_MARGIN_MS;
        let facts = &mut context.board.register;
        if is_reachable {
            facts.read_until = context.now.after_ms(valid_ms);
            let Some(since) = facts.source_lost_at.take() else {
                return;
            };
            let (revision, outage_ms) = (facts.revision, since.until_ms(context.now));
            context.log(format!(
                "event=config_source_regained revision={revision} outage_ms={outage_ms}"
            ));
        } else if facts.source_lost_at.is_none() {
            facts.read_until = context.now;
            facts.source_lost_at = Some(context.now);
            let revision = facts.revision;
            context.log(format!("event=config_source_lost revision={revision}"));
        } else {
            return;
        }
        context.publish();
    }

    /// Requests the wanted content from the next peer, unless one was asked recently.
    fn ask_source(&mut self, context: &mut ControlContext<'_>) {
        let is_waiting = self.ask_next_at.is_some_and(|until| !context.now.reached(until));
        if is_waiting || self.wanted <= context.board.register.stamp() {
            return;
        }
        let Some(peer) = self.sources.pop_front() else {
            return;
        };
        self.ask_next_at = Some(context.now.after_ms(CONTENT_WAIT_MS));
        let message = PeerMessage::RegisterWanted { stamp: self.wanted };
        context.send_to(&peer, message);
        self.sources.push_back(peer);
    }

    fn send_content(&self, peer: &VmName, wanted: RegisterStamp, context: &mut ControlContext<'_>) {
        let facts = &context.board.register;
        if facts.stamp() < wanted || facts.revision == 0 {
            return;
        }
        let message = PeerMessage::RegisterContent {
            stamp: facts.stamp(),
            text: facts.text.clone(),
        };
        context.send_to(peer, message);
    }
}

/// Whether an offer has the revision number in force and was read in a later era of the store. Its content may come
/// from the older copy, so that only a higher number shows that it is newer.
fn is_ambiguous(offered: RegisterStamp, in_force: RegisterStamp) -> bool {
    let (offered_era, known_era) = (offered.written.era(), in_force.written.era());
    offered.revision == in_force.revision && known_era.is_known() && offered_era > known_era
}

impl Controller for RevisionController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[
            EventKind::Tick,
            EventKind::RegisterOffered,
            EventKind::RegisterUnreadable,
            EventKind::RegisterConfirmed,
            EventKind::ConfigReachable,
            EventKind::PeerJoined,
            EventKind::PeerMessage,
        ]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::RegisterOffered { stamp, text, source } => match source {
                RegisterSource::Service => self.receive_service_offer(*stamp, text, context),
                RegisterSource::Peer(_) => self.offer(*stamp, text, source, context),
            },
            Event::RegisterUnreadable { reason } => self.record_unreadable(reason, context),
            Event::Tick { .. } => {
                self.release_delayed(None, context);
                self.ask_source(context);
            }
            Event::RegisterConfirmed { revision } if *revision == context.board.register.revision => {
                context.board.register.fresh_until = context.now.after_ms(CONFIRMATION_MS);
            }
            Event::ConfigReachable { is_reachable } => self.set_reachable(*is_reachable, context),
            Event::PeerJoined { introduction } => {
                self.release_delayed(Some(introduction.revision), context);
                self.learn_revision(
                    &introduction.name,
                    RegisterStamp::from_revision(introduction.revision),
                    context,
                );
            }
            Event::PeerMessage { from, message, .. } => match message {
                PeerMessage::Heartbeat { stamp, .. } | PeerMessage::ProofAnswer { stamp, .. } => {
                    self.learn_revision(from, *stamp, context)
                }
                PeerMessage::RegisterWanted { stamp } => self.send_content(from, *stamp, context),
                PeerMessage::RegisterContent { stamp, text } => {
                    let source = RegisterSource::Peer(from.clone());
                    self.offer(*stamp, text, &source, context);
                }
                _ => {}
            },
            _ => {}
        }
    }

    fn wake_at(&self, board: &Blackboard, now: Moment) -> Option<Moment> {
        let delayed = self.delayed.as_ref().map(|delayed| delayed.until);
        let is_content_wanted = self.wanted > board.register.stamp() && !self.sources.is_empty();
        let wanted = is_content_wanted.then_some(self.ask_next_at.unwrap_or(now));
        delayed.into_iter().chain(wanted).min()
    }
}
