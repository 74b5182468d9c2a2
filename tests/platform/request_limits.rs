//! Plain replicas that report a rate limit, which applies to the requests of all nodes together.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::limited_fleet::*;
use crate::node::{GatewayNode, wait_until};
use crate::replica::ReplicaBehavior;

#[test]
fn limits_of_all_replicas_are_kept_over_all_nodes_and_used() {
    let fleet = LimitedFleet::with_plain_replicas(3, 6);
    let limits = with_limit(&fleet.replicas, "5");
    let (answers, until) = load_with_limits(&fleet, fleet.addresses(), "/read", 90, &limits);
    assert_refused_at_once(&fleet, &answers);
    fleet.assert_limits_used(&fleet.replicas, until);
}

#[test]
fn other_replicas_take_over_calls_from_a_limited_one() {
    let fleet = LimitedFleet::with_plain_replicas(3, 6);
    let load = LoadGenerator::start(fleet.addresses(), "/read", 60, BEFORE + AFTER);
    std::thread::sleep(BEFORE);
    fleet.busiest(1)[0].set_limit(Some("4.6"));
    let answers = load.finish();
    fleet.assert_limits_kept();
    assert_served(&fleet, &answers);
}

#[test]
fn a_small_limit_is_kept_by_many_nodes() {
    let fleet = LimitedFleet::with_plain_replicas(9, 6);
    let limits = with_limit(&fleet.replicas, "2");
    let (answers, until) = load_with_limits(&fleet, fleet.addresses(), "/read", 60, &limits);
    assert_refused_at_once(&fleet, &answers);
    fleet.assert_limits_used(&fleet.replicas, until);
}

#[test]
fn one_node_with_all_callers_may_use_the_whole_limit() {
    let fleet = LimitedFleet::with_plain_replicas(6, 6);
    let limits = with_limit(&fleet.replicas, "5");
    let (answers, until) = load_with_limits(&fleet, fleet.addresses()[..1].to_vec(), "/read", 90, &limits);
    assert_refused_at_once(&fleet, &answers);
    fleet.assert_limits_used(&fleet.replicas, until);
}

