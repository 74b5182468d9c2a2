//! Event streams of an engine: server-sent events, and comment lines as heartbeats.

use std::time::Duration;

use async_std::channel::Receiver;
use futures::{Stream, TryStreamExt};
use http_types::{Body, Response, StatusCode};
use serde_json::Value;

/// Time between heartbeats of a stream that sends no events.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Encodes one event with JSON data.
pub fn event_bytes(data: &Value) -> Vec<u8> {
    format!("data: {data}\n\n").into_bytes()
}

/// Encodes a heartbeat: a comment line, which readers skip.
pub fn heartbeat_bytes() -> Vec<u8> {
    b": alive\n\n".to_vec()
}

/// A response whose body is the pieces that a stream yields, sent as they come.
pub fn stream_answer(events: impl Stream<Item = Vec<u8>> + Send + Sync + Unpin + 'static) -> Response {
    use futures::StreamExt;
    let reader = events.map(Ok::<_, std::io::Error>).into_async_read();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "text/event-stream");
    response
}

/// A response whose body is the pieces received over a channel; it ends when the channel is closed.
pub fn channel_answer(events: Receiver<Vec<u8>>) -> Response {
    stream_answer(events)
}
