//! The HTTP endpoints on ports of their own: readiness, the directory of entry addresses, and metrics.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};

use futures::future::{Either, select};
use rand::Rng;

use super::GatewayContext;
use super::caller_registry::{CallerConnection, CallerRegistry, CloseReason};
use super::listener::ACCEPT_FAILED;
use super::preview::preview_request;

use crate::clock;
use crate::controllers::resolve::near_entries;
use crate::http::{BodyDecoder, HeadLimits, HeadWriter, RequestHead, frame_request, has_body, parse_request};
use crate::transport::{HttpStream, StreamError, until};

/// How long to wait for the next request's head on a connection, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 15_000;

/// Maximum size of a request's head; bodies have the same limit.
const REQUEST_LIMITS: HeadLimits = HeadLimits { max_bytes: 8 * 1024 };

/// Maximum number of addresses in one answer of the directory; callers use no more.
const MAX_ADDRESSES: usize = 64;

/// The path under which the readiness and metrics ports answer where a request would go.
pub const PREVIEW_PATH: &str = "/where";

/// Pause after a failed `accept`, when the system takes no more connections.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reason of connections to an endpoint that are closed in favor of others.
const ENDPOINT_FULL: &str = "endpoint_full";

/// How long to let a connection close before another one takes its place.
const CLOSE_TURN: Duration = Duration::from_millis(1);

/// An answer of one of these endpoints.
pub struct PlainAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The value of `Content-Type`.
    pub content_type: &'static str,
    /// The complete body.
    pub body: Vec<u8>,
}

impl PlainAnswer {
    fn text(status: u16, body: &str) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            body: body.as_bytes().to_vec(),
        }
    }

    /// The 404 answer for an unknown path.
    pub fn not_found() -> Self {
        Self::text(404, "there is nothing at this path")
    }
}

/// Serves an endpoint until the process exits; `answer` maps a request's head and body to its answer.
pub async fn serve_plain(
    context: Arc<GatewayContext>,
    listener: TcpListener,
    answer: fn(&GatewayContext, &RequestHead, &[u8]) -> PlainAnswer,
) {
    let connections = Arc::new(CallerRegistry::default());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let now = clock::now();
                if connections.count() >= context.socket_shares().endpoint
                    && connections.close_longest_idle(now, CloseReason::Admission)
                {
                    context.record_closed(ENDPOINT_FULL);
                    // The connection that is closed has its turn first, so that the share is kept.
                    async_std::task::sleep(CLOSE_TURN).await;
                }
                let (number, connection) = connections.add(now, Box::new(stream.clone()));
                let (context, connections) = (context.clone(), connections.clone());
                async_std::task::spawn(async move {
                    let serving = std::pin::pin!(serve_requests(&context, stream, &connection, answer));
                    let closing = std::pin::pin!(connection.wait_for_close());
                    // A client that disconnects or sends invalid HTTP gets no answer.
                    if let Either::Left((Err(error), _)) = select(serving, closing).await {
                        spdlog::debug!("event=question_unreadable reason=\"{error}\"");
                    }
                    connections.remove(number);
                });
            }
            Err(error) => {
                if context.crowd_log.record(ACCEPT_FAILED, clock::now()).is_some() {
                    spdlog::warn!("event=accept_failed reason=\"{error}\"");
                }
                async_std::task::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_requests(
    context: &GatewayContext,
    stream: TcpStream,
    connection: &CallerConnection,
    answer: fn(&GatewayContext, &RequestHead, &[u8]) -> PlainAnswer,
) -> Result<(), StreamError> {
    let mut stream = HttpStream::new(stream);
    loop {
        let deadline = clock::now().after_ms(IDLE_TIMEOUT_MS);
        let head = until(deadline, stream.read_request(REQUEST_LIMITS)).await;
        let head = head.ok_or(StreamError::Deadline)??;
        let mut decoder = BodyDecoder::new(frame_request(&head)?);
        let body = stream
            .read_complete_body(&mut decoder, REQUEST_LIMITS.max_bytes)
            .await?;
        connection.record_progress();
        let reply = answer(context, &head, &body);
        let is_persistent = head.keeps_connection();
        let mut writer = HeadWriter::response(reply.status)
            .line("Content-Type", reply.content_type.as_bytes())
            .display("Content-Length", reply.body.len());
        if !is_persistent {
            writer = writer.line("Connection", b"close");
        }
        let mut bytes = writer.finish();
        if has_body(&head.method, reply.status) {
            bytes.extend_from_slice(&reply.body);
        }
        stream.write(&bytes).await?;
        if !is_persistent {
            return Ok(());
        }
    }
}

/// Answers 200 once this VM has a configuration and replicas, and 503 before that and while it leaves.
pub fn answer_readiness(context: &GatewayContext, head: &RequestHead, body: &[u8]) -> PlainAnswer {
    if head.path() == PREVIEW_PATH {
        return answer_preview(context, body);
    }
    if head.path() != "/readiness" {
        return PlainAnswer::not_found();
    }
    let snapshot = context.snapshot();
    match () {
        () if snapshot.accept_until.is_some() => PlainAnswer::text(503, "leaving"),
        () if snapshot.revision == 0 => PlainAnswer::text(503, "no configuration yet"),
        () if !snapshot.list_position.is_known() => PlainAnswer::text(503, "no replicas yet"),
        () => PlainAnswer::text(200, "ready"),
    }
}

/// Answers with all metrics in the Prometheus text format.
pub fn answer_metrics(context: &GatewayContext, head: &RequestHead, body: &[u8]) -> PlainAnswer {
    if head.path() == PREVIEW_PATH {
        return answer_preview(context, body);
    }
    if head.path() != "/metrics" {
        return PlainAnswer::not_found();
    }
    context.metrics.record_memory(&context.memory);
    let paces = context.with_selector(|selector| selector.pace_levels(clock::now()));
    let text = context
        .metrics
        .render(&context.control, &context.unknown_attributes, &paces);
    PlainAnswer::text(200, &text)
}

/// Answers where a request would go whose head is the body; see [`preview_request`].
fn answer_preview(context: &GatewayContext, body: &[u8]) -> PlainAnswer {
    let Ok(Some((asked, _))) = parse_request(body, REQUEST_LIMITS) else {
        return PlainAnswer::text(400, "the body is no complete head of a request");
    };
    let report = preview_request(context, &asked);
    match serde_json::to_vec(&report) {
        Ok(body) => PlainAnswer {
            status: 200,
            content_type: "application/json",
            body,
        },
        Err(error) => {
            spdlog::warn!("event=question_unreadable reason=\"{error}\"");
            PlainAnswer::text(500, "the answer can't be written")
        }
    }
}

/// Answers with the entry addresses for a caller, preferring the zone in the query.
pub fn answer_directory(context: &GatewayContext, head: &RequestHead, _body: &[u8]) -> PlainAnswer {
    if head.path() != "/resolve" {
        return PlainAnswer::not_found();
    }
    let query = head.target.split_once('?').map_or("", |(_, query)| query);
    let zone = query.split('&').find_map(|pair| pair.strip_prefix("zone="));
    let snapshot = context.snapshot();
    let addresses = near_entries(&snapshot.live_vms, zone, MAX_ADDRESSES, |bound| {
        rand::rng().random_range(0..bound)
    });
    let keep_ms = context.settings().contract.resolve_keep_ms;
    PlainAnswer {
        status: 200,
        content_type: "application/json",
        body: context.protocol.write_addresses(&addresses, keep_ms),
    }
}
