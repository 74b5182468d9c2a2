//! The demonstration: starts a small system, sends streams and calls through it, and prints its operator
//! reports.

use std::process::Command;
use std::time::Duration;

use serde_json::Value;

use crate::caller::{StreamCaller, StreamTranscript, call_body, generate_body, get_key};
use crate::fleet::{FLEET_TIMEOUT, Fleet, FleetPlan};
use crate::http;

/// Deadline of each request, in milliseconds from its start.
const REQUEST_LIMIT_MS: u64 = 30_000;

/// Time from the start of the second round of streams until an entry is killed.
const MID_STREAM: Duration = Duration::from_millis(600);

/// Tokens of each generated answer.
const ANSWER_TOKENS: u32 = 40;

/// Runs the demonstration with this many streams a round, and as many lookups and bookings.
pub async fn run(requests: usize) -> std::io::Result<()> {
    build_entry()?;
    println!("starting: platform, 3 entries, 2 prefill and 2 decode engines, 2 booking desks");
    let plan = FleetPlan::small().with_entry_arguments(&["--resolve-keep-ms", "500"]);
    let mut fleet = Fleet::start(plan).await;
    let entry = &fleet.entries[0].routed;
    let resolved = http::get(entry, "/v1/resolve?caller=demo&zone=furano").await;
    println!(
        "/v1/resolve returned {}",
        resolved.map_or(Value::Null, |answer| answer.body["addresses"].clone())
    );
    let transcripts = start_streams(&fleet, requests).await;
    print_streams(&transcripts, "streams");
    send_calls(&fleet, requests).await;
    let running = async_std::task::spawn(start_streams(&fleet, requests));
    async_std::task::sleep(MID_STREAM).await;
    println!("killing entry-0 during {requests} streams");
    fleet.entries[0].process.kill();
    print_streams(&running.await, "streams during the kill");
    for entry in &fleet.entries[1..] {
        println!("\n--- report of {} ---", entry.name);
        if let Some(Value::String(report)) = http::get(&entry.address, "/v1/report")
            .await
            .map(|answer| answer.body)
        {
            print!("{report}");
        }
    }
    shut_down_entries(&mut fleet).await;
    Ok(())
}

/// Shuts the remaining entries down gracefully and prints their exit codes.
async fn shut_down_entries(fleet: &mut Fleet) {
    println!();
    for entry in &mut fleet.entries[1..] {
        entry.process.terminate();
        let status = entry.process.wait_for_exit(FLEET_TIMEOUT).await;
        let code = status.and_then(|status| status.code());
        println!("{} was sent SIGTERM and exited with code {code:?}", entry.name);
    }
}

/// Builds the daemon into the folder of this program, from which fleets start it.
pub fn build_entry() -> std::io::Result<()> {
    let mut command = Command::new(env!("CARGO"));
    command.args([
        "build",
        "--quiet",
        "--package",
        "dotterelspan",
        "--bin",
        "dotterelspan",
    ]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    let status = command.status()?;
    if status.success() {
        return Ok(());
    }
    Err(std::io::Error::other("building the daemon failed"))
}

/// Sends streams through all entries; the returned future doesn't borrow the fleet.
fn start_streams(
    fleet: &Fleet,
    requests: usize,
) -> impl Future<Output = Vec<StreamTranscript>> + Send + use<> {
    let entries = fleet.entry_addresses();
    let streams = (0..requests).map(move |index| {
        let mut entries = entries.clone();
        entries.rotate_left(index % 3);
        async move {
            let prompt = format!("{} pickup {index}", "kiln ash ledger ".repeat(400));
            let body = generate_body(
                "kitamura",
                "ash-reader",
                "ledger",
                &prompt,
                ANSWER_TOKENS,
                REQUEST_LIMIT_MS,
            );
            let limit = Duration::from_millis(REQUEST_LIMIT_MS);
            StreamCaller::new(entries, body).run(limit).await
        }
    });
    futures::future::join_all(streams)
}

fn print_streams(transcripts: &[StreamTranscript], what: &str) {
    let whole = transcripts
        .iter()
        .filter(|stream| stream.is_complete && !stream.is_garbled)
        .count();
    let resume_count: u32 = transcripts.iter().map(|stream| stream.resume_count).sum();
    let sample: String = transcripts
        .first()
        .map(|stream| stream.tokens.iter().take(4).cloned().collect())
        .unwrap_or_default();
    println!(
        "{what}: {whole} of {} complete, {resume_count} resumed; first tokens: {sample}...",
        transcripts.len()
    );
}

async fn send_calls(fleet: &Fleet, requests: usize) {
    let mut booked = 0;
    let mut found = 0;
    for index in 0..requests {
        let entry = &fleet.entries[index % 3].routed;
        let other = &fleet.entries[(index + 1) % 3].routed;
        let id = format!("pickup-{index}");
        let lookup = call_body("kitamura", "desk", "lookup", &id, None, REQUEST_LIMIT_MS);
        found += usize::from(
            http::post(entry, "/v1/call", &lookup)
                .await
                .is_some_and(|answer| answer.status == 200),
        );
        let Some(key) = get_key(entry, "kitamura", "desk", "book", REQUEST_LIMIT_MS).await else {
            continue;
        };
        let book = call_body("kitamura", "desk", "book", &id, Some(&key), REQUEST_LIMIT_MS);
        // The booking is sent to two entries with one key: it runs once, and both return the same answer.
        let first = http::post(entry, "/v1/call", &book).await;
        let second = http::post(other, "/v1/call", &book).await;
        let is_same = first
            .zip(second)
            .is_some_and(|(first, second)| first.body["answer"] == second.body["answer"]);
        booked += usize::from(is_same && fleet.booking_run_count(&id) == 1);
    }
    println!("lookups: {found} of {requests} answered");
    println!("bookings: {booked} of {requests} sent twice and run once");
}
