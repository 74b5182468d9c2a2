//! Fleets whose store comes back from an older copy: all nodes end in the store's state, and only readers read it.

use std::collections::BTreeSet;

use dotterelspan::controllers::discovery::ReplicaUpdate;
use dotterelspan::prelude::{StoreEra, StorePosition};
use proptest::prelude::*;

use crate::simulated_fleet::SimulatedFleet;
use crate::{READERS, replica};

/// Time between two reads of a reader, in milliseconds.
const READ_INTERVAL_MS: u64 = 250;

/// How long after the return of the store undisturbed nodes may be without its list, in milliseconds.
const STABLE_WINDOW_MS: u64 = 3_000;

/// Time in which the last copy's entries count again and all nodes agree, in milliseconds.
const SETTLE_MS: u64 = 20_000;

/// A store that numbers its changes from one, and its readers' cursors.
struct ModelStore {
    era: u32,
    /// The changes in order: a replica's entry was written, or removed.
    changes: Vec<(String, bool)>,
    cursors: Vec<Option<StorePosition>>,
    full_reads: usize,
}

impl ModelStore {
    fn new(replicas: usize, nodes: usize) -> Self {
        Self {
            era: 1,
            changes: (0..replicas)
                .map(|number| (format!("i-{number}"), true))
                .collect(),
            cursors: vec![None; nodes],
            full_reads: 0,
        }
    }

    fn write(&mut self, id: &str, is_present: bool) {
        if self.content().contains(id) != is_present {
            self.changes.push((id.to_owned(), is_present));
        }
    }

    /// Comes back as a copy without the last changes.
    fn come_back_without(&mut self, lost: usize) {
        self.era += 1;
        self.changes
            .truncate(self.changes.len().saturating_sub(lost).max(1));
    }

    fn content(&self) -> BTreeSet<&str> {
        let mut content = BTreeSet::new();
        for (id, is_present) in &self.changes {
            if *is_present {
                content.insert(id.as_str());
            } else {
                content.remove(id.as_str());
            }
        }
        content
    }

    fn position(&self, revision: usize) -> StorePosition {
        StorePosition::new(StoreEra::new(self.era), revision as u64)
    }

    fn read_all(&self) -> ReplicaUpdate {
        let content = self.content();
        let is_listed =
            |(_, (id, is_present)): &(usize, &(String, bool))| *is_present && content.contains(id.as_str());
        let last = self.changes.iter().enumerate().rfind(is_listed);
        ReplicaUpdate {
            position: self.position(last.map_or(1, |(index, _)| index + 1)),
            since: StorePosition::default(),
            is_whole: true,
            is_difference: false,
            present: content.into_iter().map(replica).collect(),
            removed: Vec::new(),
        }
    }

    fn read_changes(&self, since: StorePosition) -> ReplicaUpdate {
        let newer = &self.changes[since.parts().1 as usize..];
        let ids: BTreeSet<&str> = newer.iter().map(|(id, _)| id.as_str()).collect();
        let content = self.content();
        let (present, removed): (Vec<&str>, Vec<&str>) = ids.into_iter().partition(|id| content.contains(id));
        ReplicaUpdate {
            position: self.position(self.changes.len()),
            since,
            is_whole: false,
            is_difference: false,
            present: present.into_iter().map(replica).collect(),
            removed: removed.into_iter().map(Into::into).collect(),
        }
    }

    /// Lets each reader that reaches the store read what it doesn't have.
    fn serve(&mut self, fleet: &mut SimulatedFleet) {
        let store_position = self.position(self.changes.len());
        let readers = fleet.readers();
        for index in 0..fleet.len() {
            if !readers.contains(&index) {
                self.cursors[index] = None;
                continue;
            }
            if !fleet.has_store(index) || self.cursors[index] == Some(store_position) {
                continue;
            }
            let cursor = self.cursors[index].filter(|cursor| cursor.era() == store_position.era());
            let update = match cursor {
                Some(cursor) => self.read_changes(cursor),
                None => {
                    self.full_reads += 1;
                    self.read_all()
                }
            };
            self.cursors[index] = Some(store_position);
            fleet.read_at(index, update, store_position);
        }
    }

    fn run_ms(&mut self, fleet: &mut SimulatedFleet, span_ms: u64) {
        for _ in 0..span_ms / READ_INTERVAL_MS {
            self.serve(fleet);
            fleet.run_ms(READ_INTERVAL_MS);
        }
    }
}

/// The replicas that a node sends new work to.
fn used_by(fleet: &SimulatedFleet, index: usize) -> BTreeSet<&str> {
    let facts = fleet.board(index).replicas.values();
    let used = facts.filter(|facts| facts.stop_at.is_none());
    used.map(|facts| &*facts.record.id).collect()
}

