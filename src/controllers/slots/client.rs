//! The client side of slot grants: requests slots for this VM's requests and releases them.

use std::sync::Arc;

use super::{
    EngineGroup, EngineOutcome, GroupLedger, LocalChooser, MemoryLoad, PlacementGrant, PlacementPolicy,
    PlacementRequest, PlacementResult, RequestId, group_count,
};
use crate::blackboard::RunRestriction;
use crate::controllers::Reply;
use crate::controllers::message::{PeerMessage, SlotVerdict};
use crate::controllers::owner_watch::{ANSWER_LIMIT_MS, OwnerWatch};
use crate::controllers::ownership::{find_owner, find_owner_except};
use crate::controllers::rendezvous;
use crate::controllers::retry_budget::RetryBudget;
use crate::prelude::*;

/// Time after which a pending request is sent to its owner again, in milliseconds. A missing answer then
/// shows that the owner is lost.
pub(super) const RESEND_INTERVAL_MS: u64 = 500;

/// Time between two passes over a queue, whose requests may have become late, in milliseconds.
const QUEUE_INTERVAL_MS: u64 = 50;

/// Retry-After of refusals by this VM, for example if no engine is usable, in milliseconds.
pub(super) const RETRY_AFTER_MS: u64 = 1_000;

/// Number of groups that are tried before a request is refused.
const MAX_GROUPS_TRIED: usize = 2;

/// A request of this VM that waits for its owner to grant or refuse slots.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) ticket: ReplyTicket,
    pub(super) ask: PlacementRequest,
    /// Groups still to try, the current one first.
    pub(super) groups: Vec<u32>,
    pub(super) owner: VmName,
    pub(super) answer_by: Moment,
    pub(super) resend_at: Moment,
    /// Whether `owner` is the fallback owner, since the first one did not answer.
    pub(super) is_fallback: bool,
    /// Whether the owner answered that it is queued.
    pub(super) is_queued: bool,
}

/// A request of this VM that holds slots.
#[derive(Debug)]
pub(super) struct ActiveLease {
    pub(super) grant: PlacementGrant,
    pub(super) workspace: Arc<str>,
    pub(super) load: MemoryLoad,
    pub(super) deadline: Moment,
    /// The group and its owner; `None` if this VM chose the engines without an owner.
    pub(super) owner: Option<(EngineGroup, VmName)>,
}

/// Grants slots of the groups that this VM owns, and requests slots for this VM's own requests.
pub struct SlotController {
    policy: PlacementPolicy,
    /// Whether the exit of this VM cuts the generations that it forwards.
    cuts_runs_on_exit: bool,
    pub(super) group_size: usize,
    chooser: LocalChooser,
    budget: RetryBudget,
    pub(super) ledgers: FastMap<EngineGroup, GroupLedger>,
    pub(super) pending: FastMap<RequestId, PendingRequest>,
    pub(super) active: FastMap<RequestId, ActiveLease>,
    pub(super) next_sweep: Moment,
    pub(super) owner_watch: OwnerWatch,
    /// When to check next who owns the groups, while engines report limits.
    pub(super) next_owner_check: Moment,
}

impl SlotController {
    /// Creates a controller with the given placement policy; `seed` is for random choices.
    pub fn new(policy: PlacementPolicy, group_size: usize, seed: u64) -> Self {
        Self {
            policy,
            cuts_runs_on_exit: false,
            group_size,
            chooser: LocalChooser::new(seed),
            budget: RetryBudget::default(),
            ledgers: FastMap::default(),
            pending: FastMap::default(),
            active: FastMap::default(),
            next_sweep: Moment::default(),
            owner_watch: OwnerWatch::default(),
            next_owner_check: Moment::default(),
        }
    }

    /// Makes requests subject to the exit of this VM, which cuts the generations that it forwards. By default
    /// they go on at their engines.
    pub fn cutting_runs_on_exit(mut self) -> Self {
        self.cuts_runs_on_exit = true;
        self
    }

    /// When this VM cuts its generations; `None` if it does not.
    fn cut_at(&self, board: &Blackboard) -> Option<Moment> {
        let drain = board.drain.filter(|_| self.cuts_runs_on_exit)?;
        Some(drain.exit_at)
    }

    /// Tells the owners of pending requests when this VM exits, so that they refuse those which can't be complete
    /// by then.
    fn announce_exit(&mut self, context: &mut ControlContext<'_>) {
        let cut_at = self.cut_at(context.board);
        if cut_at.is_none() {
            return;
        }
        for pending in self.pending.values_mut() {
            pending.ask.cut_at = cut_at;
        }
        let requests: Vec<RequestId> = self.pending.keys().cloned().collect();
        for request in requests {
            self.retry_request(&request, context);
        }
    }

