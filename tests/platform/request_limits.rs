//! Replicas that name a limit on the requests a second that they take from all nodes together.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::node::{GatewayNode, publish_config, wait_until};
use crate::replica::{ReplicaMood, SLOW_TOKEN_US, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{exchange, request};

/// How long after a replica first named its limit the limit has to be kept.
pub const KNOWN_AFTER: Duration = Duration::from_millis(3_000);

/// The span over which arrivals are counted, in seconds.
const WINDOW_S: f64 = 4.0;

/// The factor and the number of requests by which a limit may be exceeded in a window.
const WINDOW_SLACK: (f64, f64) = (1.5, 5.0);

/// How long callers press before replicas name their limits.
const BEFORE: Duration = Duration::from_millis(700);

/// How long they go on after it.
const AFTER: Duration = Duration::from_millis(8_500);

/// The part of their limits that replicas have to get under overload, in percent.
const USED_PERCENT: f64 = 80.0;

/// How long a refusal may take that is made at once.
const AT_ONCE: Duration = Duration::from_millis(300);

/// How long news of a replica take around the ring.
const NEWS_LIMIT: Duration = Duration::from_millis(500);

/// Longer than an owner may take to answer, shorter than it may be silent.
const SHORT_STALL: Duration = Duration::from_millis(220);

/// Longer than two owners may take to answer one after the other, shorter than one may be silent.
const LONG_STALL: Duration = Duration::from_millis(260);

/// Tokens of a caller's prompt, and of a long one.
const PROMPT_TOKENS: u32 = 900;
const LONG_PROMPT_TOKENS: u32 = 2_600;

/// Calls that make room in the retry budget.
const PAYING_CALLS: usize = 100;

/// How long a node stands still, again and again, as one beside a busy neighbor does.
const JERK: Duration = Duration::from_millis(20);

/// How long it takes until a replica that named a limit of zero is asked again, and all nodes know what it says.
const ZERO_ENDS_WITHIN: Duration = Duration::from_millis(3_500);

/// Some nodes and the replicas of one service.
struct LimitedFleet {
    store: StandInStore,
    nodes: Vec<GatewayNode>,
    replicas: Vec<StandInReplica>,
}

impl LimitedFleet {
    /// Nodes before plain replicas.
    fn with_desks(node_count: usize, replica_count: usize) -> Self {
        Self::start(node_count, |store| {
            let ids = (1..=replica_count).map(|number| format!("i-{number}"));
            ids.map(|id| StandInReplica::start(store, &id, "desk", None, ReplicaMood::Well))
                .collect()
        })
    }

    /// Nodes before three engines of each kind; those for prompts come first.
    fn with_engines(node_count: usize) -> Self {
        Self::start(node_count, |store| {
            let kinds = ["prefill", "decode"].into_iter();
            let engines = kinds.flat_map(|phase| (1..=3).map(move |number| (phase, number)));
            let start = |(phase, number): (&str, u32)| {
                let id = format!("i-{}{number}", &phase[..1]);
                StandInReplica::start(store, &id, "llm", Some(phase), ReplicaMood::Well)
            };
            engines.map(start).collect()
        })
    }

    fn start(node_count: usize, start_replicas: impl Fn(&StandInStore) -> Vec<StandInReplica>) -> Self {
        let store = StandInStore::start();
        publish_config(&store, 1);
        let replicas = start_replicas(&store);
        let mut fleet = Self {
            store,
            nodes: Vec::new(),
            replicas,
        };
        (0..node_count).for_each(|_| fleet.add_node());
        fleet.nodes.iter().for_each(GatewayNode::wait_ready);
        wait_until("the nodes know each other", || {
            fleet
                .nodes
                .iter()
                .all(|node| node.metric("vms{", "state=\"live\"") >= node_count as f64)
        });
        fleet
    }

    fn add_node(&mut self) {
        let name = format!("vm-{}", self.nodes.len() + 1);
        let seeds: Vec<&GatewayNode> = self.nodes.iter().take(3).collect();
        let node = GatewayNode::start(&self.store, &name, &seeds);
        self.nodes.push(node);
    }

    /// The node that gives permits, as those say that got some.
    fn owner(&self) -> &GatewayNode {
        self.owner_named_as("owner")
    }

    /// The node that grants engines, as those say that got some.
    fn engines_owner(&self) -> &GatewayNode {
        self.owner_named_as("granted_by")
    }

    fn owner_named_as(&self, key: &str) -> &GatewayNode {
        let is_owner = |node: &&GatewayNode| {
            let granted = format!(" {key}={} ", node.name);
            self.nodes.iter().any(|other| other.log().contains(&granted))
        };
        self.nodes
            .iter()
            .find(is_owner)
            .expect("an owner granted something")
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(GatewayNode::callers).collect()
    }

    fn log_paths(&self) -> Vec<std::path::PathBuf> {
        self.nodes.iter().map(GatewayNode::log_path).collect()
    }

    /// What all nodes logged on a caller's request.
    fn story(&self, id: &str) -> String {
        let mark = format!(" request={id} ");
        let logs = self.nodes.iter().map(GatewayNode::log);
        let lines = logs.flat_map(|log| log.lines().map(str::to_owned).collect::<Vec<_>>());
        let mut lines: Vec<String> = lines.filter(|line| line.contains(&mark)).collect();
        lines.sort_unstable();
        lines.join("\n")
    }

    /// The replicas that got the most requests so far.
    fn busiest(&self, count: usize) -> Vec<&StandInReplica> {
        let mut replicas: Vec<&StandInReplica> = self.replicas.iter().collect();
        replicas.sort_by_key(|replica| std::cmp::Reverse(replica.count()));
        replicas.truncate(count);
        replicas
    }

    /// Checks each replica that named a limit against what it got.
    fn assert_kept(&self) {
        let counts = self.replicas.iter().filter_map(|replica| {
            let named_at = replica.named_at()?;
            let limit: f64 = replica.limit_text()?.parse().ok()?;
            let allowed = allowed_in_window(limit);
            let most = most_in_window(&replica.arrived_at(), named_at + KNOWN_AFTER);
            println!("{}: {most} in {WINDOW_S} s, {allowed} allowed", replica.id);
            Some((most, allowed, replica.id.clone()))
        });
        let counts: Vec<(usize, f64, String)> = counts.collect();
        for (most, allowed, id) in &counts {
            assert!(
                *most as f64 <= *allowed,
                "{id} got {most} in {WINDOW_S} s, {allowed} allowed; {:?}",
                self.log_paths()
            );
        }
        assert!(!counts.is_empty(), "limits were named");
    }

    /// Checks that replicas under overload get what they take.
    fn assert_used(&self, replicas: &[StandInReplica], until: Instant) {
        for replica in replicas {
            let limit: f64 = replica
                .limit_text()
                .and_then(|text| text.parse().ok())
                .expect("a limit");
            let from = replica.named_at().expect("it named one") + KNOWN_AFTER;
            let arrived_at = replica.arrived_at();
            let count = arrived_at.iter().filter(|at| (from..until).contains(at)).count() as f64;
            let wanted = limit * (until - from).as_secs_f64() * USED_PERCENT / 100.0;
            println!("{}: {count} of {wanted} wanted", replica.id);
            assert!(
                count >= wanted,
                "{} got {count}, {wanted} wanted; {:?}",
                replica.id,
                self.log_paths()
            );
        }
    }
}

/// The most requests that a replica may get in a window.
pub fn allowed_in_window(limit: f64) -> f64 {
    WINDOW_SLACK.0 * limit * WINDOW_S + WINDOW_SLACK.1
}

/// The most arrivals in a window that begins at a moment or later.
pub fn most_in_window(arrived_at: &[Instant], from: Instant) -> usize {
    let mut late: Vec<Instant> = arrived_at.iter().copied().filter(|at| *at >= from).collect();
    late.sort_unstable();
    let window = Duration::from_secs_f64(WINDOW_S);
    let counts = late
        .iter()
        .enumerate()
        .map(|(first, begin)| late[first..].partition_point(|at| *at < *begin + window));
    counts.max().unwrap_or_default()
}

/// What a caller got.
#[derive(Clone, Debug)]
struct CallerAnswer {
    id: String,
    took: Duration,
    status: u16,
    is_whole: bool,
    retry_after: Option<String>,
}

/// Callers that press on some nodes at a rate, each with a new connection.
struct Press {
    thread: std::thread::JoinHandle<()>,
    answers: Arc<Mutex<Vec<CallerAnswer>>>,
}

impl Press {
    fn start(addresses: Vec<SocketAddr>, path: &'static str, a_second: u32, span: Duration) -> Self {
        Self::start_with(addresses, path, a_second, span, PROMPT_TOKENS)
    }

    /// Callers whose prompts have this many tokens.
    fn start_with(
        addresses: Vec<SocketAddr>,
        path: &'static str,
        a_second: u32,
        span: Duration,
        tokens: u32,
    ) -> Self {
        let answers: Arc<Mutex<Vec<CallerAnswer>>> = Arc::default();
        let kept = answers.clone();
        let thread = std::thread::spawn(move || {
            let began = Instant::now();
            let mut callers = Vec::new();
            for number in 0.. {
                let due = began + Duration::from_secs(1) * number / a_second;
                if due >= began + span {
                    break;
                }
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                let address = addresses[number as usize % addresses.len()];
                let kept = kept.clone();
                callers.push(std::thread::spawn(move || {
                    let answer = call_with(address, path, &format!("q-{number}"), tokens);
                    kept.lock().expect("no holder panics").push(answer);
                }));
            }
            callers
                .into_iter()
                .for_each(|caller| caller.join().expect("a caller"));
        });
        Self { thread, answers }
    }

    fn finish(self) -> Vec<CallerAnswer> {
        self.thread.join().expect("the callers' thread");
        let answers = self.answers.lock().expect("no holder panics");
        answers.clone()
    }
}

fn call(address: SocketAddr, path: &str, id: &str) -> CallerAnswer {
    call_with(address, path, id, PROMPT_TOKENS)
}

fn call_with(address: SocketAddr, path: &str, id: &str, tokens: u32) -> CallerAnswer {
    let lines = &format!("X-Token-Count: {tokens},50\r\n");
    let began = Instant::now();
    let answer = exchange(
        address,
        &request("POST", "shop.example", path, id, lines, &format!("body of {id}")),
    );
    CallerAnswer {
        id: id.to_owned(),
        took: began.elapsed(),
        status: answer.as_ref().map_or(0, |answer| answer.status()),
        is_whole: answer.as_ref().is_some_and(|answer| answer.is_whole),
        retry_after: answer.and_then(|answer| answer.header("Retry-After").map(str::to_owned)),
    }
}

/// Presses on a fleet; some replicas name a limit after a while. Gives the callers' answers and when the press ended.
fn press_with_limits(
    fleet: &LimitedFleet,
    addresses: Vec<SocketAddr>,
    path: &'static str,
    a_second: u32,
    limits: &[(&StandInReplica, &str)],
) -> (Vec<CallerAnswer>, Instant) {
    let until = Instant::now() + BEFORE + AFTER;
    let press = Press::start(addresses, path, a_second, BEFORE + AFTER);
    std::thread::sleep(BEFORE);
    limits
        .iter()
        .for_each(|(replica, text)| replica.set_limit(Some(text)));
    let answers = press.finish();
    fleet.assert_kept();
    (answers, until)
}

fn all_with<'a>(replicas: &'a [StandInReplica], text: &'a str) -> Vec<(&'a StandInReplica, &'a str)> {
    replicas.iter().map(|replica| (replica, text)).collect()
}

