//! Simulation of a load peak against the owner's ledger, without a network: how many requests are served in
//! time, late or not at all, and how long refused callers wait.

mod engine_fixture;

use std::collections::BinaryHeap;
use std::sync::Arc;

use dotterelspan::blackboard::FeatureSet;
use dotterelspan::blackboard::ReplicaId;
use dotterelspan::controllers::message::SlotVerdict;
use dotterelspan::controllers::slots::{
    EngineGroup, EngineOutcome, GroupLedger, PlacementRequest, PlacementResult,
};
use dotterelspan::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Figures of the users' large deployment: an engine's memory in tokens, its slots, the time per generated
/// token in microseconds, and the prompt tokens that a prefill engine runs per millisecond.
const MEMORY_TOKENS: u32 = 29_561;
const SLOTS: u32 = 12;
const TOKEN_US: u64 = 4_000;
const PROMPT_TOKENS_PER_MS: u64 = 33;

/// Factor by which a decode engine is slower at a prompt, which it runs between the tokens of other requests.
const DECODE_PREFILL_FACTOR: u64 = 3;

/// The 90th percentile of prompt sizes, in tokens.
const LARGE_TOKENS: u32 = 4_800;

/// The users' latency objective for the first event, and their callers' timeouts for it and for the complete
/// answer, in milliseconds.
const OBJECTIVE_MS: u64 = 900;
const FIRST_EVENT_TIMEOUT_MS: u64 = 3_600;
const DEADLINE_MS: u64 = 14_000;

/// Time from the end of a prefill to the first event, in milliseconds.
const HANDOVER_MS: u64 = 90;

/// Phases of a run, in milliseconds: normal load, a burst, then normal load until the deadlines of the burst
/// have passed.
const BURST_FROM_MS: u64 = 6_000;
const BURST_TO_MS: u64 = 12_000;
const RUN_MS: u64 = 30_000;

/// Load outside of the burst, in percent of the engines' capacity.
const NORMAL_PERCENT: u64 = 50;

/// A deployment and its load.
#[derive(Clone, Copy, Debug)]
struct PeakPlan {
    decodes: usize,
    prefills: usize,
    /// Number of decode engines that are lost at the start of the burst.
    lost: usize,
    /// Load of the burst, in percent of the capacity of all engines.
    burst_percent: u64,
    /// If not zero, the run begins with the burst: so many requests arrive at once at an owner without
    /// measurements.
    initial_requests: usize,
    seed: u64,
}

/// Outcomes of the requests that arrived during the burst.
#[derive(Clone, Copy, Debug, Default)]
struct PeakResult {
    asked: usize,
    in_time: usize,
    late: usize,
    refused: usize,
    /// Refused without being queued.
    refused_on_arrival: usize,
    /// 99th percentile of the wait before a refusal, in milliseconds.
    refusal_wait_p99_ms: u64,
    /// Longest time for which a request stayed queued after its first token's target before it was refused,
    /// in milliseconds.
    max_late_wait_ms: u64,
    /// Minimum and maximum of Retry-After, in milliseconds.
    retry_range_ms: (u64, u64),
    /// Number of requests with the largest prompts, and of those the number served.
    large: (usize, usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    PromptDone(usize),
    Done(usize),
    Serve,
}

#[derive(Clone, Debug)]
struct Caller {
    ask: PlacementRequest,
    generated_tokens: u64,
    asked_at: Moment,
    decode: Option<Arc<str>>,
}

struct PeakSimulation {
    plan: PeakPlan,
    random: StdRng,
    board: Blackboard,
    ledger: GroupLedger,
    steps: BinaryHeap<std::cmp::Reverse<(u64, Step)>>,
    callers: Vec<Caller>,
    /// When each prefill engine becomes free, in milliseconds.
    prefill_free: FastMap<Arc<str>, u64>,
    result: PeakResult,
    refusal_waits: Vec<u64>,
}

impl PeakSimulation {
    fn new(plan: PeakPlan) -> Self {
        let mut simulation = Self {
            plan,
            random: StdRng::seed_from_u64(plan.seed),
            board: engine_fixture::board(plan.prefills, plan.decodes, SLOTS, MEMORY_TOKENS),
            ledger: GroupLedger::new(&EngineGroup::new(&"m".into(), 0)),
            steps: BinaryHeap::new(),
            callers: Vec::new(),
            prefill_free: FastMap::default(),
            result: PeakResult::default(),
            refusal_waits: Vec::new(),
        };
        simulation.draw_callers();
        simulation
    }

