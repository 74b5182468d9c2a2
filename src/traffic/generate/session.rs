//! The life of one stream: attempts until it is whole, refused, or the caller is gone.

use std::sync::Arc;

use async_std::channel::Sender;
use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::future::{Either, select};

use super::attempt::{AttemptEnd, RunningAttempt, StreamSource};
use super::engine;
use super::placement::Placement;
use super::token::TokenMaker;
use crate::clock;
use crate::controllers::slots::PlacementResult;
use crate::prelude::*;
use crate::runtime::{ActiveRequestGuard, LossReporter, LostRun, report_completed};
use crate::traffic::TrafficContext;
use crate::traffic::caller_watch::caller_gone;
use crate::traffic::diagnosis::UpstreamLook;
use crate::traffic::request::GenerateWork;

/// The most attempts at one request.
const ATTEMPT_LIMIT: u32 = 6;

/// When to come back after all attempts failed, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// A stream to one caller.
pub struct StreamSession {
    pub(super) context: Arc<TrafficContext>,
    pub(super) work: Arc<GenerateWork>,
    /// Tokens that the caller has.
    pub(super) delivered: u32,
    /// What runs on engines for this stream.
    pub(super) running: Option<RunningAttempt>,
    /// When the present attempt's prefill ended.
    pub(super) prefilled_at: Option<Moment>,
    sender: Sender<Vec<u8>>,
    skipped: u32,
    accepted_at: Moment,
    first_token_at: Option<Moment>,
    last_token_at: Moment,
    /// When the present attempt began.
    pub(super) run_began_at: Moment,
    /// How far the request was suspected as the present attempt began.
    pub(super) known_crash_count: u32,
    _guard: ActiveRequestGuard,
}

impl StreamSession {
    /// A stream that begins after the tokens that the caller has.
    pub fn new(
        context: &Arc<TrafficContext>,
        work: &Arc<GenerateWork>,
        sender: Sender<Vec<u8>>,
        skip: u32,
        accepted_at: Moment,
    ) -> Self {
        Self {
            context: context.clone(),
            work: work.clone(),
            delivered: skip,
            running: None,
            prefilled_at: None,
            sender,
            skipped: skip,
            accepted_at,
            first_token_at: None,
            last_token_at: accepted_at,
            run_began_at: accepted_at,
            known_crash_count: 0,
            _guard: context.control.track_request(),
        }
    }

    /// Serves the stream to its end.
    pub async fn run(mut self, source: StreamSource, socket: TcpStream) {
        let limit = clock::now().remaining(self.work.deadline);
        let ended = {
            let serving = std::pin::pin!(timeout(limit, self.serve(source)));
            let leaving = std::pin::pin!(caller_gone(&socket));
            match select(serving, leaving).await {
                Either::Left((outcome, _)) => outcome.unwrap_or_else(|_| {
                    Some(Err(
                        RefusalNotice::new(ResultCode::DeadlineDuringRun, "").retry_after_ms(0)
                    ))
                }),
                Either::Right(_) => None,
            }
        };
        match ended {
            Some(Ok(())) => self.send_complete().await,
            Some(Err(notice)) => self.send_refusal(&notice).await,
            None => self.leave(),
        }
    }

    /// Tries until the stream is whole; `None` when the caller is gone.
    async fn serve(&mut self, source: StreamSource) -> Option<Result<(), RefusalNotice>> {
        let mut avoid = Vec::new();
        let mut source = source;
        for _ in 0..ATTEMPT_LIMIT {
            match self.run_attempt(source).await {
                AttemptEnd::Complete => return Some(Ok(())),
                AttemptEnd::CallerGone => return None,
                AttemptEnd::Failed { engine, look } => self.note_failure(&engine, look, &mut avoid).await,
            }
            match Placement::acquire(&self.context, &self.work, &avoid, true).await {
                Ok(placement) => source = StreamSource::Placed(placement),
                Err(notice) => return Some(Err(notice)),
            }
        }
        let notice = RefusalNotice::new(
            ResultCode::UpstreamFailed,
            format!("{ATTEMPT_LIMIT} attempts failed"),
        );
        Some(Err(notice.retry_after_ms(RETRY_AFTER_MS)))
    }

