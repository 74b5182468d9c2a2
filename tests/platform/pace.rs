//! The pace of a replica that is added beside running ones, or is back after failures: callers must be served
//! meanwhile, and it gets a growing share and not a flood.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::node::{GatewayNode, config_document, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{exchange, request};

/// Callers that call one after the other; three replicas have twelve slots for them.
const CALLERS: usize = 8;

/// Slots of each replica.
const SLOTS: usize = 4;

/// How long a call takes at a replica, and at one that is slow.
const CALL_MS: u64 = 30;
const SLOW_CALL_MS: u64 = 150;

/// How long a slow replica stays slow in these tests.
const SLOW_FOR: Duration = Duration::from_millis(1_500);

/// A node that may pace its replicas, three replicas and callers.
struct PacedDesk {
    store: StandInStore,
    node: GatewayNode,
    replicas: Vec<StandInReplica>,
    is_over: Arc<AtomicBool>,
    failed: Arc<AtomicUsize>,
    callers: Vec<std::thread::JoinHandle<()>>,
}

impl PacedDesk {
    fn start() -> Self {
        let store = StandInStore::start();
        let mut document = config_document(1);
        document["tenants"] = serde_json::json!([]);
        let routes = document["routes"].as_array_mut().expect("a list");
        routes
            .iter_mut()
            .for_each(|route| route["allowAnonymous"] = true.into());
        store.put("op/config", &document.to_string());
        let replicas = (1..=3)
            .map(|number| start_replica(&store, number, CALL_MS))
            .collect();
        let node = GatewayNode::start(&store, "vm-1", &[]);
        node.wait_ready();
        let mut desk = Self {
            store,
            node,
            replicas,
            is_over: Arc::default(),
            failed: Arc::default(),
            callers: Vec::new(),
        };
        desk.callers = (0..CALLERS).map(|caller| desk.start_caller(caller)).collect();
        wait_until("all replicas answer", || {
            desk.replicas.iter().all(|replica| replica.count() > 40)
        });
        desk
    }

    fn start_caller(&self, caller: usize) -> std::thread::JoinHandle<()> {
        let (is_over, failed) = (self.is_over.clone(), self.failed.clone());
        let address = self.node.callers();
        std::thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let text = request(
                    "POST",
                    "shop.example",
                    "/read",
                    &format!("q-{caller}-{number}"),
                    "",
                    "x",
                );
                let is_served = exchange(address, &text).is_some_and(|answer| answer.status() == 200);
                failed.fetch_add(usize::from(!is_served), Ordering::Relaxed);
            }
        })
    }

    /// Checks that a replica that is slow until now got one request until its first answer since `since`, and
    /// that it has its share once it is no longer slow. Returns the log.
    fn check(self, slow: &StandInReplica, since: Instant) -> String {
        let arrivals = || -> Vec<Instant> {
            let all = slow.arrived_at().into_iter();
            all.filter(|at| *at >= since).collect()
        };
        let while_slow = arrivals();
        slow.set_behavior(ReplicaBehavior::PacedCalls(CALL_MS));
        let first = *while_slow.first().expect("it got requests");
        let until_answer = first + Duration::from_millis(SLOW_CALL_MS - 10);
        let at_first = while_slow.iter().filter(|at| **at < until_answer).count();
        println!("{at_first} at first, {} while slow", while_slow.len());
        assert_eq!(
            at_first,
            1,
            "a flood before its first answer: {}",
            self.node.log()
        );
        let most_while_slow = SLOTS * SLOW_FOR.as_millis() as usize / SLOW_CALL_MS as usize;
        assert!(
            while_slow.len() < most_while_slow,
            "all of its slots were in use at once"
        );
        wait_until("it has caught up", || {
            let line = format!("event=replica_pace replica={} state=usual", slow.id);
            self.node.log().contains(&line)
        });
        let caught_up = arrivals().len();
        wait_until("it has its share", || arrivals().len() > caught_up + CALLERS);
        self.is_over.store(true, Ordering::Relaxed);
        let callers = self.callers.into_iter();
        callers.for_each(|caller| caller.join().expect("no caller panics"));
        let failed = self.failed.load(Ordering::Relaxed);
        assert_eq!(failed, 0, "calls failed: {}", self.node.log());
        self.node.log()
    }
}

fn start_replica(store: &StandInStore, number: usize, call_ms: u64) -> StandInReplica {
    let behavior = ReplicaBehavior::PacedCalls(call_ms);
    let replica = StandInReplica::start(store, &format!("i-{number}"), "desk", None, behavior);
    replica.set_load("0,0,4,100");
    replica
}

/// Guards against a flood of a replica that nobody has measured, and that is slow after its start.
#[test]
fn a_replica_added_beside_running_ones_gets_a_growing_share_and_no_flood() {
    let desk = PacedDesk::start();
    let began = Instant::now();
    let added = start_replica(&desk.store, 4, SLOW_CALL_MS);
    added.publish_cold(&desk.store, "desk", SLOW_FOR.as_millis() as u64);
    wait_until("it gets requests", || added.count() > 0);
    let restrained = desk.node.metric("restrained_replicas", "by=\"vm\"");
    std::thread::sleep(SLOW_FOR);
    let log = desk.check(&added, began);
    assert_eq!(restrained, 1.0, "{log}");
    assert!(
        log.contains("event=replica_pace replica=i-4 state=fresh"),
        "{log}"
    );
    assert!(
        !log.contains("event=replica_pace replica=i-1"),
        "a running replica was restrained: {log}"
    );
}

/// Guards against a flood of a replica that is back after failures.
#[test]
fn a_replica_that_is_back_after_failures_gets_a_growing_share_and_no_flood() {
    let desk = PacedDesk::start();
    let failing = desk.replicas[0].clone();
    failing.set_behavior(ReplicaBehavior::Unsigned);
    let before = failing.count();
    wait_until("it has failed several times", || failing.count() > before + 3);
    // Requests that were on their way as it failed are no part of its recovery; it is paused for 400 ms at least.
    std::thread::sleep(Duration::from_millis(100));
    let began = Instant::now();
    failing.set_behavior(ReplicaBehavior::PacedCalls(SLOW_CALL_MS));
    wait_until("it gets requests", || {
        failing.arrived_at().iter().any(|at| *at >= began)
    });
    std::thread::sleep(SLOW_FOR);
    let log = desk.check(&failing, began);
    assert!(log.contains("state=recovering reason=failures"), "{log}");
}
