//! Counts of the configurations offered to this node, by outcome.

/// Outcome of an offered configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It was put in force.
    Accepted,
    /// It was in force already.
    Known,
    /// It was refused for its faults.
    Refused,
    /// It has no revision or can't be parsed.
    Unreadable,
    /// It was skipped: a later one is in force, or its content was refused before.
    PassedOver,
}

impl OfferOutcome {
    /// All outcomes, in the order of their counters.
    pub const ALL: [Self; 5] = [
        Self::Accepted,
        Self::Known,
        Self::Refused,
        Self::Unreadable,
        Self::PassedOver,
    ];

    /// The outcome's label value in metrics.
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

/// Number of offered configurations per outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OfferTally {
    counts: [u64; OfferOutcome::ALL.len()],
}

impl OfferTally {
    /// Counts an offer with this outcome.
    pub fn record(&mut self, outcome: OfferOutcome) {
        self.counts[outcome as usize] += 1;
    }

    /// Number of offers with this outcome.
    pub fn count(&self, outcome: OfferOutcome) -> u64 {
        self.counts[outcome as usize]
    }
}
