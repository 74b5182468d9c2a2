//! Limits that replicas name: which statement counts, what an owner lets go, where calls go, and when callers come back. The
//! decisions alone, on a clock of their own.

mod plain_desk;

use std::sync::Arc;

use dotterelspan::blackboard::{RateLimit, RateLimitMap, ReplicaFacts, ReplicaId, ReplicaLoad, RequestRate};
use dotterelspan::controllers::dispatch::{
    DispatchBook, DispatchChoice, ReturnAsk, ReturnPlanner, SendOutcome,
};
use dotterelspan::controllers::rate_limits::{LimitChange, LimitRecord, LimitTable, OwnerView, RateDesk};
use dotterelspan::prelude::*;
use plain_desk::{ASK, book, facts};
use proptest::prelude::*;

/// An owner that sees all other VMs.
const SETTLED: OwnerView = OwnerView {
    is_owner: true,
    renewal: 0,
    live: 20,
    fleet: 20,
};

/// A moment long after a process's start and any takeover.
const LATER: Moment = Moment(60_000);

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).expect("a rate")
}

fn statement(start: u64, per_second: Option<f64>, asked_at: u64, answered_at: u64) -> LimitRecord {
    LimitRecord {
        replica: "i-1".into(),
        started_epoch_ms: start,
        rate: per_second.map(rate),
        first_named_at: Moment(answered_at),
        asked_at: Moment(asked_at),
        answered_at: Moment(answered_at),
        seen_by: "vm-1".into(),
    }
}

fn limit(per_second: f64, first_named_at: Moment) -> RateLimit {
    RateLimit {
        started_epoch_ms: 1,
        rate: rate(per_second),
        first_named_at,
        seen_by: "vm-1".into(),
    }
}

#[test]
fn a_later_answer_without_the_line_ends_a_limit_and_one_under_way_does_not() {
    let mut table = LimitTable::default();
    assert_eq!(table.take_own(statement(1, None, 0, 10)), LimitChange::Nothing);
    assert_eq!(
        table.take_own(statement(1, Some(5.0), 100, 120)),
        LimitChange::Named
    );
    assert_eq!(table.take_own(statement(1, None, 90, 130)), LimitChange::Nothing);
    assert_eq!(table.take_own(statement(1, None, 110, 140)), LimitChange::Nothing);
    assert_eq!(
        table.take_own(statement(1, Some(4.0), 115, 150)),
        LimitChange::OtherRate
    );
    assert_eq!(table.take_own(statement(1, None, 150, 160)), LimitChange::Ended);
    // One that was sent before the end names nothing anew, one that was sent after it does.
    assert_eq!(
        table.take_own(statement(1, Some(4.0), 140, 170)),
        LimitChange::Nothing
    );
    assert_eq!(
        table.take_own(statement(1, Some(4.0), 155, 180)),
        LimitChange::Named
    );
}

#[test]
fn a_limit_belongs_to_one_start_of_its_replica() {
    let mut table = LimitTable::default();
    table.take_own(statement(2, Some(5.0), 100, 120));
    assert_eq!(
        table.take_own(statement(1, Some(3.0), 200, 220)),
        LimitChange::Nothing
    );
    assert_eq!(table.take_own(statement(1, None, 200, 220)), LimitChange::Nothing);
    assert_eq!(table.limits()["i-1"].rate, rate(5.0));
    assert_eq!(table.take_own(statement(3, None, 90, 95)), LimitChange::Ended);
    assert!(table.limits().is_empty());
}

proptest! {
    #[test]
    fn vms_that_heard_the_same_statements_in_any_order_agree(
        statements in prop::collection::vec((prop::option::of(1_u64..5), 0_u64..50), 1..8),
        order in any::<prop::sample::Index>(),
    ) {
        // Of two requests that were sent at once, one may say this and one that; whoever names a limit counts.
        let records: Vec<LimitRecord> = statements
            .iter()
            .enumerate()
            .map(|(index, (limit, at))| {
                let asked_at = at * 10 + index as u64;
                statement(1, limit.map(|limit| limit as f64), asked_at, asked_at + 5)
            })
            .collect();
        let mut turned = records.clone();
        turned.rotate_left(order.index(records.len()));
        let take_all = |records: &[LimitRecord]| {
            let mut table = LimitTable::default();
            records.iter().cloned().for_each(|record| {
                table.take(record);
            });
            let rates: Vec<Option<RequestRate>> = table.iter().map(|record| record.rate).collect();
            rates
        };
        prop_assert_eq!(take_all(&records), take_all(&turned));
    }
}

