//! Writes answers to callers within bounds of time and memory.

use async_std::net::TcpStream;
use futures::AsyncWriteExt;

use super::GatewayContext;
use super::caller_registry::CallerPhase;
use super::exchange::CallerRequest;
use super::memory_account::{MemoryAccount, MemoryKind, MemoryShare};
use crate::clock;
use crate::transport::{CloseMode, limit_buffers, set_close_mode, until};

/// Send buffer of a caller's connection, in bytes, until a longer answer has its memory. It takes an answer of
/// 8 KB at once.
pub const SEND_BYTES: usize = 16 * 1024;

/// Send buffer of a caller's connection while a long answer that has its memory is written, in bytes.
const LONG_SEND_BYTES: usize = 64 * 1024;

/// Memory that is reserved for the buffers of a long answer, in bytes: the system takes twice the size that is
/// set, for the caller's connection and for the replica's.
const LONG_ANSWER_BYTES: usize = 4 * LONG_SEND_BYTES;

/// Bytes of an answer that are buffered without being counted. The number of callers bounds their sum.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Reason of connections whose caller takes no byte of its answer.
const ANSWER_STALLED: &str = "answer_stalled";

/// Reason of connections whose caller has not taken its answer by the deadline.
const ANSWER_LATE: &str = "answer_late";

/// The buffered part of an answer; its memory is given back on drop.
#[derive(Debug)]
pub struct AnswerBuffer {
    bytes: Vec<u8>,
    share: MemoryShare,
}

impl AnswerBuffer {
    /// An empty buffer.
    pub fn begin(account: &std::sync::Arc<MemoryAccount>) -> Self {
        Self {
            bytes: Vec::new(),
            share: account.share(MemoryKind::Answers),
        }
    }

    /// Returns the bytes.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends bytes. Returns false if no more may be buffered: the limit is exceeded or memory is short.
    pub fn push(&mut self, piece: &[u8], max_bytes: usize) -> bool {
        let needed_bytes = self.bytes.len() + piece.len();
        let has_room = needed_bytes <= UNCOUNTED_BYTES || self.share.grow_to(needed_bytes);
        // No more than what is counted is taken from the allocator.
        self.bytes.reserve_exact(piece.len());
        self.bytes.extend_from_slice(piece);
        needed_bytes <= max_bytes && has_room
    }
}

/// Sizes the send buffer of a caller's connection for a long answer. Returns the memory that it holds; `None` if
/// memory is short and the buffer is small.
pub fn reserve_buffers(context: &GatewayContext, socket: &TcpStream) -> Option<MemoryShare> {
    let mut share = context.memory.share(MemoryKind::Answers);
    let has_room = share.grow_to(LONG_ANSWER_BYTES);
    let send_bytes = if has_room { LONG_SEND_BYTES } else { SEND_BYTES };
    limit_buffers(socket, Some(send_bytes), None);
    has_room.then_some(share)
}

/// Writes a part of an answer. Returns false if the connection fails, the request's deadline passes, or the caller
/// takes no byte for as long as a connection may be idle.
pub async fn write_answer_part(
    context: &GatewayContext,
    mut socket: &TcpStream,
    request: &CallerRequest,
    bytes: &[u8],
) -> bool {
    if !request.connection.enter(CallerPhase::Answering) {
        return false;
    }
    let mut rest = bytes;
    while !rest.is_empty() {
        let idle_ms = context.snapshot().register.limits.idle_timeout_ms;
        let stalled_at = clock::now().after_ms(idle_ms);
        match until(request.deadline.min(stalled_at), socket.write(rest)).await {
            Some(Ok(count)) if count > 0 => {
                rest = &rest[count..];
                request.connection.record_progress();
            }
            Some(_) => return false,
            None => {
                let is_late = clock::now().reached(request.deadline);
                context.record_closed(if is_late { ANSWER_LATE } else { ANSWER_STALLED });
                // The unread part is not kept for the caller, and the answer looks broken.
                set_close_mode(socket, CloseMode::Reset);
                return false;
            }
        }
    }
    // The caller has taken all that there is, and more of the answer may come from a replica.
    request.connection.enter(CallerPhase::Running)
}
