//! Parser of the configuration document in the store; its result is a register of routes and services.

use std::sync::Arc;

use serde::Deserialize;

use super::amount::Amount;
use crate::prelude::*;
use crate::register::{
    CallerLimits, EngineTraits, FaultReport, KeyDigest, LOWEST_PRIORITY, QuotaRule, QuotaUnit, RegisterFault,
    RouteKind, RouteRule, RouteShare, ServiceRule, WorkspaceRule,
};

/// Attempts of a route that sets none: a single one, so that no request is sent twice without permission.
const DEFAULT_ATTEMPTS: u32 = 1;

/// The priority of a route that sets none: the lowest in use.
const DEFAULT_PRIORITY: u32 = 9;

/// The unit of quotas that count tokens.
const TOKEN_UNIT: &str = "token_stream";

/// The configuration document.
#[derive(Deserialize)]
struct ConfigDocument {
    routes: Vec<RouteEntry>,
    services: Option<Vec<ServiceEntry>>,
    limits: Option<LimitsEntry>,
    /// The customers whose requests are accepted; their requests then need API keys.
    tenants: Option<Vec<TenantEntry>>,
}

/// A route: the requests that it matches, their time limits, and the services that they go to.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteEntry {
    name: Option<String>,
    hostname: String,
    path_prefix: String,
    kind: Option<String>,
    timeout_ms: Amount,
    target_latency_ms: Option<Amount>,
    /// The longest pause between a stream's events; set on streaming routes only.
    target_gap_ms: Option<Amount>,
    attempts: Option<Amount>,
    priority: Option<Amount>,
    /// The service for all requests; ignored if `traffic_split` has entries.
    service: Option<String>,
    traffic_split: Option<Vec<ShareEntry>>,
    resumable: Option<bool>,
    /// Whether requests need no API key.
    allow_anonymous: Option<bool>,
}

/// A customer, its API keys and its quota.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantEntry {
    name: String,
    api_keys: Option<Vec<String>>,
    priority: Option<Amount>,
    /// What the quota counts; any value but [`TOKEN_UNIT`] stands for requests.
    unit: Option<String>,
    plain_tokens: Option<Amount>,
    rate_per_s: Option<Amount>,
    burst: Option<Amount>,
}

/// The share of a route's requests that goes to one service.
#[derive(Debug, Deserialize)]
struct ShareEntry {
    service: String,
    weight: Amount,
}

/// A service and the properties of its replicas.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceEntry {
    name: String,
    max_connections: Option<Amount>,
    /// The path of the replicas' health check.
    health_check: Option<String>,
    engine: Option<EngineEntry>,
}

/// The properties of the replicas of a language-model service.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct EngineEntry {
    kv_tokens: Amount,
    /// Tokens per event of a stream.
    stride: Option<Amount>,
    /// How long a prefilled prompt is kept, in seconds, unlike the fields ending in `Ms`.
    kv_ttl_s: Amount,
    /// How long an engine takes to switch between prefill and decode, in seconds.
    stage_switch_s: Option<Amount>,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsEntry {
    max_header_bytes: Option<Amount>,
    max_body_bytes: Option<Amount>,
    header_timeout_ms: Option<Amount>,
    idle_timeout_ms: Option<Amount>,
}

/// Parses a configuration document and checks its rules.
pub fn parse_config(text: &str) -> Result<Register, FaultReport> {
    let document: ConfigDocument = serde_json::from_str(text).map_err(|error| to_fault_report(&error))?;
    let register = Register::from_rules(
        document.routes.into_iter().map(to_route).collect(),
        document.services.into_iter().flatten().map(to_service).collect(),
        document.limits.map_or_else(CallerLimits::default, to_limits),
    )?;
    match document.tenants {
        Some(tenants) => register.with_callers(tenants.into_iter().map(to_workspace).collect()),
        None => Ok(register),
    }
}

fn to_workspace(entry: TenantEntry) -> WorkspaceRule {
    let rate_per_s = entry.rate_per_s.map_or(0.0, Amount::to_f64);
    let quota = QuotaRule {
        unit: match entry.unit.as_deref() {
            Some(TOKEN_UNIT) => QuotaUnit::Tokens,
            _ => QuotaUnit::Requests,
        },
        rate_per_s,
        burst: entry.burst.map_or(0.0, Amount::to_f64),
        plain_tokens: entry.plain_tokens.map_or(0, Amount::to_u32),
    };
    let keys = entry.api_keys.unwrap_or_default();
    WorkspaceRule {
        name: entry.name.into(),
        priority: entry.priority.map_or(LOWEST_PRIORITY, Amount::to_u32),
        quota: (rate_per_s > 0.0).then_some(quota),
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
    }
}

