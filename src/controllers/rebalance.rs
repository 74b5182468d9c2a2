//! How many of a service's engines run prompts and how many generate: orders that move an engine to the other pool.
//!
//! One VM gives orders, the same one for all nodes and for good, so that no two VMs ever order the same engine by turns.
//! While it is away the pools stay as they are, which costs room at the peak and nothing else.

use std::sync::Arc;

use super::message::PeerMessage;
use crate::blackboard::{EngineView, ReplicaFacts, ReplicaId};
use crate::prelude::*;
use crate::register::EngineRole;

/// The share of engines that run prompts, in thousandths: a prompt of some thousand tokens takes a third of the time for
/// which its answer keeps an engine's memory. Shares from measured means were tried and served fewer callers.
const PREFILL_SHARE: u64 = 250;

/// How far a pool must be from its best size before a first engine is moved, in thousandths of an engine. Below one
/// engine's half it would be moved back and forth.
const FIRST_THRESHOLD: u64 = 750;

/// The same once engines have been moved, in thousandths of an engine: each move keeps an engine from work for seconds.
const LATER_THRESHOLD: u64 = 1_250;

/// The fewest engines that a pool is left with: after the loss of one, two still share its work.
const MIN_POOL_ENGINES: u64 = 3;

/// How long the list must have been unchanged before a first engine is moved, in milliseconds: replicas that start
/// together are listed within it.
const FIRST_SETTLED_MS: u64 = 1_500;

/// The same once engines have been moved, in milliseconds: a replica that crashed is mostly back within it.
const LATER_SETTLED_MS: u64 = 8_000;

/// Moves that are under way at once, as a part of all engines.
const ENGINES_PER_MOVE: usize = 6;

/// How much longer than the engine says a move may take before another one is tried, in milliseconds.
const MOVE_GRACE_MS: u64 = 3_000;

/// Time between two looks at the pools, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;

/// Bits of a fencing token that number the orders given at one state of the store.
const ORDER_NUMBER_BITS: u32 = 8;

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleOrder {
    /// The engine.
    pub engine: ReplicaId,
    /// Its new pool.
    pub role: EngineRole,
    /// Grows with each order, also over restarts of this process: it is made of the store's own state.
    pub fencing_token: u64,
}

/// A move that is under way.
#[derive(Clone, Copy, Debug)]
struct EngineMove {
    role: EngineRole,
    until: Moment,
}

/// An order that was given.
#[derive(Clone, Debug)]
struct KnownOrder {
    engine: ReplicaId,
    fencing_token: u64,
    /// Until when the engine takes nothing.
    until: Moment,
}

/// Decides on the sizes of the pools.
#[derive(Debug, Default)]
pub struct RebalanceController {
    seen_replicas: Arc<FastMap<ReplicaId, ReplicaFacts>>,
    settled_at: Moment,
    /// Engines under order.
    moving: FastMap<ReplicaId, EngineMove>,
    /// The newest order that is known, by whichever process it was given.
    latest_order: Option<KnownOrder>,
    /// Whether an engine was moved since the start.
    has_moved: bool,
    /// Whether the pools have had their best sizes since the start.
    has_settled: bool,
}

impl RebalanceController {
    fn run_periodic(&mut self, context: &mut ControlContext<'_>) {
        let board = &context.board;
        // Fencing tokens are made of the store's state, which this process has to have read itself: what peers tell may
        // be older than what an earlier process on this VM made its tokens of.
        if !board.gives_orders
            || board.store_revision == 0
            || board.list_revision == 0
            || board.drain.is_some()
        {
            return;
        }
        if !Arc::ptr_eq(&self.seen_replicas, &context.board.replicas) {
            self.seen_replicas = context.board.replicas.clone();
            let span_ms = if self.has_moved {
                LATER_SETTLED_MS
            } else {
                FIRST_SETTLED_MS
            };
            self.settled_at = context.now.after_ms(span_ms);
        }
        if !context.now.reached(self.settled_at) {
            return;
        }
        let register = context.board.register.register.clone();
        for (service, rule) in &register.services {
            let switch_ms = rule.engine.as_ref().map_or(0, |engine| engine.role_switch_ms);
            if switch_ms > 0 {
                self.balance(service, switch_ms, context);
            }
        }
    }

    fn balance(&mut self, service: &Arc<str>, switch_ms: u64, context: &mut ControlContext<'_>) {
        let engines: Vec<EngineView> = context
            .board
            .engines(service)
            .into_iter()
            .filter(|engine| context.board.is_staying(&engine.name))
            .collect();
        let role_of = |name: &ReplicaId| {
            engines
                .iter()
                .find(|engine| engine.name == *name)
                .map(|engine| engine.role)
        };
        let now = context.now;
        self.moving
            .retain(|name, moving| !now.reached(moving.until) && role_of(name) != Some(moving.role));
        let max_moves = engines.len().div_ceil(ENGINES_PER_MOVE);
        if self.moving.len() >= max_moves {
            return;
        }
        let Some(role) = self.choose_growing_pool(&engines) else {
            self.has_settled |= self.moving.is_empty();
            return;
        };
        let Some(engine) = self.pick_engine(&engines, role, context.board) else {
            return;
        };
        self.order(engine, role, switch_ms, context);
    }

