//! One connection that carries HTTP/1.1, with the bytes that were read ahead.

use std::io;
use std::net::SocketAddr;

use async_std::net::TcpStream;
use futures::{AsyncReadExt, AsyncWriteExt};
use snafu::Snafu;

use super::{prepare_socket, until};
use crate::http::{
    BodyDecoder, BodyStep, HeadLimits, HttpError, RequestHead, ResponseHead, parse_request, parse_response,
};
use crate::prelude::*;

/// Bytes asked of the socket in one read; several events of a stream, or a usual request, fit.
const READ_BYTES: usize = 8 * 1024;

/// Interim answers that are skipped before the one that counts; a server has use for one or two.
const MOST_INTERIM_ANSWERS: usize = 8;

/// Why a connection brought no message.
#[derive(Debug, Snafu)]
pub enum StreamError {
    /// No connection came about, so no byte has left.
    #[snafu(display("no connection: {kind}"))]
    Connect {
        /// Why.
        kind: io::ErrorKind,
    },
    /// The connection ended in order before the message did.
    #[snafu(display("the connection ended"))]
    Closed,
    /// The connection broke.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// What the system said.
        source: io::Error,
    },
    /// The bytes are no HTTP/1.1.
    #[snafu(display("{source}"), context(false))]
    Malformed {
        /// What is wrong with them.
        source: HttpError,
    },
    /// The deadline came first.
    #[snafu(display("deadline passed"))]
    Deadline,
}

impl StreamError {
    /// Whether the other end, or something on the way, ended the connection.
    pub fn is_end(&self) -> bool {
        matches!(self, Self::Closed | Self::Broken { .. })
    }

    /// Whether nothing listens at the other end.
    pub fn is_refusal(&self) -> bool {
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

/// A connection with its read buffer.
#[derive(Debug)]
pub struct HttpStream {
    stream: TcpStream,
    /// Room for what is read; only the bytes from `start` to `end` are filled.
    buffer: Vec<u8>,
    start: usize,
    end: usize,
}

impl HttpStream {
    /// Takes over a connection.
    pub fn new(stream: TcpStream) -> Self {
        prepare_socket(&stream);
        Self {
            stream,
            buffer: Vec::new(),
            start: 0,
            end: 0,
        }
    }

    /// Opens a connection.
    pub async fn connect(address: SocketAddr, deadline: Moment) -> Result<Self, StreamError> {
        match until(deadline, TcpStream::connect(address)).await {
            Some(Ok(stream)) => Ok(Self::new(stream)),
            Some(Err(error)) => Err(StreamError::Connect { kind: error.kind() }),
            None => Err(StreamError::Connect {
                kind: io::ErrorKind::TimedOut,
            }),
        }
    }

    /// The socket, for a writer beside the reader.
    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// Bytes that were read and not yet used.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// Reads once more; zero at an orderly end. May be dropped while it waits, without losing a byte.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.buffer.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        if self.buffer.len() < self.end + READ_BYTES {
            self.buffer.resize(self.end + READ_BYTES, 0);
        }
        let count = self.stream.read(&mut self.buffer[self.end..]).await?;
        self.end += count;
        Ok(count)
    }

    fn consume(&mut self, used: usize) {
        self.start += used;
    }

    /// Gives the memory of an empty buffer back, for a connection that will be idle.
    pub fn shrink(&mut self) {
        if self.buffered().is_empty() {
            self.buffer = Vec::new();
            self.start = 0;
            self.end = 0;
        }
    }

    async fn fill_or_close(&mut self) -> Result<(), StreamError> {
        match self.fill().await? {
            0 => Err(StreamError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads a request's head.
    pub async fn read_request(&mut self, limits: HeadLimits) -> Result<RequestHead, StreamError> {
        loop {
            if let Some((head, used)) = parse_request(self.buffered(), limits)? {
                self.consume(used);
                return Ok(head);
            }
            self.fill_or_close().await?;
        }
    }

    /// Reads an answer's head, past interim answers.
    pub async fn read_response(&mut self, limits: HeadLimits) -> Result<ResponseHead, StreamError> {
        let mut interim_answers = 0;
        loop {
            if let Some((head, used)) = parse_response(self.buffered(), limits)? {
                self.consume(used);
                if !head.is_interim() {
                    return Ok(head);
                }
                interim_answers += 1;
                if interim_answers > MOST_INTERIM_ANSWERS {
                    return Err(HttpError::HeadTooLarge.into());
                }
                continue;
            }
            self.fill_or_close().await?;
        }
    }

    /// The next bytes of a body that are there or come in; `None` once it is whole.
    pub async fn read_body(&mut self, decoder: &mut BodyDecoder) -> Result<Option<Vec<u8>>, StreamError> {
        loop {
            match decoder.step(self.buffered())? {
                BodyStep::Data { data, used } => {
                    let bytes = self.buffered()[data].to_vec();
                    self.consume(used);
                    return Ok(Some(bytes));
                }
                BodyStep::Done { used } => {
                    self.consume(used);
                    return Ok(None);
                }
                BodyStep::More { used } => self.consume(used),
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

    /// Reads a whole body of at most some bytes.
    pub async fn read_whole_body(
        &mut self,
        decoder: &mut BodyDecoder,
        most_bytes: usize,
    ) -> Result<Vec<u8>, StreamError> {
        let mut body = Vec::new();
        while let Some(piece) = self.read_body(decoder).await? {
            if body.len() + piece.len() > most_bytes {
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

    /// Writes bytes.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes).await
    }

    /// Whether a kept connection is still good: open, and with no byte that nobody asked for.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let peeked = futures::FutureExt::now_or_never(self.stream.peek(&mut byte));
        self.buffered().is_empty() && peeked.is_none()
    }
}
