//! A board with the engines of one service, for tests of the owner's ledger.

use std::net::SocketAddr;
use std::sync::Arc;

use dotterelspan::blackboard::{
    EntryTrust, OwnIdentity, ReplicaFacts, ReplicaId, ReplicaRecord, ReplicaRole,
};
use dotterelspan::prelude::*;
use dotterelspan::register::{CallerLimits, EngineTraits, RouteTable, ServiceRule};

/// An engine of the service `m`.
fn engine(index: usize, role: ReplicaRole, slots: u32) -> (ReplicaId, ReplicaFacts) {
    let id: ReplicaId = format!("{}-{index}", role.as_str()).into();
    let record = ReplicaRecord {
        id: id.clone(),
        started_epoch_ms: 1,
        service: "m".into(),
        role,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "a".into(),
        slots,
        is_draining: false,
        cold_until: None,
    };
    let facts = ReplicaFacts {
        record: Arc::new(record),
        stop_at: None,
        is_listed: true,
        trust: EntryTrust::default(),
        fresh_since: None,
    };
    (id, facts)
}

/// A board of one node with prefill and decode engines of the service `m`, each with the given slots and
/// memory.
pub fn board(prefills: usize, decodes: usize, slots: u32, memory_tokens: u32) -> Blackboard {
    let own = OwnIdentity {
        name: "vm-1".into(),
        zone: "a".into(),
        caller_address: "c".into(),
        peer_address: "p".into(),
        incarnation: 1,
        started_epoch_ms: 1,
        millicores: 0,
    };
    let mut board = Blackboard::new(own);
    let service = ServiceRule {
        name: "m".into(),
        max_connections: u32::MAX,
        health_path: None,
        engine: Some(EngineTraits {
            memory_tokens,
            event_tokens: 12,
            prefill_keep_ms: 500,
            role_switch_ms: 0,
        }),
    };
    let routes = RouteTable::new(std::iter::empty());
    let register = Register::from_routes(routes, std::iter::once(service), CallerLimits::default());
    board.register.revision = 1;
    board.register.register = Arc::new(register);
    let prefills = (0..prefills).map(|index| engine(index, ReplicaRole::Prefill, slots));
    let decodes = (0..decodes).map(|index| engine(index, ReplicaRole::Decode, slots));
    board.replicas = Arc::new(decodes.chain(prefills).collect());
    board
}
