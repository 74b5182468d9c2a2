//! Prefill: one prompt at a time, urgent ones first, in a time by its uncached tokens; exported KV caches
//! expire.

use std::collections::VecDeque;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::{Sender, bounded};
use http_types::{Body, Response, StatusCode};
use rustc_hash::{FxHashSet, FxHasher};
use serde_json::{Value, json};

use super::stream::{HEARTBEAT_INTERVAL, channel_answer, event_bytes, heartbeat_bytes};
use super::{DECODE_CRASH_WORD, Engine, PREFILL_CRASH_WORD};
use crate::http;
use crate::journal::now_ms;

/// Tokens per block of the prefix cache.
const BLOCK_TOKENS: usize = 1_000;

/// Polling interval while the queue is empty.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A queued prompt; it leaves the queue when its prefill begins.
pub struct WaitingPrefill {
    /// The request's id.
    pub request: String,
    prompt: String,
    seed: u64,
    urgent: bool,
    events: Sender<Vec<u8>>,
}

/// A KV cache that waits for a decode engine to fetch it.
#[derive(Clone, Debug)]
pub struct ExportedKv {
    /// Hash of the prompt and the seed, which determines all tokens of the answer.
    pub digest: u64,
    /// Number of tokens of the prompt.
    pub tokens: u64,
    /// Whether a decode engine that imports it crashes.
    pub is_deadly: bool,
    /// When it expires, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// Cache of prompt blocks that need no prefill; the least recently used block is evicted first.
#[derive(Debug, Default)]
pub struct PrefixCache {
    limit: usize,
    known: FxHashSet<u64>,
    order: VecDeque<u64>,
}

impl PrefixCache {
    /// An empty cache with a capacity in blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Adds the blocks of a prompt and returns how many tokens of its prefix were cached before.
    fn add_prompt(&mut self, prompt: &str) -> usize {
        let mut hasher = FxHasher::default();
        let mut hits = 0;
        let mut is_hit = true;
        for (index, word) in prompt.split_ascii_whitespace().enumerate() {
            hasher.write(word.as_bytes());
            hasher.write_u8(0);
            if (index + 1) % BLOCK_TOKENS != 0 {
                continue;
            }
            let block = hasher.finish();
            is_hit &= self.known.contains(&block);
            hits += usize::from(is_hit);
            self.add(block);
        }
        hits * BLOCK_TOKENS
    }

