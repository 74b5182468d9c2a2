//! What became of the configurations that a node was offered.

/// What became of an offered configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force.
    Accepted,
    /// It was in force already.
    Known,
    /// It has faults.
    Refused,
    /// It names no revision, or can't be read at all.
    Unreadable,
    /// It was not looked at: a later one is in force, or its content was refused before.
    PassedOver,
}

impl OfferOutcome {
    /// All fates.
    pub const ALL: [Self; 5] = [
        Self::Accepted,
        Self::Known,
        Self::Refused,
        Self::Unreadable,
        Self::PassedOver,
    ];

    /// The word used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Known => "known",
            Self::Refused => "refused",
            Self::Unreadable => "unreadable",
            Self::PassedOver => "passed_over",
        }
    }
}

/// How many offered configurations had which fate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OfferTally {
    counts: [u64; OfferOutcome::ALL.len()],
}

impl OfferTally {
    /// Counts one.
    pub fn record(&mut self, fate: OfferOutcome) {
        self.counts[fate as usize] += 1;
    }

    /// How many there were.
    pub fn count(&self, fate: OfferOutcome) -> u64 {
        self.counts[fate as usize]
    }
}
