//! A graceful shutdown interrupts no request, even for callers that still use the leaving entry's address.

use std::time::Duration;

use async_std::task::{block_on, sleep, spawn};
use serde_json::Value;
use stand_ins::caller::{StreamCaller, call_body, generate_body, get_key};
use stand_ins::fleet::{FLEET_TIMEOUT, Fleet, FleetPlan, wait_for};
use stand_ins::http;
use stand_ins::journal::now_ms;

/// How long callers may use a resolve answer, in milliseconds.
const KEEP_MS: u64 = 1_500;

fn plan() -> FleetPlan {
    FleetPlan::small()
        .with_entry_arguments(&["--resolve-keep-ms", "1500"])
        .with_engine_arguments(&["--step-us", "20000"])
}

#[test]
fn a_leaving_entry_finishes_all_streams_and_is_no_longer_in_resolve_answers() {
    block_on(async {
        let mut fleet = Fleet::start(plan()).await;
        let leaving = fleet.entries[0].routed.clone();
        let start = |index: usize| {
            let body = generate_body(
                "kitamura",
                "ash-reader",
                "ledger",
                &format!("load {index}"),
                150,
                60_000,
            );
            let caller = StreamCaller::new(vec![leaving.clone()], body);
            spawn(async move { caller.run(FLEET_TIMEOUT).await })
        };
        let mut streams: Vec<_> = (0..8).map(start).collect();
        sleep(Duration::from_millis(300)).await;
        fleet.entries[0].process.terminate();
        let terminated_ms = now_ms();
        // Callers that resolved just before the shutdown connect for as long as they may use the answer.
        while now_ms() < terminated_ms + KEEP_MS - 400 {
            streams.push(start(streams.len()));
            sleep(Duration::from_millis(150)).await;
        }
        for entry in &fleet.entries[1..] {
            wait_for("a resolve answer without the leaving entry", || async {
                let answer = http::get(&entry.routed, "/v1/resolve?caller=x")
                    .await
                    .expect("an answer of an entry");
                let names = answer.body["addresses"].as_array().cloned().unwrap_or_default();
                !names.contains(&Value::from(leaving.clone()))
            })
            .await;
        }
        for stream in streams {
            let gathered = stream.await;
            assert!(
                gathered.is_complete && gathered.resume_count == 0,
                "interrupted: {gathered:?}"
            );
        }
        let status = fleet.entries[0]
            .process
            .wait_for_exit(FLEET_TIMEOUT)
            .await
            .expect("the entry exits by itself");
        assert_eq!(status.code(), Some(0));
    });
}

// Guards against a stop that closes the connections of callers whose generations wait for an engine, or whose calls
// still run.
#[test]
fn callers_that_wait_at_an_entry_are_answered_before_it_exits() {
    block_on(async {
        let plan = FleetPlan::small()
            .with_entry_arguments(&["--resolve-keep-ms", "200", "--drain-limit-ms", "1500"])
            .with_engine_arguments(&["--step-us", "200000"]);
        let plan = FleetPlan {
            slots: 2,
            service_arguments: ["--latency-ms", "10000"].map(str::to_owned).to_vec(),
            ..plan
        };
        let mut fleet = Fleet::start(plan).await;
        let leaving = fleet.entries[0].routed.clone();
        let start = |index: usize| {
            let payload = format!("load {index}");
            let body = generate_body("kitamura", "ash-reader", "ledger", &payload, 300, 60_000);
            let address = leaving.clone();
            spawn(
                async move { http::open(&address, http::post_request(&address, "/v1/generate", &body)).await },
            )
        };
        let mut streams: Vec<_> = (0..40).map(start).collect();
        let key = get_key(&leaving, "kitamura", "desk", "book", 60_000)
            .await
            .expect("a key");
        let calls = [("book", Some(&*key)), ("lookup", None)].map(|(operation, key)| {
            let body = call_body("kitamura", "desk", operation, "slow", key, 20_000);
            let address = leaving.clone();
            spawn(async move { http::post(&address, "/v1/call", &body).await })
        });
        sleep(Duration::from_millis(300)).await;
        fleet.entries[0].process.terminate();
        let mut refused_count = 0;
        for stream in streams.drain(..) {
            let response = stream.await.expect("a head");
            refused_count += usize::from(response.status() == 503);
        }
        assert!(refused_count > 0, "some waited for an engine");
        for call in calls {
            let answer = call.await.expect("an answer");
            assert_eq!(answer.body["effect"], "outcome unknown", "{answer:?}");
        }
        let status = fleet.entries[0].process.wait_for_exit(FLEET_TIMEOUT).await;
        assert_eq!(status.expect("the entry exits by itself").code(), Some(0));
    });
}

#[test]
fn peers_know_the_outcomes_of_the_keys_of_an_owner_that_has_left() {
    block_on(async {
        let mut fleet = Fleet::start(plan()).await;
        let owner = fleet.entries[0].routed.clone();
        let ran = get_key(&owner, "kitamura", "desk", "book", 60_000)
            .await
            .expect("a key");
        let unused = get_key(&owner, "kitamura", "desk", "book", 60_000)
            .await
            .expect("a key");
        let body = |id: &str, key: &str| call_body("kitamura", "desk", "book", id, Some(key), 20_000);
        let first = http::post(&owner, "/v1/call", &body("ran", &ran))
            .await
            .expect("an answer");
        fleet.entries[0].process.terminate();
        fleet.entries[0]
            .process
            .wait_for_exit(FLEET_TIMEOUT)
            .await
            .expect("the entry exits by itself");
        for entry in &fleet.entries[1..] {
            let again = http::post(&entry.routed, "/v1/call", &body("ran", &ran))
                .await
                .expect("an answer");
            assert_eq!(again.body["answer"], first.body["answer"], "{again:?}");
            let never = http::post(&entry.routed, "/v1/call", &body("unused", &unused))
                .await
                .expect("an answer");
            assert_eq!(never.body["effect"], "not run", "{never:?}");
        }
        assert_eq!(
            (fleet.booking_run_count("ran"), fleet.booking_run_count("unused")),
            (1, 0)
        );
    });
}

#[test]
fn a_leaving_entry_refuses_late_callers_and_names_other_entries() {
    block_on(async {
        let fleet = Fleet::start(plan()).await;
        let leaving = fleet.entries[0].routed.clone();
        let body = generate_body("kitamura", "ash-reader", "ledger", "long", 250, 60_000);
        let caller = StreamCaller::new(vec![leaving.clone()], body.clone());
        let running = spawn(async move { caller.run(FLEET_TIMEOUT).await });
        sleep(Duration::from_millis(300)).await;
        fleet.entries[0].process.terminate();
        sleep(Duration::from_millis(KEEP_MS + 300)).await;
        let answer = http::post(&leaving, "/v1/generate", &body)
            .await
            .expect("an answer of the leaving entry");
        assert_eq!(
            (answer.body["code"].as_u64(), answer.body["effect"].as_str()),
            (Some(2005), Some("not run"))
        );
        assert_eq!(answer.body["use_instead"].as_array().map(Vec::len), Some(2));
        assert!(running.await.is_complete);
    });
}
