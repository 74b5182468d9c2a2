//! Writes message heads and chunks.

use std::io::Write;

/// The interim response to a caller that sent `Expect: 100-continue` and waits before it sends its body.
pub const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The last chunk, which ends a chunked body without trailers.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Initial capacity for a head, in bytes; a typical head fits.
const HEAD_CAPACITY_BYTES: usize = 512;

/// Builds a head line by line.
#[derive(Debug)]
pub struct HeadWriter {
    bytes: Vec<u8>,
}

impl HeadWriter {
    /// Starts the head of an HTTP/1.1 request.
    pub fn request(method: &str, target: &str) -> Self {
        let mut bytes = Vec::with_capacity(HEAD_CAPACITY_BYTES);
        for part in [method, " ", target, " HTTP/1.1\r\n"] {
            bytes.extend_from_slice(part.as_bytes());
        }
        Self { bytes }
    }

    /// Starts the head of an HTTP/1.1 response; an unknown status gets the reason phrase "Status".
    pub fn response(status: u16) -> Self {
        let reason =
            http_types::StatusCode::try_from(status).map_or("Status", |code| code.canonical_reason());
        let mut writer = Self {
            bytes: Vec::with_capacity(HEAD_CAPACITY_BYTES),
        };
        writer.push(format_args!("HTTP/1.1 {status} {reason}\r\n"));
        writer
    }

    fn push(&mut self, text: std::fmt::Arguments<'_>) {
        self.bytes
            .write_fmt(text)
            .expect("writing to memory does not fail");
    }

    /// Adds a header line.
    pub fn line(mut self, name: &str, value: &[u8]) -> Self {
        self.add_line(name, value);
        self
    }

    /// Adds a header line whose value is formatted with `Display`.
    pub fn display(mut self, name: &str, value: impl std::fmt::Display) -> Self {
        self.push(format_args!("{name}: {value}\r\n"));
        self
    }

    /// Adds a header line in place, for use in loops.
    pub fn add_line(&mut self, name: &str, value: &[u8]) {
        for part in [name.as_bytes(), b": ", value, b"\r\n"] {
            self.bytes.extend_from_slice(part);
        }
    }

    /// Ends the head with an empty line and returns its bytes.
    pub fn finish(mut self) -> Vec<u8> {
        self.bytes.extend_from_slice(b"\r\n");
        self.bytes
    }
}

/// Appends `data` as one chunk. Empty data is skipped, since an empty chunk would end the body.
pub fn write_chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    write!(out, "{:x}\r\n", data.len()).expect("writing to memory does not fail");
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}
