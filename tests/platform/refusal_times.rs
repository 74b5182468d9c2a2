//! How long calls wait that are refused in the end, and whether they are told when to come back.

use std::time::Duration;

use crate::limited_fleet::*;
use crate::replica::ReplicaBehavior;

/// How long 99 of 100 refusals may take: those that are made at once.
const REFUSED_WITHIN: Duration = AT_ONCE;

/// The time below which 99 in 100 of the refusals lie that came once limits were known.
fn slow_refusal(answers: &[CallerAnswer]) -> Duration {
    let refused = answers.iter().filter(|answer| answer.status == 503);
    let mut times: Vec<Duration> = refused.map(|answer| answer.took).collect();
    times.sort_unstable();
    let index = (times.len() * 99 / 100).min(times.len().saturating_sub(1));
    println!(
        "{} refusals, half within {:?}, 99 in 100 within {:?}",
        times.len(),
        times[times.len() / 2],
        times[index]
    );
    times[index]
}

fn assert_told(fleet: &LimitedFleet, answers: &[CallerAnswer]) {
    let untold: Vec<&CallerAnswer> = answers
        .iter()
        .filter(|answer| answer.status == 503 && answer.retry_after.is_none())
        .collect();
    assert!(untold.is_empty(), "{untold:?} {:?}", fleet.log_paths());
}

#[test]
fn calls_are_refused_at_once_where_all_replicas_reject_and_name_limits() {
    let fleet = LimitedFleet::with_plain_replicas(3, 6);
    let desks = fleet.replicas.iter();
    desks.for_each(|desk| desk.set_behavior(ReplicaBehavior::NotRun));
    let limits = with_limit(&fleet.replicas, "4");
    let (answers, _) = load_with_limits(&fleet, fleet.addresses(), "/read", 60, &limits);
    assert_told(&fleet, &answers);
    let slow = slow_refusal(&answers);
    assert!(slow <= REFUSED_WITHIN, "{slow:?} {:?}", fleet.log_paths());
}

#[test]
fn calls_are_refused_at_once_while_a_node_is_killed_and_comes_back_under_limits() {
    let mut fleet = LimitedFleet::with_plain_replicas(3, 6);
    let load = LoadGenerator::start(fleet.addresses(), "/read", 60, BEFORE + AFTER);
    std::thread::sleep(BEFORE);
    fleet
        .replicas
        .iter()
        .for_each(|replica| replica.set_limit(Some("5")));
    for _ in 0..2 {
        std::thread::sleep(2 * BEFORE);
        fleet.nodes[1].kill();
        std::thread::sleep(BEFORE);
        fleet.nodes[1].spawn();
    }
    let answers = load.finish();
    fleet.assert_limits_kept();
    let unanswered = answers.iter().filter(|answer| answer.status == 0).count();
    println!("{unanswered} of {} without an answer", answers.len());
    assert_told(&fleet, &answers);
    let slow = slow_refusal(&answers);
    assert!(slow <= REFUSED_WITHIN, "{slow:?} {:?}", fleet.log_paths());
}