    /// The pool that should grow, with what is under way counted as done.
    fn choose_growing_pool(&self, engines: &[EngineView]) -> Option<EngineRole> {
        let total = engines.len() as u64;
        let is_prefill = |engine: &&EngineView| {
            let moving = self.moving.get(&engine.name);
            moving.map_or(engine.role, |moving| moving.role) == EngineRole::Prefill
        };
        let prefills = engines.iter().filter(is_prefill).count() as u64;
        let target = total * PREFILL_SHARE;
        let threshold = if self.has_settled {
            LATER_THRESHOLD
        } else {
            FIRST_THRESHOLD
        };
        if prefills * 1_000 >= target + threshold && prefills > MIN_POOL_ENGINES {
            Some(EngineRole::Decode)
        } else if prefills * 1_000 + threshold <= target && total - prefills > MIN_POOL_ENGINES {
            Some(EngineRole::Prefill)
        } else {
            None
        }
    }

    /// An engine of the other pool, from the zone where that pool is largest. One that names a limit is in need, and an order
    /// is a request, too.
    fn pick_engine<'a>(
        &self,
        engines: &'a [EngineView],
        role: EngineRole,
        board: &Blackboard,
    ) -> Option<&'a EngineView> {
        let donors = || engines.iter().filter(|engine| engine.role != role);
        donors()
            .filter(|engine| !self.moving.contains_key(&engine.name))
            .filter(|engine| board.listed_rate_limit(&engine.name).is_none())
            .max_by_key(|engine| donors().filter(|other| other.zone == engine.zone).count())
    }

    fn order(
        &mut self,
        engine: &EngineView,
        role: EngineRole,
        switch_ms: u64,
        context: &mut ControlContext<'_>,
    ) {
        let wait_ms = switch_ms + MOVE_GRACE_MS;
        self.moving.insert(
            engine.name.clone(),
            EngineMove {
                role,
                until: context.now.after_ms(wait_ms),
            },
        );
        let token = (context.board.store_revision << ORDER_NUMBER_BITS).max(self.last_token() + 1);
        self.latest_order = Some(KnownOrder {
            engine: engine.name.clone(),
            fencing_token: token,
            until: context.now.after_ms(wait_ms),
        });
        self.has_moved = true;
        context.log(format!(
            "event=engine_ordered engine={} role={role:?} fencing_token={token} list_revision={}",
            engine.name, context.board.list_revision
        ));
        context.actions.push(Action::OrderRole(RoleOrder {
            engine: engine.name.clone(),
            role,
            fencing_token: token,
        }));
        let message = PeerMessage::EngineBusy {
            engine: engine.name.clone(),
            fencing_token: token,
            span_ms: wait_ms,
        };
        mark_busy(&engine.name, wait_ms, context);
        context.send_to_neighbors(&message);
    }

    fn last_token(&self) -> u64 {
        self.latest_order.as_ref().map_or(0, |order| order.fencing_token)
    }

    /// Tells a process that has just joined of the newest order: where it gives orders, its next one has to outdate that.
    fn send_latest_order(&self, vm: &VmAddress, context: &mut ControlContext<'_>) {
        if let Some(order) = &self.latest_order {
            let message = PeerMessage::EngineBusy {
                engine: order.engine.clone(),
                fencing_token: order.fencing_token,
                span_ms: context.now.until_ms(order.until),
            };
            context.send_to(vm, message);
        }
    }

    /// Takes a peer's word that an engine is being moved, and passes news on.
    fn receive_busy(
        &mut self,
        engine: &ReplicaId,
        fencing_token: u64,
        span_ms: u64,
        context: &mut ControlContext<'_>,
    ) {
        if fencing_token <= self.last_token() {
            return;
        }
        self.latest_order = Some(KnownOrder {
            engine: engine.clone(),
            fencing_token,
            until: context.now.after_ms(span_ms),
        });
        mark_busy(engine, span_ms, context);
        context.send_to_neighbors(&PeerMessage::EngineBusy {
            engine: engine.clone(),
            fencing_token,
            span_ms,
        });
    }
}

fn mark_busy(engine: &ReplicaId, span_ms: u64, context: &mut ControlContext<'_>) {
    let until = context.now.after_ms(span_ms);
    context.board.upstream_mut(engine).down_until = Some(until);
}

impl Controller for RebalanceController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[EventKind::Tick, EventKind::PeerJoined, EventKind::PeerMessage]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::Tick { .. } => self.run_periodic(context),
            Event::PeerJoined { introduction } => self.send_latest_order(&introduction.name, context),
            Event::PeerMessage {
                message:
                    PeerMessage::EngineBusy {
                        engine,
                        fencing_token,
                        span_ms,
                    },
                ..
            } => self.receive_busy(engine, *fencing_token, *span_ms, context),
            _ => {}
        }
    }

    fn wake_at(&self, board: &Blackboard, now: Moment) -> Option<Moment> {
        board.gives_orders.then(|| now.after_ms(CHECK_INTERVAL_MS))
    }
}
