//! Generations over two engines: the prompt on one, the answer on the other.

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
fn engines_that_fail_are_passed_over() {
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
fn a_broken_stream_is_not_passed_off_as_whole() {
    let engines = Engines::start();
    for decode in &engines.decodes {
        decode.set_behavior(ReplicaBehavior::BreaksStream);
    }
    let answer = engines.node.ask(&generation("q-1"));
    let ids = answer.event_ids();
    assert!(!answer.is_whole || answer.status() >= 500, "{answer:?}");
    assert!(
        ids.iter().zip(1..).all(|(id, expected)| *id == expected),
        "no event twice: {ids:?}"
    );
}

#[test]
fn a_leaving_node_ends_its_streams_and_takes_no_new_ones() {
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
    wait_until("it is not ready", || engines.node.readiness() != 200);
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
    assert!(began.elapsed() < Duration::from_secs(4), "within its time");
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
fn a_generation_without_engines_to_answer_it_is_told_when_to_come_back() {
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
fn engines_that_all_refuse_are_not_waited_for_to_the_end() {
    let engines = Engines::start();
    for decode in &engines.decodes {
        decode.set_behavior(ReplicaBehavior::NotRun);
    }
    for number in 0..5 {
        let began = Instant::now();
        let answer = engines.node.ask(&generation(&format!("q-{number}")));
        assert_eq!(answer.status(), 503, "{answer:?}");
        assert!(answer.header("Retry-After").is_some(), "{}", answer.text());
        // The route's three sends, each after an engine's pause of 200 ms; its deadline is 6 s away.
        assert!(
            began.elapsed() < Duration::from_secs(2),
            "{:?} {}",
            began.elapsed(),
            answer.text()
        );
    }
}

/// The stream breaks later than its caller would have waited for the first event, and its caller waits for the next one.
#[test]
fn a_stream_that_breaks_late_goes_on_at_another_engine() {
    let engines = Engines::start();
    engines.decodes[0].set_behavior(ReplicaBehavior::BreaksSlowStream);
    // The engines are alike, so the first by name begins.
    let text = generation("q-1").replace("POST /stream", "POST /stream/resume");
    let answer = engines.node.ask(&text);
    assert!(answer.is_whole, "{}", engines.node.log());
    let expected: Vec<u64> = (1..=STREAM_EVENTS).collect();
    assert_eq!(answer.event_ids(), expected, "{answer:?}");
    wait_until("the log tells", || {
        engines.node.log().contains("event=resumed request=q-1")
    });
}

/// A prompt that takes most of the objective for its size alone is not given up and run once more.
#[test]
fn a_long_prompt_gets_the_time_that_its_size_takes() {
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

/// One failure is no reason to go without an engine, several in a row are.
#[test]
fn an_engine_is_passed_over_once_it_failed_several_times() {
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
    // Both fail, so that the one is asked once the other is passed over, whichever is preferred.
    for decode in &engines.decodes {
        decode.set_behavior(ReplicaBehavior::Breaks);
    }
    for number in 2..6 {
        engines.node.ask(&generation(&format!("q-{number}")));
    }
    wait_until("the log tells", || {
        engines.node.log().contains("event=engine_down engine=i-d1")
    });
}

#[test]
fn a_prompt_whose_engine_ends_is_run_by_another_one_though_one_attempt_is_allowed() {
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
    let has_it = |engine: &&StandInReplica| !engine.seen("q-1").is_empty();
    wait_until("an engine runs the prompt", || {
        engines.prefills.iter().any(|engine| has_it(&engine))
    });
    let first = engines.prefills.iter().find(has_it).expect("one runs it");
    first.life.end();
    let answer = running.join().expect("the caller's thread").expect("an answer");
    assert_eq!(
        (answer.status(), answer.is_whole),
        (200, true),
        "{}",
        engines.node.log()
    );
}

#[test]
fn a_prompt_is_not_run_again_where_its_decode_engine_can_not_be_reached() {
    let engines = Engines::start();
    // The first generation goes to the first engine of each kind, since nothing tells them apart yet.
    engines.decodes[0].life.end();
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
