//! Reads and writes the platform's headers and small bodies.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::blackboard::{ReplicaLoad, ReplicaRecord, RequestRate};
use crate::controllers::rebalance::RoleOrder;
use crate::gateway::{
    AnswerFacts, CallerCredential, KvTicket, ReportedLimit, RequestFacts, SendOrder, SendPurpose,
    UnknownAttribute, WireProtocol, WorkspaceHeader,
};
use crate::http::{HeadWriter, RequestHead, ResponseHead, is_hop_by_hop};
use crate::register::{EngineRole, KeyDigest};

const REQUEST_ID: &str = "X-Request-Id";
/// Milliseconds for which the sender will still wait for the answer; a duration, not a point in time.
const REMAINING_MS: &str = "X-Deadline-Ms";
/// The number of prompt tokens and the most tokens to generate, separated by a comma.
const TOKEN_COUNTS: &str = "X-Token-Count";
/// The caller's estimate of the number of tokens to be generated.
const EXPECTED_TOKENS: &str = "X-Length-Hint";
const MODEL: &str = "X-Model-Name";
/// The parts of the prompt as id:tokens, separated by commas; the last belongs to the request or its session.
const PROMPT_PARTS: &str = "X-Prompt-Prefix";
const LAST_EVENT: &str = "Last-Event-Id";
const CREDENTIALS: &str = "Authorization";
/// The caller's API key, as the whole value; never forwarded where the configuration lists workspaces.
pub const API_KEY: &str = "X-Key";
/// The name of the workspace that the request belongs to, for the replica.
const WORKSPACE: &str = "X-Tenant-Id";
/// The id of the replica that the request is meant for; another replica answers 421.
const EXPECTED_REPLICA: &str = "X-Expect-Instance";
const PHASE: &str = "X-Serving-Phase";
/// The location of a prefilled prompt, as address/handle.
const KV_SOURCE: &str = "X-Kv-Source";
const SIGNATURE: &str = "X-Response-Signature";
const NOT_EXECUTED: &str = "X-Not-Executed";
/// Running requests, waiting requests, slots and, optionally, the processing time in percent of the usual
/// one, separated by commas.
const LOAD: &str = "X-Server-Load";
/// Set to 1 by a replica that is about to leave; it still finishes the requests that it has begun.
const LEAVING: &str = "Server-Leaving";
/// The backoff in seconds, possibly fractional, that a replica requests from the VM that it refused.
const RETRY_AFTER: &str = "Retry-After";
/// Requests per second, possibly fractional, that a replica accepts from all VMs together.
const RATE_LIMIT: &str = "Server-Limit";
/// The id of the replica that answered a health check.
const INSTANCE: &str = "X-Instance-Id";

/// Prefixes of the headers in which a replica reports its attributes.
const ATTRIBUTE_PREFIXES: [&str; 2] = ["server-", "x-server-"];

/// The attributes that this version understands.
const KNOWN_ATTRIBUTES: [&str; 3] = [LOAD, LEAVING, RATE_LIMIT];

/// The status with which a replica refuses a request meant for another one.
const MISDIRECTED_STATUS: u16 = 421;

/// The status with which a replica refuses a request; `Retry-After` is ignored with any other status.
const REFUSED_STATUS: u16 = 503;

/// Upper bound on a replica's reported requests and slots.
const MAX_REQUESTS: u32 = 1_000_000;

/// The processing time of a replica that does not report it, in percent of the usual one.
const DEFAULT_PACE_PERCENT: u32 = 100;

/// Upper bound on a replica's reported processing time, in percent of the usual one.
const MAX_PACE_PERCENT: u32 = 100_000;

/// Headers that only the gateway sets; those sent by callers are dropped.
const GATEWAY_HEADERS: [&str; 11] = [
    REMAINING_MS,
    EXPECTED_REPLICA,
    PHASE,
    KV_SOURCE,
    "X-Kv-Hold",
    "X-Expect-Version",
    "X-Pin-Ms",
    "X-Request-Priority",
    "X-Kv-Backup",
    "Kv-Fetch",
    "Expect",
];

/// Response headers that are not passed on to callers.
const INTERNAL_HEADERS: [&str; 2] = [LOAD, NOT_EXECUTED];

/// The platform's HTTP headers and bodies, as a [`WireProtocol`].
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformProtocol;

