//! Positions in the history of the platform's store.

use std::fmt::{Display, Formatter};

/// Number of a history of the store. It rises by one each time the store comes back from an older copy, which
/// ends the history before. The default stands for answers that name none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(u32);

impl StoreEra {
    /// The era of this number; zero stands for none.
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Parses an era in decimal digits. `None` if it is anything else or has more than 32 bits.
    pub fn parse(text: &str) -> Option<Self> {
        let has_digits_only = text.bytes().all(|byte| byte.is_ascii_digit());
        has_digits_only.then(|| text.parse().ok().map(Self))?
    }

    /// Whether the store named an era.
    pub fn is_known(self) -> bool {
        self.0 > 0
    }

    /// The era's number; zero if the store named none.
    pub fn number(self) -> u32 {
        self.0
    }
}

impl Display for StoreEra {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A revision of the store in its era. Revisions of different eras say nothing of each other, so positions are
/// compared by era first. The default comes before all others and stands for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    // The order of the fields is the order of comparison.
    era: StoreEra,
    revision: u64,
}

impl StorePosition {
    /// The position of a revision in an era.
    pub const fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }

    /// A position in a store that names no era.
    pub const fn without_era(revision: u64) -> Self {
        Self::new(StoreEra::new(0), revision)
    }

    /// Whether this stands for a position; revisions of the store are above zero.
    pub fn is_known(self) -> bool {
        self.revision > 0
    }

    /// The era that the revision belongs to.
    pub fn era(self) -> StoreEra {
        self.era
    }

    /// The position after this one in the same era.
    pub fn next(self) -> Self {
        Self::new(self.era, self.revision + 1)
    }

    /// The same position in this era if its own is not known.
    pub fn or_era(self, era: StoreEra) -> Self {
        if self.era.is_known() || !self.is_known() {
            return self;
        }
        Self::new(era, self.revision)
    }

    /// The era's number and the revision, for calls, messages and metrics. Positions are compared as a whole.
    pub fn parts(self) -> (u32, u64) {
        (self.era.0, self.revision)
    }
}

/// Shows the revision alone if the store names no era.
impl Display for StorePosition {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        if self.era.is_known() {
            write!(formatter, "{}/", self.era)?;
        }
        self.revision.fmt(formatter)
    }
}
