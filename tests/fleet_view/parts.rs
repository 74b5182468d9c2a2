//! Crash cases of parts that the prompts of unlike requests share.

use std::sync::Arc;

use dotterelspan::blackboard::{FeatureSet, RequestFeature, RunRestriction, TrialScope};
use dotterelspan::controllers::Reply;
use dotterelspan::controllers::quarantine::{CrashSuspect, RunLoss, UpstreamOutcome};
use dotterelspan::prelude::*;

use crate::simulated_fleet::SimulatedFleet;
use crate::{AGREE_MS, change};

/// The number of nodes in these fleets.
const NODES: usize = 30;

/// How long a message takes to reach all nodes by gossip, in milliseconds.
const GOSSIP_MS: u64 = 300;

/// The duration of a first quarantine, in milliseconds.
const FIRST_QUARANTINE_MS: u64 = 10_000;

fn deadly() -> RequestFeature {
    RequestFeature::part("m", b"deadly")
}

fn other_deadly() -> RequestFeature {
    RequestFeature::part("m", b"other deadly")
}

fn shared() -> RequestFeature {
    RequestFeature::part("m", b"shared")
}

/// A fleet whose nodes have a list of six replicas.
fn start(seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(NODES, seed);
    fleet.run_ms(AGREE_MS);
    fleet.read_all(change(0, 10, &["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"], &[]));
    fleet.run_ms(GOSSIP_MS);
    fleet
}

fn crash_count(fleet: &SimulatedFleet, node: usize, feature: RequestFeature) -> u32 {
    let suspicion = fleet.board(node).suspicions.get(feature);
    suspicion.map_or(0, |suspicion| suspicion.crash_count)
}

/// A replica crashes under a request that began with what the node knew then.
fn crash(fleet: &mut SimulatedFleet, node: usize, upstream: &str, features: &FeatureSet) {
    let known_counts: Arc<[CrashSuspect]> = features
        .as_slice()
        .iter()
        .map(|feature| CrashSuspect {
            feature: *feature,
            crash_count: crash_count(fleet, node, *feature),
        })
        .collect();
    let lost_at = fleet.clock_of(node);
    let loss = RunLoss {
        known_counts,
        upstream: upstream.into(),
        incarnation: 1,
        began_at: Moment(lost_at.0 - 60),
        lost_at,
        outcome: UpstreamOutcome::Ended,
    };
    let ticket = ReplyTicket(0);
    fleet.send_event(node, &Event::RequestLost { ticket, loss });
    fleet.run_ms(GOSSIP_MS);
}

fn pass(fleet: &mut SimulatedFleet, node: usize, feature: RequestFeature) {
    let features = [feature].into();
    fleet.send_event(node, &Event::RequestPassed { features });
}

fn restriction(fleet: &SimulatedFleet, node: usize, features: &FeatureSet) -> RunRestriction {
    let now = fleet.clock_of(node);
    fleet.board(node).suspicions.restriction(features, now)
}

fn is_quarantined(fleet: &SimulatedFleet, node: usize, feature: RequestFeature) -> bool {
    let until = fleet.board(node).quarantined_until(feature, fleet.clock_of(node));
    until.is_some()
}

#[test]
fn two_crashes_in_a_row_under_unlike_requests_quarantine_their_common_part() {
    let mut fleet = start(1);
    crash(&mut fleet, 3, "i-1", &FeatureSet::new(1, [deadly()]));
    assert!((0..NODES).all(|node| crash_count(&fleet, node, deadly()) == 1));
    crash(&mut fleet, 8, "i-2", &FeatureSet::new(2, [deadly()]));
    let other = FeatureSet::new(3, [deadly()]);
    for node in 0..NODES {
        let restriction = restriction(&fleet, node, &other);
        let RunRestriction::Quarantined { feature, .. } = restriction else {
            panic!("node {node}: {restriction:?}");
        };
        assert_eq!(feature, deadly());
    }
    let unlike = FeatureSet::new(4, [shared()]);
    assert_eq!(restriction(&fleet, 5, &unlike), RunRestriction::Unrestricted);
}

