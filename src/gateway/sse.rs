//! Splits a byte stream into complete server-sent events.

/// Maximum size of an event that is buffered until it is complete, in bytes: some thousand times the usual
/// size.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Bytes of an empty line and the end of the line before it, without the last byte.
const LINE_END_BYTES: usize = 3;

/// Buffers a stream of events and returns complete events only.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffered: Vec<u8>,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        // An empty line may have begun with the last bytes of the buffer.
        let from = self.buffered.len().saturating_sub(LINE_END_BYTES);
        self.buffered.extend_from_slice(bytes);
        match find_last_event_end(&self.buffered, from) {
            Some(end) => {
                let rest = self.buffered.split_off(end);
                std::mem::replace(&mut self.buffered, rest)
            }
            None => Vec::new(),
        }
    }

    /// Whether an incomplete event exceeds the maximum size.
    pub fn is_overlong(&self) -> bool {
        self.buffered.len() > MAX_EVENT_BYTES
    }

    /// Returns the bytes of the last event, which is incomplete; empty if all events are complete.
    pub fn incomplete_event(&self) -> &[u8] {
        &self.buffered
    }
}

/// Returns the offset behind the last empty line that ends after `from`.
fn find_last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let ends_at = |end: usize| bytes[..end].ends_with(b"\n\n") || bytes[..end].ends_with(b"\r\n\r\n");
    (from..=bytes.len()).rev().find(|end| ends_at(*end))
}

/// Counts complete events by their data lines; at least one.
pub fn count_events(events: &[u8]) -> u64 {
    let lines = events.split(|byte| *byte == b'\n');
    let data = lines.filter(|line| line.starts_with(b"data:"));
    (data.count() as u64).max(1)
}

/// Follows a byte stream to know whether it is inside an event. Comments are outside.
#[derive(Clone, Copy, Debug)]
pub struct EventTracker {
    last_byte: u8,
    is_line_start: bool,
    is_inside: bool,
    /// Whether a line has ended with CR LF, so that a CR alone is half of a line's end.
    has_crlf: bool,
    /// Whether the last byte was a CR that ended an event.
    is_ended_by_cr: bool,
}

impl Default for EventTracker {
    fn default() -> Self {
        Self {
            last_byte: b'\n',
            is_line_start: true,
            is_inside: false,
            has_crlf: false,
            is_ended_by_cr: false,
        }
    }
}

impl EventTracker {
    /// Follows further bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            let was_inside = self.is_inside;
            match *byte {
                b'\n' if self.last_byte == b'\r' => self.has_crlf = true,
                b'\n' | b'\r' => {
                    self.is_inside &= !self.is_line_start;
                    self.is_line_start = true;
                }
                byte if self.is_line_start => {
                    self.is_line_start = false;
                    self.is_inside |= byte != b':';
                }
                _ => {}
            }
            self.is_ended_by_cr = *byte == b'\r' && was_inside && !self.is_inside;
            self.last_byte = *byte;
        }
    }

    /// Whether an event has begun and not ended.
    pub fn is_inside_event(&self) -> bool {
        self.is_inside || (self.has_crlf && self.is_ended_by_cr)
    }
}

/// Whether bytes that begin outside of events end inside one.
pub fn ends_inside_event(bytes: &[u8]) -> bool {
    let mut tracker = EventTracker::default();
    tracker.push(bytes);
    tracker.is_inside_event()
}

/// Whether bytes begin with a field of an event.
pub fn begins_event(bytes: &[u8]) -> bool {
    let fields: [&[u8]; 4] = [b"id:", b"data:", b"event:", b"retry:"];
    fields.iter().any(|field| bytes.starts_with(field))
}
