//! Drawn days: requests with parts, replicas that crash under some of them, by themselves, or with their rack.

use dotterelspan::blackboard::{FeatureSet, RequestFeature};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::rules::{BlameRule, RunVerdict};

const REPLICAS: usize = 12;

/// Length of a day, in milliseconds.
const DAY_MS: u64 = 30_000;

/// Time from the start of a run to the point at which a harmful one crashes its replica, in milliseconds.
const CRASH_MS: u64 = 90;

/// Time from the start of a run to the point at which it has begun to answer, in milliseconds.
const BEGIN_MS: u64 = 240;

/// Time until a crashed replica is back, in milliseconds.
const RESTART_MS: u64 = 3_000;

/// Time until all nodes know of a crash or a pass, in milliseconds.
const GOSSIP_MS: u64 = 120;

/// How long a refused caller of a trial run waits for its turn, in milliseconds.
const TRIAL_WAIT_MS: u64 = 800;

/// Number of parts of which each request has one, besides the part that all share.
const TENANT_PARTS: u64 = 40;

/// What happens on a day; rates are per thousand requests, times in milliseconds.
pub struct DrawnDay {
    seed: u64,
    requests_per_s: u64,
    harmful_permille: u32,
    harmful_parts: u64,
    own_crash_interval_ms: Option<u64>,
    rack_loss_interval_ms: Option<u64>,
}

/// The counts at the end of a day.
#[derive(Clone, Copy, Debug, Default)]
pub struct DayOutcome {
    pub harmful_crashes: usize,
    pub harmless_refused: usize,
}

/// A run on a replica.
struct ActiveRun {
    features: FeatureSet,
    replica: usize,
    began_at: u64,
    is_harmful: bool,
    has_begun: bool,
    run: u64,
}

impl DrawnDay {
    fn calm(seed: u64) -> Self {
        Self {
            seed,
            requests_per_s: 30,
            harmful_permille: 0,
            harmful_parts: 1,
            own_crash_interval_ms: None,
            rack_loss_interval_ms: None,
        }
    }

    pub fn one_in_ten(seed: u64) -> Self {
        Self {
            harmful_permille: 100,
            ..Self::calm(seed)
        }
    }

    pub fn three_in_ten(seed: u64) -> Self {
        Self {
            harmful_permille: 300,
            ..Self::calm(seed)
        }
    }

    pub fn two_parts(seed: u64) -> Self {
        Self {
            harmful_permille: 100,
            harmful_parts: 2,
            ..Self::calm(seed)
        }
    }

    pub fn own_crashes(seed: u64) -> Self {
        Self {
            own_crash_interval_ms: Some(1_600),
            ..Self::calm(seed)
        }
    }

    pub fn rack_losses(seed: u64) -> Self {
        Self {
            rack_loss_interval_ms: Some(5_000),
            ..Self::calm(seed)
        }
    }

    /// Draws the features of a request: a part that all have, one of a tenant, and a harmful one for some.
    fn draw_request(&self, number: u64, random: &mut StdRng) -> (FeatureSet, bool) {
        let part = |name: String| RequestFeature::part("m", name.as_bytes());
        let is_harmful = random.random_range(0..1_000) < self.harmful_permille;
        let tenant = part(format!("tenant-{}", random.random_range(0..TENANT_PARTS)));
        let mut parts = vec![part("system".to_owned()), tenant];
        if is_harmful {
            let harmful = random.random_range(0..self.harmful_parts);
            parts.push(part(format!("harmful-{harmful}")));
        }
        (FeatureSet::new(number, parts), is_harmful)
    }

