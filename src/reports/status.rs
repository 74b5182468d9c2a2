//! The status object, and the short report, which fits a phone's screen.

use std::sync::atomic::Ordering;

use crate::clock;
use crate::prelude::*;
use crate::register::UpstreamKind;
use crate::traffic::TrafficContext;

/// The longest line of the short report, in characters; longer lines are cut off.
const MAX_LINE_CHARS: usize = 40;

/// How many faults of a refused register the short report shows.
const MAX_SHOWN_FAULTS: usize = 3;

/// The node's status as JSON, for operators and programs.
pub fn status(context: &TrafficContext) -> serde_json::Value {
    let snapshot = context.snapshot();
    let now = clock::now();
    let traffic = context.hub.traffic();
    let refusals: Vec<_> = context
        .metrics
        .tally
        .refusals()
        .into_iter()
        .map(|(code, count)| serde_json::json!({ "code": code, "count": count }))
        .collect();
    serde_json::json!({
        "vm": &*context.own.name,
        "zone": &*context.own.zone,
        "incarnation": format!("{:032x}", context.own.incarnation),
        "revision": snapshot.revision,
        "is_fresh": !now.reached(snapshot.fresh_until),
        "refused_revision": snapshot.refused.as_ref().map(|(revision, _)| revision),
        "refused_reasons": snapshot.refused.as_ref().map(|(_, reasons)| reasons),
        "is_leaving": snapshot.accept_until.is_some(),
        "live_vms": snapshot.live_vms.len(),
        "known_vms": snapshot.known_vms,
        "upstreams": snapshot.register.upstreams.len(),
        "active_requests": context.control.active_requests(),
        "quarantined": snapshot.quarantined_count(clock::now()),
        "peer_links": context.hub.link_count(),
        "peer_bytes_sent": traffic.sent_bytes.load(Ordering::Relaxed),
        "peer_bytes_received": traffic.received_bytes.load(Ordering::Relaxed),
        "counts": context.metrics.tally.counts(),
        "refusals": refusals,
    })
}

/// The short report as plain text, for reading on a phone.
pub fn short_report(context: &TrafficContext) -> String {
    let snapshot = context.snapshot();
    let counts = context.metrics.tally.counts();
    let register = &snapshot.register;
    let engines = register
        .upstreams
        .iter()
        .filter(|upstream| matches!(upstream.kind, UpstreamKind::Engine { .. }));
    let leaving = register
        .upstreams
        .iter()
        .filter(|upstream| upstream.leaving)
        .count();
    let freshness = if clock::now().reached(snapshot.fresh_until) {
        "NOT CONFIRMED"
    } else {
        "confirmed"
    };
    let state = if snapshot.accept_until.is_some() {
        "leaving"
    } else {
        "serving"
    };
    let wasted = percent(counts.wasted_tokens, counts.prefill_tokens);
    let mut lines = vec![
        format!("{} {} {state}", context.own.name, context.own.zone),
        format!("register {} {freshness}", snapshot.revision),
    ];
    if let Some((revision, reasons)) = &snapshot.refused {
        lines.push(format!(
            "REGISTER {revision} REFUSED, {} in force",
            snapshot.revision
        ));
        lines.extend(
            reasons
                .lines()
                .take(MAX_SHOWN_FAULTS)
                .map(|line| format!("  {line}")),
        );
    }
    lines.extend([
        format!("VMs {} of {} alive", snapshot.live_vms.len(), snapshot.known_vms),
        format!(
            "engines {} upstreams {} leaving {leaving}",
            engines.count(),
            register.upstreams.len()
        ),
        format!("now {} requests", context.control.active_requests()),
        format!("streams {} whole {} cut", counts.complete, counts.cut),
        format!("  {} resumed {} retries", counts.resumed, counts.retries),
        format!("lookups {} hedged {}", counts.lookups, counts.hedges),
        format!("run once {} ran {} UNKNOWN", counts.ran_once, counts.run_unknown),
        format!("prefill wasted {wasted}"),
    ]);
    let quarantined = snapshot.quarantined_count(clock::now());
    if quarantined > 0 {
        lines.push(format!("{quarantined} requests held back"));
    }
    for (code, count) in context.metrics.tally.refusals() {
        let name = ResultCode::from_number(code).map_or("", |code| code.entry().name);
        lines.push(format!("refused {code} {name} {count}"));
    }
    let mut report = String::new();
    for line in lines {
        report.extend(line.chars().take(MAX_LINE_CHARS));
        report.push('\n');
    }
    report
}

fn percent(part: u64, total: u64) -> String {
    match total {
        0 => "none".to_owned(),
        total => format!("{:.1}%", part as f64 * 100.0 / total as f64),
    }
}
