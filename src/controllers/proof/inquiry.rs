//! Whom a VM asks for proof, and when: one of the three VMs that prove the configuration for as long as its answers
//! are of use, then the next of them in turn, then other peers.

use std::collections::VecDeque;

use super::SHORT_WATCH_MS;
use crate::controllers::message::PeerMessage;
use crate::controllers::readers::PROVER_COUNT;
use crate::controllers::rendezvous::weight;
use crate::prelude::*;

/// How long to wait for an answer before the next VM is asked, in milliseconds.
const ANSWER_WAIT_MS: u64 = 250;

/// Number of other peers that are asked before it is the provers' turn again, since all VMs ask those at once when
/// none of them has proof.
const OTHER_PEERS: usize = 8;

/// Number of requests whose answers may still count.
const MAX_OPEN_REQUESTS: usize = 8;

/// The shortest time between an answer of use and the next request, in milliseconds. It bounds the requests that
/// a prover answers.
const MIN_INTERVAL_MS: u64 = 400;

/// How long after a prover's watch should have ended its proof is expected to be renewed, in milliseconds: an answer
/// of the store, usually.
const RENEWAL_MARGIN_MS: u64 = 30;

/// A request that may still be answered.
#[derive(Clone, Debug)]
struct OpenRequest {
    number: u64,
    peer: VmName,
    asked_at: Moment,
}

/// The requests for proof of one VM.
#[derive(Debug)]
pub(super) struct ProofInquiry {
    next_number: u64,
    open: VecDeque<OpenRequest>,
    /// Number of the prover that is asked first.
    round: usize,
    /// Number of VMs asked in this inquiry.
    step: usize,
    next_at: Moment,
}

impl ProofInquiry {
    /// Creates an inquiry whose requests are numbered from a value that differs in each process. An answer to an
    /// earlier process of this VM would otherwise count from the time of a later request.
    pub fn new(seed: u64) -> Self {
        Self {
            next_number: seed >> 16,
            open: VecDeque::new(),
            // The VMs begin with different provers.
            round: (seed % PROVER_COUNT as u64) as usize,
            step: 0,
            next_at: Moment::default(),
        }
    }

    /// When the next request is due, if proof is needed then.
    pub fn next_at(&self) -> Moment {
        self.next_at
    }

    /// Asks the next VM, unless one was asked recently. `provers` are the VMs that prove the configuration.
    pub fn ask(&mut self, provers: &[VmName], context: &mut ControlContext<'_>) {
        if !context.now.reached(self.next_at) {
            return;
        }
        self.next_at = context.now.after_ms(ANSWER_WAIT_MS);
        let others: Vec<&VmName> = provers
            .iter()
            .filter(|name| **name != context.board.own.name)
            .collect();
        if self.step >= others.len() + OTHER_PEERS {
            self.round += 1;
            self.step = 0;
        }
        let peer = match others.get(self.step) {
            Some(_) => Some(others[(self.round + self.step) % others.len()].clone()),
            None => self.pick_other(provers, context),
        };
        self.step += 1;
        let Some(peer) = peer else {
            return;
        };
        let number = self.next_number;
        self.next_number += 1;
        if self.open.len() >= MAX_OPEN_REQUESTS {
            self.open.pop_front();
        }
        self.open.push_back(OpenRequest {
            number,
            peer: peer.clone(),
            asked_at: context.now,
        });
        context.send_to(&peer, PeerMessage::ProofRequest { number });
    }

    /// Picks another live peer, in an order that differs between VMs and inquiries.
    fn pick_other(&self, provers: &[VmName], context: &ControlContext<'_>) -> Option<VmName> {
        let order = format!("{}/{}/{}", context.board.own.name, self.round, self.step);
        let view = context.board.live_view(context.now);
        let others = view.peers().iter().filter(|vm| !provers.contains(&vm.name));
        others
            .max_by_key(|vm| weight(&order, &vm.name))
            .map(|vm| vm.name.clone())
    }

    /// Removes the request that an answer belongs to, and returns when it was sent; `None` for an answer that no
    /// request of this process waits for.
    pub fn take(&mut self, from: &VmName, number: u64) -> Option<Moment> {
        let is_answered = |request: &OpenRequest| request.number == number && request.peer == *from;
        let index = self.open.iter().position(is_answered)?;
        self.open.remove(index).map(|request| request.asked_at)
    }

    /// Asks the next prover at once after an answer of no use; other peers are asked after the usual wait, since
    /// all VMs would otherwise ask each other without a pause while nobody can read the store.
    pub fn try_next_prover(&mut self, now: Moment) {
        if self.step < PROVER_COUNT {
            self.next_at = now;
        }
    }

    /// Ends the inquiry with a proof of this age. The next one begins with the VM that gave it, once that VM's own
    /// proof is renewed: the proofs of the others are renewed at other times, and more requests would be needed.
    pub fn finish(&mut self, age_ms: u64, now: Moment) {
        let renewed_in_ms = (2 * SHORT_WATCH_MS + RENEWAL_MARGIN_MS).saturating_sub(age_ms);
        self.next_at = now.after_ms(renewed_in_ms.max(MIN_INTERVAL_MS));
        self.round += self.step.saturating_sub(1);
        self.step = 0;
    }
}
