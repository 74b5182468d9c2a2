//! Serves one caller's connection: reads requests in turn, and detects a caller that disconnects.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::future::{Either, select};

use super::GatewayContext;
use super::answer::ConnectionPersistence;
use super::body::{ReadFailure, read_body, read_head};
use super::context::CallerGuard;
use super::exchange::{AnswerOutcome, refuse_unrouted, serve_request};
use crate::clock;
use crate::http::RequestHead;
use crate::transport::HttpStream;

/// Maximum number of bytes that are read ahead while a request is served; enough for another request's head.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// Poll interval while the read-ahead buffer is full. Nothing is read then, so a disconnect is not noticed
/// either.
const READ_AHEAD_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Serves the requests of one connection until it is closed.
pub async fn serve_caller(context: Arc<GatewayContext>, stream: TcpStream, _guard: CallerGuard) {
    let mut stream = HttpStream::new(stream);
    loop {
        let limits = context.snapshot().register.limits;
        let idle_until = clock::now().after_ms(limits.idle_timeout_ms);
        let request = match read_head(&mut stream, &limits, idle_until).await {
            Ok(head) => {
                let body = read_body(&mut stream, &head, &limits).await;
                body.map(|body| (head, body))
            }
            Err(failure) => Err(failure),
        };
        match request {
            Ok((head, body)) => {
                if serve_one(&context, &mut stream, head, body).await != ConnectionPersistence::Keep {
                    return;
                }
            }
            Err(ReadFailure::Gone) => return,
            Err(ReadFailure::Refused(notice)) => {
                let revision = context.snapshot().revision;
                refuse_unrouted(
                    stream.socket(),
                    &notice,
                    ConnectionPersistence::Close,
                    "-",
                    revision,
                )
                .await;
                return;
            }
        }
        stream.shrink();
    }
}

/// Serves one request; cancels it if its caller disconnects.
async fn serve_one(
    context: &Arc<GatewayContext>,
    stream: &mut HttpStream,
    head: RequestHead,
    body: Option<Vec<u8>>,
) -> ConnectionPersistence {
    let socket = stream.socket().clone();
    let facts = context.protocol.read_request(&head);
    let request_id = facts.id.clone();
    let active = context.control.track_request();
    let request_future = std::pin::pin!(serve_request(context, &socket, head, facts, body));
    let disconnect_future = std::pin::pin!(wait_for_disconnect(stream));
    let outcome = match select(request_future, disconnect_future).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right(((), _)) => {
            spdlog::info!("event=caller_gone request={request_id}");
            AnswerOutcome::Cut
        }
    };
    drop(active);
    match outcome {
        AnswerOutcome::Complete(persistence) => persistence,
        AnswerOutcome::Cut => ConnectionPersistence::Close,
    }
}

/// Completes when the caller closes its connection or the connection fails.
async fn wait_for_disconnect(stream: &mut HttpStream) {
    loop {
        if stream.buffered().len() >= MAX_READ_AHEAD_BYTES {
            async_std::task::sleep(READ_AHEAD_POLL_INTERVAL).await;
            continue;
        }
        match stream.fill().await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
