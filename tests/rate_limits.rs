//! Decisions on rate limits that replicas report: which report wins, what an owner permits, which replica a
//! call is sent to, and when refused callers retry. Moments are passed in.

mod plain_desk;

use std::sync::Arc;

use dotterelspan::blackboard::{RateLimit, RateLimitMap, ReplicaFacts, ReplicaId, ReplicaLoad, RequestRate};
use dotterelspan::controllers::dispatch::{
    DispatchChoice, RefusedCaller, ReplicaSelector, RetryPlanner, SendOutcome,
};
use dotterelspan::controllers::rate_limits::{LimitChange, LimitReport, LimitTable, OwnerView, PermitIssuer};
use dotterelspan::prelude::*;
use plain_desk::{CRITERIA, facts, selector};
use proptest::prelude::*;

/// An owner that considers all other VMs alive.
const SETTLED: OwnerView = OwnerView {
    is_owner: true,
    renewal: 0,
    live_count: 20,
    member_count: 20,
};

/// A moment long after the start of the process and any takeover.
const LATER: Moment = Moment(60_000);

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).expect("a rate")
}

fn report(start: u64, per_second: Option<f64>, asked_at: u64, answered_at: u64) -> LimitReport {
    LimitReport {
        replica: "i-1".into(),
        started_epoch_ms: start,
        rate: per_second.map(rate),
        first_reported_at: Moment(answered_at),
        asked_at: Moment(asked_at),
        answered_at: Moment(answered_at),
        seen_by: "vm-1".into(),
    }
}

fn limit(per_second: f64, first_reported_at: Moment) -> RateLimit {
    RateLimit {
        started_epoch_ms: 1,
        rate: rate(per_second),
        first_reported_at,
        seen_by: "vm-1".into(),
    }
}

#[test]
fn a_later_answer_without_the_header_ends_a_limit_and_one_in_flight_does_not() {
    let mut table = LimitTable::default();
    assert_eq!(table.apply_own(report(1, None, 0, 10)), LimitChange::Unchanged);
    assert_eq!(
        table.apply_own(report(1, Some(5.0), 100, 120)),
        LimitChange::Added
    );
    assert_eq!(table.apply_own(report(1, None, 90, 130)), LimitChange::Unchanged);
    assert_eq!(table.apply_own(report(1, None, 110, 140)), LimitChange::Unchanged);
    assert_eq!(
        table.apply_own(report(1, Some(4.0), 115, 150)),
        LimitChange::Updated
    );
    assert_eq!(table.apply_own(report(1, None, 150, 160)), LimitChange::Ended);
    // An answer to a request sent before the end doesn't report the limit anew; one sent after it does.
    assert_eq!(
        table.apply_own(report(1, Some(4.0), 140, 170)),
        LimitChange::Unchanged
    );
    assert_eq!(
        table.apply_own(report(1, Some(4.0), 155, 180)),
        LimitChange::Added
    );
}

#[test]
fn a_limit_is_bound_to_one_start_of_its_replica() {
    let mut table = LimitTable::default();
    table.apply_own(report(2, Some(5.0), 100, 120));
    assert_eq!(
        table.apply_own(report(1, Some(3.0), 200, 220)),
        LimitChange::Unchanged
    );
    assert_eq!(table.apply_own(report(1, None, 200, 220)), LimitChange::Unchanged);
    assert_eq!(table.limits()["i-1"].rate, rate(5.0));
    assert_eq!(table.apply_own(report(3, None, 90, 95)), LimitChange::Ended);
    assert!(table.limits().is_empty());
}

proptest! {
    #[test]
    fn vms_that_received_the_same_reports_in_any_order_agree(
        reports in prop::collection::vec((prop::option::of(1_u64..5), 0_u64..50), 1..8),
        order in any::<prop::sample::Index>(),
    ) {
        // Distinct times of requests, since two reports for requests sent at the same moment may conflict;
        // then the one with a limit wins.
        let records: Vec<LimitReport> = reports
            .iter()
            .enumerate()
            .map(|(index, (limit, at))| {
                let asked_at = at * 10 + index as u64;
                report(1, limit.map(|limit| limit as f64), asked_at, asked_at + 5)
            })
            .collect();
        let mut rotated = records.clone();
        rotated.rotate_left(order.index(records.len()));
        let take_all = |records: &[LimitReport]| {
            let mut table = LimitTable::default();
            records.iter().cloned().for_each(|record| {
                table.apply_peer(record);
            });
            let rates: Vec<Option<RequestRate>> = table.iter().map(|record| record.rate).collect();
            rates
        };
        prop_assert_eq!(take_all(&records), take_all(&rotated));
    }
}

