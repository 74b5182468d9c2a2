//! Checks routes, services and limits after parsing, independently of the format they were published in.

use std::collections::hash_map::Entry;

use super::fields::suggest;
use super::{CallerLimits, FaultReport, KeyDigest, RegisterFault, RouteRule, ServiceRule, WorkspaceRule};
use crate::prelude::*;

/// Maximum number of faults reported for one register; more of them usually have one cause.
const MAX_FAULTS: usize = 50;

/// Collects up to [`MAX_FAULTS`] faults, located by their entry instead of a line.
#[derive(Debug, Default)]
struct EntryFaults {
    faults: Vec<RegisterFault>,
}

impl EntryFaults {
    fn into_result(self) -> Result<(), FaultReport> {
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(FaultReport { faults: self.faults })
        }
    }

    fn is_full(&self) -> bool {
        self.faults.len() >= MAX_FAULTS
    }

    fn record(&mut self, code: ResultCode, place: String, reason: String) {
        if !self.is_full() {
            self.faults.push(RegisterFault {
                code,
                line: 0,
                place,
                reason,
            });
        }
    }
}

/// Checks that all entries can be served as written. The result depends on the entries alone, so that all VMs
/// agree on it.
///
/// # Errors
///
/// The faults, first those of the services, then of the routes, then of the limits; at most [`MAX_FAULTS`] of
/// them.
pub fn check_rules(
    rules: &[RouteRule],
    services: &[ServiceRule],
    limits: &CallerLimits,
) -> Result<(), FaultReport> {
    let mut found = EntryFaults::default();
    let named = check_services(services, &mut found);
    if rules.is_empty() {
        let reason = "there is no route, so no request could be served; write all routes".to_owned();
        found.record(ResultCode::RegisterMissingField, "route".to_owned(), reason);
    }
    let mut first_rules: FastMap<(&str, &str), &RouteRule> = FastMap::default();
    for (index, rule) in rules.iter().enumerate() {
        if found.is_full() {
            break;
        }
        let place = format!("route[{index}] {}", rule.name);
        check_rule(rule, &place, &named, &mut found);
        match first_rules.entry((&rule.host, &rule.path_prefix)) {
            Entry::Vacant(entry) => {
                entry.insert(rule);
            }
            Entry::Occupied(entry) if !entry.get().is_equivalent(rule) => {
                let reason = format!(
                    "`{}` has the same host and prefix and other rules; remove one of them",
                    entry.get().name
                );
                found.record(ResultCode::RegisterDuplicate, place, reason);
            }
            Entry::Occupied(_) => {}
        }
    }
    check_limits(limits, &mut found);
    found.into_result()
}

/// Checks that workspaces have names of their own and share no key. The result depends on the entries alone, so
/// that all VMs agree on it.
///
/// # Errors
///
/// The faults, at most [`MAX_FAULTS`] of them. No fault contains a key.
pub fn check_workspaces(rules: &[WorkspaceRule]) -> Result<(), FaultReport> {
    let mut found = EntryFaults::default();
    let mut names: FastSet<&str> = FastSet::default();
    let mut holders: FastMap<KeyDigest, &str> = FastMap::default();
    let empty_key = KeyDigest::of(b"");
    for (index, rule) in rules.iter().enumerate() {
        let place = || format!("workspace[{index}]");
        if rule.name.is_empty() || !is_header_value(&rule.name) {
            let reason = "the name must be one line of visible ASCII that is not empty".to_owned();
            found.record(ResultCode::RegisterBadValue, place(), reason);
        }
        if !names.insert(&rule.name) {
            let reason = format!("another workspace is named `{}`; rename one of them", rule.name);
            found.record(ResultCode::RegisterDuplicate, place(), reason);
        }
        for key in &rule.keys {
            if *key == empty_key {
                let reason = "an API key is empty; remove it".to_owned();
                found.record(ResultCode::RegisterBadValue, place(), reason);
            }
            let holder = holders.insert(*key, &rule.name);
            if let Some(holder) = holder.filter(|holder| **holder != *rule.name) {
                let reason = format!("`{holder}` has one of its API keys; give each workspace its own");
                found.record(ResultCode::RegisterDuplicate, place(), reason);
            }
        }
    }
    found.into_result()
}

