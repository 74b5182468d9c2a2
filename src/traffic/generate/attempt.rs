//! One attempt at a generation: prefill, KV cache transfer and decode.

use std::sync::Arc;

use super::engine::{self, EngineEvent, EngineStream};
use super::placement::Placement;
use super::session::StreamSession;
use super::token::TokenEncoder;
use crate::clock;
use crate::controllers::quarantine::UpstreamOutcome;
use crate::controllers::slots::{PlacementGrant, RequestId};
use crate::prelude::*;
use crate::traffic::diagnosis::{UpstreamProbe, diagnose, is_answering};
use crate::traffic::sse::StreamItem;

/// Limit for consecutive attempts to resume a stream that bring no new token.
const MAX_RESUME_TRIES: u32 = 2;

/// The source of an attempt's tokens.
pub enum StreamSource {
    /// Engines were granted; nothing was sent to them yet.
    Placed(Placement),
    /// A decode engine already generates the answer.
    Attached {
        /// The id of the attempt that the engine runs.
        request: RequestId,
        /// The open stream of that attempt.
        stream: EngineStream,
    },
}

/// The outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// All tokens were sent to the caller.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The request must not run any more.
    Refused(RefusalNotice),
    /// An engine failed; another attempt may succeed.
    Failed {
        /// The name of the engine that failed.
        engine: Arc<str>,
        /// The result of probing it; `None` if nothing was sent to it.
        probe: Option<UpstreamProbe>,
    },
}

/// The outcome of relaying one stream.
enum RelayOutcome {
    Complete,
    CallerGone,
    Lost,
}

/// The exported KV cache of a finished prefill: its engine's address, its name there, and the number of
/// prompt tokens that were not cached.
struct ExportedKv {
    address: String,
    name: String,
    uncached: u32,
}

impl StreamSession {
    /// Runs one attempt from its source to its outcome.
    pub(super) async fn run_attempt(&mut self, source: StreamSource) -> AttemptOutcome {
        self.run_began_at = clock::now();
        self.permit = None;
        match source {
            StreamSource::Attached { request, stream } => self.relay_with_resume(&request, stream).await,
            StreamSource::Placed(mut placement) => self.run_placed(&mut placement).await,
        }
    }

    async fn run_placed(&mut self, placement: &mut Placement) -> AttemptOutcome {
        self.permit = Some(placement.permit.clone());
        let prefill = placement.grant.prefill_engine();
        if placement.permit.is_trial()
            && let Some(unreachable) = self.find_unreachable(&placement.grant).await
        {
            return fail_unsent(&unreachable);
        }
        self.running = Some((placement.grant.clone(), placement.request().clone()));
        let exported = match self.run_prefill(placement).await {
            Ok(exported) => exported,
            Err(outcome) => return outcome,
        };
        placement.finish_prefill();
        self.prefilled_at = Some(clock::now());
        if let Err(notice) = placement.permit.renew(self.work.deadline).await {
            return AttemptOutcome::Refused(notice);
        }
        let kv = (exported.address.as_str(), exported.name.as_str());
        let decode = &placement.grant.decode;
        let skip = self.delivered;
        let previously_delivered = self.delivered;
        let opened =
            engine::start_decode(&self.context, decode, placement.request(), &self.work, kv, skip).await;
        let outcome = match opened {
            Ok(stream) => self.relay_with_resume(placement.request(), stream).await,
            Err(error) if error.is_unsent() => fail_unsent(decode),
            Err(_) => self.fail_after_probe(decode).await,
        };
        if matches!(outcome, AttemptOutcome::Failed { .. }) && self.delivered == previously_delivered {
            self.context
                .metrics
                .count_wasted_prefill(&self.work, exported.uncached);
        }
        if let AttemptOutcome::Failed { engine, .. } = &outcome
            && engine == decode
        {
            self.cancel_later(prefill, placement.request());
        }
        placement.set_result(self.result());
        outcome
    }

