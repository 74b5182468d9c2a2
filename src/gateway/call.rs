//! Plain calls: idempotent calls are retried at other replicas and hedged if the first replica is slow;
//! run-once calls run at most once.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::future::{Either, select};

use super::GatewayContext;
use super::answer::write_answer_head;
use super::answer_write::{AnswerBuffer, SEND_BYTES, reserve_buffers, write_answer_part};
use super::authentication::check_caller;
use super::dispatch::{DispatchLease, LeaseChoice};
use super::exchange::{AnswerOutcome, CallerRequest, DEFAULT_RETRY_AFTER_MS, refuse};
use super::paid_sends::BudgetCharges;
use super::rate_permit::{PermitOutcome, acquire_permit, rate_limited_notice};
use super::relay::relay_long_body;
use super::send::{SendAdmission, SendResult, is_usable, send_once};
use super::send_slot::{AdmittedChoice, SlotPurpose, choose_admitted, slot_refused_notice};
use super::trace::RequestOutcome;
use crate::blackboard::{ReplicaId, ReplicaRole};
use crate::clock;
use crate::controllers::dispatch::SelectionCriteria;
use crate::http::ResponseHead;
use crate::prelude::*;
use crate::register::RouteKind;
use crate::runtime::{RatePermit, RunPermit};

/// Maximum number of sends of one call that may fail before a byte leaves, for example on connecting.
const MAX_UNSENT_ATTEMPTS: usize = 4;

/// State of a call across its sends.
#[derive(Default)]
struct CallProgress {
    /// Replicas that are not selected again.
    tried: Vec<ReplicaId>,
    /// Number of sends, without those that failed before a byte left.
    sends: u32,
    /// Extra sends charged to the retry budget.
    charges: BudgetCharges,
    /// Number of sends that failed before a byte left.
    unsent_attempts: usize,
    /// The latest error response that a replica signed as its own.
    own_error: Option<(ResponseHead, AnswerBuffer)>,
    /// Refusal of the quarantine, if the call may not run any more.
    quarantine_notice: Option<RefusalNotice>,
    /// Refusal of the service's owner, if the call can't be answered in time.
    slot_notice: Option<RefusalNotice>,
    /// Refusal because of the caller's API key; no further send is made.
    denial: Option<RefusalNotice>,
}

/// Serves one call, by sends to one or several replicas.
struct CallHandler<'a> {
    context: &'a Arc<GatewayContext>,
    socket: &'a TcpStream,
    request: &'a CallerRequest,
    progress: CallProgress,
}

/// Serves a plain call and answers its caller.
pub async fn serve_call(
    context: &Arc<GatewayContext>,
    socket: &TcpStream,
    request: &CallerRequest,
) -> AnswerOutcome {
    let mut handler = CallHandler {
        context,
        socket,
        request,
        progress: CallProgress::default(),
    };
    handler.run().await
}

