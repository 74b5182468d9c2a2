//! Replicas of a plain service and a selector over them, for tests of the decisions without processes.

use std::net::SocketAddr;
use std::sync::Arc;

use dotterelspan::blackboard::{EntryTrust, ReplicaFacts, ReplicaRecord, ReplicaRole};
use dotterelspan::clock::Moment;
use dotterelspan::controllers::dispatch::{ReplicaSelector, SelectionCriteria};

pub const CRITERIA: SelectionCriteria<'static> = SelectionCriteria {
    service: "desk",
    role: ReplicaRole::Plain,
    avoid: &[],
};

pub fn record(id: &str, started_epoch_ms: u64) -> ReplicaRecord {
    ReplicaRecord {
        id: id.into(),
        started_epoch_ms,
        service: "desk".into(),
        role: ReplicaRole::Plain,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "a".into(),
        slots: 4,
        is_draining: false,
        cold_until: None,
    }
}

pub fn facts(id: &str, started_epoch_ms: u64) -> ReplicaFacts {
    ReplicaFacts {
        record: Arc::new(record(id, started_epoch_ms)),
        stop_at: None,
        is_listed: true,
        trust: EntryTrust::default(),
        fresh_since: None,
    }
}

pub fn selector(replicas: &[ReplicaFacts], now: Moment) -> ReplicaSelector {
    let mut selector = ReplicaSelector::new("a".into(), 1);
    selector.replace(replicas.iter(), now);
    selector
}
