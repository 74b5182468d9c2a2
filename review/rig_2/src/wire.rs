//! Minimal HTTP/1.1 messages on blocking sockets.

use std::io::{Read, Write};
use std::net::TcpStream;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.headers.iter();
        let line = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
        line.map(|(_, value)| value.as_str())
    }

    /// The status of a response; zero if the start line has none.
    pub fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words
            .nth(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or_default()
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads messages of one connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads the next message with a length or in chunks; `None` if the connection ends or fails before it is
    /// complete.
    pub fn read(&mut self) -> Option<Message> {
        let end = loop {
            let end = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            match end {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            start: lines.next()?.to_owned(),
            ..Message::default()
        };
        for line in lines {
            let (name, value) = line.split_once(':')?;
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
        if message.header("transfer-encoding").is_some() {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend_from_slice(&chunk);
            }
            return Some(message);
        }
        let length: usize = message
            .header("content-length")
            .map_or(Some(0), |text| text.parse().ok())?;
        while self.buffer.len() < length {
            self.fill()?;
        }
        message.body = self.buffer.drain(..length).collect();
        Some(message)
    }

    fn read_chunk(&mut self) -> Option<Option<Vec<u8>>> {
        let end = loop {
            match self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        while self.buffer.len() < end + 2 + size + 2 {
            self.fill()?;
        }
        let chunk = self.buffer[end + 2..end + 2 + size].to_vec();
        self.buffer.drain(..end + 2 + size + 2);
        Some((size > 0).then_some(chunk))
    }

    fn fill(&mut self) -> Option<()> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes).ok().filter(|count| *count > 0)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Some(())
    }
}

/// Writes a response with a length; false if the connection failed.
pub fn write_answer(mut stream: &TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut bytes = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}
