//! A request that crashes each upstream that runs it is quarantined by all entry VMs, and innocent requests
//! are served.

use std::time::Duration;

use async_std::task::{block_on, sleep, spawn};
use stand_ins::caller::{StreamCaller, call_body, generate_body, get_key};
use stand_ins::engine::{DECODE_CRASH_WORD, PREFILL_CRASH_WORD, expected_tokens};
use stand_ins::fleet::{FLEET_TIMEOUT, Fleet, FleetPlan};
use stand_ins::http;
use stand_ins::service::SERVICE_CRASH_WORD;

/// The length of an innocent stream, in tokens.
const TOKENS: u32 = 80;

async fn assert_contained(word: &str) {
    let mut plan = FleetPlan::small().with_engine_arguments(&["--step-us", "20000"]);
    plan.prefills = 4;
    plan.decodes = 4;
    let mut fleet = Fleet::start(plan).await;
    let innocents: Vec<_> = (0..6)
        .map(|index| {
            let body = generate_body(
                "kitamura",
                "ash-reader",
                "ledger",
                &format!("load {index}"),
                TOKENS,
                60_000,
            );
            let mut entries = fleet.entry_addresses();
            entries.rotate_left(index % 3);
            let caller = StreamCaller::new(entries, body);
            spawn(async move { caller.run(FLEET_TIMEOUT).await })
        })
        .collect();
    sleep(Duration::from_millis(300)).await;
    let deadly_body = generate_body(
        "sadaf",
        "ash-reader",
        "urgent",
        &format!("album {word}"),
        20,
        60_000,
    );
    // The same request is sent repeatedly, to each entry in turn.
    for attempt in 0..6 {
        let entry = fleet.entries[attempt % 3].routed.clone();
        let gathered = StreamCaller::new(vec![entry], deadly_body.clone())
            .run(Duration::from_secs(8))
            .await;
        assert!(!gathered.is_complete);
        if attempt > 0 {
            assert_eq!(
                gathered.refused,
                Some(2004),
                "quarantined at every entry: {gathered:?}"
            );
        }
    }
    let mut crashed = 0;
    for engine in fleet.prefills.iter_mut().chain(&mut fleet.decodes) {
        crashed += usize::from(engine.process.exit_status().is_some());
    }
    assert!((1..=2).contains(&crashed), "{crashed} engines died");
    for (index, innocent) in innocents.into_iter().enumerate() {
        let gathered = innocent.await;
        assert!(gathered.is_complete && !gathered.is_garbled, "{gathered:?}");
        assert_eq!(
            gathered.tokens,
            expected_tokens(&format!("load {index}"), 0, TOKENS)
        );
    }
}

#[test]
fn a_prompt_that_crashes_prefill_engines_is_quarantined() {
    block_on(assert_contained(PREFILL_CRASH_WORD));
}

#[test]
fn a_prompt_that_crashes_decode_engines_is_quarantined() {
    block_on(assert_contained(DECODE_CRASH_WORD));
}

/// The deadline of a call, in milliseconds.
const CALL_DEADLINE_MS: u64 = 10_000;

/// Sends calls with the same content, which crashes desks, to each entry in turn. Run-once calls have a new
/// key each.
async fn assert_call_contained(operation: &str) {
    let mut plan = FleetPlan::small();
    plan.services = 5;
    let mut fleet = Fleet::start(plan).await;
    for attempt in 0..6 {
        let entry = fleet.entries[attempt % 3].routed.clone();
        let key = match operation {
            "book" => get_key(&entry, "kitamura", "desk", operation, CALL_DEADLINE_MS).await,
            _ => None,
        };
        let body = call_body(
            "kitamura",
            "desk",
            operation,
            SERVICE_CRASH_WORD,
            key.as_deref(),
            CALL_DEADLINE_MS,
        );
        let answer = http::post(&entry, "/v1/call", &body).await.expect("an answer");
        assert_ne!(answer.status, 200, "{answer:?}");
        let innocent = call_body(
            "kitamura",
            "desk",
            "lookup",
            &format!("slot-{attempt}"),
            None,
            CALL_DEADLINE_MS,
        );
        let answer = http::post(&entry, "/v1/call", &innocent)
            .await
            .expect("an answer");
        assert_eq!(
            answer.body["answer"]["id"],
            format!("slot-{attempt}"),
            "{answer:?}"
        );
    }
    let ended = fleet
        .services
        .iter_mut()
        .map(|desk| usize::from(desk.process.exit_status().is_some()));
    let ended: usize = ended.sum();
    assert!((1..=2).contains(&ended), "{ended} desks ended");
}

#[test]
fn a_lookup_that_crashes_desks_is_quarantined() {
    block_on(assert_call_contained("lookup"));
}

#[test]
fn a_booking_that_crashes_desks_is_quarantined() {
    block_on(assert_call_contained("book"));
}
