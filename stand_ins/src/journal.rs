//! What a stand-in did, one JSON object a line, so that a test can judge from the outside.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

/// A journal that is written through at each line, so that it survives its process.
#[derive(Debug)]
pub struct Journal {
    file: Option<Mutex<File>>,
}

impl Journal {
    /// A journal that appends to a file, or keeps nothing when the path is empty.
    pub fn open(path: &str) -> Self {
        let open = || OpenOptions::new().create(true).append(true).open(path);
        let file = (!path.is_empty()).then(|| open().expect("a journal file can be opened"));
        Self {
            file: file.map(Mutex::new),
        }
    }

    /// Adds one line.
    pub fn note(&self, event: &str, subject: &str, detail: Value) {
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

/// A line of a journal.
#[derive(Clone, Debug)]
pub struct JournalLine {
    /// When, in milliseconds since the epoch.
    pub at_ms: u64,
    /// What happened.
    pub event: String,
    /// To what.
    pub subject: String,
    /// More.
    pub detail: Value,
}

/// Reads a journal; a line that is being written is left out.
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