    async fn run_prefill(&mut self, placement: &Placement) -> Result<ExportedKv, AttemptOutcome> {
        let name = placement.grant.prefill_engine();
        let opened = engine::start_prefill(&self.context, name, placement.request(), &self.work).await;
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(error) if error.is_unsent() => return Err(fail_unsent(name)),
            Err(_) => return Err(self.fail_after_probe(name).await),
        };
        loop {
            match stream.events.next().await {
                StreamItem::Heartbeat => {
                    if !self.send_heartbeat().await {
                        return Err(AttemptOutcome::CallerGone);
                    }
                }
                StreamItem::Data(data) => {
                    let event: EngineEvent = serde_json::from_str(&data).unwrap_or_default();
                    let address = engine::address_of(&self.context, name);
                    if let (Some(kv), Some(address)) = (event.kv, address)
                        && event.request == **placement.request()
                    {
                        self.context
                            .metrics
                            .count_prefill_tokens(&self.work, event.uncached);
                        return Ok(ExportedKv {
                            address,
                            name: kv,
                            uncached: event.uncached,
                        });
                    }
                    return Err(self.fail_after_probe(name).await);
                }
                StreamItem::End | StreamItem::Broken | StreamItem::TimedOut => {
                    return Err(self.fail_after_probe(name).await);
                }
            }
        }
    }

    /// Relays a stream's tokens; resumes the stream over new connections while its engine is alive.
    async fn relay_with_resume(&mut self, request: &RequestId, mut stream: EngineStream) -> AttemptOutcome {
        let name = stream.engine.clone();
        let secret = self.context.settings.shared_key.clone();
        let encoder = TokenEncoder::new(&name, request, &self.work, &secret);
        let mut tries = 0;
        loop {
            let previously_delivered = self.delivered;
            match self.relay(request, &mut stream, &encoder).await {
                RelayOutcome::Complete => return AttemptOutcome::Complete,
                RelayOutcome::CallerGone => return AttemptOutcome::CallerGone,
                RelayOutcome::Lost => {}
            }
            tries = if self.delivered > previously_delivered {
                1
            } else {
                tries + 1
            };
            let probe = diagnose(&self.context, &name).await;
            let failed = AttemptOutcome::Failed {
                engine: name.clone(),
                probe: Some(probe),
            };
            if probe.outcome == UpstreamOutcome::Ended || tries > MAX_RESUME_TRIES {
                self.cancel_later(&name, request);
                return failed;
            }
            match engine::attach(&self.context, &name, request, self.delivered).await {
                Ok(attached) => stream = attached,
                Err(_) => return failed,
            }
        }
    }

    async fn relay(
        &mut self,
        request: &RequestId,
        stream: &mut EngineStream,
        encoder: &TokenEncoder,
    ) -> RelayOutcome {
        loop {
            let data = match stream.events.next().await {
                StreamItem::Data(data) => data,
                StreamItem::Heartbeat => {
                    if self.send_heartbeat().await {
                        continue;
                    }
                    return RelayOutcome::CallerGone;
                }
                StreamItem::End | StreamItem::Broken | StreamItem::TimedOut => return RelayOutcome::Lost,
            };
            let event: EngineEvent = serde_json::from_str(&data).unwrap_or_default();
            // An answer to another request must not reach this caller; the connection is abandoned.
            if event.request != **request || event.error.is_some() {
                return RelayOutcome::Lost;
            }
            if event.done {
                return if event.index == Some(self.delivered) {
                    RelayOutcome::Complete
                } else {
                    RelayOutcome::Lost
                };
            }
            match event.index {
                Some(index) if index < self.delivered => {}
                Some(index) if index == self.delivered => {
                    if !self.send_token(&event.token, encoder).await {
                        return RelayOutcome::CallerGone;
                    }
                }
                _ => return RelayOutcome::Lost,
            }
        }
    }

    async fn fail_after_probe(&self, name: &Arc<str>) -> AttemptOutcome {
        AttemptOutcome::Failed {
            engine: name.clone(),
            probe: Some(diagnose(&self.context, name).await),
        }
    }

    /// Finds a granted engine that does not answer. An engine that is down before a trial run is no
    /// evidence against the request.
    async fn find_unreachable(&self, grant: &PlacementGrant) -> Option<Arc<str>> {
        for engine in std::iter::once(&grant.decode).chain(&grant.prefill) {
            if !is_answering(&self.context, engine).await {
                return Some(engine.clone());
            }
        }
        None
    }
}

/// The outcome of an attempt of which nothing was sent to the engine.
fn fail_unsent(name: &Arc<str>) -> AttemptOutcome {
    AttemptOutcome::Failed {
        engine: name.clone(),
        probe: None,
    }
}

/// The engines of a running attempt and its id, for its cancellation.
pub type RunningAttempt = (PlacementGrant, RequestId);
