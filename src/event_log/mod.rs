//! The log: one line of key=value pairs per event on standard output. Logging never blocks a request.
//!
//! A bounded queue passes lines to a writer thread. When more lines come than can be written, lines of
//! requests still being served are dropped first, then lines on the process's state, and lines of failed
//! requests last. Dropped lines are counted, and the count is logged.

mod catalogue;
mod field;
mod queue;
mod sink;

pub use catalogue::{EVENTS, EventEntry, LineClass, render_markdown};
pub use field::{to_quoted_value, to_unquoted_value};
pub use queue::{LineQueue, QueueTally};
pub use sink::{EventLog, MAX_LINE_BYTES};
