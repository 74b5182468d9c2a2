//! Engines that name limits, as their owner grants them: a load of three times what they take, on a clock of its own.

mod engine_fixture;

use std::sync::Arc;

use dotterelspan::blackboard::{RateLimit, RateLimitMap, ReplicaRole, RequestRate};
use dotterelspan::controllers::message::SlotVerdict;
use dotterelspan::controllers::rate_limits::OwnerView;
use dotterelspan::controllers::slots::{
    EngineGroup, EnginePermits, GroupLedger, LedgerGrant, PlacementAsk, PlacementResult, SentEngines,
};
use dotterelspan::prelude::*;

/// Engines of each kind.
const ENGINES: usize = 3;

/// What each limited engine takes, in requests a second.
const LIMIT: f64 = 4.0;

/// How long callers press, in milliseconds.
const SPAN_MS: u64 = 10_000;

/// The time between two callers, in milliseconds: three times what the engines take.
const CALLER_EVERY_MS: u64 = 28;

/// How long a prompt takes, in milliseconds.
const PROMPT_MS: u64 = 100;

/// How long it takes at engines that have turned slow, in milliseconds.
const SLOW_PROMPT_MS: u64 = 400;

/// How long an answer takes after it, in milliseconds.
const ANSWER_MS: u64 = 200;

/// The time from a request to when its first token should be there, in milliseconds.
const OBJECTIVE_MS: u64 = 900;

/// Within what time all who wait as limits fall have their turn or are refused, in milliseconds.
const FALLEN_WITHIN_MS: u64 = 2_000;

/// When the callers begin.
const START: Moment = Moment(60_000);

const ALONE: OwnerView = OwnerView {
    is_owner: true,
    renewal: 0,
    live: 1,
    fleet: 1,
};

/// A board on which the engines of one kind name a limit.
fn board(limited: ReplicaRole) -> Blackboard {
    board_at(limited, LIMIT)
}

/// A board on which the engines of one kind name a limit of some requests a second.
fn board_at(limited: ReplicaRole, per_second: f64) -> Blackboard {
    let mut board = engine_fixture::board(ENGINES, ENGINES, 16, 100_000);
    let of_kind = board
        .replicas
        .values()
        .filter(|facts| facts.record.role == limited);
    let limits: RateLimitMap = of_kind
        .map(|facts| {
            let limit = RateLimit {
                started_epoch_ms: 1,
                rate: RequestRate::from_per_second(per_second).expect("a rate"),
                first_named_at: START,
                seen_by: "vm-1".into(),
            };
            (facts.record.id.clone(), limit)
        })
        .collect();
    board.rate_limits = Arc::new(limits);
    board
}

fn ask(number: u64, now: Moment) -> PlacementAsk {
    PlacementAsk {
        request: format!("r-{number}").into(),
        workspace: "routes".into(),
        model: "m".into(),
        zone: "a".into(),
        priority: 1,
        fingerprint: number,
        prompt_tokens: 800,
        max_tokens: 50,
        expected_tokens: 50,
        first_token_by: now.after_ms(OBJECTIVE_MS),
        give_up_at: now.after_ms(4 * OBJECTIVE_MS),
        prefix: Vec::new(),
        deadline: now.after_ms(14_000),
        may_be_late: false,
        may_skip_prefill: true,
        is_retry: false,
        avoid: Vec::new(),
        barred: Vec::new(),
    }
}

/// What came of the callers.
#[derive(Default)]
struct DayResult {
    /// When each engine was granted.
    grants: FastMap<Arc<str>, Vec<Moment>>,
    refused_at_once: usize,
    refused_later: usize,
    served: usize,
}

/// A load on a ledger; a prompt and its answer take always as long.
fn play(board: &Blackboard) -> DayResult {
    play_with(board, |_| PROMPT_MS)
}

/// A load on a ledger, with the time that a prompt takes which begins at a moment, in milliseconds.
fn play_with(board: &Blackboard, prompt_ms: impl Fn(Moment) -> u64) -> DayResult {
    let mut ledger = GroupLedger::new(&EngineGroup::new(&"m".into(), 0));
    let mut result = DayResult::default();
    let mut prompts: Vec<(Moment, Arc<str>)> = Vec::new();
    let mut answers: Vec<(Moment, Arc<str>)> = Vec::new();
    for now in (0..SPAN_MS).map(|passed_ms| START.after_ms(passed_ms)) {
        ledger.rates.look(ALONE, now);
        let mut granted = Vec::new();
        if now.0 % CALLER_EVERY_MS == 0 {
            let ask = ask(now.0, now);
            match ledger.ask(&ask, None, board, 96, now) {
                SlotVerdict::Granted { decode, prefill, .. } => granted.push((ask.request, decode, prefill)),
                SlotVerdict::Queued => {}
                SlotVerdict::Refused(notice) => {
                    assert_eq!(notice.code, ResultCode::RateLimited, "{notice:?}");
                    assert!(notice.retry_after_ms.is_some_and(|wait_ms| wait_ms > 0));
                    result.refused_at_once += 1;
                }
            }
        }
        for (_, request) in prompts.extract_if(.., |(at, _)| now.reached(*at)) {
            ledger.prefill_done(&request, Default::default(), now);
        }
        for (_, request) in answers.extract_if(.., |(at, _)| now.reached(*at)) {
            let sent = SentEngines::BOTH;
            ledger.release(
                &request,
                PlacementResult {
                    sent,
                    ..Default::default()
                },
                now,
            );
            result.served += 1;
        }
        for grant in ledger.serve_queue(board, 96, now) {
            match grant.verdict {
                SlotVerdict::Granted { decode, prefill, .. } => {
                    granted.push((grant.request, decode, prefill))
                }
                SlotVerdict::Refused(_) => result.refused_later += 1,
                SlotVerdict::Queued => {}
            }
        }
        for (request, decode, prefill) in granted {
            let prefill = prefill.expect("there are prefill engines");
            for engine in [decode, prefill] {
                result.grants.entry(engine).or_default().push(now);
            }
            let prompt_ms = prompt_ms(now);
            prompts.push((now.after_ms(prompt_ms), request.clone()));
            answers.push((now.after_ms(prompt_ms + ANSWER_MS), request));
        }
    }
    result
}

