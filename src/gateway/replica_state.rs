//! What replicas say of themselves in answers: that they back off, or leave.

use super::{AnswerFacts, GatewayContext};
use crate::blackboard::ReplicaRecord;
use crate::clock;
use crate::prelude::*;

/// The longest back-off that a replica is granted, in milliseconds. A replica that asks for more has sent a wrong figure,
/// which must not shut it out for good.
const LONGEST_BACK_OFF_MS: u64 = 600_000;

/// Takes what an answer says of the replica itself, whichever request it answers.
pub fn note_replica(context: &GatewayContext, record: &ReplicaRecord, facts: &AnswerFacts) {
    if facts.is_misdirected {
        // Another replica answered, and speaks for itself.
        return;
    }
    context.unknown_statements.note(record, &facts.unknown_statements);
    let now = clock::now();
    if let Some(span_ms) = facts.back_off_ms {
        let span_ms = span_ms.min(LONGEST_BACK_OFF_MS);
        context.with_book(|book| book.note_back_off(record, now.after_ms(span_ms)));
        spdlog::warn!(
            "event=replica_backs_off replica={} service={} back_off_ms={span_ms}",
            record.id,
            record.service
        );
    }
    if facts.is_leaving {
        context.control.tell(Event::ReplicaLeaving {
            replica: record.id.clone(),
            started_epoch_ms: record.started_epoch_ms,
        });
    }
}
