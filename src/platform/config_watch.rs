//! Watches the configuration in the store and offers each version to the control thread.

use std::sync::Arc;

use rand::Rng;

use super::amount::VersionNumber;
use super::replica_watch::ListCheck;
use super::store_endpoint::StoreEndpoint;
use super::store_follower::{SHORTEST_WAIT_MS, StoreFollower, WatchTarget, WatchTiming};
use crate::blackboard::WatchPace;
use crate::clock;
use crate::controllers::RegisterSource;
use crate::controllers::proof::{ReadContent, RegisterReading, SHORT_WATCH_MS};
use crate::controllers::readers::{era_read_wait_ms, watch_wait_ms};
use crate::prelude::*;
use crate::runtime::ControlHandle;

/// The key under which the operator writes the configuration.
const CONFIG_KEY: &str = "op/config";

/// How long a reader of the replica list waits after a change before its next watch, in milliseconds.
const READER_BATCH_DELAY_MS: u64 = 250;

/// How long all other VMs wait after a change before their next watch, in milliseconds. The readers pass
/// later changes on to them.
const BATCH_DELAY_MS: u64 = 1_000;

/// How long a VM that reads the configuration for proof only waits after a failed read, in milliseconds. Without it all
/// VMs read a store that is down three times a second each: 4,100 calls on a day of 131 VMs.
const PROOF_RETRY_MS: std::ops::RangeInclusive<u64> = 750..=1_500;

/// Waits and limits of the configuration watch.
const CONFIG_TIMING: WatchTiming = WatchTiming {
    wait_ms: |snapshot| watch_wait_ms(&snapshot.live_vms, &snapshot.introduction.name, clock::epoch_ms()),
    wait_limit_ms: |snapshot| match snapshot.watch_pace {
        WatchPace::Slotted => None,
        WatchPace::Short => Some(SHORT_WATCH_MS),
        WatchPace::Immediate => Some(SHORTEST_WAIT_MS),
    },
    batch_delay_ms: |snapshot| {
        if snapshot.reads_store || snapshot.watch_pace != WatchPace::Slotted {
            READER_BATCH_DELAY_MS
        } else {
            BATCH_DELAY_MS
        }
    },
    era_delay_ms: |snapshot| era_read_wait_ms(&snapshot.introduction.name, snapshot.reads_store),
    checks_era: false,
    failure_delay_ms: |snapshot| {
        // The readers find out when the store is back, and prove the configuration to the rest.
        if snapshot.reads_store || snapshot.watch_pace == WatchPace::Slotted {
            0
        } else {
            rand::rng().random_range(PROOF_RETRY_MS)
        }
    },
    answer_limit_ms: 1_000,
};

/// Follows the configuration for as long as the process lives.
pub async fn watch_config(endpoint: Arc<StoreEndpoint>, control: ControlHandle) {
    let target = WatchTarget {
        prefix: CONFIG_KEY,
        timing: CONFIG_TIMING,
        is_due: |snapshot| snapshot.watches_config,
        to_event: |is_reachable| Event::ConfigReachable { is_reachable },
    };
    let mut follower = StoreFollower::new(endpoint.clone(), target, control.clone());
    let mut check = ListCheck::new(endpoint, control.clone());
    loop {
        let reading = follower.next(None).await;
        let mut versions = reading.items.iter().rev().filter(|item| item.key == CONFIG_KEY);
        let newest = versions.next();
        let newest = match newest.and_then(|item| Some((item.value.as_deref()?, item.revision))) {
            Some((value, revision)) => {
                let written = StorePosition::new(reading.store_position.era(), revision);
                offer_config(value, written, &control)
            }
            None => {
                control.send_event(Event::RegisterConfirmed {
                    revision: control.snapshot().revision,
                });
                ReadContent::Nothing
            }
        };
        control.send_event(Event::RegisterRead(RegisterReading {
            began_at: reading.began_at,
            newest,
            is_continuous: !reading.is_full && versions.next().is_none(),
            store_position: reading.store_position,
        }));
        check.run(reading.store_position).await;
    }
}

/// Offers a document to the control thread and returns what was offered; `written` is where in the store the
/// document was written.
fn offer_config(value: &[u8], written: StorePosition, control: &ControlHandle) -> ReadContent {
    /// Only the version is parsed here; the control thread parses the rest.
    #[derive(serde::Deserialize)]
    struct VersionField {
        version: VersionNumber,
    }
    let text = String::from_utf8_lossy(value);
    // serde would also accept an array, as the fields in order.
    let is_object = text.trim_start().starts_with('{');
    if !is_object {
        let reason = "it is no object".to_owned();
        control.send_event(Event::RegisterUnreadable { reason });
        return ReadContent::Unreadable;
    }
    match serde_json::from_str::<VersionField>(&text) {
        Ok(field) => {
            let stamp = RegisterStamp {
                revision: field.version.0,
                written,
            };
            control.send_event(Event::RegisterOffered {
                stamp,
                text: text.as_ref().into(),
                source: RegisterSource::Service,
            });
            ReadContent::Offered(stamp)
        }
        Err(error) => {
            control.send_event(Event::RegisterUnreadable {
                reason: error.to_string(),
            });
            ReadContent::Unreadable
        }
    }
}
