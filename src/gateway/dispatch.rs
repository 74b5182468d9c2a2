//! A request's place at a replica: booked when it is chosen, given back in whatever way its send ends.

use std::sync::Arc;

use super::GatewayContext;
use crate::blackboard::{ReplicaId, ReplicaRecord};
use crate::clock;
use crate::controllers::dispatch::{
    ChoiceEvidence, DispatchChoice, ReplicaSelector, SelectionCriteria, SendOutcome,
};
use crate::prelude::*;

/// What came of the choice of a replica.
pub enum LeaseChoice {
    /// A place at one.
    Booked(DispatchLease),
    /// These name limits, the best one first; one of them may be used with a permit.
    Limited(Vec<ReplicaId>),
}

/// A booked place.
pub struct DispatchLease {
    context: Arc<GatewayContext>,
    replica: Arc<ReplicaRecord>,
    evidence: ChoiceEvidence,
    began_at: Moment,
    is_finished: bool,
}

impl DispatchLease {
    /// Chooses a replica and books a place there, or says which replicas need a permit.
    pub fn choose(context: &Arc<GatewayContext>, ask: &SelectionCriteria<'_>) -> Option<LeaseChoice> {
        let now = clock::now();
        context.with_selector(|book| {
            Some(match book.choose(ask, now)? {
                DispatchChoice::Free(replica) => {
                    LeaseChoice::Booked(Self::begin(context, book, replica, now))
                }
                DispatchChoice::Limited(candidates) => LeaseChoice::Limited(candidates),
            })
        })
    }

    /// Books a place at a replica for which there is a permit; `None` where it is not there any more.
    pub fn book(context: &Arc<GatewayContext>, id: &ReplicaId) -> Option<Self> {
        let now = clock::now();
        let replica = context.snapshot().replicas.get(id)?.record.clone();
        Some(context.with_selector(|book| Self::begin(context, book, replica, now)))
    }

    fn begin(
        context: &Arc<GatewayContext>,
        book: &mut ReplicaSelector,
        replica: Arc<ReplicaRecord>,
        now: Moment,
    ) -> Self {
        let evidence = book.evidence(&replica, now);
        book.begin(&replica.id, 0);
        Self {
            context: context.clone(),
            replica,
            evidence,
            began_at: now,
            is_finished: false,
        }
    }

    /// The replica.
    pub fn replica(&self) -> &Arc<ReplicaRecord> {
        &self.replica
    }

    /// The replica's name.
    pub fn id(&self) -> &ReplicaId {
        &self.replica.id
    }

    /// What the choice was made on.
    pub fn evidence(&self) -> ChoiceEvidence {
        self.evidence
    }

    /// When the place was booked.
    pub fn began_at(&self) -> Moment {
        self.began_at
    }

    /// Milliseconds since the place was booked.
    pub fn elapsed_ms(&self) -> u64 {
        self.began_at.until_ms(clock::now())
    }

    /// Gives the place back.
    pub fn finish(mut self, outcome: SendOutcome) {
        self.give_back(outcome);
    }

    fn give_back(&mut self, outcome: SendOutcome) {
        if !std::mem::replace(&mut self.is_finished, true) {
            let id = &self.replica.id;
            let now = clock::now();
            let paused_until = self
                .context
                .with_selector(|book| book.finish(id, 0, outcome, now));
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

impl Drop for DispatchLease {
    fn drop(&mut self) {
        let elapsed_ms = self.elapsed_ms();
        self.give_back(SendOutcome::Abandoned(elapsed_ms));
    }
}
