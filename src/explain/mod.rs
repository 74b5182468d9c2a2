//! Explains a request's outcome from logs alone, and counts failures by cause.

mod cause;
mod configuration;
mod line;
mod plot;
mod story;
mod tally;

pub use cause::{FailureCause, find_cause};
pub use configuration::MetConfiguration;
pub use line::LogLine;
pub use plot::{PlotError, draw_plot};
pub use story::{LogSet, RequestStory};
pub use tally::CauseTally;
