//! What replicas say of themselves in their answers: that they leave, and that they want nothing for a while.

use std::time::{Duration, Instant};

use crate::fixture::{Engines, start_desk};
use crate::node::{GatewayNode, wait_until};
use crate::replica::{RETRY_AFTER_S, ReplicaBehavior, StandInReplica};
use crate::wire::{Message, exchange, request};

/// The shortest bound of a deployment on new work for a replica that leaves.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_000);

/// The time after which a back-off has to be kept.
const BACK_OFF_SLACK: Duration = Duration::from_millis(500);

/// The most requests that a replica may get from one VM while it backs off.
const MOST_WHILE_BACKING_OFF: usize = 2;

fn call(path: &str, id: &str) -> String {
    request("POST", "shop.example", path, id, "", "x")
}

fn generation(id: &str) -> String {
    request(
        "POST",
        "shop.example",
        "/stream",
        id,
        "X-Token-Count: 900,50\r\n",
        "a prompt",
    )
}

/// Sends requests to a node one after the other until a moment.
fn ask_until(node: &GatewayNode, until: Instant, text: impl Fn(usize) -> String) -> Vec<Message> {
    let mut answers = Vec::new();
    while Instant::now() < until {
        answers.push(node.ask(&text(answers.len())));
        std::thread::sleep(Duration::from_millis(10));
    }
    answers
}

#[test]
fn a_replica_that_says_it_leaves_gets_no_new_calls() {
    let (store, node, replicas) = start_desk([ReplicaBehavior::Leaving, ReplicaBehavior::NotRun]);
    wait_until("it was asked", || {
        node.ask(&call("/read", "q-0"));
        replicas[0].count() > 0
    });
    replicas[1].set_behavior(ReplicaBehavior::Well);
    std::thread::sleep(DRAIN_LIMIT);
    let before = replicas[0].count();
    let path = |number: usize| {
        if number.is_multiple_of(2) {
            "/read"
        } else {
            "/book"
        }
    };
    let answers = ask_until(&node, Instant::now() + Duration::from_millis(800), |number| {
        call(path(number), &format!("q-{number}"))
    });
    assert!(
        answers.iter().all(|answer| answer.text() == "i-2 x"),
        "{answers:?}"
    );
    assert_eq!(replicas[0].count(), before, "{}", node.log());
    // The store says again that it is ready, of the same start: the replica knows better.
    replicas[0].publish(&store, "desk", None, "ready");
    std::thread::sleep(Duration::from_millis(700));
    node.ask(&call("/read", "q-again"));
    assert_eq!(replicas[0].count(), before, "{}", node.log());
}

#[test]
fn a_later_start_of_a_replica_that_left_is_another_one() {
    let (store, node, replicas) = start_desk([ReplicaBehavior::Leaving, ReplicaBehavior::Leaving]);
    wait_until("both were asked", || {
        node.ask(&call("/read", "q-0"));
        replicas.iter().all(|replica| replica.count() > 0)
    });
    std::thread::sleep(DRAIN_LIMIT);
    let refused = node.ask(&call("/read", "q-1"));
    assert_eq!(refused.status(), 503, "{}", node.log());
    replicas[0].set_behavior(ReplicaBehavior::Well);
    replicas[0].publish_start(&store, "desk", None, 2);
    wait_until("the new start serves", || {
        node.ask(&call("/read", "q-2")).text() == "i-1 x"
    });
}

#[test]
fn peers_hear_that_a_replica_leaves() {
    let (store, node, replicas) = start_desk([ReplicaBehavior::Leaving, ReplicaBehavior::NotRun]);
    let other = GatewayNode::start(&store, "vm-2", &[&node]);
    other.wait_ready();
    wait_until("the first node was told", || {
        node.ask(&call("/read", "q-0"));
        replicas[0].count() > 0
    });
    replicas[1].set_behavior(ReplicaBehavior::Well);
    wait_until("the other node heard of it", || {
        other.log().contains("event=replica_leaving replica=i-1")
    });
    std::thread::sleep(DRAIN_LIMIT);
    let before = replicas[0].count();
    ask_until(&other, Instant::now() + Duration::from_millis(500), |number| {
        call("/read", &format!("p-{number}"))
    });
    assert_eq!(replicas[0].count(), before, "{}", other.log());
}

#[test]
fn engines_that_say_they_leave_get_no_prompts_and_no_streams() {
    let Engines {
        store: _store,
        node,
        prefills,
        decodes,
    } = Engines::start();
    // The first generation goes to the first engine of each kind, since nothing tells them apart yet.
    let leaving = [&prefills[0], &decodes[0]];
    leaving
        .iter()
        .for_each(|engine| engine.set_behavior(ReplicaBehavior::Leaving));
    node.ask(&generation("q-0"));
    assert!(leaving.iter().all(|engine| engine.count() == 1), "{}", node.log());
    std::thread::sleep(DRAIN_LIMIT);
    let before = leaving.map(StandInReplica::count);
    let answers = ask_until(&node, Instant::now() + Duration::from_millis(800), |number| {
        generation(&format!("q-{number}"))
    });
    assert!(
        answers
            .iter()
            .all(|answer| answer.status() == 200 && answer.is_whole),
        "{}",
        node.log()
    );
    assert_eq!(leaving.map(StandInReplica::count), before, "{}", node.log());
}