#[test]
fn crashes_at_one_moment_count_once_against_a_part() {
    let mut fleet = start(2);
    let counts = |content| -> Arc<[CrashSuspect]> {
        let features = FeatureSet::new(content, [shared()]);
        let counts = features.as_slice().iter().map(|feature| CrashSuspect {
            feature: *feature,
            crash_count: 0,
        });
        counts.collect()
    };
    // Two of the runs were at one node, began 50 ms apart and were found lost 40 ms apart.
    for (content, node, upstream, late_ms) in [(1, 1, "i-1", 0), (2, 1, "i-2", 40), (3, 2, "i-3", 5)] {
        let now = fleet.clock_of(node);
        let loss = RunLoss {
            known_counts: counts(content),
            upstream: upstream.into(),
            incarnation: 1,
            began_at: Moment(now.0 - 100 - late_ms * 5 / 4),
            lost_at: now.after_ms(late_ms),
            outcome: UpstreamOutcome::Ended,
        };
        let ticket = ReplyTicket(0);
        fleet.send_event(node, &Event::RequestLost { ticket, loss });
    }
    fleet.run_ms(GOSSIP_MS);
    assert!((0..NODES).all(|node| crash_count(&fleet, node, shared()) == 1));
}

#[test]
fn a_part_with_which_requests_pass_at_many_nodes_is_cleared_at_once() {
    let mut fleet = start(3);
    for round in 0..3_usize {
        // No node alone has seen enough passes.
        (0..5).for_each(|node| pass(&mut fleet, node, shared()));
        let upstream = ["i-1", "i-2", "i-3"][round];
        crash(
            &mut fleet,
            9 + round,
            upstream,
            &FeatureSet::new(round as u64, [shared()]),
        );
        let counts: Vec<u32> = (0..NODES)
            .map(|node| crash_count(&fleet, node, shared()))
            .collect();
        assert_eq!(counts, [0; NODES], "round {round}");
    }
}

#[test]
fn a_node_that_completed_requests_with_a_part_does_not_restrict_it_at_its_first_crash() {
    let mut fleet = start(4);
    pass(&mut fleet, 4, shared());
    let features = FeatureSet::new(1, [shared()]);
    let lost_at = fleet.clock_of(6);
    let known_counts = features.as_slice().iter().map(|feature| CrashSuspect {
        feature: *feature,
        crash_count: 0,
    });
    let loss = RunLoss {
        known_counts: known_counts.collect(),
        upstream: "i-1".into(),
        incarnation: 1,
        began_at: Moment(lost_at.0 - 60),
        lost_at,
        outcome: UpstreamOutcome::Ended,
    };
    let ticket = ReplyTicket(0);
    fleet.send_event(6, &Event::RequestLost { ticket, loss });
    fleet.run_ms(100);
    let other = FeatureSet::new(2, [shared()]);
    assert_eq!(restriction(&fleet, 4, &other), RunRestriction::Unrestricted);
    assert!(matches!(restriction(&fleet, 5, &other), RunRestriction::Trial(_)));
    fleet.run_ms(500);
    assert!(
        matches!(restriction(&fleet, 4, &other), RunRestriction::Trial(_)),
        "one pass does not clear the part"
    );
}

#[test]
fn passes_from_before_the_first_crash_do_not_clear_a_part_of_a_second_one() {
    let mut fleet = start(5);
    for node in 0..NODES {
        (0..9).for_each(|_| pass(&mut fleet, node, deadly()));
    }
    // The part becomes harmful: nothing passes any more.
    for (upstream, content) in [("i-1", 1), ("i-2", 2), ("i-3", 3)] {
        crash(&mut fleet, 2, upstream, &FeatureSet::new(content, [deadly()]));
    }
    assert!((0..NODES).all(|node| is_quarantined(&fleet, node, deadly())));
}

