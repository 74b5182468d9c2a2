//! What replicas write of themselves in the store.

use std::net::{IpAddr, SocketAddr};

use serde::Deserialize;
use snafu::Snafu;

use super::amount::{Amount, VersionNumber};
use crate::blackboard::{ReplicaRecord, ReplicaRole};
use crate::register::is_one_line;

/// Where replicas write in the store.
pub(super) const REPLICA_PREFIX: &str = "servers/";

/// The longest name of a replica, a service or a zone, in bytes: that of a key of the store.
const MOST_NAME_BYTES: usize = 200;

/// The most slots that count: what choices reckon with stays far from the largest numbers.
const MOST_SLOTS: u32 = 65_536;

/// How far in the future a start may lie, in milliseconds: a day. Clocks differ by seconds, and a start that never comes would bar
/// the replica's own entries for good.
const FUTURE_LIMIT_MS: u64 = 86_400_000;

/// Why an entry names no replica to use.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// It is no entry.
    #[snafu(display("{source}"), context(false))]
    Syntax {
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A name is empty where it must not be, too long, or can't stand in one line.
    #[snafu(display("the {what} is no name"))]
    Name {
        /// Whose name.
        what: &'static str,
    },
    /// Nothing can listen at its address.
    #[snafu(display("nothing can be reached at {address}"))]
    Address {
        /// The address.
        address: SocketAddr,
    },
    /// It has no slots.
    #[snafu(display("it has no slots"))]
    Slots,
    /// It starts in the future.
    #[snafu(display("it starts at {epoch_ms}, in the future"))]
    Start {
        /// When, in milliseconds since the Unix epoch.
        epoch_ms: u64,
    },
}

/// One entry.
#[derive(Debug, Deserialize)]
struct ReplicaEntry {
    service: String,
    address: SocketAddr,
    zone: String,
    slots: Amount,
    state: EntryState,
    /// When the replica started, in milliseconds since the Unix epoch; not when the entry was made.
    born: Option<VersionNumber>,
    phase: Option<EntryPhase>,
}

/// Whether a replica takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EntryState {
    Ready,
    Draining,
}

/// Which part of a generation an engine does; plain services have none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EntryPhase {
    Prefill,
    Decode,
}

/// The replica in an entry, read at a time since the Unix epoch in milliseconds.
///
/// # Errors
///
/// What keeps the entry from naming a replica to use.
pub fn parse_replica(id: &str, value: &[u8], now_epoch_ms: u64) -> Result<ReplicaRecord, EntryError> {
    let entry: ReplicaEntry = serde_json::from_slice(value)?;
    check_name("id", id)?;
    check_name("service", &entry.service)?;
    if !entry.zone.is_empty() {
        check_name("zone", &entry.zone)?;
    }
    let address = entry.address;
    if !is_reachable(address) {
        return Err(EntryError::Address { address });
    }
    let slots = entry.slots.count().min(MOST_SLOTS);
    if slots == 0 {
        return Err(EntryError::Slots);
    }
    let started_epoch_ms = entry.born.map_or(0, |born| born.0);
    if started_epoch_ms > now_epoch_ms.saturating_add(FUTURE_LIMIT_MS) {
        return Err(EntryError::Start {
            epoch_ms: started_epoch_ms,
        });
    }
    Ok(ReplicaRecord {
        id: id.into(),
        started_epoch_ms,
        service: entry.service.into(),
        role: match entry.phase {
            None => ReplicaRole::Plain,
            Some(EntryPhase::Prefill) => ReplicaRole::Prefill,
            Some(EntryPhase::Decode) => ReplicaRole::Decode,
        },
        address,
        zone: entry.zone.into(),
        slots,
        is_draining: entry.state == EntryState::Draining,
    })
}

fn check_name(what: &'static str, name: &str) -> Result<(), EntryError> {
    let fits = (1..=MOST_NAME_BYTES).contains(&name.len());
    if fits && is_one_line(name) {
        Ok(())
    } else {
        Err(EntryError::Name { what })
    }
}

fn is_reachable(address: SocketAddr) -> bool {
    let is_one_host = match address.ip() {
        IpAddr::V4(ip) => !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast(),
        IpAddr::V6(ip) => !ip.is_unspecified() && !ip.is_multicast(),
    };
    is_one_host && address.port() > 0
}
