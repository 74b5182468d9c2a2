//! The asker's side of a slot exchange: gets slots for this node's own requests, and gives them back.

use std::sync::Arc;

use super::{
    EngineEnd, EngineGroup, GroupLedger, LocalChooser, MemoryLoad, PlacementAsk, PlacementGrant,
    PlacementPolicy, PlacementResult, RequestId, group_count,
};
use crate::controllers::Reply;
use crate::controllers::message::{PeerMessage, SlotVerdict};
use crate::controllers::owner_watch::{ANSWER_LIMIT_MS, OwnerWatch};
use crate::controllers::ownership::{find_owner, find_owner_but};
use crate::controllers::rendezvous;
use crate::controllers::retry_budget::RetryBudget;
use crate::prelude::*;

/// How often a queued request asks again, so that the loss of its owner is noticed, in milliseconds.
pub(super) const ASK_AGAIN_MS: u64 = 500;

/// Time between two looks at a queue in which requests may have become late, in milliseconds.
const QUEUE_TICK_MS: u64 = 50;

/// When to come back after no engine was found usable, in milliseconds.
pub(super) const RETRY_AFTER_MS: u64 = 1_000;

/// Groups that are asked before a request is refused.
const GROUPS_TO_TRY: usize = 2;

/// A request of this node that waits for an owner's answer.
#[derive(Debug)]
pub(super) struct PendingAsk {
    pub(super) ticket: ReplyTicket,
    pub(super) ask: PlacementAsk,
    /// Groups still to ask, the present one first.
    pub(super) groups: Vec<u32>,
    pub(super) owner: VmName,
    pub(super) answer_by: Moment,
    pub(super) ask_again_at: Moment,
    /// Whether another owner was asked before, and did not answer.
    pub(super) is_second: bool,
    /// Whether it waits in its owner's queue.
    pub(super) is_queued: bool,
}

/// A request of this node that has its engines.
#[derive(Debug)]
pub(super) struct ActiveLease {
    pub(super) grant: PlacementGrant,
    pub(super) workspace: Arc<str>,
    pub(super) load: MemoryLoad,
    pub(super) deadline: Moment,
    /// The group and its owner; `None` when this node chose alone.
    pub(super) owner: Option<(EngineGroup, VmName)>,
}

/// Grants slots as an owner, and gets them for this node's own requests.
pub struct SlotController {
    policy: PlacementPolicy,
    pub(super) group_size: usize,
    chooser: LocalChooser,
    budget: RetryBudget,
    pub(super) ledgers: FastMap<EngineGroup, GroupLedger>,
    pub(super) pending: FastMap<RequestId, PendingAsk>,
    pub(super) active: FastMap<RequestId, ActiveLease>,
    pub(super) next_sweep: Moment,
    pub(super) owner_watch: OwnerWatch,
    /// When to look next who owns the groups, while engines name limits.
    pub(super) next_look: Moment,
}

impl SlotController {
    /// A controller with the given way of choosing.
    pub fn new(policy: PlacementPolicy, group_size: usize, seed: u64) -> Self {
        Self {
            policy,
            group_size,
            chooser: LocalChooser::new(seed),
            budget: RetryBudget::default(),
            ledgers: FastMap::default(),
            pending: FastMap::default(),
            active: FastMap::default(),
            next_sweep: Moment::default(),
            owner_watch: OwnerWatch::default(),
            next_look: Moment::default(),
        }
    }

    fn place(&mut self, ticket: ReplyTicket, ask: &PlacementAsk, turn: &mut Turn<'_>) {
        if let Some(refusal) = self.refuse(ask, turn) {
            turn.actions.push(Action::Reply {
                ticket,
                reply: Reply::Refused(refusal),
            });
            return;
        }
        if self.policy != PlacementPolicy::Owner {
            self.choose_alone(ticket, ask, self.policy, turn);
            return;
        }
        let groups = self.rank_groups(ask, turn);
        self.ask_owner(ticket, ask.clone(), groups, None, turn);
    }

