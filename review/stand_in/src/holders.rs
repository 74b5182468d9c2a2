//! Which machine gives orders to engines after the list of seeds in the settings has changed.

use std::path::Path;
use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::engine::{Engine, Handles, Order, Pace};
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

/// `leaseMs` of the settings.
const LEASE_MS: u64 = 3_000;

const PACE: Pace = Pace {
    slots: 64,
    prefill_tokens_per_ms: 33,
    events: 20,
    event_gap_ms: 40,
    switch_ms: 6_000,
};

fn config() -> serde_json::Value {
    json!({
        "version": 7,
        "routes": [{
            "name": "r-soot", "hostname": "ficu95.example", "pathPrefix": "/lohu930/", "kind": "streaming",
            "timeoutMs": 14000, "targetLatencyMs": 900, "targetGapMs": 300, "priority": 1, "service": "ash-reader",
            "attempts": 1, "sessionAffinity": true, "resumable": false,
        }],
        "services": [{
            "name": "ash-reader", "maxConnections": 420, "healthCheck": "/health",
            "engine": { "kvTokens": 38007, "stride": 12, "kvTtlS": 0.5, "stageSwitchS": 6.0 },
        }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000 },
    })
}

/// Three machines, twelve engines. The seeds change to another order, the new first seed is stopped and started
/// again as planned, and later eight engines are added.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    store.put("op/config", &config());
    let handles = Handles::default();
    let start = |number: usize, phase: &str| {
        Engine::start(&format!("i-{number:02}"), phase, PACE, &store, record, &handles)
    };
    let mut engines: Vec<Engine> = (0..3).map(|number| start(number, "prefill")).collect();
    engines.extend((3..12).map(|number| start(number, "decode")));
    let names = ["front-1", "front-2", "front-3"];
    let mut nodes: Vec<Node> = names
        .iter()
        .map(|name| Node::new(name, store.address, folder, record))
        .collect();
    let seeds: Vec<_> = nodes.iter().map(Node::control).collect();
    for node in &mut nodes {
        node.write_settings(&seeds, true);
        node.start();
    }
    nodes.iter().for_each(Node::wait_ready);
    std::thread::sleep(Duration::from_secs(4));

    let new_seeds = if has_trouble {
        vec![seeds[1], seeds[0], seeds[2]]
    } else {
        seeds
    };
    record.say(&format!("seeds of all machines from now on: {new_seeds:?}"));
    for node in &nodes {
        node.write_settings(&new_seeds, false);
        node.signal("HUP");
    }
    std::thread::sleep(Duration::from_secs(1));
    nodes[1].signal("TERM");
    nodes[1].wait_exit(Duration::from_secs(8));
    nodes[1].start();
    nodes[1].wait_ready();
    std::thread::sleep(Duration::from_secs(12));

    record.say("eight engines are added");
    engines.extend((12..20).map(|number| start(number, "decode")));
    std::thread::sleep(Duration::from_secs(14));
    check(&engines, record)
}

/// Checks the rule ONE for the orders to each engine.
fn check(engines: &[Engine], record: &Record) -> Verdict {
    let mut faults = 0;
    let mut total = 0;
    for engine in engines {
        let orders = engine.orders();
        total += orders.len();
        for (index, later) in orders.iter().enumerate() {
            let earlier: &[Order] = &orders[..index];
            let others = earlier.iter().filter(|order| order.holder != later.holder);
            for other in others {
                let apart_ms = later.at_ms - other.at_ms;
                if apart_ms < LEASE_MS || other.fencing_token >= later.fencing_token {
                    faults += 1;
                    record.say(&format!(
                        "ONE broken at engine {}: {} orders with epoch number {} and {} with {} only {apart_ms} ms later",
                        engine.id, other.holder, other.fencing_token, later.holder, later.fencing_token
                    ));
                }
            }
        }
    }
    record.say(&format!(
        "{total} orders arrived, {faults} of them broke the rule"
    ));
    if total == 0 {
        Verdict::NotRun
    } else {
        Verdict::from_faults(faults)
    }
}
