//! Membership, the replica list and configuration in simulated fleets, with their own clocks and message
//! loss.

mod configuration;
mod deaths;
mod eras;
mod limits;
mod parts;
mod quotas;
mod simulated_fleet;
mod store_watch;

use std::collections::BTreeMap;
use std::sync::Arc;

use dotterelspan::blackboard::{ReplicaRecord, ReplicaRole};
use dotterelspan::controllers::discovery::ReplicaUpdate;
use dotterelspan::prelude::StorePosition;
use proptest::prelude::*;

use simulated_fleet::SimulatedFleet;

/// How long a fleet may take to agree after a change, in milliseconds: time to probe, to detect the silence,
/// and to gossip around the ring.
const AGREE_MS: u64 = 12_000;

/// The number of VMs that read the store at the same time.
const READERS: usize = 6;

fn replica(id: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: id.into(),
        started_epoch_ms: 1,
        service: "desk".into(),
        role: ReplicaRole::Plain,
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "a".into(),
        slots: 4,
        is_draining: false,
        cold_until: None,
    }
}

/// An update of the list; the whole list if `since` is zero.
fn change(since: u64, revision: u64, present: &[&str], removed: &[&str]) -> ReplicaUpdate {
    ReplicaUpdate {
        position: StorePosition::without_era(revision),
        since: StorePosition::without_era(since),
        is_whole: since == 0,
        is_difference: false,
        present: present.iter().map(|id| replica(id)).collect(),
        removed: removed.iter().map(|id| Arc::from(*id)).collect(),
    }
}

/// An update with `count` replicas that are numbered after a prefix.
fn change_many(since: u64, revision: u64, prefix: &str, count: usize) -> ReplicaUpdate {
    let ids = (0..count).map(|number| format!("{prefix}-{number}"));
    ReplicaUpdate {
        present: ids.map(|id| replica(&id)).collect(),
        ..change(since, revision, &[], &[])
    }
}

#[test]
fn nodes_that_know_one_seed_find_all_others() {
    let mut fleet = SimulatedFleet::new(60, 7);
    fleet.run_ms(AGREE_MS);
    assert_eq!(fleet.disagreement(), None);
}

/// The largest size of an introduction and of a list entry on the wire, in bytes.
const INTRODUCTION_BYTES: usize = 110;
const ENTRY_BYTES: usize = 130;

/// The control traffic that a node may send in a minute, in bytes: 10 KB a second.
const MINUTE_BYTES: usize = 600_000;

#[test]
fn a_whole_fleet_starts_within_the_bytes_of_a_minute() {
    let mut fleet = SimulatedFleet::new(330, 21);
    fleet.run_ms(150);
    for index in fleet.readers().into_iter().take(READERS) {
        fleet.read(index, change_many(0, 700, "i", 690));
    }
    fleet.run_ms(AGREE_MS);
    assert_eq!(fleet.disagreement(), None);
    let sent = fleet.introductions_sent();
    let mean = sent.iter().sum::<usize>() / sent.len() * INTRODUCTION_BYTES;
    let entries = fleet.entries_sent() / sent.len() * ENTRY_BYTES;
    println!(
        "{mean} and {entries} bytes a node, at most {}",
        sent.iter().max().expect("nodes") * INTRODUCTION_BYTES
    );
    assert!(mean + entries < MINUTE_BYTES, "{mean} and {entries} bytes a node");
    for index in 0..330 {
        assert_eq!(fleet.board(index).replicas.len(), 690, "node {index}");
    }
}

#[test]
fn a_dead_node_is_suspected_and_rejoins_after_a_restart() {
    let mut fleet = SimulatedFleet::new(40, 11);
    fleet.run_ms(AGREE_MS);
    fleet.kill(17);
    fleet.run_ms(AGREE_MS);
    assert_eq!(fleet.disagreement(), None);
    fleet.restart(17);
    fleet.run_ms(AGREE_MS);
    assert_eq!(fleet.disagreement(), None);
}

#[test]
fn nodes_whose_links_go_silent_are_not_suspected() {
    for (seed, percent) in [(31, 70), (32, 100), (33, 30)] {
        let mut fleet = SimulatedFleet::new(60, seed);
        fleet.run_ms(AGREE_MS);
        fleet.silence_links(percent);
        for _ in 0..60 {
            fleet.run_ms(100);
            assert_eq!(fleet.disagreement(), None, "{percent} in 100 links silent");
        }
    }
}

