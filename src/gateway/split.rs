//! Generations: engines from their owner, the prompt at a prefill engine, then the stream from the decode engine.

use std::sync::Arc;

use async_std::net::TcpStream;

use super::call::failed_notice;
use super::exchange::{AnswerOutcome, CallerRequest, DEFAULT_RETRY_AFTER_MS, refuse};
use super::loss::{LostSend, RunStage, report_loss};
use super::paid_sends::PaidSends;
use super::place::{EnginePlacement, PlacementCriteria};
use super::prompt::{PromptStep, ReadyPrompt};
use super::relay::AnswerWriter;
use super::send::note_send;
use super::sse::{EventCutter, count_events};
use super::stream_order::StreamOrder;
use super::trace::RequestOutcome;
use super::upstream::{
    ExchangeError, UpstreamAnswer, UpstreamRequest, choose_dedicated_connection, exchange,
};
use super::verdict::{AnswerVerdict, judge, verdict_word};
use super::{GatewayContext, SendOrder, SendPurpose};
use crate::blackboard::ReplicaId;
use crate::clock;
use crate::controllers::dispatch::ArrivalCount;
use crate::controllers::slots::EngineOutcome;
use crate::prelude::*;
use crate::runtime::RunPermit;
use crate::transport::until;

/// Engines that may end while they run the prompt of one request. After the second its request is held back, unless
/// they were about to leave.
const MOST_ENDED_PREFILLS: u32 = 3;

/// Engines that may begin to name limits before one request is sent to them.
const MOST_UNPERMITTED: u32 = 3;

/// Serves a generation.
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
        paid: PaidSends::default(),
        kept_prompt: None,
        ended_prefills: 0,
        unpermitted: 0,
        in_doubt: false,
        writer: None,
        content_type: None,
        order: StreamOrder::default(),
        refusal: None,
    };
    let end = stream.run().await;
    stream.settle_budget();
    end
}

/// How one attempt at a stream ended.
enum StreamEnd {
    /// The caller has all of it, or is gone.
    Done(AnswerOutcome),
    /// Nothing of it has run.
    NotRun,
    /// It may have run in part.
    Broken,
}

/// A run on a decode engine.
struct DecodeRun {
    began_at: Moment,
    permit: RunPermit,
}

/// One stream's progress.
pub(super) struct StreamHandler<'a> {
    pub(super) context: &'a Arc<GatewayContext>,
    socket: &'a TcpStream,
    pub(super) request: &'a CallerRequest,
    /// Decode engines that are not asked again.
    tried: Vec<ReplicaId>,
    /// Sends of which bytes left.
    pub(super) sends: u32,
    /// The same as the shared budget counts them, with prompts.
    pub(super) arrivals: ArrivalCount,
    /// Extra arrivals that the budget covered.
    paid: PaidSends,
    /// Its prompt, where that was run and its decode engine could be sent nothing.
    pub(super) kept_prompt: Option<ReadyPrompt>,
    /// Engines that ended while they ran its prompt.
    ended_prefills: u32,
    /// Engines that began to name limits before it was sent to them.
    unpermitted: u32,
    /// Whether some engine may have begun to run it.
    in_doubt: bool,
    /// The answer, once its head has been chosen.
    writer: Option<AnswerWriter<'a>>,
    /// What its head says that the answer is.
    content_type: Option<String>,
    /// The events that the caller was sent.
    order: StreamOrder,
    /// Why no engines were granted.
    refusal: Option<RefusalNotice>,
}

impl<'a> StreamHandler<'a> {
    async fn run(&mut self) -> AnswerOutcome {
        loop {
            match self.attempt().await {
                Some(StreamEnd::Done(end)) => return end,
                Some(StreamEnd::NotRun) => {}
                Some(StreamEnd::Broken) => self.in_doubt = true,
                None => return self.give_up().await,
            }
        }
    }

