//! Issues keys, grants each a single run, forwards calls with keys of other processes to their owners, and
//! hands outcomes off to peers when this process leaves.

use super::ledger::{ClaimVerdict, HandoffRecord, HandoffState, KeyLedger};
use super::{IdempotencyKey, IssuedKey, KeyOutcome, KeyRequest, StoredAnswer};
use crate::blackboard::Incarnation;
use crate::controllers::Reply;
use crate::controllers::message::{KeyCall, PeerMessage};
use crate::prelude::*;

/// The retry delay sent if a key's owner is unreachable, or if a key to be revoked is running, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// How long the outcomes that a peer handed off are kept, in milliseconds.
const HANDOFF_RETENTION_MS: u64 = 3_600_000;

/// The most processes whose handoffs are kept.
const MAX_HANDOFFS: usize = 1_024;

/// The most parts of one handoff that are awaited.
const MAX_HANDOFF_PARTS: u32 = 256;

/// The most bytes of records in one part of a handoff, unless a single record is larger.
const HANDOFF_PART_BYTES: usize = 500_000;

/// The interval at which expired records are dropped, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

/// The outcomes that a leaving process handed off to this one.
#[derive(Debug)]
struct HandedOutcomes {
    next_serial: u64,
    /// Parts of the handoff that have not arrived.
    missing_parts: FastSet<u32>,
    states: FastMap<u64, HandoffState>,
    expires_at: Moment,
}

impl HandedOutcomes {
    fn look_up(&self, serial: u64) -> Result<StoredAnswer, RefusalNotice> {
        match self.states.get(&serial) {
            // A key without a record did not run, but that is certain only once every part has arrived.
            None if !self.missing_parts.is_empty() => Err(RefusalNotice::new(ResultCode::KeyOwnerGone, "")),
            Some(HandoffState::Ended(outcome)) => outcome.to_result(),
            Some(HandoffState::Running) => Err(RefusalNotice::new(ResultCode::KeyHandedOffRunning, "")),
            None if serial >= self.next_serial => {
                Err(RefusalNotice::new(ResultCode::BadKey, "it was never issued"))
            }
            None => Err(RefusalNotice::new(
                ResultCode::KeyRevoked,
                "its owner left before it ran",
            )),
        }
    }
}

/// One part of a handoff.
struct HandoffPart<'a> {
    next_serial: u64,
    part: u32,
    parts: u32,
    records: &'a [HandoffRecord],
}

/// A call that this node forwarded to the owner of its key.
#[derive(Debug)]
struct ForwardedCall {
    ticket: ReplyTicket,
    owner: VmName,
    deadline: Moment,
}

/// Ensures that the call of each key runs at most once.
#[derive(Default)]
pub struct IdempotencyController {
    ledger: KeyLedger,
    /// Claims that wait for the outcome of a running call, by serial.
    waiting_claims: FastMap<u64, Vec<ReplyTicket>>,
    forwarded: FastMap<u64, ForwardedCall>,
    handoffs: FastMap<Incarnation, HandedOutcomes>,
    next_expiry: Moment,
    is_closed: bool,
}

impl IdempotencyController {
    fn issue(&mut self, request: &KeyRequest, context: &ControlContext<'_>) -> Reply {
        if self.is_closed || context.board.drain.is_some() {
            return Reply::Refused(RefusalNotice::new(ResultCode::Leaving, "it issues no more keys"));
        }
        let (serial, is_repeat) = self.ledger.issue(request);
        let key = IdempotencyKey {
            owner: context.board.own.name.clone(),
            owner_address: context.board.own.peer_address.clone(),
            incarnation: context.board.own.incarnation,
            serial,
            deadline_epoch_ms: request.deadline_epoch_ms,
        };
        Reply::Key(IssuedKey { key, is_repeat })
    }

    fn claim(
        &mut self,
        ticket: ReplyTicket,
        key: &IdempotencyKey,
        body_hash: u64,
        context: &mut ControlContext<'_>,
    ) {
        if key.incarnation != context.board.own.incarnation {
            let reply = to_reply(self.foreign_outcome(key.incarnation, key.serial));
            context.reply(ticket, reply);
            return;
        }
        let reply = match self.ledger.claim(key.serial, body_hash, context.now) {
            ClaimVerdict::Start => Reply::Start,
            ClaimVerdict::Ended(result) => to_reply(result),
            ClaimVerdict::Running => {
                self.waiting_claims.entry(key.serial).or_default().push(ticket);
                return;
            }
        };
        context.reply(ticket, reply);
    }

