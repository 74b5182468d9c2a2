//! Routes: the split of requests between services, and the faults that routes are refused for.

use std::sync::Arc;

use dotterelspan::prelude::*;
use dotterelspan::register::{CallerLimits, FaultReport, RouteKind, RouteRule, RouteShare, ServiceRule};

/// Number of requests for which a service is picked.
const DRAWS: u64 = 20_000;

fn rule(host: &str, prefix: &str, shares: &[(&str, f64)]) -> RouteRule {
    let shares = shares.iter().map(|(service, weight)| RouteShare {
        service: Arc::from(*service),
        weight: *weight,
    });
    RouteRule {
        name: "r".into(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::RunOnce,
        timeout_ms: 1_000,
        latency_objective_ms: 100,
        gap_objective_ms: 100,
        attempts: 1,
        priority: 1,
        allows_anonymous: false,
        shares: shares.collect(),
    }
}

fn service(name: &str) -> ServiceRule {
    ServiceRule {
        name: name.into(),
        max_connections: 100,
        health_path: None,
        engine: None,
    }
}

fn build_register(rules: Vec<RouteRule>) -> Result<Register, FaultReport> {
    Register::from_rules(
        rules,
        vec![service("desk"), service("press")],
        CallerLimits::default(),
    )
}

/// Number of picks of a service, over draws that are evenly spaced.
fn count_picks(rule: &RouteRule, service: &str) -> u64 {
    let step = u64::MAX / DRAWS;
    let draws = (0..DRAWS).map(|number| number * step + step / 2);
    let picks = draws.filter_map(|draw| rule.pick_service(draw));
    picks.filter(|picked| &***picked == service).count() as u64
}

#[test]
fn requests_are_split_by_weight() {
    let shared = rule("a", "/", &[("desk", 90.0), ("press", 10.0)]);
    assert_eq!(
        (count_picks(&shared, "desk"), count_picks(&shared, "press")),
        (18_000, 2_000)
    );
    let small = rule("a", "/", &[("desk", 0.9), ("press", 0.0004)]);
    assert_eq!(
        count_picks(&small, "press"),
        9,
        "0.0004 of a total weight of 0.9004"
    );
    let drained = rule("a", "/", &[("desk", 0.0), ("press", 3.0), ("desk", 0.0)]);
    assert_eq!(count_picks(&drained, "press"), DRAWS);
    assert_eq!(drained.pick_service(u64::MAX).map(|name| &**name), Some("press"));
    assert_eq!(rule("a", "/", &[("desk", 0.0)]).pick_service(1), None);
}

#[test]
fn every_fault_is_named_with_its_place() {
    let report = build_register(vec![
        rule("a", "/x/", &[("desk", 1.0)]),
        rule("a", "/x/", &[("press", 1.0)]),
        rule("", "/y/", &[("desk", 1.0)]),
        rule("a", "z/", &[("desc", f64::NAN)]),
    ]);
    let report = report.expect_err("it has faults").to_string();
    for part in [
        "route[1] r: `r` has the same host and prefix",
        "route[2] r: the host must not be empty",
        "route[3] r: no path begins with `z/`",
        "route[3] r: no service is named `desc`; did you mean `desk`?",
        "route[3] r: the weight NaN of `desc`",
        "route[3] r: its weights add up to NaN",
    ] {
        assert!(report.contains(part), "{part}\n{report}");
    }
    assert_eq!(report.lines().count(), 6, "{report}");
}

#[test]
fn the_number_of_reported_faults_is_capped() {
    let rules = (0..5_000).map(|number| rule("", "none", &[(&format!("s-{number}"), -1.0)]));
    let report = build_register(rules.collect()).expect_err("it has faults");
    assert_eq!(report.faults.len(), 50);
}

#[test]
fn valid_routes_are_accepted() {
    let rules = vec![
        rule("a", "/", &[("desk", 1.0)]),
        rule("a", "/", &[("desk", 1.0)]),
        rule("a", "/x", &[("desk", 0.0), ("press", 1e-9)]),
    ];
    assert!(build_register(rules).is_ok());
}