#[test]
fn a_node_whose_links_go_silent_takes_its_other_connections_for_half_open() {
    let mut fleet = SimulatedFleet::new(30, 34);
    fleet.run_ms(AGREE_MS);
    let began_at = fleet.clock_of(9);
    fleet.silence_links(100);
    fleet.run_ms(3_000);
    let silent_at = fleet.board(9).links_silent_at;
    assert!(silent_at.is_some_and(|at| at > began_at), "{silent_at:?}");
}

#[test]
fn a_frozen_node_is_suspected_and_refutes_that_once_it_runs_again() {
    let mut fleet = SimulatedFleet::new(30, 3);
    fleet.run_ms(AGREE_MS);
    fleet.freeze(5);
    fleet.run_ms(AGREE_MS);
    assert_eq!(fleet.disagreement(), None, "all but the frozen one");
    fleet.thaw(5);
    fleet.run_ms(AGREE_MS);
    assert_eq!(fleet.disagreement(), None, "it is trusted again");
}

#[test]
fn a_node_that_missed_a_death_is_told_of_it() {
    let mut fleet = SimulatedFleet::new(16, 8);
    fleet.run_ms(4_000);
    fleet.freeze(5);
    fleet.run_ms(200);
    fleet.kill(1);
    fleet.run_ms(3_000);
    fleet.thaw(5);
    fleet.run_ms(AGREE_MS);
    assert_eq!(fleet.disagreement(), None);
}

#[test]
fn a_node_that_missed_a_restart_and_a_death_is_told_of_both() {
    let mut fleet = SimulatedFleet::new(16, 1_201);
    fleet.run_ms(4_000);
    fleet.freeze(5);
    fleet.run_ms(900);
    fleet.restart(9);
    fleet.run_ms(200);
    fleet.kill(9);
    fleet.run_ms(3_000);
    fleet.thaw(5);
    fleet.run_ms(AGREE_MS);
    assert_eq!(fleet.disagreement(), None);
}

#[test]
fn a_node_that_was_frozen_for_long_is_trusted_by_all_again() {
    let mut fleet = SimulatedFleet::new(16, 8_876);
    fleet.run_ms(4_000);
    fleet.kill(12);
    fleet.run_ms(3_651);
    fleet.restart(14);
    fleet.run_ms(1_501);
    fleet.freeze(13);
    fleet.run_ms(251);
    fleet.restart(2);
    fleet.run_ms(1_501);
    fleet.kill(6);
    fleet.run_ms(4_352);
    fleet.thaw(13);
    fleet.run_ms(AGREE_MS);
    assert_eq!(fleet.disagreement(), None);
}

#[test]
fn a_seed_that_missed_a_death_is_told_of_it() {
    let mut fleet = SimulatedFleet::new(16, 6_534);
    fleet.run_ms(4_000);
    fleet.freeze(0);
    fleet.kill(9);
    fleet.run_ms(3_000);
    fleet.thaw(0);
    fleet.run_ms(AGREE_MS);
    assert_eq!(fleet.disagreement(), None);
}

#[test]
fn both_sides_of_a_healed_partition_find_each_other() {
    let mut fleet = SimulatedFleet::new(24, 5);
    fleet.run_ms(AGREE_MS);
    fleet.cut(|from, to| (from < 9) != (to < 9));
    fleet.run_ms(AGREE_MS);
    fleet.cut(|_, _| false);
    fleet.run_ms(30_000);
    assert_eq!(fleet.disagreement(), None);
}

#[test]
fn a_partition_in_one_direction_heals_too() {
    let mut fleet = SimulatedFleet::new(24, 6);
    fleet.run_ms(AGREE_MS);
    fleet.cut(|from, to| from == 4 && to != 4);
    fleet.run_ms(AGREE_MS);
    fleet.cut(|_, _| false);
    fleet.run_ms(30_000);
    assert_eq!(fleet.disagreement(), None);
}

#[test]
fn a_fixed_number_of_nodes_reads_the_store() {
    let mut fleet = SimulatedFleet::new(60, 9);
    fleet.run_ms(1_500);
    fleet.read_all(change(0, 3, &["i-1", "i-2"], &[]));
    fleet.run_ms(AGREE_MS);
    let readers = fleet.readers();
    assert_eq!(readers.len(), READERS, "{readers:?}");
    fleet.kill(readers[0]);
    fleet.lose_store(readers[1]);
    fleet.run_ms(AGREE_MS);
    let others: Vec<usize> = fleet
        .readers()
        .into_iter()
        .filter(|index| *index != readers[1])
        .collect();
    assert_eq!(others.len(), READERS, "two other nodes replace them: {others:?}");
}

/// How long a node takes to read the whole list, in milliseconds.
const READ_MS: u64 = 300;

