//! The HTTP gateway: routes callers' requests and forwards them as each route's rules allow. Bodies are
//! forwarded unchanged.

mod answer;
mod answer_end;
mod answer_write;
mod authentication;
mod body;
mod body_memory;
mod call;
mod caller;
mod caller_registry;
mod context;
mod crowd_log;
mod dispatch;
mod engine_call;
mod exchange;
mod exposure;
mod health;
mod last_answer;
mod life_check;
mod limit_gauge;
mod listener;
mod loss;
mod memory_account;
mod metrics;
mod order;
mod pace_gauge;
mod paid_sends;
mod place;
mod plain_server;
mod pool;
mod preview;
mod prompt;
mod protocol;
mod quota_gauge;
mod quota_permit;
mod rate_permit;
mod relay;
mod replica_state;
mod send;
mod send_slot;
mod socket_shares;
mod split;
mod sse;
mod statements;
mod stream_order;
mod trace;
mod unproven;
mod upload;
mod upstream;
mod verdict;

pub use caller_registry::{CallerConnection, CallerPhase, CallerRegistry, CloseReason, InputProbe};
pub use context::GatewayContext;
pub use health::check_health;
pub use listener::listen_for_callers;
pub use metrics::GatewayMetrics;
pub use order::send_role_order;
pub use plain_server::{PREVIEW_PATH, answer_directory, answer_metrics, answer_readiness, serve_plain};
pub use preview::{
    CandidatePreview, OwnerPreview, PreviewReport, RefusalPreview, RoutePreview, WorkspacePreview,
};
pub use protocol::{
    AnswerFacts, CallerCredential, KvTicket, ReportedLimit, RequestFacts, SendOrder, SendPurpose,
    UnknownAttribute, WireProtocol, WorkspaceHeader,
};
