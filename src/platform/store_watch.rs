//! Follows the configuration and the replicas in the store, and tells the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::amount::VersionNumber;
use super::replica_entry::{REPLICA_PREFIX, parse_replica};
use super::store::{StoreClient, StoreError, StoreItem};
use crate::blackboard::ReplicaRecord;
use crate::clock;
use crate::controllers::RegisterSource;
use crate::controllers::discovery::ReplicaUpdate;
use crate::event_log::{to_phrase, to_word};
use crate::prelude::*;
use crate::runtime::{ControlHandle, Snapshot};
use crate::source::Backoff;

/// Where the operator writes the configuration.
const CONFIG_KEY: &str = "op/config";

/// How the list of replicas is watched.
const LIST_PACE: WatchPace = WatchPace {
    wait_range_ms: (2_500, 5_000),
    answer_limit_ms: 1_500,
};

/// How the configuration is watched: a connection that went silent is replaced, and what it did not bring is read, within the
/// three seconds after which a VM has to be up to date again.
const CONFIG_PACE: WatchPace = WatchPace {
    wait_range_ms: (1_100, 1_600),
    answer_limit_ms: 1_000,
};

/// The state of a list that has never had an entry, so that it is told from one that was never read.
const FIRST_REVISION: u64 = 1;

/// How often a VM that does not read looks whether it should.
const ROLE_EVERY: Duration = Duration::from_millis(200);

/// How long to wait after changes before the next watch, in milliseconds, so that one call brings the changes that follow
/// closely.
const GATHER_MS: u64 = 250;

/// Follows the configuration for as long as the process lives.
pub async fn watch_config(address: SocketAddr, control: ControlHandle) {
    let subject = WatchSubject {
        prefix: CONFIG_KEY,
        pace: CONFIG_PACE,
        is_due: |snapshot| snapshot.watches_config,
        to_event: |is_reachable| Event::ConfigReachable { is_reachable },
    };
    let mut follower = StoreFollower::new(address, subject, control.clone());
    loop {
        let reading = follower.next(None).await;
        let newest = reading.items.iter().rev().find(|item| item.key == CONFIG_KEY);
        match newest.and_then(|item| Some((item.value.as_deref()?, item.revision))) {
            Some((value, written)) => offer_config(value, written, &control),
            None => control.tell(Event::RegisterConfirmed {
                revision: control.snapshot().revision,
            }),
        }
    }
}

/// Offers a document that was written as the store came to a state.
fn offer_config(value: &[u8], written: u64, control: &ControlHandle) {
    /// Only the version is read here; the rest is the parser's.
    #[derive(serde::Deserialize)]
    struct VersionField {
        version: VersionNumber,
    }
    let text = String::from_utf8_lossy(value);
    // A list would be taken for the fields in their order.
    let is_object = text.trim_start().starts_with('{');
    if !is_object {
        let reason = "it is no object".to_owned();
        control.tell(Event::RegisterUnreadable { reason });
        return;
    }
    match serde_json::from_str::<VersionField>(&text) {
        Ok(field) => control.tell(Event::RegisterOffered {
            stamp: RegisterStamp {
                revision: field.version.0,
                written,
            },
            text: Arc::from(text),
            source: RegisterSource::Service,
        }),
        Err(error) => control.tell(Event::RegisterUnreadable {
            reason: error.to_string(),
        }),
    }
}

/// Follows the replicas for as long as the process lives.
pub async fn watch_replicas(address: SocketAddr, control: ControlHandle) {
    let subject = WatchSubject {
        prefix: REPLICA_PREFIX,
        pace: LIST_PACE,
        is_due: |snapshot| snapshot.reads_store,
        to_event: |is_reachable| Event::ListReachable { is_reachable },
    };
    let mut follower = StoreFollower::new(address, subject, control.clone());
    loop {
        // What peers told is as good as what was read.
        let known = control.snapshot().list_revision;
        let reading = follower.next((known > 0).then_some(known)).await;
        if reading.is_whole || !reading.items.is_empty() {
            control.tell(Event::ReplicasRead {
                update: to_update(&reading),
                store_revision: reading.store_revision,
            });
        }
    }
}

fn to_update(reading: &FollowedReading) -> ReplicaUpdate {
    let mut latest: FastMap<&str, &StoreItem> = FastMap::default();
    for item in &reading.items {
        latest.insert(&item.key, item);
    }
    let mut update = ReplicaUpdate {
        revision: reading.revision,
        since: reading.since,
        is_whole: reading.is_whole,
        present: Vec::new(),
        removed: Vec::new(),
    };
    for (key, item) in latest {
        let id = key.strip_prefix(REPLICA_PREFIX).unwrap_or(key);
        let record = item.value.as_deref().and_then(|value| read_entry(id, value));
        match record {
            Some(record) => update.present.push(record),
            // An entry that can't be read names no replica any more, like one that was removed.
            None => update.removed.push(id.into()),
        }
    }
    update
}

fn read_entry(id: &str, value: &[u8]) -> Option<ReplicaRecord> {
    match parse_replica(id, value, clock::epoch_ms()) {
        Ok(record) => Some(record),
        Err(error) => {
            spdlog::warn!(
                "event=replica_entry_unreadable replica={} bytes={} reason=\"{}\"",
                to_word(id),
                value.len(),
                to_phrase(&error.to_string())
            );
            None
        }
    }
}

/// Items, or their changes, and between which states they tell all.
struct FollowedReading {
    items: Vec<StoreItem>,
    is_whole: bool,
    /// The state from which on changes are told; zero for a whole reading.
    since: u64,
    /// The state up to which all is told: that of the last change, which is the same for all that read it.
    revision: u64,
    /// The store's own state as it answered.
    store_revision: u64,
}

/// How long the calls of a watch take.
#[derive(Clone, Copy, Debug)]
struct WatchPace {
    /// The shortest and the longest wait, in milliseconds. A watch that was silently lost shows only at its end.
    wait_range_ms: (u64, u64),
    /// How long the store may take beyond the wait that a call asks for, in milliseconds: it answers in some milliseconds,
    /// and sixty times slower when it is troubled.
    answer_limit_ms: u64,
}

/// What is followed.
struct WatchSubject {
    prefix: &'static str,
    pace: WatchPace,
    /// Whether this VM is to follow it now.
    is_due: fn(&Snapshot) -> bool,
    /// What the control thread is told of whether it can be read.
    to_event: fn(bool) -> Event,
}

/// Follows the items under one prefix, for as long as this VM is one of those that read.
struct StoreFollower {
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
    fn new(address: SocketAddr, subject: WatchSubject, control: ControlHandle) -> Self {
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
    async fn next(&mut self, known: Option<u64>) -> FollowedReading {
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
                        self.gather_until = clock::now().after_ms(GATHER_MS);
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
            Some(cursor) => {
                let (shortest_ms, longest_ms) = self.subject.pace.wait_range_ms;
                let wait_ms = rand::rng().random_range(shortest_ms..=longest_ms);
                (
                    self.client.watch(self.subject.prefix, cursor, wait_ms).await?,
                    false,
                )
            }
        };
        self.cursor = Some(reading.revision);
        // The store's own state moves on with items of other prefixes too; that of the last change is the same for all.
        let last_change = reading.items.iter().map(|item| item.revision).max();
        let revision = last_change.unwrap_or(FIRST_REVISION.max(since));
        self.content = revision.max(since);
        Ok(FollowedReading {
            items: reading.items,
            is_whole,
            since: if is_whole { 0 } else { since },
            revision,
            store_revision: reading.revision,
        })
    }
}
