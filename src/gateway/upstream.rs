//! One exchange with a replica over a connection.

use async_std::net::TcpStream;
use futures::AsyncWriteExt;
use futures::future::{Either, select};
use snafu::Snafu;

use super::exchange::CallerRequest;
use super::loss::RunStage;
use super::replica_state::{note_limit, note_replica};
use super::{AnswerFacts, GatewayContext};
use crate::blackboard::{ReplicaId, ReplicaRecord};
use crate::clock;
use crate::http::{BodyDecoder, BodyFraming, HeadLimits, ResponseHead, frame_response};
use crate::prelude::*;
use crate::runtime::RunPermit;
use crate::transport::{HttpStream, StreamError, until};

/// How long connecting to a replica may take, in milliseconds: some round trips between zones and one packet that is
/// sent again.
pub const CONNECT_LIMIT_MS: u64 = 250;

/// The longest head of an answer, in bytes.
const ANSWER_HEAD_LIMITS: HeadLimits = HeadLimits { max_bytes: 32 * 1024 };

/// Bytes of a body that are written before the answer is looked for; a replica's receive window takes them.
const SMALL_BODY_BYTES: usize = 32 * 1024;

/// Answers to earlier requests that are skipped in the search for our own.
const MOST_STRAY_ANSWERS: usize = 2;

/// Bytes of such answers that are skipped; a connection with more is worth less than a new one.
const MOST_STRAY_BYTES: usize = 256 * 1024;

/// Why an exchange brought no answer.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// No byte of the request left.
    #[snafu(display("not sent: {reason}"))]
    Unsent {
        /// Why.
        reason: String,
    },
    /// Bytes of the request left, and no answer to it came.
    #[snafu(display("no answer: {reason}"))]
    Lost {
        /// Why.
        reason: String,
        /// Whether the connection ended, rather than brought something that is no answer.
        is_disconnect: bool,
        /// Whether somebody was at its other end as the request was sent.
        is_proven: bool,
    },
    /// The deadline came.
    #[snafu(display("no answer in time"))]
    Deadline,
    /// The replica wants nothing more from this VM now, so nothing was sent.
    #[snafu(display("the replica takes nothing from this VM now"))]
    Withheld,
    /// The replica names a limit, and there is no permit, so nothing was sent.
    #[snafu(display("the replica names a limit and there is no permit"))]
    Unpermitted,
}

impl ExchangeError {
    /// Whether no byte of the request left.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Unsent { .. } | Self::Withheld | Self::Unpermitted)
    }
}

/// Which connection carries a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// A kept one where there is one; it is kept again.
    Kept,
    /// One that certainly works: a kept one that carried an answer a moment ago, or a new one that the replica has not
    /// reset at once, as it does beyond its most connections. It is kept again.
    Proven,
    /// A new one for this request alone, so that it can't have gone silent.
    Fresh,
    /// The same, watched for an end before it is used: a hop closes it where there is nobody behind it.
    Watched,
}

impl ConnectionChoice {
    /// How long a new connection is watched for an end before it is used, in milliseconds, beyond the time that connecting took.
    fn settle_ms(self) -> Option<u64> {
        match self {
            Self::Kept | Self::Fresh => None,
            Self::Proven => Some(SETTLE_MS),
            Self::Watched => Some(PROXY_CLOSE_MS),
        }
    }

    /// Whether the connection carries no other request.
    fn is_single(self) -> bool {
        matches!(self, Self::Fresh | Self::Watched)
    }
}

/// How long ago a kept connection must have carried an answer to count as proven, in milliseconds.
const PROVEN_MS: u64 = 300;

/// What a replica takes to look at a connection and reset it, in milliseconds.
const SETTLE_MS: u64 = 3;

/// The longest that a hop takes to close a connection for want of another end, in milliseconds.
pub const PROXY_CLOSE_MS: u64 = 50;

/// What goes to a replica.
pub struct UpstreamRequest<'a> {
    /// The replica.
    pub replica: &'a ReplicaRecord,
    /// The method, which decides whether the answer has a body.
    pub method: &'a str,
    /// The head, and the body where it is small.
    pub head: Vec<u8>,
    /// The body.
    pub body: &'a [u8],
    /// The id that the answer must carry; empty where it need not.
    pub request_id: &'a str,
    /// What the replica is to do for a caller; `None` where the request is our own.
    pub stage: Option<RunStage>,
    /// Whether it may go to a replica that names a limit.
    pub has_permit: bool,
    /// Over which connection.
    pub choice: ConnectionChoice,
    /// Until when the answer's head must be there.
    pub deadline: Moment,
}

