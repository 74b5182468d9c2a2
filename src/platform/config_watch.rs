//! Watches the configuration in the store, and tells the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use super::amount::VersionNumber;
use super::replica_watch::ListCheck;
use super::store_follower::{StoreFollower, WatchPace, WatchSubject};
use crate::controllers::RegisterSource;
use crate::controllers::readers::watch_range_ms;
use crate::prelude::*;
use crate::runtime::ControlHandle;

/// Where the operator writes the configuration.
const CONFIG_KEY: &str = "op/config";

/// How long a VM that reads the list for others waits after a change before its next watch, in milliseconds.
const READER_GATHER_MS: u64 = 250;

/// How long the rest wait after a change before their next watch, in milliseconds. They hear of what follows from the readers.
const GATHER_MS: u64 = 1_000;

/// How the configuration is watched.
const CONFIG_PACE: WatchPace = WatchPace {
    wait_range_ms: |snapshot| watch_range_ms(snapshot.live_vms.len()),
    gather_ms: |snapshot| {
        if snapshot.reads_store {
            READER_GATHER_MS
        } else {
            GATHER_MS
        }
    },
    answer_limit_ms: 1_000,
};

/// Follows the configuration for as long as the process lives.
pub async fn watch_config(address: SocketAddr, control: ControlHandle) {
    let subject = WatchSubject {
        prefix: CONFIG_KEY,
        pace: CONFIG_PACE,
        is_due: |snapshot| snapshot.watches_config,
        to_event: |is_reachable| Event::ConfigReachable { is_reachable },
    };
    let mut follower = StoreFollower::new(address, subject, control.clone());
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
