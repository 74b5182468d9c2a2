//! Calls to engines around a generation: prompts that are run, and prompts that are freed.

use std::sync::Arc;

use super::exchange::CallerRequest;
use super::loss::{LostSend, RunStage, report_loss};
use super::upstream::{ConnectionChoice, ExchangeError, UpstreamRequest, ask, single_connection};
use super::verdict::PrefillEnd;
use super::{GatewayContext, KvTicket, SendOrder, SendPurpose};
use crate::blackboard::ReplicaRecord;
use crate::clock;
use crate::controllers::quarantine::UpstreamOutcome;
use crate::prelude::*;
use crate::runtime::RunPermit;

/// How long giving something back may take, in milliseconds.
const RELEASE_LIMIT_MS: u64 = 1_000;

/// A prefilled prompt at its engine, freed unless it was taken.
pub struct TicketLease {
    context: Arc<GatewayContext>,
    replica: Arc<ReplicaRecord>,
    ticket: Option<KvTicket>,
    tokens: u32,
}

impl TicketLease {
    /// The ticket, for use in a send.
    pub fn ticket(&self) -> Option<&KvTicket> {
        self.ticket.as_ref()
    }

    /// Notes that a decode engine has taken the prompt's KV cache.
    pub fn taken(mut self) {
        self.ticket = None;
        self.context.metrics.note_prompt(self.tokens, true);
    }
}

impl Drop for TicketLease {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.context.metrics.note_prompt(self.tokens, false);
            let bytes = self.context.protocol.write_ticket_release(&ticket);
            release(&self.context, &self.replica, bytes);
        }
    }
}

/// Gives something back to an engine, in the background.
fn release(context: &Arc<GatewayContext>, replica: &Arc<ReplicaRecord>, head: Vec<u8>) {
    let context = context.clone();
    let replica = replica.clone();
    async_std::task::spawn(async move {
        let request = UpstreamRequest {
            replica: &replica,
            method: "DELETE",
            head,
            body: b"",
            request_id: "",
            stage: None,
            has_permit: false,
            choice: ConnectionChoice::Fresh,
            deadline: clock::now().after_ms(RELEASE_LIMIT_MS),
        };
        if let Err(error) = ask(&context, request).await {
            // The engine frees it by itself after its own time.
            spdlog::debug!("event=release_failed replica={} reason=\"{error}\"", replica.id);
        }
    });
}

/// Has a request's prompt run.
pub async fn run_prefill(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    replica: &Arc<ReplicaRecord>,
    permit: &RunPermit,
    has_rate_permit: bool,
    deadline: Moment,
) -> PrefillEnd {
    let order = SendOrder {
        replica,
        purpose: SendPurpose::Prefill,
        limit_ms: clock::now().until_ms(deadline),
        body_bytes: request.body_bytes(),
        last_event: None,
        keeps_connection: false,
    };
    let upstream_request = UpstreamRequest {
        replica,
        method: &request.head.method,
        head: context.protocol.write_request(&request.head, &order),
        body: &request.body,
        request_id: &request.facts.id,
        stage: Some(RunStage::Prefill),
        has_permit: has_rate_permit,
        choice: single_connection(context, request, permit),
        deadline,
    };
    let began_at = clock::now();
    match ask(context, upstream_request).await {
        Ok((_, facts, _)) if facts.is_misdirected => {
            let replica = replica.id.clone();
            context.control.send_event(Event::ReplicaReplaced { replica });
            PrefillEnd::Refused
        }
        Ok((_, facts, _)) if facts.is_not_run => PrefillEnd::Refused,
        Ok((head, _, body)) if head.status == 200 => {
            match context.protocol.read_prefill(replica.address, &body) {
                Some(ticket) => PrefillEnd::Done(TicketLease {
                    context: context.clone(),
                    replica: replica.clone(),
                    ticket: Some(ticket),
                    tokens: request.facts.prompt_tokens,
                }),
                None => PrefillEnd::Failed,
            }
        }
        Ok(_) => PrefillEnd::Failed,
        Err(ExchangeError::Unsent { .. }) => PrefillEnd::Unsent,
        Err(ExchangeError::Withheld) => PrefillEnd::Withheld,
        Err(ExchangeError::Unpermitted) => PrefillEnd::Unpermitted,
        Err(ExchangeError::Lost {
            is_ended, is_proven, ..
        }) => {
            if !is_ended {
                return PrefillEnd::Failed;
            }
            let lost = LostSend {
                permit,
                replica,
                stage: RunStage::Prefill,
                began_at,
                is_proven,
            };
            match report_loss(context, request, lost).await {
                UpstreamOutcome::Ended => PrefillEnd::EngineEnded,
                UpstreamOutcome::Alive | UpstreamOutcome::Unreached | UpstreamOutcome::Unclear => {
                    PrefillEnd::Failed
                }
            }
        }
        Err(ExchangeError::Deadline) => PrefillEnd::Late,
    }
}
