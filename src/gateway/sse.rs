//! Whole events in a stream of bytes.

/// The longest event that is held until it is whole, in bytes: some thousand times a usual one.
pub const LONGEST_EVENT_BYTES: usize = 256 * 1024;

/// Cuts a stream of events at event borders: only whole events are given out.
#[derive(Debug, Default)]
pub struct EventCutter {
    held: Vec<u8>,
}

impl EventCutter {
    /// Takes bytes and gives out the whole events among what is there.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.held.extend_from_slice(bytes);
        match find_last_border(&self.held) {
            Some(end) => {
                let rest = self.held.split_off(end);
                std::mem::replace(&mut self.held, rest)
            }
            None => Vec::new(),
        }
    }

    /// Whether an event goes on beyond what is held for one.
    pub fn is_overlong(&self) -> bool {
        self.held.len() > LONGEST_EVENT_BYTES
    }

    /// What is left of an event that is not whole.
    pub fn rest(&self) -> &[u8] {
        &self.held
    }
}

/// Where the last empty line ends.
fn find_last_border(bytes: &[u8]) -> Option<usize> {
    let ends_at = |end: usize| bytes[..end].ends_with(b"\n\n") || bytes[..end].ends_with(b"\r\n\r\n");
    (2..=bytes.len()).rev().find(|end| ends_at(*end))
}

/// How many events there are in some whole events.
pub fn count_events(events: &[u8]) -> u64 {
    let lines = events.split(|byte| *byte == b'\n');
    let data = lines.filter(|line| line.starts_with(b"data:"));
    (data.count() as u64).max(1)
}
