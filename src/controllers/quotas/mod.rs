//! Quotas of workspaces over all VMs together.
//!
//! Each workspace with a quota has one owner among the larger live VMs, which keeps a token bucket. A VM asks
//! the owner for the tokens of each request; for requests of a low cost it asks for several at a time. The
//! tokens of a request that reaches no replica are returned.

mod bucket;
mod client;
mod owner;

use std::sync::Arc;

pub use bucket::{BucketSize, QuotaTolerance, TokenBucket};

use client::{AbandonedAsks, AdvanceAmount, PendingAsk};
use owner::OwnedQuota;

use super::message::PeerMessage;
use super::owner_watch::OwnerWatch;
use crate::prelude::*;

/// The interval between checks of the ownership, in milliseconds.
const OWNER_CHECK_INTERVAL_MS: u64 = 250;

/// How long after its first configuration with quotas a process considers those that appear as new to all VMs,
/// in milliseconds. Before, it may be catching up with what the others have had for long.
const CATCH_UP_MS: u64 = 5_000;

/// The suffix of the keys from which the owners are computed.
const KEY_SUFFIX: &str = "/quota";

/// Tokens that an owner granted to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaGrant {
    /// The workspace whose quota they belong to.
    pub workspace: Arc<str>,
    /// Number of units; zero if the workspace has no quota any more.
    pub tokens: u64,
    /// The VM that granted them; unused ones are returned to it.
    pub owner: VmName,
}

/// The owner's answer to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// Tokens are granted.
    Granted {
        /// Number of units, at least as many as the request needs.
        tokens: u64,
    },
    /// The quota is used up.
    Refused {
        /// When the caller should come back, in milliseconds from now.
        retry_ms: u64,
    },
}

/// Grants the quotas that this VM owns, and asks the owners of the others for tokens.
pub struct QuotaController {
    tolerance: QuotaTolerance,
    is_first_start: bool,
    /// The register whose quotas are in `quotas`; `None` before the first.
    register: Option<Arc<Register>>,
    /// When this process first had a register with quotas; `None` before.
    begun_at: Option<Moment>,
    /// All quotas of the register in force, by workspace.
    quotas: FastMap<Arc<str>, OwnedQuota>,
    /// Unused tokens for requests of a low cost, by workspace.
    advances: FastMap<Arc<str>, AdvanceAmount>,
    /// Requests to owners that are not answered yet, by number.
    pending: FastMap<u64, PendingAsk>,
    abandoned: AbandonedAsks,
    next_number: u64,
    owner_watch: OwnerWatch,
    next_check: Moment,
}

impl QuotaController {
    /// Creates a controller. `is_first_start` tells that the whole deployment starts for the first time, so
    /// that no tokens can have been granted before.
    pub fn new(tolerance: QuotaTolerance, is_first_start: bool) -> Self {
        Self {
            tolerance,
            is_first_start,
            register: None,
            begun_at: None,
            quotas: FastMap::default(),
            advances: FastMap::default(),
            pending: FastMap::default(),
            abandoned: AbandonedAsks::default(),
            next_number: 0,
            owner_watch: OwnerWatch::default(),
            next_check: Moment::default(),
        }
    }

    /// Applies the quotas of the register in force if it has changed.
    fn follow_register(&mut self, context: &ControlContext<'_>) {
        let register = &context.board.register.register;
        if self
            .register
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, register))
        {
            return;
        }
        let now = context.now;
        let is_caught_up = |begun_at: &Moment| now.reached(begun_at.after_ms(CATCH_UP_MS));
        let known_since = self.begun_at.filter(is_caught_up).map(|_| now);
        let rules = register.callers.iter().flat_map(|callers| callers.iter());
        let rules = rules.filter_map(|rule| Some((&rule.name, rule.quota.as_ref()?)));
        let mut quotas = FastMap::default();
        for (name, rule) in rules {
            let quota = match self.quotas.remove(name) {
                Some(quota) => quota.with_rule(rule, &self.tolerance, now),
                None => OwnedQuota::new(rule, &self.tolerance, known_since, now),
            };
            quotas.insert(name.clone(), quota);
        }
        if !quotas.is_empty() {
            self.begun_at.get_or_insert(now);
        }
        self.quotas = quotas;
        self.register = Some(register.clone());
    }

    fn run_periodic(&mut self, context: &mut ControlContext<'_>) {
        self.retry_overdue(context);
        self.return_expired(context);
        self.follow_register(context);
        if context.now.reached(self.next_check) && !self.quotas.is_empty() {
            self.next_check = context.now.after_ms(OWNER_CHECK_INTERVAL_MS);
            let workspaces: Vec<Arc<str>> = self.quotas.keys().cloned().collect();
            for workspace in &workspaces {
                self.refresh_owner(workspace, context);
            }
        }
    }

    fn handle_message(&mut self, from: &VmName, message: &PeerMessage, context: &mut ControlContext<'_>) {
        match message {
            PeerMessage::QuotaRequest {
                number,
                workspace,
                tokens,
                least,
            } => {
                let verdict = self.decide(workspace, *tokens, *least, context);
                let number = *number;
                context.send_to(from, PeerMessage::QuotaAnswer { number, verdict });
            }
            PeerMessage::QuotaAnswer { number, verdict } => {
                self.handle_answer(from, *number, *verdict, context)
            }
            PeerMessage::QuotaReturned { workspace, tokens } => self.put_back(workspace, *tokens, context),
            PeerMessage::QuotaHandedOver { workspace, tokens } => {
                self.accept_handover(workspace, *tokens, context)
            }
            _ => {}
        }
    }
}

/// The key from which the owner of a workspace's quota is computed.
pub fn quota_key(workspace: &str) -> String {
    format!("{workspace}{KEY_SUFFIX}")
}

impl Controller for QuotaController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[
            EventKind::Tick,
            EventKind::QuotaWanted,
            EventKind::QuotaReturned,
            EventKind::PeerMessage,
        ]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::Tick { .. } => self.run_periodic(context),
            Event::QuotaWanted {
                ticket,
                workspace,
                tokens,
            } => self.request_tokens(*ticket, workspace, *tokens, context),
            Event::QuotaReturned { grant } => self.give_back(grant, context),
            Event::PeerMessage { from, message, .. } => self.handle_message(from, message, context),
            _ => {}
        }
    }

    fn wake_at(&self, _board: &Blackboard, _now: Moment) -> Option<Moment> {
        let answers = self.pending.values().map(|ask| ask.answer_by);
        let expiries = self.advances.values().map(|advance| advance.expires_at);
        let check = (!self.quotas.is_empty()).then_some(self.next_check);
        answers.chain(expiries).chain(check).min()
    }
}