/// Steps of 50 ms within which a starting fleet must have the list: two seconds.
const START_STEPS: usize = 40;

#[test]
fn few_nodes_read_the_store_when_all_start_at_once() {
    let mut fleet = SimulatedFleet::new(120, 15);
    let mut read_at = BTreeMap::new();
    for step in 0..START_STEPS {
        fleet.run_ms(50);
        let now_ms = step as u64 * 50;
        for index in fleet.readers() {
            if *read_at.entry(index).or_insert(now_ms + READ_MS) == now_ms {
                fleet.read(index, change_many(0, 500, "i", 500));
            }
        }
    }
    assert!(read_at.len() <= 2 * READERS, "{} nodes read", read_at.len());
    for index in 0..120 {
        assert_eq!(fleet.board(index).replicas.len(), 500, "node {index}");
    }
}

/// How long a small fleet may wait for a seed that can't read the store, in milliseconds.
const SMALL_WAIT_MS: u64 = 250;

#[test]
fn a_small_fleet_waits_only_briefly_for_its_seeds() {
    let mut fleet = SimulatedFleet::new(21, 17);
    fleet.lose_store(0);
    fleet.run_ms(SMALL_WAIT_MS);
    let readers = fleet.readers();
    assert!(readers.len() >= READERS, "{} nodes read", readers.len());
}

#[test]
fn a_fleet_whose_seed_has_no_store_reads_the_list_all_the_same() {
    let mut fleet = SimulatedFleet::new(40, 16);
    fleet.lose_store(0);
    fleet.run_ms(2_000);
    let readers = fleet.readers();
    assert!(readers.len() > READERS, "{} nodes read", readers.len());
}

#[test]
fn what_one_node_reads_reaches_all_and_a_missed_change_is_requested() {
    let mut fleet = SimulatedFleet::new(40, 13);
    fleet.run_ms(1_500);
    fleet.read_all(change(0, 3, &["i-1", "i-2"], &[]));
    fleet.run_ms(3_000);
    // One node gets no message about the second change.
    fleet.cut(|_, to| to == 20);
    fleet.read(0, change(3, 5, &["i-3"], &["i-1"]));
    fleet.run_ms(1_000);
    fleet.cut(|_, _| false);
    fleet.read(1, change(5, 6, &["i-4"], &[]));
    fleet.run_ms(AGREE_MS);
    for index in 0..40 {
        let board = fleet.board(index);
        assert_eq!(board.list_position, StorePosition::without_era(6), "node {index}");
        let mut listed: Vec<&str> = board.replicas.keys().map(|id| &**id).collect();
        listed.sort_unstable();
        assert_eq!(listed, ["i-2", "i-3", "i-4"], "node {index}");
    }
}

#[test]
fn a_removal_is_passed_on_by_a_node_that_had_dropped_the_replica_itself() {
    let mut fleet = SimulatedFleet::new(20, 18);
    fleet.run_ms(1_500);
    fleet.read_all(change(0, 3, &["i-1", "i-2"], &[]));
    fleet.run_ms(3_000);
    fleet.drop_replica(0, "i-1");
    fleet.read(0, change(3, 5, &["i-3"], &["i-1"]));
    fleet.run_ms(AGREE_MS);
    for index in 0..20 {
        assert!(!fleet.board(index).replicas.contains_key("i-1"), "node {index}");
        assert!(fleet.board(index).replicas.contains_key("i-3"), "node {index}");
    }
}

#[test]
fn readings_of_the_whole_unchanged_list_are_sent_to_nobody() {
    let mut fleet = SimulatedFleet::new(30, 2);
    fleet.run_ms(1_500);
    fleet.read_all(change(0, 3, &["i-1", "i-2"], &[]));
    fleet.run_ms(2_000);
    let before = fleet.entries_sent();
    for index in 0..30 {
        fleet.read(index, change(0, 3, &["i-1", "i-2"], &[]));
        fleet.run_ms(100);
    }
    assert_eq!(fleet.entries_sent(), before);
}

#[test]
fn a_reading_of_the_whole_list_sends_peers_only_the_changes() {
    let mut fleet = SimulatedFleet::new(30, 4);
    fleet.run_ms(1_500);
    fleet.read_all(change_many(0, 200, "i", 200));
    fleet.run_ms(2_000);
    let before = fleet.entries_sent();
    // The store's history was lost, one replica was removed, and the latest remaining entry is older than
    // that.
    fleet.read_at(3, change_many(0, 199, "i", 199), StorePosition::without_era(205));
    fleet.run_ms(AGREE_MS);
    for index in 0..30 {
        assert!(!fleet.board(index).replicas.contains_key("i-199"), "node {index}");
        assert_eq!(fleet.board(index).replicas.len(), 199, "node {index}");
    }
    let sent = fleet.entries_sent() - before;
    assert!(sent < 30 * 10, "{sent} entries for one change");
}

