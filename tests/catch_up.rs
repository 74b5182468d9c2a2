//! Requests wait for a moment after their process was suspended, until the control thread has caught up.

use dotterelspan::prelude::*;
use dotterelspan::runtime::CatchUpMark;

#[test]
fn no_request_waits_while_the_control_thread_runs_regularly() {
    let mark = CatchUpMark::new(Moment(0));
    for turn in 0..100 {
        let now = Moment(turn * 250);
        assert_eq!(mark.note_turn(now), None);
        assert_eq!(mark.wait_until(now.after_ms(249)), None);
    }
}

#[test]
fn requests_that_run_before_the_control_thread_wait_too() {
    let mark = CatchUpMark::new(Moment(0));
    mark.note_turn(Moment(1_000));
    let resumed_at = Moment(5_000);
    assert!(
        mark.wait_until(resumed_at)
            .is_some_and(|until| until > resumed_at)
    );
    assert_eq!(mark.note_turn(resumed_at), Some(4_000));
    let wait_until = mark.wait_until(resumed_at).expect("requests wait");
    assert_eq!(mark.note_turn(wait_until), None);
    assert_eq!(mark.wait_until(wait_until), None);
}

#[test]
fn a_second_stop_makes_requests_wait_again() {
    let mark = CatchUpMark::new(Moment(0));
    mark.note_turn(Moment(4_000));
    mark.note_turn(Moment(4_050));
    assert_eq!(mark.note_turn(Moment(5_050)), Some(1_000));
    assert!(mark.wait_until(Moment(5_060)).is_some());
}
