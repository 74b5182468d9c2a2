//! The traffic side of an entry node: callers' connections, requests to upstreams, and the streams between
//! them.

mod answer;
mod call;
mod caller_watch;
mod context;
mod diagnosis;
mod generate;
mod key;
mod last_answer;
mod listener;
mod reaper;
mod request;
mod routes;
mod sse;
pub mod upstream;

pub use call::run_forwarded;
pub use context::TrafficContext;
pub use listener::listen_for_callers;
pub use reaper::reap_orphans;
pub use request::GenerateWork;
