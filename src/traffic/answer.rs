//! Builds the responses to callers: JSON, plain text and refusals.

use http_types::{Response, StatusCode};
use serde_json::Value;

use crate::prelude::*;

/// The status of a request that the caller aborted. It is not a standard HTTP status, so 400 is sent instead.
const CLOSED_REQUEST_STATUS: u16 = 499;

/// Builds a response with a JSON body.
pub fn json_response(status: u16, value: &Value) -> Response {
    let mut response = Response::new(to_status_code(status));
    response.set_body(value.to_string());
    response.insert_header("content-type", "application/json");
    response
}

/// Builds a response with status 200 and a plain text body.
pub fn text_response(text: String) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(text);
    response.insert_header("content-type", "text/plain; charset=utf-8");
    response
}

/// Builds the response for a refusal, with `Retry-After` rounded up to whole seconds.
pub fn refusal_response(notice: &RefusalNotice) -> Response {
    let mut response = json_response(notice.code.entry().status, &notice.to_json());
    if let Some(span_ms) = notice.retry_after_ms {
        response.insert_header("retry-after", span_ms.div_ceil(1_000).to_string());
    }
    response
}

fn to_status_code(status: u16) -> StatusCode {
    match status {
        CLOSED_REQUEST_STATUS => StatusCode::BadRequest,
        status => StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError),
    }
}
