//! Plain calls: idempotent calls are retried at other replicas and hedged if the first replica is slow;
//! run-once calls run at most once.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::AsyncWriteExt;
use futures::future::{Either, select};

use super::GatewayContext;
use super::answer::write_answer;
use super::dispatch::{DispatchLease, LeaseChoice};
use super::exchange::{AnswerOutcome, CallerRequest, DEFAULT_RETRY_AFTER_MS, refuse};
use super::paid_sends::PaidSends;
use super::rate_permit::{PermitEnd, acquire_permit, limited_notice};
use super::relay::relay_long;
use super::send::{SendAdmission, SendEnd, is_of_use, send_once};
use super::trace::RequestOutcome;
use crate::blackboard::{ReplicaId, ReplicaRole};
use crate::clock;
use crate::controllers::dispatch::SelectionCriteria;
use crate::http::ResponseHead;
use crate::prelude::*;
use crate::register::RouteKind;
use crate::runtime::{RatePermit, RunPermit};
use crate::transport::until;

/// Sends of one call that may fail before a byte leaves, such as failed connects.
const MOST_CONNECTS: usize = 4;

/// State of a call across its sends.
#[derive(Default)]
struct CallProgress {
    /// Replicas that are not selected again.
    tried: Vec<ReplicaId>,
    /// Number of sends, without those that failed before a byte left.
    sends: u32,
    /// Extra sends charged to the retry budget.
    paid: PaidSends,
    /// Number of sends that failed before a byte left.
    failed_connects: usize,
    /// Whether the call may have run.
    in_doubt: bool,
    /// The latest error response that a replica signed as its own.
    own_error: Option<(ResponseHead, Vec<u8>)>,
    /// Refusal of the quarantine, if the call may not run any more.
    held: Option<RefusalNotice>,
}

/// Serves one call, by sends to one or several replicas.
struct CallServer<'a> {
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
    let mut server = CallServer {
        context,
        socket,
        request,
        progress: CallProgress::default(),
    };
    server.run().await
}