    /// Generations per second that the decode engines can serve, from mean sizes and times.
    fn capacity_per_s(&self) -> f64 {
        let (prompt, generated) = (3_200.0, 860.0);
        let held_at_once = f64::from(MEMORY_TOKENS) / (prompt + generated);
        let span_s = (generated * TOKEN_US as f64 / 1_000_000.0) + HANDOVER_MS as f64 / 1_000.0;
        self.plan.decodes as f64 * held_at_once / span_s
    }

    fn draw_callers(&mut self) {
        let capacity = self.capacity_per_s();
        let mut at_ms = 0.0;
        while at_ms < RUN_MS as f64 {
            if self.plan.initial_requests > 0 && at_ms < BURST_FROM_MS as f64 {
                at_ms = BURST_FROM_MS as f64;
                for _ in 0..self.plan.initial_requests {
                    let caller = self.draw_caller(BURST_FROM_MS);
                    self.push_caller(caller, BURST_FROM_MS);
                }
            }
            let is_burst = (BURST_FROM_MS..BURST_TO_MS).contains(&(at_ms as u64));
            let percent = if is_burst {
                self.plan.burst_percent
            } else {
                NORMAL_PERCENT
            };
            let rate = capacity * percent as f64 / 100.0;
            at_ms += -self.random.random::<f64>().max(1e-9).ln() * 1_000.0 / rate;
            let caller = self.draw_caller(at_ms as u64);
            self.push_caller(caller, at_ms as u64);
        }
        for at_ms in (0..RUN_MS + 20_000).step_by(50) {
            self.steps.push(std::cmp::Reverse((at_ms, Step::Serve)));
        }
    }

    fn draw_caller(&mut self, at_ms: u64) -> Caller {
        let random = &mut self.random;
        let prompt_tokens = random.random_range(1_200..5_200);
        let generated_tokens = random.random_range(200..1_520_u32);
        // Estimates of the length are right at the median and off by up to a half.
        let estimate = f64::from(generated_tokens) * random.random_range(0.5..1.5);
        let asked_at = Moment(at_ms);
        let ask = PlacementRequest {
            request: "".into(),
            workspace: "w".into(),
            model: "m".into(),
            zone: "a".into(),
            priority: 1,
            features: FeatureSet::new(0, []),
            prompt_tokens,
            max_tokens: 2_040,
            expected_tokens: estimate as u32,
            first_token_target: asked_at.after_ms(OBJECTIVE_MS),
            first_token_deadline: asked_at.after_ms(FIRST_EVENT_TIMEOUT_MS),
            prefix: Vec::new(),
            deadline: asked_at.after_ms(DEADLINE_MS),
            may_be_late: false,
            may_skip_prefill: true,
            is_retry: false,
            avoid: Vec::new(),
            excluded: Vec::new(),
            cut_at: None,
        };
        Caller {
            ask,
            generated_tokens: u64::from(generated_tokens),
            asked_at,
            decode: None,
        }
    }

    fn push_caller(&mut self, mut caller: Caller, at_ms: u64) {
        let index = self.callers.len();
        caller.ask.request = format!("r-{index}").into();
        self.callers.push(caller);
        self.steps.push(std::cmp::Reverse((at_ms, Step::Arrive(index))));
    }

