//! State that all tasks of a gateway share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use async_std::net::TcpStream;

use super::WireProtocol;
use super::caller_registry::{CallerConnection, CallerRegistry, CloseReason};
use super::crowd_log::CrowdLog;
use super::memory_account::{MemoryAccount, MemoryKind, MemoryShare};
use super::metrics::GatewayMetrics;
use super::pool::ConnectionPool;
use super::socket_shares::{ReplicaSockets, SocketShares};
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

/// The replica selector and the replica list that it was last synchronized with.
struct SelectorState {
    selector: ReplicaSelector,
    replicas: Arc<FastMap<ReplicaId, ReplicaFacts>>,
}

/// The settings, connections and measurements of one gateway.
pub struct GatewayContext {
    settings: ArcSwap<GatewaySettings>,
    /// Identity of this node.
    pub own: OwnIdentity,
    /// Handle of the control thread: takes events and provides snapshots.
    pub control: ControlHandle,
    /// Reads and writes the headers and small bodies of the platform's protocol.
    pub protocol: Arc<dyn WireProtocol>,
    /// Counters and histograms that the gateway exports.
    pub metrics: GatewayMetrics,
    /// Idle connections to replicas.
    pub pool: ConnectionPool,
    /// Memory that callers and slow replicas take.
    pub memory: Arc<MemoryAccount>,
    /// Callers' open connections.
    pub callers: CallerRegistry,
    /// Open connections to replicas.
    pub replica_sockets: Arc<ReplicaSockets>,
    /// Log of connections that were closed early or refused.
    pub crowd_log: CrowdLog,
    /// Reported attributes of replicas that the adapter does not know.
    pub unknown_attributes: UnknownAttributes,
    /// Requests lost on connections that may not have reached a replica.
    pub unproven_losses: UnprovenLosses,
    selector: Mutex<SelectorState>,
    budget: Mutex<SendBudget>,
    latencies: Mutex<FastMap<Arc<str>, LatencyWindow>>,
    /// Time from reading a request to the end of its answer by route, in milliseconds.
    spans: Mutex<FastMap<Arc<str>, LatencyWindow>>,
    /// Time between two tokens of a stream by service, in microseconds.
    token_gap_us: Mutex<FastMap<Arc<str>, LatencyWindow>>,
    /// Prefill time per prompt token by service, in microseconds.
    prefill_token_us: Mutex<FastMap<Arc<str>, LatencyWindow>>,
    next_request: AtomicU64,
}

