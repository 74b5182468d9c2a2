//! Joins the decision logic to threads, sockets and signals.

mod control;
mod node;
mod snapshot;

pub use control::{ControlHandle, ControlOutput, RequestGuard};
pub use node::{NodeError, run_node};
pub use snapshot::Snapshot;
