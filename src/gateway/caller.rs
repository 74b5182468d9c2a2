//! Serves one caller's connection: reads requests in turn, and detects a caller that disconnects.

use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::future::{Either, select};
use futures::{AsyncReadExt, FutureExt};

use super::GatewayContext;
use super::answer::ConnectionPersistence;
use super::answer_write::SEND_BYTES;
use super::body::{ReadFailure, read_body, read_head};
use super::body_memory::CallerBody;
use super::caller_registry::{CallerConnection, CallerPhase};
use super::context::CallerGuard;
use super::exchange::{AnswerOutcome, DEFAULT_RETRY_AFTER_MS, log_refusal, serve_request, write_notice};
use super::last_answer::wait_for_accept_end;
use super::memory_account::MemoryKind;
use crate::clock;
use crate::http::RequestHead;
use crate::prelude::*;
use crate::register::CallerLimits;
use crate::transport::{CloseMode, HttpStream, limit_buffers, set_close_mode, until};

/// Maximum number of bytes that are read ahead while a request is served; enough for another request's head.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// Poll interval while the read-ahead buffer is full. Nothing is read then, so a disconnect is not noticed
/// either.
const READ_AHEAD_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long the rest of a request that was refused before it was read is discarded, in milliseconds.
const DISCARD_MS: u64 = 1_000;

/// Bytes that are read ahead without being counted; they are part of what is reserved for the connection.
const UNCOUNTED_AHEAD_BYTES: usize = 8 * 1024;

/// Receive buffer of a caller's connection, in bytes, until a longer body has its memory. With less, one that
/// sends large segments is slowed down to a few segments a second.
const RECEIVE_BYTES: usize = 64 * 1024;

/// Memory that is reserved for a connection that sends far ahead, in bytes: what was read, and what the system
/// holds in its receive buffer.
const AHEAD_BYTES: usize = MAX_READ_AHEAD_BYTES + RECEIVE_BYTES;

/// Reason of requests that crossed the close of their connections.
const CROSSED_CLOSE: &str = "crossed_close";

/// Receive buffer of a connection whose input is discarded, in bytes.
const DISCARD_RECEIVE_BYTES: usize = 4 * 1024;

/// Stands for the method of a request whose head was not read.
const UNREAD_METHOD: &str = "";

/// Reason of connections that send ahead more than there is memory for.
const READ_AHEAD: &str = "read_ahead";

/// How the service of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServiceEnd {
    /// The caller or an answer ended it.
    Finished,
    /// The connection was taken for closing as a request was read from it, which was neither passed on nor answered.
    Taken,
}

/// Serves the requests of one connection until it is closed, by either side or in favor of others.
pub async fn serve_caller(context: Arc<GatewayContext>, stream: TcpStream, guard: CallerGuard) {
    let socket = stream.clone();
    limit_buffers(&socket, Some(SEND_BYTES), Some(RECEIVE_BYTES));
    let connection = guard.connection.clone();
    let has_request = {
        let serving = std::pin::pin!(serve_requests(&context, stream, &connection));
        let closing = std::pin::pin!(connection.wait_for_close());
        match select(closing, serving).await {
            Either::Left(_) => match connection.phase() {
                CallerPhase::Waiting => connection.has_input(),
                CallerPhase::Reading => true,
                CallerPhase::Running | CallerPhase::Answering => {
                    // An answer that breaks off must not look complete, and its unread part is not kept.
                    set_close_mode(&socket, CloseMode::Reset);
                    false
                }
            },
            Either::Right((end, _)) => end == ServiceEnd::Taken,
        }
    };
    if has_request {
        refuse_crossing(&context, &socket);
    }
}

