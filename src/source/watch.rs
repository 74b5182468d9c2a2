//! Long polls of the register and of the VM list, with jittered exponential backoff after failures.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use rand::Rng;
use snafu::Snafu;

use super::{PublishedRegister, PublishedVms};
use crate::controllers::RegisterSource;
use crate::prelude::*;
use crate::runtime::ControlHandle;

/// The upper bound of the first pause after a failed read, in milliseconds.
const FIRST_PAUSE_MS: u64 = 100;

/// The upper bound of any pause after a failed read, in milliseconds.
const MAX_PAUSE_MS: u64 = 2_000;

/// The shortest time between two reads, in milliseconds.
const MIN_READ_INTERVAL_MS: u64 = 20;

/// Why a long poll failed.
#[derive(Debug, Snafu)]
pub enum WatchError {
    /// The service can't be reached, or answered with an error status.
    #[snafu(display("the service can't be reached"))]
    Unreachable,
    /// The request's URL or the service's response can't be parsed.
    #[snafu(display("the service's answer can't be read"))]
    Malformed,
}

/// A service that publishes the register and the VM list.
pub trait PlatformSource: Send + Sync {
    /// Waits for a register with a higher revision than the given one; `None` when the poll timed out.
    fn register_after(&self, revision: u64) -> BoxFuture<'_, Result<Option<PublishedRegister>, WatchError>>;

    /// Waits for a VM list with a higher version than the given one; `None` when the poll timed out.
    fn vms_after(&self, version: u64) -> BoxFuture<'_, Result<Option<PublishedVms>, WatchError>>;
}

/// Exponential backoff up to a bound, with each pause drawn at random between half and all of the current
/// step.
pub struct Backoff {
    pause_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new()
    }
}

impl Backoff {
    /// Creates a backoff that starts with the shortest pause.
    pub fn new() -> Self {
        Self {
            pause_ms: FIRST_PAUSE_MS,
        }
    }

    /// Starts over with the shortest pause, after a success.
    pub fn reset(&mut self) {
        self.pause_ms = FIRST_PAUSE_MS;
    }

    /// Sleeps for the current pause, and doubles the next one.
    pub async fn pause(&mut self) {
        let pause_ms = rand::rng().random_range(self.pause_ms / 2..=self.pause_ms);
        self.pause_ms = (self.pause_ms * 2).min(MAX_PAUSE_MS);
        async_std::task::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Watches the register for as long as the process lives.
pub async fn watch_register(platform: Arc<dyn PlatformSource>, control: ControlHandle) {
    let mut backoff = Backoff::new();
    let mut seen = 0;
    loop {
        // A revision received from peers counts as seen, so that the service is only asked for later ones.
        let known = control.snapshot().revision.max(seen);
        match platform.register_after(known).await {
            Ok(Some(published)) if published.revision > known => {
                backoff.reset();
                seen = published.revision;
                control.send_event(Event::RegisterOffered {
                    stamp: RegisterStamp::from_revision(published.revision),
                    text: published.shared_text().into(),
                    source: RegisterSource::Service,
                });
                async_std::task::sleep(Duration::from_millis(MIN_READ_INTERVAL_MS)).await;
            }
            Ok(None) => {
                backoff.reset();
                control.send_event(Event::RegisterConfirmed { revision: known });
                async_std::task::sleep(Duration::from_millis(MIN_READ_INTERVAL_MS)).await;
            }
            // The service is stale: it returned a revision that is not newer. Back off as in an outage.
            Ok(Some(_)) => backoff.pause().await,
            Err(error) => {
                spdlog::debug!("event=register_watch_failed reason=\"{error}\"");
                backoff.pause().await;
            }
        }
    }
}

/// Watches the VM list for as long as the process lives.
pub async fn watch_vms(platform: Arc<dyn PlatformSource>, control: ControlHandle) {
    let mut backoff = Backoff::new();
    let mut seen = 0;
    loop {
        match platform.vms_after(seen).await {
            Ok(Some(published)) if published.version > seen => {
                backoff.reset();
                seen = published.version;
                let vms = published.vms.into_iter().map(VmRecord::from).collect();
                control.send_event(Event::VmsListed { vms });
                async_std::task::sleep(Duration::from_millis(MIN_READ_INTERVAL_MS)).await;
            }
            Ok(None) => {
                backoff.reset();
                async_std::task::sleep(Duration::from_millis(MIN_READ_INTERVAL_MS)).await;
            }
            Ok(Some(_)) => backoff.pause().await,
            Err(error) => {
                spdlog::debug!("event=vms_watch_failed reason=\"{error}\"");
                backoff.pause().await;
            }
        }
    }
}
