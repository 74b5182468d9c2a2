//! Answers where a request would go now, without sending it: nothing is chosen, charged or counted.
//!
//! The question is the head of the request, as the body of a POST to `/where` on the readiness or the metrics
//! port. The API key in it is used for the lookup only and not repeated. What depends on the body, such as the
//! quarantine of its content, and what only an owner knows is not part of the answer.

mod report;

use std::sync::Arc;

pub use report::{
    CandidatePreview, OwnerPreview, PreviewReport, RefusalPreview, RoutePreview, WorkspacePreview,
};

use super::answer::refusal_status;
use super::authentication::identify_caller;
use super::exchange::{DEFAULT_RETRY_AFTER_MS, check_leaving, find_route};
use super::{GatewayContext, RequestFacts};
use crate::blackboard::{EngineView, ReplicaRole};
use crate::clock;
use crate::controllers::dispatch::{CandidateState, CandidateView, SelectionCriteria};
use crate::controllers::ownership::find_owner_among;
use crate::controllers::quotas::quota_key;
use crate::controllers::rate_limits::service_key;
use crate::controllers::slots::{EngineGroup, group_count};
use crate::http::RequestHead;
use crate::prelude::*;
use crate::register::{EngineRole, RouteRule, WorkspaceRule};
use crate::runtime::{MAX_GROUP_ENGINES, Snapshot};

/// Describes where a request with this head would go now.
pub fn preview_request(context: &GatewayContext, head: &RequestHead) -> PreviewReport {
    let (snapshot, now) = (context.snapshot(), clock::now());
    let facts = context.protocol.read_request(head);
    let mut report = PreviewReport {
        vm: context.own.name.to_string(),
        revision: snapshot.revision,
        list_revision: snapshot.list_position.parts().1,
        store_era: snapshot.list_position.era().number(),
        ..PreviewReport::default()
    };
    let (rule, service) = match find_route(&snapshot, head, &facts) {
        Ok(found) => found,
        Err(notice) => {
            report.refusal = Some(to_refusal(&notice));
            return report;
        }
    };
    let identity = identify_caller(&snapshot, &rule, facts.api_key);
    let limit_ms = facts
        .wait_ms
        .map_or(rule.timeout_ms, |wait_ms| wait_ms.min(rule.timeout_ms));
    report.route = Some(RoutePreview {
        name: rule.name.to_string(),
        kind: rule.kind.as_str().to_owned(),
        service: service.to_string(),
        limit_ms,
        attempts: rule.attempts,
        rank: identity.priority,
        allows_anonymous: rule.allows_anonymous,
    });
    report.workspace = identity
        .workspace
        .as_deref()
        .map(|workspace| to_workspace(workspace, &facts, &snapshot));
    let roles = roles_of(&snapshot, &service);
    let candidates: Vec<CandidateView> = roles
        .iter()
        .flat_map(|role| view_candidates(context, &service, *role, now))
        .collect();
    report.candidates = candidates.iter().map(|view| to_candidate(view, now)).collect();
    report.owners = find_owners(&snapshot, &service, &candidates);
    report.refusal = check_leaving(context, &rule, limit_ms, now)
        .and_then(|()| check_head(&snapshot, head, &rule, identity.workspace.is_some()))
        .and_then(|()| check_candidates(&service, &roles, &candidates, now))
        .err()
        .map(|notice| to_refusal(&notice));
    let may_be_asked = |view: &&CandidateView| view.state.is_eligible() && view.rate_limit.is_none();
    let first = candidates.iter().find(may_be_asked);
    report.replica = first
        .filter(|_| report.refusal.is_none() && report.owners.is_empty())
        .map(|first| first.record.id.to_string());
    report
}

/// The roles of replicas that a request to a service needs.
fn roles_of(snapshot: &Snapshot, service: &str) -> Vec<ReplicaRole> {
    let rule = snapshot.register.services.get(service);
    match rule.is_some_and(|rule| rule.engine.is_some()) {
        true => vec![ReplicaRole::Decode, ReplicaRole::Prefill],
        false => vec![ReplicaRole::Plain],
    }
}

fn view_candidates(
    context: &GatewayContext,
    service: &str,
    role: ReplicaRole,
    now: Moment,
) -> Vec<CandidateView> {
    let criteria = SelectionCriteria {
        service,
        role,
        avoid: &[],
    };
    context.with_selector(|selector| selector.preview(&criteria, now))
}

/// The owners that decide about a request: of the engine groups, or of the permits of a service whose replicas
/// all report rate limits.
fn find_owners(snapshot: &Snapshot, service: &Arc<str>, candidates: &[CandidateView]) -> Vec<OwnerPreview> {
    let engines: Vec<EngineView> = candidates.iter().filter_map(to_engine).collect();
    let keys: Vec<String> = if !engines.is_empty() {
        let groups = 0..group_count(&engines, MAX_GROUP_ENGINES);
        groups
            .map(|index| EngineGroup::new(service, index).owner_key())
            .collect()
    } else if candidates.iter().any(|view| view.rate_limit.is_some())
        && candidates
            .iter()
            .filter(|view| view.state.is_eligible())
            .all(|view| view.rate_limit.is_some())
    {
        vec![service_key(service)]
    } else {
        Vec::new()
    };
    let owned = keys.into_iter().filter_map(|key| {
        let vm = find_owner_among(&key, &snapshot.live_vms)?.to_string();
        Some(OwnerPreview { key, vm })
    });
    owned.collect()
}

