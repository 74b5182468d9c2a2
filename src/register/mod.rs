//! The register that the operator publishes: upstreams, routes and rules as checked values.

mod check;
mod fields;
mod route_check;
mod routes;
mod workspaces;

pub use check::{FaultReport, parse_register};
pub use route_check::is_one_line;
pub use routes::{CallerLimits, EngineTraits, RouteKind, RouteRule, RouteShare, RouteTable, ServiceRule};
pub use workspaces::{
    KeyDigest, LOWEST_PRIORITY, QuotaRule, QuotaUnit, WorkspaceRule, WorkspaceTable, combined_rank,
};

use std::sync::Arc;

use crate::prelude::*;
use route_check::{check_rules, check_workspaces};

/// Number of a published register, which only grows. Zero means that none was accepted yet.
pub type Revision = u64;

/// Identifies the content of a register. Of two contents with the same revision the one written later wins,
/// so that all nodes converge on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegisterStamp {
    /// Revision number of the published text.
    pub revision: Revision,
    /// The store's position that resulted from the write; none where the configuration service numbers each
    /// text itself.
    pub written: StorePosition,
}

impl RegisterStamp {
    /// The stamp of a text that the configuration service has numbered itself.
    pub fn from_revision(revision: Revision) -> Self {
        Self {
            revision,
            written: StorePosition::default(),
        }
    }
}

/// The text of a register as published. Debug output shows its length only, since it contains API keys.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct RegisterText(Arc<str>);

impl<T: Into<Arc<str>>> From<T> for RegisterText {
    fn from(text: T) -> Self {
        Self(text.into())
    }
}

impl std::ops::Deref for RegisterText {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for RegisterText {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "RegisterText({} bytes)", self.0.len())
    }
}

/// Maximum size of a register text, in bytes.
pub const REGISTER_LIMIT_BYTES: usize = 1_000_000;

/// The pool that an engine belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EngineRole {
    /// Processes prompts and exports their KV cache.
    Prefill,
    /// Imports the KV cache and generates tokens.
    Decode,
}

/// What an upstream serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A language-model engine.
    Engine {
        /// The model that the engine has loaded.
        model: String,
        /// The pool that the engine belongs to.
        role: EngineRole,
        /// Requests that the engine runs concurrently.
        slots: u32,
    },
    /// A plain service.
    Service {
        /// Name of the service that the upstream is a replica of.
        service: String,
    },
}

/// A backend listed in the register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The upstream's name, unique among the register's upstreams.
    pub name: String,
    /// IP address and port that the upstream listens on.
    pub address: String,
    /// The upstream's availability zone, one of [`Register::zones`].
    pub zone: String,
    /// Set by the operator to stop new work.
    pub leaving: bool,
    /// The model or service that the upstream serves.
    pub kind: UpstreamKind,
}

impl Upstream {
    /// The engine's model, role and slots; `None` for a plain service.
    pub fn engine(&self) -> Option<(&str, EngineRole, u32)> {
        match &self.kind {
            UpstreamKind::Engine { model, role, slots } => Some((model, *role, *slots)),
            UpstreamKind::Service { .. } => None,
        }
    }

    /// The plain service's name; `None` for an engine.
    pub fn service(&self) -> Option<&str> {
        match &self.kind {
            UpstreamKind::Engine { .. } => None,
            UpstreamKind::Service { service } => Some(service),
        }
    }
}

/// Whether a call may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// Idempotent: may be repeated and hedged.
    Safe,
    /// Must run at most once; the service does not recognise repeats.
    Never,
    /// Must run at most once; the service recognises a repeated idempotency key.
    ByKey,
}

/// An operation of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperationRule {
    /// The service that offers the operation.
    pub service: String,
    /// The operation's name, unique within the service.
    pub name: String,
    /// Whether its calls may be repeated.
    pub repeat: RepeatRule,
}

/// A class that callers assign to their requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassRule {
    /// The class's name, unique among the register's classes.
    pub name: String,
    /// Whether requests of other classes may overtake its requests in the queue.
    pub may_wait: bool,
}

