//! Proof that this VM's configuration is current, without which requests that need an API key are not sent.
//!
//! The proof is a point in time: the start of a read of the store that found nothing newer than the configuration
//! in force here. A key that was removed before that time is not in the configuration in force. Three VMs end
//! their watches of the configuration soon, and each ended watch proves the time at which it began. All other
//! VMs ask one of these three, the next when its answers are of no use, and count the age in the answer from the time at which they asked, since an
//! answer may be delayed for seconds. A VM that gets no answer of use asks other peers, and reads the store
//! itself.

mod inquiry;

use super::message::PeerMessage;
use super::store_era::REWRITE_MS;
use crate::blackboard::WatchPace;
use crate::prelude::*;
use inquiry::ProofInquiry;

/// How much earlier than the settings require the last request is sent after a proof, in milliseconds. The
/// replica receives it after some time in the network, and the VMs' clocks differ in speed.
pub const SEND_MARGIN_MS: u64 = 500;

/// How long a watch waits that keeps the proof current, in milliseconds.
pub const SHORT_WATCH_MS: u64 = 700;

/// Age of its own proof from which a VM asks another one for proof, in milliseconds.
const ASK_AGE_MS: u64 = 1_000;

/// The same for the VMs that prove the configuration for others, whose proofs are up to two watches old, in
/// milliseconds.
const PROVER_ASK_AGE_MS: u64 = 1_600;

/// Age of its own proof from which a VM's own watches end soon, in milliseconds.
const OWN_WATCH_AGE_MS: u64 = 2_000;

/// Age of this VM's proof up to which it needs neither another prover nor watches of its own, in milliseconds: two
/// watches of a prover, and the time of some messages.
const FRESH_AGE_MS: u64 = 1_500;

/// Shortest time between two reads of the store that end at once, in milliseconds.
const IMMEDIATE_INTERVAL_MS: u64 = 500;

/// How long a VM without its first proof waits before it counts as lost, in milliseconds.
const FIRST_PROOF_MS: u64 = 500;

/// Age of its own proof from which a VM asks for another, in milliseconds.
fn ask_age_ms(is_prover: bool) -> u64 {
    if is_prover { PROVER_ASK_AGE_MS } else { ASK_AGE_MS }
}

/// What a read of the configuration found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadContent {
    /// No version, or a removal, which leaves the configuration in force.
    Nothing,
    /// A version that has no number.
    Unreadable,
    /// A version that was offered with this stamp, and accepted or refused.
    Offered(RegisterStamp),
}

/// A read of the configuration in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegisterReading {
    /// When the read began.
    pub began_at: Moment,
    /// The newest version that was found.
    pub newest: ReadContent,
    /// Whether all versions since the previous read were found and offered. A full read returns the newest
    /// version only.
    pub is_continuous: bool,
    /// The store's own position when it answered.
    pub store_position: StorePosition,
}

/// A peer's proof of a configuration that this VM does not have yet.
#[derive(Clone, Copy, Debug)]
struct HeldProof {
    stamp: RegisterStamp,
    proved_until: Moment,
}

/// Keeps the proof current while the configuration lists workspaces and the settings require proof.
#[derive(Debug)]
pub struct ProofController {
    /// How long after a proof requests may be sent, in milliseconds; `None` if the settings require no proof.
    valid_ms: Option<u64>,
    /// Since when the configuration in force requires proof; `None` while it does not.
    active_since: Option<Moment>,
    inquiry: ProofInquiry,
    held: Option<HeldProof>,
    /// When a read ended after which a version may be in force elsewhere that this VM never saw: the newest
    /// version was refused, and earlier ones were skipped. `None` if there is no such gap.
    gap_at: Option<Moment>,
    /// Whether this VM's own watches keep its proof current, since its peers did not.
    reads_itself: bool,
    /// The latest position of the store in this VM's reads.
    read_position: StorePosition,
    /// The era in which the configuration in force was seen to be written, after the store had come back from an
    /// older copy. The default stands for none.
    written_era: StoreEra,
    /// When this VM last read the store itself.
    last_read_at: Option<Moment>,
    /// When the proof was lost; `None` while there is one.
    lost_at: Option<Moment>,
}

impl ProofController {
    /// Creates a controller. `revoke_ms` is how long after its removal a key may be accepted, from the settings;
    /// `None` turns the controller off. `seed` distinguishes the numbers of this process's requests from those of
    /// earlier processes of the VM.
    pub fn new(revoke_ms: Option<u64>, seed: u64) -> Self {
        Self {
            valid_ms: revoke_ms.map(|revoke_ms| revoke_ms.saturating_sub(SEND_MARGIN_MS)),
            active_since: None,
            inquiry: ProofInquiry::new(seed),
            held: None,
            gap_at: None,
            reads_itself: false,
            read_position: StorePosition::default(),
            written_era: StoreEra::default(),
            last_read_at: None,
            lost_at: None,
        }
    }

