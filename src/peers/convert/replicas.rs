//! Conversion of the list of replicas. The end of a cold time is sent as the remaining time, since the clocks
//! of VMs differ.

use std::sync::Arc;

use super::{InvalidFrame, to_position};
use crate::blackboard::{ReplicaRecord, ReplicaRole};
use crate::controllers::discovery::ReplicaUpdate;
use crate::controllers::message::PeerMessage;
use crate::peers::wire::{ReplicaFrame, ReplicasContentFrame};
use crate::prelude::*;

pub(super) fn to_replicas_frame(update: &ReplicaUpdate, now: Moment) -> ReplicasContentFrame {
    let to_frame = |record: &ReplicaRecord| ReplicaFrame {
        id: record.id.to_string(),
        started_epoch_ms: record.started_epoch_ms,
        service: record.service.to_string(),
        role: match record.role {
            ReplicaRole::Plain => 0,
            ReplicaRole::Prefill => 1,
            ReplicaRole::Decode => 2,
        },
        address: record.address.to_string(),
        zone: record.zone.to_string(),
        slots: record.slots,
        is_draining: record.is_draining,
        cold_remaining_ms: record.cold_until.map_or(0, |until| now.until_ms(until)),
    };
    ReplicasContentFrame {
        revision: update.position.parts().1,
        era: update.position.era().number(),
        is_whole: update.is_whole,
        is_difference: update.is_difference,
        since: update.since.parts().1,
        present: update.present.iter().map(to_frame).collect(),
        removed: update.removed.iter().map(ToString::to_string).collect(),
    }
}

pub(super) fn to_replica(frame: ReplicaFrame, now: Moment) -> Result<ReplicaRecord, InvalidFrame> {
    Ok(ReplicaRecord {
        id: frame.id.into(),
        started_epoch_ms: frame.started_epoch_ms,
        service: frame.service.into(),
        role: match frame.role {
            0 => ReplicaRole::Plain,
            1 => ReplicaRole::Prefill,
            2 => ReplicaRole::Decode,
            _ => return Err(InvalidFrame),
        },
        address: frame.address.parse().map_err(|_| InvalidFrame)?,
        zone: frame.zone.into(),
        slots: frame.slots,
        is_draining: frame.is_draining,
        cold_until: (frame.cold_remaining_ms > 0).then(|| now.after_ms(frame.cold_remaining_ms)),
    })
}

pub(super) fn to_replica_update(
    frame: ReplicasContentFrame,
    now: Moment,
) -> Result<PeerMessage, InvalidFrame> {
    let present: Result<Vec<_>, _> = frame
        .present
        .into_iter()
        .map(|frame| to_replica(frame, now))
        .collect();
    Ok(PeerMessage::ReplicasContent(ReplicaUpdate {
        position: to_position(frame.era, frame.revision),
        is_whole: frame.is_whole,
        is_difference: frame.is_difference,
        since: to_position(frame.era, frame.since),
        present: present?,
        removed: frame.removed.into_iter().map(Arc::from).collect(),
    }))
}