/// A register whose entries passed all checks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Register {
    /// Names of the workspaces, the customers whose requests are accepted.
    pub workspaces: Vec<String>,
    /// Names of the availability zones.
    pub zones: Vec<String>,
    /// The classes that requests may name.
    pub classes: Vec<ClassRule>,
    /// The backends, in the order of the text.
    pub upstreams: Vec<Upstream>,
    /// The operations of plain services.
    pub operations: Vec<OperationRule>,
    /// The routes for requests of HTTP callers.
    pub routes: RouteTable,
    /// The services that routes lead to, by name.
    pub services: FastMap<Arc<str>, ServiceRule>,
    /// Size and time limits on the requests of HTTP callers.
    pub limits: CallerLimits,
    /// The workspaces of HTTP callers, who then need API keys; `None` where the configuration lists none.
    pub callers: Option<WorkspaceTable>,
    /// Position of each upstream in the list, by name.
    index: FastMap<String, usize>,
}

/// Parses a published text into a register. The result must depend on the text alone, so that all VMs agree
/// on it.
pub type RegisterParser = fn(&str) -> Result<Register, FaultReport>;

impl Register {
    /// Builds a register of routes, services and limits after checking them; values too large are clamped.
    ///
    /// # Errors
    ///
    /// The faults of entries that could not be served as written.
    pub fn from_rules(
        rules: Vec<RouteRule>,
        services: Vec<ServiceRule>,
        limits: CallerLimits,
    ) -> Result<Self, FaultReport> {
        check_rules(&rules, &services, &limits)?;
        let rules = rules.into_iter().map(RouteRule::bounded);
        let services = services.into_iter().map(ServiceRule::bounded);
        Ok(Self::from_routes(
            RouteTable::new(rules),
            services,
            limits.bounded(),
        ))
    }

    /// Adds the workspaces of HTTP callers after checking them.
    ///
    /// # Errors
    ///
    /// The faults of workspaces that could not be served as written.
    pub fn with_callers(self, rules: Vec<WorkspaceRule>) -> Result<Self, FaultReport> {
        check_workspaces(&rules)?;
        Ok(Self {
            callers: Some(WorkspaceTable::new(rules)),
            ..self
        })
    }

    /// Whether the pace of replicas that have just started or recovered is restrained: where the configuration
    /// has workspaces.
    pub fn paces_replicas(&self) -> bool {
        self.callers.is_some()
    }

    /// Builds a register of routes, services and limits without checking them.
    pub fn from_routes(
        routes: RouteTable,
        services: impl Iterator<Item = ServiceRule>,
        limits: CallerLimits,
    ) -> Self {
        Self {
            routes,
            services: services.map(|service| (service.name.clone(), service)).collect(),
            limits,
            ..Self::default()
        }
    }

    /// Whether the register lists the workspace.
    pub fn has_workspace(&self, name: &str) -> bool {
        self.workspaces.iter().any(|workspace| workspace == name)
    }

    /// The class with this name.
    pub fn class(&self, name: &str) -> Option<&ClassRule> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Adds an upstream and indexes it by name.
    fn add_upstream(&mut self, upstream: Upstream) {
        self.index.insert(upstream.name.clone(), self.upstreams.len());
        self.upstreams.push(upstream);
    }

    /// The upstream with this name.
    pub fn upstream(&self, name: &str) -> Option<&Upstream> {
        self.index.get(name).map(|index| &self.upstreams[*index])
    }

    /// The operation of a service with this name.
    pub fn operation(&self, service: &str, name: &str) -> Option<&OperationRule> {
        self.operations
            .iter()
            .find(|operation| operation.service == service && operation.name == name)
    }

    /// The engines of a model's pool, including leaving ones.
    pub fn engines<'a>(&'a self, model: &'a str, role: EngineRole) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .iter()
            .filter(move |upstream| matches!(upstream.engine(), Some((name, kind, _)) if name == model && kind == role))
    }

    /// The replicas of a plain service, including leaving ones.
    pub fn replicas<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .iter()
            .filter(move |upstream| upstream.service() == Some(service))
    }

    /// Whether any engine, even a leaving one, serves the model.
    pub fn has_model(&self, name: &str) -> bool {
        let serves = |upstream: &Upstream| upstream.engine().is_some_and(|(model, _, _)| model == name);
        self.upstreams.iter().any(serves)
    }
}

/// One fault of a register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisterFault {
    /// The kind of fault.
    pub code: ResultCode,
    /// Line in the text, counted from 1; zero if only the place is known.
    pub line: usize,
    /// The entry and field, such as `upstream[2].address`.
    pub place: String,
    /// What is wrong, and what to write instead.
    pub reason: String,
}

impl std::fmt::Display for RegisterFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.line > 0 {
            write!(formatter, "line {}: ", self.line)?;
        }
        write!(
            formatter,
            "{}: {} [{} {}]",
            self.place,
            self.reason,
            self.code.number(),
            self.code.entry().name
        )
    }
}
