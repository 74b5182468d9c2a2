//! Moving engines between the pools: how many are moved, with fencing tokens higher than all earlier ones.

use std::sync::Arc;

use dotterelspan::blackboard::{OwnIdentity, RateLimit, ReplicaRecord, ReplicaRole, RequestRate, SeedFacts};
use dotterelspan::controllers::discovery::{DiscoveryController, ReplicaUpdate};
use dotterelspan::controllers::membership::MembershipController;
use dotterelspan::controllers::message::{PeerMessage, VmIntroduction};
use dotterelspan::controllers::rebalance::{RebalanceController, RoleOrder};
use dotterelspan::controllers::{ControlCore, Controller};
use dotterelspan::prelude::*;
use dotterelspan::register::{CallerLimits, EngineRole, EngineTraits, Register, RouteTable, ServiceRule};

/// How long each test waits, in milliseconds: longer than a list must be unchanged before the first order.
const WAIT_MS: u64 = 3_000;

/// A configuration with one service whose engines can change pools.
fn register() -> Register {
    let engine = EngineTraits {
        memory_tokens: 40_000,
        event_tokens: 1,
        prefill_keep_ms: 10_000,
        role_switch_ms: 2_000,
    };
    let service = ServiceRule {
        name: "llm".into(),
        max_connections: 100,
        health_path: None,
        engine: Some(engine),
    };
    let routes = RouteTable::new(std::iter::empty());
    Register::from_routes(routes, std::iter::once(service), CallerLimits::default())
}

/// A node with a configuration, which gives orders or does not.
fn node(is_rebalancer: bool) -> ControlCore {
    node_with_limits(is_rebalancer, 0)
}

/// A node for which the first `limited` engines of the list are rate-limited.
fn node_with_limits(is_rebalancer: bool, limited: usize) -> ControlCore {
    let own = OwnIdentity {
        name: "vm-0".into(),
        zone: "a".into(),
        caller_address: "c".into(),
        peer_address: "p".into(),
        incarnation: 1,
        started_epoch_ms: 1,
        millicores: 1_000,
    };
    let mut board = Blackboard::new(own);
    board.is_rebalancer = is_rebalancer;
    let limits = (0..limited).map(|number| {
        let limit = RateLimit {
            started_epoch_ms: 1,
            rate: RequestRate(5_000),
            first_reported_at: Moment(1),
            seen_by: "vm-0".into(),
        };
        (format!("i-{number}").into(), limit)
    });
    board.rate_limits = Arc::new(limits.collect());
    board.register.revision = 1;
    board.register.register = Arc::new(register());
    let controllers: Vec<Box<dyn Controller>> = vec![
        Box::new(MembershipController::default()),
        Box::new(DiscoveryController::default()),
        Box::new(RebalanceController::default()),
    ];
    ControlCore::new(board, controllers)
}

fn engine(number: usize, role: ReplicaRole) -> ReplicaRecord {
    ReplicaRecord {
        id: format!("i-{number}").into(),
        started_epoch_ms: 1,
        service: "llm".into(),
        role,
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "a".into(),
        slots: 4,
        is_draining: false,
        cold_until: None,
    }
}

/// Gives the node a list with this many engines, and returns its orders within [`WAIT_MS`].
fn read_and_wait(
    core: &mut ControlCore,
    prefills: usize,
    decodes: usize,
    revision: u64,
    store_position: StorePosition,
) -> Vec<RoleOrder> {
    let roles = std::iter::repeat_n(ReplicaRole::Prefill, prefills)
        .chain(std::iter::repeat_n(ReplicaRole::Decode, decodes));
    let update = ReplicaUpdate {
        position: StorePosition::without_era(revision),
        since: StorePosition::default(),
        is_whole: true,
        is_difference: false,
        present: roles
            .enumerate()
            .map(|(number, role)| engine(number, role))
            .collect(),
        removed: Vec::new(),
    };
    let mut orders = Vec::new();
    core.handle(
        &Event::ReplicasRead {
            update,
            store_position,
        },
        Moment(1_000),
    );
    for step in 0..WAIT_MS / 100 {
        let actions = core.handle(&Event::Tick { active_requests: 0 }, Moment(1_000 + step * 100));
        orders.extend(actions.into_iter().filter_map(|action| match action {
            Action::OrderRole(order) => Some(order),
            _ => None,
        }));
    }
    orders
}

