//! Open-loop load: sends the requests of a trace at their times, however slow the fleet is, and slows
//! replicas down.

use std::time::{Duration, Instant};

use async_std::task::{JoinHandle, sleep, spawn};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use super::workload::{Arrival, ArrivalKind, UserProfile};
use crate::caller::{Opened, call_body, generate_body, get_key, open_stream};
use crate::fleet::Fleet;
use crate::http;

/// Deadline of a stream, in milliseconds from its start, and the longest silence that its caller tolerates.
const STREAM_LIMIT_MS: u64 = 20_000;

/// Deadline of a call, in milliseconds from its start.
const CALL_LIMIT_MS: u64 = 5_000;

/// Duration of a slowed engine's steps and prefills, in percent of the normal one.
const SLOW_PERCENT: u64 = 400;

/// How long one choice of slowed replicas lasts, in milliseconds.
const SLOW_SPAN_MS: u64 = 2_000;

/// Outcome of a request, as its caller observed it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestOutcome {
    /// Whether the complete answer was received.
    pub is_complete: bool,
    /// Code of the refusal; zero if it wasn't refused.
    pub refused: u64,
    /// Time to the first token of a stream or to the answer of a call, in microseconds.
    pub first_us: u64,
    /// Mean time between tokens, in microseconds; zero for calls.
    pub gap_us: u64,
}

/// Sends all requests of a trace; returns their outcomes in the order of the trace.
pub async fn run_trace(fleet: &Fleet, profile: &UserProfile, arrivals: &[Arrival]) -> Vec<RequestOutcome> {
    let began = Instant::now();
    let mut running = Vec::new();
    for (index, arrival) in arrivals.iter().enumerate() {
        let due = Duration::from_millis(arrival.at_ms);
        sleep(due.saturating_sub(began.elapsed())).await;
        let entry = fleet.entries[arrival.entry].routed.clone();
        let (arrival, profile) = (arrival.clone(), profile.clone());
        running.push(spawn(
            async move { send(&entry, &profile, &arrival, index).await },
        ));
    }
    futures::future::join_all(running).await
}

async fn send(entry: &str, profile: &UserProfile, arrival: &Arrival, index: usize) -> RequestOutcome {
    let caller_delay = Duration::from_millis(profile.caller_ms);
    let began = Instant::now();
    sleep(caller_delay).await;
    let mut outcome = match &arrival.kind {
        ArrivalKind::Stream {
            class,
            family,
            prefix_tokens,
            own_tokens,
            answer_tokens,
        } => {
            let prompt = make_prompt(*family, *prefix_tokens, index, *own_tokens);
            let tokens = *answer_tokens as u32;
            let body = generate_body(
                profile.workspace,
                "ash-reader",
                class,
                &prompt,
                tokens,
                STREAM_LIMIT_MS,
            );
            stream(entry, &body, began).await
        }
        ArrivalKind::Lookup => {
            let body = call_body(
                profile.workspace,
                "desk",
                "lookup",
                &index.to_string(),
                None,
                CALL_LIMIT_MS,
            );
            call(entry, &body, began).await
        }
        ArrivalKind::Booking => {
            let key = get_key(entry, profile.workspace, "desk", "book", CALL_LIMIT_MS).await;
            let id = index.to_string();
            let body = call_body(
                profile.workspace,
                "desk",
                "book",
                &id,
                key.as_deref(),
                CALL_LIMIT_MS,
            );
            call(entry, &body, began).await
        }
    };
    outcome.first_us += caller_delay.as_micros() as u64;
    outcome
}

/// A prompt with the prefix of its family, followed by words that only this request has.
fn make_prompt(family: u64, prefix_tokens: u64, index: usize, own_tokens: u64) -> String {
    let mut prompt = format!("f{family} ").repeat(prefix_tokens as usize);
    prompt.push_str(&format!("u{index} ").repeat(own_tokens as usize));
    prompt
}

async fn stream(entry: &str, body: &serde_json::Value, began: Instant) -> RequestOutcome {
    let mut outcome = RequestOutcome::default();
    let mut stream = match open_stream(entry, body, None).await {
        Opened::Stream(stream) => stream,
        Opened::Refused(answer) => {
            outcome.refused = answer.body["code"].as_u64().unwrap_or(0);
            return outcome;
        }
        Opened::NoAnswer => return outcome,
    };
    let mut first = None;
    let mut last = began;
    let mut tokens = 0;
    while let Some(event) = stream.next(Duration::from_millis(STREAM_LIMIT_MS)).await {
        match event.kind.as_str() {
            "complete" => {
                outcome.is_complete = true;
                break;
            }
            "refused" => {
                outcome.refused = event.data["code"].as_u64().unwrap_or(0);
                break;
            }
            _ => {
                last = Instant::now();
                first.get_or_insert(last);
                tokens += 1;
            }
        }
    }
    if let Some(first) = first {
        outcome.first_us = (first - began).as_micros() as u64;
        outcome.gap_us = (last - first).as_micros() as u64 / (tokens - 1).max(1);
    }
    outcome
}

async fn call(entry: &str, body: &serde_json::Value, began: Instant) -> RequestOutcome {
    let answer = http::post(entry, "/v1/call", body).await;
    let refused = answer
        .as_ref()
        .and_then(|answer| answer.body["code"].as_u64())
        .unwrap_or(0);
    RequestOutcome {
        is_complete: answer.is_some_and(|answer| answer.status == 200),
        refused,
        first_us: began.elapsed().as_micros() as u64,
        gap_us: 0,
    }
}

/// Slows one engine (about one in ten) and one service down at a time, chosen at random every `SLOW_SPAN_MS`.
pub fn start_stragglers(fleet: &Fleet, seed: u64, seconds: u64) -> JoinHandle<()> {
    let addresses = |upstreams: &[crate::fleet::FleetUpstream]| -> Vec<String> {
        upstreams
            .iter()
            .map(|upstream| upstream.address.clone())
            .collect()
    };
    let mut engines = addresses(&fleet.prefills);
    engines.extend(addresses(&fleet.decodes));
    let services = addresses(&fleet.services);
    let mut random = SmallRng::seed_from_u64(seed ^ 0x57a6);
    spawn(async move {
        for _ in 0..seconds * 1_000 / SLOW_SPAN_MS {
            let slow = random.random_range(0..engines.len());
            let slow_service = random.random_range(0..services.len());
            let fault = json!({ "slow_percent": SLOW_PERCENT });
            http::post(&engines[slow], "/fault", &fault).await;
            http::post(&services[slow_service], "/fault", &json!({ "before_ms": 100 })).await;
            sleep(Duration::from_millis(SLOW_SPAN_MS)).await;
            http::post(&engines[slow], "/fault", &json!({})).await;
            http::post(&services[slow_service], "/fault", &json!({})).await;
        }
    })
}
