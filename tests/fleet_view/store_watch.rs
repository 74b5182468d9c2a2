//! The configuration watches of a simulated fleet's nodes: one long poll of the store each, on the fleet's
//! clock.

use dotterelspan::controllers::RegisterSource;
use dotterelspan::controllers::readers::{watch_wait_ms, watches_config};
use dotterelspan::prelude::*;
use rand::Rng;

use crate::simulated_fleet::SimulatedFleet;

/// How long after a watch's wait its answer may arrive, in milliseconds.
const ANSWER_LIMIT_MS: u64 = 1_000;

/// The pause after a change was read, in milliseconds, and the range of the pause after a failure.
const PAUSE_AFTER_CHANGE_MS: u64 = 1_000;
const PAUSE_AFTER_FAILURE_MS: std::ops::RangeInclusive<u64> = 50..=100;

/// The state of a node's calls to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// No call is open; the next one begins at this time.
    Paused(Moment),
    /// A watch waits for a change until `until`. A silent one gets no answer at all.
    Waiting {
        began_at: Moment,
        until: Moment,
        is_silent: bool,
    },
}

/// The configuration in the store, as the nodes' watches read it.
#[derive(Clone, Debug, Default)]
pub struct WatchedStore {
    /// The version that was written last; the test sets it.
    pub version: Revision,
    /// Watches that nodes have started so far.
    pub calls: usize,
}

/// The configuration text of a version.
pub fn text_of(version: Revision) -> RegisterText {
    format!("version {version}").into()
}

/// Advances a node's watch by one step of the fleet.
pub fn step_watch(fleet: &mut SimulatedFleet, index: usize) {
    let now = fleet.now();
    if !fleet.is_running(index) || !watches_config(fleet.board(index), fleet.clock_of(index)) {
        return;
    }
    let known = fleet.board(index).register.revision;
    match fleet.call_of(index) {
        StoreCall::Paused(until) if now.reached(until) => {
            let own_now = fleet.clock_of(index);
            let live_vms = fleet.board(index).live_view(own_now).vms.clone();
            let own = fleet.board(index).own.name.clone();
            let wait_ms = watch_wait_ms(&live_vms, &own, now.0);
            fleet.watched.calls += 1;
            let is_silent = !fleet.has_store(index);
            fleet.set_call(
                index,
                StoreCall::Waiting {
                    began_at: own_now,
                    until: now.after_ms(wait_ms),
                    is_silent,
                },
            );
        }
        StoreCall::Paused(_) => {}
        StoreCall::Waiting { began_at, .. }
            if fleet.board(index).links_silent_at.is_some_and(|at| at > began_at) =>
        {
            fleet.set_call(index, StoreCall::Paused(now));
        }
        StoreCall::Waiting { until, is_silent, .. } if is_silent || !fleet.has_store(index) => {
            if now.reached(until.after_ms(ANSWER_LIMIT_MS)) {
                fleet.send_event(index, &Event::ConfigReachable { is_reachable: false });
                let pause_ms = fleet.random().random_range(PAUSE_AFTER_FAILURE_MS);
                fleet.set_call(index, StoreCall::Paused(now.after_ms(pause_ms)));
            }
        }
        StoreCall::Waiting { until, .. } => {
            let version = fleet.watched.version;
            if version > known {
                fleet.send_event(index, &Event::ConfigReachable { is_reachable: true });
                let offer = Event::RegisterOffered {
                    stamp: RegisterStamp::from_revision(version),
                    text: text_of(version),
                    source: RegisterSource::Service,
                };
                fleet.send_event(index, &offer);
                fleet.set_call(index, StoreCall::Paused(now.after_ms(PAUSE_AFTER_CHANGE_MS)));
            } else if now.reached(until) {
                fleet.send_event(index, &Event::ConfigReachable { is_reachable: true });
                fleet.send_event(index, &Event::RegisterConfirmed { revision: known });
                fleet.set_call(index, StoreCall::Paused(now));
            }
        }
    }
}
