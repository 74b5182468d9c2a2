//! An owner grants engines that report rate limits under three times the load that these allow, in simulated
//! time.

mod engine_fixture;

use std::sync::Arc;

use dotterelspan::blackboard::FeatureSet;
use dotterelspan::blackboard::{RateLimit, RateLimitMap, ReplicaRole, RequestRate};
use dotterelspan::controllers::message::SlotVerdict;
use dotterelspan::controllers::rate_limits::OwnerView;
use dotterelspan::controllers::slots::{
    EngineGroup, EnginePermits, GroupLedger, PlacementRequest, PlacementResult, QueueDecision, SentEngines,
};
use dotterelspan::prelude::*;

/// Number of engines of each role.
const ENGINES: usize = 3;

/// Limit of each rate-limited engine, in requests per second.
const LIMIT: f64 = 4.0;

/// Duration of the load, in milliseconds.
const LOAD_MS: u64 = 10_000;

/// Time between two callers, in milliseconds: three times the load that the limits allow.
const CALLER_EVERY_MS: u64 = 28;

/// Duration of a prefill, in milliseconds.
const PREFILL_MS: u64 = 100;

/// Duration of a prefill once the engines have become slow, in milliseconds.
const SLOW_PREFILL_MS: u64 = 400;

/// Duration of an answer after its prefill, in milliseconds.
const ANSWER_MS: u64 = 200;

/// Latency objective of the first token, in milliseconds.
const OBJECTIVE_MS: u64 = 900;

/// Time after a drop of the limits in which no queued request may be refused late, in milliseconds.
const SETTLED_WITHIN_MS: u64 = 2_000;

/// When the load starts.
const START: Moment = Moment(60_000);

const SOLE_OWNER: OwnerView = OwnerView {
    is_owner: true,
    renewal: 0,
    live_count: 1,
    member_count: 1,
};

/// A board on which the engines of one role report a limit of [`LIMIT`].
fn board(limited: ReplicaRole) -> Blackboard {
    board_at(limited, LIMIT)
}

/// A board on which the engines of one role report a limit in requests per second.
fn board_at(limited: ReplicaRole, per_second: f64) -> Blackboard {
    let mut board = engine_fixture::board(ENGINES, ENGINES, 16, 100_000);
    let with_role = board
        .replicas
        .values()
        .filter(|facts| facts.record.role == limited);
    let limits: RateLimitMap = with_role
        .map(|facts| {
            let limit = RateLimit {
                started_epoch_ms: 1,
                rate: RequestRate::from_per_second(per_second).expect("a valid rate"),
                first_reported_at: START,
                seen_by: "vm-1".into(),
            };
            (facts.record.id.clone(), limit)
        })
        .collect();
    board.rate_limits = Arc::new(limits);
    board
}

fn ask(number: u64, now: Moment) -> PlacementRequest {
    PlacementRequest {
        request: format!("r-{number}").into(),
        workspace: "routes".into(),
        model: "m".into(),
        zone: "a".into(),
        priority: 1,
        features: FeatureSet::new(number, []),
        prompt_tokens: 800,
        max_tokens: 50,
        expected_tokens: 50,
        first_token_target: now.after_ms(OBJECTIVE_MS),
        first_token_deadline: now.after_ms(4 * OBJECTIVE_MS),
        prefix: Vec::new(),
        deadline: now.after_ms(14_000),
        may_be_late: false,
        may_skip_prefill: true,
        is_retry: false,
        avoid: Vec::new(),
        excluded: Vec::new(),
        cut_at: None,
    }
}

/// Outcomes of the callers' requests.
#[derive(Default)]
struct LoadResult {
    /// Times at which each engine was granted.
    grants: FastMap<Arc<str>, Vec<Moment>>,
    refused_at_once: usize,
    refused_later: usize,
    served: usize,
}

/// Runs the load on a ledger; every prefill takes [`PREFILL_MS`].
fn simulate(board: &Blackboard) -> LoadResult {
    simulate_with(board, |_| PREFILL_MS)
}

