//! Decides whether an answer is whole once no more of it comes.

use super::loss::has_exited;
use super::upstream::UpstreamAnswer;
use crate::blackboard::ReplicaRecord;
use crate::clock;
use crate::http::{BodyFraming, ResponseHead};

/// Media type of streams of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Why an answer is not whole although its framing or its connection ended in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenEnd {
    /// A stream ended inside an event.
    InsideEvent,
    /// The answer ended with its connection, and so did the replica's process.
    ReplicaExited,
}

impl BrokenEnd {
    /// Returns the reason used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InsideEvent => "it ended inside an event",
            Self::ReplicaExited => "its replica exited",
        }
    }
}

/// Checks an answer that has been read to its end; `rest` is what came after the last complete event. An answer
/// without a length or chunks ends with its connection, which the replica's system also closes if the process
/// crashes, so the replica is probed.
pub async fn check_end(
    answer: &UpstreamAnswer,
    replica: &ReplicaRecord,
    rest: &[u8],
) -> Result<(), BrokenEnd> {
    if !rest.is_empty() && is_event_stream(&answer.head) {
        return Err(BrokenEnd::InsideEvent);
    }
    if answer.framing != BodyFraming::UntilClose {
        return Ok(());
    }
    let ended_at = clock::now();
    let has_exited = has_exited(replica).await;
    spdlog::warn!(
        "event=end_checked request={} replica={} outcome={} elapsed_ms={}",
        answer.facts.request_id.as_deref().unwrap_or("-"),
        replica.id,
        if has_exited { "exited" } else { "not_seen_to_exit" },
        ended_at.until_ms(clock::now())
    );
    match has_exited {
        true => Err(BrokenEnd::ReplicaExited),
        false => Ok(()),
    }
}

fn is_event_stream(head: &ResponseHead) -> bool {
    head.status == 200 && media_type(head).as_deref() == Some(EVENT_STREAM)
}

/// Returns the media type of an answer in lower case, without parameters.
pub fn media_type(head: &ResponseHead) -> Option<String> {
    let text = head.headers.text("content-type")?;
    let kind = text.split(';').next().unwrap_or(text);
    Some(kind.trim().to_ascii_lowercase())
}
