//! Follows the items under one prefix of the store: one full read, then watches.

use std::sync::Arc;
use std::time::Duration;

use futures::future::{Either, select};

use snafu::ensure;

use super::store::{EraChangedSnafu, MovedSnafu, StoreClient, StoreError, StoreItem, StoreReading};
use super::store_endpoint::StoreEndpoint;
use crate::clock;
use crate::prelude::*;
use crate::runtime::{ControlHandle, Snapshot};
use crate::source::Backoff;

/// The revision of a list that never had an entry; zero stands for a list that was never read.
const FIRST_REVISION: u64 = 1;

/// How many watches in a row may time out before all items are read instead: a watch returns every version since
/// its revision, which may be too much for the VM's link, and a range returns the latest only.
const MAX_WATCH_TIMEOUTS: u32 = 2;

/// The wait of a watch that returns only changes already made, in milliseconds.
pub const SHORTEST_WAIT_MS: u64 = 1;

/// How often a VM that does not follow the items checks whether it should.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How often a VM checks whether the connection of its watch may be half-open.
const HALF_OPEN_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The result of a full read, or the changes between two revisions.
pub struct FollowedReading {
    /// The items, or the changes in the order in which they were made.
    pub items: Vec<StoreItem>,
    /// Whether `items` are all items rather than changes.
    pub is_full: bool,
    /// The position that the changes follow; none for a full read.
    pub since: StorePosition,
    /// The position of the last change, which is the same for all VMs that read it.
    pub position: StorePosition,
    /// The store's own position when it answered.
    pub store_position: StorePosition,
    /// When the read began. The items are at least as new as the store's content at that time.
    pub began_at: Moment,
}

impl FollowedReading {
    /// Wraps a full read, or the changes since a revision, of a read that began at `began_at`.
    pub fn new(reading: StoreReading, since: StorePosition, is_full: bool, began_at: Moment) -> Self {
        // Changes under other prefixes advance the store's own position, so VMs compare the position of the
        // last change.
        let era = reading.position.era();
        let revisions = reading.items.iter().map(|item| item.revision);
        let last_change = revisions.max().map(|revision| StorePosition::new(era, revision));
        let since = if is_full { StorePosition::default() } else { since };
        Self {
            position: last_change.unwrap_or(StorePosition::new(era, FIRST_REVISION).max(since)),
            items: reading.items,
            is_full,
            since,
            store_position: reading.position,
            began_at,
        }
    }
}

/// Waits and limits of a watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// The wait of a watch that begins now, in milliseconds. A lost connection is noticed when the wait ends,
    /// unless other signs show it earlier.
    pub wait_ms: fn(&Snapshot) -> u64,
    /// The longest wait of any watch now, in milliseconds; longer ones in progress are ended. `None` if the
    /// wait is not limited.
    pub wait_limit_ms: fn(&Snapshot) -> Option<u64>,
    /// How long to wait after a change before the next watch, in milliseconds, so that one call returns
    /// several changes made in quick succession.
    pub batch_delay_ms: fn(&Snapshot) -> u64,
    /// How long to wait before all items are read in a new era of the store, in milliseconds.
    pub era_delay_ms: fn(&Snapshot) -> u64,
    /// Whether the first watch after a failure ends at once. The store may have come back in a new era, which
    /// only its answers show.
    pub checks_era: bool,
    /// How long to wait after a failed read at least, in milliseconds.
    pub failure_delay_ms: fn(&Snapshot) -> u64,
    /// How long the store may take beyond the wait that a call asks for, in milliseconds. It usually answers
    /// within a few milliseconds, and takes sixty times as long when it is degraded.
    pub answer_limit_ms: u64,
}

/// What a follower reads, when, and how it reports reachability.
pub struct WatchTarget {
    pub prefix: &'static str,
    pub timing: WatchTiming,
    /// Whether this VM should follow the items now.
    pub is_due: fn(&Snapshot) -> bool,
    /// Makes the event that reports to the control thread whether the store could be read.
    pub to_event: fn(bool) -> Event,
}

/// Follows the items under one prefix while this VM is one of the readers.
pub struct StoreFollower {
    endpoint: Arc<StoreEndpoint>,
    client: StoreClient,
    target: WatchTarget,
    control: ControlHandle,
    backoff: Backoff,
    /// The store's position from which the next watch continues; `None` when a full read is due.
    cursor: Option<StorePosition>,
    /// Watches in a row that timed out.
    watch_timeouts: u32,
    /// The position of the last change that was read.
    last_position: StorePosition,
    /// Whether the era may have changed since the last read without a sign of it.
    is_era_unsure: bool,
    /// Whether this VM was a reader at the last check.
    was_due: bool,
    /// The earliest start of the next watch.
    next_watch_at: Moment,
}

impl StoreFollower {
    /// Creates a follower that has read nothing yet.
    pub fn new(endpoint: Arc<StoreEndpoint>, target: WatchTarget, control: ControlHandle) -> Self {
        Self {
            client: StoreClient::new(endpoint.address(), target.timing.answer_limit_ms),
            endpoint,
            target,
            control,
            backoff: Backoff::new(),
            cursor: None,
            watch_timeouts: 0,
            last_position: StorePosition::default(),
            is_era_unsure: false,
            was_due: false,
            next_watch_at: Moment::default(),
        }
    }