/// The beginning of a replica's answer.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// Its head.
    pub head: ResponseHead,
    /// What the head says.
    pub facts: AnswerFacts,
    /// Whether it certainly answers our request, and not one that the connection carried before.
    pub is_own: bool,
    stream: HttpStream,
    decoder: BodyDecoder,
    may_keep: bool,
}

impl UpstreamAnswer {
    /// The next bytes of the body; `None` once it is whole.
    pub async fn read(&mut self) -> Result<Option<Vec<u8>>, StreamError> {
        self.stream.read_body(&mut self.decoder).await
    }

    /// Reads until the body is whole, or longer than some bytes; also says which.
    pub async fn read_up_to(&mut self, max_bytes: usize) -> Result<(Vec<u8>, bool), StreamError> {
        let mut body = Vec::new();
        while let Some(piece) = self.read().await? {
            body.extend_from_slice(&piece);
            if body.len() > max_bytes {
                return Ok((body, false));
            }
        }
        Ok((body, true))
    }

    /// Keeps the connection for another request, where that can be done.
    pub fn release(self, context: &GatewayContext, replica: &ReplicaId) {
        if self.may_keep && self.decoder.is_done() && self.stream.is_reusable() {
            context.pool.put(replica, self.stream, &self.head);
        }
    }
}

/// Whether the connection of a request is to be watched: the request is suspected, or was lost where nobody may have been.
pub fn needs_watch(context: &GatewayContext, request: &CallerRequest, permit: &RunPermit) -> bool {
    let losses = &context.unproven_losses;
    permit.is_careful() || losses.contains(request.fingerprint, clock::now())
}

/// A connection for one request to an engine.
pub fn choose_dedicated_connection(
    context: &GatewayContext,
    request: &CallerRequest,
    permit: &RunPermit,
) -> ConnectionChoice {
    if needs_watch(context, request, permit) {
        ConnectionChoice::Watched
    } else {
        ConnectionChoice::Fresh
    }
}

/// Sends a request and waits for the head of its answer.
pub async fn exchange(
    context: &GatewayContext,
    request: UpstreamRequest<'_>,
) -> Result<UpstreamAnswer, ExchangeError> {
    let replica = request.replica;
    check_withheld(context, &request)?;
    let kept = match request.choice {
        ConnectionChoice::Kept => context.pool.take(&replica.id, u64::MAX),
        ConnectionChoice::Proven => context.pool.take(&replica.id, PROVEN_MS),
        ConnectionChoice::Fresh | ConnectionChoice::Watched => None,
    };
    let is_fresh = kept.is_none();
    let stream = match kept {
        Some(stream) => stream,
        None => {
            let stream = connect(&request).await?;
            // Another answer of the replica may have come while this request waited for its connection.
            check_withheld(context, &request)?;
            stream
        }
    };
    // The process may have been suspended since the deadline was set; nothing has left yet.
    if clock::now().reached(request.deadline) {
        return Err(ExchangeError::Unsent {
            reason: "deadline passed".to_owned(),
        });
    }
    if let Some(stage) = request.stage {
        context.metrics.note_arrival(stage);
    }
    if request.has_permit {
        context.metrics.note_limited_arrival(&replica.id);
    }
    let deadline = request.deadline;
    until(deadline, send_and_read(context, stream, request, is_fresh))
        .await
        .ok_or(ExchangeError::Deadline)?
}

/// Checks that the replica is eligible: it neither backs off nor drains, and if it names a limit there is a permit.
fn check_withheld(context: &GatewayContext, request: &UpstreamRequest<'_>) -> Result<(), ExchangeError> {
    let (record, now) = (request.replica, clock::now());
    let is_withheld = context.with_selector(|book| {
        if request.stage.is_some() {
            book.is_withheld(record, now)
        } else {
            book.backoff_until(record, now).is_some()
        }
    });
    if is_withheld {
        return Err(ExchangeError::Withheld);
    }
    if !request.has_permit && context.snapshot().is_limited(record) {
        return Err(ExchangeError::Unpermitted);
    }
    Ok(())
}

async fn connect(request: &UpstreamRequest<'_>) -> Result<HttpStream, ExchangeError> {
    let began_at = clock::now();
    let connect_by = request.deadline.min(began_at.after_ms(CONNECT_LIMIT_MS));
    let connected = HttpStream::connect(request.replica.address, connect_by).await;
    let mut stream = connected.map_err(|error| ExchangeError::Unsent {
        reason: error.to_string(),
    })?;
    if let Some(settle_ms) = request.choice.settle_ms() {
        let connected_at = clock::now();
        let settle_ms = began_at.until_ms(connected_at) + settle_ms;
        // Nothing was asked yet, so whatever comes now ends the connection.
        if until(connected_at.after_ms(settle_ms), stream.fill())
            .await
            .is_some()
        {
            return Err(ExchangeError::Unsent {
                reason: "the replica closed the new connection".to_owned(),
            });
        }
    }
    Ok(stream)
}

