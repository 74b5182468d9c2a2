//! Engines that report a rate limit, which applies to the requests of all nodes together.

use crate::limited_fleet::*;
use crate::node::{GatewayNode, publish_moving_config, wait_until};
use crate::replica::{ReplicaBehavior, SLOW_TOKEN_US, StandInReplica};

#[test]
fn generations_keep_to_the_limits_of_all_engines() {
    let fleet = LimitedFleet::with_engines(3);
    let limits = with_limit(&fleet.replicas, "6.3");
    let (answers, until) = load_with_limits(&fleet, fleet.addresses(), "/stream", 60, &limits);
    assert_refused_at_once(&fleet, &answers);
    fleet.assert_limits_used(&fleet.replicas[3..], until);
}

#[test]
fn a_generation_whose_prompt_was_run_is_served_though_its_decode_engine_begins_to_name_a_limit() {
    let fleet = LimitedFleet::with_engines(3);
    let prefills = fleet.replicas[..3].iter();
    prefills.for_each(|engine| engine.set_behavior(ReplicaBehavior::PacedPrompts(SLOW_TOKEN_US)));
    let limits = with_limit(&fleet.replicas[3..], "2.5");
    let (answers, _) = load_with_limits(&fleet, fleet.addresses(), "/stream", 30, &limits);
    assert_refused_at_once(&fleet, &answers);
}

#[test]
fn generations_that_wait_for_a_permit_are_served_though_prompts_become_slow() {
    let fleet = LimitedFleet::with_engines(3);
    let set_pace = |token_us| {
        let prefills = fleet.replicas[..3].iter();
        prefills.for_each(|engine| engine.set_behavior(ReplicaBehavior::PacedPrompts(token_us)));
    };
    set_pace(SLOW_TOKEN_US / 5);
    let span = BEFORE + AFTER;
    let load = LoadGenerator::start_with(fleet.addresses(), "/stream", 40, span, LONG_PROMPT_TOKENS);
    std::thread::sleep(BEFORE);
    fleet.replicas[3..]
        .iter()
        .for_each(|engine| engine.set_limit(Some("2.5")));
    std::thread::sleep(KNOWN_AFTER);
    set_pace(SLOW_TOKEN_US);
    let answers = load.finish();
    fleet.assert_limits_kept();
    assert_refused_at_once(&fleet, &answers);
}

#[test]
fn no_prompt_is_run_without_a_permit_for_its_decode_engine() {
    let fleet = LimitedFleet::with_engines(3);
    let limits = with_limit(&fleet.replicas[3..], "2");
    load_with_limits(&fleet, fleet.addresses(), "/stream", 60, &limits);
    let from = fleet.replicas[3].named_at().expect("a limit") + KNOWN_AFTER;
    let count = |replicas: &[StandInReplica]| -> usize {
        let times = replicas.iter().flat_map(StandInReplica::arrived_at);
        times.filter(|at| *at >= from).count()
    };
    let (prompts, runs) = (count(&fleet.replicas[..3]), count(&fleet.replicas[3..]));
    // Some of both are in flight when the count starts and when it ends.
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
        .for_each(|engine| engine.set_behavior(ReplicaBehavior::NotRun));
    let limits = with_limit(&fleet.replicas[..3], "2");
    load_with_limits(&fleet, fleet.addresses(), "/stream", 60, &limits);
}

#[test]
fn an_owner_of_engines_that_stalls_for_a_moment_lets_the_whole_limit_be_used() {
    let mut fleet = LimitedFleet::with_engines(6);
    let first = fleet.addresses()[..1].to_vec();
    let until = load_path_and_disturb(&mut fleet, first, "/stream", 60, |fleet| {
        std::thread::sleep(KNOWN_AFTER);
        stall_three_times(fleet.engines_owner());
    });
    fleet.assert_limits_used(&fleet.replicas[3..], until);
}

