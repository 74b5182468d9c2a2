//! Crash cases and quarantines as the nodes of a fleet share them.

use dotterelspan::blackboard::Fingerprint;
use dotterelspan::controllers::Reply;
use dotterelspan::controllers::quarantine::{RunLoss, UpstreamOutcome};
use dotterelspan::prelude::*;

use crate::simulated_fleet::SimulatedFleet;
use crate::{AGREE_MS, change};

/// The number of nodes in these fleets.
const NODES: usize = 30;

/// Fingerprint of the request that crashes replicas.
const DEADLY: Fingerprint = 0xdead;

/// How long a message takes to reach all nodes by gossip, in milliseconds.
const NEWS_MS: u64 = 300;

/// How long a node that missed messages takes to learn their content from others, in milliseconds.
const MADE_UP_MS: u64 = 4_000;

/// The duration of a first quarantine, in milliseconds.
const FIRST_HOLD_MS: u64 = 10_000;

/// The deadline of a request that asks for a trial run, in milliseconds from now.
const DEADLINE_MS: u64 = 4_000;

/// A fleet whose nodes have a list of six replicas.
fn start(seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(NODES, seed);
    fleet.run_ms(AGREE_MS);
    fleet.read_all(change(0, 10, &["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"], &[]));
    fleet.run_ms(NEWS_MS);
    fleet
}

/// A run at a node that began 60 ms ago and is lost now.
fn loss(fleet: &SimulatedFleet, node: usize, upstream: &str, known_crash_count: u32) -> RunLoss {
    let lost_at = fleet.clock_of(node);
    RunLoss {
        fingerprint: DEADLY,
        upstream: upstream.into(),
        incarnation: 1,
        began_at: Moment(lost_at.0 - 60),
        lost_at,
        known_crash_count,
        outcome: UpstreamOutcome::Ended,
    }
}

fn lose(fleet: &mut SimulatedFleet, node: usize, upstream: &str, known_crash_count: u32) {
    let loss = loss(fleet, node, upstream, known_crash_count);
    tell_loss(fleet, node, loss);
}

fn tell_loss(fleet: &mut SimulatedFleet, node: usize, loss: RunLoss) {
    let ticket = ReplyTicket(0);
    fleet.send_event(node, &Event::RequestLost { ticket, loss });
}

/// Two replicas crash one after the other under the request at a node.
fn end_two(fleet: &mut SimulatedFleet, node: usize) {
    lose(fleet, node, "i-1", 0);
    fleet.run_ms(NEWS_MS);
    lose(fleet, node, "i-2", 1);
    fleet.run_ms(NEWS_MS);
}

fn is_held(fleet: &SimulatedFleet, node: usize) -> bool {
    fleet
        .board(node)
        .held_until(DEADLY, fleet.clock_of(node))
        .is_some()
}

fn level(fleet: &SimulatedFleet, node: usize) -> u32 {
    let suspicions = &fleet.board(node).suspicions;
    suspicions.get(&DEADLY).map_or(0, |suspicion| suspicion.level)
}

fn want(fleet: &mut SimulatedFleet, node: usize, ticket: u64) {
    let deadline = fleet.clock_of(node).after_ms(DEADLINE_MS);
    let (ticket, fingerprint) = (ReplyTicket(ticket), DEADLY);
    fleet.send_event(
        node,
        &Event::TrialWanted {
            ticket,
            fingerprint,
            deadline,
        },
    );
}

fn done(fleet: &mut SimulatedFleet, node: usize, number: u64) {
    let fingerprint = DEADLY;
    fleet.send_event(node, &Event::TrialDone { fingerprint, number });
}

/// The nodes that were granted a trial run since the last call of this function.
fn granted(fleet: &mut SimulatedFleet) -> Vec<usize> {
    let replies = fleet.take_replies().into_iter();
    let granted = replies.filter(|(_, _, reply)| matches!(reply, Reply::TrialGranted { .. }));
    granted.map(|(node, ..)| node).collect()
}

#[test]
fn two_ends_one_after_the_other_hold_a_request_back_at_all_nodes() {
    let mut fleet = start(1);
    lose(&mut fleet, 3, "i-1", 0);
    fleet.run_ms(NEWS_MS);
    assert!((0..NODES).all(|node| level(&fleet, node) == 1 && !is_held(&fleet, node)));
    lose(&mut fleet, 8, "i-2", 1);
    fleet.run_ms(NEWS_MS);
    assert!((0..NODES).all(|node| is_held(&fleet, node)));
}

