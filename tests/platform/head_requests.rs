//! Answers to HEAD have no body, whoever makes them: bytes behind their heads would belong to the next answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use serde_json::json;

use crate::node::{GatewayNode, config_document, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{LIMIT, read_request, request};

/// Sends HEAD and then GET on one connection, and returns the head of the first answer and what the second begins with.
fn head_then_get(address: SocketAddr, path: &str) -> (String, String) {
    let mut stream = TcpStream::connect(address).expect("a listening node");
    let mut ask = |method: &str| {
        let text = request(method, "shop.example", path, method, "", "");
        stream.write_all(text.as_bytes()).expect("a sent request");
    };
    ask("HEAD");
    ask("GET");
    let head = read_text(&mut stream, b"\r\n\r\n");
    let next = read_text(&mut stream, b" ");
    (head, next)
}

/// Reads up to the end of `end`, or to the end of the connection.
fn read_text(stream: &mut TcpStream, end: &[u8]) -> String {
    stream.set_read_timeout(Some(LIMIT)).expect("a timeout");
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(end) && matches!(stream.read(&mut byte), Ok(1)) {
        bytes.push(byte[0]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn assert_kept(address: SocketAddr, path: &str, status: &str) {
    let (head, next) = head_then_get(address, path);
    assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{path}: {head}");
    assert_eq!(next, "HTTP/1.1 ", "{path}: the next answer begins with that");
}

/// An engine that answers each request with the head of a chunked stream, which is empty for GET.
fn start_chunked_engine(store: &StandInStore) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let entry = json!({
        "service": "llm", "address": address, "zone": "a", "slots": 4, "state": "ready", "born": 1, "phase": "decode",
    });
    store.put("servers/i-chunked", &entry.to_string());
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                while let Some(asked) = read_request(&mut stream) {
                    let id = asked.header("X-Request-Id").unwrap_or_default();
                    let body = if asked.start.starts_with("HEAD") {
                        ""
                    } else {
                        "0\r\n\r\n"
                    };
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
                         X-Response-Signature: s\r\nX-Instance-Id: i-chunked\r\nTransfer-Encoding: chunked\r\n\r\n{body}"
                    );
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn start(document: &serde_json::Value) -> (StandInStore, GatewayNode, StandInReplica) {
    let store = StandInStore::start();
    store.put("op/config", &document.to_string());
    let replica = StandInReplica::start(&store, "i-1", "desk", None, ReplicaBehavior::Well);
    let node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    (store, node, replica)
}

/// Guards against a refusal of HEAD with a body: a kept connection's next answer began with it.
#[test]
fn a_refusal_of_head_has_no_body() {
    let (_store, node, _replica) = start(&config_document(1));
    assert_kept(node.callers(), "/nowhere", "404");
    assert_kept(node.callers(), "/empty", "503");
    assert_kept(node.readiness_address(), "/readiness", "200");
    assert_kept(node.readiness_address(), "/nothing", "404");
    assert_kept(node.directory_address(), "/resolve?name=a&zone=a", "200");
}

/// Guards against the end of a chunked body behind a replica's answer to HEAD.
#[test]
fn a_streams_answer_to_head_has_no_chunks() {
    let (store, node, _replica) = start(&config_document(1));
    start_chunked_engine(&store);
    wait_until("the replica is listed", || {
        node.metric("replicas{", "state=\"listed\"") == 2.0
    });
    assert_kept(node.callers(), "/stream", "200");
}
