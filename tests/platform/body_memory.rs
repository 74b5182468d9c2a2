//! Long bodies of many callers at once.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::node::{GatewayNode, config_document, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{Message, read_answer, request};

/// Memory of a node in its settings, in kilobytes.
const MEMORY_KB: u64 = 64 * 1024;

/// Longest body that the configuration allows, in bytes.
const MAX_BODY_BYTES: usize = 4_194_304;

/// Callers that send at once.
const CALLERS: usize = 40;

/// How long they send.
const LOAD_SPAN: Duration = Duration::from_secs(3);

/// Time that a call takes, in milliseconds.
const CALL_MS: u64 = 150;

/// How a caller sends a body.
#[derive(Clone, Copy, Debug, PartialEq)]
enum BodyForm {
    Length,
    Chunks,
}

fn format_request(form: BodyForm, path: &str, id: &str, bytes: usize) -> Vec<u8> {
    let body = "x".repeat(bytes);
    match form {
        BodyForm::Length => request("POST", "shop.example", path, id, "", &body).into_bytes(),
        BodyForm::Chunks => {
            let head = request(
                "POST",
                "shop.example",
                path,
                id,
                "Transfer-Encoding: chunked\r\n",
                "",
            );
            let head = head.replace("Content-Length: 0\r\n", "");
            let chunks: Vec<String> = body
                .as_bytes()
                .chunks(16_384)
                .map(|chunk| format!("{:x}\r\n{}\r\n", chunk.len(), String::from_utf8_lossy(chunk)))
                .collect();
            format!("{head}{}0\r\n\r\n", chunks.concat()).into_bytes()
        }
    }
}

fn send(address: SocketAddr, bytes: &[u8]) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    // A caller that is refused early may read its answer before it has sent everything.
    let _ = stream.write_all(bytes);
    read_answer(&mut stream).filter(|answer| answer.is_whole)
}

struct Desk {
    _store: StandInStore,
    node: GatewayNode,
    _replicas: Vec<StandInReplica>,
}

fn start_desk() -> Desk {
    let store = StandInStore::start();
    let mut document = config_document(1);
    document["limits"]["maxBodyBytes"] = MAX_BODY_BYTES.into();
    store.put("op/config", &document.to_string());
    let replicas = ["i-1", "i-2"]
        .map(|id| StandInReplica::start(&store, id, "desk", None, ReplicaBehavior::PacedCalls(CALL_MS)));
    let node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    Desk {
        _store: store,
        node,
        _replicas: replicas.to_vec(),
    }
}

// Guards against a node that exceeds its memory because nothing bounds the bodies that it holds.
#[test]
fn long_bodies_of_many_callers_do_not_exceed_the_memory_of_a_node() {
    for form in [BodyForm::Length, BodyForm::Chunks] {
        let desk = start_desk();
        let address = desk.node.callers();
        let over_at = Instant::now() + LOAD_SPAN;
        let call = |caller: usize| {
            let mut answers = Vec::new();
            while Instant::now() < over_at {
                let id = format!("q-{caller}-{}", answers.len());
                let answer = send(address, &format_request(form, "/book", &id, 4_000_000));
                let pause_s = answer
                    .as_ref()
                    .and_then(|answer| answer.header("Retry-After")?.parse().ok());
                answers.push(answer);
                std::thread::sleep(Duration::from_secs_f64(pause_s.unwrap_or_default()));
            }
            answers
        };
        let answers: Vec<Option<Message>> = std::thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS)
                .map(|caller| scope.spawn(move || call(caller)))
                .collect();
            // Long bodies keep no short ones out.
            while Instant::now() < over_at {
                let answer = send(address, &format_request(form, "/book", "short", 600));
                assert_eq!(answer.map_or(0, |answer| answer.status()), 200, "{form:?}");
            }
            let callers = callers.into_iter();
            callers
                .flat_map(|caller| caller.join().expect("a caller"))
                .collect()
        });
        let memory_kb = desk.node.memory_kb();
        assert!(
            memory_kb < MEMORY_KB,
            "{form:?}: {memory_kb} kB of {MEMORY_KB} kB"
        );
        let count = |status: u16| {
            let answers = answers.iter().flatten();
            answers.filter(|answer| answer.status() == status).count()
        };
        let (served, refused) = (count(200), count(503));
        println!(
            "{form:?}: {served} served, {refused} refused, of {}; {memory_kb} kB",
            answers.len()
        );
        assert!(served > 0, "{form:?}");
        assert_eq!(
            served + refused,
            answers.len(),
            "{form:?}: {served} served, {refused} refused"
        );
        let has_time = |answer: &&Message| answer.status() != 503 || answer.header("Retry-After").is_some();
        assert!(answers.iter().flatten().all(|answer| has_time(&answer)));
        // The memory is given back.
        wait_until("a long body is served again", || {
            let answer = send(address, &format_request(form, "/book", "after", 4_000_000));
            answer.is_some_and(|answer| answer.status() == 200)
        });
    }
}

#[test]
fn short_bodies_in_chunks_reserve_no_more_than_their_length() {
    let desk = start_desk();
    let address = desk.node.callers();
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let calls = (0..CALLERS).map(|caller| {
            let bytes = format_request(BodyForm::Chunks, "/book", &format!("q-{caller}"), 600);
            scope.spawn(move || send(address, &bytes).map_or(0, |answer| answer.status()))
        });
        let calls: Vec<_> = calls.collect();
        calls
            .into_iter()
            .map(|call| call.join().expect("a caller"))
            .collect()
    });
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}
