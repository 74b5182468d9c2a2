//! Which VMs read the platform's store: a few, on behalf of all, since each call is counted and each change would
//! otherwise cost a call of every VM.

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

/// How long a fresh process that is none of the readers waits for what they have read, in milliseconds.
const PEERS_LATEST_MS: u64 = 1_000;

/// Whether this node should read the store.
pub fn reads_store(board: &Blackboard, now: Moment) -> bool {
    if !now.reached(Moment(PEERS_FIRST_MS)) {
        return false;
    }
    let is_blank = board.list_revision == 0 || board.register.revision == 0;
    if is_blank && now.reached(Moment(PEERS_LATEST_MS)) {
        return true;
    }
    let is_forgotten = !is_blank && now.reached(board.store_heard_at.after_ms(OLDEST_WORD_MS));
    is_forgotten || board.gives_orders || board.live_view(now).is_reader
}

/// Whether a VM is one of those that read on behalf of all.
pub fn is_reader<'a>(name: &str, others: impl Iterator<Item = &'a VmRecord>) -> bool {
    let own = weight(READER_KEY, name);
    let ahead = others
        .filter(|vm| !vm.leaving && !vm.store_lost)
        .filter(|vm| weight(READER_KEY, &vm.name) > own)
        .take(READER_COUNT)
        .count();
    ahead < READER_COUNT
}
