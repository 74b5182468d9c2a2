//! The control thread, the only one that accesses the blackboard.

use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use futures::channel::oneshot;

use super::Snapshot;
use super::catch_up::{MAX_WAIT, SuspensionTracker};
use super::clock_watch::ClockWatch;
use super::exit_notice::ExitNotice;
use super::lock;
use crate::blackboard::{DrainFacts, ReplicaId};
use crate::clock;
use crate::controllers::message::{KeyCall, PeerMessage};
use crate::controllers::readers::reads_store;
use crate::controllers::rebalance::RoleOrder;
use crate::controllers::{ControlCore, EventKind, Reply};
use crate::prelude::*;

/// The shortest and the longest time between two ticks, in milliseconds. Each tick also checks for clock
/// steps.
const TICK_RANGE_MS: (u64, u64) = (5, 1_000);

/// How often the snapshot is published even if no controller asked for it, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 1_000;

/// How much of an event that made a controller panic is logged, in characters.
const MAX_CAUSE_CHARS: usize = 200;

/// An action that the control thread delegates to the traffic side.
#[derive(Debug)]
pub enum ControlOutput {
    /// Send a message to a peer.
    Send {
        /// The peer's name.
        to: VmName,
        /// IP address and port that the peer accepts links on.
        address: Arc<str>,
        /// The message to send.
        message: PeerMessage,
    },
    /// Close the link to a peer.
    ResetLink {
        /// The peer's name.
        vm: VmName,
    },
    /// Run a call that a peer forwarded.
    RunForwarded {
        /// The peer that forwarded the call and receives its outcome.
        from: VmName,
        /// The call with its idempotency key.
        call: KeyCall,
    },
    /// Order an engine to move to the other pool.
    OrderRole(RoleOrder),
    /// Query a replica's health check.
    CheckHealth {
        /// The replica to query.
        replica: ReplicaId,
    },
    /// End the process.
    Exit,
}

/// Number of events dispatched to the controllers, by kind.
type EventTally = [AtomicU64; EventKind::ALL.len()];

/// Tasks that wait for a reply, by ticket.
type Waiters = Mutex<FastMap<ReplyTicket, oneshot::Sender<Reply>>>;

/// The traffic side's interface to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    events: Sender<Event>,
    waiters: Arc<Waiters>,
    next_ticket: Arc<AtomicU64>,
    snapshot: Arc<ArcSwap<Snapshot>>,
    active_requests: Arc<AtomicU64>,
    event_tally: Arc<EventTally>,
    subscriptions: Arc<FastSet<EventKind>>,
    suspensions: Arc<SuspensionTracker>,
    exit_notice: Arc<ExitNotice>,
}