async fn send_and_read(
    context: &GatewayContext,
    mut stream: HttpStream,
    mut request: UpstreamRequest<'_>,
    is_fresh: bool,
) -> Result<UpstreamAnswer, ExchangeError> {
    let is_proven = !is_fresh || request.choice == ConnectionChoice::Watched;
    let lost = |error: StreamError| ExchangeError::Lost {
        reason: error.to_string(),
        is_disconnect: error.is_connection_lost(),
        is_proven,
    };
    let asked_at = clock::now();
    let mut is_sent_whole = true;
    let mut head = if request.body.len() <= SMALL_BODY_BYTES {
        request.head.extend_from_slice(request.body);
        // A replica that has closed the connection may still have answered before.
        let written = stream.write(&request.head).await;
        match stream.read_response(ANSWER_HEAD_LIMITS).await {
            Ok(head) => head,
            Err(error) => return Err(lost(written.err().map_or(error, StreamError::from))),
        }
    } else {
        let socket = stream.socket().clone();
        let (head, is_whole) = write_large(socket, &mut stream, &request).await.map_err(lost)?;
        is_sent_whole = is_whole;
        head
    };
    for _ in 0..=MOST_STRAY_ANSWERS {
        let facts = context.protocol.read_answer(&head);
        let is_own = match facts.request_id.as_deref() {
            _ if request.request_id.is_empty() => true,
            Some(id) => id == request.request_id,
            // A connection that carried others may bring an answer to one of them again.
            None => is_fresh,
        };
        note_replica(context, request.replica, &facts, is_own);
        let framing = frame_response(&head, request.method).map_err(|error| lost(error.into()))?;
        let mut decoder = BodyDecoder::new(framing);
        let is_stray = facts.request_id.is_some() && !is_own;
        if !is_stray {
            note_limit(context, &request, &facts, is_own, asked_at);
            let may_keep = !request.choice.is_single()
                && is_sent_whole
                && head.keeps_connection()
                && framing != BodyFraming::UntilClose;
            return Ok(UpstreamAnswer {
                head,
                facts,
                is_own,
                stream,
                decoder,
                may_keep,
            });
        }
        // The late answer to an earlier request stands where ours is due; it belongs to nobody here.
        stream
            .read_complete_body(&mut decoder, MOST_STRAY_BYTES)
            .await
            .map_err(lost)?;
        if framing == BodyFraming::UntilClose {
            break;
        }
        head = stream.read_response(ANSWER_HEAD_LIMITS).await.map_err(lost)?;
    }
    Err(ExchangeError::Lost {
        reason: "answers to other requests".to_owned(),
        is_disconnect: false,
        is_proven: true,
    })
}

/// Writes a long body while it looks for an early answer; also says whether the body has left whole.
async fn write_large(
    mut socket: TcpStream,
    stream: &mut HttpStream,
    request: &UpstreamRequest<'_>,
) -> Result<(ResponseHead, bool), StreamError> {
    let writing = async {
        socket.write_all(&request.head).await?;
        socket.write_all(request.body).await
    };
    let writing = std::pin::pin!(writing);
    let reading = std::pin::pin!(stream.read_response(ANSWER_HEAD_LIMITS));
    match select(writing, reading).await {
        Either::Left((_, reading)) => Ok((reading.await?, true)),
        Either::Right((head, _)) => Ok((head?, false)),
    }
}

/// Sends a small request whose answer is small too, and reads the whole answer.
pub async fn exchange_small(
    context: &GatewayContext,
    request: UpstreamRequest<'_>,
) -> Result<(ResponseHead, AnswerFacts, Vec<u8>), ExchangeError> {
    /// The longest body of such an answer, in bytes.
    const SMALL_ANSWER_BYTES: usize = 64 * 1024;
    let replica = request.replica.id.clone();
    let deadline = request.deadline;
    let mut answer = exchange(context, request).await?;
    let read = until(deadline, answer.read_up_to(SMALL_ANSWER_BYTES)).await;
    let (body, is_whole) = read
        .ok_or(ExchangeError::Deadline)?
        .map_err(|error| ExchangeError::Lost {
            reason: error.to_string(),
            is_disconnect: error.is_connection_lost(),
            is_proven: true,
        })?;
    if !is_whole {
        return Err(ExchangeError::Lost {
            reason: "answer too long".to_owned(),
            is_disconnect: false,
            is_proven: true,
        });
    }
    let (head, facts) = (answer.head.clone(), answer.facts.clone());
    answer.release(context, &replica);
    Ok((head, facts, body))
}