#[test]
fn a_statement_that_nothing_reads_is_logged_once_for_each_replica_and_counted() {
    let (_store, node, replicas) = start_desk([ReplicaBehavior::Well, ReplicaBehavior::Well]);
    replicas.iter().for_each(|replica| replica.set_unknown_line(true));
    let all = 20;
    (0..all).for_each(|number| {
        node.ask(&call("/read", &format!("q-{number}")));
    });
    let told = replicas.iter().filter(|replica| replica.count() > 0).count();
    wait_until("it is logged", || {
        node.log().matches("event=statement_unknown").count() == told
    });
    assert!(
        node.log().contains("name=server-mood value=\"fair\""),
        "{}",
        node.log()
    );
    assert_eq!(node.metric("unknown_statements", "server-mood"), f64::from(all));
}

#[test]
fn a_replica_that_backs_off_is_left_alone() {
    let (_store, node, replicas) = start_desk([ReplicaBehavior::RequestsBackoff, ReplicaBehavior::NotRun]);
    wait_until("it turned a request away", || {
        node.ask(&call("/read", "q-0"));
        replicas[0].count() > 0
    });
    replicas[1].set_behavior(ReplicaBehavior::Well);
    let told_at = Instant::now();
    std::thread::sleep(BACK_OFF_SLACK);
    let before = replicas[0].count();
    let path = |number: usize| {
        if number.is_multiple_of(2) {
            "/read"
        } else {
            "/book"
        }
    };
    let over_at = told_at + Duration::from_secs(RETRY_AFTER_S) - Duration::from_millis(100);
    let answers = ask_until(&node, over_at, |number| {
        call(path(number), &format!("q-{number}"))
    });
    assert!(
        answers.iter().all(|answer| answer.text() == "i-2 x"),
        "{}",
        node.log()
    );
    assert!(
        replicas[0].count() - before <= MOST_WHILE_BACKING_OFF,
        "{}",
        node.log()
    );
    replicas[0].set_behavior(ReplicaBehavior::Well);
    replicas[1].set_behavior(ReplicaBehavior::NotRun);
    wait_until("it is asked again", || {
        node.ask(&call("/read", "q-9")).text() == "i-1 x"
    });
}

#[test]
fn callers_are_told_when_the_first_replica_comes_back() {
    let (_store, node, replicas) =
        start_desk([ReplicaBehavior::RequestsBackoff, ReplicaBehavior::RequestsBackoff]);
    wait_until("both turned a request away", || {
        node.ask(&call("/read", "q-0"));
        replicas.iter().all(|replica| replica.count() > 0)
    });
    let began = Instant::now();
    let refused = node.ask(&call("/read", "q-1"));
    let wait_s: f64 = refused
        .header("Retry-After")
        .and_then(|text| text.parse().ok())
        .expect("when to come back");
    assert_eq!(refused.status(), 503);
    assert!(
        began.elapsed() < Duration::from_millis(500),
        "it is refused at once"
    );
    assert!(wait_s > 1.0 && wait_s <= RETRY_AFTER_S as f64, "{wait_s}");
}

#[test]
fn engines_that_back_off_are_granted_to_nobody_here() {
    for backs_off_decode in [false, true] {
        let Engines {
            store: _store,
            node,
            prefills,
            decodes,
        } = Engines::start();
        let engine = if backs_off_decode {
            &decodes[0]
        } else {
            &prefills[0]
        };
        engine.set_behavior(ReplicaBehavior::RequestsBackoff);
        wait_until("it turned a request away", || {
            node.ask(&generation("q-0"));
            engine.count() > 0
        });
        let told_at = Instant::now();
        std::thread::sleep(BACK_OFF_SLACK);
        let before = engine.count();
        let over_at = told_at + Duration::from_secs(RETRY_AFTER_S) - Duration::from_millis(100);
        let answers = ask_until(&node, over_at, |number| generation(&format!("q-{number}")));
        assert!(
            answers
                .iter()
                .all(|answer| answer.status() == 200 && answer.is_whole),
            "{}",
            node.log()
        );
        let count = engine.count() - before;
        assert!(count <= MOST_WHILE_BACKING_OFF, "{count} {}", node.log());
    }
}

#[test]
fn generations_are_refused_at_once_while_all_engines_back_off() {
    let Engines {
        store: _store,
        node,
        prefills: _prefills,
        decodes,
    } = Engines::start();
    for decode in &decodes {
        decode.set_behavior(ReplicaBehavior::RequestsBackoff);
    }
    wait_until("both turned a request away", || {
        node.ask(&generation("q-0"));
        decodes.iter().all(|engine| engine.count() > 0)
    });
    let began = Instant::now();
    let refused = exchange(node.callers(), &generation("q-1")).expect("an answer");
    let wait_s: f64 = refused
        .header("Retry-After")
        .and_then(|text| text.parse().ok())
        .expect("when to come back");
    assert_eq!(refused.status(), 503, "{}", node.log());
    assert!(
        began.elapsed() < Duration::from_millis(500),
        "it is refused at once"
    );
    assert!(wait_s > 1.0 && wait_s <= RETRY_AFTER_S as f64, "{wait_s}");
}