/// Requests that a desk lets go at once in a span, asked for every millisecond.
fn let_go(desk: &mut RateDesk, limit: &RateLimit, from: Moment, span_ms: u64) -> u64 {
    let id: ReplicaId = "i-1".into();
    let mut count = 0;
    for now in (from.0..from.0 + span_ms).map(Moment) {
        desk.look(SETTLED, now);
        while desk.wait_ms(&id, limit, now) == Some(0) {
            desk.take(&id, limit, now);
            count += 1;
        }
    }
    count
}

#[test]
fn an_owner_spaces_requests_and_saves_up_little() {
    let mut desk = RateDesk::default();
    desk.look(SETTLED, Moment(1_000));
    let limit = limit(10.0, LATER);
    assert_eq!(
        let_go(&mut desk, &limit, LATER, 99),
        0,
        "nothing is saved up as a limit begins"
    );
    assert_eq!(let_go(&mut desk, &limit, LATER.after_ms(99), 4_000), 40);
    // After a pause as much as was saved up goes at once.
    let after_pause = LATER.after_ms(10_000);
    desk.look(SETTLED, LATER.after_ms(9_000));
    assert!(let_go(&mut desk, &limit, after_pause, 1) <= 4);
}

#[test]
fn what_was_let_go_and_not_sent_goes_back() {
    let id: ReplicaId = "i-1".into();
    let mut desk = RateDesk::default();
    desk.look(SETTLED, LATER);
    let limit = limit(2.0, LATER);
    let now = LATER.after_ms(500);
    assert_eq!(desk.take(&id, &limit, now), Some(0));
    assert_eq!(desk.wait_ms(&id, &limit, now), Some(500));
    desk.give_back(&id, &limit, now);
    assert_eq!(desk.wait_ms(&id, &limit, now), Some(0));
}

#[test]
fn no_request_goes_where_the_limit_is_zero() {
    let mut desk = RateDesk::default();
    desk.look(SETTLED, LATER);
    let id: ReplicaId = "i-1".into();
    assert_eq!(desk.wait_ms(&id, &limit(0.0, LATER), LATER), None);
    assert_eq!(desk.take(&id, &limit(0.0, LATER), LATER), None);
}

/// The part of a limit that a desk grants which has looked at its standing for a while.
fn part_after(views: &[(OwnerView, u64)]) -> f64 {
    let mut desk = RateDesk::default();
    let mut now = LATER;
    for (view, span_ms) in views {
        for _ in (0..*span_ms).step_by(250) {
            desk.look(*view, now);
            now = now.after_ms(250);
        }
    }
    let named_long_before = limit(100.0, Moment(10_000));
    desk.rate(&named_long_before, now).per_second() / 100.0
}

#[test]
fn an_owner_that_may_not_be_alone_grants_a_part() {
    let stand_in = OwnerView {
        is_owner: false,
        ..SETTLED
    };
    let few = OwnerView { live: 5, ..SETTLED };
    let half = OwnerView { live: 10, ..SETTLED };
    let refuted = OwnerView {
        renewal: 1,
        ..SETTLED
    };
    let lone = OwnerView { live: 0, ..SETTLED };
    assert_eq!(part_after(&[(SETTLED, 10_000)]), 1.0);
    assert_eq!(part_after(&[(SETTLED, 1_000)]), 0.25, "it has just taken over");
    assert_eq!(part_after(&[(SETTLED, 3_000)]), 0.5);
    assert_eq!(
        part_after(&[(stand_in, 10_000)]),
        0.125,
        "another one is the owner"
    );
    assert_eq!(part_after(&[(few, 10_000)]), 0.25, "it sees a quarter of the VMs");
    assert_eq!(
        part_after(&[(half, 10_000)]),
        0.5,
        "it sees one half of them, and another owner the other"
    );
    assert_eq!(
        part_after(&[(SETTLED, 10_000), (refuted, 250)]),
        0.25,
        "others took it for dead"
    );
    assert_eq!(
        part_after(&[(SETTLED, 10_000), (stand_in, 250), (SETTLED, 250)]),
        0.25
    );
    assert_eq!(part_after(&[(lone, 10_000)]), 0.0, "it has met nobody yet");
}

#[test]
fn an_owner_to_which_limits_were_handed_over_grants_them_whole() {
    let mut desk = RateDesk::default();
    desk.look(SETTLED, LATER);
    desk.take_over(LATER);
    let old = limit(100.0, Moment(10_000));
    assert_eq!(desk.rate(&old, LATER), rate(100.0));
    let stand_in = OwnerView {
        is_owner: false,
        ..SETTLED
    };
    assert!(desk.look(stand_in, LATER), "it has ceased to be the owner");
    assert!(!desk.look(stand_in, LATER));
    assert_eq!(desk.rate(&old, LATER), rate(12.5));
}

