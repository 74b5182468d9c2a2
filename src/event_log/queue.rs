//! The bounded queue of lines that wait to be written.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::Duration;

use super::LineClass;
use crate::prelude::*;

/// Capacity of the queue, in lines: a megabyte if all lines have the maximum length.
const MAX_QUEUED_LINES: usize = 2_048;

/// Fill level of the queue from which lines of a class are dropped, in percent.
const MAX_FILL_PERCENT: [(LineClass, usize); 3] = [
    (LineClass::Progress, 50),
    (LineClass::Belief, 80),
    (LineClass::Failure, 100),
];

/// Lines of each class that are accepted per `RATE_WINDOW_MS`: a few times what a VM writes at peak load.
const MAX_LINES_PER_WINDOW: [(LineClass, u32); 3] = [
    (LineClass::Progress, 600),
    (LineClass::Belief, 300),
    (LineClass::Failure, 600),
];

/// The window over which rates are counted, in milliseconds.
const RATE_WINDOW_MS: u64 = 1_000;

/// Counts of accepted and dropped lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueTally {
    /// Lines that were dropped since the queue was created.
    pub dropped: u64,
    /// Lines that were accepted since the queue was created.
    pub accepted: u64,
}

/// The queue's lines and counters, guarded by its mutex.
#[derive(Debug, Default)]
struct QueueState {
    lines: VecDeque<String>,
    window_end: Moment,
    window_counts: [u32; 3],
    tally: QueueTally,
    /// Dropped lines that have not been reported in the log yet.
    unreported: u64,
    is_closed: bool,
}

/// A bounded queue of lines that drops lines instead of blocking the sender.
#[derive(Debug, Default)]
pub struct LineQueue {
    state: Mutex<QueueState>,
    filled: Condvar,
}

impl LineQueue {
    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Adds a line, or drops it if its class has used up its share of the queue or its rate. `line` is called
    /// only if the line is accepted.
    pub fn push(&self, class: LineClass, line: impl FnOnce() -> String, now: Moment) {
        let mut state = self.lock();
        if now.reached(state.window_end) {
            state.window_end = now.after_ms(RATE_WINDOW_MS);
            state.window_counts = [0; 3];
        }
        let index = class as usize;
        let has_room = state.lines.len() < MAX_QUEUED_LINES * MAX_FILL_PERCENT[index].1 / 100;
        if !has_room || state.window_counts[index] >= MAX_LINES_PER_WINDOW[index].1 {
            state.tally.dropped += 1;
            state.unreported += 1;
            return;
        }
        state.window_counts[index] += 1;
        state.tally.accepted += 1;
        state.lines.push_back(line());
        if state.lines.len() == 1 {
            self.filled.notify_one();
        }
    }

    /// Waits for lines and takes all of them, with the number of lines dropped since the last call; `None`
    /// once the queue is closed and empty. While the queue is empty, checks for drops at intervals of `wait`.
    pub fn take_all(&self, wait: Duration) -> Option<(VecDeque<String>, u64)> {
        let mut state = self.lock();
        while state.lines.is_empty() && !state.is_closed {
            let waited = self.filled.wait_timeout(state, wait);
            state = waited.expect("no holder of this lock panics").0;
            if state.unreported > 0 {
                break;
            }
        }
        let unreported = std::mem::take(&mut state.unreported);
        if state.lines.is_empty() && unreported == 0 && state.is_closed {
            return None;
        }
        Some((std::mem::take(&mut state.lines), unreported))
    }

    /// Closes the queue, so that the writer exits once it has taken the remaining lines.
    pub fn close(&self) {
        self.lock().is_closed = true;
        self.filled.notify_all();
    }

    /// Counts of accepted and dropped lines so far.
    pub fn tally(&self) -> QueueTally {
        self.lock().tally
    }
}
