//! The asker's side of a slot exchange: gets slots for this node's own requests, and gives them back.

use std::sync::Arc;

use super::{
    EngineEnd, EngineGroup, GroupLedger, LocalChooser, MemoryLoad, PlacementAsk, PlacementGrant,
    PlacementPolicy, PlacementResult, RequestId, group_count,
};
use crate::controllers::Reply;
use crate::controllers::message::{PeerMessage, SlotVerdict};
use crate::controllers::owner_watch::{ANSWER_LIMIT_MS, OwnerWatch};
use crate::controllers::ownership::{find_owner, find_owner_except};
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
    pub(super) owner: VmAddress,
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
    pub(super) owner: Option<(EngineGroup, VmAddress)>,
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

    fn place(&mut self, ticket: ReplyTicket, ask: &PlacementAsk, context: &mut ControlContext<'_>) {
        if let Some(refusal) = self.refuse(ask, context) {
            context.actions.push(Action::Reply {
                ticket,
                reply: Reply::Refused(refusal),
            });
            return;
        }
        if self.policy != PlacementPolicy::Owner {
            self.choose_alone(ticket, ask, self.policy, context);
            return;
        }
        let groups = self.rank_groups(ask, context);
        self.ask_owner(ticket, ask.clone(), groups, None, context);
    }

    fn refuse(&mut self, ask: &PlacementAsk, context: &ControlContext<'_>) -> Option<RefusalNotice> {
        if let Some(notice) = refuse_held(ask, context.board, context.now) {
            return Some(notice);
        }
        if context.now.reached(ask.deadline) {
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
    fn rank_groups(&self, ask: &PlacementAsk, context: &ControlContext<'_>) -> Vec<u32> {
        let count = group_count(&context.board.engines(&ask.model), self.group_size);
        let key = ask.prefix.first().copied().unwrap_or(ask.fingerprint).to_string();
        let mut groups: Vec<u32> = (0..count).collect();
        groups.sort_by_key(|group| std::cmp::Reverse(rendezvous::weight(&key, &group.to_string())));
        groups.truncate(GROUPS_TO_TRY);
        groups
    }

    /// The VM that owns a group, as this node sees it.
    pub(super) fn owner_of(&self, key: &EngineGroup, context: &ControlContext<'_>) -> VmAddress {
        find_owner(&key.owner_key(), context.board, context.now)
    }

    /// Asks the owner of a request's first group, or the next one where that is silent.
    pub(super) fn ask_owner(
        &mut self,
        ticket: ReplyTicket,
        ask: PlacementAsk,
        groups: Vec<u32>,
        silent: Option<&VmAddress>,
        context: &mut ControlContext<'_>,
    ) {
        let group = groups.first().copied().unwrap_or(0);
        let key = EngineGroup::new(&ask.model, group);
        let owner = find_owner_except(&key.owner_key(), silent, context.board, context.now);
        let request = ask.request.clone();
        let pending = PendingAsk {
            ticket,
            ask,
            groups,
            owner: owner.clone(),
            answer_by: context.now.after_ms(ANSWER_LIMIT_MS),
            ask_again_at: context.now.after_ms(ASK_AGAIN_MS),
            is_second: silent.is_some(),
            is_queued: false,
        };
        self.pending.insert(request.clone(), pending);
        self.send_ask(&request, &key, &owner, context);
    }

    /// Sends a pending request to its owner, which may be this node.
    pub(super) fn send_ask(
        &mut self,
        request: &RequestId,
        key: &EngineGroup,
        owner: &VmAddress,
        context: &mut ControlContext<'_>,
    ) {
        let Some(pending) = self.pending.get(request) else {
            return;
        };
        if *owner == context.board.own.name {
            let ask = pending.ask.clone();
            let group_size = self.group_size;
            let verdict =
                self.look_at_ledger(key, context)
                    .ask(&ask, None, context.board, group_size, context.now);
            self.note_permits(&verdict, context);
            self.take_verdict(request, verdict, context);
            return;
        }
        let message = PeerMessage::SlotRequest {
            group: key.index,
            ask: pending.ask.clone(),
        };
        context.send_to(owner, message);
    }

    /// Takes the answer to one of this node's own requests.
    pub(super) fn take_verdict(
        &mut self,
        request: &RequestId,
        verdict: SlotVerdict,
        context: &mut ControlContext<'_>,
    ) {
        if verdict == SlotVerdict::Queued {
            if let Some(pending) = self.pending.get_mut(request) {
                context.log_step(format!("event=queued place={request} owner={}", pending.owner));
                pending.answer_by = context.now.after_ms(ASK_AGAIN_MS + ANSWER_LIMIT_MS);
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
                self.activate(pending.ticket, &pending.ask, grant, owner, context);
            }
            SlotVerdict::Refused(_) if pending.groups.len() > 1 => {
                let groups = pending.groups[1..].to_vec();
                self.ask_owner(pending.ticket, pending.ask, groups, None, context);
            }
            SlotVerdict::Refused(notice) => context.actions.push(Action::Reply {
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
        owner: Option<(EngineGroup, VmAddress)>,
        context: &mut ControlContext<'_>,
    ) {
        context.board.upstream_mut(&grant.decode).in_flight += 1;
        if let Some(prefill) = &grant.prefill {
            context.board.upstream_mut(prefill).in_flight += 1;
        }
        let lease = ActiveLease {
            grant: grant.clone(),
            workspace: ask.workspace.clone(),
            load: ask.memory_load(context.now),
            deadline: ask.deadline,
            owner,
        };
        self.active.insert(ask.request.clone(), lease);
        context.actions.push(Action::Reply {
            ticket,
            reply: Reply::Placed(grant),
        });
    }

    pub(super) fn choose_alone(
        &mut self,
        ticket: ReplyTicket,
        ask: &PlacementAsk,
        policy: PlacementPolicy,
        context: &mut ControlContext<'_>,
    ) {
        match self.chooser.choose(policy, ask, context.board, context.now) {
            Some(grant) => self.activate(ticket, ask, grant, None, context),
            None => {
                let notice = RefusalNotice::new(ResultCode::NoUpstream, ask.model.to_string());
                context.actions.push(Action::Reply {
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
        owner: &VmAddress,
        message: PeerMessage,
        context: &mut ControlContext<'_>,
    ) {
        if *owner != context.board.own.name {
            context.send_to(owner, message);
            return;
        }
        self.take_release(&message, context);
        self.serve_group(key, context);
    }

    fn finish_prefill(&mut self, request: &RequestId, end: EngineEnd, context: &mut ControlContext<'_>) {
        let Some(lease) = self.active.get(request) else {
            return;
        };
        if let Some((key, owner)) = lease.owner.clone() {
            let message = PeerMessage::SlotPrefillDone {
                group: key.clone(),
                request: request.clone(),
                end,
            };
            self.tell_owner(&key, &owner, message, context);
        }
    }

    pub(super) fn finish(
        &mut self,
        request: &RequestId,
        result: PlacementResult,
        context: &mut ControlContext<'_>,
    ) {
        let owner = if let Some(lease) = self.active.remove(request) {
            for name in std::iter::once(&lease.grant.decode).chain(&lease.grant.prefill) {
                let facts = context.board.upstream_mut(name);
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
            self.tell_owner(&key, &owner, message, context);
        }
    }

    /// Takes an owner's answer; a grant that nobody here waits for goes back.
    fn take_answer(
        &mut self,
        from: &VmAddress,
        key: &EngineGroup,
        request: &RequestId,
        verdict: &SlotVerdict,
        context: &mut ControlContext<'_>,
    ) {
        self.owner_watch.record_answer(from);
        let is_expected = self
            .pending
            .get(request)
            .is_some_and(|pending| pending.owner == *from);
        if is_expected {
            self.take_verdict(request, verdict.clone(), context);
            return;
        }
        let holds_it = self.active.get(request).and_then(|lease| lease.owner.as_ref());
        let is_held = holds_it.is_some_and(|(_, owner)| owner == from);
        if matches!(verdict, SlotVerdict::Granted { .. }) && !is_held {
            context.send_to(from, release_of(key, request, PlacementResult::default()));
        }
    }
}

/// The refusal of a request that is held back, since upstreams ended under it.
pub(super) fn refuse_held(ask: &PlacementAsk, board: &Blackboard, now: Moment) -> Option<RefusalNotice> {
    let until = board.held_until(ask.fingerprint, now)?;
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
    fn subscriptions(&self) -> &'static [EventKind] {
        &[
            EventKind::Tick,
            EventKind::PlacementWanted,
            EventKind::PrefillDone,
            EventKind::PlacementDone,
            EventKind::LoadReported,
            EventKind::PeerMessage,
        ]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::Tick { .. } => {
                self.look_at_owners(context);
                self.tend_pending(context);
                self.serve_waiting(context);
                self.sweep(context);
            }
            Event::PlacementWanted { ticket, ask } => self.place(*ticket, ask, context),
            Event::PrefillDone { request, end } => self.finish_prefill(request, *end, context),
            Event::PlacementDone { request, result } => {
                self.finish(request, *result, context);
            }
            Event::LoadReported { upstream, load } => {
                context.board.upstream_mut(upstream).reported_load = *load
            }
            Event::PeerMessage { from, message, .. } => match message {
                PeerMessage::SlotRequest { group, ask } => self.answer_ask(from, *group, ask, context),
                PeerMessage::SlotAnswer {
                    group,
                    request,
                    verdict,
                } => {
                    self.take_answer(from, group, request, verdict, context);
                }
                PeerMessage::LimitsHandedOver { key } => self.take_over(key, context),
                PeerMessage::SlotHeld { group, held } => self.adopt(group, held, Some(from.clone()), context),
                PeerMessage::SlotPrefillDone { .. } | PeerMessage::SlotRelease { .. } => {
                    if let Some(key) = self.take_release(message, context) {
                        self.serve_group(&key, context);
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
