//! Connects the decision logic to threads, sockets and signals.

mod catch_up;
mod clock_watch;
mod control;
mod exit_notice;
mod gateway_node;
mod lock;
mod node;
mod placement_guard;
mod quota_permit;
mod rate_permit;
mod run_permit;
mod run_progress;
mod send_slot;
mod signals;
mod snapshot;

pub use catch_up::SuspensionTracker;
pub use control::{ActiveRequestGuard, ControlHandle, ControlOutput};
pub use exit_notice::{ExitNotice, LAST_RUN_MS, wait_until};
pub use gateway_node::{ConfigSource, GatewayAdapter, MAX_GROUP_ENGINES, SettingsReader, run_gateway};
pub use lock::lock;
pub use node::{NodeError, run_node};
pub use placement_guard::PlacementGuard;
pub use quota_permit::{QuotaPermit, QuotaRefusal};
pub use rate_permit::RatePermit;
pub use run_permit::{LossReporter, LostRun, RunPermit, report_passed};
pub use send_slot::{SendSlot, SlotOutcome};
pub use snapshot::Snapshot;