/// Refuses a request that crossed the close of its connection, as far as that is possible without waiting.
fn refuse_crossing(context: &GatewayContext, socket: &TcpStream) {
    let notice = RefusalNotice::new(ResultCode::Overloaded, "").retry_after_ms(DEFAULT_RETRY_AFTER_MS);
    context.record_closed(CROSSED_CLOSE);
    let is_written =
        write_notice(socket, &notice, UNREAD_METHOD, ConnectionPersistence::Close).now_or_never();
    if is_written.is_some() && socket.shutdown(Shutdown::Write).is_ok() {
        // A connection that is closed with unread bytes is reset, which may destroy the answer.
        discard_received(socket);
    }
}

/// Discards what a caller has sent so far, up to the size of the receive buffer.
fn discard_received(mut socket: &TcpStream) {
    let mut discarded_bytes = 0;
    let mut scratch = [0; 4 * 1024];
    while discarded_bytes < RECEIVE_BYTES {
        match socket.read(&mut scratch).now_or_never() {
            Some(Ok(count @ 1..)) => discarded_bytes += count,
            _ => return,
        }
    }
}

/// Serves requests until the caller or an answer ends the connection, or it is taken for closing.
async fn serve_requests(
    context: &Arc<GatewayContext>,
    stream: TcpStream,
    connection: &Arc<CallerConnection>,
) -> ServiceEnd {
    let mut stream = HttpStream::new(stream);
    loop {
        // A request that was sent ahead is read at once, so that the connection is at no time taken for idle.
        let phase = match stream.buffered() {
            [] => CallerPhase::Waiting,
            _ => CallerPhase::Reading,
        };
        if !connection.enter(phase) {
            return ServiceEnd::Finished;
        }
        let limits = context.snapshot().register.limits;
        let idle_until = clock::now().after_ms(limits.idle_timeout_ms);
        let (head, _head_share) = match read_head(context, &mut stream, connection, &limits, idle_until).await
        {
            Ok(read) => read,
            Err(ReadFailure::Gone) => return ServiceEnd::Finished,
            Err(ReadFailure::Taken) => return ServiceEnd::Taken,
            Err(ReadFailure::Refused(notice)) => {
                let socket = stream.socket();
                return refuse_crowd(context, connection, socket, &notice, "-", UNREAD_METHOD).await;
            }
        };
        let body = match read_body_until_exit(context, &mut stream, connection, &head, &limits).await {
            Ok(body) => body,
            Err(ReadFailure::Gone) => return ServiceEnd::Finished,
            Err(ReadFailure::Taken) => return ServiceEnd::Taken,
            Err(ReadFailure::Refused(notice)) => {
                return refuse_unread(context, &mut stream, connection, &head, &notice).await;
            }
        };
        if !connection.enter(CallerPhase::Running) {
            return ServiceEnd::Taken;
        }
        if serve_one(context, &mut stream, connection, head, body).await != ConnectionPersistence::Keep {
            return ServiceEnd::Finished;
        }
        stream.shrink();
    }
}

/// Reads a request's body; it is refused if this VM accepts no more requests before the body is complete.
async fn read_body_until_exit(
    context: &GatewayContext,
    stream: &mut HttpStream,
    connection: &CallerConnection,
    head: &RequestHead,
    limits: &CallerLimits,
) -> Result<Option<CallerBody>, ReadFailure> {
    let reading = std::pin::pin!(read_body(context, stream, connection, head, limits));
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
    connection: &CallerConnection,
    head: &RequestHead,
    notice: &RefusalNotice,
) -> ServiceEnd {
    let socket = stream.socket().clone();
    let request_id = context.protocol.read_request(head).id;
    let end = refuse_crowd(context, connection, &socket, notice, &request_id, &head.method).await;
    if end == ServiceEnd::Finished {
        close_after_answer(stream).await;
    }
    end
}