    /// The outcome of a key that another process issued, if that process handed it off here.
    fn foreign_outcome(&self, incarnation: Incarnation, serial: u64) -> Result<StoredAnswer, RefusalNotice> {
        match self.handoffs.get(&incarnation) {
            Some(outcomes) => outcomes.look_up(serial),
            None => Err(RefusalNotice::new(ResultCode::KeyOwnerGone, "")),
        }
    }

    fn finish(&mut self, serial: u64, outcome: &KeyOutcome, context: &mut ControlContext<'_>) {
        self.ledger.finish(serial, outcome, context.now);
        let reply = match outcome {
            KeyOutcome::Answered(answer) => Reply::Answer(answer.clone()),
            KeyOutcome::Unknown => Reply::Refused(RefusalNotice::new(ResultCode::OutcomeUnknown, "")),
            KeyOutcome::Unstarted(notice) => Reply::Refused(notice.clone()),
        };
        for ticket in self.waiting_claims.remove(&serial).unwrap_or_default() {
            context.actions.push(Action::Reply {
                ticket,
                reply: reply.clone(),
            });
        }
    }

    fn revoke(&mut self, key: &IdempotencyKey, context: &ControlContext<'_>) -> Reply {
        if key.incarnation != context.board.own.incarnation {
            return to_reply(self.foreign_outcome(key.incarnation, key.serial));
        }
        match self.ledger.revoke(key.serial) {
            ClaimVerdict::Ended(Err(notice)) if notice.code == ResultCode::KeyRevoked => Reply::Revoked,
            ClaimVerdict::Ended(result) => to_reply(result),
            ClaimVerdict::Start | ClaimVerdict::Running => {
                let notice = RefusalNotice::new(ResultCode::KeyRunning, "it can't be revoked any more");
                Reply::Refused(notice.retry_after_ms(RETRY_AFTER_MS))
            }
        }
    }

    fn forward(&mut self, ticket: ReplyTicket, call: &KeyCall, context: &mut ControlContext<'_>) {
        if let Some(outcomes) = self.handoffs.get(&call.incarnation) {
            let reply = to_reply(outcomes.look_up(call.serial));
            context.reply(ticket, reply);
            return;
        }
        let known = context.board.vms.get(&call.owner);
        let is_replaced = known
            .and_then(|vm| vm.incarnation)
            .is_some_and(|seen| seen != call.incarnation);
        if is_replaced {
            let notice = RefusalNotice::new(ResultCode::KeyOwnerGone, call.owner.to_string());
            context.actions.push(Action::Reply {
                ticket,
                reply: Reply::Refused(notice),
            });
            return;
        }
        let forwarded = ForwardedCall {
            ticket,
            owner: call.owner.clone(),
            deadline: call.deadline,
        };
        self.forwarded.insert(call.call_id, forwarded);
        context.actions.push(Action::Send {
            to: call.owner.clone(),
            address: call.owner_address.clone(),
            message: PeerMessage::KeyCall(call.clone()),
        });
    }

    fn handle_answer(
        &mut self,
        call_id: u64,
        answer: &Result<StoredAnswer, RefusalNotice>,
        context: &mut ControlContext<'_>,
    ) {
        if let Some(forwarded) = self.forwarded.remove(&call_id) {
            context.actions.push(Action::Reply {
                ticket: forwarded.ticket,
                reply: to_reply(answer.clone()),
            });
        }
    }

    /// Refuses the forwarded calls whose answers are no longer awaited.
    fn refuse_forwarded(
        &mut self,
        is_over: impl Fn(&ForwardedCall) -> bool,
        context: &mut ControlContext<'_>,
    ) {
        for (_, call) in self.forwarded.extract_if(|_, call| is_over(call)) {
            let notice = RefusalNotice::new(ResultCode::KeyOwnerUnreachable, call.owner.to_string());
            context.actions.push(Action::Reply {
                ticket: call.ticket,
                reply: Reply::Refused(notice.retry_after_ms(RETRY_AFTER_MS)),
            });
        }
    }

    fn close(&mut self, context: &mut ControlContext<'_>) {
        self.is_closed = true;
        let records = self.ledger.close();
        context.actions.push(Action::Log(format!(
            "event=keys_handed_off records={}",
            records.len()
        )));
        let parts = split_records(records);
        for (part, records) in parts.iter().enumerate() {
            context.broadcast(&PeerMessage::Handoff {
                incarnation: context.board.own.incarnation,
                next_serial: self.ledger.next_serial(),
                part: part as u32,
                parts: parts.len() as u32,
                records: records.clone(),
            });
        }
    }

