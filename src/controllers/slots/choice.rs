//! Choice of engines without an owner: the fallback if no owner answers, and baseline policies for
//! comparisons.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{EnginePermits, PlacementGrant, PlacementRequest};
use crate::prelude::*;
use crate::register::EngineRole;

/// How engines are chosen; a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The owner of the engines' group grants slots.
    Owner,
    /// An engine drawn at random.
    Random,
    /// The engines in rotation.
    RoundRobin,
    /// Power of two choices: the engine of two random ones that reports less load.
    TwoChoicesReported,
    /// Power of two choices: the engine of two random ones with fewer requests in flight from this VM.
    TwoChoicesOwn,
    /// The engine with the fewest requests in flight from this VM.
    LeastOwn,
}

impl PlacementPolicy {
    /// All policies; the setting is parsed by comparing it with their names.
    pub const ALL: [Self; 6] = [
        Self::Owner,
        Self::Random,
        Self::RoundRobin,
        Self::TwoChoicesReported,
        Self::TwoChoicesOwn,
        Self::LeastOwn,
    ];

    /// The policy's name in settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::TwoChoicesReported => "two-choices-reported",
            Self::TwoChoicesOwn => "two-choices-own",
            Self::LeastOwn => "least-own",
        }
    }
}

/// Upper bound of the random start index of the rotation.
const START_RANGE: usize = 1_000;

/// Chooses engines from this VM's own data, without an owner.
#[derive(Debug)]
pub struct LocalChooser {
    random: SmallRng,
    next_index: usize,
}

impl LocalChooser {
    /// Creates a chooser with a seeded random generator.
    pub fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        // VMs that started at the same engine would keep sending to the same engines at the same time.
        let next_index = random.random_range(0..START_RANGE);
        Self { random, next_index }
    }

    /// Chooses engines for a request; `None` if no suitable engine is usable. Rate-limited engines are never
    /// chosen, since only an owner issues permits for them.
    pub fn choose(
        &mut self,
        policy: PlacementPolicy,
        request: &PlacementRequest,
        board: &Blackboard,
        now: Moment,
    ) -> Option<PlacementGrant> {
        let decode = self.choose_one(policy, request, EngineRole::Decode, board, now)?;
        let prefill = self.choose_one(policy, request, EngineRole::Prefill, board, now);
        (prefill.is_some() || request.may_skip_prefill).then_some(PlacementGrant {
            decode,
            prefill,
            granted_by: None,
            permits: EnginePermits::default(),
        })
    }

    fn choose_one(
        &mut self,
        policy: PlacementPolicy,
        request: &PlacementRequest,
        role: EngineRole,
        board: &Blackboard,
        now: Moment,
    ) -> Option<Arc<str>> {
        let engines = board.engines(&request.model);
        let mut usable: Vec<&str> = engines
            .iter()
            .filter(|engine| engine.role == role && board.is_engine_usable(&engine.name, now))
            .filter(|engine| !request.excluded.contains(&engine.name))
            .filter(|engine| board.listed_rate_limit(&engine.name).is_none())
            .map(|engine| &*engine.name)
            .collect();
        let is_untried = |name: &&str| !request.avoid.iter().any(|tried| **tried == **name);
        if usable.iter().any(is_untried) {
            usable.retain(is_untried);
        }
        if usable.is_empty() {
            return None;
        }
        let own_in_flight = |name: &str| board.upstreams.get(name).map_or(0, |facts| facts.in_flight);
        let last_reported_load =
            |name: &str| board.upstreams.get(name).map_or(0, |facts| facts.reported_load);
        let chosen = match policy {
            PlacementPolicy::Random => self.pick_random(&usable),
            PlacementPolicy::RoundRobin => {
                self.next_index += 1;
                usable[self.next_index % usable.len()]
            }
            PlacementPolicy::TwoChoicesReported => self.pick_less_loaded(&usable, last_reported_load),
            PlacementPolicy::Owner | PlacementPolicy::TwoChoicesOwn => {
                self.pick_less_loaded(&usable, own_in_flight)
            }
            PlacementPolicy::LeastOwn => {
                let start = self.random.random_range(0..usable.len());
                let mut rotated = usable.clone();
                rotated.rotate_left(start);
                rotated.into_iter().min_by_key(|name| own_in_flight(name))?
            }
        };
        Some(chosen.into())
    }

    fn pick_random<'a>(&mut self, names: &[&'a str]) -> &'a str {
        names[self.random.random_range(0..names.len())]
    }

    fn pick_less_loaded<'a>(&mut self, names: &[&'a str], load: impl Fn(&str) -> u32) -> &'a str {
        let first = self.pick_random(names);
        let second = self.pick_random(names);
        if load(second) < load(first) { second } else { first }
    }
}