    fn simulate(mut self) -> PeakResult {
        let mut has_lost_engines = false;
        while let Some(std::cmp::Reverse((at_ms, step))) = self.steps.pop() {
            let now = Moment(at_ms);
            if at_ms >= BURST_FROM_MS && !has_lost_engines {
                has_lost_engines = true;
                let lost_ids: Vec<ReplicaId> = (0..self.plan.lost)
                    .map(|index| format!("decode-{index}").into())
                    .collect();
                Arc::make_mut(&mut self.board.replicas).retain(|id, _| !lost_ids.contains(id));
            }
            match step {
                Step::Arrive(index) => {
                    let ask = self.callers[index].ask.clone();
                    let verdict = self.ledger.request_slots(&ask, None, &self.board, 96, now);
                    self.record_verdict(index, verdict, now);
                }
                Step::PromptDone(index) => {
                    let request = self.callers[index].ask.request.clone();
                    self.ledger.prefill_done(&request, EngineOutcome::Fine, now);
                    self.serve(now);
                }
                Step::Done(index) => {
                    let result = PlacementResult {
                        token_gap_us: TOKEN_US,
                        handover_ms: HANDOVER_MS,
                        ..PlacementResult::default()
                    };
                    let request = self.callers[index].ask.request.clone();
                    self.ledger.release(&request, result, now);
                    self.serve(now);
                }
                Step::Serve => self.serve(now),
            }
        }
        self.refusal_waits.sort_unstable();
        let rank = (self.refusal_waits.len() * 99).div_ceil(100).saturating_sub(1);
        self.result.refusal_wait_p99_ms = self.refusal_waits.get(rank).copied().unwrap_or(0);
        self.result
    }

    fn serve(&mut self, now: Moment) {
        for decision in self.ledger.serve_queue(&self.board, 96, now) {
            let index = decision.request[2..]
                .parse()
                .expect("a request is named by its number");
            self.record_verdict(index, decision.verdict, now);
        }
    }

