//! Requests that wait for slots: urgent ranks first, then those that can still meet the first token's target, then
//! the workspace that holds least, then the oldest.

use std::sync::Arc;

use super::{PlacementAsk, RequestId};
use crate::prelude::*;

/// The most requests that wait for one group.
pub const QUEUE_LIMIT: usize = 512;

/// A request that waits.
#[derive(Clone, Debug)]
pub struct WaitingAsk {
    /// What it needs.
    pub ask: PlacementAsk,
    /// The VM that holds the request; `None` for the owner itself.
    pub holder: Option<VmName>,
    /// By when it has to get its turn of engines that name limits, where its first token can't be in time; `None` while some
    /// engines took what they can.
    pub turn_by: Option<Moment>,
    /// Whether its first token can't come in time any more.
    is_late: bool,
    order: u64,
}

/// The waiting requests of one group.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    waiting: Vec<WaitingAsk>,
    next_order: u64,
}

impl WaitingQueue {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether this request waits.
    pub fn contains(&self, request: &RequestId) -> bool {
        self.waiting.iter().any(|waiting| waiting.ask.request == *request)
    }

    /// How many would be served before a new request of this rank.
    pub fn ahead_of(&self, priority: u32) -> usize {
        self.waiting
            .iter()
            .filter(|waiting| {
                let rank = waiting.ask.priority;
                rank < priority || (rank == priority && !waiting.is_late)
            })
            .count()
    }

    /// Lets a request wait.
    pub fn push(&mut self, ask: PlacementAsk, holder: Option<VmName>, turn_by: Option<Moment>) {
        self.next_order += 1;
        self.waiting.push(WaitingAsk {
            ask,
            holder,
            turn_by,
            is_late: false,
            order: self.next_order,
        });
    }

    /// Takes out one request.
    pub fn remove(&mut self, request: &RequestId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.ask.request != *request);
        before != self.waiting.len()
    }

    /// Takes out all requests for which `is_over` holds, in their present order.
    pub fn take_where(&mut self, mut is_over: impl FnMut(&mut WaitingAsk) -> bool) -> Vec<WaitingAsk> {
        self.waiting.extract_if(.., |waiting| is_over(waiting)).collect()
    }

    /// Puts the requests into the order in which they are to be served: the oldest first, but those that are late behind
    /// the others. Whoever may wait was forecast to be in time, which holds only if nobody overtakes it.
    pub fn sort(
        &mut self,
        held_by_workspace: &FastMap<Arc<str>, u32>,
        is_late: impl Fn(&WaitingAsk) -> bool,
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

    /// The requests in their present order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingAsk> {
        self.waiting.iter()
    }
}
