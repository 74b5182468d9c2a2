//! Run-once calls: each key runs at most once, and "not run" stays true, under any order of messages, losses
//! and restarts.

use std::collections::HashMap;
use std::sync::Arc;

use dotterelspan::controllers::Reply;
use dotterelspan::controllers::idempotency::{
    IdempotencyKey, KeyOutcome, KeyRequest, KeyScope, StoredAnswer,
};
use dotterelspan::controllers::message::KeyCall;
use dotterelspan::prelude::*;
use proptest::prelude::*;

use crate::network::Network;

const NODES: usize = 3;

/// One step of a random history of calls, messages and faults.
#[derive(Clone, Debug)]
enum Step {
    Issue(usize),
    Send { key: usize, through: usize },
    Revoke { key: usize, through: usize },
    Deliver { pick: usize, again: bool },
    Lose(usize),
    Unreachable { at: usize, vm: usize },
    RunEnds { pick: usize, how: u8 },
    Pass(u64),
    Restart(usize),
    Leave(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let node = 0..NODES;
    let step = prop_oneof![
        2 => node.clone().prop_map(Step::Issue),
        6 => (0..8usize, node.clone()).prop_map(|(key, through)| Step::Send { key, through }),
        1 => (0..8usize, node.clone()).prop_map(|(key, through)| Step::Revoke { key, through }),
        10 => (0..64usize, any::<bool>()).prop_map(|(pick, again)| Step::Deliver { pick, again }),
        1 => (0..64usize).prop_map(Step::Lose),
        1 => (node.clone(), node.clone()).prop_map(|(at, vm)| Step::Unreachable { at, vm }),
        4 => (0..8usize, 0..3u8).prop_map(|(pick, how)| Step::RunEnds { pick, how }),
        3 => (1..3_000u64).prop_map(Step::Pass),
        1 => node.clone().prop_map(Step::Restart),
        1 => node.prop_map(Step::Leave),
    ];
    proptest::collection::vec(step, 1..120)
}

/// A call that was started and has no outcome yet. Its bytes may already have reached the service.
struct Run {
    node: usize,
    incarnation: u128,
    key: usize,
    serial: u64,
}

#[derive(Default)]
struct History {
    keys: Vec<IdempotencyKey>,
    running: Vec<Run>,
    runs: HashMap<usize, u32>,
    said_not_run: HashMap<usize, ResultCode>,
    tickets: HashMap<(usize, u64), usize>,
    next_ticket: u64,
    next_call: u64,
    forwarded_calls: HashMap<u64, (usize, VmName)>,
}

impl History {
    fn ticket(&mut self, node: usize, key: usize) -> ReplyTicket {
        self.next_ticket += 1;
        self.tickets.insert((node, self.next_ticket), key);
        ReplyTicket(self.next_ticket)
    }

    fn issue(&mut self, network: &mut Network, node: usize) {
        let ticket = self.ticket(node, usize::MAX);
        let scope = KeyScope {
            workspace: "kitamura".into(),
            service: "desk".into(),
            operation: "book".into(),
        };
        let request = KeyRequest {
            scope,
            name: None,
            deadline_epoch_ms: 0,
            deadline: network.now.after_ms(20_000),
        };
        network.handle_event(node, &Event::KeyWanted { ticket, request });
    }

    /// Sends the call of a key, or its revocation, through a node, as the node's traffic tasks would.
    fn send(&mut self, network: &mut Network, key: usize, through: usize, is_revoke: bool) {
        let Some(known) = self.keys.get(key % self.keys.len().max(1)).cloned() else {
            return;
        };
        let key = key % self.keys.len();
        let ticket = self.ticket(through, key);
        if known.incarnation == network.cores[through].board.own.incarnation {
            let event = if is_revoke {
                Event::KeyRevoked { ticket, key: known }
            } else {
                let body_hash = 7;
                Event::KeyClaimed {
                    ticket,
                    key: known,
                    body_hash,
                }
            };
            network.handle_event(through, &event);
            return;
        }
        self.next_call += 1;
        let call = KeyCall {
            call_id: self.next_call,
            owner: known.owner.clone(),
            owner_address: known.owner_address.clone(),
            key: key.to_string(),
            incarnation: known.incarnation,
            serial: known.serial,
            workspace: "kitamura".into(),
            service: "desk".into(),
            operation: "book".into(),
            body: (!is_revoke).then(|| Arc::from("body")),
            deadline: network.now.after_ms(5_000),
        };
        network.handle_event(through, &Event::KeyCallForwarded { ticket, call });
    }

    /// Handles forwarded calls and replies until no node gives new ones to its traffic tasks.
    fn settle(&mut self, network: &mut Network) {
        loop {
            let forwarded = std::mem::take(&mut network.forwarded);
            let replies = std::mem::take(&mut network.replies);
            if forwarded.is_empty() && replies.is_empty() {
                return;
            }
            for (node, from, call) in forwarded {
                self.handle_forwarded(network, node, from, &call);
            }
            for (node, ticket, reply) in replies {
                self.handle_reply(network, node, ticket, reply);
            }
        }
    }

