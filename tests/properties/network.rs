//! The control cores of a few nodes on a simulated clock, with messages that arrive late, twice or never.

use std::collections::VecDeque;
use std::sync::Arc;

use dotterelspan::blackboard::OwnIdentity;
use dotterelspan::controllers::ControlCore;
use dotterelspan::controllers::message::{PeerMessage, VmIntroduction};
use dotterelspan::controllers::slots::PlacementPolicy;
use dotterelspan::prelude::*;

/// A message that was sent and not delivered yet.
#[derive(Clone, Debug)]
pub struct Delivery {
    pub from: usize,
    pub from_incarnation: u128,
    pub to: usize,
    pub message: PeerMessage,
}

/// The nodes and the messages between them.
pub struct Network {
    pub cores: Vec<ControlCore>,
    pub now: Moment,
    pub deliveries: VecDeque<Delivery>,
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
    ControlCore::with_all_controllers(
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
            deliveries: VecDeque::new(),
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

    /// Introduces a node and all others to each other, as opening a link does.
    fn introduce(&mut self, index: usize) {
        for other in (0..self.cores.len()).filter(|other| *other != index) {
            let (own, theirs) = (self.introduction(index), self.introduction(other));
            self.handle_event(other, &Event::PeerJoined { introduction: own });
            self.handle_event(index, &Event::PeerJoined { introduction: theirs });
        }
    }

    fn introduction(&self, index: usize) -> VmIntroduction {
        self.cores[index].board.introduction()
    }

    /// Replaces a node's process by a new one.
    pub fn restart(&mut self, index: usize) {
        self.starts += 1;
        self.cores[index] = core(index, self.starts);
        self.introduce(index);
    }

    /// Passes an event to a node and collects the actions that it requests.
    pub fn handle_event(&mut self, index: usize, event: &Event) {
        let incarnation = self.cores[index].board.own.incarnation;
        for action in self.cores[index].handle(event, self.now) {
            match action {
                Action::Reply { ticket, reply } => self.replies.push((index, ticket, reply)),
                Action::Send { to, message, .. } => {
                    let number = to.strip_prefix("entry-").and_then(|number| number.parse().ok());
                    self.deliveries.push_back(Delivery {
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
    pub fn deliver(&mut self, delivery: Delivery) {
        let event = Event::PeerMessage {
            from: Arc::from(name_of(delivery.from)),
            incarnation: delivery.from_incarnation,
            message: delivery.message,
        };
        self.handle_event(delivery.to, &event);
    }

    /// Advances the clock and ticks all nodes.
    pub fn advance(&mut self, span_ms: u64) {
        self.now = self.now.after_ms(span_ms);
        for index in 0..self.cores.len() {
            self.handle_event(index, &Event::Tick { active_requests: 0 });
        }
    }
}