    /// Another attempt, where there may be one.
    async fn attempt(&mut self) -> Option<StreamEnd> {
        let rule = &self.request.rule;
        let may_send = self.sends < rule.attempts
            && self.ended_prefills < MOST_ENDED_PREFILLS
            && self.unpermitted < MOST_UNPERMITTED
            && (!self.in_doubt || rule.kind.may_repeat())
            && self.can_go_on()
            && !clock::now().reached(self.request.deadline);
        if !may_send {
            return None;
        }
        let (control, fingerprint) = (&self.context.control, self.request.fingerprint);
        let permit = match RunPermit::acquire(control, fingerprint, self.request.deadline).await {
            Ok(permit) => permit,
            Err(notice) => {
                self.refusal = Some(notice);
                return None;
            }
        };
        self.settle_budget();
        let is_paid = self.arrivals.is_next_extra();
        if is_paid && !self.charge_extra() {
            return None;
        }
        let need = PlacementCriteria {
            avoid: &self.tried,
            has_prompt: self.kept_prompt.is_some(),
        };
        let mut place = match EnginePlacement::acquire(self.context, self.request, need).await {
            Ok(place) => place,
            Err(notice) => {
                self.refusal = Some(notice);
                return None;
            }
        };
        let prompt = match self.prefill(&mut place, &permit).await {
            PromptStep::Ready(prompt) => Some(prompt),
            PromptStep::Left => None,
            PromptStep::Unpermitted => {
                self.unpermitted += 1;
                return Some(StreamEnd::NotRun);
            }
            PromptStep::EngineEnded => {
                self.ended_prefills += 1;
                return Some(StreamEnd::NotRun);
            }
        };
        if self.sends >= rule.attempts {
            // The refused prefill used the last send up.
            return None;
        }
        let is_due = !is_paid && self.arrivals.is_next_extra();
        if is_due && !self.charge_extra() {
            return None;
        }
        self.sends += 1;
        self.tried.push(place.decode.id.clone());
        Some(self.decode(place, prompt, permit).await)
    }

    /// Whether another engine could be told where to go on.
    fn can_go_on(&self) -> bool {
        self.writer.is_none() || self.order.last().is_some()
    }

    /// Takes an extra arrival from the budget; whether it is covered.
    pub(super) fn charge_extra(&mut self) -> bool {
        self.paid.pay(self.context, self.request)
    }

    /// Gives back what was paid for and did not go out.
    fn settle_budget(&mut self) {
        self.paid
            .settle(self.context, self.request, self.arrivals.extra_arrivals());
    }

