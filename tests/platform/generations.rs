//! Generations on two engines: the prefill engine runs the prompt and the decode engine streams the answer.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::fixture::Engines;
use crate::node::wait_until;
use crate::replica::{ReplicaBehavior, SLOW_TOKEN_US, STREAM_EVENTS, StandInReplica};
use crate::wire::{Message, request};

fn generation(id: &str) -> String {
    request(
        "POST",
        "shop.example",
        "/stream",
        id,
        "X-Token-Count: 900,50\r\nX-Length-Hint: 40\r\n",
        "a prompt",
    )
}

fn seen(engines: &[StandInReplica], id: &str) -> Vec<Message> {
    let all = engines.iter().flat_map(|engine| engine.seen(id));
    all.filter(|request| request.start.starts_with("POST")).collect()
}

#[test]
fn a_prompt_runs_on_one_engine_and_its_answer_on_another() {
    let engines = Engines::start();
    let answer = engines.node.ask(&generation("q-1"));
    assert_eq!(answer.status(), 200, "{}", engines.node.log());
    assert!(answer.is_whole);
    assert_eq!(answer.event_ids(), (1..=STREAM_EVENTS).collect::<Vec<_>>());
    let prompts = seen(&engines.prefills, "q-1");
    assert_eq!(
        (prompts.len(), prompts[0].header("X-Serving-Phase")),
        (1, Some("prefill"))
    );
    let answers = seen(&engines.decodes, "q-1");
    assert_eq!(answers.len(), 1);
    let source = answers[0].header("X-Kv-Source").expect("a source");
    let holder = engines
        .prefills
        .iter()
        .find(|engine| !engine.seen("q-1").is_empty())
        .expect("one ran it");
    assert_eq!(source, format!("{}/h-q-1", holder.address));
}

#[test]
fn generations_are_served_while_an_engine_fails() {
    for mood in [
        ReplicaBehavior::NotRun,
        ReplicaBehavior::Breaks,
        ReplicaBehavior::Misdirected,
    ] {
        let engines = Engines::start();
        engines.prefills[0].set_behavior(mood);
        for number in 0..4 {
            let answer = engines.node.ask(&generation(&format!("q-{number}")));
            assert_eq!(
                (answer.status(), answer.is_whole),
                (200, true),
                "{mood:?} {}",
                engines.node.log()
            );
        }
    }
}

#[test]
fn a_broken_stream_is_not_presented_as_complete() {
    let engines = Engines::start();
    for decode in &engines.decodes {
        decode.set_behavior(ReplicaBehavior::BreaksStream);
    }
    let answer = engines.node.ask(&generation("q-1"));
    let ids = answer.event_ids();
    assert!(!answer.is_whole || answer.status() >= 500, "{answer:?}");
    assert!(
        ids.iter().zip(1..).all(|(id, expected)| *id == expected),
        "events are repeated or missing: {ids:?}"
    );
}

#[test]
fn a_leaving_node_is_not_ready_and_completes_its_streams() {
    let mut engines = Engines::start();
    for decode in &engines.decodes {
        decode.set_behavior(ReplicaBehavior::Slow);
    }
    let address = engines.node.callers();
    let running = std::thread::spawn(move || crate::wire::exchange(address, &generation("q-1")));
    wait_until("the answer has begun", || {
        !seen(&engines.decodes, "q-1").is_empty()
    });
    engines.node.signal("TERM");
    wait_until("the node is not ready", || engines.node.readiness() != 200);
    let answer = running.join().expect("the caller's thread").expect("an answer");
    assert_eq!(
        (answer.status(), answer.is_whole),
        (200, true),
        "{}",
        engines.node.log()
    );
    assert_eq!(answer.event_ids().len() as u64, STREAM_EVENTS);
    let began = Instant::now();
    wait_until("the process has left", || engines.node.has_left());
    assert!(began.elapsed() < Duration::from_secs(4), "the node left too late");
}

#[test]
fn without_engines_a_generation_is_refused_at_once() {
    let engines = Engines::start();
    for engine in engines.prefills.iter().chain(&engines.decodes) {
        engines.store.remove(&format!("servers/{}", engine.id));
    }
    wait_until("the engines are gone", || {
        let began = Instant::now();
        let answer = engines.node.ask(&generation("q-1"));
        answer.status() == 503
            && answer.header("Retry-After").is_some()
            && began.elapsed() < Duration::from_millis(500)
    });
}

#[test]
fn a_generation_without_decode_engines_is_refused_with_retry_after() {
    let engines = Engines::start();
    for engine in &engines.decodes {
        engines.store.remove(&format!("servers/{}", engine.id));
    }
    wait_until("the decode engines are gone", || {
        engines.node.log().matches("event=replica_gone").count() == 2
    });
    for number in 0..10 {
        let answer = engines.node.ask(&generation(&format!("q-{number}")));
        assert_eq!(answer.status(), 503, "{answer:?}");
        assert!(answer.header("Retry-After").is_some(), "{}", answer.text());
    }
}