/// The number of requests that an issuer permits without a wait in a span, asked for every millisecond.
fn granted_in(issuer: &mut PermitIssuer, limit: &RateLimit, from: Moment, span_ms: u64) -> u64 {
    let id: ReplicaId = "i-1".into();
    let mut count = 0;
    for now in (from.0..from.0 + span_ms).map(Moment) {
        issuer.update_view(SETTLED, now);
        while issuer.wait_ms(&id, limit, now) == Some(0) {
            issuer.take(&id, limit, now);
            count += 1;
        }
    }
    count
}

#[test]
fn an_owner_spaces_requests_and_allows_small_bursts() {
    let mut issuer = PermitIssuer::default();
    issuer.update_view(SETTLED, Moment(1_000));
    let limit = limit(10.0, LATER);
    assert_eq!(
        granted_in(&mut issuer, &limit, LATER, 99),
        0,
        "no burst at the start of a limit"
    );
    assert_eq!(granted_in(&mut issuer, &limit, LATER.after_ms(99), 4_000), 40);
    // After a pause the burst tolerance is permitted at once.
    let after_pause = LATER.after_ms(10_000);
    issuer.update_view(SETTLED, LATER.after_ms(9_000));
    assert!(granted_in(&mut issuer, &limit, after_pause, 1) <= 4);
}

#[test]
fn unsent_permits_are_returned() {
    let id: ReplicaId = "i-1".into();
    let mut issuer = PermitIssuer::default();
    issuer.update_view(SETTLED, LATER);
    let limit = limit(2.0, LATER);
    let now = LATER.after_ms(500);
    assert_eq!(issuer.take(&id, &limit, now), Some(0));
    assert_eq!(issuer.wait_ms(&id, &limit, now), Some(500));
    issuer.give_back(&id, &limit, now);
    assert_eq!(issuer.wait_ms(&id, &limit, now), Some(0));
}

#[test]
fn no_permit_is_granted_where_the_limit_is_zero() {
    let mut issuer = PermitIssuer::default();
    issuer.update_view(SETTLED, LATER);
    let id: ReplicaId = "i-1".into();
    assert_eq!(issuer.wait_ms(&id, &limit(0.0, LATER), LATER), None);
    assert_eq!(issuer.take(&id, &limit(0.0, LATER), LATER), None);
}

/// The fraction of a limit that an issuer grants after it has had each view for its span in milliseconds.
fn fraction_after(views: &[(OwnerView, u64)]) -> f64 {
    let mut issuer = PermitIssuer::default();
    let mut now = LATER;
    for (view, span_ms) in views {
        for _ in (0..*span_ms).step_by(250) {
            issuer.update_view(*view, now);
            now = now.after_ms(250);
        }
    }
    let named_long_before = limit(100.0, Moment(10_000));
    issuer.rate(&named_long_before, now).per_second() / 100.0
}

#[test]
fn an_owner_that_may_not_be_the_only_one_grants_a_fraction() {
    let fallback = OwnerView {
        is_owner: false,
        ..SETTLED
    };
    let minority = OwnerView {
        live_count: 5,
        ..SETTLED
    };
    let half = OwnerView {
        live_count: 10,
        ..SETTLED
    };
    let refuted = OwnerView {
        renewal: 1,
        ..SETTLED
    };
    let isolated = OwnerView {
        live_count: 0,
        ..SETTLED
    };
    assert_eq!(fraction_after(&[(SETTLED, 10_000)]), 1.0);
    assert_eq!(
        fraction_after(&[(SETTLED, 1_000)]),
        0.25,
        "it has just taken over"
    );
    assert_eq!(fraction_after(&[(SETTLED, 3_000)]), 0.5);
    assert_eq!(
        fraction_after(&[(fallback, 10_000)]),
        0.125,
        "another one is the owner"
    );
    assert_eq!(
        fraction_after(&[(minority, 10_000)]),
        0.25,
        "it sees a quarter of the VMs"
    );
    assert_eq!(
        fraction_after(&[(half, 10_000)]),
        0.5,
        "it sees one half of them, and another owner the other"
    );
    assert_eq!(
        fraction_after(&[(SETTLED, 10_000), (refuted, 250)]),
        0.25,
        "others considered it dead"
    );
    assert_eq!(
        fraction_after(&[(SETTLED, 10_000), (fallback, 250), (SETTLED, 250)]),
        0.25
    );
    assert_eq!(
        fraction_after(&[(isolated, 10_000)]),
        0.0,
        "it has contacted no other VM yet"
    );
}

#[test]
fn an_owner_grants_full_limits_after_a_handover() {
    let mut issuer = PermitIssuer::default();
    issuer.update_view(SETTLED, LATER);
    issuer.record_handover(LATER);
    let old = limit(100.0, Moment(10_000));
    assert_eq!(issuer.rate(&old, LATER), rate(100.0));
    let fallback = OwnerView {
        is_owner: false,
        ..SETTLED
    };
    assert!(issuer.update_view(fallback, LATER), "it has lost ownership");
    assert!(!issuer.update_view(fallback, LATER));
    assert_eq!(issuer.rate(&old, LATER), rate(12.5));
}

