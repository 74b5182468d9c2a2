//! Routes: which service the requests of HTTP callers go to, and the rules that apply to them.

use std::sync::Arc;

use crate::prelude::*;

/// Whether and how a route's requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Calls that may run more than once.
    Idempotent,
    /// Calls that may run at most once.
    RunOnce,
    /// Generations, answered by a stream of events.
    Stream {
        /// Whether an interrupted stream may be resumed on another engine, after the last event that the
        /// caller received.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// The kind's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::RunOnce => "run_once",
            Self::Stream { resumable: true } => "resumable_stream",
            Self::Stream { resumable: false } => "stream",
        }
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteShare {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other shares; zero for no requests.
    pub weight: f64,
}

/// A route: which requests it matches, and how they are served.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name for logs and faults; need not be unique, may be empty.
    pub name: Arc<str>,
    /// Host that requests must name, in lowercase.
    pub host: String,
    /// Prefix that the paths of requests must have.
    pub path_prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// Maximum time for a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency of the answer, or of a stream's first event, in milliseconds.
    pub latency_objective_ms: u64,
    /// Target for the longest gap between events of a stream, in milliseconds.
    pub gap_objective_ms: u64,
    /// Maximum number of attempts for a request, each at another replica.
    pub attempts: u32,
    /// Priority of its requests in queues; lower values go first.
    pub priority: u32,
    /// Whether its requests need no API key where the configuration lists workspaces.
    pub allows_anonymous: bool,
    /// The services that its requests are split between.
    pub shares: Vec<RouteShare>,
}

/// Lower bound on the time that callers wait for a stream's next event, in milliseconds.
const MIN_PATIENCE_MS: u64 = 2_000;

/// Cap on configured durations, in milliseconds: a day. Longer ones mean "no limit".
const MAX_SPAN_MS: u64 = 86_400_000;

impl RouteRule {
    /// Clamps durations to a day, so that arithmetic on them can't overflow.
    pub fn bounded(self) -> Self {
        Self {
            timeout_ms: self.timeout_ms.min(MAX_SPAN_MS),
            latency_objective_ms: self.latency_objective_ms.min(MAX_SPAN_MS),
            gap_objective_ms: self.gap_objective_ms.min(MAX_SPAN_MS),
            ..self
        }
    }

    /// How long callers are assumed to wait for a stream's next event, in milliseconds: four times the
    /// latency objective or eight times the gap objective, whichever is longer.
    pub fn patience_ms(&self) -> u64 {
        let by_latency = 4 * self.latency_objective_ms;
        let by_gap = 8 * self.gap_objective_ms;
        MIN_PATIENCE_MS.max(by_latency).max(by_gap)
    }

    /// Sum of the weights of the route's shares.
    pub fn total_weight(&self) -> f64 {
        self.shares.iter().map(|share| share.weight).sum()
    }

    /// Whether another rule is the same except for its name.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        let renamed = Self {
            name: self.name.clone(),
            ..other.clone()
        };
        *self == renamed
    }

    /// Picks a service by weight; `draw` must be uniformly distributed. `None` if all weights are zero.
    pub fn pick_service(&self, draw: u64) -> Option<&Arc<str>> {
        let fraction = draw as f64 / u64::MAX as f64;
        let mut remaining = fraction * self.total_weight();
        let mut weighted = self.shares.iter().filter(|share| share.weight > 0.0);
        let picked = weighted.find(|share| {
            remaining -= share.weight;
            remaining < 0.0
        });
        // Rounding errors may leave a remainder after the last share.
        let last = || self.shares.iter().rfind(|share| share.weight > 0.0);
        picked.or_else(last).map(|share| &share.service)
    }
}

/// Properties that all engines of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTraits {
    /// Capacity of an engine's memory, in tokens.
    pub memory_tokens: u32,
    /// Tokens carried by one event of a stream.
    pub event_tokens: u32,
    /// How long a prefill engine keeps a prompt's KV cache for the decode engine, in milliseconds.
    pub prefill_keep_ms: u64,
    /// Duration of an engine's move to the other pool, in milliseconds; zero if engines can't be moved.
    pub role_switch_ms: u64,
}

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name by which routes refer to the service.
    pub name: Arc<str>,
    /// Maximum number of connections to each replica, from all its clients together.
    pub max_connections: u32,
    /// Path of the replicas' health check; `None` if they have none.
    pub health_path: Option<String>,
    /// Properties of its replicas if they are language-model engines; `None` for a plain service.
    pub engine: Option<EngineTraits>,
}

impl ServiceRule {
    /// Clamps durations to a day, so that arithmetic on them can't overflow.
    pub fn bounded(mut self) -> Self {
        if let Some(engine) = &mut self.engine {
            engine.prefill_keep_ms = engine.prefill_keep_ms.min(MAX_SPAN_MS);
            engine.role_switch_ms = engine.role_switch_ms.min(MAX_SPAN_MS);
        }
        self
    }
}

/// Limits on the requests and connections of HTTP callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a head to arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Maximum idle time of a connection between two requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Cap on the configured head limit, in bytes: a VM holds the whole head in memory.
const MAX_HEAD_BYTES: usize = 1_048_576;

/// Cap on the configured body limit, in bytes: a VM holds the whole body in memory.
const MAX_BODY_BYTES: usize = 67_108_864;

impl CallerLimits {
    /// Clamps the limits to what a VM can handle.
    pub fn bounded(self) -> Self {
        Self {
            head_bytes: self.head_bytes.min(MAX_HEAD_BYTES),
            body_bytes: self.body_bytes.min(MAX_BODY_BYTES),
            head_timeout_ms: self.head_timeout_ms.min(MAX_SPAN_MS),
            idle_timeout_ms: self.idle_timeout_ms.min(MAX_SPAN_MS),
        }
    }
}

impl Default for CallerLimits {
    /// The limits in force until a configuration is known, and where it sets none: typical values of web
    /// servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The routes of one revision, indexed by host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    hosts: FastMap<String, Vec<Arc<RouteRule>>>,
}

impl RouteTable {
    /// Builds a table; the routes of a host are sorted by length of the prefix, longest first.
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

    /// The route for a host whose prefix is the longest that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let rules = self.hosts.get(host)?;
        rules.iter().find(|rule| path.starts_with(&rule.path_prefix))
    }

    /// All routes, in no particular order of hosts.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.hosts.values().flatten()
    }

    /// Number of routes, over all hosts.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