/// Checks that what was refused was refused at once, said when to come back, and never ran.
fn assert_refused_well(fleet: &LimitedFleet, answers: &[CallerAnswer]) {
    let refused: Vec<&CallerAnswer> = answers.iter().filter(|answer| answer.status == 503).collect();
    assert!(!refused.is_empty(), "more was asked than the limits allow");
    for answer in refused {
        let story = || format!("{answer:?} {:?}\n{}", fleet.log_paths(), fleet.story(&answer.id));
        assert!(answer.retry_after.is_some(), "{}", story());
        assert!(answer.took <= AT_ONCE, "{}", story());
        let runs: usize = fleet
            .replicas
            .iter()
            .map(|replica| replica.runs(&answer.id))
            .sum();
        assert_eq!(runs, 0, "{}", story());
    }
    let counted: f64 = fleet
        .nodes
        .iter()
        .map(|node| node.metric("limited_refusals", ""))
        .sum();
    assert!(counted > 0.0, "{:?}", fleet.log_paths());
    let served = answers
        .iter()
        .filter(|answer| answer.status == 200 && answer.is_whole);
    assert!(served.count() > 0, "{:?}", fleet.log_paths());
}

/// Checks that callers were all served.
fn assert_served(fleet: &LimitedFleet, answers: &[CallerAnswer]) {
    let failed: Vec<&CallerAnswer> = answers.iter().filter(|answer| answer.status != 200).collect();
    assert!(failed.is_empty(), "{failed:?} {:?}", fleet.log_paths());
}

