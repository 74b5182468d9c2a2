//! Acquires and releases the engines of one attempt.

use std::sync::Arc;

use crate::clock;
use crate::controllers::slots::{
    EngineOutcome, PlacementGrant, PlacementRequest, PlacementResult, RequestId, hash_prefix,
};
use crate::prelude::*;
use crate::runtime::{PlacementGuard, RunPermit};
use crate::traffic::TrafficContext;
use crate::traffic::request::GenerateWork;

/// The latency objective for the first token, in milliseconds.
const FIRST_TOKEN_TARGET_MS: u64 = 520;

/// The engines held for one attempt; they are released when it is dropped.
pub struct Placement {
    guard: PlacementGuard,
    /// The permission to run the request.
    pub permit: Arc<RunPermit>,
    /// The granted engines.
    pub grant: PlacementGrant,
}

impl Placement {
    /// Waits for permission to run the request, then for its engines.
    pub async fn acquire(
        context: &Arc<TrafficContext>,
        work: &GenerateWork,
        avoid: &[Arc<str>],
        is_retry: bool,
    ) -> Result<Self, RefusalNotice> {
        let permit = RunPermit::acquire(&context.control, &work.features, work.deadline).await?;
        let placement_request = PlacementRequest {
            request: context.next_request_id(),
            workspace: work.workspace.clone(),
            model: work.model.clone(),
            priority: u32::from(work.may_wait),
            zone: context.own.zone.clone(),
            features: work.features.clone(),
            prompt_tokens: work.prompt_tokens,
            max_tokens: work.max_tokens,
            expected_tokens: work.max_tokens,
            first_token_target: clock::now().after_ms(FIRST_TOKEN_TARGET_MS),
            first_token_deadline: work.deadline,
            prefix: hash_prefix(&work.prompt),
            deadline: work.deadline,
            may_skip_prefill: false,
            is_retry,
            excluded: Vec::new(),
            cut_at: None,
            may_be_late: work.may_wait || is_retry,
            avoid: avoid.to_vec(),
        };
        let requested_at = clock::now();
        let placed = PlacementGuard::acquire(&context.control, placement_request).await;
        context.metrics.record_queue_wait(work, requested_at);
        let (guard, grant) = placed?;
        Ok(Self {
            guard,
            permit: Arc::new(permit),
            grant,
        })
    }

    /// The id of the attempt.
    pub fn request(&self) -> &RequestId {
        self.guard.request()
    }

    /// Sets the result that the owner of the engines receives on release.
    pub fn set_result(&mut self, result: PlacementResult) {
        self.guard.result = result;
    }

    /// Notifies the owner that the prefill engine can take its next prompt.
    pub fn finish_prefill(&self) {
        self.guard.finish_prefill(EngineOutcome::Fine);
    }
}
