//! An accepted configuration is in force everywhere within seconds and never reverts.

use std::time::Duration;

use async_std::task::{block_on, sleep};
use serde_json::json;
use stand_ins::fleet::{FLEET_TIMEOUT, Fleet, FleetPlan, register_text, wait_for};
use stand_ins::http;
use stand_ins::journal::now_ms;

/// The longest time until a change is in force everywhere, in milliseconds; the users' "within seconds".
const IN_FORCE_MS: u64 = 4_000;

/// Polls all entries for a while, and panics if an entry's revision goes down.
async fn watch_never_reverts(fleet: &Fleet, span: Duration) {
    let until_ms = now_ms() + span.as_millis() as u64;
    let mut highest = vec![0; fleet.entries.len()];
    while now_ms() < until_ms {
        for (index, highest) in highest.iter_mut().enumerate() {
            let Some(status) = fleet.status(index).await else {
                continue;
            };
            let revision = status["revision"].as_u64().unwrap_or(0);
            assert!(
                revision >= *highest,
                "entry {index} went from {highest} back to {revision}"
            );
            *highest = revision;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// The first revision that a starting entry has in force; zero if it has none in time.
async fn first_in_force(fleet: &Fleet, index: usize) -> u64 {
    let until_ms = now_ms() + FLEET_TIMEOUT.as_millis() as u64;
    while now_ms() < until_ms {
        let status = fleet.status(index).await;
        let revision = status.and_then(|status| status["revision"].as_u64()).unwrap_or(0);
        if revision > 0 {
            return revision;
        }
        sleep(Duration::from_millis(1)).await;
    }
    0
}

/// Waits for a revision and prints how long it took. The time is bounded on a simulated clock in
/// properties/revisions.rs.
async fn assert_in_force(fleet: &Fleet, indexes: &[usize], revision: u64) {
    let published_ms = now_ms();
    for index in indexes {
        fleet.wait_revision(*index, revision).await;
    }
    println!(
        "revision {revision} in force after {} ms",
        now_ms() - published_ms
    );
}

#[test]
fn a_change_reaches_all_entries_and_one_cut_off_from_the_service_gets_it_from_its_peers() {
    block_on(async {
        let mut fleet = Fleet::start(FleetPlan::small()).await;
        let revision = fleet.publish_register().await;
        assert_in_force(&fleet, &[0, 1, 2], revision).await;
        // Two entries learn of the change before the service is cut off from all; the third one is stopped
        // meanwhile.
        fleet.route(&fleet.platform_routed.clone(), "partition").await;
        let revision = fleet.publish_register().await;
        fleet.entries[2].process.pause();
        fleet.route(&fleet.platform_routed.clone(), "pass").await;
        assert_in_force(&fleet, &[0, 1], revision).await;
        fleet.route(&fleet.platform_routed.clone(), "partition").await;
        fleet.entries[2].process.wake();
        assert_in_force(&fleet, &[2], revision).await;
    });
}

#[test]
fn a_stale_service_never_brings_an_old_revision_back_not_even_to_a_new_entry() {
    block_on(async {
        let mut fleet = Fleet::start(FleetPlan::small()).await;
        let revision = fleet.publish_register().await;
        assert_in_force(&fleet, &[0, 1, 2], revision).await;
        fleet.platform_fault(json!({ "stale_revision": 1 })).await;
        watch_never_reverts(&fleet, Duration::from_secs(3)).await;
        for _ in 0..4 {
            fleet.entries[1].process.kill();
            fleet.start_entry(1);
            assert_eq!(
                first_in_force(&fleet, 1).await,
                revision,
                "a new entry accepted the stale service's revision"
            );
        }
        watch_never_reverts(&fleet, Duration::from_secs(2)).await;
    });
}

#[test]
fn an_entry_that_starts_in_an_outage_of_the_service_gets_the_register_from_its_peers() {
    block_on(async {
        let mut fleet = Fleet::start(FleetPlan::small()).await;
        let revision = fleet.publish_register().await;
        assert_in_force(&fleet, &[0, 1, 2], revision).await;
        fleet.platform_fault(json!({ "down": true })).await;
        fleet.entries[0].process.kill();
        fleet.start_entry(0);
        assert_in_force(&fleet, &[0], revision).await;
        let answer = http::get(&fleet.entries[0].routed, "/v1/resolve?caller=x").await;
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    });
}

#[test]
fn all_entries_restarted_in_an_outage_refuse_as_not_run_and_serve_once_it_ends() {
    block_on(async {
        let mut fleet = Fleet::start(FleetPlan::small()).await;
        fleet.platform_fault(json!({ "down": true })).await;
        for index in 0..3 {
            fleet.entries[index].process.kill();
        }
        for index in 0..3 {
            fleet.start_entry(index);
        }
        let body = stand_ins::caller::generate_body("kitamura", "ash-reader", "ledger", "ash", 5, 20_000);
        let address = fleet.entries[0].routed.clone();
        wait_for("an answer of an entry", || async {
            http::post(&address, "/v1/generate", &body).await.is_some()
        })
        .await;
        let answer = http::post(&address, "/v1/generate", &body)
            .await
            .expect("an answer of an entry");
        assert_eq!(
            (answer.body["code"].as_u64(), answer.body["effect"].as_str()),
            (Some(2006), Some("not run"))
        );
        assert!(answer.retry_after.is_some());
        fleet.platform_fault(json!({})).await;
        fleet.wait_ready().await;
        let gathered = stand_ins::caller::StreamCaller::new(fleet.entry_addresses(), body)
            .run(FLEET_TIMEOUT)
            .await;
        assert!(gathered.is_complete);
    });
}

#[test]
fn a_register_with_faults_is_refused_by_all_and_the_last_good_one_stays() {
    block_on(async {
        let mut fleet = Fleet::start(FleetPlan::small()).await;
        let good = fleet.register.clone();
        let refused = fleet.publish_text(&good.replace("may_wait", "may_wiat")).await;
        for index in 0..3 {
            wait_for("the refusal in the status", || async {
                let status = fleet.status(index).await.expect("an answer of an entry");
                status["refused_revision"].as_u64() == Some(refused)
            })
            .await;
            let status = fleet.status(index).await.expect("an answer of an entry");
            assert_eq!(status["revision"].as_u64(), Some(refused - 1));
            let reasons = status["refused_reasons"].as_str().unwrap_or_default();
            assert!(reasons.contains("did you mean `may_wait`?"), "{reasons}");
            let report = http::get(&fleet.entries[index].address, "/v1/report")
                .await
                .expect("an answer of an entry");
            let report = report.body.as_str().unwrap_or_default().to_owned();
            assert!(
                report.contains(&format!("REGISTER {refused} REFUSED")),
                "{report}"
            );
            assert!(
                report.lines().all(|line| line.chars().count() <= 40),
                "a line is too wide for a phone: {report}"
            );
        }
        // Of two edits in quick succession, the last one is in force.
        fleet.publish_text(&good.replace("sadaf", "sadaf-old")).await;
        let last = fleet.publish_text(&good).await;
        assert_in_force(&fleet, &[0, 1, 2], last).await;
    });
}

#[test]
fn a_leaving_upstream_gets_no_new_work_after_a_few_seconds_also_in_an_outage_of_the_service() {
    block_on(async {
        let mut fleet = Fleet::start(FleetPlan::small()).await;
        let text = register_text(&fleet, &["decode-0", "prefill-1", "desk-0"]);
        let revision = fleet.publish_text(&text).await;
        // One entry reads the change before the service goes down; the others receive it from their peer.
        fleet.wait_revision(0, revision).await;
        fleet.platform_fault(json!({ "down": true })).await;
        sleep(Duration::from_millis(IN_FORCE_MS)).await;
        let since_ms = now_ms();
        for (index, entry) in fleet.entries.iter().enumerate().cycle().take(18) {
            let prompt = format!("load {index}");
            let body =
                stand_ins::caller::generate_body("kitamura", "ash-reader", "urgent", &prompt, 3, 20_000);
            let caller = stand_ins::caller::StreamCaller::new(vec![entry.routed.clone()], body);
            assert!(caller.run(FLEET_TIMEOUT).await.is_complete);
            let lookup = stand_ins::caller::call_body("sadaf", "desk", "lookup", "slot", None, 20_000);
            let answer = http::post(&entry.routed, "/v1/call", &lookup)
                .await
                .expect("an answer of an entry");
            assert_eq!(answer.status, 200);
        }
        for name in ["decode-0", "prefill-1", "desk-0"] {
            let late = fleet
                .journal(name)
                .into_iter()
                .filter(|line| line.at_ms >= since_ms)
                .count();
            assert_eq!(late, 0, "{name} got new work");
        }
    });
}
