//! Which requests on an engine nobody will come back for.

use std::sync::Arc;

use crate::prelude::*;

/// How often an engine is asked what it holds, in milliseconds.
pub const REAP_INTERVAL_MS: u64 = 1_000;

/// How many resume windows an attached request's holder may be unseen before the request is taken for orphaned.
const MAX_UNSEEN_WINDOWS: u64 = 10;

/// A request that an engine holds, as the engine reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldRequest {
    /// Its id, which begins with the holder's VM.
    pub request: Arc<str>,
    /// How long no one has read its stream, in milliseconds; `None` while someone does.
    pub detached_ms: Option<u64>,
}

/// Follows what one engine holds between two looks.
#[derive(Debug, Default)]
pub struct OrphanTracker {
    unseen_since: FastMap<Arc<str>, Moment>,
}

impl OrphanTracker {
    /// The requests to cancel: abandoned for longer than the resume window, or held by a VM long unseen.
    pub fn find_orphans(
        &mut self,
        held: &[HeldRequest],
        is_live: impl Fn(&str) -> bool,
        resume_window_ms: u64,
        now: Moment,
    ) -> Vec<Arc<str>> {
        self.unseen_since
            .retain(|request, _| held.iter().any(|entry| entry.request == *request));
        let mut orphans = Vec::new();
        for entry in held {
            let is_abandoned = entry
                .detached_ms
                .is_some_and(|detached_ms| detached_ms > resume_window_ms);
            if is_abandoned || self.is_unseen_long(entry, &is_live, resume_window_ms, now) {
                orphans.push(entry.request.clone());
            }
        }
        orphans
    }

    fn is_unseen_long(
        &mut self,
        entry: &HeldRequest,
        is_live: impl Fn(&str) -> bool,
        resume_window_ms: u64,
        now: Moment,
    ) -> bool {
        let holder = entry.request.split('~').next().unwrap_or_default();
        if is_live(holder) {
            self.unseen_since.remove(&entry.request);
            return false;
        }
        let since = *self.unseen_since.entry(entry.request.clone()).or_insert(now);
        now.reached(since.after_ms(MAX_UNSEEN_WINDOWS * resume_window_ms))
    }
}
