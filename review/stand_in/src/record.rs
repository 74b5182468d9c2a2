//! The record of a scenario: what was sent, answered and run, each line with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began_at: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.began_at.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let ms = self.now_ms();
        let mut file = self.file.lock().expect("no holder panics");
        let _ = writeln!(file, "{:>7}.{:03} s  {text}", ms / 1_000, ms % 1_000);
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
