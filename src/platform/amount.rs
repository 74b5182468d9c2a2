//! Numbers in whatever JSON form they were written: 6000, 6000.0 and 6e3 are equal.

use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, Visitor};

/// A finite number of zero or more, in any JSON form.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Amount(f64);

impl Amount {
    /// Rounds to the nearest integer; saturates at `u64::MAX`.
    pub fn to_u64(self) -> u64 {
        self.0.round() as u64
    }

    /// Rounds to the nearest integer; saturates at `u32::MAX`.
    pub fn to_u32(self) -> u32 {
        self.0.round() as u32
    }

    /// Rounds to the nearest integer; saturates at `usize::MAX`.
    pub fn to_usize(self) -> usize {
        self.0.round() as usize
    }

    /// The unrounded value.
    pub fn to_f64(self) -> f64 {
        self.0
    }

    /// Converts seconds to milliseconds, rounded to the nearest one.
    pub fn seconds_as_ms(self) -> u64 {
        (self.0 * 1_000.0).round() as u64
    }
}

impl<'de> Deserialize<'de> for Amount {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_f64(AmountVisitor)
    }
}

/// Deserializes an optional amount; any other value counts as absent.
///
/// # Errors
///
/// None beyond those of the surrounding document's syntax.
pub fn read_optional_amount<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Amount>, D::Error> {
    let value = serde_json::Value::deserialize(deserializer)?;
    Ok(Amount::deserialize(value).ok())
}

struct AmountVisitor;

impl Visitor<'_> for AmountVisitor {
    type Value = Amount;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number of zero or more")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Amount, E> {
        Ok(Amount(number as f64))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<Amount, E> {
        self.visit_f64(number as f64)
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<Amount, E> {
        if number.is_finite() && number >= 0.0 {
            Ok(Amount(number))
        } else {
            Err(E::custom(format!("{number} is no number of zero or more")))
        }
    }
}

/// An integer that identifies a version; a fractional or inexact number is rejected rather than rounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionNumber(pub u64);

impl<'de> Deserialize<'de> for VersionNumber {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_u64(VersionVisitor)
    }
}

struct VersionVisitor;

impl Visitor<'_> for VersionVisitor {
    type Value = VersionNumber;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a whole number of zero or more")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<VersionNumber, E> {
        Ok(VersionNumber(number))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<VersionNumber, E> {
        /// 2^53; a double can't represent every integer from there on.
        const EXACT_BELOW: f64 = 9_007_199_254_740_992.0;
        if (0.0..EXACT_BELOW).contains(&number) && number.fract() == 0.0 {
            Ok(VersionNumber(number as u64))
        } else {
            Err(E::custom(format!("{number} is no whole number of zero or more")))
        }
    }
}
