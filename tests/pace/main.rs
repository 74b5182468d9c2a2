//! The pace of replicas that have just started or recovered, in simulated time and without a network.

#[path = "../plain_desk/mod.rs"]
mod plain_desk;

#[path = "../engine_fixture/mod.rs"]
mod engine_fixture;

mod decisions;
mod model;

use model::{CHANGE_AT, Model, Outcome, Plan, WAYS, Way};

const END: u64 = 16_000;
const SEEDS: u64 = 8;
const LOAD: f64 = 0.6;

fn running(count: usize) -> Vec<Plan> {
    vec![Plan::default(); count]
}

/// Four servers get a fifth one that is 1.6 times slower until `slow_until`.
fn added(slow_until: u64) -> Vec<Plan> {
    let fifth = Plan {
        listed_at: CHANGE_AT,
        slow_until,
        announced_ms: Some(5_000),
        ..Plan::default()
    };
    running(4).into_iter().chain([fifth]).collect()
}

/// One of five servers is down in these periods, and 1.6 times slower until `slow_until`.
fn interrupted(down: Vec<(u64, u64)>, slow_until: u64) -> Vec<Plan> {
    let fifth = Plan {
        down,
        slow_until,
        ..Plan::default()
    };
    running(4).into_iter().chain([fifth]).collect()
}

fn alternating() -> Vec<Plan> {
    let down = (0..5).map(|number| (CHANGE_AT + number * 2_000, CHANGE_AT + number * 2_000 + 1_000));
    interrupted(down.collect(), END)
}

fn all_new() -> Vec<Plan> {
    let new = Plan {
        slow_until: 5_000,
        announced_ms: Some(5_000),
        is_new: true,
        ..Plan::default()
    };
    vec![new; 5]
}

/// Nine of twenty servers are replaced one after the other.
fn rolling() -> Vec<Plan> {
    let mut plans = running(20);
    for number in 0..9 {
        let at = CHANGE_AT + number as u64 * 1_000;
        plans[number].removed_at = Some(at);
        plans.push(Plan {
            listed_at: at,
            slow_until: at + 4_000,
            announced_ms: Some(4_000),
            ..Plan::default()
        });
    }
    plans
}

/// The sum over several seeds; the times are means.
fn run(way: Way, plans: &[Plan], watched: usize) -> Outcome {
    let mut sum = Outcome::default();
    let (mut share_ms, mut shares) = (0, 0);
    for seed in 1..=SEEDS {
        let outcome = Model::new(way, plans.to_vec(), watched, seed).run(END, LOAD);
        sum.calls += outcome.calls;
        sum.late += outcome.late;
        sum.rejected += outcome.rejected;
        sum.unserved += outcome.unserved;
        sum.mean_ms += outcome.mean_ms / SEEDS as f64;
        sum.longest_queue = sum.longest_queue.max(outcome.longest_queue);
        share_ms += outcome.share_after_ms.unwrap_or(END);
        shares += 1;
    }
    sum.share_after_ms = Some(share_ms / shares);
    sum
}

/// Calls per ten thousand that were late, rejected by a server, or not served.
fn losses(outcome: &Outcome) -> u64 {
    (outcome.late + outcome.rejected + outcome.unserved) * 10_000 / outcome.calls
}

/// Compares the ways on one load; returns the outcomes without pace and with the product's. No other way may
/// lose clearly fewer calls than the product's.
fn compare(name: &str, plans: &[Plan], watched: usize) -> (Outcome, Outcome) {
    let outcomes = WAYS.map(|way| run(way, plans, watched));
    for (way, outcome) in WAYS.iter().zip(&outcomes) {
        println!("{name}: {way:?}: {outcome:?}");
    }
    let [unrestrained, others @ .., chosen] = outcomes;
    let best = others.iter().map(losses).min().unwrap_or(0);
    assert!(
        losses(&chosen) <= best + best / 10 + 2,
        "{chosen:?} against {others:?}"
    );
    (unrestrained, chosen)
}

/// Guards against a flood: without pace all VMs choose a server that nobody has measured, at a load of 0.6 of
/// all slots with bursts of 1.4 times that. Callers would be late or rejected.
#[test]
fn a_cold_server_beside_running_ones_is_not_flooded() {
    let (unrestrained, chosen) = compare("cold", &added(8_000), 4);
    assert!(
        losses(&unrestrained) > 50,
        "the load no longer shows the flood: {unrestrained:?}"
    );
    assert!(losses(&chosen) <= 1, "{chosen:?}");
    assert!(chosen.mean_ms < unrestrained.mean_ms, "{chosen:?}");
    assert!(chosen.share_after_ms <= Some(1_000), "left idle: {chosen:?}");
}

/// Guards against a server being held back for ever because it stays slower than its peers.
#[test]
fn a_server_that_never_warms_up_carries_the_share_that_its_speed_allows() {
    let (_, chosen) = compare("never warms", &added(END), 4);
    assert!(losses(&chosen) <= 2, "{chosen:?}");
    assert!(chosen.share_after_ms <= Some(1_000), "left idle: {chosen:?}");
}

/// Guards against losses after an outage of two seconds, and against a recovered server that stays idle.
#[test]
fn a_server_that_recovers_from_errors_gets_its_share_back() {
    let plans = interrupted(vec![(CHANGE_AT, CHANGE_AT + 2_000)], 9_000);
    let (unrestrained, chosen) = compare("recovers", &plans, 4);
    assert!(losses(&chosen) <= losses(&unrestrained) + 1, "{chosen:?}");
    assert!(chosen.share_after_ms <= Some(2_000), "left idle: {chosen:?}");
}

/// Guards against losses at a server that is down every other second and slow in between.
#[test]
fn a_server_that_alternates_between_down_and_up_costs_callers_nothing() {
    let (unrestrained, chosen) = compare("alternates", &alternating(), 4);
    assert!(losses(&chosen) <= losses(&unrestrained) + 1, "{chosen:?}");
}

/// Guards against holding back where no other server could take the requests: a fleet that is all new must
/// serve what it serves without pace.
#[test]
fn a_fleet_that_is_all_new_is_not_held_back() {
    let (unrestrained, chosen) = compare("all new", &all_new(), 4);
    assert!(
        losses(&chosen) * 10 <= losses(&unrestrained) * 11,
        "{chosen:?} against {unrestrained:?}"
    );
}

/// Guards against one flood for each server that a rolling release replaces, nine of twenty.
#[test]
fn a_rolling_release_floods_no_new_server() {
    let (unrestrained, chosen) = compare("rolling", &rolling(), 20);
    assert!(
        losses(&unrestrained) > 500,
        "the load no longer shows the flood: {unrestrained:?}"
    );
    assert!(losses(&chosen) <= 20, "{chosen:?}");
    assert!(chosen.share_after_ms <= Some(3_000), "left idle: {chosen:?}");
}

/// Guards against pace that costs a calm fleet throughput or changes its choices: with no fresh and no failed
/// server, the same calls must end the same way.
#[test]
fn a_calm_fleet_is_served_exactly_as_without_pace() {
    let run = |way| Model::new(way, running(5), 4, 1).run(END, 0.8);
    assert_eq!(run(Way::ServerPace), run(Way::Unrestrained));
}
