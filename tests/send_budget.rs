//! The retry budget that all VMs share, tested alone with moments passed in.

use std::sync::Arc;

use dotterelspan::controllers::dispatch::{ArrivalCount, SendBudget};
use dotterelspan::prelude::*;

const RATIO: f64 = 0.2;
const SLACK: f64 = 100.0;
const WINDOW_MS: u64 = 10_000;

/// Takes extra sends at one moment until the budget is used up, and returns their number.
fn take_all(budget: &mut SendBudget, vm_count: Option<usize>, now: Moment) -> u32 {
    let service: Arc<str> = "desk".into();
    let taken = (0..1_000).take_while(|_| budget.take(&service, vm_count, now).is_covered);
    taken.count() as u32
}

#[test]
fn vms_share_the_slack_and_one_that_does_not_know_the_others_uses_none() {
    let now = Moment(60_000);
    let new = || SendBudget::new(RATIO, SLACK, WINDOW_MS, true);
    let shared: u32 = (0..10).map(|_| take_all(&mut new(), Some(10), now)).sum();
    assert!(f64::from(shared) <= SLACK && shared >= 70, "{shared}");
    assert_eq!(take_all(&mut new(), None, now), 0);
}

#[test]
fn a_vm_uses_the_share_of_its_own_requests_without_knowing_others() {
    let mut budget = SendBudget::new(RATIO, SLACK, WINDOW_MS, true);
    let service: Arc<str> = "desk".into();
    (0..100).for_each(|_| budget.record_request(&service, Moment(500)));
    let taken = take_all(&mut budget, None, Moment(600));
    assert!((10..=20).contains(&taken), "{taken}");
}

#[test]
fn restarts_within_a_window_use_no_more_than_one_vms_slack() {
    // Each process runs for two seconds and takes all it can at the end.
    let taken: u32 = (0..5)
        .map(|_| {
            let mut budget = SendBudget::new(RATIO, SLACK, WINDOW_MS, false);
            take_all(&mut budget, Some(2), Moment(2_000))
        })
        .sum();
    assert!(f64::from(taken) <= SLACK / 2.0, "{taken}");
}

#[test]
fn unsent_extra_sends_are_returned() {
    let mut budget = SendBudget::new(RATIO, SLACK, WINDOW_MS, true);
    let first = take_all(&mut budget, Some(1), Moment(20_000));
    assert_eq!(take_all(&mut budget, Some(1), Moment(22_000)), 0);
    budget.give_back(&"desk".into(), 5, Moment(22_500));
    assert_eq!(take_all(&mut budget, Some(1), Moment(23_000)), 5);
    budget.give_back(&"desk".into(), 2 * first, Moment(23_500));
    assert_eq!(
        take_all(&mut budget, Some(1), Moment(24_000)),
        first,
        "not more than was taken"
    );
}

#[test]
fn extra_sends_count_for_one_window() {
    let mut budget = SendBudget::new(RATIO, SLACK, WINDOW_MS, true);
    let first = take_all(&mut budget, Some(1), Moment(20_000));
    assert_eq!(take_all(&mut budget, Some(1), Moment(20_000 + WINDOW_MS / 2)), 0);
    assert_eq!(take_all(&mut budget, Some(1), Moment(20_000 + WINDOW_MS)), first);
}

/// Whether the next arrival counts as extra after the given ones.
fn is_extra_after(steps: impl Fn(&mut ArrivalCount)) -> bool {
    let mut count = ArrivalCount::default();
    steps(&mut count);
    count.is_next_extra()
}

#[test]
fn only_the_first_accepted_prompt_call_is_not_counted() {
    assert!(!is_extra_after(|_| {}));
    assert!(!is_extra_after(|count| count.record_prompt_call(true)));
    assert!(
        is_extra_after(|count| count.record_prompt_call(false)),
        "a rejected prompt is the first arrival"
    );
    assert!(is_extra_after(|count| {
        count.record_prompt_call(true);
        count.record_prompt_call(true);
    }));
    assert!(is_extra_after(ArrivalCount::record_decode_call));
}
