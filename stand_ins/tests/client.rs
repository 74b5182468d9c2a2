//! Tests the client with which the other tests judge whether an answer is complete.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task::block_on;
use serde_json::json;
use stand_ins::http;

/// The client's answer to a POST that a server answers with these bytes before it closes the connection.
fn post_to_server_that_sends(bytes: &'static str) -> Option<http::Answer> {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        async_std::task::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = [0; 1024];
            // Unread bytes would reset the connection.
            stream.read(&mut request).await.expect("a request");
            stream
                .write_all(bytes.as_bytes())
                .await
                .expect("an open connection");
        });
        http::post(&address, "/v1/call", &json!({})).await
    })
}

#[test]
fn an_answer_whose_connection_ends_before_its_body_does_not_count_as_whole() {
    for bytes in [
        "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"effect\"",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\n{\"effect\"\r\n",
        "HTTP/1.1 200 OK\r\n\r\n{\"effect\":\"r",
    ] {
        let answer = post_to_server_that_sends(bytes);
        assert!(answer.is_none(), "{bytes:?}: {answer:?}");
    }
}

#[test]
fn a_whole_answer_counts_as_whole() {
    for bytes in [
        "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"effect\":\"r\"}",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\ne\r\n{\"effect\":\"r\"}\r\n0\r\n\r\n",
    ] {
        let answer = post_to_server_that_sends(bytes).expect("a whole answer");
        assert_eq!((answer.status, answer.body), (200, json!({ "effect": "r" })));
    }
}
