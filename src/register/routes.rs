//! Routes: which requests of HTTP callers go to which service, and under which rules.

use std::sync::Arc;

use crate::prelude::*;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Idempotent calls: may run more than once.
    Idempotent,
    /// Calls that may run at most once.
    RunOnce,
    /// Generations that are answered by a stream of events.
    Stream {
        /// Whether a stream may be taken up at another engine after the last event that the caller has.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// The word used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::RunOnce => "run_once",
            Self::Stream { resumable: true } => "resumable_stream",
            Self::Stream { resumable: false } => "stream",
        }
    }
}

/// A service that a route leads to, and its share of the route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteShare {
    /// The service.
    pub service: Arc<str>,
    /// Its weight beside the other shares; zero where it is to get nothing.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Its name.
    pub name: Arc<str>,
    /// The host that its requests are for, in lowercase.
    pub host: String,
    /// What their paths begin with.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// How long a request may be kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// How soon the answer, or a stream's first event, should come, in milliseconds.
    pub latency_objective_ms: u64,
    /// The longest pause that is wanted between a stream's events, in milliseconds.
    pub gap_objective_ms: u64,
    /// The most replicas to which one request may be sent.
    pub attempts: u32,
    /// Its rank; zero goes first.
    pub priority: u32,
    /// Where its requests go.
    pub shares: Vec<RouteShare>,
}

/// The shortest time after which callers give up a stream from which nothing comes, in milliseconds.
const SHORTEST_PATIENCE_MS: u64 = 2_000;

/// The longest span that is kept, in milliseconds: a day. Longer ones mean that there is no bound.
const LONGEST_SPAN_MS: u64 = 86_400_000;

impl RouteRule {
    /// The rule with spans that can be reckoned with.
    pub fn bounded(self) -> Self {
        Self {
            timeout_ms: self.timeout_ms.min(LONGEST_SPAN_MS),
            latency_objective_ms: self.latency_objective_ms.min(LONGEST_SPAN_MS),
            gap_objective_ms: self.gap_objective_ms.min(LONGEST_SPAN_MS),
            ..self
        }
    }

    /// How long callers wait for a stream's first event, in milliseconds: four times the objective, or eight times that
    /// for pauses.
    pub fn patience_ms(&self) -> u64 {
        let by_latency = 4 * self.latency_objective_ms;
        let by_gap = 8 * self.gap_objective_ms;
        SHORTEST_PATIENCE_MS.max(by_latency).max(by_gap)
    }

    /// What the weights of its shares add up to.
    pub fn total_weight(&self) -> f64 {
        self.shares.iter().map(|share| share.weight).sum()
    }

    /// Whether another rule serves requests in the same way, whatever its name.
    pub fn serves_alike(&self, other: &Self) -> bool {
        let renamed = Self {
            name: self.name.clone(),
            ..other.clone()
        };
        *self == renamed
    }

    /// The service for a request; `draw` is a number that is spread evenly over requests.
    pub fn pick_service(&self, draw: u64) -> Option<&Arc<str>> {
        let part = draw as f64 / u64::MAX as f64;
        let mut left = part * self.total_weight();
        let mut weighing = self.shares.iter().filter(|share| share.weight > 0.0);
        let picked = weighing.find(|share| {
            left -= share.weight;
            left < 0.0
        });
        // Rounding may leave a little after the last share.
        let last = || self.shares.iter().rfind(|share| share.weight > 0.0);
        picked.or_else(last).map(|share| &share.service)
    }
}

/// What an engine of a service can do.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTraits {
    /// Tokens that its memory holds.
    pub memory_tokens: u32,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// How long a prefilled prompt is kept for its decode engine, in milliseconds.
    pub prefill_keep_ms: u64,
    /// How long it takes to move an engine to the other pool, in milliseconds; zero where that can't be done.
    pub role_switch_ms: u64,
}

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that one of its replicas accepts from all callers together.
    pub max_connections: u32,
    /// The path of its replicas' health check; `None` where they have none.
    pub health_path: Option<String>,
    /// Set where its replicas are language-model engines.
    pub engine: Option<EngineTraits>,
}

impl ServiceRule {
    /// The rule with spans that can be reckoned with.
    pub fn bounded(mut self) -> Self {
        if let Some(engine) = &mut self.engine {
            engine.prefill_keep_ms = engine.prefill_keep_ms.min(LONGEST_SPAN_MS);
            engine.role_switch_ms = engine.role_switch_ms.min(LONGEST_SPAN_MS);
        }
        self
    }
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest head, in bytes.
    pub head_bytes: usize,
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// How long a connection may be idle between two requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// The longest head and body that are taken whatever the limits say, in bytes: a VM holds both whole.
const MOST_HEAD_BYTES: usize = 1_048_576;
const MOST_BODY_BYTES: usize = 67_108_864;

impl CallerLimits {
    /// The limits, as far as a VM can keep them.
    pub fn bounded(self) -> Self {
        Self {
            head_bytes: self.head_bytes.min(MOST_HEAD_BYTES),
            body_bytes: self.body_bytes.min(MOST_BODY_BYTES),
            head_timeout_ms: self.head_timeout_ms.min(LONGEST_SPAN_MS),
            idle_timeout_ms: self.idle_timeout_ms.min(LONGEST_SPAN_MS),
        }
    }
}

impl Default for CallerLimits {
    /// The limits before any configuration is known: those of common web servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The routes of one revision, by host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    hosts: FastMap<String, Vec<Arc<RouteRule>>>,
}

impl RouteTable {
    /// A table of some routes.
    pub fn new(rules: impl IntoIterator<Item = RouteRule>) -> Self {
        let mut hosts: FastMap<String, Vec<Arc<RouteRule>>> = FastMap::default();
        for rule in rules {
            hosts.entry(rule.host.clone()).or_default().push(Arc::new(rule));
        }
        for rules in hosts.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        Self { hosts }
    }

    /// The route with the longest prefix that begins a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let rules = self.hosts.get(host)?;
        rules.iter().find(|rule| path.starts_with(&rule.path_prefix))
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.hosts.values().flatten()
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
