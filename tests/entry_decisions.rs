//! On real processes, something sends each kind of event that the controllers of an entry subscribe to.

use std::collections::BTreeMap;

use async_std::task::block_on;
use serde_json::json;
use stand_ins::caller::{StreamCaller, call_body, generate_body, get_key};
use stand_ins::fleet::{FLEET_TIMEOUT, Fleet, FleetPlan, wait_for};
use stand_ins::http;
use stand_ins::service::SERVICE_CRASH_WORD;

const DEADLINE_MS: u64 = 20_000;

/// Kinds that the controllers of an entry subscribe to but nothing has to send there, with the reason.
const NOT_NEEDED: [(&str, &str); 4] = [
    (
        "replica_replaced",
        "upstreams are listed in the register; each answer of an engine contains its start time",
    ),
    ("replicas_read", "there is no list of replicas"),
    (
        "config_reachable",
        "an entry that can't read the service refuses nothing for that; it asks its peers at once",
    ),
    (
        "register_unreadable",
        "the service numbers each text itself; one that can't be parsed is refused with its faults",
    ),
];

/// Kinds that some controller subscribes to and that no entry has received so far.
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
    assert!(
        counts.len() > 15,
        "the metrics list the subscribed kinds: {counts:?}"
    );
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
        let stream = StreamCaller::new(entries.clone(), body).run(FLEET_TIMEOUT).await;
        assert!(stream.is_complete, "{stream:?}");
        // A key is used at another entry, and another key is revoked.
        let key = get_key(&entries[0], "kitamura", "desk", "book", DEADLINE_MS).await;
        call(&entries[1], "book", "pickup-1", key.as_deref())
            .await
            .expect("an answer");
        let key = get_key(&entries[0], "kitamura", "desk", "book", DEADLINE_MS).await;
        let revoked = json!({ "workspace": "kitamura", "service": "desk", "operation": "book", "key": key });
        http::post(&entries[0], "/v1/keys/revoke", &revoked)
            .await
            .expect("an answer");
        // A desk crashes during a lookup; the lookup is repeated as a trial run and completes.
        http::post(
            &fleet.services[0].address,
            "/fault",
            &json!({ "dies_before": true }),
        )
        .await;
        wait_for("the crash of a desk", || async {
            call(&entries[0], "lookup", "slot-1", None).await;
            http::get(&fleet.services[0].address, "/health").await.is_none()
        })
        .await;
        call(&entries[0], "lookup", SERVICE_CRASH_WORD, None).await;
        wait_for("a load report", || async {
            !find_missing_kinds(&fleet)
                .await
                .contains(&"load_reported".to_owned())
        })
        .await;
        fleet.entries[2].process.kill();
        wait_for("all kinds but leave_ordered", || async {
            find_missing_kinds(&fleet).await == ["leave_ordered"]
        })
        .await;
        fleet.entries[1].process.terminate();
        wait_for("the kind leave_ordered", || async {
            find_missing_kinds(&fleet).await.is_empty()
        })
        .await;
    });
}
