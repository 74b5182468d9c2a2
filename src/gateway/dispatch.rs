//! A request's slot at a replica: reserved when the replica is selected, released when the send ends or is
//! dropped.

use std::sync::Arc;

use super::GatewayContext;
use crate::blackboard::{ReplicaId, ReplicaLoad, ReplicaRecord};
use crate::clock;
use crate::controllers::dispatch::{
    ChoiceEvidence, DispatchChoice, ReplicaSelector, SelectionCriteria, SendOutcome,
};
use crate::controllers::service_slots::SendEnd;
use crate::prelude::*;
use crate::runtime::SendSlot;

/// Result of the selection of a replica.
pub enum LeaseChoice {
    /// A replica was selected and a slot there is reserved.
    Reserved(DispatchLease),
    /// Only these replicas are usable, best first; they report rate limits, so a send needs a permit.
    Limited(Vec<ReplicaId>),
}

/// A reserved slot at a replica, released when dropped.
pub struct DispatchLease {
    context: Arc<GatewayContext>,
    replica: Arc<ReplicaRecord>,
    evidence: ChoiceEvidence,
    began_at: Moment,
    /// The slot that the service's owner granted; `None` if this VM selected the replica alone.
    slot: Option<SendSlot>,
    is_finished: bool,
}

impl DispatchLease {
    /// Selects a replica and reserves a slot there, or returns the replicas that need a permit; `None` if no
    /// replica is usable.
    pub fn choose(context: &Arc<GatewayContext>, criteria: &SelectionCriteria<'_>) -> Option<LeaseChoice> {
        let now = clock::now();
        context.with_selector(|selector| {
            Some(match selector.choose(criteria, now)? {
                DispatchChoice::Unlimited(replica) => {
                    LeaseChoice::Reserved(Self::begin(context, selector, replica, now))
                }
                DispatchChoice::Limited(candidates) => LeaseChoice::Limited(candidates),
            })
        })
    }

    /// Whether a selection by these criteria would return replicas that need a permit.
    pub fn needs_permit(context: &GatewayContext, criteria: &SelectionCriteria<'_>) -> bool {
        let choice = context.with_selector(|selector| selector.choose(criteria, clock::now()));
        matches!(choice, Some(DispatchChoice::Limited(_)))
    }

    /// Reserves a slot at a replica for which there is a permit or a grant; `None` if it is no longer listed.
    pub fn reserve(context: &Arc<GatewayContext>, id: &ReplicaId) -> Option<Self> {
        let now = clock::now();
        let replica = context.snapshot().replicas.get(id)?.record.clone();
        Some(context.with_selector(|selector| Self::begin(context, selector, replica, now)))
    }

    /// Reserves a slot at a replica that its service's owner granted; `None` if it is no longer listed, or has all
    /// requests that its pace allows.
    pub fn reserve_granted(
        context: &Arc<GatewayContext>,
        id: &ReplicaId,
        criteria: &SelectionCriteria<'_>,
    ) -> Option<Self> {
        let now = clock::now();
        let replica = context.snapshot().replicas.get(id)?.record.clone();
        context.with_selector(|selector| {
            let is_usable = !selector.is_over_pace(criteria, id, now);
            is_usable.then(|| Self::begin(context, selector, replica, now))
        })
    }

    fn begin(
        context: &Arc<GatewayContext>,
        selector: &mut ReplicaSelector,
        replica: Arc<ReplicaRecord>,
        now: Moment,
    ) -> Self {
        let evidence = selector.evidence(&replica, now);
        selector.begin(&replica.id, 0);
        Self {
            context: context.clone(),
            replica,
            evidence,
            began_at: now,
            slot: None,
            is_finished: false,
        }
    }

    /// Adds the slot that the service's owner granted, which is released with this lease.
    pub fn with_slot(mut self, slot: SendSlot) -> Self {
        self.slot = Some(slot);
        self
    }

    /// Whether the service's owner granted a slot for the send.
    pub fn has_slot(&self) -> bool {
        self.slot.is_some()
    }

    /// Records the load that the replica reported with its answer.
    pub fn record_load(&mut self, load: ReplicaLoad) {
        let id = &self.replica.id;
        let is_shared = self.slot.is_some();
        self.context.with_selector(|selector| {
            selector.record_load(id, load, clock::now());
            if is_shared {
                selector.record_load_shared(id);
            }
        });
        if let Some(slot) = &mut self.slot {
            slot.record_load(load);
        }
    }

    /// Returns the record of the replica.
    pub fn replica(&self) -> &Arc<ReplicaRecord> {
        &self.replica
    }

    /// Returns the id of the replica.
    pub fn id(&self) -> &ReplicaId {
        &self.replica.id
    }

    /// Returns the load figures at the time of the selection.
    pub fn evidence(&self) -> ChoiceEvidence {
        self.evidence
    }

    /// Returns when the slot was reserved.
    pub fn began_at(&self) -> Moment {
        self.began_at
    }

    /// Returns the milliseconds since the slot was reserved.
    pub fn elapsed_ms(&self) -> u64 {
        self.began_at.until_ms(clock::now())
    }

    /// Releases the slot and records the outcome of the send.
    pub fn finish(mut self, outcome: SendOutcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: SendOutcome) {
        if !std::mem::replace(&mut self.is_finished, true) {
            if let Some(slot) = self.slot.take() {
                slot.finish(send_end(outcome));
            }
            let id = &self.replica.id;
            let now = clock::now();
            let paused_until = self
                .context
                .with_selector(|selector| selector.finish(id, 0, outcome, now));
            if let Some(until) = paused_until {
                spdlog::warn!(
                    "event=replica_paused replica={id} reason={} paused_ms={}",
                    outcome.as_str(),
                    now.until_ms(until)
                );
            }
        }
    }
}

/// What a send's outcome says to the owner of the service.
fn send_end(outcome: SendOutcome) -> SendEnd {
    match outcome {
        SendOutcome::Served(elapsed_ms) => SendEnd::Answered(elapsed_ms),
        SendOutcome::Refused => SendEnd::Rejected,
        SendOutcome::Failed => SendEnd::Failed,
        SendOutcome::Abandoned(elapsed_ms) => SendEnd::Abandoned(elapsed_ms),
        SendOutcome::Errored => SendEnd::Ended,
    }
}

impl Drop for DispatchLease {
    fn drop(&mut self) {
        let elapsed_ms = self.elapsed_ms();
        self.release(SendOutcome::Abandoned(elapsed_ms));
    }
}