/// Runs the load on a ledger; `prefill_ms` gives the duration of a prefill by its start.
fn simulate_with(board: &Blackboard, prefill_ms: impl Fn(Moment) -> u64) -> LoadResult {
    let mut ledger = GroupLedger::new(&EngineGroup::new(&"m".into(), 0));
    let mut result = LoadResult::default();
    let mut prefills: Vec<(Moment, Arc<str>)> = Vec::new();
    let mut answers: Vec<(Moment, Arc<str>)> = Vec::new();
    for now in (0..LOAD_MS).map(|passed_ms| START.after_ms(passed_ms)) {
        ledger.permit_issuer.update_view(SOLE_OWNER, now);
        let mut granted = Vec::new();
        if now.0 % CALLER_EVERY_MS == 0 {
            let ask = ask(now.0, now);
            match ledger.request_slots(&ask, None, board, 96, now) {
                SlotVerdict::Granted { decode, prefill, .. } => granted.push((ask.request, decode, prefill)),
                SlotVerdict::Queued => {}
                SlotVerdict::Refused(notice) => {
                    assert_eq!(notice.code, ResultCode::RateLimited, "{notice:?}");
                    assert!(notice.retry_after_ms.is_some_and(|wait_ms| wait_ms > 0));
                    result.refused_at_once += 1;
                }
            }
        }
        for (_, request) in prefills.extract_if(.., |(at, _)| now.reached(*at)) {
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
        for decision in ledger.serve_queue(board, 96, now) {
            match decision.verdict {
                SlotVerdict::Granted { decode, prefill, .. } => {
                    granted.push((decision.request, decode, prefill))
                }
                SlotVerdict::Refused(_) => result.refused_later += 1,
                SlotVerdict::Queued => {}
            }
        }
        for (request, decode, prefill) in granted {
            let prefill = prefill.expect("a prefill engine is granted");
            for engine in [decode, prefill] {
                result.grants.entry(engine).or_default().push(now);
            }
            let prefill_ms = prefill_ms(now);
            prefills.push((now.after_ms(prefill_ms), request.clone()));
            answers.push((now.after_ms(prefill_ms + ANSWER_MS), request));
        }
    }
    result
}

fn assert_limits_kept_and_used(board: &Blackboard, result: &LoadResult) {
    let span_s = LOAD_MS as f64 / 1_000.0;
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
fn decode_engines_get_their_limit_and_excess_callers_are_refused_at_once() {
    let board = board(ReplicaRole::Decode);
    assert_limits_kept_and_used(&board, &simulate(&board));
}

#[test]
fn prefill_engines_get_their_limit_and_excess_callers_are_refused_at_once() {
    let board = board(ReplicaRole::Prefill);
    assert_limits_kept_and_used(&board, &simulate(&board));
}

#[test]
fn queued_requests_are_not_refused_when_prefills_become_slow() {
    let board = board(ReplicaRole::Decode);
    let slow_from = START.after_ms(LOAD_MS / 2);
    let result = simulate_with(&board, |now| match now.reached(slow_from) {
        true => SLOW_PREFILL_MS,
        false => PREFILL_MS,
    });
    assert!(result.refused_at_once > 0, "the load exceeds the limits");
    assert_eq!(result.refused_later, 0, "of {} refused", result.refused_at_once);
}

#[test]
fn queued_requests_beyond_the_limits_are_refused_as_soon_as_limits_fall() {
    let (before, after) = (
        board(ReplicaRole::Decode),
        board_at(ReplicaRole::Decode, LIMIT / 8.0),
    );
    let mut ledger = GroupLedger::new(&EngineGroup::new(&"m".into(), 0));
    ledger.permit_issuer.update_view(SOLE_OWNER, START);
    let now = START.after_ms(250);
    let waiting: Vec<u64> = (0..20)
        .filter(|number| {
            ledger.request_slots(&ask(*number, now), None, &before, 96, now) == SlotVerdict::Queued
        })
        .collect();
    assert!(waiting.len() > 4, "{waiting:?}");
    let decisions = ledger.serve_queue(&after, 96, now.after_ms(10));
    let refused = decisions.iter().filter(|decision| {
        matches!(&decision.verdict, SlotVerdict::Refused(notice) if notice.code == ResultCode::RateLimited)
    });
    // Each engine's next permit was scheduled before its limit fell; the one after it comes in two seconds.
    assert!(refused.count() + ENGINES >= waiting.len(), "{decisions:?}");
    let later =
        (11..SETTLED_WITHIN_MS).flat_map(|passed_ms| ledger.serve_queue(&after, 96, now.after_ms(passed_ms)));
    let is_refusal = |decision: &QueueDecision| matches!(decision.verdict, SlotVerdict::Refused(_));
    let late: Vec<QueueDecision> = later.filter(is_refusal).collect();
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn an_unused_permit_is_returned() {
    let board = board(ReplicaRole::Decode);
    let mut ledger = GroupLedger::new(&EngineGroup::new(&"m".into(), 0));
    let now = START.after_ms(300);
    ledger.permit_issuer.update_view(SOLE_OWNER, START);
    let take_all_permits = |ledger: &mut GroupLedger, first: u64| {
        let numbers = first..first + 20;
        let verdicts = numbers.map(|number| ledger.request_slots(&ask(number, now), None, &board, 96, now));
        let granted = verdicts.filter(|verdict| {
            let permits = EnginePermits {
                decode: true,
                prefill: false,
            };
            matches!(verdict, SlotVerdict::Granted { permits: given, .. } if *given == permits)
        });
        granted.count()
    };
    assert_eq!(
        take_all_permits(&mut ledger, 0),
        ENGINES,
        "each engine has one permit"
    );
    (0..20).for_each(|number| {
        ledger.release(&format!("r-{number}").into(), PlacementResult::default(), now);
    });
    assert_eq!(take_all_permits(&mut ledger, 100), ENGINES);
}
