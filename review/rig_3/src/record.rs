//! The record of a run: what was sent, answered and run, with the time since the start of the script.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<File>> = OnceLock::new();

/// Opens the record. Later lines are appended to it.
pub fn open(path: &str) {
    START.get_or_init(Instant::now);
    let file = File::create(path).expect("the record can be written");
    FILE.get_or_init(|| Mutex::new(file));
}

/// Milliseconds since the start of the script.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Appends a line.
pub fn write(line: &str) {
    let at_ms = now_ms();
    if let Some(file) = FILE.get() {
        let mut file = file.lock().expect("no writer panics");
        writeln!(file, "{at_ms:>7} ms  {line}").expect("the record can be written");
    }
}

/// Appends a formatted line to the record.
#[macro_export]
macro_rules! note {
    ($($part:tt)*) => { $crate::record::write(&format!($($part)*)) };
}
