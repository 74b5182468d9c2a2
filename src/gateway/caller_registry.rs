//! Callers' open connections and when each last made progress. Where connections or memory run out, the one that
//! has made no progress for longest is closed, so that others get in.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_std::channel::{Receiver, Sender, bounded};

use crate::clock;
use crate::prelude::*;
use crate::runtime::lock;

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerPhase {
    /// The caller's next request.
    Waiting,
    /// The rest of a head or a body.
    Reading,
    /// The answer of a replica. Such a connection is not closed early: its request may be running.
    Running,
    /// The caller, to read the answer.
    Answering,
}

impl CallerPhase {
    /// Whether a connection may be closed in favor of others.
    pub fn may_close(self) -> bool {
        self != Self::Running
    }

    /// Whether a connection that may be closed holds memory beyond its own.
    pub fn holds_memory(self) -> bool {
        matches!(self, Self::Reading | Self::Answering)
    }
}

#[derive(Clone, Copy, Debug)]
struct CallerProgress {
    phase: CallerPhase,
    progressed_at: Moment,
    is_closing: bool,
}

/// One caller's open connection.
#[derive(Debug)]
pub struct CallerConnection {
    progress: Mutex<CallerProgress>,
    close: Sender<()>,
    closed: Receiver<()>,
}

impl CallerConnection {
    fn new(now: Moment) -> Self {
        let (close, closed) = bounded(1);
        Self {
            progress: Mutex::new(CallerProgress {
                phase: CallerPhase::Waiting,
                progressed_at: now,
                is_closing: false,
            }),
            close,
            closed,
        }
    }

    /// Records that the connection begins to wait for something else.
    pub fn enter(&self, phase: CallerPhase) {
        let mut progress = lock(&self.progress);
        progress.phase = phase;
        progress.progressed_at = clock::now();
    }

    /// Records that bytes were read or written.
    pub fn record_progress(&self) {
        lock(&self.progress).progressed_at = clock::now();
    }

    /// Whether the caller has been sent a part of an answer.
    pub fn is_answering(&self) -> bool {
        lock(&self.progress).phase == CallerPhase::Answering
    }

    /// Completes when the connection has to be closed in favor of others.
    pub async fn wait_for_close(&self) {
        // The sender lives as long as this connection, so receiving can't fail.
        let _ = self.closed.recv().await;
    }

    /// Returns since when the connection has made no progress; `None` if it must not be closed.
    fn idle_since(&self, may_close: fn(CallerPhase) -> bool) -> Option<Moment> {
        let progress = *lock(&self.progress);
        let is_candidate = may_close(progress.phase) && !progress.is_closing;
        is_candidate.then_some(progress.progressed_at)
    }

    fn begin_close(&self) {
        lock(&self.progress).is_closing = true;
        // The channel holds one order, and no second one is sent.
        let _ = self.close.try_send(());
    }
}

/// All callers' open connections.
#[derive(Debug, Default)]
pub struct CallerRegistry {
    connections: Mutex<FastMap<u64, Arc<CallerConnection>>>,
    next_number: AtomicU64,
}

impl CallerRegistry {
    /// Adds a connection; returns it with its number.
    pub fn add(&self, now: Moment) -> (u64, Arc<CallerConnection>) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(CallerConnection::new(now));
        lock(&self.connections).insert(number, connection.clone());
        (number, connection)
    }

    /// Removes a connection that is closed.
    pub fn remove(&self, number: u64) {
        lock(&self.connections).remove(&number);
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        lock(&self.connections).len()
    }

    /// Closes the connection that has made no progress for longest, if that is at least so many milliseconds, of
    /// those in a phase in which it may be closed.
    pub fn close_longest_idle(
        &self,
        now: Moment,
        min_idle_ms: u64,
        may_close: fn(CallerPhase) -> bool,
    ) -> bool {
        let connections = lock(&self.connections);
        let candidates = connections
            .values()
            .filter_map(|connection| Some((connection.idle_since(may_close)?, connection)));
        let longest = candidates.min_by_key(|(idle_since, _)| *idle_since);
        match longest {
            Some((idle_since, connection)) if idle_since.until_ms(now) >= min_idle_ms => {
                connection.begin_close();
                true
            }
            _ => false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against a crowd that keeps its place while ordinary callers wait, and against the close of a
    // connection whose request may be running.
    #[test]
    fn the_longest_idle_is_closed_and_a_running_request_is_not() {
        let registry = CallerRegistry::default();
        let close = |now, min_idle_ms| registry.close_longest_idle(now, min_idle_ms, CallerPhase::may_close);
        let start = Moment(1_000);
        let (_, running) = registry.add(start);
        running.enter(CallerPhase::Running);
        let (_, oldest) = registry.add(start);
        let (_, newer) = registry.add(start.after_ms(50));
        assert!(!close(start.after_ms(90), 100));
        assert!(close(start.after_ms(120), 100));
        assert!(oldest.closed.try_recv().is_ok());
        assert!(!close(start.after_ms(120), 100));
        assert!(close(start.after_ms(150), 100));
        assert!(newer.closed.try_recv().is_ok());
        assert!(!close(start.after_ms(9_000), 0));
        assert!(running.closed.try_recv().is_err());
    }
}
