//! Serves generations: the owner grants engines, a prefill engine runs the prompt, a decode engine streams
//! the answer.

use std::sync::Arc;

use async_std::net::TcpStream;

use super::answer_end::{check_end, is_event_stream, media_type};
use super::authentication::check_caller;
use super::call::failed_notice;
use super::exchange::{AnswerOutcome, CallerRequest, DEFAULT_RETRY_AFTER_MS, refuse};
use super::loss::{LostSend, ReplicaContact, RunStage, report_loss};
use super::paid_sends::BudgetCharges;
use super::place::{EnginePlacement, PlacementCriteria, expected_tokens, generated_tokens};
use super::prompt::{PrefillStep, PrefilledPrompt};
use super::quota_permit::count_quota_send;
use super::relay::AnswerWriter;
use super::send::record_send;
use super::sse::{EventSplitter, begins_event, count_events, ends_inside_event};
use super::stream_order::EventSequence;
use super::trace::RequestOutcome;
use super::upstream::{
    ExchangeError, UpstreamAnswer, UpstreamRequest, choose_dedicated_connection, exchange,
};
use super::verdict::{AnswerVerdict, classify_answer, is_not_run, outcome_word};
use super::{GatewayContext, SendOrder, SendPurpose};
use crate::blackboard::ReplicaId;
use crate::clock;
use crate::controllers::dispatch::ArrivalCount;
use crate::controllers::slots::EngineOutcome;
use crate::http::BodyFraming;
use crate::prelude::*;
use crate::runtime::{LAST_RUN_MS, RunPermit};
use crate::transport::until;

/// Number of prefill engine crashes during one request's prompt after which the request is abandoned. The
/// quarantine refuses the request after the second crash already, unless the engines were about to leave.
const MAX_CRASHED_PREFILLS: u32 = 3;

/// Number of attempts that may fail for lack of a rate permit before the request is abandoned.
const MAX_UNPERMITTED_ATTEMPTS: u32 = 3;

/// Serves a generation and answers its caller.
pub async fn serve_stream(
    context: &Arc<GatewayContext>,
    socket: &TcpStream,
    request: &CallerRequest,
) -> AnswerOutcome {
    let mut stream = StreamHandler {
        context,
        socket,
        request,
        tried: Vec::new(),
        sends: 0,
        arrivals: ArrivalCount::default(),
        charges: BudgetCharges::default(),
        prefilled_prompt: None,
        crashed_prefills: 0,
        unpermitted_attempts: 0,
        writer: None,
        content_type: None,
        sent_events: EventSequence::default(),
        refusal: None,
        denial: None,
    };
    let outcome = stream.run().await;
    stream.refund_unused_charges();
    outcome
}

/// Outcome of one attempt at a stream.
enum AttemptOutcome {
    /// The answer ended: it is complete, or the caller is gone.
    Done(AnswerOutcome),
    /// There is no complete answer; the request's exposure tells whether it may have run.
    Unanswered,
}

/// A request that runs on a decode engine.
struct DecodeRun {
    began_at: Moment,
    permit: RunPermit,
}

/// State of one generation across its attempts.
pub(super) struct StreamHandler<'a> {
    pub(super) context: &'a Arc<GatewayContext>,
    socket: &'a TcpStream,
    pub(super) request: &'a CallerRequest,
    /// Decode engines to avoid in later attempts.
    tried: Vec<ReplicaId>,
    /// Number of sends that count against the route's attempts, without those that failed before a byte left.
    pub(super) sends: u32,
    /// Arrivals at engines as the retry budget counts them, including prompts.
    pub(super) arrivals: ArrivalCount,
    /// Extra arrivals charged to the retry budget.
    charges: BudgetCharges,
    /// The prompt's KV cache, if an attempt ran the prompt and sent nothing to its decode engine.
    pub(super) prefilled_prompt: Option<PrefilledPrompt>,
    /// Number of engines that crashed while they ran the prompt.
    crashed_prefills: u32,
    /// Number of attempts that failed because an engine turned out to need a rate permit.
    unpermitted_attempts: u32,
    /// Writer of the answer; `None` until the first events or the end of an answer arrive.
    writer: Option<AnswerWriter<'a>>,
    /// Media type of the answer that the caller reads.
    content_type: Option<String>,
    /// Ids of the events that the caller was sent.
    sent_events: EventSequence,
    /// Refusal by the quarantine or the owner, if no engines were granted.
    refusal: Option<RefusalNotice>,
    /// Refusal because of the caller's API key; no further attempt is made.
    denial: Option<RefusalNotice>,
}

