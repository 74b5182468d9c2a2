//! What a request may have caused so far, which decides what its caller can be told when the process exits.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// Whether a request may have run, and whether its answer has begun.
#[derive(Debug, Default)]
pub struct RunExposure {
    /// Sends that may have run the request, including those in progress.
    sends: AtomicU32,
    is_answering: AtomicBool,
}

impl RunExposure {
    /// Counts a send, which may run the request until it is shown that it did not.
    pub fn begin_send(&self) -> SendExposure<'_> {
        self.sends.fetch_add(1, Ordering::Relaxed);
        SendExposure { exposure: self }
    }

    /// Whether the request may have run or is running.
    pub fn may_have_run(&self) -> bool {
        self.sends.load(Ordering::Relaxed) > 0
    }

    /// Records that the caller is about to be sent the first byte of an answer.
    pub fn begin_answer(&self) {
        self.is_answering.store(true, Ordering::Relaxed);
    }

    /// Whether the caller was sent a part of an answer.
    pub fn is_answering(&self) -> bool {
        self.is_answering.load(Ordering::Relaxed)
    }
}

/// One send of a request; counts as a run unless it is withdrawn.
#[derive(Debug)]
pub struct SendExposure<'a> {
    exposure: &'a RunExposure,
}

impl SendExposure<'_> {
    /// Records that this send has not run the request and never will.
    pub fn withdraw(self) {
        self.exposure.sends.fetch_sub(1, Ordering::Relaxed);
    }
}
