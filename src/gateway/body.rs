//! Reads callers' requests within the configured limits.

use async_std::net::TcpStream;
use futures::AsyncWriteExt;

use super::GatewayContext;
use super::body_memory::CallerBody;
use super::caller_registry::{CallerConnection, CallerPhase};
use super::exchange::DEFAULT_RETRY_AFTER_MS;
use super::memory_account::{MemoryKind, MemoryShare};
use crate::clock;
use crate::http::{
    BodyDecoder, BodyFraming, CONTINUE_RESPONSE, HeadLimits, HttpError, RequestHead, frame_request,
};
use crate::prelude::*;
use crate::register::CallerLimits;
use crate::transport::{HttpStream, StreamError, limit_buffers, until};

/// Base timeout of a body, in milliseconds; the time that the body takes at the minimum rate is added.
const BODY_BASE_TIMEOUT_MS: u64 = 10_000;

/// Minimum rate of a body, in bytes per millisecond.
const MIN_BODY_BYTES_PER_MS: u64 = 64;

/// Bytes of a head that are not counted; they are part of what is reserved for the connection.
const UNCOUNTED_HEAD_BYTES: usize = 4 * 1024;

/// Longest body that the usual receive buffer of a caller's connection takes in at full speed, in bytes.
const SHORT_BODY_BYTES: usize = 64 * 1024;

/// Receive buffer of a connection whose body has its memory, in bytes.
const BODY_RECEIVE_BYTES: usize = 128 * 1024;

/// Why no request was read.
pub enum ReadFailure {
    /// The connection was closed, failed, or was idle for too long. No answer is sent.
    Gone,
    /// The connection was taken for closing as the request arrived.
    Taken,
    /// The request is malformed, too large or too slow, and is refused with this notice.
    Refused(RefusalNotice),
}

impl From<RefusalNotice> for ReadFailure {
    fn from(notice: RefusalNotice) -> Self {
        Self::Refused(notice)
    }
}

/// Waits for a request until `idle_until` and reads its head. Also returns the memory that the head holds.
pub async fn read_head(
    context: &GatewayContext,
    stream: &mut HttpStream,
    connection: &CallerConnection,
    limits: &CallerLimits,
    idle_until: Moment,
) -> Result<(RequestHead, MemoryShare), ReadFailure> {
    while stream.buffered().is_empty() {
        match until(idle_until, stream.fill()).await {
            Some(Ok(count)) if count > 0 => {}
            _ => return Err(ReadFailure::Gone),
        }
    }
    let head_limits = HeadLimits {
        max_bytes: limits.head_bytes,
    };
    if !connection.enter(CallerPhase::Reading) {
        return Err(ReadFailure::Taken);
    }
    let mut share = context.memory.share(MemoryKind::Heads);
    let reading = async {
        loop {
            if let Some(head) = stream.take_request(head_limits)? {
                return Ok(Some(head));
            }
            if stream.buffered().len() > UNCOUNTED_HEAD_BYTES && !share.grow_to(limits.head_bytes) {
                return Ok(None);
            }
            stream.fill_unless_closed().await?;
            connection.record_progress();
        }
    };
    let deadline = clock::now().after_ms(limits.head_timeout_ms);
    match until(deadline, reading).await {
        Some(Ok(Some(head))) => Ok((head, share)),
        Some(Ok(None)) => Err(refuse_memory(context).into()),
        Some(Err(error)) => Err(to_failure(error, limits)),
        None => Err(RefusalNotice::new(ResultCode::HeadTooSlow, "").into()),
    }
}

/// Reads a request's body; `None` if the request has neither a body nor a `Content-Length`.
pub async fn read_body(
    context: &GatewayContext,
    stream: &mut HttpStream,
    connection: &CallerConnection,
    head: &RequestHead,
    limits: &CallerLimits,
) -> Result<Option<CallerBody>, ReadFailure> {
    let framing = frame_request(head).map_err(|error| to_failure(error.into(), limits))?;
    let expected = match framing {
        BodyFraming::Length(length) => length,
        BodyFraming::Empty => return Ok(head.headers.contains("content-length").then(CallerBody::default)),
        BodyFraming::Chunked | BodyFraming::UntilClose => limits.body_bytes as u64,
    };
    if framing != BodyFraming::Chunked && expected > limits.body_bytes as u64 {
        return Err(to_failure(HttpError::BodyTooLarge.into(), limits));
    }
    let mut body = CallerBody::begin(&context.memory);
    if let BodyFraming::Length(length) = framing {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if !body.reserve(length) {
            return Err(refuse_memory(context).into());
        }
        if length > SHORT_BODY_BYTES {
            // The memory of the whole body is reserved, so that what the system holds of it is counted, too.
            limit_buffers(stream.socket(), None, Some(BODY_RECEIVE_BYTES));
        }
    }
    if head.headers.has_token("expect", "100-continue") && stream.buffered().is_empty() {
        let mut socket: &TcpStream = stream.socket();
        let written = socket.write_all(CONTINUE_RESPONSE).await;
        written.map_err(|_| ReadFailure::Gone)?;
    }
    let deadline = clock::now().after_ms(BODY_BASE_TIMEOUT_MS + expected / MIN_BODY_BYTES_PER_MS);
    let mut decoder = BodyDecoder::new(framing);
    let reading = async {
        while let Some(piece) = stream.read_body(&mut decoder).await? {
            if body.len() + piece.len() > limits.body_bytes {
                return Err(StreamError::from(HttpError::BodyTooLarge));
            }
            if !body.push(&piece) {
                return Ok(false);
            }
            connection.record_progress();
        }
        Ok(true)
    };
    match until(deadline, reading).await {
        Some(Ok(true)) => Ok(Some(body)),
        Some(Ok(false)) => Err(refuse_memory(context).into()),
        Some(Err(error)) => Err(to_failure(error, limits)),
        None => Err(RefusalNotice::new(ResultCode::BodyTooSlow, "").into()),
    }
}

/// Refuses a request that does not fit in memory beside others, and makes room for later ones.
fn refuse_memory(context: &GatewayContext) -> RefusalNotice {
    context.relieve_memory();
    RefusalNotice::new(ResultCode::Overloaded, "").retry_after_ms(DEFAULT_RETRY_AFTER_MS)
}

fn to_failure(error: StreamError, limits: &CallerLimits) -> ReadFailure {
    let StreamError::Malformed { source } = error else {
        return ReadFailure::Gone;
    };
    let notice = match source {
        HttpError::HeadTooLarge => RefusalNotice::new(
            ResultCode::HeadTooLarge,
            format!("the limit is {} bytes", limits.head_bytes),
        ),
        HttpError::BodyTooLarge => RefusalNotice::new(
            ResultCode::BodyTooLarge,
            format!("the limit is {} bytes", limits.body_bytes),
        ),
        HttpError::Chunk | HttpError::Truncated => {
            RefusalNotice::new(ResultCode::BodyBroken, source.to_string())
        }
        HttpError::Head | HttpError::Status | HttpError::Framing => {
            RefusalNotice::new(ResultCode::BadRequestLine, source.to_string())
        }
    };
    notice.into()
}
