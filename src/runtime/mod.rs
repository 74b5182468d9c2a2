//! Connects the decision logic to threads, sockets and signals.

mod catch_up;
mod clock_watch;
mod control;
mod gateway_node;
mod lock;
mod node;
mod placement_hold;
mod rate_permit;
mod run_permit;
mod signals;
mod snapshot;

pub use catch_up::CatchUpMark;
pub use control::{ControlHandle, ControlOutput, RequestGuard};
pub use gateway_node::{GatewayAdapter, SettingsReader, run_gateway};
pub use lock::lock;
pub use node::{NodeError, run_node};
pub use placement_hold::PlacementHold;
pub use rate_permit::RatePermit;
pub use run_permit::{LossNote, LostRun, RunPermit, note_whole};
pub use snapshot::Snapshot;
