//! The log: one line of key=value pairs for each event, on standard output, that never holds a request up.
//!
//! Lines go through a bounded queue to a thread of their own. When there are more than can be written, lines of requests
//! that are still being served go first, then changes of what the process believes, and lines of failed requests last;
//! what was dropped is counted, and said in a line.

mod catalogue;
mod field;
mod queue;
mod sink;

pub use catalogue::{EVENTS, EventEntry, LineClass, render_markdown};
pub use field::{to_phrase, to_word};
pub use queue::{LineQueue, QueueTally};
pub use sink::{EventLog, LONGEST_LINE_BYTES};
