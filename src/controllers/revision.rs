//! Which configuration is in force: the highest accepted revision seen, never an earlier one.

use std::collections::VecDeque;
use std::sync::Arc;

use super::RegisterSource;
use super::message::PeerMessage;
use super::readers::watch_range_ms;
use crate::blackboard::{Fingerprint, OfferOutcome, RefusedRevision, hash_parts};
use crate::event_log::to_phrase;
use crate::prelude::*;
use crate::register::{RegisterParser, parse_register};

/// How long a revision counts as confirmed after the service or a peer agreed with it.
pub const CONFIRMATION_MS: u64 = 10_000;

/// How long to wait for a peer's content before asking again.
const CONTENT_WAIT_MS: u64 = 200;

/// Peers that are remembered as having a wanted revision.
const SOURCE_LIMIT: usize = 4;

/// How much longer than the longest wait for news a reading of this node counts as up to date, in milliseconds.
const READ_MARGIN_MS: u64 = 2_000;

/// How long a node that reads the service itself waits for its own reading before it asks a peer that has a later revision, in
/// milliseconds: the store tells all at about the same time.
const OWN_WORD_MS: u64 = 60;

/// How long a fresh process keeps the service's first offer back for a peer to name a higher one, in milliseconds.
const FIRST_OFFER_WAIT_MS: u64 = 500;

/// Refused contents that are remembered, so that they are not parsed again each time they are read.
const REFUSED_LIMIT: usize = 16;

/// How long peers are not asked for a revision whose content was refused when one of them sent it, in milliseconds.
const REFUSED_PAUSE_MS: u64 = 10_000;

/// A content that was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RefusedContent {
    revision: Revision,
    digest: Fingerprint,
    /// From when on peers may be asked for this revision.
    ask_at: Moment,
}

/// The service's first offer to a fresh process.
#[derive(Debug)]
struct HeldOffer {
    stamp: RegisterStamp,
    text: Arc<str>,
    until: Moment,
}

/// Accepts, refuses and passes on registers.
#[derive(Debug)]
pub struct RevisionController {
    parse: RegisterParser,
    first_wait_ms: u64,
    /// The first offer, while peers may still know better.
    held: Option<HeldOffer>,
    /// What was refused, the latest last. It bars nothing but itself.
    refused: VecDeque<RefusedContent>,
    /// The latest register that a peer has named.
    wanted: RegisterStamp,
    /// Peers that have it, the next one to ask first.
    sources: VecDeque<VmName>,
    /// Until when content is on its way from a peer.
    wanted_until: Option<Moment>,
}

impl Default for RevisionController {
    fn default() -> Self {
        Self::new(parse_register, FIRST_OFFER_WAIT_MS)
    }
}

impl RevisionController {
    /// A controller for registers in the form that `parse` reads, which keeps a service's first offer back for a while
    /// where the service may be stale.
    pub fn new(parse: RegisterParser, first_wait_ms: u64) -> Self {
        Self {
            parse,
            first_wait_ms,
            held: None,
            refused: VecDeque::new(),
            wanted: RegisterStamp::default(),
            sources: VecDeque::new(),
            wanted_until: None,
        }
    }

    /// Takes the service's word; the first one is kept back for a moment, since the service may be stale.
    fn offer_of_service(&mut self, stamp: RegisterStamp, text: &Arc<str>, turn: &mut Turn<'_>) {
        if turn.board.register.revision > 0 || self.first_wait_ms == 0 {
            self.offer(stamp, text, &RegisterSource::Service, turn);
            return;
        }
        let until = turn.now.after_ms(self.first_wait_ms);
        let until = self.held.as_ref().map_or(until, |held| held.until.min(until));
        self.held = Some(HeldOffer {
            stamp,
            text: text.clone(),
            until,
        });
    }

    /// Takes the kept offer once its time is over, or once a peer's revision shows it to be no older.
    fn release_held(&mut self, peer_revision: Option<Revision>, turn: &mut Turn<'_>) {
        let Some(held) = &self.held else {
            return;
        };
        let is_vouched =
            peer_revision.is_some_and(|revision| revision > 0 && revision <= held.stamp.revision);
        if !is_vouched && !turn.now.reached(held.until) {
            return;
        }
        if let Some(held) = self.held.take() {
            self.offer(held.stamp, &held.text, &RegisterSource::Service, turn);
        }
    }

