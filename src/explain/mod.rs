//! Explains a request's outcome from logs alone, and counts failures by cause.

mod cause;
mod configuration;
mod line;
mod plot;
mod tally;
mod timeline;

pub use cause::{FailureCause, find_cause};
pub use configuration::ConfigurationTimeline;
pub use line::LogLine;
pub use plot::{PlotError, draw_plot};
pub use tally::CauseTally;
pub use timeline::{LogSet, RequestTimeline};
