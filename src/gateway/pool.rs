//! Idle connections to replicas, kept for further requests.

use std::sync::Mutex;

use crate::blackboard::ReplicaId;
use crate::clock;
use crate::http::ResponseHead;
use crate::prelude::*;
use crate::runtime::lock;
use crate::transport::HttpStream;

/// How long an idle connection is kept where the replica does not say, in milliseconds.
const KEEP_MS: u64 = 2_000;

/// How much sooner than the replica we give an idle connection up, in milliseconds.
const KEEP_MARGIN_MS: u64 = 500;

/// Idle connections that are kept to one replica.
const KEPT_EACH: usize = 4;

/// An idle connection.
#[derive(Debug)]
struct KeptStream {
    stream: HttpStream,
    used_at: Moment,
    until: Moment,
}

/// Idle connections to replicas.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    kept: Mutex<FastMap<ReplicaId, Vec<KeptStream>>>,
}

impl ConnectionPool {
    /// A connection that is still good, and carried an answer within a span.
    pub fn take(&self, replica: &ReplicaId, used_within_ms: u64) -> Option<HttpStream> {
        let now = clock::now();
        let mut kept = lock(&self.kept);
        let streams = kept.get_mut(replica)?;
        // The one that was used last stands last.
        let is_recent = |entry: &mut KeptStream| !now.reached(entry.used_at.after_ms(used_within_ms));
        while let Some(entry) = streams.pop_if(is_recent) {
            if !now.reached(entry.until) && entry.stream.is_reusable() {
                return Some(entry.stream);
            }
        }
        None
    }

    /// Keeps a connection for as long as the replica said, or a while.
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

    /// Closes what has been idle for too long.
    pub fn sweep(&self) {
        let now = clock::now();
        let mut kept = lock(&self.kept);
        for streams in kept.values_mut() {
            streams.retain(|entry| !now.reached(entry.until) && entry.stream.is_reusable());
        }
        kept.retain(|_, streams| !streams.is_empty());
    }
}

fn keep_alive_s(head: &ResponseHead) -> Option<u64> {
    let parts = head.headers.text("keep-alive")?.split(',');
    let mut timeouts = parts.filter_map(|part| part.trim().strip_prefix("timeout="));
    timeouts.next()?.parse().ok()
}
