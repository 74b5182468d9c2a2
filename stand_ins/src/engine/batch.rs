//! Decode with continuous batching: one step at a time for the whole batch; a step's time grows with the
//! batch.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use futures::AsyncReadExt;
use http_types::Response;
use serde_json::{Value, json};

use super::Engine;
use super::stream::{HEARTBEAT_INTERVAL, channel_answer, event_bytes, heartbeat_bytes};
use crate::http;
use crate::journal::now_ms;

/// Polling interval while no request can be decoded.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Timeout for the head of a KV transfer's response, and again for its body.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A decode request and its progress.
pub struct Generation {
    /// The request's id.
    pub request: String,
    max_tokens: u32,
    urgent: bool,
    state: Mutex<GenerationState>,
}

#[derive(Debug)]
struct GenerationState {
    digest: Option<u64>,
    produced: u32,
    is_cancelled: bool,
    error: Option<String>,
    /// Wakes the current reader; replaced when another reader attaches.
    reader: Option<Sender<()>>,
    /// Number of readers so far; a reader whose number is smaller has been replaced.
    reader_number: u64,
    detached_at_ms: Option<u64>,
}

impl Generation {
    fn lock(&self) -> std::sync::MutexGuard<'_, GenerationState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Milliseconds since the last reader left; `None` while there is a reader, or before the first one.
    pub fn detached_ms(&self) -> Option<u64> {
        self.lock()
            .detached_at_ms
            .map(|at_ms| now_ms().saturating_sub(at_ms))
    }

    /// Stops decoding and closes the reader's stream.
    pub fn cancel(&self) {
        let mut state = self.lock();
        state.is_cancelled = true;
        state.reader = None;
    }

    fn wake(&self) {
        if let Some(reader) = &self.lock().reader {
            // A full channel means that a wake-up is pending already.
            let _ = reader.try_send(());
        }
    }

    fn fail(&self, reason: &str) {
        self.lock().error = Some(reason.to_owned());
        self.wake();
    }
}