    /// Refuses a request, or starts its placement by the controller's policy.
    fn place(&mut self, ticket: ReplyTicket, ask: PlacementRequest, context: &mut ControlContext<'_>) {
        let ask = PlacementRequest {
            cut_at: self.cut_at(context.board),
            ..ask
        };
        if let Some(refusal) = self.refuse(&ask, context) {
            context.actions.push(Action::Reply {
                ticket,
                reply: Reply::Refused(refusal),
            });
            return;
        }
        if self.policy != PlacementPolicy::Owner {
            self.choose_locally(ticket, &ask, self.policy, context);
            return;
        }
        let groups = self.rank_groups(&ask, context);
        self.request_from_owner(ticket, ask, groups, None, context);
    }

    /// Refuses a request that is quarantined, past its deadline, or a retry beyond the workspace's retry
    /// budget. Requests that aren't retries add to that budget.
    fn refuse(&mut self, ask: &PlacementRequest, context: &ControlContext<'_>) -> Option<RefusalNotice> {
        if let Some(notice) = refuse_quarantined(ask, context.board, context.now) {
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

    /// The groups to try, first the one that is most likely to have the prompt's prefix cached.
    fn rank_groups(&self, ask: &PlacementRequest, context: &ControlContext<'_>) -> Vec<u32> {
        let count = group_count(&context.board.engines(&ask.model), self.group_size);
        let key = ask
            .prefix
            .first()
            .copied()
            .unwrap_or(ask.features.content())
            .to_string();
        let mut groups: Vec<u32> = (0..count).collect();
        groups.sort_by_key(|group| std::cmp::Reverse(rendezvous::weight(&key, &group.to_string())));
        groups.truncate(MAX_GROUPS_TRIED);
        groups
    }

    /// The VM that owns a group in this VM's view of the live VMs.
    pub(super) fn owner_of(&self, key: &EngineGroup, context: &ControlContext<'_>) -> VmName {
        find_owner(&key.owner_key(), context.board, context.now)
    }

    /// Sends a request to the owner of its first group, or to the fallback owner if `unresponsive` did not
    /// answer.
    pub(super) fn request_from_owner(
        &mut self,
        ticket: ReplyTicket,
        ask: PlacementRequest,
        groups: Vec<u32>,
        unresponsive: Option<&VmName>,
        context: &mut ControlContext<'_>,
    ) {
        let group = groups.first().copied().unwrap_or(0);
        let key = EngineGroup::new(&ask.model, group);
        let owner = find_owner_except(&key.owner_key(), unresponsive, context.board, context.now);
        let request = ask.request.clone();
        let pending = PendingRequest {
            ticket,
            ask,
            groups,
            owner: owner.clone(),
            answer_by: context.now.after_ms(ANSWER_LIMIT_MS),
            resend_at: context.now.after_ms(RESEND_INTERVAL_MS),
            is_fallback: unresponsive.is_some(),
            is_queued: false,
        };
        self.pending.insert(request.clone(), pending);
        self.send_request(&request, &key, &owner, context);
    }

    /// Sends a pending request to its owner. If this VM is the owner, decides on the request at once.
    pub(super) fn send_request(
        &mut self,
        request: &RequestId,
        key: &EngineGroup,
        owner: &VmName,
        context: &mut ControlContext<'_>,
    ) {
        let Some(pending) = self.pending.get(request) else {
            return;
        };
        if *owner == context.board.own.name {
            let ask = pending.ask.clone();
            let group_size = self.group_size;
            let verdict = self.refresh_ledger(key, context).request_slots(
                &ask,
                None,
                context.board,
                group_size,
                context.now,
            );
            self.record_permits(&verdict, context);
            self.apply_verdict(request, verdict, context);
            return;
        }
        let message = PeerMessage::SlotRequest {
            group: key.index,
            request: pending.ask.clone(),
        };
        context.send_to(owner, message);
    }

    /// Handles the verdict on one of this VM's own requests.
    pub(super) fn apply_verdict(
        &mut self,
        request: &RequestId,
        verdict: SlotVerdict,
        context: &mut ControlContext<'_>,
    ) {
        if verdict == SlotVerdict::Queued {
            if let Some(pending) = self.pending.get_mut(request) {
                context.log_step(format!("event=queued place={request} owner={}", pending.owner));
                pending.answer_by = context.now.after_ms(RESEND_INTERVAL_MS + ANSWER_LIMIT_MS);
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
                self.request_from_owner(pending.ticket, pending.ask, groups, None, context);
            }
            SlotVerdict::Refused(notice) => context.actions.push(Action::Reply {
                ticket: pending.ticket,
                reply: Reply::Refused(notice),
            }),
        }
    }

    /// Records the lease of a granted request and answers the request.
    fn activate(
        &mut self,
        ticket: ReplyTicket,
        ask: &PlacementRequest,
        grant: PlacementGrant,
        owner: Option<(EngineGroup, VmName)>,
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

    /// Places a request without an owner, or refuses it if no engine is usable.
    pub(super) fn choose_locally(
        &mut self,
        ticket: ReplyTicket,
        ask: &PlacementRequest,
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

    /// Reports a prefill's end or a release to the group's owner. If this VM is the owner, applies it at
    /// once.
    pub(super) fn notify_owner(
        &mut self,
        key: &EngineGroup,
        owner: &VmName,
        message: PeerMessage,
        context: &mut ControlContext<'_>,
    ) {
        if *owner != context.board.own.name {
            context.send_to(owner, message);
            return;
        }
        self.apply_release(&message, context);
        self.serve_group(key, context);
    }

    /// Reports the end of a prefill to the owner that granted the engines.
    fn finish_prefill(&mut self, request: &RequestId, end: EngineOutcome, context: &mut ControlContext<'_>) {
        let Some(lease) = self.active.get(request) else {
            return;
        };
        if let Some((key, owner)) = lease.owner.clone() {
            let message = PeerMessage::SlotPrefillDone {
                group: key.clone(),
                request: request.clone(),
                end,
            };
            self.notify_owner(&key, &owner, message, context);
        }
    }

    /// Ends an attempt that holds slots or is pending, and releases it at its owner.
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
            let message = release_message(&key, request, result);
            self.notify_owner(&key, &owner, message, context);
        }
    }

    /// Handles an owner's answer. A grant that no request of this VM waits for or holds is released.
    fn handle_answer(
        &mut self,
        from: &VmName,
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
            self.apply_verdict(request, verdict.clone(), context);
            return;
        }
        let granting_owner = self.active.get(request).and_then(|lease| lease.owner.as_ref());
        let is_held = granting_owner.is_some_and(|(_, owner)| owner == from);
        if matches!(verdict, SlotVerdict::Granted { .. }) && !is_held {
            context.send_to(from, release_message(key, request, PlacementResult::default()));
        }
    }
}

/// A refusal for a request that is quarantined because it is suspected of crashing upstreams; `None` if it
/// isn't.
pub(super) fn refuse_quarantined(
    ask: &PlacementRequest,
    board: &Blackboard,
    now: Moment,
) -> Option<RefusalNotice> {
    match board.suspicions.restriction(&ask.features, now) {
        RunRestriction::Quarantined { feature, until } => {
            let notice = RefusalNotice::new(ResultCode::Quarantined, feature.to_string());
            Some(notice.retry_after_ms(now.until_ms(until)))
        }
        RunRestriction::Trial(_) | RunRestriction::Unrestricted => None,
    }
}

/// The message that releases a request's slots, or removes it from the queue, at a group's owner.
pub(super) fn release_message(
    key: &EngineGroup,
    request: &RequestId,
    result: PlacementResult,
) -> PeerMessage {
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
            EventKind::LeaveOrdered,
            EventKind::PeerMessage,
        ]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::Tick { .. } => {
                self.refresh_owners(context);
                self.retry_pending(context);
                self.serve_waiting(context);
                self.sweep(context);
            }
            Event::PlacementWanted { ticket, request } => self.place(*ticket, request.clone(), context),
            Event::LeaveOrdered { .. } => self.announce_exit(context),
            Event::PrefillDone { request, end } => self.finish_prefill(request, *end, context),
            Event::PlacementDone { request, result } => {
                self.finish(request, *result, context);
            }
            Event::LoadReported { upstream, load } => {
                context.board.upstream_mut(upstream).reported_load = *load
            }
            Event::PeerMessage { from, message, .. } => match message {
                PeerMessage::SlotRequest { group, request } => {
                    self.answer_request(from, *group, request, context)
                }
                PeerMessage::SlotAnswer {
                    group,
                    request,
                    verdict,
                } => {
                    self.handle_answer(from, group, request, verdict, context);
                }
                PeerMessage::LimitsHandedOver { key } => self.accept_handover(key, context),
                PeerMessage::SlotHeld { group, held } => self.adopt(group, held, Some(from.clone()), context),
                PeerMessage::SlotPrefillDone { .. } | PeerMessage::SlotRelease { .. } => {
                    if let Some(key) = self.apply_release(message, context) {
                        self.serve_group(&key, context);
                    }
                }
                _ => {}
            },
            _ => {}
        }
    }

    fn wake_at(&self, board: &Blackboard, now: Moment) -> Option<Moment> {
        let request_deadlines = self
            .pending
            .values()
            .map(|pending| pending.answer_by.min(pending.resend_at));
        let is_waiting = self.ledgers.values().any(|ledger| ledger.waiting() > 0);
        let queue = is_waiting.then_some(now.after_ms(QUEUE_INTERVAL_MS));
        let is_busy = !self.active.is_empty() || self.ledgers.values().any(|ledger| !ledger.is_idle());
        let sweep = is_busy.then_some(self.next_sweep);
        let owner_check =
            (!board.rate_limits.is_empty() && !self.ledgers.is_empty()).then_some(self.next_owner_check);
        request_deadlines
            .chain(queue)
            .chain(sweep)
            .chain(owner_check)
            .min()
    }
}