    fn record_verdict(&mut self, index: usize, verdict: SlotVerdict, now: Moment) {
        let caller = self.callers[index].clone();
        let is_burst = (BURST_FROM_MS..BURST_TO_MS).contains(&caller.asked_at.0);
        match verdict {
            SlotVerdict::Queued => return,
            SlotVerdict::Granted { decode, prefill, .. } => {
                let prompt_ms = u64::from(caller.ask.prompt_tokens) / PROMPT_TOKENS_PER_MS;
                let begins_ms = match &prefill {
                    Some(prefill) => {
                        let free = self.prefill_free.entry(prefill.clone()).or_default();
                        *free = (*free).max(now.0) + prompt_ms;
                        *free
                    }
                    None => now.0 + DECODE_PREFILL_FACTOR * prompt_ms,
                };
                self.callers[index].decode = Some(decode);
                self.steps
                    .push(std::cmp::Reverse((begins_ms, Step::PromptDone(index))));
                let first_ms = begins_ms + HANDOVER_MS;
                let done_ms = first_ms + caller.generated_tokens * TOKEN_US / 1_000;
                self.steps.push(std::cmp::Reverse((done_ms, Step::Done(index))));
                if is_burst {
                    self.result.large.1 += usize::from(caller.ask.prompt_tokens >= LARGE_TOKENS);
                    let is_in_time = first_ms <= caller.ask.first_token_target.0;
                    self.result.in_time += usize::from(is_in_time);
                    self.result.late += usize::from(!is_in_time);
                }
            }
            SlotVerdict::Refused(notice) => {
                let retry_ms = notice.retry_after_ms.expect("a refusal carries a retry time");
                if is_burst {
                    self.result.refused += 1;
                    self.result.refused_on_arrival += usize::from(now == caller.asked_at);
                    self.refusal_waits.push(caller.asked_at.until_ms(now));
                    let late_wait_ms = caller.ask.first_token_target.until_ms(now);
                    self.result.max_late_wait_ms = self.result.max_late_wait_ms.max(late_wait_ms);
                    let (least, most) = self.result.retry_range_ms;
                    let least = if self.result.refused == 1 {
                        retry_ms
                    } else {
                        least.min(retry_ms)
                    };
                    self.result.retry_range_ms = (least, most.max(retry_ms));
                }
            }
        }
        self.result.asked += usize::from(is_burst);
        self.result.large.0 += usize::from(is_burst && caller.ask.prompt_tokens >= LARGE_TOKENS);
    }
}

fn simulate(plan: PeakPlan) -> PeakResult {
    let result = PeakSimulation::new(plan).simulate();
    println!("{plan:?}: {result:?}");
    result
}

const PLAN: PeakPlan = PeakPlan {
    decodes: 30,
    prefills: 11,
    lost: 0,
    burst_percent: 100,
    initial_requests: 0,
    seed: 1,
};

/// Guards against congestion collapse: beyond the engines' capacity the excess is refused, and as many
/// requests are in time as at full load.
#[test]
fn requests_served_in_time_do_not_drop_as_a_burst_grows() {
    for seed in 1..=3 {
        for lost in [0, 10] {
            let at_capacity = simulate(PeakPlan { seed, lost, ..PLAN });
            for burst_percent in [200, 400, 800] {
                let over_capacity = simulate(PeakPlan {
                    seed,
                    lost,
                    burst_percent,
                    ..PLAN
                });
                assert!(
                    over_capacity.in_time * 10 >= at_capacity.in_time * 9,
                    "{burst_percent} %, {lost} lost: {} in time, {} at full load",
                    over_capacity.in_time,
                    at_capacity.in_time
                );
            }
        }
    }
}

/// Requests that can't be served are refused within an eighth of the objective after that is certain, and
/// most on arrival.
#[test]
fn requests_that_can_not_be_served_are_refused_at_once() {
    for burst_percent in [200, 400, 800] {
        for lost in [0, 10] {
            let result = simulate(PeakPlan {
                burst_percent,
                lost,
                ..PLAN
            });
            assert!(result.refused > 0, "the load exceeds the capacity of the engines");
            assert!(result.max_late_wait_ms <= OBJECTIVE_MS / 8, "{result:?}");
            assert!(result.refused_on_arrival * 2 > result.refused, "{result:?}");
        }
    }
}

/// Retry-After has jitter, so that refused callers don't retry at the same time, and ends within the callers'
/// patience.
#[test]
fn refused_callers_do_not_retry_together() {
    let result = simulate(PeakPlan {
        burst_percent: 400,
        ..PLAN
    });
    let (least, most) = result.retry_range_ms;
    assert!(most <= DEADLINE_MS / 3, "{result:?}");
    assert!(most >= least + 1_500, "{result:?}");
}

/// Without overload a request that finds no free slot is queued, even if it will be late.
#[test]
fn without_overload_a_request_waits_for_a_slot() {
    let result = simulate(PeakPlan {
        burst_percent: 60,
        ..PLAN
    });
    assert_eq!(result.refused, 0, "{result:?}");
}

/// If too few prefill engines are left, their capacity is not spent on prompts that will be late.
#[test]
fn prompts_that_would_be_late_do_not_use_up_the_prefill_engines() {
    for seed in 1..=2 {
        let plan = PeakPlan {
            prefills: 3,
            seed,
            ..PLAN
        };
        let result = simulate(plan);
        assert!(result.late * 20 <= result.in_time, "{result:?}");
    }
}

/// An owner without measurements that gets many requests at once uses all idle engines, and refuses no
/// request of the first second on assumed rates.
#[test]
fn an_owner_that_has_just_started_uses_all_engines() {
    let result = simulate(PeakPlan {
        initial_requests: 60,
        burst_percent: 50,
        ..PLAN
    });
    assert!(result.in_time * 20 >= result.asked * 19, "{result:?}");
}
