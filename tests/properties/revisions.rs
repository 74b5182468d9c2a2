//! A node's revision never goes down, and the newest one is in force everywhere four seconds after one node
//! has it.

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

/// The one-way latency between two nodes, in milliseconds.
const LATENCY_MS: u64 = 10;

fn text_of(revision: u64) -> RegisterText {
    format!("[[zone]]\nname = \"zone-{revision}\"\n").into()
}

fn offer(network: &mut Network, node: usize, revision: u64) {
    let event = Event::RegisterOffered {
        stamp: RegisterStamp::from_revision(revision),
        text: text_of(revision),
        source: RegisterSource::Service,
    };
    network.handle_event(node, &event);
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
            network.advance(300);
            if !network.deliveries.is_empty() {
                let index = pick % network.deliveries.len();
                let delivery = network.deliveries.remove(index).expect("the index is in range");
                if !is_lost {
                    network.deliver(delivery);
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
    fn a_revision_spreads_from_one_node_to_all(first in 0..NODES, seed in any::<u64>()) {
        prop_assert_eq!(spread(first, seed), vec![2; NODES]);
    }
}

/// Offers a revision to one node, and returns the revisions in force on all nodes four seconds later.
fn spread(first: usize, seed: u64) -> Vec<u64> {
    let mut network = Network::new(NODES);
    offer(&mut network, first, 1);
    network.advance(600);
    offer(&mut network, first, 2);
    let began = network.now;
    let mut random = SmallRng::seed_from_u64(seed);
    while network.now.0 < began.0 + IN_FORCE_MS {
        network.advance(LATENCY_MS);
        let deliveries: Vec<_> = network.deliveries.drain(..).collect();
        for delivery in deliveries {
            // One message in eight is lost.
            if !random.random_ratio(1, 8) {
                network.deliver(delivery);
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
fn a_revision_spreads_from_one_node_with_the_seeds_that_failed_before() {
    assert_eq!(spread(4, 412_884_817_541_939_352), vec![2; NODES]);
    assert_eq!(spread(1, 11_232_863_454_340_605_840), vec![2; NODES]);
}

/// Offers a text to the first node, and returns the revision that it has in force afterwards.
fn offer_text(network: &mut Network, revision: u64, text: &str) -> u64 {
    let event = Event::RegisterOffered {
        stamp: RegisterStamp::from_revision(revision),
        text: text.into(),
        source: RegisterSource::Service,
    };
    network.handle_event(0, &event);
    network.advance(600);
    network.cores[0].board.register.revision
}

const FAULTY_TEXT: &str = "[[zone]]\nnome = \"a\"\n";

#[test]
fn a_refused_revision_blocks_no_other_content() {
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
    // The other node runs a release that accepts this text.
    network.cores[1].board.register.revision = 5;
    network.cores[1].board.register.text = FAULTY_TEXT.into();
    let mut sent = 0;
    for _ in 0..300 {
        network.advance(10);
        let deliveries: Vec<_> = network.deliveries.drain(..).collect();
        for delivery in deliveries {
            sent += usize::from(matches!(delivery.message, PeerMessage::RegisterContent { .. }));
            network.deliver(delivery);
        }
    }
    assert_eq!(sent, 1, "contents sent in three seconds");
    assert_eq!(network.cores[0].board.register.revision, 0);
}
