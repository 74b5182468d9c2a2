//! Reports for operators: metrics, the status object and the short report.

mod control_events;
mod meter;
mod metrics;
mod status;
mod tally;

pub use control_events::ControlEventGauge;
pub use meter::{MeterRegistry, MetricError};
pub use metrics::MetricSet;
pub use status::{short_report, status};
pub use tally::{RunTally, TallyCounts};
