//! Journals of the stand-ins, one JSON object per line, from which tests check what upstreams did.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

/// An append-only journal; lines aren't buffered, so that they survive a crash of the process.
#[derive(Debug)]
pub struct Journal {
    file: Option<Mutex<File>>,
}

impl Journal {
    /// Opens a journal file for appending; with an empty path nothing is recorded.
    pub fn open(path: &str) -> Self {
        let open = || OpenOptions::new().create(true).append(true).open(path);
        let file = (!path.is_empty()).then(|| open().expect("a journal file can be opened"));
        Self {
            file: file.map(Mutex::new),
        }
    }

    /// Appends one line with the current time.
    pub fn record(&self, event: &str, subject: &str, detail: Value) {
        let Some(file) = &self.file else { return };
        let line = json!({ "at_ms": now_ms(), "event": event, "subject": subject, "detail": detail });
        let mut file = file.lock().expect("no holder of this lock panics");
        writeln!(file, "{line}").expect("a journal file can be written");
    }
}

/// Milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let span = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    span.as_millis() as u64
}

/// A parsed line of a journal.
#[derive(Clone, Debug)]
pub struct JournalLine {
    /// Time of the event, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name of the event, such as `ran` or `prefill_began`.
    pub event: String,
    /// Id of the request or the call that the event concerns.
    pub subject: String,
    /// Further values, by event; null for none.
    pub detail: Value,
}

/// Reads a journal; incomplete and malformed lines are skipped.
pub fn read_journal(path: &str) -> Vec<JournalLine> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let parse = |line: &str| {
        let value: Value = serde_json::from_str(line).ok()?;
        Some(JournalLine {
            at_ms: value["at_ms"].as_u64()?,
            event: value["event"].as_str()?.to_owned(),
            subject: value["subject"].as_str()?.to_owned(),
            detail: value["detail"].clone(),
        })
    };
    text.lines().filter_map(parse).collect()
}