    fn refuse(&mut self, ask: &PlacementAsk, turn: &Turn<'_>) -> Option<RefusalNotice> {
        if let Some(notice) = refuse_held(ask, turn.board, turn.now) {
            return Some(notice);
        }
        if turn.now.reached(ask.deadline) {
            return Some(RefusalNotice::new(
                ResultCode::DeadlinePassed,
                "while being placed",
            ));
        }
        if !ask.is_retry {
            self.budget.earn(&ask.workspace);
            return None;
        }
        if self.budget.spend(&ask.workspace) {
            return None;
        }
        let notice = RefusalNotice::new(ResultCode::RetryBudgetSpent, ask.workspace.to_string());
        Some(notice.retry_after_ms(RETRY_AFTER_MS))
    }

    /// The groups to ask, the one most likely to have the prompt's prefix first.
    fn rank_groups(&self, ask: &PlacementAsk, turn: &Turn<'_>) -> Vec<u32> {
        let count = group_count(&turn.board.engines(&ask.model), self.group_size);
        let key = ask.prefix.first().copied().unwrap_or(ask.fingerprint).to_string();
        let mut groups: Vec<u32> = (0..count).collect();
        groups.sort_by_key(|group| std::cmp::Reverse(rendezvous::weight(&key, &group.to_string())));
        groups.truncate(GROUPS_TO_TRY);
        groups
    }

    /// The VM that owns a group, as this node sees it.
    pub(super) fn owner_of(&self, key: &EngineGroup, turn: &Turn<'_>) -> VmName {
        find_owner(&key.owner_key(), turn.board, turn.now)
    }

    /// Asks the owner of a request's first group, or the next one where that is silent.
    pub(super) fn ask_owner(
        &mut self,
        ticket: ReplyTicket,
        ask: PlacementAsk,
        groups: Vec<u32>,
        silent: Option<&VmName>,
        turn: &mut Turn<'_>,
    ) {
        let group = groups.first().copied().unwrap_or(0);
        let key = EngineGroup::new(&ask.model, group);
        let owner = find_owner_but(&key.owner_key(), silent, turn.board, turn.now);
        let request = ask.request.clone();
        let pending = PendingAsk {
            ticket,
            ask,
            groups,
            owner: owner.clone(),
            answer_by: turn.now.after_ms(ANSWER_LIMIT_MS),
            ask_again_at: turn.now.after_ms(ASK_AGAIN_MS),
            is_second: silent.is_some(),
            is_queued: false,
        };
        self.pending.insert(request.clone(), pending);
        self.send_ask(&request, &key, &owner, turn);
    }

    /// Sends a pending request to its owner, which may be this node.
    pub(super) fn send_ask(
        &mut self,
        request: &RequestId,
        key: &EngineGroup,
        owner: &VmName,
        turn: &mut Turn<'_>,
    ) {
        let Some(pending) = self.pending.get(request) else {
            return;
        };
        if *owner == turn.board.own.name {
            let ask = pending.ask.clone();
            let group_size = self.group_size;
            let verdict = self
                .look_at_ledger(key, turn)
                .ask(&ask, None, turn.board, group_size, turn.now);
            self.note_permits(&verdict, turn);
            self.take_verdict(request, verdict, turn);
            return;
        }
        let message = PeerMessage::SlotAsk {
            group: key.index,
            ask: pending.ask.clone(),
        };
        turn.send_to(owner, message);
    }