    fn handle_forwarded(&mut self, network: &mut Network, node: usize, from: VmName, call: &KeyCall) {
        let key: usize = call.key.parse().expect("this test uses indexes as keys");
        let ticket = self.ticket(node, key);
        self.forwarded_calls
            .insert(ticket.0, (call.call_id as usize, from));
        let known = self.keys[key].clone();
        let event = if call.body.is_some() {
            Event::KeyClaimed {
                ticket,
                key: known,
                body_hash: 7,
            }
        } else {
            Event::KeyRevoked { ticket, key: known }
        };
        network.handle_event(node, &event);
    }

    fn handle_reply(&mut self, network: &mut Network, node: usize, ticket: ReplyTicket, reply: Reply) {
        let Some(key) = self.tickets.remove(&(node, ticket.0)) else {
            return;
        };
        if let Reply::Key(issued) = reply {
            self.keys.push(issued.key);
            return;
        }
        if let Reply::Start = reply {
            let serial = self.keys[key].serial;
            let incarnation = network.cores[node].board.own.incarnation;
            assert_eq!(
                incarnation, self.keys[key].incarnation,
                "only the issuer starts a key"
            );
            *self.runs.entry(key).or_default() += 1;
            self.running.push(Run {
                node,
                incarnation,
                key,
                serial,
            });
            return;
        }
        let answer = match &reply {
            Reply::Answer(answer) => Ok(answer.clone()),
            Reply::Refused(notice) => Err(notice.clone()),
            _ => Err(RefusalNotice::new(ResultCode::KeyRevoked, "")),
        };
        if let Err(notice) = &answer
            && notice.effect == RunEffect::NotRun
        {
            self.said_not_run.insert(key, notice.code);
        }
        if let Some((call_id, to)) = self.forwarded_calls.remove(&ticket.0) {
            let call_id = call_id as u64;
            network.handle_event(node, &Event::KeyCallAnswered { to, call_id, answer });
        }
    }

    /// Ends a running call: answered, lost after it was sent, or never sent.
    fn end_run(&mut self, network: &mut Network, pick: usize, how: u8) {
        if self.running.is_empty() {
            return;
        }
        let run = self.running.swap_remove(pick % self.running.len());
        // A process that was restarted reports no outcomes.
        if network.cores[run.node].board.own.incarnation != run.incarnation {
            return;
        }
        let outcome = match how {
            0 => KeyOutcome::Answered(StoredAnswer {
                status: 200,
                body: format!("answer of {}", run.key).into(),
            }),
            1 => KeyOutcome::Unknown,
            _ => {
                *self.runs.entry(run.key).or_default() -= 1;
                self.said_not_run.insert(run.key, ResultCode::NoUpstream);
                KeyOutcome::Unstarted(RefusalNotice::new(ResultCode::NoUpstream, ""))
            }
        };
        let serial = run.serial;
        network.handle_event(run.node, &Event::KeyFinished { serial, outcome });
    }
}

fn apply(history: &mut History, network: &mut Network, step: &Step) {
    match step {
        Step::Issue(node) => history.issue(network, *node),
        Step::Send { key, through } => history.send(network, *key, *through, false),
        Step::Revoke { key, through } => history.send(network, *key, *through, true),
        Step::Deliver { pick, again } if !network.deliveries.is_empty() => {
            let index = pick % network.deliveries.len();
            let delivery = network.deliveries[index].clone();
            if !again {
                network.deliveries.remove(index);
            }
            network.deliver(delivery);
        }
        Step::Lose(pick) if !network.deliveries.is_empty() => {
            let index = pick % network.deliveries.len();
            network.deliveries.remove(index);
        }
        Step::Unreachable { at, vm } if at != vm => {
            let vm = Arc::from(format!("entry-{vm}"));
            network.handle_event(*at, &Event::PeerUnreachable { vm });
        }
        Step::RunEnds { pick, how } => history.end_run(network, *pick, *how),
        Step::Pass(span_ms) => network.advance(*span_ms),
        Step::Restart(node) => {
            network.restart(*node);
            history.tickets.retain(|(at, _), _| at != node);
        }
        Step::Leave(node) => {
            let now = network.now;
            let (accept_until, exit_at) = (now, now.after_ms(2_000));
            network.handle_event(
                *node,
                &Event::LeaveOrdered {
                    accept_until,
                    exit_at,
                },
            );
        }
        Step::Deliver { .. } | Step::Lose(_) | Step::Unreachable { .. } => {}
    }
    history.settle(network);
}

proptest! {
    #![proptest_config(crate::config(400))]

    #[test]
    fn a_key_runs_at_most_once_and_not_run_stays_true(steps in steps()) {
        let mut network = Network::new(NODES);
        let mut history = History::default();
        for step in &steps {
            apply(&mut history, &mut network, step);
            for (key, runs) in &history.runs {
                prop_assert!(*runs <= 1, "key {} ran {} times", key, runs);
                if let Some(code) = history.said_not_run.get(key) {
                    prop_assert!(*runs == 0, "key {} ran though {:?} said not run", key, code);
                }
            }
        }
    }
}
