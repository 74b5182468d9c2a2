//! Finds the workspace that a request belongs to, and decides whether its API key permits it.

use std::sync::Arc;

use super::exchange::CallerRequest;
use super::{CallerCredential, GatewayContext, WorkspaceHeader};
use crate::clock;
use crate::prelude::*;
use crate::register::{RouteRule, WorkspaceRule, combined_rank};
use crate::runtime::Snapshot;

/// Retry-After where the configuration is not proved current, in milliseconds: somewhat longer than the watch with
/// which a VM proves it by itself.
const UNPROVED_RETRY_AFTER_MS: u64 = 900;

/// The priority, as a route's, of requests that are partly done: the first.
const STARTED_PRIORITY: u32 = 0;

/// Whose request it is, and its rank in queues.
pub struct CallerIdentity {
    /// The workspace that holds the request's key; `None` if there is none.
    pub workspace: Option<Arc<WorkspaceRule>>,
    /// Rank in queues, lower first.
    pub priority: u32,
    /// Rank in queues once the request is partly done.
    pub started_priority: u32,
}

/// Finds the workspace that holds a request's key. Without workspaces the rank is the route's priority alone.
pub fn identify_caller(snapshot: &Snapshot, rule: &RouteRule, api_key: CallerCredential) -> CallerIdentity {
    let workspace = find_workspace(snapshot, api_key).cloned();
    let rank = |route_priority: u32| match &snapshot.register.callers {
        Some(_) => combined_rank(workspace.as_deref(), route_priority),
        None => route_priority,
    };
    CallerIdentity {
        priority: rank(rule.priority),
        started_priority: rank(STARTED_PRIORITY),
        workspace,
    }
}

/// Checks that a request may be sent now: it needs no key, or the configuration in force lists its key and was
/// proved current recently enough.
///
/// # Errors
///
/// The refusal of a request whose key is missing, malformed or not listed, with 401. Without proof that the
/// configuration is current, each request that needs a key is refused with 503, since this VM can't know whether
/// its key is in use.
pub fn check_caller(context: &GatewayContext, request: &CallerRequest) -> Result<(), RefusalNotice> {
    let snapshot = context.snapshot();
    if snapshot.register.callers.is_none() {
        return Ok(());
    }
    if !request.is_managed {
        // Its head may have been written with the caller's own headers.
        let notice = RefusalNotice::new(ResultCode::ConfigUnproved, "keys were introduced meanwhile");
        return Err(notice.retry_after_ms(0));
    }
    if request.rule.allows_anonymous {
        return Ok(());
    }
    let now = clock::now();
    if snapshot.proved_until.is_some_and(|until| now.reached(until)) {
        let notice = RefusalNotice::new(ResultCode::ConfigUnproved, "");
        return Err(notice.retry_after_ms(UNPROVED_RETRY_AFTER_MS));
    }
    match find_workspace(&snapshot, request.facts.api_key) {
        // A request belongs to the workspace that it was read with, even if its key became known meanwhile.
        Some(_) if request.workspace.is_some() => Ok(()),
        _ => Err(RefusalNotice::new(ResultCode::UnknownKey, "")),
    }
}

fn find_workspace(snapshot: &Snapshot, api_key: CallerCredential) -> Option<&Arc<WorkspaceRule>> {
    let table = snapshot.register.callers.as_ref()?;
    match api_key {
        CallerCredential::Key(digest) => table.find_by_key(digest),
        CallerCredential::Absent | CallerCredential::Malformed => None,
    }
}

impl CallerRequest {
    /// What replicas are told of the request's workspace: the same on every send.
    pub fn workspace_header(&self) -> WorkspaceHeader<'_> {
        match &self.workspace {
            Some(workspace) => WorkspaceHeader::Named(&workspace.name),
            None if self.is_managed => WorkspaceHeader::Anonymous,
            None => WorkspaceHeader::Unmanaged,
        }
    }
}