    /// Takes the answer to one of this node's own requests.
    pub(super) fn take_verdict(&mut self, request: &RequestId, verdict: SlotVerdict, turn: &mut Turn<'_>) {
        if verdict == SlotVerdict::Queued {
            if let Some(pending) = self.pending.get_mut(request) {
                turn.log_step(format!("event=queued place={request} owner={}", pending.owner));
                pending.answer_by = turn.now.after_ms(ASK_AGAIN_MS + ANSWER_LIMIT_MS);
                pending.is_queued = true;
            }
            return;
        }
        let Some(pending) = self.pending.remove(request) else {
            return;
        };
        let group = pending.groups.first().copied().unwrap_or(0);
        let key = EngineGroup::new(&pending.ask.model, group);
        match verdict {
            SlotVerdict::Queued => {}
            SlotVerdict::Granted {
                decode,
                prefill,
                permits,
            } => {
                let grant = PlacementGrant {
                    decode,
                    prefill,
                    granted_by: Some(pending.owner.clone()),
                    permits,
                };
                let owner = Some((key, pending.owner));
                self.activate(pending.ticket, &pending.ask, grant, owner, turn);
            }
            SlotVerdict::Refused(_) if pending.groups.len() > 1 => {
                let groups = pending.groups[1..].to_vec();
                self.ask_owner(pending.ticket, pending.ask, groups, None, turn);
            }
            SlotVerdict::Refused(notice) => turn.actions.push(Action::Reply {
                ticket: pending.ticket,
                reply: Reply::Refused(notice),
            }),
        }
    }

    fn activate(
        &mut self,
        ticket: ReplyTicket,
        ask: &PlacementAsk,
        grant: PlacementGrant,
        owner: Option<(EngineGroup, VmName)>,
        turn: &mut Turn<'_>,
    ) {
        turn.board.upstream_mut(&grant.decode).in_flight += 1;
        if let Some(prefill) = &grant.prefill {
            turn.board.upstream_mut(prefill).in_flight += 1;
        }
        let lease = ActiveLease {
            grant: grant.clone(),
            workspace: ask.workspace.clone(),
            load: ask.memory_load(turn.now),
            deadline: ask.deadline,
            owner,
        };
        self.active.insert(ask.request.clone(), lease);
        turn.actions.push(Action::Reply {
            ticket,
            reply: Reply::Placed(grant),
        });
    }

    pub(super) fn choose_alone(
        &mut self,
        ticket: ReplyTicket,
        ask: &PlacementAsk,
        policy: PlacementPolicy,
        turn: &mut Turn<'_>,
    ) {
        match self.chooser.choose(policy, ask, turn.board, turn.now) {
            Some(grant) => self.activate(ticket, ask, grant, None, turn),
            None => {
                let notice = RefusalNotice::new(ResultCode::NoUpstream, ask.model.to_string());
                turn.actions.push(Action::Reply {
                    ticket,
                    reply: Reply::Refused(notice.retry_after_ms(RETRY_AFTER_MS)),
                });
            }
        }
    }

    /// Tells the group's owner, or the ledger here, about one of this node's requests.
    pub(super) fn tell_owner(
        &mut self,
        key: &EngineGroup,
        owner: &VmName,
        message: PeerMessage,
        turn: &mut Turn<'_>,
    ) {
        if *owner != turn.board.own.name {
            turn.send_to(owner, message);
            return;
        }
        self.take_release(&message, turn);
        self.serve_group(key, turn);
    }

    fn finish_prefill(&mut self, request: &RequestId, end: EngineEnd, turn: &mut Turn<'_>) {
        let Some(lease) = self.active.get(request) else {
            return;
        };
        if let Some((key, owner)) = lease.owner.clone() {
            let message = PeerMessage::SlotPrefillDone {
                group: key.clone(),
                request: request.clone(),
                end,
            };
            self.tell_owner(&key, &owner, message, turn);
        }
    }

    pub(super) fn finish(&mut self, request: &RequestId, result: PlacementResult, turn: &mut Turn<'_>) {
        let owner = if let Some(lease) = self.active.remove(request) {
            for name in std::iter::once(&lease.grant.decode).chain(&lease.grant.prefill) {
                let facts = turn.board.upstream_mut(name);
                facts.in_flight = facts.in_flight.saturating_sub(1);
            }
            lease.owner
        } else if let Some(pending) = self.pending.remove(request) {
            let group = pending.groups.first().copied().unwrap_or(0);
            Some((EngineGroup::new(&pending.ask.model, group), pending.owner))
        } else {
            None
        };
        if let Some((key, owner)) = owner {
            let message = release_of(&key, request, result);
            self.tell_owner(&key, &owner, message, turn);
        }
    }