    fn handle_handoff(&mut self, incarnation: Incarnation, handoff: &HandoffPart<'_>, now: Moment) {
        if self.handoffs.len() >= MAX_HANDOFFS && !self.handoffs.contains_key(&incarnation) {
            return;
        }
        let outcomes = self
            .handoffs
            .entry(incarnation)
            .or_insert_with(|| HandedOutcomes {
                next_serial: handoff.next_serial,
                missing_parts: (0..handoff.parts.min(MAX_HANDOFF_PARTS)).collect(),
                states: FastMap::default(),
                expires_at: now.after_ms(HANDOFF_RETENTION_MS),
            });
        outcomes.missing_parts.remove(&handoff.part);
        for record in handoff.records {
            outcomes.states.insert(record.serial, record.state.clone());
        }
    }

    fn tick(&mut self, context: &mut ControlContext<'_>) {
        let is_handing_off = context
            .board
            .drain
            .is_some_and(|drain| drain.handoff_at.is_some());
        if is_handing_off && !self.is_closed {
            self.close(context);
        }
        let now = context.now;
        self.refuse_forwarded(|call| now.reached(call.deadline), context);
        if !context.now.reached(self.next_expiry) {
            return;
        }
        self.next_expiry = context.now.after_ms(EXPIRY_INTERVAL_MS);
        self.ledger.drop_expired(context.now);
        self.handoffs
            .retain(|_, outcomes| !context.now.reached(outcomes.expires_at));
    }
}

/// Splits records into parts that each fit in a frame; one empty part if there are none.
fn split_records(records: Vec<HandoffRecord>) -> Vec<Vec<HandoffRecord>> {
    let mut parts = vec![Vec::new()];
    let mut room_bytes = HANDOFF_PART_BYTES;
    for record in records {
        let size_bytes = record.size_bytes();
        if size_bytes > room_bytes {
            parts.push(Vec::new());
            room_bytes = HANDOFF_PART_BYTES;
        }
        room_bytes = room_bytes.saturating_sub(size_bytes);
        if let Some(part) = parts.last_mut() {
            part.push(record);
        }
    }
    parts
}

fn to_reply(result: Result<StoredAnswer, RefusalNotice>) -> Reply {
    match result {
        Ok(answer) => Reply::Answer(answer),
        Err(notice) => Reply::Refused(notice),
    }
}

impl Controller for IdempotencyController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[
            EventKind::Tick,
            EventKind::KeyWanted,
            EventKind::KeyClaimed,
            EventKind::KeyFinished,
            EventKind::KeyRevoked,
            EventKind::KeyCallForwarded,
            EventKind::KeyCallAnswered,
            EventKind::PeerUnreachable,
            EventKind::PeerMessage,
        ]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::Tick { .. } => self.tick(context),
            Event::KeyWanted { ticket, request } => {
                let reply = self.issue(request, context);
                context.actions.push(Action::Reply {
                    ticket: *ticket,
                    reply,
                });
            }
            Event::KeyClaimed {
                ticket,
                key,
                body_hash,
            } => {
                self.claim(*ticket, key, *body_hash, context);
            }
            Event::KeyFinished { serial, outcome } => self.finish(*serial, outcome, context),
            Event::KeyRevoked { ticket, key } => {
                let reply = self.revoke(key, context);
                context.actions.push(Action::Reply {
                    ticket: *ticket,
                    reply,
                });
            }
            Event::KeyCallForwarded { ticket, call } => self.forward(*ticket, call, context),
            Event::KeyCallAnswered { to, call_id, answer } => {
                let message = PeerMessage::KeyAnswer {
                    call_id: *call_id,
                    answer: answer.clone(),
                };
                context.send_to(to, message);
            }
            Event::PeerUnreachable { vm } => self.refuse_forwarded(|call| call.owner == *vm, context),
            Event::PeerMessage { from, message, .. } => match message {
                PeerMessage::KeyCall(call) => context.actions.push(Action::RunForwarded {
                    from: from.clone(),
                    call: call.clone(),
                }),
                PeerMessage::KeyAnswer { call_id, answer } => self.handle_answer(*call_id, answer, context),
                PeerMessage::Handoff {
                    incarnation,
                    next_serial,
                    part,
                    parts,
                    records,
                } => {
                    let handoff = HandoffPart {
                        next_serial: *next_serial,
                        part: *part,
                        parts: *parts,
                        records,
                    };
                    self.handle_handoff(*incarnation, &handoff, context.now);
                }
                _ => {}
            },
            _ => {}
        }
    }
}
