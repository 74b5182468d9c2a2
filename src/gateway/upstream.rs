//! One request-response exchange with a replica.

use std::sync::Arc;

use async_std::net::TcpStream;
use snafu::Snafu;

use super::authentication::check_caller;
use super::body_memory::CallerBody;
use super::exchange::CallerRequest;
use super::life_check::WitnessConnection;
use super::loss::{ReplicaContact, RunStage};
use super::memory_account::MemoryKind;
use super::replica_state::{record_replica_state, report_rate_limit};
use super::upload::BodyUpload;
use super::{AnswerFacts, GatewayContext};
use crate::blackboard::{ReplicaId, ReplicaRecord};
use crate::clock;
use crate::http::{BodyDecoder, BodyFraming, HeadLimits, ResponseHead, frame_response};
use crate::prelude::*;
use crate::runtime::RunPermit;
use crate::transport::{HttpStream, StreamError, limit_buffers, take_error, until};

/// Connect timeout for replicas, in milliseconds: some round trips between zones and one retransmission.
pub const CONNECT_TIMEOUT_MS: u64 = 250;

/// Limits for the heads of responses.
const ANSWER_HEAD_LIMITS: HeadLimits = HeadLimits { max_bytes: 32 * 1024 };

/// Longest body that is written completely before the response is read, in bytes; it fits a replica's receive
/// window.
const SMALL_BODY_BYTES: usize = 32 * 1024;

/// Send and receive buffers of a connection to a replica, in bytes, until a long body has its memory.
const SOCKET_BUFFER_BYTES: usize = 32 * 1024;

/// Receive buffer while a long answer that has its memory is passed on, in bytes.
const LONG_RECEIVE_BYTES: usize = 64 * 1024;

/// Send buffer while a long body that has its memory is sent, in bytes.
const LONG_SEND_BYTES: usize = 128 * 1024;

/// Maximum number of late responses to earlier requests that are skipped on a connection.
const MAX_STRAY_ANSWERS: usize = 2;

/// Longest body of a skipped response, in bytes; beyond that a new connection costs less.
const MAX_STRAY_BYTES: usize = 256 * 1024;

/// Reason why an exchange got no response.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[snafu(display("not sent: {reason}"))]
    Unsent {
        /// Description of the error.
        reason: String,
        /// Whether the connection was refused, as when no process listens at the address.
        is_refused: bool,
    },
    /// Bytes of the request were sent, and no response to it came.
    #[snafu(display("no answer: {reason}"))]
    Lost {
        /// Description of the error.
        reason: String,
        /// Whether the connection was lost; false if it carried something other than a response.
        is_disconnect: bool,
        /// What is known of the replica at the time when the request was sent.
        contact: ReplicaContact,
    },
    /// The deadline passed after the send had begun.
    #[snafu(display("no answer in time"))]
    Deadline,
    /// Nothing was sent, because the replica requested backoff or is leaving, or its service has no descriptor left.
    #[snafu(display("the replica takes nothing from this VM now"))]
    Withheld,
    /// Nothing was sent, because the replica reports a rate limit and there is no permit.
    #[snafu(display("the replica names a limit and there is no permit"))]
    Unpermitted,
    /// Nothing was sent, because the caller's API key does not permit it now.
    #[snafu(display("the caller may not send now: {}", notice.code.entry().name))]
    Denied {
        /// The answer for the caller.
        notice: RefusalNotice,
    },
}

impl ExchangeError {
    /// Whether no byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Unsent { .. } | Self::Withheld | Self::Unpermitted | Self::Denied { .. }
        )
    }
}

/// How the connection for a request is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// An idle connection if there is one, else a new one; kept alive afterwards.
    Pooled,
    /// A connection that is known to work: an idle one that carried a response a moment ago, or a new one
    /// that the replica has not reset at once, as it does beyond its connection limit. Kept alive afterwards.
    Proven,
    /// A new connection for this request only, since an idle one may be half-open.
    Fresh,
    /// Like `Fresh`, but watched for a close before use: a proxy closes a connection if no replica is behind
    /// it.
    Watched,
}

impl ConnectionChoice {
    /// How long a new connection is watched for a close before use, in milliseconds, in addition to the time
    /// that connecting took.
    fn settle_ms(self) -> Option<u64> {
        match self {
            Self::Pooled | Self::Fresh => None,
            Self::Proven => Some(SETTLE_MS),
            Self::Watched => Some(PROXY_CLOSE_MS),
        }
    }

