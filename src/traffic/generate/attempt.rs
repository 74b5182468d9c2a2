//! One attempt at a generation: prefill, transfer and decode, with one way to end.

use std::sync::Arc;

use super::engine::{self, EngineEvent, EngineStream};
use super::placement::Placement;
use super::session::StreamSession;
use super::token::TokenMaker;
use crate::clock;
use crate::controllers::quarantine::UpstreamOutcome;
use crate::controllers::slots::{PlacementGrant, RequestId};
use crate::traffic::diagnosis::{UpstreamLook, diagnose, is_answering};
use crate::traffic::sse::StreamItem;

/// How often a stream is taken up again without a new token before the attempt is given up.
const ATTACH_TRIES: u32 = 2;

/// Where the tokens come from.
pub enum StreamSource {
    /// Engines were granted; nothing runs yet.
    Placed(Placement),
    /// An engine already generates.
    Attached {
        /// The attempt that the engine runs.
        request: RequestId,
        /// Its stream.
        stream: EngineStream,
    },
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// All tokens were passed on.
    Complete,
    /// The caller does not take any more.
    CallerGone,
    /// An engine failed; another attempt may do better.
    Failed {
        /// Which.
        engine: Arc<str>,
        /// What a look at it showed; `None` where nothing was sent to it.
        look: Option<UpstreamLook>,
    },
}

/// How the relay of one stream ended.
enum RelayEnd {
    Complete,
    CallerGone,
    Lost,
}

/// The exported KV cache of a finished prefill.
struct ExportedKv {
    address: String,
    name: String,
    uncached: u32,
}

impl StreamSession {
    /// Runs one attempt.
    pub(super) async fn run_attempt(&mut self, source: StreamSource) -> AttemptEnd {
        self.run_began_at = clock::now();
        self.known_crash_count = 0;
        match source {
            StreamSource::Attached { request, stream } => self.relay_with_resume(&request, stream).await,
            StreamSource::Placed(mut placement) => self.run_placed(&mut placement).await,
        }
    }

    async fn run_placed(&mut self, placement: &mut Placement) -> AttemptEnd {
        self.known_crash_count = placement.permit.crash_count();
        let prefill = placement.grant.prefill_engine();
        if placement.permit.is_trial()
            && let Some(silent) = self.find_silent(&placement.grant).await
        {
            return not_sent(&silent);
        }
        self.running = Some((placement.grant.clone(), placement.request().clone()));
        let exported = match self.run_prefill(placement).await {
            Ok(exported) => exported,
            Err(end) => return end,
        };
        placement.finish_prefill();
        self.prefilled_at = Some(clock::now());
        let kv = (exported.address.as_str(), exported.name.as_str());
        let decode = &placement.grant.decode;
        let skip = self.delivered;
        let delivered_before = self.delivered;
        let opened =
            engine::start_decode(&self.context, decode, placement.request(), &self.work, kv, skip).await;
        let end = match opened {
            Ok(stream) => self.relay_with_resume(placement.request(), stream).await,
            Err(error) if error.is_unsent() => not_sent(decode),
            Err(_) => self.lose(decode).await,
        };
        if matches!(end, AttemptEnd::Failed { .. }) && self.delivered == delivered_before {
            self.context
                .metrics
                .count_wasted_prefill(&self.work, exported.uncached);
        }
        if let AttemptEnd::Failed { engine, .. } = &end
            && engine == decode
        {
            self.cancel_later(prefill, placement.request());
        }
        placement.note_result(self.result());
        end
    }

    async fn run_prefill(&mut self, placement: &Placement) -> Result<ExportedKv, AttemptEnd> {
        let name = placement.grant.prefill_engine();
        let opened = engine::start_prefill(&self.context, name, placement.request(), &self.work).await;
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(error) if error.is_unsent() => return Err(not_sent(name)),
            Err(_) => return Err(self.lose(name).await),
        };
        loop {
            match stream.events.next().await {
                StreamItem::Heartbeat => {
                    if !self.send_heartbeat().await {
                        return Err(AttemptEnd::CallerGone);
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
                    return Err(self.lose(name).await);
                }
                StreamItem::End | StreamItem::Broken | StreamItem::Silent => {
                    return Err(self.lose(name).await);
                }
            }
        }
    }

    /// Passes a stream's tokens on, taking it up again over new connections while its engine lives.
    async fn relay_with_resume(&mut self, request: &RequestId, mut stream: EngineStream) -> AttemptEnd {
        let name = stream.engine.clone();
        let secret = self.context.settings.shared_key.clone();
        let tokens = TokenMaker::new(&name, request, &self.work, &secret);
        let mut tries = 0;
        loop {
            let delivered_before = self.delivered;
            match self.relay(request, &mut stream, &tokens).await {
                RelayEnd::Complete => return AttemptEnd::Complete,
                RelayEnd::CallerGone => return AttemptEnd::CallerGone,
                RelayEnd::Lost => {}
            }
            tries = if self.delivered > delivered_before {
                1
            } else {
                tries + 1
            };
            let look = diagnose(&self.context, &name).await;
            let failed = AttemptEnd::Failed {
                engine: name.clone(),
                look: Some(look),
            };
            if look.outcome == UpstreamOutcome::Ended || tries > ATTACH_TRIES {
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
        tokens: &TokenMaker,
    ) -> RelayEnd {
        loop {
            let data = match stream.events.next().await {
                StreamItem::Data(data) => data,
                StreamItem::Heartbeat => {
                    if self.send_heartbeat().await {
                        continue;
                    }
                    return RelayEnd::CallerGone;
                }
                StreamItem::End | StreamItem::Broken | StreamItem::Silent => return RelayEnd::Lost,
            };
            let event: EngineEvent = serde_json::from_str(&data).unwrap_or_default();
            // An answer to another request is never passed on; the connection it came over is given up.
            if event.request != **request || event.error.is_some() {
                return RelayEnd::Lost;
            }
            if event.done {
                return if event.index == Some(self.delivered) {
                    RelayEnd::Complete
                } else {
                    RelayEnd::Lost
                };
            }
            match event.index {
                Some(index) if index < self.delivered => {}
                Some(index) if index == self.delivered => {
                    if !self.send_token(&event.token, tokens).await {
                        return RelayEnd::CallerGone;
                    }
                }
                _ => return RelayEnd::Lost,
            }
        }
    }

    async fn lose(&self, name: &Arc<str>) -> AttemptEnd {
        AttemptEnd::Failed {
            engine: name.clone(),
            look: Some(diagnose(&self.context, name).await),
        }
    }

    /// A granted engine that does not answer. One that had ended before a careful run tells nothing of the request.
    async fn find_silent(&self, grant: &PlacementGrant) -> Option<Arc<str>> {
        for engine in std::iter::once(&grant.decode).chain(&grant.prefill) {
            if !is_answering(&self.context, engine).await {
                return Some(engine.clone());
            }
        }
        None
    }
}

/// The end of an attempt of which nothing was sent to an engine.
fn not_sent(name: &Arc<str>) -> AttemptEnd {
    AttemptEnd::Failed {
        engine: name.clone(),
        look: None,
    }
}

/// What an attempt holds on engines, for a cancellation.
pub type RunningAttempt = (PlacementGrant, RequestId);