    async fn note_failure(&self, engine: &Arc<str>, look: Option<UpstreamLook>, avoid: &mut Vec<Arc<str>>) {
        self.context.metrics.count_retry(&self.work);
        spdlog::info!(
            "event=attempt_failed engine={engine} fate={:?} delivered={}",
            look.map(|look| look.outcome),
            self.delivered
        );
        if !avoid.contains(engine) {
            avoid.push(engine.clone());
        }
        if let Some(look) = look {
            let lost = LostRun {
                upstream: engine.clone(),
                incarnation: look.incarnation,
                began_at: self.run_began_at,
                lost_at: clock::now(),
                outcome: look.outcome,
            };
            LossReporter::new(
                &self.context.control,
                self.work.fingerprint,
                self.known_crash_count,
            )
            .send_event(lost)
            .await;
        }
    }

    /// The caller is gone: what it could not resume is dropped at once, the rest is left to the resume window.
    fn leave(&mut self) {
        self.context.metrics.count_stream_end(&self.work, "caller_gone");
        if self.delivered > self.skipped {
            return;
        }
        self.cancel_running();
    }

    fn cancel_running(&mut self) {
        if let Some((grant, request)) = self.running.take() {
            self.cancel_later(&grant.decode, &request);
            self.cancel_later(grant.prefill_engine(), &request);
        }
    }

    /// Drops a request on an engine without waiting for it.
    pub(super) fn cancel_later(&self, engine: &Arc<str>, request: &Arc<str>) {
        let context = self.context.clone();
        let engine = engine.clone();
        let request = request.clone();
        async_std::task::spawn(async move { engine::cancel(&context, &engine, &request).await });
    }

    /// How the stream has gone so far, for the owner of its engines.
    pub(super) fn result(&self) -> PlacementResult {
        let handover = self.prefilled_at.zip(self.first_token_at);
        PlacementResult {
            token_gap_us: self.token_gap_us(),
            handover_ms: handover.map_or(0, |(prefilled, first)| prefilled.until_ms(first)),
            ..PlacementResult::default()
        }
    }

    /// The mean time between the tokens of this stream, in microseconds; zero where there were too few.
    fn token_gap_us(&self) -> u64 {
        let Some(first) = self.first_token_at else {
            return 0;
        };
        let gaps = u64::from(self.delivered.saturating_sub(self.skipped)).saturating_sub(1);
        match gaps {
            0 => 0,
            gaps => self.last_token_at.0.saturating_sub(first.0) * 1_000 / gaps,
        }
    }

    /// Shows the caller that the stream is alive; whether the caller still takes it.
    pub(super) async fn send_heartbeat(&self) -> bool {
        self.sender.send(b": alive\n\n".to_vec()).await.is_ok()
    }

    /// Passes one token on; whether the caller still takes it.
    pub(super) async fn send_token(&mut self, token: &str, tokens: &TokenMaker) -> bool {
        let now = clock::now();
        if self.first_token_at.is_none() {
            self.first_token_at = Some(now);
            self.context
                .metrics
                .record_first_token(&self.work, self.accepted_at);
        } else {
            self.context
                .metrics
                .record_token_gap(&self.work, self.last_token_at);
        }
        self.last_token_at = now;
        let id = tokens.make(self.delivered + 1);
        let text = serde_json::Value::from(token);
        let event = format!(
            "id: {id}\ndata: {{\"index\":{},\"token\":{text}}}\n\n",
            self.delivered
        );
        if self.sender.send(event.into_bytes()).await.is_err() {
            return false;
        }
        self.delivered += 1;
        true
    }

    async fn send_complete(&mut self) {
        let event = format!("event: complete\ndata: {{\"tokens\":{}}}\n\n", self.delivered);
        // A caller that is gone comes back with its last token and gets this event from the engine's copy.
        let _ = self.sender.send(event.into_bytes()).await;
        self.context.metrics.count_stream_end(&self.work, "complete");
        report_completed(&self.context.control, self.work.fingerprint);
    }

    async fn send_refusal(&mut self, notice: &RefusalNotice) {
        self.cancel_running();
        self.context
            .metrics
            .count_stream_end(&self.work, notice.code.entry().name);
        let event = format!("event: refused\ndata: {}\n\n", notice.to_json());
        // A caller that is gone has nobody to be told.
        let _ = self.sender.send(event.into_bytes()).await;
    }
}
