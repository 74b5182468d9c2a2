//! Finds the requests on an engine that were abandoned by their callers.

use std::sync::Arc;

use crate::prelude::*;

/// Time between two reads of an engine's list of requests, in milliseconds.
pub const REAP_INTERVAL_MS: u64 = 1_000;

/// Number of resume windows after which an attached request is an orphan if its holder was not alive
/// meanwhile.
const MAX_UNSEEN_WINDOWS: u64 = 10;

/// A request on an engine, as the engine reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldRequest {
    /// The request's id, which begins with the name of the VM that sent it, up to a `~`.
    pub request: Arc<str>,
    /// Time since the stream lost its reader, in milliseconds; `None` while it is being read.
    pub detached_ms: Option<u64>,
}

/// Tracks, for one engine, the requests whose holder is not alive.
#[derive(Debug, Default)]
pub struct OrphanTracker {
    unseen_since: FastMap<Arc<str>, Moment>,
}

impl OrphanTracker {
    /// The requests to cancel: those detached for longer than the resume window, and those whose holder has
    /// not been alive for ten such windows.
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
