//! Routes callers' requests by method and path.

use std::future::Future;
use std::net::Shutdown;
use std::pin::pin;
use std::sync::Arc;

use async_std::net::TcpStream;
use futures::future::{Either, select};
use http_types::{Method, Request, Response};
use serde::Deserialize;

use super::answer::{json_response, refusal_response, text_response};
use super::last_answer::{leaving_notice, wait_for_exit, wait_for_last_run};
use super::{TrafficContext, call, generate, key};
use crate::clock;
use crate::controllers::resolve::rank_entries;
use crate::prelude::*;
use crate::reports;

/// Limit for a caller's path in log lines and responses, in characters; callers can send paths of any length.
const DETAIL_LIMIT: usize = 200;

/// Retry-After of a node that has reached its limit of active requests, in milliseconds.
const FULL_RETRY_MS: u64 = 1_000;

/// The query parameters of `/v1/resolve`: the caller's zone and name.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ResolveQuery {
    zone: Option<String>,
    caller: String,
}

/// Handles one request; refusals are counted and logged.
pub async fn answer_request(context: &Arc<TrafficContext>, socket: &TcpStream, request: Request) -> Response {
    let path = request.url().path().to_owned();
    let method = request.method();
    let result = match (method, path.as_str()) {
        (Method::Get, "/v1/resolve") => resolve(context, &request),
        (Method::Get, "/v1/status") => Ok(json_response(200, &reports::status(context))),
        (Method::Get, "/v1/report") => Ok(text_response(reports::short_report(context))),
        (Method::Get, "/metrics") => Ok(text_response(context.metrics.render(&context.control))),
        (Method::Post, "/v1/cancel") => generate::cancel(context, request).await,
        (Method::Post, "/v1/keys/revoke") => key::revoke_key(context, request).await,
        (Method::Post, "/v1/generate" | "/v1/call" | "/v1/keys") => {
            serve_work(context, socket, request, &path).await
        }
        _ => {
            let detail: String = format!("{method} {path}").chars().take(DETAIL_LIMIT).collect();
            Err(RefusalNotice::new(ResultCode::UnknownPath, detail))
        }
    };
    result.unwrap_or_else(|notice| {
        context.metrics.count_refusal(&notice);
        spdlog::info!(
            "event=refused code={} reason={} route={}",
            notice.code.number(),
            notice.code.entry().name,
            path.chars().take(DETAIL_LIMIT).collect::<String>()
        );
        if leaves_body_unread(notice.code) {
            // The rest of the body is discarded; it may be of any length.
            let _ = socket.shutdown(Shutdown::Read);
        }
        refusal_response(&notice)
    })
}

fn leaves_body_unread(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::BodyTooLarge | ResultCode::BodyTooSlow | ResultCode::Leaving | ResultCode::Overloaded
    )
}

/// Refuses new work on a draining node, but only once all answers of `/v1/resolve` that name it have expired
/// at callers.
pub fn refuse_when_leaving(context: &TrafficContext) -> Result<(), RefusalNotice> {
    let accept_until = context.snapshot().accept_until;
    if accept_until.is_none_or(|until| !clock::now().reached(until)) {
        return Ok(());
    }
    Err(leaving_notice(context, ResultCode::Leaving))
}

fn refuse_when_full(context: &TrafficContext) -> Result<(), RefusalNotice> {
    if context.control.active_requests() < context.settings.request_limit as u64 {
        return Ok(());
    }
    let mut notice = RefusalNotice::new(ResultCode::Overloaded, "").retry_after_ms(FULL_RETRY_MS);
    notice.use_instead = context.other_entries("");
    Err(notice)
}

/// Serves a request that does work, unless this node is draining or has reached its request limit.
async fn serve_work(
    context: &Arc<TrafficContext>,
    socket: &TcpStream,
    request: Request,
    path: &str,
) -> Result<Response, RefusalNotice> {
    if path == "/v1/call" {
        refuse_when_full(context).map_err(RefusalNotice::in_doubt)?;
    } else {
        refuse_when_full(context)?;
        refuse_when_leaving(context)?;
    }
    let _guard = context.control.track_request();
    match path {
        "/v1/generate" => {
            // A generation that is resumed has run before.
            let is_resumed = request.header("last-event-id").is_some();
            let serving = pin!(generate::generate(context, socket, request));
            answer_before(serving, pin!(wait_for_exit(context)))
                .await
                .map_err(|notice| match is_resumed && notice.code == ResultCode::Leaving {
                    true => notice.in_doubt(),
                    false => notice,
                })
        }
        "/v1/call" => {
            let serving = pin!(call::call(context, request));
            answer_before(serving, pin!(wait_for_last_run(context))).await
        }
        _ => {
            let serving = pin!(key::issue_key(context, request));
            answer_before(serving, pin!(wait_for_exit(context))).await
        }
    }
}

/// Serves a request; the notice is its answer if the process exits first.
async fn answer_before(
    serving: impl Future<Output = Result<Response, RefusalNotice>> + Unpin,
    exiting: impl Future<Output = RefusalNotice> + Unpin,
) -> Result<Response, RefusalNotice> {
    match select(serving, exiting).await {
        Either::Left((result, _)) => result,
        Either::Right((notice, _)) => Err(notice),
    }
}

/// Answers with entry addresses for a caller and the time until which it may cache them.
fn resolve(context: &Arc<TrafficContext>, request: &Request) -> Result<Response, RefusalNotice> {
    let query: ResolveQuery = request
        .query()
        .map_err(|error| RefusalNotice::new(ResultCode::BadRequestLine, error.to_string()))?;
    let snapshot = context.snapshot();
    let addresses = rank_entries(&snapshot.live_vms, query.zone.as_deref(), &query.caller);
    if addresses.is_empty() {
        return Err(RefusalNotice::new(ResultCode::Leaving, "no entry is staying").retry_after_ms(1_000));
    }
    let now_ms = clock::epoch_ms();
    let addresses: Vec<&str> = addresses.iter().map(|address| &**address).collect();
    Ok(json_response(
        200,
        &serde_json::json!({
            "addresses": addresses,
            "now_ms": now_ms,
            "keep_until_ms": now_ms + context.settings.resolve_keep_ms,
        }),
    ))
}
