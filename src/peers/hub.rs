//! The links of this process, keyed by the peer's VM.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_std::channel::{Receiver, Sender, unbounded};

use super::link;
use crate::controllers::message::{PeerMessage, VmIntroduction};
use crate::prelude::*;
use crate::runtime::{ControlHandle, lock};
use crate::settings::SharedKey;

/// Limit for the messages queued on one link. Further messages are dropped; their senders time out.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// An open or opening link.
#[derive(Clone)]
struct LinkHandle {
    id: u64,
    sender: Sender<PeerMessage>,
}

/// The queue of messages to send over one link, held by the link's task.
pub struct LinkQueue {
    /// The link's number, unique within the process.
    pub id: u64,
    /// The sending half; closed when the link ends.
    pub sender: Sender<PeerMessage>,
    /// The messages to send.
    pub receiver: Receiver<PeerMessage>,
}

/// Sends messages to peers, and opens a link to a peer if there is none.
pub struct PeerHub {
    key: SharedKey,
    control: ControlHandle,
    links: Mutex<FastMap<VmName, LinkHandle>>,
    next_link: AtomicU64,
    traffic: PeerTraffic,
}

/// Byte counts of the frames on all links, without length prefixes and TCP overhead.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    /// Bytes sent since the process started.
    pub sent_bytes: AtomicU64,
    /// Bytes received since the process started.
    pub received_bytes: AtomicU64,
}

impl PeerHub {
    /// Creates a hub without links.
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

    /// The byte counts of all links.
    pub fn traffic(&self) -> &PeerTraffic {
        &self.traffic
    }

    /// The handle of the control thread.
    pub fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// The current introduction of this process.
    pub fn introduction(&self) -> VmIntroduction {
        self.control.snapshot().introduction.clone()
    }

    fn lock_links(&self) -> std::sync::MutexGuard<'_, FastMap<VmName, LinkHandle>> {
        lock(&self.links)
    }

    /// Number of links that are open or opening.
    pub fn link_count(&self) -> usize {
        self.lock_links().len()
    }

    /// Sends a message without waiting; opens a link to the address if none is open.
    pub fn send(self: &Arc<Self>, to: &VmName, address: &str, message: PeerMessage) {
        let open = self.lock_links().get(to).cloned();
        if let Some(handle) = open
            && !handle.sender.is_closed()
        {
            // A message for a full queue is dropped; a task that waits for its answer has a deadline.
            if handle.sender.len() < MAX_QUEUED_MESSAGES && handle.sender.try_send(message).is_ok() {
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

    /// Adds a link. Messages go to the link that was added last: a peer that opens one has found the earlier
    /// one silent or closed. The earlier link is read from until it is idle, so that two VMs that dial each
    /// other at the same time do not close both links.
    pub fn add_link(&self, vm: &VmName) -> LinkQueue {
        let id = self.next_link.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = unbounded();
        let handle = LinkHandle {
            id,
            sender: sender.clone(),
        };
        self.lock_links().insert(vm.clone(), handle);
        LinkQueue { id, sender, receiver }
    }

    /// Removes a link unless another one has replaced it; returns whether it was in use.
    pub fn remove_link(&self, vm: &VmName, id: u64) -> bool {
        let mut links = self.lock_links();
        let is_in_use = links.get(vm).is_some_and(|handle| handle.id == id);
        if is_in_use {
            links.remove(vm);
        }
        is_in_use
    }

    /// Closes the link to a VM, so that the next message opens a new connection.
    pub fn reset_link(&self, vm: &VmName) {
        if let Some(handle) = self.lock_links().remove(vm) {
            handle.sender.close();
        }
    }
}
