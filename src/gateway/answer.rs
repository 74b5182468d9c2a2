//! Writes answers to callers: the gateway's refusals, and the heads of replicas' answers.

use super::WireProtocol;
use crate::http::{HeadWriter, ResponseHead, has_body};
use crate::prelude::*;

/// Status of the refusal of a request that is quarantined because upstreams crashed under it. The refused
/// attempt has not run, and the request may be retried once the quarantine is over.
const QUARANTINED_STATUS: u16 = 503;

/// Whether a caller's connection stays open after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPersistence {
    /// The connection stays open for another request.
    Keep,
    /// The connection is closed.
    Close,
}

/// Returns the HTTP status of a refusal.
pub fn refusal_status(notice: &RefusalNotice) -> u16 {
    match notice.code {
        ResultCode::Quarantined => QUARANTINED_STATUS,
        code => code.entry().status,
    }
}

/// Writes a complete refusal of a request with this method. A refusal of `HEAD` has no body, only its length.
pub fn write_refusal(notice: &RefusalNotice, method: &str, persistence: ConnectionPersistence) -> Vec<u8> {
    let body = notice.to_json().to_string();
    let status = refusal_status(notice);
    let mut writer = HeadWriter::response(status)
        .line("Content-Type", b"application/json")
        .display("Content-Length", body.len());
    if let Some(span_ms) = notice.retry_after_ms {
        writer = writer.display(
            "Retry-After",
            format_args!("{}.{:03}", span_ms / 1_000, span_ms % 1_000),
        );
    }
    let body = if has_body(method, status) { &body } else { "" };
    finish(writer, persistence, body.as_bytes())
}

/// Writes the head of a replica's complete answer, whose body has this length. An answer to `HEAD` has no body and
/// keeps the replica's `Content-Length`.
pub fn write_answer_head(
    protocol: &dyn WireProtocol,
    head: &ResponseHead,
    body_bytes: Option<usize>,
    persistence: ConnectionPersistence,
) -> Vec<u8> {
    let mut writer = copy_head(protocol, head, body_bytes.is_some());
    if let Some(body_bytes) = body_bytes
        && !matches!(head.status, 204 | 304)
    {
        writer = writer.display("Content-Length", body_bytes);
    }
    finish(writer, persistence, b"")
}

/// Writes the head of a replica's answer that has no body because of the request's method or the answer's status.
pub fn write_bodiless_head(
    protocol: &dyn WireProtocol,
    head: &ResponseHead,
    persistence: ConnectionPersistence,
) -> Vec<u8> {
    finish(copy_head(protocol, head, false), persistence, b"")
}

/// Writes the head of a replica's answer whose body follows in chunks.
pub fn write_chunked_head(
    protocol: &dyn WireProtocol,
    head: &ResponseHead,
    persistence: ConnectionPersistence,
) -> Vec<u8> {
    let writer = copy_head(protocol, head, true).line("Transfer-Encoding", b"chunked");
    finish(writer, persistence, b"")
}

/// Writes the head of a replica's answer to an HTTP/1.0 caller: the end of the connection delimits the body.
pub fn write_closing_head(protocol: &dyn WireProtocol, head: &ResponseHead) -> Vec<u8> {
    finish(copy_head(protocol, head, true), ConnectionPersistence::Close, b"")
}

fn copy_head(protocol: &dyn WireProtocol, head: &ResponseHead, drops_length: bool) -> HeadWriter {
    let mut writer = HeadWriter::response(head.status);
    for (name, value) in head.headers.iter() {
        let is_length = name.eq_ignore_ascii_case("content-length");
        let is_connection_option = head.headers.has_token("connection", name);
        if protocol.is_for_caller(name) && !is_connection_option && !(drops_length && is_length) {
            writer.add_line(name, value);
        }
    }
    writer
}

fn finish(mut writer: HeadWriter, persistence: ConnectionPersistence, body: &[u8]) -> Vec<u8> {
    if persistence == ConnectionPersistence::Close {
        writer.add_line("Connection", b"close");
    }
    let mut bytes = writer.finish();
    bytes.extend_from_slice(body);
    bytes
}