    /// Whether the connection is closed after this request.
    fn is_dedicated(self) -> bool {
        matches!(self, Self::Fresh | Self::Watched)
    }
}

/// Longest time since an idle connection's last response at which it counts as proven, in milliseconds.
const PROVEN_MS: u64 = 300;

/// Time in which a replica accepts or resets a new connection, in milliseconds.
const SETTLE_MS: u64 = 3;

/// Longest time in which a proxy closes a connection that has no replica behind it, in milliseconds.
pub const PROXY_CLOSE_MS: u64 = 50;

/// A request to a replica and how to send it.
pub struct UpstreamRequest<'a> {
    /// Replica that the request is for.
    pub replica: &'a ReplicaRecord,
    /// The caller's request that is sent, whose API key must permit it; `None` for requests of the gateway
    /// itself.
    pub caller: Option<&'a CallerRequest>,
    /// HTTP method; decides whether the response has a body.
    pub method: &'a str,
    /// Request head, ready to be sent; a small body is appended before sending.
    pub head: Vec<u8>,
    /// Request body; `None` if there is none.
    pub body: Option<&'a Arc<CallerBody>>,
    /// Id that identifies the response as this request's; empty if any response counts as its own.
    pub request_id: &'a str,
    /// Work that the replica does for a caller; `None` for requests of the gateway itself.
    pub stage: Option<RunStage>,
    /// Whether the request has a permit and may go to a replica that reports a rate limit.
    pub has_permit: bool,
    /// How the connection is chosen.
    pub choice: ConnectionChoice,
    /// When the response head must have arrived.
    pub deadline: Moment,
}

/// A replica's response, whose head has been read.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// Status line and headers.
    pub head: ResponseHead,
    /// The platform's facts, read from the head.
    pub facts: AnswerFacts,
    /// Whether the response certainly answers this request and not an earlier one on the same connection.
    pub is_own: bool,
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// A connection that shows whether the process runs on; only of a caller's answer that ends with its
    /// connection.
    pub witness: Option<WitnessConnection>,
    stream: HttpStream,
    decoder: BodyDecoder,
    /// The sending of the request, which may outlast the head of its answer.
    upload: BodyUpload,
    may_keep: bool,
}

impl UpstreamAnswer {
    /// Reads the next bytes of the body; `None` once it is complete.
    pub async fn read(&mut self) -> Result<Option<Vec<u8>>, StreamError> {
        let reading = self.stream.read_body(&mut self.decoder);
        let piece = self.upload.run_beside(reading).await?;
        if piece.is_none() && self.framing == BodyFraming::UntilClose {
            // The end of the connection ends the answer only if the replica has read the request: one that closes
            // its connection under an upload resets it, and the sender may be told instead of the reader.
            self.upload.finish().await;
            self.check_connection()?;
        }
        Ok(piece)
    }

    /// Checks that the connection was not reset, as far as the system knows by now.
    pub fn check_connection(&self) -> Result<(), StreamError> {
        let failure = self.upload.failure();
        match failure.or_else(|| take_error(self.stream.socket())) {
            Some(source) => Err(StreamError::Broken { source }),
            None => Ok(()),
        }
    }

    /// Reads until the body is complete or longer than a limit; also returns whether it is complete.
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

    /// Enlarges the receive buffer, for a long body that has its memory.
    pub fn widen(&self) {
        limit_buffers(self.stream.socket(), None, Some(LONG_RECEIVE_BYTES));
    }

    /// Returns the connection to the pool if it can carry another request.
    pub fn release(self, context: &GatewayContext, replica: &ReplicaId) {
        let is_over = self.decoder.is_done() && self.upload.is_complete();
        if self.may_keep && is_over && self.stream.is_reusable() {
            context.pool.put(replica, self.stream, &self.head);
        }
    }
}

/// Whether the connection of a request is watched before use: the request is suspected of crashing upstreams,
/// or was recently lost on a connection that may not have reached a replica.
pub fn needs_watch(context: &GatewayContext, request: &CallerRequest, permit: &RunPermit) -> bool {
    let losses = &context.unproven_losses;
    permit.is_trial() || losses.contains(&request.features, clock::now())
}

/// Chooses between a fresh and a watched connection for a request that gets a connection of its own.
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

