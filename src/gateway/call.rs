//! Plain calls: idempotent ones may go to one replica after another, and to a second one when the first is slow; run-once
//! calls run at most once.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::AsyncWriteExt;
use futures::future::{Either, select};

use super::answer::write_answer;
use super::dispatch::DispatchLease;
use super::exchange::{AnswerEnd, COME_BACK_MS, CallerRequest, refuse};
use super::loss::{RunStage, report_loss};
use super::relay::{note_broken, relay_long};
use super::trace::RequestOutcome;
use super::upstream::{ConnectionChoice, ExchangeError, UpstreamAnswer, UpstreamRequest, exchange};
use super::verdict::{AnswerVerdict, judge, verdict_word};
use super::{GatewayContext, SendOrder, SendPurpose};
use crate::blackboard::{ReplicaId, ReplicaRole};
use crate::clock;
use crate::controllers::dispatch::{DispatchAsk, SendOutcome};
use crate::http::ResponseHead;
use crate::prelude::*;
use crate::register::RouteKind;
use crate::runtime::RunPermit;
use crate::transport::until;

/// The longest body of an answer that is read whole before it is passed on, in bytes. A shorter one that breaks off can
/// be replaced by another replica's.
const WHOLE_BODY_BYTES: usize = 256 * 1024;

/// Connections that are tried without success before a request is given up.
const MOST_CONNECTS: usize = 4;

/// How one send ended.
enum SendEnd {
    /// The replica's own answer.
    Answer(ResponseHead, Vec<u8>),
    /// The replica's own answer, of which this much was read; too long to be held.
    LongAnswer(Box<UpstreamAnswer>, Vec<u8>, SendLeave),
    /// The replica's own report of a failure.
    OwnError(ResponseHead, Vec<u8>),
    /// The request has certainly not run there.
    NotRun { was_sent: bool },
    /// The request may have run there.
    InDoubt,
}

/// What became of a call so far.
#[derive(Default)]
struct CallProgress {
    /// Replicas that are not asked again.
    tried: Vec<ReplicaId>,
    /// Sends of which bytes left, or may have left.
    sends: u32,
    /// Attempts to connect without success.
    failed_connects: usize,
    /// Whether the call may have run.
    in_doubt: bool,
    /// A failure that a replica reported of its own.
    own_error: Option<(ResponseHead, Vec<u8>)>,
    /// Why it must not run any more.
    held: Option<RefusalNotice>,
}

/// What one send needs.
pub struct SendLeave {
    /// A place at a replica.
    pub lease: DispatchLease,
    /// Leave to run the request there.
    pub permit: RunPermit,
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
                RouteKind::Idempotent if !leave.permit.is_careful() => self.send_hedged(leave).await,
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
            Ok(permit) => self.choose_place(permit),
            Err(notice) => {
                self.progress.held = Some(notice);
                None
            }
        }
    }

    /// Leave and a place for a second send beside the first, where there may be one.
    fn choose_copy(&mut self) -> Option<SendLeave> {
        let permit = RunPermit::for_copy(&self.context.control, self.request.fingerprint)?;
        self.may_send().then(|| self.choose_place(permit)).flatten()
    }

    fn choose_place(&mut self, permit: RunPermit) -> Option<SendLeave> {
        let (request, progress) = (self.request, &self.progress);
        let ask = DispatchAsk {
            service: &request.service,
            role: ReplicaRole::Plain,
            avoid: &progress.tried,
        };
        let lease = DispatchLease::book(self.context, &ask, 0)?;
        if progress.sends > 0 && !take_budget(self.context, request) {
            return None;
        }
        self.progress.tried.push(lease.id().clone());
        self.progress.sends += 1;
        Some(SendLeave { lease, permit })
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
                let relayed = relay_long(self.context, self.socket, self.request, *answer, begun, leave);
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
            SendEnd::NotRun { was_sent: false } => {
                progress.sends -= 1;
                progress.failed_connects += 1;
            }
            SendEnd::InDoubt => progress.in_doubt = true,
        }
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
            .with_book(|book| book.first_return(&request.service, ReplicaRole::Plain, now));
        let return_ms = first_return.map_or(COME_BACK_MS, |first| now.until_ms(first));
        let notice = match (progress.in_doubt, is_late) {
            (true, true) => RefusalNotice::new(ResultCode::DeadlineDuringRun, ""),
            (true, false) => failed_notice(progress.held.as_ref()),
            (false, false) if progress.held.is_some() => {
                let held = progress.held.take();
                held.unwrap_or_else(|| RefusalNotice::new(ResultCode::Quarantined, ""))
            }
            (false, true) => RefusalNotice::new(ResultCode::DeadlineTooNear, ""),
            (false, false) if progress.sends > 0 => {
                RefusalNotice::new(ResultCode::QueueFull, "").retry_after_ms(return_ms)
            }
            (false, false) => RefusalNotice::new(ResultCode::NoUpstream, request.service.to_string())
                .retry_after_ms(return_ms),
        };
        refuse(self.socket, request, &notice).await
    }
}

