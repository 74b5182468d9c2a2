//! Crash cases and quarantines as the nodes of a fleet share them.

use std::sync::Arc;

use dotterelspan::blackboard::{RequestFeature, TrialScope};
use dotterelspan::controllers::Reply;
use dotterelspan::controllers::quarantine::{CrashSuspect, RunLoss, UpstreamOutcome};
use dotterelspan::prelude::*;

use crate::simulated_fleet::SimulatedFleet;
use crate::{AGREE_MS, change};

/// The number of nodes in these fleets.
const NODES: usize = 30;

/// The content of the request that crashes replicas.
fn deadly() -> RequestFeature {
    RequestFeature::content(0xdead)
}

/// How long a message takes to reach all nodes by gossip, in milliseconds.
const GOSSIP_MS: u64 = 300;

/// How long a node that missed messages takes to learn their content from others, in milliseconds.
const SYNC_MS: u64 = 4_000;

/// The duration of a first quarantine, in milliseconds.
const FIRST_QUARANTINE_MS: u64 = 10_000;

/// The deadline of a request that asks for a trial run, in milliseconds from now.
const DEADLINE_MS: u64 = 4_000;

/// A fleet whose nodes have a list of six replicas.
fn start(seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(NODES, seed);
    fleet.run_ms(AGREE_MS);
    fleet.read_all(change(0, 10, &["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"], &[]));
    fleet.run_ms(GOSSIP_MS);
    fleet
}

/// A run at a node that began 60 ms ago and is lost now.
fn new_loss(fleet: &SimulatedFleet, node: usize, upstream: &str, known_crash_count: u32) -> RunLoss {
    let lost_at = fleet.clock_of(node);
    RunLoss {
        known_counts: [CrashSuspect {
            feature: deadly(),
            crash_count: known_crash_count,
        }]
        .into(),
        upstream: upstream.into(),
        incarnation: 1,
        began_at: Moment(lost_at.0 - 60),
        lost_at,
        outcome: UpstreamOutcome::Ended,
    }
}

fn report_crash(fleet: &mut SimulatedFleet, node: usize, upstream: &str, known_crash_count: u32) {
    let loss = new_loss(fleet, node, upstream, known_crash_count);
    report_loss(fleet, node, loss);
}

fn report_loss(fleet: &mut SimulatedFleet, node: usize, loss: RunLoss) {
    let ticket = ReplyTicket(0);
    fleet.send_event(node, &Event::RequestLost { ticket, loss });
}

/// Two replicas crash one after the other under the request at a node.
fn crash_two(fleet: &mut SimulatedFleet, node: usize) {
    report_crash(fleet, node, "i-1", 0);
    fleet.run_ms(GOSSIP_MS);
    report_crash(fleet, node, "i-2", 1);
    fleet.run_ms(GOSSIP_MS);
}

fn is_quarantined(fleet: &SimulatedFleet, node: usize) -> bool {
    fleet
        .board(node)
        .quarantined_until(deadly(), fleet.clock_of(node))
        .is_some()
}

fn crash_count(fleet: &SimulatedFleet, node: usize) -> u32 {
    let suspicions = &fleet.board(node).suspicions;
    suspicions
        .get(deadly())
        .map_or(0, |suspicion| suspicion.crash_count)
}

fn request_trial(fleet: &mut SimulatedFleet, node: usize, ticket: u64) {
    let deadline = fleet.clock_of(node).after_ms(DEADLINE_MS);
    let wanted = Event::TrialWanted {
        ticket: ReplyTicket(ticket),
        scope: TrialScope {
            feature: deadly(),
            tells_apart: false,
        },
        deadline,
    };
    fleet.send_event(node, &wanted);
}

fn report_trial_done(fleet: &mut SimulatedFleet, node: usize, number: u64) {
    let feature = deadly();
    fleet.send_event(node, &Event::TrialDone { feature, number });
}

/// The nodes that were granted a trial run since the last call of this function.
fn granted(fleet: &mut SimulatedFleet) -> Vec<usize> {
    let replies = fleet.take_replies().into_iter();
    let granted = replies.filter(|(_, _, reply)| matches!(reply, Reply::TrialGranted { .. }));
    granted.map(|(node, ..)| node).collect()
}