fn to_engine(view: &CandidateView) -> Option<EngineView> {
    let role = match view.record.role {
        ReplicaRole::Plain => return None,
        ReplicaRole::Prefill => EngineRole::Prefill,
        ReplicaRole::Decode => EngineRole::Decode,
    };
    Some(EngineView {
        name: view.record.id.clone(),
        role,
        zone: view.record.zone.clone(),
        slots: view.record.slots,
        memory_tokens: None,
    })
}

/// Refuses a request whose body is too long, or whose key is missing or unknown.
fn check_head(
    snapshot: &Snapshot,
    head: &RequestHead,
    rule: &RouteRule,
    has_workspace: bool,
) -> Result<(), RefusalNotice> {
    let max_bytes = snapshot.register.limits.body_bytes as u64;
    if head
        .headers
        .number("content-length")
        .is_some_and(|bytes| bytes > max_bytes)
    {
        let detail = format!("the limit is {max_bytes} bytes");
        return Err(RefusalNotice::new(ResultCode::BodyTooLarge, detail));
    }
    if snapshot.register.callers.is_some() && !rule.allows_anonymous && !has_workspace {
        return Err(RefusalNotice::new(ResultCode::UnknownKey, ""));
    }
    Ok(())
}

/// Refuses a request if no replica of a role that it needs may get one. Generations may do without a prefill
/// engine.
fn check_candidates(
    service: &str,
    roles: &[ReplicaRole],
    candidates: &[CandidateView],
    now: Moment,
) -> Result<(), RefusalNotice> {
    let of_role = |role: ReplicaRole| candidates.iter().filter(move |view| view.record.role == role);
    let first_role = roles.first().copied().unwrap_or(ReplicaRole::Plain);
    if of_role(first_role).any(|view| view.state.is_eligible()) {
        return Ok(());
    }
    let waiting = of_role(first_role).filter(|view| view.state != CandidateState::Stopped);
    let first_end = waiting.clone().filter_map(|view| view.state_until).min();
    let is_limited = waiting
        .into_iter()
        .any(|view| view.state == CandidateState::NoPermit);
    let code = match is_limited {
        true => ResultCode::RateLimited,
        false => ResultCode::NoUpstream,
    };
    let retry_ms = first_end.map_or(DEFAULT_RETRY_AFTER_MS, |end| now.until_ms(end));
    Err(RefusalNotice::new(code, service).retry_after_ms(retry_ms))
}

fn to_workspace(workspace: &WorkspaceRule, facts: &RequestFacts, snapshot: &Snapshot) -> WorkspacePreview {
    let quota = workspace.quota.as_ref();
    let quota_owner = find_owner_among(&quota_key(&workspace.name), &snapshot.live_vms);
    WorkspacePreview {
        name: workspace.name.to_string(),
        priority: workspace.priority,
        quota_rate_per_s: quota.map(|quota| quota.rate_per_s),
        quota_burst: quota.map(|quota| quota.burst),
        quota_cost: quota.map(|quota| quota.cost(facts.prompt_tokens, facts.output_tokens)),
        quota_owner: quota_owner.filter(|_| quota.is_some()).map(ToString::to_string),
    }
}

fn to_candidate(view: &CandidateView, now: Moment) -> CandidatePreview {
    let load = view.load;
    CandidatePreview {
        id: view.record.id.to_string(),
        role: view.record.role.as_str().to_owned(),
        zone: view.record.zone.to_string(),
        state: view.state.as_str().to_owned(),
        state_ends_in_ms: view.state_until.map(|until| now.until_ms(until)),
        slots: view.record.slots,
        requests: view.requests,
        in_flight: view.in_flight,
        load: load.map(|(load, _)| [load.running, load.waiting, load.slots, load.pace_percent]),
        load_age_ms: load.map(|(_, age_ms)| age_ms),
        answer_ms: view.answer_ms,
        pace: view.pace.as_str().to_owned(),
        pace_limit: view.pace_limit,
        is_held_back: view.is_held_back,
        rate_limit: view.rate_limit.map(|rate| rate.per_second()),
        cost: view.cost,
    }
}

fn to_refusal(notice: &RefusalNotice) -> RefusalPreview {
    RefusalPreview {
        code: notice.code.number(),
        name: notice.code.entry().name.to_owned(),
        status: refusal_status(notice),
        retry_after_ms: notice.retry_after_ms,
        detail: notice.detail.clone(),
    }
}