    /// Waits for the next reading. A VM that becomes a reader continues from `known`, the position received
    /// from its peers; `None` makes it read all items.
    pub async fn next(&mut self, known: Option<StorePosition>) -> FollowedReading {
        async_std::task::sleep(clock::now().remaining(self.next_watch_at)).await;
        loop {
            if !(self.target.is_due)(&self.control.snapshot()) {
                self.was_due = false;
                async_std::task::sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            }
            if !std::mem::replace(&mut self.was_due, true) {
                self.cursor = known;
                self.last_position = known.unwrap_or_default();
                self.is_era_unsure = true;
            }
            match self.read().await {
                Ok(reading) => {
                    self.backoff.reset();
                    self.watch_timeouts = 0;
                    self.is_era_unsure = false;
                    self.control.send_event((self.target.to_event)(true));
                    if !reading.items.is_empty() && !reading.is_full {
                        let batch_delay_ms = (self.target.timing.batch_delay_ms)(&self.control.snapshot());
                        self.next_watch_at = clock::now().after_ms(batch_delay_ms);
                    }
                    return reading;
                }
                Err(StoreError::HistoryGone) => {
                    spdlog::info!("event=store_history_gone prefix={}", self.target.prefix);
                    self.cursor = None;
                }
                // What was read holds at the new address, too, unless an answer shows another era.
                Err(StoreError::Moved) => {}
                Err(StoreError::EraChanged { era }) => {
                    spdlog::info!(
                        "event=store_read_again prefix={} era={era} read_to={}",
                        self.target.prefix,
                        self.last_position
                    );
                    self.cursor = None;
                    let delay_ms = (self.target.timing.era_delay_ms)(&self.control.snapshot());
                    async_std::task::sleep(Duration::from_millis(delay_ms)).await;
                }
                Err(error) => {
                    spdlog::info!(
                        "event=store_read_failed prefix={} reason=\"{error}\"",
                        self.target.prefix
                    );
                    if matches!(error, StoreError::TimedOut) {
                        self.endpoint.record_silence(clock::now());
                    }
                    self.reconsider_cursor(&error);
                    self.is_era_unsure = true;
                    self.control.send_event((self.target.to_event)(false));
                    let failure_delay_ms = (self.target.timing.failure_delay_ms)(&self.control.snapshot());
                    async_std::task::sleep(Duration::from_millis(failure_delay_ms)).await;
                    self.backoff.pause().await;
                }
            }
        }
    }

    /// Makes the next read a full one if a watch from the cursor would probably fail again.
    fn reconsider_cursor(&mut self, error: &StoreError) {
        self.watch_timeouts = match error {
            StoreError::TimedOut if self.cursor.is_some() => self.watch_timeouts + 1,
            _ => 0,
        };
        if error.is_too_large() || self.watch_timeouts >= MAX_WATCH_TIMEOUTS {
            self.cursor = None;
        }
    }

    async fn read(&mut self) -> Result<FollowedReading, StoreError> {
        self.client.move_to(self.endpoint.address());
        self.client.expect_era(self.control.snapshot().store_era);
        let since = self.last_position;
        let (reading, is_full, began_at) = match self.cursor {
            None => {
                let began_at = clock::now();
                (self.client.read_range(self.target.prefix).await?, true, began_at)
            }
            Some(cursor) => {
                let (reading, began_at) = self.watch(cursor).await?;
                (reading, false, began_at)
            }
        };
        self.cursor = Some(reading.position);
        let reading = FollowedReading::new(reading, since, is_full, began_at);
        self.last_position = reading.position.max(since);
        Ok(reading)
    }

    /// Watches, and starts over on a new connection when the one in use may be half-open, or when the watch has
    /// to end earlier than it was told. Also returns when the watch that was answered began.
    async fn watch(&mut self, cursor: StorePosition) -> Result<(StoreReading, Moment), StoreError> {
        let timing = self.target.timing;
        let usual_ms = if self.is_era_unsure && timing.checks_era {
            SHORTEST_WAIT_MS
        } else {
            (timing.wait_ms)(&self.control.snapshot())
        };
        loop {
            let era = self.control.snapshot().store_era;
            ensure!(era <= cursor.era(), EraChangedSnafu { era });
            let address = self.endpoint.address();
            ensure!(address == self.client.address(), MovedSnafu);
            let limit_ms = (timing.wait_limit_ms)(&self.control.snapshot());
            let wait_ms = limit_ms.map_or(usual_ms, |limit_ms| usual_ms.min(limit_ms));
            let began_at = clock::now();
            let watching = std::pin::pin!(self.client.watch(self.target.prefix, cursor, wait_ms));
            // A limited watch ends soon enough by itself. If another limit ended it, a slow store would never
            // answer in time.
            let ends_by_limit = limit_ms.is_none();
            let obsolete = std::pin::pin!(wait_until_obsolete(
                &self.control,
                timing,
                began_at,
                ends_by_limit,
                || self.endpoint.address() != address || self.endpoint.is_silent_since(began_at),
                cursor.era(),
            ));
            match select(watching, obsolete).await {
                Either::Left((watched, _)) => return Ok((watched?, began_at)),
                // Dropping the pending watch closes its connection.
                Either::Right(((), _)) => {}
            }
        }
    }
}

/// Returns once the connection of a watch that began at `began_at` may be half-open, the store is in a later era or
/// `is_unreachable` by it, or, with `ends_by_limit`, once watches are limited.
async fn wait_until_obsolete(
    control: &ControlHandle,
    timing: WatchTiming,
    began_at: Moment,
    ends_by_limit: bool,
    is_unreachable: impl Fn() -> bool,
    era: StoreEra,
) {
    let is_other_era = || control.snapshot().store_era > era;
    let is_limited = || ends_by_limit && (timing.wait_limit_ms)(&control.snapshot()).is_some();
    while !control.may_be_half_open_since(began_at) && !is_unreachable() && !is_other_era() && !is_limited() {
        async_std::task::sleep(HALF_OPEN_CHECK_INTERVAL).await;
    }
}
