//! Callers' open connections and when each last made progress. Where connections or memory run out, the one that
//! has made no progress for longest is closed, so that others get in.
//!
//! A connection is either taken for closing or goes on to serve a request. Both are decided under the lock of its
//! progress, since its task and the closer run on different threads.

use std::fmt::Debug;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpStream;

use crate::clock;
use crate::prelude::*;
use crate::runtime::lock;
use crate::transport::has_input;

/// How long a caller must have taken no byte of its answer before its connection may be closed, in milliseconds:
/// several retransmissions.
const STALLED_MS: u64 = 1_000;

/// Waiting connections that are passed over because their next request has arrived, before one is taken all the
/// same.
const MAX_PASSED_OVER: usize = 8;

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerPhase {
    /// The caller's next request.
    Waiting,
    /// The rest of a head or a body.
    Reading,
    /// The answer of a replica, or more of it. Such a connection is not closed early: its request may be running.
    Running,
    /// The caller, to read what was written of the answer.
    Answering,
}

/// Why a connection is closed in favor of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Another connection is to be admitted.
    Admission,
    /// Memory is short.
    MemoryPressure,
}

impl CloseReason {
    /// Returns how long a connection must have made no progress in a phase to be closed for this reason, in
    /// milliseconds; `None` if it must not be closed.
    fn min_idle_ms(self, phase: CallerPhase) -> Option<u64> {
        match (self, phase) {
            (_, CallerPhase::Running) | (Self::MemoryPressure, CallerPhase::Waiting) => None,
            (Self::Admission, CallerPhase::Waiting | CallerPhase::Reading) => Some(0),
            // A request may have run whose answer is being written.
            (_, CallerPhase::Answering) | (Self::MemoryPressure, CallerPhase::Reading) => Some(STALLED_MS),
        }
    }
}

/// Tells whether a connection has received bytes that were not read yet.
pub trait InputProbe: Debug + Send + Sync {
    /// Whether there are such bytes.
    fn has_input(&self) -> bool;
}

impl InputProbe for TcpStream {
    fn has_input(&self) -> bool {
        has_input(self)
    }
}

#[derive(Clone, Copy, Debug)]
struct CallerProgress {
    phase: CallerPhase,
    progressed_at: Moment,
    is_closing: bool,
}

impl CallerProgress {
    /// Returns since when the connection has made no progress; `None` if it must not be closed.
    fn idle_since(&self, reason: CloseReason, now: Moment) -> Option<Moment> {
        let min_idle_ms = reason.min_idle_ms(self.phase)?;
        let is_candidate = !self.is_closing && self.progressed_at.until_ms(now) >= min_idle_ms;
        is_candidate.then_some(self.progressed_at)
    }
}

/// One caller's open connection.
#[derive(Debug)]
pub struct CallerConnection {
    progress: Mutex<CallerProgress>,
    close: Sender<()>,
    closed: Receiver<()>,
    probe: Box<dyn InputProbe>,
}

impl CallerConnection {
    fn new(now: Moment, probe: Box<dyn InputProbe>) -> Self {
        let (close, closed) = bounded(1);
        Self {
            progress: Mutex::new(CallerProgress {
                phase: CallerPhase::Waiting,
                progressed_at: now,
                is_closing: false,
            }),
            close,
            closed,
            probe,
        }
    }

    fn lock(&self) -> MutexGuard<'_, CallerProgress> {
        lock(&self.progress)
    }

    /// Records that the connection begins to wait for something else. Returns false if it has been taken for
    /// closing: nothing more may be read from it, and what was read must not be passed on.
    #[must_use]
    pub fn enter(&self, phase: CallerPhase) -> bool {
        let mut progress = self.lock();
        if progress.is_closing {
            if progress.phase != CallerPhase::Answering {
                return false;
            }
            // The caller reads on, so its answer is not cut.
            progress.is_closing = false;
            let _ = self.closed.try_recv();
        }
        progress.phase = phase;
        progress.progressed_at = clock::now();
        true
    }

    /// Records that bytes were read or written.
    pub fn record_progress(&self) {
        self.lock().progressed_at = clock::now();
    }

    /// What the connection is waiting for.
    pub fn phase(&self) -> CallerPhase {
        self.lock().phase
    }

    /// Whether bytes have arrived that were not read yet.
    pub fn has_input(&self) -> bool {
        self.probe.has_input()
    }

    /// Completes when the connection has been taken for closing.
    pub async fn wait_for_close(&self) {
        // The sender lives as long as this connection, so receiving can't fail.
        let _ = self.closed.recv().await;
    }

    /// Returns since when the connection has made no progress; `None` if it must not be closed.
    fn idle_since(&self, reason: CloseReason, now: Moment) -> Option<Moment> {
        self.lock().idle_since(reason, now)
    }

    /// Takes the connection for closing. Returns false if it has made progress meanwhile.
    fn try_close(&self, reason: CloseReason, now: Moment) -> bool {
        let mut progress = self.lock();
        let is_taken = progress.idle_since(reason, now).is_some();
        if is_taken {
            progress.is_closing = true;
            // The channel holds one order, and no second one is sent.
            let _ = self.close.try_send(());
        }
        is_taken
    }

    /// Whether the connection waits for a request that has arrived.
    fn is_asked(&self) -> bool {
        self.phase() == CallerPhase::Waiting && self.has_input()
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
    pub fn add(&self, now: Moment, probe: Box<dyn InputProbe>) -> (u64, Arc<CallerConnection>) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(CallerConnection::new(now, probe));
        lock(&self.connections).insert(number, connection.clone());
        (number, connection)
    }

    /// Removes a connection that is closed.
    pub fn remove(&self, number: u64) {
        lock(&self.connections).remove(&number);
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        lock(&self.connections).len()
    }

    /// Takes for closing the connection that has made no progress for longest, of those that may be closed for this
    /// reason. Returns false if there is none.
    pub fn close_longest_idle(&self, now: Moment, reason: CloseReason) -> bool {
        let connections = lock(&self.connections);
        let mut excluded: Vec<u64> = Vec::new();
        loop {
            let candidates = connections
                .iter()
                .filter(|(number, _)| !excluded.contains(number))
                .filter_map(|(number, connection)| {
                    Some((connection.idle_since(reason, now)?, *number, connection))
                });
            let longest = candidates.min_by_key(|(idle_since, number, _)| (*idle_since, *number));
            let Some((_, number, connection)) = longest else {
                return false;
            };
            let is_passed_over = excluded.len() < MAX_PASSED_OVER && connection.is_asked();
            if !is_passed_over && connection.try_close(reason, now) {
                return true;
            }
            excluded.push(number);
        }
    }
}
