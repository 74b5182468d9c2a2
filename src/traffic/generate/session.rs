//! One stream to a caller: attempts until it is complete or refused, or the caller disconnects.

use std::sync::Arc;

use async_std::channel::Sender;
use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::future::{Either, select};

use super::attempt::{AttemptOutcome, RunningAttempt, StreamSource};
use super::engine;
use super::placement::Placement;
use super::token::TokenEncoder;
use crate::blackboard::FeatureKind;
use crate::clock;
use crate::controllers::slots::PlacementResult;
use crate::prelude::*;
use crate::runtime::{ActiveRequestGuard, LossReporter, LostRun, RunPermit, report_passed};
use crate::traffic::TrafficContext;
use crate::traffic::caller_watch::wait_for_disconnect;
use crate::traffic::diagnosis::UpstreamProbe;
use crate::traffic::last_answer::wait_for_last_run;
use crate::traffic::request::GenerateWork;

/// Limit for the attempts at one request.
const MAX_ATTEMPTS: u32 = 6;

/// Retry-After once all attempts failed, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// How the serving of a stream ended.
enum SessionEnding {
    /// It is complete or refused; `None` if the caller disconnected.
    Served(Option<Result<(), RefusalNotice>>),
    /// The process exits; the notice is for a caller that has no token yet.
    Exit(RefusalNotice),
}

/// The state of the stream to one caller.
pub struct StreamSession {
    pub(super) context: Arc<TrafficContext>,
    pub(super) work: Arc<GenerateWork>,
    /// Number of tokens that the caller has, including those before a resumption.
    pub(super) delivered: u32,
    /// The attempt that engines may be running for this stream.
    pub(super) running: Option<RunningAttempt>,
    /// When the prefill of the current attempt ended.
    pub(super) prefilled_at: Option<Moment>,
    sender: Sender<Vec<u8>>,
    /// Number of tokens that the caller already had when this stream began.
    skipped: u32,
    accepted_at: Moment,
    first_token_at: Option<Moment>,
    last_token_at: Moment,
    /// When the current attempt began.
    pub(super) run_began_at: Moment,
    /// Permission for the current attempt; `None` if an engine ran it before this process took it over.
    pub(super) permit: Option<Arc<RunPermit>>,
    _guard: ActiveRequestGuard,
}

