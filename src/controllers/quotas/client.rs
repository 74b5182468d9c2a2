//! Asks the owners of quotas for the tokens of this VM's own requests.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{QuotaController, QuotaGrant, QuotaVerdict, quota_key};
use crate::controllers::Reply;
use crate::controllers::message::PeerMessage;
use crate::controllers::owner_watch::ANSWER_LIMIT_MS;
use crate::controllers::ownership::{find_owner_except, suspect_owner};
use crate::prelude::*;
use crate::register::{QuotaRule, QuotaUnit};

/// Number of calls of a low cost for which tokens are requested at a time.
const ADVANCE_CALLS: u64 = 5;

/// How long tokens granted in advance may be used, in milliseconds. Unused ones are returned, so that what
/// arrives at replicas in a window was granted at most this long before it.
const ADVANCE_VALID_MS: u64 = 1_000;

/// Number of calls served from an amount in advance from which the next is requested before a call needs it.
const RENEWING_CALLS: u32 = 2;

/// Tokens that were granted in advance and are not used yet.
#[derive(Debug)]
pub(super) struct AdvanceAmount {
    owner: VmName,
    tokens: u64,
    pub(super) expires_at: Moment,
    /// Number of calls that were served from it.
    used_count: u32,
}

/// A request to an owner that is not answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingAsk {
    /// The request that waits; `None` if the tokens are an amount in advance that no request waits for.
    ticket: Option<ReplyTicket>,
    workspace: Arc<str>,
    owner: VmName,
    /// Units that the request costs.
    cost: u64,
    /// Units requested; more than the cost if some are for later calls.
    wanted: u64,
    pub(super) answer_by: Moment,
    /// Whether `owner` is the fallback owner, since the first one did not answer.
    is_fallback: bool,
}

impl PendingAsk {
    fn is_advance(&self) -> bool {
        self.wanted > self.cost
    }
}

/// The most requests without an answer in time that are remembered.
const MAX_ABANDONED: usize = 256;

/// Requests that were not answered in time, the oldest first. Tokens of a late answer are returned.
#[derive(Debug, Default)]
pub(super) struct AbandonedAsks(VecDeque<(u64, Arc<str>)>);

impl AbandonedAsks {
    fn insert(&mut self, number: u64, workspace: Arc<str>) {
        if self.0.len() >= MAX_ABANDONED {
            self.0.pop_front();
        }
        self.0.push_back((number, workspace));
    }

    fn remove(&mut self, number: u64) -> Option<Arc<str>> {
        let index = self.0.iter().position(|(known, _)| *known == number)?;
        self.0.remove(index).map(|(_, workspace)| workspace)
    }
}

/// Whether a request's cost is low enough for tokens to be requested in advance.
fn is_low_cost(rule: &QuotaRule, tokens: u64) -> bool {
    match rule.unit {
        QuotaUnit::Requests => true,
        QuotaUnit::Tokens => tokens <= u64::from(rule.plain_tokens),
    }
}

impl QuotaController {
    /// Requests the tokens of one of this VM's requests, unless there are unused ones from a grant in advance.
    pub(super) fn request_tokens(
        &mut self,
        ticket: ReplyTicket,
        workspace: &Arc<str>,
        tokens: u64,
        context: &mut ControlContext<'_>,
    ) {
        self.follow_register(context);
        let Some(owner) = self.refresh_owner(workspace, context) else {
            let grant = QuotaGrant {
                workspace: workspace.clone(),
                tokens: 0,
                owner: context.board.own.name.clone(),
            };
            context.reply(ticket, Reply::QuotaGranted(grant));
            return;
        };
        if self.take_from_advance(ticket, workspace, tokens, context) {
            return;
        }
        let asks_advance = self.expects_calls(workspace, tokens, context.now)
            && owner != context.board.own.name
            && !self.awaits_advance(workspace);
        let ask = PendingAsk {
            ticket: Some(ticket),
            workspace: workspace.clone(),
            owner,
            cost: tokens,
            wanted: if asks_advance {
                tokens * ADVANCE_CALLS
            } else {
                tokens
            },
            answer_by: context.now.after_ms(ANSWER_LIMIT_MS),
            is_fallback: false,
        };
        self.send_ask(ask, context);
    }