fn assert_kept_and_used(board: &Blackboard, result: &DayResult) {
    let span_s = SPAN_MS as f64 / 1_000.0;
    for (engine, grants) in &result.grants {
        if !board.rate_limits.contains_key(engine) {
            continue;
        }
        let count = grants.len() as f64;
        assert!(count <= LIMIT * span_s + 2.0, "{engine}: {count}");
        assert!(count >= LIMIT * span_s * 0.8, "{engine}: {count}");
    }
    let refused = result.refused_at_once + result.refused_later;
    println!(
        "{} served, {refused} refused, {} of them after a wait",
        result.served, result.refused_later
    );
    assert!(
        result.refused_later * 20 <= refused,
        "{} of {refused} after a wait",
        result.refused_later
    );
}

#[test]
fn decode_engines_get_what_they_take_and_callers_beyond_it_are_refused_at_once() {
    let board = board(ReplicaRole::Decode);
    assert_kept_and_used(&board, &play(&board));
}

#[test]
fn prefill_engines_get_what_they_take_and_callers_beyond_it_are_refused_at_once() {
    let board = board(ReplicaRole::Prefill);
    assert_kept_and_used(&board, &play(&board));
}

#[test]
fn who_waits_for_a_turn_is_not_refused_as_prompts_turn_slow() {
    let board = board(ReplicaRole::Decode);
    let slow_from = START.after_ms(SPAN_MS / 2);
    let result = play_with(&board, |now| match now.reached(slow_from) {
        true => SLOW_PROMPT_MS,
        false => PROMPT_MS,
    });
    assert!(result.refused_at_once > 0, "more was asked than the limits allow");
    assert_eq!(result.refused_later, 0, "of {} refused", result.refused_at_once);
}

#[test]
fn who_waits_in_vain_is_refused_as_soon_as_limits_fall() {
    let (before, after) = (
        board(ReplicaRole::Decode),
        board_at(ReplicaRole::Decode, LIMIT / 8.0),
    );
    let mut ledger = GroupLedger::new(&EngineGroup::new(&"m".into(), 0));
    ledger.rates.look(ALONE, START);
    let now = START.after_ms(250);
    let waiting: Vec<u64> = (0..20)
        .filter(|number| ledger.ask(&ask(*number, now), None, &before, 96, now) == SlotVerdict::Queued)
        .collect();
    assert!(waiting.len() > 4, "{waiting:?}");
    let grants = ledger.serve_queue(&after, 96, now.after_ms(10));
    let refused = grants.iter().filter(|grant| {
        matches!(&grant.verdict, SlotVerdict::Refused(notice) if notice.code == ResultCode::RateLimited)
    });
    // Each engine's next turn was set before its limit fell; the one after it comes in two seconds.
    assert!(refused.count() + ENGINES >= waiting.len(), "{grants:?}");
    let later =
        (11..FALLEN_WITHIN_MS).flat_map(|passed_ms| ledger.serve_queue(&after, 96, now.after_ms(passed_ms)));
    let is_refusal = |grant: &LedgerGrant| matches!(grant.verdict, SlotVerdict::Refused(_));
    let late: Vec<LedgerGrant> = later.filter(is_refusal).collect();
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn a_turn_that_was_not_used_goes_back() {
    let board = board(ReplicaRole::Decode);
    let mut ledger = GroupLedger::new(&EngineGroup::new(&"m".into(), 0));
    let now = START.after_ms(300);
    ledger.rates.look(ALONE, START);
    let all_turns = |ledger: &mut GroupLedger, first: u64| {
        let numbers = first..first + 20;
        let verdicts = numbers.map(|number| ledger.ask(&ask(number, now), None, &board, 96, now));
        let granted = verdicts.filter(|verdict| {
            let permits = EnginePermits {
                decode: true,
                prefill: false,
            };
            matches!(verdict, SlotVerdict::Granted { permits: given, .. } if *given == permits)
        });
        granted.count()
    };
    assert_eq!(all_turns(&mut ledger, 0), ENGINES, "each engine has one turn");
    (0..20).for_each(|number| {
        ledger.release(&format!("r-{number}").into(), PlacementResult::default(), now);
    });
    assert_eq!(all_turns(&mut ledger, 100), ENGINES);
}
