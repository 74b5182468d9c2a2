//! Decisions on replicas that request a backoff and on replicas that announce that they leave.

mod plain_desk;

use std::sync::Arc;

use dotterelspan::blackboard::{Blackboard, OwnIdentity, ReplicaRecord, ReplicaRole};
use dotterelspan::clock::Moment;
use dotterelspan::controllers::discovery::{DiscoveryController, ReplicaUpdate};
use dotterelspan::controllers::dispatch::DispatchChoice;
use dotterelspan::controllers::{ControlCore, Event};
use dotterelspan::prelude::StorePosition;
use plain_desk::{CRITERIA, facts, record, selector};

#[test]
fn a_replica_gets_no_requests_until_its_backoff_ends() {
    let replicas = [facts("i-1", 1), facts("i-2", 1)];
    let mut selector = selector(&replicas, Moment(0));
    selector.record_backoff(&replicas[0].record, Moment(1_000));
    // A later, shorter backoff doesn't shorten the first one.
    selector.record_backoff(&replicas[0].record, Moment(500));
    for at in 0..1_000 {
        let other = DispatchChoice::Unlimited(replicas[1].record.clone());
        assert_eq!(selector.choose(&CRITERIA, Moment(at)), Some(other), "at {at}");
    }
    assert_eq!(
        selector.first_backoff_end("desk", ReplicaRole::Plain, Moment(10)),
        None
    );
    selector.record_backoff(&replicas[1].record, Moment(700));
    assert!(selector.choose(&CRITERIA, Moment(10)).is_none());
    assert_eq!(
        selector.first_backoff_end("desk", ReplicaRole::Plain, Moment(10)),
        Some(Moment(700))
    );
    assert!(selector.choose(&CRITERIA, Moment(700)).is_some());
}

#[test]
fn a_backoff_outlasts_a_gap_in_the_list_but_not_a_restart() {
    let replicas = [facts("i-1", 1)];
    let mut selector = selector(&replicas, Moment(0));
    selector.record_backoff(&replicas[0].record, Moment(1_000));
    selector.replace([].iter(), Moment(100));
    selector.replace(replicas.iter(), Moment(200));
    assert!(selector.choose(&CRITERIA, Moment(300)).is_none());
    selector.replace([facts("i-1", 2)].iter(), Moment(400));
    assert!(selector.choose(&CRITERIA, Moment(500)).is_some());
}

/// Guards against an owner that hasn't learned that an engine left: it would assign that engine forever if
/// requests for slots didn't name it as withheld.
#[test]
fn replicas_in_backoff_and_those_that_left_are_withheld() {
    let mut leaving = facts("i-1", 1);
    leaving.stop_at = Some(Moment(500));
    let replicas = [leaving, facts("i-2", 1), facts("i-3", 1)];
    let mut selector = selector(&replicas, Moment(0));
    assert!(selector.withheld("desk", Moment(499)).is_empty());
    selector.record_backoff(&replicas[1].record, Moment(2_000));
    let mut withheld = selector.withheld("desk", Moment(500));
    withheld.sort();
    assert_eq!(withheld, ["i-1".into(), "i-2".into()] as [Arc<str>; 2]);
}

fn core() -> ControlCore {
    let own = OwnIdentity {
        name: "vm-1".into(),
        zone: "a".into(),
        caller_address: "127.0.0.1:1".into(),
        peer_address: "127.0.0.1:2".into(),
        incarnation: 1,
        started_epoch_ms: 1,
        millicores: 0,
    };
    ControlCore::new(
        Blackboard::new(own),
        vec![Box::new(DiscoveryController::default())],
    )
}

fn listed(record: ReplicaRecord, revision: u64) -> Event {
    Event::ReplicasRead {
        update: ReplicaUpdate {
            position: StorePosition::without_era(revision),
            since: StorePosition::without_era(revision - 1),
            is_whole: revision == 1,
            is_difference: false,
            present: vec![record],
            removed: Vec::new(),
        },
        store_position: StorePosition::without_era(revision),
    }
}

#[test]
fn a_replicas_leave_announcement_outlasts_its_list_entry() {
    let mut core = core();
    let stop_of = |core: &ControlCore| core.board.replicas.get("i-1").and_then(|facts| facts.stop_at);
    core.handle(&listed(record("i-1", 7), 1), Moment(1_000));
    assert_eq!(stop_of(&core), None);
    let leaving = Event::ReplicaLeaving {
        replica: "i-1".into(),
        started_epoch_ms: 7,
    };
    core.handle(&leaving, Moment(2_000));
    let stop_at = stop_of(&core).expect("it leaves");
    assert!(stop_at <= Moment(4_000), "within the shortest bound of 2 s");
    // Neither a later answer nor a list entry without the mark moves the stop time.
    core.handle(&leaving, Moment(3_000));
    let other_slots = ReplicaRecord {
        slots: 5,
        ..record("i-1", 7)
    };
    core.handle(&listed(other_slots, 2), Moment(3_500));
    assert_eq!(stop_of(&core), Some(stop_at));
    // The announcement doesn't apply to the replica's next start.
    core.handle(&listed(record("i-1", 8), 3), Moment(5_000));
    assert_eq!(stop_of(&core), None);
    // A late announcement of the earlier start doesn't apply to the new one.
    core.handle(&leaving, Moment(5_100));
    assert_eq!(stop_of(&core), None);
}
