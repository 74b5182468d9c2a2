//! Overhead of an entry: added latency against direct requests to the same stand-ins, processor time per
//! token, and memory per stream.

use std::path::Path;
use std::time::{Duration, Instant};

use async_std::task::{JoinHandle, sleep, spawn};
use serde_json::json;

use crate::caller::{CallerStream, Opened, call_body, generate_body, open_stream};
use crate::demo::build_entry;
use crate::fleet::{Fleet, FleetPlan};
use crate::http;

/// Number of calls of one latency measurement.
const CALLS: usize = 1_000;

/// Number of streams of one latency measurement.
const STREAMS: usize = 200;

/// Number of background streams while latency under load is measured.
const BACKGROUND_STREAMS: usize = 500;

/// Duration of the processor time measurement, in seconds.
const MEASURE_SPAN_S: u64 = 8;

/// Deadline of every request, in milliseconds from its start.
const REQUEST_LIMIT_MS: u64 = 600_000;

/// Units of `/proc`: memory is counted in pages, processor time in clock ticks.
const PAGE_BYTES: u64 = 4_096;
const TICKS_PER_SECOND: f64 = 100.0;

/// Runs all measurements and prints them; `open_streams` is the number of streams for the memory figure.
pub async fn run(open_streams: usize) -> std::io::Result<()> {
    build_entry()?;
    measure_latency().await;
    measure_relay().await;
    measure_memory(open_streams).await;
    Ok(())
}

/// Starts one entry, one prefill engine, two decode engines and one desk, with this step time in
/// microseconds.
async fn start(step_us: u64, slots: usize) -> Fleet {
    let (step, slot_count) = (step_us.to_string(), slots.to_string());
    let mut plan = FleetPlan::small().with_engine_arguments(&[
        "--step-us",
        &step,
        "--step-per-request-us",
        "0",
        "--slots",
        &slot_count,
        "--prefill-rate",
        "10000000",
    ]);
    plan.entries = 1;
    plan.prefills = 1;
    plan.decodes = 2;
    plan.services = 1;
    plan.slots = slots as u32;
    plan.is_direct = true;
    plan.service_arguments = vec!["--latency-ms".to_owned(), "0".to_owned()];
    Fleet::start(plan).await
}

fn percentile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let rank = (values.len() * percent).div_ceil(100).max(1) - 1;
    values.get(rank).copied().unwrap_or(0)
}

fn print_row(what: &str, direct: &mut [u64], through: &mut [u64]) {
    for percent in [50, 99] {
        let (direct, through) = (percentile(direct, percent), percentile(through, percent));
        let added = through as i64 - direct as i64;
        let ratio = through as f64 / direct.max(1) as f64;
        println!(
            "{what}: p{percent} direct {direct} us, through an entry {through} us, added {added} us, ratio {ratio:.2}"
        );
    }
}

async fn measure_latency() {
    let fleet = start(100_000, 1_000).await;
    lookups(&fleet, "lookup, idle").await;
    first_tokens(&fleet, "first token, idle").await;
    let background = open_streams_in_background(&fleet, BACKGROUND_STREAMS, 400).await;
    lookups(&fleet, "lookup, beside 500 streams").await;
    first_tokens(&fleet, "first token, beside 500 streams").await;
    for stream in background {
        stream.cancel().await;
    }
}

async fn lookups(fleet: &Fleet, what: &str) {
    let (entry, desk) = (&fleet.entries[0].routed, &fleet.services[0].address);
    let (mut direct, mut through) = (Vec::new(), Vec::new());
    for index in 0..CALLS {
        let payload = json!({ "id": index.to_string(), "echo": index });
        let began = Instant::now();
        http::post(desk, "/op/lookup", &payload).await;
        direct.push(began.elapsed().as_micros() as u64);
        let body = call_body(
            "kitamura",
            "desk",
            "lookup",
            &index.to_string(),
            None,
            REQUEST_LIMIT_MS,
        );
        let began = Instant::now();
        http::post(entry, "/v1/call", &body).await;
        through.push(began.elapsed().as_micros() as u64);
    }
    print_row(what, &mut direct, &mut through);
}