#[test]
fn a_pool_that_is_too_large_loses_engines_to_the_other() {
    let orders = read_and_wait(&mut node(true), 6, 6, 40, StorePosition::without_era(40));
    assert!(
        !orders.is_empty() && orders.iter().all(|order| order.role == EngineRole::Decode),
        "{orders:?}"
    );
    let orders = read_and_wait(&mut node(true), 3, 21, 40, StorePosition::without_era(40));
    assert!(
        !orders.is_empty() && orders.iter().all(|order| order.role == EngineRole::Prefill),
        "{orders:?}"
    );
}

#[test]
fn pools_of_the_right_size_and_small_ones_are_left_alone() {
    for (prefills, decodes) in [(3, 9), (4, 12), (2, 2), (3, 3), (1, 0), (0, 1)] {
        let orders = read_and_wait(
            &mut node(true),
            prefills,
            decodes,
            40,
            StorePosition::without_era(40),
        );
        assert!(orders.is_empty(), "{prefills} and {decodes}: {orders:?}");
    }
}

#[test]
fn rate_limited_engines_are_not_moved() {
    let orders = read_and_wait(
        &mut node_with_limits(true, 5),
        6,
        6,
        40,
        StorePosition::without_era(40),
    );
    assert!(
        !orders.is_empty() && orders.iter().all(|order| &*order.engine == "i-5"),
        "{orders:?}"
    );
    let orders = read_and_wait(
        &mut node_with_limits(true, 6),
        6,
        6,
        40,
        StorePosition::without_era(40),
    );
    assert!(orders.is_empty(), "{orders:?}");
}

#[test]
fn only_the_node_set_to_give_orders_does_so_and_only_once_it_has_read_the_store_itself() {
    assert!(read_and_wait(&mut node(false), 6, 6, 40, StorePosition::without_era(40)).is_empty());
    assert!(read_and_wait(&mut node(true), 6, 6, 40, StorePosition::without_era(0)).is_empty());
}

#[test]
fn fencing_tokens_grow_over_a_restart_though_the_latest_entry_was_removed_meanwhile() {
    let before = read_and_wait(&mut node(true), 6, 6, 40, StorePosition::without_era(40));
    // The entries of revisions 38 to 40 were removed, so the list's revision is lower than before.
    let after = read_and_wait(&mut node(true), 6, 5, 37, StorePosition::without_era(43));
    let highest = before
        .iter()
        .map(|order| order.fencing_token)
        .max()
        .expect("orders before");
    assert!(
        after.iter().all(|order| order.fencing_token > highest),
        "{before:?} {after:?}"
    );
    assert!(!after.is_empty());
}

fn highest_token(orders: &[RoleOrder]) -> u64 {
    let tokens = orders.iter().map(|order| order.fencing_token);
    tokens.max().expect("orders")
}

/// Guards against lower tokens of a process that starts after the store came back from an older copy, whose revisions are
/// given out again.
#[test]
fn fencing_tokens_grow_over_an_older_copy_of_the_store() {
    let position = |era, revision| StorePosition::new(StoreEra::new(era), revision);
    let before = read_and_wait(&mut node(true), 6, 6, 40, position(1, 40));
    let after = read_and_wait(&mut node(true), 6, 6, 31, position(2, 31));
    assert!(
        after
            .iter()
            .all(|order| order.fencing_token > highest_token(&before)),
        "{before:?} {after:?}"
    );
    assert!(
        after
            .iter()
            .all(|order| i64::try_from(order.fencing_token).is_ok())
    );
}

/// Guards against tokens that begin anew at the same position of the store, as all processes were killed and orders had
/// been repeated meanwhile.
#[test]
fn fencing_tokens_grow_over_a_restart_at_the_same_position_of_the_store() {
    let position = StorePosition::without_era(40);
    let mut core = node(true);
    // The engines never move, so the orders are repeated.
    let mut before = read_and_wait(&mut core, 6, 6, 40, position);
    for step in 0..400 {
        let actions = core.handle(&Event::Tick { active_requests: 0 }, Moment(30_000 + step * 100));
        before.extend(actions.into_iter().filter_map(|action| match action {
            Action::OrderRole(order) => Some(order),
            _ => None,
        }));
    }
    assert!(before.len() > 4, "{before:?}");
    let mut restarted = node(true);
    restarted.board.own.started_epoch_ms = core.board.own.started_epoch_ms + 70_300;
    let after = read_and_wait(&mut restarted, 6, 6, 40, position);
    assert!(
        !after.is_empty()
            && after
                .iter()
                .all(|order| order.fencing_token > highest_token(&before)),
        "{before:?} {after:?}"
    );
}

#[test]
fn each_order_has_a_higher_fencing_token_than_the_one_before() {
    let orders = read_and_wait(&mut node(true), 12, 12, 40, StorePosition::without_era(40));
    assert!(orders.len() > 1, "{orders:?}");
    assert!(
        orders.is_sorted_by(|earlier, later| earlier.fencing_token < later.fencing_token),
        "{orders:?}"
    );
}

