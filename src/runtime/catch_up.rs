//! Keeps requests waiting for a moment after the process was stopped: what peers told it meanwhile is still unread.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::prelude::*;

/// The longest time that the control thread waits for an event.
pub const LONGEST_WAIT: Duration = Duration::from_millis(250);

/// How long ago the control thread's latest turn may be before the process counts as stopped, in milliseconds.
const STOPPED_MS: u64 = 600;

/// How long requests wait after a stop, in milliseconds: links that peers closed are open again, and their first words read.
const CATCH_UP_MS: u64 = 100;

/// When the control thread last ran, and until when requests wait for it.
#[derive(Debug)]
pub struct CatchUpMark {
    latest_turn: AtomicU64,
    wait_until: AtomicU64,
}

impl CatchUpMark {
    /// The mark of a process that begins now.
    pub fn new(now: Moment) -> Self {
        Self {
            latest_turn: AtomicU64::new(now.0),
            wait_until: AtomicU64::default(),
        }
    }

    /// Notes a turn of the control thread; for how long the process was stopped before it, where it was.
    pub fn note_turn(&self, now: Moment) -> Option<u64> {
        let latest = Moment(self.latest_turn.load(Ordering::SeqCst));
        let passed_ms = latest.until_ms(now);
        let is_stop = passed_ms >= STOPPED_MS;
        if is_stop {
            // Before the turn is noted: a request that sees the one has to see the other.
            let wait_until = now.after_ms(CATCH_UP_MS);
            self.wait_until.store(wait_until.0, Ordering::SeqCst);
        }
        self.latest_turn.store(now.0, Ordering::SeqCst);
        is_stop.then_some(passed_ms)
    }

    /// When the process last ran again after a stop; the beginning where it never was stopped.
    pub fn ran_again_at(&self) -> Moment {
        let wait_until = self.wait_until.load(Ordering::SeqCst);
        Moment(wait_until.saturating_sub(CATCH_UP_MS))
    }

    /// Until when requests wait; `None` where the process has caught up.
    pub fn wait_until(&self, now: Moment) -> Option<Moment> {
        let latest = Moment(self.latest_turn.load(Ordering::SeqCst));
        if latest.until_ms(now) >= STOPPED_MS {
            return Some(now.after_ms(CATCH_UP_MS));
        }
        let wait_until = Moment(self.wait_until.load(Ordering::SeqCst));
        (!now.reached(wait_until)).then_some(wait_until)
    }
}
