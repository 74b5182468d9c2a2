//! Revisions never go down on a node, and the newest is in force everywhere within four seconds of a node having it.

use std::sync::Arc;

use dotterelspan::controllers::RegisterSource;
use dotterelspan::prelude::*;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::network::Network;

const NODES: usize = 21;

/// The users' bound for a change to be in force everywhere, in milliseconds.
const IN_FORCE_MS: u64 = 4_000;

/// One way between two nodes, in milliseconds.
const HOP_MS: u64 = 10;

fn text_of(revision: u64) -> Arc<str> {
    format!("[[zone]]\nname = \"zone-{revision}\"\n").into()
}

fn offer(network: &mut Network, node: usize, revision: u64) {
    let event = Event::RegisterOffered {
        revision,
        text: text_of(revision),
        source: RegisterSource::Service,
    };
    network.event(node, &event);
}

proptest! {
    #![proptest_config(crate::config(60))]

    #[test]
    fn a_revision_never_goes_down(
        offers in proptest::collection::vec((0..4usize, 1..9u64, 0..6usize, any::<bool>()), 1..80)
    ) {
        let mut network = Network::new(4);
        let mut highest = [0; 4];
        for (node, revision, pick, is_lost) in offers {
            offer(&mut network, node, revision);
            network.pass(300);
            if !network.flights.is_empty() {
                let index = pick % network.flights.len();
                let flight = network.flights.remove(index).expect("the index is in range");
                if !is_lost {
                    network.deliver(flight);
                }
            }
            for (core, highest) in network.cores.iter().zip(&mut highest) {
                let facts = &core.board.register;
                prop_assert!(facts.revision >= *highest);
                prop_assert!(facts.revision == 0 || facts.text == text_of(facts.revision));
                *highest = facts.revision;
            }
        }
    }

    #[test]
    fn one_node_that_has_a_revision_is_enough(first in 0..NODES, seed in any::<u64>()) {
        prop_assert_eq!(spread(first, seed), vec![2; NODES]);
    }
}

/// Gives one node a revision, and the revisions that all have in force four seconds later.
fn spread(first: usize, seed: u64) -> Vec<u64> {
    let mut network = Network::new(NODES);
    offer(&mut network, first, 1);
    network.pass(600);
    offer(&mut network, first, 2);
    let began = network.now;
    let mut random = SmallRng::seed_from_u64(seed);
    while network.now.0 < began.0 + IN_FORCE_MS {
        network.pass(HOP_MS);
        let flights: Vec<_> = network.flights.drain(..).collect();
        for flight in flights {
            // One message in eight is lost.
            if !random.random_ratio(1, 8) {
                network.deliver(flight);
            }
        }
    }
    network
        .cores
        .iter()
        .map(|core| core.board.register.revision)
        .collect()
}

#[test]
fn one_node_is_enough_with_the_seeds_that_once_failed() {
    assert_eq!(spread(4, 412_884_817_541_939_352), vec![2; NODES]);
    assert_eq!(spread(1, 11_232_863_454_340_605_840), vec![2; NODES]);
}
