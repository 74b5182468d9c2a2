//! Revisions never go down on a node, and the newest is in force everywhere within four seconds of a node having it.

use std::sync::Arc;

use dotterelspan::controllers::RegisterSource;
use dotterelspan::controllers::message::PeerMessage;
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
        stamp: RegisterStamp::from_revision(revision),
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

/// Offers one node a text, and gives the revision that it has in force then.
fn offer_text(network: &mut Network, revision: u64, text: &str) -> u64 {
    let event = Event::RegisterOffered {
        stamp: RegisterStamp::from_revision(revision),
        text: text.into(),
        source: RegisterSource::Service,
    };
    network.event(0, &event);
    network.pass(600);
    network.cores[0].board.register.revision
}

const FAULTY_TEXT: &str = "[[zone]]\nnome = \"a\"\n";

#[test]
fn a_refused_revision_bars_nothing_but_itself() {
    let mut network = Network::new(1);
    assert_eq!(offer_text(&mut network, 7, &text_of(7)), 7);
    assert_eq!(offer_text(&mut network, u64::MAX, FAULTY_TEXT), 7);
    assert_eq!(offer_text(&mut network, 8, &text_of(8)), 8, "a lower number");
    assert_eq!(offer_text(&mut network, 9, FAULTY_TEXT), 8);
    assert_eq!(
        offer_text(&mut network, 9, &text_of(9)),
        9,
        "other content of the same number"
    );
    assert_eq!(offer_text(&mut network, 8, &text_of(8)), 9);
}

#[test]
fn a_peer_whose_content_is_refused_is_not_asked_for_it_again_at_once() {
    let mut network = Network::new(2);
    // The other node runs a release that takes what this one refuses.
    network.cores[1].board.register.revision = 5;
    network.cores[1].board.register.text = FAULTY_TEXT.into();
    let mut sent = 0;
    for _ in 0..300 {
        network.pass(10);
        let flights: Vec<_> = network.flights.drain(..).collect();
        for flight in flights {
            sent += usize::from(matches!(flight.message, PeerMessage::RegisterContent { .. }));
            network.deliver(flight);
        }
    }
    assert_eq!(sent, 1, "contents sent in three seconds");
    assert_eq!(network.cores[0].board.register.revision, 0);
}