#[test]
fn a_generation_whose_prompt_was_run_is_served_though_no_owner_answers_for_a_moment() {
    let fleet = LimitedFleet::with_engines(3);
    let prefills = fleet.replicas[..3].iter();
    prefills.for_each(|engine| engine.set_behavior(ReplicaBehavior::PacedPrompts(SLOW_TOKEN_US / 2)));
    let served = call(fleet.nodes[0].callers(), "/stream", "q-first");
    assert_eq!(served.status, 200, "{served:?}");
    let owner = fleet.engines_owner().name.clone();
    let mut others = fleet.nodes.iter().filter(|node| node.name != owner);
    let asked = others.next().expect("a node that does not own the engines");
    let load = LoadGenerator::start(vec![asked.callers()], "/stream", 60, BEFORE + BEFORE);
    std::thread::sleep(BEFORE);
    fleet.replicas[3..]
        .iter()
        .for_each(|engine| engine.set_limit(Some("6.3")));
    wait_until("the called node knows the limits", || {
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
    let answers = load.finish();
    let is_begun = |answer: &&CallerAnswer| {
        let story = fleet.timeline(&answer.id);
        story.contains("event=prefilled") && story.contains("outcome=unpermitted")
    };
    let begun: Vec<&CallerAnswer> = answers.iter().filter(is_begun).collect();
    assert!(!begun.is_empty(), "{:?}", fleet.log_paths());
    let refused = begun.iter().filter(|answer| answer.status != 200);
    let refused: Vec<String> = refused.map(|answer| fleet.timeline(&answer.id)).collect();
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
fn a_generation_that_waits_for_a_permit_keeps_its_place_in_the_queue_while_owners_stall() {
    let fleet = LimitedFleet::with_engines(3);
    let load = LoadGenerator::start(fleet.addresses(), "/stream", 60, BEFORE + AFTER);
    std::thread::sleep(BEFORE);
    let engines = fleet.replicas.iter();
    engines.for_each(|engine| engine.set_limit(Some("6.3")));
    for node in [0, 1, 2, 0, 1, 2, 0, 1, 2] {
        fleet.nodes[node].signal("STOP");
        std::thread::sleep(LONG_STALL);
        fleet.nodes[node].signal("CONT");
        std::thread::sleep(BRIEF_STOP);
    }
    let answers = load.finish();
    fleet.assert_limits_kept();
    let refused = answers.iter().filter(|answer| answer.status == 503);
    // The caller's own node may have been stopped, too.
    let late = refused.filter(|answer| answer.took > AT_ONCE + LONG_STALL);
    let late: Vec<String> = late.map(|answer| fleet.timeline(&answer.id)).collect();
    assert!(
        late.is_empty(),
        "{}: {}\n{:?}",
        late.len(),
        late.join("\n\n"),
        fleet.log_paths()
    );
}

#[test]
fn streams_resumed_at_another_engine_keep_to_its_limit() {
    let fleet = LimitedFleet::with_engines(3);
    fleet.replicas[3].set_behavior(ReplicaBehavior::BreaksStream);
    let limits = with_limit(&fleet.replicas[4..], "4");
    load_with_limits(&fleet, fleet.addresses(), "/stream/resume", 40, &limits);
    let logs = fleet.nodes.iter().map(GatewayNode::log).collect::<String>();
    let to_limited = |line: &&str| line.contains("event=resumed ") && !line.contains("replica=i-d1 ");
    assert!(
        logs.lines().filter(to_limited).count() > 0,
        "{:?}",
        fleet.log_paths()
    );
}

#[test]
fn prompts_are_not_freed_at_engines_that_name_limits() {
    let fleet = LimitedFleet::with_engines(3);
    let (prefills, decodes) = fleet.replicas.split_at(3);
    decodes
        .iter()
        .for_each(|engine| engine.set_behavior(ReplicaBehavior::NotRun));
    let count_freed = || -> usize {
        let counts = prefills.iter().map(|engine| engine.count_starting_with("DELETE"));
        counts.sum()
    };
    wait_until("a prompt is freed", || {
        call(fleet.nodes[0].callers(), "/stream", "q-first");
        count_freed() > 0
    });
    let load = LoadGenerator::start(fleet.addresses(), "/stream", 20, BEFORE + AFTER);
    prefills.iter().for_each(|engine| engine.set_limit(Some("4")));
    std::thread::sleep(KNOWN_AFTER);
    let before = count_freed();
    load.finish();
    fleet.assert_limits_kept();
    assert_eq!(count_freed(), before, "{:?}", fleet.log_paths());
}

#[test]
fn engines_that_name_limits_are_not_moved_between_the_pools() {
    let mut fleet = LimitedFleet::with_pools(1, 6, 6);
    fleet.nodes[0].respawn_as_first_seed();
    fleet.add_node();
    fleet.nodes[1].wait_ready();
    let prefills = &fleet.replicas[..6];
    let count_orders = || -> usize {
        let counts = fleet
            .replicas
            .iter()
            .map(|engine| engine.count_starting_with("POST /order"));
        counts.sum()
    };
    prefills.iter().for_each(|engine| engine.set_limit(Some("5")));
    LoadGenerator::start(fleet.addresses(), "/stream", 60, BEFORE).finish();
    for node in &fleet.nodes {
        wait_until("the node knows all limits", || {
            node.log().matches("event=limit_named").count() == prefills.len()
        });
    }
    publish_moving_config(&fleet.store, 2);
    std::thread::sleep(KNOWN_AFTER);
    assert_eq!(count_orders(), 0, "{:?}", fleet.log_paths());
    prefills.iter().for_each(|engine| engine.set_limit(None));
    wait_until("an engine without a limit is moved", || {
        call(fleet.nodes[0].callers(), "/stream", "q-next");
        count_orders() > 0
    });
}