#[test]
fn a_new_process_gives_tokens_above_the_newest_order_that_its_peers_know() {
    let mut core = node(true);
    // The revision of the store that this process has read is lower than that of the earlier order's token.
    let earlier = read_and_wait(&mut node(true), 6, 6, 50, StorePosition::without_era(50));
    let known = highest_token(&earlier);
    let message = PeerMessage::EngineBusy {
        engine: "i-0".into(),
        fencing_token: known,
        span_ms: 0,
    };
    core.handle(
        &Event::PeerMessage {
            from: "vm-1".into(),
            incarnation: 2,
            message,
        },
        Moment(900),
    );
    let orders = read_and_wait(&mut core, 6, 6, 40, StorePosition::without_era(40));
    assert!(
        !orders.is_empty() && orders.iter().all(|order| order.fencing_token > known),
        "{orders:?}"
    );
}

#[test]
fn a_process_that_joins_is_sent_the_newest_order() {
    let mut core = node(true);
    let orders = read_and_wait(&mut core, 6, 6, 40, StorePosition::without_era(40));
    let introduction = VmIntroduction {
        name: "vm-1".into(),
        zone: "a".into(),
        caller_address: "c1".into(),
        peer_address: "p1".into(),
        incarnation: 9,
        started_epoch_ms: 5,
        renewal: 0,
        revision: 1,
        leaving: false,
        store_lost: false,
        millicores: 1_000,
    };
    let actions = core.handle(&Event::PeerJoined { introduction }, Moment(20_000));
    let sent_token = actions.iter().find_map(|action| match action {
        Action::Send {
            message: PeerMessage::EngineBusy { fencing_token, .. },
            ..
        } => Some(*fencing_token),
        _ => None,
    });
    assert_eq!(sent_token, orders.iter().map(|order| order.fencing_token).max());
}

/// The longest time that a VM may take to notice that its settings changed, and the time within which two VMs must
/// not give orders to one engine, in milliseconds.
const OTHER_HOLDER_MS: u64 = 4_000;

/// The orders that the node gives between two times, in milliseconds.
fn orders_between(core: &mut ControlCore, from_ms: u64, to_ms: u64) -> usize {
    let ticks = (from_ms / 100..to_ms / 100).map(|step| Moment(step * 100));
    let is_order = |action: &Action| matches!(action, Action::OrderRole(_));
    ticks
        .map(|now| {
            let actions = core.handle(&Event::Tick { active_requests: 0 }, now);
            actions.iter().filter(|action| is_order(action)).count()
        })
        .sum()
}

fn change_seeds(core: &mut ControlCore, is_rebalancer: bool, at_ms: u64) {
    let seeds = SeedFacts {
        is_rebalancer,
        is_seed: true,
        other_seed_count: 2,
    };
    core.handle(&Event::SeedsChanged { seeds }, Moment(at_ms));
}

// Guards against two VMs that order one engine because the seeds in their settings changed at different times.
#[test]
fn a_node_that_is_no_longer_the_first_seed_gives_no_orders() {
    let mut core = node(true);
    change_seeds(&mut core, false, 900);
    assert!(read_and_wait(&mut core, 6, 6, 40, StorePosition::without_era(40)).is_empty());
}

#[test]
fn a_node_that_becomes_the_first_seed_waits_until_the_former_one_has_stopped() {
    let mut core = node(false);
    assert!(read_and_wait(&mut core, 6, 6, 40, StorePosition::without_era(40)).is_empty());
    change_seeds(&mut core, true, 5_000);
    assert_eq!(orders_between(&mut core, 5_000, 5_000 + OTHER_HOLDER_MS), 0);
    assert!(orders_between(&mut core, 5_000 + OTHER_HOLDER_MS, 30_000) > 0);
}

#[test]
fn a_restarted_process_gives_no_orders_while_an_engine_moves_by_order_of_another_vm() {
    let mut core = node(true);
    let message = PeerMessage::EngineBusy {
        engine: "i-0".into(),
        fencing_token: 30 << 8,
        span_ms: 9_000,
    };
    let event = Event::PeerMessage {
        from: "vm-1".into(),
        incarnation: 2,
        message,
    };
    core.handle(&event, Moment(500));
    assert!(read_and_wait(&mut core, 6, 6, 40, StorePosition::without_era(40)).is_empty());
    assert_eq!(orders_between(&mut core, 4_000, 9_400), 0);
    assert!(orders_between(&mut core, 9_400, 30_000) > 0);
}
