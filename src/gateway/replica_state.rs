//! Handles what replicas report about themselves in responses: backoff, leaving, rate limits and unknown
//! attributes.

use super::upstream::UpstreamRequest;
use super::{AnswerFacts, GatewayContext, ReportedLimit};
use crate::blackboard::ReplicaRecord;
use crate::clock;
use crate::controllers::rate_limits::LimitReport;
use crate::prelude::*;

/// Maximum backoff, in milliseconds. A longer one is taken for a mistake and shortened, so that it does not
/// exclude the replica for good.
const MAX_BACKOFF_MS: u64 = 600_000;

/// Reports the rate limit in a response, or the end of a limit, to the control thread, if the response can be
/// trusted to be the replica's.
pub fn report_rate_limit(
    context: &GatewayContext,
    request: &UpstreamRequest<'_>,
    facts: &AnswerFacts,
    is_own: bool,
    asked_at: Moment,
) {
    let replica = request.replica;
    let instance = facts.instance.as_deref();
    let is_other = instance.is_some_and(|id| id != &*replica.id);
    // A response of unknown origin must not remove a limit.
    let is_echoed = facts.request_id.as_deref() == Some(request.request_id);
    let is_trusted = facts.is_signed || instance.is_some() || (is_own && (is_echoed || facts.is_not_run));
    let rate = match facts.rate_limit {
        _ if facts.is_misdirected || is_other => return,
        ReportedLimit::Invalid => return,
        ReportedLimit::Absent if !is_trusted || !context.snapshot().is_limited(replica) => return,
        ReportedLimit::Absent => None,
        ReportedLimit::Named(rate) => Some(rate),
    };
    let answered_at = clock::now();
    let record = LimitReport {
        replica: replica.id.clone(),
        started_epoch_ms: replica.started_epoch_ms,
        rate,
        first_reported_at: answered_at,
        asked_at,
        answered_at,
        seen_by: context.own.name.clone(),
    };
    context.control.send_event(Event::LimitStated { record });
}

/// Records the backoff, leaving and unknown attributes that a response reports. Backoff is ignored in
/// responses to earlier requests, since they may be late and the backoff over.
pub fn record_replica_state(
    context: &GatewayContext,
    record: &ReplicaRecord,
    facts: &AnswerFacts,
    is_own: bool,
) {
    if facts.is_misdirected {
        // Another replica answered, so this says nothing about the intended one.
        return;
    }
    context
        .unknown_attributes
        .record_attributes(record, &facts.unknown_attributes);
    let now = clock::now();
    if let Some(requested_ms) = facts.backoff_ms.filter(|_| is_own) {
        let requested_ms = requested_ms.min(MAX_BACKOFF_MS);
        context.with_selector(|selector| selector.record_backoff(record, now.after_ms(requested_ms)));
        spdlog::warn!(
            "event=replica_backs_off replica={} service={} back_off_ms={requested_ms}",
            record.id,
            record.service
        );
    }
    if facts.is_leaving {
        context.control.send_event(Event::ReplicaLeaving {
            replica: record.id.clone(),
            started_epoch_ms: record.started_epoch_ms,
        });
    }
}
