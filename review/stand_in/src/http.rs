//! The HTTP/1.1 that the stand-ins speak, written without the product's codec.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete according to its framing.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.headers.iter();
        let line = lines.find(|(other, _)| other.eq_ignore_ascii_case(name));
        line.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        let target = self.start.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let target = self.start.split(' ').nth(1).unwrap_or_default();
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(other, _)| *other == name).map(|(_, value)| value);
        decode_percent(value.unwrap_or_default())
    }

    pub fn status(&self) -> u16 {
        let text = self.start.split(' ').nth(1).unwrap_or_default();
        text.parse().unwrap_or_default()
    }

    /// The ids of the events in a stream's body.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        text.lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect()
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one message; `None` if the connection ends before its head is complete.
pub fn read_message(reader: &mut BufReader<TcpStream>, is_response: bool) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.start.is_empty() {
            message.start = line.to_owned();
        } else if line.is_empty() {
            break;
        } else {
            let (name, value) = line.split_once(':')?;
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok());
    if message.header("transfer-encoding").is_some() {
        message.is_whole = read_chunks(reader, &mut message.body).is_some();
    } else if let Some(length) = length {
        message.body.resize(length, 0);
        message.is_whole = reader.read_exact(&mut message.body).is_ok();
    } else if is_response {
        message.is_whole = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.is_whole = true;
    }
    Some(message)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Writes a complete response; returns whether that succeeded.
pub fn write_response(mut stream: &TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let bytes = [text.as_bytes(), body].concat();
    stream.write_all(&bytes).is_ok()
}

/// Sends a request on a new connection and reads the response; `None` if there is none.
pub fn exchange(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(&[head.as_bytes(), body].concat()).ok()?;
    read_message(&mut BufReader::new(stream), true)
}
