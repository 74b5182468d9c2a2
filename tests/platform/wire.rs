//! The HTTP that stand-ins and callers need, written without the product's codec so that it doesn't share its
//! faults.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The longest that any wait or read in these tests may take.
pub const LIMIT: Duration = Duration::from_secs(15);

/// A request or response as it was read: start line, header lines and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub lines: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete according to its head.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.lines.iter();
        lines
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(other, _)| *other == name)
            .map(|(_, value)| decode_percent(value))
            .unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or_default()
    }

    /// The ids of a stream's events.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = self.text();
        text.lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one request; `None` if the connection was closed before its head was complete.
pub fn read_request(stream: &mut TcpStream) -> Option<Message> {
    read_message(stream, false)
}

/// Reads one response; `None` if the connection was closed before its head was complete.
pub fn read_answer(stream: &mut TcpStream) -> Option<Message> {
    stream.set_read_timeout(Some(LIMIT)).ok()?;
    read_message(stream, true)
}

/// Reads the only response of a connection, with a read buffer.
fn read_only_answer(stream: &TcpStream) -> Option<Message> {
    stream.set_read_timeout(Some(LIMIT)).ok()?;
    read_message(&mut BufReader::new(stream), true)
}

fn read_message(stream: &mut impl Read, is_answer: bool) -> Option<Message> {
    let head = String::from_utf8(read_to(stream, b"\r\n\r\n")?).ok()?;
    let mut lines = head.trim_end().split("\r\n");
    let mut message = Message {
        start: lines.next()?.to_owned(),
        ..Message::default()
    };
    message.lines = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect();
    if message.header("transfer-encoding").is_some() {
        message.is_whole = read_chunks(stream, &mut message.body).is_some();
    } else if let Some(length) = message.header("content-length") {
        message.body = vec![0; length.parse().ok()?];
        message.is_whole = stream.read_exact(&mut message.body).is_ok();
    } else if is_answer {
        message.is_whole = stream.read_to_end(&mut message.body).is_ok();
    } else {
        message.is_whole = true;
    }
    Some(message)
}

fn read_to(stream: &mut impl Read, end: &[u8]) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(end) {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    Some(bytes)
}

fn read_chunks(stream: &mut impl Read, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let line = String::from_utf8(read_to(stream, b"\r\n")?).ok()?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Writes a response with a length. Returns whether the write succeeded.
pub fn write_answer(stream: &mut TcpStream, status: u16, lines: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status} Said\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in lines {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let bytes = [head.as_bytes(), body].concat();
    stream.write_all(&bytes).is_ok()
}

/// Sends a request's text over a new connection, and reads the response.
pub fn exchange(address: SocketAddr, request: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_only_answer(&stream)
}

/// Formats a caller's request; `lines` are additional header lines, each ended by CRLF.
pub fn request(method: &str, host: &str, target: &str, id: &str, lines: &str, body: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 8000\r\n{lines}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Decodes the percent escapes of a query's value.
fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, behind)) = rest.split_first() {
        let escaped = behind.get(..2).filter(|_| *first == b'%');
        let digits = escaped.and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &behind[2..];
            }
            None => {
                bytes.push(*first);
                rest = behind;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
