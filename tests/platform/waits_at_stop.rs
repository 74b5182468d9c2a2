//! Requests that wait when their node is stopped as planned: each gets an answer before the process exits, and at
//! once where it is known that it can't be served before.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::node::{GatewayNode, config_document, wait_until};
use crate::replica::{ReplicaBehavior, STREAM_EVENTS, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{Message, read_answer, request};

/// Timeout of the tests' routes, in milliseconds; longer than a node's grace.
const ROUTE_TIMEOUT_MS: u64 = 30_000;

/// Latency objective of the tests' routes, in milliseconds, so that their requests may wait.
const OBJECTIVE_MS: u64 = 8_000;

/// Slots of a stand-in engine.
const ENGINE_SLOTS: usize = 4;

/// Requests that wait at a time.
const WAITERS: usize = 6;

/// Time in which a refusal that needs no wait arrives.
const REFUSAL_LIMIT: Duration = Duration::from_millis(300);

/// Time that a quick call takes, in milliseconds.
const QUICK_MS: u64 = 200;

/// A time that no request waits for, in milliseconds.
const NEVER_MS: u64 = 60_000;

/// Time in which a request that a test has sent reaches the place where it waits, if no log line shows that.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// How a request ended for its caller.
#[derive(Debug)]
struct RequestEnding {
    id: String,
    answer: Option<Message>,
    ended_at: Instant,
}

impl RequestEnding {
    /// Status of a whole answer; zero if there is none.
    fn status(&self) -> u16 {
        let answer = self.answer.as_ref().filter(|answer| answer.is_whole);
        answer.map_or(0, Message::status)
    }
}

type Caller = JoinHandle<RequestEnding>;

fn patient_config() -> serde_json::Value {
    let mut document = config_document(1);
    for route in document["routes"].as_array_mut().expect("a list") {
        route["timeoutMs"] = ROUTE_TIMEOUT_MS.into();
        route["targetLatencyMs"] = OBJECTIVE_MS.into();
    }
    document
}

/// A node whose routes have time, with its replicas.
struct PatientNode {
    store: StandInStore,
    node: GatewayNode,
    replicas: Vec<StandInReplica>,
    /// Tokens that callers expect of a generation.
    expected_tokens: u64,
}

impl PatientNode {
    /// Starts a node; each replica has a service, a phase and a behavior.
    fn start(replicas: &[(&str, Option<&str>, ReplicaBehavior)]) -> Self {
        let store = StandInStore::start();
        store.put("op/config", &patient_config().to_string());
        let replicas = replicas
            .iter()
            .enumerate()
            .map(|(number, (service, phase, behavior))| {
                StandInReplica::start(&store, &format!("i-{number}"), service, *phase, *behavior)
            });
        let replicas = replicas.collect();
        let node = GatewayNode::start(&store, "vm-1", &[]);
        node.wait_ready();
        Self {
            store,
            node,
            replicas,
            expected_tokens: 40,
        }
    }

    /// A node with one prefill engine and one decode engine.
    fn with_engines(decode: ReplicaBehavior) -> Self {
        Self::start(&[
            ("llm", Some("prefill"), ReplicaBehavior::Well),
            ("llm", Some("decode"), decode),
        ])
    }

    /// Sends a request from a thread of its own.
    fn send(&self, path: &str, id: &str) -> Caller {
        let hint = format!("X-Length-Hint: {}", self.expected_tokens);
        let text = format_request(path, id, id).replace("X-Length-Hint: 40", &hint);
        let (address, id) = (self.node.callers(), id.to_owned());
        std::thread::spawn(move || {
            let stream = TcpStream::connect(address);
            finish(stream.ok(), &text, id)
        })
    }

    fn send_many(&self, path: &str, word: &str, count: usize) -> Vec<Caller> {
        (0..count)
            .map(|number| self.send(path, &format!("{word}-{number}")))
            .collect()
    }

    /// Fills the decode engine and lets `WAITERS` streams wait for it.
    fn queue_streams(&self, paths: &[&str]) -> Vec<Caller> {
        let decode = &self.replicas[1];
        for number in 0..ENGINE_SLOTS {
            self.send("/stream", &format!("holder-{number}"));
        }
        wait_until("the engine is full", || {
            (0..ENGINE_SLOTS).all(|number| decode.runs(&format!("holder-{number}")) > 0)
        });
        let paths = paths.iter().cycle().take(WAITERS).enumerate();
        let waiters = paths.map(|(number, path)| self.send(path, &format!("waiter-{number}")));
        let waiters = waiters.collect();
        wait_until("the others wait", || {
            self.node.log().matches("event=queued").count() >= WAITERS
        });
        waiters
    }

    /// Orders the node to stop; returns when it did.
    fn stop(&self) -> Instant {
        self.node.signal("TERM");
        Instant::now()
    }

    fn was_run(&self, id: &str) -> bool {
        self.replicas.iter().any(|replica| {
            replica
                .seen(id)
                .iter()
                .any(|sent| sent.header("X-Serving-Phase").is_none())
        })
    }

    /// Asserts that all callers were refused with a time to come back, and that no replica ran their requests.
    fn assert_refused(&mut self, callers: Vec<Caller>) -> Vec<RequestEnding> {
        let endings: Vec<RequestEnding> = join(callers);
        wait_until("the process has left", || self.node.has_left());
        for ending in &endings {
            let line = ending
                .answer
                .as_ref()
                .and_then(|answer| answer.header("Retry-After"));
            assert_eq!(ending.status(), 503, "{ending:?} {}", self.node.log());
            assert!(line.is_some(), "{ending:?}");
            assert!(!self.was_run(&ending.id), "{ending:?}");
        }
        endings
    }
}

fn format_request(path: &str, id: &str, body: &str) -> String {
    let lines = "X-Token-Count: 300,40\r\nX-Length-Hint: 40\r\n";
    let text = request("POST", "shop.example", path, id, lines, body);
    text.replace(
        "X-Deadline-Ms: 8000",
        &format!("X-Deadline-Ms: {ROUTE_TIMEOUT_MS}"),
    )
}

/// Writes a request and reads its answer.
fn finish(stream: Option<TcpStream>, text: &str, id: String) -> RequestEnding {
    let answer = stream.and_then(|mut stream| {
        stream.write_all(text.as_bytes()).ok()?;
        read_answer(&mut stream)
    });
    RequestEnding {
        id,
        answer,
        ended_at: Instant::now(),
    }
}

fn join(callers: Vec<Caller>) -> Vec<RequestEnding> {
    let callers = callers.into_iter();
    callers.map(|caller| caller.join().expect("a caller")).collect()
}

// Guards against a stop that closes the connections of streams which wait for an engine: their wait ended only with
// the request's deadline, or with the process.
#[test]
fn streams_that_wait_for_an_engine_of_unknown_speed_are_answered_before_the_exit() {
    for signals in [&["TERM"][..], &["TERM", "TERM", "HUP"]] {
        let mut fleet = PatientNode::with_engines(ReplicaBehavior::PacedEvents(NEVER_MS));
        let waiters = fleet.queue_streams(&["/stream", "/stream/single", "/stream/resume"]);
        for signal in signals {
            fleet.node.signal(signal);
            std::thread::sleep(ARRIVAL_TIME);
        }
        fleet.assert_refused(waiters);
    }
}

// Guards against streams that wait until the exit although the engines' speed shows that none is free before.
#[test]
fn streams_that_get_no_engine_before_the_exit_are_refused_as_soon_as_that_is_known() {
    const EVENT_PAUSE_MS: u64 = 250;
    let mut fleet = PatientNode::with_engines(ReplicaBehavior::PacedEvents(EVENT_PAUSE_MS));
    let measured = fleet.send("/stream", "measured");
    assert_eq!(join(vec![measured])[0].status(), 200);
    fleet.replicas[1].set_behavior(ReplicaBehavior::PacedEvents(NEVER_MS));
    let waiters = fleet.queue_streams(&["/stream"]);
    let stopped_at = fleet.stop();
    wait_until("the drain has begun", || {
        fleet.node.log().contains("event=drain_begun")
    });
    let late_at = Instant::now();
    let late = fleet.send("/stream", "late");
    let endings = fleet.assert_refused(waiters);
    for ending in endings {
        let elapsed = ending.ended_at - stopped_at;
        assert!(elapsed < REFUSAL_LIMIT, "{elapsed:?} {ending:?}");
    }
    let late = &join(vec![late])[0];
    assert_eq!(late.status(), 503, "{late:?}");
    assert!(late.ended_at - late_at < REFUSAL_LIMIT, "{late:?}");
}

// Guards against a stop that refuses requests which wait for an engine that is free in time.
#[test]
fn streams_that_get_an_engine_in_time_are_served_by_a_node_that_stops() {
    let mut fleet = PatientNode::with_engines(ReplicaBehavior::PacedEvents(100));
    fleet.expected_tokens = STREAM_EVENTS;
    let measured = fleet.send("/stream", "measured");
    assert_eq!(join(vec![measured])[0].status(), 200);
    let waiters = fleet.queue_streams(&["/stream", "/stream/resume"]);
    fleet.stop();
    for ending in join(waiters) {
        assert_eq!(ending.status(), 200, "{ending:?} {}", fleet.node.log());
    }
    wait_until("the process has left", || fleet.node.has_left());
}

// Guards against a stop that closes the connections of requests which wait for their turn at a replica that names a
// rate limit.
#[test]
fn calls_that_wait_for_their_turn_at_a_limited_replica_are_answered_before_the_exit() {
    let mut fleet = PatientNode::start(&[("desk", None, ReplicaBehavior::Well)]);
    fleet.replicas[0].set_limit(Some("0.5"));
    let known = fleet.send("/read", "known");
    assert_eq!(join(vec![known])[0].status(), 200);
    wait_until("the limit is known", || {
        fleet.node.metric("", "limit") > 0.0 || fleet.node.log().contains("limit")
    });
    let mut callers = fleet.send_many("/read", "read", WAITERS);
    callers.extend(fleet.send_many("/book", "book", WAITERS));
    std::thread::sleep(ARRIVAL_TIME);
    fleet.stop();
    let endings = join(callers);
    wait_until("the process has left", || fleet.node.has_left());
    for ending in &endings {
        let is_answered = matches!(ending.status(), 200 | 503);
        assert!(is_answered, "{ending:?} {}", fleet.node.log());
        assert_eq!(ending.status() == 200, fleet.was_run(&ending.id), "{ending:?}");
    }
}

// Guards against a stop that closes the connection of a request which waits until another run of the same content
// has shown that it crashes nothing.
#[test]
fn a_request_that_waits_for_a_trial_run_is_answered_before_the_exit() {
    let replicas = [("desk", None, ReplicaBehavior::PacedCalls(QUICK_MS)); 2];
    let mut fleet = PatientNode::start(&replicas);
    // Without these the read is hedged.
    for number in 0..20 {
        let other = fleet.send("/read", &format!("other-{number}"));
        assert_eq!(join(vec![other])[0].status(), 200);
    }
    let slow = ReplicaBehavior::PacedCalls(NEVER_MS);
    fleet
        .replicas
        .iter()
        .for_each(|replica| replica.set_behavior(slow));
    let send_equal = |id: &str| {
        let text = format_request("/read", id, "the day's slots");
        let (address, id) = (fleet.node.callers(), id.to_owned());
        std::thread::spawn(move || finish(TcpStream::connect(address).ok(), &text, id))
    };
    let first = send_equal("first");
    let runner = || fleet.replicas.iter().find(|replica| replica.runs("first") > 0);
    wait_until("the first request runs", || runner().is_some());
    runner().expect("it runs").process.crash();
    wait_until("it runs as a trial", || {
        fleet
            .replicas
            .iter()
            .map(|replica| replica.runs("first"))
            .sum::<usize>()
            > 1
    });
    let second = send_equal("second");
    std::thread::sleep(ARRIVAL_TIME);
    assert!(!fleet.was_run("second"), "it waits for the trial");
    fleet.stop();
    let first = &join(vec![first])[0];
    fleet.assert_refused(vec![second]);
    assert_eq!(first.status(), 502, "{first:?}");
}

// Guards against a stop that closes the connection of a caller whose body is still being read.
#[test]
fn a_request_whose_body_is_still_being_read_is_answered_before_the_exit() {
    let mut fleet = PatientNode::start(&[("desk", None, ReplicaBehavior::Well)]);
    let text = format_request("/book", "slow-body", &"b".repeat(200));
    let begun = text[..text.len() - 100].to_owned();
    let address = fleet.node.callers();
    let caller =
        std::thread::spawn(move || finish(TcpStream::connect(address).ok(), &begun, "slow-body".to_owned()));
    std::thread::sleep(ARRIVAL_TIME);
    fleet.stop();
    fleet.assert_refused(vec![caller]);
}

// Guards against a stop that closes the connection of a generation whose prompt is still being run.
#[test]
fn a_generation_whose_prompt_runs_past_the_exit_is_answered_before_it() {
    const TOKEN_US: u64 = 30_000;
    let mut fleet = PatientNode::start(&[
        ("llm", Some("prefill"), ReplicaBehavior::PacedPrompts(TOKEN_US)),
        ("llm", Some("decode"), ReplicaBehavior::Well),
    ]);
    let caller = fleet.send("/stream", "long-prompt");
    wait_until("the prompt runs", || {
        fleet.replicas[0].count_starting_with("POST") > 0
    });
    fleet.stop();
    fleet.assert_refused(vec![caller]);
}

// Guards against a stream that is sent to an engine although it will be cut there: its prompt took so long that the
// exit comes before the end of the stream.
#[test]
fn a_stream_that_would_run_past_the_exit_is_refused_once_its_prompt_is_run() {
    const TOKEN_US: u64 = 6_000;
    const EVENT_PAUSE_MS: u64 = 600;
    let mut fleet = PatientNode::start(&[
        ("llm", Some("prefill"), ReplicaBehavior::Well),
        (
            "llm",
            Some("decode"),
            ReplicaBehavior::PacedEvents(EVENT_PAUSE_MS),
        ),
    ]);
    fleet.expected_tokens = STREAM_EVENTS;
    let measured = fleet.send_many("/stream", "measured", ENGINE_SLOTS);
    assert!(join(measured).iter().all(|ending| ending.status() == 200));
    fleet.replicas[0].set_behavior(ReplicaBehavior::PacedPrompts(TOKEN_US));
    let caller = fleet.send("/stream", "long-prompt");
    wait_until("the prompt runs", || {
        !fleet.replicas[0].seen("long-prompt").is_empty()
    });
    fleet.stop();
    fleet.assert_refused(vec![caller]);
}

// Guards against waiting streams that end without an answer because the settings were read again or their route was
// moved to another service.
#[test]
fn streams_that_wait_are_served_through_changes_of_settings_and_routes() {
    let fleet = PatientNode::with_engines(ReplicaBehavior::PacedEvents(QUICK_MS));
    let waiters = fleet.queue_streams(&["/stream", "/stream/single", "/stream/resume"]);
    fleet.node.signal("HUP");
    let mut document = patient_config();
    document["version"] = 2.into();
    for route in document["routes"].as_array_mut().expect("a list") {
        route["service"] = "desk".into();
    }
    fleet.store.put("op/config", &document.to_string());
    wait_until("the routes are moved", || {
        fleet.node.log().contains("event=register_accepted revision=2")
    });
    for ending in join(waiters) {
        assert_eq!(ending.status(), 200, "{ending:?} {}", fleet.node.log());
    }
}

// Guards against a stop that says nothing to the callers of requests which their replicas still run, and against a
// refusal that says they have not run.
#[test]
fn requests_that_run_past_the_exit_are_told_that_their_outcome_is_unknown() {
    let replicas = [("desk", None, ReplicaBehavior::PacedCalls(NEVER_MS)); 2];
    let mut fleet = PatientNode::start(&replicas);
    let callers = vec![fleet.send("/read", "read"), fleet.send("/book", "book")];
    wait_until("both run", || fleet.was_run("read") && fleet.was_run("book"));
    fleet.stop();
    let endings = join(callers);
    wait_until("the process has left", || fleet.node.has_left());
    for ending in &endings {
        assert_eq!(ending.status(), 502, "{ending:?} {}", fleet.node.log());
    }
    let runs: usize = fleet.replicas.iter().map(|replica| replica.runs("book")).sum();
    assert_eq!(runs, 1, "a call that runs once");
}

// Guards against a refusal that a caller of HTTP/1.0 gets as a reset, or that is lost behind a second request.
#[test]
fn waiting_requests_of_old_and_pipelining_callers_are_answered_before_the_exit() {
    let mut fleet = PatientNode::with_engines(ReplicaBehavior::PacedEvents(NEVER_MS));
    let waiters = fleet.queue_streams(&["/stream"]);
    let send_text = |text: String, address: SocketAddr, id: &str| {
        let id = id.to_owned();
        std::thread::spawn(move || finish(TcpStream::connect(address).ok(), &text, id))
    };
    let address = fleet.node.callers();
    let old = format_request("/stream", "old", "old").replace("HTTP/1.1", "HTTP/1.0");
    let twice = format!(
        "{}{}",
        format_request("/stream", "twice", "twice"),
        format_request("/stream", "behind", "behind")
    );
    let mut callers = vec![send_text(old, address, "old"), send_text(twice, address, "twice")];
    std::thread::sleep(ARRIVAL_TIME);
    callers.extend(waiters);
    fleet.stop();
    fleet.assert_refused(callers);
}
