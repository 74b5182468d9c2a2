//! Which VMs read the platform's store. The list of replicas is read by a few, on behalf of all, since each call is counted and
//! each change would otherwise cost a call of every VM. The configuration is watched by every VM: what a VM has to be sure of
//! in time can't rest on others. The watches end one after the other, so that some VM notices soon where they went silent, and
//! tells the rest.

use super::rendezvous::weight;
use crate::prelude::*;

/// VMs that read at the same time. Should each fail with the same likelihood, as a third of all do when the store turns
/// VMs away, one in a thousand times all of them fail together, and the next ones take their place.
const READER_COUNT: usize = 6;

/// What all nodes hash names with, so that they agree on the readers.
const READER_KEY: &str = "reader";

/// How old what is known of the store may be before a VM reads it whoever else does, in milliseconds: some times what the
/// word of a reader takes from heartbeat to heartbeat.
const OLDEST_WORD_MS: u64 = 15_000;

/// How long a fresh process waits for peers to tell it what they know, in milliseconds: the time of a link to a seed and
/// an answer.
const PEERS_FIRST_MS: u64 = 120;

/// How long a fresh process that is no seed waits at most for what seeds read, in milliseconds: as long as a seed itself
/// waits, a whole list at ten megabits a second, and its way around the ring.
const SEEDS_FIRST_MS: u64 = 400;

/// How much of that it waits for each VM that it knows, in milliseconds: the longest wait from a hundred VMs on. A store
/// answers a small fleet at once, and callers wait meanwhile.
const WAIT_PER_VM_MS: u64 = 3;

/// How long a fresh process that has found no peer waits, in milliseconds: some rounds over the seeds, which may start
/// later than it does.
const ALONE_MS: u64 = 1_000;

/// Time after which the next VMs in order read as well while nothing is known, in milliseconds: a whole list and its way.
const TURN_MS: u64 = 200;

/// How long a fresh process waits at most for what others read, in milliseconds: the bound for a start after which all
/// VMs have to serve, less the time of its own reading.
const PEERS_LATEST_MS: u64 = 3_000;

/// Whether this node should read the list of replicas.
pub fn reads_store(board: &Blackboard, now: Moment) -> bool {
    let view = board.live_view(now);
    if board.list_revision == 0 || board.register.revision == 0 {
        return now.reached(blank_read_at(board, view.readers_ahead));
    }
    let is_forgotten = now.reached(board.store_read_at.after_ms(OLDEST_WORD_MS));
    let is_due = is_forgotten || board.is_rebalancer || view.readers_ahead < READER_COUNT;
    is_due && now.reached(Moment(PEERS_FIRST_MS))
}

/// What all nodes hash names with, so that those that begin together don't watch the configuration together.
const WATCH_KEY: &str = "configuration";

/// The time over which nodes that begin together begin to watch, in milliseconds. Until then they go by what peers told them.
const WATCH_SPREAD_MS: u64 = 1_500;

/// Watches on the configuration that end in a second without news, over all VMs.
const FLEET_ENDS_A_SECOND: u64 = 6;

/// The shortest wait of a watch on the configuration, and the longest mean one, in milliseconds.
const WATCH_RANGE_MS: (u64, u64) = (1_350, 25_000);

/// The shortest and the longest wait of a watch on the configuration where so many VMs are alive, in milliseconds. They are far
/// apart, since all VMs begin a watch after each change.
pub fn watch_range_ms(live_vms: usize) -> (u64, u64) {
    let (shortest_ms, longest_ms) = WATCH_RANGE_MS;
    let mean_ms = (live_vms as u64 * 1_000 / FLEET_ENDS_A_SECOND).clamp(shortest_ms, longest_ms);
    (shortest_ms, 2 * mean_ms - shortest_ms)
}

/// Whether this node should watch the configuration. One that knows none reads it by the same turns as the list.
pub fn watches_config(board: &Blackboard, now: Moment) -> bool {
    if board.register.revision == 0 {
        return reads_store(board, now);
    }
    let spread_ms = weight(WATCH_KEY, &board.own.name) % WATCH_SPREAD_MS;
    now.reached(Moment(PEERS_FIRST_MS + spread_ms))
}

/// Whether the store has changed in a way that this node has not heard of: neither the list of replicas nor the configuration that it
/// has is of the store's state, or of a later one. Those who read the list for others may be stopped, or unheard.
pub fn is_list_behind(list_revision: u64, config_written: u64, store_revision: u64) -> bool {
    list_revision > 0 && store_revision > list_revision.max(config_written)
}

/// When a process that knows nothing yet reads the store itself. Seeds do so first, since all ask them; the others take
/// turns, so that the store does not answer a whole fleet at once.
fn blank_read_at(board: &Blackboard, readers_ahead: usize) -> Moment {
    if board.is_seed {
        return Moment(PEERS_FIRST_MS);
    }
    let first_ms = match board.vms.len() as u64 {
        0 => ALONE_MS,
        known => SEEDS_FIRST_MS.min(PEERS_FIRST_MS + known * WAIT_PER_VM_MS),
    };

    let turn = (readers_ahead / READER_COUNT) as u64;
    Moment(first_ms + turn * TURN_MS).min(Moment(PEERS_LATEST_MS))
}

/// How many VMs would read on behalf of all before the named one.
pub fn count_readers_ahead<'a>(name: &str, others: impl Iterator<Item = &'a VmRecord>) -> usize {
    let own = weight(READER_KEY, name);
    others
        .filter(|vm| !vm.leaving && !vm.store_lost)
        .filter(|vm| weight(READER_KEY, &vm.name) > own)
        .count()
}
