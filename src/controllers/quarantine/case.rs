//! What is known of one request under which replicas ended.

use std::sync::Arc;

use crate::blackboard::Suspicion;
use crate::prelude::*;

/// How many replicas must have ended under a request, one run after the other, before it is held back. One may have
/// ended for a reason of its own.
const LEVEL_TO_HOLD: u32 = 2;

/// How long a request is held back once that many replicas ended under it, and each further one, in milliseconds. A hold
/// ends with one careful run, so an innocent request is soon back, and a deadly one costs fewer and fewer replicas.
const HOLDS_MS: [u64; 4] = [10_000, 300_000, 3_600_000, 86_400_000];

/// How long a suspicion outlives its latest strike and its hold, in milliseconds.
const KEPT_MS: u64 = 3_600_000;

/// How long a cleared case is remembered, in milliseconds: so long, word of its old strikes may still come.
const CLEARED_KEPT_MS: u64 = 600_000;

/// Strikes of one case that are remembered.
const MOST_STRIKES: usize = 16;

/// How far apart two reports of an upstream whose start is not known must lie to be two ends of it, in milliseconds.
const SAME_END_MS: u64 = 2_000;

/// Whole runs since the latest strike that clear a request. One alone may have met the only upstream that can run it.
const RUNS_TO_CLEAR: u32 = 3;

/// An upstream's end under a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeathStrike {
    /// The upstream.
    pub upstream: Arc<str>,
    /// Which start of it; zero where that is not known.
    pub incarnation: u64,
    /// One more than the level that was known as the run began.
    pub level: u32,
    /// When it ended.
    pub ended_at: Moment,
    /// The VM that saw it.
    pub seen_by: VmName,
}

impl DeathStrike {
    /// Whether this tells nothing that another one does not tell.
    fn is_covered_by(&self, other: &Self) -> bool {
        let apart_ms = self.ended_at.0.abs_diff(other.ended_at.0);
        self.upstream == other.upstream
            && self.incarnation == other.incarnation
            && self.level <= other.level
            && (self.incarnation != 0 || apart_ms < SAME_END_MS)
    }
}

/// All that is known of one request.
#[derive(Clone, Debug, Default)]
pub struct DeathCase {
    strikes: Vec<DeathStrike>,
    /// Whether whole runs have cleared it of these strikes.
    is_cleared: bool,
    whole_runs: u32,
}

impl DeathCase {
    /// Notes a strike; whether it was unknown.
    pub fn note_strike(&mut self, strike: &DeathStrike) -> bool {
        if self.strikes.iter().any(|known| strike.is_covered_by(known)) {
            return false;
        }
        if std::mem::take(&mut self.is_cleared) {
            self.strikes.clear();
        }
        self.whole_runs = 0;
        if self.strikes.len() >= MOST_STRIKES {
            // Those of the lowest level tell least.
            let lowest = self
                .strikes
                .iter()
                .enumerate()
                .min_by_key(|(_, known)| known.level);
            if let Some(index) = lowest.map(|(index, _)| index) {
                self.strikes.swap_remove(index);
            }
        }
        self.strikes.push(strike.clone());
        true
    }

    /// Notes a whole run; whether it clears the request.
    pub fn note_whole_run(&mut self) -> bool {
        self.whole_runs += 1;
        !self.is_cleared && self.whole_runs >= RUNS_TO_CLEAR
    }

    /// Clears the request of strikes up to a level; whether that changes anything.
    pub fn clear(&mut self, level: u32) -> bool {
        let is_news = !self.is_cleared && self.level() <= level;
        self.is_cleared |= is_news;
        is_news
    }

    /// The strikes.
    pub fn strikes(&self) -> &[DeathStrike] {
        &self.strikes
    }

    /// Whether the request was cleared of all strikes.
    pub fn is_cleared(&self) -> bool {
        self.is_cleared
    }

    /// How many upstreams ended under it, one run after the other.
    pub fn level(&self) -> u32 {
        self.strikes
            .iter()
            .map(|strike| strike.level)
            .max()
            .unwrap_or_default()
    }

    /// What traffic has to know of it; `None` where it is not suspected.
    pub fn suspicion(&self) -> Option<Suspicion> {
        (!self.is_cleared).then(|| Suspicion {
            level: self.level(),
            quarantined_until: self.quarantined_until(),
        })
    }

    fn quarantined_until(&self) -> Moment {
        let ends = self
            .strikes
            .iter()
            .filter_map(|strike| Some(strike.ended_at.after_ms(hold_ms(strike.level)?)));
        ends.max().unwrap_or_default()
    }

    /// When it can be forgotten.
    pub fn forget_at(&self) -> Moment {
        let latest = self.strikes.iter().map(|strike| strike.ended_at).max();
        let latest = latest.unwrap_or_default();
        if self.is_cleared {
            latest.after_ms(CLEARED_KEPT_MS)
        } else {
            latest.max(self.quarantined_until()).after_ms(KEPT_MS)
        }
    }
}

/// How long a strike of a level holds its request back; `None` where it does not.
fn hold_ms(level: u32) -> Option<u64> {
    let step = level.checked_sub(LEVEL_TO_HOLD)? as usize;
    HOLDS_MS.get(step).or(HOLDS_MS.last()).copied()
}
