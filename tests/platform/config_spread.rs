//! A version is in force on undisturbed nodes in time, whatever happens to other nodes.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use stand_ins::proxy::RouteMode;

use crate::config_fleet::{
    CALM_AFTER, ConfigFleet, FIRST_VERSION, IN_FORCE_WITHIN, NEW_REPLICA, NEW_SERVICE, OLD_REPLICA,
    OLD_SERVICE, add_route, draft,
};
use crate::node::wait_until;
use crate::wire::{read_answer, request};

/// The size of the fleet in these tests.
const NODES: usize = 12;

/// How many of the nodes read the list of replicas for the others.
const READERS: usize = 6;

/// How long a test waits beyond a bound, to measure by how much it is missed.
const PATIENCE: Duration = Duration::from_millis(8_000);

/// The time between the silencing of all connections and the write of a change.
const SILENCE_BEFORE_WRITE: Duration = Duration::from_millis(300);

/// Versions that are written one after the other.
const SERIES: u64 = 8;

/// The nodes that read the list for others, and all other nodes.
fn split_by_role(fleet: &ConfigFleet) -> (Vec<usize>, Vec<usize>) {
    let all = 0..fleet.nodes.len();
    let (readers, others): (Vec<usize>, Vec<usize>) =
        all.partition(|index| fleet.nodes[*index].metric("reads_store", "") == 1.0);
    assert!(!readers.is_empty() && !others.is_empty(), "{readers:?} read");
    (readers, others)
}

/// Disturbs the readers and writes a version. Returns how long it takes to be in force at the other nodes.
fn measure_beside_disturbance(disturb: impl Fn(&mut ConfigFleet, usize)) -> Option<Duration> {
    let mut fleet = ConfigFleet::start(NODES);
    wait_until("the fleet has settled on who reads", || {
        split_by_role(&fleet).0.len() == READERS
    });
    let (readers, others) = split_by_role(&fleet);
    readers.iter().for_each(|index| disturb(&mut fleet, *index));
    fleet.publish(&draft(FIRST_VERSION + 1, NEW_SERVICE));
    let took = fleet.measure_until_served(&others, NEW_REPLICA, IN_FORCE_WITHIN + PATIENCE);
    println!("in force after {took:?}");
    took
}

fn is_in_time(took: Option<Duration>, bound: Duration) -> bool {
    took.is_some_and(|took| took <= bound)
}

#[test]
fn a_version_is_in_force_in_time_while_those_who_read_the_store_are_stopped() {
    let took = measure_beside_disturbance(|fleet, index| fleet.nodes[index].signal("STOP"));
    assert!(is_in_time(took, IN_FORCE_WITHIN), "{took:?}");
}

#[test]
fn a_version_is_in_force_in_time_while_those_who_read_the_store_are_killed() {
    let took = measure_beside_disturbance(|fleet, index| fleet.nodes[index].kill());
    assert!(is_in_time(took, IN_FORCE_WITHIN), "{took:?}");
}

#[test]
fn a_version_is_in_force_in_time_while_those_who_read_the_store_lost_it() {
    let took =
        measure_beside_disturbance(|fleet, index| fleet.proxies[index].set_mode(RouteMode::Partition, 0));
    assert!(is_in_time(took, IN_FORCE_WITHIN), "{took:?}");
}

#[test]
fn a_version_is_in_force_in_time_after_all_open_connections_to_the_store_fell_silent() {
    let fleet = ConfigFleet::start(NODES);
    let silent_at = Instant::now();
    fleet.proxies.iter().for_each(|proxy| proxy.silence());
    std::thread::sleep(SILENCE_BEFORE_WRITE);
    fleet.publish(&draft(FIRST_VERSION + 1, NEW_SERVICE));
    let all: Vec<usize> = (0..NODES).collect();
    let took = fleet.measure_until_served(&all, NEW_REPLICA, CALM_AFTER + PATIENCE);
    let since_silence = silent_at.elapsed();
    println!("in force {since_silence:?} after the silence began");
    assert!(took.is_some() && since_silence <= CALM_AFTER, "{since_silence:?}");
}

#[test]
fn a_node_alone_follows_in_time_after_its_connection_to_the_store_fell_silent() {
    let fleet = ConfigFleet::start(1);
    let silent_at = Instant::now();
    fleet.proxies[0].silence();
    std::thread::sleep(SILENCE_BEFORE_WRITE);
    fleet.publish(&draft(FIRST_VERSION + 1, NEW_SERVICE));
    let took = fleet.measure_until_served(&[0], NEW_REPLICA, CALM_AFTER + PATIENCE);
    let since_silence = silent_at.elapsed();
    println!("in force {since_silence:?} after the silence began");
    assert!(took.is_some() && since_silence <= CALM_AFTER, "{since_silence:?}");
}