impl ControlHandle {
    /// Starts the control thread, which passes its outputs to `output`.
    pub fn start(
        core: ControlCore,
        output: impl Fn(ControlOutput) + Send + 'static,
    ) -> std::io::Result<ControlHandle> {
        let (events, inbox) = channel();
        let snapshot = Snapshot::from_board(&core.board, clock::now());
        let handle = Self {
            events,
            waiters: Arc::default(),
            next_ticket: Arc::default(),
            snapshot: Arc::new(ArcSwap::from_pointee(snapshot)),
            active_requests: Arc::default(),
            event_tally: Arc::new(std::array::from_fn(|_| AtomicU64::default())),
            subscriptions: Arc::new(core.subscriptions()),
            suspensions: Arc::new(SuspensionTracker::new(clock::now())),
            exit_notice: Arc::default(),
        };
        let thread = ControlThread {
            core,
            inbox,
            waiters: handle.waiters.clone(),
            snapshot: handle.snapshot.clone(),
            active_requests: handle.active_requests.clone(),
            event_tally: handle.event_tally.clone(),
            suspensions: handle.suspensions.clone(),
            exit_notice: handle.exit_notice.clone(),
            output: Box::new(output),
        };
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || thread.run())?;
        Ok(handle)
    }

    /// Sends an event to the control thread without waiting for a reply.
    pub fn send_event(&self, event: Event) {
        // The thread ends only with the process, so a failed send needs no handling.
        let _ = self.events.send(event);
    }

    /// Issues a ticket that is unique in this process.
    pub fn new_ticket(&self) -> ReplyTicket {
        ReplyTicket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends an event to the control thread and waits for the reply; `make` builds the event around the
    /// ticket. `None` if the waiter is dropped without a reply.
    pub async fn ask(&self, make: impl FnOnce(ReplyTicket) -> Event) -> Option<Reply> {
        let ticket = self.new_ticket();
        self.ask_as(ticket, make(ticket)).await
    }

    /// Sends an event that already contains the ticket, and waits for the reply.
    pub async fn ask_as(&self, ticket: ReplyTicket, event: Event) -> Option<Reply> {
        let (sender, receiver) = oneshot::channel();
        let guard = WaiterGuard {
            ticket,
            waiters: self.waiters.clone(),
        };
        lock(&self.waiters).insert(ticket, sender);
        self.send_event(event);
        let reply = receiver.await.ok();
        drop(guard);
        reply
    }

    /// Waits, after a suspension of this process, for the messages that peers sent meanwhile to be read.
    pub async fn catch_up(&self) {
        while let Some(wait_until) = self.suspensions.wait_until(clock::now()) {
            async_std::task::sleep(clock::now().remaining(wait_until)).await;
        }
    }

    /// Whether a connection opened at this time may be dead without having been closed: since then this
    /// process was suspended, or its links to at least half of its neighbors timed out together.
    pub fn may_be_half_open_since(&self, opened_at: Moment) -> bool {
        let silent_at = self.snapshot().links_silent_at;
        silent_at.is_some_and(|at| at > opened_at) || self.suspensions.resumed_at() > opened_at
    }

    /// Whether requests need not wait: no suspension is so recent that peers' messages may still be unread.
    pub fn has_caught_up(&self) -> bool {
        self.suspensions.wait_until(clock::now()).is_none()
    }

    /// The latest published snapshot of the blackboard.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Waits until this process was ordered to leave and returns the times of its drain.
    pub async fn drain_announced(&self) -> DrainFacts {
        self.exit_notice.announced().await
    }

    /// Counts a request as active until the guard is dropped.
    pub fn track_request(&self) -> ActiveRequestGuard {
        self.active_requests.fetch_add(1, Ordering::Relaxed);
        ActiveRequestGuard {
            active_requests: self.active_requests.clone(),
        }
    }

    /// Whether a controller of this process subscribes to events of this kind.
    pub fn is_subscribed(&self, kind: EventKind) -> bool {
        self.subscriptions.contains(&kind)
    }

    /// Number of events dispatched to the controllers since the start, by kind.
    pub fn event_counts(&self) -> impl Iterator<Item = (EventKind, u64)> {
        let counts = self.event_tally.iter().map(|count| count.load(Ordering::Relaxed));
        EventKind::ALL.iter().copied().zip(counts)
    }

    /// Number of requests that this node is handling.
    pub fn active_requests(&self) -> u64 {
        self.active_requests.load(Ordering::Relaxed)
    }
}

/// Removes the waiter when its task is cancelled.
struct WaiterGuard {
    ticket: ReplyTicket,
    waiters: Arc<Waiters>,
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        lock(&self.waiters).remove(&self.ticket);
    }
}