    /// Takes an owner's answer; a grant that nobody here waits for goes back.
    fn take_answer(
        &mut self,
        from: &VmName,
        key: &EngineGroup,
        request: &RequestId,
        verdict: &SlotVerdict,
        turn: &mut Turn<'_>,
    ) {
        self.owner_watch.note_answer(from);
        let is_expected = self
            .pending
            .get(request)
            .is_some_and(|pending| pending.owner == *from);
        if is_expected {
            self.take_verdict(request, verdict.clone(), turn);
            return;
        }
        let holds_it = self.active.get(request).and_then(|lease| lease.owner.as_ref());
        let is_held = holds_it.is_some_and(|(_, owner)| owner == from);
        if matches!(verdict, SlotVerdict::Granted { .. }) && !is_held {
            turn.send_to(from, release_of(key, request, PlacementResult::default()));
        }
    }
}

/// The refusal of a request that is held back, since upstreams ended under it.
pub(super) fn refuse_held(ask: &PlacementAsk, board: &Blackboard, now: Moment) -> Option<RefusalNotice> {
    let until = board.quarantined_until(ask.fingerprint, now)?;
    let notice = RefusalNotice::new(ResultCode::Quarantined, format!("{:016x}", ask.fingerprint));
    Some(notice.retry_after_ms(now.until_ms(until)))
}

pub(super) fn release_of(key: &EngineGroup, request: &RequestId, result: PlacementResult) -> PeerMessage {
    PeerMessage::SlotRelease {
        group: key.clone(),
        request: request.clone(),
        result,
    }
}

impl Controller for SlotController {
    fn hears(&self) -> &'static [EventKind] {
        &[
            EventKind::Tick,
            EventKind::PlacementWanted,
            EventKind::PrefillDone,
            EventKind::PlacementDone,
            EventKind::LoadReported,
            EventKind::PeerMessage,
        ]
    }

    fn handle(&mut self, event: &Event, turn: &mut Turn<'_>) {
        match event {
            Event::Tick { .. } => {
                self.look_at_owners(turn);
                self.tend_pending(turn);
                self.serve_waiting(turn);
                self.sweep(turn);
            }
            Event::PlacementWanted { ticket, ask } => self.place(*ticket, ask, turn),
            Event::PrefillDone { request, end } => self.finish_prefill(request, *end, turn),
            Event::PlacementDone { request, result } => {
                self.finish(request, *result, turn);
            }
            Event::LoadReported { upstream, load } => turn.board.upstream_mut(upstream).reported_load = *load,
            Event::PeerMessage { from, message, .. } => match message {
                PeerMessage::SlotAsk { group, ask } => self.answer_ask(from, *group, ask, turn),
                PeerMessage::SlotAnswer {
                    group,
                    request,
                    verdict,
                } => {
                    self.take_answer(from, group, request, verdict, turn);
                }
                PeerMessage::LimitsHandedOver { key } => self.take_over(key, turn),
                PeerMessage::SlotHeld { group, held } => self.adopt(group, held, Some(from.clone()), turn),
                PeerMessage::SlotPrefillDone { .. } | PeerMessage::SlotRelease { .. } => {
                    if let Some(key) = self.take_release(message, turn) {
                        self.serve_group(&key, turn);
                    }
                }
                _ => {}
            },
            _ => {}
        }
    }

    fn wake_at(&self, board: &Blackboard, now: Moment) -> Option<Moment> {
        let asks = self
            .pending
            .values()
            .map(|pending| pending.answer_by.min(pending.ask_again_at));
        let is_waiting = self.ledgers.values().any(|ledger| ledger.waiting() > 0);
        let queue = is_waiting.then_some(now.after_ms(QUEUE_TICK_MS));
        let is_busy = !self.active.is_empty() || self.ledgers.values().any(|ledger| !ledger.is_idle());
        let sweep = is_busy.then_some(self.next_sweep);
        let look = (!board.rate_limits.is_empty() && !self.ledgers.is_empty()).then_some(self.next_look);
        asks.chain(queue).chain(sweep).chain(look).min()
    }
}
