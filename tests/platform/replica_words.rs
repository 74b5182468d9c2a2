//! What replicas report in their answers: that they are leaving, that they request backoff, and unknown
//! attributes.

use std::time::{Duration, Instant};

use crate::fixture::{Engines, start_desk};
use crate::node::{GatewayNode, wait_until};
use crate::replica::{RETRY_AFTER_S, ReplicaBehavior, StandInReplica};
use crate::wire::{Message, exchange, request};

/// Time after which a leaving replica must get no new requests; the shortest that a deployment sets.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_000);

/// Time after which a requested backoff must be observed.
const BACKOFF_GRACE: Duration = Duration::from_millis(500);

/// Maximum number of requests from one VM that a replica may get during its backoff.
const MAX_DURING_BACKOFF: usize = 2;

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

/// Sends requests to a node, one after the other, until a point in time.
fn ask_until(node: &GatewayNode, until: Instant, text: impl Fn(usize) -> String) -> Vec<Message> {
    let mut answers = Vec::new();
    while Instant::now() < until {
        answers.push(node.ask(&text(answers.len())));
        std::thread::sleep(Duration::from_millis(10));
    }
    answers
}

#[test]
fn a_replica_that_reports_leaving_gets_no_new_calls() {
    let (store, node, replicas) = start_desk([ReplicaBehavior::Leaving, ReplicaBehavior::NotRun]);
    wait_until("the leaving replica got a call", || {
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
    // The store lists the same start as ready again; the replica's own report takes precedence.
    replicas[0].publish(&store, "desk", None, "ready");
    std::thread::sleep(Duration::from_millis(700));
    node.ask(&call("/read", "q-again"));
    assert_eq!(replicas[0].count(), before, "{}", node.log());
}

#[test]
fn a_replica_that_left_serves_again_after_a_restart() {
    let (store, node, replicas) = start_desk([ReplicaBehavior::Leaving, ReplicaBehavior::Leaving]);
    wait_until("both replicas got a call", || {
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
fn peers_learn_that_a_replica_is_leaving() {
    let (store, node, replicas) = start_desk([ReplicaBehavior::Leaving, ReplicaBehavior::NotRun]);
    let other = GatewayNode::start(&store, "vm-2", &[&node]);
    other.wait_ready();
    wait_until("the first node got an answer of the leaving replica", || {
        node.ask(&call("/read", "q-0"));
        replicas[0].count() > 0
    });
    replicas[1].set_behavior(ReplicaBehavior::Well);
    wait_until("the other node logs that it is leaving", || {
        other.log().contains("event=replica_leaving replica=i-1")
    });
    std::thread::sleep(DRAIN_LIMIT);
    let before = replicas[0].count();
    ask_until(&other, Instant::now() + Duration::from_millis(500), |number| {
        call("/read", &format!("p-{number}"))
    });
    assert_eq!(replicas[0].count(), before, "{}", other.log());
}

/// Guards against hedged sends to a draining replica: it is the last choice, but a hedge has no other, since the first
/// send has the only replica that stays.
#[test]
fn a_draining_replica_gets_no_hedged_calls() {
    let (store, node, replicas) = start_desk([ReplicaBehavior::Well, ReplicaBehavior::Slow]);
    replicas[0].publish(&store, "desk", None, "draining");
    wait_until("the node knows that it drains", || {
        node.metric("replicas{", "state=\"leaving\"") == 1.0
    });
    let before = replicas[0].count();
    let answers = ask_until(&node, Instant::now() + Duration::from_millis(900), |number| {
        call("/read", &format!("q-{number}"))
    });
    assert!(answers.len() > 1, "{}", node.log());
    assert!(
        answers.iter().all(|answer| answer.text() == "i-2 x"),
        "{answers:?}"
    );
    assert_eq!(replicas[0].count(), before, "{}", node.log());
}

#[test]
fn engines_that_report_leaving_get_no_prompts_and_no_streams() {
    let Engines {
        store: _store,
        node,
        prefills,
        decodes,
    } = Engines::start();
    // The first generation goes to the first engine of each role, since they are equal so far.
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
fn an_unknown_attribute_is_logged_once_for_each_replica_and_counted() {
    let (_store, node, replicas) = start_desk([ReplicaBehavior::Well, ReplicaBehavior::Well]);
    replicas
        .iter()
        .for_each(|replica| replica.set_unknown_attribute(true));
    let call_count = 20;
    (0..call_count).for_each(|number| {
        node.ask(&call("/read", &format!("q-{number}")));
    });
    let called_replicas = replicas.iter().filter(|replica| replica.count() > 0).count();
    wait_until("the attribute is logged once for each replica", || {
        node.log().matches("event=statement_unknown").count() == called_replicas
    });
    assert!(
        node.log().contains("name=server-mood value=\"fair\""),
        "{}",
        node.log()
    );
    assert_eq!(
        node.metric("unknown_statements", "server-mood"),
        f64::from(call_count)
    );
}

#[test]
fn a_replica_that_requested_backoff_gets_no_calls() {
    let (_store, node, replicas) = start_desk([ReplicaBehavior::RequestsBackoff, ReplicaBehavior::NotRun]);
    wait_until("it refused a request", || {
        node.ask(&call("/read", "q-0"));
        replicas[0].count() > 0
    });
    replicas[1].set_behavior(ReplicaBehavior::Well);
    let refused_at = Instant::now();
    std::thread::sleep(BACKOFF_GRACE);
    let before = replicas[0].count();
    let path = |number: usize| {
        if number.is_multiple_of(2) {
            "/read"
        } else {
            "/book"
        }
    };
    let backoff_ends_at = refused_at + Duration::from_secs(RETRY_AFTER_S) - Duration::from_millis(100);
    let answers = ask_until(&node, backoff_ends_at, |number| {
        call(path(number), &format!("q-{number}"))
    });
    assert!(
        answers.iter().all(|answer| answer.text() == "i-2 x"),
        "{}",
        node.log()
    );
    assert!(
        replicas[0].count() - before <= MAX_DURING_BACKOFF,
        "{}",
        node.log()
    );
    replicas[0].set_behavior(ReplicaBehavior::Well);
    replicas[1].set_behavior(ReplicaBehavior::NotRun);
    wait_until("the replica gets calls again", || {
        node.ask(&call("/read", "q-9")).text() == "i-1 x"
    });
}

#[test]
fn callers_get_the_end_of_the_first_backoff_as_retry_after() {
    let (_store, node, replicas) =
        start_desk([ReplicaBehavior::RequestsBackoff, ReplicaBehavior::RequestsBackoff]);
    wait_until("both refused a request", || {
        node.ask(&call("/read", "q-0"));
        replicas.iter().all(|replica| replica.count() > 0)
    });
    let began = Instant::now();
    let refused = node.ask(&call("/read", "q-1"));
    let wait_s: f64 = refused
        .header("Retry-After")
        .and_then(|text| text.parse().ok())
        .expect("a Retry-After");
    assert_eq!(refused.status(), 503);
    assert!(
        began.elapsed() < Duration::from_millis(500),
        "the refusal was delayed"
    );
    assert!(wait_s > 1.0 && wait_s <= RETRY_AFTER_S as f64, "{wait_s}");
}

#[test]
fn engines_that_requested_backoff_are_not_granted() {
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
        wait_until("it refused a request", || {
            node.ask(&generation("q-0"));
            engine.count() > 0
        });
        let refused_at = Instant::now();
        std::thread::sleep(BACKOFF_GRACE);
        let before = engine.count();
        let backoff_ends_at = refused_at + Duration::from_secs(RETRY_AFTER_S) - Duration::from_millis(100);
        let answers = ask_until(&node, backoff_ends_at, |number| {
            generation(&format!("q-{number}"))
        });
        assert!(
            answers
                .iter()
                .all(|answer| answer.status() == 200 && answer.is_whole),
            "{}",
            node.log()
        );
        let count = engine.count() - before;
        assert!(count <= MAX_DURING_BACKOFF, "{count} {}", node.log());
    }
}

#[test]
fn generations_are_refused_at_once_during_the_backoff_of_all_engines() {
    let Engines {
        store: _store,
        node,
        prefills: _prefills,
        decodes,
    } = Engines::start();
    for decode in &decodes {
        decode.set_behavior(ReplicaBehavior::RequestsBackoff);
    }
    wait_until("both refused a request", || {
        node.ask(&generation("q-0"));
        decodes.iter().all(|engine| engine.count() > 0)
    });
    let began = Instant::now();
    let refused = exchange(node.callers(), &generation("q-1")).expect("an answer");
    let wait_s: f64 = refused
        .header("Retry-After")
        .and_then(|text| text.parse().ok())
        .expect("a Retry-After");
    assert_eq!(refused.status(), 503, "{}", node.log());
    assert!(
        began.elapsed() < Duration::from_millis(500),
        "the refusal was delayed"
    );
    assert!(wait_s > 1.0 && wait_s <= RETRY_AFTER_S as f64, "{wait_s}");
}
