//! Plain services of the entry role's interface whose answers break off, or have a status that is none of HTTP.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_std::task::block_on;
use stand_ins::caller::{call_body, get_key};
use stand_ins::fleet::{Fleet, FleetPlan};
use stand_ins::http;

const DEADLINE_MS: u64 = 4_000;

/// An answer that is no complete one: status, framing and body.
type BrokenAnswer = (&'static str, &'static str, &'static str);

/// Starts a service that answers health checks, and calls with a broken answer before it closes the connection.
fn start_service((status, framing, body): BrokenAnswer, calls: &Arc<AtomicUsize>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let calls = calls.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut bytes = [0; 4096];
            let count = stream.read(&mut bytes).unwrap_or_default();
            let request = String::from_utf8_lossy(&bytes[..count]).into_owned();
            let mut lines = request.lines();
            let id = lines.find_map(|line| line.strip_prefix("x-request-id: "));
            let answer = match id {
                None => "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnull".to_owned(),
                Some(id) => {
                    calls.fetch_add(1, Ordering::Relaxed);
                    format!("HTTP/1.1 {status}\r\nx-request-id: {id}\r\n{framing}\r\n{body}")
                }
            };
            // The entry may be gone.
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

/// Calls services that give a broken answer, in a fleet whose entries know nothing of them yet.
async fn check_answer(answer: BrokenAnswer, operation: &str, needs_key: bool) {
    let mut fleet = Fleet::start(FleetPlan::small()).await;
    let calls = Arc::default();
    let known: Vec<String> = fleet
        .services
        .iter()
        .map(|service| service.routed.clone())
        .collect();
    let replace = |text: String, routed: &String| text.replace(routed, &start_service(answer, &calls));
    let text = known.iter().fold(fleet.register.clone(), replace);
    let revision = fleet.publish_text(&text).await;
    fleet.wait_revision(0, revision).await;
    let entry = fleet.entries[0].routed.clone();
    let key = match needs_key {
        true => get_key(&entry, "kitamura", "desk", operation, 60_000).await,
        false => None,
    };
    let call = call_body("kitamura", "desk", operation, "slot", key.as_deref(), DEADLINE_MS);
    let reply = http::post(&entry, "/v1/call", &call).await;
    let status = reply.as_ref().map(|reply| reply.status);
    assert!(status != Some(200), "{answer:?} {operation}: {reply:?}");
    assert!(
        calls.load(Ordering::Relaxed) > 0,
        "{answer:?} {operation}: {reply:?}"
    );
}

#[test]
fn a_broken_answer_of_a_service_is_not_passed_on_as_a_complete_one() {
    const NULL: &str = "content-length: 4\r\n";
    for answer in [
        ("200 OK", "", ""),
        ("200 OK", "", "{\"half\":"),
        ("200 OK", "content-length: 40\r\n", "{\"half\":"),
        ("200 OK", "transfer-encoding: chunked\r\n", "8\r\n{\"half\":\r\n"),
        ("000 Status", NULL, "null"),
        ("101 Switching Protocols", NULL, "null"),
        ("199 Status", NULL, "null"),
        ("600 Status", NULL, "null"),
        ("999 Status", NULL, "null"),
    ] {
        block_on(check_answer(answer, "lookup", false));
        block_on(check_answer(answer, "book", true));
    }
}
