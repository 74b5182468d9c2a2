//! One crowd of each kind. Each test guards against a node that exceeds its memory or descriptors, or answers
//! nobody, under its crowd.

use std::time::Duration;

use crate::crowd::{CallerHabit, CrowdCaller, Desk, MAX_BODY_BYTES};
use crate::replica::LONG_PATH;

/// Descriptors of a node in most tests.
const MAX_FDS: usize = 1_024;

/// Bytes by which a body stops short of its end.
const SHORT_BY: usize = 10;

/// Bytes of a body that is legal.
const LEGAL_BYTES: usize = 4_000_000;

/// Bytes of a body that is sent in one-byte chunks; six times as many go over the wire.
const TINY_CHUNKS_BYTES: usize = 1_000_000;

fn head(path: &str, number: usize, lines: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: c-{number}\r\nX-Deadline-Ms: 8000\r\n{lines}\r\n"
    )
    .into_bytes()
}

fn length_head(caller: &CrowdCaller, path: &str, bytes: usize) -> Vec<u8> {
    head(path, caller.number, &format!("Content-Length: {bytes}\r\n"))
}

fn chunked_head(caller: &CrowdCaller) -> Vec<u8> {
    head("/book", caller.number, "Transfer-Encoding: chunked\r\n")
}

fn send_chunks(caller: &mut CrowdCaller, chunk_bytes: usize, chunks: usize) {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    let batch = (64 * 1024 / chunk.len()).clamp(1, chunks);
    let text = chunk.repeat(batch);
    for _ in 0..chunks / batch {
        if !caller.send(text.as_bytes()) {
            return;
        }
    }
}

#[test]
fn whole_bodies_that_stop_short_of_their_length() {
    Desk::start(MAX_FDS).endure("bodies_whole", 60, CallerHabit::Reads, |caller| {
        let head = length_head(caller, "/book", LEGAL_BYTES);
        let body = vec![b'x'; LEGAL_BYTES - SHORT_BY];
        let _ = caller.send(&head) && caller.send(&body);
    });
}

#[test]
fn bodies_in_pieces_that_stop_short_of_their_length() {
    Desk::start(MAX_FDS).endure("bodies_in_pieces", 60, CallerHabit::Reads, |caller| {
        let head = length_head(caller, "/book", LEGAL_BYTES);
        let body = vec![b'x'; LEGAL_BYTES - SHORT_BY];
        let mut is_open = caller.send(&head);
        for piece in body.chunks(20_000) {
            is_open = is_open && caller.send(piece);
            std::thread::sleep(Duration::from_millis(2));
        }
    });
}

#[test]
fn bodies_in_large_chunks_that_stop_short_of_their_end() {
    Desk::start(MAX_FDS).endure("large_chunks", 60, CallerHabit::Reads, |caller| {
        let head = chunked_head(caller);
        if caller.send(&head) {
            send_chunks(caller, 60_000, LEGAL_BYTES / 60_000);
        }
    });
}

#[test]
fn bodies_in_chunks_of_one_byte_that_stop_short_of_their_end() {
    Desk::start(MAX_FDS).endure("one_byte_chunks", 60, CallerHabit::Reads, |caller| {
        let head = chunked_head(caller);
        if caller.send(&head) {
            send_chunks(caller, 1, TINY_CHUNKS_BYTES);
        }
    });
}

#[test]
fn short_bodies_that_stop_short_of_their_length() {
    Desk::start(MAX_FDS).endure("short_bodies", 700, CallerHabit::Reads, |caller| {
        let head = length_head(caller, "/book", 8_100);
        let _ = caller.send(&head) && caller.send(&[b'x'; 8_090]);
    });
}

#[test]
fn bodies_announced_far_over_the_limit() {
    Desk::start(MAX_FDS).endure("announced_over_limit", 100, CallerHabit::Reads, |caller| {
        let head = length_head(caller, "/book", 10 * MAX_BODY_BYTES);
        let piece = vec![b'x'; 64 * 1024];
        let mut is_open = caller.send(&head);
        while is_open {
            is_open = caller.send(&piece);
        }
    });
}

#[test]
fn bodies_sent_far_over_the_limit() {
    Desk::start(MAX_FDS).endure("sent_over_limit", 200, CallerHabit::Reads, |caller| {
        let head = chunked_head(caller);
        if caller.send(&head) {
            send_chunks(caller, 60_000, 10 * MAX_BODY_BYTES / 60_000);
        }
    });
}

