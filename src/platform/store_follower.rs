//! Follows the items under one prefix of the store: reads all of them once, then watches.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::{Either, select};
use rand::Rng;

use super::store::{StoreClient, StoreError, StoreItem, StoreReading};
use crate::clock;
use crate::prelude::*;
use crate::runtime::{ControlHandle, Snapshot};
use crate::source::Backoff;

/// The state of a list that has never had an entry, so that it is told from one that was never read.
const FIRST_REVISION: u64 = 1;

/// How often a VM that does not read looks whether it should.
const ROLE_EVERY: Duration = Duration::from_millis(200);

/// How often a VM looks whether the connection of its watch may have gone silent.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// All items, or the changes between two revisions.
pub struct FollowedReading {
    pub items: Vec<StoreItem>,
    pub is_whole: bool,
    /// The revision that the changes follow; zero for a full read.
    pub since: u64,
    /// The revision of the last change, which is the same for all that read it.
    pub revision: u64,
    /// The store's own revision as it answered.
    pub store_revision: u64,
}

impl FollowedReading {
    /// A full read, or the changes since a revision.
    pub fn new(reading: StoreReading, since: u64, is_whole: bool) -> Self {
        // The store's own state moves on with items of other prefixes too; that of the last change is the same for all.
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

/// How long the calls of a watch take.
#[derive(Clone, Copy, Debug)]
pub struct WatchPace {
    /// The shortest and the longest wait, in milliseconds. A watch that was silently lost shows at its end, or by other signs.
    pub wait_range_ms: fn(&Snapshot) -> (u64, u64),
    /// How long to wait after changes before the next watch, in milliseconds, so that one call brings the changes that follow
    /// closely.
    pub gather_ms: fn(&Snapshot) -> u64,
    /// How long the store may take beyond the wait that a call asks for, in milliseconds: it answers in some milliseconds,
    /// and sixty times slower when it is troubled.
    pub answer_limit_ms: u64,
}

/// What is followed.
pub struct WatchSubject {
    pub prefix: &'static str,
    pub pace: WatchPace,
    /// Whether this VM is to follow it now.
    pub is_due: fn(&Snapshot) -> bool,
    /// What the control thread is told of whether it can be read.
    pub to_event: fn(bool) -> Event,
}

/// Follows the items under one prefix, for as long as this VM is one of those that read.
pub struct StoreFollower {
    client: StoreClient,
    subject: WatchSubject,
    control: ControlHandle,
    backoff: Backoff,
    /// The state from which to watch on; `None` while all has to be read anew.
    cursor: Option<u64>,
    /// The state of the last change that was read.
    content: u64,
    /// Whether this VM was one of those that read when it last looked.
    is_reading: bool,
    /// When the next watch may begin.
    gather_until: Moment,
}

impl StoreFollower {
    /// A follower that has read nothing yet.
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

    /// Waits for the next reading. A VM that begins to read goes on from the state that its peers told, if that is known.
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
                    self.control.send_event((self.subject.to_event)(true));
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
                    self.control.send_event((self.subject.to_event)(false));
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

    /// Watches, over a new connection where the one in use may have gone silent.
    async fn watch(&mut self, cursor: u64) -> Result<StoreReading, StoreError> {
        let (shortest_ms, longest_ms) = (self.subject.pace.wait_range_ms)(&self.control.snapshot());
        let wait_ms = rand::rng().random_range(shortest_ms..=longest_ms);
        loop {
            let began_at = clock::now();
            let watching = std::pin::pin!(self.client.watch(self.subject.prefix, cursor, wait_ms));
            let doubting = std::pin::pin!(wait_for_doubt(&self.control, began_at));
            match select(watching, doubting).await {
                Either::Left((watched, _)) => return watched,
                // What is dropped here takes its connection with it.
                Either::Right(((), _)) => {}
            }
        }
    }
}

/// Ends once a connection that was open at a moment may have gone silent since.
async fn wait_for_doubt(control: &ControlHandle, opened_at: Moment) {
    while !control.may_be_half_open_since(opened_at) {
        async_std::task::sleep(LOOK_EVERY).await;
    }
}