impl CallHandler<'_> {
    async fn run(&mut self) -> AnswerOutcome {
        while let Some(admission) = self.prepare_send().await {
            let result = match self.request.rule.kind {
                RouteKind::Idempotent if !admission.permit.is_trial() => self.send_hedged(admission).await,
                RouteKind::Idempotent | RouteKind::RunOnce | RouteKind::Stream { .. } => {
                    Box::pin(send_once(self.context, self.request, admission)).await
                }
            };
            if let Some(answer_outcome) = self.handle_result(result).await {
                return answer_outcome;
            }
        }
        self.abandon().await
    }

    /// Whether the route's limits, the deadline and earlier sends allow another send.
    fn may_send(&self) -> bool {
        let (request, progress) = (self.request, &self.progress);
        let rule = &request.rule;
        progress.sends < rule.attempts
            && progress.unsent_attempts < MAX_UNSENT_ATTEMPTS
            && progress.denial.is_none()
            && (!request.exposure.may_have_run() || rule.kind.may_repeat())
            && !clock::now().reached(request.deadline)
    }

    /// Acquires the permits and a replica for the next send; `None` if there may be none.
    async fn prepare_send(&mut self) -> Option<SendAdmission> {
        if !self.may_send() {
            return None;
        }
        let (control, request) = (&self.context.control, self.request);
        match RunPermit::acquire(control, &request.features, request.deadline).await {
            Ok(permit) => self.select_replica(permit).await,
            Err(notice) => {
                self.progress.quarantine_notice = Some(notice);
                None
            }
        }
    }

    /// Acquires the permits and a replica for a hedged send; `None` if there may be none. Replicas with a
    /// rate limit are not hedged to, since that would use up their permits, nor are leaving ones, since a call that
    /// is only slow does not need them. Under admission control a hedged send takes a slot only if one is free at
    /// once.
    async fn prepare_hedge(&mut self) -> Option<SendAdmission> {
        let permit = RunPermit::for_hedge(&self.context.control, &self.request.features)?;
        if !self.may_send() {
            return None;
        }
        let service = &self.request.service;
        let leaving = self.context.with_selector(|selector| selector.leaving(service));
        let avoid = [self.progress.tried.as_slice(), &leaving].concat();
        let criteria = SelectionCriteria {
            avoid: &avoid,
            ..self.selection_criteria()
        };
        match choose_admitted(self.context, self.request, &criteria, SlotPurpose::Hedge).await {
            AdmittedChoice::Chosen(LeaseChoice::Reserved(lease)) => self.admit_send(lease, permit, None),
            AdmittedChoice::Chosen(LeaseChoice::Limited(_))
            | AdmittedChoice::Refused(_)
            | AdmittedChoice::Unavailable => None,
        }
    }

    fn selection_criteria(&self) -> SelectionCriteria<'_> {
        SelectionCriteria {
            service: &self.request.service,
            role: ReplicaRole::Plain,
            avoid: &self.progress.tried,
        }
    }

    /// Selects a replica and reserves a slot there. If it reports a rate limit, waits for a permit first; under
    /// admission control, waits for a slot.
    async fn select_replica(&mut self, permit: RunPermit) -> Option<SendAdmission> {
        loop {
            let criteria = self.selection_criteria();
            match choose_admitted(self.context, self.request, &criteria, SlotPurpose::Send).await {
                AdmittedChoice::Unavailable => return None,
                AdmittedChoice::Refused(retry_at) => {
                    self.progress.slot_notice = Some(slot_refused_notice(self.request, retry_at));
                    return None;
                }
                AdmittedChoice::Chosen(LeaseChoice::Reserved(lease)) => {
                    // The request may have come under suspicion while it waited for its slot.
                    if lease.has_slot()
                        && let Err(notice) = permit.renew(self.request.deadline).await
                    {
                        self.progress.quarantine_notice = Some(notice);
                        return None;
                    }
                    return self.admit_send(lease, permit, None);
                }
                AdmittedChoice::Chosen(LeaseChoice::Limited(candidates)) => {
                    match acquire_permit(self.context, self.request, &candidates).await {
                        PermitOutcome::Granted(rate_permit) => {
                            if let Err(notice) = permit.renew(self.request.deadline).await {
                                self.progress.quarantine_notice = Some(notice);
                                return None;
                            }
                            let replica = &rate_permit.grant().replica;
                            if let Some(lease) = DispatchLease::reserve(self.context, replica) {
                                return self.admit_send(lease, permit, Some(rate_permit));
                            }
                        }
                        PermitOutcome::Refused => self.progress.tried.extend(candidates),
                        PermitOutcome::Expired => {}
                    }
                }
            }
        }
    }

    /// Counts a send, and charges all but the first to the retry budget; `None` if the budget is spent.
    fn admit_send(
        &mut self,
        lease: DispatchLease,
        permit: RunPermit,
        rate_permit: Option<RatePermit>,
    ) -> Option<SendAdmission> {
        if self.progress.sends > 0 && !self.progress.charges.charge(self.context, self.request) {
            return None;
        }
        self.progress.tried.push(lease.id().clone());
        self.progress.sends += 1;
        Some(SendAdmission {
            lease,
            permit,
            rate_permit,
        })
    }

    /// Sends to a replica, and to a second one if the hedging delay ends without an answer; the first usable
    /// answer wins.
    async fn send_hedged(&mut self, admission: SendAdmission) -> SendResult {
        let (context, request) = (self.context, self.request);
        let delay_ms = context.hedge_delay_ms(&request.service);
        // Sends are boxed, so that their memory is given back before a long answer is passed on.
        let first = Box::pin(send_once(context, request, admission));
        let pause = std::pin::pin!(async_std::task::sleep(Duration::from_millis(delay_ms)));
        let first = match select(first, pause).await {
            Either::Left((result, _)) => return result,
            Either::Right(((), first)) => first,
        };
        let (admission, first) = {
            let hedge = std::pin::pin!(self.prepare_hedge());
            let prepared = select(first, hedge).await;
            match prepared {
                Either::Left((result, _)) => return result,
                Either::Right((admission, first)) => (admission, first),
            }
        };
        let Some(admission) = admission else {
            return first.await;
        };
        spdlog::info!(
            "event=hedged request={} replica={} after_ms={delay_ms}",
            request.facts.id,
            admission.lease.id()
        );
        let second = Box::pin(send_once(context, request, admission));
        match select(first, second).await {
            Either::Left((result, second)) if !is_usable(&result) => {
                self.record_failure(result);
                second.await
            }
            Either::Right((result, first)) if !is_usable(&result) => {
                self.record_failure(result);
                first.await
            }
            Either::Left((result, _)) => result,
            Either::Right((result, _)) => result,
        }
    }

    /// Passes an answer on to the caller; `None` if the send failed and another one may follow.
    async fn handle_result(&mut self, result: SendResult) -> Option<AnswerOutcome> {
        match result {
            SendResult::Answer(head, body) => Some(self.pass_on(&head, body.as_slice()).await),
            SendResult::LongAnswer(answer, body_start, admission) => {
                let relayed = relay_long_body(
                    self.context,
                    self.socket,
                    self.request,
                    *answer,
                    body_start,
                    *admission,
                );
                Some(relayed.await)
            }
            failure => {
                self.record_failure(failure);
                None
            }
        }
    }

    fn record_failure(&mut self, result: SendResult) {
        let progress = &mut self.progress;
        match result {
            SendResult::OwnError(head, body) => progress.own_error = Some((head, body)),
            SendResult::Unsent => self.uncount_send(),
            SendResult::Denied(notice) => {
                progress.denial = Some(notice);
                self.uncount_send();
            }
            SendResult::Unpermitted(replica) => {
                progress.tried.retain(|tried| *tried != replica);
                self.uncount_send();
            }
            SendResult::Answer(..) | SendResult::LongAnswer(..) | SendResult::Unanswered => {}
        }
    }

    /// Reverts the count and the budget charge of a send of which no byte left.
    fn uncount_send(&mut self) {
        let progress = &mut self.progress;
        progress.sends -= 1;
        progress.unsent_attempts += 1;
        let sent = progress.sends.saturating_sub(1);
        progress.charges.refund_unused(self.context, self.request, sent);
    }

    async fn pass_on(&self, head: &ResponseHead, body: &[u8]) -> AnswerOutcome {
        /// Longest body that is written together with its head, in bytes.
        const JOINED_BYTES: usize = 8 * 1024;
        let (request, socket) = (self.request, self.socket);
        let has_body = request.head.method != "HEAD";
        let length = has_body.then_some(body.len());
        let mut bytes = write_answer_head(&*self.context.protocol, head, length, request.persistence);
        request.exposure.begin_answer();
        let _buffers = (body.len() > SEND_BYTES).then(|| reserve_buffers(self.context, socket));
        let is_joined = body.len() <= JOINED_BYTES;
        if is_joined {
            bytes.extend_from_slice(body);
        }
        let is_written = write_answer_part(self.context, socket, request, &bytes).await
            && (is_joined || write_answer_part(self.context, socket, request, body).await);
        match is_written {
            true => {
                let outcome = match head.status {
                    500.. => RequestOutcome::ReplicaFailed,
                    _ => RequestOutcome::Served,
                };
                request.trace.end(outcome, head.status);
                AnswerOutcome::Complete(request.persistence)
            }
            false => AnswerOutcome::Cut,
        }
    }

    /// Answers a call that no replica answered with a final result.
    async fn abandon(&mut self) -> AnswerOutcome {
        let (request, progress) = (self.request, &mut self.progress);
        if let Some((head, body)) = progress.own_error.take() {
            return self.pass_on(&head, body.as_slice()).await;
        }
        let now = clock::now();
        let is_late = now.reached(request.deadline);
        let backoff_ends_at = self
            .context
            .with_selector(|selector| selector.first_backoff_end(&request.service, ReplicaRole::Plain, now));
        let retry_ms = backoff_ends_at.map_or(DEFAULT_RETRY_AFTER_MS, |ends_at| now.until_ms(ends_at));
        // The key may have been removed while the request waited for something else.
        let denial = progress
            .denial
            .take()
            .or_else(|| check_caller(self.context, request).err());
        let notice = match (request.exposure.may_have_run(), is_late) {
            (true, true) => RefusalNotice::new(ResultCode::DeadlineDuringRun, ""),
            (true, false) => failed_notice(progress.quarantine_notice.as_ref()),
            (false, _) if let Some(denial) = denial => denial,
            (false, false) if progress.quarantine_notice.is_some() => {
                let quarantine_notice = progress.quarantine_notice.take();
                quarantine_notice.unwrap_or_else(|| RefusalNotice::new(ResultCode::Quarantined, ""))
            }
            (false, _) if progress.slot_notice.is_some() => {
                let slot_notice = progress.slot_notice.take();
                slot_notice.unwrap_or_else(|| RefusalNotice::new(ResultCode::ServiceSaturated, ""))
            }
            (false, true) => RefusalNotice::new(ResultCode::DeadlineTooNear, ""),
            (false, false) => rate_limited_notice(self.context, request).unwrap_or_else(|| {
                let notice = if progress.sends > 0 {
                    RefusalNotice::new(ResultCode::QueueFull, "")
                } else {
                    RefusalNotice::new(ResultCode::NoUpstream, request.service.to_string())
                };
                notice.retry_after_ms(retry_ms)
            }),
        };
        refuse(self.socket, request, &notice).await
    }
}

/// Builds the refusal of a request that may have run. If the request is quarantined, the refusal names that
/// as the reason why no other replica is tried.
pub fn failed_notice(quarantine_notice: Option<&RefusalNotice>) -> RefusalNotice {
    let Some(quarantine_notice) = quarantine_notice else {
        return RefusalNotice::new(ResultCode::UpstreamFailed, "");
    };
    let notice = RefusalNotice::new(ResultCode::UpstreamFailed, quarantine_notice.code.entry().name);
    notice.retry_after_ms(quarantine_notice.retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS))
}
