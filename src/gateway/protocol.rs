//! The trait that hides the names of headers and fields on the wire; an adapter for each platform implements
//! it.

use std::net::SocketAddr;

use crate::blackboard::{ReplicaLoad, ReplicaRecord, RequestRate};
use crate::controllers::rebalance::RoleOrder;
use crate::http::{RequestHead, ResponseHead};
use crate::register::KeyDigest;

/// The API key in a caller's request. A key is known by its digest only, so that it can't get into logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallerCredential {
    /// The request carries no key.
    #[default]
    Absent,
    /// The request carries one key, which has this digest.
    Key(KeyDigest),
    /// The request carries an empty key, or several.
    Malformed,
}

/// What a replica is told about the workspace that a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkspaceHeader<'a> {
    /// The configuration lists no workspaces; the caller's headers are forwarded like any others.
    Unmanaged,
    /// The request belongs to no workspace; the caller's own headers about keys and workspaces are removed.
    Anonymous,
    /// The request belongs to the workspace of this name, which replaces the caller's own headers.
    Named(&'a str),
}

/// What the head of a caller's request states.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// The caller's id for this attempt; empty if it sent none.
    pub id: String,
    /// How long the caller waits for the answer, in milliseconds; `None` if it sent no deadline.
    pub wait_ms: Option<u64>,
    /// Number of tokens in the prompt; zero if the caller sent no counts.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate; zero if the caller sent no counts.
    pub output_tokens: u32,
    /// Number of tokens that the caller expects to be generated; `None` if it sent no estimate.
    pub expected_tokens: Option<u32>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Name of the model; empty if the caller named none.
    pub model: String,
    /// Ids of the parts that the prompt consists of, in order, without the last one, which belongs to the
    /// request or its session.
    pub shared_parts: Vec<String>,
    /// The caller's credentials as sent; empty if there are none. They are part of the fingerprint.
    pub credentials: Vec<u8>,
    /// The caller's API key, which is not part of the fingerprint, since replicas don't see it.
    pub api_key: CallerCredential,
}

/// Identifies the KV cache of a prefilled prompt at its engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvTicket {
    /// Address of the engine that holds the KV cache.
    pub engine: SocketAddr,
    /// The handle that the engine returned for it.
    pub handle: String,
}

/// What a request is sent to a replica for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPurpose<'a> {
    /// To answer it, without a prefill at another engine.
    Run,
    /// To run its prompt only.
    Prefill,
    /// To answer it from the KV cache of a prompt that another engine ran.
    Decode(&'a KvTicket),
}

/// How a request is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct SendOrder<'a> {
    /// The replica that must run the request; any other one rejects it as misdirected.
    pub replica: &'a ReplicaRecord,
    /// What the replica is to do with the request.
    pub purpose: SendPurpose<'a>,
    /// How long the replica may work on the request, in milliseconds.
    pub limit_ms: u64,
    /// Length of the body in bytes; `None` if the request has no body.
    pub body_bytes: Option<usize>,
    /// Id of the last event that the caller was sent, if a stream is resumed; replaces the caller's own
    /// header.
    pub last_event: Option<u64>,
    /// Whether the connection may be reused; if not, the head asks the replica to close it.
    pub keeps_connection: bool,
    /// The workspace that the replica is told.
    pub workspace: WorkspaceHeader<'a>,
}

/// What the head of a replica's answer states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Id of the request that is answered; `None` if the answer has none.
    pub request_id: Option<String>,
    /// Whether the answer has a signature header, which marks it as the replica's own; the value is not
    /// checked.
    pub is_signed: bool,
    /// Whether the replica states that it has not run the request.
    pub is_not_run: bool,
    /// Whether a replica rejected the request because it is meant for another one.
    pub is_misdirected: bool,
    /// The load that the replica reports; `None` if it reports none.
    pub load: Option<ReplicaLoad>,
    /// Whether the replica reports that it is about to shut down.
    pub is_leaving: bool,
    /// The backoff that the replica requests (`Retry-After`), in milliseconds; only set if it refused the
    /// request.
    pub backoff_ms: Option<u64>,
    /// The rate limit that the replica reports; it applies to the requests of all VMs together.
    pub rate_limit: ReportedLimit,
    /// Id of the replica that answered, as its health check reports it; `None` if the answer does not name
    /// it.
    pub instance: Option<String>,
    /// Reported attributes that the adapter does not know, and a rate limit that it cannot parse.
    pub unknown_attributes: Vec<UnknownAttribute>,
}

/// The rate limit that an answer reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedLimit {
    /// The answer reports no limit.
    Absent,
    /// The answer reports several limits, or one that is no valid rate.
    Invalid,
    /// The answer reports a valid rate.
    Named(RequestRate),
}

/// An attribute in a replica's answer that the adapter does not know or cannot parse.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownAttribute {
    /// Its header name, in lower case.
    pub name: String,
    /// Its value as sent; invalid UTF-8 is replaced.
    pub value: String,
}

/// Translates between the gateway's types and one platform's headers and bodies.
pub trait WireProtocol: Send + Sync {
    /// Parses the head of a caller's request.
    fn read_request(&self, head: &RequestHead) -> RequestFacts;

    /// Writes the head of a caller's request for a replica.
    fn write_request(&self, head: &RequestHead, order: &SendOrder<'_>) -> Vec<u8>;

    /// Parses the head of a replica's answer.
    fn read_answer(&self, head: &ResponseHead) -> AnswerFacts;

    /// Whether a header of a replica's answer is forwarded to the caller.
    fn is_for_caller(&self, header: &str) -> bool;

    /// Parses the body of a prefill's answer; `None` if it has no handle.
    fn read_prefill(&self, engine: SocketAddr, body: &[u8]) -> Option<KvTicket>;

    /// Writes a complete request that frees the KV cache of a prompt.
    fn write_ticket_release(&self, ticket: &KvTicket) -> Vec<u8>;

    /// Writes a complete request for a replica's health check.
    fn write_health_check(&self, replica: &ReplicaRecord, path: &str) -> Vec<u8>;

    /// Writes a complete request that moves an engine to the other pool; `holder` is the VM that sends the
    /// order.
    fn write_role_order(&self, replica: &ReplicaRecord, order: &RoleOrder, holder: &str) -> Vec<u8>;

    /// Writes the body of a directory answer; callers may cache the addresses for `keep_ms` milliseconds.
    fn write_addresses(&self, addresses: &[&str], keep_ms: u64) -> Vec<u8>;
}