/// Time to the first token if the caller sends prefill and decode to the engines itself, in microseconds.
async fn first_token_directly(fleet: &Fleet, index: usize) -> Option<u64> {
    let (prefill, decode) = (&fleet.prefills[0].address, &fleet.decodes[0].address);
    let request = format!("direct~{index}");
    let began = Instant::now();
    let order = json!({ "request": request, "prompt": "ash ledger", "seed": 0 });
    let prefilled = http::open(prefill, http::post_request(prefill, "/prefill", &order)).await?;
    CallerStream::new(prefilled).next(Duration::from_secs(5)).await?;
    let order = json!({ "request": request, "source": prefill, "kv": request, "max_tokens": 1, "skip": 0 });
    let decoded = http::open(decode, http::post_request(decode, "/decode", &order)).await?;
    CallerStream::new(decoded).next(Duration::from_secs(5)).await?;
    Some(began.elapsed().as_micros() as u64)
}

async fn first_tokens(fleet: &Fleet, what: &str) {
    let (mut direct, mut through) = (Vec::new(), Vec::new());
    for index in 0..STREAMS {
        direct.extend(first_token_directly(fleet, index).await);
        let body = generate_body(
            "kitamura",
            "ash-reader",
            "urgent",
            "ash ledger",
            1,
            REQUEST_LIMIT_MS,
        );
        let began = Instant::now();
        if let Opened::Stream(mut stream) = open_stream(&fleet.entries[0].routed, &body, None).await
            && stream.next(Duration::from_secs(5)).await.is_some()
        {
            through.push(began.elapsed().as_micros() as u64);
        }
    }
    print_row(what, &mut direct, &mut through);
}

/// Opens streams and reads them in background tasks; those that are refused are left out.
async fn open_streams_in_background(fleet: &Fleet, count: usize, tokens: u32) -> Vec<JoinHandle<()>> {
    let mut held = Vec::new();
    for index in 0..count {
        let body = generate_body(
            "kitamura",
            "ash-reader",
            "ledger",
            &format!("load {index}"),
            tokens,
            REQUEST_LIMIT_MS,
        );
        let Opened::Stream(mut stream) = open_stream(&fleet.entries[0].routed, &body, None).await else {
            continue;
        };
        held.push(spawn(async move {
            while stream.next(Duration::from_secs(60)).await.is_some() {}
        }));
    }
    sleep(Duration::from_secs(1)).await;
    held
}

/// User and system time of a process, in seconds.
pub fn processor_seconds(id: u32) -> f64 {
    stat_seconds(Path::new(&format!("/proc/{id}/stat")))
}

/// User and system time in a `stat` file of `/proc`, in seconds; zero if it can't be read.
pub fn stat_seconds(path: &Path) -> f64 {
    let stat = std::fs::read_to_string(path).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse().ok())
        .collect();
    fields.iter().sum::<f64>() / TICKS_PER_SECOND
}

/// Resident memory of a process, in bytes; zero if it can't be read.
pub fn resident_bytes(id: u32) -> u64 {
    let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
    let pages: u64 = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0);
    pages * PAGE_BYTES
}

async fn measure_relay() {
    let fleet = start(125_000, 1_000).await;
    let streams = open_streams_in_background(&fleet, BACKGROUND_STREAMS, 400).await;
    let id = fleet.entries[0].process.id();
    let before = processor_seconds(id);
    sleep(Duration::from_secs(MEASURE_SPAN_S)).await;
    let cores = (processor_seconds(id) - before) / MEASURE_SPAN_S as f64;
    let tokens = streams.len() as f64 * 8.0;
    println!(
        "relay: {} streams, {tokens:.0} tokens/s, {cores:.3} cores; 4,000 tokens/s take {:.3} cores",
        streams.len(),
        cores * 4_000.0 / tokens
    );
    for stream in streams {
        stream.cancel().await;
    }
}

async fn measure_memory(count: usize) {
    // Two decode engines share the streams.
    let fleet = start(2_000_000, count.div_ceil(2)).await;
    let id = fleet.entries[0].process.id();
    let before = resident_bytes(id);
    let streams = open_streams_in_background(&fleet, count, 400).await;
    let after = resident_bytes(id);
    let each = (after - before) / streams.len().max(1) as u64;
    println!(
        "memory: {} MB idle, {} MB with {} open streams, {each} bytes a stream",
        before / 1_000_000,
        after / 1_000_000,
        streams.len()
    );
    for stream in streams {
        stream.cancel().await;
    }
}
