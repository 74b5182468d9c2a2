//! Calls to prefill engines: runs prompts and frees KV caches that are no longer needed.

use std::sync::Arc;

use super::exchange::CallerRequest;
use super::loss::{LostSend, RunStage, report_loss};
use super::quota_permit::count_quota_send;
use super::upstream::{
    ConnectionChoice, ExchangeError, UpstreamRequest, choose_dedicated_connection, exchange_small,
};
use super::verdict::PrefillOutcome;
use super::{GatewayContext, KvTicket, SendOrder, SendPurpose};
use crate::blackboard::ReplicaRecord;
use crate::clock;
use crate::controllers::quarantine::UpstreamOutcome;
use crate::prelude::*;
use crate::runtime::RunPermit;

/// Timeout of a request that frees a KV cache, in milliseconds.
const RELEASE_TIMEOUT_MS: u64 = 1_000;

/// The KV cache of a prompt at its prefill engine. Freed on drop unless a decode engine has taken it.
pub struct TicketLease {
    context: Arc<GatewayContext>,
    replica: Arc<ReplicaRecord>,
    ticket: Option<KvTicket>,
    tokens: u32,
}

impl TicketLease {
    /// The ticket that a decode engine fetches the KV cache with; always `Some` before the lease is dropped.
    pub fn ticket(&self) -> Option<&KvTicket> {
        self.ticket.as_ref()
    }

    /// Records that a decode engine has taken the KV cache, so that it is not freed.
    pub fn mark_taken(mut self) {
        self.ticket = None;
        self.context.metrics.count_prompt_tokens(self.tokens, true);
    }
}

impl Drop for TicketLease {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.context.metrics.count_prompt_tokens(self.tokens, false);
            let bytes = self.context.protocol.write_ticket_release(&ticket);
            free_kv_cache(&self.context, &self.replica, bytes);
        }
    }
}

/// Sends a request that frees a KV cache, in the background.
fn free_kv_cache(context: &Arc<GatewayContext>, replica: &Arc<ReplicaRecord>, head: Vec<u8>) {
    let context = context.clone();
    let replica = replica.clone();
    async_std::task::spawn(async move {
        let request = UpstreamRequest {
            replica: &replica,
            caller: None,
            method: "DELETE",
            head,
            body: None,
            request_id: "",
            stage: None,
            has_permit: false,
            choice: ConnectionChoice::Fresh,
            deadline: clock::now().after_ms(RELEASE_TIMEOUT_MS),
        };
        if let Err(error) = exchange_small(&context, request).await {
            // The engine itself frees the KV cache after its retention time.
            spdlog::debug!("event=release_failed replica={} reason=\"{error}\"", replica.id);
        }
    });
}

/// Runs a request's prompt at a prefill engine.
pub async fn run_prefill(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    replica: &Arc<ReplicaRecord>,
    permit: &RunPermit,
    has_rate_permit: bool,
    deadline: Moment,
) -> PrefillOutcome {
    let order = SendOrder {
        replica,
        purpose: SendPurpose::Prefill,
        limit_ms: clock::now().until_ms(deadline),
        body_bytes: request.body_bytes(),
        last_event: None,
        workspace: request.workspace_header(),
        keeps_connection: false,
    };
    let upstream_request = UpstreamRequest {
        replica,
        caller: Some(request),
        method: &request.head.method,
        head: context.protocol.write_request(&request.head, &order),
        body: Some(&request.body),
        request_id: &request.facts.id,
        stage: Some(RunStage::Prefill),
        has_permit: has_rate_permit,
        choice: choose_dedicated_connection(context, request, permit),
        deadline,
    };
    let began_at = clock::now();
    match count_quota_send(request, exchange_small(context, upstream_request)).await {
        Ok((_, facts, _)) if facts.is_misdirected => {
            let replica = replica.id.clone();
            context.control.send_event(Event::ReplicaReplaced { replica });
            PrefillOutcome::Refused
        }
        Ok((_, facts, _)) if facts.is_not_run => PrefillOutcome::Refused,
        Ok((head, _, body)) if head.status == 200 => {
            match context.protocol.read_prefill(replica.address, &body) {
                Some(ticket) => PrefillOutcome::Done(TicketLease {
                    context: context.clone(),
                    replica: replica.clone(),
                    ticket: Some(ticket),
                    tokens: request.facts.prompt_tokens,
                }),
                None => PrefillOutcome::Failed,
            }
        }
        Ok(_) => PrefillOutcome::Failed,
        Err(ExchangeError::Unsent { .. }) => PrefillOutcome::Unsent,
        Err(ExchangeError::Withheld) => PrefillOutcome::Withheld,
        Err(ExchangeError::Unpermitted) => PrefillOutcome::Unpermitted,
        Err(ExchangeError::Denied { notice }) => PrefillOutcome::Denied(notice),
        Err(ExchangeError::Lost {
            is_disconnect,
            contact,
            ..
        }) => {
            if !is_disconnect {
                return PrefillOutcome::Failed;
            }
            let lost = LostSend {
                permit,
                replica,
                stage: RunStage::Prefill,
                began_at,
                contact,
            };
            match report_loss(context, request, lost).await {
                UpstreamOutcome::Ended => PrefillOutcome::EngineCrashed,
                UpstreamOutcome::Alive | UpstreamOutcome::Unreached | UpstreamOutcome::Unclear => {
                    PrefillOutcome::Failed
                }
            }
        }
        Err(ExchangeError::Deadline) => PrefillOutcome::Late,
    }
}
