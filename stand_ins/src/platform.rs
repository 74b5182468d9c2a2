//! Stand-in for the platform: a configuration service and a VM list, both read by long polling.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::net::TcpListener;
use http_types::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::http::{self, query_number, read_json};

/// Interval at which a waiting watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Everything published so far, and the injected faults.
#[derive(Debug, Default)]
struct Published {
    revision: u64,
    registers: Vec<(u64, String)>,
    vms_version: u64,
    vms: Value,
    /// Answers all reads with 503 while set.
    is_down: bool,
    /// Serves the newest register up to this revision while set.
    stale_revision: Option<u64>,
    /// Delay before each read is answered, in milliseconds.
    slow_ms: u64,
}

impl Published {
    fn register(&self) -> Option<(u64, &str)> {
        let wanted = self.stale_revision.unwrap_or(self.revision);
        let found = self
            .registers
            .iter()
            .rev()
            .find(|(revision, _)| *revision <= wanted);
        found.map(|(revision, text)| (*revision, text.as_str()))
    }
}

/// Shared state of the platform's handlers.
#[derive(Debug, Default)]
pub struct PlatformState {
    published: Mutex<Published>,
    reads: AtomicU64,
}

impl PlatformState {
    fn lock(&self) -> std::sync::MutexGuard<'_, Published> {
        self.published.lock().expect("no holder of this lock panics")
    }
}

/// Serves the platform on an address until the process exits; fails if the address can't be bound.
pub async fn run(listen: &str) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let state = Arc::new(PlatformState::default());
    http::serve(listener, state, answer).await;
    Ok(())
}

async fn answer(state: Arc<PlatformState>, mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, "/v1/register") => watch(&state, &request, register_after).await,
        (Method::Get, "/v1/vms") => watch(&state, &request, vms_after).await,
        (Method::Post, "/admin/register") => publish_register(&state, read_json(&mut request).await),
        (Method::Post, "/admin/vms") => publish_vms(&state, read_json(&mut request).await),
        (Method::Post, "/admin/fault") => set_fault(&state, &read_json(&mut request).await),
        (Method::Get, "/admin/reads") => {
            http::json(200, &json!({ "reads": state.reads.load(Ordering::Relaxed) }))
        }
        _ => http::json(404, &Value::Null),
    }
}

fn register_after(published: &Published, after: u64) -> Option<Value> {
    let (revision, text) = published.register()?;
    // A stale service doesn't know the newer revision that the reader has, and returns the one that it knows.
    let is_reported = revision > after || (published.stale_revision.is_some() && revision < after);
    is_reported.then(|| json!({ "revision": revision, "text": text }))
}

fn vms_after(published: &Published, after: u64) -> Option<Value> {
    let is_reported = published.vms_version > after;
    is_reported.then(|| json!({ "version": published.vms_version, "vms": published.vms }))
}

async fn watch(
    state: &PlatformState,
    request: &Request,
    find: fn(&Published, u64) -> Option<Value>,
) -> Response {
    state.reads.fetch_add(1, Ordering::Relaxed);
    let after = query_number(request, "after");
    let until = crate::journal::now_ms() + query_number(request, "wait_ms");
    let slow_ms = state.lock().slow_ms;
    async_std::task::sleep(Duration::from_millis(slow_ms)).await;
    loop {
        {
            let published = state.lock();
            if published.is_down {
                return http::json(503, &Value::Null);
            }
            if let Some(found) = find(&published, after) {
                return http::json(200, &found);
            }
        }
        if crate::journal::now_ms() >= until {
            return Response::new(StatusCode::NoContent);
        }
        async_std::task::sleep(POLL_INTERVAL).await;
    }
}

fn publish_register(state: &PlatformState, body: Value) -> Response {
    let mut published = state.lock();
    published.revision += 1;
    let revision = published.revision;
    let text = body["text"].as_str().unwrap_or_default().to_owned();
    published.registers.push((revision, text));
    http::json(200, &json!({ "revision": revision }))
}

fn publish_vms(state: &PlatformState, body: Value) -> Response {
    let mut published = state.lock();
    published.vms_version += 1;
    published.vms = body["vms"].clone();
    http::json(200, &json!({ "version": published.vms_version }))
}

fn set_fault(state: &PlatformState, body: &Value) -> Response {
    let mut published = state.lock();
    published.is_down = body["down"].as_bool().unwrap_or(false);
    published.stale_revision = body["stale_revision"].as_u64();
    published.slow_ms = body["slow_ms"].as_u64().unwrap_or(0);
    http::json(200, &Value::Null)
}
