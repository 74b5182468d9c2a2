//! Invalid input is refused with a result code; it runs nothing, reveals nothing and does not crash the
//! process.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_std::task::block_on;
use serde_json::{Value, json};
use stand_ins::caller::{CallerEvent, Opened, call_body, generate_body, get_key, open_stream};
use stand_ins::fleet::{Fleet, FleetPlan, wait_for};
use stand_ins::http;

/// How long a raw connection waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// How long queued lines may take to reach the log: twenty times the interval at which they are flushed.
const LOG_TIMEOUT: Duration = Duration::from_secs(1);

fn plan() -> FleetPlan {
    let mut plan =
        FleetPlan::small().with_entry_arguments(&["--read-limit-ms", "700", "--body-limit-bytes", "20000"]);
    plan.entries = 2;
    plan
}

/// Sends chunks of bytes with a pause after each, then reads until a complete refusal has arrived, the entry
/// closes the connection, or reading times out.
fn exchange(address: &str, chunks: &[&[u8]], pause: Duration) -> String {
    let mut stream = TcpStream::connect(address).expect("an entry listens");
    stream
        .set_read_timeout(Some(ANSWER_TIMEOUT))
        .expect("a limit can be set");
    for chunk in chunks {
        // The entry may have refused the request and closed the connection already.
        let _ = stream.write_all(chunk);
        std::thread::sleep(pause);
    }
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(read) = stream.read(&mut buffer) {
        answer.extend_from_slice(&buffer[..read]);
        let text = String::from_utf8_lossy(&answer);
        if read == 0 || text.contains("\"use_instead\"") {
            break;
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(path: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nhost: x\r\n{headers}\r\n{body}").into_bytes()
}

fn assert_code(answer: &str, code: u16) {
    assert!(
        answer.contains(&format!("\"code\":{code}")),
        "expected {code}, got: {answer}"
    );
}

async fn assert_alive(fleet: &Fleet) {
    let status = fleet.status(0).await.expect("the entry still answers");
    assert_eq!(status["revision"].as_u64(), Some(1));
    wait_for("nothing is held", || async {
        fleet
            .status(0)
            .await
            .is_some_and(|status| status["active_requests"].as_u64() == Some(0))
    })
    .await;
}

#[test]
fn malformed_requests_are_refused_with_a_code() {
    block_on(async {
        let fleet = Fleet::start(plan()).await;
        let entry = fleet.entries[0].address.clone();
        let send = |bytes: Vec<u8>| exchange(&entry, &[&bytes], Duration::ZERO);
        assert_code(&send(b"nonsense\r\n\r\n".to_vec()), 1001);
        assert_code(
            &send(format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(20_000)).into_bytes()),
            1001,
        );
        assert_code(
            &send(post("/v1/generate", "content-length: 5\r\n", "{bad}")),
            1003,
        );
        let deep = format!("{}{}", "[".repeat(9_000), "]".repeat(9_000));
        let length = format!("content-length: {}\r\n", deep.len());
        assert_code(&send(post("/v1/generate", &length, &deep)), 1003);
        assert_code(
            &send(post("/v1/generate", "content-length: 50000000\r\n", "{")),
            1002,
        );
        let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
        let endless = chunk.repeat(4);
        assert_code(
            &send(post("/v1/generate", "transfer-encoding: chunked\r\n", &endless)),
            1002,
        );
        assert_code(
            &send(post(
                "/v1/generate",
                "transfer-encoding: chunked\r\n",
                "zz\r\nnot a size\r\n",
            )),
            1012,
        );
        assert_code(
            &send(post("/v1/generate", "content-length: 100\r\n", "{\"slow")),
            1013,
        );
        assert_code(&send(post("/no/such/path", "content-length: 0\r\n", "")), 1004);
        let head = b"GET /v1/status HTTP/1.1\r\nx: ";
        let slow: Vec<&[u8]> = std::iter::once(&head[..])
            .chain(std::iter::repeat_n(&b"y"[..], 40))
            .collect();
        let answer = exchange(&entry, &slow, Duration::from_millis(50));
        assert!(
            !answer.contains("200"),
            "a head that never ends is refused: {answer}"
        );
        assert_alive(&fleet).await;
    });
}

#[test]
fn invalid_requests_are_refused_with_a_code_and_run_nothing() {
    block_on(async {
        let fleet = Fleet::start(plan()).await;
        let good = generate_body("kitamura", "ash-reader", "ledger", "ash", 3, 20_000);
        let with_field = |name: &str, value: Value| {
            let mut body = good.clone();
            body[name] = value;
            body
        };
        let cases = [
            (with_field("workspace", json!("nobody")), 1005),
            (with_field("model", json!("nothing")), 1006),
            (with_field("class", json!("first")), 1008),
            (with_field("deadline_ms", Value::Null), 1009),
            (with_field("deadline_ms", json!(1_000)), 1010),
            (with_field("max_tokens", json!(0)), 1003),
            (with_field("max_tokens", json!(-1)), 1003),
            (with_field("colour", json!("ash")), 1003),
        ];
        for (body, code) in cases {
            let answer = http::post(&fleet.entries[0].address, "/v1/generate", &body)
                .await
                .expect("an answer");
            assert_eq!(answer.body["code"], code, "{answer:?}");
            assert_eq!(answer.body["effect"], "not run");
        }
        let book = call_body("kitamura", "desk", "book", "pickup", None, 20_000);
        let answer = http::post(&fleet.entries[0].address, "/v1/call", &book)
            .await
            .expect("an answer");
        assert_eq!(
            (&answer.body["code"], &answer.body["effect"]),
            (&json!(3001), &json!("not run"))
        );
        let unknown = call_body("kitamura", "desk", "burn", "pickup", None, 20_000);
        let answer = http::post(&fleet.entries[0].address, "/v1/call", &unknown)
            .await
            .expect("an answer");
        assert_eq!(answer.body["code"], 1007);
        assert!(fleet.journals().is_empty(), "nothing reached an upstream");
    });
}

#[test]
fn forged_truncated_and_foreign_keys_run_nothing_and_reveal_nothing() {
    block_on(async {
        let fleet = Fleet::start(plan()).await;
        let key = get_key(&fleet.entries[0].routed, "kitamura", "desk", "book", 60_000)
            .await
            .expect("a key");
        let digit = if key.ends_with('0') { "1" } else { "0" };
        let forged = format!("{}{digit}", &key[..key.len() - 1]);
        let raised = key.replacen("~0~", "~999~", 1);
        let attempts = [
            ("kitamura", forged.as_str()),
            ("kitamura", raised.as_str()),
            ("kitamura", &key[..key.len() / 2]),
            ("kitamura", ""),
            ("kitamura", "k1~~~~~~"),
            ("sadaf", key.as_str()),
        ];
        for (workspace, attempt) in attempts {
            for entry in &fleet.entries {
                let body = call_body(workspace, "desk", "book", "stolen", Some(attempt), 20_000);
                let answer = http::post(&entry.address, "/v1/call", &body)
                    .await
                    .expect("an answer");
                assert_eq!(answer.body["code"], 3002, "{attempt}: {answer:?}");
            }
        }
        assert_eq!(fleet.booking_run_count("stolen"), 0);
        let body = call_body("kitamura", "desk", "book", "mine", Some(&key), 20_000);
        let answer = http::post(&fleet.entries[1].address, "/v1/call", &body)
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200);
        let other = call_body("kitamura", "desk", "book", "other", Some(&key), 20_000);
        let answer = http::post(&fleet.entries[1].address, "/v1/call", &other)
            .await
            .expect("an answer");
        assert_eq!(answer.body["code"], 3003, "a key is valid for one content only");
        assert_eq!(
            (fleet.booking_run_count("mine"), fleet.booking_run_count("other")),
            (1, 0)
        );
    });
}

#[test]
fn forged_truncated_and_foreign_resume_tokens_are_refused() {
    block_on(async {
        let fleet = Fleet::start(plan()).await;
        let body = generate_body("kitamura", "ash-reader", "ledger", "our burn log", 200, 60_000);
        let Opened::Stream(mut stream) = open_stream(&fleet.entries[0].address, &body, None).await else {
            panic!("a stream opens");
        };
        let event: CallerEvent = stream.next(ANSWER_TIMEOUT).await.expect("a token comes");
        let other_workspace = generate_body("sadaf", "ash-reader", "ledger", "our burn log", 200, 60_000);
        let other_prompt = generate_body("kitamura", "ash-reader", "ledger", "another log", 200, 60_000);
        let truncated = &event.id[..event.id.len() - 2];
        let moved = event.id.replacen("|1|", "|9|", 1);
        let attempts = [
            (&body, truncated),
            (&body, moved.as_str()),
            (&body, ""),
            (&other_workspace, &event.id),
            (&other_prompt, &event.id),
        ];
        for (body, token) in attempts {
            for entry in &fleet.entries {
                let Opened::Refused(answer) = open_stream(&entry.address, body, Some(token)).await else {
                    panic!("{token} opened a stream");
                };
                assert_eq!(answer.body["code"], 1011, "{token}: {answer:?}");
            }
        }
    });
}

/// Waits until the first entry's log contains the text or [`LOG_TIMEOUT`] has passed, and returns the log.
async fn wait_for_log(fleet: &Fleet, text: &str) -> String {
    let deadline = Instant::now() + LOG_TIMEOUT;
    loop {
        let log = std::fs::read_to_string(fleet.folder.join("entry-0.log")).expect("a log");
        if log.contains(text) || Instant::now() >= deadline {
            return log;
        }
        async_std::task::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn peers_without_the_shared_key_and_malformed_frames_are_rejected() {
    block_on(async {
        let fleet = Fleet::start(plan()).await;
        let peer = fleet.entries[0].peer_address.clone();
        let mut seed: u64 = 0x5eed;
        let mut random = move || {
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (seed >> 33) as u8
        };
        for length in [0_u32, 1, 7, 200, 5_000_000, u32::MAX] {
            let mut bytes = length.to_be_bytes().to_vec();
            bytes.extend((0..length.min(300)).map(|_| random()));
            let mut stream = TcpStream::connect(&peer).expect("an entry listens for peers");
            stream
                .set_read_timeout(Some(ANSWER_TIMEOUT))
                .expect("a limit can be set");
            stream.write_all(&bytes).expect("bytes can be sent");
            let mut answer = Vec::new();
            // The entry must close the connection without an answer.
            let _ = stream.read_to_end(&mut answer);
            assert!(answer.is_empty(), "{length}: {answer:?}");
        }
        assert_alive(&fleet).await;
        let log = wait_for_log(&fleet, "event=peer_refused code=8001").await;
        assert!(log.contains("event=peer_refused code=8001"), "{log}");
        assert!(!log.contains("panicked"), "{log}");
    });
}
