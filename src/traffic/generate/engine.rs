//! The engines' protocol: prefill, decode, attach, cancel.

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

/// How long an engine's stream may bring nothing, not even a heartbeat.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(2_000);

/// How long a cancellation may take, in milliseconds.
const CANCEL_LIMIT_MS: u64 = 2_000;

/// How long the head of an engine's answer may take, in milliseconds.
const HEAD_LIMIT_MS: u64 = 2_000;

/// What a prefill engine is sent.
#[derive(Serialize)]
struct PrefillOrder<'a> {
    request: &'a str,
    prompt: &'a str,
    seed: u64,
    urgent: bool,
}

/// What a decode engine is sent.
#[derive(Serialize)]
struct DecodeOrder<'a> {
    request: &'a str,
    source: &'a str,
    kv: &'a str,
    max_tokens: u32,
    skip: u32,
    urgent: bool,
}

/// What an engine is sent to go on with, or to drop, a request.
#[derive(Serialize)]
struct RequestOrder<'a> {
    request: &'a str,
    from: u32,
}

/// An event of an engine's stream.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct EngineEvent {
    /// The request it belongs to.
    pub request: String,
    /// The token's number.
    pub index: Option<u32>,
    /// The token.
    pub token: String,
    /// The exported KV cache's name, when a prefill is done.
    pub kv: Option<String>,
    /// Prompt tokens that had to be run.
    pub uncached: u32,
    /// Whether the stream is complete.
    pub done: bool,
    /// Why the engine gave up.
    pub error: Option<String>,
}

/// An engine's open stream.
pub struct EngineStream {
    /// The engine.
    pub engine: Arc<str>,
    /// Its events.
    pub events: EventReader,
}

/// The address of an engine in the register in force.
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
    let deadline = clock::now().after_ms(HEAD_LIMIT_MS);
    let mut response = exchange(&address, request, deadline).await?;
    context.note_start(engine, &response);
    if response.status() != StatusCode::Ok {
        return Err(UpstreamError::Broken { address });
    }
    Ok(EngineStream {
        engine: engine.clone(),
        events: EventReader::new(response.take_body(), SILENCE_LIMIT),
    })
}

/// Starts a prefill.
pub async fn start_prefill(
    context: &TrafficContext,
    engine: &Arc<str>,
    request: &str,
    work: &GenerateWork,
) -> Result<EngineStream, UpstreamError> {
    let order = PrefillOrder {
        request,
        prompt: &work.prompt,
        seed: work.seed,
        urgent: !work.may_wait,
    };
    open_stream(context, engine, "/prefill", &order).await
}

/// Starts a decode from an exported KV cache.
pub async fn start_decode(
    context: &TrafficContext,
    engine: &Arc<str>,
    request: &str,
    work: &GenerateWork,
    kv: (&str, &str),
    skip: u32,
) -> Result<EngineStream, UpstreamError> {
    let order = DecodeOrder {
        request,
        source: kv.0,
        kv: kv.1,
        max_tokens: work.max_tokens,
        skip,
        urgent: !work.may_wait,
    };
    open_stream(context, engine, "/decode", &order).await
}

/// Takes up a stream that the engine still holds.
pub async fn attach(
    context: &TrafficContext,
    engine: &Arc<str>,
    request: &str,
    from: u32,
) -> Result<EngineStream, UpstreamError> {
    open_stream(context, engine, "/attach", &RequestOrder { request, from }).await
}

/// Takes up the stream that a caller's token names, if its engine still holds it.
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

/// Drops a request on an engine, over a new connection; whether the engine confirmed it.
pub async fn cancel(context: &TrafficContext, engine: &str, request: &str) -> bool {
    let Some(address) = address_of(context, engine) else {
        return false;
    };
    let Some(order) = post_json(&address, "/cancel", &RequestOrder { request, from: 0 }) else {
        return false;
    };
    let deadline = clock::now().after_ms(CANCEL_LIMIT_MS);
    exchange(&address, order, deadline)
        .await
        .is_ok_and(|response| response.status() == StatusCode::Ok)
}
