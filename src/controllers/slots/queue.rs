//! Queue of requests that wait for slots, ordered by priority, then by whether the first token can still
//! arrive in time, then by the workspace's slots in use (fewest first), then by age.

use std::sync::Arc;

use super::{PlacementRequest, RequestId};
use crate::prelude::*;

/// Maximum number of queued requests per group.
pub const QUEUE_LIMIT: usize = 512;

/// A queued request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The request for engines.
    pub ask: PlacementRequest,
    /// The VM that handles the request; `None` for the owner itself.
    pub holder: Option<VmName>,
    /// Deadline for its permits for rate-limited engines. It is refused once a permit is forecast for later
    /// and the first token can't be in time either. `None` if it was not forecast because some engines report
    /// no limit.
    pub permit_by: Option<Moment>,
    /// Whether its first token can no longer arrive in time.
    is_late: bool,
    /// Serial number in order of arrival.
    order: u64,
}

/// The queued requests of one group.
#[derive(Debug, Default)]
pub struct RequestQueue {
    waiting: Vec<QueuedRequest>,
    next_order: u64,
}

impl RequestQueue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of requests that are served before a new one of this priority.
    pub fn ahead_of(&self, priority: u32) -> usize {
        self.waiting
            .iter()
            .filter(|waiting| {
                let rank = waiting.ask.priority;
                rank < priority || (rank == priority && !waiting.is_late)
            })
            .count()
    }

    /// Queues a request.
    pub fn push(&mut self, ask: PlacementRequest, holder: Option<VmName>, permit_by: Option<Moment>) {
        self.next_order += 1;
        self.waiting.push(QueuedRequest {
            ask,
            holder,
            permit_by,
            is_late: false,
            order: self.next_order,
        });
    }

    /// Sets when a request's VM exits; returns the number of requests before it, or `None` if it is not queued.
    pub fn set_cut_at(&mut self, request: &RequestId, cut_at: Option<Moment>) -> Option<usize> {
        let position = self
            .waiting
            .iter()
            .position(|waiting| waiting.ask.request == *request)?;
        self.waiting[position].ask.cut_at = cut_at;
        Some(position)
    }

    /// Removes one request; returns whether it was queued.
    pub fn remove(&mut self, request: &RequestId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.ask.request != *request);
        before != self.waiting.len()
    }

    /// Removes and returns all requests for which `is_selected` is true, in queue order.
    pub fn extract_where(
        &mut self,
        mut is_selected: impl FnMut(&mut QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        self.waiting
            .extract_if(.., |waiting| is_selected(waiting))
            .collect()
    }

    /// Sorts the requests into the order in which they are served; see the module's doc. Otherwise equal
    /// requests are served oldest first: a request is queued because it is forecast to be in time, which
    /// holds only if no later one overtakes it.
    pub fn sort(
        &mut self,
        held_by_workspace: &FastMap<Arc<str>, u32>,
        is_late: impl Fn(&QueuedRequest) -> bool,
    ) {
        for waiting in &mut self.waiting {
            waiting.is_late = is_late(waiting);
        }
        self.waiting.sort_by_key(|waiting| {
            let held = held_by_workspace
                .get(&waiting.ask.workspace)
                .copied()
                .unwrap_or(0);
            (waiting.ask.priority, waiting.is_late, held, waiting.order)
        });
    }

    /// The requests in queue order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.waiting.iter()
    }
}