    /// Has the answer generated and passes it on.
    async fn decode(
        &mut self,
        mut place: EnginePlacement,
        prompt: Option<ReadyPrompt>,
        permit: RunPermit,
    ) -> StreamEnd {
        let request = self.request;
        let replica = place.decode.clone();
        let began_at = clock::now();
        let purpose = match prompt.as_ref().and_then(|prompt| prompt.ticket.ticket()) {
            Some(ticket) => SendPurpose::Decode(ticket),
            None => SendPurpose::Run,
        };
        let order = SendOrder {
            replica: &replica,
            purpose,
            limit_ms: request.limit_ms(),
            body_bytes: request.body_bytes(),
            last_event: self.order.last(),
            keeps_connection: false,
        };
        let upstream_request = UpstreamRequest {
            replica: &replica,
            method: &request.head.method,
            head: self.context.protocol.write_request(&request.head, &order),
            body: &request.body,
            request_id: &request.facts.id,
            stage: Some(RunStage::Decode),
            has_permit: place.permits.decode,
            choice: choose_dedicated_connection(self.context, request, &permit),
            deadline: request.deadline,
        };
        if let (Some(_), Some(last_event)) = (&self.writer, self.order.last()) {
            spdlog::info!(
                "event=resumed request={} replica={} last_event={last_event}",
                request.facts.id,
                replica.id
            );
        }
        note_send(request, &replica.id);
        place.set_decode_sent(true);
        let outcome = exchange(self.context, upstream_request).await;
        let verdict = outcome.as_ref().map(|answer| judge(answer, &request.facts.id));
        spdlog::info!(
            "event=sent request={} route={} replica={} outcome={} send={} elapsed_ms={} total_ms={}",
            request.facts.id,
            request.rule.name,
            replica.id,
            verdict_word(&verdict),
            self.request.trace.record().sends,
            began_at.until_ms(clock::now()),
            request.received_at.until_ms(clock::now())
        );
        if outcome.as_ref().is_err_and(ExchangeError::is_unsent) {
            place.set_decode_sent(false);
        } else {
            self.arrivals.record_run();
        }
        match outcome {
            Ok(answer) => {
                let verdict = judge(&answer, &request.facts.id);
                if !matches!(verdict, AnswerVerdict::NotRun | AnswerVerdict::Misdirected) {
                    prompt.into_iter().for_each(|prompt| prompt.ticket.taken());
                }
                place.note_handover(began_at.until_ms(clock::now()));
                self.pass_on(place, answer, verdict, DecodeRun { began_at, permit })
                    .await
            }
            Err(ExchangeError::Unsent { .. }) => {
                place.note_decode(EngineOutcome::Unreachable);
                self.kept_prompt = prompt;
                self.sends -= 1;
                StreamEnd::NotRun
            }
            Err(ExchangeError::Withheld) => {
                place.note_decode(EngineOutcome::Full);
                self.kept_prompt = prompt;
                self.sends -= 1;
                StreamEnd::NotRun
            }
            Err(ExchangeError::Unpermitted) => {
                self.tried.retain(|tried| *tried != replica.id);
                self.kept_prompt = prompt;
                self.unpermitted += 1;
                self.sends -= 1;
                StreamEnd::NotRun
            }
            Err(ExchangeError::Lost {
                is_disconnect,
                is_proven,
                ..
            }) => {
                if is_disconnect {
                    let lost = LostSend {
                        permit: &permit,
                        replica: &replica,
                        stage: RunStage::Decode,
                        began_at,
                        is_proven,
                    };
                    report_loss(self.context, request, lost).await;
                }
                place.note_decode(EngineOutcome::Failed);
                StreamEnd::Broken
            }
            Err(ExchangeError::Deadline) => StreamEnd::Broken,
        }
    }

    async fn pass_on(
        &mut self,
        mut place: EnginePlacement,
        mut answer: UpstreamAnswer,
        verdict: AnswerVerdict,
        run: DecodeRun,
    ) -> StreamEnd {
        match verdict {
            AnswerVerdict::Final => {}
            AnswerVerdict::OwnError | AnswerVerdict::Unsound => {
                place.note_decode(EngineOutcome::Failed);
                return StreamEnd::Broken;
            }
            AnswerVerdict::NotRun => {
                place.note_decode(EngineOutcome::Full);
                return StreamEnd::NotRun;
            }
            AnswerVerdict::Misdirected => {
                let replica = place.decode.id.clone();
                self.context.control.tell(Event::ReplicaReplaced { replica });
                return StreamEnd::NotRun;
            }
        }
        // The caller has begun to read a stream; only the rest of it may follow.
        let is_continued = self.writer.is_some();
        if is_continued && !self.is_rest(&answer) {
            return self.break_off(
                &mut place,
                &format!("status {} in place of the rest", answer.head.status),
            );
        }
        let mut cutter = EventCutter::default();
        loop {
            if clock::now().reached(self.request.deadline) {
                // A replica whose bytes never pause is not stopped by a wait that ends at the deadline.
                return StreamEnd::Broken;
            }
            let piece = match until(self.request.deadline, answer.read()).await {
                Some(Ok(Some(piece))) => piece,
                Some(Ok(None)) if is_continued && !cutter.rest().is_empty() => {
                    return self.break_off(&mut place, "no event in place of the rest");
                }
                Some(Ok(None)) => {
                    self.request.trace.end(RequestOutcome::Served, answer.head.status);
                    let (events, span_ms) = self.request.trace.record().stream_span();
                    place.note_pace(events, span_ms);
                    run.permit.note_whole();
                    return StreamEnd::Done(self.finish(&answer, cutter.rest()).await);
                }
                Some(Err(error)) => {
                    if error.is_connection_lost() {
                        let lost = LostSend {
                            permit: &run.permit,
                            replica: &place.decode,
                            stage: RunStage::Decode,
                            began_at: run.began_at,
                            is_proven: true,
                        };
                        report_loss(self.context, self.request, lost).await;
                    }
                    return self.break_off(&mut place, &error.to_string());
                }
                None => return StreamEnd::Broken,
            };
            let events = cutter.push(&piece);
            if cutter.is_overlong() {
                return self.break_off(&mut place, "an event without an end");
            }
            if events.is_empty() {
                continue;
            }
            if !is_continued {
                self.order.note(&events);
            } else if !self.order.take_next(&events) {
                return self.break_off(&mut place, "events that do not go on with those before");
            }
            self.note_events(count_events(&events));
            if !self.writer(&answer).write(&events).await {
                return StreamEnd::Done(AnswerOutcome::Cut);
            }
        }
    }