/// Guards against a recovery in which each node reads the list, and against nodes that stay in the era before.
#[test]
fn a_fleet_follows_a_store_that_came_back_older_by_the_readings_of_its_readers() {
    const REPLICAS: usize = 60;
    for (nodes, cut_off) in [(30, 5), (330, 40)] {
        let mut fleet = SimulatedFleet::new(nodes, 21);
        let mut store = ModelStore::new(REPLICAS, nodes);
        store.run_ms(&mut fleet, 6_000);
        (0..10).for_each(|number| store.write(&format!("i-late-{number}"), true));
        store.write("i-3", false);
        store.run_ms(&mut fleet, 6_000);
        let (reads_before, entries_before) = (store.full_reads, fleet.entries_sent());

        // Some nodes are cut off from all others as the store comes back, and some are frozen.
        let is_cut = move |index: usize| index % (nodes / cut_off) == 1;
        fleet.cut(move |from, to| is_cut(from) || is_cut(to));
        let frozen = [2, 10, 14];
        frozen.iter().for_each(|index| fleet.freeze(*index));
        store.come_back_without(11);
        store.write("i-fresh", true);
        store.write("i-5", false);
        store.run_ms(&mut fleet, STABLE_WINDOW_MS);
        let connected: Vec<usize> = (0..nodes)
            .filter(|index| !is_cut(*index) && !frozen.contains(index))
            .collect();
        for index in &connected {
            let used = used_by(&fleet, *index);
            let position = fleet.board(*index).list_position;
            assert!(
                used.contains("i-fresh") && !used.contains("i-5") && !used.contains("i-3"),
                "vm-{index} of {nodes} at {position}: {used:?}"
            );
        }
        let reads = store.full_reads - reads_before;
        let entries = fleet.entries_sent() - entries_before;
        println!("{nodes} nodes: {reads} full readings, {entries} entries sent");
        // Cut-off nodes read for themselves once they miss the readers.
        assert!(
            reads <= 2 * READERS + cut_off + frozen.len(),
            "{reads} of {nodes} nodes read the list"
        );
        assert!(entries <= 3 * nodes * REPLICAS, "{entries} entries");

        fleet.cut(|_, _| false);
        frozen.iter().for_each(|index| fleet.thaw(*index));
        store.run_ms(&mut fleet, SETTLE_MS);
        for index in 0..nodes {
            assert_eq!(used_by(&fleet, index), store.content(), "vm-{index} of {nodes}");
        }
    }
}

/// Guards against a difference between two states that is taken for all changes between them: a replica that was removed
/// and listed again while a reader was frozen is lost on nodes that know of the removal.
#[test]
fn a_replica_that_is_removed_and_listed_again_behind_a_frozen_reader_is_used_by_all() {
    const NODES: usize = 9;
    let mut fleet = SimulatedFleet::new(NODES, 0);
    let mut store = ModelStore::new(4, NODES);
    store.run_ms(&mut fleet, 4_000);
    let reader = fleet.readers()[2];
    fleet.freeze(reader);
    store.write("i-2", false);
    store.run_ms(&mut fleet, 500);
    // A node that knows of the removal only.
    fleet.freeze(2);
    store.write("i-2", true);
    store.run_ms(&mut fleet, 500);
    fleet.thaw(2);
    fleet.thaw(reader);
    store.run_ms(&mut fleet, 5_000);
    for index in 0..NODES {
        assert_eq!(used_by(&fleet, index), store.content(), "vm-{index}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 30, failure_persistence: None, ..ProptestConfig::default() })]

    /// Writes, copies, freezes, restarts, cuts and losses of the store in any order: once they end, all nodes use what
    /// the store lists.
    #[test]
    fn nodes_end_in_the_stores_last_state(
        seed in 0_u64..10_000,
        steps in prop::collection::vec((0_usize..11, 0_usize..9, 1_u64..8), 1..24),
    ) {
        const NODES: usize = 9;
        let mut fleet = SimulatedFleet::new(NODES, seed);
        let mut store = ModelStore::new(4, NODES);
        store.run_ms(&mut fleet, 4_000);
        for (kind, index, span) in steps {
            match kind {
                0..3 => store.write(&format!("i-{index}"), true),
                3 | 4 => store.write(&format!("i-{index}"), false),
                5 | 6 => store.come_back_without(index),
                7 => fleet.freeze(index),
                8 => fleet.thaw(index),
                9 => fleet.restart(index),
                _ => fleet.cut(move |from, to| (from < index) != (to < index)),
            }
            store.run_ms(&mut fleet, span * READ_INTERVAL_MS);
        }
        fleet.cut(|_, _| false);
        (0..NODES).for_each(|index| fleet.thaw(index));
        store.run_ms(&mut fleet, 2 * SETTLE_MS);
        for index in 0..NODES {
            prop_assert_eq!(used_by(&fleet, index), store.content(), "vm-{}", index);
        }
    }
}
