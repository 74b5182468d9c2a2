//! What operators see: metrics, the status object and the short report.

mod metrics;
mod phone;
mod tally;

pub use metrics::{MetricError, MetricSet};
pub use phone::{phone_report, status};
pub use tally::{RunTally, TallyCounts};