#[test]
fn limits_of_all_replicas_are_kept_over_all_nodes_and_used() {
    let fleet = LimitedFleet::with_desks(3, 6);
    let limits = all_with(&fleet.replicas, "5");
    let (answers, until) = press_with_limits(&fleet, fleet.addresses(), "/read", 90, &limits);
    assert_refused_well(&fleet, &answers);
    fleet.assert_used(&fleet.replicas, until);
}

#[test]
fn a_limited_replica_is_relieved_by_the_others() {
    let fleet = LimitedFleet::with_desks(3, 6);
    let press = Press::start(fleet.addresses(), "/read", 60, BEFORE + AFTER);
    std::thread::sleep(BEFORE);
    fleet.busiest(1)[0].set_limit(Some("4.6"));
    let answers = press.finish();
    fleet.assert_kept();
    assert_served(&fleet, &answers);
}

#[test]
fn a_small_limit_is_kept_by_many_nodes() {
    let fleet = LimitedFleet::with_desks(9, 6);
    let limits = all_with(&fleet.replicas, "2");
    let (answers, until) = press_with_limits(&fleet, fleet.addresses(), "/read", 60, &limits);
    assert_refused_well(&fleet, &answers);
    fleet.assert_used(&fleet.replicas, until);
}

#[test]
fn one_node_with_all_callers_may_use_the_whole_limit() {
    let fleet = LimitedFleet::with_desks(6, 6);
    let limits = all_with(&fleet.replicas, "5");
    let (answers, until) = press_with_limits(&fleet, fleet.addresses()[..1].to_vec(), "/read", 90, &limits);
    assert_refused_well(&fleet, &answers);
    fleet.assert_used(&fleet.replicas, until);
}