impl CallServer<'_> {
    async fn run(&mut self) -> AnswerOutcome {
        while let Some(admission) = self.choose_next().await {
            let end = match self.request.rule.kind {
                RouteKind::Idempotent if !admission.permit.is_careful() => self.send_hedged(admission).await,
                RouteKind::Idempotent | RouteKind::RunOnce | RouteKind::Stream { .. } => {
                    send_once(self.context, self.request, admission).await
                }
            };
            if let Some(end) = self.take_end(end).await {
                return end;
            }
        }
        self.give_up().await
    }

    /// Whether the route's limits, the deadline and earlier sends allow another send.
    fn may_send(&self) -> bool {
        let (request, progress) = (self.request, &self.progress);
        let rule = &request.rule;
        progress.sends < rule.attempts
            && progress.failed_connects < MOST_CONNECTS
            && (!progress.in_doubt || rule.kind.may_repeat())
            && !clock::now().reached(request.deadline)
    }

    /// Acquires the permits and a replica for the next send; `None` if there may be none.
    async fn choose_next(&mut self) -> Option<SendAdmission> {
        if !self.may_send() {
            return None;
        }
        let (control, request) = (&self.context.control, self.request);
        match RunPermit::acquire(control, request.fingerprint, request.deadline).await {
            Ok(permit) => self.choose_place(permit).await,
            Err(notice) => {
                self.progress.held = Some(notice);
                None
            }
        }
    }

    /// Acquires the permits and a replica for a hedged send; `None` if there may be none. Replicas with a
    /// rate limit are not hedged to, since that would use up their permits.
    fn choose_copy(&mut self) -> Option<SendAdmission> {
        let permit = RunPermit::for_copy(&self.context.control, self.request.fingerprint)?;
        if !self.may_send() {
            return None;
        }
        match DispatchLease::choose(self.context, &self.dispatch_ask())? {
            LeaseChoice::Booked(lease) => self.take_place(lease, permit, None),
            LeaseChoice::Limited(_) => None,
        }
    }

    fn dispatch_ask(&self) -> SelectionCriteria<'_> {
        SelectionCriteria {
            service: &self.request.service,
            role: ReplicaRole::Plain,
            avoid: &self.progress.tried,
        }
    }

    async fn choose_place(&mut self, permit: RunPermit) -> Option<SendAdmission> {
        loop {
            match DispatchLease::choose(self.context, &self.dispatch_ask())? {
                LeaseChoice::Booked(lease) => return self.take_place(lease, permit, None),
                LeaseChoice::Limited(candidates) => {
                    match acquire_permit(self.context, self.request, &candidates).await {
                        PermitEnd::Granted(rate_permit) => {
                            let replica = &rate_permit.grant().replica;
                            if let Some(lease) = DispatchLease::book(self.context, replica) {
                                return self.take_place(lease, permit, Some(rate_permit));
                            }
                        }
                        PermitEnd::Refused => self.progress.tried.extend(candidates),
                        PermitEnd::Expired => {}
                    }
                }
            }
        }
    }

    fn take_place(
        &mut self,
        lease: DispatchLease,
        permit: RunPermit,
        rate_permit: Option<RatePermit>,
    ) -> Option<SendAdmission> {
        if self.progress.sends > 0 && !self.progress.paid.pay(self.context, self.request) {
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
    async fn send_hedged(&mut self, admission: SendAdmission) -> SendEnd {
        let (context, request) = (self.context, self.request);
        let delay_ms = context.hedge_delay_ms(&request.service);
        let first = std::pin::pin!(send_once(context, request, admission));
        let pause = std::pin::pin!(async_std::task::sleep(Duration::from_millis(delay_ms)));
        let first = match select(first, pause).await {
            Either::Left((end, _)) => return end,
            Either::Right(((), first)) => first,
        };
        let Some(admission) = self.choose_copy() else {
            return first.await;
        };
        spdlog::info!(
            "event=hedged request={} replica={} after_ms={delay_ms}",
            request.facts.id,
            admission.lease.id()
        );
        let second = std::pin::pin!(send_once(context, request, admission));
        match select(first, second).await {
            Either::Left((end, second)) if !is_of_use(&end) => {
                self.take_failure(end);
                second.await
            }
            Either::Right((end, first)) if !is_of_use(&end) => {
                self.take_failure(end);
                first.await
            }
            Either::Left((end, _)) => end,
            Either::Right((end, _)) => end,
        }
    }

    /// Passes an answer on to the caller; `None` if the send failed and another one may follow.
    async fn take_end(&mut self, end: SendEnd) -> Option<AnswerOutcome> {
        match end {
            SendEnd::Answer(head, body) => Some(self.pass_on(&head, &body).await),
            SendEnd::LongAnswer(answer, begun, admission) => {
                let relayed = relay_long(
                    self.context,
                    self.socket,
                    self.request,
                    *answer,
                    begun,
                    *admission,
                );
                Some(relayed.await)
            }
            failure => {
                self.take_failure(failure);
                None
            }
        }
    }

    fn take_failure(&mut self, end: SendEnd) {
        let progress = &mut self.progress;
        match end {
            SendEnd::Answer(..) | SendEnd::LongAnswer(..) => {}
            SendEnd::OwnError(head, body) => {
                progress.in_doubt = true;
                progress.own_error = Some((head, body));
            }
            SendEnd::NotRun { was_sent: true } => {}
            SendEnd::NotRun { was_sent: false } => self.take_back_send(),
            SendEnd::Unpermitted(replica) => {
                progress.tried.retain(|tried| *tried != replica);
                self.take_back_send();
            }
            SendEnd::InDoubt => progress.in_doubt = true,
        }
    }

    /// Uncounts a send of which no byte left and returns its budget.
    fn take_back_send(&mut self) {
        let progress = &mut self.progress;
        progress.sends -= 1;
        progress.failed_connects += 1;
        let sent = progress.sends.saturating_sub(1);
        progress.paid.settle(self.context, self.request, sent);
    }

    async fn pass_on(&self, head: &ResponseHead, body: &[u8]) -> AnswerOutcome {
        let (request, mut socket) = (self.request, self.socket);
        let has_body = request.head.method != "HEAD";
        let bytes = write_answer(&*self.context.protocol, head, body, has_body, request.after);
        match until(request.deadline, socket.write_all(&bytes)).await {
            Some(Ok(())) => {
                let outcome = match head.status {
                    500.. => RequestOutcome::ReplicaFailed,
                    _ => RequestOutcome::Served,
                };
                request.trace.end(outcome, head.status);
                AnswerOutcome::Complete(request.after)
            }
            _ => AnswerOutcome::Cut,
        }
    }

    /// Answers a call that no replica answered with a final result.
    async fn give_up(&mut self) -> AnswerOutcome {
        let (request, progress) = (self.request, &mut self.progress);
        if let Some((head, body)) = progress.own_error.take() {
            return self.pass_on(&head, &body).await;
        }
        let now = clock::now();
        let is_late = now.reached(request.deadline);
        let first_return = self
            .context
            .with_selector(|book| book.first_backoff_end(&request.service, ReplicaRole::Plain, now));
        let return_ms = first_return.map_or(DEFAULT_RETRY_AFTER_MS, |first| now.until_ms(first));
        let notice = match (progress.in_doubt, is_late) {
            (true, true) => RefusalNotice::new(ResultCode::DeadlineDuringRun, ""),
            (true, false) => failed_notice(progress.held.as_ref()),
            (false, false) if progress.held.is_some() => {
                let held = progress.held.take();
                held.unwrap_or_else(|| RefusalNotice::new(ResultCode::Quarantined, ""))
            }
            (false, true) => RefusalNotice::new(ResultCode::DeadlineTooNear, ""),
            (false, false) => limited_notice(self.context, request).unwrap_or_else(|| {
                let notice = if progress.sends > 0 {
                    RefusalNotice::new(ResultCode::QueueFull, "")
                } else {
                    RefusalNotice::new(ResultCode::NoUpstream, request.service.to_string())
                };
                notice.retry_after_ms(return_ms)
            }),
        };
        refuse(self.socket, request, &notice).await
    }
}

/// Builds the refusal of a request that may have run. If the request is quarantined, the refusal names that
/// as the reason why no other replica is tried.
pub fn failed_notice(held: Option<&RefusalNotice>) -> RefusalNotice {
    let Some(held) = held else {
        return RefusalNotice::new(ResultCode::UpstreamFailed, "");
    };
    let notice = RefusalNotice::new(ResultCode::UpstreamFailed, held.code.entry().name);
    notice.retry_after_ms(held.retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS))
}
