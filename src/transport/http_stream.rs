//! A TCP connection that carries HTTP/1.1, with its read buffer.

use std::io;
use std::net::SocketAddr;

use async_std::net::TcpStream;
use futures::{AsyncReadExt, AsyncWriteExt};
use snafu::Snafu;

use super::{configure_socket, until};
use crate::http::{
    BodyDecoder, BodyStep, HeadLimits, HttpError, RequestHead, ResponseHead, parse_request, parse_response,
};
use crate::prelude::*;

/// Bytes requested from the socket in one read; room for several events of a stream, or for a typical
/// request.
const READ_BYTES: usize = 8 * 1024;

/// Bytes after which a task that reads a connection lets other tasks run.
const YIELD_AFTER_BYTES: usize = 32 * 1024;

/// The most interim (1xx) responses accepted before the final one; servers send one or two.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Why a message could not be read or written.
#[derive(Debug, Snafu)]
pub enum StreamError {
    /// The connection could not be opened, so nothing was sent.
    #[snafu(display("no connection: {kind}"))]
    Connect {
        /// The kind of the system's error; `TimedOut` when the deadline passed first.
        kind: io::ErrorKind,
    },
    /// The peer closed the connection in an orderly way before the message was complete.
    #[snafu(display("the connection ended"))]
    Closed,
    /// Reading from or writing to the connection failed.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The bytes are not valid HTTP/1.1, or exceed a limit.
    #[snafu(display("{source}"), context(false))]
    Malformed {
        /// The parse error, or the limit that was exceeded.
        source: HttpError,
    },
    /// The deadline passed before the message was complete.
    #[snafu(display("deadline passed"))]
    Deadline,
}

impl StreamError {
    /// Whether the peer, or an intermediary, closed or reset the connection.
    pub fn is_connection_lost(&self) -> bool {
        matches!(self, Self::Closed | Self::Broken { .. })
    }

    /// Whether the connection was refused, as when nothing listens at the address.
    pub fn is_connection_refused(&self) -> bool {
        matches!(
            self,
            Self::Connect {
                kind: io::ErrorKind::ConnectionRefused
            }
        )
    }
}

impl From<io::Error> for StreamError {
    fn from(source: io::Error) -> Self {
        Self::Broken { source }
    }
}

/// A TCP connection with its read buffer.
#[derive(Debug)]
pub struct HttpStream {
    stream: TcpStream,
    /// Read buffer; only the bytes from `start` to `end` hold data.
    buffer: Vec<u8>,
    start: usize,
    end: usize,
    /// Bytes read since the reading task last let others run.
    unyielded_bytes: usize,
    /// What is given back once the connection is closed.
    permit: Option<Box<dyn ConnectionPermit>>,
}

/// A right to an open connection, such as to its descriptor; given back on drop.
pub trait ConnectionPermit: std::fmt::Debug + Send + Sync {}

impl HttpStream {
    /// Wraps an open connection and sets its socket options.
    pub fn new(stream: TcpStream) -> Self {
        configure_socket(&stream);
        Self {
            stream,
            buffer: Vec::new(),
            start: 0,
            end: 0,
            unyielded_bytes: 0,
            permit: None,
        }
    }

    /// Ties a permit to the connection, which is dropped with it.
    pub fn hold_permit(&mut self, permit: impl ConnectionPermit + 'static) {
        self.permit = Some(Box::new(permit));
    }

    /// Opens a connection; fails if it is not open by the deadline.
    pub async fn connect(address: SocketAddr, deadline: Moment) -> Result<Self, StreamError> {
        match until(deadline, TcpStream::connect(address)).await {
            Some(Ok(stream)) => Ok(Self::new(stream)),
            Some(Err(error)) => Err(StreamError::Connect { kind: error.kind() }),
            None => Err(StreamError::Connect {
                kind: io::ErrorKind::TimedOut,
            }),
        }
    }