/// Whether nothing better can come of a call.
fn is_of_use(end: &SendEnd) -> bool {
    matches!(end, SendEnd::Answer(..) | SendEnd::LongAnswer(..))
}

/// The refusal of a request that may have run, and why no other replica is asked where it is held back.
pub fn failed_notice(held: Option<&RefusalNotice>) -> RefusalNotice {
    let Some(held) = held else {
        return RefusalNotice::new(ResultCode::UpstreamFailed, "");
    };
    let notice = RefusalNotice::new(ResultCode::UpstreamFailed, held.code.entry().name);
    notice.retry_after_ms(held.retry_after_ms.unwrap_or(COME_BACK_MS))
}

async fn send_once(context: &Arc<GatewayContext>, request: &CallerRequest, leave: SendLeave) -> SendEnd {
    let SendLeave { lease, permit } = leave;
    let choice = match request.rule.kind {
        // What ends with a new connection ends with its request, and not before.
        _ if permit.is_careful() => ConnectionChoice::Fresh,
        RouteKind::Idempotent => ConnectionChoice::Kept,
        RouteKind::RunOnce | RouteKind::Stream { .. } => ConnectionChoice::Proven,
    };
    let order = SendOrder {
        replica: lease.replica(),
        purpose: SendPurpose::Run,
        limit_ms: request.limit_ms(),
        body_bytes: request.body_bytes(),
        last_event: None,
        keeps_connection: choice != ConnectionChoice::Fresh,
    };
    let upstream_request = UpstreamRequest {
        replica: lease.replica(),
        method: &request.head.method,
        head: context.protocol.write_request(&request.head, &order),
        body: &request.body,
        request_id: &request.facts.id,
        stage: Some(RunStage::Call),
        choice,
        deadline: request.deadline,
    };
    note_send(request, lease.id());
    let outcome = exchange(context, upstream_request).await;
    let verdict = outcome.as_ref().map(|answer| judge(answer, &request.facts.id));
    spdlog::info!(
        "event=sent request={} route={} replica={} outcome={} send={} ahead={} free_beside={} elapsed_ms={} total_ms={}",
        request.facts.id,
        request.rule.name,
        lease.id(),
        verdict_word(&verdict),
        request.trace.record().sends,
        lease.evidence().ahead,
        lease.evidence().free_beside,
        lease.elapsed_ms(),
        request.trace.elapsed_ms()
    );
    match outcome {
        Ok(answer) => {
            let verdict = judge(&answer, &request.facts.id);
            finish_send(context, request, SendLeave { lease, permit }, answer, verdict).await
        }
        Err(ExchangeError::Unsent { .. }) => {
            lease.finish(SendOutcome::Failed);
            SendEnd::NotRun { was_sent: false }
        }
        Err(ExchangeError::Withheld) => {
            lease.finish(SendOutcome::Refused);
            SendEnd::NotRun { was_sent: false }
        }
        Err(ExchangeError::Lost { is_ended, .. }) => {
            let (replica, began_at) = (lease.replica().clone(), lease.began_at());
            lease.finish(SendOutcome::Failed);
            if is_ended {
                report_loss(request, &permit, &replica, RunStage::Call, began_at).await;
            }
            SendEnd::InDoubt
        }
        Err(ExchangeError::Deadline) => {
            drop(lease);
            SendEnd::InDoubt
        }
    }
}