impl WireProtocol for PlatformProtocol {
    fn read_request(&self, head: &RequestHead) -> RequestFacts {
        let counts = head.headers.text(TOKEN_COUNTS).unwrap_or_default();
        let mut counts = counts
            .split(',')
            .map(|count| count.trim().parse().unwrap_or_default());
        RequestFacts {
            id: head.headers.text(REQUEST_ID).unwrap_or_default().to_owned(),
            wait_ms: head.headers.number(REMAINING_MS),
            prompt_tokens: counts.next().unwrap_or_default(),
            output_tokens: counts.next().unwrap_or_default(),
            expected_tokens: head.headers.number(EXPECTED_TOKENS).map(|count| count as u32),
            last_event: head.headers.number(LAST_EVENT),
            model: head.headers.text(MODEL).unwrap_or_default().to_owned(),
            shared_parts: read_shared_parts(head.headers.text(PROMPT_PARTS).unwrap_or_default()),
            credentials: head.headers.get(CREDENTIALS).unwrap_or_default().to_vec(),
            api_key: read_api_key(head),
        }
    }

    fn write_request(&self, head: &RequestHead, order: &SendOrder<'_>) -> Vec<u8> {
        let is_managed = order.workspace != WorkspaceHeader::Unmanaged;
        let mut writer = HeadWriter::request(&head.method, &head.target);
        for (name, value) in head.headers.iter() {
            let is_replaced = (order.last_event.is_some() && is_same_name(name, LAST_EVENT))
                || (is_managed && (is_same_name(name, API_KEY) || is_same_name(name, WORKSPACE)));
            if !is_dropped(head, name) && !is_replaced {
                writer.add_line(name, value);
            }
        }
        if let WorkspaceHeader::Named(workspace) = order.workspace {
            writer = writer.display(WORKSPACE, workspace);
        }
        if let Some(event) = order.last_event {
            writer = writer.display(LAST_EVENT, event);
        }
        if let Some(bytes) = order.body_bytes {
            writer = writer.display("Content-Length", bytes);
        }
        if !order.keeps_connection {
            writer = writer.line("Connection", b"close");
        }
        writer = writer
            .display(REMAINING_MS, order.limit_ms)
            .display(EXPECTED_REPLICA, &order.replica.id);
        writer = match order.purpose {
            SendPurpose::Run => writer,
            SendPurpose::Prefill => writer.line(PHASE, b"prefill"),
            SendPurpose::Decode(ticket) => writer.display(KV_SOURCE, format_kv_source(ticket)),
        };
        writer.finish()
    }

    fn read_answer(&self, head: &ResponseHead) -> AnswerFacts {
        let is_misdirected = head.status == MISDIRECTED_STATUS;
        let rate_limit = read_limit(head);
        AnswerFacts {
            request_id: head.headers.text(REQUEST_ID).map(str::to_owned),
            is_signed: head.headers.contains(SIGNATURE),
            is_not_run: head.headers.contains(NOT_EXECUTED) || is_misdirected,
            is_misdirected,
            load: head.headers.text(LOAD).and_then(read_load),
            is_leaving: head.headers.text(LEAVING).is_some_and(|text| text.trim() == "1"),
            backoff_ms: head
                .headers
                .text(RETRY_AFTER)
                .filter(|_| head.status == REFUSED_STATUS)
                .and_then(parse_seconds_as_ms),
            rate_limit,
            instance: head.headers.text(INSTANCE).map(str::to_owned),
            unknown_attributes: find_unknown_attributes(head, rate_limit),
        }
    }

    fn is_for_caller(&self, header: &str) -> bool {
        !is_hop_by_hop(header)
            && !INTERNAL_HEADERS
                .iter()
                .any(|internal| is_same_name(header, internal))
    }

    fn read_prefill(&self, engine: SocketAddr, body: &[u8]) -> Option<KvTicket> {
        #[derive(Deserialize)]
        #[serde(rename_all = "camelCase")]
        struct PrefillFields {
            kv_handle: String,
        }
        let fields: PrefillFields = serde_json::from_slice(body).ok()?;
        Some(KvTicket {
            engine,
            handle: fields.kv_handle,
        })
    }

    fn write_ticket_release(&self, ticket: &KvTicket) -> Vec<u8> {
        write_delete(ticket.engine, &format!("/kv-handle/{}", ticket.handle))
    }

    fn write_health_check(&self, replica: &ReplicaRecord, path: &str) -> Vec<u8> {
        HeadWriter::request("GET", path)
            .display("Host", replica.address)
            .display(EXPECTED_REPLICA, &replica.id)
            .line("Connection", b"close")
            .finish()
    }

    fn write_role_order(&self, replica: &ReplicaRecord, order: &RoleOrder, holder: &str) -> Vec<u8> {
        let phase = match order.role {
            EngineRole::Prefill => "prefill",
            EngineRole::Decode => "decode",
        };
        let body = serde_json::json!({
            "opcode": "phase",
            "phase": phase,
            "holder": holder,
            "fencingToken": order.fencing_token,
        })
        .to_string();
        let mut request = HeadWriter::request("POST", "/order")
            .display("Host", replica.address)
            .display(EXPECTED_REPLICA, &replica.id)
            .line("Content-Type", b"application/json")
            .display("Content-Length", body.len())
            .line("Connection", b"close")
            .finish();
        request.extend_from_slice(body.as_bytes());
        request
    }