    fn offer(&mut self, stamp: RegisterStamp, text: &Arc<str>, source: &RegisterSource, turn: &mut Turn<'_>) {
        let revision = stamp.revision;
        let facts = &mut turn.board.register;
        // The service or a peer had confirmed the one before until then, so this one is not older than that.
        let unconfirmed_ms = facts.fresh_until.until_ms(turn.now.after_ms(CONFIRMATION_MS));
        if *source == RegisterSource::Service && revision >= facts.revision {
            facts.fresh_until = turn.now.after_ms(CONFIRMATION_MS);
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
            self.pass_over(stamp, source, turn);
            return;
        }
        match (self.parse)(text) {
            Ok(register) => {
                let facts = &mut turn.board.register;
                let previous = facts.revision;
                facts.offers.record(OfferOutcome::Accepted);
                facts.accepted_at = turn.now;
                facts.revision = revision;
                facts.written = stamp.written;
                facts.register = Arc::new(register);
                facts.text = text.clone();
                facts.refused = None;
                facts.fresh_until = turn.now.after_ms(CONFIRMATION_MS);
                self.refused.retain(|refused| refused.revision > revision);
                if stamp >= self.wanted {
                    self.forget_wanted();
                }
                turn.log(format!(
                    "event=register_accepted revision={revision} previous={previous} written={} source={source:?} \
                     unconfirmed_ms={unconfirmed_ms}",
                    stamp.written
                ));
                // News does not wait for the next probes.
                turn.send_to_neighbors(&turn.heartbeat(false));
            }
            Err(report) => {
                let reasons = report.to_string();
                let first = reasons.lines().next().unwrap_or_default();
                turn.log(format!(
                    "event=register_refused revision={revision} in_force={} source={source:?} faults={} first=\"{}\"",
                    turn.board.register.revision,
                    report.faults.len(),
                    to_phrase(first)
                ));
                self.note_refused(stamp, digest, source, turn);
                turn.board.register.offers.record(OfferOutcome::Refused);
                turn.board.register.refused = Some(RefusedRevision { revision, reasons });
            }
        }
        turn.publish();
    }

    /// Remembers a refused content, and stops asking for it.
    fn note_refused(
        &mut self,
        stamp: RegisterStamp,
        digest: Fingerprint,
        source: &RegisterSource,
        turn: &Turn<'_>,
    ) {
        let ask_at = match source {
            RegisterSource::Service => turn.now,
            RegisterSource::Peer(_) => turn.now.after_ms(REFUSED_PAUSE_MS),
        };
        if self.refused.len() >= REFUSED_LIMIT {
            self.refused.pop_front();
        }
        self.refused.push_back(RefusedContent {
            revision: stamp.revision,
            digest,
            ask_at,
        });
        if *source != RegisterSource::Service && stamp >= self.wanted {
            self.forget_wanted();
        }
    }

    fn forget_wanted(&mut self) {
        self.wanted = RegisterStamp::default();
        self.sources.clear();
        self.wanted_until = None;
    }

    /// Notes an offer that is not looked at.
    fn pass_over(&self, stamp: RegisterStamp, source: &RegisterSource, turn: &mut Turn<'_>) {
        let facts = &mut turn.board.register;
        facts.offers.record(OfferOutcome::PassedOver);
        let (revision, in_force) = (stamp.revision, facts.revision);
        turn.log(format!(
            "event=register_passed_over revision={revision} written={} in_force={in_force} source={source:?}",
            stamp.written
        ));
        turn.publish();
    }

    fn note_unreadable(&self, reason: &str, turn: &mut Turn<'_>) {
        let facts = &mut turn.board.register;
        facts.offers.record(OfferOutcome::Unreadable);
        let in_force = facts.revision;
        turn.log(format!(
            "event=register_unreadable in_force={in_force} reason=\"{}\"",
            to_phrase(reason)
        ));
        turn.publish();
    }

    fn hear_of(&mut self, peer: &VmName, stamp: RegisterStamp, turn: &mut Turn<'_>) {
        let revision = stamp.revision;
        if revision == turn.board.register.revision && revision > 0 {
            turn.board.register.fresh_until = turn.now.after_ms(CONFIRMATION_MS);
        }
        let is_paused =
            |refused: &RefusedContent| refused.revision == revision && !turn.now.reached(refused.ask_at);
        let is_of_use = stamp > turn.board.register.stamp() && stamp >= self.wanted;
        if !is_of_use || self.refused.iter().any(is_paused) {
            return;
        }
        if stamp > self.wanted {
            self.wanted = stamp;
            self.sources.clear();
            self.wanted_until = None;
        }
        if self.sources.is_empty() && !turn.now.reached(turn.board.register.read_until) {
            self.wanted_until = Some(turn.now.after_ms(OWN_WORD_MS));
        }
        if !self.sources.contains(peer) && self.sources.len() < SOURCE_LIMIT {
            self.sources.push_back(peer.clone());
        }
        self.ask_source(turn);
    }

