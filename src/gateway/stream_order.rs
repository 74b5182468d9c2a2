//! The ids of a stream's events: which events a replica may send that resumes a stream of another one.

/// The events that a caller was sent.
#[derive(Debug, Default)]
pub struct StreamOrder {
    last: Option<u64>,
    /// The step from one id to the next; `None` before the second event.
    step: Option<u64>,
    /// Whether the steps differ, so that only their direction is known.
    is_uneven: bool,
}

impl StreamOrder {
    /// The last event's id; `None` while none had one.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Notes whole events of the replica that began the stream.
    pub fn note(&mut self, events: &[u8]) {
        for id in event_ids(events).flatten() {
            let step = self.last.and_then(|last| id.checked_sub(last));
            self.is_uneven |= self.step.is_some() && step != self.step;
            self.step = self.step.or(step);
            self.last = Some(id);
        }
    }

    /// Takes whole events of a replica that resumes the stream. Takes none, and returns false, where one of them has no id or an id
    /// out of sequence.
    pub fn take_next(&mut self, events: &[u8]) -> bool {
        let mut last = self.last;
        for id in event_ids(events) {
            match (id, last) {
                (Some(id), Some(earlier)) if self.is_due(id, earlier) => last = Some(id),
                _ => return false,
            }
        }
        self.last = last;
        true
    }

    fn is_due(&self, id: u64, earlier: u64) -> bool {
        match id.checked_sub(earlier) {
            None | Some(0) => false,
            Some(_) if self.is_uneven => true,
            Some(step) => step == self.step.unwrap_or(1),
        }
    }
}

/// The ids of whole events, in their order; `None` for one without. Comments alone are no event.
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
