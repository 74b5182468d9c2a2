//! Polls the engines that this node owns for the requests that they hold, and cancels orphans.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use super::TrafficContext;
use super::upstream::{exchange, get, post_json, read_body};
use crate::clock;
use crate::controllers::reaping::{HeldRequest, OrphanTracker, REAP_INTERVAL_MS};
use crate::controllers::slots::PlacementPolicy;
use crate::prelude::*;

/// Timeout for one call to an engine, in milliseconds.
const ENGINE_TIMEOUT_MS: u64 = 800;

/// Limit for the length of an engine's list, in bytes.
const LIST_LIMIT_BYTES: usize = 1_000_000;

/// An engine's list of the requests that it holds, and its load.
#[derive(Debug, Deserialize)]
struct HeldList {
    held: Vec<HeldEntry>,
    load: u32,
}

/// A request held by an engine; `detached_ms` is the time since its stream lost its reader.
#[derive(Debug, Deserialize)]
struct HeldEntry {
    request: String,
    detached_ms: Option<u64>,
}

/// Polls engines and cancels orphans for as long as the process runs.
pub async fn reap_orphans(context: Arc<TrafficContext>) {
    let mut trackers: FastMap<String, OrphanTracker> = FastMap::default();
    loop {
        async_std::task::sleep(Duration::from_millis(REAP_INTERVAL_MS)).await;
        let snapshot = context.snapshot();
        // The reports of all engines are needed only by the policy that places by reported load.
        let reads_all = context.settings.policy == PlacementPolicy::TwoChoicesReported;
        let engines: Vec<&Upstream> = snapshot
            .register
            .upstreams
            .iter()
            .filter(|upstream| upstream.engine().is_some())
            .filter(|upstream| reads_all || snapshot.owns(&context.own.name, &upstream.name))
            .collect();
        trackers.retain(|name, _| engines.iter().any(|engine| engine.name == *name));
        let lists = futures::future::join_all(engines.iter().map(|engine| fetch_held(&engine.address))).await;
        for (engine, list) in engines.iter().zip(lists) {
            let Some(list) = list else { continue };
            context.control.send_event(Event::LoadReported {
                upstream: engine.name.as_str().into(),
                load: list.load,
            });
            let tracker = trackers.entry(engine.name.clone()).or_default();
            cancel_orphans(&context, engine, tracker, list).await;
        }
    }
}

async fn fetch_held(address: &str) -> Option<HeldList> {
    let request = get(address, "/held")?;
    let deadline = clock::now().after_ms(ENGINE_TIMEOUT_MS);
    let mut response = exchange(address, request, deadline).await.ok()?;
    let limit = clock::now().remaining(deadline);
    let body = async_std::future::timeout(limit, read_body(&mut response, LIST_LIMIT_BYTES)).await;
    serde_json::from_slice(&body.ok().flatten()?).ok()
}

async fn cancel_orphans(
    context: &TrafficContext,
    engine: &Upstream,
    tracker: &mut OrphanTracker,
    list: HeldList,
) {
    let snapshot = context.snapshot();
    let held: Vec<HeldRequest> = list
        .held
        .into_iter()
        .map(|entry| HeldRequest {
            request: entry.request.into(),
            detached_ms: entry.detached_ms,
        })
        .collect();
    let window_ms = context.settings.resume_window_ms;
    let orphans = tracker.find_orphans(&held, |vm| snapshot.is_live(vm), window_ms, clock::now());
    for request in orphans {
        let cancellation = post_json(
            &engine.address,
            "/cancel",
            &serde_json::json!({ "request": &*request, "from": 0 }),
        );
        let Some(cancellation) = cancellation else {
            continue;
        };
        let deadline = clock::now().after_ms(ENGINE_TIMEOUT_MS);
        let is_done = exchange(&engine.address, cancellation, deadline).await.is_ok();
        spdlog::info!(
            "event=orphan_cancelled engine={} request={request} done={is_done}",
            engine.name
        );
    }
}
