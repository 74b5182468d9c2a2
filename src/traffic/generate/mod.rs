//! Generations: prefill on one engine, transfer of the KV cache to a decode engine, and the stream of tokens
//! to the caller.

mod attempt;
mod engine;
mod placement;
mod session;
mod token;

use std::sync::Arc;

use async_std::channel::{Receiver, bounded};
use async_std::net::TcpStream;
use futures::{StreamExt, TryStreamExt};
use http_types::{Body, Request, Response, StatusCode};

use super::TrafficContext;
use super::caller_watch::wait_for_disconnect;
use super::request::{CancelBody, GenerateBody, GenerateWork, read_json};
use crate::clock;
use crate::prelude::*;
use attempt::StreamSource;
use placement::Placement;
use session::StreamSession;
use token::ResumeToken;

/// Limit for the events queued for a slow caller; a full queue applies backpressure to the engine's stream.
const EVENT_QUEUE_CAPACITY: usize = 16;

/// Handles a request to `/v1/generate`; with `Last-Event-Id` the stream continues after that event.
pub async fn generate(
    context: &Arc<TrafficContext>,
    socket: &TcpStream,
    mut request: Request,
) -> Result<Response, RefusalNotice> {
    let body: GenerateBody = read_json(context, &mut request).await?;
    let work = GenerateWork::check(body, &context.snapshot())?;
    let resume = request
        .header("last-event-id")
        .map(|values| ResumeToken::decode(values.last().as_str(), &work, &context.settings.shared_key))
        .map(|token| token.ok_or_else(|| RefusalNotice::new(ResultCode::BadResumeToken, "")))
        .transpose()?;
    let work = Arc::new(work);
    let accepted_at = clock::now();
    let source = open_source(context, socket, &work, resume.as_ref()).await?;
    let skip = resume.map_or(0, |token| token.next_offset);
    let (sender, events) = bounded(EVENT_QUEUE_CAPACITY);
    let session = StreamSession::new(context, &work, sender, skip, accepted_at);
    let socket = socket.clone();
    async_std::task::spawn(async move { session.run(source, socket).await });
    Ok(stream_response(events))
}

/// Attaches to the running stream if the caller sent a valid resume token; places the request anew otherwise.
async fn open_source(
    context: &Arc<TrafficContext>,
    socket: &TcpStream,
    work: &Arc<GenerateWork>,
    resume: Option<&ResumeToken>,
) -> Result<StreamSource, RefusalNotice> {
    if let Some(token) = resume
        && let Some(attached) = engine::attach_by_token(context, token, work.deadline).await
    {
        context.metrics.count_resumed_stream();
        return Ok(attached);
    }
    let placing = std::pin::pin!(Placement::acquire(context, work, &[], false));
    let disconnecting = std::pin::pin!(wait_for_disconnect(socket));
    match futures::future::select(placing, disconnecting).await {
        futures::future::Either::Left((placement, _)) => Ok(StreamSource::Placed(placement?)),
        futures::future::Either::Right(_) => Err(RefusalNotice::new(
            ResultCode::Cancelled,
            "the caller went away while it waited",
        )),
    }
}

fn stream_response(events: Receiver<Vec<u8>>) -> Response {
    let reader = events.map(Ok::<_, std::io::Error>).into_async_read();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "text/event-stream");
    response.insert_header("cache-control", "no-store");
    response
}

/// Handles a request to `/v1/cancel`: cancels a generation on the engine named by its last event id.
pub async fn cancel(context: &Arc<TrafficContext>, mut request: Request) -> Result<Response, RefusalNotice> {
    let body: CancelBody = read_json(context, &mut request).await?;
    let work = GenerateWork::check(body.request, &context.snapshot())?;
    let token = ResumeToken::decode(&body.token, &work, &context.settings.shared_key)
        .ok_or_else(|| RefusalNotice::new(ResultCode::BadResumeToken, ""))?;
    let is_done = engine::cancel(context, &token.engine, &token.request).await;
    Ok(super::answer::json_response(
        200,
        &serde_json::json!({ "cancelled": is_done }),
    ))
}
