//! A request's place at a replica: booked when it is chosen, given back in whatever way its send ends.

use std::sync::Arc;

use super::GatewayContext;
use crate::blackboard::{ReplicaId, ReplicaRecord};
use crate::clock;
use crate::controllers::dispatch::{ChoiceEvidence, DispatchAsk, SendOutcome};
use crate::prelude::*;

/// A booked place.
pub struct DispatchLease {
    context: Arc<GatewayContext>,
    replica: Arc<ReplicaRecord>,
    tokens: u32,
    evidence: ChoiceEvidence,
    began_at: Moment,
    is_finished: bool,
}

impl DispatchLease {
    /// Chooses a replica and books a place for some prompt tokens there.
    pub fn book(context: &Arc<GatewayContext>, ask: &DispatchAsk<'_>, tokens: u32) -> Option<Self> {
        let now = clock::now();
        let (replica, evidence) = context.with_book(|book| {
            let replica = book.choose(ask, now)?;
            let evidence = book.evidence(&replica, now);
            book.begin(&replica.id, tokens);
            Some((replica, evidence))
        })?;
        Some(Self {
            context: context.clone(),
            replica,
            tokens,
            evidence,
            began_at: now,
            is_finished: false,
        })
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
            let (id, tokens) = (&self.replica.id, self.tokens);
            let now = clock::now();
            let paused_until = self
                .context
                .with_book(|book| book.finish(id, tokens, outcome, now));
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