    /// Whether a request is a call of a low cost and more are likely to follow, as this is not the first one
    /// within [`ADVANCE_VALID_MS`].
    fn expects_calls(&mut self, workspace: &Arc<str>, tokens: u64, now: Moment) -> bool {
        let Some(quota) = self.quotas.get_mut(workspace) else {
            return false;
        };
        if !is_low_cost(&quota.rule, tokens) {
            return false;
        }
        let previous = quota.called_at.replace(now);
        previous.is_some_and(|at| !now.reached(at.after_ms(ADVANCE_VALID_MS)))
    }

    fn awaits_advance(&self, workspace: &Arc<str>) -> bool {
        let mut asks = self.pending.values();
        asks.any(|ask| ask.workspace == *workspace && ask.is_advance())
    }

    /// Serves a request from tokens that were granted in advance, and requests more once they run out. Returns
    /// false if there are too few.
    fn take_from_advance(
        &mut self,
        ticket: ReplyTicket,
        workspace: &Arc<str>,
        tokens: u64,
        context: &mut ControlContext<'_>,
    ) -> bool {
        let now = context.now;
        let Some(advance) = self.advances.get_mut(workspace) else {
            return false;
        };
        if advance.tokens < tokens || now.reached(advance.expires_at) {
            return false;
        }
        advance.tokens -= tokens;
        advance.used_count += 1;
        let grant = QuotaGrant {
            workspace: workspace.clone(),
            tokens,
            owner: advance.owner.clone(),
        };
        let runs_out = advance.tokens < tokens && advance.used_count >= RENEWING_CALLS;
        context.reply(ticket, Reply::QuotaGranted(grant));
        if runs_out {
            self.ask_in_advance(workspace, tokens, context);
        }
        true
    }

    /// Requests tokens for later calls of this cost, which no request waits for.
    fn ask_in_advance(&mut self, workspace: &Arc<str>, cost: u64, context: &mut ControlContext<'_>) {
        if self.awaits_advance(workspace) {
            return;
        }
        let Some(owner) = self.refresh_owner(workspace, context) else {
            return;
        };
        if owner == context.board.own.name {
            return;
        }
        let ask = PendingAsk {
            ticket: None,
            workspace: workspace.clone(),
            owner,
            cost: 0,
            wanted: cost * ADVANCE_CALLS,
            answer_by: context.now.after_ms(ANSWER_LIMIT_MS),
            is_fallback: false,
        };
        self.send_ask(ask, context);
    }

    fn send_ask(&mut self, ask: PendingAsk, context: &mut ControlContext<'_>) {
        if ask.owner == context.board.own.name {
            let verdict = self.decide(&ask.workspace.clone(), ask.cost, ask.cost, context);
            self.finish_ask(ask, verdict, context);
            return;
        }
        self.next_number += 1;
        let message = PeerMessage::QuotaRequest {
            number: self.next_number,
            workspace: ask.workspace.clone(),
            tokens: ask.wanted,
            least: ask.cost,
        };
        context.send_to(&ask.owner, message);
        self.pending.insert(self.next_number, ask);
    }

    /// Handles an owner's answer. Tokens that come too late are returned to the owner.
    pub(super) fn handle_answer(
        &mut self,
        from: &VmName,
        number: u64,
        verdict: QuotaVerdict,
        context: &mut ControlContext<'_>,
    ) {
        self.owner_watch.record_answer(from);
        let is_expected = |key: &u64, ask: &mut PendingAsk| *key == number && ask.owner == *from;
        let ask = self.pending.extract_if(|key, ask| is_expected(key, ask)).next();
        if let Some((_, ask)) = ask {
            self.finish_ask(ask, verdict, context);
        } else if let QuotaVerdict::Granted { tokens } = verdict
            && let Some(workspace) = self.abandoned.remove(number)
        {
            self.return_tokens(&workspace, from, tokens, context);
        }
    }

    fn finish_ask(&mut self, ask: PendingAsk, verdict: QuotaVerdict, context: &mut ControlContext<'_>) {
        let now = context.now;
        match (verdict, ask.ticket) {
            (QuotaVerdict::Granted { tokens }, ticket) => {
                if let Some(ticket) = ticket {
                    let grant = QuotaGrant {
                        workspace: ask.workspace.clone(),
                        tokens: ask.cost,
                        owner: ask.owner.clone(),
                    };
                    context.reply(ticket, Reply::QuotaGranted(grant));
                }
                let rest = tokens.saturating_sub(ask.cost);
                self.add_advance(&ask, rest, context);
            }
            (QuotaVerdict::Refused { .. }, Some(ticket)) if self.is_isolated(context) => {
                context.reply(ticket, Reply::QuotaUnavailable);
            }
            (QuotaVerdict::Refused { retry_ms }, Some(ticket)) => {
                let retry_at = now.after_ms(retry_ms);
                context.reply(ticket, Reply::QuotaRefused { retry_at });
            }
            (QuotaVerdict::Refused { .. }, None) => {}
        }
    }

