//! End-to-end tests across separate processes: resolve, a streamed generation, a lookup and a run-once call.

use async_std::task::block_on;
use stand_ins::caller::{StreamCaller, StreamTranscript, call_body, generate_body, get_key};
use stand_ins::fleet::{FLEET_TIMEOUT, Fleet, FleetPlan, wait_for};
use stand_ins::http;

/// Deadline of each request, in milliseconds from its start.
const DEADLINE_MS: u64 = 30_000;

async fn run_stream(fleet: &Fleet, prompt: &str, max_tokens: u32) -> StreamTranscript {
    let body = generate_body(
        "kitamura",
        "ash-reader",
        "ledger",
        prompt,
        max_tokens,
        DEADLINE_MS,
    );
    StreamCaller::new(fleet.entry_addresses(), body)
        .run(FLEET_TIMEOUT)
        .await
}

#[test]
fn a_stream_is_whole_and_the_same_through_any_engine() {
    block_on(async {
        let fleet = Fleet::start(FleetPlan::small()).await;
        let first = run_stream(&fleet, "kiln ash of ten loads", 30).await;
        let second = run_stream(&fleet, "kiln ash of ten loads", 30).await;
        assert!(first.is_complete && !first.is_garbled, "{first:?}");
        assert_eq!(first.tokens.len(), 30);
        assert_eq!(first.tokens, second.tokens);
        let journals = fleet.journals();
        let transferred = journals
            .iter()
            .filter(|line| line.event == "decode_began")
            .count();
        assert_eq!(
            transferred, 2,
            "each stream's KV cache is transferred to a decode engine"
        );
        wait_for("engines hold nothing", || async { fleet.held().await == 0 }).await;
    });
}

#[test]
fn resolve_names_entries_of_the_callers_zone_first() {
    block_on(async {
        let fleet = Fleet::start(FleetPlan::small()).await;
        for zone in ["asahikawa", "furano", "nayoro"] {
            let path = format!("/v1/resolve?caller=truck-7&zone={zone}");
            let answer = http::get(&fleet.entries[0].routed, &path)
                .await
                .expect("an answer of an entry");
            let wanted = fleet
                .entries
                .iter()
                .find(|entry| entry.zone == zone)
                .map(|entry| entry.routed.as_str());
            assert_eq!(answer.body["addresses"][0].as_str(), wanted);
            assert_eq!(answer.body["addresses"].as_array().map(Vec::len), Some(3));
            assert!(answer.body["keep_until_ms"].as_u64() > answer.body["now_ms"].as_u64());
        }
    });
}

#[test]
fn a_booking_sent_to_every_entry_runs_once_and_answers_alike() {
    block_on(async {
        let fleet = Fleet::start(FleetPlan::small()).await;
        let key = get_key(&fleet.entries[0].routed, "kitamura", "desk", "book", DEADLINE_MS).await;
        let book = call_body(
            "kitamura",
            "desk",
            "book",
            "pickup-1",
            key.as_deref(),
            DEADLINE_MS,
        );
        let sent = fleet
            .entries
            .iter()
            .map(|entry| http::post(&entry.routed, "/v1/call", &book));
        let answers = futures::future::join_all(sent).await;
        for answer in &answers {
            let answer = answer.as_ref().expect("an answer of an entry");
            assert_eq!(answer.body["answer"]["id"], "pickup-1", "{answer:?}");
            assert_eq!(answer.body["effect"], "ran");
        }
        assert_eq!(fleet.booking_run_count("pickup-1"), 1);
        let lookup = call_body("sadaf", "desk", "lookup", "slot-9", None, DEADLINE_MS);
        let answer = http::post(&fleet.entries[1].routed, "/v1/call", &lookup)
            .await
            .expect("an answer of an entry");
        assert_eq!(answer.body["answer"]["id"], "slot-9");
    });
}