    /// Records a read of the store by this VM.
    fn record_reading(&mut self, reading: &RegisterReading, valid_ms: u64, context: &mut ControlContext<'_>) {
        self.last_read_at = Some(context.now);
        let stamp = context.board.register.stamp();
        // A store that is behind the configuration in force, or behind an earlier read, returns outdated data.
        if stamp.revision == 0 || reading.store_position < stamp.written.max(self.read_position) {
            return;
        }
        self.read_position = reading.store_position;
        let is_in_force = reading.newest == ReadContent::Offered(stamp);
        if is_in_force && reading.is_continuous {
            self.written_era = reading.store_position.era();
        }
        if is_in_force {
            self.gap_at = None;
        } else if !reading.is_continuous {
            self.gap_at = Some(context.now);
        }
        if self.gap_at.is_none() && !self.is_from_copy(reading, context.board) {
            self.extend(reading.began_at.after_ms(valid_ms), context);
        }
    }

    /// Whether a reading may lack a version that was acknowledged before the store came back from an older copy and
    /// is not written again yet.
    fn is_from_copy(&self, reading: &RegisterReading, board: &Blackboard) -> bool {
        let is_rewritten = self.written_era == reading.store_position.era();
        let changed_at = board.store_era.changed_at;
        let rewritten_by = changed_at.map(|at| at.after_ms(REWRITE_MS));
        !is_rewritten && rewritten_by.is_some_and(|at| !reading.began_at.reached(at))
    }

    /// Records a peer's answer, which counts from the time at which this VM asked.
    fn record_answer(
        &mut self,
        asked_at: Moment,
        stamp: RegisterStamp,
        age_ms: u64,
        valid_ms: u64,
        context: &mut ControlContext<'_>,
    ) {
        let proved_until = asked_at.after_ms(valid_ms.saturating_sub(age_ms));
        let is_useful = age_ms < valid_ms && proved_until > self.proved_until(context.board);
        if is_useful && stamp > context.board.register.stamp() {
            // The revision controller fetches the configuration from the peer.
            if self.held.is_none_or(|held| stamp >= held.stamp) {
                self.held = Some(HeldProof { stamp, proved_until });
            }
            return;
        }
        if is_useful {
            self.accept_peer_proof(proved_until, valid_ms, context);
        }
        if self.age_ms(valid_ms, context) <= FRESH_AGE_MS {
            // The peer's own proof is renewed when its watch ends.
            self.inquiry.finish(age_ms, context.now);
        } else {
            self.inquiry.try_next_prover(context.now);
        }
    }

    /// Uses a peer's proof of a configuration that is no newer than the one in force here.
    fn accept_peer_proof(&mut self, proved_until: Moment, valid_ms: u64, context: &mut ControlContext<'_>) {
        self.extend(proved_until, context);
        // The peer has seen what this VM's own reads skipped before that time.
        if self
            .gap_at
            .is_some_and(|gap_at| proved_until > gap_at.after_ms(valid_ms))
        {
            self.gap_at = None;
        }
        if self.age_ms(valid_ms, context) <= FRESH_AGE_MS {
            self.reads_itself = false;
        }
    }

    /// Extends the proof; an earlier end changes nothing.
    fn extend(&mut self, proved_until: Moment, context: &mut ControlContext<'_>) {
        if proved_until > self.proved_until(context.board) {
            context.board.register.proved_until = Some(proved_until);
            context.publish();
        }
    }

    fn proved_until(&self, board: &Blackboard) -> Moment {
        board.register.proved_until.unwrap_or_default()
    }

    /// The age of this VM's proof, in milliseconds. The proof may be older than this process.
    fn age_ms(&self, valid_ms: u64, context: &ControlContext<'_>) -> u64 {
        let until = self.proved_until(context.board);
        let passed_ms = until.until_ms(context.now);
        (valid_ms + passed_ms).saturating_sub(context.now.until_ms(until))
    }

    fn answer(&self, peer: &VmName, number: u64, valid_ms: u64, context: &mut ControlContext<'_>) {
        let is_proved = !context.now.reached(self.proved_until(context.board));
        let age_ms = if is_proved {
            self.age_ms(valid_ms, context)
        } else {
            u64::MAX
        };
        let stamp = context.board.register.stamp();
        let message = PeerMessage::ProofAnswer {
            number,
            stamp,
            age_ms,
        };
        context.send_to(peer, message);
    }

    /// Does what is due: uses a held proof, asks a peer, sets the pace of the watches and logs changes.
    fn update(&mut self, valid_ms: u64, context: &mut ControlContext<'_>) {
        if context.board.register.register.callers.is_none() {
            self.deactivate(context);
            return;
        }
        let active_since = *self.active_since.get_or_insert(context.now);
        let in_force = context.board.register.stamp();
        if let Some(held) = self.held.take_if(|held| in_force >= held.stamp) {
            self.accept_peer_proof(held.proved_until, valid_ms, context);
        }
        let age_ms = self.age_ms(valid_ms, context);
        let provers = context.board.live_view(context.now).first_readers.clone();
        let is_prover = provers.contains(&context.board.own.name);
        self.set_pace(is_prover, active_since, age_ms, context);
        if age_ms > ask_age_ms(is_prover) {
            self.inquiry.ask(&provers, context);
        }
        self.log_change(active_since, context);
    }