/// Counts a request as active until the guard is dropped.
pub struct ActiveRequestGuard {
    active_requests: Arc<AtomicU64>,
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.active_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

struct ControlThread {
    core: ControlCore,
    inbox: Receiver<Event>,
    waiters: Arc<Waiters>,
    snapshot: Arc<ArcSwap<Snapshot>>,
    active_requests: Arc<AtomicU64>,
    event_tally: Arc<EventTally>,
    suspensions: Arc<SuspensionTracker>,
    exit_notice: Arc<ExitNotice>,
    output: Box<dyn Fn(ControlOutput) + Send>,
}

impl ControlThread {
    fn run(mut self) {
        let mut clocks = ClockWatch::new();
        let mut last_tick = clock::now();
        let mut next_publish = last_tick;
        let mut next_wake = last_tick.after_ms(TICK_RANGE_MS.1);
        loop {
            let now = clock::now();
            // Some controllers ask for a tick some time after each event, which must not put off an earlier one.
            next_wake = self
                .core
                .wake_at(now)
                .map_or(next_wake, |wake| wake.min(next_wake));
            let next_tick = next_wake.max(last_tick.after_ms(TICK_RANGE_MS.0));
            let received = self.inbox.recv_timeout(now.remaining(next_tick).min(MAX_WAIT));
            if let Some(suspended_ms) = self.suspensions.record_wakeup(clock::now()) {
                spdlog::warn!("event=woke_late suspended_ms={suspended_ms}");
            }
            match received {
                Ok(event) => self.handle(&event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = clock::now();
            if now.reached(next_tick) {
                last_tick = now;
                next_wake = now.after_ms(TICK_RANGE_MS.1);
                clocks.check();
                let active_requests = self.active_requests.load(Ordering::Relaxed);
                self.handle(&Event::Tick { active_requests });
            }
            let reads_store = reads_store(&self.core.board, now);
            if now.reached(next_publish) || reads_store != self.snapshot.load().reads_store {
                next_publish = now.after_ms(PUBLISH_INTERVAL_MS);
                self.publish(now);
            }
        }
    }

    fn handle(&mut self, event: &Event) {
        let now = clock::now();
        self.event_tally[event.kind() as usize].fetch_add(1, Ordering::Relaxed);
        // An event that makes a controller panic must not stop the control thread.
        let handled = std::panic::catch_unwind(AssertUnwindSafe(|| self.core.handle(event, now)));
        let Ok(actions) = handled else {
            spdlog::error!(
                "event=controller_panicked cause={}",
                format!("{event:?}")
                    .chars()
                    .take(MAX_CAUSE_CHARS)
                    .collect::<String>()
            );
            return;
        };
        // Published before the replies, so that a task that receives one reads the state that it is based on.
        if actions.iter().any(|action| matches!(action, Action::Publish)) {
            self.publish(now);
        }
        let undelivered = actions.into_iter().filter_map(|action| self.execute(action));
        let undelivered: Vec<Event> = undelivered.collect();
        undelivered.iter().for_each(|event| self.handle(event));
    }

    fn publish(&self, now: Moment) {
        self.snapshot
            .store(Arc::new(Snapshot::from_board(&self.core.board, now)));
        if let Some(drain) = self.core.board.drain {
            self.exit_notice.announce(drain);
        }
    }

    /// Carries out an action. Returns the event that follows if it can't be carried out.
    fn execute(&self, action: Action) -> Option<Event> {
        match action {
            Action::Reply { ticket, reply } => return self.reply(ticket, reply),
            Action::Send { to, address, message } => {
                (self.output)(ControlOutput::Send { to, address, message })
            }
            Action::ResetLink { vm } => (self.output)(ControlOutput::ResetLink { vm }),
            Action::RunForwarded { from, call } => (self.output)(ControlOutput::RunForwarded { from, call }),
            Action::OrderRole(order) => (self.output)(ControlOutput::OrderRole(order)),
            Action::CheckHealth { replica } => (self.output)(ControlOutput::CheckHealth { replica }),
            Action::Publish => {}
            Action::Log(line) => spdlog::warn!("{line}"),
            Action::LogStep(line) => spdlog::info!("{line}"),
            Action::Exit => (self.output)(ControlOutput::Exit),
        }
        None
    }

    /// Answers a waiting task. Tokens of a quota whose task has ended are returned; a cancelled waiter returns
    /// other grants through its own guard.
    fn reply(&self, ticket: ReplyTicket, reply: Reply) -> Option<Event> {
        let waiter = lock(&self.waiters).remove(&ticket);
        let undelivered = match waiter {
            Some(waiter) => waiter.send(reply).err(),
            None => Some(reply),
        };
        match undelivered {
            Some(Reply::QuotaGranted(grant)) => Some(Event::QuotaReturned { grant }),
            _ => None,
        }
    }
}