/// Reads the rest of an answer.
async fn finish_send(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    leave: SendLeave,
    mut answer: UpstreamAnswer,
    verdict: AnswerVerdict,
) -> SendEnd {
    let SendLeave { lease, permit } = leave;
    if let Some(load) = answer.facts.load {
        context.with_book(|book| book.note_load(lease.id(), load, clock::now()));
    }
    match verdict {
        AnswerVerdict::Misdirected => {
            let replica = lease.id().clone();
            context.control.tell(Event::ReplicaReplaced { replica });
            lease.finish(SendOutcome::Failed);
            return SendEnd::NotRun { was_sent: true };
        }
        AnswerVerdict::NotRun => {
            lease.finish(SendOutcome::Refused);
            return SendEnd::NotRun { was_sent: true };
        }
        AnswerVerdict::Unsound => {
            lease.finish(SendOutcome::Failed);
            return SendEnd::InDoubt;
        }
        AnswerVerdict::Final | AnswerVerdict::OwnError => {}
    }
    match until(request.deadline, answer.read_up_to(WHOLE_BODY_BYTES)).await {
        Some(Ok((begun, false))) => SendEnd::LongAnswer(Box::new(answer), begun, SendLeave { lease, permit }),
        Some(Ok((body, true))) => {
            let head = answer.head.clone();
            answer.release(context, lease.id());
            permit.note_whole();
            if verdict == AnswerVerdict::OwnError {
                lease.finish(SendOutcome::Errored);
                return SendEnd::OwnError(head, body);
            }
            note_answered(context, request, lease);
            SendEnd::Answer(head, body)
        }
        Some(Err(error)) => {
            note_broken(request, lease, &permit, &error).await;
            SendEnd::InDoubt
        }
        None => SendEnd::InDoubt,
    }
}

fn note_answered(context: &GatewayContext, request: &CallerRequest, lease: DispatchLease) {
    let elapsed_ms = lease.elapsed_ms();
    lease.finish(SendOutcome::Served(elapsed_ms));
    request.trace.note_first();
    let added_ms = request.trace.elapsed_ms().saturating_sub(elapsed_ms);
    context.metrics.note_added(added_ms);
    if request.rule.kind == RouteKind::Idempotent {
        context.note_latency(&request.service, elapsed_ms);
    }
}

/// Notes that a request goes to a replica.
pub fn note_send(request: &CallerRequest, replica: &ReplicaId) {
    let mut record = request.trace.record();
    record.sends += 1;
    record.replica = Some(replica.clone());
}

/// Takes one extra send of a request from the budget; whether it is covered.
pub fn take_budget(context: &GatewayContext, request: &CallerRequest) -> bool {
    let sharers = context.reserve_sharers();
    let verdict = context.budget().take(&request.service, sharers, clock::now());
    let (extra, allowed, vms) = (verdict.extra, verdict.allowed, sharers.unwrap_or_default());
    if verdict.is_covered {
        context.metrics.note_budget_taken();
        spdlog::info!(
            "event=extra_send request={} service={} extra={extra} allowed={allowed:.1} vms={vms}",
            request.facts.id,
            request.service
        );
    } else {
        context.metrics.note_denied();
        spdlog::error!(
            "event=retry_denied request={} reason=budget extra={extra} allowed={allowed:.1} vms={vms}",
            request.facts.id
        );
    }
    verdict.is_covered
}
