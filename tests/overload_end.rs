//! An owner of engines under a burst beyond their capacity and then a calm load, in simulated time.

mod engine_fixture;

use dotterelspan::blackboard::FeatureSet;
use dotterelspan::controllers::message::SlotVerdict;
use dotterelspan::controllers::slots::{
    EngineGroup, EngineOutcome, GroupLedger, PlacementRequest, PlacementResult, QueueDecision, RequestId,
};
use dotterelspan::prelude::*;

const PREFILL_ENGINES: usize = 3;
const DECODE_ENGINES: usize = 8;

/// Rate of a prefill engine, in tokens per millisecond.
const PREFILL_RATE: u64 = 32;

/// Duration of an answer after its prefill, in milliseconds.
const ANSWER_MS: u64 = 1_500;

/// Callers that come at the same time.
#[derive(Clone, Copy)]
struct CallerGroup {
    callers: u64,
    prompt_tokens: u32,
    /// Time between two groups, in milliseconds.
    every_ms: u64,
}

/// More long prompts than the engines can run in time.
const BURST: CallerGroup = CallerGroup {
    callers: 12,
    prompt_tokens: 10_000,
    every_ms: 700,
};

/// Short prompts, a sixth of what the engines can run. Two callers of a group have to wait, for some ten milliseconds.
const CALM: CallerGroup = CallerGroup {
    callers: 8,
    prompt_tokens: 800,
    every_ms: 400,
};

/// Duration of the burst and of the calm load, in milliseconds.
const BURST_MS: u64 = 2_800;
const CALM_MS: u64 = 6_000;

/// The time after the burst within which what was granted in it is finished, in milliseconds.
const DRAINED_WITHIN_MS: u64 = 1_000;

const GROUP_SIZE: usize = 96;
const START: Moment = Moment(60_000);

fn placement_request(number: u64, prompt_tokens: u32, now: Moment) -> PlacementRequest {
    PlacementRequest {
        request: format!("r-{number}").into(),
        workspace: "routes".into(),
        model: "m".into(),
        zone: "a".into(),
        priority: 1,
        features: FeatureSet::new(number, []),
        prompt_tokens,
        max_tokens: 100,
        expected_tokens: 100,
        first_token_target: now.after_ms(900),
        first_token_deadline: now.after_ms(3_600),
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

/// Prompts and answers that are in progress.
#[derive(Default)]
struct RunningWork {
    /// When the latest prompt of each prefill engine ends.
    busy_until: FastMap<VmName, Moment>,
    prefills: Vec<(Moment, RequestId)>,
    /// Prompt length by request, in tokens.
    prompts: FastMap<RequestId, u32>,
    answers: Vec<(Moment, RequestId)>,
}

impl RunningWork {
    fn begin(&mut self, request: &RequestId, verdict: &SlotVerdict, now: Moment) {
        let SlotVerdict::Granted {
            prefill: Some(engine),
            ..
        } = verdict
        else {
            return;
        };
        let busy_until = self.busy_until.entry(engine.clone()).or_default();
        *busy_until = now
            .max(*busy_until)
            .after_ms(u64::from(self.prompts[request]) / PREFILL_RATE);
        self.prefills.push((*busy_until, request.clone()));
    }

    fn take_due(list: &mut Vec<(Moment, RequestId)>, now: Moment) -> Vec<RequestId> {
        let due = list.extract_if(.., |(at, _)| now.reached(*at));
        due.map(|(_, request)| request).collect()
    }
}

// Guards against prompts of refused requests that stay in the estimate of the wait, so that requests are refused for
// seconds after a burst although engines are free.
#[test]
fn nobody_is_refused_in_the_calm_after_a_burst() {
    let board = engine_fixture::board(PREFILL_ENGINES, DECODE_ENGINES, 16, 100_000);
    let mut ledger = GroupLedger::new(&EngineGroup::new(&"m".into(), 0));
    let mut work = RunningWork::default();
    let (mut number, mut next_at) = (0, START);
    let (mut refused_in_burst, mut refused_in_calm) = (0, 0);
    let calm_from = START.after_ms(BURST_MS);
    let end = calm_from.after_ms(CALM_MS);
    let mut now = START;
    while now < end {
        for request in RunningWork::take_due(&mut work.prefills, now) {
            ledger.prefill_done(&request, EngineOutcome::Fine, now);
            work.answers.push((now.after_ms(ANSWER_MS), request));
        }
        for request in RunningWork::take_due(&mut work.answers, now) {
            let result = PlacementResult {
                token_gap_us: 15_000,
                handover_ms: 20,
                ..PlacementResult::default()
            };
            ledger.release(&request, result, now);
        }
        let decisions = ledger.serve_queue(&board, GROUP_SIZE, now);
        let decisions = decisions.into_iter();
        let mut verdicts: Vec<(RequestId, SlotVerdict)> = decisions
            .map(|QueueDecision { request, verdict, .. }| (request, verdict))
            .collect();
        if now.reached(next_at) {
            let group = if now < calm_from { BURST } else { CALM };
            next_at = next_at.after_ms(group.every_ms);
            for _ in 0..group.callers {
                number += 1;
                let request = placement_request(number, group.prompt_tokens, now);
                work.prompts.insert(request.request.clone(), group.prompt_tokens);
                let verdict = ledger.request_slots(&request, None, &board, GROUP_SIZE, now);
                verdicts.push((request.request, verdict));
            }
        }
        for (request, verdict) in verdicts {
            work.begin(&request, &verdict, now);
            let is_refused = matches!(verdict, SlotVerdict::Refused(_));
            refused_in_burst += usize::from(is_refused && now < calm_from);
            let is_calm = now.reached(calm_from.after_ms(DRAINED_WITHIN_MS));
            refused_in_calm += usize::from(is_refused && is_calm);
        }
        now = now.after_ms(1);
    }
    assert!(refused_in_burst > 0, "the burst fits");
    assert_eq!(refused_in_calm, 0, "of {number} callers in all");
}
