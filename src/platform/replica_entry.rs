//! Parser of the entries by which replicas announce themselves in the store.

use std::net::{IpAddr, SocketAddr};

use serde::Deserialize;
use snafu::Snafu;

use super::amount::{Amount, VersionNumber, read_optional_amount};
use crate::blackboard::{ReplicaRecord, ReplicaRole};
use crate::prelude::*;
use crate::register::is_one_line;

/// The key prefix of the replicas' entries.
pub(super) const REPLICA_PREFIX: &str = "servers/";

/// The longest name of a replica, a service or a zone, in bytes; the store's limit for keys.
const MAX_NAME_BYTES: usize = 200;

/// Upper bound on slots, which keeps the arithmetic of load balancing far from overflow.
const MAX_SLOTS: u32 = 65_536;

/// How far in the future a start time may lie, in milliseconds: one day. Clocks differ by seconds only, and
/// an entry with a far later start would make all later entries of the replica look outdated.
const MAX_FUTURE_MS: u64 = 86_400_000;

/// Upper bound on the announced cold time, in milliseconds: one hour, which keeps the arithmetic far from
/// overflow.
const MAX_COLD_MS: u64 = 3_600_000;

/// Why an entry is rejected.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// The entry is not valid JSON, or a field is missing or has the wrong type.
    #[snafu(display("{source}"), context(false))]
    Syntax {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A name is empty, too long, or has characters that would break a log line.
    #[snafu(display("the {field} is no name"))]
    Name {
        /// The field that holds the name.
        field: &'static str,
    },
    /// No server can be reached at the address: port zero, or not the address of a single host.
    #[snafu(display("nothing can be reached at {address}"))]
    Address {
        /// The address in the entry.
        address: SocketAddr,
    },
    /// The number of slots is zero.
    #[snafu(display("it has no slots"))]
    Slots,
    /// The start time lies more than a day in the future.
    #[snafu(display("it starts at {epoch_ms}, in the future"))]
    Start {
        /// The start time in the entry, in milliseconds since the Unix epoch.
        epoch_ms: u64,
    },
}

/// The fields of an entry that are used.
#[derive(Debug, Deserialize)]
struct ReplicaEntry {
    service: String,
    address: SocketAddr,
    zone: String,
    slots: Amount,
    state: EntryState,
    /// When the replica started, in milliseconds since the Unix epoch; rewriting the entry does not change
    /// it.
    born: Option<VersionNumber>,
    phase: Option<EntryPhase>,
    /// How much longer the replica stays slow after its start, in milliseconds. A faulty value counts as
    /// absent, since the replica can be used without it.
    #[serde(
        rename = "coldRemainingMs",
        default,
        deserialize_with = "read_optional_amount"
    )]
    cold_remaining_ms: Option<Amount>,
}

/// Whether a replica accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EntryState {
    Ready,
    Draining,
}

/// The phase of a generation that an engine serves; plain services have none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EntryPhase {
    Prefill,
    Decode,
}

/// Parses the entry of the replica `id`. `now_epoch_ms` is the present in milliseconds since the Unix epoch;
/// a start time too far after it is rejected. `now` is the time of arrival, from which the announced cold time
/// counts.
///
/// # Errors
///
/// The first fault found in the entry.
pub fn parse_replica(
    id: &str,
    value: &[u8],
    now_epoch_ms: u64,
    now: Moment,
) -> Result<ReplicaRecord, EntryError> {
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
    let slots = entry.slots.to_u32().min(MAX_SLOTS);
    if slots == 0 {
        return Err(EntryError::Slots);
    }
    let started_epoch_ms = entry.born.map_or(0, |born| born.0);
    if started_epoch_ms > now_epoch_ms.saturating_add(MAX_FUTURE_MS) {
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
        cold_until: entry
            .cold_remaining_ms
            .map(|remaining_ms| remaining_ms.to_u64().min(MAX_COLD_MS))
            .filter(|remaining_ms| *remaining_ms > 0)
            .map(|remaining_ms| now.after_ms(remaining_ms)),
    })
}

fn check_name(field: &'static str, name: &str) -> Result<(), EntryError> {
    let has_valid_length = (1..=MAX_NAME_BYTES).contains(&name.len());
    if has_valid_length && is_one_line(name) {
        Ok(())
    } else {
        Err(EntryError::Name { field })
    }
}

fn is_reachable(address: SocketAddr) -> bool {
    let is_single_host = match address.ip() {
        IpAddr::V4(ip) => !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast(),
        IpAddr::V6(ip) => !ip.is_unspecified() && !ip.is_multicast(),
    };
    is_single_host && address.port() > 0
}
