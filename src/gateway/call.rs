//! Plain calls: idempotent ones may go to one replica after another, and to a second one when the first is slow; run-once
//! calls run at most once.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::AsyncWriteExt;
use futures::future::{Either, select};

use super::GatewayContext;
use super::answer::write_answer;
use super::dispatch::{DispatchLease, LeaseChoice};
use super::exchange::{AnswerEnd, COME_BACK_MS, CallerRequest, refuse};
use super::paid_sends::PaidSends;
use super::rate_permit::{PermitEnd, acquire_permit, limited_notice};
use super::relay::relay_long;
use super::send::{SendEnd, SendLeave, is_of_use, send_once};
use super::trace::RequestOutcome;
use crate::blackboard::{ReplicaId, ReplicaRole};
use crate::clock;
use crate::controllers::dispatch::SelectionCriteria;
use crate::http::ResponseHead;
use crate::prelude::*;
use crate::register::RouteKind;
use crate::runtime::{RatePermit, RunPermit};
use crate::transport::until;

/// Connections that are tried without success before a request is given up.
const MOST_CONNECTS: usize = 4;

/// What became of a call so far.
#[derive(Default)]
struct CallProgress {
    /// Replicas that are not asked again.
    tried: Vec<ReplicaId>,
    /// Sends of which bytes left, or may have left.
    sends: u32,
    /// Extra sends that the budget covered.
    paid: PaidSends,
    /// Attempts to connect without success.
    failed_connects: usize,
    /// Whether the call may have run.
    in_doubt: bool,
    /// A failure that a replica reported of its own.
    own_error: Option<(ResponseHead, Vec<u8>)>,
    /// Why it must not run any more.
    held: Option<RefusalNotice>,
}

/// One call's way from replica to replica.
struct CallServer<'a> {
    context: &'a Arc<GatewayContext>,
    socket: &'a TcpStream,
    request: &'a CallerRequest,
    progress: CallProgress,
}

/// Serves a plain call.
pub async fn serve_call(
    context: &Arc<GatewayContext>,
    socket: &TcpStream,
    request: &CallerRequest,
) -> AnswerEnd {
    let mut server = CallServer {
        context,
        socket,
        request,
        progress: CallProgress::default(),
    };
    server.run().await
}

impl CallServer<'_> {
    async fn run(&mut self) -> AnswerEnd {
        while let Some(leave) = self.choose_next().await {
            let end = match self.request.rule.kind {
                RouteKind::Idempotent if !leave.permit.is_trial() => self.send_hedged(leave).await,
                RouteKind::Idempotent | RouteKind::RunOnce | RouteKind::Stream { .. } => {
                    send_once(self.context, self.request, leave).await
                }
            };
            if let Some(end) = self.take_end(end).await {
                return end;
            }
        }
        self.give_up().await
    }

    /// Whether another send may follow.
    fn may_send(&self) -> bool {
        let (request, progress) = (self.request, &self.progress);
        let rule = &request.rule;
        progress.sends < rule.attempts
            && progress.failed_connects < MOST_CONNECTS
            && (!progress.in_doubt || rule.kind.may_repeat())
            && !clock::now().reached(request.deadline)
    }

    /// Leave and a place for the next send, where there may be one.
    async fn choose_next(&mut self) -> Option<SendLeave> {
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

    /// Leave and a place for a second send beside the first, where there may be one. It does not use up what a replica that
    /// names a limit takes.
    fn choose_copy(&mut self) -> Option<SendLeave> {
        let permit = RunPermit::for_hedge(&self.context.control, self.request.fingerprint)?;
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

    async fn choose_place(&mut self, permit: RunPermit) -> Option<SendLeave> {
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
    ) -> Option<SendLeave> {
        if self.progress.sends > 0 && !self.progress.paid.pay(self.context, self.request) {
            return None;
        }
        self.progress.tried.push(lease.id().clone());
        self.progress.sends += 1;
        Some(SendLeave {
            lease,
            permit,
            rate_permit,
        })
    }

    /// Sends to a replica, and after a while without an answer to a second one; the first answer of use counts.
    async fn send_hedged(&mut self, leave: SendLeave) -> SendEnd {
        let (context, request) = (self.context, self.request);
        let delay_ms = context.hedge_delay_ms(&request.service);
        let first = std::pin::pin!(send_once(context, request, leave));
        let pause = std::pin::pin!(async_std::task::sleep(Duration::from_millis(delay_ms)));
        let first = match select(first, pause).await {
            Either::Left((end, _)) => return end,
            Either::Right(((), first)) => first,
        };
        let Some(leave) = self.choose_copy() else {
            return first.await;
        };
        spdlog::info!(
            "event=hedged request={} replica={} after_ms={delay_ms}",
            request.facts.id,
            leave.lease.id()
        );
        let second = std::pin::pin!(send_once(context, request, leave));
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

    /// Passes an answer on; `None` where another send may follow.
    async fn take_end(&mut self, end: SendEnd) -> Option<AnswerEnd> {
        match end {
            SendEnd::Answer(head, body) => Some(self.pass_on(&head, &body).await),
            SendEnd::LongAnswer(answer, begun, leave) => {
                let relayed = relay_long(self.context, self.socket, self.request, *answer, begun, *leave);
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

    /// Takes a send back that did not go out.
    fn take_back_send(&mut self) {
        let progress = &mut self.progress;
        progress.sends -= 1;
        progress.failed_connects += 1;
        let sent = progress.sends.saturating_sub(1);
        progress.paid.settle(self.context, self.request, sent);
    }

    async fn pass_on(&self, head: &ResponseHead, body: &[u8]) -> AnswerEnd {
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
                AnswerEnd::Whole(request.after)
            }
            _ => AnswerEnd::Cut,
        }
    }

    /// Ends a call that no replica answered.
    async fn give_up(&mut self) -> AnswerEnd {
        let (request, progress) = (self.request, &mut self.progress);
        if let Some((head, body)) = progress.own_error.take() {
            return self.pass_on(&head, &body).await;
        }
        let now = clock::now();
        let is_late = now.reached(request.deadline);
        let first_return = self
            .context
            .with_book(|book| book.first_backoff_end(&request.service, ReplicaRole::Plain, now));
        let return_ms = first_return.map_or(COME_BACK_MS, |first| now.until_ms(first));
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

/// The refusal of a request that may have run, and why no other replica is asked where it is held back.
pub fn failed_notice(held: Option<&RefusalNotice>) -> RefusalNotice {
    let Some(held) = held else {
        return RefusalNotice::new(ResultCode::UpstreamFailed, "");
    };
    let notice = RefusalNotice::new(ResultCode::UpstreamFailed, held.code.entry().name);
    notice.retry_after_ms(held.retry_after_ms.unwrap_or(COME_BACK_MS))
}