/// Sends a request and waits for the head of its response.
pub async fn exchange(
    context: &GatewayContext,
    request: UpstreamRequest<'_>,
) -> Result<UpstreamAnswer, ExchangeError> {
    let replica = request.replica;
    check_eligible(context, &request)?;
    let pooled = match request.choice {
        ConnectionChoice::Pooled => context.pool.take(&replica.id, u64::MAX),
        ConnectionChoice::Proven => context.pool.take(&replica.id, PROVEN_MS),
        ConnectionChoice::Fresh | ConnectionChoice::Watched => None,
    };
    let is_fresh = pooled.is_none();
    let stream = match pooled {
        Some(stream) => stream,
        None => {
            let stream = connect(context, &request).await?;
            // Another response may have changed the replica's state while this request waited for its
            // connection.
            check_eligible(context, &request)?;
            stream
        }
    };
    // The process may have been suspended since the deadline was set; nothing has been sent yet.
    if clock::now().reached(request.deadline) {
        return Err(ExchangeError::Unsent {
            reason: "deadline passed".to_owned(),
            is_refused: false,
        });
    }
    // The request may have waited for a slot, a retry or a connection since it was last checked. Nothing may
    // suspend this task between here and the write.
    if let Some(caller) = request.caller {
        check_caller(context, caller).map_err(|notice| ExchangeError::Denied { notice })?;
    }
    if let Some(stage) = request.stage {
        context.metrics.count_arrival(stage);
    }
    if request.has_permit {
        context.metrics.count_limited_arrival(&replica.id);
    }
    let deadline = request.deadline;
    until(deadline, send_and_read(context, stream, request, is_fresh))
        .await
        .ok_or(ExchangeError::Deadline)?
}