    /// Notes that a decode engine's stream broke.
    fn break_off(&self, place: &mut EnginePlacement, reason: &str) -> StreamEnd {
        spdlog::error!(
            "event=stream_broken request={} replica={} last_event={} reason=\"{reason}\"",
            self.request.facts.id,
            place.decode.id,
            self.order.last().unwrap_or_default()
        );
        place.note_decode(EngineOutcome::Failed);
        StreamEnd::Broken
    }

    /// Notes that events are passed on.
    fn note_events(&self, count: u64) {
        let now = clock::now();
        self.request.trace.note_first();
        let mut record = self.request.trace.record();
        record.events += count;
        record.first_event_at.get_or_insert(now);
        if let Some(last) = record.last_event_at.replace(now) {
            self.context.metrics.note_gap(last.until_ms(now));
        }
    }

    /// Whether an answer is of the kind that the caller has begun to read.
    fn is_rest(&self, answer: &UpstreamAnswer) -> bool {
        answer.head.status == 200 && content_type(answer) == self.content_type
    }

    /// The answer's writer, begun with the head of the first replica that answered.
    fn writer(&mut self, answer: &UpstreamAnswer) -> &mut AnswerWriter<'a> {
        let (context, socket, request) = (self.context, self.socket, self.request);
        if self.writer.is_none() {
            self.content_type = content_type(answer);
        }
        self.writer
            .get_or_insert_with(|| AnswerWriter::new(context, socket, request, &answer.head))
    }

    /// Ends a whole answer. What is no event, as in the body of a failure, is passed on here.
    async fn finish(&mut self, answer: &UpstreamAnswer, rest: &[u8]) -> AnswerOutcome {
        let writer = self.writer(answer);
        if !rest.is_empty() && !writer.write(rest).await {
            return writer.cut();
        }
        match self.writer.take() {
            Some(writer) => writer.finish().await,
            None => AnswerOutcome::Cut,
        }
    }

    /// Why it must not run any more; `None` where it may.
    fn held(&self) -> Option<&RefusalNotice> {
        let refusal = self.refusal.as_ref();
        refusal.filter(|notice| notice.code == ResultCode::Quarantined)
    }

    /// Ends a stream for which nothing more can be done.
    async fn give_up(&mut self) -> AnswerOutcome {
        let request = self.request;
        if let Some(writer) = &self.writer {
            request.trace.end(RequestOutcome::Cut, 200);
            return writer.cut();
        }
        let is_late = clock::now().reached(request.deadline);
        let notice = match (self.in_doubt, is_late) {
            (true, true) => RefusalNotice::new(ResultCode::DeadlineDuringRun, ""),
            (true, false) => failed_notice(self.held()),
            (false, true) => RefusalNotice::new(ResultCode::DeadlineTooNear, ""),
            (false, false) => self.refusal.take().unwrap_or_else(|| {
                RefusalNotice::new(ResultCode::QueueFull, "").retry_after_ms(DEFAULT_RETRY_AFTER_MS)
            }),
        };
        refuse(self.socket, request, &notice).await
    }
}

/// What an answer says that it is, without what is said beside that.
fn content_type(answer: &UpstreamAnswer) -> Option<String> {
    let text = answer.head.headers.text("content-type")?;
    let kind = text.split(';').next().unwrap_or(text);
    Some(kind.trim().to_ascii_lowercase())
}
