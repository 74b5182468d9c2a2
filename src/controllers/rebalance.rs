//! Balances a service's engines between the prefill and the decode pool, by orders that move an engine to the
//! other pool.
//!
//! One fixed VM gives the orders for the whole fleet, so that no two VMs move the same engine back and forth.
//! While that VM is down the pools keep their sizes, which costs capacity at the peak and nothing else.

use std::sync::Arc;

use super::message::PeerMessage;
use crate::blackboard::{EngineView, ReplicaFacts, ReplicaId, SeedFacts};
use crate::prelude::*;
use crate::register::EngineRole;

/// The share of engines in the prefill pool, in thousandths: a prompt of some thousand tokens takes a third
/// of the time for which its answer occupies an engine's memory. Shares computed from measured means served
/// fewer callers.
const PREFILL_SHARE: u64 = 250;

/// How far a pool must be from its target size before the first engine is moved, in thousandths of an engine.
/// Below 500 an engine would be moved back and forth.
const FIRST_THRESHOLD: u64 = 750;

/// The threshold once the pools have reached their target sizes, in thousandths of an engine. It is higher,
/// since each move keeps an engine from work for seconds.
const LATER_THRESHOLD: u64 = 1_250;

/// Fewest engines that are left in a pool: after the loss of one, two still share its work.
const MIN_POOL_ENGINES: u64 = 3;

/// How long the list must have been unchanged before the first engine is moved, in milliseconds: replicas
/// that start together are listed within this time.
const FIRST_SETTLED_MS: u64 = 1_500;

/// How long the list must have been unchanged after a move has been ordered, in milliseconds: a replica that
/// crashed is usually back within this time.
const LATER_SETTLED_MS: u64 = 8_000;

/// A service may have one move in progress per this many engines, rounded up.
const ENGINES_PER_MOVE: usize = 6;

/// How much longer than the configured switch time a move may take before another one is tried, in
/// milliseconds.
const MOVE_GRACE_MS: u64 = 3_000;

/// Time between two checks of the pools, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;

/// How long a VM waits after it has become the one that gives orders before it gives the first, in milliseconds. The
/// other VM may notice its changed settings a second later, and two VMs must not give orders to one engine within
/// three seconds.
const HOLDER_CHANGE_MS: u64 = 5_000;

/// Low bits of a fencing token: the time of the order, which tells orders at one position of the store apart also
/// if all processes were started again in between. They overflow after 19 days without a change of the store.
const ORDER_TIME_BITS: u32 = 24;

/// Unit of that time, in milliseconds.
const ORDER_TIME_UNIT_MS: u64 = 100;

/// Bits of a fencing token above the time: the store's revision. The era is above them, in the nine bits that are left
/// of a signed integer.
const REVISION_BITS: u32 = 30;

/// An order that moves an engine to the other pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleOrder {
    /// The engine to move.
    pub engine: ReplicaId,
    /// The pool that the engine joins.
    pub role: EngineRole,
    /// Grows with each order, across restarts of this process and of the store too: it is derived from the
    /// store's own position and the time.
    pub fencing_token: u64,
}

/// A move in progress.
#[derive(Clone, Copy, Debug)]
struct EngineMove {
    role: EngineRole,
    until: Moment,
}

/// The newest known order of any process.
#[derive(Clone, Debug)]
struct KnownOrder {
    engine: ReplicaId,
    fencing_token: u64,
    /// When the engine accepts requests again at the latest.
    until: Moment,
}

/// Keeps the pools at their target sizes by moving engines.
#[derive(Debug, Default)]
pub struct RebalanceController {
    seen_replicas: Arc<FastMap<ReplicaId, ReplicaFacts>>,
    settled_at: Moment,
    /// Engines that were ordered to move and have not moved yet.
    moving: FastMap<ReplicaId, EngineMove>,
    /// The newest known order, given by this process or another one.
    latest_order: Option<KnownOrder>,
    /// Whether this process has ordered a move.
    has_moved: bool,
    /// Whether the pools have reached their target sizes since this process started.
    has_settled: bool,
    /// Until when another VM may still give orders, so that this one gives none.
    other_holder_until: Moment,
}

