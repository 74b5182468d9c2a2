//! Equal reads, which crash nothing, while their replicas lose power together.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::fixture::{BusyThreads, start_desk};
use crate::life::{PortEnd, RESTART_DELAY};
use crate::node::{GatewayNode, publish_config, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{exchange, request};

/// How long a replica runs a read, in milliseconds.
const RUN_MS: u64 = 120;

/// How long a read has run when its replica loses power.
const BEFORE_POWER_LOSS: Duration = Duration::from_millis(90);

fn read(id: &str) -> String {
    request("POST", "shop.example", "/read", id, "", "the day's slots")
}

fn other_read(id: &str) -> String {
    request("POST", "shop.example", "/read", id, "", id)
}

fn was_quarantined(node: &GatewayNode) -> bool {
    node.log().contains("event=request_quarantined")
}

#[test]
fn equal_reads_are_not_held_because_a_retry_reached_a_replica_that_had_lost_power_too() {
    for end in [PortEnd::LagsBehind, PortEnd::IsSilent] {
        let (_store, node, replicas) = start_desk([ReplicaBehavior::PacedCalls(RUN_MS); 2]);
        // Without these the read is hedged.
        for number in 0..20 {
            assert_eq!(node.ask(&other_read(&format!("other-{number}"))).status(), 200);
        }
        // One pass lets equal reads run freely after a crash, and clears nothing.
        assert_eq!(node.ask(&read("before")).status(), 200);
        let (address, text) = (node.callers(), read("lost"));
        let reader = std::thread::spawn(move || exchange(address, &text));
        let runs_it = |replica: &&StandInReplica| replica.runs("lost") > 0;
        wait_until("the read runs", || {
            replicas.iter().any(|replica| runs_it(&replica))
        });
        std::thread::sleep(BEFORE_POWER_LOSS);
        let others = replicas.iter().filter(|replica| !runs_it(replica));
        others.for_each(|replica| replica.process.set_port_end(end));
        replicas.iter().for_each(|replica| replica.process.crash());
        reader.join().expect("a caller that ends");
        std::thread::sleep(RESTART_DELAY + RESTART_DELAY / 2);
        for number in 0..5 {
            let status = node.ask(&read(&format!("after-{number}"))).status();
            assert_eq!(status, 200, "{end:?} {}", node.log());
        }
        assert!(!was_quarantined(&node), "{end:?} {}", node.log());
    }
}

/// Callers that send equal reads all the time.
const READERS: usize = 12;

/// Time before each loss of a rack.
const BEFORE_LOSS: Duration = Duration::from_millis(1_500);

/// How long reads go on once all replicas run again.
const READS_AFTER_LOSS: Duration = Duration::from_secs(4);

/// The share of reads that are served once all replicas run again, in percent.
const SERVED_PERCENT: usize = 95;

#[test]
fn equal_reads_are_not_held_beside_load_after_two_racks_lost_power() {
    let store = StandInStore::start();
    publish_config(&store, 1);
    let desks: Vec<_> = (0..6_u64)
        .map(|number| {
            let behavior = ReplicaBehavior::PacedCalls(80 + 24 * number);
            StandInReplica::start(&store, &format!("i-{number}"), "desk", None, behavior)
        })
        .collect();
    let first = GatewayNode::start(&store, "vm-1", &[]);
    let nodes = [GatewayNode::start(&store, "vm-2", &[&first]), first];
    nodes.iter().for_each(GatewayNode::wait_ready);
    let _busy = BusyThreads::start();
    let is_over = AtomicBool::new(false);
    let read_on = &|reader: usize| {
        let mut answers = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            let sent_at = Instant::now();
            let text = read(&format!("read-{reader}-{}", answers.len()));
            let status = exchange(nodes[reader % 2].callers(), &text).map_or(0, |answer| answer.status());
            answers.push((sent_at, status));
        }
        answers
    };
    let (counted_from, answers) = std::thread::scope(|scope| {
        let readers: Vec<_> = (0..READERS)
            .map(|reader| scope.spawn(move || read_on(reader)))
            .collect();
        for rack in desks.chunks(3) {
            std::thread::sleep(BEFORE_LOSS);
            rack.iter().for_each(|desk| desk.process.crash());
        }
        std::thread::sleep(RESTART_DELAY * 2);
        let counted_from = Instant::now();
        std::thread::sleep(READS_AFTER_LOSS);
        is_over.store(true, Ordering::Relaxed);
        let answers = readers
            .into_iter()
            .flat_map(|reader| reader.join().expect("a reader"));
        (counted_from, answers.collect::<Vec<_>>())
    });
    let counted = answers.iter().filter(|(sent_at, _)| *sent_at >= counted_from);
    let made = counted.clone().count();
    let served = counted.filter(|(_, status)| *status == 200).count();
    println!("{served} of {made} served");
    assert!(
        made > 0 && served * 100 >= made * SERVED_PERCENT,
        "{served} of {made}"
    );
    assert!(
        !nodes.iter().any(was_quarantined),
        "{served} of {made}, {:?}",
        nodes[0].log_path()
    );
}
