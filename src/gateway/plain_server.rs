//! Small answers of our own on ports beside the callers': readiness, the directory, metrics.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};

use super::GatewayContext;
use rand::Rng;

use crate::clock;
use crate::controllers::resolve::near_entries;
use crate::http::{BodyDecoder, HeadLimits, HeadWriter, RequestHead, frame_request};
use crate::transport::{HttpStream, StreamError, until};

/// How long a connection may be idle between two questions, in milliseconds.
const IDLE_LIMIT_MS: u64 = 15_000;

/// The longest question, in bytes.
const QUESTION_LIMITS: HeadLimits = HeadLimits { max_bytes: 8 * 1024 };

/// Addresses in one answer of the directory; callers use no more.
const MOST_ADDRESSES: usize = 64;

/// How long to pause when the system takes no more connections.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// An answer of our own.
pub struct PlainAnswer {
    /// The status.
    pub status: u16,
    /// The body's type.
    pub content_type: &'static str,
    /// The body.
    pub body: Vec<u8>,
}

impl PlainAnswer {
    fn text(status: u16, body: &str) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            body: body.as_bytes().to_vec(),
        }
    }

    /// The answer to a question that is not known here.
    pub fn unknown() -> Self {
        Self::text(404, "there is nothing at this path")
    }
}

/// Answers questions with a function, for as long as the process lives.
pub async fn serve_plain(
    context: Arc<GatewayContext>,
    listener: TcpListener,
    answer: fn(&GatewayContext, &RequestHead) -> PlainAnswer,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let context = context.clone();
                async_std::task::spawn(async move {
                    // A questioner that goes away, or sends no HTTP, gets no answer.
                    if let Err(error) = serve_questions(&context, stream, answer).await {
                        spdlog::debug!("event=question_unreadable reason=\"{error}\"");
                    }
                });
            }
            Err(error) => {
                spdlog::warn!("event=accept_failed reason=\"{error}\"");
                async_std::task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_questions(
    context: &GatewayContext,
    stream: TcpStream,
    answer: fn(&GatewayContext, &RequestHead) -> PlainAnswer,
) -> Result<(), StreamError> {
    let mut stream = HttpStream::new(stream);
    loop {
        let deadline = clock::now().after_ms(IDLE_LIMIT_MS);
        let head = until(deadline, stream.read_request(QUESTION_LIMITS)).await;
        let head = head.ok_or(StreamError::Deadline)??;
        let mut decoder = BodyDecoder::new(frame_request(&head)?);
        stream
            .read_complete_body(&mut decoder, QUESTION_LIMITS.max_bytes)
            .await?;
        let reply = answer(context, &head);
        let keeps = head.keeps_connection();
        let mut writer = HeadWriter::response(reply.status)
            .line("Content-Type", reply.content_type.as_bytes())
            .display("Content-Length", reply.body.len());
        if !keeps {
            writer = writer.line("Connection", b"close");
        }
        let mut bytes = writer.finish();
        bytes.extend_from_slice(&reply.body);
        stream.write(&bytes).await?;
        if !keeps {
            return Ok(());
        }
    }
}

/// Answers whether this VM is ready for callers.
pub fn answer_readiness(context: &GatewayContext, head: &RequestHead) -> PlainAnswer {
    if head.path() != "/readiness" {
        return PlainAnswer::unknown();
    }
    let snapshot = context.snapshot();
    match () {
        () if snapshot.accept_until.is_some() => PlainAnswer::text(503, "leaving"),
        () if snapshot.revision == 0 => PlainAnswer::text(503, "no configuration yet"),
        () if snapshot.list_revision == 0 => PlainAnswer::text(503, "no replicas yet"),
        () => PlainAnswer::text(200, "ready"),
    }
}

/// Answers with the metrics.
pub fn answer_metrics(context: &GatewayContext, head: &RequestHead) -> PlainAnswer {
    if head.path() != "/metrics" {
        return PlainAnswer::unknown();
    }
    let text = context
        .metrics
        .render(&context.control, &context.unknown_statements);
    PlainAnswer::text(200, &text)
}

/// Answers which addresses a caller should use.
pub fn answer_directory(context: &GatewayContext, head: &RequestHead) -> PlainAnswer {
    if head.path() != "/resolve" {
        return PlainAnswer::unknown();
    }
    let query = head.target.split_once('?').map_or("", |(_, query)| query);
    let zone = query.split('&').find_map(|pair| pair.strip_prefix("zone="));
    let snapshot = context.snapshot();
    let addresses = near_entries(&snapshot.live_vms, zone, MOST_ADDRESSES, |bound| {
        rand::rng().random_range(0..bound)
    });
    let keep_ms = context.settings().contract.resolve_keep_ms;
    PlainAnswer {
        status: 200,
        content_type: "application/json",
        body: context.protocol.write_addresses(&addresses, keep_ms),
    }
}
