//! A slot for one send to a replica of a plain service, released on drop.

use super::ControlHandle;
use crate::blackboard::{ReplicaId, ReplicaLoad};
use crate::controllers::Reply;
use crate::controllers::service_slots::{SendEnd, SendRelease, SendRequest, SlotReply};
use crate::prelude::*;

/// A slot that was requested for one send. The owner is told on drop how the send ended; if the waiting task is
/// dropped before there is an answer, the request is withdrawn.
pub struct SendSlot {
    control: ControlHandle,
    ticket: ReplyTicket,
    release: SendRelease,
    /// Whether the request still waits, or holds a slot.
    is_open: bool,
}

/// The owner's answer to a request for a slot.
pub enum SlotOutcome {
    /// The request may be sent.
    Granted {
        /// The replica that it may be sent to.
        replica: ReplicaId,
        /// The VM that granted the slot.
        owner: VmName,
        /// The slot.
        slot: SendSlot,
    },
    /// The request is refused; its caller should retry at this time.
    Refused(Moment),
    /// This VM chooses a replica alone.
    Unmanaged,
}

impl SendSlot {
    /// Requests a slot and waits for the answer.
    pub async fn acquire(control: &ControlHandle, request: SendRequest) -> SlotOutcome {
        let ticket = control.new_ticket();
        // Created before the request, so that a task which is dropped while it waits withdraws it.
        let mut slot = Self {
            control: control.clone(),
            ticket,
            release: SendRelease::default(),
            is_open: true,
        };
        let wanted = Event::SendSlotWanted { ticket, request };
        match control.ask_as(ticket, wanted).await {
            Some(Reply::SendSlot(SlotReply::Granted { replica, owner })) => {
                SlotOutcome::Granted { replica, owner, slot }
            }
            Some(Reply::SendSlot(SlotReply::Refused { retry_at })) => {
                slot.is_open = false;
                SlotOutcome::Refused(retry_at)
            }
            _ => {
                slot.is_open = false;
                SlotOutcome::Unmanaged
            }
        }
    }

    /// Records the load that the replica reported with its answer.
    pub fn record_load(&mut self, load: ReplicaLoad) {
        self.release.load = Some(load);
    }

    /// Releases the slot and tells its owner how the send ended.
    pub fn finish(mut self, end: SendEnd) {
        self.release.end = end;
    }
}

impl Drop for SendSlot {
    fn drop(&mut self) {
        if self.is_open {
            self.control.send_event(Event::SendSlotDone {
                ticket: self.ticket,
                release: self.release,
            });
        }
    }
}