#[test]
fn many_entries_at_once_are_sent_to_each_node_about_once() {
    let mut fleet = SimulatedFleet::new(60, 12);
    fleet.run_ms(1_500);
    fleet.read_all(change(0, 3, &["i-1", "i-2"], &[]));
    fleet.run_ms(3_000);
    let before = fleet.entries_sent();
    fleet.read(0, change_many(3, 610, "j", 600));
    fleet.run_ms(3_000);
    for index in 0..60 {
        assert_eq!(fleet.board(index).replicas.len(), 602, "node {index}");
    }
    let sent = fleet.entries_sent() - before;
    assert!(sent <= 60 * 600 * 3 / 2, "{sent} entries");
}

/// Entries that are added at a time while a service starts.
const ENTRIES_PER_STEP: u64 = 20;

#[test]
fn a_list_that_grows_in_pieces_is_sent_to_each_node_about_once() {
    let mut fleet = SimulatedFleet::new(60, 14);
    fleet.run_ms(1_500);
    fleet.read_all(change(0, 3, &["i-1", "i-2"], &[]));
    fleet.run_ms(3_000);
    let before = fleet.entries_sent();
    let pieces: u64 = 30;
    let state = |piece: u64| 3 + piece * ENTRIES_PER_STEP;
    for piece in 0..pieces {
        // Two readers alternate, and each reads the changes since its own latest revision.
        let first = piece.saturating_sub(1);
        let mut update = change(state(first), state(piece + 1), &[], &[]);
        for piece in first..=piece {
            let grown = change_many(0, 0, &format!("p{piece}"), ENTRIES_PER_STEP as usize);
            update.present.extend(grown.present);
        }
        fleet.read((piece % 2) as usize, update);
        fleet.run_ms(150);
    }
    fleet.run_ms(3_000);
    let entries = (pieces * ENTRIES_PER_STEP) as usize;
    for index in 0..60 {
        assert_eq!(fleet.board(index).replicas.len(), 2 + entries, "node {index}");
    }
    let sent = fleet.entries_sent() - before;
    assert!(sent <= 60 * entries * 3 / 2, "{sent} entries for {entries}");
}

#[test]
fn a_node_that_missed_changes_is_sent_those_and_not_the_whole_list() {
    let mut fleet = SimulatedFleet::new(10, 4);
    fleet.run_ms(1_500);
    fleet.read_all(change_many(0, 500, "i", 500));
    fleet.run_ms(2_000);
    let before = fleet.entries_sent();
    fleet.cut(|_, to| to == 6);
    fleet.read(0, change(500, 501, &["j-1"], &["i-1"]));
    fleet.run_ms(500);
    fleet.read(1, change(501, 502, &["j-2"], &[]));
    fleet.run_ms(500);
    fleet.cut(|_, _| false);
    fleet.run_ms(AGREE_MS);
    assert!(fleet.board(6).replicas.contains_key("j-1") && fleet.board(6).replicas.contains_key("j-2"));
    assert!(!fleet.board(6).replicas.contains_key("i-1"));
    let sent = fleet.entries_sent() - before;
    assert!(sent < 10 * 20, "{sent} entries for three changes");
}

#[test]
fn a_replica_that_drained_and_went_is_forgotten() {
    let mut fleet = SimulatedFleet::new(2, 4);
    fleet.run_ms(1_500);
    fleet.read_all(change(0, 3, &["i-1", "i-2"], &[]));
    let mut draining = change(3, 4, &["i-1"], &[]);
    draining.present[0].is_draining = true;
    fleet.read(0, draining);
    fleet.run_ms(3_000);
    assert!(
        fleet.board(0).replicas.contains_key("i-1"),
        "a draining replica stays known while it is listed"
    );
    fleet.read(0, change(4, 5, &[], &["i-1"]));
    fleet.run_ms(3_000);
    assert!(!fleet.board(0).replicas.contains_key("i-1"));
    assert!(!fleet.board(1).replicas.contains_key("i-1"));
}

