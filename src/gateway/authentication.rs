//! Finds the workspace that a request belongs to, and decides whether its API key permits it.

use std::sync::Arc;

use super::exchange::CallerRequest;
use super::{CallerCredential, GatewayContext, WorkspaceHeader};
use crate::prelude::*;
use crate::register::{RouteRule, WorkspaceRule, combined_rank};
use crate::runtime::Snapshot;

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

/// Checks that a request may run by the configuration now in force: it needs no key, or its key is listed.
///
/// # Errors
///
/// The refusal of a request whose key is missing, malformed or not listed.
pub fn check_caller(context: &GatewayContext, request: &CallerRequest) -> Result<(), RefusalNotice> {
    let snapshot = context.snapshot();
    if snapshot.register.callers.is_none() || request.rule.allows_anonymous {
        return Ok(());
    }
    match find_workspace(&snapshot, request.facts.api_key) {
        Some(_) => Ok(()),
        None => Err(RefusalNotice::new(ResultCode::UnknownKey, "")),
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
    /// What replicas are told of the request's workspace: the same on every send. A request that arrived before
    /// the configuration listed workspaces belongs to the one that holds its key now.
    pub fn workspace_header<'a>(&'a self, snapshot: &'a Snapshot) -> WorkspaceHeader<'a> {
        let workspace = self.workspace.as_ref();
        match workspace.or_else(|| find_workspace(snapshot, self.facts.api_key)) {
            Some(workspace) => WorkspaceHeader::Named(&workspace.name),
            None if self.is_managed || snapshot.register.callers.is_some() => WorkspaceHeader::Anonymous,
            None => WorkspaceHeader::Unmanaged,
        }
    }
}