/// The token at an index of the answer to a prompt; the same on every engine.
pub fn token_at(digest: u64, index: u32) -> String {
    let mixed =
        (digest ^ u64::from(index).wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    format!("w{:06x} ", mixed >> 40)
}

/// Starts a decode request: fetches its KV cache and streams its tokens, from the index `skip` on.
pub fn start(engine: &Arc<Engine>, body: &Value) -> Response {
    let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
    let generation = Arc::new(Generation {
        request: text("request"),
        max_tokens: body["max_tokens"].as_u64().unwrap_or(1) as u32,
        urgent: body["urgent"].as_bool().unwrap_or(false),
        state: Mutex::new(GenerationState {
            digest: None,
            produced: body["skip"].as_u64().unwrap_or(0) as u32,
            is_cancelled: false,
            error: None,
            reader: None,
            reader_number: 0,
            detached_at_ms: None,
        }),
    });
    let from = generation.lock().produced;
    engine
        .generations
        .lock()
        .expect("no holder of this lock panics")
        .insert(generation.request.clone(), generation.clone());
    engine.journal.record(
        "decode_began",
        &generation.request,
        json!({ "engine": engine.profile.name, "skip": from }),
    );
    async_std::task::spawn(import_kv(
        engine.clone(),
        generation.clone(),
        text("source"),
        text("kv"),
    ));
    attach_reader(engine, &generation, from)
}

/// Imports the KV cache of a request; the request fails if the transfer fails or times out.
async fn import_kv(engine: Arc<Engine>, generation: Arc<Generation>, source: String, kv: String) {
    match fetch(&source, &kv).await {
        Some(head) if head["is_deadly"] == true => {
            engine.journal.record(
                "died",
                &generation.request,
                json!({ "engine": engine.profile.name }),
            );
            std::process::exit(9);
        }
        Some(head) => generation.lock().digest = head["digest"].as_u64(),
        None => {
            engine
                .journal
                .record("import_failed", &generation.request, Value::Null);
            remove_generation(&engine, &generation);
            generation.fail("the KV cache could not be fetched");
        }
    }
}

async fn fetch(source: &str, kv: &str) -> Option<Value> {
    let request = http::get_request(source, &format!("/kv/{kv}"));
    let response = async_std::future::timeout(TRANSFER_TIMEOUT, http::open(source, request))
        .await
        .ok()?;
    let mut response = response.filter(|response| response.status().is_success())?;
    let mut bytes = Vec::new();
    let body = response.take_body();
    let mut body = body.into_reader();
    async_std::future::timeout(TRANSFER_TIMEOUT, body.read_to_end(&mut bytes))
        .await
        .ok()?
        .ok()?;
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    serde_json::from_slice(&bytes[..end]).ok()
}

/// Resumes the stream of a running request from an index; 404 if the request is unknown.
pub fn attach(engine: &Arc<Engine>, body: &Value) -> Response {
    let request = body["request"].as_str().unwrap_or_default();
    let from = body["from"].as_u64().unwrap_or(0) as u32;
    let found = engine
        .generations
        .lock()
        .expect("no holder of this lock panics")
        .get(request)
        .cloned();
    let Some(generation) = found else {
        return http::json(404, &Value::Null);
    };
    engine
        .journal
        .record("attached", request, json!({ "from": from }));
    attach_reader(engine, &generation, from)
}

fn remove_generation(engine: &Engine, generation: &Generation) {
    engine
        .generations
        .lock()
        .expect("no holder of this lock panics")
        .remove(&generation.request);
}

/// Streams a request's tokens from an index to a new reader; the stream of an earlier reader is closed.
fn attach_reader(engine: &Arc<Engine>, generation: &Arc<Generation>, from: u32) -> Response {
    let (waker, wakes) = bounded(1);
    let reader_number = {
        let mut state = generation.lock();
        state.reader = Some(waker);
        state.reader_number += 1;
        state.detached_at_ms = None;
        state.reader_number
    };
    let (events, stream) = bounded(64);
    let engine = engine.clone();
    let generation = generation.clone();
    async_std::task::spawn(async move {
        let is_complete = send_tokens(&engine, &generation, from, &wakes, &events).await;
        let mut state = generation.lock();
        if state.reader_number == reader_number {
            state.reader = None;
            state.detached_at_ms = Some(now_ms());
        }
        drop(state);
        if is_complete {
            remove_generation(&engine, &generation);
            engine.journal.record(
                "answered",
                &generation.request,
                json!({ "engine": engine.profile.name }),
            );
        }
    });
    channel_answer(stream)
}

/// Sends tokens as they are produced, with heartbeats in between; returns whether the final event was sent.
async fn send_tokens(
    engine: &Engine,
    generation: &Generation,
    from: u32,
    wakes: &Receiver<()>,
    events: &Sender<Vec<u8>>,
) -> bool {
    let mut next = from;
    loop {
        let (digest, produced, is_cancelled, error) = {
            let state = generation.lock();
            (
                state.digest,
                state.produced,
                state.is_cancelled,
                state.error.clone(),
            )
        };
        let id = if engine.fault().crosses {
            "another~request"
        } else {
            &generation.request
        };
        if let Some(error) = error {
            let event = json!({ "request": id, "error": error });
            let _ = events.send(event_bytes(&event)).await;
            return false;
        }
        if let Some(digest) = digest {
            while next < produced {
                let event = json!({ "request": id, "index": next, "token": token_at(digest, next) });
                if events.send(event_bytes(&event)).await.is_err() {
                    return false;
                }
                next += 1;
            }
            if next >= generation.max_tokens {
                let event = json!({ "request": id, "index": next, "done": true });
                return events.send(event_bytes(&event)).await.is_ok();
            }
        }
        if is_cancelled {
            return false;
        }
        match async_std::future::timeout(HEARTBEAT_INTERVAL, wakes.recv()).await {
            Ok(Ok(())) => {}
            // The sender was dropped: another reader has attached, or the request was cancelled.
            Ok(Err(_)) => return false,
            Err(_) => {
                if events.send(heartbeat_bytes()).await.is_err() {
                    return false;
                }
            }
        }
    }
}

/// Runs decode steps until the process exits.
pub async fn run_steps(engine: Arc<Engine>) {
    loop {
        let batch = choose_batch(&engine);
        if batch.is_empty() {
            async_std::task::sleep(IDLE_POLL_INTERVAL).await;
            continue;
        }
        let profile = &engine.profile;
        let step_us = profile.step_us + profile.step_per_request_us * batch.len() as u64;
        async_std::task::sleep(engine.slowed(Duration::from_micros(step_us))).await;
        for generation in batch {
            generation.lock().produced += 1;
            generation.wake();
        }
    }
}

/// The requests of the next step: unfinished ones with an imported KV cache, urgent ones first, one per slot.
fn choose_batch(engine: &Engine) -> Vec<Arc<Generation>> {
    let generations = engine.generations.lock().expect("no holder of this lock panics");
    let is_ready = |generation: &Generation| {
        let state = generation.lock();
        state.digest.is_some() && !state.is_cancelled && state.produced < generation.max_tokens
    };
    let mut ready: Vec<Arc<Generation>> = generations
        .values()
        .filter(|entry| is_ready(entry))
        .cloned()
        .collect();
    ready.sort_by_key(|generation| (!generation.urgent, generation.request.clone()));
    ready.truncate(engine.profile.slots);
    ready
}
