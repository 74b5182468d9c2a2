//! Streams answers to callers as their bodies arrive.

use std::sync::Arc;

use async_std::net::TcpStream;

use super::GatewayContext;
use super::answer::{ConnectionPersistence, write_bodiless_head, write_chunked_head, write_closing_head};
use super::answer_end::{BrokenEnd, check_end, is_event_stream};
use super::answer_write::{AnswerBuffer, reserve_buffers, write_answer_part};
use super::dispatch::DispatchLease;
use super::exchange::{AnswerOutcome, CallerRequest};
use super::loss::{LostSend, ReplicaContact, RunStage, report_loss};
use super::send::SendAdmission;
use super::sse::EventTracker;
use super::trace::RequestOutcome;
use super::upstream::UpstreamAnswer;
use crate::clock;
use crate::controllers::dispatch::SendOutcome;
use crate::http::{BodyFraming, LAST_CHUNK, ResponseHead, has_body, write_chunk};
use crate::runtime::RunPermit;
use crate::transport::{CloseMode, StreamError, set_close_mode, until};

/// Longest part of an answer that is written at once, in bytes; as many as one read from a replica brings.
const PART_BYTES: usize = 8 * 1024;

/// Writes an answer to the caller in pieces: chunked for HTTP/1.1, else delimited by the connection's end.
pub struct AnswerWriter<'a> {
    socket: &'a TcpStream,
    persistence: ConnectionPersistence,
    is_chunked: bool,
    context: &'a GatewayContext,
    request: &'a CallerRequest,
    pending: Vec<u8>,
}

impl<'a> AnswerWriter<'a> {
    /// Starts an answer. Its head is sent with the first piece of the body.
    pub fn new(
        context: &'a GatewayContext,
        socket: &'a TcpStream,
        request: &'a CallerRequest,
        head: &ResponseHead,
    ) -> Self {
        let has_body = has_body(&request.head.method, head.status);
        let is_chunked = has_body && request.head.is_http11;
        let pending = if !has_body {
            write_bodiless_head(&*context.protocol, head, request.persistence)
        } else if is_chunked {
            write_chunked_head(&*context.protocol, head, request.persistence)
        } else {
            // Whatever ends the connection before the answer is complete, also an exit of this process.
            set_close_mode(socket, CloseMode::Reset);
            write_closing_head(&*context.protocol, head)
        };
        Self {
            socket,
            persistence: if is_chunked || !has_body {
                request.persistence
            } else {
                ConnectionPersistence::Close
            },
            is_chunked,
            context,
            request,
            pending,
        }
    }

    /// Writes a piece of the body. Returns false if the write fails or the request's deadline passes.
    pub async fn write(&mut self, piece: &[u8]) -> bool {
        // A long piece is written in parts, so that no copy of it is held while the caller reads slowly.
        for part in piece.chunks(PART_BYTES) {
            let mut bytes = std::mem::take(&mut self.pending);
            if self.is_chunked {
                write_chunk(&mut bytes, part);
            } else {
                bytes.extend_from_slice(part);
            }
            if !self.send(&bytes).await {
                return false;
            }
        }
        true
    }

    async fn send(&mut self, bytes: &[u8]) -> bool {
        self.request.exposure.begin_answer();
        write_answer_part(self.context, self.socket, self.request, bytes).await
    }

    /// Ends a complete body.
    pub async fn finish(mut self) -> AnswerOutcome {
        let mut bytes = std::mem::take(&mut self.pending);
        if self.is_chunked {
            bytes.extend_from_slice(LAST_CHUNK);
        }
        if !self.send(&bytes).await {
            return AnswerOutcome::Cut;
        }
        if !self.is_chunked {
            set_close_mode(self.socket, CloseMode::Orderly);
        }
        AnswerOutcome::Complete(self.persistence)
    }
}

/// An answer that broke off midway or is not whole at its end.
pub struct BrokenAnswer {
    framing: BodyFraming,
    reason: String,
    /// Whether the connection was closed or reset.
    has_lost_connection: bool,
}