#[test]
fn two_crashes_in_a_row_quarantine_a_request_at_all_nodes() {
    let mut fleet = start(1);
    report_crash(&mut fleet, 3, "i-1", 0);
    fleet.run_ms(GOSSIP_MS);
    assert!((0..NODES).all(|node| crash_count(&fleet, node) == 1 && !is_quarantined(&fleet, node)));
    report_crash(&mut fleet, 8, "i-2", 1);
    fleet.run_ms(GOSSIP_MS);
    assert!((0..NODES).all(|node| is_quarantined(&fleet, node)));
}

#[test]
fn equal_requests_that_ran_at_once_when_a_rack_lost_power_are_not_quarantined() {
    let mut fleet = start(2);
    for (node, upstream) in [(1, "i-1"), (2, "i-2"), (3, "i-3")] {
        report_crash(&mut fleet, node, upstream, 0);
    }
    // Two more runs of one node, which began at other times and were lost together with the rest.
    for (upstream, began_ms) in [("i-4", 45), ("i-5", 15)] {
        let mut loss = new_loss(&fleet, 1, upstream, 0);
        loss.began_at = Moment(loss.lost_at.0 - began_ms);
        report_loss(&mut fleet, 1, loss);
    }
    fleet.run_ms(GOSSIP_MS);
    assert!((0..NODES).all(|node| crash_count(&fleet, node) == 1 && !is_quarantined(&fleet, node)));
    fleet.take_replies();
    request_trial(&mut fleet, 9, 1);
    assert_eq!(granted(&mut fleet), [9]);
}

#[test]
fn copies_at_one_node_that_crash_replicas_one_after_the_other_count_twice() {
    let mut fleet = start(3);
    let first = new_loss(&fleet, 4, "i-1", 0);
    // The second copy began 30 ms later, and its replica crashed 30 ms later.
    let mut second = new_loss(&fleet, 4, "i-2", 0);
    second.began_at = first.began_at.after_ms(30);
    second.lost_at = first.lost_at.after_ms(30);
    report_loss(&mut fleet, 4, first);
    report_loss(&mut fleet, 4, second);
    fleet.run_ms(GOSSIP_MS);
    assert!((0..NODES).all(|node| is_quarantined(&fleet, node)));
}

#[test]
fn equal_requests_that_pass_are_not_quarantined_when_a_busy_node_notices_one_crash_at_several_times() {
    let mut fleet = start(15);
    for round in 0..2 {
        for node in 1..4 {
            let features = [deadly()].into();
            fleet.send_event(node, &Event::RequestPassed { features });
        }
        // Three replicas of a rack, whose losses one node notices 25 ms after each other.
        for (number, late_ms) in [(1, 0), (2, 25), (3, 50)] {
            let mut loss = new_loss(&fleet, 1, &format!("i-{}", round * 3 + number), 0);
            loss.began_at = Moment(loss.lost_at.0 - 100 + late_ms / 2);
            loss.lost_at = loss.lost_at.after_ms(late_ms);
            report_loss(&mut fleet, 1, loss);
        }
        fleet.run_ms(GOSSIP_MS);
        assert!(
            (0..NODES).all(|node| !is_quarantined(&fleet, node)),
            "round {round}"
        );
        fleet.run_ms(1_500);
    }
}

#[test]
fn a_trial_run_that_began_before_its_request_was_cleared_counts_as_a_first_crash() {
    let mut fleet = start(16);
    report_crash(&mut fleet, 3, "i-1", 0);
    fleet.run_ms(GOSSIP_MS);
    let trial = new_loss(&fleet, 9, "i-2", 1);
    for node in [4, 5, 6] {
        let features = [deadly()].into();
        fleet.send_event(node, &Event::RequestPassed { features });
    }
    fleet.run_ms(GOSSIP_MS);
    assert!((0..NODES).all(|node| crash_count(&fleet, node) == 0));
    report_loss(&mut fleet, 9, trial);
    fleet.run_ms(GOSSIP_MS);
    assert!((0..NODES).all(|node| crash_count(&fleet, node) == 1));
}

