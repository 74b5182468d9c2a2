//! The logger's sink, and the thread that writes the lines.

use std::io::Write;
use std::sync::{Arc, OnceLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use spdlog::formatter::Formatter;
use spdlog::sink::{Sink, SinkPropAccess};
use spdlog::{ErrorHandler, Level, LevelFilter, Record};

use super::{LineClass, LineQueue, QueueTally};
use crate::clock;

/// The longest line, in bytes including the line break; longer lines are cut off.
pub const MAX_LINE_BYTES: usize = 480;

/// How long lines are collected before they are written together.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// How often the writer checks for drops to report while no line comes.
const DROP_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long the process waits at its exit for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// A sink that passes lines to the writer through the queue.
struct QueueSink {
    queue: Arc<LineQueue>,
}

impl SinkPropAccess for QueueSink {
    fn level_filter(&self) -> LevelFilter {
        LevelFilter::MoreSevereEqual(Level::Info)
    }

    fn set_level_filter(&self, _level_filter: LevelFilter) {}

    fn set_formatter(&self, _formatter: Box<dyn Formatter>) {}

    fn set_error_handler(&self, _handler: ErrorHandler) {}
}

impl Sink for QueueSink {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let class = class_of(record.level());
        self.queue.push(class, || format_line(record), clock::now());
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

fn class_of(level: Level) -> LineClass {
    match level {
        Level::Critical | Level::Error => LineClass::Failure,
        Level::Warn => LineClass::Belief,
        Level::Info | Level::Debug | Level::Trace => LineClass::Progress,
    }
}

fn format_line(record: &Record<'_>) -> String {
    let time = epoch_seconds(record.time());
    let mut line = format!(
        "time={time} level={} {}",
        record.level().as_str(),
        record.payload()
    );
    if line.len() >= MAX_LINE_BYTES {
        let mut end = MAX_LINE_BYTES - 1;
        while !line.is_char_boundary(end) {
            end -= 1;
        }
        line.truncate(end);
    }
    // A line break inside the text could be used to forge another event.
    let mut line = line.replace(['\n', '\r'], " ");
    line.push('\n');
    line
}

/// The wall clock's time in seconds since the Unix epoch, with milliseconds.
fn epoch_seconds(time: std::time::SystemTime) -> String {
    let span = time.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    format!("{}.{:03}", span.as_secs(), span.subsec_millis())
}

/// The process's log; on drop, waits briefly for the queued lines to be written.
pub struct EventLog {
    queue: Arc<LineQueue>,
    writer: Option<JoinHandle<()>>,
}

static QUEUE: OnceLock<Arc<LineQueue>> = OnceLock::new();

impl EventLog {
    /// Starts the writer thread and makes this log the default logger's sink.
    pub fn start(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let queue = Arc::new(LineQueue::default());
        let lines = queue.clone();
        let writer = std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&lines, out))?;
        let sink = QueueSink { queue: queue.clone() };
        let logger = spdlog::Logger::builder().sink(Arc::new(sink)).build();
        let logger = logger.map_err(std::io::Error::other)?;
        spdlog::set_default_logger(Arc::new(logger));
        // Only tests start a second log in one process; the tally then covers the first alone.
        let _ = QUEUE.set(queue.clone());
        Ok(Self {
            queue,
            writer: Some(writer),
        })
    }

    /// Counts of accepted and dropped lines; zero if no log was started.
    pub fn tally() -> QueueTally {
        QUEUE.get().map(|queue| queue.tally()).unwrap_or_default()
    }
}

impl Drop for EventLog {
    fn drop(&mut self) {
        self.queue.close();
        let Some(writer) = self.writer.take() else {
            return;
        };
        let end = Instant::now() + FLUSH_TIMEOUT;
        while !writer.is_finished() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn write_lines(queue: &LineQueue, mut out: impl Write) {
    while let Some((lines, dropped)) = queue.take_all(DROP_CHECK_INTERVAL) {
        let mut text = String::with_capacity(lines.iter().map(String::len).sum());
        lines.iter().for_each(|line| text.push_str(line));
        if dropped > 0 {
            let time = epoch_seconds(std::time::SystemTime::now());
            text.push_str(&format!(
                "time={time} level=warn event=log_dropped lines={dropped}\n"
            ));
        }
        // With standard output closed, the error can't be reported anywhere.
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            return;
        }
        std::thread::sleep(BATCH_DELAY);
    }
}
