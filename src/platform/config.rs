//! The configuration document of the store, as a register.

use std::sync::Arc;

use serde::Deserialize;

use crate::prelude::*;
use crate::register::{
    CallerLimits, EngineTraits, FaultReport, RegisterFault, RouteKind, RouteRule, RouteShare, ServiceRule,
};

/// The attempts of a route that names none: one send, the most careful choice.
const DEFAULT_ATTEMPTS: u32 = 1;

/// The rank of a route that names none: the last of the ranks in use.
const DEFAULT_PRIORITY: u32 = 9;

/// The whole document.
#[derive(Debug, Deserialize)]
struct ConfigDocument {
    routes: Vec<RouteEntry>,
    #[serde(default)]
    services: Vec<ServiceEntry>,
    limits: Option<LimitsEntry>,
}

/// A route.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteEntry {
    #[serde(default)]
    name: String,
    hostname: String,
    path_prefix: String,
    kind: String,
    timeout_ms: u64,
    target_latency_ms: u64,
    /// The longest pause between a stream's events; only routes of streams have it.
    target_gap_ms: Option<u64>,
    attempts: Option<u32>,
    priority: Option<u32>,
    /// Where all requests go; a route has this or `traffic_split`.
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<ShareEntry>,
    #[serde(default)]
    resumable: bool,
}

/// A share of a route's requests.
#[derive(Debug, Deserialize)]
struct ShareEntry {
    service: String,
    weight: f64,
}

/// A service.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceEntry {
    name: String,
    max_connections: Option<u32>,
    /// The path of the replicas' health check.
    health_check: Option<String>,
    engine: Option<EngineEntry>,
}

/// What the replicas of a service of language-model engines can do.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct EngineEntry {
    kv_tokens: u32,
    /// Tokens in one event of a stream.
    stride: Option<u32>,
    /// Seconds, although the neighbouring fields are in milliseconds.
    kv_ttl_s: f64,
    /// Seconds, too.
    stage_switch_s: Option<f64>,
}

/// What callers may send.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsEntry {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
}

/// Reads a configuration document.
pub fn parse_config(text: &str) -> Result<Register, FaultReport> {
    let document: ConfigDocument = serde_json::from_str(text).map_err(|error| to_report(&error))?;
    Register::from_rules(
        document.routes.into_iter().map(to_route).collect(),
        document.services.into_iter().map(to_service).collect(),
        document.limits.map_or_else(CallerLimits::default, to_limits),
    )
}

fn to_report(error: &serde_json::Error) -> FaultReport {
    FaultReport {
        faults: vec![RegisterFault {
            code: ResultCode::RegisterSyntax,
            line: error.line(),
            place: "configuration".to_owned(),
            reason: error.to_string(),
        }],
    }
}

fn to_route(entry: RouteEntry) -> RouteRule {
    let mut shares: Vec<RouteShare> = entry
        .traffic_split
        .into_iter()
        .map(|share| RouteShare {
            service: share.service.into(),
            weight: share.weight,
        })
        .collect();
    if let (true, Some(service)) = (shares.is_empty(), entry.service) {
        shares.push(RouteShare {
            service: service.into(),
            weight: 1.0,
        });
    }
    RouteRule {
        name: entry.name.into(),
        host: entry.hostname.to_ascii_lowercase(),
        path_prefix: entry.path_prefix,
        kind: match entry.kind.as_str() {
            "safe" => RouteKind::Idempotent,
            "streaming" => RouteKind::Stream {
                resumable: entry.resumable,
            },
            // A kind that is not known yet gets the most careful treatment.
            _ => RouteKind::RunOnce,
        },
        timeout_ms: entry.timeout_ms,
        latency_objective_ms: entry.target_latency_ms,
        gap_objective_ms: entry.target_gap_ms.unwrap_or(entry.target_latency_ms),
        attempts: entry.attempts.unwrap_or(DEFAULT_ATTEMPTS).max(1),
        priority: entry.priority.unwrap_or(DEFAULT_PRIORITY),
        shares,
    }
}

fn to_service(entry: ServiceEntry) -> ServiceRule {
    let name: Arc<str> = entry.name.into();
    ServiceRule {
        name,
        most_connections: entry.max_connections.unwrap_or(u32::MAX),
        health_path: entry.health_check,
        engine: entry.engine.map(|engine| EngineTraits {
            memory_tokens: engine.kv_tokens,
            event_tokens: engine.stride.unwrap_or(1).max(1),
            prefill_keep_ms: (engine.kv_ttl_s * 1_000.0) as u64,
            role_switch_ms: (engine.stage_switch_s.unwrap_or_default() * 1_000.0) as u64,
        }),
    }
}

fn to_limits(entry: LimitsEntry) -> CallerLimits {
    let fallback = CallerLimits::default();
    CallerLimits {
        head_bytes: entry.max_header_bytes.unwrap_or(fallback.head_bytes),
        body_bytes: entry.max_body_bytes.unwrap_or(fallback.body_bytes),
        head_timeout_ms: entry.header_timeout_ms.unwrap_or(fallback.head_timeout_ms),
        idle_timeout_ms: entry.idle_timeout_ms.unwrap_or(fallback.idle_timeout_ms),
    }
}