impl GatewayContext {
    /// Creates a context without connections or measurements.
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
        let selector = SelectorState {
            selector: ReplicaSelector::new(own.zone.clone(), own.incarnation as u64),
            replicas: Arc::default(),
        };
        let memory = MemoryAccount::new(settings.capacity.memory_bytes);
        Arc::new(Self {
            settings: ArcSwap::from_pointee(settings),
            own,
            control,
            protocol,
            metrics,
            pool: ConnectionPool::default(),
            memory,
            callers: CallerRegistry::default(),
            replica_sockets: Arc::default(),
            crowd_log: CrowdLog::default(),
            unknown_attributes: UnknownAttributes::default(),
            unproven_losses: UnprovenLosses::default(),
            selector: Mutex::new(selector),
            budget: Mutex::new(budget),
            latencies: Mutex::default(),
            spans: Mutex::default(),
            token_gap_us: Mutex::default(),
            prefill_token_us: Mutex::default(),
            next_request: AtomicU64::default(),
        })
    }

    /// Returns the current settings.
    pub fn settings(&self) -> Arc<GatewaySettings> {
        self.settings.load_full()
    }

    /// Replaces the settings; callers that loaded the old ones keep them.
    pub fn replace_settings(&self, settings: GatewaySettings) {
        self.settings.store(Arc::new(settings));
    }

    /// Returns the latest snapshot of the blackboard.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.control.snapshot()
    }

    /// The refusal of a request that this VM does not serve because it leaves; another VM may take it at once.
    pub fn leaving_notice(&self) -> RefusalNotice {
        RefusalNotice::new(ResultCode::Leaving, &*self.own.name).retry_after_ms(0)
    }

    /// Returns the number of tokens per event in a service's streams; 1 if the service has no engine rule.
    pub fn event_tokens(&self, service: &str) -> u64 {
        let snapshot = self.snapshot();
        let rule = snapshot.register.services.get(service);
        let engine = rule.and_then(|rule| rule.engine.as_ref());
        engine.map_or(1, |engine| u64::from(engine.event_tokens))
    }

    /// Returns a new attempt id: the node's incarnation and a serial number, unique across processes.
    pub fn next_request_id(&self) -> RequestId {
        let serial = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}~{serial}", self.own.incarnation as u64).into()
    }

    /// Runs `work` on the replica selector, which is first synchronized with the rate limits and the replica
    /// list.
    pub fn with_selector<T>(&self, work: impl FnOnce(&mut ReplicaSelector) -> T) -> T {
        let snapshot = self.snapshot();
        let replicas = snapshot.replicas.clone();
        let mut state = lock(&self.selector);
        state.selector.set_limits(&snapshot.rate_limits);
        let has_pace = snapshot.register.paces_replicas();
        let has_changed_pace = state.selector.has_pace() != has_pace;
        state.selector.set_pace(has_pace);
        if has_changed_pace || !Arc::ptr_eq(&state.replicas, &replicas) {
            state.selector.replace(replicas.values(), clock::now());
            state.replicas = replicas;
        }
        let result = work(&mut state.selector);
        for change in state.selector.take_pace_changes() {
            spdlog::warn!("{}", change.log_line());
        }
        result
    }

    /// Returns the number of VMs that share the budget slack; `None` if this VM knows no other one although
    /// other seeds are configured.
    pub fn slack_sharers(&self) -> Option<usize> {
        let member_count = self.snapshot().member_count;
        let has_others = self.settings().other_seed_count() > 0;
        (member_count > 1 || !has_others).then_some(member_count)
    }

    /// Locks the budget for extra sends.
    pub fn budget(&self) -> MutexGuard<'_, SendBudget> {
        lock(&self.budget)
    }

    fn with_latencies<T>(&self, service: &Arc<str>, work: impl FnOnce(&mut LatencyWindow) -> T) -> T {
        let mut latencies = lock(&self.latencies);
        work(latencies.entry(service.clone()).or_default())
    }

    /// Records how long a replica took for an idempotent call, in milliseconds.
    pub fn record_latency(&self, service: &Arc<str>, elapsed_ms: u64) {
        self.with_latencies(service, |window| window.record(elapsed_ms));
    }

    /// Returns how long to wait for an idempotent call's answer before a hedged send, in milliseconds.
    pub fn hedge_delay_ms(&self, service: &Arc<str>) -> u64 {
        self.with_latencies(service, |window| window.hedge_delay_ms())
    }

    /// Records how long a request was served, in milliseconds.
    pub fn record_span(&self, route: &Arc<str>, span_ms: u64) {
        /// Maximum number of routes, as configurations may name new ones all the time.
        const MAX_ROUTES: usize = 1_024;
        let mut spans = lock(&self.spans);
        if spans.len() >= MAX_ROUTES && !spans.contains_key(route) {
            spans.clear();
        }
        spans.entry(route.clone()).or_default().record(span_ms);
    }

    /// Returns the time in which nine in ten of a route's latest requests were served, in milliseconds; `None`
    /// while too few are recorded.
    pub fn slow_span_ms(&self, route: &Arc<str>) -> Option<u64> {
        lock(&self.spans).get(route)?.slow_latency()
    }

    /// Records how long an engine took to prefill a prompt, in milliseconds.
    pub fn record_prefill(&self, service: &Arc<str>, tokens: u32, elapsed_ms: u64) {
        if let Some(token_us) = (elapsed_ms * 1_000).checked_div(u64::from(tokens)) {
            let mut token_times = lock(&self.prefill_token_us);
            token_times.entry(service.clone()).or_default().record(token_us);
        }
    }

    /// Estimates how long a slow engine takes to prefill a prompt, in milliseconds; `None` while too few
    /// prefills are recorded.
    pub fn slow_prefill_ms(&self, service: &Arc<str>, tokens: u32) -> Option<u64> {
        let token_us = lock(&self.prefill_token_us).get(service)?.slow_latency()?;
        Some(token_us * u64::from(tokens) / 1_000)
    }

    /// Records the mean time between two tokens of a complete stream, in microseconds.
    pub fn record_token_gap(&self, service: &Arc<str>, token_gap_us: u64) {
        let mut token_gaps = lock(&self.token_gap_us);
        token_gaps
            .entry(service.clone())
            .or_default()
            .record(token_gap_us);
    }

    /// Estimates how long a slow engine takes to generate so many tokens, in milliseconds; `None` while too few
    /// streams are recorded.
    pub fn slow_generation_ms(&self, service: &Arc<str>, tokens: u32) -> Option<u64> {
        let token_gap_us = lock(&self.token_gap_us).get(service)?.slow_latency()?;
        Some(token_gap_us * u64::from(tokens) / 1_000)
    }

    /// Returns how many sockets each use may have open.
    pub fn socket_shares(&self) -> SocketShares {
        let known_vms = self.snapshot().known_vms;
        SocketShares::divide(self.settings().capacity.max_sockets, known_vms)
    }

    /// Admits and counts a caller's connection. If there are too many, the one that has made no progress for
    /// longest is closed in favor of the new one; `None` if none can be closed.
    pub fn admit_caller(self: &Arc<Self>, stream: &TcpStream) -> Option<CallerGuard> {
        let (now, max_callers) = (clock::now(), self.socket_shares().callers);
        let count = self.callers.count();
        let mut share = self.memory.share(MemoryKind::Connections);
        if (count >= max_callers || !share.grow_to(CONNECTION_BYTES))
            && !self.close_longest_idle(now, CloseReason::Admission)
        {
            return None;
        }
        share.take_over(CONNECTION_BYTES);
        // Connections that are being closed still count, and are gone in a moment.
        if count >= max_callers + max_callers / CLOSING_DIVISOR {
            return None;
        }
        let (number, connection) = self.callers.add(now, Box::new(stream.clone()));
        Some(CallerGuard {
            context: self.clone(),
            connection,
            number,
            _share: share,
        })
    }

    /// Closes the connection that has made no progress for longest, if there is one that may be closed.
    fn close_longest_idle(&self, now: Moment, reason: CloseReason) -> bool {
        let is_closed = self.callers.close_longest_idle(now, reason);
        if is_closed {
            self.record_closed(EVICTED);
        }
        is_closed
    }

    /// Makes room after memory was refused, by the close of a connection that holds some and makes no progress.
    pub fn relieve_memory(&self) {
        self.close_longest_idle(clock::now(), CloseReason::MemoryPressure);
    }

    /// Counts a caller's connection that was refused or closed early; logs it at most once a second.
    pub fn record_closed(&self, reason: &'static str) {
        self.metrics.count_closed(reason);
        if let Some(count) = self.crowd_log.record(reason, clock::now()) {
            spdlog::warn!("event=callers_closed reason={reason} count={count}");
        }
    }
}

/// Memory that is reserved for each caller's connection, in bytes: its task, its read buffer and the first 8 KB of
/// a body. Measured: 494 connections that stop short of 8,100 bytes take 16 MB.
const CONNECTION_BYTES: usize = 32 * 1024;

/// A fraction of the callers' connections may be closing while others are admitted in their place.
const CLOSING_DIVISOR: usize = 8;

/// Reason of connections that are closed in favor of others.
const EVICTED: &str = "longest_idle";

/// Counts a caller's connection as open until the guard is dropped.
pub struct CallerGuard {
    context: Arc<GatewayContext>,
    /// The connection's progress.
    pub connection: Arc<CallerConnection>,
    number: u64,
    _share: MemoryShare,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.context.callers.remove(self.number);
    }
}
