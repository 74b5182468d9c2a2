//! Conversion of incarnations and introductions.

use super::InvalidFrame;
use crate::blackboard::Incarnation;
use crate::controllers::message::VmIntroduction;
use crate::peers::wire::IntroductionFrame;

pub(super) fn incarnation_to_bytes(incarnation: Incarnation) -> Vec<u8> {
    incarnation.to_be_bytes().to_vec()
}

pub(super) fn to_incarnation(bytes: &[u8]) -> Result<Incarnation, InvalidFrame> {
    let bytes = bytes.try_into().map_err(|_| InvalidFrame)?;
    Ok(Incarnation::from_be_bytes(bytes))
}

impl From<&VmIntroduction> for IntroductionFrame {
    fn from(introduction: &VmIntroduction) -> Self {
        Self {
            name: introduction.name.to_string(),
            zone: introduction.zone.to_string(),
            caller_address: introduction.caller_address.to_string(),
            peer_address: introduction.peer_address.to_string(),
            incarnation: incarnation_to_bytes(introduction.incarnation),
            revision: introduction.revision,
            leaving: introduction.leaving,
            started_epoch_ms: introduction.started_epoch_ms,
            renewal: introduction.renewal,
            store_lost: introduction.store_lost,
            millicores: introduction.millicores,
        }
    }
}

impl TryFrom<IntroductionFrame> for VmIntroduction {
    type Error = InvalidFrame;

    fn try_from(frame: IntroductionFrame) -> Result<Self, InvalidFrame> {
        if frame.name.is_empty() {
            return Err(InvalidFrame);
        }
        Ok(Self {
            name: frame.name.into(),
            zone: frame.zone.into(),
            caller_address: frame.caller_address.into(),
            peer_address: frame.peer_address.into(),
            incarnation: to_incarnation(&frame.incarnation)?,
            started_epoch_ms: frame.started_epoch_ms,
            renewal: frame.renewal,
            revision: frame.revision,
            leaving: frame.leaving,
            store_lost: frame.store_lost,
            millicores: frame.millicores,
        })
    }
}