    fn deactivate(&mut self, context: &mut ControlContext<'_>) {
        self.active_since = None;
        self.lost_at = None;
        self.held = None;
        self.reads_itself = false;
        Self::change_pace(WatchPace::Slotted, context);
    }

    /// Decides how soon this VM's watches have to end.
    fn set_pace(
        &mut self,
        is_prover: bool,
        active_since: Moment,
        age_ms: u64,
        context: &mut ControlContext<'_>,
    ) {
        let is_overdue = age_ms > OWN_WATCH_AGE_MS
            && (context.now.reached(active_since.after_ms(OWN_WATCH_AGE_MS))
                || self.has_been_proved(context));
        self.reads_itself |= is_overdue;
        let is_unproved = context.now.reached(self.proved_until(context.board));
        let may_read = self
            .last_read_at
            .is_none_or(|at| context.now.reached(at.after_ms(IMMEDIATE_INTERVAL_MS)));
        let pace = match () {
            () if !is_prover && !self.reads_itself => WatchPace::Slotted,
            () if is_unproved && may_read => WatchPace::Immediate,
            () => WatchPace::Short,
        };
        Self::change_pace(pace, context);
    }

    /// Whether there was a proof since the configuration requires one. Where keys are introduced, all VMs are
    /// without proof at once, and most of them should ask rather than read the store.
    fn has_been_proved(&self, context: &ControlContext<'_>) -> bool {
        let until = self.proved_until(context.board);
        self.active_since.is_some_and(|since| until > since)
    }

    fn change_pace(pace: WatchPace, context: &mut ControlContext<'_>) {
        if context.board.register.watch_pace != pace {
            context.board.register.watch_pace = pace;
            context.publish();
        }
    }

    /// Logs the loss and the return of the proof, one line each.
    fn log_change(&mut self, active_since: Moment, context: &mut ControlContext<'_>) {
        let revision = context.board.register.revision;
        let is_proved = !context.now.reached(self.proved_until(context.board));
        if is_proved {
            if let Some(lost_at) = self.lost_at.take() {
                let outage_ms = lost_at.until_ms(context.now);
                context.log(format!(
                    "event=config_proof_regained revision={revision} outage_ms={outage_ms}"
                ));
            }
        } else if self.lost_at.is_none() && context.now.reached(active_since.after_ms(FIRST_PROOF_MS)) {
            self.lost_at = Some(context.now);
            context.log(format!("event=config_proof_lost revision={revision}"));
        }
    }
}

impl Controller for ProofController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[
            EventKind::Tick,
            EventKind::RegisterOffered,
            EventKind::RegisterRead,
            EventKind::PeerMessage,
        ]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        let Some(valid_ms) = self.valid_ms else {
            return;
        };
        match event {
            Event::RegisterRead(reading) => self.record_reading(reading, valid_ms, context),
            Event::PeerMessage { from, message, .. } => match message {
                PeerMessage::ProofRequest { number } => {
                    self.answer(from, *number, valid_ms, context);
                    return;
                }
                PeerMessage::ProofAnswer {
                    number,
                    stamp,
                    age_ms,
                } => {
                    let Some(asked_at) = self.inquiry.take(from, *number) else {
                        return;
                    };
                    self.record_answer(asked_at, *stamp, *age_ms, valid_ms, context);
                }
                PeerMessage::RegisterContent { .. } => {}
                _ => return,
            },
            _ => {}
        }
        self.update(valid_ms, context);
    }

    fn wake_at(&self, board: &Blackboard, now: Moment) -> Option<Moment> {
        let valid_ms = self.valid_ms?;
        let active_since = self.active_since?;
        let until = self.proved_until(board);
        // The proof's age reaches a bound so long before it ends.
        let at_age = |age_ms: u64| Moment(until.0.saturating_sub(valid_ms.saturating_sub(age_ms)) + 1);
        let is_prover = board.live_view(now).first_readers.contains(&board.own.name);
        let next_ask = self.inquiry.next_at().max(at_age(ask_age_ms(is_prover)));
        let others = [
            at_age(OWN_WATCH_AGE_MS),
            until,
            active_since.after_ms(FIRST_PROOF_MS),
            active_since.after_ms(OWN_WATCH_AGE_MS),
            self.last_read_at
                .map_or(now, |at| at.after_ms(IMMEDIATE_INTERVAL_MS)),
        ];
        let others = others.into_iter().filter(|at| *at > now);
        others.chain([next_ask.max(now.after_ms(1))]).min()
    }
}