#[test]
fn versions_in_series_are_in_force_in_time_beside_nodes_that_stop_and_go_on() {
    let fleet = ConfigFleet::start(6);
    let mut late = Vec::new();
    for number in 1..=SERIES {
        let stopped = (number % 6) as usize;
        fleet.nodes[stopped].signal("STOP");
        let (service, replica) =
            [(NEW_SERVICE, NEW_REPLICA), (OLD_SERVICE, OLD_REPLICA)][(number % 2) as usize];
        fleet.publish(&draft(FIRST_VERSION + number, service));
        let others: Vec<usize> = (0..6).filter(|index| *index != stopped).collect();
        let took = fleet.measure_until_served(&others, replica, IN_FORCE_WITHIN + PATIENCE);
        fleet.nodes[stopped].signal("CONT");
        if !is_in_time(took, IN_FORCE_WITHIN) {
            late.push((number, took));
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

/// How long a node is stopped: shorter and longer than its watch of the store.
const SHORT_STOP: Duration = Duration::from_millis(1_200);
const LONG_STOP: Duration = Duration::from_millis(4_000);

/// The replicas that answer two requests that were sent while a node was stopped, one over a kept and one
/// over a new connection.
fn answers_after(stop_span: Duration) -> [String; 2] {
    let fleet = ConfigFleet::start(3);
    let node = &fleet.nodes[1];
    std::thread::sleep(CALM_AFTER);
    let mut kept = TcpStream::connect(node.callers()).expect("the node listens");
    let ask = |stream: &mut TcpStream| {
        let text = request("GET", "shop.example", "/moved", "q-1", "", "");
        stream.write_all(text.as_bytes()).expect("it takes bytes");
    };
    ask(&mut kept);
    assert_eq!(
        read_answer(&mut kept).expect("an answer").text().trim(),
        OLD_REPLICA
    );
    node.signal("STOP");
    fleet.publish(&draft(FIRST_VERSION + 1, NEW_SERVICE));
    std::thread::sleep(stop_span);
    let mut fresh = TcpStream::connect(node.callers()).expect("its system takes connections");
    ask(&mut kept);
    ask(&mut fresh);
    node.signal("CONT");
    [&mut kept, &mut fresh].map(|stream| {
        let answer = read_answer(stream).expect("an answer");
        answer.text().trim().to_owned()
    })
}

#[test]
fn a_request_that_waited_at_a_stopped_node_goes_by_the_version_that_was_written_meanwhile() {
    assert_eq!(answers_after(SHORT_STOP), [NEW_REPLICA; 2]);
    assert_eq!(answers_after(LONG_STOP), [NEW_REPLICA; 2]);
}

/// Routes that make a configuration, before its encoding, nearly as large as the store accepts.
const MANY_ROUTES: usize = 4_300;

#[test]
fn a_large_version_reaches_nodes_that_lost_the_store() {
    let fleet = ConfigFleet::start(3);
    fleet.proxies[2].set_mode(RouteMode::Cut, 0);
    let mut document = draft(FIRST_VERSION + 1, NEW_SERVICE);
    for number in 0..MANY_ROUTES {
        let name = format!("many-{number}");
        add_route(&mut document, &name, &format!("/many/{number:060}/"), OLD_SERVICE);
    }
    let text = document.to_string();
    assert!((900_000..1_048_576).contains(&text.len()), "{} bytes", text.len());
    fleet.write(&text);
    let took = fleet.measure_until_served(&[0, 1, 2], NEW_REPLICA, IN_FORCE_WITHIN + PATIENCE);
    assert!(is_in_time(took, IN_FORCE_WITHIN), "{took:?}");
}

/// Length of a long version, in bytes, and how many of them make a watch's answer longer than a node reads.
const LONG_VERSION_BYTES: usize = 380_000;
const LONG_VERSIONS: u64 = 12;

/// The time after its start within which a node begins to watch the configuration.
const WATCHES_AFTER: Duration = Duration::from_millis(2_000);

// Guards against a node that asks again and again for an answer that is too long, and keeps the old version meanwhile.
#[test]
fn a_node_alone_follows_though_the_versions_that_it_missed_are_longer_than_it_reads() {
    let fleet = ConfigFleet::start(1);
    // The first two versions are read before the node is cut off, so that it watches from there.
    std::thread::sleep(WATCHES_AFTER);
    fleet.publish(&draft(FIRST_VERSION + 1, OLD_SERVICE));
    wait_until("the node watches the configuration", || {
        fleet.nodes[0]
            .log()
            .contains(&format!("event=register_accepted revision={}", FIRST_VERSION + 1))
    });
    fleet.proxies[0].set_mode(RouteMode::Partition, 0);
    for version in 1..=LONG_VERSIONS {
        let is_last = version == LONG_VERSIONS;
        let service = if is_last { NEW_SERVICE } else { OLD_SERVICE };
        let mut document = draft(FIRST_VERSION + 1 + version, service);
        document["comment"] = "x".repeat(LONG_VERSION_BYTES).into();
        fleet.publish(&document);
    }
    fleet.proxies[0].set_mode(RouteMode::Pass, 0);
    let took = fleet.measure_until_served(&[0], NEW_REPLICA, CALM_AFTER + IN_FORCE_WITHIN + PATIENCE);
    println!("in force after {took:?}");
    assert!(is_in_time(took, CALM_AFTER + IN_FORCE_WITHIN), "{took:?}");
}
