//! Streams that break off after some events, and replicas that resume them with something else than the rest.

use crate::node::{GatewayNode, publish_config};
use crate::replica::{MalformedRest, ReplicaBehavior, STREAM_EVENTS, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{Message, request};

/// Number of streams in each case.
const STREAMS_PER_CASE: usize = 6;

const ODD_RESTS: [MalformedRest; 12] = [
    MalformedRest::Status(500),
    MalformedRest::Status(502),
    MalformedRest::Status(404),
    MalformedRest::Status(204),
    MalformedRest::Refusal,
    MalformedRest::Json,
    MalformedRest::UntypedText,
    MalformedRest::TextAsStream,
    MalformedRest::ErrorEvent,
    MalformedRest::HeadInBody,
    MalformedRest::FromTheStart,
    MalformedRest::WithGap,
];

fn start(behaviors: &[ReplicaBehavior]) -> (StandInStore, GatewayNode, Vec<StandInReplica>) {
    let store = StandInStore::start();
    publish_config(&store, 1);
    let prompts = ["i-p1", "i-p2"].map(|id| (id.to_owned(), "prefill", ReplicaBehavior::Well));
    let answers = behaviors
        .iter()
        .enumerate()
        .map(|(number, behavior)| (format!("i-d{number}"), "decode", *behavior));
    let engines = prompts.into_iter().chain(answers);
    let replicas: Vec<_> = engines
        .map(|(id, phase, behavior)| StandInReplica::start(&store, &id, "llm", Some(phase), behavior))
        .collect();
    let node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    (store, node, replicas)
}

fn stream(node: &GatewayNode, number: usize) -> Message {
    let lines = "X-Token-Count: 300,40\r\n";
    let id = format!("q-{number}");
    node.ask(&request(
        "POST",
        "shop.example",
        "/stream/resume",
        &id,
        lines,
        &id,
    ))
}

/// What is wrong with a stream that a caller got. It must have complete events only, in order, and all of
/// them if it looks complete.
fn find_defect(answer: &Message) -> Option<String> {
    let text = answer.text();
    let events = answer.event_ids();
    let expected: String = (1..=events.len())
        .map(|number| format!("id: {number}\ndata: token\n\n"))
        .collect();
    let is_short = answer.is_whole && events.len() as u64 != STREAM_EVENTS;
    let is_refusal = answer.status() != 200 && events.is_empty();
    (!is_refusal && (text != expected || is_short))
        .then(|| format!("status {}, whole: {}, {text:?}", answer.status(), answer.is_whole))
}

#[test]
fn a_broken_stream_has_no_bytes_of_an_error_and_does_not_look_complete() {
    let mut defects = Vec::new();
    for odd_rest in ODD_RESTS {
        let behavior = ReplicaBehavior::BreaksAndResumes(odd_rest);
        let (_store, node, _replicas) = start(&[behavior; 3]);
        for number in 0..STREAMS_PER_CASE {
            let defect = find_defect(&stream(&node, number));
            defects.extend(defect.map(|defect| format!("{odd_rest:?}: {defect}")));
        }
    }
    assert!(defects.is_empty(), "{}", defects.join("\n"));
}

#[test]
fn a_broken_stream_is_completed_by_an_engine_that_resumes_it() {
    let (_store, node, replicas) = start(&[
        ReplicaBehavior::BreaksStream,
        ReplicaBehavior::Well,
        ReplicaBehavior::Well,
    ]);
    for number in 0..STREAMS_PER_CASE {
        let answer = stream(&node, number);
        assert_eq!(find_defect(&answer), None);
        assert!(answer.is_whole, "{answer:?}");
    }
    assert!(
        replicas[2].count() > 0,
        "the engine that breaks streams off has got some"
    );
}
