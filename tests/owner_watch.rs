//! When an owner that does not answer is taken for dead, on a clock of its own.

use dotterelspan::controllers::owner_watch::OwnerWatch;
use dotterelspan::prelude::*;

/// When the owner falls silent.
const START: Moment = Moment(60_000);

/// How long asks go unanswered until their owner is taken for dead at the latest, in milliseconds.
const DEAD_WITHIN_MS: u64 = 700;

/// Notes asks that were due each 20 ms over a span, by a process that looks at some of these moments; when the owner is dead.
fn dead_after_ms(watch: &mut OwnerWatch, looks_ms: &[u64]) -> Option<u64> {
    let owner: VmName = "vm-1".into();
    let mut noted_ms = 0;
    for look_ms in looks_ms {
        let now = START.after_ms(*look_ms);
        let due = (noted_ms..=*look_ms)
            .step_by(20)
            .map(|due_ms| START.after_ms(due_ms));
        let missing: Vec<bool> = due
            .map(|due_at| watch.note_missing(&owner, due_at, now))
            .collect();
        if missing.contains(&true) {
            return Some(*look_ms);
        }
        noted_ms = look_ms + 20;
    }
    None
}

fn each_20_ms(from_ms: u64, to_ms: u64) -> Vec<u64> {
    (from_ms..to_ms).step_by(20).collect()
}

#[test]
fn an_owner_that_answers_nothing_is_taken_for_dead() {
    let mut watch = OwnerWatch::default();
    let dead_ms = dead_after_ms(&mut watch, &each_20_ms(0, 2_000)).expect("it is silent");
    assert!((300..=DEAD_WITHIN_MS).contains(&dead_ms), "{dead_ms}");
}

#[test]
fn asks_that_are_late_together_do_not_end_an_owner() {
    let mut watch = OwnerWatch::default();
    let owner: VmName = "vm-1".into();
    for stall in 0..20 {
        let begin_ms = stall * 400;
        let looks = each_20_ms(begin_ms, begin_ms + 200);
        assert_eq!(dead_after_ms(&mut watch, &looks), None);
        watch.note_answer(&owner);
    }
}

#[test]
fn the_asker_s_own_stall_does_not_count_as_silence_of_the_owner() {
    let mut watch = OwnerWatch::default();
    let looks = [each_20_ms(0, 200), vec![1_500], each_20_ms(1_520, 1_700)].concat();
    assert_eq!(dead_after_ms(&mut watch, &looks), None);
}

#[test]
fn a_silence_of_long_ago_does_not_count() {
    let mut watch = OwnerWatch::default();
    let owner: VmName = "vm-1".into();
    assert!(!watch.note_missing(&owner, START, START));
    let later = START.after_ms(60_000);
    assert!(!watch.note_missing(&owner, later, later));
}