/// Checks that the replica is eligible: it requested no backoff, is not leaving (for callers' requests), and
/// there is a permit if it reports a rate limit.
fn check_eligible(context: &GatewayContext, request: &UpstreamRequest<'_>) -> Result<(), ExchangeError> {
    let (record, now) = (request.replica, clock::now());
    let is_withheld = context.with_selector(|selector| {
        if request.stage.is_some() {
            selector.is_withheld(record, now)
        } else {
            selector.backoff_until(record, now).is_some()
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

/// Reason of requests that find no descriptor for a connection to their replica.
const NO_REPLICA_SOCKET: &str = "no_replica_socket";

async fn connect(
    context: &GatewayContext,
    request: &UpstreamRequest<'_>,
) -> Result<HttpStream, ExchangeError> {
    let shares = context.socket_shares();
    let reserve = || context.replica_sockets.reserve(&request.replica.service, &shares);
    let permit = reserve().or_else(|| {
        context.pool.clear();
        reserve()
    });
    let Some(permit) = permit else {
        context.record_closed(NO_REPLICA_SOCKET);
        return Err(ExchangeError::Withheld);
    };
    let began_at = clock::now();
    let connect_by = request.deadline.min(began_at.after_ms(CONNECT_TIMEOUT_MS));
    let connected = HttpStream::connect(request.replica.address, connect_by).await;
    let mut stream = connected.map_err(|error| ExchangeError::Unsent {
        reason: error.to_string(),
        is_refused: error.is_connection_refused(),
    })?;
    stream.hold_permit(permit);
    limit_buffers(
        stream.socket(),
        Some(SOCKET_BUFFER_BYTES),
        Some(SOCKET_BUFFER_BYTES),
    );
    if let Some(settle_ms) = request.choice.settle_ms() {
        let connected_at = clock::now();
        let settle_ms = began_at.until_ms(connected_at) + settle_ms;
        // No request was sent yet, so anything that arrives makes the connection unusable.
        if until(connected_at.after_ms(settle_ms), stream.fill())
            .await
            .is_some()
        {
            return Err(ExchangeError::Unsent {
                reason: "the replica closed the new connection".to_owned(),
                is_refused: false,
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
    let contact = match request.choice {
        ConnectionChoice::Watched => ReplicaContact::Shown,
        _ if is_fresh => ReplicaContact::Assumed,
        _ => ReplicaContact::Earlier,
    };
    let lost = |error: StreamError| ExchangeError::Lost {
        reason: error.to_string(),
        is_disconnect: error.is_connection_lost(),
        contact,
    };
    let asked_at = clock::now();
    let segments = || request.body.into_iter().flat_map(|body| body.segments());
    let body_bytes = segments().map(<[u8]>::len).sum::<usize>();
    let mut upload = match request.body {
        Some(body) if body_bytes > SMALL_BODY_BYTES => {
            let head = std::mem::take(&mut request.head);
            begin_upload(context, stream.socket(), head, body)
        }
        _ => {
            segments().for_each(|segment| request.head.extend_from_slice(segment));
            BodyUpload::ended(stream.write(&request.head).await)
        }
    };
    // A replica that closed the connection may have sent a response before.
    let reading = stream.read_response(ANSWER_HEAD_LIMITS);
    let mut head = match upload.run_beside(reading).await {
        Ok(head) => head,
        Err(error) => return Err(lost(upload.failure().map_or(error, StreamError::from))),
    };
    for _ in 0..=MAX_STRAY_ANSWERS {
        let facts = context.protocol.read_answer(&head);
        let is_own = match facts.request_id.as_deref() {
            _ if request.request_id.is_empty() => true,
            Some(id) => id == request.request_id,
            // A reused connection may carry a second response to an earlier request.
            None => is_fresh,
        };
        record_replica_state(context, request.replica, &facts, is_own);
        let framing = frame_response(&head, request.method).map_err(|error| lost(error.into()))?;
        let mut decoder = BodyDecoder::new(framing);
        let is_stray = facts.request_id.is_some() && !is_own;
        if !is_stray {
            report_rate_limit(context, &request, &facts, is_own, asked_at);
            let may_keep = !request.choice.is_dedicated()
                && head.keeps_connection()
                && framing != BodyFraming::UntilClose;
            let is_checked = framing == BodyFraming::UntilClose
                && matches!(request.stage, Some(RunStage::Call | RunStage::Decode));
            return Ok(UpstreamAnswer {
                head,
                facts,
                is_own,
                framing,
                witness: is_checked.then(|| WitnessConnection::open(request.replica)),
                stream,
                decoder,
                upload,
                may_keep,
            });
        }
        // This is a late response to an earlier request; it is skipped.
        let reading = stream.read_complete_body(&mut decoder, MAX_STRAY_BYTES);
        upload.run_beside(reading).await.map_err(lost)?;
        if framing == BodyFraming::UntilClose {
            break;
        }
        let reading = stream.read_response(ANSWER_HEAD_LIMITS);
        head = upload.run_beside(reading).await.map_err(lost)?;
    }
    Err(ExchangeError::Lost {
        reason: "answers to other requests".to_owned(),
        is_disconnect: false,
        contact: ReplicaContact::Shown,
    })
}

/// Begins to send a long body, through a send buffer that is enlarged if there is memory for it.
fn begin_upload(
    context: &GatewayContext,
    socket: &TcpStream,
    head: Vec<u8>,
    body: &Arc<CallerBody>,
) -> BodyUpload {
    let mut share = context.memory.share(MemoryKind::Upstream);
    let send_bytes = match share.grow_to(2 * LONG_SEND_BYTES) {
        true => LONG_SEND_BYTES,
        false => SOCKET_BUFFER_BYTES,
    };
    limit_buffers(socket, Some(send_bytes), None);
    BodyUpload::begin(socket.clone(), head, body.clone(), share)
}

/// Sends a request that has a small response, and reads the complete response.
pub async fn exchange_small(
    context: &GatewayContext,
    request: UpstreamRequest<'_>,
) -> Result<(ResponseHead, AnswerFacts, Vec<u8>), ExchangeError> {
    /// Longest body of such a response, in bytes.
    const SMALL_ANSWER_BYTES: usize = 64 * 1024;
    let replica = request.replica.id.clone();
    let deadline = request.deadline;
    let mut answer = exchange(context, request).await?;
    let read = until(deadline, answer.read_up_to(SMALL_ANSWER_BYTES)).await;
    let (body, is_complete) = read
        .ok_or(ExchangeError::Deadline)?
        .map_err(|error| ExchangeError::Lost {
            reason: error.to_string(),
            is_disconnect: error.is_connection_lost(),
            contact: ReplicaContact::Shown,
        })?;
    if !is_complete {
        return Err(ExchangeError::Lost {
            reason: "answer too long".to_owned(),
            is_disconnect: false,
            contact: ReplicaContact::Shown,
        });
    }
    let (head, facts) = (answer.head.clone(), answer.facts.clone());
    answer.release(context, &replica);
    Ok((head, facts, body))
}
