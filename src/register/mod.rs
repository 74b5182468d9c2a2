//! The asset register and the rules: what the operator publishes, as checked values.

mod check;
mod fields;
mod route_check;
mod routes;

pub use check::{FaultReport, parse_register};
pub use route_check::is_one_line;
pub use routes::{CallerLimits, EngineTraits, RouteKind, RouteRule, RouteShare, RouteTable, ServiceRule};

use std::sync::Arc;

use crate::prelude::*;
use route_check::check_rules;

/// The number the configuration service gives a published register; it only grows.
pub type Revision = u64;

/// Which content of a register this is. Of two with one revision the later written counts, so that all nodes come to hold the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegisterStamp {
    /// Its revision.
    pub revision: Revision,
    /// The state of the store that its write led to; zero where the service itself numbers each text.
    pub written: u64,
}

impl RegisterStamp {
    /// The stamp of a text that the service itself has numbered.
    pub fn from_revision(revision: Revision) -> Self {
        Self { revision, written: 0 }
    }
}

/// The longest register that is read, in bytes.
pub const REGISTER_LIMIT_BYTES: usize = 1_000_000;

/// What an engine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EngineRole {
    /// Runs prompts and exports their KV cache.
    Prefill,
    /// Imports KV cache and generates tokens.
    Decode,
}

/// What an upstream serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A language-model engine.
    Engine {
        /// The model it has loaded.
        model: String,
        /// Its pool.
        role: EngineRole,
        /// Requests it can hold at once.
        slots: u32,
    },
    /// A plain service.
    Service {
        /// The service's name.
        service: String,
    },
}

/// One back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its name, unique in the register.
    pub name: String,
    /// Where it listens, as IP address and port.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is to get no new work.
    pub leaving: bool,
    /// What it serves.
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
    /// The service it belongs to.
    pub service: String,
    /// Its name.
    pub name: String,
    /// Whether it may be repeated.
    pub repeat: RepeatRule,
}

/// A class of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassRule {
    /// Its name.
    pub name: String,
    /// Whether its requests may wait in the queue while others go first.
    pub may_wait: bool,
}

/// A checked register.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Register {
    /// The customers.
    pub workspaces: Vec<String>,
    /// The availability zones.
    pub zones: Vec<String>,
    /// The classes of work.
    pub classes: Vec<ClassRule>,
    /// The back ends.
    pub upstreams: Vec<Upstream>,
    /// The operations of plain services.
    pub operations: Vec<OperationRule>,
    /// The routes of HTTP callers.
    pub routes: RouteTable,
    /// The services that routes lead to, by name.
    pub services: FastMap<Arc<str>, ServiceRule>,
    /// What HTTP callers may send.
    pub limits: CallerLimits,
    /// Where each upstream stands in the list, by name.
    index: FastMap<String, usize>,
}

/// Turns a published text into a register. All VMs come to the same result for the same text.
pub type RegisterParser = fn(&str) -> Result<Register, FaultReport>;

impl Register {
    /// A register that has only routes and what they lead to, checked.
    ///
    /// # Errors
    ///
    /// The faults, where something could not be served as it is written.
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

    /// A register that has only routes and what they lead to.
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

    /// Whether the workspace is known.
    pub fn has_workspace(&self, name: &str) -> bool {
        self.workspaces.iter().any(|workspace| workspace == name)
    }

    /// The class with this name.
    pub fn class(&self, name: &str) -> Option<&ClassRule> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Adds a back end.
    fn add_upstream(&mut self, upstream: Upstream) {
        self.index.insert(upstream.name.clone(), self.upstreams.len());
        self.upstreams.push(upstream);
    }

    /// The back end with this name.
    pub fn upstream(&self, name: &str) -> Option<&Upstream> {
        self.index.get(name).map(|index| &self.upstreams[*index])
    }

    /// The operation with this name.
    pub fn operation(&self, service: &str, name: &str) -> Option<&OperationRule> {
        self.operations
            .iter()
            .find(|operation| operation.service == service && operation.name == name)
    }

    /// The engines of a model's pool, leaving ones too.
    pub fn engines<'a>(&'a self, model: &'a str, role: EngineRole) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .iter()
            .filter(move |upstream| matches!(upstream.engine(), Some((name, kind, _)) if name == model && kind == role))
    }

    /// The replicas of a plain service, leaving ones too.
    pub fn replicas<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .iter()
            .filter(move |upstream| upstream.service() == Some(service))
    }

    /// Whether some engine serves the model.
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
    /// The line it stands on, from 1; zero where only the place is known.
    pub line: usize,
    /// The entry and field, as `upstream[2].address`.
    pub place: String,
    /// What is wrong and what to write instead.
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