    /// Plays the day under a rule.
    pub fn play(&self, rule: &mut dyn BlameRule) -> DayOutcome {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut outcome = DayOutcome::default();
        let mut up_at = [0_u64; REPLICAS];
        let mut runs: Vec<ActiveRun> = Vec::new();
        // Requests that wait for a trial run, with the time at which they are refused.
        let mut waiting: Vec<(FeatureSet, bool, u64)> = Vec::new();
        // What the rule learns, and when.
        let mut news: Vec<(u64, RuleNews)> = Vec::new();
        let mut number = 0;
        for now in 0..DAY_MS {
            let (due, later) = news.into_iter().partition(|(at, _)| *at <= now);
            news = later;
            for (_, item) in due {
                item.tell(rule, now);
            }
            let mut crashed: Vec<(usize, bool)> = Vec::new();
            for run in &mut runs {
                let age_ms = now - run.began_at;
                if run.is_harmful && age_ms == CRASH_MS {
                    crashed.push((run.replica, true));
                }
                if age_ms == BEGIN_MS {
                    run.has_begun = true;
                    news.push((now + GOSSIP_MS, RuleNews::Passed(run.features.clone(), run.run)));
                }
            }
            if self
                .own_crash_interval_ms
                .is_some_and(|interval| now % interval == interval - 1)
            {
                crashed.push((random.random_range(0..REPLICAS), false));
            }
            if self
                .rack_loss_interval_ms
                .is_some_and(|interval| now % interval == interval - 1)
            {
                crashed.extend((0..3).map(|replica| (replica, false)));
            }
            for (replica, by_request) in crashed {
                if up_at[replica] > now {
                    continue;
                }
                up_at[replica] = now + RESTART_MS;
                outcome.harmful_crashes += usize::from(by_request);
                let (lost, kept) = runs.into_iter().partition(|run| run.replica == replica);
                runs = kept;
                for run in lost {
                    let news_item = RuleNews::Crashed {
                        replica: format!("i-{replica}"),
                        start: up_at[replica],
                        lost_at: now,
                        run,
                    };
                    news.push((now + GOSSIP_MS, news_item));
                }
            }
            // The longest streams end after some seconds; how they end tells nothing new.
            runs.retain(|run| now - run.began_at < 2_000);
            let mut arrivals: Vec<(FeatureSet, bool, u64)> = std::mem::take(&mut waiting);
            if random.random_range(0..1_000) < self.requests_per_s {
                number += 1;
                let (features, is_harmful) = self.draw_request(number, &mut random);
                arrivals.push((features, is_harmful, now + TRIAL_WAIT_MS));
            }
            for (features, is_harmful, refuse_at) in arrivals {
                match rule.judge(&features, number, now) {
                    RunVerdict::Run(run) => {
                        let free: Vec<usize> =
                            (0..REPLICAS).filter(|replica| up_at[*replica] <= now).collect();
                        if let Some(replica) = free.get(random.random_range(0..free.len().max(1))) {
                            runs.push(ActiveRun {
                                features,
                                replica: *replica,
                                began_at: now,
                                is_harmful,
                                has_begun: false,
                                run,
                            });
                        }
                    }
                    RunVerdict::Wait if now < refuse_at => waiting.push((features, is_harmful, refuse_at)),
                    RunVerdict::Wait | RunVerdict::Refuse => {
                        outcome.harmless_refused += usize::from(!is_harmful);
                    }
                }
            }
        }
        outcome
    }
}

/// Something that a rule learns.
enum RuleNews {
    Passed(FeatureSet, u64),
    Crashed {
        replica: String,
        start: u64,
        lost_at: u64,
        run: ActiveRun,
    },
}

impl RuleNews {
    fn tell(self, rule: &mut dyn BlameRule, now: u64) {
        match self {
            Self::Passed(features, run) => rule.record_pass(&features, run, now),
            Self::Crashed {
                replica,
                start,
                lost_at,
                run,
            } => {
                let features = &run.features;
                if run.has_begun {
                    // A run that had begun to answer says nothing of its parts.
                    rule.end_trial(run.run, now);
                } else {
                    rule.record_crash(features, run.run, &replica, start, lost_at, now);
                }
            }
        }
    }
}
