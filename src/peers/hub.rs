//! All links of this process, by the VM at the other end.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_std::channel::{Receiver, Sender, unbounded};

use super::link;
use crate::controllers::message::{PeerMessage, VmIntroduction};
use crate::prelude::*;
use crate::runtime::{ControlHandle, lock};
use crate::settings::SharedKey;

/// Messages that wait on one link; more are dropped, and their senders' deadlines deal with it.
const LINK_QUEUE: usize = 4_096;

/// An open or opening link.
#[derive(Clone)]
struct LinkHandle {
    id: u64,
    sender: Sender<PeerMessage>,
}

/// The messages of one link, as its task holds them.
pub struct LinkQueue {
    /// The link's number.
    pub id: u64,
    /// Keeps the queue open.
    pub sender: Sender<PeerMessage>,
    /// The messages to send.
    pub receiver: Receiver<PeerMessage>,
}

/// Sends messages over links, and opens links where there are none.
pub struct PeerHub {
    key: SharedKey,
    control: ControlHandle,
    links: Mutex<FastMap<VmName, LinkHandle>>,
    next_link: AtomicU64,
    traffic: PeerTraffic,
}

/// Bytes of frames on all links, without what the transport adds.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    /// Bytes sent.
    pub sent: AtomicU64,
    /// Bytes received.
    pub received: AtomicU64,
}

impl PeerHub {
    /// A hub without links.
    pub fn new(key: SharedKey, control: ControlHandle) -> Arc<Self> {
        Arc::new(Self {
            key,
            control,
            links: Mutex::default(),
            next_link: AtomicU64::default(),
            traffic: PeerTraffic::default(),
        })
    }

    /// The deployment's shared key.
    pub fn key(&self) -> &SharedKey {
        &self.key
    }

    /// What the links have carried.
    pub fn traffic(&self) -> &PeerTraffic {
        &self.traffic
    }

    /// The way to the control thread.
    pub fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// What this process says of itself now.
    pub fn introduction(&self) -> VmIntroduction {
        self.control.snapshot().introduction.clone()
    }

    fn lock_links(&self) -> std::sync::MutexGuard<'_, FastMap<VmName, LinkHandle>> {
        lock(&self.links)
    }

    /// How many links are open or opening.
    pub fn link_count(&self) -> usize {
        self.lock_links().len()
    }

    /// Sends a message, over a new link where none is open.
    pub fn send(self: &Arc<Self>, to: &VmName, address: &str, message: PeerMessage) {
        let open = self.lock_links().get(to).cloned();
        if let Some(handle) = open
            && !handle.sender.is_closed()
        {
            // A long queue drops the message; whoever waits for its answer has a deadline.
            if handle.sender.len() < LINK_QUEUE && handle.sender.try_send(message).is_ok() {
                return;
            }
            spdlog::debug!(
                "event=peer_message_dropped vm={to} queued={}",
                handle.sender.len()
            );
            return;
        }
        let queue = self.add_link(to);
        let _ = queue.sender.try_send(message);
        let hub = self.clone();
        let vm = to.clone();
        let address = address.to_owned();
        async_std::task::spawn(async move { link::dial(hub, vm, address, queue).await });
    }

    /// Books a link. Messages go to the link that was booked first, so that two VMs which dial each other at once
    /// do not close both links; the other one is read only.
    pub fn add_link(&self, vm: &VmName) -> LinkQueue {
        let id = self.next_link.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = unbounded();
        let mut links = self.lock_links();
        if links.get(vm).is_none_or(|handle| handle.sender.is_closed()) {
            let sender = sender.clone();
            links.insert(vm.clone(), LinkHandle { id, sender });
        }
        LinkQueue { id, sender, receiver }
    }

    /// Forgets a link, unless a newer one has taken its place; whether it was the one in use.
    pub fn drop_link(&self, vm: &VmName, id: u64) -> bool {
        let mut links = self.lock_links();
        let is_in_use = links.get(vm).is_some_and(|handle| handle.id == id);
        if is_in_use {
            links.remove(vm);
        }
        is_in_use
    }

    /// Closes the link to a VM, so that the next message takes a new connection.
    pub fn reset(&self, vm: &VmName) {
        if let Some(handle) = self.lock_links().remove(vm) {
            handle.sender.close();
        }
    }
}