#[test]
fn a_suspected_request_runs_once_at_a_time_in_the_fleet() {
    let mut fleet = start(4);
    report_crash(&mut fleet, 3, "i-1", 0);
    fleet.run_ms(GOSSIP_MS);
    fleet.take_replies();
    for node in 0..NODES {
        request_trial(&mut fleet, node, 7);
    }
    let first = granted(&mut fleet);
    assert_eq!(first.len(), 1, "{first:?}");
    report_trial_done(&mut fleet, first[0], 7);
    fleet.run_ms(100);
    let second = granted(&mut fleet);
    assert_eq!(second.len(), 1, "{second:?}");
    // The other nodes' requests are refused once they have waited for the longest time allowed.
    fleet.run_ms(1_000);
    let refused = fleet.take_replies();
    assert_eq!(refused.len(), NODES - 2, "{refused:?}");
}

#[test]
fn after_a_quarantine_one_trial_run_is_granted_and_its_crash_makes_the_next_longer() {
    let mut fleet = start(5);
    crash_two(&mut fleet, 3);
    fleet.take_replies();
    request_trial(&mut fleet, 11, 1);
    assert!(granted(&mut fleet).is_empty(), "quarantined");
    fleet.run_ms(FIRST_QUARANTINE_MS);
    for node in 0..NODES {
        request_trial(&mut fleet, node, 2);
    }
    let runs = granted(&mut fleet);
    assert_eq!(runs.len(), 1, "{runs:?}");
    report_crash(&mut fleet, runs[0], "i-3", 2);
    report_trial_done(&mut fleet, runs[0], 2);
    fleet.run_ms(FIRST_QUARANTINE_MS * 3);
    assert!(granted(&mut fleet).is_empty());
    assert!(
        (0..NODES).all(|node| is_quarantined(&fleet, node)),
        "the second quarantine is longer"
    );
}

#[test]
fn a_restarted_node_learns_of_quarantines() {
    let mut fleet = start(6);
    crash_two(&mut fleet, 3);
    // The node that saw the crashes is restarted, too.
    for node in [7, 3] {
        fleet.restart(node);
        fleet.run_ms(SYNC_MS / 2);
        assert!(is_quarantined(&fleet, node), "node {node}");
    }
}

#[test]
fn a_quarantine_outlives_the_node_that_saw_the_crashes() {
    let mut fleet = start(7);
    crash_two(&mut fleet, 3);
    fleet.kill(3);
    fleet.run_ms(FIRST_QUARANTINE_MS / 2);
    assert!(
        (0..NODES)
            .filter(|node| *node != 3)
            .all(|node| is_quarantined(&fleet, node))
    );
}

#[test]
fn a_node_that_was_frozen_learns_of_quarantines() {
    let mut fleet = start(8);
    fleet.freeze(5);
    fleet.run_ms(AGREE_MS);
    crash_two(&mut fleet, 3);
    fleet.thaw(5);
    fleet.run_ms(SYNC_MS);
    assert!(is_quarantined(&fleet, 5));
}

#[test]
fn both_sides_of_a_healed_partition_learn_of_each_others_crashes() {
    let mut fleet = start(9);
    fleet.cut(|from, to| (from < NODES / 2) != (to < NODES / 2));
    fleet.run_ms(AGREE_MS);
    report_crash(&mut fleet, 3, "i-1", 0);
    report_crash(&mut fleet, 20, "i-2", 0);
    fleet.run_ms(GOSSIP_MS);
    report_crash(&mut fleet, 3, "i-3", 1);
    fleet.run_ms(GOSSIP_MS);
    assert!(is_quarantined(&fleet, 4) && !is_quarantined(&fleet, 21));
    fleet.cut(|_, _| false);
    fleet.run_ms(SYNC_MS);
    assert!((0..NODES).all(|node| is_quarantined(&fleet, node)));
}

#[test]
fn requests_are_quarantined_although_messages_are_lost() {
    let mut fleet = start(10);
    fleet.lose_percent(30);
    crash_two(&mut fleet, 3);
    fleet.run_ms(SYNC_MS);
    assert!((0..NODES).all(|node| is_quarantined(&fleet, node)));
}