impl BrokenAnswer {
    /// An answer whose connection failed midway.
    pub fn from_error(framing: BodyFraming, error: &StreamError) -> Self {
        Self {
            framing,
            reason: error.to_string(),
            has_lost_connection: error.is_connection_lost(),
        }
    }

    /// An answer that ended in order but is not whole.
    pub fn from_end(framing: BodyFraming, end: BrokenEnd) -> Self {
        Self {
            framing,
            reason: end.as_str().to_owned(),
            has_lost_connection: true,
        }
    }
}

/// Logs a broken answer, fails its dispatch lease, and reports the loss if its connection was lost.
pub async fn record_broken_answer(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    lease: DispatchLease,
    permit: &RunPermit,
    answer: BrokenAnswer,
) {
    spdlog::error!(
        "event=answer_broken request={} replica={} framing={} reason=\"{}\"",
        request.facts.id,
        lease.id(),
        answer.framing.as_str(),
        answer.reason
    );
    let (replica, began_at) = (lease.replica().clone(), lease.began_at());
    lease.finish(SendOutcome::Failed);
    if answer.has_lost_connection {
        let lost = LostSend {
            permit,
            replica: &replica,
            stage: RunStage::Call,
            began_at,
            contact: ReplicaContact::Shown,
        };
        report_loss(context, request, lost).await;
    }
}

/// Streams a body that is too long to buffer. `first_bytes` is the part that was read already.
pub async fn relay_long_body(
    context: &Arc<GatewayContext>,
    socket: &TcpStream,
    request: &CallerRequest,
    mut answer: UpstreamAnswer,
    first_bytes: AnswerBuffer,
    admission: SendAdmission,
) -> AnswerOutcome {
    let SendAdmission { lease, permit, .. } = admission;
    let head = answer.head.clone();
    let mut writer = AnswerWriter::new(context, socket, request, &head);
    let mut tracker = is_event_stream(&head).then(EventTracker::default);
    track(&mut tracker, first_bytes.as_slice());
    let _buffers = reserve_buffers(context, socket).inspect(|_| answer.widen());
    if !writer.write(first_bytes.as_slice()).await {
        return AnswerOutcome::Cut;
    }
    drop(first_bytes);
    while !clock::now().reached(request.deadline) {
        match until(request.deadline, answer.read()).await {
            Some(Ok(Some(piece))) => {
                permit.record_output();
                track(&mut tracker, &piece);
                if !writer.write(&piece).await {
                    return AnswerOutcome::Cut;
                }
            }
            Some(Ok(None)) => {
                let is_inside = tracker.is_some_and(|tracker| tracker.is_inside_event());
                let end = check_end(context, request, &mut answer, lease.replica(), is_inside).await;
                if let Err(broken_end) = end {
                    let broken = BrokenAnswer::from_end(answer.framing, broken_end);
                    record_broken_answer(context, request, lease, &permit, broken).await;
                    request.trace.end(RequestOutcome::Cut, head.status);
                    return AnswerOutcome::Cut;
                }
                let elapsed_ms = lease.elapsed_ms();
                lease.finish(SendOutcome::Served(elapsed_ms));
                permit.report_completed();
                request.trace.end(RequestOutcome::Served, head.status);
                return writer.finish().await;
            }
            Some(Err(error)) => {
                let broken = BrokenAnswer::from_error(answer.framing, &error);
                record_broken_answer(context, request, lease, &permit, broken).await;
                request.trace.end(RequestOutcome::Cut, head.status);
                return AnswerOutcome::Cut;
            }
            None => break,
        }
    }
    // The request's deadline passed before the answer was complete.
    let broken = BrokenAnswer::from_error(answer.framing, &StreamError::Deadline);
    record_broken_answer(context, request, lease, &permit, broken).await;
    request.trace.end(RequestOutcome::Cut, head.status);
    AnswerOutcome::Cut
}

fn track(tracker: &mut Option<EventTracker>, bytes: &[u8]) {
    if let Some(tracker) = tracker {
        tracker.push(bytes);
    }
}