/// Two crashes under unlike requests with the shared part and one of these, after which the shared one is held.
fn crash_with_shared_part(fleet: &mut SimulatedFleet, others: [RequestFeature; 2]) {
    for (content, (upstream, other)) in (1..).zip(["i-1", "i-2"].into_iter().zip(others)) {
        crash(fleet, 3, upstream, &FeatureSet::new(content, [shared(), other]));
    }
    assert!((0..NODES).all(|node| is_quarantined(fleet, node, shared())));
}

/// Checks that requests with the held shared part and a harmful one are refused, and that those with the shared one
/// alone are trial runs, which clear it.
fn assert_trials_clear_the_shared_part(fleet: &mut SimulatedFleet, harmful: &[RequestFeature]) {
    for part in harmful {
        let both = FeatureSet::new(3, [shared(), *part]);
        assert!(matches!(
            restriction(fleet, 7, &both),
            RunRestriction::Quarantined { .. }
        ));
    }
    let scope = TrialScope {
        feature: shared(),
        tells_apart: true,
    };
    let harmless = FeatureSet::new(4, [shared()]);
    assert_eq!(restriction(fleet, 7, &harmless), RunRestriction::Trial(scope));
    for node in [7, 8, 9] {
        pass(fleet, node, shared());
        fleet.run_ms(GOSSIP_MS);
    }
    for node in 0..NODES {
        assert_eq!(crash_count(fleet, node, shared()), 0, "node {node}");
        assert_eq!(restriction(fleet, node, &harmless), RunRestriction::Unrestricted);
    }
}

#[test]
fn requests_without_the_other_common_part_show_which_of_two_is_harmful() {
    let mut fleet = start(6);
    crash_with_shared_part(&mut fleet, [deadly(), deadly()]);
    assert_trials_clear_the_shared_part(&mut fleet, &[deadly()]);
    assert!((0..NODES).all(|node| is_quarantined(&fleet, node, deadly())));
}

// Guards against a part that all requests share being held, since two harmful ones came before any harmless one.
#[test]
fn requests_without_either_of_two_harmful_parts_show_that_their_common_part_is_harmless() {
    let mut fleet = start(12);
    crash_with_shared_part(&mut fleet, [deadly(), other_deadly()]);
    assert_trials_clear_the_shared_part(&mut fleet, &[deadly(), other_deadly()]);
    assert!((0..NODES).all(|node| crash_count(&fleet, node, deadly()) == 1));
}

// Guards against one more crash for each unlike part beside the harmful one.
#[test]
fn a_third_crash_ends_the_trial_runs_of_a_part_beside_unlike_ones() {
    let mut fleet = start(13);
    crash_with_shared_part(&mut fleet, [deadly(), other_deadly()]);
    let third = RequestFeature::part("m", b"third");
    crash(&mut fleet, 5, "i-3", &FeatureSet::new(5, [shared(), third]));
    let harmless = FeatureSet::new(6, [shared()]);
    assert!((0..NODES).all(|node| matches!(
        restriction(&fleet, node, &harmless),
        RunRestriction::Quarantined { .. }
    )));
}

#[test]
fn a_quarantined_part_comes_free_once_requests_with_it_pass() {
    let mut fleet = start(7);
    for (upstream, content) in [("i-1", 1), ("i-2", 2)] {
        crash(&mut fleet, 3, upstream, &FeatureSet::new(content, [deadly()]));
    }
    fleet.run_ms(FIRST_QUARANTINE_MS);
    let other = FeatureSet::new(3, [deadly()]);
    assert!(matches!(restriction(&fleet, 5, &other), RunRestriction::Trial(_)));
    for node in [5, 6, 7] {
        pass(&mut fleet, node, deadly());
        fleet.run_ms(GOSSIP_MS);
    }
    assert!((0..NODES).all(|node| crash_count(&fleet, node, deadly()) == 0));
}