    /// Notes whether this node can read the service itself.
    fn set_reachable(&self, is_reachable: bool, turn: &mut Turn<'_>) {
        let (_, longest_ms) = watch_range_ms(turn.board.live_view(turn.now).vms.len());
        let keeps_ms = longest_ms + READ_MARGIN_MS;
        let facts = &mut turn.board.register;
        if is_reachable {
            facts.read_until = turn.now.after_ms(keeps_ms);
            let Some(since) = facts.source_lost_at.take() else {
                return;
            };
            let (revision, outage_ms) = (facts.revision, since.until_ms(turn.now));
            turn.log(format!(
                "event=config_source_regained revision={revision} outage_ms={outage_ms}"
            ));
        } else if facts.source_lost_at.is_none() {
            facts.read_until = turn.now;
            facts.source_lost_at = Some(turn.now);
            let revision = facts.revision;
            turn.log(format!("event=config_source_lost revision={revision}"));
        } else {
            return;
        }
        turn.publish();
    }

    /// Asks a peer for the wanted content, and the next one when it does not come.
    fn ask_source(&mut self, turn: &mut Turn<'_>) {
        let is_waiting = self.wanted_until.is_some_and(|until| !turn.now.reached(until));
        if is_waiting || self.wanted <= turn.board.register.stamp() {
            return;
        }
        let Some(peer) = self.sources.pop_front() else {
            return;
        };
        self.wanted_until = Some(turn.now.after_ms(CONTENT_WAIT_MS));
        let message = PeerMessage::RegisterWanted { stamp: self.wanted };
        turn.send_to(&peer, message);
        self.sources.push_back(peer);
    }

    fn pass_on(&self, peer: &VmName, wanted: RegisterStamp, turn: &mut Turn<'_>) {
        let facts = &turn.board.register;
        if facts.stamp() < wanted || facts.revision == 0 {
            return;
        }
        let message = PeerMessage::RegisterContent {
            stamp: facts.stamp(),
            text: facts.text.clone(),
        };
        turn.send_to(peer, message);
    }
}

impl Controller for RevisionController {
    fn hears(&self) -> &'static [EventKind] {
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

    fn handle(&mut self, event: &Event, turn: &mut Turn<'_>) {
        match event {
            Event::RegisterOffered { stamp, text, source } => match source {
                RegisterSource::Service => self.offer_of_service(*stamp, text, turn),
                RegisterSource::Peer(_) => self.offer(*stamp, text, source, turn),
            },
            Event::RegisterUnreadable { reason } => self.note_unreadable(reason, turn),
            Event::Tick { .. } => {
                self.release_held(None, turn);
                self.ask_source(turn);
            }
            Event::RegisterConfirmed { revision } if *revision == turn.board.register.revision => {
                turn.board.register.fresh_until = turn.now.after_ms(CONFIRMATION_MS);
            }
            Event::ConfigReachable { is_reachable } => self.set_reachable(*is_reachable, turn),
            Event::PeerJoined { introduction } => {
                self.release_held(Some(introduction.revision), turn);
                self.hear_of(
                    &introduction.name,
                    RegisterStamp::from_revision(introduction.revision),
                    turn,
                );
            }
            Event::PeerMessage { from, message, .. } => match message {
                PeerMessage::Heartbeat { stamp, .. } => self.hear_of(from, *stamp, turn),
                PeerMessage::RegisterWanted { stamp } => self.pass_on(from, *stamp, turn),
                PeerMessage::RegisterContent { stamp, text } => {
                    let source = RegisterSource::Peer(from.clone());
                    self.offer(*stamp, text, &source, turn);
                }
                _ => {}
            },
            _ => {}
        }
    }

    fn wake_at(&self, board: &Blackboard, now: Moment) -> Option<Moment> {
        let held = self.held.as_ref().map(|held| held.until);
        let is_wanting = self.wanted > board.register.stamp() && !self.sources.is_empty();
        let wanted = is_wanting.then_some(self.wanted_until.unwrap_or(now));
        held.into_iter().chain(wanted).min()
    }
}
