//! One long poll for the register and one for the VM list; after a failure, jittered and ever longer pauses.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use rand::Rng;
use snafu::Snafu;

use super::{PublishedRegister, PublishedVms};
use crate::controllers::RegisterSource;
use crate::prelude::*;
use crate::runtime::ControlHandle;

/// The first pause after a failed read, in milliseconds.
const FIRST_PAUSE_MS: u64 = 100;

/// The longest pause between failed reads, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 2_000;

/// The shortest time between two reads, in milliseconds.
const READ_GAP_MS: u64 = 20;

/// Why a watch brought nothing.
#[derive(Debug, Snafu)]
pub enum WatchError {
    /// The service can't be reached or answered with an error.
    #[snafu(display("the service can't be reached"))]
    Unreachable,
    /// The service's answer can't be read.
    #[snafu(display("the service's answer can't be read"))]
    Malformed,
}

/// Where the register and the VM list are published.
pub trait PlatformSource: Send + Sync {
    /// The register, once its revision is above the given one; `None` when the wait ended first.
    fn register_after(&self, revision: u64) -> BoxFuture<'_, Result<Option<PublishedRegister>, WatchError>>;

    /// The VM list, once its version is above the given one; `None` when the wait ended first.
    fn vms_after(&self, version: u64) -> BoxFuture<'_, Result<Option<PublishedVms>, WatchError>>;
}

/// Pauses that double up to a bound, each drawn at random between half and whole.
pub struct Backoff {
    pause_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new()
    }
}

impl Backoff {
    /// Begins with the shortest pause.
    pub fn new() -> Self {
        Self {
            pause_ms: FIRST_PAUSE_MS,
        }
    }

    /// Begins again with the shortest pause.
    pub fn reset(&mut self) {
        self.pause_ms = FIRST_PAUSE_MS;
    }

    /// Pauses.
    pub async fn pause(&mut self) {
        let pause_ms = rand::rng().random_range(self.pause_ms / 2..=self.pause_ms);
        self.pause_ms = (self.pause_ms * 2).min(LONGEST_PAUSE_MS);
        async_std::task::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Watches the register for as long as the process lives.
pub async fn watch_register(platform: Arc<dyn PlatformSource>, control: ControlHandle) {
    let mut backoff = Backoff::new();
    let mut seen = 0;
    loop {
        // What peers passed on counts as seen, so that the service is not asked for what is known.
        let known = control.snapshot().revision.max(seen);
        match platform.register_after(known).await {
            Ok(Some(published)) if published.revision > known => {
                backoff.reset();
                seen = published.revision;
                control.send_event(Event::RegisterOffered {
                    stamp: RegisterStamp::from_revision(published.revision),
                    text: published.shared_text(),
                    source: RegisterSource::Service,
                });
                async_std::task::sleep(Duration::from_millis(READ_GAP_MS)).await;
            }
            Ok(None) => {
                backoff.reset();
                control.send_event(Event::RegisterConfirmed { revision: known });
                async_std::task::sleep(Duration::from_millis(READ_GAP_MS)).await;
            }
            // An older revision than the known one: the service is stale, and is asked no more often than in an outage.
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
                async_std::task::sleep(Duration::from_millis(READ_GAP_MS)).await;
            }
            Ok(None) => {
                backoff.reset();
                async_std::task::sleep(Duration::from_millis(READ_GAP_MS)).await;
            }
            Ok(Some(_)) => backoff.pause().await,
            Err(error) => {
                spdlog::debug!("event=vms_watch_failed reason=\"{error}\"");
                backoff.pause().await;
            }
        }
    }
}
