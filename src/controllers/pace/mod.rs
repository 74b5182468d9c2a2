//! Pace of replicas that have just started or recovered from failures: how many concurrent requests each may
//! have until it answers as its peers do.
//!
//! Such a replica is measured by nobody, so that all VMs would choose it at once; and it may be slow for some
//! seconds. It starts with a part of its slots, and each answer that is about as fast as its peers' adds one.
//! Pace only orders replicas: one at its limit ranks behind others that have room, and never causes a refusal.

mod change;
mod server;
mod table;

pub use change::{PaceChange, PaceLevel, PaceReason, PaceState};
pub use server::{RampStart, ServerPace};
pub use table::{AnswerSample, PaceTable, PacedServer};
