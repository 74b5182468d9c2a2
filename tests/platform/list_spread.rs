//! Undisturbed nodes follow changes of the list of replicas in time, whatever happens to the nodes that read
//! it for them.

use std::time::{Duration, Instant};

use stand_ins::proxy::RouteMode;

use crate::config_fleet::{
    CALM_AFTER, ConfigFleet, FIRST_VERSION, IN_FORCE_WITHIN, NEW_REPLICA, NEW_SERVICE, OLD_REPLICA,
    OLD_SERVICE, draft, served_by,
};
use crate::node::wait_until;
use crate::replica::{ReplicaBehavior, StandInReplica};

/// The size of the fleet, and how many of its nodes read the list for the others.
const NODES: usize = 12;
const READERS: usize = 6;

/// The time after the write of its entry within which a draining replica must stop getting new requests.
const DRAINED_WITHIN: Duration = Duration::from_millis(2_000);

/// How long a test goes on beyond that bound.
const PATIENCE: Duration = Duration::from_millis(6_000);

/// Disturbs the readers and marks a replica as draining. Returns how long it still got requests from
/// undisturbed nodes.
fn measure_beside_disturbance(disturb: impl Fn(&mut ConfigFleet, usize)) -> Duration {
    let mut fleet = ConfigFleet::start(NODES);
    let other = StandInReplica::start(&fleet.store, "i-other", OLD_SERVICE, None, ReplicaBehavior::Well);
    wait_until("all know the other replica, and who reads", || {
        let reads = fleet.nodes.iter().map(|node| node.metric("reads_store", ""));
        reads.sum::<f64>() == READERS as f64
            && fleet
                .nodes
                .iter()
                .all(|node| node.metric("replicas", "state=\"listed\"") == 3.0)
    });
    let (readers, others): (Vec<usize>, Vec<usize>) =
        (0..NODES).partition(|index| fleet.nodes[*index].metric("reads_store", "") == 1.0);
    readers.iter().for_each(|index| disturb(&mut fleet, *index));
    fleet.replicas[0].publish(&fleet.store, OLD_SERVICE, None, "draining");
    let began = Instant::now();
    let mut latest = Duration::ZERO;
    while began.elapsed() < DRAINED_WITHIN + PATIENCE {
        for index in &others {
            let sent_at = began.elapsed();
            if served_by(&fleet.nodes[*index]) == OLD_REPLICA {
                latest = sent_at;
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(other);
    println!("requests until {latest:?} after the store had its word");
    latest
}

#[test]
fn a_draining_replica_gets_nothing_new_in_time_while_those_who_read_the_list_are_stopped() {
    let latest = measure_beside_disturbance(|fleet, index| fleet.nodes[index].signal("STOP"));
    assert!(latest <= DRAINED_WITHIN, "{latest:?}");
}

#[test]
fn a_draining_replica_gets_nothing_new_in_time_while_those_who_read_the_list_lost_the_store() {
    let latest =
        measure_beside_disturbance(|fleet, index| fleet.proxies[index].set_mode(RouteMode::Partition, 0));
    assert!(latest <= DRAINED_WITHIN, "{latest:?}");
}

/// Guards against watches of the list that wait for longer than the bound on connections that fell silent, though another
/// watch of the same node has found that out.
#[test]
fn a_draining_replica_gets_nothing_once_calm_after_all_connections_to_the_store_fell_silent() {
    let fleet = ConfigFleet::start(3);
    // The watches of the list begin anew after a change.
    let other = StandInReplica::start(&fleet.store, "i-other", OLD_SERVICE, None, ReplicaBehavior::Well);
    wait_until("all know the other replica", || {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|node| node.metric("replicas{", "state=\"listed\"") == 3.0)
    });
    std::thread::sleep(Duration::from_millis(600));
    fleet.proxies.iter().for_each(|proxy| proxy.silence());
    let silent_at = Instant::now();
    fleet.replicas[0].publish(&fleet.store, OLD_SERVICE, None, "draining");
    std::thread::sleep(CALM_AFTER);
    let mut latest = Duration::ZERO;
    while silent_at.elapsed() < CALM_AFTER + PATIENCE / 2 {
        if fleet.nodes.iter().any(|node| served_by(node) == OLD_REPLICA) {
            latest = silent_at.elapsed();
        }
    }
    drop(other);
    assert_eq!(latest, Duration::ZERO, "requests until then after the silence");
}

/// Guards against a store that is read at the address of the start after the settings name another one.
#[test]
fn a_changed_address_of_the_store_is_followed_with_and_without_a_signal() {
    let fleet = ConfigFleet::start(3);
    let address = fleet.store.address.to_string();
    for (node, proxy) in fleet.nodes.iter().zip(&fleet.proxies) {
        node.change_settings(proxy.address(), &address);
    }
    // The others notice the change of the file by themselves.
    fleet.nodes[0].signal("HUP");
    wait_until("the change is noticed", || {
        fleet
            .nodes
            .iter()
            .all(|node| node.log().contains("event=store_moved"))
    });
    fleet
        .proxies
        .iter()
        .for_each(|proxy| proxy.set_mode(RouteMode::Partition, 0));
    fleet.publish(&draft(FIRST_VERSION + 1, NEW_SERVICE));
    let took = fleet.measure_until_served(&[0, 1, 2], NEW_REPLICA, IN_FORCE_WITHIN);
    assert!(took.is_some(), "the new version is not in force");
    fleet.replicas[1].publish(&fleet.store, NEW_SERVICE, None, "draining");
    let other = StandInReplica::start(&fleet.store, "i-other", NEW_SERVICE, None, ReplicaBehavior::Well);
    let took = fleet.measure_until_served(&[0, 1, 2], &other.id, DRAINED_WITHIN);
    assert!(took.is_some(), "the list is not followed");
}
