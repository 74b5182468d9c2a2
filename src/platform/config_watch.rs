//! Watches the configuration in the store and offers each version to the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use super::amount::VersionNumber;
use super::replica_watch::ListCheck;
use super::store_follower::{StoreFollower, WatchTarget, WatchTiming};
use crate::clock;
use crate::controllers::RegisterSource;
use crate::controllers::readers::watch_wait_ms;
use crate::prelude::*;
use crate::runtime::ControlHandle;

/// The key under which the operator writes the configuration.
const CONFIG_KEY: &str = "op/config";

/// How long a reader of the replica list waits after a change before its next watch, in milliseconds.
const READER_BATCH_DELAY_MS: u64 = 250;

/// How long all other VMs wait after a change before their next watch, in milliseconds. The readers pass
/// later changes on to them.
const BATCH_DELAY_MS: u64 = 1_000;

/// Waits and limits of the configuration watch.
const CONFIG_TIMING: WatchTiming = WatchTiming {
    wait_ms: |snapshot| watch_wait_ms(&snapshot.live_vms, &snapshot.introduction.name, clock::epoch_ms()),
    batch_delay_ms: |snapshot| {
        if snapshot.reads_store {
            READER_BATCH_DELAY_MS
        } else {
            BATCH_DELAY_MS
        }
    },
    answer_limit_ms: 1_000,
};

/// Follows the configuration for as long as the process lives.
pub async fn watch_config(address: SocketAddr, control: ControlHandle) {
    let target = WatchTarget {
        prefix: CONFIG_KEY,
        timing: CONFIG_TIMING,
        is_due: |snapshot| snapshot.watches_config,
        to_event: |is_reachable| Event::ConfigReachable { is_reachable },
    };
    let mut follower = StoreFollower::new(address, target, control.clone());
    let mut check = ListCheck::new(address, control.clone());
    loop {
        let reading = follower.next(None).await;
        let newest = reading.items.iter().rev().find(|item| item.key == CONFIG_KEY);
        match newest.and_then(|item| Some((item.value.as_deref()?, item.revision))) {
            Some((value, written)) => offer_config(value, written, &control),
            None => control.send_event(Event::RegisterConfirmed {
                revision: control.snapshot().revision,
            }),
        }
        check.run(reading.store_revision).await;
    }
}

/// Offers a document to the control thread; `written` is the store's revision at which it was written.
fn offer_config(value: &[u8], written: u64, control: &ControlHandle) {
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
        return;
    }
    match serde_json::from_str::<VersionField>(&text) {
        Ok(field) => control.send_event(Event::RegisterOffered {
            stamp: RegisterStamp {
                revision: field.version.0,
                written,
            },
            text: Arc::from(text),
            source: RegisterSource::Service,
        }),
        Err(error) => control.send_event(Event::RegisterUnreadable {
            reason: error.to_string(),
        }),
    }
}
