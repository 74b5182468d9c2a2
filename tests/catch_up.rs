//! Requests wait for a moment after their process was suspended, until the control thread has caught up.

use dotterelspan::prelude::*;
use dotterelspan::runtime::SuspensionTracker;

#[test]
fn no_request_waits_while_the_control_thread_runs_regularly() {
    let mark = SuspensionTracker::new(Moment(0));
    for turn in 0..100 {
        let now = Moment(turn * 250);
        assert_eq!(mark.record_wakeup(now), None);
        assert_eq!(mark.wait_until(now.after_ms(249)), None);
    }
}

#[test]
fn requests_that_run_before_the_control_thread_wait_too() {
    let mark = SuspensionTracker::new(Moment(0));
    mark.record_wakeup(Moment(1_000));
    let resumed_at = Moment(5_000);
    assert!(
        mark.wait_until(resumed_at)
            .is_some_and(|until| until > resumed_at)
    );
    assert_eq!(mark.record_wakeup(resumed_at), Some(4_000));
    let wait_until = mark.wait_until(resumed_at).expect("requests wait");
    assert_eq!(mark.record_wakeup(wait_until), None);
    assert_eq!(mark.wait_until(wait_until), None);
}

#[test]
fn a_second_stop_makes_requests_wait_again() {
    let mark = SuspensionTracker::new(Moment(0));
    mark.record_wakeup(Moment(4_000));
    mark.record_wakeup(Moment(4_050));
    assert_eq!(mark.record_wakeup(Moment(5_050)), Some(1_000));
    assert!(mark.wait_until(Moment(5_060)).is_some());
}
