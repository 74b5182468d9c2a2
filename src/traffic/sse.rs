//! Reads the server-sent events of engines.

use std::time::Duration;

use async_std::future::timeout;
use async_std::io::BufReadExt;
use http_types::Body;

/// Limit for the length of a line, in bytes.
const LINE_LIMIT_BYTES: usize = 65_536;

/// An item read from an engine's stream.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// The data of an event.
    Data(String),
    /// A comment, which engines send as a heartbeat.
    Heartbeat,
    /// The stream ended.
    End,
    /// The stream broke, or contained an invalid line.
    Broken,
    /// No line arrived within the idle timeout.
    TimedOut,
}

/// Reads the events of an engine's stream.
pub struct EventReader {
    body: Body,
    line: String,
    idle_timeout: Duration,
}

impl EventReader {
    /// Creates a reader that returns [`StreamItem::TimedOut`] after `idle_timeout` without a line.
    pub fn new(body: Body, idle_timeout: Duration) -> Self {
        Self {
            body,
            line: String::new(),
            idle_timeout,
        }
    }

    /// Reads the next item; lines that are neither data nor comments are skipped.
    pub async fn next(&mut self) -> StreamItem {
        loop {
            self.line.clear();
            let read = match timeout(self.idle_timeout, self.body.read_line(&mut self.line)).await {
                Err(_) => return StreamItem::TimedOut,
                Ok(Err(_)) => return StreamItem::Broken,
                Ok(Ok(read)) => read,
            };
            if read == 0 {
                return StreamItem::End;
            }
            if read > LINE_LIMIT_BYTES || !self.line.ends_with('\n') {
                return StreamItem::Broken;
            }
            let line = self.line.trim_end();
            if let Some(data) = line.strip_prefix("data: ") {
                return StreamItem::Data(data.to_owned());
            }
            if line.starts_with(':') {
                return StreamItem::Heartbeat;
            }
        }
    }
}
