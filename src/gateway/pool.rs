//! A pool of idle keep-alive connections to replicas.

use std::sync::Mutex;

use crate::blackboard::ReplicaId;
use crate::clock;
use crate::http::ResponseHead;
use crate::prelude::*;
use crate::runtime::lock;
use crate::transport::HttpStream;

/// How long an idle connection is kept if the replica sends no `Keep-Alive` timeout, in milliseconds.
const DEFAULT_KEEP_ALIVE_MS: u64 = 2_000;

/// How long before the replica's own timeout an idle connection is dropped, in milliseconds. No request is
/// sent on a connection that the replica is about to close.
const KEEP_ALIVE_MARGIN_MS: u64 = 500;

/// Maximum number of idle connections to one replica.
const MAX_IDLE_PER_REPLICA: usize = 4;

/// An idle connection with its last use and its expiry.
#[derive(Debug)]
struct IdleConnection {
    stream: HttpStream,
    last_used_at: Moment,
    expires_at: Moment,
}

/// Idle connections by replica, most recently used last.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<FastMap<ReplicaId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the most recently used open connection that carried an answer within the last `used_within_ms`.
    pub fn take(&self, replica: &ReplicaId, used_within_ms: u64) -> Option<HttpStream> {
        let now = clock::now();
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(replica)?;
        // Sorted by last use: once one entry is too old, so are all before it.
        let is_recent =
            |entry: &mut IdleConnection| !now.reached(entry.last_used_at.after_ms(used_within_ms));
        while let Some(entry) = connections.pop_if(is_recent) {
            if !now.reached(entry.expires_at) && entry.stream.is_reusable() {
                return Some(entry.stream);
            }
        }
        None
    }

    /// Adds a connection, which expires by the `Keep-Alive` timeout in the answer's head. Drops it if the
    /// replica has the maximum number of idle connections.
    pub fn put(&self, replica: &ReplicaId, mut stream: HttpStream, head: &ResponseHead) {
        let advertised_ms = keep_alive_s(head).map(|timeout_s| timeout_s.saturating_mul(1_000));
        let keep_ms = advertised_ms
            .unwrap_or(DEFAULT_KEEP_ALIVE_MS)
            .saturating_sub(KEEP_ALIVE_MARGIN_MS);
        stream.shrink();
        let last_used_at = clock::now();
        let expires_at = last_used_at.after_ms(keep_ms);
        let mut idle = lock(&self.idle);
        let connections = idle.entry(replica.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_REPLICA {
            connections.push(IdleConnection {
                stream,
                last_used_at,
                expires_at,
            });
        }
    }

    /// Closes all idle connections, as their descriptors are needed.
    pub fn clear(&self) {
        lock(&self.idle).clear();
    }

    /// Closes connections that have expired or that the replica has closed or written to.
    pub fn sweep(&self) {
        let now = clock::now();
        let mut idle = lock(&self.idle);
        for connections in idle.values_mut() {
            connections.retain(|entry| !now.reached(entry.expires_at) && entry.stream.is_reusable());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

fn keep_alive_s(head: &ResponseHead) -> Option<u64> {
    let parts = head.headers.text("keep-alive")?.split(',');
    let mut timeouts = parts.filter_map(|part| part.trim().strip_prefix("timeout="));
    timeouts.next()?.parse().ok()
}