#[test]
fn a_whole_reading_brings_back_what_one_node_dropped_and_later_changes_still_count() {
    let mut fleet = SimulatedFleet::new(3, 4);
    fleet.run_ms(1_500);
    fleet.read_all(change(0, 3, &["i-1", "i-2"], &[]));
    fleet.drop_replica(1, "i-1");
    fleet.read(1, change(0, 3, &["i-1", "i-2"], &[]));
    assert!(fleet.board(1).replicas.contains_key("i-1"));
    fleet.read(1, change(3, 4, &["i-3"], &[]));
    fleet.run_ms(1_000);
    for index in 0..3 {
        assert!(fleet.board(index).replicas.contains_key("i-3"), "node {index}");
        assert_eq!(
            fleet.board(index).list_position,
            StorePosition::without_era(4),
            "node {index}"
        );
    }
}

#[test]
fn a_whole_reading_of_a_store_that_lags_behind_changes_nothing() {
    let mut fleet = SimulatedFleet::new(3, 4);
    fleet.run_ms(1_500);
    fleet.read_all(change(0, 3, &["i-1", "i-2"], &[]));
    fleet.read(0, change(3, 9, &["i-3"], &["i-1"]));
    fleet.run_ms(3_000);
    fleet.read(1, change(0, 3, &["i-1", "i-2"], &[]));
    fleet.run_ms(3_000);
    for index in 0..3 {
        let board = fleet.board(index);
        assert!(
            board.replicas.contains_key("i-3") && !board.replicas.contains_key("i-1"),
            "node {index}"
        );
    }
}

#[test]
fn an_older_state_of_the_list_changes_nothing() {
    let mut fleet = SimulatedFleet::new(3, 1);
    fleet.run_ms(1_500);
    fleet.read_all(change(0, 9, &["i-1"], &[]));
    fleet.read(0, change(4, 7, &["i-2"], &["i-1"]));
    fleet.run_ms(2_000);
    assert!(fleet.board(0).replicas.contains_key("i-1") && !fleet.board(0).replicas.contains_key("i-2"));
    assert_eq!(fleet.board(0).list_position, StorePosition::without_era(9));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    /// Kills, freezes, restarts and partitions in any order, with 10 % message loss: once they end, all nodes
    /// agree.
    #[test]
    fn nodes_agree_once_trouble_ends(
        seed in 0_u64..10_000,
        steps in prop::collection::vec((0_usize..6, 1_usize..16, 200_u64..4_000), 1..12),
    ) {
        let mut fleet = SimulatedFleet::new(16, seed);
        fleet.run_ms(4_000);
        fleet.lose_percent(10);
        for (kind, index, span_ms) in steps {
            match kind {
                0 => fleet.kill(index),
                1 => fleet.restart(index),
                2 => fleet.freeze(index),
                3 => fleet.thaw(index),
                4 => fleet.cut(move |from, to| (from < index) != (to < index)),
                _ => fleet.cut(move |from, _| from == index),
            }
            fleet.run_ms(span_ms);
        }
        fleet.lose_percent(0);
        fleet.cut(|_, _| false);
        (0..16).for_each(|index| fleet.thaw(index));
        fleet.run_ms(40_000);
        prop_assert_eq!(fleet.disagreement(), None);
    }
}

/// How long the nodes are partitioned, in milliseconds.
const PARTITION_MS: u64 = 180_000;

#[test]
fn unreachable_vms_still_count_as_members() {
    const NODES: usize = 12;
    let mut fleet = SimulatedFleet::new(NODES, 31);
    fleet.run_ms(AGREE_MS);
    assert!((0..NODES).all(|node| fleet.board(node).member_count == NODES));
    fleet.cut(|from, to| from != to);
    fleet.run_ms(PARTITION_MS);
    assert!((0..NODES).all(|node| fleet.board(node).live_peers(fleet.clock_of(node)).count() == 0));
    assert!((0..NODES).all(|node| fleet.board(node).member_count == NODES));
    fleet.cut(|_, _| false);
    fleet.run_ms(AGREE_MS);
    fleet.restart(4);
    fleet.run_ms(AGREE_MS);
    assert_eq!(fleet.board(4).member_count, NODES);
}

#[test]
fn a_vm_that_left_orderly_soon_stops_counting_as_a_member() {
    let mut fleet = SimulatedFleet::new(6, 32);
    fleet.run_ms(AGREE_MS);
    fleet.begin_leaving(3);
    fleet.run_ms(2_000);
    fleet.kill(3);
    fleet.run_ms(90_000);
    assert!(
        (0..6)
            .filter(|node| *node != 3)
            .all(|node| fleet.board(node).member_count == 5)
    );
}

#[test]
fn nodes_that_have_just_linked_know_the_member_count() {
    let mut fleet = SimulatedFleet::new(3, 5);
    fleet.run_ms(300);
    let sizes: Vec<usize> = (0..3).map(|node| fleet.board(node).member_count).collect();
    assert_eq!(sizes, [3, 3, 3]);
}
