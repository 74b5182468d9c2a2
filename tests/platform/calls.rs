//! Plain calls: forwarding, retries, run-once calls, refusals, and malformed or slow requests.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::fixture::start_desk;
use crate::node::wait_until;
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::wire::request;

fn runs(replicas: &[StandInReplica], id: &str) -> usize {
    replicas.iter().map(|replica| replica.seen(id).len()).sum()
}

#[test]
fn a_call_passes_unchanged_both_ways() {
    let (_store, node, replicas) = start_desk([ReplicaBehavior::Well, ReplicaBehavior::Well]);
    let target = "/read/a%2Fb/../c?x=%20&x=1";
    let text = request(
        "POST",
        "shop.example",
        target,
        "q-1",
        "X-Own: kept\r\nX-Expect-Instance: forged\r\n",
        "the body",
    );
    let answer = node.ask(&text);
    assert_eq!(answer.status(), 200, "{}", node.log());
    assert!(answer.is_whole && answer.text().ends_with(" the body"));
    assert_eq!(answer.header("X-Response-Signature"), Some("s"));
    assert_eq!(
        answer.header("X-Server-Load"),
        None,
        "the load header was passed on"
    );
    let seen: Vec<_> = replicas.iter().flat_map(|replica| replica.seen("q-1")).collect();
    assert_eq!((seen.len(), seen[0].target()), (1, target));
    assert_eq!(seen[0].header("X-Own"), Some("kept"));
    assert!(
        seen[0]
            .header("X-Expect-Instance")
            .is_some_and(|id| id.starts_with("i-"))
    );
}

#[test]
fn a_request_that_was_not_run_is_sent_to_another_replica() {
    for behavior in [ReplicaBehavior::NotRun, ReplicaBehavior::Misdirected] {
        let (_store, node, replicas) = start_desk([behavior, ReplicaBehavior::Well]);
        for number in 0..6 {
            let id = format!("q-{number}");
            let path = if number % 2 == 0 { "/read" } else { "/book" };
            let answer = node.ask(&request("POST", "shop.example", path, &id, "", "x"));
            assert_eq!(
                (answer.status(), answer.text()),
                (200, "i-2 x".to_owned()),
                "{behavior:?} {}",
                node.log()
            );
            assert_eq!(replicas[1].seen(&id).len(), 1);
        }
    }
}

#[test]
fn run_once_calls_that_may_have_run_are_not_retried() {
    for behavior in [
        ReplicaBehavior::Breaks,
        ReplicaBehavior::Unsigned,
        ReplicaBehavior::OtherId,
    ] {
        let (_store, node, replicas) = start_desk([behavior; 2]);
        for number in 0..4 {
            let id = format!("q-{number}");
            // After an answer to another request, the request's own one may still come; the deadline ends
            // that wait.
            let text = request("POST", "shop.example", "/book", &id, "", "x");
            let answer = node.ask(&text.replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: 600"));
            assert!(answer.status() >= 500, "{behavior:?}: {}", answer.start);
            assert!(
                ![429, 503].contains(&answer.status()) || runs(&replicas, &id) == 0,
                "{behavior:?}: refused as not run, although it ran"
            );
            assert!(
                runs(&replicas, &id) <= 1,
                "{behavior:?}: sent {} times",
                runs(&replicas, &id)
            );
        }
        assert!(
            runs(&replicas, "q-0") == 1,
            "{behavior:?}: the first call was not sent"
        );
    }
}

#[test]
fn idempotent_calls_are_retried_after_a_broken_or_untrusted_answer() {
    for behavior in [
        ReplicaBehavior::Breaks,
        ReplicaBehavior::Unsigned,
        ReplicaBehavior::OtherId,
    ] {
        let (_store, node, _replicas) = start_desk([behavior, ReplicaBehavior::Well]);
        for number in 0..4 {
            let answer = node.ask(&request(
                "POST",
                "shop.example",
                "/read",
                &format!("q-{number}"),
                "",
                "x",
            ));
            assert_eq!(
                (answer.status(), answer.text()),
                (200, "i-2 x".to_owned()),
                "{behavior:?} {}",
                node.log()
            );
        }
    }
}

#[test]
fn unservable_requests_are_refused_at_once() {
    let (_store, node, replicas) = start_desk([ReplicaBehavior::Well, ReplicaBehavior::Well]);
    let began = Instant::now();
    let empty = node.ask(&request("GET", "shop.example", "/empty", "q-1", "", ""));
    assert_eq!(empty.status(), 503);
    assert!(empty.header("Retry-After").is_some(), "{empty:?}");
    let unknown = node.ask(&request("GET", "other.example", "/read", "q-2", "", ""));
    assert_eq!(unknown.status(), 404);
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "both refusals were delayed"
    );
    let large = request("POST", "shop.example", "/read", "q-3", "", &"x".repeat(100_001));
    assert_eq!(node.ask(&large).status(), 413);
    assert_eq!(replicas[0].count() + replicas[1].count(), 0);
}

#[test]
fn ambiguously_framed_requests_reach_no_replica() {
    let (_store, node, replicas) = start_desk([ReplicaBehavior::Well, ReplicaBehavior::Well]);
    let head = "POST /read HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q-1\r\n";
    let smuggled = "GET /book HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q-2\r\n\r\n";
    for lines in [
        "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 0\r\nContent-Length: 5\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "X-A: b\r\n Content-Length: 0\r\n",
        "Content-Length : 0\r\n",
    ] {
        let answer = node.ask(&format!("{head}{lines}\r\n{smuggled}"));
        assert_eq!(answer.status(), 400, "{lines:?}");
    }
    assert_eq!(replicas[0].count() + replicas[1].count(), 0);
    assert_eq!(node.readiness(), 200);
}

#[test]
fn a_caller_that_sends_its_head_too_slowly_is_disconnected() {
    let (_store, node, _replicas) = start_desk([ReplicaBehavior::Well, ReplicaBehavior::Well]);
    let mut slow = TcpStream::connect(node.callers()).expect("a connection");
    std::io::Write::write_all(&mut slow, b"POST /read HTTP/1.1\r\nHost: sh").expect("a few bytes");
    let began = Instant::now();
    let answer = crate::wire::read_answer(&mut slow);
    // The time limit for a head is two seconds.
    assert!(began.elapsed() < Duration::from_secs(4));
    assert!(
        answer.is_none_or(|answer| answer.status() == 408),
        "neither refused nor closed"
    );
}

#[test]
fn each_request_has_one_final_log_line_that_explain_reads() {
    let (_store, node, _replicas) = start_desk([ReplicaBehavior::Breaks, ReplicaBehavior::Breaks]);
    let answer = node.ask(&request("POST", "shop.example", "/book", "q-1", "", "x"));
    assert!(answer.status() >= 500);
    wait_until("the final log line is written", || {
        node.log().contains("event=ended")
    });
    let lines = node
        .log()
        .lines()
        .filter(|line| line.contains("event=ended") && line.contains("q-1"))
        .count();
    assert_eq!(lines, 1, "{}", node.log());
    let explained = std::process::Command::new(env!("CARGO_BIN_EXE_dotterelspan"))
        .arg("explain")
        .arg("q-1")
        .arg(node.log_path())
        .output()
        .expect("the program can be run");
    let text = String::from_utf8_lossy(&explained.stdout).into_owned();
    assert!(explained.status.success() && text.contains("q-1"), "{text}");
    assert!(
        text.contains("i-1") || text.contains("i-2"),
        "the replica is not named: {text}"
    );
}
