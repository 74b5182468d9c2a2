//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message's first line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1).unwrap_or_default();
        word.parse().unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    /// Reads a whole message. A response without a length ends with its connection.
    pub fn read_message(&mut self, is_response: bool) -> io::Result<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message, is_response)?;
        Ok(message)
    }

    /// Reads a message's head, which is all of an answer to `HEAD`.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let head_end = loop {
            if let Some(at) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines.filter(|line| !line.is_empty()) {
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
        Ok(message)
    }

    fn read_body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        if message.header("transfer-encoding").is_some() {
            message.body = self.read_chunks()?;
        } else if let Some(length) = message.header("content-length") {
            let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            while self.buffer.len() < length {
                self.fill()?;
            }
            message.body = self.buffer.drain(..length).collect();
        } else if is_response {
            while self.fill().is_ok() {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(())
    }

    /// The first bytes that are read next, as far as they have arrived or arrive within the read timeout.
    pub fn peek(&mut self, count: usize) -> String {
        while self.buffer.len() < count && self.fill().is_ok() {}
        let count = count.min(self.buffer.len());
        String::from_utf8_lossy(&self.buffer[..count]).into_owned()
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                if let Some(at) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                    break at;
                }
                self.fill()?;
            };
            let text = String::from_utf8_lossy(&self.buffer[..line_end]).into_owned();
            let size = usize::from_str_radix(text.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            while self.buffer.len() < line_end + 2 + size + 2 {
                self.fill()?;
            }
            body.extend_from_slice(&self.buffer[line_end + 2..line_end + 2 + size]);
            self.buffer.drain(..line_end + 2 + size + 2);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends one request on a connection of its own and reads the answer.
pub fn ask(address: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let deadline = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address, limit)?;
    let left = deadline
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut connection = Connection::new(stream);
    connection.write(request.as_bytes())?;
    connection.read_message(true)
}
