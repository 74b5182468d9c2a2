//! Follows the items under one prefix of the store: one full read, then watches.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::{Either, select};
use rand::Rng;

use super::store::{StoreClient, StoreError, StoreItem, StoreReading};
use crate::clock;
use crate::prelude::*;
use crate::runtime::{ControlHandle, Snapshot};
use crate::source::Backoff;

/// The revision of a list that never had an entry; zero stands for a list that was never read.
const FIRST_REVISION: u64 = 1;

/// How often a VM that does not follow the items checks whether it should.
const ROLE_EVERY: Duration = Duration::from_millis(200);

/// How often a VM checks whether the connection of its watch may be half-open.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// The result of a full read, or the changes between two revisions.
pub struct FollowedReading {
    pub items: Vec<StoreItem>,
    pub is_whole: bool,
    /// The revision that the changes follow; zero for a full read.
    pub since: u64,
    /// The revision of the last change, which is the same for all VMs that read it.
    pub revision: u64,
    /// The store's own revision when it answered.
    pub store_revision: u64,
}

impl FollowedReading {
    /// Wraps a full read, or the changes since a revision.
    pub fn new(reading: StoreReading, since: u64, is_whole: bool) -> Self {
        // Changes under other prefixes advance the store's own revision, so VMs compare the revision of the
        // last change.
        let last_change = reading.items.iter().map(|item| item.revision).max();
        Self {
            revision: last_change.unwrap_or(FIRST_REVISION.max(since)),
            items: reading.items,
            is_whole,
            since: if is_whole { 0 } else { since },
            store_revision: reading.revision,
        }
    }
}

/// Waits and limits of a watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchPace {
    /// The shortest and the longest wait of one watch, in milliseconds. A lost connection is noticed when the
    /// wait ends, unless other signs show it earlier.
    pub wait_range_ms: fn(&Snapshot) -> (u64, u64),
    /// How long to wait after a change before the next watch, in milliseconds, so that one call returns
    /// several changes made in quick succession.
    pub gather_ms: fn(&Snapshot) -> u64,
    /// How long the store may take beyond the wait that a call asks for, in milliseconds. It usually answers
    /// within a few milliseconds, and takes sixty times as long when it is degraded.
    pub answer_limit_ms: u64,
}

/// What a follower reads, when, and how it reports reachability.
pub struct WatchSubject {
    pub prefix: &'static str,
    pub pace: WatchPace,
    /// Whether this VM should follow the items now.
    pub is_due: fn(&Snapshot) -> bool,
    /// Makes the event that reports to the control thread whether the store could be read.
    pub to_event: fn(bool) -> Event,
}

/// Follows the items under one prefix while this VM is one of the readers.
pub struct StoreFollower {
    client: StoreClient,
    subject: WatchSubject,
    control: ControlHandle,
    backoff: Backoff,
    /// The store's revision from which the next watch continues; `None` when a full read is due.
    cursor: Option<u64>,
    /// The revision of the last change that was read.
    content: u64,
    /// Whether this VM was a reader at the last check.
    is_reading: bool,
    /// The earliest start of the next watch.
    gather_until: Moment,
}

impl StoreFollower {
    /// Creates a follower that has read nothing yet.
    pub fn new(address: SocketAddr, subject: WatchSubject, control: ControlHandle) -> Self {
        Self {
            client: StoreClient::new(address, subject.pace.answer_limit_ms),
            subject,
            control,
            backoff: Backoff::new(),
            cursor: None,
            content: 0,
            is_reading: false,
            gather_until: Moment::default(),
        }
    }

    /// Waits for the next reading. A VM that becomes a reader continues from `known`, the revision received
    /// from its peers; `None` makes it read all items.
    pub async fn next(&mut self, known: Option<u64>) -> FollowedReading {
        async_std::task::sleep(clock::now().remaining(self.gather_until)).await;
        loop {
            if !(self.subject.is_due)(&self.control.snapshot()) {
                self.is_reading = false;
                async_std::task::sleep(ROLE_EVERY).await;
                continue;
            }
            if !std::mem::replace(&mut self.is_reading, true) {
                self.cursor = known;
                self.content = known.unwrap_or_default();
            }
            match self.read().await {
                Ok(reading) => {
                    self.backoff.reset();
                    self.control.tell((self.subject.to_event)(true));
                    if !reading.items.is_empty() && !reading.is_whole {
                        let gather_ms = (self.subject.pace.gather_ms)(&self.control.snapshot());
                        self.gather_until = clock::now().after_ms(gather_ms);
                    }
                    return reading;
                }
                Err(StoreError::HistoryGone) => {
                    spdlog::info!("event=store_history_gone prefix={}", self.subject.prefix);
                    self.cursor = None;
                }
                Err(error) => {
                    spdlog::info!(
                        "event=store_read_failed prefix={} reason=\"{error}\"",
                        self.subject.prefix
                    );
                    self.control.tell((self.subject.to_event)(false));
                    self.backoff.pause().await;
                }
            }
        }
    }

    async fn read(&mut self) -> Result<FollowedReading, StoreError> {
        let since = self.content;
        let (reading, is_whole) = match self.cursor {
            None => (self.client.read_range(self.subject.prefix).await?, true),
            Some(cursor) => (self.watch(cursor).await?, false),
        };
        self.cursor = Some(reading.revision);
        let reading = FollowedReading::new(reading, since, is_whole);
        self.content = reading.revision.max(since);
        Ok(reading)
    }

    /// Watches, and starts over on a new connection when the one in use may be half-open.
    async fn watch(&mut self, cursor: u64) -> Result<StoreReading, StoreError> {
        let (shortest_ms, longest_ms) = (self.subject.pace.wait_range_ms)(&self.control.snapshot());
        let wait_ms = rand::rng().random_range(shortest_ms..=longest_ms);
        loop {
            let began_at = clock::now();
            let watching = std::pin::pin!(self.client.watch(self.subject.prefix, cursor, wait_ms));
            let doubting = std::pin::pin!(wait_for_doubt(&self.control, began_at));
            match select(watching, doubting).await {
                Either::Left((watched, _)) => return watched,
                // Dropping the pending watch closes its connection.
                Either::Right(((), _)) => {}
            }
        }
    }
}

/// Returns once a connection that was opened by `opened_at` may be half-open.
async fn wait_for_doubt(control: &ControlHandle, opened_at: Moment) {
    while !control.may_be_silent_since(opened_at) {
        async_std::task::sleep(LOOK_EVERY).await;
    }
}
