//! The ids of a stream's events, and which events another replica may send to resume the stream.

/// The sequence of event ids that a caller was sent.
#[derive(Debug, Default)]
pub struct EventSequence {
    last: Option<u64>,
    /// Difference between two ids in a row; `None` before the second event.
    step: Option<u64>,
    /// Whether the differences vary, so that ids are only required to increase.
    is_irregular: bool,
}

impl EventSequence {
    /// Returns the id of the last event that has one; `None` before the first such event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Records complete events of the replica that began the stream.
    pub fn record_events(&mut self, events: &[u8]) {
        for id in event_ids(events).flatten() {
            let step = self.last.and_then(|last| id.checked_sub(last));
            self.is_irregular |= self.step.is_some() && step != self.step;
            self.step = self.step.or(step);
            self.last = Some(id);
        }
    }

    /// Checks and records complete events of a replica that resumes the stream. Returns false and records
    /// nothing if one of them has no id or an id out of sequence.
    pub fn accept_resumed(&mut self, events: &[u8]) -> bool {
        let mut last = self.last;
        for id in event_ids(events) {
            match (id, last) {
                (Some(id), Some(previous)) if self.is_next_id(id, previous) => last = Some(id),
                _ => return false,
            }
        }
        self.last = last;
        true
    }

    fn is_next_id(&self, id: u64, previous: u64) -> bool {
        match id.checked_sub(previous) {
            None | Some(0) => false,
            Some(_) if self.is_irregular => true,
            Some(step) => step == self.step.unwrap_or(1),
        }
    }
}

/// Returns the ids of complete events in order; `None` for an event without an id. Comments are
/// skipped.
fn event_ids(events: &[u8]) -> impl Iterator<Item = Option<u64>> {
    let lines = events
        .split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut lines = lines.peekable();
    std::iter::from_fn(move || {
        let mut id = None;
        let mut has_fields = false;
        for line in lines.by_ref() {
            match line {
                b"" if has_fields => return Some(id),
                b"" => {}
                [b':', ..] => {}
                line => {
                    has_fields = true;
                    id = line.strip_prefix(b"id:").and_then(parse_id).or(id);
                }
            }
        }
        has_fields.then_some(id)
    })
}

fn parse_id(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