    /// Keeps tokens for later calls. Those of another owner are returned first.
    fn add_advance(&mut self, ask: &PendingAsk, tokens: u64, context: &mut ControlContext<'_>) {
        if tokens == 0 {
            return;
        }
        // The owner charged them between the time of the request and now.
        let charged_at = Moment(ask.answer_by.0.saturating_sub(ANSWER_LIMIT_MS));
        let mut advance = AdvanceAmount {
            owner: ask.owner.clone(),
            tokens,
            expires_at: charged_at.after_ms(ADVANCE_VALID_MS),
            used_count: 0,
        };
        match self.advances.remove(&ask.workspace) {
            Some(rest) if rest.owner == advance.owner => {
                advance.tokens += rest.tokens;
                advance.expires_at = advance.expires_at.min(rest.expires_at);
                advance.used_count = rest.used_count;
                if rest.tokens == 0 {
                    advance.expires_at = charged_at.after_ms(ADVANCE_VALID_MS);
                    advance.used_count = 0;
                }
            }
            Some(rest) => self.return_tokens(&ask.workspace, &rest.owner, rest.tokens, context),
            None => {}
        }
        self.advances.insert(ask.workspace.clone(), advance);
    }

    /// Returns amounts in advance that have expired to their owners. For workspaces whose calls used them, the
    /// next amount is requested.
    pub(super) fn return_expired(&mut self, context: &mut ControlContext<'_>) {
        let now = context.now;
        let expired = self
            .advances
            .extract_if(|_, advance| now.reached(advance.expires_at));
        let expired: Vec<(Arc<str>, AdvanceAmount)> = expired.collect();
        for (workspace, advance) in expired {
            self.return_tokens(&workspace, &advance.owner, advance.tokens, context);
            let rule = self.quotas.get(&workspace).map(|quota| &quota.rule);
            let cost = rule.map_or(0, |rule| rule.cost(0, 0));
            if advance.used_count >= RENEWING_CALLS && cost > 0 {
                self.ask_in_advance(&workspace, cost, context);
            }
        }
    }

    /// Handles requests that weren't answered in time: asks the fallback owner once, then gives up.
    pub(super) fn retry_overdue(&mut self, context: &mut ControlContext<'_>) {
        let now = context.now;
        let overdue = self.pending.extract_if(|_, ask| now.reached(ask.answer_by));
        let overdue: Vec<(u64, PendingAsk)> = overdue.collect();
        for (number, mut ask) in overdue {
            self.abandoned.insert(number, ask.workspace.clone());
            let is_dead = self
                .owner_watch
                .record_missing_answer(&ask.owner, ask.answer_by, now);
            if is_dead {
                suspect_owner(&ask.owner, context);
            }
            match ask.ticket {
                None => {}
                Some(ticket) if ask.is_fallback => {
                    context.reply(ticket, Reply::QuotaUnavailable);
                }
                Some(_) => {
                    let key = quota_key(&ask.workspace);
                    ask.owner = find_owner_except(&key, Some(&ask.owner), context.board, now);
                    ask.wanted = ask.cost;
                    ask.answer_by = now.after_ms(ANSWER_LIMIT_MS);
                    ask.is_fallback = true;
                    self.send_ask(ask, context);
                }
            }
        }
    }

    /// Returns the tokens of a request that reached no replica to the owner that granted them.
    pub(super) fn give_back(&mut self, grant: &QuotaGrant, context: &mut ControlContext<'_>) {
        self.return_tokens(&grant.workspace, &grant.owner, grant.tokens, context);
    }

    fn return_tokens(
        &mut self,
        workspace: &Arc<str>,
        owner: &VmName,
        tokens: u64,
        context: &mut ControlContext<'_>,
    ) {
        if tokens == 0 {
            return;
        }
        if *owner == context.board.own.name {
            self.put_back(workspace, tokens, context);
        } else {
            let workspace = workspace.clone();
            context.send_to(owner, PeerMessage::QuotaReturned { workspace, tokens });
        }
    }
}
