//! When an owner that does not answer is considered dead, on a simulated clock.

use dotterelspan::controllers::owner_watch::OwnerWatch;
use dotterelspan::prelude::*;

/// When the owner stops answering.
const START: Moment = Moment(60_000);

/// The longest silence after which an owner is considered dead, in milliseconds.
const MAX_SILENCE_MS: u64 = 700;

/// Records a missing answer for each 20 ms, by a process that checks only at the given times. Returns the
/// check at which the owner is considered dead.
fn dead_after_ms(watch: &mut OwnerWatch, checks_ms: &[u64]) -> Option<u64> {
    let owner: VmName = "vm-1".into();
    let mut recorded_ms = 0;
    for check_ms in checks_ms {
        let now = START.after_ms(*check_ms);
        let due = (recorded_ms..=*check_ms)
            .step_by(20)
            .map(|due_ms| START.after_ms(due_ms));
        let missing: Vec<bool> = due
            .map(|due_at| watch.record_missing_answer(&owner, due_at, now))
            .collect();
        if missing.contains(&true) {
            return Some(*check_ms);
        }
        recorded_ms = check_ms + 20;
    }
    None
}

fn each_20_ms(from_ms: u64, to_ms: u64) -> Vec<u64> {
    (from_ms..to_ms).step_by(20).collect()
}

#[test]
fn an_owner_that_answers_nothing_is_considered_dead() {
    let mut watch = OwnerWatch::default();
    let dead_ms =
        dead_after_ms(&mut watch, &each_20_ms(0, 2_000)).expect("a silent owner is considered dead");
    assert!((300..=MAX_SILENCE_MS).contains(&dead_ms), "{dead_ms}");
}

#[test]
fn answers_that_are_late_together_do_not_make_an_owner_dead() {
    let mut watch = OwnerWatch::default();
    let owner: VmName = "vm-1".into();
    for stall in 0..20 {
        let begin_ms = stall * 400;
        let checks = each_20_ms(begin_ms, begin_ms + 200);
        assert_eq!(dead_after_ms(&mut watch, &checks), None);
        watch.record_answer(&owner);
    }
}

#[test]
fn a_stall_of_the_asking_process_does_not_count_as_silence_of_the_owner() {
    let mut watch = OwnerWatch::default();
    let checks = [each_20_ms(0, 200), vec![1_500], each_20_ms(1_520, 1_700)].concat();
    assert_eq!(dead_after_ms(&mut watch, &checks), None);
}

#[test]
fn an_answer_missing_long_ago_does_not_count() {
    let mut watch = OwnerWatch::default();
    let owner: VmName = "vm-1".into();
    assert!(!watch.record_missing_answer(&owner, START, START));
    let later = START.after_ms(60_000);
    assert!(!watch.record_missing_answer(&owner, later, later));
}
