//! Delays requests briefly after the process was suspended, since messages that peers sent meanwhile are
//! still unread.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::prelude::*;

/// The longest time that the control thread waits for an event.
pub const MAX_WAIT: Duration = Duration::from_millis(250);

/// If the control thread has not woken up for this time, the process counts as suspended, in milliseconds.
const SUSPENDED_MS: u64 = 600;

/// How long requests wait after a suspension, in milliseconds: the time to reopen links that peers closed and
/// to read the first messages on them.
const CATCH_UP_MS: u64 = 100;

/// The control thread's last wakeup, and until when requests wait after a suspension.
#[derive(Debug)]
pub struct SuspensionTracker {
    last_wakeup: AtomicU64,
    wait_until: AtomicU64,
}

impl SuspensionTracker {
    /// Starts with a wakeup now and no suspension.
    pub fn new(now: Moment) -> Self {
        Self {
            last_wakeup: AtomicU64::new(now.0),
            wait_until: AtomicU64::default(),
        }
    }

    /// Records a wakeup of the control thread. Returns how long the process was suspended before it, in
    /// milliseconds; `None` if it was not.
    pub fn record_wakeup(&self, now: Moment) -> Option<u64> {
        let latest = Moment(self.last_wakeup.load(Ordering::SeqCst));
        let passed_ms = latest.until_ms(now);
        let was_suspended = passed_ms >= SUSPENDED_MS;
        if was_suspended {
            // Stored before the wakeup: a request that sees the new wakeup must see the wait too.
            let wait_until = now.after_ms(CATCH_UP_MS);
            self.wait_until.store(wait_until.0, Ordering::SeqCst);
        }
        self.last_wakeup.store(now.0, Ordering::SeqCst);
        was_suspended.then_some(passed_ms)
    }

    /// When the process last resumed after a suspension; `Moment(0)` if it never was suspended.
    pub fn resumed_at(&self) -> Moment {
        let wait_until = self.wait_until.load(Ordering::SeqCst);
        Moment(wait_until.saturating_sub(CATCH_UP_MS))
    }

    /// Until when requests wait; `None` if the process has caught up.
    pub fn wait_until(&self, now: Moment) -> Option<Moment> {
        let latest = Moment(self.last_wakeup.load(Ordering::SeqCst));
        if latest.until_ms(now) >= SUSPENDED_MS {
            return Some(now.after_ms(CATCH_UP_MS));
        }
        let wait_until = Moment(self.wait_until.load(Ordering::SeqCst));
        (!now.reached(wait_until)).then_some(wait_until)
    }
}