impl<'a> StreamHandler<'a> {
    async fn run(&mut self) -> AnswerOutcome {
        loop {
            match self.attempt().await {
                Some(AttemptOutcome::Done(outcome)) => return outcome,
                Some(AttemptOutcome::Unanswered) => {}
                None => return self.abandon().await,
            }
        }
    }

    /// Makes another attempt; `None` if there may be none.
    async fn attempt(&mut self) -> Option<AttemptOutcome> {
        let rule = &self.request.rule;
        let may_send = self.sends < rule.attempts
            && self.crashed_prefills < MAX_CRASHED_PREFILLS
            && self.unpermitted_attempts < MAX_UNPERMITTED_ATTEMPTS
            && (!self.request.exposure.may_have_run() || rule.kind.may_repeat())
            && self.can_resume()
            && self.denial.is_none()
            && !clock::now().reached(self.request.deadline);
        if !may_send {
            return None;
        }
        let (control, features) = (&self.context.control, &self.request.features);
        let permit = match RunPermit::acquire(control, features, self.request.deadline).await {
            Ok(permit) => permit,
            Err(notice) => {
                self.refusal = Some(notice);
                return None;
            }
        };
        self.refund_unused_charges();
        let is_charged = self.arrivals.is_next_extra();
        if is_charged && !self.charge_extra() {
            return None;
        }
        let criteria = PlacementCriteria {
            avoid: &self.tried,
            has_prefilled_prompt: self.prefilled_prompt.is_some(),
        };
        let mut placement = match EnginePlacement::acquire(self.context, self.request, criteria).await {
            Ok(placement) => placement,
            Err(notice) => {
                self.refusal = Some(notice);
                return None;
            }
        };
        // The request may have waited for its engines, and a feature of it may have come under suspicion.
        if !self.may_still_run(&permit).await {
            return None;
        }
        let prompt = match self.prefill(&mut placement, &permit).await {
            PrefillStep::Ready(prompt) => Some(prompt),
            PrefillStep::LeftToDecode => None,
            PrefillStep::Unpermitted => {
                self.unpermitted_attempts += 1;
                return Some(AttemptOutcome::Unanswered);
            }
            PrefillStep::Denied(notice) => {
                self.denial = Some(notice);
                return None;
            }
            PrefillStep::EngineCrashed => {
                self.crashed_prefills += 1;
                return Some(AttemptOutcome::Unanswered);
            }
        };
        if self.sends >= rule.attempts {
            // The refused prefill used the last send.
            return None;
        }
        if !self.may_still_run(&permit).await || !self.ends_before_exit() {
            return None;
        }
        let is_now_extra = !is_charged && self.arrivals.is_next_extra();
        if is_now_extra && !self.charge_extra() {
            return None;
        }
        self.sends += 1;
        self.tried.push(placement.decode.id.clone());
        Some(self.decode(placement, prompt, permit).await)
    }

    /// Whether the request is not quarantined by now; keeps the refusal otherwise.
    async fn may_still_run(&mut self, permit: &RunPermit) -> bool {
        match permit.renew(self.request.deadline).await {
            Ok(()) => true,
            Err(notice) => {
                self.refusal = Some(notice);
                false
            }
        }
    }

    /// Whether the rest of the stream is expected to be generated before this VM exits; keeps the refusal otherwise.
    fn ends_before_exit(&mut self) -> bool {
        let Some(exit_at) = self.context.snapshot().exit_at else {
            return true;
        };
        let request = self.request;
        let events = request.trace.record().events;
        let done_tokens = generated_tokens(self.context, &request.service, events);
        let tokens = expected_tokens(&request.facts).saturating_sub(done_tokens);
        let needed_ms = self.context.slow_generation_ms(&request.service, tokens);
        let ends_at = clock::now().after_ms(needed_ms.unwrap_or_default());
        let is_in_time = ends_at <= exit_at.after_ms(LAST_RUN_MS);
        if !is_in_time {
            self.refusal = Some(self.context.leaving_notice());
        }
        is_in_time
    }

