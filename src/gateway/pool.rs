//! A pool of idle keep-alive connections to replicas.

use std::sync::Mutex;

use crate::blackboard::ReplicaId;
use crate::clock;
use crate::http::ResponseHead;
use crate::prelude::*;
use crate::runtime::lock;
use crate::transport::HttpStream;

/// How long an idle connection is kept if the replica sends no `Keep-Alive` timeout, in milliseconds.
const KEEP_MS: u64 = 2_000;

/// How long before the replica's own timeout an idle connection is dropped, in milliseconds. No request is
/// sent on a connection that the replica is about to close.
const KEEP_MARGIN_MS: u64 = 500;

/// Maximum number of idle connections to one replica.
const KEPT_EACH: usize = 4;

/// An idle connection with its last use and its expiry.
#[derive(Debug)]
struct KeptStream {
    stream: HttpStream,
    used_at: Moment,
    until: Moment,
}

/// Idle connections by replica, most recently used last.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    kept: Mutex<FastMap<ReplicaId, Vec<KeptStream>>>,
}

impl ConnectionPool {
    /// Takes the most recently used open connection that carried an answer within the last `used_within_ms`.
    pub fn take(&self, replica: &ReplicaId, used_within_ms: u64) -> Option<HttpStream> {
        let now = clock::now();
        let mut kept = lock(&self.kept);
        let streams = kept.get_mut(replica)?;
        // Sorted by last use: once one entry is too old, so are all before it.
        let is_recent = |entry: &mut KeptStream| !now.reached(entry.used_at.after_ms(used_within_ms));
        while let Some(entry) = streams.pop_if(is_recent) {
            if !now.reached(entry.until) && entry.stream.is_quiet() {
                return Some(entry.stream);
            }
        }
        None
    }

    /// Adds a connection, until the `Keep-Alive` timeout of the answer's head. Drops it if the replica has
    /// enough.
    pub fn put(&self, replica: &ReplicaId, mut stream: HttpStream, head: &ResponseHead) {
        let said_ms = keep_alive_s(head).map(|span_s| span_s.saturating_mul(1_000));
        let span_ms = said_ms.unwrap_or(KEEP_MS).saturating_sub(KEEP_MARGIN_MS);
        stream.shrink();
        let used_at = clock::now();
        let until = used_at.after_ms(span_ms);
        let mut kept = lock(&self.kept);
        let streams = kept.entry(replica.clone()).or_default();
        if streams.len() < KEPT_EACH {
            streams.push(KeptStream {
                stream,
                used_at,
                until,
            });
        }
    }

    /// Closes connections that have expired or that the replica has closed or written to.
    pub fn sweep(&self) {
        let now = clock::now();
        let mut kept = lock(&self.kept);
        for streams in kept.values_mut() {
            streams.retain(|entry| !now.reached(entry.until) && entry.stream.is_quiet());
        }
        kept.retain(|_, streams| !streams.is_empty());
    }
}

fn keep_alive_s(head: &ResponseHead) -> Option<u64> {
    let parts = head.headers.text("keep-alive")?.split(',');
    let mut timeouts = parts.filter_map(|part| part.trim().strip_prefix("timeout="));
    timeouts.next()?.parse().ok()
}