/// Whether a text can be written into a header as it is.
fn is_header_value(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn check_services<'a>(
    services: &'a [ServiceRule],
    found: &mut EntryFaults,
) -> FastMap<&'a str, &'a ServiceRule> {
    let mut named: FastMap<&str, &ServiceRule> = FastMap::default();
    for (index, service) in services.iter().enumerate() {
        let place = format!("service[{index}] {}", service.name);
        if service.name.is_empty() || !is_one_line(&service.name) {
            let reason = "the name must be one line that is not empty".to_owned();
            found.record(ResultCode::RegisterBadValue, place.clone(), reason);
        }
        if service
            .engine
            .as_ref()
            .is_some_and(|engine| engine.memory_tokens == 0)
        {
            let reason = "its engines hold no token, so nothing fits into them".to_owned();
            found.record(ResultCode::RegisterBadValue, place.clone(), reason);
        }
        let earlier = named.insert(&service.name, service);
        if earlier.is_some_and(|earlier| earlier != service) {
            let reason = "an earlier service has this name and is another one; rename or remove one of them";
            found.record(ResultCode::RegisterDuplicate, place, reason.to_owned());
        }
    }
    named
}

fn check_rule(
    rule: &RouteRule,
    place: &str,
    services: &FastMap<&str, &ServiceRule>,
    found: &mut EntryFaults,
) {
    let mut record = |code, reason: String| found.record(code, place.to_owned(), reason);
    if !is_one_line(&rule.name) {
        let reason = "the name must be one line";
        record(ResultCode::RegisterBadValue, reason.to_owned());
    }
    if rule.host.is_empty() {
        record(
            ResultCode::RegisterBadValue,
            "the host must not be empty".to_owned(),
        );
    }
    if !rule.path_prefix.starts_with('/') {
        let reason = format!(
            "no path begins with `{}`; write a prefix that begins with a slash",
            rule.path_prefix
        );
        record(ResultCode::RegisterBadValue, reason);
    }
    if rule.timeout_ms == 0 {
        let reason = "a timeout of zero leaves no time to answer; write how long requests may take";
        record(ResultCode::RegisterBadValue, reason.to_owned());
    }
    if rule.shares.is_empty() {
        let reason = "it names no service; name one, or shares of some".to_owned();
        record(ResultCode::RegisterMissingField, reason);
        return;
    }
    for share in &rule.shares {
        if !services.contains_key(&*share.service) {
            let hint = suggest(&share.service, services.keys().copied());
            let reason = format!("no service is named `{}`{hint}", share.service);
            record(ResultCode::RegisterUnknownName, reason);
        }
        if !share.weight.is_finite() || share.weight < 0.0 {
            let reason = format!(
                "the weight {} of `{}` must be zero or more",
                share.weight, share.service
            );
            record(ResultCode::RegisterBadValue, reason);
        }
    }
    let total = rule.total_weight();
    if !total.is_finite() || total <= 0.0 {
        let reason = format!("its weights add up to {total}, so no share would get a request");
        record(ResultCode::RegisterBadValue, reason);
    }
}

/// Whether a name is free of control characters, so that it can be written into headers and log lines.
pub fn is_one_line(name: &str) -> bool {
    !name.chars().any(char::is_control)
}

/// Records limits of zero, with which every request would be refused.
fn check_limits(limits: &CallerLimits, found: &mut EntryFaults) {
    let named_limits = [
        ("the longest head", limits.head_bytes as u64),
        ("the longest body", limits.body_bytes as u64),
        ("the time for a head", limits.head_timeout_ms),
        ("the idle time", limits.idle_timeout_ms),
    ];
    for (name, _) in named_limits.iter().filter(|(_, value)| *value == 0) {
        let reason = format!("{name} must be above zero");
        found.record(ResultCode::RegisterBadValue, "limits".to_owned(), reason);
    }
}
