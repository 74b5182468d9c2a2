//! Decides whether an answer is whole once no more of it comes.

use std::sync::Arc;

use super::GatewayContext;
use super::exchange::CallerRequest;
use super::life_check::{ReplicaLife, check_life};
use super::upstream::UpstreamAnswer;
use crate::blackboard::ReplicaRecord;
use crate::http::ResponseHead;

/// Media type of streams of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Why an answer is not whole although its framing or its connection ended in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenEnd {
    /// A stream ended inside an event.
    InsideEvent,
    /// The answer ended with its connection, and so did the replica's process.
    ReplicaExited,
    /// The answer ended with its connection, and the replica's process was not shown to run on.
    ReplicaUnproven,
    /// The answer ended with its connection, which was reset afterwards: the replica had not read the request.
    ConnectionReset,
}

impl BrokenEnd {
    /// Returns the reason used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InsideEvent => "it ended inside an event",
            Self::ReplicaExited => "its replica exited",
            Self::ReplicaUnproven => "its replica did not answer after it",
            Self::ConnectionReset => "its connection was reset after it",
        }
    }
}

/// Checks an answer that has been read to its end. An answer that ended with its connection is whole only if its
/// replica is shown to be running and the connection was not reset meanwhile.
pub async fn check_end(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    answer: &mut UpstreamAnswer,
    replica: &ReplicaRecord,
    is_inside_event: bool,
) -> Result<(), BrokenEnd> {
    if is_inside_event {
        return Err(BrokenEnd::InsideEvent);
    }
    let Some(witness) = &mut answer.witness else {
        return Ok(());
    };
    match check_life(context, request, replica, witness).await {
        // A reset that answers the last bytes of the request may arrive after the end of the answer.
        ReplicaLife::Alive => answer.check_connection().map_err(|_| BrokenEnd::ConnectionReset),
        ReplicaLife::Exited => Err(BrokenEnd::ReplicaExited),
        ReplicaLife::Unproven => Err(BrokenEnd::ReplicaUnproven),
    }
}

/// Whether an answer is a stream of events.
pub fn is_event_stream(head: &ResponseHead) -> bool {
    media_type(head).as_deref() == Some(EVENT_STREAM)
}

/// Returns the media type of an answer in lower case, without parameters.
pub fn media_type(head: &ResponseHead) -> Option<String> {
    let text = head.headers.text("content-type")?;
    let kind = text.split(';').next().unwrap_or(text);
    Some(kind.trim().to_ascii_lowercase())
}
