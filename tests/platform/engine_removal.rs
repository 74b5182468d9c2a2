//! Decode engines that leave while the prompts of their generations are still run elsewhere.

use std::time::{Duration, Instant};

use crate::node::{GatewayNode, config_document, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{exchange, request};

/// Prefill time per token, in microseconds: 3.6 s for a prompt of 300 tokens.
const TOKEN_US: u64 = 12_000;

/// Latency objective of the route, in milliseconds; longer than a prompt takes.
const OBJECTIVE_MS: u64 = 8_000;

/// Time after its removal from the list within which an engine must stop getting requests.
const DRAINED_WITHIN: Duration = Duration::from_millis(2_000);

/// Streams that are sent, in pairs, before and after the removal.
const STREAMS: usize = 8;

/// Time between two pairs of streams.
const SEND_INTERVAL: Duration = Duration::from_millis(400);

// Guards against requests that reach an engine long after its entry was removed, since they were granted before: an
// engine without statistics counted as one that has not stopped.
#[test]
fn a_stream_is_not_sent_to_an_engine_that_was_removed_while_its_prompt_was_run() {
    let store = StandInStore::start();
    let mut document = config_document(1);
    for route in document["routes"].as_array_mut().expect("a list") {
        route["targetLatencyMs"] = OBJECTIVE_MS.into();
        route["timeoutMs"] = 20_000.into();
    }
    store.put("op/config", &document.to_string());
    let engine =
        |id: &str, phase: &str, behavior| StandInReplica::start(&store, id, "llm", Some(phase), behavior);
    let _prefills = ["i-p1", "i-p2", "i-p3", "i-p4"]
        .map(|id| engine(id, "prefill", ReplicaBehavior::PacedPrompts(TOKEN_US)));
    let decodes = ["i-d1", "i-d2", "i-d3"].map(|id| engine(id, "decode", ReplicaBehavior::Well));
    let node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    let address = node.callers();
    let send = |number: usize| {
        let id = format!("q-{number}");
        let text = request(
            "POST",
            "shop.example",
            "/stream",
            &id,
            "X-Token-Count: 300,5\r\n",
            &id,
        );
        let text = text.replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: 20000");
        std::thread::spawn(move || exchange(address, &text))
    };
    let mut callers = Vec::new();
    let mut removed_at = None;
    for pair in 0..STREAMS / 2 {
        callers.extend([send(2 * pair), send(2 * pair + 1)]);
        std::thread::sleep(SEND_INTERVAL);
        if pair == 1 {
            store.remove("servers/i-d1");
            removed_at = Some(Instant::now());
        }
    }
    let stopped_at = removed_at.expect("it was removed") + DRAINED_WITHIN;
    for caller in callers {
        let answer = caller.join().expect("a caller").expect("an answer");
        assert!(
            answer.status() == 200 && answer.is_whole,
            "{answer:?} {}",
            node.log()
        );
    }
    wait_until("a stream was granted the engine that was removed", || {
        node.log().contains("decode=i-d1")
    });
    let late = decodes[0].arrived_at().into_iter().filter(|at| *at > stopped_at);
    assert_eq!(late.count(), 0, "{}", node.log());
}
