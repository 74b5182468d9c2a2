//! Decides which VMs read the platform's store. A few VMs read the list of replicas on behalf of all, since
//! each call is counted and each change would otherwise cost a call by every VM. Every VM watches the
//! configuration, since a VM must learn a change in time without depending on others. The watches time out
//! one after the other, so that some VM soon notices if they miss a change, and notifies the rest.

use super::rendezvous::weight;
use crate::prelude::*;

/// Number of VMs that read the list. If each read fails with a probability of one third, for example while
/// the store refuses some VMs, all of them fail together one time in a thousand, and the next ones take
/// their place.
const READER_COUNT: usize = 6;

/// Number of readers that prove the configuration for all other VMs.
pub const PROVER_COUNT: usize = 3;

/// The key with which all nodes hash names, so that they agree on the readers.
const READER_KEY: &str = "reader";

/// The age of the latest known read of the store at which any VM reads it, in milliseconds: a few times what
/// the report of a read takes to spread by heartbeats.
const MAX_STORE_AGE_MS: u64 = 15_000;

/// How long a new process waits for data of its peers before it reads the store itself, in milliseconds: the
/// time to connect to a seed and receive an answer.
const PEER_WAIT_MS: u64 = 120;

/// The longest time that a new process that is not a seed waits for data read by seeds, in milliseconds: the
/// seed's own wait, the transfer of a complete list at ten megabits a second, and its way around the ring.
const MAX_SEED_WAIT_MS: u64 = 400;

/// The part of [`MAX_SEED_WAIT_MS`] that a new process waits for each VM that it knows, in milliseconds; from
/// about a hundred VMs on it waits all of it. In a small fleet the wait is short, since the store can answer
/// all VMs at once and callers wait meanwhile.
const WAIT_PER_VM_MS: u64 = 3;

/// How long a new process that has found no peer waits, in milliseconds: a few rounds over the seeds, which
/// may start later than this process.
const NO_PEER_WAIT_MS: u64 = 1_000;

/// Time between the reads of two batches of VMs that know nothing yet, in milliseconds: the transfer of a
/// complete list and its way around the ring.
const BATCH_INTERVAL_MS: u64 = 200;

/// The longest time that a new process waits for what others read, in milliseconds: the bound on the start of
/// all VMs, less the time of its own read.
const MAX_PEER_WAIT_MS: u64 = 3_000;

/// How long a VM waits for peers to pass on the list of a new era before it reads the list itself, in milliseconds:
/// the reading, and its way around the ring.
const NEW_ERA_WAIT_MS: u64 = 1_000;

/// Whether this node should read the list of replicas.
pub fn reads_store(board: &Blackboard, now: Moment) -> bool {
    let view = board.live_view(now);
    if !board.list_position.is_known() || board.register.revision == 0 {
        return now.reached(first_read_at(board, view.readers_ahead));
    }
    let is_outdated = now.reached(board.store_read_at.after_ms(MAX_STORE_AGE_MS));
    let is_due = is_outdated
        || board.is_rebalancer
        || view.readers_ahead < READER_COUNT
        || is_left_behind(board, view.readers_ahead, now);
    is_due && now.reached(Moment(PEER_WAIT_MS))
}

/// Whether no peer brings this node the list of the store's era: none has passed it on in time, or some read no
/// eras. VMs that wait for the same list read it in batches.
fn is_left_behind(board: &Blackboard, readers_ahead: usize, now: Moment) -> bool {
    let Some(changed_at) = board.store_era.changed_at else {
        return false;
    };
    let heard_at = board.store_era.eraless_peer_at;
    if heard_at.is_some_and(|at| !now.reached(at.after_ms(MAX_STORE_AGE_MS))) {
        return true;
    }
    let batch = (readers_ahead / READER_COUNT) as u64;
    let wait_ms = (NEW_ERA_WAIT_MS + batch * BATCH_INTERVAL_MS).min(MAX_PEER_WAIT_MS);
    board.list_position.era() < board.store_era.latest && now.reached(changed_at.after_ms(wait_ms))
}

/// The key with which nodes hash their names into a delay, so that nodes that start together begin to watch
/// at different times.
const WATCH_KEY: &str = "configuration";

/// The longest such delay, in milliseconds. Until a node begins to watch it uses the configuration that peers
/// sent.
const WATCH_SPREAD_MS: u64 = 1_500;

/// Rate at which watches on the configuration time out while nothing changes, over all VMs.
const FLEET_WATCH_TIMEOUTS_PER_SECOND: u64 = 6;

/// The shortest and the longest time between two timeouts of a VM's watch on the configuration, in
/// milliseconds.
const WATCH_PERIOD_RANGE_MS: (u64, u64) = (1_350, 25_000);