    /// The underlying socket, for a writer that runs concurrently with the reader.
    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// Bytes that were read from the socket and not yet consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// Reads once from the socket into the buffer and returns the number of bytes; zero at end of stream.
    ///
    /// Cancel-safe: dropping the future loses no byte.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.buffer.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        if self.buffer.len() < self.end + READ_BYTES {
            self.buffer.resize(self.end + READ_BYTES, 0);
        }
        if self.unyielded_bytes >= YIELD_AFTER_BYTES {
            // A socket that always has data would keep its thread from other tasks.
            self.unyielded_bytes = 0;
            async_std::task::yield_now().await;
        }
        let count = self.stream.read(&mut self.buffer[self.end..]).await?;
        self.end += count;
        self.unyielded_bytes += count;
        Ok(count)
    }

    fn consume(&mut self, used: usize) {
        self.start += used;
    }

    /// Drops the bytes that were read and not yet consumed.
    pub fn discard(&mut self) {
        self.start = self.end;
    }

    /// Frees the buffer if it is empty, for a connection that will be idle.
    pub fn shrink(&mut self) {
        if self.buffered().is_empty() {
            self.buffer = Vec::new();
            self.start = 0;
            self.end = 0;
        }
    }

    /// Reads once from the socket into the buffer; fails at the end of the stream.
    pub async fn fill_unless_closed(&mut self) -> Result<(), StreamError> {
        match self.fill().await? {
            0 => Err(StreamError::Closed),
            _ => Ok(()),
        }
    }

    /// Takes the head of a request from the buffer; `None` if it is not complete yet.
    pub fn take_request(&mut self, limits: HeadLimits) -> Result<Option<RequestHead>, HttpError> {
        let parsed = parse_request(self.buffered(), limits)?;
        Ok(parsed.map(|(head, used)| {
            self.consume(used);
            head
        }))
    }

    /// Reads the head of a request, and leaves what follows it in the buffer.
    pub async fn read_request(&mut self, limits: HeadLimits) -> Result<RequestHead, StreamError> {
        loop {
            if let Some(head) = self.take_request(limits)? {
                return Ok(head);
            }
            self.fill_unless_closed().await?;
        }
    }

    /// Reads the head of the final response, skipping interim (1xx) ones.
    pub async fn read_response(&mut self, limits: HeadLimits) -> Result<ResponseHead, StreamError> {
        let mut interim_count = 0;
        loop {
            if let Some((head, used)) = parse_response(self.buffered(), limits)? {
                self.consume(used);
                if !head.is_interim() {
                    return Ok(head);
                }
                interim_count += 1;
                if interim_count > MAX_INTERIM_RESPONSES {
                    return Err(HttpError::HeadTooLarge.into());
                }
                continue;
            }
            self.fill_unless_closed().await?;
        }
    }

    /// Returns the next buffered or received bytes of a body; `None` once the body is complete. The bytes may
    /// come from several chunks.
    pub async fn read_body(&mut self, decoder: &mut BodyDecoder) -> Result<Option<Vec<u8>>, StreamError> {
        loop {
            let bytes = self.decode_buffered(decoder)?;
            if !bytes.is_empty() {
                return Ok(Some(bytes));
            }
            if decoder.is_done() {
                return Ok(None);
            }
            if self.fill().await? == 0 {
                return if decoder.ends_with_connection() {
                    Ok(None)
                } else {
                    Err(StreamError::Closed)
                };
            }
        }
    }

    /// Decodes all bytes of a body that are in the buffer. An invalid chunk fails once those before it were
    /// returned.
    fn decode_buffered(&mut self, decoder: &mut BodyDecoder) -> Result<Vec<u8>, HttpError> {
        let mut bytes = Vec::new();
        loop {
            match decoder.step(self.buffered()) {
                Ok(BodyStep::Data { data, used }) => {
                    bytes.extend_from_slice(&self.buffered()[data]);
                    self.consume(used);
                }
                Ok(BodyStep::Done { used } | BodyStep::More { used }) => {
                    self.consume(used);
                    return Ok(bytes);
                }
                Err(error) if bytes.is_empty() => return Err(error),
                Err(_) => return Ok(bytes),
            }
        }
    }

    /// Reads a complete body; fails if it is longer than `max_bytes`.
    pub async fn read_complete_body(
        &mut self,
        decoder: &mut BodyDecoder,
        max_bytes: usize,
    ) -> Result<Vec<u8>, StreamError> {
        let mut body = Vec::new();
        while let Some(piece) = self.read_body(decoder).await? {
            if body.len() + piece.len() > max_bytes {
                return Err(HttpError::BodyTooLarge.into());
            }
            if body.is_empty() {
                body = piece;
            } else {
                body.extend_from_slice(&piece);
            }
        }
        Ok(body)
    }

    /// Writes all bytes to the socket.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes).await
    }

    /// Whether an idle connection can be reused: it is open, and no unsolicited byte was received.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let peeked = futures::FutureExt::now_or_never(self.stream.peek(&mut byte));
        self.buffered().is_empty() && peeked.is_none()
    }
}
