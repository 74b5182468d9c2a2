//! Reads the list of replicas from the store and sends its changes to the control thread.
//!
//! A few VMs read the list and pass changes on to all others; the others check it only when a change did not
//! reach them.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::replica_entry::{REPLICA_PREFIX, parse_replica};
use super::store::{StoreClient, StoreError, StoreItem};
use super::store_endpoint::StoreEndpoint;
use super::store_follower::{FollowedReading, SHORTEST_WAIT_MS, StoreFollower, WatchTarget, WatchTiming};
use crate::blackboard::ReplicaRecord;
use crate::clock;
use crate::controllers::discovery::ReplicaUpdate;
use crate::controllers::readers::is_list_behind;
use crate::event_log::{to_quoted_value, to_unquoted_value};
use crate::prelude::*;
use crate::runtime::ControlHandle;

/// The shortest and the longest wait of a watch of the list, in milliseconds.
const LIST_WAIT_MS: RangeInclusive<u64> = 3_000..=4_500;

/// How long to wait after a change of the list before the next watch, in milliseconds.
const LIST_BATCH_DELAY_MS: u64 = 250;

/// How the list of replicas is watched.
const LIST_TIMING: WatchTiming = WatchTiming {
    wait_ms: |_| rand::rng().random_range(LIST_WAIT_MS),
    wait_limit_ms: |_| None,
    batch_delay_ms: |_| LIST_BATCH_DELAY_MS,
    era_delay_ms: |_| 0,
    checks_era: true,
    failure_delay_ms: |_| 0,
    answer_limit_ms: 1_500,
};

/// The usual time for a change of the list to propagate from the readers to all other VMs.
const UPDATE_PROPAGATION_TIME: Duration = Duration::from_millis(100);

/// Reads changes of the list of replicas that no peer passed on in time.
pub struct ListCheck {
    endpoint: Arc<StoreEndpoint>,
    client: StoreClient,
    control: ControlHandle,
    /// The store's position up to which this check has read the list.
    checked_position: StorePosition,
}

impl ListCheck {
    /// Creates a check that has read nothing yet.
    pub fn new(endpoint: Arc<StoreEndpoint>, control: ControlHandle) -> Self {
        Self {
            client: StoreClient::new(endpoint.address(), LIST_TIMING.answer_limit_ms),
            endpoint,
            control,
            checked_position: StorePosition::default(),
        }
    }

    /// Whether the store is ahead of the list and the configuration known here, so that a change may have
    /// been missed.
    fn is_due(&self, store_position: StorePosition) -> bool {
        let snapshot = self.control.snapshot();
        let is_behind = is_list_behind(snapshot.list_position, snapshot.config_written, store_position);
        is_behind && !snapshot.reads_store && store_position > self.checked_position
    }

    /// Waits for peers to pass the change on, and reads the list if the store is still ahead.
    pub async fn run(&mut self, store_position: StorePosition) {
        if !self.is_due(store_position) {
            return;
        }
        async_std::task::sleep(UPDATE_PROPAGATION_TIME).await;
        if !self.is_due(store_position) {
            return;
        }
        let known = self.control.snapshot().list_position;
        match self.read(known).await {
            Ok(reading) => {
                self.checked_position = reading.store_position;
                spdlog::info!(
                    "event=list_checked list_revision={known} store_revision={store_position} changes={}",
                    reading.items.len()
                );
                send_update(&reading, &self.control);
            }
            Err(error) => spdlog::info!("event=store_read_failed prefix={REPLICA_PREFIX} reason=\"{error}\""),
        }
    }

    async fn read(&mut self, known: StorePosition) -> Result<FollowedReading, StoreError> {
        let began_at = clock::now();
        self.client.move_to(self.endpoint.address());
        let (reading, is_full) = match self.client.watch(REPLICA_PREFIX, known, SHORTEST_WAIT_MS).await {
            Err(StoreError::HistoryGone) => (self.client.read_range(REPLICA_PREFIX).await?, true),
            watched => (watched?, false),
        };
        Ok(FollowedReading::new(reading, known, is_full, began_at))
    }
}

/// Follows the replicas for as long as the process lives.
pub async fn watch_replicas(endpoint: Arc<StoreEndpoint>, control: ControlHandle) {
    let target = WatchTarget {
        prefix: REPLICA_PREFIX,
        timing: LIST_TIMING,
        is_due: |snapshot| snapshot.reads_store,
        to_event: |is_reachable| Event::ListReachable { is_reachable },
    };
    let mut follower = StoreFollower::new(endpoint, target, control.clone());
    loop {
        // A position received from peers is as reliable as one read from the store.
        let known = control.snapshot().list_position;
        let reading = follower.next(known.is_known().then_some(known)).await;
        send_update(&reading, &control);
    }
}

fn send_update(reading: &FollowedReading, control: &ControlHandle) {
    if reading.is_full || !reading.items.is_empty() {
        control.send_event(Event::ReplicasRead {
            update: to_update(reading),
            store_position: reading.store_position,
        });
    }
}

fn to_update(reading: &FollowedReading) -> ReplicaUpdate {
    let mut latest: FastMap<&str, &StoreItem> = FastMap::default();
    for item in &reading.items {
        latest.insert(&item.key, item);
    }
    let mut update = ReplicaUpdate {
        position: reading.position,
        since: reading.since,
        is_whole: reading.is_full,
        is_difference: false,
        present: Vec::new(),
        removed: Vec::new(),
    };
    for (key, item) in latest {
        let id = key.strip_prefix(REPLICA_PREFIX).unwrap_or(key);
        let record = item.value.as_deref().and_then(|value| read_entry(id, value));
        match record {
            Some(record) => update.present.push(record),
            // An unreadable entry counts as removed.
            None => update.removed.push(id.into()),
        }
    }
    update
}

fn read_entry(id: &str, value: &[u8]) -> Option<ReplicaRecord> {
    match parse_replica(id, value, clock::epoch_ms(), clock::now()) {
        Ok(record) => Some(record),
        Err(error) => {
            spdlog::warn!(
                "event=replica_entry_unreadable replica={} bytes={} reason=\"{}\"",
                to_unquoted_value(id),
                value.len(),
                to_quoted_value(&error.to_string())
            );
            None
        }
    }
}