#[test]
fn heads_without_end() {
    Desk::start(MAX_FDS).endure("endless_heads", 700, CallerHabit::Reads, |caller| {
        // Every other caller stops below the limit of heads.
        let lines = if caller.number.is_multiple_of(2) { 15 } else { 64 };
        let line = format!("X-Long: {}\r\n", "x".repeat(1_000));
        let mut is_open = caller.send(b"POST /read HTTP/1.1\r\nHost: shop.example\r\n");
        for _ in 0..lines {
            is_open = is_open && caller.send(line.as_bytes());
        }
    });
}

#[test]
fn unread_long_answers_on_many_connections() {
    Desk::start(MAX_FDS).endure("unread_answers", 200, CallerHabit::ReadsNothing, |caller| {
        let head = length_head(caller, LONG_PATH, 0);
        caller.send(&head);
    });
}

// Guards against review/7: what each slow reader holds beside what the account counts, times all connections.
#[test]
fn slow_readers_of_long_answers_that_come_and_go() {
    Desk::start(MAX_FDS).endure("slow_readers", 900, CallerHabit::Leaves, |caller| {
        let head = length_head(caller, LONG_PATH, 8_000);
        if caller.send(&head) && caller.send(&[b'x'; 8_000]) {
            caller.read_slowly(1 + caller.number % 4);
        }
    });
}

#[test]
fn many_unread_long_answers_on_each_connection() {
    Desk::start(MAX_FDS).endure(
        "unread_answers_in_a_row",
        100,
        CallerHabit::ReadsNothing,
        |caller| {
            let head = length_head(caller, LONG_PATH, 0);
            caller.send(&head.repeat(50));
        },
    );
}

#[test]
fn deep_pipelines() {
    Desk::start(MAX_FDS).endure("deep_pipelines", 400, CallerHabit::ReadsNothing, |caller| {
        let head = length_head(caller, "/read", 0);
        let batch = head.repeat(100);
        let mut is_open = true;
        while is_open {
            is_open = caller.send(&batch);
        }
    });
}

#[test]
fn replicas_that_read_nothing() {
    Desk::start(MAX_FDS).endure("deaf_replicas", 150, CallerHabit::Reads, |caller| {
        let head = length_head(caller, "/empty", 600_000);
        let _ = caller.send(&head) && caller.send(&vec![b'x'; 600_000]);
    });
}

#[test]
fn more_connections_than_descriptors() {
    let max_fds = 300;
    Desk::start(max_fds).endure("many_connections", 600, CallerHabit::Reads, |caller| {
        // A third sends nothing, a third stops inside its head, and a third keeps a replica busy.
        match caller.number % 3 {
            0 => {}
            1 => {
                caller.send(b"POST /read HTTP/1.1\r\nHost: ");
            }
            _ => {
                let head = length_head(caller, "/empty", 0);
                caller.send(&head);
            }
        }
    });
}

#[test]
fn connections_that_hold_connections_to_replicas() {
    Desk::start(MAX_FDS).endure("busy_connections", 700, CallerHabit::Reads, |caller| {
        let head = length_head(caller, "/empty", 0);
        caller.send(&head);
    });
}

#[test]
fn connections_to_the_directory() {
    let desk = Desk::start(MAX_FDS);
    let directory = desk.node.directory_address();
    desk.endure_at(directory, "directory", 1_200, CallerHabit::Reads, |_| {});
}

#[test]
fn all_kinds_at_once() {
    Desk::start(MAX_FDS).endure("all_kinds", 300, CallerHabit::ReadsNothing, |caller| {
        let long_answer = length_head(caller, LONG_PATH, 0);
        match caller.number % 6 {
            0 => {
                let head = length_head(caller, "/book", LEGAL_BYTES);
                let _ = caller.send(&head) && caller.send(&vec![b'x'; LEGAL_BYTES - SHORT_BY]);
            }
            1 => {
                let head = chunked_head(caller);
                if caller.send(&head) {
                    send_chunks(caller, 60_000, LEGAL_BYTES / 60_000);
                }
            }
            2 => {
                caller.send(&long_answer);
            }
            3 => {
                caller.send(&long_answer.repeat(50));
            }
            4 => {
                let head = length_head(caller, "/empty", 600_000);
                let _ = caller.send(&head) && caller.send(&vec![b'x'; 600_000]);
            }
            _ => {
                let batch = length_head(caller, "/read", 0).repeat(100);
                while caller.send(&batch) {}
            }
        }
    });
}
