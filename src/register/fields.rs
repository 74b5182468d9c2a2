//! Reads the fields of register entries, recording every fault instead of stopping at the first.

use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::RegisterFault;
use crate::prelude::*;

/// Lowest Jaro-Winkler similarity, from 0 to 1, at which a known name is suggested.
const MIN_SIMILARITY: f64 = 0.7;

/// Collects the faults of one register text.
pub struct FaultCollector<'a> {
    text: &'a str,
    /// The faults found so far.
    pub faults: Vec<RegisterFault>,
}

impl<'a> FaultCollector<'a> {
    /// Creates a collector for faults in `text`, which byte ranges refer to.
    pub fn new(text: &'a str) -> Self {
        Self {
            text,
            faults: Vec::new(),
        }
    }

    /// Records a fault; its line is computed from the byte range `span` of the text.
    pub fn record(&mut self, code: ResultCode, span: Range<usize>, place: &str, reason: String) {
        let start = span.start.min(self.text.len());
        let line = 1 + self.text.as_bytes()[..start]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count();
        self.faults.push(RegisterFault {
            code,
            line,
            place: place.to_owned(),
            reason,
        });
    }
}

/// A "did you mean" hint with the known name most similar to `name`, to append to a fault's reason; empty if
/// none is similar enough.
pub fn suggest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    known
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| format!("; did you mean `{candidate}`?"))
        .unwrap_or_default()
}

/// Reader for one entry of the register, such as an `[[upstream]]`.
pub struct EntryReader<'r, 'a, 't> {
    table: &'r DeTable<'t>,
    span: Range<usize>,
    place: String,
    collector: &'r mut FaultCollector<'a>,
}

impl<'r, 'a, 't> EntryReader<'r, 'a, 't> {
    /// Creates a reader and records every field that is not in `known` as a fault.
    pub fn new(
        table: &'r DeTable<'t>,
        span: Range<usize>,
        place: String,
        known: &[&str],
        collector: &'r mut FaultCollector<'a>,
    ) -> Self {
        for key in table.keys() {
            let name = key.get_ref().as_ref();
            if !known.contains(&name) {
                let reason = format!("unknown field `{name}`{}", suggest(name, known.iter().copied()));
                collector.record(ResultCode::RegisterUnknownField, key.span(), &place, reason);
            }
        }
        Self {
            table,
            span,
            place,
            collector,
        }
    }

    /// Byte range of a field's value, or of the whole entry if the field is missing.
    pub fn span_of(&self, field: &str) -> Range<usize> {
        self.table.get(field).map_or(self.span.clone(), Spanned::span)
    }

    /// Records a fault of one field.
    pub fn record(&mut self, code: ResultCode, field: &str, reason: String) {
        let place = format!("{}.{field}", self.place);
        let span = self.span_of(field);
        self.collector.record(code, span, &place, reason);
    }

    /// Reads a required string that must not be empty.
    pub fn text(&mut self, field: &str) -> Option<String> {
        match self.table.get(field).map(Spanned::get_ref) {
            None => {
                self.record(
                    ResultCode::RegisterMissingField,
                    field,
                    format!("field `{field}` is missing"),
                );
                None
            }
            Some(DeValue::String(text)) if !text.is_empty() => Some(text.to_string()),
            Some(_) => {
                self.record(
                    ResultCode::RegisterBadValue,
                    field,
                    "must be a text that is not empty".to_owned(),
                );
                None
            }
        }
    }

    /// Reads a required string that must be one of the given choices.
    pub fn choice<T: Copy>(&mut self, field: &str, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text(field)?;
        let found = choices.iter().find(|(name, _)| *name == text);
        if found.is_none() {
            let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
            let hint = suggest(&text, names.iter().copied());
            let reason = format!("`{text}` is not one of {}{hint}", names.join(", "));
            self.record(ResultCode::RegisterBadValue, field, reason);
        }
        found.map(|(_, value)| *value)
    }

    /// Reads a boolean, which defaults to false.
    pub fn flag(&mut self, field: &str) -> bool {
        match self.table.get(field).map(Spanned::get_ref) {
            None => false,
            Some(DeValue::Boolean(flag)) => *flag,
            Some(_) => {
                self.record(
                    ResultCode::RegisterBadValue,
                    field,
                    "must be true or false".to_owned(),
                );
                false
            }
        }
    }

    /// Reads a whole number within a range, or takes the default if the field is missing or invalid.
    pub fn number(&mut self, field: &str, range: std::ops::RangeInclusive<u32>, default: u32) -> u32 {
        let Some(value) = self.table.get(field) else {
            return default;
        };
        let number = match value.get_ref() {
            DeValue::Integer(integer) => integer.as_str().parse::<u32>().ok(),
            _ => None,
        };
        match number.filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let reason = format!("must be a whole number from {} to {}", range.start(), range.end());
                self.record(ResultCode::RegisterBadValue, field, reason);
                default
            }
        }
    }

    /// Reads a required IP address with a port; kept as text.
    pub fn address(&mut self, field: &str) -> Option<String> {
        let text = self.text(field)?;
        if text.parse::<std::net::SocketAddr>().is_err() {
            let reason = format!("`{text}` is not an IP address with a port, such as 10.0.0.7:8000");
            self.record(ResultCode::RegisterBadValue, field, reason);
            return None;
        }
        Some(text)
    }
}