#[test]
fn an_owner_that_was_suspended_starts_with_a_fraction() {
    let mut issuer = PermitIssuer::default();
    issuer.update_view(SETTLED, LATER);
    issuer.update_view(SETTLED, LATER.after_ms(10_000));
    let old = limit(100.0, Moment(10_000));
    assert_eq!(issuer.rate(&old, LATER.after_ms(10_000)), rate(25.0));
}

#[test]
fn a_new_limit_is_granted_in_full() {
    let mut issuer = PermitIssuer::default();
    issuer.update_view(SETTLED, LATER);
    let new = limit(100.0, LATER);
    assert_eq!(issuer.rate(&new, LATER), rate(100.0));
}

fn limited_selector(replicas: &[ReplicaFacts], limits: &[(&str, f64)]) -> ReplicaSelector {
    let mut selector = selector(replicas, LATER);
    let limits: RateLimitMap = limits
        .iter()
        .map(|(id, per_second)| (ReplicaId::from(*id), limit(*per_second, LATER)))
        .collect();
    selector.set_limits(&Arc::new(limits));
    selector
}

fn report_running(selector: &mut ReplicaSelector, id: &str, running: u32) {
    let load = ReplicaLoad {
        running,
        waiting: 0,
        slots: 4,
        pace_percent: 100,
    };
    selector.record_load(&id.into(), load, LATER);
}

#[test]
fn unlimited_replicas_with_free_slots_are_preferred() {
    let replicas = [facts("i-1", 1), facts("i-2", 1)];
    let mut selector = limited_selector(&replicas, &[("i-1", 5.0)]);
    let free = DispatchChoice::Unlimited(replicas[1].record.clone());
    report_running(&mut selector, "i-2", 3);
    assert_eq!(selector.choose(&CRITERIA, LATER), Some(free.clone()));
    report_running(&mut selector, "i-2", 4);
    let limited = DispatchChoice::Limited(vec!["i-1".into()]);
    assert_eq!(selector.choose(&CRITERIA, LATER), Some(limited));
    // Without a permit for the first replica the call waits for the second one.
    selector.record_no_permit(&["i-1".into()], LATER.after_ms(100));
    assert_eq!(selector.choose(&CRITERIA, LATER), Some(free));
}

#[test]
fn a_rate_limited_replica_is_preferred_to_a_much_slower_one() {
    let replicas = [facts("i-1", 1), facts("i-2", 1)];
    let mut selector = limited_selector(&replicas, &[("i-1", 5.0)]);
    for (id, answer_ms) in [("i-1", 20), ("i-2", 50)] {
        selector.finish(&id.into(), 0, SendOutcome::Served(answer_ms), LATER);
    }
    assert_eq!(
        selector.choose(&CRITERIA, LATER),
        Some(DispatchChoice::Unlimited(replicas[1].record.clone()))
    );
    for _ in 0..20 {
        selector.finish(&"i-2".into(), 0, SendOutcome::Served(300), LATER);
    }
    assert_eq!(
        selector.choose(&CRITERIA, LATER),
        Some(DispatchChoice::Limited(vec!["i-1".into()]))
    );
}

#[test]
fn a_replica_with_a_zero_limit_is_not_selected() {
    let replicas = [facts("i-1", 1)];
    let mut selector = limited_selector(&replicas, &[("i-1", 0.0)]);
    assert_eq!(selector.choose(&CRITERIA, LATER), None);
    let caller = RefusedCaller {
        request_id: "q-1",
        deadline: LATER.after_ms(9_000),
        vm_count: 3,
    };
    let retry_ms = selector.plan_retry_ms(&"desk".into(), &caller, LATER);
    assert!(retry_ms.is_some_and(|retry_ms| retry_ms <= 3_000), "{retry_ms:?}");
}

#[test]
fn retries_of_refused_callers_are_spread_over_the_time_that_the_limits_need() {
    let mut planner = RetryPlanner::default();
    let delays: Vec<u64> = (0..60)
        .map(|number| {
            let id = format!("q-{number}");
            let caller = RefusedCaller {
                request_id: &id,
                deadline: LATER.after_ms(14_000),
                vm_count: 3,
            };
            planner.plan_ms(rate(60.0), 100, &caller, LATER.after_ms(number * 10))
        })
        .collect();
    // 180 requests a second at three VMs need three seconds at 60 a second.
    let (first, last) = (delays.iter().min(), delays.iter().max());
    assert!(
        first.is_some_and(|first| (100..500).contains(first)),
        "{delays:?}"
    );
    assert!(
        last.is_some_and(|last| (2_000..=3_100).contains(last)),
        "{delays:?}"
    );
    let early_count = delays[30..].iter().filter(|at| **at < 1_500).count();
    assert!((8..=22).contains(&early_count), "they are spread: {delays:?}");
}
