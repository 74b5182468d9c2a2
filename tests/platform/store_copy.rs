//! The store comes back from an older copy: what it had acknowledged holds, and what is written afterwards is followed,
//! whatever revision it gets.

use std::time::{Duration, Instant};

use stand_ins::proxy::RouteMode;

use crate::api_keys::{KEY, key_line, keyed_document, read_with};
use crate::config_fleet::{
    ConfigFleet, FIRST_VERSION, NEW_REPLICA, NEW_SERVICE, OLD_REPLICA, OLD_SERVICE, draft, served_by,
};
use crate::node::{GatewayNode, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StoreBehavior;

const NODES: usize = 3;

/// How long the store is away.
const AWAY: Duration = Duration::from_millis(600);

/// When the operator and the replicas write again after the return of the store.
const REWRITE_AFTER: Duration = Duration::from_millis(1_200);

/// How long after the return of the store nodes may be without what is written afterwards.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// How long after the store has accepted that it drains a replica may get requests.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Changes of the configuration before the store goes away.
const VERSIONS: u64 = 6;

/// A fleet that knows changes of the configuration and one more replica, which the copy will lack.
struct CopiedFleet {
    fleet: ConfigFleet,
    late: StandInReplica,
    version: u64,
}

impl CopiedFleet {
    fn start() -> Self {
        let fleet = ConfigFleet::start(NODES);
        let mut copied = Self {
            late: start_desk(&fleet, "i-late"),
            fleet,
            version: FIRST_VERSION,
        };
        // The replica is the last change, so that the list is at the store's revision.
        copied.fleet.store.remove("servers/i-late");
        (0..VERSIONS).for_each(|_| copied.publish_next());
        copied.write_late();
        let known = copied.fleet.store.revision() as f64;
        wait_until("all know the list", || {
            let mut nodes = copied.fleet.nodes.iter();
            nodes.all(|node| node.metric("list_revision", "") == known)
        });
        copied
    }

    fn publish_next(&mut self) {
        self.version += 1;
        self.publish();
    }

    fn publish(&self) {
        self.fleet.publish(&draft(self.version, OLD_SERVICE));
    }

    fn write_late(&self) {
        self.late.publish(&self.fleet.store, OLD_SERVICE, None, "ready");
    }

    /// The store goes away, and comes back without the changes since the start.
    fn copy_back(&self) {
        self.fleet.store.set_behavior(StoreBehavior::Lost);
        std::thread::sleep(AWAY);
        self.fleet.store.come_back_without(VERSIONS as usize + 1);
    }

    /// What the copy lacks is written again.
    fn rewrite(&self) {
        self.publish();
        self.write_late();
    }

    /// Sends requests until each node has used a replica, and returns how long that took.
    fn measure_until_used(&self, replica: &StandInReplica) -> Option<Duration> {
        let all: Vec<usize> = (0..NODES).collect();
        let took = self
            .fleet
            .measure_until_served(&all, &replica.id, STABLE_WINDOW + AWAY);
        println!(
            "a replica was used after {took:?}, the store is at revision {}",
            self.fleet.store.revision()
        );
        took
    }

    fn assert_new_replica_is_used(&self, form: &str) {
        self.assert_used(&start_desk(&self.fleet, "i-fresh"), form);
    }

    fn assert_used(&self, replica: &StandInReplica, form: &str) {
        let took = self.measure_until_used(replica);
        let logs = || self.fleet.nodes.iter().map(GatewayNode::log).collect::<String>();
        assert!(
            took.is_some_and(|took| took <= STABLE_WINDOW),
            "{form}: {took:?}\n{}",
            logs()
        );
    }
}

fn start_desk(fleet: &ConfigFleet, id: &str) -> StandInReplica {
    StandInReplica::start(&fleet.store, id, OLD_SERVICE, None, ReplicaBehavior::Well)
}

/// Guards against revisions that are compared across eras: the list of the new era was dropped or never read.
#[test]
fn a_replica_is_used_that_is_listed_behind_level_with_or_ahead_of_the_known_revision() {
    for (form, fillers) in [("behind", 0), ("level", 4), ("ahead", 9)] {
        let mut copied = CopiedFleet::start();
        let known = copied.fleet.store.revision();
        copied.copy_back();
        copied.rewrite();
        let fresh = start_desk(&copied.fleet, "i-fresh");
        // The nodes find the store beyond its entry.
        (0..fillers).for_each(|_| copied.publish_next());
        let reached = copied.fleet.store.revision();
        assert_eq!(
            reached.cmp(&known),
            fillers.cmp(&4),
            "{form}: {reached} beside {known}"
        );
        copied.assert_used(&fresh, form);
        let eras = copied.fleet.nodes.iter().map(|node| node.metric("store_era", ""));
        assert!(eras.into_iter().all(|era| era == 2.0), "{form}");
    }
}

/// Guards against an era that only readers of the store learn of.
#[test]
fn a_node_that_is_cut_off_over_the_return_of_the_store_learns_of_it_from_its_peers() {
    let copied = CopiedFleet::start();
    copied.fleet.proxies[2].set_mode(RouteMode::Partition, 0);
    copied.copy_back();
    copied.rewrite();
    copied.assert_new_replica_is_used("cut off");
}

/// Guards against a recovery that a second copy ends.
#[test]
fn a_second_copy_during_the_first_recovery_is_followed() {
    let copied = CopiedFleet::start();
    copied.copy_back();
    std::thread::sleep(Duration::from_millis(300));
    copied.rewrite();
    copied.fleet.store.set_behavior(StoreBehavior::Lost);
    std::thread::sleep(AWAY);
    copied.fleet.store.come_back_without(1);
    copied.write_late();
    copied.assert_new_replica_is_used("twice");
}

/// Guards against nodes that start between the copy and what is written again, and know no era before.
#[test]
fn a_fleet_that_restarts_as_the_store_comes_back_serves_and_follows_it() {
    let mut copied = CopiedFleet::start();
    copied.fleet.nodes.iter_mut().for_each(GatewayNode::kill);
    copied.copy_back();
    copied.fleet.nodes.iter_mut().for_each(GatewayNode::spawn);
    copied.fleet.nodes.iter().for_each(GatewayNode::wait_ready);
    copied.rewrite();
    copied.assert_new_replica_is_used("restarted");
}

/// Guards against a draining or removed replica that is hidden by revisions of the era before.
#[test]
fn draining_and_removed_replicas_in_reused_revisions_get_nothing_after_their_bound() {
    let copied = CopiedFleet::start();
    let third = start_desk(&copied.fleet, "i-third");
    copied.copy_back();
    copied.rewrite();
    third.publish(&copied.fleet.store, OLD_SERVICE, None, "ready");
    std::thread::sleep(STABLE_WINDOW);
    copied
        .late
        .publish(&copied.fleet.store, OLD_SERVICE, None, "draining");
    copied.fleet.store.remove("servers/i-third");
    std::thread::sleep(DRAIN);
    let served: Vec<String> = (0..40)
        .flat_map(|_| copied.fleet.nodes.iter().map(served_by))
        .collect();
    let late = served.iter().filter(|answer| *answer != OLD_REPLICA).count();
    assert_eq!(late, 0, "of {}: {served:?}", served.len());
}

/// Guards against a copy that takes a sound replica away, or brings a removed one back.
#[test]
fn a_replica_that_the_copy_lacks_serves_on_and_a_removed_one_that_it_shows_gets_nothing() {
    let copied = CopiedFleet::start();
    copied.fleet.store.remove("servers/i-old");
    wait_until("the removed replica is left", || {
        let mut answers = (0..8).flat_map(|_| copied.fleet.nodes.iter().map(served_by));
        answers.all(|answer| answer == "i-late")
    });
    std::thread::sleep(DRAIN);
    copied.fleet.store.set_behavior(StoreBehavior::Lost);
    std::thread::sleep(AWAY);
    copied.fleet.store.come_back_without(VERSIONS as usize + 2);
    assert_eq!(
        copied.fleet.answers_other_than("i-late", REWRITE_AFTER),
        Vec::<String>::new()
    );
    copied.rewrite();
    assert_eq!(
        copied.fleet.answers_other_than("i-late", STABLE_WINDOW),
        Vec::<String>::new()
    );
}

/// Guards against a copy that is older than a replica's word that it drains.
#[test]
fn a_draining_replica_that_the_copy_shows_as_ready_gets_nothing() {
    let copied = CopiedFleet::start();
    copied
        .late
        .publish(&copied.fleet.store, OLD_SERVICE, None, "draining");
    std::thread::sleep(DRAIN);
    copied.fleet.store.set_behavior(StoreBehavior::Lost);
    std::thread::sleep(AWAY);
    copied.fleet.store.come_back_without(1);
    assert_eq!(
        copied.fleet.answers_other_than(OLD_REPLICA, REWRITE_AFTER),
        Vec::<String>::new()
    );
    copied
        .late
        .publish(&copied.fleet.store, OLD_SERVICE, None, "draining");
    assert_eq!(
        copied.fleet.answers_other_than(OLD_REPLICA, STABLE_WINDOW),
        Vec::<String>::new()
    );
    let metrics = copied.fleet.nodes[0].metric("replicas_unconfirmed", "");
    assert_eq!(metrics, 0.0, "its entry was written again");
}

/// Guards against a configuration that goes back with the store, also on a node that starts before it is written again.
#[test]
fn the_configuration_in_force_stays_over_an_older_copy_and_a_newer_one_counts_at_once() {
    let mut fleet = ConfigFleet::start(NODES);
    fleet.publish(&draft(FIRST_VERSION + 2, NEW_SERVICE));
    fleet.wait_served_by(NEW_REPLICA);
    fleet.store.set_behavior(StoreBehavior::Lost);
    std::thread::sleep(AWAY);
    fleet.store.come_back_without(1);
    fleet.add_node();
    fleet.nodes[NODES].wait_ready();
    assert_eq!(
        fleet.answers_other_than(NEW_REPLICA, REWRITE_AFTER),
        Vec::<String>::new()
    );
    fleet.publish(&draft(FIRST_VERSION + 2, NEW_SERVICE));
    assert_eq!(
        fleet.answers_other_than(NEW_REPLICA, STABLE_WINDOW),
        Vec::<String>::new()
    );
    fleet.publish(&draft(FIRST_VERSION + 3, OLD_SERVICE));
    let all: Vec<usize> = (0..=NODES).collect();
    let took = fleet.measure_until_served(&all, OLD_REPLICA, DRAIN);
    assert!(took.is_some(), "a newer version is not in force");
}

/// Guards against a proof that waits for the revisions of the era before, and against one by a copy that lists a removed
/// key.
#[test]
fn valid_keys_are_served_and_a_removed_one_is_refused_over_an_older_copy() {
    const OTHER_KEY: &str = "k9m6-other-key";
    let fleet = ConfigFleet::start(NODES);
    let publish = |version: u64, keys: &[&str]| fleet.publish(&keyed_document(version, keys));
    for version in 8..14 {
        publish(version, &[KEY]);
        std::thread::sleep(Duration::from_millis(100));
    }
    let status_of = |node: &GatewayNode, key: &str| read_with(node, "q-1", "/read", &key_line(key)).status();
    wait_until("keys are served", || {
        fleet.nodes.iter().all(|node| status_of(node, KEY) == 200)
    });
    publish(14, &[]);
    wait_until("a key is removed", || {
        fleet.nodes.iter().all(|node| status_of(node, KEY) == 401)
    });
    fleet.store.set_behavior(StoreBehavior::Lost);
    std::thread::sleep(AWAY);
    fleet.store.come_back_without(6);
    let back_at = Instant::now();
    let (mut asked, mut refused, mut settled) = (0, 0, 0);
    let mut is_rewritten = false;
    while back_at.elapsed() < 3 * STABLE_WINDOW {
        if back_at.elapsed() >= REWRITE_AFTER && !std::mem::replace(&mut is_rewritten, true) {
            publish(14, &[]);
        }
        for node in &fleet.nodes {
            assert_ne!(
                status_of(node, KEY),
                200,
                "the removed key is accepted: {}",
                node.log()
            );
            let is_refused = status_of(node, OTHER_KEY) != 200;
            asked += 1;
            refused += usize::from(is_refused);
            if back_at.elapsed() >= STABLE_WINDOW {
                assert!(
                    !is_refused,
                    "{:?} after the return: {}",
                    back_at.elapsed(),
                    node.log()
                );
                settled += 1;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    println!("{refused} of {asked} with a valid key refused, none of {settled} once the store was stable");
}

/// Guards against an era that can't be read, or falls, and takes the store or the node with it.
#[test]
fn an_answer_with_a_bad_era_is_refused_and_the_node_serves_and_recovers() {
    let copied = CopiedFleet::start();
    let store = &copied.fleet.store;
    for (value, logged) in [
        ("-1", "is no era: -1"),
        ("one", "is no era: one"),
        ("99999999999", "is no era: 99999999999"),
        ("0", "fell from 1 to 0"),
    ] {
        store.name_era(Some(value));
        copied.late.publish(store, OLD_SERVICE, None, "draining");
        wait_until("the era is logged", || {
            copied.fleet.nodes[0].log().contains(logged)
        });
        let answers: Vec<String> = copied.fleet.nodes.iter().map(served_by).collect();
        assert!(
            answers.iter().all(|answer| answer.starts_with("i-")),
            "{value}: {answers:?}"
        );
    }
    store.name_era(None);
    wait_until("the missing era is logged", || {
        copied.fleet.nodes[0]
            .log()
            .contains("event=store_era_missing era=1")
    });
    store.name_era(Some("1"));
    copied.assert_new_replica_is_used("after bad eras");
}
