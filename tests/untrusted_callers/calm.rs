//! What single callers get while there is no crowd.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::crowd::{Desk, MAX_BODY_BYTES};
use crate::replica::{HUGE_PATH, SLOW_PATH, cut_answers};
use crate::wire::{LIMIT, read_answer, request};

/// Descriptors of the node.
const MAX_FDS: usize = 1_024;

/// Longer than a replica waits for a reader, which is up to twice its limit of 2 s.
const UNREAD_SPAN: Duration = Duration::from_secs(5);

fn status_of(answer: &[u8]) -> &str {
    std::str::from_utf8(&answer[..answer.len().min(12)]).unwrap_or_default()
}

// Guards against bounds so tight that a single legal body is refused.
#[test]
fn a_single_body_of_the_longest_legal_size_is_served() {
    let desk = Desk::start(MAX_FDS);
    let lines = "Transfer-Encoding: chunked\r\nConnection: close\r\n";
    let chunked = request("POST", "shop.example", "/book", "q-1", lines, "");
    let chunked =
        chunked.replace("Content-Length: 0\r\n", "") + &"1\r\nx\r\n".repeat(MAX_BODY_BYTES) + "0\r\n\r\n";
    let body = "x".repeat(MAX_BODY_BYTES);
    let by_length = request(
        "POST",
        "shop.example",
        "/book",
        "q-2",
        "Connection: close\r\n",
        &body,
    );
    for text in [by_length, chunked] {
        let mut stream = TcpStream::connect(desk.node.callers()).expect("a connection");
        stream
            .set_read_timeout(Some(LIMIT))
            .expect("a timeout can be set");
        stream
            .write_all(text.as_bytes())
            .expect("the request can be sent");
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).expect("an answer");
        assert_eq!(status_of(&answer), "HTTP/1.1 200");
    }
}

// Guards against buffers so small that a short request waits for retransmissions or delayed acknowledgements; the
// time is printed, not checked.
#[test]
fn requests_of_8_kb_are_served_on_one_connection() {
    const REQUESTS: usize = 200;
    let desk = Desk::start(MAX_FDS);
    let text = request("POST", "shop.example", "/book", "q-1", "", &"x".repeat(8_192));
    let mut stream = TcpStream::connect(desk.node.callers()).expect("a connection");
    let mut spans: Vec<Duration> = (0..REQUESTS)
        .map(|_| {
            let began_at = Instant::now();
            stream
                .write_all(text.as_bytes())
                .expect("the request can be sent");
            let answer = read_answer(&mut stream).expect("an answer");
            assert_eq!(answer.status(), 200);
            began_at.elapsed()
        })
        .collect();
    spans.sort();
    println!(
        "requests_of_8_kb: p50={:?} p99={:?}",
        spans[REQUESTS / 2],
        spans[REQUESTS * 99 / 100]
    );
}

// Guards against an answer that its replica cut off, and whose caller takes the part for the whole.
#[test]
fn an_unread_answer_that_is_cut_off_looks_broken() {
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let desk = Desk::start(MAX_FDS);
        let cuts_before = cut_answers();
        let text = request("GET", "shop.example", HUGE_PATH, "q-1", "", "").replace("HTTP/1.1", version);
        let mut stream = TcpStream::connect(desk.node.callers()).expect("a connection");
        stream
            .set_read_timeout(Some(LIMIT))
            .expect("a timeout can be set");
        stream
            .write_all(text.as_bytes())
            .expect("the request can be sent");
        std::thread::sleep(UNREAD_SPAN);
        let cuts = cut_answers() - cuts_before;
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer);
        let is_complete = match version {
            // Without chunks, only a reset tells that the answer broke off.
            "HTTP/1.0" => read.is_ok(),
            _ => read.is_ok() && answer.ends_with(b"0\r\n\r\n"),
        };
        println!(
            "unread_answer_cut: version={version} cuts={cuts} bytes={} read={read:?}",
            answer.len()
        );
        assert!(cuts > 0, "{version}: no replica cut its answer off");
        assert!(!is_complete, "{version}: {} bytes look complete", answer.len());
    }
}

// Guards against a booking that runs and whose connection is closed, since its caller has sent more ahead than there is
// memory for.
#[test]
fn a_running_request_is_answered_whatever_its_caller_has_sent_ahead() {
    const CALLERS: usize = 160;
    let desk = Desk::start(MAX_FDS);
    let address = desk.node.callers();
    let ask = |number: usize| {
        let first = request("POST", "shop.example", SLOW_PATH, &format!("q-{number}"), "", "");
        let next = request("POST", "shop.example", "/read", &format!("n-{number}"), "", "");
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.write_all(first.as_bytes()).expect("an open connection");
        std::thread::sleep(Duration::from_millis(200));
        // The node may take a part of it only.
        stream
            .set_write_timeout(Some(Duration::from_millis(200)))
            .expect("a timeout can be set");
        let _ = stream.write_all(next.repeat(40_000 / next.len()).as_bytes());
        read_answer(&mut stream).map(|answer| answer.status())
    };
    let statuses: Vec<Option<u16>> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| scope.spawn(move || ask(number)))
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().expect("a caller"))
            .collect()
    });
    let answered = statuses.iter().filter(|status| **status == Some(200)).count();
    let short = desk.node.metric("closed_callers", "read_ahead");
    println!("sent_ahead: {answered} of {CALLERS} answered, memory was short for {short}");
    assert!(short > 0.0, "memory has to be short for some");
    assert_eq!(answered, CALLERS, "{statuses:?}");
}
