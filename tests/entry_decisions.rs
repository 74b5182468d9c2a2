//! Each kind of event that the entry role's controllers react to is told by somebody, on real processes.

use std::collections::BTreeMap;

use async_std::task::block_on;
use serde_json::json;
use stand_ins::caller::{StreamCaller, call_body, generate_body, get_key};
use stand_ins::fleet::{Fleet, FleetPlan, PATIENCE, wait_for};
use stand_ins::http;
use stand_ins::service::DESK_DEATH_WORD;

const DEADLINE_MS: u64 = 20_000;

/// Kinds that the controllers of an entry hear and nobody has to tell there, with the reason.
const NOT_NEEDED: [(&str, &str); 4] = [
    (
        "replica_replaced",
        "upstreams stand in the register; each answer of an engine tells its start",
    ),
    ("replicas_read", "there is no list of replicas"),
    (
        "config_reachable",
        "an entry that can't read the service refuses nothing for that; its peers' word is asked for at once",
    ),
    (
        "register_unreadable",
        "the service numbers each text itself; what can't be read of one is refused with its faults",
    ),
];

/// Kinds that some controller hears and that were told at no entry so far.
async fn find_missing_kinds(fleet: &Fleet) -> Vec<String> {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for entry in &fleet.entries {
        let answer = http::get(&entry.address, "/metrics").await;
        let text = answer.and_then(|answer| answer.body.as_str().map(str::to_owned));
        for line in text.unwrap_or_default().lines() {
            let is_subscribed = line.starts_with("control_events") && line.contains("heard=\"true\"");
            let kind = line
                .split("kind=\"")
                .nth(1)
                .and_then(|rest| rest.split('"').next());
            if let (true, Some(kind)) = (is_subscribed, kind) {
                let count: u64 = line
                    .rsplit(' ')
                    .next()
                    .and_then(|count| count.parse().ok())
                    .unwrap_or(0);
                *counts.entry(kind.to_owned()).or_default() += count;
            }
        }
    }
    assert!(counts.len() > 15, "the metrics name what is heard: {counts:?}");
    let missing = counts
        .into_iter()
        .filter(|(_, count)| *count == 0)
        .map(|(kind, _)| kind);
    missing
        .filter(|kind| NOT_NEEDED.iter().all(|(name, _)| name != kind))
        .collect()
}

async fn call(address: &str, operation: &str, id: &str, key: Option<&str>) -> Option<http::Answer> {
    let body = call_body("kitamura", "desk", operation, id, key, DEADLINE_MS);
    http::post(address, "/v1/call", &body).await
}

#[test]
fn an_entry_receives_each_kind_of_event_that_its_controllers_subscribe_to() {
    block_on(async {
        let mut plan = FleetPlan::small();
        plan.services = 4;
        let mut fleet = Fleet::start(plan).await;
        let entries = fleet.entry_addresses();
        let body = generate_body("kitamura", "ash-reader", "ledger", "ten loads", 10, DEADLINE_MS);
        let stream = StreamCaller::new(entries.clone(), body).run(PATIENCE).await;
        assert!(stream.is_whole, "{stream:?}");
        // A key that is used at another entry, and one that is revoked.
        let key = get_key(&entries[0], "kitamura", "desk", "book", DEADLINE_MS).await;
        call(&entries[1], "book", "pickup-1", key.as_deref())
            .await
            .expect("an answer");
        let key = get_key(&entries[0], "kitamura", "desk", "book", DEADLINE_MS).await;
        let revoked = json!({ "workspace": "kitamura", "service": "desk", "operation": "book", "key": key });
        http::post(&entries[0], "/v1/keys/revoke", &revoked)
            .await
            .expect("an answer");
        // A desk that ends under a lookup, whose repeat is a careful run and comes to its end.
        http::post(
            &fleet.services[0].address,
            "/fault",
            &json!({ "dies_before": true }),
        )
        .await;
        wait_for("a desk ended", || async {
            call(&entries[0], "lookup", "slot-1", None).await;
            http::get(&fleet.services[0].address, "/health").await.is_none()
        })
        .await;
        call(&entries[0], "lookup", DESK_DEATH_WORD, None).await;
        wait_for("loads were looked at", || async {
            !find_missing_kinds(&fleet)
                .await
                .contains(&"load_reported".to_owned())
        })
        .await;
        fleet.entries[2].process.kill();
        wait_for("all but the leaving was told", || async {
            find_missing_kinds(&fleet).await == ["leave_ordered"]
        })
        .await;
        fleet.entries[1].process.terminate();
        wait_for("the leaving was told", || async {
            find_missing_kinds(&fleet).await.is_empty()
        })
        .await;
    });
}