#[test]
fn equal_requests_that_ran_side_by_side_as_a_rack_lost_power_are_served_again() {
    let mut fleet = start(2);
    for (node, upstream) in [(1, "i-1"), (2, "i-2"), (3, "i-3")] {
        lose(&mut fleet, node, upstream, 0);
    }
    // Two more runs of one node, which began at other times and were lost together with the rest.
    for (upstream, began_ms) in [("i-4", 45), ("i-5", 15)] {
        let mut loss = loss(&fleet, 1, upstream, 0);
        loss.began_at = Moment(loss.lost_at.0 - began_ms);
        tell_loss(&mut fleet, 1, loss);
    }
    fleet.run_ms(NEWS_MS);
    assert!((0..NODES).all(|node| level(&fleet, node) == 1 && !is_held(&fleet, node)));
    fleet.take_replies();
    want(&mut fleet, 9, 1);
    assert_eq!(granted(&mut fleet), [9]);
}

#[test]
fn copies_of_one_node_that_end_replicas_one_after_the_other_are_two_strikes() {
    let mut fleet = start(3);
    let first = loss(&fleet, 4, "i-1", 0);
    // The second copy began 30 ms later, and its replica crashed 30 ms later.
    let mut second = loss(&fleet, 4, "i-2", 0);
    second.began_at = first.began_at.after_ms(30);
    second.lost_at = first.lost_at.after_ms(30);
    tell_loss(&mut fleet, 4, first);
    tell_loss(&mut fleet, 4, second);
    fleet.run_ms(NEWS_MS);
    assert!((0..NODES).all(|node| is_held(&fleet, node)));
}

#[test]
fn a_suspected_request_runs_once_at_a_time_in_the_fleet() {
    let mut fleet = start(4);
    lose(&mut fleet, 3, "i-1", 0);
    fleet.run_ms(NEWS_MS);
    fleet.take_replies();
    for node in 0..NODES {
        want(&mut fleet, node, 7);
    }
    let first = granted(&mut fleet);
    assert_eq!(first.len(), 1, "{first:?}");
    done(&mut fleet, first[0], 7);
    fleet.run_ms(100);
    let second = granted(&mut fleet);
    assert_eq!(second.len(), 1, "{second:?}");
    // The other nodes' requests are refused once they have waited for the longest time allowed.
    fleet.run_ms(1_000);
    let refused = fleet.take_replies();
    assert_eq!(refused.len(), NODES - 2, "{refused:?}");
}

#[test]
fn after_a_hold_one_careful_run_begins_and_its_end_makes_the_hold_longer() {
    let mut fleet = start(5);
    end_two(&mut fleet, 3);
    fleet.take_replies();
    want(&mut fleet, 11, 1);
    assert!(granted(&mut fleet).is_empty(), "quarantined");
    fleet.run_ms(FIRST_HOLD_MS);
    for node in 0..NODES {
        want(&mut fleet, node, 2);
    }
    let runs = granted(&mut fleet);
    assert_eq!(runs.len(), 1, "{runs:?}");
    lose(&mut fleet, runs[0], "i-3", 2);
    done(&mut fleet, runs[0], 2);
    fleet.run_ms(FIRST_HOLD_MS * 3);
    assert!(granted(&mut fleet).is_empty());
    assert!(
        (0..NODES).all(|node| is_held(&fleet, node)),
        "the second quarantine is longer"
    );
}

#[test]
fn a_node_that_starts_again_learns_of_holds() {
    let mut fleet = start(6);
    end_two(&mut fleet, 3);
    // The node that saw the crashes is restarted, too.
    for node in [7, 3] {
        fleet.restart(node);
        fleet.run_ms(MADE_UP_MS / 2);
        assert!(is_held(&fleet, node), "node {node}");
    }
}

#[test]
fn a_hold_outlives_the_node_that_saw_the_strikes() {
    let mut fleet = start(7);
    end_two(&mut fleet, 3);
    fleet.kill(3);
    fleet.run_ms(FIRST_HOLD_MS / 2);
    assert!(
        (0..NODES)
            .filter(|node| *node != 3)
            .all(|node| is_held(&fleet, node))
    );
}

#[test]
fn a_node_that_was_frozen_learns_of_holds() {
    let mut fleet = start(8);
    fleet.freeze(5);
    fleet.run_ms(AGREE_MS);
    end_two(&mut fleet, 3);
    fleet.thaw(5);
    fleet.run_ms(MADE_UP_MS);
    assert!(is_held(&fleet, 5));
}

