//! Counts reported attributes of replicas that the adapter does not know, and logs each once for each
//! replica.

use std::sync::Mutex;

use super::UnknownAttribute;
use crate::blackboard::{ReplicaId, ReplicaRecord};
use crate::prelude::*;
use crate::runtime::lock;

/// Maximum number of pairs of an attribute and a replica that are logged.
const MAX_LOGGED_PAIRS: usize = 256;

/// Maximum number of attributes that are counted by name; others share the name `others`.
const MAX_COUNTED_NAMES: usize = 16;

/// Maximum length of a logged value, in characters.
const MAX_VALUE_CHARS: usize = 60;

/// The unknown attributes that were logged, and how often each was received.
#[derive(Debug, Default)]
pub struct UnknownAttributes {
    logged: Mutex<FastSet<(String, ReplicaId)>>,
    counts: Mutex<FastMap<String, u64>>,
}

impl UnknownAttributes {
    /// Counts the unknown attributes in one answer of a replica, and logs those that are new.
    pub fn record_attributes(&self, record: &ReplicaRecord, attributes: &[UnknownAttribute]) {
        for attribute in attributes {
            self.count(&attribute.name);
            let mut logged = lock(&self.logged);
            let is_first =
                logged.len() < MAX_LOGGED_PAIRS && logged.insert((attribute.name.clone(), record.id.clone()));
            drop(logged);
            if is_first {
                let value: String = attribute.value.chars().take(MAX_VALUE_CHARS).collect();
                spdlog::warn!(
                    "event=statement_unknown replica={} service={} name={} value={value:?}",
                    record.id,
                    record.service,
                    attribute.name
                );
            }
        }
    }

    fn count(&self, name: &str) {
        let mut counts = lock(&self.counts);
        let is_named = counts.len() < MAX_COUNTED_NAMES || counts.contains_key(name);
        let name = if is_named { name } else { "others" };
        *counts.entry(name.to_owned()).or_default() += 1;
    }

    /// Returns how often each attribute was received, by name.
    pub fn counts(&self) -> Vec<(String, u64)> {
        let counts = lock(&self.counts);
        counts
            .iter()
            .map(|(name, count)| (name.clone(), *count))
            .collect()
    }
}
