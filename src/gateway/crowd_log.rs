//! Bounds the log lines of crowds: at most one a second for each reason, with a count.

use std::sync::Mutex;

use crate::prelude::*;
use crate::runtime::lock;

/// Time between two lines of one reason, in milliseconds.
const LINE_INTERVAL_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct ReasonState {
    next_line_at: Moment,
    uncounted: u64,
}

/// When each reason was last logged, and how often it occurred since.
#[derive(Debug, Default)]
pub struct CrowdLog {
    reasons: Mutex<FastMap<&'static str, ReasonState>>,
}

impl CrowdLog {
    /// Records an occurrence. Returns how many to log now, with those since the last line; `None` if there was a
    /// line within the last second.
    pub fn record(&self, reason: &'static str, now: Moment) -> Option<u64> {
        let mut reasons = lock(&self.reasons);
        let state = reasons.entry(reason).or_insert(ReasonState {
            next_line_at: now,
            uncounted: 0,
        });
        state.uncounted += 1;
        now.reached(state.next_line_at).then(|| {
            state.next_line_at = now.after_ms(LINE_INTERVAL_MS);
            std::mem::take(&mut state.uncounted)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against a crowd that fills the log.
    #[test]
    fn a_reason_is_logged_once_a_second_with_its_count() {
        let log = CrowdLog::default();
        let start = Moment(5_000);
        assert_eq!(log.record("idle", start), Some(1));
        for after_ms in 1..1_000 {
            assert_eq!(log.record("idle", start.after_ms(after_ms)), None);
        }
        assert_eq!(log.record("other", start.after_ms(500)), Some(1));
        assert_eq!(log.record("idle", start.after_ms(1_000)), Some(1_000));
    }
}