#[test]
fn both_sides_of_a_partition_learn_of_each_others_strikes() {
    let mut fleet = start(9);
    fleet.cut(|from, to| (from < NODES / 2) != (to < NODES / 2));
    fleet.run_ms(AGREE_MS);
    lose(&mut fleet, 3, "i-1", 0);
    lose(&mut fleet, 20, "i-2", 0);
    fleet.run_ms(NEWS_MS);
    lose(&mut fleet, 3, "i-3", 1);
    fleet.run_ms(NEWS_MS);
    assert!(is_held(&fleet, 4) && !is_held(&fleet, 21));
    fleet.cut(|_, _| false);
    fleet.run_ms(MADE_UP_MS);
    assert!((0..NODES).all(|node| is_held(&fleet, node)));
}

#[test]
fn holds_come_about_though_messages_are_lost() {
    let mut fleet = start(10);
    fleet.lose_percent(30);
    end_two(&mut fleet, 3);
    fleet.run_ms(MADE_UP_MS);
    assert!((0..NODES).all(|node| is_held(&fleet, node)));
}

#[test]
fn whole_runs_clear_a_request_everywhere_and_one_alone_does_not() {
    let mut fleet = start(11);
    lose(&mut fleet, 3, "i-1", 0);
    fleet.run_ms(NEWS_MS);
    let complete = |fleet: &mut SimulatedFleet, node| {
        let fingerprint = DEADLY;
        fleet.send_event(node, &Event::RequestCompleted { fingerprint });
        fleet.run_ms(NEWS_MS);
    };
    complete(&mut fleet, 5);
    complete(&mut fleet, 6);
    assert!((0..NODES).all(|node| level(&fleet, node) == 1));
    lose(&mut fleet, 7, "i-2", 1);
    fleet.run_ms(NEWS_MS);
    complete(&mut fleet, 8);
    complete(&mut fleet, 9);
    assert!(
        (0..NODES).all(|node| is_held(&fleet, node)),
        "complete runs before the crash don't count"
    );
    complete(&mut fleet, 10);
    assert!((0..NODES).all(|node| level(&fleet, node) == 0));
    // A late report of an old crash changes nothing.
    let mut old = loss(&fleet, 3, "i-1", 0);
    old.lost_at = Moment(old.lost_at.0 - 1_000);
    tell_loss(&mut fleet, 3, old);
    fleet.run_ms(NEWS_MS);
    assert!((0..NODES).all(|node| level(&fleet, node) == 0));
}

#[test]
fn the_end_of_a_replica_that_was_leaving_is_no_strike() {
    let mut fleet = start(12);
    fleet.read_all(change(10, 11, &[], &["i-1"]));
    fleet.run_ms(NEWS_MS);
    lose(&mut fleet, 3, "i-1", 0);
    fleet.run_ms(NEWS_MS);
    assert!((0..NODES).all(|node| level(&fleet, node) == 0));
}

#[test]
fn a_loss_becomes_a_strike_once_the_list_shows_another_start() {
    let mut fleet = start(13);
    let mut loss = loss(&fleet, 3, "i-1", 0);
    loss.outcome = UpstreamOutcome::Alive;
    tell_loss(&mut fleet, 3, loss);
    fleet.run_ms(NEWS_MS);
    assert_eq!(level(&fleet, 9), 0, "the replica accepted a connection");
    let mut restarted = change(10, 11, &["i-1"], &[]);
    restarted.present[0].started_epoch_ms = 2;
    fleet.read_all(restarted);
    fleet.run_ms(NEWS_MS);
    assert!((0..NODES).all(|node| level(&fleet, node) == 1));
}

#[test]
fn a_flood_of_requests_costs_bounded_memory() {
    /// The most crash cases that a node keeps.
    const MOST: usize = 4_096;
    let mut fleet = SimulatedFleet::new(2, 14);
    fleet.run_ms(AGREE_MS);
    fleet.read_all(change(0, 10, &["i-1"], &[]));
    let mut held = loss(&fleet, 0, "i-1", 1);
    held.fingerprint = 1;
    tell_loss(&mut fleet, 0, held);
    for fingerprint in 2..MOST as u64 + 500 {
        let mut loss = loss(&fleet, 0, "i-1", 0);
        loss.fingerprint = fingerprint;
        tell_loss(&mut fleet, 0, loss);
    }
    for node in 0..2 {
        let suspicions = &fleet.board(node).suspicions;
        assert!(suspicions.len() <= MOST, "{}", suspicions.len());
        assert!(
            suspicions.contains_key(&1),
            "quarantined requests are evicted last"
        );
    }
}
