//! Streams of an engine: events as they come, and heartbeats while none comes.

use std::time::Duration;

use async_std::channel::Receiver;
use futures::{Stream, TryStreamExt};
use http_types::{Body, Response, StatusCode};
use serde_json::Value;

/// The longest time that a stream brings nothing.
pub const HEARTBEAT_EVERY: Duration = Duration::from_millis(250);

/// The bytes of one event.
pub fn event_bytes(data: &Value) -> Vec<u8> {
    format!("data: {data}\n\n").into_bytes()
}

/// The bytes of a heartbeat.
pub fn heartbeat_bytes() -> Vec<u8> {
    b": alive\n\n".to_vec()
}

/// An answer that streams what a stream yields.
pub fn stream_answer(events: impl Stream<Item = Vec<u8>> + Send + Sync + Unpin + 'static) -> Response {
    use futures::StreamExt;
    let reader = events.map(Ok::<_, std::io::Error>).into_async_read();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "text/event-stream");
    response
}

/// An answer that streams what comes over a channel.
pub fn channel_answer(events: Receiver<Vec<u8>>) -> Response {
    stream_answer(events)
}
