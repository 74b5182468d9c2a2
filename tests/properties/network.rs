//! A few nodes' control cores on a clock of their own, and messages that come late, twice or never.

use std::collections::VecDeque;
use std::sync::Arc;

use dotterelspan::blackboard::OwnIdentity;
use dotterelspan::controllers::ControlCore;
use dotterelspan::controllers::message::{PeerMessage, VmIntroduction};
use dotterelspan::controllers::slots::PlacementPolicy;
use dotterelspan::prelude::*;

/// A message on its way.
#[derive(Clone, Debug)]
pub struct Flight {
    pub from: usize,
    pub from_incarnation: u128,
    pub to: usize,
    pub message: PeerMessage,
}

/// The nodes and what is between them.
pub struct Network {
    pub cores: Vec<ControlCore>,
    pub now: Moment,
    pub flights: VecDeque<Flight>,
    pub replies: Vec<(usize, ReplyTicket, dotterelspan::controllers::Reply)>,
    pub forwarded: Vec<(usize, VmName, dotterelspan::controllers::message::KeyCall)>,
    starts: u128,
}

fn name_of(index: usize) -> String {
    format!("entry-{index}")
}

fn core(index: usize, incarnation: u128) -> ControlCore {
    let own = OwnIdentity {
        name: name_of(index).into(),
        zone: "furano".into(),
        caller_address: format!("caller-{index}").into(),
        peer_address: format!("peer-{index}").into(),
        incarnation,
        started_epoch_ms: incarnation as u64,
        millicores: 0,
    };
    ControlCore::with_all_parts(
        Blackboard::new(own),
        PlacementPolicy::Owner,
        24,
        incarnation as u64,
    )
}

impl Network {
    pub fn new(nodes: usize) -> Self {
        let mut network = Self {
            cores: Vec::new(),
            now: Moment(1_000),
            flights: VecDeque::new(),
            replies: Vec::new(),
            forwarded: Vec::new(),
            starts: 0,
        };
        for index in 0..nodes {
            network.starts += 1;
            network.cores.push(core(index, network.starts));
        }
        for index in 0..nodes {
            network.introduce(index);
        }
        network
    }

    /// Makes a node and all others known to each other, as their links would.
    fn introduce(&mut self, index: usize) {
        for other in (0..self.cores.len()).filter(|other| *other != index) {
            let (own, its) = (self.introduction(index), self.introduction(other));
            self.event(other, &Event::PeerJoined { introduction: own });
            self.event(index, &Event::PeerJoined { introduction: its });
        }
    }

    fn introduction(&self, index: usize) -> VmIntroduction {
        self.cores[index].board.introduction()
    }

    /// Ends a node's process and starts another in its place.
    pub fn restart(&mut self, index: usize) {
        self.starts += 1;
        self.cores[index] = core(index, self.starts);
        self.introduce(index);
    }

    /// Gives a node an event and collects what it does.
    pub fn event(&mut self, index: usize, event: &Event) {
        let incarnation = self.cores[index].board.own.incarnation;
        for action in self.cores[index].handle(event, self.now) {
            match action {
                Action::Reply { ticket, reply } => self.replies.push((index, ticket, reply)),
                Action::Send { to, message, .. } => {
                    let number = to.strip_prefix("entry-").and_then(|number| number.parse().ok());
                    self.flights.push_back(Flight {
                        from: index,
                        from_incarnation: incarnation,
                        to: number.expect("nodes have numbers"),
                        message,
                    });
                }
                Action::RunForwarded { from, call } => self.forwarded.push((index, from, call)),
                Action::ResetLink { .. }
                | Action::OrderRole(_)
                | Action::CheckHealth { .. }
                | Action::Publish
                | Action::Log(_)
                | Action::LogStep(_)
                | Action::Exit => {}
            }
        }
    }

    /// Delivers one message.
    pub fn deliver(&mut self, flight: Flight) {
        let event = Event::PeerMessage {
            from: Arc::from(name_of(flight.from)),
            incarnation: flight.from_incarnation,
            message: flight.message,
        };
        self.event(flight.to, &event);
    }

    /// Lets time pass on all nodes.
    pub fn pass(&mut self, span_ms: u64) {
        self.now = self.now.after_ms(span_ms);
        for index in 0..self.cores.len() {
            self.event(index, &Event::Tick { active_requests: 0 });
        }
    }
}
