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
const MOVE_THRESHOLD: u64 = 1_250;

/// The fewest engines that a pool is left with: after the loss of one, two still share its work.
const FEWEST_ENGINES: u64 = 3;

/// How long the list must have been unchanged before a first engine is moved, in milliseconds: replicas that start
/// together are listed within it.
const FIRST_SETTLED_MS: u64 = 1_500;

/// The same once engines have been moved, in milliseconds: a replica that crashed is mostly back within it.
const SETTLED_MS: u64 = 8_000;

/// Moves that are under way at once, as a part of all engines.
const ENGINES_FOR_EACH_MOVE: usize = 6;

/// How much longer than the engine says a move may take before another one is tried, in milliseconds.
const MOVE_GRACE_MS: u64 = 3_000;

/// Time between two looks at the pools, in milliseconds.
const LOOK_EVERY_MS: u64 = 500;

/// Bits of a fencing token that number the orders given at one state of the store.
const ORDER_BITS: u32 = 8;

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
    fn tick(&mut self, turn: &mut Turn<'_>) {
        let board = &turn.board;
        // Fencing tokens are made of the store's state, which this process has to have read itself: what peers tell may
        // be older than what an earlier process on this VM made its tokens of.
        if !board.is_rebalancer
            || board.store_revision == 0
            || board.list_revision == 0
            || board.drain.is_some()
        {
            return;
        }
        if !Arc::ptr_eq(&self.seen_replicas, &turn.board.replicas) {
            self.seen_replicas = turn.board.replicas.clone();
            let span_ms = if self.has_moved {
                SETTLED_MS
            } else {
                FIRST_SETTLED_MS
            };
            self.settled_at = turn.now.after_ms(span_ms);
        }
        if !turn.now.reached(self.settled_at) {
            return;
        }
        let register = turn.board.register.register.clone();
        for (service, rule) in &register.services {
            let switch_ms = rule.engine.as_ref().map_or(0, |engine| engine.role_switch_ms);
            if switch_ms > 0 {
                self.balance(service, switch_ms, turn);
            }
        }
    }

    fn balance(&mut self, service: &Arc<str>, switch_ms: u64, turn: &mut Turn<'_>) {
        let engines: Vec<EngineView> = turn
            .board
            .engines(service)
            .into_iter()
            .filter(|engine| turn.board.is_staying(&engine.name))
            .collect();
        let role_of = |name: &ReplicaId| {
            engines
                .iter()
                .find(|engine| engine.name == *name)
                .map(|engine| engine.role)
        };
        let now = turn.now;
        self.moving
            .retain(|name, moving| !now.reached(moving.until) && role_of(name) != Some(moving.role));
        let most_moves = engines.len().div_ceil(ENGINES_FOR_EACH_MOVE);
        if self.moving.len() >= most_moves {
            return;
        }
        let Some(role) = self.wanted_move(&engines) else {
            self.has_settled |= self.moving.is_empty();
            return;
        };
        let Some(engine) = self.pick_engine(&engines, role, turn.board) else {
            return;
        };
        self.order(engine, role, switch_ms, turn);
    }

    /// The pool that should grow, with what is under way counted as done.
    fn wanted_move(&self, engines: &[EngineView]) -> Option<EngineRole> {
        let total = engines.len() as u64;
        let is_prefill = |engine: &&EngineView| {
            let moving = self.moving.get(&engine.name);
            moving.map_or(engine.role, |moving| moving.role) == EngineRole::Prefill
        };
        let prefills = engines.iter().filter(is_prefill).count() as u64;
        let best = total * PREFILL_SHARE;
        let threshold = if self.has_settled {
            MOVE_THRESHOLD
        } else {
            FIRST_THRESHOLD
        };
        if prefills * 1_000 >= best + threshold && prefills > FEWEST_ENGINES {
            Some(EngineRole::Decode)
        } else if prefills * 1_000 + threshold <= best && total - prefills > FEWEST_ENGINES {
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
        let givers = || engines.iter().filter(|engine| engine.role != role);
        givers()
            .filter(|engine| !self.moving.contains_key(&engine.name))
            .filter(|engine| board.listed_rate_limit(&engine.name).is_none())
            .max_by_key(|engine| givers().filter(|other| other.zone == engine.zone).count())
    }

    fn order(&mut self, engine: &EngineView, role: EngineRole, switch_ms: u64, turn: &mut Turn<'_>) {
        let wait_ms = switch_ms + MOVE_GRACE_MS;
        self.moving.insert(
            engine.name.clone(),
            EngineMove {
                role,
                until: turn.now.after_ms(wait_ms),
            },
        );
        let token = (turn.board.store_revision << ORDER_BITS).max(self.last_token() + 1);
        self.latest_order = Some(KnownOrder {
            engine: engine.name.clone(),
            fencing_token: token,
            until: turn.now.after_ms(wait_ms),
        });
        self.has_moved = true;
        turn.log(format!(
            "event=engine_ordered engine={} role={role:?} fencing_token={token} list_revision={}",
            engine.name, turn.board.list_revision
        ));
        turn.actions.push(Action::OrderRole(RoleOrder {
            engine: engine.name.clone(),
            role,
            fencing_token: token,
        }));
        let message = PeerMessage::EngineBusy {
            engine: engine.name.clone(),
            fencing_token: token,
            span_ms: wait_ms,
        };
        hold_back(&engine.name, wait_ms, turn);
        turn.send_to_neighbors(&message);
    }

    fn last_token(&self) -> u64 {
        self.latest_order.as_ref().map_or(0, |order| order.fencing_token)
    }

    /// Tells a process that has just joined of the newest order: where it gives orders, its next one has to outdate that.
    fn tell_latest(&self, vm: &VmName, turn: &mut Turn<'_>) {
        if let Some(order) = &self.latest_order {
            let message = PeerMessage::EngineBusy {
                engine: order.engine.clone(),
                fencing_token: order.fencing_token,
                span_ms: turn.now.until_ms(order.until),
            };
            turn.send_to(vm, message);
        }
    }

    /// Takes a peer's word that an engine is being moved, and passes news on.
    fn take_busy(&mut self, engine: &ReplicaId, fencing_token: u64, span_ms: u64, turn: &mut Turn<'_>) {
        if fencing_token <= self.last_token() {
            return;
        }
        self.latest_order = Some(KnownOrder {
            engine: engine.clone(),
            fencing_token,
            until: turn.now.after_ms(span_ms),
        });
        hold_back(engine, span_ms, turn);
        turn.send_to_neighbors(&PeerMessage::EngineBusy {
            engine: engine.clone(),
            fencing_token,
            span_ms,
        });
    }
}

fn hold_back(engine: &ReplicaId, span_ms: u64, turn: &mut Turn<'_>) {
    let until = turn.now.after_ms(span_ms);
    turn.board.upstream_mut(engine).down_until = Some(until);
}

impl Controller for RebalanceController {
    fn hears(&self) -> &'static [EventKind] {
        &[EventKind::Tick, EventKind::PeerJoined, EventKind::PeerMessage]
    }

    fn handle(&mut self, event: &Event, turn: &mut Turn<'_>) {
        match event {
            Event::Tick { .. } => self.tick(turn),
            Event::PeerJoined { introduction } => self.tell_latest(&introduction.name, turn),
            Event::PeerMessage {
                message:
                    PeerMessage::EngineBusy {
                        engine,
                        fencing_token,
                        span_ms,
                    },
                ..
            } => self.take_busy(engine, *fencing_token, *span_ms, turn),
            _ => {}
        }
    }

    fn wake_at(&self, board: &Blackboard, now: Moment) -> Option<Moment> {
        board.is_rebalancer.then(|| now.after_ms(LOOK_EVERY_MS))
    }
}