/// Answers a request that was not read completely with a refusal, and counts its connection, which is closed. Of a
/// crowd that is refused for the same reason, one a second is logged.
async fn refuse_crowd(
    context: &GatewayContext,
    connection: &CallerConnection,
    socket: &TcpStream,
    notice: &RefusalNotice,
    request_id: &str,
    method: &str,
) -> ServiceEnd {
    if !connection.enter(CallerPhase::Answering) {
        return ServiceEnd::Taken;
    }
    let reason = notice.code.entry().name;
    context.metrics.count_closed(reason);
    if context.crowd_log.record(reason, clock::now()).is_some() {
        let revision = context.snapshot().revision;
        log_refusal(request_id, "-", notice, revision);
    }
    write_notice(socket, notice, method, ConnectionPersistence::Close).await;
    ServiceEnd::Finished
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
    connection: &Arc<CallerConnection>,
    head: RequestHead,
    body: Option<CallerBody>,
) -> ConnectionPersistence {
    let socket = stream.socket().clone();
    let facts = context.protocol.read_request(&head);
    let request_id = facts.id.clone();
    let active = context.control.track_request();
    let mut reader = AheadReader::new(context, stream);
    let outcome = {
        let request_future = std::pin::pin!(serve_request(context, &socket, connection, head, facts, body));
        let disconnect_future = std::pin::pin!(reader.wait_for_disconnect());
        match select(request_future, disconnect_future).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(((), _)) => {
                spdlog::info!("event=caller_gone request={request_id}");
                AnswerOutcome::Cut
            }
        }
    };
    drop(active);
    match outcome {
        AnswerOutcome::Complete(ConnectionPersistence::Keep) if reader.has_discarded => {
            close_after_answer(stream).await;
            ConnectionPersistence::Close
        }
        AnswerOutcome::Complete(persistence) => persistence,
        AnswerOutcome::Cut => ConnectionPersistence::Close,
    }
}

/// Lets a caller read its answer before a connection is closed that may have more input.
async fn close_after_answer(stream: &mut HttpStream) {
    // An error means that the caller has closed the connection.
    if stream.socket().shutdown(Shutdown::Write).is_ok() {
        until(clock::now().after_ms(DISCARD_MS), discard_rest(stream)).await;
    }
}

/// Reads what a caller sends while its request is served.
struct AheadReader<'a> {
    context: &'a GatewayContext,
    stream: &'a mut HttpStream,
    /// Whether input was discarded, so that no request can be read any more.
    has_discarded: bool,
}

impl<'a> AheadReader<'a> {
    fn new(context: &'a GatewayContext, stream: &'a mut HttpStream) -> Self {
        Self {
            context,
            stream,
            has_discarded: false,
        }
    }

    /// Completes when the caller closes its connection or the connection fails.
    async fn wait_for_disconnect(&mut self) {
        let mut share = self.context.memory.share(MemoryKind::ReadAhead);
        loop {
            let ahead_bytes = self.stream.buffered().len();
            if ahead_bytes >= UNCOUNTED_AHEAD_BYTES && !share.grow_to(AHEAD_BYTES) {
                self.context.record_closed(READ_AHEAD);
                return self.discard_until_disconnect().await;
            }
            if ahead_bytes >= MAX_READ_AHEAD_BYTES {
                async_std::task::sleep(READ_AHEAD_POLL_INTERVAL).await;
                continue;
            }
            if !self.wait_for_input().await || !matches!(self.stream.fill().await, Ok(1..)) {
                return;
            }
        }
    }

    /// Waits for input with no read buffer, which callers that send nothing ahead don't need while they wait for their
    /// answer. Returns false if the connection has ended.
    async fn wait_for_input(&mut self) -> bool {
        self.stream.shrink();
        matches!(self.stream.socket().peek(&mut [0]).await, Ok(1..))
    }

    /// Discards what the caller sends, since there is no memory for it; the request in progress may be running and is
    /// answered.
    async fn discard_until_disconnect(&mut self) {
        self.has_discarded = true;
        discard_received(self.stream.socket());
        limit_buffers(self.stream.socket(), None, Some(DISCARD_RECEIVE_BYTES));
        loop {
            self.stream.discard();
            match self.stream.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => async_std::task::sleep(READ_AHEAD_POLL_INTERVAL).await,
            }
        }
    }
}