#[test]
fn a_call_that_was_refused_a_permit_is_refused_without_asking_again() {
    let mut fleet = LimitedFleet::with_plain_replicas(3, 6);
    let first = fleet.addresses()[..1].to_vec();
    load_and_disturb(&mut fleet, first, 90, |fleet| {
        std::thread::sleep(KNOWN_AFTER);
        let until = Instant::now() + AFTER - 2 * BEFORE - KNOWN_AFTER;
        while Instant::now() < until {
            fleet.nodes[0].signal("STOP");
            std::thread::sleep(BRIEF_STOP);
            fleet.nodes[0].signal("CONT");
        }
    });
    let log = fleet.nodes[0].log();
    let mut refusal_counts: HashMap<&str, usize> = HashMap::new();
    for line in log.lines().filter(|line| line.contains("event=permit_refused ")) {
        let id = line
            .split(" request=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next());
        *refusal_counts.entry(id.expect("a request")).or_default() += 1;
    }
    assert!(!refusal_counts.is_empty(), "some calls exceeded the limits");
    let refused_twice: Vec<_> = refusal_counts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(
        refused_twice.is_empty(),
        "{} of {} requested a permit twice: {refused_twice:?} {:?}",
        refused_twice.len(),
        refusal_counts.len(),
        fleet.log_paths()
    );
}

#[test]
fn a_hedged_copy_of_a_slow_call_does_not_use_up_a_limit() {
    for names_limit in [false, true] {
        let fleet = LimitedFleet::with_plain_replicas(1, 2);
        let address = fleet.addresses()[0];
        let [slow, other] = &fleet.replicas[..] else {
            unreachable!("two replicas");
        };
        if names_limit {
            other.set_limit(Some("50"));
        }
        slow.set_behavior(ReplicaBehavior::NotRun);
        wait_until("the other replica has answered", || {
            call(address, "/read", "q-0");
            other.count() > 0
        });
        slow.set_behavior(ReplicaBehavior::Well);
        other.set_behavior(ReplicaBehavior::NotRun);
        wait_until("the slow replica has answered", || {
            call(address, "/read", "q-0");
            slow.runs("q-0") >= 20
        });
        // Retries of the rejected calls have used the retry budget. These calls refill it for the hedged
        // copy.
        other.set_behavior(ReplicaBehavior::Well);
        (0..BUDGET_REFILL_CALLS).for_each(|_| assert_eq!(call(address, "/read", "q-0").status, 200));
        slow.set_behavior(ReplicaBehavior::Slow);
        other.set_behavior(ReplicaBehavior::Slow);
        let before = other.count();
        wait_until("the slow replica runs a call", || {
            call(address, "/read", "q-1").status == 200 && slow.runs("q-1") > 0
        });
        let hedged = fleet.nodes[0].log().matches("event=hedged request=q-1 ").count();
        match names_limit {
            true => assert_eq!(
                (hedged, other.count() - before),
                (0, 0),
                "{:?}",
                fleet.log_paths()
            ),
            false => assert!(hedged > 0 && other.count() > before, "{:?}", fleet.log_paths()),
        }
    }
}

#[test]
fn run_once_calls_keep_to_limits_and_run_once() {
    let fleet = LimitedFleet::with_plain_replicas(3, 2);
    let limits = with_limit(&fleet.replicas, "3.5");
    let (answers, until) = load_with_limits(&fleet, fleet.addresses(), "/book", 60, &limits);
    assert_refused_at_once(&fleet, &answers);
    fleet.assert_limits_used(&fleet.replicas, until);
    let ran_twice = |answer: &&CallerAnswer| {
        let runs: usize = fleet
            .replicas
            .iter()
            .map(|replica| replica.runs(&answer.id))
            .sum();
        runs > 1
    };
    assert_eq!(
        answers.iter().filter(ran_twice).count(),
        0,
        "{:?}",
        fleet.log_paths()
    );
}

#[test]
fn rejected_calls_count_against_the_limit_of_their_replica() {
    let fleet = LimitedFleet::with_plain_replicas(3, 6);
    fleet
        .replicas
        .iter()
        .for_each(|desk| desk.set_behavior(ReplicaBehavior::NotRun));
    let limits = with_limit(&fleet.replicas, "4");
    load_with_limits(&fleet, fleet.addresses(), "/read", 60, &limits);
}

#[test]
fn a_limit_of_zero_stops_all_requests_until_it_ends() {
    let fleet = LimitedFleet::with_plain_replicas(3, 3);
    let load = LoadGenerator::start(fleet.addresses(), "/read", 60, BEFORE + AFTER);
    std::thread::sleep(BEFORE);
    let stopped = fleet.busiest(2);
    stopped.iter().for_each(|replica| replica.set_limit(Some("0")));
    let answers = load.finish();
    fleet.assert_limits_kept();
    assert_served(&fleet, &answers);
    let before = stopped.iter().map(|replica| replica.count());
    let before: usize = before.sum();
    let lifted_at = Instant::now();
    stopped.iter().for_each(|replica| replica.set_limit(None));
    wait_until("all nodes know that both limits have ended", || {
        fleet
            .nodes
            .iter()
            .all(|node| node.log().matches("event=limit_ended").count() == 2)
    });
    let late = lifted_at.elapsed().saturating_sub(ZERO_LIMIT_LIFTED_WITHIN);
    assert!(late.is_zero(), "{late:?} {:?}", fleet.log_paths());
    // Limits the third replica, so that the others are needed.
    let others = fleet
        .replicas
        .iter()
        .filter(|replica| replica.named_at().is_none());
    others.for_each(|replica| replica.set_limit(Some("5")));
    let answers = LoadGenerator::start(fleet.addresses(), "/read", 60, Duration::from_secs(6)).finish();
    let after: usize = stopped.iter().map(|replica| replica.count()).sum();
    assert!(after - before > 300, "{} {:?}", after - before, fleet.log_paths());
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(
        served * 10 > answers.len() * 8,
        "{served} {:?}",
        fleet.log_paths()
    );
}

#[test]
fn limits_are_kept_while_a_node_is_killed_and_comes_back() {
    let mut fleet = LimitedFleet::with_plain_replicas(3, 6);
    let addresses = fleet.addresses();
    load_and_disturb(&mut fleet, addresses, 90, |fleet| {
        for node in &mut fleet.nodes {
            std::thread::sleep(Duration::from_millis(1_700));
            node.kill();
            node.spawn();
        }
    });
}

#[test]
fn a_leaving_owner_hands_its_limits_over() {
    let mut fleet = LimitedFleet::with_plain_replicas(3, 6);
    let addresses = fleet.addresses();
    let until = load_and_disturb(&mut fleet, addresses, 120, |fleet| {
        std::thread::sleep(KNOWN_AFTER);
        fleet.owner().signal("TERM");
    });
    fleet.assert_limits_used(&fleet.replicas, until);
    let logs = fleet.nodes.iter().map(GatewayNode::log).collect::<String>();
    assert!(
        logs.contains("event=limits_handed_over"),
        "{:?}",
        fleet.log_paths()
    );
}

#[test]
fn an_owner_that_stalls_for_a_moment_lets_the_whole_limit_be_used() {
    let mut fleet = LimitedFleet::with_plain_replicas(6, 6);
    let first = fleet.addresses()[..1].to_vec();
    let until = load_and_disturb(&mut fleet, first, 90, |fleet| {
        std::thread::sleep(KNOWN_AFTER);
        stall_three_times(fleet.owner());
    });
    fleet.assert_limits_used(&fleet.replicas, until);
}

#[test]
fn limits_are_kept_while_nodes_join() {
    let mut fleet = LimitedFleet::with_plain_replicas(3, 6);
    let addresses = fleet.addresses();
    load_and_disturb(&mut fleet, addresses, 60, |fleet| {
        std::thread::sleep(KNOWN_AFTER);
        fleet.add_node();
        fleet.add_node();
        fleet.nodes[3..].iter().for_each(GatewayNode::wait_ready);
        let joined = fleet.addresses().split_off(3);
        LoadGenerator::start(joined, "/read", 60, AFTER - KNOWN_AFTER).finish();
    });
}

#[test]
fn a_frozen_owner_does_not_double_the_limit() {
    let mut fleet = LimitedFleet::with_plain_replicas(3, 6);
    let addresses = fleet.addresses();
    load_and_disturb(&mut fleet, addresses, 90, |fleet| {
        for node in &fleet.nodes {
            std::thread::sleep(Duration::from_millis(1_000));
            node.signal("STOP");
            std::thread::sleep(Duration::from_millis(900));
            node.signal("CONT");
        }
    });
}

#[test]
fn invalid_limits_have_no_effect() {
    let fleet = LimitedFleet::with_plain_replicas(2, 2);
    for text in ["x5", "-1", "NaN", "inf", "", "5,5", "0\r\nServer-Limit: 0"] {
        fleet
            .replicas
            .iter()
            .for_each(|replica| replica.set_limit(Some(text)));
        let answers =
            LoadGenerator::start(fleet.addresses(), "/read", 60, Duration::from_millis(500)).finish();
        assert_served(&fleet, &answers);
    }
}

#[test]
fn a_limit_reported_by_another_replica_has_no_effect() {
    let fleet = LimitedFleet::with_plain_replicas(1, 2);
    let [first, second] = &fleet.replicas[..] else {
        unreachable!("two replicas");
    };
    second.set_behavior(ReplicaBehavior::NotRun);
    first.set_behavior(ReplicaBehavior::Misdirected);
    first.set_limit(Some("0"));
    wait_until("the first replica got a call", || {
        call(fleet.addresses()[0], "/read", "q-0");
        first.count() > 0
    });
    // The replica restarts at the same address and reports no limit.
    first.set_limit(None);
    first.set_behavior(ReplicaBehavior::Well);
    first.publish_start(&fleet.store, "desk", None, 2);
    wait_until("the restarted replica serves", || {
        call(fleet.addresses()[0], "/read", "q-1").status == 200
    });
}

#[test]
fn a_later_start_of_a_replica_has_no_limit() {
    let fleet = LimitedFleet::with_plain_replicas(2, 1);
    let address = fleet.addresses()[0];
    fleet.replicas[0].set_limit(Some("0"));
    wait_until("the limit is known", || {
        call(address, "/read", "q-0").status == 503
    });
    fleet.replicas[0].set_limit(None);
    fleet.replicas[0].publish_start(&fleet.store, "desk", None, 2);
    wait_until("the restarted replica serves", || {
        call(address, "/read", "q-1").status == 200
    });
    let answers = LoadGenerator::start(fleet.addresses(), "/read", 60, Duration::from_millis(500)).finish();
    assert_served(&fleet, &answers);
}

#[test]
fn all_nodes_learn_a_limit_within_one_round_of_the_ring() {
    let fleet = LimitedFleet::with_plain_replicas(6, 2);
    let addresses = fleet.addresses();
    wait_until("the replicas serve", || {
        call(addresses[0], "/read", "q-0").status == 200
    });
    fleet
        .replicas
        .iter()
        .for_each(|replica| replica.set_limit(Some("0")));
    wait_until("both replicas have reported the limit", || {
        call(addresses[0], "/read", "q-1");
        fleet.replicas.iter().all(|replica| replica.named_at().is_some())
    });
    std::thread::sleep(PROPAGATION_LIMIT);
    for address in &addresses[1..] {
        let answer = call(*address, "/read", "q-2");
        assert_eq!(answer.status, 503, "{answer:?} {:?}", fleet.log_paths());
    }
}

#[test]
fn answers_in_flight_neither_end_a_limit_nor_start_it_again() {
    for ends in [false, true] {
        let fleet = LimitedFleet::with_plain_replicas(2, 1);
        let [first, second] = fleet.addresses()[..] else {
            unreachable!("two nodes");
        };
        let desk = &fleet.replicas[0];
        if ends {
            desk.set_limit(Some("1000"));
        }
        wait_until("the desk serves", || call(first, "/read", "q-0").status == 200);
        desk.set_behavior(ReplicaBehavior::Slow);
        let in_flight = std::thread::spawn(move || call(second, "/book", "q-slow"));
        wait_until("the slow call is in flight", || desk.runs("q-slow") > 0);
        desk.set_behavior(ReplicaBehavior::Well);
        desk.set_limit((!ends).then_some("0"));
        // The first answer reports the change; the next call already follows it.
        call(first, "/read", "q-1");
        call(first, "/read", "q-2");
        in_flight.join().expect("the caller's thread");
        std::thread::sleep(Duration::from_millis(200));
        let before = desk.count();
        let answers: Vec<CallerAnswer> = (3..9)
            .map(|number| call([first, second][number % 2], "/read", &format!("q-{number}")))
            .collect();
        if ends {
            assert_served(&fleet, &answers);
            let logs = fleet.nodes.iter().map(GatewayNode::log).collect::<String>();
            assert_eq!(
                logs.matches("event=limit_named").count(),
                2,
                "{:?}",
                fleet.log_paths()
            );
        } else {
            assert!(desk.count() - before <= 1, "{answers:?} {:?}", fleet.log_paths());
            assert!(
                answers.iter().all(|answer| answer.status == 503),
                "{answers:?} {:?}",
                fleet.log_paths()
            );
        }
    }
}
