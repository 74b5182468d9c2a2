//! Grants the tokens of the quotas that this VM owns.

use std::sync::Arc;

use super::{BucketSize, QuotaController, QuotaTolerance, QuotaVerdict, TokenBucket, quota_key};
use crate::blackboard::{LiveView, RequestRate};
use crate::controllers::dispatch::{RefusedCaller, RetryPlanner};
use crate::controllers::message::PeerMessage;
use crate::controllers::owner_tenure::{MajorityPart, OwnerTenure};
use crate::controllers::ownership::{find_owner, view_as_owner};
use crate::prelude::*;
use crate::register::QuotaRule;

/// How long after the first configuration a tenure at the first start of the deployment may begin, in
/// milliseconds, to begin with a full bucket.
const FIRST_TENURE_MS: u64 = 2_000;

/// How long after its latest grant a quota counts as in use, in milliseconds. Changes of the owner are logged
/// for these only.
const IN_USE_MS: u64 = 10_000;

/// The time over which refused callers may be spread, in milliseconds; the planner uses a third of it.
const RETRY_HORIZON_MS: u64 = 15_000;

/// A quota, and this VM's state as its owner.
#[derive(Debug)]
pub(super) struct OwnedQuota {
    pub(super) rule: QuotaRule,
    /// The owner in the latest view of the live VMs; `None` before the first.
    owner: Option<VmName>,
    /// The view from which the owner was computed.
    view: Option<Arc<LiveView>>,
    /// When the quota appeared, if it is new to all VMs; `None` if other owners may have granted it before.
    known_since: Option<Moment>,
    tenure: OwnerTenure,
    bucket: TokenBucket,
    planner: RetryPlanner,
    /// When this VM's own callers last made a call of a low cost; `None` if they never did.
    pub(super) called_at: Option<Moment>,
    /// When tokens were last requested; `None` if they never were.
    requested_at: Option<Moment>,
    /// Number of refusals, which spreads the retries.
    refused_count: u64,
}

impl OwnedQuota {
    /// Creates the state of a quota.
    pub(super) fn new(
        rule: &QuotaRule,
        tolerance: &QuotaTolerance,
        known_since: Option<Moment>,
        now: Moment,
    ) -> Self {
        Self {
            rule: rule.clone(),
            owner: None,
            view: None,
            known_since,
            tenure: OwnerTenure::default(),
            bucket: TokenBucket::new(BucketSize::new(rule, tolerance), now),
            planner: RetryPlanner::default(),
            called_at: None,
            requested_at: None,
            refused_count: 0,
        }
    }

    /// The same state with a rule of a newer register.
    pub(super) fn with_rule(mut self, rule: &QuotaRule, tolerance: &QuotaTolerance, now: Moment) -> Self {
        if self.rule != *rule {
            self.rule = rule.clone();
            self.bucket.resize(BucketSize::new(rule, tolerance), now);
        }
        self
    }

    fn is_in_use(&self, now: Moment) -> bool {
        let until = self.requested_at.map(|at| at.after_ms(IN_USE_MS));
        until.is_some_and(|until| !now.reached(until))
    }
}

impl QuotaController {
    /// The owner of a workspace's quota, computed anew if the live VMs have changed. `None` if the workspace
    /// has no quota.
    pub(super) fn refresh_owner(
        &mut self,
        workspace: &Arc<str>,
        context: &mut ControlContext<'_>,
    ) -> Option<VmName> {
        let now = context.now;
        let quota = self.quotas.get_mut(workspace)?;
        let view = context.board.live_view(now);
        if !quota.view.as_ref().is_some_and(|known| Arc::ptr_eq(known, &view)) {
            quota.owner = Some(find_owner(&quota_key(workspace), context.board, now));
            quota.view = Some(view);
        }
        let owner = quota.owner.clone()?;
        let is_owner = owner == context.board.own.name;
        let change = quota
            .tenure
            .update_view(view_as_owner(is_owner, context.board, now), now);
        let is_in_use = quota.is_in_use(now);
        if change.is_taken_over && !quota.tenure.is_handed_over() {
            let first_until = self.begun_at.map(|begun_at| begun_at.after_ms(FIRST_TENURE_MS));
            if self.is_first_start && first_until.is_some_and(|until| now <= until) {
                quota.bucket.fill();
            } else {
                quota.bucket.begin_tenure(now);
            }
        }
        if change.is_lost {
            let tokens = quota.bucket.take_all(now) as u64;
            let workspace = workspace.clone();
            if is_in_use {
                context.log(format!(
                    "event=quota_handed_over workspace={workspace} vm={owner} tokens={tokens}"
                ));
            }
            context.send_to(&owner, PeerMessage::QuotaHandedOver { workspace, tokens });
        } else if change.is_taken_over && is_owner && is_in_use {
            context.log(format!(
                "event=quota_taken_over workspace={workspace} tokens={}",
                quota.bucket.level() as i64
            ));
        }
        Some(owner)
    }

