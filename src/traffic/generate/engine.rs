//! Client of the engines' protocol: prefill, decode, attach and cancel.

use std::sync::Arc;
use std::time::Duration;

use http_types::StatusCode;
use serde::{Deserialize, Serialize};

use super::attempt::StreamSource;
use super::token::ResumeToken;
use crate::clock;
use crate::prelude::*;
use crate::traffic::sse::EventReader;
use crate::traffic::upstream::{UpstreamError, exchange, post_json};
use crate::traffic::{TrafficContext, request::GenerateWork};

/// Idle timeout of an engine's stream; heartbeats count as activity.
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Timeout for a cancellation, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 2_000;

/// Timeout for the head of an engine's response, in milliseconds.
const HEAD_TIMEOUT_MS: u64 = 2_000;

/// The body of a request to `/prefill`.
#[derive(Serialize)]
struct PrefillBody<'a> {
    request: &'a str,
    prompt: &'a str,
    seed: u64,
    urgent: bool,
}

/// The body of a request to `/decode`: `source` and `kv` name the KV cache to fetch, `skip` is the number of
/// tokens that the caller already has.
#[derive(Serialize)]
struct DecodeBody<'a> {
    request: &'a str,
    source: &'a str,
    kv: &'a str,
    max_tokens: u32,
    skip: u32,
    urgent: bool,
}

/// The body of a request to `/attach` or `/cancel`.
#[derive(Serialize)]
struct AttemptBody<'a> {
    request: &'a str,
    from: u32,
}

/// The data of an event in an engine's stream.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct EngineEvent {
    /// The id of the attempt that the event belongs to.
    pub request: String,
    /// The index of the token in the answer; in the last event, the number of tokens.
    pub index: Option<u32>,
    /// The token's text.
    pub token: String,
    /// The name of the exported KV cache, when a prefill is done.
    pub kv: Option<String>,
    /// Number of prompt tokens that were not cached and had to be prefilled.
    pub uncached: u32,
    /// Whether the stream is complete.
    pub done: bool,
    /// The reason why the engine failed the request.
    pub error: Option<String>,
}

/// An open stream of an engine.
pub struct EngineStream {
    /// The name of the engine.
    pub engine: Arc<str>,
    /// The reader of its events.
    pub events: EventReader,
}

/// The address of an engine in the register in force; `None` if it is not in it.
pub fn address_of(context: &TrafficContext, engine: &str) -> Option<String> {
    let snapshot = context.snapshot();
    let upstream = snapshot.register.upstream(engine)?;
    Some(upstream.address.clone())
}

async fn open_stream(
    context: &TrafficContext,
    engine: &Arc<str>,
    path: &str,
    body: &impl Serialize,
) -> Result<EngineStream, UpstreamError> {
    let address = address_of(context, engine).unwrap_or_default();
    let unsent = || UpstreamError::Connect {
        address: address.clone(),
    };
    let request = post_json(&address, path, body).ok_or_else(unsent)?;
    let deadline = clock::now().after_ms(HEAD_TIMEOUT_MS);
    let mut response = exchange(&address, request, deadline).await?;
    context.record_boot(engine, &response);
    if response.status() != StatusCode::Ok {
        return Err(UpstreamError::Broken { address });
    }
    Ok(EngineStream {
        engine: engine.clone(),
        events: EventReader::new(response.take_body(), STREAM_IDLE_TIMEOUT),
    })
}

/// Starts the prefill of a prompt.
pub async fn start_prefill(
    context: &TrafficContext,
    engine: &Arc<str>,
    request: &str,
    work: &GenerateWork,
) -> Result<EngineStream, UpstreamError> {
    let body = PrefillBody {
        request,
        prompt: &work.prompt,
        seed: work.seed,
        urgent: !work.may_wait,
    };
    open_stream(context, engine, "/prefill", &body).await
}

/// Starts decoding from an exported KV cache, named by its engine's address and its name there.
pub async fn start_decode(
    context: &TrafficContext,
    engine: &Arc<str>,
    request: &str,
    work: &GenerateWork,
    kv: (&str, &str),
    skip: u32,
) -> Result<EngineStream, UpstreamError> {
    let body = DecodeBody {
        request,
        source: kv.0,
        kv: kv.1,
        max_tokens: work.max_tokens,
        skip,
        urgent: !work.may_wait,
    };
    open_stream(context, engine, "/decode", &body).await
}

/// Resumes, from a token's index on, a stream that the engine still holds.
pub async fn attach(
    context: &TrafficContext,
    engine: &Arc<str>,
    request: &str,
    from: u32,
) -> Result<EngineStream, UpstreamError> {
    open_stream(context, engine, "/attach", &AttemptBody { request, from }).await
}

/// Resumes the stream that a caller's resume token names, if its engine still holds it.
pub async fn attach_by_token(
    context: &TrafficContext,
    token: &ResumeToken,
    deadline: Moment,
) -> Option<StreamSource> {
    if clock::now().reached(deadline) {
        return None;
    }
    let stream = attach(context, &token.engine, &token.request, token.next_offset)
        .await
        .ok()?;
    Some(StreamSource::Attached {
        request: token.request.clone(),
        stream,
    })
}

/// Cancels an attempt on an engine; returns whether the engine confirmed it.
pub async fn cancel(context: &TrafficContext, engine: &str, request: &str) -> bool {
    let Some(address) = address_of(context, engine) else {
        return false;
    };
    let Some(cancellation) = post_json(&address, "/cancel", &AttemptBody { request, from: 0 }) else {
        return false;
    };
    let deadline = clock::now().after_ms(CANCEL_TIMEOUT_MS);
    exchange(&address, cancellation, deadline)
        .await
        .is_ok_and(|response| response.status() == StatusCode::Ok)
}