#[test]
fn generations_that_all_engines_refuse_are_refused_before_their_deadline() {
    let engines = Engines::start();
    for decode in &engines.decodes {
        decode.set_behavior(ReplicaBehavior::NotRun);
    }
    for number in 0..5 {
        let began = Instant::now();
        let answer = engines.node.ask(&generation(&format!("q-{number}")));
        assert_eq!(answer.status(), 503, "{answer:?}");
        assert!(answer.header("Retry-After").is_some(), "{}", answer.text());
        // The route allows three sends, and a refusing engine pauses for 200 ms before each; the deadline is
        // 6 s.
        assert!(
            began.elapsed() < Duration::from_secs(2),
            "{:?} {}",
            began.elapsed(),
            answer.text()
        );
    }
}

/// The stream breaks after the first-event deadline, but its caller only waits for the next event, so the
/// stream must be resumed.
#[test]
fn a_stream_that_breaks_late_is_resumed_on_another_engine() {
    let engines = Engines::start();
    engines.decodes[0].set_behavior(ReplicaBehavior::BreaksSlowStream);
    // The engines are equal, so the first by name is selected.
    let text = generation("q-1").replace("POST /stream", "POST /stream/resume");
    let answer = engines.node.ask(&text);
    assert!(answer.is_whole, "{}", engines.node.log());
    let expected: Vec<u64> = (1..=STREAM_EVENTS).collect();
    assert_eq!(answer.event_ids(), expected, "{answer:?}");
    wait_until("the event is logged", || {
        engines.node.log().contains("event=resumed request=q-1")
    });
}

/// A prefill that takes most of the latency objective because of the prompt's length must not be abandoned
/// and run again.
#[test]
fn a_long_prompt_gets_time_in_proportion_to_its_length() {
    let engines = Engines::start();
    for prefill in &engines.prefills {
        prefill.set_behavior(ReplicaBehavior::PacedPrompts(SLOW_TOKEN_US));
    }
    for number in 0..8 {
        let answer = engines.node.ask(&generation(&format!("q-{number}")));
        assert!(answer.is_whole, "{}", engines.node.log());
    }
    let long = generation("q-long").replace("X-Token-Count: 900,", "X-Token-Count: 4000,");
    let answer = engines.node.ask(&long);
    assert!(answer.is_whole, "{}", engines.node.log());
    let answers = seen(&engines.decodes, "q-long");
    assert_eq!(answers.len(), 1);
    assert!(
        answers[0].header("X-Kv-Source").is_some(),
        "{}",
        engines.node.log()
    );
}

/// An engine is excluded after several failures in a row, but not after one.
#[test]
fn an_engine_is_excluded_after_several_failures() {
    let engines = Engines::start();
    engines.decodes[0].set_behavior(ReplicaBehavior::Breaks);
    engines.node.ask(&generation("q-0"));
    engines.decodes[0].set_behavior(ReplicaBehavior::Well);
    let answer = engines.node.ask(&generation("q-1"));
    assert!(answer.is_whole, "{}", engines.node.log());
    assert_eq!(
        seen(&engines.decodes[..1], "q-1").len(),
        1,
        "{}",
        engines.node.log()
    );
    // Both fail, so that each is selected once the other is excluded, whichever is preferred.
    for decode in &engines.decodes {
        decode.set_behavior(ReplicaBehavior::Breaks);
    }
    for number in 2..6 {
        engines.node.ask(&generation(&format!("q-{number}")));
    }
    wait_until("the event is logged", || {
        engines.node.log().contains("event=engine_down engine=i-d1")
    });
}

#[test]
fn a_prompt_whose_engine_crashes_runs_on_another_one_even_with_one_attempt() {
    let engines = Engines::start();
    engines.prefills[0].set_behavior(ReplicaBehavior::PacedPrompts(SLOW_TOKEN_US));
    engines.prefills[1].set_behavior(ReplicaBehavior::PacedPrompts(SLOW_TOKEN_US));
    let text = request(
        "POST",
        "shop.example",
        "/stream/single",
        "q-1",
        "X-Token-Count: 900,50\r\n",
        "a prompt",
    );
    let address = engines.node.callers();
    let running = std::thread::spawn(move || crate::wire::exchange(address, &text));
    let has_request = |engine: &&StandInReplica| !engine.seen("q-1").is_empty();
    wait_until("an engine runs the prompt", || {
        engines.prefills.iter().any(|engine| has_request(&engine))
    });
    let first = engines.prefills.iter().find(has_request).expect("one runs it");
    first.process.crash();
    let answer = running.join().expect("the caller's thread").expect("an answer");
    assert_eq!(
        (answer.status(), answer.is_whole),
        (200, true),
        "{}",
        engines.node.log()
    );
}

#[test]
fn a_prompt_is_not_run_again_if_its_decode_engine_is_unreachable() {
    let engines = Engines::start();
    // The first generation goes to the first engine of each role, since they are equal so far.
    engines.decodes[0].process.crash();
    wait_until("the engine's port is closed", || {
        TcpStream::connect(engines.decodes[0].address).is_err()
    });
    let answer = engines.node.ask(&generation("q-1"));
    assert_eq!(
        (answer.status(), answer.is_whole),
        (200, true),
        "{}",
        engines.node.log()
    );
    let prompts = seen(&engines.prefills, "q-1").len();
    let runs = seen(&engines.decodes, "q-1");
    wait_until("the engine could not be reached", || {
        engines.node.log().contains("outcome=unsent")
    });
    assert_eq!((prompts, runs.len()), (1, 1), "{}", engines.node.log());
    let source = runs[0].header("X-Kv-Source").unwrap_or_default();
    assert!(source.ends_with("/h-q-1"), "{source}");
}