#[test]
fn complete_runs_clear_a_request_everywhere_and_a_single_one_does_not() {
    let mut fleet = start(11);
    report_crash(&mut fleet, 3, "i-1", 0);
    fleet.run_ms(GOSSIP_MS);
    let complete = |fleet: &mut SimulatedFleet, node| {
        let features = [deadly()].into();
        fleet.send_event(node, &Event::RequestPassed { features });
        fleet.run_ms(GOSSIP_MS);
    };
    complete(&mut fleet, 5);
    complete(&mut fleet, 6);
    assert!((0..NODES).all(|node| crash_count(&fleet, node) == 1));
    report_crash(&mut fleet, 7, "i-2", 1);
    fleet.run_ms(GOSSIP_MS);
    complete(&mut fleet, 8);
    complete(&mut fleet, 9);
    assert!(
        (0..NODES).all(|node| is_quarantined(&fleet, node)),
        "complete runs before the crash don't count"
    );
    complete(&mut fleet, 10);
    assert!((0..NODES).all(|node| crash_count(&fleet, node) == 0));
    // A late report of an old crash changes nothing.
    let mut old = new_loss(&fleet, 3, "i-1", 0);
    old.lost_at = Moment(old.lost_at.0 - 1_000);
    report_loss(&mut fleet, 3, old);
    fleet.run_ms(GOSSIP_MS);
    assert!((0..NODES).all(|node| crash_count(&fleet, node) == 0));
}

#[test]
fn the_exit_of_a_leaving_replica_is_no_crash() {
    let mut fleet = start(12);
    fleet.read_all(change(10, 11, &[], &["i-1"]));
    fleet.run_ms(GOSSIP_MS);
    report_crash(&mut fleet, 3, "i-1", 0);
    fleet.run_ms(GOSSIP_MS);
    assert!((0..NODES).all(|node| crash_count(&fleet, node) == 0));
}

#[test]
fn a_loss_counts_as_a_crash_once_the_list_shows_a_newer_process() {
    let mut fleet = start(13);
    let mut loss = new_loss(&fleet, 3, "i-1", 0);
    loss.outcome = UpstreamOutcome::Alive;
    report_loss(&mut fleet, 3, loss);
    fleet.run_ms(GOSSIP_MS);
    assert_eq!(crash_count(&fleet, 9), 0, "the replica accepted a connection");
    let mut restarted = change(10, 11, &["i-1"], &[]);
    restarted.present[0].started_epoch_ms = 2;
    fleet.read_all(restarted);
    fleet.run_ms(GOSSIP_MS);
    assert!((0..NODES).all(|node| crash_count(&fleet, node) == 1));
}

fn counts_of(content: u64, crash_count: u32) -> Arc<[CrashSuspect]> {
    let feature = RequestFeature::content(content);
    Arc::new([CrashSuspect { feature, crash_count }])
}

#[test]
fn a_flood_of_requests_costs_bounded_memory() {
    /// The most crash cases that a node keeps.
    const MAX_CASES: usize = 4_096;
    let mut fleet = SimulatedFleet::new(2, 14);
    fleet.run_ms(AGREE_MS);
    fleet.read_all(change(0, 10, &["i-1"], &[]));
    let mut quarantined = new_loss(&fleet, 0, "i-1", 1);
    quarantined.known_counts = counts_of(1, 1);
    report_loss(&mut fleet, 0, quarantined);
    for fingerprint in 2..MAX_CASES as u64 + 500 {
        let mut loss = new_loss(&fleet, 0, "i-1", 0);
        loss.known_counts = counts_of(fingerprint, 0);
        report_loss(&mut fleet, 0, loss);
    }
    for node in 0..2 {
        let suspicions = &fleet.board(node).suspicions;
        assert!(suspicions.len() <= MAX_CASES, "{}", suspicions.len());
        assert!(
            suspicions.get(RequestFeature::content(1)).is_some(),
            "quarantined requests are evicted last"
        );
    }
}