/// A watch that begins closer to its time slot than this fraction of the period waits for the next slot.
const SHORTEST_WAIT_DIVISOR: u64 = 8;

/// How long this VM waits before it reads the configuration in a new era of the store, in milliseconds. The readers
/// don't wait, and pass a newer configuration on.
pub fn era_read_wait_ms(own: &str, reads_store: bool) -> u64 {
    if reads_store {
        return 0;
    }
    weight(WATCH_KEY, own) % WATCH_SPREAD_MS
}

/// How long a watch on the configuration that begins at this time of day waits, in milliseconds. Each live VM has
/// a time slot of its own in a common period, so that the watches of the fleet time out at even distances
/// whenever they began: some VM soon learns of a change of the list, whichever VMs are disturbed.
pub fn watch_wait_ms(live_vms: &[VmRecord], own: &str, epoch_ms: u64) -> u64 {
    let period_ms = watch_period_ms(live_vms.len());
    let position = |name: &str| weight(WATCH_KEY, name);
    let own_position = (position(own), own);
    let earlier = live_vms
        .iter()
        .filter(|vm| (position(&vm.name), &*vm.name) < own_position);
    let slot_ms = earlier.count() as u64 * period_ms / live_vms.len().max(1) as u64;
    let until_slot_ms = period_ms - (epoch_ms + period_ms - slot_ms) % period_ms;
    if until_slot_ms < period_ms / SHORTEST_WAIT_DIVISOR {
        until_slot_ms + period_ms
    } else {
        until_slot_ms
    }
}

/// The longest wait of a watch on the configuration, in milliseconds.
pub fn longest_watch_ms(live_vms: usize) -> u64 {
    let period_ms = watch_period_ms(live_vms);
    period_ms + period_ms / SHORTEST_WAIT_DIVISOR
}

fn watch_period_ms(live_vms: usize) -> u64 {
    let (shortest_ms, longest_ms) = WATCH_PERIOD_RANGE_MS;
    (live_vms as u64 * 1_000 / FLEET_WATCH_TIMEOUTS_PER_SECOND).clamp(shortest_ms, longest_ms)
}

/// Whether this node should watch the configuration. A node without one reads it on the same schedule as the
/// list.
pub fn watches_config(board: &Blackboard, now: Moment) -> bool {
    if board.register.revision == 0 {
        return reads_store(board, now);
    }
    let spread_ms = weight(WATCH_KEY, &board.own.name) % WATCH_SPREAD_MS;
    now.reached(Moment(PEER_WAIT_MS + spread_ms))
}

/// Whether the store is newer than this node's copies of it: neither its list of replicas nor its
/// configuration is as new as the store's revision. The VMs that read the list for others may be stopped or
/// cut off.
///
/// The list of a new era is read by the readers, see [`reads_store`].
pub fn is_list_behind(list: StorePosition, config_written: StorePosition, store: StorePosition) -> bool {
    list.is_known() && list.era() == store.era() && store > list.max(config_written)
}

/// When a process that knows nothing yet reads the store itself. Seeds read first, since all others ask them;
/// the others read in batches, so that the store does not have to answer the whole fleet at once.
fn first_read_at(board: &Blackboard, readers_ahead: usize) -> Moment {
    if board.is_seed {
        return Moment(PEER_WAIT_MS);
    }
    let first_ms = match board.vms.len() as u64 {
        0 => NO_PEER_WAIT_MS,
        known => MAX_SEED_WAIT_MS.min(PEER_WAIT_MS + known * WAIT_PER_VM_MS),
    };
    let batch = (readers_ahead / READER_COUNT) as u64;
    Moment(first_ms + batch * BATCH_INTERVAL_MS).min(Moment(MAX_PEER_WAIT_MS))
}

/// The first readers among the live VMs, which prove the configuration for all others.
pub fn first_readers(live_vms: &[VmRecord]) -> Vec<VmName> {
    let mut ranked: Vec<(u64, &VmName)> = live_vms
        .iter()
        .filter(|vm| !vm.leaving && !vm.store_lost)
        .map(|vm| (weight(READER_KEY, &vm.name), &vm.name))
        .collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    ranked.truncate(PROVER_COUNT);
    ranked.into_iter().map(|(_, name)| name.clone()).collect()
}

/// Number of VMs that rank before the named one as readers of the list on behalf of all.
pub fn count_readers_ahead<'a>(name: &str, others: impl Iterator<Item = &'a VmRecord>) -> usize {
    let own = weight(READER_KEY, name);
    others
        .filter(|vm| !vm.leaving && !vm.store_lost)
        .filter(|vm| weight(READER_KEY, &vm.name) > own)
        .count()
}
