//! Stand-in for an engine: prefill with a prefix cache, KV export and import, continuous batching, resume and
//! cancel.

mod batch;
mod prefill;
mod stream;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_std::net::TcpListener;
use http_types::{Method, Request, Response};
use rand::Rng;
use rustc_hash::FxHashMap;
use serde_json::{Value, json};

use crate::http::{self, read_json};
use crate::journal::{Journal, now_ms};
use batch::Generation;
use prefill::{ExportedKv, PrefixCache, WaitingPrefill};

/// A prompt that contains this word crashes each prefill engine that runs it.
pub const PREFILL_CRASH_WORD: &str = "query-of-death-prefill";

/// A prompt that contains this word crashes each decode engine that imports its KV cache.
pub const DECODE_CRASH_WORD: &str = "query-of-death-decode";

/// The first `count` tokens that every engine generates for a prompt and a seed.
pub fn expected_tokens(prompt: &str, seed: u64, count: u32) -> Vec<String> {
    let digest = prefill::digest(prompt, seed);
    (0..count).map(|index| batch::token_at(digest, index)).collect()
}

/// Capacity and timing of an engine.
#[derive(Clone, Debug)]
pub struct EngineProfile {
    /// Name under which the engine's journal lines appear.
    pub name: String,
    /// Most requests in one decode batch.
    pub slots: usize,
    /// Uncached prompt tokens prefilled per second.
    pub prefill_rate: u64,
    /// Fixed part of a decode step's time, in microseconds.
    pub step_us: u64,
    /// Time that each request in the batch adds to a decode step, in microseconds.
    pub step_per_request_us: u64,
    /// Time to live of an exported KV cache, in milliseconds.
    pub kv_life_ms: u64,
    /// Capacity of the prefix cache, in blocks of 1,000 tokens.
    pub cache_blocks: usize,
    /// Bytes of KV cache per token, much fewer than a real engine has.
    pub bytes_per_token: u64,
    /// Bandwidth of the link that exports KV caches, in bytes per second.
    pub link_rate: u64,
    /// Age of the load that `/held` reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Simulated network latency before each request is handled, in microseconds.
    pub network_us: u64,
}

/// Injected faults; the default is none. Each `POST /fault` replaces them all.
#[derive(Clone, Debug, Default)]
pub struct EngineFault {
    /// Duration of each step and prefill, in percent of the normal one; zero for no change.
    pub slow_percent: u64,
    /// KV transfers make no progress while this is set.
    pub stalls_transfer: bool,
    /// Streams carry the id of another request.
    pub crosses: bool,
}

/// A running engine; it serves the routes of both prefill and decode.
pub struct Engine {
    profile: EngineProfile,
    boot: u64,
    journal: Journal,
    fault: Mutex<EngineFault>,
    generations: Mutex<FxHashMap<String, Arc<Generation>>>,
    prefills: Mutex<Vec<WaitingPrefill>>,
    cache: Mutex<PrefixCache>,
    exported: Mutex<FxHashMap<String, ExportedKv>>,
    link_free_at_ms: Mutex<u64>,
    loads: Mutex<Vec<(u64, u32)>>,
}

impl Engine {
    fn fault(&self) -> EngineFault {
        self.fault.lock().expect("no holder of this lock panics").clone()
    }

    fn slowed(&self, span: Duration) -> Duration {
        match self.fault().slow_percent {
            0 => span,
            percent => span * percent as u32 / 100,
        }
    }

    fn load(&self) -> u32 {
        let generations = self
            .generations
            .lock()
            .expect("no holder of this lock panics")
            .len();
        let prefills = self.prefills.lock().expect("no holder of this lock panics").len();
        (generations + prefills) as u32
    }

    /// The load of `report_lag_ms` ago: real engines report their load late, too.
    fn reported_load(&self) -> u32 {
        let before_ms = now_ms().saturating_sub(self.profile.report_lag_ms);
        let mut loads = self.loads.lock().expect("no holder of this lock panics");
        loads.push((now_ms(), self.load()));
        loads.retain(|(at_ms, _)| *at_ms + 10_000 > now_ms());
        let known = loads.iter().rev().find(|(at_ms, _)| *at_ms <= before_ms);
        known.map_or(0, |(_, load)| *load)
    }

    fn held(&self) -> Value {
        let generations = self.generations.lock().expect("no holder of this lock panics");
        let rows: Vec<Value> = generations
            .values()
            .map(|generation| json!({ "request": generation.request, "detached_ms": generation.detached_ms() }))
            .collect();
        drop(generations);
        let exported = self.exported.lock().expect("no holder of this lock panics").len();
        json!({ "held": rows, "exported": exported, "load": self.reported_load() })
    }
}

/// Serves an engine on an address until the process exits; fails if the address can't be bound.
pub async fn run(listen: &str, profile: EngineProfile, journal: &str) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let engine = Arc::new(Engine {
        boot: rand::rng().random_range(1..u64::MAX),
        journal: Journal::open(journal),
        fault: Mutex::default(),
        generations: Mutex::default(),
        prefills: Mutex::default(),
        cache: Mutex::new(PrefixCache::new(profile.cache_blocks)),
        exported: Mutex::default(),
        link_free_at_ms: Mutex::default(),
        loads: Mutex::default(),
        profile,
    });
    async_std::task::spawn(batch::run_steps(engine.clone()));
    async_std::task::spawn(prefill::run_prefills(engine.clone()));
    http::serve(listener, engine, answer).await;
    Ok(())
}

async fn answer(engine: Arc<Engine>, mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    if engine.profile.network_us > 0 {
        async_std::task::sleep(Duration::from_micros(engine.profile.network_us)).await;
    }
    let mut response = match (request.method(), path.as_str()) {
        (Method::Post, "/prefill") => prefill::answer(&engine, &read_json(&mut request).await),
        (Method::Post, "/decode") => batch::start(&engine, &read_json(&mut request).await),
        (Method::Post, "/attach") => batch::attach(&engine, &read_json(&mut request).await),
        (Method::Post, "/cancel") => cancel(&engine, &read_json(&mut request).await),
        (Method::Post, "/fault") => set_fault(&engine, &read_json(&mut request).await),
        (Method::Get, "/held") => http::json(200, &engine.held()),
        (Method::Get, "/health") => http::json(200, &Value::Null),
        (Method::Get, path) if path.starts_with("/kv/") => prefill::export(&engine, &path[4..]).await,
        _ => http::json(404, &Value::Null),
    };
    response.insert_header("x-boot", engine.boot.to_string());
    response
}

fn cancel(engine: &Engine, body: &Value) -> Response {
    let request = body["request"].as_str().unwrap_or_default();
    let generation = engine
        .generations
        .lock()
        .expect("no holder of this lock panics")
        .remove(request);
    let was_waiting = prefill::cancel(engine, request);
    if let Some(generation) = &generation {
        generation.cancel();
        engine
            .journal
            .record("cancelled", request, json!({ "engine": engine.profile.name }));
    }
    let is_found = generation.is_some() || was_waiting;
    http::json(if is_found { 200 } else { 404 }, &Value::Null)
}

fn set_fault(engine: &Engine, body: &Value) -> Response {
    *engine.fault.lock().expect("no holder of this lock panics") = EngineFault {
        slow_percent: body["slow_percent"].as_u64().unwrap_or(0),
        stalls_transfer: body["stalls_transfer"].as_bool().unwrap_or(false),
        crosses: body["crosses"].as_bool().unwrap_or(false),
    };
    http::json(200, &Value::Null)
}