    fn add(&mut self, block: u64) {
        if !self.known.insert(block) {
            self.order.retain(|known| *known != block);
        }
        self.order.push_back(block);
        while self.order.len() > self.limit {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }
}

/// Hash of a prompt and a seed.
pub fn digest(prompt: &str, seed: u64) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(prompt.as_bytes());
    hasher.write_u64(seed);
    hasher.finish()
}

/// Queues a prompt and streams heartbeats until its KV cache is ready to be fetched.
pub fn answer(engine: &Engine, body: &Value) -> Response {
    let (events, stream) = bounded(16);
    let waiting = WaitingPrefill {
        request: body["request"].as_str().unwrap_or_default().to_owned(),
        prompt: body["prompt"].as_str().unwrap_or_default().to_owned(),
        seed: body["seed"].as_u64().unwrap_or(0),
        urgent: body["urgent"].as_bool().unwrap_or(false),
        events: events.clone(),
    };
    engine
        .prefills
        .lock()
        .expect("no holder of this lock panics")
        .push(waiting);
    async_std::task::spawn(async move {
        while events.send(heartbeat_bytes()).await.is_ok() {
            async_std::task::sleep(HEARTBEAT_INTERVAL).await;
        }
    });
    channel_answer(stream)
}

/// Drops a request's queued prompt and its exported KV cache; returns whether there was one.
pub fn cancel(engine: &Engine, request: &str) -> bool {
    let mut prefills = engine.prefills.lock().expect("no holder of this lock panics");
    let before = prefills.len();
    prefills.retain(|waiting| waiting.request != request);
    let was_waiting = prefills.len() != before;
    drop(prefills);
    let mut exported = engine.exported.lock().expect("no holder of this lock panics");
    was_waiting | exported.remove(request).is_some()
}

/// Runs queued prompts until the process exits.
pub async fn run_prefills(engine: Arc<Engine>) {
    loop {
        drop_expired(&engine);
        let Some(next) = take_next(&engine) else {
            async_std::task::sleep(POLL_INTERVAL).await;
            continue;
        };
        run_one(&engine, next).await;
    }
}

fn take_next(engine: &Engine) -> Option<WaitingPrefill> {
    let mut prefills = engine.prefills.lock().expect("no holder of this lock panics");
    let urgent = prefills.iter().position(|waiting| waiting.urgent);
    let index = urgent.or(if prefills.is_empty() { None } else { Some(0) })?;
    Some(prefills.remove(index))
}

async fn run_one(engine: &Arc<Engine>, waiting: WaitingPrefill) {
    let tokens = waiting.prompt.split_ascii_whitespace().count();
    let cached = engine
        .cache
        .lock()
        .expect("no holder of this lock panics")
        .add_prompt(&waiting.prompt);
    let uncached = tokens.saturating_sub(cached);
    let detail = json!({ "engine": engine.profile.name, "tokens": tokens, "uncached": uncached });
    engine.journal.record("prefill_began", &waiting.request, detail);
    if waiting.prompt.contains(PREFILL_CRASH_WORD) {
        std::process::exit(9);
    }
    let span = Duration::from_micros(uncached as u64 * 1_000_000 / engine.profile.prefill_rate.max(1));
    async_std::task::sleep(engine.slowed(span)).await;
    let exported = ExportedKv {
        digest: digest(&waiting.prompt, waiting.seed),
        tokens: tokens as u64,
        is_deadly: waiting.prompt.contains(DECODE_CRASH_WORD),
        until_ms: now_ms() + engine.profile.kv_life_ms,
    };
    engine
        .exported
        .lock()
        .expect("no holder of this lock panics")
        .insert(waiting.request.clone(), exported);
    engine
        .journal
        .record("prefill_done", &waiting.request, json!({ "uncached": uncached }));
    let request = if engine.fault().crosses {
        "another~request"
    } else {
        &waiting.request
    };
    let event = json!({ "request": request, "kv": waiting.request, "uncached": uncached });
    // If the reader has disconnected, the KV cache stays until it expires.
    let _ = waiting.events.try_send(event_bytes(&event));
    waiting.events.close();
}

fn drop_expired(engine: &Engine) {
    let now = now_ms();
    let mut exported = engine.exported.lock().expect("no holder of this lock panics");
    exported.retain(|request, kv| {
        let is_kept = kv.until_ms > now;
        if !is_kept {
            engine.journal.record("kv_expired", request, Value::Null);
        }
        is_kept
    });
}

/// Sends an exported KV cache over the link and drops it; 410 if it is unknown or has expired.
pub async fn export(engine: &Arc<Engine>, name: &str) -> Response {
    drop_expired(engine);
    let found = engine
        .exported
        .lock()
        .expect("no holder of this lock panics")
        .remove(name);
    let Some(kv) = found else {
        return http::json(410, &Value::Null);
    };
    while engine.fault().stalls_transfer {
        async_std::task::sleep(Duration::from_millis(50)).await;
    }
    let size = kv.tokens * engine.profile.bytes_per_token;
    wait_for_link(engine, size).await;
    let head = json!({ "digest": kv.digest, "tokens": kv.tokens, "is_deadly": kv.is_deadly }).to_string();
    let mut bytes = head.into_bytes();
    bytes.push(b'\n');
    bytes.resize(bytes.len() + size as usize, 0);
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_bytes(bytes));
    response
}

/// Waits for a transfer of this many bytes, after the transfers that were queued on the link before it.
async fn wait_for_link(engine: &Engine, size: u64) {
    let span_ms = size * 1_000 / engine.profile.link_rate.max(1);
    let free_at_ms = {
        let mut free_at_ms = engine
            .link_free_at_ms
            .lock()
            .expect("no holder of this lock panics");
        *free_at_ms = now_ms().max(*free_at_ms) + span_ms;
        *free_at_ms
    };
    async_std::task::sleep(Duration::from_millis(free_at_ms.saturating_sub(now_ms()))).await;
}
