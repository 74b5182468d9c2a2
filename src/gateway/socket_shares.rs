//! Divides the process's descriptors between callers, replicas and the endpoints on ports of their own, so that
//! peers and the store always find some.

use std::sync::{Arc, Mutex};

use crate::prelude::*;
use crate::runtime::lock;
use crate::transport::ConnectionPermit;

/// Share of the sockets that callers may use, in percent.
const CALLER_PERCENT: usize = 60;

/// Share of the sockets that connections to replicas may use, in percent.
const REPLICA_PERCENT: usize = 30;

/// Share of the replicas' sockets that one service may use, in percent, so that replicas of one service that do not
/// answer leave some for the others.
const SERVICE_PERCENT: usize = 75;

/// Share of the sockets that each endpoint on a port of its own may use, in percent.
const ENDPOINT_PERCENT: usize = 2;

/// Connections that each endpoint may have if its share is smaller, as long as they leave the others theirs.
const MIN_ENDPOINT_SOCKETS: usize = 8;

/// The part of all sockets that an endpoint may use at most; the three have what callers and replicas leave.
const ENDPOINT_DIVISOR: usize = 30;

/// How many sockets each use may have open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketShares {
    /// Callers' connections.
    pub callers: usize,
    /// Connections to replicas.
    pub replicas: usize,
    /// Connections to the replicas of one service.
    pub service: usize,
    /// Connections to one endpoint on a port of its own.
    pub endpoint: usize,
}

impl SocketShares {
    /// Divides so many sockets. Each other VM has one link, for at most half of the sockets.
    pub fn divide(max_sockets: usize, known_vms: usize) -> Self {
        let sockets = max_sockets - known_vms.min(max_sockets / 2);
        let replicas = sockets * REPLICA_PERCENT / 100;
        Self {
            callers: sockets * CALLER_PERCENT / 100,
            replicas,
            service: replicas * SERVICE_PERCENT / 100,
            endpoint: (sockets * ENDPOINT_PERCENT / 100)
                .max(MIN_ENDPOINT_SOCKETS)
                .min(sockets / ENDPOINT_DIVISOR),
        }
    }
}

#[derive(Debug, Default)]
struct OpenSockets {
    total: usize,
    by_service: FastMap<Arc<str>, usize>,
}

/// Counts the open connections to replicas.
#[derive(Debug, Default)]
pub struct ReplicaSockets {
    open: Mutex<OpenSockets>,
}

impl ReplicaSockets {
    /// Counts a connection to a replica of a service; `None` if the service or all of them have too many.
    pub fn reserve(self: &Arc<Self>, service: &Arc<str>, shares: &SocketShares) -> Option<SocketPermit> {
        let mut open = lock(&self.open);
        let of_service = open.by_service.get(service).copied().unwrap_or_default();
        if open.total >= shares.replicas || of_service >= shares.service {
            return None;
        }
        open.total += 1;
        *open.by_service.entry(service.clone()).or_default() += 1;
        Some(SocketPermit {
            sockets: self.clone(),
            service: service.clone(),
        })
    }

    fn release(&self, service: &Arc<str>) {
        let mut open = lock(&self.open);
        open.total -= 1;
        if let Some(count) = open.by_service.get_mut(service) {
            *count -= 1;
            if *count == 0 {
                open.by_service.remove(service);
            }
        }
    }
}

/// The right to an open connection to a replica; given back on drop.
#[derive(Debug)]
pub struct SocketPermit {
    sockets: Arc<ReplicaSockets>,
    service: Arc<str>,
}

impl ConnectionPermit for SocketPermit {}

impl Drop for SocketPermit {
    fn drop(&mut self) {
        self.sockets.release(&self.service);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against replicas of one service that take the sockets of all others.
    #[test]
    fn a_service_leaves_sockets_for_the_others() {
        let shares = SocketShares::divide(800, 0);
        let sockets = Arc::new(ReplicaSockets::default());
        let (first, second): (Arc<str>, Arc<str>) = ("first".into(), "second".into());
        let permits: Vec<_> = std::iter::from_fn(|| sockets.reserve(&first, &shares)).collect();
        assert_eq!(permits.len(), shares.service);
        assert!(sockets.reserve(&second, &shares).is_some());
        drop(permits);
        assert_eq!(sockets.open.lock().map_or(1, |open| open.total), 0);
    }

    // Guards against shares that leave nothing for links of many VMs.
    #[test]
    fn links_of_other_vms_keep_their_sockets() {
        for (sockets, vms) in [(824, 330), (824, 1), (100, 330), (3_896, 104)] {
            let shares = SocketShares::divide(sockets, vms);
            let used = shares.callers + shares.replicas + 3 * shares.endpoint;
            assert!(used + vms.min(sockets / 2) <= sockets, "{sockets} {vms}: {used}");
        }
    }
}