#[test]
fn a_call_that_was_refused_a_permit_is_refused_without_asking_again() {
    let mut fleet = LimitedFleet::with_desks(3, 6);
    let first = fleet.addresses()[..1].to_vec();
    press_and_disturb(&mut fleet, first, 90, |fleet| {
        std::thread::sleep(KNOWN_AFTER);
        let until = Instant::now() + AFTER - 2 * BEFORE - KNOWN_AFTER;
        while Instant::now() < until {
            fleet.nodes[0].signal("STOP");
            std::thread::sleep(JERK);
            fleet.nodes[0].signal("CONT");
        }
    });
    let log = fleet.nodes[0].log();
    let mut asks: HashMap<&str, usize> = HashMap::new();
    for line in log.lines().filter(|line| line.contains("event=permit_refused ")) {
        let id = line
            .split(" request=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next());
        *asks.entry(id.expect("a request")).or_default() += 1;
    }
    assert!(!asks.is_empty(), "more was asked than the limits allow");
    let again: Vec<_> = asks.iter().filter(|(_, count)| **count > 1).collect();
    assert!(
        again.is_empty(),
        "{} of {} asked again: {again:?} {:?}",
        again.len(),
        asks.len(),
        fleet.log_paths()
    );
}

#[test]
fn a_second_copy_of_a_slow_call_does_not_use_up_a_limit() {
    for names_limit in [false, true] {
        let fleet = LimitedFleet::with_desks(1, 2);
        let address = fleet.addresses()[0];
        let [slow, other] = &fleet.replicas[..] else {
            unreachable!("two replicas");
        };
        if names_limit {
            other.set_limit(Some("50"));
        }
        slow.set_mood(ReplicaMood::NotRun);
        wait_until("the other one has answered", || {
            call(address, "/read", "q-0");
            other.count() > 0
        });
        slow.set_mood(ReplicaMood::Well);
        other.set_mood(ReplicaMood::NotRun);
        wait_until("the slow one has answered", || {
            call(address, "/read", "q-0");
            slow.runs("q-0") >= 20
        });
        // The rejected calls went out once more. These pay for it, so that the retry budget has room for the second copy.
        other.set_mood(ReplicaMood::Well);
        (0..PAYING_CALLS).for_each(|_| assert_eq!(call(address, "/read", "q-0").status, 200));
        slow.set_mood(ReplicaMood::Slow);
        other.set_mood(ReplicaMood::Slow);
        let before = other.count();
        wait_until("the slow one runs a call", || {
            call(address, "/read", "q-1").status == 200 && slow.runs("q-1") > 0
        });
        let hedged = fleet.nodes[0].log().matches("event=hedged request=q-1 ").count();
        match names_limit {
            true => assert_eq!(
                (hedged, other.count() - before),
                (0, 0),
                "{:?}",
                fleet.log_paths()
            ),
            false => assert!(hedged > 0 && other.count() > before, "{:?}", fleet.log_paths()),
        }
    }
}

#[test]
fn run_once_calls_keep_to_limits_and_run_once() {
    let fleet = LimitedFleet::with_desks(3, 2);
    let limits = all_with(&fleet.replicas, "3.5");
    let (answers, until) = press_with_limits(&fleet, fleet.addresses(), "/book", 60, &limits);
    assert_refused_well(&fleet, &answers);
    fleet.assert_used(&fleet.replicas, until);
    let is_twice = |answer: &&CallerAnswer| {
        let runs: usize = fleet
            .replicas
            .iter()
            .map(|replica| replica.runs(&answer.id))
            .sum();
        runs > 1
    };
    assert_eq!(
        answers.iter().filter(is_twice).count(),
        0,
        "{:?}",
        fleet.log_paths()
    );
}

#[test]
fn generations_keep_to_the_limits_of_all_engines() {
    let fleet = LimitedFleet::with_engines(3);
    let limits = all_with(&fleet.replicas, "6.3");
    let (answers, until) = press_with_limits(&fleet, fleet.addresses(), "/stream", 60, &limits);
    assert_refused_well(&fleet, &answers);
    fleet.assert_used(&fleet.replicas[3..], until);
}

#[test]
fn a_generation_whose_prompt_was_run_is_served_though_its_decode_engine_begins_to_name_a_limit() {
    let fleet = LimitedFleet::with_engines(3);
    let prefills = fleet.replicas[..3].iter();
    prefills.for_each(|engine| engine.set_mood(ReplicaMood::PacedPrompts(SLOW_TOKEN_US)));
    let limits = all_with(&fleet.replicas[3..], "2.5");
    let (answers, _) = press_with_limits(&fleet, fleet.addresses(), "/stream", 30, &limits);
    assert_refused_well(&fleet, &answers);
}

#[test]
fn generations_that_wait_for_a_turn_are_served_though_prompts_turn_slow() {
    let fleet = LimitedFleet::with_engines(3);
    let set_pace = |token_us| {
        let prefills = fleet.replicas[..3].iter();
        prefills.for_each(|engine| engine.set_mood(ReplicaMood::PacedPrompts(token_us)));
    };
    set_pace(SLOW_TOKEN_US / 5);
    let span = BEFORE + AFTER;
    let press = Press::start_with(fleet.addresses(), "/stream", 40, span, LONG_PROMPT_TOKENS);
    std::thread::sleep(BEFORE);
    fleet.replicas[3..]
        .iter()
        .for_each(|engine| engine.set_limit(Some("2.5")));
    std::thread::sleep(KNOWN_AFTER);
    set_pace(SLOW_TOKEN_US);
    let answers = press.finish();
    fleet.assert_kept();
    assert_refused_well(&fleet, &answers);
}

#[test]
fn no_prompt_is_run_whose_decode_engine_has_no_leave() {
    let fleet = LimitedFleet::with_engines(3);
    let limits = all_with(&fleet.replicas[3..], "2");
    press_with_limits(&fleet, fleet.addresses(), "/stream", 60, &limits);
    let from = fleet.replicas[3].named_at().expect("a limit") + KNOWN_AFTER;
    let count = |replicas: &[StandInReplica]| -> usize {
        let times = replicas.iter().flat_map(StandInReplica::arrived_at);
        times.filter(|at| *at >= from).count()
    };
    let (prompts, runs) = (count(&fleet.replicas[..3]), count(&fleet.replicas[3..]));
    // Some of each are under way as the count begins and as it ends.
    assert!(
        prompts <= runs + 3,
        "{prompts} prompts for {runs} runs; {:?}",
        fleet.log_paths()
    );
}

#[test]
fn rejected_prompts_count_against_the_limit_of_their_engine() {
    let fleet = LimitedFleet::with_engines(3);
    fleet.replicas[..3]
        .iter()
        .for_each(|engine| engine.set_mood(ReplicaMood::NotRun));
    let limits = all_with(&fleet.replicas[..3], "2");
    press_with_limits(&fleet, fleet.addresses(), "/stream", 60, &limits);
}

#[test]
fn rejected_calls_count_against_the_limit_of_their_replica() {
    let fleet = LimitedFleet::with_desks(3, 6);
    fleet
        .replicas
        .iter()
        .for_each(|desk| desk.set_mood(ReplicaMood::NotRun));
    let limits = all_with(&fleet.replicas, "4");
    press_with_limits(&fleet, fleet.addresses(), "/read", 60, &limits);
}

#[test]
fn a_limit_of_zero_stops_all_requests_until_it_ends() {
    let fleet = LimitedFleet::with_desks(3, 3);
    let press = Press::start(fleet.addresses(), "/read", 60, BEFORE + AFTER);
    std::thread::sleep(BEFORE);
    let stopped = fleet.busiest(2);
    stopped.iter().for_each(|replica| replica.set_limit(Some("0")));
    let answers = press.finish();
    fleet.assert_kept();
    assert_served(&fleet, &answers);
    let before = stopped.iter().map(|replica| replica.count());
    let before: usize = before.sum();
    let lifted_at = Instant::now();
    stopped.iter().for_each(|replica| replica.set_limit(None));
    wait_until("all nodes know that both limits have ended", || {
        fleet
            .nodes
            .iter()
            .all(|node| node.log().matches("event=limit_ended").count() == 2)
    });
    let late = lifted_at.elapsed().saturating_sub(ZERO_ENDS_WITHIN);
    assert!(late.is_zero(), "{late:?} {:?}", fleet.log_paths());
    // The third one has enough to do now, so that the others are needed.
    let others = fleet
        .replicas
        .iter()
        .filter(|replica| replica.named_at().is_none());
    others.for_each(|replica| replica.set_limit(Some("5")));
    let answers = Press::start(fleet.addresses(), "/read", 60, Duration::from_secs(6)).finish();
    let after: usize = stopped.iter().map(|replica| replica.count()).sum();
    assert!(after - before > 300, "{} {:?}", after - before, fleet.log_paths());
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(
        served * 10 > answers.len() * 8,
        "{served} {:?}",
        fleet.log_paths()
    );
}

/// Presses on some nodes; all replicas name a limit after a while, and the fleet is disturbed then. Gives when the press ended.
fn press_and_disturb(
    fleet: &mut LimitedFleet,
    addresses: Vec<SocketAddr>,
    a_second: u32,
    disturb: impl FnOnce(&mut LimitedFleet),
) -> Instant {
    press_on_and_disturb(fleet, addresses, "/read", a_second, disturb)
}

fn press_on_and_disturb(
    fleet: &mut LimitedFleet,
    addresses: Vec<SocketAddr>,
    path: &'static str,
    a_second: u32,
    disturb: impl FnOnce(&mut LimitedFleet),
) -> Instant {
    let until = Instant::now() + BEFORE + AFTER;
    let press = Press::start(addresses, path, a_second, BEFORE + AFTER);
    std::thread::sleep(BEFORE);
    let replicas = fleet.replicas.iter();
    replicas.for_each(|replica| replica.set_limit(Some("5")));
    disturb(fleet);
    press.finish();
    fleet.assert_kept();
    until
}

#[test]
fn limits_are_kept_while_a_node_is_killed_and_comes_back() {
    let mut fleet = LimitedFleet::with_desks(3, 6);
    let addresses = fleet.addresses();
    press_and_disturb(&mut fleet, addresses, 90, |fleet| {
        for node in &mut fleet.nodes {
            std::thread::sleep(Duration::from_millis(1_700));
            node.kill();
            node.spawn();
        }
    });
}

#[test]
fn a_leaving_owner_hands_its_limits_over() {
    let mut fleet = LimitedFleet::with_desks(3, 6);
    let addresses = fleet.addresses();
    let until = press_and_disturb(&mut fleet, addresses, 120, |fleet| {
        std::thread::sleep(KNOWN_AFTER);
        fleet.owner().signal("TERM");
    });
    fleet.assert_used(&fleet.replicas, until);
    let logs = fleet.nodes.iter().map(GatewayNode::log).collect::<String>();
    assert!(
        logs.contains("event=limits_handed_over"),
        "{:?}",
        fleet.log_paths()
    );
}

#[test]
fn an_owner_that_stalls_for_a_moment_lets_the_whole_limit_be_used() {
    let mut fleet = LimitedFleet::with_desks(6, 6);
    let first = fleet.addresses()[..1].to_vec();
    let until = press_and_disturb(&mut fleet, first, 90, |fleet| {
        std::thread::sleep(KNOWN_AFTER);
        stall_thrice(fleet.owner());
    });
    fleet.assert_used(&fleet.replicas, until);
}

#[test]
fn an_owner_of_engines_that_stalls_for_a_moment_lets_the_whole_limit_be_used() {
    let mut fleet = LimitedFleet::with_engines(6);
    let first = fleet.addresses()[..1].to_vec();
    let until = press_on_and_disturb(&mut fleet, first, "/stream", 60, |fleet| {
        std::thread::sleep(KNOWN_AFTER);
        stall_thrice(fleet.engines_owner());
    });
    fleet.assert_used(&fleet.replicas[3..], until);
}

/// Lets an owner stand still three times, for a moment each.
fn stall_thrice(owner: &GatewayNode) {
    for _ in 0..3 {
        owner.signal("STOP");
        std::thread::sleep(SHORT_STALL);
        owner.signal("CONT");
        std::thread::sleep(BEFORE);
    }
}

#[test]
fn a_generation_whose_prompt_was_run_is_served_though_no_owner_answers_for_a_moment() {
    let fleet = LimitedFleet::with_engines(3);
    let prefills = fleet.replicas[..3].iter();
    prefills.for_each(|engine| engine.set_mood(ReplicaMood::PacedPrompts(SLOW_TOKEN_US / 2)));
    let served = call(fleet.nodes[0].callers(), "/stream", "q-first");
    assert_eq!(served.status, 200, "{served:?}");
    let owner = fleet.engines_owner().name.clone();
    let mut others = fleet.nodes.iter().filter(|node| node.name != owner);
    let asked = others.next().expect("a node that does not own the engines");
    let press = Press::start(vec![asked.callers()], "/stream", 60, BEFORE + BEFORE);
    std::thread::sleep(BEFORE);
    fleet.replicas[3..]
        .iter()
        .for_each(|engine| engine.set_limit(Some("6.3")));
    wait_until("the asked node knows of the limits", || {
        asked.log().matches("event=limit_named").count() == 3
    });
    let silent: Vec<&GatewayNode> = fleet
        .nodes
        .iter()
        .filter(|node| node.name != asked.name)
        .collect();
    silent.iter().for_each(|node| node.signal("STOP"));
    std::thread::sleep(LONG_STALL);
    silent.iter().for_each(|node| node.signal("CONT"));
    let answers = press.finish();
    let is_begun = |answer: &&CallerAnswer| {
        let story = fleet.story(&answer.id);
        story.contains("event=prefilled") && story.contains("outcome=unpermitted")
    };
    let begun: Vec<&CallerAnswer> = answers.iter().filter(is_begun).collect();
    assert!(!begun.is_empty(), "{:?}", fleet.log_paths());
    let refused = begun.iter().filter(|answer| answer.status != 200);
    let refused: Vec<String> = refused.map(|answer| fleet.story(&answer.id)).collect();
    assert!(
        refused.is_empty(),
        "{} of {}: {}\n{:?}",
        refused.len(),
        begun.len(),
        refused.join("\n\n"),
        fleet.log_paths()
    );
}

#[test]
fn a_generation_that_waits_for_a_turn_keeps_its_place_as_owners_stall() {
    let fleet = LimitedFleet::with_engines(3);
    let press = Press::start(fleet.addresses(), "/stream", 60, BEFORE + AFTER);
    std::thread::sleep(BEFORE);
    let engines = fleet.replicas.iter();
    engines.for_each(|engine| engine.set_limit(Some("6.3")));
    for node in [0, 1, 2, 0, 1, 2, 0, 1, 2] {
        fleet.nodes[node].signal("STOP");
        std::thread::sleep(LONG_STALL);
        fleet.nodes[node].signal("CONT");
        std::thread::sleep(JERK);
    }
    let answers = press.finish();
    fleet.assert_kept();
    let refused = answers.iter().filter(|answer| answer.status == 503);
    // The caller's own node may have stood still, too.
    let late = refused.filter(|answer| answer.took > AT_ONCE + LONG_STALL);
    let late: Vec<String> = late.map(|answer| fleet.story(&answer.id)).collect();
    assert!(
        late.is_empty(),
        "{}: {}\n{:?}",
        late.len(),
        late.join("\n\n"),
        fleet.log_paths()
    );
}

#[test]
fn limits_are_kept_while_nodes_join() {
    let mut fleet = LimitedFleet::with_desks(3, 6);
    let addresses = fleet.addresses();
    press_and_disturb(&mut fleet, addresses, 60, |fleet| {
        std::thread::sleep(KNOWN_AFTER);
        fleet.add_node();
        fleet.add_node();
        fleet.nodes[3..].iter().for_each(GatewayNode::wait_ready);
        let joined = fleet.addresses().split_off(3);
        Press::start(joined, "/read", 60, AFTER - KNOWN_AFTER).finish();
    });
}

#[test]
fn a_frozen_owner_does_not_double_the_limit() {
    let mut fleet = LimitedFleet::with_desks(3, 6);
    let addresses = fleet.addresses();
    press_and_disturb(&mut fleet, addresses, 90, |fleet| {
        for node in &fleet.nodes {
            std::thread::sleep(Duration::from_millis(1_000));
            node.signal("STOP");
            std::thread::sleep(Duration::from_millis(900));
            node.signal("CONT");
        }
    });
}

#[test]
fn figures_that_are_no_numbers_limit_nothing() {
    let fleet = LimitedFleet::with_desks(2, 2);
    for text in ["x5", "-1", "NaN", "inf", "", "5,5", "0\r\nServer-Limit: 0"] {
        fleet
            .replicas
            .iter()
            .for_each(|replica| replica.set_limit(Some(text)));
        let answers = Press::start(fleet.addresses(), "/read", 60, Duration::from_millis(500)).finish();
        assert_served(&fleet, &answers);
    }
}

#[test]
fn another_replica_s_word_limits_nothing() {
    let fleet = LimitedFleet::with_desks(1, 2);
    let [first, second] = &fleet.replicas[..] else {
        unreachable!("two replicas");
    };
    second.set_mood(ReplicaMood::NotRun);
    first.set_mood(ReplicaMood::Misdirected);
    first.set_limit(Some("0"));
    wait_until("it was asked", || {
        call(fleet.addresses()[0], "/read", "q-0");
        first.count() > 0
    });
    // The replica that is meant is another start at that address, which says nothing of the sort.
    first.set_limit(None);
    first.set_mood(ReplicaMood::Well);
    first.publish_start(&fleet.store, "desk", None, 2);
    wait_until("it serves", || {
        call(fleet.addresses()[0], "/read", "q-1").status == 200
    });
}

#[test]
fn a_later_start_of_a_replica_has_no_limit() {
    let fleet = LimitedFleet::with_desks(2, 1);
    let address = fleet.addresses()[0];
    fleet.replicas[0].set_limit(Some("0"));
    wait_until("the limit is known", || {
        call(address, "/read", "q-0").status == 503
    });
    fleet.replicas[0].set_limit(None);
    fleet.replicas[0].publish_start(&fleet.store, "desk", None, 2);
    wait_until("the new start serves", || {
        call(address, "/read", "q-1").status == 200
    });
    let answers = Press::start(fleet.addresses(), "/read", 60, Duration::from_millis(500)).finish();
    assert_served(&fleet, &answers);
}

#[test]
fn all_nodes_hear_of_a_limit_within_a_round_of_the_ring() {
    let fleet = LimitedFleet::with_desks(6, 2);
    let addresses = fleet.addresses();
    wait_until("the replicas serve", || {
        call(addresses[0], "/read", "q-0").status == 200
    });
    fleet
        .replicas
        .iter()
        .for_each(|replica| replica.set_limit(Some("0")));
    wait_until("both have named it", || {
        call(addresses[0], "/read", "q-1");
        fleet.replicas.iter().all(|replica| replica.named_at().is_some())
    });
    std::thread::sleep(NEWS_LIMIT);
    for address in &addresses[1..] {
        let answer = call(*address, "/read", "q-2");
        assert_eq!(answer.status, 503, "{answer:?} {:?}", fleet.log_paths());
    }
}

#[test]
fn answers_that_were_under_way_neither_end_a_limit_nor_name_it_anew() {
    for ends in [false, true] {
        let fleet = LimitedFleet::with_desks(2, 1);
        let [first, second] = fleet.addresses()[..] else {
            unreachable!("two nodes");
        };
        let desk = &fleet.replicas[0];
        if ends {
            desk.set_limit(Some("1000"));
        }
        wait_until("the desk serves", || call(first, "/read", "q-0").status == 200);
        desk.set_mood(ReplicaMood::Slow);
        let under_way = std::thread::spawn(move || call(second, "/book", "q-slow"));
        wait_until("it is under way", || desk.runs("q-slow") > 0);
        desk.set_mood(ReplicaMood::Well);
        desk.set_limit((!ends).then_some("0"));
        // The first one tells of the change, the next ones see it.
        call(first, "/read", "q-1");
        call(first, "/read", "q-2");
        under_way.join().expect("the caller's thread");
        std::thread::sleep(Duration::from_millis(200));
        let before = desk.count();
        let answers: Vec<CallerAnswer> = (3..9)
            .map(|number| call([first, second][number % 2], "/read", &format!("q-{number}")))
            .collect();
        if ends {
            assert_served(&fleet, &answers);
            let logs = fleet.nodes.iter().map(GatewayNode::log).collect::<String>();
            assert_eq!(
                logs.matches("event=limit_named").count(),
                2,
                "{:?}",
                fleet.log_paths()
            );
        } else {
            assert!(desk.count() - before <= 1, "{answers:?} {:?}", fleet.log_paths());
            assert!(
                answers.iter().all(|answer| answer.status == 503),
                "{answers:?} {:?}",
                fleet.log_paths()
            );
        }
    }
}
