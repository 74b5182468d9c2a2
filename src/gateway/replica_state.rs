//! What replicas say of themselves in answers: that they back off, leave, or take so many requests.

use super::upstream::UpstreamRequest;
use super::{AnswerFacts, GatewayContext, LimitStatement};
use crate::blackboard::ReplicaRecord;
use crate::clock;
use crate::controllers::rate_limits::LimitReport;
use crate::prelude::*;

/// The longest back-off that a replica is granted, in milliseconds. A replica that asks for more has sent a wrong figure,
/// which must not shut it out for good.
const LONGEST_BACK_OFF_MS: u64 = 600_000;

/// Takes what an answer to a request of ours says of the replica's limit.
pub fn note_limit(
    context: &GatewayContext,
    request: &UpstreamRequest<'_>,
    facts: &AnswerFacts,
    is_own: bool,
    asked_at: Moment,
) {
    let record = request.replica;
    let instance = facts.instance.as_deref();
    let is_other = instance.is_some_and(|id| id != &*record.id);
    // Bytes that nobody vouches for must not end a limit.
    let is_echoed = facts.request_id.as_deref() == Some(request.request_id);
    let is_sound = facts.is_signed || instance.is_some() || (is_own && (is_echoed || facts.is_not_run));
    let rate = match facts.rate_limit {
        _ if facts.is_misdirected || is_other => return,
        LimitStatement::Unreadable => return,
        LimitStatement::Unsaid if !is_sound || !context.snapshot().is_limited(record) => return,
        LimitStatement::Unsaid => None,
        LimitStatement::Named(rate) => Some(rate),
    };
    let answered_at = clock::now();
    let record = LimitReport {
        replica: record.id.clone(),
        started_epoch_ms: record.started_epoch_ms,
        rate,
        first_named_at: answered_at,
        asked_at,
        answered_at,
        seen_by: context.own.name.clone(),
    };
    context.control.send_event(Event::LimitStated { record });
}

/// Takes what an answer says of the replica itself. An answer to an earlier request may be a late one, whose spans are over.
pub fn note_replica(context: &GatewayContext, record: &ReplicaRecord, facts: &AnswerFacts, is_own: bool) {
    if facts.is_misdirected {
        // Another replica answered, and speaks for itself.
        return;
    }
    context.unknown_statements.note(record, &facts.unknown_statements);
    let now = clock::now();
    if let Some(span_ms) = facts.back_off_ms.filter(|_| is_own) {
        let span_ms = span_ms.min(LONGEST_BACK_OFF_MS);
        context.with_book(|book| book.record_backoff(record, now.after_ms(span_ms)));
        spdlog::warn!(
            "event=replica_backs_off replica={} service={} back_off_ms={span_ms}",
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