    /// Whether another engine may serve the stream: nothing was sent to the caller yet, or the events have
    /// ids to resume after.
    fn can_resume(&self) -> bool {
        self.writer.is_none() || self.sent_events.last().is_some()
    }

    /// Charges an extra arrival to the retry budget; false if the budget is spent.
    pub(super) fn charge_extra(&mut self) -> bool {
        self.charges.charge(self.context, self.request)
    }

    /// Returns the budget of extra arrivals that did not happen.
    fn refund_unused_charges(&mut self) {
        self.charges
            .refund_unused(self.context, self.request, self.arrivals.extra_arrivals());
    }

    /// Sends the request to the decode engine and passes its answer on.
    async fn decode(
        &mut self,
        mut placement: EnginePlacement,
        prompt: Option<PrefilledPrompt>,
        permit: RunPermit,
    ) -> AttemptOutcome {
        let request = self.request;
        let replica = placement.decode.clone();
        let began_at = clock::now();
        let purpose = match prompt.as_ref().and_then(|prompt| prompt.ticket.ticket()) {
            Some(ticket) => SendPurpose::Decode(ticket),
            None => SendPurpose::Run,
        };
        let order = SendOrder {
            replica: &replica,
            purpose,
            limit_ms: request.remaining_ms(),
            body_bytes: request.body_bytes(),
            last_event: self.sent_events.last(),
            workspace: request.workspace_header(),
            keeps_connection: false,
        };
        let upstream_request = UpstreamRequest {
            replica: &replica,
            caller: Some(request),
            method: &request.head.method,
            head: self.context.protocol.write_request(&request.head, &order),
            body: Some(&request.body),
            request_id: &request.facts.id,
            stage: Some(RunStage::Decode),
            has_permit: placement.permits.decode,
            choice: choose_dedicated_connection(self.context, request, &permit),
            deadline: request.deadline,
        };
        if let (Some(_), Some(last_event)) = (&self.writer, self.sent_events.last()) {
            spdlog::info!(
                "event=resumed request={} replica={} last_event={last_event}",
                request.facts.id,
                replica.id
            );
        }
        record_send(request, &replica.id);
        placement.set_decode_sent(true);
        let exposure = request.exposure.begin_send();
        let outcome = count_quota_send(request, exchange(self.context, upstream_request)).await;
        let verdict = outcome
            .as_ref()
            .map(|answer| classify_answer(answer, &request.facts.id));
        spdlog::info!(
            "event=sent request={} route={} replica={} outcome={} send={} elapsed_ms={} total_ms={}",
            request.facts.id,
            request.rule.name,
            replica.id,
            outcome_word(&verdict),
            self.request.trace.record().sends,
            began_at.until_ms(clock::now()),
            request.received_at.until_ms(clock::now())
        );
        if is_not_run(&verdict) {
            exposure.withdraw();
        }
        if outcome.as_ref().is_err_and(ExchangeError::is_unsent) {
            placement.set_decode_sent(false);
        } else {
            self.arrivals.record_decode_call();
        }
        match outcome {
            Ok(answer) => {
                let verdict = classify_answer(&answer, &request.facts.id);
                if !matches!(verdict, AnswerVerdict::NotRun | AnswerVerdict::Misdirected) {
                    prompt.into_iter().for_each(|prompt| prompt.ticket.mark_taken());
                }
                placement.record_handover(began_at.until_ms(clock::now()));
                self.pass_on(placement, answer, verdict, DecodeRun { began_at, permit })
                    .await
            }
            Err(ExchangeError::Unsent { .. }) => {
                placement.record_decode(EngineOutcome::Unreachable);
                self.prefilled_prompt = prompt;
                self.sends -= 1;
                AttemptOutcome::Unanswered
            }
            Err(ExchangeError::Withheld) => {
                placement.record_decode(EngineOutcome::Full);
                self.prefilled_prompt = prompt;
                self.sends -= 1;
                AttemptOutcome::Unanswered
            }
            Err(ExchangeError::Unpermitted) => {
                self.tried.retain(|tried| *tried != replica.id);
                self.prefilled_prompt = prompt;
                self.unpermitted_attempts += 1;
                self.sends -= 1;
                AttemptOutcome::Unanswered
            }
            Err(ExchangeError::Denied { notice }) => {
                self.denial = Some(notice);
                self.sends -= 1;
                AttemptOutcome::Unanswered
            }
            Err(ExchangeError::Lost {
                is_disconnect,
                contact,
                ..
            }) => {
                if is_disconnect {
                    let lost = LostSend {
                        permit: &permit,
                        replica: &replica,
                        stage: RunStage::Decode,
                        began_at,
                        contact,
                    };
                    report_loss(self.context, request, lost).await;
                }
                placement.record_decode(EngineOutcome::Failed);
                AttemptOutcome::Unanswered
            }
            Err(ExchangeError::Deadline) => AttemptOutcome::Unanswered,
        }
    }