#[test]
fn an_owner_that_was_suspended_begins_again_with_a_part() {
    let mut desk = RateDesk::default();
    desk.look(SETTLED, LATER);
    desk.look(SETTLED, LATER.after_ms(10_000));
    let old = limit(100.0, Moment(10_000));
    assert_eq!(desk.rate(&old, LATER.after_ms(10_000)), rate(25.0));
}

#[test]
fn a_limit_that_is_new_to_all_is_granted_whole() {
    let mut desk = RateDesk::default();
    desk.look(SETTLED, LATER);
    let new = limit(100.0, LATER);
    assert_eq!(desk.rate(&new, LATER), rate(100.0));
}

fn limited_book(replicas: &[ReplicaFacts], limits: &[(&str, f64)]) -> DispatchBook {
    let mut book = book(replicas, LATER);
    let limits: RateLimitMap = limits
        .iter()
        .map(|(id, per_second)| (ReplicaId::from(*id), limit(*per_second, LATER)))
        .collect();
    book.set_limits(&Arc::new(limits));
    book
}

fn fill(book: &mut DispatchBook, id: &str, running: u32) {
    let load = ReplicaLoad {
        running,
        waiting: 0,
        slots: 4,
        pace_percent: 100,
    };
    book.note_load(&id.into(), load, LATER);
}

#[test]
fn replicas_without_a_limit_go_first_while_they_have_slots_free() {
    let replicas = [facts("i-1", 1), facts("i-2", 1)];
    let mut book = limited_book(&replicas, &[("i-1", 5.0)]);
    let free = DispatchChoice::Free(replicas[1].record.clone());
    fill(&mut book, "i-2", 3);
    assert_eq!(book.choose(&ASK, LATER), Some(free.clone()));
    fill(&mut book, "i-2", 4);
    let limited = DispatchChoice::Limited(vec!["i-1".into()]);
    assert_eq!(book.choose(&ASK, LATER), Some(limited));
    // Without a permit for the first one the second one has the call wait.
    book.note_no_permit(&["i-1".into()], LATER.after_ms(100));
    assert_eq!(book.choose(&ASK, LATER), Some(free));
}

#[test]
fn a_replica_that_names_a_limit_goes_before_one_that_is_much_slower() {
    let replicas = [facts("i-1", 1), facts("i-2", 1)];
    let mut book = limited_book(&replicas, &[("i-1", 5.0)]);
    for (id, answer_ms) in [("i-1", 20), ("i-2", 50)] {
        book.finish(&id.into(), 0, SendOutcome::Served(answer_ms), LATER);
    }
    assert_eq!(
        book.choose(&ASK, LATER),
        Some(DispatchChoice::Free(replicas[1].record.clone()))
    );
    for _ in 0..20 {
        book.finish(&"i-2".into(), 0, SendOutcome::Served(300), LATER);
    }
    assert_eq!(
        book.choose(&ASK, LATER),
        Some(DispatchChoice::Limited(vec!["i-1".into()]))
    );
}

#[test]
fn a_replica_that_takes_nothing_is_not_asked_for() {
    let replicas = [facts("i-1", 1)];
    let mut book = limited_book(&replicas, &[("i-1", 0.0)]);
    assert_eq!(book.choose(&ASK, LATER), None);
    let asker = ReturnAsk {
        request_id: "q-1",
        deadline: LATER.after_ms(9_000),
        vms: 3,
    };
    let return_ms = book.plan_return_ms(&"desk".into(), &asker, LATER);
    assert!(
        return_ms.is_some_and(|return_ms| return_ms <= 3_000),
        "{return_ms:?}"
    );
}

#[test]
fn callers_that_are_refused_come_back_over_the_time_that_the_limits_need() {
    let mut planner = ReturnPlanner::default();
    let returns: Vec<u64> = (0..60)
        .map(|number| {
            let id = format!("q-{number}");
            let asker = ReturnAsk {
                request_id: &id,
                deadline: LATER.after_ms(14_000),
                vms: 3,
            };
            planner.plan_ms(rate(60.0), 100, &asker, LATER.after_ms(number * 10))
        })
        .collect();
    // 180 requests a second at three VMs need three seconds at 60 a second.
    let (first, last) = (returns.iter().min(), returns.iter().max());
    assert!(
        first.is_some_and(|first| (100..500).contains(first)),
        "{returns:?}"
    );
    assert!(
        last.is_some_and(|last| (2_000..=3_100).contains(last)),
        "{returns:?}"
    );
    let early = returns[30..].iter().filter(|at| **at < 1_500).count();
    assert!((8..=22).contains(&early), "they are spread: {returns:?}");
}
