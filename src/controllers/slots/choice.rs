//! Choosing engines alone: the way without an owner, and the baselines that measurements compare with.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{EnginePermits, PlacementAsk, PlacementGrant};
use crate::prelude::*;
use crate::register::EngineRole;

/// How engines are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The owner of the engines' group grants slots.
    Owner,
    /// Any engine.
    Random,
    /// Each engine in turn.
    RoundRobin,
    /// The better of two by the load they report.
    TwoChoicesReported,
    /// The better of two by this node's own requests in flight.
    TwoChoicesOwn,
    /// The best of all by this node's own requests in flight.
    LeastOwn,
}

impl PlacementPolicy {
    /// All policies.
    pub const ALL: [Self; 6] = [
        Self::Owner,
        Self::Random,
        Self::RoundRobin,
        Self::TwoChoicesReported,
        Self::TwoChoicesOwn,
        Self::LeastOwn,
    ];

    /// The word used in settings.
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

/// Turns among which the first one is drawn.
const FIRST_TURNS: usize = 1_000;

/// Chooses engines from what this node knows alone.
#[derive(Debug)]
pub struct LocalChooser {
    random: SmallRng,
    turn: usize,
}

impl LocalChooser {
    /// A chooser whose random numbers follow from the seed.
    pub fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        // Nodes that began at the same engine would send to it together for good.
        let turn = random.random_range(0..FIRST_TURNS);
        Self { random, turn }
    }

    /// Engines for a request, or `None` when no suitable one is usable.
    pub fn choose(
        &mut self,
        policy: PlacementPolicy,
        ask: &PlacementAsk,
        board: &Blackboard,
        now: Moment,
    ) -> Option<PlacementGrant> {
        let decode = self.choose_one(policy, ask, EngineRole::Decode, board, now)?;
        let prefill = self.choose_one(policy, ask, EngineRole::Prefill, board, now);
        (prefill.is_some() || ask.may_skip_prefill).then_some(PlacementGrant {
            decode,
            prefill,
            granted_by: None,
            permits: EnginePermits::default(),
        })
    }

    fn choose_one(
        &mut self,
        policy: PlacementPolicy,
        ask: &PlacementAsk,
        role: EngineRole,
        board: &Blackboard,
        now: Moment,
    ) -> Option<Arc<str>> {
        let engines = board.engines(&ask.model);
        let mut usable: Vec<&str> = engines
            .iter()
            .filter(|engine| engine.role == role && board.is_engine_usable(&engine.name, now))
            .filter(|engine| !ask.barred.contains(&engine.name))
            .filter(|engine| board.listed_rate_limit(&engine.name).is_none())
            .map(|engine| &*engine.name)
            .collect();
        let is_untried = |name: &&str| !ask.avoid.iter().any(|tried| **tried == **name);
        if usable.iter().any(is_untried) {
            usable.retain(is_untried);
        }
        if usable.is_empty() {
            return None;
        }
        let own = |name: &str| board.upstreams.get(name).map_or(0, |facts| facts.in_flight);
        let reported = |name: &str| board.upstreams.get(name).map_or(0, |facts| facts.reported_load);
        let chosen = match policy {
            PlacementPolicy::Random => self.draw(&usable),
            PlacementPolicy::RoundRobin => {
                self.turn += 1;
                usable[self.turn % usable.len()]
            }
            PlacementPolicy::TwoChoicesReported => self.better_of_two(&usable, reported),
            PlacementPolicy::Owner | PlacementPolicy::TwoChoicesOwn => self.better_of_two(&usable, own),
            PlacementPolicy::LeastOwn => {
                let start = self.random.random_range(0..usable.len());
                let mut turned = usable.clone();
                turned.rotate_left(start);
                turned.into_iter().min_by_key(|name| own(name))?
            }
        };
        Some(chosen.into())
    }

    fn draw<'a>(&mut self, names: &[&'a str]) -> &'a str {
        names[self.random.random_range(0..names.len())]
    }

    fn better_of_two<'a>(&mut self, names: &[&'a str], load: impl Fn(&str) -> u32) -> &'a str {
        let first = self.draw(names);
        let second = self.draw(names);
        if load(second) < load(first) { second } else { first }
    }
}