fn to_fault_report(error: &serde_json::Error) -> FaultReport {
    FaultReport {
        faults: vec![RegisterFault {
            code: ResultCode::RegisterSyntax,
            line: error.line(),
            place: "configuration".to_owned(),
            reason: without_values(&error.to_string()),
        }],
    }
}

/// Removes the values that an error quotes, since a value in the wrong place may be an API key.
fn without_values(reason: &str) -> String {
    const QUOTED: [&str; 2] = ["invalid type: ", "invalid value: "];
    const AFTER: &str = ", expected ";
    let quoted = QUOTED
        .iter()
        .find_map(|start| Some((start, reason.strip_prefix(start)?)));
    let Some((start, rest)) = quoted else {
        return reason.to_owned();
    };
    // The value may contain the words that follow it.
    let (value, expected) = rest.rsplit_once(AFTER).unwrap_or((rest, "another value"));
    let kind = value
        .split(['`', '"', '\''])
        .next()
        .unwrap_or_default()
        .trim_end();
    format!("{start}{kind}{AFTER}{expected}")
}

fn to_route(entry: RouteEntry) -> RouteRule {
    let mut shares: Vec<RouteShare> = entry
        .traffic_split
        .into_iter()
        .flatten()
        .map(|share| RouteShare {
            service: share.service.into(),
            weight: share.weight.to_f64(),
        })
        .collect();
    if let (true, Some(service)) = (shares.is_empty(), entry.service) {
        shares.push(RouteShare {
            service: service.into(),
            weight: 1.0,
        });
    }
    let timeout_ms = entry.timeout_ms.to_u64();
    // An answer that misses the objective is only late, so a route without one uses its timeout as the
    // objective.
    let latency_objective_ms = entry.target_latency_ms.map_or(timeout_ms, Amount::to_u64).max(1);
    RouteRule {
        name: entry.name.unwrap_or_default().into(),
        host: entry.hostname.to_ascii_lowercase(),
        path_prefix: entry.path_prefix,
        kind: match entry.kind.as_deref() {
            Some("safe") => RouteKind::Idempotent,
            Some("streaming") => RouteKind::Stream {
                resumable: entry.resumable.unwrap_or_default(),
            },
            // An unknown kind is treated as not safe to repeat.
            _ => RouteKind::RunOnce,
        },
        timeout_ms,
        latency_objective_ms,
        gap_objective_ms: entry.target_gap_ms.map_or(latency_objective_ms, Amount::to_u64),
        attempts: entry.attempts.map_or(DEFAULT_ATTEMPTS, Amount::to_u32).max(1),
        priority: entry.priority.map_or(DEFAULT_PRIORITY, Amount::to_u32),
        allows_anonymous: entry.allow_anonymous.unwrap_or_default(),
        shares,
    }
}

fn to_service(entry: ServiceEntry) -> ServiceRule {
    let name: Arc<str> = entry.name.into();
    ServiceRule {
        name,
        max_connections: entry.max_connections.map_or(u32::MAX, Amount::to_u32),
        health_path: entry.health_check,
        engine: entry.engine.map(|engine| EngineTraits {
            memory_tokens: engine.kv_tokens.to_u32(),
            event_tokens: engine.stride.map_or(1, Amount::to_u32).max(1),
            prefill_keep_ms: engine.kv_ttl_s.seconds_as_ms(),
            role_switch_ms: engine.stage_switch_s.map_or(0, Amount::seconds_as_ms),
        }),
    }
}

fn to_limits(entry: LimitsEntry) -> CallerLimits {
    let defaults = CallerLimits::default();
    CallerLimits {
        head_bytes: entry
            .max_header_bytes
            .map_or(defaults.head_bytes, Amount::to_usize),
        body_bytes: entry.max_body_bytes.map_or(defaults.body_bytes, Amount::to_usize),
        head_timeout_ms: entry
            .header_timeout_ms
            .map_or(defaults.head_timeout_ms, Amount::to_u64),
        idle_timeout_ms: entry
            .idle_timeout_ms
            .map_or(defaults.idle_timeout_ms, Amount::to_u64),
    }
}
