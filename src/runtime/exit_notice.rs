//! Tells tasks that wait when the process will exit, once it was ordered to leave.

use std::sync::Mutex;
use std::time::Duration;

use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::Shared;

use super::lock;
use crate::blackboard::DrainFacts;
use crate::clock;
use crate::prelude::*;

/// How long after the exit was due requests that may be running are waited for, in milliseconds; the process then
/// still has time to write their answers.
pub const LAST_RUN_MS: u64 = 300;

/// Longest single wait for the exit. The timer does not advance while the process is suspended, the clock does.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Announces the exit of the process to any number of tasks.
pub struct ExitNotice {
    sender: Mutex<Option<oneshot::Sender<DrainFacts>>>,
    announced: Shared<oneshot::Receiver<DrainFacts>>,
}

impl ExitNotice {
    /// Creates a notice of which nothing was announced yet.
    pub fn new() -> Self {
        let (sender, receiver) = oneshot::channel();
        Self {
            sender: Mutex::new(Some(sender)),
            announced: receiver.shared(),
        }
    }

    /// Announces the times of the drain; later calls change nothing.
    pub fn announce(&self, drain: DrainFacts) {
        if let Some(sender) = lock(&self.sender).take() {
            // The receiver lives as long as `self`, so sending can't fail.
            let _ = sender.send(drain);
        }
    }

    /// Waits until the process was ordered to leave and returns the times of its drain.
    pub async fn announced(&self) -> DrainFacts {
        match self.announced.clone().await {
            Ok(drain) => drain,
            Err(oneshot::Canceled) => std::future::pending().await,
        }
    }
}

impl Default for ExitNotice {
    fn default() -> Self {
        Self::new()
    }
}

/// Waits until a time, also if the process is suspended meanwhile.
pub async fn wait_until(at: Moment) {
    while !clock::now().reached(at) {
        async_std::task::sleep(clock::now().remaining(at).min(EXIT_POLL_INTERVAL)).await;
    }
}