    /// Decides on a request for tokens as the owner: grants `wanted` if there are plenty, else `least`.
    pub(super) fn decide(
        &mut self,
        workspace: &Arc<str>,
        wanted: u64,
        least: u64,
        context: &mut ControlContext<'_>,
    ) -> QuotaVerdict {
        self.follow_register(context);
        self.refresh_owner(workspace, context);
        let now = context.now;
        let is_first_start = self.is_first_start;
        let begun_at = self.begun_at.unwrap_or_default();
        let Some(quota) = self.quotas.get_mut(workspace) else {
            // The asking VM's configuration is older or newer than this one's, which names no quota.
            return QuotaVerdict::Granted { tokens: least };
        };
        quota.requested_at = Some(now);
        let is_new = quota
            .known_since
            .is_some_and(|known_since| quota.tenure.covers_new(known_since))
            || is_first_start && quota.tenure.took_over_at() <= begun_at.after_ms(FIRST_TENURE_MS);
        let percent = self.tolerance.majority_percent();
        let majority = MajorityPart::Extended { percent };
        let (numerator, denominator) = quota.tenure.fraction(majority, is_new, now);
        quota
            .bucket
            .set_part((numerator as f64 / denominator as f64).min(1.0), now);
        match quota.bucket.take(wanted, least, now) {
            Ok(tokens) => QuotaVerdict::Granted { tokens },
            // An amount in advance that no request waits for is no refusal.
            Err(_) if least == 0 => QuotaVerdict::Granted { tokens: 0 },
            Err(wait_ms) => {
                quota.refused_count += 1;
                let rate = RequestRate::from_per_second(quota.rule.rate_per_s / least.max(1) as f64);
                let caller = RefusedCaller {
                    request_id: &format!("{}/{}", context.board.own.name, quota.refused_count),
                    deadline: now.after_ms(RETRY_HORIZON_MS),
                    vm_count: 1,
                };
                let rate = rate.unwrap_or_default();
                let retry_ms = quota.planner.plan_ms(rate, wait_ms, &caller, now);
                QuotaVerdict::Refused { retry_ms }
            }
        }
    }

    /// Whether this VM can't tell whether it is alone, since it has contacted no other VM yet.
    pub(super) fn is_isolated(&self, context: &ControlContext<'_>) -> bool {
        view_as_owner(true, context.board, context.now).live_count == 0
    }

    /// Puts back tokens that were granted and not used.
    pub(super) fn put_back(&mut self, workspace: &Arc<str>, tokens: u64, context: &ControlContext<'_>) {
        if let Some(quota) = self.quotas.get_mut(workspace) {
            quota.bucket.put_back(tokens, context.now);
        }
    }

    /// Takes over from the previous owner of a quota, which has stopped granting it. An owner that has been one
    /// for long ignores the level: the sender was the owner of a part that was cut off.
    pub(super) fn accept_handover(
        &mut self,
        workspace: &Arc<str>,
        tokens: u64,
        context: &mut ControlContext<'_>,
    ) {
        self.follow_register(context);
        let now = context.now;
        if let Some(quota) = self.quotas.get_mut(workspace)
            && !quota.tenure.is_settled(now)
        {
            quota.tenure.record_handover(now);
            quota.bucket.accept_level(tokens as f64, now);
        }
        self.refresh_owner(workspace, context);
    }
}