    /// Forwards the decode engine's answer to the caller, in complete events.
    async fn pass_on(
        &mut self,
        mut placement: EnginePlacement,
        mut answer: UpstreamAnswer,
        verdict: AnswerVerdict,
        run: DecodeRun,
    ) -> AttemptOutcome {
        match verdict {
            AnswerVerdict::Final => {}
            AnswerVerdict::OwnError | AnswerVerdict::Untrusted => {
                placement.record_decode(EngineOutcome::Failed);
                return AttemptOutcome::Unanswered;
            }
            AnswerVerdict::NotRun => {
                placement.record_decode(EngineOutcome::Full);
                return AttemptOutcome::Unanswered;
            }
            AnswerVerdict::Misdirected => {
                let replica = placement.decode.id.clone();
                self.context
                    .control
                    .send_event(Event::ReplicaReplaced { replica });
                return AttemptOutcome::Unanswered;
            }
        }
        // The caller has read the beginning of a stream, so only its continuation may follow.
        let is_resumed = self.writer.is_some();
        if is_resumed && !self.continues_answer(&answer) {
            let reason = format!("status {} in place of the rest", answer.head.status);
            return self.record_broken_stream(&mut placement, &answer, &reason);
        }
        let mut splitter = EventSplitter::default();
        loop {
            if clock::now().reached(self.request.deadline) {
                // `until` never times out while data is always available, so the deadline is checked here.
                return AttemptOutcome::Unanswered;
            }
            let piece = match until(self.request.deadline, answer.read()).await {
                Some(Ok(Some(piece))) => piece,
                Some(Ok(None)) if is_resumed && ends_inside_event(splitter.incomplete_event()) => {
                    return self.record_broken_stream(
                        &mut placement,
                        &answer,
                        "no event in place of the rest",
                    );
                }
                Some(Ok(None)) => {
                    let is_inside = self.is_inside_event(&answer, splitter.incomplete_event());
                    let (context, request) = (self.context, self.request);
                    let end = check_end(context, request, &mut answer, &placement.decode, is_inside).await;
                    if let Err(broken_end) = end {
                        if answer.framing == BodyFraming::UntilClose {
                            self.report_decode_loss(&placement, &run).await;
                        }
                        return self.record_broken_stream(&mut placement, &answer, broken_end.as_str());
                    }
                    self.request.trace.end(RequestOutcome::Served, answer.head.status);
                    let (events, span_ms) = self.request.trace.record().event_span();
                    placement.record_token_gap(events, span_ms);
                    run.permit.report_completed();
                    return AttemptOutcome::Done(self.finish(&answer, splitter.incomplete_event()).await);
                }
                Some(Err(error)) => {
                    if error.is_connection_lost() {
                        self.report_decode_loss(&placement, &run).await;
                    }
                    return self.record_broken_stream(&mut placement, &answer, &error.to_string());
                }
                None => return AttemptOutcome::Unanswered,
            };
            let events = splitter.push(&piece);
            if splitter.is_overlong() {
                return self.record_broken_stream(&mut placement, &answer, "an event without an end");
            }
            if events.is_empty() {
                continue;
            }
            if !is_resumed {
                self.sent_events.record_events(&events);
            } else if !self.sent_events.accept_resumed(&events) {
                let reason = "events that do not go on with those before";
                return self.record_broken_stream(&mut placement, &answer, reason);
            }
            run.permit.record_output();
            self.trace_events(count_events(&events));
            if !self.writer(&answer).write(&events).await {
                return AttemptOutcome::Done(AnswerOutcome::Cut);
            }
        }
    }