#[test]
fn a_restarted_node_learns_of_quarantined_parts_and_of_their_companions() {
    let mut fleet = start(8);
    crash_with_shared_part(&mut fleet, [deadly(), deadly()]);
    fleet.restart(7);
    fleet.run_ms(2_000);
    let both = FeatureSet::new(3, [shared(), deadly()]);
    assert!(matches!(
        restriction(&fleet, 7, &both),
        RunRestriction::Quarantined { .. }
    ));
    let harmless = FeatureSet::new(4, [shared()]);
    assert!(matches!(
        restriction(&fleet, 7, &harmless),
        RunRestriction::Trial(_)
    ));
}

#[test]
fn a_list_of_many_parts_in_crashing_requests_keeps_earlier_quarantines() {
    let mut fleet = SimulatedFleet::new(2, 9);
    fleet.run_ms(AGREE_MS);
    fleet.read_all(change(0, 10, &["i-1", "i-2"], &[]));
    fleet.run_ms(GOSSIP_MS);
    for (upstream, content) in [("i-1", 1), ("i-2", 2)] {
        crash(&mut fleet, 0, upstream, &FeatureSet::new(content, [deadly()]));
    }
    for content in 0..100_u64 {
        let parts = (0..100_u64).map(|number| {
            let text = format!("{content}-{number}");
            RequestFeature::part("m", text.as_bytes())
        });
        crash(&mut fleet, 1, "i-1", &FeatureSet::new(1_000 + content, parts));
    }
    for node in 0..2 {
        let suspicions = &fleet.board(node).suspicions;
        assert!(suspicions.len() <= 4_096, "{}", suspicions.len());
        assert_eq!(crash_count(&fleet, node, deadly()), 2);
    }
}

/// Asks for a trial run at a node; returns the crash count with which it is granted, if it is within 100 ms.
fn begin_trial(fleet: &mut SimulatedFleet, node: usize, number: u64) -> Option<u32> {
    fleet.take_replies();
    let wanted = Event::TrialWanted {
        ticket: ReplyTicket(number),
        scope: TrialScope {
            feature: deadly(),
            tells_apart: false,
        },
        deadline: fleet.clock_of(node).after_ms(4_000),
    };
    fleet.send_event(node, &wanted);
    fleet.run_ms(100);
    let mut replies = fleet.take_replies().into_iter();
    replies.find_map(|(_, _, reply)| match reply {
        Reply::TrialGranted { crash_count } => Some(crash_count),
        _ => None,
    })
}

#[test]
fn each_pass_since_the_latest_crash_allows_one_more_trial_run_at_a_time() {
    let mut fleet = start(10);
    crash(&mut fleet, 3, "i-1", &FeatureSet::new(1, [deadly()]));
    assert!(begin_trial(&mut fleet, 4, 1).is_some());
    assert!(begin_trial(&mut fleet, 5, 2).is_none());
    // The caller of the waiting request leaves.
    let feature = deadly();
    fleet.send_event(5, &Event::TrialDone { feature, number: 2 });
    pass(&mut fleet, 4, deadly());
    fleet.run_ms(GOSSIP_MS);
    assert!(begin_trial(&mut fleet, 6, 3).is_some());
    assert!(begin_trial(&mut fleet, 7, 4).is_none());
}

#[test]
fn a_pass_between_two_crashes_breaks_the_row_of_a_part() {
    let mut fleet = start(11);
    crash(&mut fleet, 3, "i-1", &FeatureSet::new(1, [deadly()]));
    assert_eq!(begin_trial(&mut fleet, 4, 1), Some(1));
    pass(&mut fleet, 4, deadly());
    let feature = deadly();
    fleet.send_event(4, &Event::TrialDone { feature, number: 1 });
    fleet.run_ms(GOSSIP_MS);
    assert_eq!(begin_trial(&mut fleet, 5, 2), Some(0));
}
