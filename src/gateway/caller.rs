//! Serves one caller's connection: reads requests in turn, and detects a caller that disconnects.

use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::future::{Either, select};

use super::GatewayContext;
use super::answer::ConnectionPersistence;
use super::body::{ReadFailure, read_body, read_head};
use super::body_memory::CallerBody;
use super::context::CallerGuard;
use super::exchange::{AnswerOutcome, refuse_unrouted, serve_request};
use super::last_answer::wait_for_accept_end;
use crate::clock;
use crate::http::RequestHead;
use crate::prelude::*;
use crate::register::CallerLimits;
use crate::transport::{HttpStream, until};

/// Maximum number of bytes that are read ahead while a request is served; enough for another request's head.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// Poll interval while the read-ahead buffer is full. Nothing is read then, so a disconnect is not noticed
/// either.
const READ_AHEAD_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long the rest of a request that was refused before it was read is discarded, in milliseconds.
const DISCARD_MS: u64 = 1_000;

/// Serves the requests of one connection until it is closed.
pub async fn serve_caller(context: Arc<GatewayContext>, stream: TcpStream, _guard: CallerGuard) {
    let mut stream = HttpStream::new(stream);
    loop {
        let limits = context.snapshot().register.limits;
        let idle_until = clock::now().after_ms(limits.idle_timeout_ms);
        let head = match read_head(&mut stream, &limits, idle_until).await {
            Ok(head) => head,
            Err(ReadFailure::Gone) => return,
            Err(ReadFailure::Refused(notice)) => {
                let revision = context.snapshot().revision;
                let persistence = ConnectionPersistence::Close;
                refuse_unrouted(stream.socket(), &notice, persistence, "-", revision).await;
                return;
            }
        };
        let body = match read_body_until_exit(&context, &mut stream, &head, &limits).await {
            Ok(body) => body,
            Err(ReadFailure::Gone) => return,
            Err(ReadFailure::Refused(notice)) => {
                return refuse_unread(&context, &mut stream, &head, &notice).await;
            }
        };
        if serve_one(&context, &mut stream, head, body).await != ConnectionPersistence::Keep {
            return;
        }
        stream.shrink();
    }
}

/// Reads a request's body; it is refused if this VM accepts no more requests before the body is complete.
async fn read_body_until_exit(
    context: &GatewayContext,
    stream: &mut HttpStream,
    head: &RequestHead,
    limits: &CallerLimits,
) -> Result<Option<CallerBody>, ReadFailure> {
    let reading = std::pin::pin!(read_body(stream, head, limits, &context.body_memory));
    let exiting = std::pin::pin!(wait_for_accept_end(context));
    match select(reading, exiting).await {
        Either::Left((body, _)) => body,
        Either::Right((notice, _)) => Err(notice.into()),
    }
}

/// Refuses a request whose body was not read completely. The rest is read and discarded for a while, since a
/// connection that is closed with unread bytes is reset, which may destroy the answer.
async fn refuse_unread(
    context: &GatewayContext,
    stream: &mut HttpStream,
    head: &RequestHead,
    notice: &RefusalNotice,
) {
    let socket = stream.socket().clone();
    let request_id = context.protocol.read_request(head).id;
    let revision = context.snapshot().revision;
    refuse_unrouted(
        &socket,
        notice,
        ConnectionPersistence::Close,
        &request_id,
        revision,
    )
    .await;
    // An error means that the caller has closed the connection.
    if socket.shutdown(Shutdown::Write).is_ok() {
        until(clock::now().after_ms(DISCARD_MS), discard_rest(stream)).await;
    }
}

/// Reads and discards whatever a caller sends until it closes its connection.
async fn discard_rest(stream: &mut HttpStream) {
    while let Ok(1..) = stream.fill().await {
        stream.discard();
    }
}

/// Serves one request; cancels it if its caller disconnects.
async fn serve_one(
    context: &Arc<GatewayContext>,
    stream: &mut HttpStream,
    head: RequestHead,
    body: Option<CallerBody>,
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
