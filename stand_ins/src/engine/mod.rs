//! An engine's stand-in: prefill with a prefix cache, KV export and import, continuous batching, resume and cancel.

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

/// A prompt with this word ends any prefill engine that runs it.
pub const PREFILL_DEATH_WORD: &str = "query-of-death-prefill";

/// A prompt with this word ends any decode engine that runs it.
pub const DECODE_DEATH_WORD: &str = "query-of-death-decode";

/// The tokens that every engine generates for a prompt.
pub fn expected_tokens(prompt: &str, seed: u64, count: u32) -> Vec<String> {
    let digest = prefill::digest(prompt, seed);
    (0..count).map(|index| batch::token_at(digest, index)).collect()
}

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineProfile {
    /// Its name, for the journal.
    pub name: String,
    /// Requests that it decodes at once.
    pub slots: usize,
    /// Prompt tokens a second.
    pub prefill_rate: u64,
    /// Time of a decode step, in microseconds.
    pub step_us: u64,
    /// More time of a step for each request in the batch, in microseconds.
    pub step_per_request_us: u64,
    /// How long an exported KV cache lives, in milliseconds.
    pub kv_life_ms: u64,
    /// Blocks of a thousand tokens that the prefix cache holds.
    pub cache_blocks: usize,
    /// Bytes of KV cache for a token, scaled down.
    pub bytes_per_token: u64,
    /// The link's rate, in bytes a second.
    pub link_rate: u64,
    /// How late reported load is, in milliseconds.
    pub report_lag_ms: u64,
    /// Time that a request is on the network, in microseconds.
    pub network_us: u64,
}

/// How an engine misbehaves.
#[derive(Clone, Debug, Default)]
pub struct EngineFault {
    /// Every step and prefill takes this many times as long, in percent; zero for no change.
    pub slow_percent: u64,
    /// Transfers never end.
    pub stalls_transfer: bool,
    /// Streams carry another request's id.
    pub crosses: bool,
}

/// An engine.
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

    /// The load as it was a while ago, as engines report it.
    fn reported_load(&self) -> u32 {
        let wanted = now_ms().saturating_sub(self.profile.report_lag_ms);
        let mut loads = self.loads.lock().expect("no holder of this lock panics");
        loads.push((now_ms(), self.load()));
        loads.retain(|(at_ms, _)| *at_ms + 10_000 > now_ms());
        let known = loads.iter().rev().find(|(at_ms, _)| *at_ms <= wanted);
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

/// Runs an engine.
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
            .note("cancelled", request, json!({ "engine": engine.profile.name }));
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