impl StreamSession {
    /// Creates a stream that continues after the `skip` tokens that the caller already has.
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
            permit: None,
            _guard: context.control.track_request(),
        }
    }

    /// Serves the stream until it is complete or refused, its deadline passes or the caller disconnects.
    pub async fn run(mut self, source: StreamSource, socket: TcpStream) {
        let limit = clock::now().remaining(self.work.deadline);
        let context = self.context.clone();
        let ending = {
            let serving = std::pin::pin!(timeout(limit, self.serve(source)));
            let disconnecting = std::pin::pin!(wait_for_disconnect(&socket));
            let exiting = std::pin::pin!(wait_for_last_run(&context));
            match select(serving, select(disconnecting, exiting)).await {
                Either::Left((Ok(result), _)) => SessionEnding::Served(result),
                Either::Left((Err(_), _)) => {
                    SessionEnding::Served(Some(Err(
                        RefusalNotice::new(ResultCode::DeadlineDuringRun, "").retry_after_ms(0)
                    )))
                }
                Either::Right((Either::Left(_), _)) => SessionEnding::Served(None),
                Either::Right((Either::Right((notice, _)), _)) => SessionEnding::Exit(notice),
            }
        };
        let session_result = match ending {
            SessionEnding::Served(result) => result,
            SessionEnding::Exit(notice) if self.delivered == 0 => Some(Err(notice)),
            // The caller has a token to resume with at another entry, and the engine goes on meanwhile. The
            // stream is left open, since it is not complete.
            SessionEnding::Exit(_) => std::future::pending().await,
        };
        match session_result {
            Some(Ok(())) => self.send_complete().await,
            Some(Err(notice)) => self.send_refusal(&notice).await,
            None => self.handle_disconnect(),
        }
    }

    /// Runs attempts until the stream is complete or refused; `None` if the caller disconnected.
    async fn serve(&mut self, source: StreamSource) -> Option<Result<(), RefusalNotice>> {
        let mut avoid = Vec::new();
        let mut source = source;
        for _ in 0..MAX_ATTEMPTS {
            match self.run_attempt(source).await {
                AttemptOutcome::Complete => return Some(Ok(())),
                AttemptOutcome::CallerGone => return None,
                AttemptOutcome::Failed { engine, probe } => {
                    self.handle_failure(&engine, probe, &mut avoid).await
                }
                AttemptOutcome::Refused(notice) => return Some(Err(notice)),
            }
            // Ends the trial of the failed attempt, if it was one, before the next may ask for one.
            self.permit = None;
            match Placement::acquire(&self.context, &self.work, &avoid, true).await {
                Ok(placement) => source = StreamSource::Placed(placement),
                Err(notice) => return Some(Err(notice)),
            }
        }
        let notice = RefusalNotice::new(
            ResultCode::UpstreamFailed,
            format!("{MAX_ATTEMPTS} attempts failed"),
        );
        Some(Err(notice.retry_after_ms(RETRY_AFTER_MS)))
    }

    async fn handle_failure(
        &self,
        engine: &Arc<str>,
        probe: Option<UpstreamProbe>,
        avoid: &mut Vec<Arc<str>>,
    ) {
        self.context.metrics.count_retry(&self.work);
        spdlog::info!(
            "event=attempt_failed engine={engine} fate={:?} delivered={}",
            probe.map(|probe| probe.outcome),
            self.delivered
        );
        if !avoid.contains(engine) {
            avoid.push(engine.clone());
        }
        if let Some(probe) = probe {
            let now = clock::now();
            let lost = LostRun {
                upstream: engine.clone(),
                incarnation: probe.incarnation,
                began_at: self.run_began_at,
                lost_at: now,
                outcome: probe.outcome,
            };
            let reporter = match &self.permit {
                Some(permit) => permit.loss_reporter(permit.is_trial() || permit.output_ms(now).is_some()),
                None => LossReporter::for_adopted_run(&self.context.control, &self.work.features),
            };
            reporter.report(lost).await;
        }
    }

    /// Handles a disconnect. A stream without a delivered token can't be resumed and is cancelled at once;
    /// others are kept for the resume window.
    fn handle_disconnect(&mut self) {
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

    /// Cancels a request on an engine in the background.
    pub(super) fn cancel_later(&self, engine: &Arc<str>, request: &Arc<str>) {
        let context = self.context.clone();
        let engine = engine.clone();
        let request = request.clone();
        async_std::task::spawn(async move { engine::cancel(&context, &engine, &request).await });
    }

    /// The measurements of the stream so far, for the owner of its engines.
    pub(super) fn result(&self) -> PlacementResult {
        let handover = self.prefilled_at.zip(self.first_token_at);
        PlacementResult {
            token_gap_us: self.token_gap_us(),
            handover_ms: handover.map_or(0, |(prefilled, first)| prefilled.until_ms(first)),
            ..PlacementResult::default()
        }
    }

    /// Mean time between the tokens of this stream, in microseconds; zero if there were too few to tell.
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

    /// Sends a heartbeat to the caller; returns whether the caller is still connected.
    pub(super) async fn send_heartbeat(&self) -> bool {
        self.sender.send(b": alive\n\n".to_vec()).await.is_ok()
    }

    /// Sends one token to the caller; returns whether the caller is still connected.
    pub(super) async fn send_token(&mut self, token: &str, encoder: &TokenEncoder) -> bool {
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
        if let Some(permit) = &self.permit {
            permit.record_output();
        }
        let id = encoder.encode(self.delivered + 1);
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
        // A disconnected caller can resume with its last event id; the engine then reports the end again.
        let _ = self.sender.send(event.into_bytes()).await;
        self.context.metrics.count_stream_end(&self.work, "complete");
        match &self.permit {
            Some(permit) => permit.report_completed(),
            None => report_passed(&self.context.control, &self.work.features, FeatureKind::Content),
        }
    }

    async fn send_refusal(&mut self, notice: &RefusalNotice) {
        self.cancel_running();
        self.context
            .metrics
            .count_stream_end(&self.work, notice.code.entry().name);
        let event = format!("event: refused\ndata: {}\n\n", notice.to_json());
        // Errors are ignored: the caller may have disconnected.
        let _ = self.sender.send(event.into_bytes()).await;
    }
}
