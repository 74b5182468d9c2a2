//! What every task of a gateway needs.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;

use super::WireProtocol;
use super::metrics::GatewayMetrics;
use super::pool::ConnectionPool;
use super::statements::UnknownAttributes;
use super::unproven::UnprovenLosses;
use crate::blackboard::{OwnIdentity, ReplicaFacts, ReplicaId};
use crate::clock;
use crate::controllers::dispatch::{ReplicaSelector, SendBudget};
use crate::controllers::hedging::LatencyWindow;
use crate::controllers::slots::RequestId;
use crate::prelude::*;
use crate::runtime::{ControlHandle, Snapshot, lock};
use crate::settings::GatewaySettings;

/// The standings, and the list of replicas that they were last brought in line with.
struct BookState {
    book: ReplicaSelector,
    replicas: Arc<FastMap<ReplicaId, ReplicaFacts>>,
}

/// Shared by all tasks of a gateway.
pub struct GatewayContext {
    settings: ArcSwap<GatewaySettings>,
    /// This node.
    pub own: OwnIdentity,
    /// The way to the control thread.
    pub control: ControlHandle,
    /// What things are called on the wire.
    pub protocol: Arc<dyn WireProtocol>,
    /// The metrics.
    pub metrics: GatewayMetrics,
    /// Kept connections to replicas.
    pub pool: ConnectionPool,
    /// Statements of replicas that nothing reads.
    pub unknown_attributes: UnknownAttributes,
    /// Requests that were lost where nobody may have been to run them.
    pub unproven_losses: UnprovenLosses,
    book: Mutex<BookState>,
    budget: Mutex<SendBudget>,
    latencies: Mutex<FastMap<Arc<str>, LatencyWindow>>,
    /// Times of prefills by service, in microseconds for each token.
    prefill_paces: Mutex<FastMap<Arc<str>, LatencyWindow>>,
    callers: AtomicUsize,
    next_request: AtomicU64,
}

impl GatewayContext {
    /// A context for one node.
    pub fn new(
        settings: GatewaySettings,
        own: OwnIdentity,
        control: ControlHandle,
        protocol: Arc<dyn WireProtocol>,
        metrics: GatewayMetrics,
    ) -> Arc<Self> {
        let contract = &settings.contract;
        let budget = SendBudget::new(
            contract.retry_ratio,
            contract.retry_slack,
            contract.retry_window_ms,
            settings.is_first_start,
        );
        let book = BookState {
            book: ReplicaSelector::new(own.zone.clone(), own.incarnation as u64),
            replicas: Arc::default(),
        };
        Arc::new(Self {
            settings: ArcSwap::from_pointee(settings),
            own,
            control,
            protocol,
            metrics,
            pool: ConnectionPool::default(),
            unknown_attributes: UnknownAttributes::default(),
            unproven_losses: UnprovenLosses::default(),
            book: Mutex::new(book),
            budget: Mutex::new(budget),
            latencies: Mutex::default(),
            prefill_paces: Mutex::default(),
            callers: AtomicUsize::default(),
            next_request: AtomicU64::default(),
        })
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<GatewaySettings> {
        self.settings.load_full()
    }

    /// Puts other settings in force.
    pub fn replace_settings(&self, settings: GatewaySettings) {
        self.settings.store(Arc::new(settings));
    }

    /// The present view of the board.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.control.snapshot()
    }

    /// Tokens in one event of a service's streams.
    pub fn event_tokens(&self, service: &str) -> u64 {
        let snapshot = self.snapshot();
        let rule = snapshot.register.services.get(service);
        let engine = rule.and_then(|rule| rule.engine.as_ref());
        engine.map_or(1, |engine| u64::from(engine.event_tokens))
    }

    /// An id that no other attempt of any process has.
    pub fn next_request_id(&self) -> RequestId {
        let serial = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}~{serial}", self.own.incarnation as u64).into()
    }

    /// Works on the standings, which are first brought in line with the list of replicas.
    pub fn with_book<T>(&self, work: impl FnOnce(&mut ReplicaSelector) -> T) -> T {
        let snapshot = self.snapshot();
        let replicas = snapshot.replicas.clone();
        let mut state = lock(&self.book);
        state.book.set_limits(&snapshot.rate_limits);
        if !Arc::ptr_eq(&state.replicas, &replicas) {
            state.book.replace(replicas.values(), clock::now());
            state.replicas = replicas;
        }
        work(&mut state.book)
    }

    /// How many VMs share the budget's reserve; `None` while this one has met nobody though there should be others.
    pub fn reserve_sharers(&self) -> Option<usize> {
        let member_count = self.snapshot().member_count;
        let has_others = self.settings().other_seed_count() > 0;
        (member_count > 1 || !has_others).then_some(member_count)
    }

    /// Works on the budget for extra sends.
    pub fn budget(&self) -> MutexGuard<'_, SendBudget> {
        lock(&self.budget)
    }

    fn with_latencies<T>(&self, service: &Arc<str>, work: impl FnOnce(&mut LatencyWindow) -> T) -> T {
        let mut latencies = lock(&self.latencies);
        work(latencies.entry(service.clone()).or_default())
    }

    /// Notes how long a replica took for an idempotent call.
    pub fn note_latency(&self, service: &Arc<str>, elapsed_ms: u64) {
        self.with_latencies(service, |window| window.record(elapsed_ms));
    }

    /// How long to wait for an idempotent call's answer before a second replica is asked, in milliseconds.
    pub fn hedge_delay_ms(&self, service: &Arc<str>) -> u64 {
        self.with_latencies(service, |window| window.hedge_delay_ms())
    }

    /// Notes how long an engine took for a prompt.
    pub fn note_prefill(&self, service: &Arc<str>, tokens: u32, elapsed_ms: u64) {
        if let Some(pace_us) = (elapsed_ms * 1_000).checked_div(u64::from(tokens)) {
            let mut paces = lock(&self.prefill_paces);
            paces.entry(service.clone()).or_default().record(pace_us);
        }
    }

    /// How long a slow engine takes for a prompt, in milliseconds; `None` while that is not known.
    pub fn slow_prefill_ms(&self, service: &Arc<str>, tokens: u32) -> Option<u64> {
        let pace_us = lock(&self.prefill_paces).get(service)?.slow_latency()?;
        Some(pace_us * u64::from(tokens) / 1_000)
    }

    /// Counts a caller's connection, unless there are too many.
    pub fn admit_caller(self: &Arc<Self>) -> Option<CallerGuard> {
        /// The part of the sockets that callers may use, in percent; a request may need two upstream connections.
        const CALLER_PERCENT: usize = 60;
        let most = self.settings().capacity.max_sockets * CALLER_PERCENT / 100;
        let count = self.callers.fetch_add(1, Ordering::Relaxed) + 1;
        let guard = CallerGuard {
            context: self.clone(),
        };
        (count <= most).then_some(guard)
    }
}

/// A caller's connection, counted until it is dropped.
pub struct CallerGuard {
    context: Arc<GatewayContext>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.context.callers.fetch_sub(1, Ordering::Relaxed);
    }
}
