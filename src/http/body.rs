//! Incremental decoder of message bodies.

use std::ops::Range;

use super::{BodyFraming, HttpError};

/// The longest chunk-size line, in bytes: sixteen hexadecimal digits and a short extension.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// The most bytes of trailers accepted after the last chunk.
const MAX_TRAILER_BYTES: usize = 4_096;

/// What a decoder of chunks expects next; `Data` holds the bytes left in the chunk, `Trailer` those of
/// trailers read so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Line,
    Data(u64),
    DataEnd,
    Trailer(usize),
}

/// What a decoder expects next; `Length` holds the bytes left in the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecoderState {
    Length(u64),
    Chunk(ChunkState),
    UntilClose,
    Done,
    /// The body is invalid, and where it goes on is unknown.
    Invalid(HttpError),
}

/// The result of one decoding step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyStep {
    /// Some bytes of the buffer belong to the body.
    Data {
        /// The range of the buffer that holds the body's bytes.
        data: Range<usize>,
        /// Bytes to remove from the start of the buffer before the next step.
        used: usize,
    },
    /// The buffer has no bytes of the body, and more bytes are needed.
    More {
        /// Bytes to remove from the start of the buffer before the next step.
        used: usize,
    },
    /// The body is complete.
    Done {
        /// Bytes to remove from the start of the buffer before the next step.
        used: usize,
    },
}

/// Incremental decoder of one body, which does no I/O of its own.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecoderState,
}

impl BodyDecoder {
    /// Creates a decoder for a body with the given framing.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => DecoderState::Done,
            BodyFraming::Length(length) => DecoderState::Length(length),
            BodyFraming::Chunked => DecoderState::Chunk(ChunkState::Line),
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == DecoderState::Done
    }

    /// Whether the body is complete if the connection is closed in an orderly way now.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.state, DecoderState::UntilClose | DecoderState::Done)
    }

    /// Decodes as much as possible from the start of the buffer. All steps after one that failed fail too.
    pub fn step(&mut self, buffer: &[u8]) -> Result<BodyStep, HttpError> {
        let step = self.decode(buffer);
        if let Err(error) = step {
            self.state = DecoderState::Invalid(error);
        }
        step
    }

    fn decode(&mut self, buffer: &[u8]) -> Result<BodyStep, HttpError> {
        match self.state {
            DecoderState::Invalid(error) => Err(error),
            DecoderState::Done => Ok(BodyStep::Done { used: 0 }),
            _ if buffer.is_empty() => Ok(BodyStep::More { used: 0 }),
            DecoderState::UntilClose => Ok(BodyStep::Data {
                data: 0..buffer.len(),
                used: buffer.len(),
            }),
            DecoderState::Length(left) => {
                let taken = clamp(buffer.len(), left);
                let left = left - taken as u64;
                self.state = match left {
                    0 => DecoderState::Done,
                    left => DecoderState::Length(left),
                };
                Ok(BodyStep::Data {
                    data: 0..taken,
                    used: taken,
                })
            }
            DecoderState::Chunk(state) => self.step_chunk(state, buffer),
        }
    }

    fn step_chunk(&mut self, state: ChunkState, buffer: &[u8]) -> Result<BodyStep, HttpError> {
        match state {
            ChunkState::Line => {
                let Some(line) = find_line_length(buffer, MAX_CHUNK_LINE_BYTES)? else {
                    return Ok(BodyStep::More { used: 0 });
                };
                let size = parse_chunk_size(&buffer[..line])?;
                self.state = DecoderState::Chunk(match size {
                    0 => ChunkState::Trailer(0),
                    size => ChunkState::Data(size),
                });
                self.step_after(line + 2, buffer)
            }
            ChunkState::Data(left) => {
                let taken = clamp(buffer.len(), left);
                let left = left - taken as u64;
                self.state = DecoderState::Chunk(match left {
                    0 => ChunkState::DataEnd,
                    left => ChunkState::Data(left),
                });
                Ok(BodyStep::Data {
                    data: 0..taken,
                    used: taken,
                })
            }
            ChunkState::DataEnd => {
                if buffer.len() < 2 && buffer[0] == b'\r' {
                    return Ok(BodyStep::More { used: 0 });
                }
                if !buffer.starts_with(b"\r\n") {
                    return Err(HttpError::Chunk);
                }
                self.state = DecoderState::Chunk(ChunkState::Line);
                self.step_after(2, buffer)
            }
            ChunkState::Trailer(seen) => {
                let Some(line) = find_line_length(buffer, MAX_TRAILER_BYTES.saturating_sub(seen))? else {
                    return Ok(BodyStep::More { used: 0 });
                };
                let used = line + 2;
                if line == 0 {
                    self.state = DecoderState::Done;
                    return Ok(BodyStep::Done { used });
                }
                self.state = DecoderState::Chunk(ChunkState::Trailer(seen + used));
                self.step_after(used, buffer)
            }
        }
    }

    /// Continues after the first `skipped` bytes of the buffer.
    fn step_after(&mut self, skipped: usize, buffer: &[u8]) -> Result<BodyStep, HttpError> {
        Ok(match self.decode(&buffer[skipped..])? {
            BodyStep::Data { data, used } => BodyStep::Data {
                data: data.start + skipped..data.end + skipped,
                used: used + skipped,
            },
            BodyStep::More { used } => BodyStep::More { used: used + skipped },
            BodyStep::Done { used } => BodyStep::Done { used: used + skipped },
        })
    }
}

fn clamp(available: usize, left: u64) -> usize {
    usize::try_from(left).map_or(available, |left| left.min(available))
}

/// The length of the line at the start of the buffer, without its CRLF; `None` while the line is incomplete.
fn find_line_length(buffer: &[u8], max_bytes: usize) -> Result<Option<usize>, HttpError> {
    match buffer.iter().position(|byte| *byte == b'\n') {
        Some(0) => Err(HttpError::Chunk),
        Some(at) if buffer[at - 1] != b'\r' || at > max_bytes => Err(HttpError::Chunk),
        Some(at) => Ok(Some(at - 1)),
        None if buffer.len() > max_bytes => Err(HttpError::Chunk),
        None => Ok(None),
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let rest = &line[digits..];
    let has_valid_extension = rest.is_empty() || (rest[0] == b';' && !rest.contains(&b'\r'));
    if digits == 0 || digits > 16 || !has_valid_extension {
        return Err(HttpError::Chunk);
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| HttpError::Chunk)?;
    u64::from_str_radix(text, 16).map_err(|_| HttpError::Chunk)
}
