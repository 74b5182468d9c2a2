//! What callers and upstreams say in headers and small bodies, behind a trait: names on the wire are an adapter's.

use std::net::SocketAddr;

use crate::blackboard::{ReplicaLoad, ReplicaRecord, RequestRate};
use crate::controllers::rebalance::RoleOrder;
use crate::http::{RequestHead, ResponseHead};

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// The caller's id for this attempt; empty where it gave none.
    pub id: String,
    /// How long the caller waits, in milliseconds.
    pub wait_ms: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens to generate.
    pub output_tokens: u32,
    /// Tokens that the caller expects to be generated.
    pub expected_tokens: Option<u32>,
    /// The last event of the stream that the caller has.
    pub last_event: Option<u64>,
    /// What the caller shows to say who it is, as sent; empty where it shows nothing.
    pub credentials: Vec<u8>,
}

/// The KV cache of a prefilled prompt, as its engine keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvTicket {
    /// The engine that keeps it.
    pub engine: SocketAddr,
    /// The engine's name for it.
    pub handle: String,
}

/// What a request is sent to a replica for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPurpose<'a> {
    /// To be answered, without a prefill elsewhere.
    Run,
    /// To have its prompt run, and no more.
    Prefill,
    /// To be answered from a prompt that was run elsewhere.
    Decode(&'a KvTicket),
}

/// How a request is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct SendOrder<'a> {
    /// The replica that is meant; no other one may take the request.
    pub replica: &'a ReplicaRecord,
    /// What for.
    pub purpose: SendPurpose<'a>,
    /// How long the replica may work on it, in milliseconds.
    pub limit_ms: u64,
    /// Bytes of the body; `None` where the request has none.
    pub body_bytes: Option<usize>,
    /// The last event that the caller has, where it differs from what the caller said.
    pub last_event: Option<u64>,
    /// Whether the connection is kept for another request.
    pub keeps_connection: bool,
}

/// What a replica's answer says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerFacts {
    /// The request that it answers; `None` where it does not say.
    pub request_id: Option<String>,
    /// Whether the replica vouches for the answer as its own.
    pub is_signed: bool,
    /// Whether the replica promises that it has not run the request.
    pub is_not_run: bool,
    /// Whether another replica than the meant one answered.
    pub is_misdirected: bool,
    /// The replica's load.
    pub load: Option<ReplicaLoad>,
    /// Whether the replica says that it is about to leave.
    pub is_leaving: bool,
    /// How long the replica wants nothing more from this VM, in milliseconds; only with a refusal.
    pub back_off_ms: Option<u64>,
    /// What the replica says of the requests that it takes from all VMs together.
    pub rate_limit: LimitStatement,
    /// The replica that answered, as its health check names it.
    pub instance: Option<String>,
    /// Statements of the replica on itself that the adapter does not know, or can't read.
    pub unknown_statements: Vec<UnknownStatement>,
}

/// What an answer says of the limit that its replica names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitStatement {
    /// Nothing: the replica names none.
    Unsaid,
    /// Something that is no rate.
    Unreadable,
    /// A rate.
    Named(RequestRate),
}

/// A statement of a replica on itself that the adapter does not know, or can't read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownStatement {
    /// What it is called on the wire.
    pub name: String,
    /// What it says.
    pub value: String,
}

/// Reads and writes what an adapter's platform calls things on the wire.
pub trait WireProtocol: Send + Sync {
    /// Reads what a caller's request says.
    fn read_request(&self, head: &RequestHead) -> RequestFacts;

    /// Writes the head with which a caller's request goes to a replica.
    fn write_request(&self, head: &RequestHead, order: &SendOrder<'_>) -> Vec<u8>;

    /// Reads what a replica's answer says.
    fn read_answer(&self, head: &ResponseHead) -> AnswerFacts;

    /// Whether a header of a replica's answer goes on to the caller.
    fn is_for_caller(&self, header: &str) -> bool;

    /// Reads the answer to a prefill.
    fn read_prefill(&self, engine: SocketAddr, body: &[u8]) -> Option<KvTicket>;

    /// Writes a whole request that frees a prefilled prompt.
    fn write_ticket_release(&self, ticket: &KvTicket) -> Vec<u8>;

    /// Writes a whole request for a replica's health.
    fn write_health_check(&self, replica: &ReplicaRecord, path: &str) -> Vec<u8>;

    /// Writes a whole request that moves an engine to the other pool.
    fn write_role_order(&self, replica: &ReplicaRecord, order: &RoleOrder, holder: &str) -> Vec<u8>;

    /// Writes the body that answers a caller's question for addresses.
    fn write_addresses(&self, addresses: &[&str], keep_ms: u64) -> Vec<u8>;
}
