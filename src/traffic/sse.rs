//! Server-sent events, as engines send them and as callers receive them.

use std::time::Duration;

use async_std::future::timeout;
use async_std::io::BufReadExt;
use http_types::Body;

/// The longest line that an engine may send, in bytes.
const LINE_LIMIT_BYTES: usize = 65_536;

/// What an engine's stream brought.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// The data of an event.
    Data(String),
    /// A comment, which only shows that the engine is alive.
    Heartbeat,
    /// The stream ended.
    End,
    /// The stream broke, or brought something that is no event.
    Broken,
    /// Nothing came for too long.
    Silent,
}

/// Reads the events of an engine's stream.
pub struct EventReader {
    body: Body,
    line: String,
    silence_limit: Duration,
}

impl EventReader {
    /// A reader that takes the stream for silent after the given time without a line.
    pub fn new(body: Body, silence_limit: Duration) -> Self {
        Self {
            body,
            line: String::new(),
            silence_limit,
        }
    }

    /// The next item.
    pub async fn next(&mut self) -> StreamItem {
        loop {
            self.line.clear();
            let read = match timeout(self.silence_limit, self.body.read_line(&mut self.line)).await {
                Err(_) => return StreamItem::Silent,
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