    fn write_addresses(&self, addresses: &[&str], keep_ms: u64) -> Vec<u8> {
        let keep_s = keep_ms as f64 / 1_000.0;
        serde_json::json!({ "addresses": addresses, "ttlS": keep_s })
            .to_string()
            .into_bytes()
    }
}

fn read_api_key(head: &RequestHead) -> CallerCredential {
    let mut lines = head.headers.all(API_KEY);
    match (lines.next(), lines.next()) {
        (None, _) => CallerCredential::Absent,
        (Some(key), None) if !key.is_empty() => CallerCredential::Key(KeyDigest::of(key)),
        (Some(_), _) => CallerCredential::Malformed,
    }
}

/// The ids of all parts but the last.
fn read_shared_parts(text: &str) -> Vec<String> {
    let mut ids: Vec<String> = text
        .split(',')
        .map(|part| part.split(':').next().unwrap_or(part).trim().to_ascii_lowercase())
        .collect();
    ids.pop();
    ids.retain(|id| !id.is_empty());
    ids
}

fn read_limit(head: &ResponseHead) -> ReportedLimit {
    let mut lines = head.headers.all(RATE_LIMIT);
    match (lines.next(), lines.next()) {
        (None, _) => ReportedLimit::Absent,
        (Some(line), None) => {
            let text = std::str::from_utf8(line).unwrap_or_default();
            let rate = text.trim().parse().ok().and_then(RequestRate::from_per_second);
            rate.map_or(ReportedLimit::Invalid, ReportedLimit::Named)
        }
        (Some(_), Some(_)) => ReportedLimit::Invalid,
    }
}

/// Attributes that this version does not understand, and an invalid limit.
fn find_unknown_attributes(head: &ResponseHead, rate_limit: ReportedLimit) -> Vec<UnknownAttribute> {
    let is_invalid_limit =
        |name: &str| rate_limit == ReportedLimit::Invalid && is_same_name(name, RATE_LIMIT);
    let is_unknown = |name: &str| {
        let has_prefix = |prefix: &&str| {
            let start = name.get(..prefix.len());
            start.is_some_and(|start| start.eq_ignore_ascii_case(prefix))
        };
        ATTRIBUTE_PREFIXES.iter().any(has_prefix)
            && !KNOWN_ATTRIBUTES.iter().any(|known| is_same_name(name, known))
    };
    let lines = head.headers.iter();
    let unknown = lines.filter(|(name, _)| is_unknown(name) || is_invalid_limit(name));
    unknown
        .map(|(name, value)| UnknownAttribute {
            name: name.to_ascii_lowercase(),
            value: String::from_utf8_lossy(value).into_owned(),
        })
        .collect()
}

fn write_delete(address: SocketAddr, target: &str) -> Vec<u8> {
    HeadWriter::request("DELETE", target)
        .display("Host", address)
        .line("Connection", b"close")
        .finish()
}

fn format_kv_source(ticket: &KvTicket) -> String {
    format!("{}/{}", ticket.engine, ticket.handle)
}

fn is_same_name(name: &str, other: &str) -> bool {
    name.eq_ignore_ascii_case(other)
}

/// Whether a caller's header is not forwarded to replicas.
fn is_dropped(head: &RequestHead, name: &str) -> bool {
    is_hop_by_hop(name)
        || is_same_name(name, "content-length")
        || GATEWAY_HEADERS.iter().any(|own| is_same_name(name, own))
        || (!is_same_name(name, "host") && head.headers.has_token("connection", name))
}

/// Parses a span in seconds and returns milliseconds, rounded up; `None` for anything else, such as a date.
fn parse_seconds_as_ms(text: &str) -> Option<u64> {
    let span_s: f64 = text.trim().parse().ok()?;
    (span_s.is_finite() && span_s > 0.0).then_some((span_s * 1_000.0).ceil() as u64)
}

fn read_load(text: &str) -> Option<ReplicaLoad> {
    let mut values = text.split(',').map(|value| value.trim().parse::<u32>().ok());
    let mut next_count = || Some(values.next()??.min(MAX_REQUESTS));
    let (running, waiting, slots) = (next_count()?, next_count()?, next_count()?);
    let pace_percent = values.next().flatten().unwrap_or(DEFAULT_PACE_PERCENT);
    Some(ReplicaLoad {
        running,
        waiting,
        slots,
        pace_percent: pace_percent.min(MAX_PACE_PERCENT),
    })
}