impl RebalanceController {
    /// Takes over whether this VM gives orders from changed settings.
    fn set_seeds(&mut self, seeds: SeedFacts, context: &mut ControlContext<'_>) {
        let board = &mut context.board;
        let was_rebalancer = std::mem::replace(&mut board.is_rebalancer, seeds.is_rebalancer);
        board.is_seed = seeds.is_seed;
        board.other_seed_count = seeds.other_seed_count;
        if was_rebalancer != seeds.is_rebalancer {
            self.other_holder_until = context.now.after_ms(HOLDER_CHANGE_MS);
            context.log(format!(
                "event=order_holder_changed gives_orders={}",
                seeds.is_rebalancer
            ));
        }
        context.publish();
    }

    fn run_periodic(&mut self, context: &mut ControlContext<'_>) {
        let board = &context.board;
        // Fencing tokens are derived from the store's position, which this process must have read itself:
        // what peers report may be older than what an earlier process on this VM used for its tokens.
        if !board.is_rebalancer
            || !board.store_position.is_known()
            || !board.list_position.is_known()
            || board.drain.is_some()
            || !context.now.reached(self.other_holder_until)
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

    /// The pool that should grow, if any; moves in progress count as done.
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

    /// Picks an engine of the other pool, from the zone where that pool is largest. Rate-limited engines are
    /// skipped: they are overloaded, and an order is a request, too.
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
        let token = first_token(context.board, context.now).max(self.last_token() + 1);
        self.latest_order = Some(KnownOrder {
            engine: engine.name.clone(),
            fencing_token: token,
            until: context.now.after_ms(wait_ms),
        });
        self.has_moved = true;
        context.log(format!(
            "event=engine_ordered engine={} role={role:?} fencing_token={token} list_revision={}",
            engine.name, context.board.list_position
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

    /// Sends the newest order to a process that has just joined: if that process gives orders, its next
    /// fencing token must be higher.
    fn send_latest_order(&self, vm: &VmName, context: &mut ControlContext<'_>) {
        if let Some(order) = &self.latest_order {
            let message = PeerMessage::EngineBusy {
                engine: order.engine.clone(),
                fencing_token: order.fencing_token,
                span_ms: context.now.until_ms(order.until),
            };
            context.send_to(vm, message);
        }
    }

    /// Records a peer's report that an engine is being moved, and forwards it if it is new.
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
        // The engine that another VM has ordered is moving, so pools are not balanced before it has moved.
        self.other_holder_until = self.other_holder_until.max(context.now.after_ms(span_ms));
        mark_busy(engine, span_ms, context);
        context.send_to_neighbors(&PeerMessage::EngineBusy {
            engine: engine.clone(),
            fencing_token,
            span_ms,
        });
    }
}

/// The lowest fencing token of an order that is given now: the position of the store, then the time.
fn first_token(board: &Blackboard, now: Moment) -> u64 {
    let (era, revision) = board.store_position.parts();
    let epoch_ms = board.own.started_epoch_ms + now.0;
    let time = (epoch_ms / ORDER_TIME_UNIT_MS) & ((1 << ORDER_TIME_BITS) - 1);
    let position = (u64::from(era) << REVISION_BITS) + revision;
    (position << ORDER_TIME_BITS) + time
}

fn mark_busy(engine: &ReplicaId, span_ms: u64, context: &mut ControlContext<'_>) {
    let until = context.now.after_ms(span_ms);
    context.board.upstream_mut(engine).down_until = Some(until);
}

impl Controller for RebalanceController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[
            EventKind::Tick,
            EventKind::SeedsChanged,
            EventKind::PeerJoined,
            EventKind::PeerMessage,
        ]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::Tick { .. } => self.run_periodic(context),
            Event::SeedsChanged { seeds } => self.set_seeds(*seeds, context),
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
        board.is_rebalancer.then(|| now.after_ms(CHECK_INTERVAL_MS))
    }
}
