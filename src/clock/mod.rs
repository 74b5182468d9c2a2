//! Instants as plain numbers: decision code is given the time and never reads a clock itself.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A point in monotonic time, in milliseconds since this process first read the clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(pub u64);

impl Moment {
    /// The instant `span_ms` milliseconds later, saturating.
    pub fn after_ms(self, span_ms: u64) -> Self {
        Self(self.0.saturating_add(span_ms))
    }

    /// Milliseconds from this instant to `deadline`, zero once it has passed.
    pub fn until_ms(self, deadline: Self) -> u64 {
        deadline.0.saturating_sub(self.0)
    }

    /// Whether `deadline` is at or before this instant.
    pub fn reached(self, deadline: Self) -> bool {
        self >= deadline
    }

    /// Time left until `deadline`, zero once it has passed.
    pub fn remaining(self, deadline: Self) -> Duration {
        Duration::from_millis(self.until_ms(deadline))
    }
}

/// Milliseconds since the VM booted, including the time it was suspended. After a suspension a process must
/// see that its deadlines have passed, and the usual monotonic clock stops meanwhile.
fn boot_ms() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// The current instant.
pub fn now() -> Moment {
    static START_MS: OnceLock<u64> = OnceLock::new();
    Moment(boot_ms().saturating_sub(*START_MS.get_or_init(boot_ms)))
}

/// Milliseconds since the Unix epoch by the system's wall clock; zero if that is set before the epoch.
pub fn epoch_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_millis() as u64)
}

/// Converts a wall-clock deadline to a monotonic instant; `None` if it has passed.
pub fn moment_from_epoch(deadline_epoch_ms: u64) -> Option<Moment> {
    let left_ms = deadline_epoch_ms.checked_sub(epoch_ms())?;
    (left_ms > 0).then(|| now().after_ms(left_ms))
}
