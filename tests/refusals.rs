//! A refusal with effect "not run" must hold for the whole operation, not only for the refused attempt.

use async_std::task::block_on;
use serde_json::{Value, json};
use stand_ins::caller::{call_body, get_key};
use stand_ins::fleet::{Fleet, FleetPlan, wait_for};
use stand_ins::http::{self, Answer};

const DEADLINE_MS: u64 = 30_000;

async fn book_once(fleet: &Fleet) -> Value {
    let key = get_key(&fleet.entries[0].routed, "kitamura", "desk", "book", DEADLINE_MS)
        .await
        .expect("a key");
    let body = call_body("kitamura", "desk", "book", "pickup", Some(&key), DEADLINE_MS);
    let answer = http::post(&fleet.entries[0].routed, "/v1/call", &body)
        .await
        .expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    body
}

fn assert_outcome_unknown(answer: &Answer, code: u64) {
    assert_eq!(answer.body["code"].as_u64(), Some(code), "{answer:?}");
    assert_eq!(answer.body["effect"], "outcome unknown", "{answer:?}");
}

#[test]
fn a_repeat_that_is_refused_before_its_owner_was_asked_has_an_unknown_outcome() {
    block_on(async {
        let mut fleet = Fleet::start(FleetPlan::small()).await;
        let body = book_once(&fleet).await;
        let mut late = body.clone();
        late["deadline_ms"] = json!(1_000);
        let mut other = body.clone();
        other["workspace"] = json!("nobody");
        for entry in &fleet.entries {
            let answer = http::post(&entry.routed, "/v1/call", &late)
                .await
                .expect("an answer");
            assert_outcome_unknown(&answer, 1010);
            let answer = http::post(&entry.routed, "/v1/call", &other)
                .await
                .expect("an answer");
            assert_outcome_unknown(&answer, 1005);
        }
        fleet.platform_fault(json!({ "down": true })).await;
        for index in 0..3 {
            fleet.entries[index].process.kill();
        }
        for index in 0..3 {
            fleet.start_entry(index);
            let address = fleet.entries[index].routed.clone();
            let body = &body;
            wait_for("an entry answers", || async {
                http::get(&address, "/v1/status")
                    .await
                    .is_some_and(|answer| answer.status == 200)
            })
            .await;
            let answer = http::post(&address, "/v1/call", body).await.expect("an answer");
            assert_outcome_unknown(&answer, 2006);
        }
        assert_eq!(fleet.booking_run_count("pickup"), 1);
    });
}

#[test]
fn a_call_abandoned_before_its_start_never_runs_under_its_key() {
    block_on(async {
        let fleet = Fleet::start(FleetPlan::small()).await;
        let key = get_key(&fleet.entries[0].routed, "kitamura", "desk", "book", DEADLINE_MS)
            .await
            .expect("a key");
        let body = call_body("kitamura", "desk", "book", "pickup", Some(&key), DEADLINE_MS);
        for service in &fleet.services {
            service.process.terminate();
        }
        for service in &fleet.services {
            let address = &service.address;
            wait_for("the desk is gone", || async move {
                http::get(address, "/health").await.is_none()
            })
            .await;
        }
        let answer = http::post(&fleet.entries[1].routed, "/v1/call", &body)
            .await
            .expect("an answer");
        let is_unknown = answer.body["effect"] == "outcome unknown";
        let mut fleet = fleet;
        for name in ["desk-0", "desk-1"] {
            fleet.restart_upstream(name).await;
        }
        for entry in &fleet.entries {
            let again = http::post(&entry.routed, "/v1/call", &body)
                .await
                .expect("an answer");
            assert_ne!(again.status, 200, "it ran after all: {again:?}");
            assert_eq!(again.body["effect"] == "outcome unknown", is_unknown, "{again:?}");
        }
        assert_eq!(fleet.booking_run_count("pickup"), 0);
    });
}

#[test]
fn a_key_holds_also_when_its_operation_is_declared_safe() {
    block_on(async {
        let mut fleet = Fleet::start(FleetPlan::small()).await;
        let body = book_once(&fleet).await;
        let text = fleet.register.replace("repeat = \"never\"", "repeat = \"safe\"");
        let revision = fleet.publish_text(&text).await;
        for index in 0..3 {
            fleet.wait_revision(index, revision).await;
            let address = &fleet.entries[index].routed;
            let answer = http::post(address, "/v1/call", &body).await.expect("an answer");
            assert_eq!(answer.body["answer"]["id"], "pickup", "{answer:?}");
        }
        assert_eq!(fleet.booking_run_count("pickup"), 1);
    });
}