    /// Whether an answer that has ended is a stream of events and ended inside one; `rest` is what came after the
    /// last complete event.
    fn is_inside_event(&self, answer: &UpstreamAnswer, rest: &[u8]) -> bool {
        let is_untyped_stream =
            media_type(&answer.head).is_none() && (self.writer.is_some() || begins_event(rest));
        (is_event_stream(&answer.head) || is_untyped_stream) && ends_inside_event(rest)
    }

    /// Reports that the connection to the decode engine was lost during its answer.
    async fn report_decode_loss(&self, placement: &EnginePlacement, run: &DecodeRun) {
        let lost = LostSend {
            permit: &run.permit,
            replica: &placement.decode,
            stage: RunStage::Decode,
            began_at: run.began_at,
            contact: ReplicaContact::Shown,
        };
        report_loss(self.context, self.request, lost).await;
    }

    /// Logs a broken stream and records the failure of its decode engine.
    fn record_broken_stream(
        &self,
        placement: &mut EnginePlacement,
        answer: &UpstreamAnswer,
        reason: &str,
    ) -> AttemptOutcome {
        spdlog::error!(
            "event=stream_broken request={} replica={} last_event={} framing={} reason=\"{reason}\"",
            self.request.facts.id,
            placement.decode.id,
            self.sent_events.last().unwrap_or_default(),
            answer.framing.as_str()
        );
        placement.record_decode(EngineOutcome::Failed);
        AttemptOutcome::Unanswered
    }

    /// Records events that are passed on, for the trace and the metrics.
    fn trace_events(&self, count: u64) {
        let now = clock::now();
        self.request.trace.record_first_output();
        let mut record = self.request.trace.record();
        record.events += count;
        record.first_event_at.get_or_insert(now);
        if let Some(last) = record.last_event_at.replace(now) {
            self.context.metrics.record_event_gap(last.until_ms(now));
        }
    }

    /// Whether an answer continues the one that the caller has begun to read.
    fn continues_answer(&self, answer: &UpstreamAnswer) -> bool {
        answer.head.status == 200 && media_type(&answer.head) == self.content_type
    }

    /// Returns the answer's writer, which is created with the first answer's head.
    fn writer(&mut self, answer: &UpstreamAnswer) -> &mut AnswerWriter<'a> {
        let (context, socket, request) = (self.context, self.socket, self.request);
        if self.writer.is_none() {
            self.content_type = media_type(&answer.head);
        }
        self.writer
            .get_or_insert_with(|| AnswerWriter::new(context, socket, request, &answer.head))
    }

    /// Completes the answer. Passes on `rest`, the bytes behind the last event, such as the body of an error.
    async fn finish(&mut self, answer: &UpstreamAnswer, rest: &[u8]) -> AnswerOutcome {
        let writer = self.writer(answer);
        if !rest.is_empty() && !writer.write(rest).await {
            return AnswerOutcome::Cut;
        }
        match self.writer.take() {
            Some(writer) => writer.finish().await,
            None => AnswerOutcome::Cut,
        }
    }

    /// Returns the refusal by the quarantine; `None` if the request may still run.
    fn quarantine_notice(&self) -> Option<&RefusalNotice> {
        let refusal = self.refusal.as_ref();
        refusal.filter(|notice| notice.code == ResultCode::Quarantined)
    }

    /// Ends a stream for which no further attempt is possible.
    async fn abandon(&mut self) -> AnswerOutcome {
        let request = self.request;
        if self.writer.is_some() {
            request.trace.end(RequestOutcome::Cut, 200);
            return AnswerOutcome::Cut;
        }
        let is_late = clock::now().reached(request.deadline);
        // The key may have been removed while the request waited for something else.
        let denial = self.denial.take();
        let denial = denial.or_else(|| check_caller(self.context, request).err());
        let notice = match (request.exposure.may_have_run(), is_late) {
            (true, true) => RefusalNotice::new(ResultCode::DeadlineDuringRun, ""),
            (true, false) => failed_notice(self.quarantine_notice()),
            (false, _) if let Some(denial) = denial => denial,
            (false, true) => RefusalNotice::new(ResultCode::DeadlineTooNear, ""),
            (false, false) => self.refusal.take().unwrap_or_else(|| {
                RefusalNotice::new(ResultCode::QueueFull, "").retry_after_ms(DEFAULT_RETRY_AFTER_MS)
            }),
        };
        refuse(self.socket, request, &notice).await
    }
}
